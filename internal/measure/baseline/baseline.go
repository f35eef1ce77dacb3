// Package baseline holds the routing policies that ours is measured against.
//
// # Fairness of the comparison
//
// All policies see the same view and leave out the same unusable endpoints;
// they differ only in which of the usable ones they take.
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

// Kind is one of the policies.
type Kind string

// The policies.
const (
	Random         Kind = "random"
	RoundRobin     Kind = "round robin"
	LeastInFlight  Kind = "least in flight"
	ConsistentHash Kind = "consistent hash on prefix"
)

// Kinds lists all policies.
func Kinds() []Kind { return []Kind{Random, RoundRobin, LeastInFlight, ConsistentHash} }

// Baseline is one daemon's policy. It is for use under the registry's lock.
type Baseline struct {
	kind Kind
	rand *rand.Rand
	turn int
}

// New returns a policy.
func New(k Kind, seed uint64) *Baseline {
	return &Baseline{kind: k, rand: rand.New(rand.NewPCG(seed, 2))}
}

// Select decides as the policy does. It lets selector.Select find out which
// candidates are usable.
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

func (b *Baseline) pick(q *selector.Query, candidates []candidate.Candidate, usable []int) int {
	switch b.kind {
	case RoundRobin:
		b.turn++
		return b.turn % len(usable)
	case LeastInFlight:
		return b.least(candidates, usable)
	case ConsistentHash:
		return highest(q.Prefix, candidates, usable)
	}
	return b.rand.IntN(len(usable))
}

// least takes the endpoint with the fewest streams, as reported and sent
// since; ties go by chance.
func (b *Baseline) least(candidates []candidate.Candidate, usable []int) int {
	best, count := 0, 0
	for n, i := range usable {
		load, least := inFlight(&candidates[i]), inFlight(&candidates[usable[best]])
		switch {
		case load < least:
			best, count = n, 1
		case load == least:
			count++
			if b.rand.IntN(count) == 0 {
				best = n
			}
		}
	}
	return best
}

func inFlight(c *candidate.Candidate) int {
	return max(c.Running+c.Queued, int(c.InFlight))
}

// highest is rendezvous hashing.
func highest(key uint64, candidates []candidate.Candidate, usable []int) int {
	best := 0
	for n, i := range usable {
		if weight(key, &candidates[i]) > weight(key, &candidates[usable[best]]) {
			best = n
		}
	}
	return best
}

func weight(key uint64, c *candidate.Candidate) uint64 {
	x := (key ^ c.Hash) * 0xbf58476d1ce4e5b9
	return (x ^ x>>29) * 0x94d049bb133111eb
}
