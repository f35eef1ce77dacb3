// Package baseline implements common routing policies with which package
// selector is compared.
//
// To keep the comparison fair, all policies see the same state and exclude the
// same unusable endpoints; they differ only in which usable endpoint they
// choose.
//
// # Usage
//
//	registry.New(registry.Config{Select: baseline.New(baseline.LeastInFlight, seed).Select})
package baseline

import (
	"math/rand/v2"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/selector"
)

// Kind names a policy.
type Kind string

// The policies. ConsistentHash hashes the prefix of the prompt.
const (
	Random         Kind = "random"
	RoundRobin     Kind = "round robin"
	LeastInFlight  Kind = "least in flight"
	ConsistentHash Kind = "consistent hash on prefix"
)

// Kinds lists all policies.
func Kinds() []Kind { return []Kind{Random, RoundRobin, LeastInFlight, ConsistentHash} }

// Baseline is the policy of one daemon. It is not safe for concurrent use: the
// registry calls it with its lock held.
type Baseline struct {
	kind Kind
	rand *rand.Rand
	next int
}

// New returns a policy. The seed determines its random choices.
func New(k Kind, seed uint64) *Baseline {
	return &Baseline{kind: k, rand: rand.New(rand.NewPCG(seed, 2))}
}

// Select chooses a candidate by the policy. It calls selector.Select to find
// out which candidates are usable, and returns its decision if none is.
func (b *Baseline) Select(q *selector.Query, candidates []candidate.Candidate, cached []identifier.Tokens, scratch []selector.Prediction) selector.Decision {
	d := selector.Select(q, candidates, cached, scratch)
	if d.Index == selector.None {
		return d
	}
	var usable []int
	for i := range candidates {
		if scratch[i].FirstToken >= 0 {
			usable = append(usable, i)
		}
	}
	d.Index = usable[b.pick(q, candidates, usable)]
	d.Chosen = selector.Alternative{Endpoint: candidates[d.Index].Endpoint}
	return d
}

// pick returns an index into usable, whose elements are indexes into
// candidates.
func (b *Baseline) pick(q *selector.Query, candidates []candidate.Candidate, usable []int) int {
	switch b.kind {
	case RoundRobin:
		b.next++
		return b.next % len(usable)
	case LeastInFlight:
		return b.leastInFlight(candidates, usable)
	case ConsistentHash:
		return rendezvous(q.Prefix, candidates, usable)
	}
	return b.rand.IntN(len(usable))
}

// leastInFlight returns the endpoint with the fewest streams, by its last
// report and by the requests sent since. Ties are broken at random.
func (b *Baseline) leastInFlight(candidates []candidate.Candidate, usable []int) int {
	best, ties := 0, 0
	for n, i := range usable {
		load, lowest := inFlight(&candidates[i]), inFlight(&candidates[usable[best]])
		switch {
		case load < lowest:
			best, ties = n, 1
		case load == lowest:
			ties++
			if b.rand.IntN(ties) == 0 {
				best = n
			}
		}
	}
	return best
}

// inFlight returns the greater of an endpoint's reported streams and the
// requests in flight from this daemon.
func inFlight(c *candidate.Candidate) int {
	return max(c.Running+c.Queued, int(c.InFlight))
}

// rendezvous returns the endpoint with the highest weight for a key
// (rendezvous hashing).
func rendezvous(key uint64, candidates []candidate.Candidate, usable []int) int {
	best := 0
	for n, i := range usable {
		if rendezvousWeight(key, &candidates[i]) > rendezvousWeight(key, &candidates[usable[best]]) {
			best = n
		}
	}
	return best
}

// rendezvousWeight mixes the hashes of a key and an endpoint.
func rendezvousWeight(key uint64, c *candidate.Candidate) uint64 {
	x := (key ^ c.Hash) * 0xbf58476d1ce4e5b9
	return (x ^ x>>29) * 0x94d049bb133111eb
}
