package gateway

import (
	"net/http"
	"slices"
	"testing"
	"time"
)

// rest is what engines ask for, restLead when it begins to count, and allowedInRest how many
// requests of one daemon may come within it.
const (
	rest          = 3 * time.Second
	restLead      = 500 * time.Millisecond
	allowedInRest = 2
)

// inRest is the highest number of requests from one daemon within a rest that an engine had
// asked it for.
func (s *spoken) inRest() (most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, list := range s.said {
		for _, at := range list {
			n := 0
			for _, came := range s.came[k] {
				if came.Sub(at) >= restLead && came.Sub(at) < rest {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// restWords are those of engines of some places that ask for rest for a while.
func restWords(places int, from, until time.Duration) func(int, time.Duration) http.Header {
	return func(place int, since time.Duration) http.Header {
		if place < places && since > from && since < until {
			return http.Header{"Retry-After": {"3"}}
		}
		return nil
	}
}

// Engines turn daemons away and ask for rest. The word was dropped with the answer, and the next
// request went there again.
func TestEngineThatAsksForRestGetsIt(t *testing.T) {
	const from, until = 2 * time.Second, 9 * time.Second
	for _, size := range spokenFleets {
		inSpokenFleet(t, size.daemons, restWords(3, from, until), func(s *spoken, e *engines) {
			e.refuses = func(place int) bool {
				since := time.Since(s.begun)
				return place < 3 && since > from && since < until
			}
			replies := s.f.load(size.perSecond, 12*time.Second)
			if most := s.inRest(); most > allowedInRest || len(s.said) == 0 {
				t.Errorf("%d daemons: %d requests came from one within %v of rest (%d words)", size.daemons, most, rest, len(s.said))
			}
			t.Logf("%d daemons: %d of %d requests failed", size.daemons, failed(replies), len(replies))
			if n := failed(replies); n > len(replies)/50 {
				t.Errorf("%d daemons: %d of %d requests failed", size.daemons, n, len(replies))
			}
		})
	}
}

// All engines want rest: clients are told at once when to come back, and are served when it is
// over.
func TestAllEnginesRest(t *testing.T) {
	const from, until = 2 * time.Second, 5 * time.Second
	inSpokenFleet(t, 8, restWords(engineCount, from, until), func(s *spoken, e *engines) {
		e.refuses = func(int) bool {
			since := time.Since(s.begun)
			return since > from && since < until
		}
		s.f.load(45, until)
		if most := s.inRest(); most > allowedInRest {
			t.Errorf("%d requests came from one daemon within %v of rest", most, rest)
		}
		s.f.load(45, 5*time.Second)
		replies := s.f.load(45, 3*time.Second)
		if n := failed(replies); n > 0 {
			i := slices.IndexFunc(replies, func(r reply) bool { return !r.whole })
			t.Errorf("%d of %d requests failed after the rest: %+v", n, len(replies), replies[i])
		}
	})
}
