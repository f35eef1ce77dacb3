// Package registrar tells the lives of endpoints apart.
//
// # Why
//
// An endpoint may start again under the id that it had. It then holds nothing of what it
// held before, and whatever is known by the id alone outlives its truth: that it leaves,
// what it has cached, how loaded it is. An endpoint says when it was born, by its own
// clock; clocks go back, so the time only tells that two lives differ, and which one is
// the newer is told by the revisions of its records in the platform's store. What is
// heard from elsewhere counts for the present life only ([Registrar.Current]).
//
// # Numbers
//
// Each life gets an [identifier.Incarnation] of this daemon's own, higher than any before.
// Daemons tell each other the time of birth, never these numbers.
//
// # Usage
//
//	n, err := r.Record("i-1", born, revision) // from the store
//	n, ok := r.Told("i-1", born)              // from a peer
package registrar

import (
	"cmp"
	"errors"
	"slices"
	"sync"

	"brasschute/internal/core/identifier"
)

// maxLives bounds what is remembered: hours of a fleet that starts an endpoint every few
// seconds. Those whose records are oldest are forgotten.
const maxLives = 8192

// Errors of a record.
var (
	// ErrStale: a newer record of the endpoint is known.
	ErrStale = errors.New("registrar: a newer record of the endpoint is known")
	// ErrNoStartTime: the record lacks the time of birth that an earlier one had, so the
	// endpoint did not write it.
	ErrNoStartTime = errors.New("registrar: the record lacks the time of birth, which earlier ones had")
)

type life struct {
	endpoint identifier.Endpoint
	born     identifier.StartTime
	number   identifier.Incarnation
	revision uint64
	// first: no other life of the endpoint is known.
	first bool
}

// Registrar numbers lives. The zero value knows none; it is safe for concurrent use.
type Registrar struct {
	mu    sync.Mutex
	last  identifier.Incarnation
	lives map[identifier.Endpoint]life
}

// Register returns the life of which a record in the store tells. born is 0 where the
// endpoint does not say it.
func (r *Registrar) Register(e identifier.Endpoint, born identifier.StartTime, revision uint64) (identifier.Incarnation, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.lives[e]
	switch {
	case ok && revision < known.revision:
		return 0, ErrStale
	case ok && born == 0 && known.born != 0:
		return 0, ErrNoStartTime
	case ok && born == known.born:
		known.revision = revision
	default:
		r.last++
		known = life{endpoint: e, born: born, number: r.last, revision: revision, first: !ok}
	}
	if r.lives == nil {
		r.lives = make(map[identifier.Endpoint]life)
	}
	r.lives[e] = known
	if len(r.lives) > maxLives {
		r.forget()
	}
	return known.number, nil
}

// forget drops the half whose records are oldest. The caller holds the lock.
func (r *Registrar) forget() {
	all := make([]life, 0, len(r.lives))
	for _, l := range r.lives {
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b life) int { return cmp.Compare(a.revision, b.revision) })
	for _, l := range all[:len(all)/2] {
		delete(r.lives, l.endpoint)
	}
}

// Current returns the present life of an endpoint, if it is the one born then.
func (r *Registrar) Current(e identifier.Endpoint, born identifier.StartTime) (identifier.Incarnation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.lives[e]
	if !ok || known.born != born {
		return 0, false
	}
	return known.number, true
}

// CurrentByID returns the present life of an endpoint of which a peer told that does not tell
// lives apart, if no other life is known that it may have meant.
func (r *Registrar) CurrentByID(e identifier.Endpoint) (identifier.Incarnation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.lives[e]
	if !ok || !known.first {
		return 0, false
	}
	return known.number, true
}
