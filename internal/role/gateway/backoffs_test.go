package gateway

import (
	"net/http"
	"slices"
	"testing"
	"time"
)

// backoff is what engines ask for, backoffLead the time after which it must be honoured, and
// allowedInBackoff how many requests of one daemon may come within it.
const (
	backoff          = 3 * time.Second
	backoffLead      = 500 * time.Millisecond
	allowedInBackoff = 2
)

// maxArrivalsInBackoff returns the largest number of requests from one daemon within a backoff
// that an engine had asked it for.
func (s *headerRecorder) maxArrivalsInBackoff() (highest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, list := range s.sentAt {
		for _, at := range list {
			n := 0
			for _, arrival := range s.arrivals[k] {
				if arrival.Sub(at) >= backoffLead && arrival.Sub(at) < backoff {
					n++
				}
			}
			highest = max(highest, n)
		}
	}
	return highest
}

// retryAfterHeaders returns the headers of engines at the first places, which ask for a backoff
// between two times.
func retryAfterHeaders(places int, from, until time.Duration) func(int, time.Duration) http.Header {
	return func(place int, since time.Duration) http.Header {
		if place < places && since > from && since < until {
			return http.Header{"Retry-After": {"3"}}
		}
		return nil
	}
}

// Engines refuse requests and ask daemons for a backoff. When a daemon did not keep this beyond
// the one answer, the next request went to the same engine again.
func TestEngineThatAsksForRestGetsIt(t *testing.T) {
	const from, until = 2 * time.Second, 9 * time.Second
	for _, size := range headerFleets {
		inHeaderFleet(t, size.daemons, retryAfterHeaders(3, from, until), func(s *headerRecorder, e *engineFleet) {
			e.refuses = func(place int) bool {
				since := time.Since(s.begun)
				return place < 3 && since > from && since < until
			}
			replies := s.f.sendSteady(size.perSecond, 12*time.Second)
			if most := s.maxArrivalsInBackoff(); most > allowedInBackoff || len(s.sentAt) == 0 {
				t.Errorf("%d daemons: %d requests came from one daemon within a backoff of %v (%d engine-daemon pairs)", size.daemons, most, backoff, len(s.sentAt))
			}
			t.Logf("%d daemons: %d of %d requests failed", size.daemons, countFailed(replies), len(replies))
			if n := countFailed(replies); n > len(replies)/50 {
				t.Errorf("%d daemons: %d of %d requests failed", size.daemons, n, len(replies))
			}
		})
	}
}

// All engines ask for a backoff: clients must be refused at once with the time after which to
// retry, and must be served when it is over.
func TestAllEnginesRest(t *testing.T) {
	const from, until = 2 * time.Second, 5 * time.Second
	inHeaderFleet(t, 8, retryAfterHeaders(engineCount, from, until), func(s *headerRecorder, e *engineFleet) {
		e.refuses = func(int) bool {
			since := time.Since(s.begun)
			return since > from && since < until
		}
		s.f.sendSteady(45, until)
		if most := s.maxArrivalsInBackoff(); most > allowedInBackoff {
			t.Errorf("%d requests came from one daemon within a backoff of %v", most, backoff)
		}
		s.f.sendSteady(45, 5*time.Second)
		replies := s.f.sendSteady(45, 3*time.Second)
		if n := countFailed(replies); n > 0 {
			i := slices.IndexFunc(replies, func(r clientReply) bool { return !r.complete })
			t.Errorf("%d of %d requests failed after the backoff: %+v", n, len(replies), replies[i])
		}
	})
}
