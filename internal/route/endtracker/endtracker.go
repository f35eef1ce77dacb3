// Package endtracker knows which incarnations of endpoints have ended although the list still shows them.
//
// An endpoint may start again under its id and address before its new entry is listed, with other software.
// Until then its entry says nothing of the process that listens there, its version included: a stream that
// another one began must not go on there. A daemon learns of an end when connections break and new ones are
// refused, and tells the others.
//
// # Invariant
//
// An end never changes: [Tracker.EndedBefore] is true for each moment from the earliest known end of an
// incarnation on, for the retention time. A new incarnation has a start time of its own, and with it no end.
//
// # Usage
//
//	t := endtracker.New(endtracker.Config{Retention: 10 * time.Second})
//	if t.Record(identifier.EndpointIncarnation{Endpoint: e, Born: born}, at) { tell others }
//	if t.EndedBefore(i, sentAt) { ... } // what was sent then reached another process
package endtracker

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
)

// maxEnds bounds the incarnations that are kept, and maxRecent those that are told to others at once.
const (
	maxEnds   = 4096
	maxRecent = 64
)

// End is the end of an incarnation.
type End struct {
	identifier.EndpointIncarnation
	At time.Time
}

// Config sets how long ends are kept.
type Config struct {
	// Retention is how long an end is kept: longer than an entry outlives its endpoint.
	Retention time.Duration
}

// Tracker keeps ends. It is safe for concurrent use.
type Tracker struct {
	c Config

	mu   sync.Mutex
	ends map[identifier.EndpointIncarnation]time.Time
}

// New returns a tracker without ends.
func New(c Config) *Tracker {
	return &Tracker{c: c, ends: make(map[identifier.EndpointIncarnation]time.Time)}
}

// Record records that an incarnation had ended at a time, and reports whether its end is kept and was not known before. One
// without a start time can't be told from the next one under its id and is not kept.
func (t *Tracker) Record(i identifier.EndpointIncarnation, at time.Time) (isNew bool) {
	if i.Born == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(time.Now())
	known, ok := t.ends[i]
	if ok {
		if at.Before(known) {
			t.ends[i] = at
		}
		return false
	}
	if len(t.ends) >= maxEnds || time.Since(at) > t.c.Retention {
		return false
	}
	t.ends[i] = at
	return true
}

// expire drops old ends. The caller holds the lock.
func (t *Tracker) expire(now time.Time) {
	for i, at := range t.ends {
		if now.Sub(at) > t.c.Retention {
			delete(t.ends, i)
		}
	}
}

// EndedBefore reports whether an incarnation is known to have ended at a time or before.
func (t *Tracker) EndedBefore(i identifier.EndpointIncarnation, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	end, ok := t.ends[i]
	return ok && !end.After(at) && time.Since(end) <= t.c.Retention
}

// Recent returns the latest ends, the newest first.
func (t *Tracker) Recent() []End {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(time.Now())
	out := make([]End, 0, len(t.ends))
	for i, at := range t.ends {
		out = append(out, End{i, at})
	}
	slices.SortFunc(out, func(a, b End) int { return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Endpoint, b.Endpoint)) })
	return out[:min(len(out), maxRecent)]
}
