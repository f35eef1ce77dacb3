package splitter

import (
	"math"
	"time"

	"brasschute/internal/core/identifier"
)

const (
	// farTooSlow is how many times as long as expected an answer takes that counts as slow:
	// predictions err by up to three, and a version that is slow by several.
	farTooSlow = 3
	// slowMargin is added to what is expected: short answers vary by as much.
	slowMargin = 60 * time.Millisecond
	// usualAnswers of the old endpoints tell what is usual.
	usualAnswers = 3
	// usualWeight is the weight of the newest answer in the usual time of a route.
	usualWeight = 0.05
	// mostTallies bounds what is counted for a service.
	mostTallies = 512
)

// Outcome is what came of a request at an endpoint.
type Outcome int

// The outcomes.
const (
	// Inconclusive says nothing of the version: not run, or the client left.
	Inconclusive Outcome = iota
	Answered
	Failed
)

// Tally counts what came of requests of a route at an endpoint of the version, or at all
// others together. The numbers only rise.
type Tally struct {
	Service identifier.Service
	Order   uint64
	Route   string
	// Endpoint is empty for all of other versions.
	Endpoint identifier.Endpoint
	// RunStarted counts requests, Ended those that do not run any more.
	Sent    int
	Ended   int
	Answers int
	Failed  int
	Slow    int
}

type tallyKey struct {
	route    string
	endpoint identifier.Endpoint
}

// Run is a request that was sent to an endpoint.
type Run struct {
	Service  identifier.Service
	Route    string
	Endpoint identifier.Endpoint
	Version  identifier.Version
	Outcome  Outcome
	// Elapsed is how long the answer took, Expected how long answers of its size are expected to;
	// 0 if all of the route are alike.
	Elapsed, Expected time.Duration
	// Cold: the endpoint is slow as it has just started.
	Cold bool
	// counted is the order for which it was counted as sent.
	counted uint64
	// Abandoned: the client did not wait for the end, so that only a slow answer counts.
	Abandoned bool
}

// RunStarted counts a request that is sent, and tells whether it counts: whether Ended is to be told
// of the same run.
func (s *Splitter) RunStarted(r *Run) (counts bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, v := s.tally(r)
	if t == nil {
		return false
	}
	t.Sent++
	r.counted = v.order.OrderID()
	return true
}

// RunEnded counts what came of a request.
func (s *Splitter) RunEnded(r *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, v := s.tally(r)
	if t == nil || r.counted != t.Order {
		return
	}
	t.Ended++
	if r.Outcome == Inconclusive {
		return
	}
	slow := r.Outcome == Answered && !r.Cold && v.slow(r)
	switch {
	case r.Outcome == Failed:
		t.Failed++
	case slow:
		t.Slow++
	case r.Abandoned:
		return
	}
	t.Answers++
	s.c.OnAnswer(r, r.Version == v.order.Target, slow)
}

// tally returns where a run counts, nil if it does not. The caller holds the lock.
func (s *Splitter) tally(r *Run) (*Tally, *service) {
	v := s.services[r.Service]
	if v == nil || v.phase().IsFinal() {
		return nil, nil
	}
	k := tallyKey{r.Route, r.Endpoint}
	if r.Version != v.order.Target {
		k.endpoint = ""
	}
	t := v.tally[k]
	if t == nil && len(v.tally) < mostTallies {
		t = &Tally{Service: r.Service, Order: v.order.OrderID(), Route: r.Route, Endpoint: k.endpoint}
		v.tally[k] = t
	}
	return t, v
}

// usual is how many times as long as expected the answers of a route take at the old
// endpoints.
type usual struct {
	// log is the mean of the logarithms, so that single long answers weigh little, of answers.
	log     float64
	answers int
}

// slow tells whether an answer took far longer than those of the old endpoints: what is
// expected of an endpoint that has just been found is off by what is learned of it later.
func (v *service) slow(r *Run) bool {
	expected := r.Expected
	if expected <= 0 {
		expected = time.Second
	}
	u := v.usual[r.Route]
	known := u.answers >= usualAnswers
	limit := time.Duration(farTooSlow*math.Exp(u.log)*float64(expected)) + slowMargin
	if r.Version != v.order.Target && !r.Abandoned {
		u.answers++
		weight := max(usualWeight, 1/float64(u.answers))
		u.log += weight * (math.Log(max(r.Elapsed.Seconds()/expected.Seconds(), 1e-6)) - u.log)
		v.usual[r.Route] = u
	}
	return known && r.Elapsed > limit
}

// Tallies returns what this daemon has counted of all orders that are under way.
func (s *Splitter) Tallies() []Tally {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Tally
	for _, v := range s.services {
		if v.phase().IsFinal() {
			continue
		}
		for _, t := range v.tally {
			out = append(out, *t)
		}
	}
	return out
}
