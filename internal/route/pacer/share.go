package pacer

import (
	"math/rand/v2"
	"time"

	"brasschute/internal/core/identifier"

	"github.com/cespare/xxhash/v2"
)

const (
	// spareSenders daemons send in addition to one for each request per second, so that a limit is
	// used even if one of them has nothing to send.
	spareSenders = 2
	// minRate is the rate for endpoints that accept less, one request in ten seconds: an endpoint
	// that gets no requests cannot report that its limit has ended.
	minRate = 0.1
	// refreshInterval is how often the choice of senders is recomputed.
	refreshInterval = 250 * time.Millisecond
)

// Fleet is the part of the fleet that this daemon receives gossip from.
type Fleet struct {
	// Peers are the other live daemons that accept new work.
	Peers []identifier.Host
	// Size is the number of all daemons, including those from which no gossip arrives.
	Size int
	// Stopping: this daemon accepts no new work.
	Stopping bool
}

// interval returns the time between two send slots.
func (e *entry) interval() time.Duration { return time.Duration(float64(time.Second) / e.rate) }

// refresh recomputes this daemon's rate. A daemon that becomes a sender first waits for a random
// part of its interval, because those that have been senders until now may just have sent.
func (p *Pacer) refresh(e *entry, now time.Time) {
	if now.Sub(e.refreshedAt) < refreshInterval {
		return
	}
	e.refreshedAt = now
	previous := e.rate
	e.rate = p.rate(e, now)
	if previous == 0 && e.rate > 0 {
		e.lastSend = now.Add(-time.Duration(rand.Float64() * float64(e.interval())))
	}
}

// rate returns this daemon's part of a limit in requests per second.
func (p *Pacer) rate(e *entry, now time.Time) float64 {
	if now.Sub(p.fleetAt) >= refreshInterval {
		p.fleetAt, p.fleet = now, p.c.Fleet()
	}
	if !e.Limited || p.fleet.Stopping {
		return 0
	}
	perSecond := max(e.PerSecond, minRate)
	reachable := len(p.fleet.Peers) + 1
	senders := senders(perSecond, reachable)
	seed := seedOf(e.Endpoint)
	self, ahead := weight(seed, p.c.Host), 0
	for _, other := range p.fleet.Peers {
		if weight(seed, other) > self {
			ahead++
		}
	}
	if ahead >= senders {
		return 0
	}
	return perSecond / float64(senders) * float64(reachable) / float64(max(p.fleet.Size, reachable))
}

// senders returns how many of the reachable daemons send to an endpoint with a limit.
func senders(perSecond float64, reachable int) int {
	if perSecond >= float64(reachable) {
		return reachable
	}
	return min(int(max(perSecond, minRate))+spareSenders, reachable)
}

// seedOf returns the seed of an endpoint's weights.
func seedOf(e identifier.Endpoint) uint64 { return xxhash.Sum64String(string(e)) }

// weight is the rendezvous weight of a daemon for an endpoint, the same at every daemon.
func weight(seed uint64, host identifier.Host) uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	x := (seed ^ xxhash.Sum64String(string(host))) * multiplier
	return (x ^ x>>32) * multiplier
}
