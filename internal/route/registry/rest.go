package registry

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"
)

const (
	// restSpread is the part of its rest by which an endpoint may be left alone for longer, so
	// that those who were told at the same time do not come back at the same time.
	restSpread = 0.15
	// longestSpare bounds for how long an endpoint is spared that wants rest from others: it
	// may have meant them alone.
	longestSpare = 10 * time.Second
	// mostSpared bounds what is told of such endpoints, and kept.
	mostSpared = 64
)

// Backoff is the rest that a life of an endpoint wants.
type Backoff struct {
	Endpoint identifier.Endpoint
	Born     identifier.StartTime
	Until    time.Time
}

// BackOff leaves a pick's endpoint alone for a time, as it said. What it told before stands if it
// lasts longer. Once it is over the endpoint gets single requests until one succeeds. It
// returns when that is.
func (r *Registry) BackOff(k *Pick, d time.Duration) time.Time {
	now := time.Now()
	until := now.Add(d + time.Duration(rand.Float64()*restSpread*float64(d)))
	r.mu.Lock()
	defer r.mu.Unlock()
	until = later(r.rests, lifeKey{k.Endpoint, k.Incarnation}, until, now)
	if c := r.find(k); c != nil {
		c.BackoffUntil = until
		c.Failures = max(c.Failures, 1)
		c.Refresh(now, r.pools[c.Pool].pace)
	}
	return until
}

// later keeps the later one of two times, and forgets those that are over.
func later(times map[lifeKey]time.Time, key lifeKey, until, now time.Time) time.Time {
	maps.DeleteFunc(times, func(_ lifeKey, at time.Time) bool { return at.Before(now) })
	if before := times[key]; before.After(until) {
		return before
	}
	times[key] = until
	return until
}

// ApplyPeerBackoff takes in that an endpoint wants rest from another daemon. It still gets requests that
// no other endpoint would serve in time. It reports whether that was news.
func (r *Registry) ApplyPeerBackoff(rest Backoff) (news bool) {
	now := time.Now()
	until := rest.Until
	if latest := now.Add(longestSpare); until.After(latest) {
		until = latest
	}
	if !until.After(now) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.each(func(c *candidate.Candidate) {
		key := lifeKey{c.Endpoint, c.Incarnation}
		_, known := r.spared[key]
		if c.Endpoint != rest.Endpoint || c.Born != rest.Born || !known && len(r.spared) >= mostSpared {
			return
		}
		news = !c.PeerBackoffUntil.After(now)
		c.PeerBackoffUntil = later(r.spared, key, until, now)
		c.Refresh(now, r.pools[c.Pool].pace)
	})
	return news
}

// Backoffs returns the endpoints that want rest from some daemon, for others, those first that
// want it longest.
func (r *Registry) Backoffs() []Backoff {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Backoff
	r.each(func(c *candidate.Candidate) {
		until := c.BackoffUntil
		if c.PeerBackoffUntil.After(until) {
			until = c.PeerBackoffUntil
		}
		if until.After(now) {
			out = append(out, Backoff{c.Endpoint, c.Born, until})
		}
	})
	slices.SortFunc(out, func(a, b Backoff) int { return cmp.Or(b.Until.Compare(a.Until), cmp.Compare(a.Endpoint, b.Endpoint)) })
	return out[:min(len(out), mostSpared)]
}
