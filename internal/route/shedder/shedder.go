// Package shedder decides whether a request that would be served too late is refused instead.
//
// # Load shedding
//
// When demand exceeds the prefill capacity of the engines, queues grow until each response comes
// after its client has given up: the engines are fully busy, and no client is served. A request
// whose prefill is predicted to begin only after that is therefore refused before it is sent, and
// correctly reported as not run, so that the requests that can still be served are.
//
// # Priorities
//
// Engines admit urgent requests before others, so the queue ahead says little about their delay:
// the most urgent ones are refused only at twice the delay. The Retry-After of a refusal is the
// predicted time until the queue has shrunk to half of the objective, shorter for more urgent
// priorities, with jitter so that clients do not return together.
//
// # Usage
//
//	d := shedder.Decide(&shedder.Input{...})
//	if d.Refuse { refuse with Retry-After d.RetryAfter }
package shedder

import (
	"math/rand/v2"
	"time"

	"brasschute/internal/config/catalog"
)

const (
	// Clients of streams give up after a silence of minClientTimeout, objectiveFactor times the
	// first-event objective or gapFactor times the event-gap objective, whichever is longest, as
	// published to clients.
	minClientTimeout = 2 * time.Second
	objectiveFactor  = 4
	gapFactor        = 8
	// urgentFactor is how many times longer the predicted delay of the most urgent requests may be.
	urgentFactor = 2
	// rankDelay is the fraction by which each less urgent rank retries later; maxRanks ranks count.
	rankDelay = 0.25
	maxRanks  = 4
	// minRetryAfter keeps refused clients from returning before anything has changed. Clients do
	// not wait for longer than remainingFraction of the time until their deadline.
	minRetryAfter     = 200 * time.Millisecond
	remainingFraction = 1.0 / 3
)

// Input holds what a decision depends on.
type Input struct {
	Route *catalog.Route
	// Rank is the priority of the request; 0 is the most urgent.
	Rank int
	// QueueDelay is the predicted time until the prefill of the request itself begins, because a
	// long prompt alone is no reason to refuse a request. Waited is the time since the request
	// arrived, Remaining the time until its deadline.
	QueueDelay time.Duration
	Waited     time.Duration
	Remaining  time.Duration
}

// Decision is the outcome for one request.
type Decision struct {
	Refuse bool
	// MaxDelay is the longest queue delay that would have been accepted.
	MaxDelay time.Duration
	// RetryAfter is when the client should retry, if refused.
	RetryAfter time.Duration
}

// ClientTimeout returns how long the client of a stream waits for an event.
func ClientTimeout(r *catalog.Route) time.Duration {
	return max(minClientTimeout, objectiveFactor*r.FirstEventObjective, gapFactor*r.EventGapObjective)
}

// MaxRetryAfter returns the longest Retry-After that a client honours, given the time until its
// deadline.
func MaxRetryAfter(remaining time.Duration) time.Duration {
	return max(time.Duration(remainingFraction*float64(remaining)), 0)
}

// Decide decides whether to refuse a request that has not been sent yet.
func Decide(in *Input) Decision {
	d := Decision{MaxDelay: in.Remaining}
	if in.Route.Kind == catalog.Streaming {
		d.MaxDelay = min(d.MaxDelay, ClientTimeout(in.Route)-in.Waited)
	}
	if in.Rank <= 0 {
		d.MaxDelay *= urgentFactor
	}
	if in.QueueDelay <= d.MaxDelay {
		return d
	}
	d.Refuse = true
	factor := 1 + rankDelay*float64(min(max(in.Rank, 0), maxRanks))
	after := time.Duration(float64(in.QueueDelay-in.Route.FirstEventObjective/2) * factor)
	after = max(after, minRetryAfter)
	after += rand.N(after/2 + 1)
	d.RetryAfter = min(after, MaxRetryAfter(in.Remaining))
	return d
}
