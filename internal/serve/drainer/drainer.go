// Package drainer tells the requests of a stopping daemon when they have to end.
//
// A daemon that stops goes on with the requests that it has read, until a deadline at which its process ends
// and takes their connections with it. A request that waits then was sent nowhere, and its client could have
// been told so and served by another daemon long before. Requests are therefore watched: what has to happen
// some time before the deadline, such as an answer that the request has not run, happens in time, also if the
// daemon begins to stop while the request waits.
//
// # Usage
//
//	d := drainer.New(drainer.Config{BalancerLag: 3 * time.Second})
//	stop := d.Watch(time.Second, func() { cancel(drainer.ErrStopping) }) // a second before the deadline
//	defer stop()
//	d.Begin(deadline) // when the daemon begins to stop
package drainer

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrStopping is the cause of contexts that end because the daemon stops.
var ErrStopping = errors.New("this daemon is stopping")

// RetryAfter is when the client of a request that a stopping daemon refuses may return: another daemon can serve
// it at once.
const RetryAfter = 50 * time.Millisecond

// Config sets what a drainer assumes of the balancer.
type Config struct {
	// BalancerLag is how long after the daemon has begun to stop the balancer may open connections to it.
	BalancerLag time.Duration
}

// Drainer holds the deadline of a daemon's requests. Create it with [New]. It is safe for concurrent use.
type Drainer struct {
	c     Config
	begun context.Context //nolint:containedctx // ends when the daemon begins to stop
	begin context.CancelFunc

	once            sync.Once
	began, deadline time.Time
}

// New returns a drainer of a daemon that does not stop yet.
func New(c Config) *Drainer {
	d := &Drainer{c: c}
	d.begun, d.begin = context.WithCancel(context.Background())
	return d
}

// Begin begins to stop the daemon. Its process ends at the deadline. Only the first call has an effect.
func (d *Drainer) Begin(deadline time.Time) {
	d.once.Do(func() {
		d.began, d.deadline = time.Now(), deadline
		d.begin()
	})
}

// TimeLeft returns the time left to the deadline. stopping is false as long as the daemon does not stop.
func (d *Drainer) TimeLeft() (left time.Duration, stopping bool) {
	if d.begun.Err() == nil {
		return 0, false
	}
	return time.Until(d.deadline), true
}

// CameLate reports whether the daemon stops and the balancer had taken it out when a request had been read whole: the
// request came on a connection that was open before.
func (d *Drainer) CameLate(read time.Time) bool {
	return d.begun.Err() != nil && read.Sub(d.began) > d.c.BalancerLag
}

// Watch calls f once the time left to the deadline is at most lead. f is called in a goroutine of its own. It is not
// called after stop has returned, but may be running then.
func (d *Drainer) Watch(lead time.Duration, f func()) (stop func()) {
	w := &watch{f: f}
	stopWaiting := context.AfterFunc(d.begun, func() { w.start(time.Until(d.deadline) - lead) })
	return func() {
		stopWaiting()
		w.stop()
	}
}

// watch is a function that is called some time before the deadline.
type watch struct {
	f func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// start sets the time until the function is called.
func (w *watch) start(left time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer = time.AfterFunc(left, w.f)
	}
}

// stop keeps the function from being called.
func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
