// Package silencejudge decides whether an attempt that stays silent is given up.
//
// # Metastable overload
//
// When more requests arrive than the endpoints can serve, each one waits in a queue before its first
// event, and an attempt that waits is as silent as one at an endpoint that stopped responding. Giving
// it up throws away its place in the queue and the work done for it, and its repetition is one more
// request: the overload then continues after its cause has ended. An attempt is therefore given up
// only if its endpoint shows no sign of life at all, neither to this daemon nor to another one, and
// only together with the start of another attempt that is predicted to answer sooner.
//
// How long an endpoint stays silent cannot be predicted. An endpoint that has been silent for some
// time is assumed to stay so for as long again, so that a dead endpoint is abandoned for any other
// one that is predicted to answer within that time.
//
// # Usage
//
//	d := silencejudge.Decide(&silencejudge.Input{...})
//	if d.GiveUp { cancel the attempt and start another one } else if d.RecheckAfter > 0 { decide again after it }
package silencejudge

import (
	"fmt"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"
)

const (
	// silenceObjectives times a route's objective is how long an endpoint may stay silent before a
	// repeatable request goes to another one. Clients give up after four times the objective.
	silenceObjectives = 2
	// minTimeout is the lower bound of the silence timeout. A healthy endpoint answers a plain call
	// in 30 ms, far below it.
	minTimeout = 300 * time.Millisecond
	// repeatInterval is the time until the next decision about an attempt for which there was no
	// better endpoint, no time or no budget: a fifth of the shortest objective, so that a chance
	// that appears is not missed for long.
	repeatInterval = 100 * time.Millisecond
	// minInterval bounds how often decisions are made when a sign of life is about to expire.
	minInterval = 10 * time.Millisecond
)

// Timeout returns the silence timeout for an objective: how long an endpoint may show no sign of life
// before an attempt is given up.
func Timeout(objective time.Duration) time.Duration {
	return max(silenceObjectives*objective, minTimeout)
}

// Reason is the reason of a decision, as it is logged and counted.
type Reason string

// The reasons for which an attempt is given up: the endpoint is silent while others of its zone are
// not, or this daemon receives nothing from the whole zone.
const (
	EndpointSilent Reason = "endpoint-silent"
	ZoneSilent     Reason = "zone-silent"
)

// The reasons for which an attempt goes on.
const (
	// SignOfLife means that the endpoint showed a sign of life within the silence timeout.
	SignOfLife Reason = "sign-of-life"
	// NoAttemptLeft means that the request may not be sent to another endpoint.
	NoAttemptLeft Reason = "no-attempt-left"
	// NoEndpoint means that no other endpoint can take the request now.
	NoEndpoint Reason = "no-endpoint"
	// NotSooner means that no other endpoint is predicted to answer sooner.
	NotSooner Reason = "not-sooner"
	// NoTime means that another endpoint is predicted to answer too late.
	NoTime Reason = "no-time"
	// NoBudget means that the retry budget is used up.
	NoBudget Reason = "no-budget"
)

// Input holds what a decision depends on.
type Input struct {
	Now time.Time
	// Begun is when the attempt began, Deadline when the request's time is up.
	Begun    time.Time
	Deadline time.Time
	// Objective is the route's objective for the first event.
	Objective time.Duration
	// QueuesRequests: requests wait in a queue of the endpoint, as at a model engine. Otherwise an endpoint
	// that answers others doesn't explain why this attempt waits.
	QueuesRequests bool
	// Signs are the last signs of life of the endpoint and of its zone.
	Signs candidate.Signs
	// AttemptsLeft is the number of attempts that may follow this one.
	AttemptsLeft int
	// Queue is the predicted time to the attempt's first event by what waits at the endpoint now.
	Queue time.Duration
	// Alternative is the endpoint to which another attempt would go, empty if there is none, and
	// AlternativeTime the predicted time to its first event.
	Alternative     identifier.Endpoint
	AlternativeTime time.Duration
	// Spend takes one retry from the retry budget and reports whether it was left. It is called
	// only if everything else allows another attempt.
	Spend func() bool
}

// Silence returns for how long the endpoint has shown no sign of life during the attempt. Where no
// requests queue, it is the time since the attempt began.
func (in *Input) Silence() time.Duration {
	if last := in.Signs.Last(in.Now, Timeout(in.Objective)); in.QueuesRequests && last.After(in.Begun) {
		return in.Now.Sub(last)
	}
	return in.Now.Sub(in.Begun)
}

// Expected returns the time after which the attempt's first event is expected.
func (in *Input) Expected() time.Duration { return max(in.Queue, in.Silence()) }

// String describes the input for a log line.
func (in *Input) String() string {
	return fmt.Sprintf("silent %dms, endpoint %dms, expected in %dms, %s in %dms", in.Now.Sub(in.Begun).Milliseconds(),
		in.Silence().Milliseconds(), in.Expected().Milliseconds(), in.Alternative, in.AlternativeTime.Milliseconds())
}

// Decision is the outcome for one attempt.
type Decision struct {
	// GiveUp: the attempt is given up, and a retry was taken from the budget for the next one.
	GiveUp bool
	Reason Reason
	// RecheckAfter is the time until the next decision, 0 for none.
	RecheckAfter time.Duration
}

// Decide decides whether a silent attempt is given up now.
func Decide(in *Input) Decision {
	silence, timeout := in.Silence(), Timeout(in.Objective)
	switch {
	case in.AttemptsLeft <= 0:
		return Decision{Reason: NoAttemptLeft}
	case silence < timeout:
		return Decision{Reason: SignOfLife, RecheckAfter: max(timeout-silence, minInterval)}
	case in.Alternative == "":
		return Decision{Reason: NoEndpoint, RecheckAfter: repeatInterval}
	case in.AlternativeTime >= in.Expected():
		return Decision{Reason: NotSooner, RecheckAfter: repeatInterval}
	case in.AlternativeTime >= in.Deadline.Sub(in.Now):
		return Decision{Reason: NoTime, RecheckAfter: repeatInterval}
	case !in.Spend():
		return Decision{Reason: NoBudget, RecheckAfter: repeatInterval}
	case in.Signs.ZoneReached(in.Now, timeout):
		return Decision{GiveUp: true, Reason: EndpointSilent}
	}
	return Decision{GiveUp: true, Reason: ZoneSilent}
}
