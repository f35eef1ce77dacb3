package registry

import (
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"
)

// Load is the load that this daemon sends to an endpoint.
type Load struct {
	Endpoint identifier.Endpoint
	// StartTime identifies the endpoint's incarnation.
	StartTime identifier.StartTime
	candidate.SentLoad
}

// Loads returns the load that this daemon sends to each endpoint that it uses substantially.
func (r *Registry) Loads(now time.Time) []Load {
	const minRate = 300 // tokens per second, a hundredth of an engine's prefill rate
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Load
	r.forEach(func(c *candidate.Candidate) {
		if rate := c.RecentTokenRate(now); rate >= minRate {
			out = append(out, Load{c.Endpoint, c.StartTime, candidate.SentLoad{TokensPerSecond: rate, Running: int(c.InFlight), PendingPrefill: c.PendingPrefill()}})
		}
	})
	return out
}

// SetPeerLoads sets the load that the other daemons send to each endpoint.
func (r *Registry) SetPeerLoads(others map[identifier.Endpoint]candidate.SentLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forEach(func(c *candidate.Candidate) { c.SetPeerLoad(others[c.Endpoint]) })
}
