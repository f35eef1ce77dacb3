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

// crashHeader marks requests under which the stand-in engines crash.
const crashHeader = "X-Ends-Engines"

// crashingEngines are engines that crash under requests with the crashHeader: their host refuses
// connections from then on.
type crashingEngines struct {
	s  *site
	mu sync.Mutex
	// crashes counts the engines that have crashed.
	crashes int
}

// add starts an engine and writes its record to the store.
func (m *crashingEngines) add(id, service string, events int) {
	m.s.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		m.s.t.Fatal(err)
	}
	e := hosting.NewEngine(hosting.Config{ID: id, Service: service, StreamLength: events, Zone: "hall-a", Address: l.Addr().String(), StartedUnixMilli: 1000})
	server := &http.Server{Handler: e}
	m.s.t.Cleanup(func() { _ = server.Close() })
	e.SetBehaviour(func(r *http.Request) hosting.Behaviour {
		if r.Header.Get(crashHeader) == "" {
			return hosting.Serve
		}
		m.mu.Lock()
		m.crashes++
		m.mu.Unlock()
		// A process that another test forks at this moment holds the listening socket until it
		// executes its program, and would still accept connections.
		syscall.ForkLock.RLock()
		defer syscall.ForkLock.RUnlock()
		_ = server.Close()
		return hosting.CloseUnanswered
	})
	go func() { _ = server.Serve(l) }()
	m.s.store.Write(platform.EndpointKind, id, e.Record("ready"))
}

func (m *crashingEngines) crashCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.crashes
}

// awaitHeldRequests waits until the daemon holds n requests in quarantine.
func (h *gatewayHost) awaitHeldRequests(n int) {
	h.s.t.Helper()
	eventually(h.s.t, fmt.Sprintf("%s holds %d requests", h.name, n), func() error {
		held := 0
		for _, s := range h.view(h.s.t).Quarantine {
			if s.Held {
				held++
			}
		}
		return checkEqual("held", held, n)
	})
}

// TestRequestsThatEndEndpointsAreHeldAfterTheLossOfAllDaemons sends a non-idempotent and an
// idempotent request that crash each endpoint that runs them. After each has crashed two
// endpoints, all daemons must refuse them at once as not run, with a Retry-After of at least ten
// seconds. All daemons are then killed at the same moment and start again. No peer is left that
// knows the held requests, so they must read them from the store.
func TestRequestsThatEndEndpointsAreHeldAfterTheLossOfAllDaemons(t *testing.T) {
	s := newSite(t)
	s.duties = `["usage"]`
	m := &crashingEngines{s: s}
	for i := range 8 {
		m.add(fmt.Sprintf("i-%d", i), plainService, 0)
	}
	hosts := []*gatewayHost{s.addReadyHost(), s.addReadyHost(), s.addReadyHost()}
	crashing := func(target string) hostedRequest {
		return hostedRequest{Target: target, Key: deskKey, Body: "fatal", Header: map[string]string{crashHeader: "1"}}
	}
	lookup := hosts[0].send(crashing(idempotentPath))
	if lookup.status != http.StatusBadGateway || m.crashCount() != 2 {
		t.Errorf("the lookup, which may be repeated: %+v; %d endpoints crashed", lookup, m.crashCount())
	}
	for i := range 2 {
		if a := hosts[i].send(crashing(nonIdempotentPath)); a.status != http.StatusBadGateway {
			t.Errorf("posting %d: %+v", i, a)
		}
		hosts[2].awaitHeldRequests(1 + i)
	}
	checkRefused := func(when string) {
		for _, h := range hosts {
			for _, target := range []string{idempotentPath, nonIdempotentPath} {
				a := h.send(crashing(target))
				if a.status != http.StatusServiceUnavailable || !strings.Contains(a.body, "not run") || len(a.header.Get("Retry-After")) < len("10") {
					t.Errorf("%s, %s, %s: %+v", when, h.name, target, a)
				}
			}
			if a := h.send(hostedRequest{Target: nonIdempotentPath, Key: deskKey, Body: "another"}); a.status != http.StatusOK {
				t.Errorf("%s, %s, another posting: %+v", when, h.name, a)
			}
		}
	}
	checkRefused("before the kill")
	eventually(t, "the held requests are stored", func() error {
		return checkEqual("stored", strings.Count(string(s.store.Spec("fleet", "quarantine")), "Fingerprint"), 2)
	})
	for _, h := range hosts {
		h.kill()
	}
	for _, h := range hosts {
		h.clearFirstStart()
		h.start()
	}
	for _, h := range hosts {
		h.awaitReady()
		h.awaitHeldRequests(2)
	}
	checkRefused("after the kill")
	if n := m.crashCount(); n != 4 {
		t.Errorf("%d endpoints crashed", n)
	}
	fingerprint := string(hosts[0].view(t).Quarantine[0].Fingerprint)
	runCommand(t, 0, "lift", hosts[0].ip+":7600", fingerprint)
	for _, h := range hosts {
		h.awaitHeldRequests(1)
	}
	runCommand(t, 1, "lift", hosts[1].ip+":7600", "unknown")
}
