package pacer

import (
	"math/rand/v2"
	"time"

	"brasschute/internal/core/identifier"

	"github.com/cespare/xxhash/v2"
)

const (
	// spareSenders send besides one for each request a second, so that a limit is used
	// though one of them has nothing to send.
	spareSenders = 2
	// leastRate is what is sent to an endpoint that takes less, a request in ten seconds:
	// one that is never asked can't say that its limit has ended.
	leastRate = 0.1
	// reviewPause is how often it is found out anew who sends.
	reviewPause = 250 * time.Millisecond
)

// Fleet is the part of the fleet that a daemon hears.
type Fleet struct {
	// Peers are the daemons that live and take work, without this one.
	Peers []identifier.Host
	// Size is the number of all daemons, those included that are not heard.
	Size int
	// Stopping: this daemon takes no new work.
	Stopping bool
}

// pause is the time between two turns.
func (e *entry) pause() time.Duration { return time.Duration(float64(time.Second) / e.share) }

// review finds out what this daemon sends. One that begins to send waits for a part of its
// pause: others that did until now may just have sent.
func (p *Pacer) review(e *entry, now time.Time) {
	if now.Sub(e.reviewed) < reviewPause {
		return
	}
	e.reviewed = now
	before := e.share
	e.share = p.share(e, now)
	if before == 0 && e.share > 0 {
		e.last = now.Add(-time.Duration(rand.Float64() * float64(e.pause())))
	}
}

// share is this daemon's part of a limit.
func (p *Pacer) share(e *entry, now time.Time) float64 {
	if now.Sub(p.heard) >= reviewPause {
		p.heard, p.fleet = now, p.c.Fleet()
	}
	if !e.Limited || p.fleet.Stopping {
		return 0
	}
	perSecond := max(e.PerSecond, leastRate)
	heard := len(p.fleet.Peers) + 1
	senders := heard
	if perSecond < float64(heard) {
		senders = min(int(perSecond)+spareSenders, heard)
	}
	seed := xxhash.Sum64String(string(e.Endpoint))
	own, before := rank(seed, p.c.Host), 0
	for _, other := range p.fleet.Peers {
		if rank(seed, other) > own {
			before++
		}
	}
	if before >= senders {
		return 0
	}
	return perSecond / float64(senders) * float64(heard) / float64(max(p.fleet.Size, heard))
}

// rank orders the daemons for one endpoint, the same everywhere.
func rank(seed uint64, host identifier.Host) uint64 {
	const odd = 0x9e3779b97f4a7c15
	x := (seed ^ xxhash.Sum64String(string(host))) * odd
	return (x ^ x>>32) * odd
}
