package registry

import (
	"math"
	"math/rand/v2"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/selector"
)

// incarnationOf identifies the current incarnation of an endpoint by its start time, as all daemons
// do.
func incarnationOf(c *candidate.Candidate) identifier.EndpointIncarnation {
	return identifier.EndpointIncarnation{Endpoint: c.Endpoint, Born: c.StartTime}
}

// EndpointIncarnation identifies the incarnation of the chosen endpoint by its start time, as all
// daemons do.
func (k *Pick) EndpointIncarnation() identifier.EndpointIncarnation {
	return identifier.EndpointIncarnation{Endpoint: k.Endpoint, Born: k.StartTime}
}

// markLimited marks the candidates whose rate limit leaves nothing for this daemon now. The caller
// holds the lock.
func (r *Registry) markLimited(p *pool, now time.Time) {
	limited := r.c.RateLimiter != nil && r.c.RateLimiter.HasLimits()
	if !limited && !p.limited {
		return
	}
	for i := range p.candidates {
		c := &p.candidates[i]
		c.Limited = limited && !r.c.RateLimiter.Ready(incarnationOf(c), now)
	}
	p.limited = limited
}

// AcquirePermit takes a permit of the endpoint's rate limit for a request that is about to be sent,
// unless the request has had one since it was chosen. It reports whether the request may be sent:
// the limit may have become known since the choice.
func (r *Registry) AcquirePermit(k *Pick) bool {
	if r.c.RateLimiter == nil || k.permit {
		return true
	}
	k.permit = r.c.RateLimiter.Take(k.EndpointIncarnation(), time.Now())
	return k.permit
}

// ReturnPermit gives back the permit of a request of which nothing was sent.
func (r *Registry) ReturnPermit(k *Pick) { r.returnPermit(k) }

// returnPermit gives back the permit of a pick, if it holds one.
func (r *Registry) returnPermit(k *Pick) {
	if k.permit {
		k.permit = false
		r.c.RateLimiter.Return(k.EndpointIncarnation())
	}
}

// NextAvailable returns the earliest time at which an endpoint of the pool that accepts nothing now
// accepts a request of this daemon again; zero if it is known of none.
func (r *Registry) NextAvailable(name identifier.Pool) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var next time.Time
	p := r.pools[name]
	if p == nil {
		return next
	}
	for i := range p.candidates {
		at := r.availableAt(&p.candidates[i])
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// availableAt returns when the candidate accepts a request of this daemon again. It is zero if that
// is unknown or the candidate accepts requests now. The caller holds the lock.
func (r *Registry) availableAt(c *candidate.Candidate) time.Time {
	switch {
	case c.Leaving:
		return time.Time{}
	case c.BackingOff:
		return c.BackoffUntil
	case c.Limited:
		return r.c.RateLimiter.NextSend(incarnationOf(c))
	}
	return time.Time{}
}

// maxWanted bounds the endpoints for which a permit is borrowed at once. In a large fleet each costs a
// pass over all daemons.
const maxWanted = 16

// Limited returns up to maxWanted incarnations of a pool's endpoints that only their rate limit keeps
// from taking a request of one of some versions, without those tried already.
func (r *Registry) Limited(name identifier.Pool, tried []identifier.Endpoint, v *selector.VersionFilter) (out []identifier.EndpointIncarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[name]
	if p == nil || !p.limited {
		return nil
	}
	q := &selector.Query{Tried: tried, Versions: *v, MaxInFlight: math.MaxInt}
	first := rand.IntN(len(p.candidates))
	for n := 0; n < len(p.candidates) && len(out) < maxWanted; n++ {
		if c := &p.candidates[(first+n)%len(p.candidates)]; selector.OnlyLimited(q, c) {
			out = append(out, incarnationOf(c))
		}
	}
	return out
}
