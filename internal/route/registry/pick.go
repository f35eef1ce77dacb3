package registry

import (
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"
)

// Pick is a chosen endpoint with one request counted on it.
type Pick struct {
	Endpoint    identifier.Endpoint
	Host        identifier.Host
	Incarnation identifier.Incarnation
	Born        identifier.StartTime
	Address     string
	Pool        identifier.Pool
	Version     identifier.Version
	// Cold: the endpoint is slow as it has just started.
	Cold bool
	// PricePerSecond is that of the host.
	PricePerSecond float64
	// PredictedFirstToken is the first token's time, as predicted from the request's own
	// Uncached prompt tokens, those Ahead of it and the Streams that run.
	PredictedFirstToken time.Duration
	// NominalFirstToken is the same for an endpoint that is as quick as the others.
	NominalFirstToken    time.Duration
	UncachedTokens identifier.Tokens
	TokensAhead    float64
	Streams  float64

	// Activity is told of what comes from the endpoint.
	Activity *candidate.Activity

	id int32
	// turn: the request has its part of the endpoint's limit.
	turn bool
	// read: the prompt tokens do not count as unread any more.
	read bool
}

// PredictedWait is the part of the predicted time in which the endpoint reads what is ahead.
func (k *Pick) PredictedWait() time.Duration {
	all := k.TokensAhead + float64(k.UncachedTokens)
	if all <= 0 {
		return 0
	}
	return time.Duration(float64(k.PredictedFirstToken) * k.TokensAhead / all)
}

// readAt takes the prompt tokens of a pick off its endpoint's unread ones, once.
func (k *Pick) readAt(c *candidate.Candidate) {
	if !k.read {
		k.read = true
		c.PrefillDone(k.UncachedTokens)
	}
}

// find returns a pick's endpoint if it is still the same life of the host.
// The caller holds the lock.
func (r *Registry) find(k *Pick) *candidate.Candidate {
	p := r.pools[k.Pool]
	if p == nil {
		return nil
	}
	i, ok := r.place[k.id]
	if !ok || i >= len(p.candidates) || p.candidates[i].Endpoint != k.Endpoint || p.candidates[i].Incarnation != k.Incarnation {
		return nil
	}
	return &p.candidates[i]
}

// Usable tells whether new work may be sent to a pick right now. Without this
// check a request chosen before the notice, and held up since, would reach an
// endpoint that is leaving.
func (r *Registry) Usable(k *Pick) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.find(k)
	return c != nil && !c.Leaving && !time.Now().Before(c.BackoffUntil)
}

// Leaving tells whether a pick's host is leaving, and when if that is known.
func (r *Registry) Leaving(k *Pick) (deadline time.Time, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.find(k)
	if c == nil {
		return time.Time{}, true
	}
	return c.Deadline, c.Leaving
}

// ObserveFirstToken takes in how long a pick's first token took.
func (r *Registry) ObserveFirstToken(k *Pick, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.find(k)
	if c == nil {
		return
	}
	k.readAt(c)
	if k.PredictedFirstToken > 0 {
		c.ObserveFirstToken(took, k.PredictedFirstToken, time.Now())
	}
}
