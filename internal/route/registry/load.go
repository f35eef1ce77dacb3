package registry

import (
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"
)

// Load is what this daemon sends to an endpoint.
type Load struct {
	Endpoint identifier.Endpoint
	// Born tells the endpoint's life.
	Born identifier.StartTime
	candidate.SentLoad
}

// Loads returns what this daemon sends to the endpoints that it uses.
func (r *Registry) Loads(now time.Time) []Load {
	const least = 300 // tokens a second, a hundredth of what an engine reads
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Load
	r.each(func(c *candidate.Candidate) {
		if rate := c.RecentTokenRate(now); rate >= least {
			out = append(out, Load{c.Endpoint, c.Born, candidate.SentLoad{TokensPerSecond: rate, Running: int(c.InFlight), PendingPrefill: c.PendingPrefill()}})
		}
	})
	return out
}

// SetPeerLoads takes in what the other daemons send to each endpoint.
func (r *Registry) SetPeerLoads(others map[identifier.Endpoint]candidate.SentLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.each(func(c *candidate.Candidate) { c.SetPeerLoad(others[c.Endpoint]) })
}
