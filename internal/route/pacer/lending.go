package pacer

import (
	"math/rand/v2"
	"slices"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/ranker"
)

// borrowTTL is how long a borrowed send slot may be used, from the call for it on. The lender has
// used the slot up by then, so that a limit is exceeded by no more than what is sent in this time.
const borrowTTL = 200 * time.Millisecond

// Lend uses this daemon's send slot at one of some incarnations, for a request that another daemon
// sends. at is the position of that incarnation. If no slot is due, next is when the first one will be,
// zero if this daemon sends to none.
func (p *Pacer) Lend(list []identifier.EndpointIncarnation, now time.Time) (at int, ok bool, next time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range rand.Perm(len(list)) {
		e := p.entries[list[at]]
		if e == nil || !e.Limited {
			continue
		}
		p.refresh(e, now)
		switch {
		case e.slotDue(now):
			e.lastSend = now
			return at, true, next
		case e.rate > 0 && (next.IsZero() || e.nextSlot().Before(next)):
			next = e.nextSlot()
		}
	}
	return 0, false, next
}

// Borrow adds a send slot that another daemon has lent in a call that began at a given time.
func (p *Pacer) Borrow(i identifier.EndpointIncarnation, called time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.entries[i]; e != nil && e.Limited {
		e.borrowed = append(e.borrowed, called.Add(borrowTTL))
	}
}

// takeBorrowed uses a borrowed slot. The caller holds the lock.
func (e *entry) takeBorrowed(now time.Time) bool {
	if !e.hasBorrowed(now) {
		return false
	}
	e.borrowed = e.borrowed[1:]
	return true
}

// hasBorrowed reports whether a borrowed slot is left, and drops those that have lapsed. The caller
// holds the lock.
func (e *entry) hasBorrowed(now time.Time) bool {
	e.borrowed = slices.DeleteFunc(e.borrowed, func(until time.Time) bool { return !now.Before(until) })
	return len(e.borrowed) > 0
}

// Senders returns the other daemons that send to an incarnation with a limit; none if it has none.
func (p *Pacer) Senders(i identifier.EndpointIncarnation) []identifier.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entries[i]
	if e == nil || !e.Limited {
		return nil
	}
	p.refresh(e, time.Now())
	best := ranker.New[identifier.Host](senders(e.PerSecond, len(p.fleet.Peers)+1))
	seed := seedOf(i.Endpoint)
	best.Add(p.c.Host, weight(seed, p.c.Host))
	for _, host := range p.fleet.Peers {
		best.Add(host, weight(seed, host))
	}
	return slices.DeleteFunc(best.Items(), func(h identifier.Host) bool { return h == p.c.Host })
}
