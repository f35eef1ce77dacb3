package gateway

import (
	"net/http"
	"testing"
	"time"

	"brasschute/platform"
)

// knownLeaving returns the endpoints that a daemon knows to be leaving.
func (g *Gateway) knownLeaving() []string {
	ids, _ := g.leavingEndpoints()
	return ids
}

// An engine reports to one daemon that it is leaving. All other daemons must learn it soon,
// including one that starts later, and a store record with the state "ready" must not revoke it.
// The engine's next incarnation must not be affected.
func TestAllDaemonsKnowOfAnAnswerThatAnEngineLeaves(t *testing.T) {
	first := func(place int, _ time.Duration) http.Header {
		if place == 0 {
			return http.Header{"Server-Leaving": {"1"}}
		}
		return nil
	}
	inHeaderFleet(t, 8, first, func(s *headerRecorder, _ *engineFleet) {
		for len(s.firstSentAt) == 0 {
			s.f.ask(0, streamPath, s.f.randomName())
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
			if known := g.knownLeaving(); len(known) != 1 || known[0] != "i-001" {
				t.Errorf("%s knows as leaving: %v", g.c.Deployment.Host, known)
			}
		}
		s.f.store.Write(platform.EndpointKind, "i-001", record(same+5000))
		time.Sleep(time.Second)
		for _, g := range s.f.daemons {
			if known := g.knownLeaving(); len(known) != 0 {
				t.Errorf("%s also marked the next incarnation as leaving: %v", g.c.Deployment.Host, known)
			}
		}
	})
}

// Checks answers that do not mark an engine as leaving: other values of the header, a connection
// that closes, and the answer of another engine that now has the address.
func TestWordsThatDoNotSayThatAnEngineLeaves(t *testing.T) {
	headers := []http.Header{
		{"Server-Leaving": {"0"}}, {"Server-Leaving": {""}}, {"Server-Leaving": {"NaN"}}, {"Connection": {"close"}},
	}
	inHeaderFleet(t, 8, func(place int, _ time.Duration) http.Header { return headers[place%len(headers)] }, func(s *headerRecorder, e *engineFleet) {
		s.f.sendSteady(45, 4*time.Second)
		for _, g := range s.f.daemons {
			if known := g.knownLeaving(); len(known) != 0 {
				t.Errorf("%s marked as leaving: %v", g.c.Deployment.Host, known)
			}
		}
		e.answerHeaders = func(int, string, *http.Request) http.Header { return http.Header{"Server-Leaving": {"1"}} }
		s.f.store.Write(platform.EndpointKind, "i-gone", map[string]any{
			"Service": modelService, "Address": "10.64.0.1:8745", "Zone": "zone-0", "State": "ready", "Slots": 8, "born": 1,
		})
		s.f.sendSteady(45, 2*time.Second)
		for _, g := range s.f.daemons {
			for _, id := range g.knownLeaving() {
				if id == "i-gone" {
					t.Errorf("%s marked an engine as leaving because of another engine's answer", g.c.Deployment.Host)
				}
			}
		}
	})
}
