package gateway

import (
	"net/http"
	"testing"
	"time"

	"brasschute/platform"
)

// leaversKnown lists the endpoints that a daemon knows to leave.
func (g *Gateway) leaversKnown() []string {
	ids, _ := g.leaving()
	return ids
}

// One daemon is told that an engine leaves. All others know it soon, also one that starts later,
// and the store's word that it is ready takes nothing back. The engine's next life is free.
func TestAllDaemonsKnowOfAnAnswerThatAnEngineLeaves(t *testing.T) {
	first := func(place int, _ time.Duration) http.Header {
		if place == 0 {
			return http.Header{"Server-Leaving": {"1"}}
		}
		return nil
	}
	inSpokenFleet(t, 8, first, func(s *spoken, _ *engines) {
		for len(s.told) == 0 {
			s.f.ask(0, streamPath, s.f.name())
		}
		time.Sleep(time.Second)
		s.f.start(1)
		s.f.settle()
		record := func(born int64) map[string]any {
			return map[string]any{"Service": modelService, "Address": "10.64.0.1:8745", "Zone": "zone-0", "State": "ready", "Slots": 8, "born": born}
		}
		same := s.begun.Add(-startTime).UnixMilli()
		s.f.store.Write(platform.EndpointKind, "i-001", record(same))
		time.Sleep(time.Second)
		for _, g := range s.f.daemons {
			if known := g.leaversKnown(); len(known) != 1 || known[0] != "i-001" {
				t.Errorf("%s knows to leave: %v", g.c.Deployment.Host, known)
			}
		}
		s.f.store.Write(platform.EndpointKind, "i-001", record(same+5000))
		time.Sleep(time.Second)
		for _, g := range s.f.daemons {
			if known := g.leaversKnown(); len(known) != 0 {
				t.Errorf("%s takes the next life to leave, too: %v", g.c.Deployment.Host, known)
			}
		}
	})
}

// What does not say that an engine leaves: other values, a connection that closes, and the
// answer of another engine that has its address by now.
func TestWordsThatDoNotSayThatAnEngineLeaves(t *testing.T) {
	words := []http.Header{
		{"Server-Leaving": {"0"}}, {"Server-Leaving": {""}}, {"Server-Leaving": {"NaN"}}, {"Connection": {"close"}},
	}
	inSpokenFleet(t, 8, func(place int, _ time.Duration) http.Header { return words[place%len(words)] }, func(s *spoken, e *engines) {
		s.f.load(45, 4*time.Second)
		for _, g := range s.f.daemons {
			if known := g.leaversKnown(); len(known) != 0 {
				t.Errorf("%s takes to leave: %v", g.c.Deployment.Host, known)
			}
		}
		e.say = func(int, string, *http.Request) http.Header { return http.Header{"Server-Leaving": {"1"}} }
		s.f.store.Write(platform.EndpointKind, "i-gone", map[string]any{
			"Service": modelService, "Address": "10.64.0.1:8745", "Zone": "zone-0", "State": "ready", "Slots": 8, "born": 1,
		})
		s.f.load(45, 2*time.Second)
		for _, g := range s.f.daemons {
			for _, id := range g.leaversKnown() {
				if id == "i-gone" {
					t.Errorf("%s believes an engine of which another one spoke", g.c.Deployment.Host)
				}
			}
		}
	})
}
