// Package registrar distinguishes the incarnations of endpoints.
//
// An endpoint may restart under the same id. It has then lost its state, and whatever
// is recorded by the id alone becomes wrong: that it is leaving, what it has cached,
// how loaded it is. An endpoint states its start time by its own clock. As clocks may
// go back, the start time only shows that two incarnations differ; which one is newer
// follows from the revisions of its records in the platform's store. An update from any
// other source counts only if it is of the current incarnation ([Registrar.Current]).
//
// Each incarnation gets an [identifier.Incarnation] number, higher than any before. The
// numbers are local to this daemon: daemons exchange start times, never these numbers.
//
// # Usage
//
//	n, err := r.Register("i-1", startTime, revision) // from the store
//	n, ok := r.Current("i-1", startTime)             // from a peer
package registrar

import (
	"cmp"
	"errors"
	"slices"
	"sync"

	"brasschute/internal/core/identifier"
)

// maxEndpoints bounds the endpoints kept, enough for hours of a fleet that starts an
// endpoint every few seconds. Those with the oldest records are evicted.
const maxEndpoints = 8192

// Errors of a record.
var (
	// ErrStale means that a newer record of the endpoint is known.
	ErrStale = errors.New("registrar: a newer record of the endpoint is known")
	// ErrNoStartTime means that the record has no start time although an earlier one had,
	// so the endpoint did not write it.
	ErrNoStartTime = errors.New("registrar: the record has no start time, but earlier records had one")
)

// entry is the current incarnation of an endpoint.
type entry struct {
	endpoint    identifier.Endpoint
	startTime   identifier.StartTime
	incarnation identifier.Incarnation
	revision    uint64
	// onlyOne is set if no other incarnation of the endpoint has been seen.
	onlyOne bool
}

// Registrar numbers the incarnations of endpoints. The zero value is empty and ready for
// use. It is safe for concurrent use.
type Registrar struct {
	mu      sync.Mutex
	last    identifier.Incarnation
	entries map[identifier.Endpoint]entry
}

// Register returns the incarnation to which a record in the store belongs. startTime is 0 if
// the record has none. The error is ErrStale or ErrNoStartTime.
func (r *Registrar) Register(e identifier.Endpoint, startTime identifier.StartTime, revision uint64) (identifier.Incarnation, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.entries[e]
	switch {
	case ok && revision < known.revision:
		return 0, ErrStale
	case ok && startTime == 0 && known.startTime != 0:
		return 0, ErrNoStartTime
	case ok && startTime == known.startTime:
		known.revision = revision
	default:
		r.last++
		known = entry{endpoint: e, startTime: startTime, incarnation: r.last, revision: revision, onlyOne: !ok}
	}
	if r.entries == nil {
		r.entries = make(map[identifier.Endpoint]entry)
	}
	r.entries[e] = known
	if len(r.entries) > maxEndpoints {
		r.evictOldest()
	}
	return known.incarnation, nil
}

// evictOldest removes the half of the entries with the oldest records. The caller holds
// the lock.
func (r *Registrar) evictOldest() {
	all := make([]entry, 0, len(r.entries))
	for _, l := range r.entries {
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b entry) int { return cmp.Compare(a.revision, b.revision) })
	for _, l := range all[:len(all)/2] {
		delete(r.entries, l.endpoint)
	}
}

// Current returns the current incarnation of an endpoint, if it has this start time.
func (r *Registrar) Current(e identifier.Endpoint, startTime identifier.StartTime) (identifier.Incarnation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.entries[e]
	if !ok || known.startTime != startTime {
		return 0, false
	}
	return known.incarnation, true
}

// CurrentByID returns the current incarnation of an endpoint for an update from a peer that
// does not distinguish incarnations, if no other incarnation is known that the peer may
// have meant.
func (r *Registrar) CurrentByID(e identifier.Endpoint) (identifier.Incarnation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.entries[e]
	if !ok || !known.onlyOne {
		return 0, false
	}
	return known.incarnation, true
}
