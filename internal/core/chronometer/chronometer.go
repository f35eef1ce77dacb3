// Package chronometer estimates the true time on hosts whose wall clocks may jump.
//
// The wall clock is read once, at the start; from then on the estimate follows the boot-time
// clock, which neither jumps nor stops. The estimate of a process that started while its wall
// clock was wrong would stay wrong. Each message from a peer therefore carries the peer's
// estimate, and the median of all estimates is adopted when it differs from the local one by
// more than 300 ms. The median is right as long as fewer than half of the daemons started with
// a wrong clock.
//
// # Usage
//
//	c := chronometer.New(chronometer.Config{})
//	c.Observe("peer-1", time.UnixMilli(theirUnixMilli))
//	window := c.Now().Unix() / 5
package chronometer

import (
	"slices"
	"sync"
	"time"

	"brasschute/internal/core/bootclock"
	"brasschute/internal/core/identifier"
)

const (
	// tolerance is well above the network delay of a message and the usual difference between
	// hosts' clocks (milliseconds), and well below the size of a jump (seconds).
	tolerance = 300 * time.Millisecond
	// minPeers is the number of peers whose estimates are needed for a median.
	minPeers = 2
	// sampleLifetime is how long a peer's estimate is used.
	sampleLifetime = 30 * time.Second
)

// Config holds the clocks, which tests replace.
type Config struct {
	// Wall is read once, by New. The default is time.Now.
	Wall func() time.Time
	// Monotonic measures the time since New. The default is bootclock.Now.
	Monotonic func() time.Time
}

// sample is a peer's estimate minus the local one, and when it was received.
type sample struct {
	offset time.Duration
	at     time.Time
}

// Chronometer estimates the true time. It is safe for concurrent use.
type Chronometer struct {
	monotonic func() time.Time

	mu      sync.Mutex
	wall    time.Time
	base    time.Time
	samples map[identifier.Host]sample
}

// New returns a chronometer that starts at the wall clock's time.
func New(c Config) *Chronometer {
	if c.Wall == nil {
		c.Wall = time.Now
	}
	if c.Monotonic == nil {
		c.Monotonic = bootclock.Now
	}
	return &Chronometer{monotonic: c.Monotonic, wall: c.Wall().Round(0), base: c.Monotonic(), samples: make(map[identifier.Host]sample)}
}

// Now returns the estimated time.
func (c *Chronometer) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now()
}

func (c *Chronometer) now() time.Time { return c.wall.Add(c.monotonic().Sub(c.base)) }

// Observe records a peer's current estimate and adjusts the local one to the median if it is off
// by more than the tolerance.
func (c *Chronometer) Observe(peer identifier.Host, theirs time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.monotonic()
	c.samples[peer] = sample{offset: theirs.Sub(c.now()), at: now}
	offsets := []time.Duration{0}
	for host, s := range c.samples {
		if now.Sub(s.at) > sampleLifetime {
			delete(c.samples, host)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	if len(offsets) <= minPeers {
		return
	}
	slices.Sort(offsets)
	median := offsets[len(offsets)/2]
	if median.Abs() <= tolerance {
		return
	}
	c.wall = c.wall.Add(median)
	for host, s := range c.samples {
		s.offset -= median
		c.samples[host] = s
	}
}
