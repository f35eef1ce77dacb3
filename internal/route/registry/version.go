package registry

import (
	"cmp"
	"slices"

	"brasschute/internal/core/identifier"
)

// rank counts a pool's endpoints by version, and gives each its place among those of its own,
// by a hash that is the same at all daemons.
func (p *pool) rank() {
	p.versions = make(map[identifier.Version]int)
	order := make([]int, len(p.candidates))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(p.candidates[a].Hash, p.candidates[b].Hash) })
	places := make(map[identifier.Version]int32)
	for _, i := range order {
		c := &p.candidates[i]
		if c.Leaving {
			continue
		}
		c.VersionRank = places[c.Version]
		places[c.Version]++
		p.versions[c.Version]++
	}
	p.usualVersion = ""
	for version, n := range p.versions {
		most := p.versions[p.usualVersion]
		if n > most || n == most && version < p.usualVersion {
			p.usualVersion = version
		}
	}
}

// VersionCounts counts the endpoints of a pool by version, without those that are leaving.
func (r *Registry) VersionCounts(name identifier.Pool) map[identifier.Version]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.pools[name]; p != nil {
		return p.versions
	}
	return nil
}
