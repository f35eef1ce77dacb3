package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"brasschute/platform"
)

// knownLeaving returns the endpoints that a daemon knows to be leaving.
func (g *Gateway) knownLeaving() []string {
	var ids []string
	for _, h := range g.registry.Hosts() {
		if g.isLeaving(&h) {
			ids = append(ids, string(h.Host))
		}
	}
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

// bytesAfterDepartures returns the bytes that a fleet's daemons exchange in some seconds, once a number
// of endpoints have left at the same time.
func bytesAfterDepartures(t *testing.T, departures int) (total int64) {
	inPausedTime(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		f.rate = wideLink
		f.addRoutes(1)
		list := func(state string) {
			for i := range departures {
				f.store.Write(platform.EndpointKind, fmt.Sprintf("i-%04d", i), map[string]any{
					"Service": modelService, "Address": fmt.Sprintf("10.66.%d.%d:8745", i/200, 1+i%200), "Zone": "zone-0", "State": state, "born": 1,
				})
			}
		}
		list("ready")
		f.start(smallFleetSize + 2)
		f.settle()
		list("draining")
		time.Sleep(2 * propagationTime)
		exchanged := func() (n int64) {
			for _, g := range f.daemons {
				in, out := g.peerBytes.Bytes()
				n += in + out
			}
			return n
		}
		before := exchanged()
		time.Sleep(5 * time.Second)
		total = exchanged() - before
		for _, g := range f.daemons {
			if n := len(g.knownLeaving()); n != departures {
				t.Errorf("%s knows of %d departures, want %d", g.c.Deployment.Host, n, departures)
			}
		}
	})
	return total
}

// Guards against messages that name all endpoints that are leaving: a zone of hundreds is reclaimed at
// once, and its records stay listed for seconds.
func TestBytesDoNotGrowWithDepartures(t *testing.T) {
	small, large := bytesAfterDepartures(t, 200), bytesAfterDepartures(t, 400)
	if float64(large) > 1.2*float64(small) {
		t.Errorf("%d bytes with 200 departures, %d with 400", small, large)
	}
}
