package scheduler

import "time"

const (
	// rejectionRegain is the time between two requests that are started beyond the room that the
	// endpoint has shown since a rejection. Each of them may be rejected again, which some endpoints
	// survive only about once a second.
	rejectionRegain = 2 * time.Second
	// rejectionSettle is how long a rejection may be that of such a request.
	rejectionSettle = time.Second
)

// rejection is what rejections for want of room have shown of an endpoint; the zero value means that
// there was none.
type rejection struct {
	// slots is the number of requests that the endpoint has room for; 0 if it has rejected none.
	slots int
	// at is when it last rejected a request, or one more than slots was started.
	at time.Time
}

// record records a rejection while a number of requests were started, the rejected one included.
func (r *rejection) record(started int, now time.Time) {
	switch {
	case r.slots == 0:
		r.slots = max(started-1, 1)
	case now.Sub(r.at) >= rejectionSettle:
		r.slots = max(min(started, r.slots)-1, 1)
	}
	r.at = now
}

// started records that a request was started, which makes a number of them.
func (r *rejection) started(n int, now time.Time) {
	if r.slots > 0 && n > r.slots {
		r.at = now
	}
}

// accepted records that the endpoint runs one more of a number of started requests.
func (r *rejection) accepted(started int) {
	if r.slots > 0 && started > r.slots {
		r.slots = started
	}
}

// slots returns the number of requests that the endpoint has room for: its slots, or fewer after a
// rejection.
func (s *Scheduler) slots(now time.Time) int {
	n := s.rejection.slots
	if n == 0 {
		return s.c.Slots
	}
	if now.Sub(s.rejection.at) >= rejectionRegain {
		n++
	}
	return min(s.c.Slots, n)
}
