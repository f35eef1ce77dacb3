// Package usagecounter counts the requests that began to run, by organisation and usage window.
//
// # Usage
//
//	c := usagecounter.New(usagecounter.Config{Window: 5 * time.Second, Retention: time.Minute, Now: clock.Now})
//	c.RequestStarted("desk")
//	counts := c.Counts() // of the retained windows
package usagecounter

import (
	"sync"
	"time"

	"brasschute/internal/core/identifier"
)

// Config holds the length of a window, how long after its start its counts are retained, and
// the clock.
type Config struct {
	Window    time.Duration
	Retention time.Duration
	Now       func() time.Time
}

// Count is the number of requests of an organisation in one window.
type Count struct {
	Window       int64
	Organisation identifier.Organisation
	Requests     int
}

type key struct {
	window       int64
	organisation identifier.Organisation
}

// Counter counts requests. It is safe for concurrent use.
type Counter struct {
	c Config

	mu     sync.Mutex
	counts map[key]int
}

// New returns a Counter without any counts.
func New(c Config) *Counter { return &Counter{c: c, counts: make(map[key]int)} }

// WindowAt returns the number of the window at a time; window 0 began on 1 January 1970 UTC.
func (c *Counter) WindowAt(at time.Time) int64 { return at.UnixNano() / int64(c.c.Window) }

// WindowEnd returns when a window ends.
func (c *Counter) WindowEnd(window int64) time.Time {
	return time.Unix(0, (window+1)*int64(c.c.Window))
}

// RequestStarted counts a request that begins to run now.
func (c *Counter) RequestStarted(o identifier.Organisation) {
	window := c.WindowAt(c.c.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.counts[key{window, o}]; !known {
		for k := range c.counts {
			if k.window < c.oldestWindow() {
				delete(c.counts, k)
			}
		}
	}
	c.counts[key{window, o}]++
}

// oldestWindow returns the oldest window whose counts are retained.
func (c *Counter) oldestWindow() int64 { return c.WindowAt(c.c.Now().Add(-c.c.Retention)) }

// Counts returns the counts of the retained windows.
func (c *Counter) Counts() []Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Count, 0, len(c.counts))
	oldest := c.oldestWindow()
	for k, n := range c.counts {
		if k.window < oldest {
			continue
		}
		out = append(out, Count{k.window, k.organisation, n})
	}
	return out
}
