// Package bufferlimiter bounds the bytes that a daemon holds of one kind of thing that others send, as the bodies
// of requests or the answers of endpoints.
//
// Bytes are reserved before they are read, and the reservation is given back once they are no longer held. The sum
// of all reservations never exceeds [Config.TotalBytes]. A reservation of more than that takes all of it, so that
// one thing of any size can be held alone.
//
// # Usage
//
//	l := bufferlimiter.New(bufferlimiter.Config{TotalBytes: 32 << 20, Gauge: "body_bytes", Counter: "bodies_waited", Metrics: scope})
//	release, ok := l.TryReserve(length)
//	if !ok { refuse }
//	defer release()
package bufferlimiter

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"
)

// ErrNoMemory means that the context ended before there was room.
var ErrNoMemory = errors.New("no memory")

// Config sets the bound.
type Config struct {
	// TotalBytes bounds the reservations together.
	TotalBytes int64
	// Gauge and Counter are the names of two metrics: the bytes that are reserved, and the things that had to wait.
	Gauge, Counter string
	// Metrics may be nil for none.
	Metrics tally.Scope
}

// Limiter bounds reservations. It is safe for concurrent use.
type Limiter struct {
	totalBytes int64
	reserved   *semaphore.Weighted
	bytes      atomic.Int64
	gauge      tally.Gauge
	waits      tally.Counter
}

// New returns a limiter.
func New(c Config) *Limiter {
	if c.Metrics == nil {
		c.Metrics = tally.NoopScope
	}
	return &Limiter{
		totalBytes: c.TotalBytes, reserved: semaphore.NewWeighted(c.TotalBytes),
		gauge: c.Metrics.Gauge(c.Gauge), waits: c.Metrics.Counter(c.Counter),
	}
}

// TotalBytes returns the bound.
func (l *Limiter) TotalBytes() int64 { return l.totalBytes }

// ReservedBytes returns the sum of the reservations.
func (l *Limiter) ReservedBytes() int64 { return l.bytes.Load() }

// TryReserve reserves bytes if there is room for them now. release must be called once they are no longer held; it
// may be called more than once.
func (l *Limiter) TryReserve(bytes int64) (release func(), ok bool) {
	bytes = min(bytes, l.totalBytes)
	if !l.reserved.TryAcquire(bytes) {
		return nil, false
	}
	return l.hold(bytes), true
}

// Reserve reserves bytes, and waits for room until ctx ends. release is that of [Limiter.TryReserve]. The error wraps
// [ErrNoMemory]. A caller that holds another reservation may wait for itself.
func (l *Limiter) Reserve(ctx context.Context, bytes int64) (release func(), err error) {
	if release, ok := l.TryReserve(bytes); ok {
		return release, nil
	}
	l.waits.Inc(1)
	bytes = min(bytes, l.totalBytes)
	if err := l.reserved.Acquire(ctx, bytes); err != nil {
		return nil, fmt.Errorf("%w: %d of %d bytes: %w", ErrNoMemory, bytes, l.totalBytes, err)
	}
	return l.hold(bytes), nil
}

// hold counts bytes that have been acquired.
func (l *Limiter) hold(bytes int64) (release func()) {
	l.gauge.Update(float64(l.bytes.Add(bytes)))
	return sync.OnceFunc(func() {
		l.gauge.Update(float64(l.bytes.Add(-bytes)))
		l.reserved.Release(bytes)
	})
}
