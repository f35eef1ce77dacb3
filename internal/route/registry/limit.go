package registry

import (
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/pacer"
)

// life names the present life of an endpoint as other daemons know it.
func life(c *candidate.Candidate) pacer.Incarnation { return pacer.Incarnation{Endpoint: c.Endpoint, Born: c.Born} }

// EndpointIncarnation names the life of an endpoint that was chosen, as other daemons know it.
func (k *Pick) EndpointIncarnation() pacer.Incarnation { return pacer.Incarnation{Endpoint: k.Endpoint, Born: k.Born} }

// limit marks the candidates that take nothing more from this daemon now. The caller holds
// the lock.
func (r *Registry) limit(p *pool, now time.Time) {
	limited := r.c.RateLimiter != nil && r.c.RateLimiter.HasLimits()
	if !limited && !p.limited {
		return
	}
	for i := range p.candidates {
		c := &p.candidates[i]
		c.Limited = limited && !r.c.RateLimiter.Ready(life(c), now)
	}
	p.limited = limited
}

// AcquirePermit takes the turn of a request that goes out now, unless it has had it since it was
// chosen, and reports whether the endpoint takes it: its limit may have become known since.
func (r *Registry) AcquirePermit(k *Pick) bool {
	if r.c.RateLimiter == nil || k.turn {
		return true
	}
	k.turn = r.c.RateLimiter.Take(k.EndpointIncarnation(), time.Now())
	return k.turn
}

// ReturnPermit gives back the turn of a request of which nothing went out.
func (r *Registry) ReturnPermit(k *Pick) { r.giveBack(k) }

func (r *Registry) giveBack(k *Pick) {
	if k.turn {
		k.turn = false
		r.c.RateLimiter.Return(k.EndpointIncarnation())
	}
}

// NextAvailable is when this daemon may send to one of a pool's endpoints again that take
// nothing now, zero if it is not known of any.
func (r *Registry) NextAvailable(name identifier.Pool) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var next time.Time
	p := r.pools[name]
	if p == nil {
		return next
	}
	for i := range p.candidates {
		at := r.turn(&p.candidates[i])
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// turn is when a candidate takes a request again of this daemon's, zero if that is not known
// or it takes some now. The caller holds the lock.
func (r *Registry) turn(c *candidate.Candidate) time.Time {
	switch {
	case c.Leaving:
		return time.Time{}
	case c.BackingOff:
		return c.BackoffUntil
	case c.Limited:
		return r.c.RateLimiter.NextSend(life(c))
	}
	return time.Time{}
}
