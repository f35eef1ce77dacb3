// Package ranker selects the items with the highest weights, as of a rendezvous hash.
//
// It keeps no more than it selects, so that a selection among a thousand daemons neither sorts nor
// copies them.
//
// # Usage
//
//	r := ranker.New[string](2)
//	r.Add("a", weightOf("a"))
//	r.Add("b", weightOf("b"))
//	best := r.Items() // the highest weight first
package ranker

import "slices"

// Ranker selects up to n items. It is not safe for concurrent use.
type Ranker[T any] struct {
	n       int
	items   []T
	weights []uint64
}

// New returns a ranker that selects up to n items.
func New[T any](n int) *Ranker[T] {
	return &Ranker[T]{n: n, items: make([]T, 0, n+1), weights: make([]uint64, 0, n+1)}
}

// Add considers an item. Of items with the same weight, the one added first goes first.
func (r *Ranker[T]) Add(item T, weight uint64) {
	at := len(r.weights)
	for at > 0 && r.weights[at-1] < weight {
		at--
	}
	if at == r.n {
		return
	}
	r.items = slices.Insert(r.items, at, item)
	r.weights = slices.Insert(r.weights, at, weight)
	if len(r.items) > r.n {
		r.items, r.weights = r.items[:r.n], r.weights[:r.n]
	}
}

// Items returns the selected items, those with the highest weights first.
func (r *Ranker[T]) Items() []T { return r.items }
