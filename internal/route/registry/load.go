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

// Loads returns the load that this daemon sends to each endpoint that it uses substantially. For
// other endpoints that lately showed a sign of life it returns only the time of that sign.
func (r *Registry) Loads(now time.Time) []Load {
	const minRate = 300 // tokens per second, a hundredth of an engine's prefill rate
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Load
	r.forEach(func(c *candidate.Candidate) {
		l := Load{Endpoint: c.Endpoint, StartTime: c.StartTime}
		if sign := c.Activity.Signs().Own; now.Sub(sign) <= candidate.MaxSignAge {
			l.LastSign = sign
		}
		rate := c.RecentTokenRate(now)
		if rate >= minRate {
			l.TokensPerSecond, l.Running, l.PendingPrefill = rate, int(c.InFlight), c.PendingPrefill()
		}
		if rate >= minRate || !l.LastSign.IsZero() {
			out = append(out, l)
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
