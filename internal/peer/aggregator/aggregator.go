// Package aggregator sums what the daemons of a large fleet tell of themselves.
//
// # Why
//
// Where each daemon tells each other one what it charges, demands and sends to
// endpoints, the cost grows with the square of the fleet: with 195 daemons news was
// 6 to 13 s old, and a whole run of 80 s took 0.04 of a core a daemon. All that readers
// need are sums. So a few relays of each availability zone hear its daemons, tell the
// relays of the other zones the zone's sum, and tell the daemons of their own zone the
// sum of all others.
//
// # Sums that can be told twice
//
// What is charged is told as a running total. A relay adds up what each process of its
// zone charged since it heard it first; the total of a relay only rises, and news of a
// process or a relay that is not newer than what was heard of it before is left out. So
// news that is late, doubled or reordered changes nothing.
//
// Several relays sum the same zone. They are never added to each other: a reader follows
// one of them, the first by rank that was heard lately and knows the zone, and notes where
// the totals of the others stood at each of its news. When that one falls silent, the
// next goes on from the noted place. A relay that was paused, or that hears only a part
// of its zone, is passed over until it knows as much as the others.
//
// # Usage
//
//	a := aggregator.New(aggregator.Config{Host: "front-1", Zone: "a", Start: time.Now()})
//	a.Own(digest, now)
//	update, news := a.Hear(digest, relaying, now)
//	digest.Summary = a.Zone(now) // to relays of other zones
//	digest.Summary = a.Rest(receiver, now) // to daemons of the own zone
package aggregator

import (
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"
)

const (
	// silentAfter is when a daemon that is not heard counts as silent: it may be cut off
	// and still serve. forgetAfter is when it is taken for gone.
	silentAfter = 3 * time.Second
	forgetAfter = 30 * time.Second
	// joining is the age up to which all that a process charged since its start counts when
	// it is heard first. What an older one charged was heard by others, and is in the
	// buckets or has been given back to them.
	joining = 5 * time.Second
	// sumAge is how old a sum may be that is told: dozens of daemons ask within it.
	sumAge = 100 * time.Millisecond
	// mostDaemons bounds the daemons of a zone that are summed, mostZones the zones.
	mostDaemons = 1024
	mostZones   = 256
)

// Config names the daemon.
type Config struct {
	Host  identifier.Host
	Zone  identifier.AvailabilityZone
	Start time.Time
}

// Account is what some daemons charged an organisation.
type Account struct {
	// Total is what was charged since they were heard first, Level the teller's estimate
	// of what is left of the fleet's quota, RequestRate what is asked for in a second.
	// NoLevel: it has none.
	Total, Level, RequestRate float64
	NoLevel             bool
}

// Update is news of one daemon, or of several together.
type Update struct {
	// Name is the daemon's host, or names the group.
	Name        identifier.Host
	Incarnation uint64
	// Age is the time since the teller's start; of a group it goes on when another tells.
	Age             time.Duration
	Daemons, Silent int
	Accounts        map[identifier.Organisation]Account
}

// member is a daemon of the own zone.
type member struct {
	digest *rpc.Digest
	heard  time.Time
	// last is what was told last, counted what of it is in the zone's total, and base
	// what of that had been counted when this daemon began to follow members.
	last, counted, base map[string]float64
	// rebase: base is what is counted at the next update.
	rebase bool
}

// Aggregator sums. It is safe for concurrent use.
type Aggregator struct {
	c Config

	mu      sync.Mutex
	members map[identifier.Host]*member
	zones   map[identifier.AvailabilityZone]*group
	// rest is all of the fleet but this daemon, as relays of the own zone tell it.
	rest group
	// totals are those of the own zone.
	totals map[string]float64
	// zone and whole are the last sums of the own zone and of the fleet.
	zone, whole *sums
	summed      time.Time
	// told: an update was given.
	told bool
	// refused counts what was left out of messages.
	refused int
}

// New returns an aggregator that has heard nobody.
func New(c Config) *Aggregator {
	return &Aggregator{
		c: c, members: make(map[identifier.Host]*member), zones: make(map[identifier.AvailabilityZone]*group),
		totals: make(map[string]float64),
	}
}

// ApplyOwn takes in this daemon's own digest.
func (a *Aggregator) ApplyOwn(d *rpc.Digest, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.member(d, now)
}

// Merge takes in another daemon's digest. It returns what is news of the accounts: of a
// daemon of the own zone or of another zone to one that relays, of the rest of the fleet
// to one that does not.
func (a *Aggregator) Merge(d *rpc.Digest, relaying bool, now time.Time) (u Update, news bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	zone := identifier.AvailabilityZone(d.GetAvailabilityZone())
	summary := d.GetRelaying() && d.GetSummary() != nil
	if summary {
		a.refused += clean(d.GetSummary())
	}
	switch {
	case zone != a.c.Zone && summary:
		g := a.zones[zone]
		if g == nil {
			if len(a.zones) >= mostZones {
				a.refused++
				return Update{}, false
			}
			g = new(group)
			a.zones[zone] = g
		}
		if news = g.hear(d, a.c.Start, now) && relaying; !news {
			return Update{}, false
		}
		a.told = true
		return g.update("zone/" + identifier.Host(zone)), true
	case zone != a.c.Zone:
		return Update{}, false
	}
	m := a.member(d, now)
	if summary {
		news = a.rest.hear(d, a.c.Start, now)
	}
	switch {
	case relaying && m.digest == d:
		a.told = true
		return m.update(), true
	case !relaying && news:
		a.told = true
		return a.rest.update("fleet/rest"), true
	}
	return Update{}, false
}

// TakeRejected returns how many items of messages were left out since the last call: no
// numbers, negative, or more than a fleet could give.
func (a *Aggregator) TakeRejected() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.refused
	a.refused = 0
	return n
}

// Rebase makes the accounts of each daemon and group start at zero again with its next news:
// their reader has been told of the same daemons in another way, and has charged it.
func (a *Aggregator) Rebase() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.told {
		return
	}
	for _, m := range a.members {
		m.rebase = true
	}
	for _, g := range a.zones {
		g.rebase = true
	}
	a.rest.rebase = true
}

// member takes in what a daemon of the own zone tells.
func (a *Aggregator) member(d *rpc.Digest, now time.Time) *member {
	host := identifier.Host(d.GetHost())
	m := a.members[host]
	switch {
	case m == nil && len(a.members) >= mostDaemons:
		return &member{digest: new(rpc.Digest)}
	case m == nil || d.GetIncarnation() > m.digest.GetIncarnation():
		// What a former process of the host charged is no news to the new one, which is told
		// what is left.
		var former map[string]float64
		if m != nil {
			former = m.counted
		}
		m = &member{last: make(map[string]float64), counted: copied(former), base: copied(former)}
		if time.Duration(d.GetAgeMilli())*time.Millisecond > joining && host != a.c.Host {
			for _, c := range d.GetCharges() {
				m.last[c.GetOrganisation()] = c.GetTotal()
			}
		}
		a.members[host] = m
	case d.GetIncarnation() < m.digest.GetIncarnation() || d.GetSequence() <= m.digest.GetSequence():
		return m
	}
	for _, c := range d.GetCharges() {
		_, known := a.totals[c.GetOrganisation()]
		if !amount(c.GetTotal()) || !amount(c.GetAskedPerSecond()) || !known && len(a.totals) >= mostItems {
			a.refused++
			continue
		}
		more := max(c.GetTotal()-m.last[c.GetOrganisation()], 0)
		m.last[c.GetOrganisation()] += more
		m.counted[c.GetOrganisation()] += more
		a.totals[c.GetOrganisation()] += more
	}
	m.digest, m.heard = d, now
	return m
}

func (m *member) update() Update {
	if m.rebase {
		m.base, m.rebase = copied(m.counted), false
	}
	d := m.digest
	return Update{
		Name: identifier.Host(d.GetHost()), Incarnation: d.GetIncarnation(), Age: time.Duration(d.GetAgeMilli()) * time.Millisecond,
		Daemons: 1, Accounts: accounts(d.GetCharges(), m.counted, m.base),
	}
}

// accounts are charges as they are told, with the totals counted since a base.
func accounts(charges []*rpc.Charge, counted, base map[string]float64) map[identifier.Organisation]Account {
	out := make(map[identifier.Organisation]Account, len(charges))
	for _, c := range charges {
		o := c.GetOrganisation()
		out[identifier.Organisation(o)] = Account{
			Total: counted[o] - base[o], Level: c.GetLevel(), NoLevel: c.Level == nil, RequestRate: c.GetAskedPerSecond(),
		}
	}
	return out
}

// ZoneSum returns the sum of the own zone, this daemon included.
func (a *Aggregator) ZoneSum(now time.Time) *rpc.Summary {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sum(now)
	return a.zone.message(nil)
}

// FleetSumExcept returns the sum of the fleet, this daemon included, without one daemon of the own
// zone.
func (a *Aggregator) FleetSumExcept(without identifier.Host, now time.Time) *rpc.Summary {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sum(now)
	return a.whole.message(a.members[without])
}

// Others returns the demands of all other daemons and what they send to each endpoint. A
// relay sums it, another daemon has it from a relay.
func (a *Aggregator) Others(relaying bool, now time.Time) *rpc.Summary {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !relaying {
		if s := a.rest.current(now); s != nil {
			return s
		}
		return new(rpc.Summary)
	}
	a.sum(now)
	return a.whole.message(a.members[a.c.Host])
}

// sum brings the sums up to date.
func (a *Aggregator) sum(now time.Time) {
	if a.whole != nil && now.Sub(a.summed) < sumAge {
		return
	}
	a.summed = now
	a.zone, a.whole = newSums(), newSums()
	for host, m := range a.members {
		silent := now.Sub(m.heard)
		if silent > forgetAfter {
			delete(a.members, host)
			continue
		}
		for _, s := range []*sums{a.zone, a.whole} {
			s.member(m, silent > silentAfter, host == a.c.Host)
		}
	}
	for o, total := range a.totals {
		a.zone.total(o, total)
		a.whole.total(o, total)
	}
	for _, g := range a.zones {
		if now.Sub(g.heard) > forgetAfter {
			// Its relays are gone for good; its totals stay, as they only rise.
			g.sources = nil
		}
		a.whole.group(g, now)
	}
}
