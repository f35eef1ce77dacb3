// Package limiter admits requests within the organisations' limits.
//
// # Shares without messages
//
// An organisation's limit counts over the whole fleet. Each zone has an equal
// part of it, and each daemon an equal part of its zone's, by the number of
// daemons alive there. So the sum over all zones stays within the limit plus
// one request a daemon (parts round up), also when zones cannot see each
// other: a zone divides its own part only.
//
// # Order of the queue
//
// A request that finds its organisation or its pool at the limit waits. Of
// those that could start, the most urgent priority goes first, within it the
// organisation that uses the least of its limit, and then the oldest.
//
// # Refusing early
//
// A request whose predicted wait exceeds its deadline, or that finds its
// organisation's queue full, is refused at once and told when to come back.
// The prediction is the number of requests ahead times the mean service time,
// over the slots.
//
// # Usage
//
//	release, err := l.Acquire(ctx, &limiter.Ticket{...})
//	defer release()
package limiter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
)

const (
	// smoothing is the weight of the newest service time in the mean.
	smoothing = 0.1
	// firstGuess stands for the service time before any is measured.
	firstGuess = 500 * time.Millisecond
	// leastRetry is the shortest pause told to a caller.
	leastRetry = time.Second
)

// Ticket describes one request to the limiter.
type Ticket struct {
	Organisation identifier.Organisation
	Pool         identifier.Pool
	// Rank is the priority, 0 being the most urgent.
	Rank int
	// Limit and Queue are the organisation's at this daemon.
	Limit int
	Queue int
	// Slots is how many requests the pool takes from this daemon.
	Slots int
}

// RefusedError is the error of a request that was not admitted.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error states the reason and when to come back.
func (r *RefusedError) Error() string {
	return fmt.Sprintf("%s; retry after %s", r.Reason, r.RetryAfter)
}

type waiter struct {
	ticket *Ticket
	ready  chan struct{}
	// started is set under the lock when the waiter is let in.
	started bool
}

// Limiter admits requests. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	byOrg   map[identifier.Organisation]int
	byPool  map[identifier.Pool]int
	service map[identifier.Pool]time.Duration
	waiting []*waiter
}

// New returns a limiter with nothing in flight.
func New() *Limiter {
	return &Limiter{
		byOrg:   make(map[identifier.Organisation]int),
		byPool:  make(map[identifier.Pool]int),
		service: make(map[identifier.Pool]time.Duration),
	}
}

// Share returns a daemon's part of a fleet-wide limit, at least 1.
func Share(limit, zones, daemons int) int {
	whole := max(zones, 1) * max(daemons, 1)
	return max((limit+whole-1)/whole, 1)
}

// InFlight counts the admitted requests.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, c := range l.byPool {
		n += c
	}
	return n
}

// Acquire waits for admission. The error is a *Refused or the context's. The
// returned function must be called once, when the request is over.
func (l *Limiter) Acquire(ctx context.Context, t *Ticket) (release func(), err error) {
	w, err := l.enter(ctx, t)
	if err != nil {
		return nil, err
	}
	select {
	case <-w.ready:
		return l.releaser(t), nil
	case <-ctx.Done():
		return l.abandon(ctx, w)
	}
}

// enter lets a request in or queues it.
func (l *Limiter) enter(ctx context.Context, t *Ticket) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &waiter{ticket: t, ready: make(chan struct{})}
	l.waiting = append(l.waiting, w)
	l.dispatch()
	if w.started {
		return w, nil
	}
	if refused := l.hopeless(ctx, t); refused != nil {
		l.waiting = l.waiting[:len(l.waiting)-1]
		return nil, refused
	}
	return w, nil
}

// hopeless refuses a request that should not wait. Its waiter is last in the
// queue.
func (l *Limiter) hopeless(ctx context.Context, t *Ticket) *RefusedError {
	ahead, own := 0, 0
	for _, w := range l.waiting[:len(l.waiting)-1] {
		if w.ticket.Organisation == t.Organisation {
			own++
		}
		if w.ticket.Pool == t.Pool && w.ticket.Rank <= t.Rank {
			ahead++
		}
	}
	wait := l.predict(t, max(ahead, own))
	if own >= t.Queue {
		return &RefusedError{"the organisation's queue is full", max(wait, leastRetry)}
	}
	if deadline, ok := ctx.Deadline(); ok && time.Now().Add(wait).After(deadline) {
		return &RefusedError{"the deadline would pass in the queue", max(wait, leastRetry)}
	}
	return nil
}

func (l *Limiter) predict(t *Ticket, ahead int) time.Duration {
	mean := l.service[t.Pool]
	if mean == 0 {
		mean = firstGuess
	}
	slots := max(min(t.Slots, t.Limit), 1)
	return mean * time.Duration(ahead+1) / time.Duration(slots)
}

// abandon takes a waiter out whose context ended; it may have been let in at
// the same moment.
func (l *Limiter) abandon(ctx context.Context, w *waiter) (func(), error) {
	l.mu.Lock()
	started := w.started
	for i := range l.waiting {
		if l.waiting[i] == w {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			break
		}
	}
	l.mu.Unlock()
	if started {
		l.release(w.ticket, 0)
	}
	return nil, ctx.Err()
}

// dispatch lets in every waiter that fits, best first. The caller holds the
// lock.
func (l *Limiter) dispatch() {
	for {
		best := -1
		for i, w := range l.waiting {
			if l.fits(w.ticket) && (best < 0 || l.before(w.ticket, l.waiting[best].ticket)) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		w := l.waiting[best]
		l.waiting = append(l.waiting[:best], l.waiting[best+1:]...)
		l.byOrg[w.ticket.Organisation]++
		l.byPool[w.ticket.Pool]++
		w.started = true
		close(w.ready)
	}
}

func (l *Limiter) fits(t *Ticket) bool {
	return l.byOrg[t.Organisation] < t.Limit && l.byPool[t.Pool] < t.Slots
}

func (l *Limiter) before(a, b *Ticket) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return l.byOrg[a.Organisation]*b.Limit < l.byOrg[b.Organisation]*a.Limit
}

func (l *Limiter) releaser(t *Ticket) func() {
	begun := time.Now()
	var once sync.Once
	return func() {
		once.Do(func() { l.release(t, time.Since(begun)) })
	}
}

func (l *Limiter) release(t *Ticket, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byOrg[t.Organisation]--
	l.byPool[t.Pool]--
	l.measure(t.Pool, took)
	l.dispatch()
}

// measure moves a pool's mean service time; 0 is no measurement.
func (l *Limiter) measure(p identifier.Pool, took time.Duration) {
	if took == 0 {
		return
	}
	mean := l.service[p]
	if mean == 0 {
		mean = took
	}
	l.service[p] = mean + time.Duration(smoothing*float64(took-mean))
}
