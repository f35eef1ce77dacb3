// Package forecaster decides whether a request that would be served too late is turned
// away instead.
//
// # The load it answers
//
// When more is asked for than the engines read, queues grow until each answer comes
// after its client has given up: the engines are fully busy, and nobody is served. A
// request whose prompt is predicted to be read only after that is refused before it is
// sent, truthfully as not run, so that those that can still be served are.
//
// # Who goes first
//
// Engines admit urgent requests before others, so the queue ahead says little of their
// wait: the most urgent ones are refused at twice the wait. Refused clients are told to
// come back when the queue will have been read to half of the objective, the more
// urgent ones earlier, and spread out, so that they do not come back together.
//
// # Usage
//
//	v := forecaster.Decide(&forecaster.Input{...})
//	if v.Refuse { tell the client v.RetryAfter }
package shedder

import (
	"math/rand/v2"
	"time"

	"brasschute/internal/config/catalog"
)

const (
	// Clients of streams give up after a silence of leastPatience, patienceObjectives
	// times the objective or patiencePauses times the longest pause, as published.
	leastPatience      = 2 * time.Second
	patienceObjectives = 4
	patiencePauses     = 8
	// urgentFactor is how many times longer the most urgent requests may be predicted
	// to wait.
	urgentFactor = 2
	// rankDelay is the part by which each lower rank comes back later; most ranks
	// count.
	rankDelay = 0.25
	mostRanks = 4
	// leastRetry keeps refused clients from coming back before anything has changed;
	// they heed no more than leftPart of the time that they have left.
	leastRetry = 200 * time.Millisecond
	leftPart   = 1.0 / 3
)

// Input is what a decision needs to know.
type Input struct {
	Route *catalog.Route
	// Rank is the request's; 0 is the most urgent.
	Rank int
	// QueueDelay is the predicted time until the request's own prompt is read: a long prompt
	// alone is no reason to refuse it. Waited is the time since the request came, Left
	// that until its deadline.
	QueueDelay  time.Duration
	Waited time.Duration
	Remaining   time.Duration
}

// Decision is the decision.
type Decision struct {
	Refuse bool
	// MaxDelay is the longest wait that would have been accepted.
	MaxDelay time.Duration
	// RetryAfter is when the client should come back, if refused.
	RetryAfter time.Duration
}

// ClientTimeout is how long the client of a stream waits for an event.
func ClientTimeout(r *catalog.Route) time.Duration {
	return max(leastPatience, patienceObjectives*r.FirstEventObjective, patiencePauses*r.EventGapObjective)
}

// Decide decides for one request that has not been sent yet.
func Decide(in *Input) Decision {
	v := Decision{MaxDelay: in.Remaining}
	if in.Route.Kind == catalog.Streaming {
		v.MaxDelay = min(v.MaxDelay, ClientTimeout(in.Route)-in.Waited)
	}
	if in.Rank <= 0 {
		v.MaxDelay *= urgentFactor
	}
	if in.QueueDelay <= v.MaxDelay {
		return v
	}
	v.Refuse = true
	later := 1 + rankDelay*float64(min(max(in.Rank, 0), mostRanks))
	after := time.Duration(float64(in.QueueDelay-in.Route.FirstEventObjective/2) * later)
	after = max(after, leastRetry)
	after += rand.N(after/2 + 1)
	v.RetryAfter = max(min(after, time.Duration(leftPart*float64(in.Remaining))), 0)
	return v
}
