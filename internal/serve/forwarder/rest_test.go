package forwarder

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/inventory"
)

// An endpoint turns a call away and wants rest: the next calls and streams go elsewhere, where
// each of them was sent there first.
func TestEndpointThatWantsRestGetsIt(t *testing.T) {
	for name, send := range map[string]func(t *testing.T, m *mortal, turn int) error{
		"call":   func(t *testing.T, m *mortal, turn int) error { return forward(t, m, newCall(turn)) },
		"letter": func(t *testing.T, m *mortal, turn int) error { return stream(t, m, newCall(turn)) },
	} {
		t.Run(name, func(t *testing.T) {
			m := newMortal(t, 0)
			var refused atomic.Int32
			serve := func(id string, handler http.HandlerFunc) {
				server := httptest.NewServer(handler)
				t.Cleanup(server.Close)
				m.registry.UpdateHosts(map[string]*inventory.Host{id: {
					Host: identifier.Host(id), State: inventory.StateLive, AvailabilityZone: "zone-1",
					Endpoints: []inventory.Endpoint{{Endpoint: identifier.Endpoint(id), Address: server.Listener.Addr().String(), Pool: "pool"}},
				}})
			}
			serve("busy", func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				refused.Add(1)
				w.Header().Set("Not-Run", "true")
				w.Header().Set("Retry-After", "600")
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			for turn := range 10 {
				if err := send(t, m, turn); err == nil {
					t.Errorf("%d: served by nobody", turn)
				}
			}
			if n := refused.Load(); n != 1 {
				t.Errorf("%d requests came to an endpoint that had asked for rest", n-1)
			}
		})
	}
}
