package integration

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"brasschute/internal/standin/hosting"
	"brasschute/platform"
)

// endsEngines is the header by which the stand-ins know a request that ends them.
const endsEngines = "X-Ends-Engines"

// mortal are engines whose process ends under some requests: the host refuses connections
// from then on.
type mortal struct {
	s  *site
	mu sync.Mutex
	// ended counts those that ended.
	ended int
}

// engine starts an engine and lists it.
func (m *mortal) engine(id, service string, events int) {
	m.s.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		m.s.t.Fatal(err)
	}
	e := hosting.NewEngine(hosting.Config{ID: id, Service: service, StreamLength: events, Zone: "hall-a", Address: l.Addr().String(), StartedUnixMilli: 1000})
	server := &http.Server{Handler: e}
	m.s.t.Cleanup(func() { _ = server.Close() })
	e.SetBehaviour(func(r *http.Request) hosting.Behaviour {
		if r.Header.Get(endsEngines) == "" {
			return hosting.Serve
		}
		m.mu.Lock()
		m.ended++
		m.mu.Unlock()
		// A process that another test starts at this moment holds the listening socket until
		// it executes its program, and connections would be taken.
		syscall.ForkLock.RLock()
		defer syscall.ForkLock.RUnlock()
		_ = server.Close()
		return hosting.CloseUnanswered
	})
	go func() { _ = server.Serve(l) }()
	m.s.store.Write(platform.EndpointKind, id, e.Record("ready"))
}

func (m *mortal) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ended
}

// holding waits until a daemon holds n requests.
func (h *gatewayHost) holding(n int) {
	h.s.t.Helper()
	eventually(h.s.t, fmt.Sprintf("%s holds %d requests", h.name, n), func() error {
		held := 0
		for _, s := range h.beliefs(h.s.t).Quarantine {
			if s.Held {
				held++
			}
		}
		return want("held", held, n)
	})
}

// A posting and a lookup end each endpoint that runs them. Two endpoints end under each; then
// all daemons refuse them, truthfully, at once and without inviting a return within the
// second. All daemons are killed at the same moment and start again, when no peer is left to
// tell: they read from the store what is held.
func TestRequestsThatEndEndpointsAreHeldAfterTheLossOfAllDaemons(t *testing.T) {
	s := newSite(t)
	s.duties = `["usage"]`
	m := &mortal{s: s}
	for i := range 8 {
		m.engine(fmt.Sprintf("i-%d", i), plainService, 0)
	}
	hosts := []*gatewayHost{s.host(), s.host(), s.host()}
	fatal := func(target string) hostedRequest {
		return hostedRequest{Target: target, Key: deskKey, Body: "fatal", Header: map[string]string{endsEngines: "1"}}
	}
	lookup := hosts[0].send(fatal(againPath))
	if lookup.status != http.StatusBadGateway || m.count() != 2 {
		t.Errorf("the lookup, which may be repeated: %+v; %d endpoints ended", lookup, m.count())
	}
	for i := range 2 {
		if a := hosts[i].send(fatal(onceTarget)); a.status != http.StatusBadGateway {
			t.Errorf("posting %d: %+v", i, a)
		}
		hosts[2].holding(1 + i)
	}
	refused := func(when string) {
		for _, h := range hosts {
			for _, target := range []string{againPath, onceTarget} {
				a := h.send(fatal(target))
				if a.status != http.StatusServiceUnavailable || !strings.Contains(a.body, "not run") || len(a.header.Get("Retry-After")) < len("10") {
					t.Errorf("%s, %s, %s: %+v", when, h.name, target, a)
				}
			}
			if a := h.send(hostedRequest{Target: onceTarget, Key: deskKey, Body: "another"}); a.status != http.StatusOK {
				t.Errorf("%s, %s, another posting: %+v", when, h.name, a)
			}
		}
	}
	refused("before the kill")
	eventually(t, "the held requests are stored", func() error {
		return want("stored", strings.Count(string(s.store.Spec("fleet", "quarantine")), "Fingerprint"), 2)
	})
	for _, h := range hosts {
		h.kill()
	}
	for _, h := range hosts {
		h.startsAgain()
		h.start()
	}
	for _, h := range hosts {
		h.awaitReady()
		h.holding(2)
	}
	refused("after the kill")
	if n := m.count(); n != 4 {
		t.Errorf("%d endpoints ended", n)
	}
	lifted := string(hosts[0].beliefs(t).Quarantine[0].Fingerprint)
	runCommand(t, 0, "lift", hosts[0].ip+":7600", lifted)
	for _, h := range hosts {
		h.holding(1)
	}
	runCommand(t, 1, "lift", hosts[1].ip+":7600", "unknown")
}
