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

// Guards against sending to an endpoint that refused a call and asked for a long
// Retry-After: without the backoff each of the next calls and streams was sent there
// first.
func TestEndpointThatWantsRestGetsIt(t *testing.T) {
	for name, send := range map[string]func(t *testing.T, m *crashingPool, turn int) error{
		"call":   func(t *testing.T, m *crashingPool, turn int) error { return forward(t, m, newCall(turn)) },
		"letter": func(t *testing.T, m *crashingPool, turn int) error { return stream(t, m, newCall(turn)) },
	} {
		t.Run(name, func(t *testing.T) {
			m := newCrashingPool(t, 0)
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
					t.Errorf("%d: served, though the only endpoint refuses", turn)
				}
			}
			if n := refused.Load(); n != 1 {
				t.Errorf("%d requests reached an endpoint that had asked for no more", n-1)
			}
		})
	}
}
