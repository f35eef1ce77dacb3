// Package pacer makes all daemons together keep to the rate limits that endpoints state.
//
// # Limits
//
// An overloaded endpoint states in its responses how many requests per second it accepts from all
// daemons together. A limit in one response applies to all requests to that incarnation of the
// endpoint, at this daemon and, by gossip, at all others. It ends with a response without a limit
// to a request that was sent after the limit was stated.
//
// # Senders
//
// A fleet may have more daemons than a small limit has requests per second. If each daemon had an
// equal share, all of them could find their shares unused and send at the same moment, many times
// what the endpoint accepts. So only a few daemons send to an endpoint with a limit of N per
// second: N + [spareSenders], rounded down, chosen by rendezvous hashing of their names with the
// endpoint's, so that all daemons choose the same ones without communicating. Each sends N divided
// by their number per second, evenly spaced, and saves up no more than one request. So T seconds
// bring at most N·T + N + [spareSenders] requests, whatever came before.
//
// If clients prefer one daemon, that daemon borrows the slots of others ([Pacer.Lend]), which they
// then do not use.
//
// A daemon that receives gossip from only a part of the fleet uses only that part of the limit,
// because it may be partitioned from others that go on sending.
//
// # Gossip
//
// Of two limits for an incarnation the later one applies, by the estimate of the true time that is
// sent with it. A limit that is relayed from daemon to daemon does not become newer.
//
// # Usage
//
//	p := pacer.New(pacer.Config{Host: name, Fleet: fleet, Now: clock.Now, OnChange: log})
//	p.ObserveResponse(incarnation, pacer.NewRateLimit(2.5), sent)
//	if p.Take(incarnation, time.Now()) { send() } // right before a request is sent
//	p.Merge(limits) // from a peer
//	limits = p.Updates() // for peers
package pacer

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"brasschute/internal/core/identifier"
)

const (
	// endedTTL is how long the end of a limit is remembered: longer than gossip takes to arrive.
	endedTTL = time.Minute
	// maxClockSkew is how far a peer's estimate of the time may be ahead of this daemon's.
	maxClockSkew = 2 * time.Second
	// maxLimits bounds the endpoints that are remembered, maxUpdates those that are gossiped.
	maxLimits  = 4096
	maxUpdates = 64
)

// RateLimit is what an endpoint states about its limit.
type RateLimit struct {
	// PerSecond is the number of requests per second from all daemons together. Limited is false if
	// the endpoint states no limit.
	PerSecond float64
	Limited   bool
}

// NewRateLimit returns a limit of perSecond requests per second.
func NewRateLimit(perSecond float64) RateLimit { return RateLimit{perSecond, true} }

// Limit is the latest limit, or the end of one, of an incarnation of an endpoint.
type Limit struct {
	identifier.EndpointIncarnation
	RateLimit
	// At is when it was stated, by the fleet's estimate of the true time.
	At time.Time
}

// Change is a limit that differs from the previous one.
type Change struct {
	Limit
	Previous RateLimit
	// Local is true if a response to this daemon stated the limit, false if a peer reported it.
	Local bool
	// Rate is the number of requests per second that this daemon may send, 0 if it is not a sender.
	Rate float64
}

// Config holds the pacer's dependencies.
type Config struct {
	Host  identifier.Host
	Fleet func() Fleet
	// Now returns an estimate of the true time.
	Now func() time.Time
	// OnChange is called after each change.
	OnChange func(Change)
}

// entry is the state of one incarnation.
type entry struct {
	Limit
	// statedAt is when a response to this daemon last stated the limit.
	statedAt time.Time
	// rate is the number of requests per second that this daemon may send, 0 for none, as of
	// refreshedAt.
	rate        float64
	refreshedAt time.Time
	// lastSend is when a request last used its send slot.
	lastSend time.Time
	// borrowed holds until when slots lent by other daemons may be used.
	borrowed []time.Time
}

// Pacer tracks the limits of endpoints and spaces this daemon's requests accordingly. It is safe
// for concurrent use.
type Pacer struct {
	c Config
	// limited is the number of incarnations with a limit.
	limited atomic.Int64

	mu      sync.Mutex
	entries map[identifier.EndpointIncarnation]*entry
	// fleet is the result of Config.Fleet as of fleetAt.
	fleet   Fleet
	fleetAt time.Time
}

// New returns a pacer without limits.
func New(c Config) *Pacer {
	return &Pacer{c: c, entries: make(map[identifier.EndpointIncarnation]*entry)}
}

// HasLimits reports whether any endpoint has a limit.
func (p *Pacer) HasLimits() bool { return p.limited.Load() > 0 }

// ObserveResponse records the limit, or its absence, in the response to a request that was sent at
// a given time.
func (p *Pacer) ObserveResponse(i identifier.EndpointIncarnation, limit RateLimit, sent time.Time) {
	if !limit.Limited && !p.HasLimits() {
		return
	}
	p.mu.Lock()
	e := p.entries[i]
	if !limit.Limited && (e == nil || sent.Before(e.statedAt)) {
		// There is no limit to end, or the response may have been written before the limit was
		// stated.
		p.mu.Unlock()
		return
	}
	at := p.c.Now()
	if e != nil && !at.After(e.At) {
		// The clock that stamped the previous limit is ahead of this one.
		at = e.At.Add(time.Millisecond)
	}
	change, changed := p.set(Limit{EndpointIncarnation: i, RateLimit: limit, At: at})
	if e = p.entries[i]; e != nil && limit.Limited {
		e.statedAt = time.Now()
	}
	p.mu.Unlock()
	if changed {
		change.Local = true
		p.c.OnChange(change)
	}
}

// Merge records the limits that a peer reports.
func (p *Pacer) Merge(limits []Limit) {
	var changes []Change
	p.mu.Lock()
	latest := p.c.Now().Add(maxClockSkew)
	for _, l := range limits {
		if l.At.After(latest) {
			l.At = latest
		}
		if e := p.entries[l.EndpointIncarnation]; e != nil && !l.At.After(e.At) {
			continue
		}
		if change, changed := p.set(l); changed {
			changes = append(changes, change)
		}
	}
	p.mu.Unlock()
	for _, c := range changes {
		p.c.OnChange(c)
	}
}

// set stores the latest limit of an incarnation and reports whether it differs from the previous
// one. The caller holds the lock.
func (p *Pacer) set(l Limit) (c Change, changed bool) {
	e := p.entries[l.EndpointIncarnation]
	if e == nil {
		if len(p.entries) >= maxLimits {
			return Change{}, false
		}
		e = &entry{Limit: Limit{EndpointIncarnation: l.EndpointIncarnation}}
		p.entries[l.EndpointIncarnation] = e
	}
	previous := e.RateLimit
	e.Limit = l
	if previous == l.RateLimit {
		return Change{}, false
	}
	if l.Limited != previous.Limited {
		p.limited.Add(delta(l.Limited))
	}
	e.refreshedAt = time.Time{}
	p.refresh(e, time.Now())
	return Change{Limit: l, Previous: previous, Rate: e.rate}, true
}

// delta returns the change in the number of limits.
func delta(limited bool) int64 {
	if limited {
		return 1
	}
	return -1
}

// Ready reports whether a request to an incarnation of an endpoint may be sent now.
func (p *Pacer) Ready(i identifier.EndpointIncarnation, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entries[i]
	return e == nil || p.ready(e, now)
}

func (p *Pacer) ready(e *entry, now time.Time) bool {
	if !e.Limited {
		return true
	}
	p.refresh(e, now)
	return e.slotDue(now) || e.hasBorrowed(now)
}

// slotDue reports whether this daemon's own slot is due.
func (e *entry) slotDue(now time.Time) bool { return e.rate > 0 && !now.Before(e.nextSlot()) }

// nextSlot returns when this daemon's own slot is due. The rate must not be 0.
func (e *entry) nextSlot() time.Time { return e.lastSend.Add(e.interval()) }

// Take uses the send slot for a request that is sent now, and reports whether it may be sent.
func (p *Pacer) Take(i identifier.EndpointIncarnation, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entries[i]
	if e == nil || !e.Limited {
		return true
	}
	p.refresh(e, now)
	if e.slotDue(now) {
		e.lastSend = now
		return true
	}
	return e.takeBorrowed(now)
}

// Return gives back the slot of a request that was not sent.
func (p *Pacer) Return(i identifier.EndpointIncarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.entries[i]; e != nil && e.rate > 0 {
		e.lastSend = e.lastSend.Add(-e.interval())
	}
}

// NextSend returns when the next send slot at an incarnation of an endpoint is due; zero if this
// daemon does not send to it, or it has no limit.
func (p *Pacer) NextSend(i identifier.EndpointIncarnation) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.entries[i]; e != nil && e.Limited && e.rate > 0 {
		return e.nextSlot()
	}
	return time.Time{}
}

// Limits returns the current limits, ordered by endpoint; limits that have ended are left out.
func (p *Pacer) Limits() []Limit {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Limit, 0, len(p.entries))
	for _, e := range p.entries {
		if e.Limited {
			out = append(out, e.Limit)
		}
	}
	slices.SortFunc(out, func(a, b Limit) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// Updates returns the newest limits to report to peers, including ends of limits.
func (p *Pacer) Updates() []Limit {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Limit, 0, len(p.entries))
	for _, e := range p.entries {
		out = append(out, e.Limit)
	}
	slices.SortFunc(out, func(a, b Limit) int { return b.At.Compare(a.At) })
	return out[:min(len(out), maxUpdates)]
}

// Prune removes the limits of incarnations that are no longer listed, and limits that ended long
// ago.
func (p *Pacer) Prune(listed func(identifier.EndpointIncarnation) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cutoff := p.c.Now().Add(-endedTTL)
	for i, e := range p.entries {
		if e.At.After(cutoff) || e.Limited && listed(i) {
			continue
		}
		if e.Limited {
			p.limited.Add(-1)
		}
		delete(p.entries, i)
	}
}
