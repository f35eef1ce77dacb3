package splitter

import (
	"math"
	"time"

	"brasschute/internal/core/identifier"
)

const (
	// slowFactor is the ratio of measured to expected duration above which an answer counts as
	// slow: predictions err by up to a factor of three, a bad version by several.
	slowFactor = 3
	// slowMargin is added to the expected duration, because the duration of short answers varies by
	// as much.
	slowMargin = 60 * time.Millisecond
	// minUsualAnswers is the number of answers of the old endpoints from which on the usual
	// duration is known.
	minUsualAnswers = 3
	// usualWeight is the weight of the newest answer in the usual duration of a route.
	usualWeight = 0.05
	// maxTallies limits the tallies of a service.
	maxTallies = 512
)

// Outcome is the outcome of a request at an endpoint.
type Outcome int

// The outcomes.
const (
	// Inconclusive says nothing about the version: the request did not run, or the client left.
	Inconclusive Outcome = iota
	Answered
	Failed
)

// Tally counts the outcomes of the requests of a route at one endpoint of the target version, or at
// all endpoints of other versions together. The counts only increase.
type Tally struct {
	Service identifier.Service
	Order   uint64
	Route   string
	// Endpoint is empty for the tally of the other versions.
	Endpoint identifier.Endpoint
	// Sent counts requests, Ended those that have ended.
	Sent    int
	Ended   int
	Answers int
	Failed  int
	Slow    int
}

// tallyKey identifies a tally of a service.
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
	// Elapsed is how long the answer took. Expected is how long answers of its size are expected to
	// take; 0 if all answers of the route are alike.
	Elapsed, Expected time.Duration
	// Cold: the endpoint is still slow from its start.
	Cold bool
	// order is the order for which the run was counted as started.
	order uint64
	// Abandoned: the client did not wait for the end, so only a slow answer counts.
	Abandoned bool
}

// RunStarted counts a request that is sent. It reports whether the request counts, that is whether
// RunEnded must be called with the same run.
func (s *Splitter) RunStarted(r *Run) (counts bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, v := s.tally(r)
	if t == nil {
		return false
	}
	t.Sent++
	r.order = v.order.OrderID()
	return true
}

// RunEnded counts the outcome of a request.
func (s *Splitter) RunEnded(r *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, v := s.tally(r)
	if t == nil || r.order != t.Order {
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

// tally returns the tally that a run counts in, nil if it does not count. The caller holds the
// lock.
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
	if t == nil && len(v.tally) < maxTallies {
		t = &Tally{Service: r.Service, Order: v.order.OrderID(), Route: r.Route, Endpoint: k.endpoint}
		v.tally[k] = t
	}
	return t, v
}

// usual is the usual duration of a route's answers at the old endpoints, relative to the expected
// duration.
type usual struct {
	// logRatio is the mean logarithm of the ratio, so that single long answers have little weight.
	// answers counts the answers in it.
	logRatio float64
	answers  int
}

// slow reports whether an answer took far longer than those of the old endpoints do. They are the
// reference because the expectation for an endpoint that is still new deviates from what is learned
// about it later.
func (v *service) slow(r *Run) bool {
	expected := r.Expected
	if expected <= 0 {
		expected = time.Second
	}
	u := v.usual[r.Route]
	known := u.answers >= minUsualAnswers
	limit := time.Duration(slowFactor*math.Exp(u.logRatio)*float64(expected)) + slowMargin
	if r.Version != v.order.Target && !r.Abandoned {
		u.answers++
		weight := max(usualWeight, 1/float64(u.answers))
		u.logRatio += weight * (math.Log(max(r.Elapsed.Seconds()/expected.Seconds(), 1e-6)) - u.logRatio)
		v.usual[r.Route] = u
	}
	return known && r.Elapsed > limit
}

// Tallies returns this daemon's tallies of all orders that are under way.
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
