// Package tallier counts the requests that began to run, by organisation and
// window of usage.
//
// # Usage
//
//	t := tallier.New(tallier.Config{Window: 5 * time.Second, Now: clock.Now})
//	t.Began("desk")
//	counts := t.Counts() // of the last windows
package usagecounter

import (
	"sync"
	"time"

	"brasschute/internal/core/identifier"
)

// Config says how long a window is, how long after its end it may still be asked
// for, and what time it is.
type Config struct {
	Window time.Duration
	Retention   time.Duration
	Now    func() time.Time
}

// Count is the number of an organisation's requests in one window.
type Count struct {
	Window       int64
	Organisation identifier.Organisation
	Requests     int
}

type key struct {
	window       int64
	organisation identifier.Organisation
}

// Counter counts. It is safe for concurrent use.
type Counter struct {
	c Config

	mu     sync.Mutex
	counts map[key]int
}

// New returns a tallier that has counted nothing.
func New(c Config) *Counter { return &Counter{c: c, counts: make(map[key]int)} }

// WindowAt is the number of the window at a time: windows count from 1970.
func (t *Counter) WindowAt(at time.Time) int64 { return at.UnixNano() / int64(t.c.Window) }

// WindowEnd is when a window ends.
func (t *Counter) WindowEnd(window int64) time.Time { return time.Unix(0, (window+1)*int64(t.c.Window)) }

// RequestStarted counts a request that begins to run now.
func (t *Counter) RequestStarted(o identifier.Organisation) {
	window := t.WindowAt(t.c.Now())
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.counts[key{window, o}]; !known {
		for k := range t.counts {
			if k.window < t.oldest() {
				delete(t.counts, k)
			}
		}
	}
	t.counts[key{window, o}]++
}

// oldest is the first window that may still be asked for.
func (t *Counter) oldest() int64 { return t.WindowAt(t.c.Now().Add(-t.c.Retention)) }

// Counts returns what was counted in the last windows.
func (t *Counter) Counts() []Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Count, 0, len(t.counts))
	oldest := t.oldest()
	for k, n := range t.counts {
		if k.window < oldest {
			continue
		}
		out = append(out, Count{k.window, k.organisation, n})
	}
	return out
}
