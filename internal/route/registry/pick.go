package registry

import (
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"
)

// Pick is a chosen endpoint with one request counted on it.
type Pick struct {
	Endpoint         identifier.Endpoint
	Host             identifier.Host
	Incarnation      identifier.Incarnation
	StartTime        identifier.StartTime
	Address          string
	AvailabilityZone identifier.AvailabilityZone
	Pool             identifier.Pool
	Version          identifier.Version
	// Cold: the endpoint is still slow from its start.
	Cold bool
	// PricePerSecond is the price of the host.
	PricePerSecond float64
	// PredictedFirstToken is the predicted time to first token. It follows from the request's own
	// UncachedTokens, the TokensAhead of them and the Streams running at the endpoint.
	PredictedFirstToken time.Duration
	// NominalFirstToken is the same for an endpoint without slowdown.
	NominalFirstToken time.Duration
	UncachedTokens    identifier.Tokens
	TokensAhead       float64
	Streams           float64
	// Exact: the figures are those of the endpoint's coordinator, not this daemon's prediction.
	Exact bool

	// Activity records the events that arrive from the endpoint. The sender of the request reports
	// them to it.
	Activity *candidate.Activity

	id int32
	// permit: the request holds a permit of the endpoint's rate limit.
	permit bool
	// prefillDone: the prompt tokens no longer count as pending.
	prefillDone bool
}

// PredictedWait returns the part of the predicted time to first token in which the endpoint
// computes the tokens ahead of the request.
func (k *Pick) PredictedWait() time.Duration {
	total := k.TokensAhead + float64(k.UncachedTokens)
	if total <= 0 {
		return 0
	}
	return time.Duration(float64(k.PredictedFirstToken) * k.TokensAhead / total)
}

// markPrefillDone removes the pick's prompt tokens from the pending ones of its endpoint, once.
func (k *Pick) markPrefillDone(c *candidate.Candidate) {
	if !k.prefillDone {
		k.prefillDone = true
		c.PrefillDone(k.UncachedTokens)
	}
}

// find returns the endpoint of a pick if it is still in the same incarnation. The caller holds the
// lock.
func (r *Registry) find(k *Pick) *candidate.Candidate {
	p := r.pools[k.Pool]
	if p == nil {
		return nil
	}
	i, ok := r.positions[k.id]
	if !ok || i >= len(p.candidates) || p.candidates[i].Endpoint != k.Endpoint || p.candidates[i].Incarnation != k.Incarnation {
		return nil
	}
	return &p.candidates[i]
}

// Usable reports whether the request of a pick may be sent now. Without this check a request that
// was chosen before a notice and then delayed would reach an endpoint that is leaving.
func (r *Registry) Usable(k *Pick) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.find(k)
	return c != nil && !c.Leaving && !time.Now().Before(c.BackoffUntil)
}

// Leaving reports whether the host of a pick is leaving, or no longer listed in this incarnation, and
// its deadline if that is known.
func (r *Registry) Leaving(k *Pick) (deadline time.Time, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.find(k)
	if c == nil {
		return time.Time{}, true
	}
	return c.Deadline, c.Leaving
}

// Presence is what the list of hosts says of an incarnation of an endpoint.
type Presence int

// The presences.
const (
	// Listed: it is listed and not known to leave.
	Listed Presence = iota
	// Leaving: it is leaving, or has left.
	Leaving
	// Lapsed: it is no longer listed and has not said that it leaves. It may serve on.
	Lapsed
	// Replaced: so it is, and another incarnation is listed at its address.
	Replaced
)

// Presence returns what is known of the incarnation of a pick.
func (r *Registry) Presence(k *Pick) Presence {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, leaving := r.c.LeavingHosts.Leaving(k.Host, k.Incarnation)
	c := r.find(k)
	switch {
	case leaving || c != nil && c.Leaving:
		return Leaving
	case c != nil:
		return Listed
	}
	presence := Lapsed
	r.forEach(func(c *candidate.Candidate) {
		if c.Address == k.Address {
			presence = Replaced
		}
	})
	return presence
}

// ObserveFirstToken records the measured time to first token of a pick.
func (r *Registry) ObserveFirstToken(k *Pick, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.find(k)
	if c == nil {
		return
	}
	k.markPrefillDone(c)
	if k.PredictedFirstToken > 0 {
		c.ObserveFirstToken(took, k.PredictedFirstToken, time.Now())
	}
}

// Find returns a pick of an incarnation of an endpoint on which no request is counted; nil if it is
// not listed. It is for requests that another daemon counts.
func (r *Registry) Find(e identifier.Endpoint, start identifier.StartTime) *Pick {
	r.mu.Lock()
	defer r.mu.Unlock()
	var k *Pick
	r.forEach(func(c *candidate.Candidate) {
		if c.Endpoint == e && c.StartTime == start {
			k = r.newPick(c)
			k.Version = c.Version
		}
	})
	return k
}
