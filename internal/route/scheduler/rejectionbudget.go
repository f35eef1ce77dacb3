package scheduler

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// acceptTime is how long after its start a request may turn out to be rejected: a rejection comes
	// within milliseconds, and its report within 50 ms and a call. The rest covers a pause of a busy host.
	acceptTime = 150 * time.Millisecond
	// rejectionWindow is the time in which an endpoint counts the requests that it rejects.
	rejectionWindow = time.Second
	// brittleTime is how long an endpoint counts as brittle after a daemon last said so.
	brittleTime = 3 * time.Second
)

// rejectionBudget bounds the requests that an endpoint may have to reject within rejectionWindow, if it
// crashes when there are too many.
type rejectionBudget struct {
	// survived is the number of rejections a second that the endpoint survives; it counts until expires.
	survived float64
	expires  time.Time
	// rejections are the times of the last ones, started those of requests without a first event.
	rejections []time.Time
	started    map[Key]time.Time
}

func newRejectionBudget() rejectionBudget { return rejectionBudget{started: make(map[Key]time.Time)} }

// observe applies what a daemon knows about the endpoint; 0 if it knows nothing.
func (b *rejectionBudget) observe(survived float64, now time.Time) {
	if survived > 0 {
		b.survived, b.expires = survived, now.Add(brittleTime)
	}
}

// limit returns the number of rejections that the endpoint survives within rejectionWindow, at least 1:
// without any, no request could find out whether there is room. limited is false if it survives all.
func (b *rejectionBudget) limit(now time.Time) (n int, limited bool) {
	if !now.Before(b.expires) {
		return 0, false
	}
	return int(min(max(b.survived, 1), maxStarted)), true
}

// stated returns the limit as offers state it, 0 if the endpoint survives all rejections.
func (b *rejectionBudget) stated(now time.Time) float64 {
	n, _ := b.limit(now)
	return float64(n)
}

// record records a rejection.
func (b *rejectionBudget) record(now time.Time) {
	b.rejections = slices.DeleteFunc(b.rejections, func(at time.Time) bool { return now.Sub(at) >= rejectionWindow })
	if len(b.rejections) < maxStarted {
		b.rejections = append(b.rejections, now)
	}
}

// admissionIn returns the time until an entry behind others may start without a risk that the endpoint
// rejects more requests within rejectionWindow than it survives. Rejections of that time count, and
// requests that were started within acceptTime and have had no first event: each may still be rejected.
func (s *Scheduler) admissionIn(entries int, now time.Time) time.Duration {
	limit, limited := s.rejections.limit(now)
	if !limited {
		return 0
	}
	var counted []time.Time
	for _, at := range s.rejections.rejections {
		counted = append(counted, at.Add(rejectionWindow))
	}
	for _, at := range s.rejections.started {
		counted = append(counted, at.Add(acceptTime))
	}
	counted = slices.DeleteFunc(counted, func(until time.Time) bool { return !until.After(now) })
	excess := len(counted) + entries + 1 - limit
	if excess <= 0 {
		return 0
	}
	slices.SortFunc(counted, time.Time.Compare)
	if excess <= len(counted) {
		return counted[excess-1].Sub(now)
	}
	// The entries before this one start limit at a time.
	d := time.Duration(math.Ceil(float64(excess-len(counted))/float64(limit))) * acceptTime
	if len(counted) > 0 {
		d += counted[len(counted)-1].Sub(now)
	}
	return d
}

// admit decides on an entry of unknown size: it waits for room, and until the endpoint survives its
// rejection.
func (s *Scheduler) admit(e *entry, now time.Time) Offer {
	p := s.positionOf(e, now)
	o := Offer{
		Streams: len(s.engine.runs), Scarce: s.scarcity.scarce, StartIn: max(s.roomIn(&e.request, &p, now), s.admissionIn(p.entries, now)),
		SurvivedRejections: s.rejections.stated(now),
	}
	patience := min(e.objective.Sub(now), e.silence.Sub(now), e.deadline.Sub(now))
	switch {
	case o.StartIn == 0:
		o.Decision = Start
	case o.StartIn > patience || p.entries >= maxWaiting:
		o.Decision, o.RetryAfter = Refuse, o.StartIn
		o.Reason = fmt.Sprintf("no room in time: predicted in %d ms, %d before it", o.StartIn.Milliseconds(), p.entries)
	default:
		o.Decision, o.AskAgain = Wait, s.askAgain(e, &p, now)
		o.Reason = fmt.Sprintf("waits for room: %d before it, %d started", p.entries, len(s.engine.runs))
	}
	return o
}
