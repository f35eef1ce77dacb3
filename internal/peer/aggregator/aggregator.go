// Package aggregator sums the digests of the daemons of a large fleet.
//
// If each daemon sends each other one what it charges, demands and sends to endpoints, the cost
// grows with the square of the fleet: with 195 daemons digests were 6 to 13 s old, and a run of
// 80 s took 0.04 of a core per daemon. All that readers need are sums. So a few relays of each
// availability zone receive the digests of its daemons, send the relays of the other zones the
// sum of their zone, and send each daemon of their own zone the sum of all others.
//
// Charges are sent as running totals. A relay adds up what each process of its zone has charged
// since the relay first heard it, so its totals only rise. Digests that are not newer than the
// last one of the same process are ignored. So digests that arrive late, twice or out of
// order change nothing.
//
// Several relays sum the same zone, and their sums are never added to each other. A reader
// follows one relay, the primary: the first by rank that was heard lately and hears enough of
// the zone. At each update of the primary the reader marks the totals of the other relays. When
// the primary falls silent, the reader continues with the next relay from its mark. A relay that
// was paused, or that hears only a part of its zone, is not followed until it hears as much as
// the others.
//
// # Usage
//
//	a := aggregator.New(aggregator.Config{Host: "front-1", Zone: "a", Start: time.Now()})
//	a.ApplyOwn(digest, now)
//	update, changed := a.Merge(digest, relaying, now)
//	digest.Summary = a.ZoneSum(now) // to relays of other zones
//	digest.Summary = a.FleetSumExcept(receiver, now) // to daemons of its own zone
package aggregator

import (
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"
)

const (
	// silentAfter is the age of a daemon's last digest from which it counts as silent: it may be
	// cut off and still serve. After forgetAfter it counts as ended.
	silentAfter = 3 * time.Second
	forgetAfter = 30 * time.Second
	// joinAge is the age of a process up to which all that it has charged since its start counts
	// when it is first heard. Charges of an older process were heard by others, and are already
	// in the buckets or have been given back to them.
	joinAge = 5 * time.Second
	// maxSumAge is how long sums are reused: dozens of daemons ask for them within it.
	maxSumAge = 100 * time.Millisecond
	// maxDaemons bounds the daemons of a zone that are summed, maxZones the zones.
	maxDaemons = 1024
	maxZones   = 256
)

// Config identifies the daemon. Start is when its process started.
type Config struct {
	Host  identifier.Host
	Zone  identifier.AvailabilityZone
	Start time.Time
}

// Account is what one or more daemons charged an organisation.
type Account struct {
	// Total is what was charged since the daemons were first heard, Level the sender's estimate
	// of what is left of the fleet's quota, RequestRate what is requested per second, all in
	// tokens of the quota's token bucket. NoLevel means that the sender has no estimate.
	Total, Level, RequestRate float64
	NoLevel                   bool
}

// Update is a change in the accounts of one daemon or of a group of daemons.
type Update struct {
	// Name is the daemon's host, or "zone/" with a zone's name, or "fleet/rest" for all other
	// daemons of the fleet.
	Name        identifier.Host
	Incarnation uint64
	// Age is the time since the daemon started. That of a group continues when another relay is
	// followed.
	Age             time.Duration
	Daemons, Silent int
	Accounts        map[identifier.Organisation]Account
}

// member is a daemon of this daemon's zone.
type member struct {
	digest  *rpc.Digest
	heardAt time.Time
	// last holds the totals that the daemon sent last, counted its part of the zone's totals,
	// and base the value of counted from which updates start.
	last, counted, base map[string]float64
	// rebase means that the next update sets base to counted.
	rebase bool
}

// Aggregator sums digests. It is safe for concurrent use.
type Aggregator struct {
	c Config

	mu      sync.Mutex
	members map[identifier.Host]*member
	zones   map[identifier.AvailabilityZone]*group
	// rest is the whole fleet except this daemon, as summed by relays of its zone.
	rest group
	// totals are the charges of this daemon's zone, by organisation.
	totals map[string]float64
	// zoneSums and fleetSums are the last sums of this daemon's zone and of the fleet.
	zoneSums, fleetSums *sums
	summedAt            time.Time
	// incompleteAt is when this daemon last was no relay, or heard too few daemons of its zone, which is
	// checked every maxSumAge.
	incompleteAt, checkedAt time.Time
	// reported is set once an update was returned.
	reported bool
	// rejected counts the invalid items that were left out of messages, skipped the digests and sums whose
	// charges were not counted because this daemon had missed what came before.
	rejected, skipped int
}

// New returns an aggregator that has received no digest.
func New(c Config) *Aggregator {
	return &Aggregator{
		c: c, members: make(map[identifier.Host]*member), zones: make(map[identifier.AvailabilityZone]*group),
		totals: make(map[string]float64),
	}
}

// ApplyOwn merges this daemon's own digest.
func (a *Aggregator) ApplyOwn(d *rpc.Digest, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mergeMember(d, now)
}

// Merge merges another daemon's digest and returns the update of accounts that it brings, if
// any. A relay gets updates of the daemons of its zone and of the other zones, any other daemon
// gets updates of the rest of the fleet. Invalid items of the digest's summary are removed from
// it.
func (a *Aggregator) Merge(d *rpc.Digest, relaying bool, now time.Time) (u Update, changed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkCompleteness(relaying, now)
	zone := identifier.AvailabilityZone(d.GetAvailabilityZone())
	summary := d.GetRelaying() && d.GetSummary() != nil
	if summary {
		a.rejected += dropInvalid(d.GetSummary())
	}
	switch {
	case zone != a.c.Zone && summary:
		g := a.zones[zone]
		if g == nil {
			if len(a.zones) >= maxZones {
				a.rejected++
				return Update{}, false
			}
			g = new(group)
			a.zones[zone] = g
		}
		if changed = g.merge(d, a.c.Start, now, a.missed(g.heardAt, now)) && relaying; !changed {
			return Update{}, false
		}
		a.reported = true
		return g.update("zone/" + identifier.Host(zone)), true
	case zone != a.c.Zone:
		return Update{}, false
	}
	m := a.mergeMember(d, now)
	if summary {
		changed = a.rest.merge(d, a.c.Start, now, false)
	}
	switch {
	case relaying && m.digest == d:
		a.reported = true
		return m.update(), true
	case !relaying && changed:
		a.reported = true
		return a.rest.update("fleet/rest"), true
	}
	return Update{}, false
}

// checkCompleteness finds out whether this daemon hears the digests and sums that a relay hears.
func (a *Aggregator) checkCompleteness(relaying bool, now time.Time) {
	if !relaying {
		a.incompleteAt = now
		return
	}
	if now.Sub(a.checkedAt) < maxSumAge {
		return
	}
	a.checkedAt = now
	heard, all := 0, 0
	for host, m := range a.members {
		if host == a.c.Host {
			continue
		}
		all++
		if now.Sub(m.heardAt) <= silentAfter {
			heard++
		}
	}
	if float64(heard) < minCoverage*float64(all) {
		a.incompleteAt = now
	}
}

// missed reports whether this daemon is the one that missed what was charged since heardAt, because it
// was isolated or no relay. Other relays counted these charges when they were made. Counted here
// as well, they would count again at each daemon that follows this one next. TakeSkipped tells how often
// it was so.
func (a *Aggregator) missed(heardAt, now time.Time) bool {
	if heardAt.IsZero() || now.Sub(heardAt) <= silentAfter || !a.incompleteAt.After(heardAt) {
		return false
	}
	a.skipped++
	return true
}

// TakeRejected returns how many items of messages were rejected since the last call: those that
// are not a number, negative, or higher than a fleet can reach.
func (a *Aggregator) TakeRejected() int { return a.take(&a.rejected) }

// TakeSkipped returns how many digests and sums came since the last call whose charges were not counted:
// this daemon had been isolated or no relay, and others had counted them.
func (a *Aggregator) TakeSkipped() int { return a.take(&a.skipped) }

// take returns a count and sets it to zero.
func (a *Aggregator) take(count *int) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, *count = *count, 0
	return n
}

// Rebase makes the accounts of each daemon and group start at zero again with the next update.
// It is called when this daemon becomes or ceases to be a relay: the reader has already charged
// the same daemons by updates of the other kind.
func (a *Aggregator) Rebase() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.reported {
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

// mergeMember merges the digest of a daemon of this daemon's zone.
func (a *Aggregator) mergeMember(d *rpc.Digest, now time.Time) *member {
	host := identifier.Host(d.GetHost())
	m := a.members[host]
	switch {
	case m == nil && len(a.members) >= maxDaemons:
		return &member{digest: new(rpc.Digest)}
	case m == nil || d.GetIncarnation() > m.digest.GetIncarnation():
		// The charges of the host's former process are in the quota levels that the new process
		// was given, so they are not part of its updates.
		var former map[string]float64
		if m != nil {
			former = m.counted
		}
		m = &member{last: make(map[string]float64), counted: cloneOrNew(former), base: cloneOrNew(former)}
		if time.Duration(d.GetAgeMilli())*time.Millisecond > joinAge && host != a.c.Host {
			for _, c := range d.GetCharges() {
				m.last[c.GetOrganisation()] = c.GetTotal()
			}
		}
		a.members[host] = m
	case d.GetIncarnation() < m.digest.GetIncarnation() || d.GetSequence() <= m.digest.GetSequence():
		return m
	}
	missed := host != a.c.Host && a.missed(m.heardAt, now)
	for _, c := range d.GetCharges() {
		_, known := a.totals[c.GetOrganisation()]
		if !validAmount(c.GetTotal()) || !validAmount(c.GetAskedPerSecond()) || !known && len(a.totals) >= maxItems {
			a.rejected++
			continue
		}
		increase := max(c.GetTotal()-m.last[c.GetOrganisation()], 0)
		m.last[c.GetOrganisation()] += increase
		if missed {
			continue
		}
		m.counted[c.GetOrganisation()] += increase
		a.totals[c.GetOrganisation()] += increase
	}
	m.digest, m.heardAt = d, now
	return m
}

// update returns the daemon's accounts as an update.
func (m *member) update() Update {
	if m.rebase {
		m.base, m.rebase = cloneOrNew(m.counted), false
	}
	d := m.digest
	return Update{
		Name: identifier.Host(d.GetHost()), Incarnation: d.GetIncarnation(), Age: time.Duration(d.GetAgeMilli()) * time.Millisecond,
		Daemons: 1, Accounts: accounts(d.GetCharges(), m.counted, m.base),
	}
}

// accounts returns charges as accounts, with the totals counted since a base.
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

// ZoneSum returns the sum of this daemon's zone, itself included. It may be up to 100 ms old.
func (a *Aggregator) ZoneSum(now time.Time) *rpc.Summary {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshSums(now)
	return a.zoneSums.message(nil)
}

// FleetSumExcept returns the sum of the fleet, this daemon included, except one daemon of its
// zone. It may be up to 100 ms old.
func (a *Aggregator) FleetSumExcept(without identifier.Host, now time.Time) *rpc.Summary {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshSums(now)
	return a.fleetSums.message(a.members[without])
}

// OthersSum returns the demands of all other daemons and what they send to each endpoint. A relay
// sums them itself, any other daemon has them from a relay; they are empty if it hears no relay.
func (a *Aggregator) OthersSum(relaying bool, now time.Time) *rpc.Summary {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !relaying {
		if s := a.rest.current(now); s != nil {
			return s
		}
		return new(rpc.Summary)
	}
	a.refreshSums(now)
	return a.fleetSums.message(a.members[a.c.Host])
}

// OthersLoads returns the loads of OthersSum and the time to which the ages of the signs of life in
// them refer.
func (a *Aggregator) OthersLoads(relaying bool, now time.Time) (loads []*rpc.EndpointLoad, asOf time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !relaying {
		return a.rest.current(now).GetLoads(), a.rest.lastHeard()
	}
	a.refreshSums(now)
	return a.fleetSums.message(a.members[a.c.Host]).GetLoads(), a.fleetSums.agesAt()
}

// refreshSums computes the sums anew if they are older than maxSumAge.
func (a *Aggregator) refreshSums(now time.Time) {
	if a.fleetSums != nil && now.Sub(a.summedAt) < maxSumAge {
		return
	}
	a.summedAt = now
	a.zoneSums, a.fleetSums = newSums(now), newSums(now)
	for host, m := range a.members {
		silent := now.Sub(m.heardAt)
		if silent > forgetAfter {
			delete(a.members, host)
			continue
		}
		for _, s := range []*sums{a.zoneSums, a.fleetSums} {
			s.addMember(m, silent > silentAfter, host == a.c.Host)
		}
	}
	for o, total := range a.totals {
		a.zoneSums.addTotal(o, total)
		a.fleetSums.addTotal(o, total)
	}
	for _, g := range a.zones {
		if now.Sub(g.heardAt) > forgetAfter {
			// All relays of the group are silent. Its totals stay, as totals only rise.
			g.sources = nil
		}
		a.fleetSums.addGroup(g, now)
	}
}
