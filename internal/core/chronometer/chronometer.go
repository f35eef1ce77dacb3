// Package chronometer estimates the true time though clocks jump.
//
// # How
//
// The wall clock is read once, at the start; from then on the estimate follows
// the boot-time clock, which neither jumps nor stops. A process that started
// while its wall clock was off would stay wrong, so each message of a peer
// brings the peer's estimate, and the median of all is taken once it differs
// from the own by more than [tolerance]. As long as fewer than half of the
// daemons started with a wrong clock, the median is right.
//
// # Usage
//
//	c := chronometer.New(chronometer.Config{})
//	c.Heard("peer-1", theirUnixMilli)
//	window := c.Now().Unix() / 5
package chronometer

import (
	"slices"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/bootclock"
)

const (
	// tolerance is well above the way of a message and the usual difference
	// between hosts' clocks (milliseconds), and well below the jumps (seconds).
	tolerance = 300 * time.Millisecond
	// leastPeers is how many estimates a median needs.
	leastPeers = 2
	// memory is how long a peer's estimate counts.
	memory = 30 * time.Second
)

// Config names the clocks; tests replace them.
type Config struct {
	// Wall is read once; time.Now if nil. Steady is uptimer.Now if nil.
	Wall   func() time.Time
	Monotonic func() time.Time
}

type sample struct {
	offset time.Duration
	at     time.Time
}

// Chronometer estimates the true time. It is safe for concurrent use.
type Chronometer struct {
	steady func() time.Time

	mu   sync.Mutex
	wall time.Time
	base time.Time
	seen map[identifier.Host]sample
}

// New reads the wall clock.
func New(c Config) *Chronometer {
	if c.Wall == nil {
		c.Wall = time.Now
	}
	if c.Monotonic == nil {
		c.Monotonic = bootclock.Now
	}
	return &Chronometer{steady: c.Monotonic, wall: c.Wall().Round(0), base: c.Monotonic(), seen: make(map[identifier.Host]sample)}
}

// Now returns the estimate.
func (c *Chronometer) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now()
}

func (c *Chronometer) now() time.Time { return c.wall.Add(c.steady().Sub(c.base)) }

// Observe takes in a peer's estimate at this moment.
func (c *Chronometer) Observe(peer identifier.Host, theirs time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.steady()
	c.seen[peer] = sample{offset: theirs.Sub(c.now()), at: now}
	offsets := []time.Duration{0}
	for host, s := range c.seen {
		if now.Sub(s.at) > memory {
			delete(c.seen, host)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	if len(offsets) <= leastPeers {
		return
	}
	slices.Sort(offsets)
	median := offsets[len(offsets)/2]
	if median.Abs() <= tolerance {
		return
	}
	c.wall = c.wall.Add(median)
	for host, s := range c.seen {
		s.offset -= median
		c.seen[host] = s
	}
}
