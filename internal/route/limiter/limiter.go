// Package limiter admits requests within the organisations' concurrency limits.
//
// # Shares without coordination
//
// An organisation's limit applies to the whole fleet. Each zone has an equal share of it, and each
// daemon an equal share of its zone's, by the number of live daemons there. So the sum over all
// zones exceeds the limit by at most one request per daemon (shares are rounded up), even when
// zones cannot reach each other: a zone divides only its own share.
//
// # Order of the queue
//
// A request waits while its organisation or its pool is at the limit. Of the requests that could
// start, the most urgent priority goes first, within it the organisation that uses the smallest
// fraction of its limit, and then the oldest.
//
// # Early refusal
//
// A request whose predicted wait exceeds its deadline, or that finds its organisation's queue full,
// is refused at once with a retry delay. The prediction is the number of requests ahead times the
// mean service time, divided by the number of slots.
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
	// initialServiceTime is the service time assumed before any is measured.
	initialServiceTime = 500 * time.Millisecond
	// minRetryAfter is the shortest retry delay returned.
	minRetryAfter = time.Second
)

// Ticket describes one request to the limiter.
type Ticket struct {
	Organisation identifier.Organisation
	Pool         identifier.Pool
	// Rank is the priority; 0 is the most urgent.
	Rank int
	// Limit is the organisation's concurrency limit at this daemon, Queue the length of its queue
	// there.
	Limit      int
	QueueLimit int
	// Slots is the number of concurrent requests that the pool takes from this daemon.
	Slots int
}

// RefusedError is the error of a request that was not admitted.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error returns the reason and the retry delay.
func (r *RefusedError) Error() string {
	return fmt.Sprintf("%s; retry after %s", r.Reason, r.RetryAfter)
}

type waiter struct {
	ticket *Ticket
	ready  chan struct{}
	// started is set under the lock when the waiter is admitted.
	started bool
}

// Limiter admits requests. It is safe for concurrent use.
type Limiter struct {
	mu          sync.Mutex
	byOrg       map[identifier.Organisation]int
	byPool      map[identifier.Pool]int
	serviceTime map[identifier.Pool]time.Duration
	waiting     []*waiter
}

// New returns a limiter with nothing in flight.
func New() *Limiter {
	return &Limiter{
		byOrg:       make(map[identifier.Organisation]int),
		byPool:      make(map[identifier.Pool]int),
		serviceTime: make(map[identifier.Pool]time.Duration),
	}
}

// Share returns a daemon's share of a fleet-wide limit, at least 1.
func Share(limit, zones, daemons int) int {
	shares := max(zones, 1) * max(daemons, 1)
	return max((limit+shares-1)/shares, 1)
}

// InFlight returns the number of admitted requests that have not been released.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, c := range l.byPool {
		n += c
	}
	return n
}

// Acquire waits for admission. The error is a *RefusedError or that of the context. The returned
// function must be called when the request is over; further calls have no effect.
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

// enter admits a request or queues it.
func (l *Limiter) enter(ctx context.Context, t *Ticket) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &waiter{ticket: t, ready: make(chan struct{})}
	l.waiting = append(l.waiting, w)
	l.dispatch()
	if w.started {
		return w, nil
	}
	if refused := l.refuse(ctx, t); refused != nil {
		l.waiting = l.waiting[:len(l.waiting)-1]
		return nil, refused
	}
	return w, nil
}

// refuse returns an error if a request should not wait. Its waiter is the last one in the queue.
func (l *Limiter) refuse(ctx context.Context, t *Ticket) *RefusedError {
	ahead, ownWaiting := 0, 0
	for _, w := range l.waiting[:len(l.waiting)-1] {
		if w.ticket.Organisation == t.Organisation {
			ownWaiting++
		}
		if w.ticket.Pool == t.Pool && w.ticket.Rank <= t.Rank {
			ahead++
		}
	}
	wait := l.predict(t, max(ahead, ownWaiting))
	if ownWaiting >= t.QueueLimit {
		return &RefusedError{"the organisation's queue is full", max(wait, minRetryAfter)}
	}
	if deadline, ok := ctx.Deadline(); ok && time.Now().Add(wait).After(deadline) {
		return &RefusedError{"the deadline would pass in the queue", max(wait, minRetryAfter)}
	}
	return nil
}

func (l *Limiter) predict(t *Ticket, ahead int) time.Duration {
	mean := l.serviceTime[t.Pool]
	if mean == 0 {
		mean = initialServiceTime
	}
	slots := max(min(t.Slots, t.Limit), 1)
	return mean * time.Duration(ahead+1) / time.Duration(slots)
}

// abandon removes a waiter whose context has ended; it may have been admitted at the same moment.
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

// dispatch admits every waiter that fits, best first. The caller holds the lock.
func (l *Limiter) dispatch() {
	for {
		best := -1
		for i, w := range l.waiting {
			if l.fits(w.ticket) && (best < 0 || l.precedes(w.ticket, l.waiting[best].ticket)) {
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

func (l *Limiter) precedes(a, b *Ticket) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return l.byOrg[a.Organisation]*b.Limit < l.byOrg[b.Organisation]*a.Limit
}

func (l *Limiter) releaser(t *Ticket) func() {
	startedAt := time.Now()
	var once sync.Once
	return func() {
		once.Do(func() { l.release(t, time.Since(startedAt)) })
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

// measure updates a pool's mean service time; took is 0 if there is no measurement.
func (l *Limiter) measure(p identifier.Pool, took time.Duration) {
	if took == 0 {
		return
	}
	mean := l.serviceTime[p]
	if mean == 0 {
		mean = took
	}
	l.serviceTime[p] = mean + time.Duration(smoothing*float64(took-mean))
}
