package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"brasschute/internal/standin/hosting"
)

// headerRecorder records the headers that engines add to their answers and the requests that
// reach the engines.
type headerRecorder struct {
	f     *testFleet
	begun time.Time

	mu sync.Mutex
	// firstSentAt is when an engine first sent a header to each daemon, sentAt each time it did.
	firstSentAt map[engineDaemon]time.Time
	sentAt      map[engineDaemon][]time.Time
	arrivals    map[engineDaemon][]time.Time
}

// engineDaemon identifies an engine and a daemon that sends to it.
type engineDaemon struct{ engine, daemon string }

// inHeaderFleet runs a check among daemons in front of engines that add headers to their answers;
// nil adds none.
func inHeaderFleet(t *testing.T, daemons int, headers func(place int, since time.Duration) http.Header, check func(s *headerRecorder, e *engineFleet)) {
	t.Helper()
	inEngineFleet(t, daemons, func(string) bool { return false }, func(f *testFleet, e *engineFleet) {
		s := &headerRecorder{
			f: f, begun: time.Now(), firstSentAt: make(map[engineDaemon]time.Time), sentAt: make(map[engineDaemon][]time.Time),
			arrivals: make(map[engineDaemon][]time.Time),
		}
		e.answerHeaders = func(place int, id string, r *http.Request) http.Header {
			return s.record(engineDaemon{id, r.Header.Get(askedHeader)}, headers(place, time.Since(s.begun)))
		}
		check(s, e)
	})
}

// record records an arrival, and whether the engine adds headers.
func (s *headerRecorder) record(k engineDaemon, headers http.Header) http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.arrivals[k] = append(s.arrivals[k], now)
	if headers == nil {
		return nil
	}
	s.sentAt[k] = append(s.sentAt[k], now)
	if s.firstSentAt[k].IsZero() {
		s.firstSentAt[k] = now
	}
	return headers
}

// arrivalsAfter counts the arrivals from each daemon later than d after the daemon was first
// informed.
func (s *headerRecorder) arrivalsAfter(d time.Duration) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, at := range s.firstSentAt {
		for _, arrival := range s.arrivals[k] {
			if arrival.Sub(at) > d {
				n++
			}
		}
	}
	return n
}

// headerFleets are fleet sizes with the clients' requests per second.
var headerFleets = []struct {
	daemons   int
	perSecond float64
}{{8, 45}, {83, 160}, {195, 300}}

// drainTime is how long a daemon may still send to an engine that has reported to it that it is
// leaving.
const drainTime = 2 * time.Second

// The store is unavailable, and engines report in their answers that they are leaving. When a
// daemon did not keep this beyond the one answer, requests went to them until the store was back.
func TestEngineThatSaysSoIsLeftAlone(t *testing.T) {
	half := func(place int, since time.Duration) http.Header {
		if place%2 == 0 && since > 3*time.Second {
			return http.Header{"Server-Leaving": {"1"}}
		}
		return nil
	}
	for _, size := range headerFleets {
		inHeaderFleet(t, size.daemons, half, func(s *headerRecorder, _ *engineFleet) {
			s.f.store.SetFault(func(hosting.Call) hosting.Fault { return hosting.Unavailable })
			replies := s.f.sendSteady(size.perSecond, 12*time.Second)
			if n := s.arrivalsAfter(drainTime); n > 0 || len(s.firstSentAt) == 0 {
				t.Errorf("%d daemons: %d requests reached engines later than %v after they had said that they leave (%d engine-daemon pairs)", size.daemons, n, drainTime, len(s.firstSentAt))
			}
			if n := countFailed(replies); n > 0 {
				t.Errorf("%d daemons: %d of %d requests failed", size.daemons, n, len(replies))
			}
		})
	}
}
