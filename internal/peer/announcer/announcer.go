// Package announcer selects which departures of endpoints a message to peers names.
//
// A message that named all of them would grow with the endpoints, and each daemon sends several a
// second: when a thousand endpoints leave at once, such messages fill the links of small hosts for
// as long as these endpoints are listed. So a message names the departures that were learned lately,
// for long enough to cross the fleet. After that the list of endpoints carries those that the store
// states, to daemons of any age. What the list does not state yet is repeated, a few departures a
// message in turn, for daemons that start later or were partitioned.
//
// # Usage
//
//	a.Update(departures, now) // an iterator over all that are known
//	digest.Departures = a.Next(now)
//	note.Departures = a.Recent(now)
package announcer

import (
	"cmp"
	"iter"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
)

const (
	// recentTime is how long a departure counts as learned lately: twice the time in which news
	// crosses a large fleet.
	recentTime = 3 * time.Second
	// maxRecent and maxRepeated bound the departures in a message, of some 40 bytes each.
	maxRecent   = 128
	maxRepeated = 32
)

// Departure names an incarnation of an endpoint that is leaving.
type Departure struct {
	Endpoint  identifier.Endpoint
	StartTime identifier.StartTime
}

// Known is a departure that this daemon knows of.
type Known struct {
	Departure
	// Listed: the list of endpoints states the departure.
	Listed bool
}

type entry struct {
	learned time.Time
	listed  bool
	// updated is the number of the last update that held the departure.
	updated uint64
}

// Announcer selects departures. The zero value knows of none. It is safe for concurrent use.
type Announcer struct {
	mu      sync.Mutex
	entries map[Departure]entry
	updates uint64
	// queue holds the departures that are still to be repeated in this turn.
	queue []Departure
}

// Update replaces the known departures.
func (a *Announcer) Update(all iter.Seq[Known], now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.entries == nil {
		a.entries = make(map[Departure]entry)
	}
	a.updates++
	for k := range all {
		e, ok := a.entries[k.Departure]
		if !ok {
			e.learned = now
		}
		e.listed, e.updated = k.Listed, a.updates
		a.entries[k.Departure] = e
	}
	for d, e := range a.entries {
		if e.updated != a.updates {
			delete(a.entries, d)
		}
	}
}

// Recent returns the departures that were learned lately, the latest first.
func (a *Announcer) Recent(now time.Time) []Departure {
	a.mu.Lock()
	defer a.mu.Unlock()
	recent, _ := a.split(now)
	return recent
}

// Next returns the departures for the next message: those that were learned lately, and some of the
// others that the list does not state.
func (a *Announcer) Next(now time.Time) []Departure {
	a.mu.Lock()
	defer a.mu.Unlock()
	recent, rest := a.split(now)
	if len(rest) <= maxRepeated {
		return append(recent, rest...)
	}
	if len(a.queue) == 0 {
		// Each turn has its own order: otherwise a peer that receives every second message would
		// never receive half of them.
		rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
		a.queue = rest
	}
	n := min(len(a.queue), maxRepeated)
	for _, d := range a.queue[:n] {
		if _, known := a.entries[d]; known {
			recent = append(recent, d)
		}
	}
	a.queue = a.queue[n:]
	return recent
}

// split returns the departures that were learned lately, and the others that the list does not
// state. The caller holds the lock.
func (a *Announcer) split(now time.Time) (recent, rest []Departure) {
	for d, e := range a.entries {
		switch {
		case now.Sub(e.learned) < recentTime:
			recent = append(recent, d)
		case !e.listed:
			rest = append(rest, d)
		}
	}
	slices.SortFunc(recent, func(x, y Departure) int {
		return cmp.Or(a.entries[y].learned.Compare(a.entries[x].learned), compare(x, y))
	})
	if len(recent) > maxRecent {
		for _, d := range recent[maxRecent:] {
			if !a.entries[d].listed {
				rest = append(rest, d)
			}
		}
		recent = recent[:maxRecent]
	}
	return recent, rest
}

func compare(x, y Departure) int {
	return cmp.Or(cmp.Compare(x.Endpoint, y.Endpoint), cmp.Compare(x.StartTime, y.StartTime))
}
