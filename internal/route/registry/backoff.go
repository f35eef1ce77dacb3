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
	// backoffJitter is the maximum extra backoff as a fraction of the requested one, so that
	// daemons that were asked at the same time do not return at the same time.
	backoffJitter = 0.15
	// maxPeerBackoff limits for how long an endpoint is avoided because it asked another daemon to
	// back off: it may have meant that daemon alone.
	maxPeerBackoff = 10 * time.Second
	// maxBackoffs limits the backoffs that are reported to peers, and those of peers that are kept.
	maxBackoffs = 64
)

// Backoff is a pause of an incarnation of an endpoint.
type Backoff struct {
	Endpoint  identifier.Endpoint
	StartTime identifier.StartTime
	Until     time.Time
	// ForAll: the pause holds for all daemons, because the endpoint does not survive many rejections.
	// Otherwise the endpoint asked a single daemon for it.
	ForAll bool
}

// Pause stops requests to an incarnation of an endpoint until a time that is the same for all daemons.
// Each of them returns at a random time within as long again, so that the first to return finds out for
// the others whether the endpoint has room. Pause reports whether it was new.
func (r *Registry) Pause(e identifier.Endpoint, start identifier.StartTime, until time.Time) (isNew bool) {
	now := time.Now()
	if latest := now.Add(maxPeerBackoff); until.After(latest) {
		until = latest
	}
	if !until.After(now) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forEach(func(c *candidate.Candidate) {
		key := incarnationKey{c.Endpoint, c.Incarnation}
		if c.Endpoint != e || c.StartTime != start || r.pauses[key].After(now) || len(r.pauses) >= maxBackoffs && r.pauses[key].IsZero() {
			return
		}
		isNew = true
		keepLater(r.pauses, key, until, now)
		returns := until.Add(rand.N(until.Sub(now)))
		c.BackoffUntil = keepLater(r.backoffs, key, returns, now)
		c.Refresh(now, r.pools[c.Pool].parameters)
	})
	return isNew
}

// BackOff stops requests to the endpoint of a pick for a time that the endpoint asked for. A longer
// backoff that was asked for before stays in force. When it is over, the endpoint gets single
// requests until one succeeds. BackOff returns the time at which it is over.
func (r *Registry) BackOff(k *Pick, d time.Duration) time.Time {
	now := time.Now()
	until := now.Add(d + time.Duration(rand.Float64()*backoffJitter*float64(d)))
	r.mu.Lock()
	defer r.mu.Unlock()
	until = keepLater(r.backoffs, incarnationKey{k.Endpoint, k.Incarnation}, until, now)
	if c := r.find(k); c != nil {
		c.BackoffUntil = until
		c.Failures = max(c.Failures, 1)
		c.Refresh(now, r.pools[c.Pool].parameters)
	}
	return until
}

// keepLater stores the later of the stored time and until under key, and drops all times that are
// over. It returns the stored time.
func keepLater(times map[incarnationKey]time.Time, key incarnationKey, until, now time.Time) time.Time {
	maps.DeleteFunc(times, func(_ incarnationKey, at time.Time) bool { return at.Before(now) })
	if stored := times[key]; stored.After(until) {
		return stored
	}
	times[key] = until
	return until
}

// ApplyPeerBackoff records that an endpoint asked another daemon to back off. The endpoint still
// gets requests that no other endpoint would serve in time. ApplyPeerBackoff reports whether the
// endpoint was in no peer backoff before.
func (r *Registry) ApplyPeerBackoff(b Backoff) (isNew bool) {
	now := time.Now()
	until := b.Until
	if latest := now.Add(maxPeerBackoff); until.After(latest) {
		until = latest
	}
	if !until.After(now) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forEach(func(c *candidate.Candidate) {
		key := incarnationKey{c.Endpoint, c.Incarnation}
		_, known := r.peerBackoffs[key]
		if c.Endpoint != b.Endpoint || c.StartTime != b.StartTime || !known && len(r.peerBackoffs) >= maxBackoffs {
			return
		}
		isNew = !c.PeerBackoffUntil.After(now)
		c.PeerBackoffUntil = keepLater(r.peerBackoffs, key, until, now)
		c.Refresh(now, r.pools[c.Pool].parameters)
	})
	return isNew
}

// Backoffs returns the backoffs to report to peers, those that end last first. They include the
// ones that peers reported.
func (r *Registry) Backoffs() []Backoff {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Backoff
	r.forEach(func(c *candidate.Candidate) {
		if until := r.pauses[incarnationKey{c.Endpoint, c.Incarnation}]; until.After(now) {
			out = append(out, Backoff{c.Endpoint, c.StartTime, until, true})
			return
		}
		until := c.BackoffUntil
		if c.PeerBackoffUntil.After(until) {
			until = c.PeerBackoffUntil
		}
		if until.After(now) {
			out = append(out, Backoff{c.Endpoint, c.StartTime, until, false})
		}
	})
	slices.SortFunc(out, func(a, b Backoff) int { return cmp.Or(b.Until.Compare(a.Until), cmp.Compare(a.Endpoint, b.Endpoint)) })
	return out[:min(len(out), maxBackoffs)]
}
