package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"brasschute/internal/standin/hosting"
)

// spoken are engines that say something of themselves, with what reaches them.
type spoken struct {
	f     *testFleet
	begun time.Time

	mu sync.Mutex
	// told is when an engine first told each daemon, said each time that it did.
	told map[engineDaemon]time.Time
	said map[engineDaemon][]time.Time
	came map[engineDaemon][]time.Time
}

// engineDaemon names an engine and a daemon that sends to it.
type engineDaemon struct{ engine, daemon string }

// inSpokenFleet runs a check among daemons before engines that add headers to their answers;
// none adds nothing.
func inSpokenFleet(t *testing.T, daemons int, words func(place int, since time.Duration) http.Header, check func(s *spoken, e *engines)) {
	t.Helper()
	inEngineFleet(t, daemons, func(string) bool { return false }, func(f *testFleet, e *engines) {
		s := &spoken{
			f: f, begun: time.Now(), told: make(map[engineDaemon]time.Time), said: make(map[engineDaemon][]time.Time),
			came: make(map[engineDaemon][]time.Time),
		}
		e.say = func(place int, id string, r *http.Request) http.Header {
			return s.note(engineDaemon{id, r.Header.Get(askedHeader)}, words(place, time.Since(s.begun)))
		}
		check(s, e)
	})
}

// note notes an arrival, and whether the engine says something.
func (s *spoken) note(k engineDaemon, words http.Header) http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.came[k] = append(s.came[k], now)
	if words == nil {
		return nil
	}
	s.said[k] = append(s.said[k], now)
	if s.told[k].IsZero() {
		s.told[k] = now
	}
	return words
}

// after counts the arrivals from each daemon later than a time after it was told first.
func (s *spoken) after(d time.Duration) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, at := range s.told {
		for _, came := range s.came[k] {
			if came.Sub(at) > d {
				n++
			}
		}
	}
	return n
}

// spokenFleets are sizes of fleets with the requests a second that their clients send.
var spokenFleets = []struct {
	daemons   int
	perSecond float64
}{{8, 45}, {83, 160}, {195, 300}}

// drainTime is how long after it was told that an engine leaves a daemon may send to it.
const drainTime = 2 * time.Second

// The store is away, and engines say in their answers that they leave. The word was dropped
// with the answer, so requests went to them until the store was back.
func TestEngineThatSaysSoIsLeftAlone(t *testing.T) {
	half := func(place int, since time.Duration) http.Header {
		if place%2 == 0 && since > 3*time.Second {
			return http.Header{"Server-Leaving": {"1"}}
		}
		return nil
	}
	for _, size := range spokenFleets {
		inSpokenFleet(t, size.daemons, half, func(s *spoken, _ *engines) {
			s.f.store.SetFault(func(hosting.Call) hosting.Fault { return hosting.Unavailable })
			replies := s.f.load(size.perSecond, 12*time.Second)
			if n := s.after(drainTime); n > 0 || len(s.told) == 0 {
				t.Errorf("%d daemons: %d requests reached engines later than %v after they had said that they leave (%d words)", size.daemons, n, drainTime, len(s.told))
			}
			if n := failed(replies); n > 0 {
				t.Errorf("%d daemons: %d of %d requests failed", size.daemons, n, len(replies))
			}
		})
	}
}
