package registry

import (
	"cmp"
	"slices"

	"brasschute/internal/core/identifier"
)

// rank counts a pool's endpoints by version and ranks each among those of its version, by a hash
// that is the same at all daemons.
func (p *pool) rank() {
	p.versions = make(map[identifier.Version]int)
	order := make([]int, len(p.candidates))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(p.candidates[a].Hash, p.candidates[b].Hash) })
	ranks := make(map[identifier.Version]int32)
	for _, i := range order {
		c := &p.candidates[i]
		if c.Leaving {
			continue
		}
		c.VersionRank = ranks[c.Version]
		ranks[c.Version]++
		p.versions[c.Version]++
	}
	p.majorityVersion = ""
	for version, n := range p.versions {
		most := p.versions[p.majorityVersion]
		if n > most || n == most && version < p.majorityVersion {
			p.majorityVersion = version
		}
	}
}

// VersionCounts returns the number of endpoints of a pool by version, without those that are
// leaving.
func (r *Registry) VersionCounts(name identifier.Pool) map[identifier.Version]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.pools[name]; p != nil {
		return p.versions
	}
	return nil
}
