package roster

import (
	"cmp"
	"slices"
	"time"

	"brasschute/internal/core/identifier"
)

// relaysPerZone returns how many daemons of each zone act as relays.
func (r *Roster) relaysPerZone() int {
	return max(minRelaysPerZone, (minRelays+len(r.zones)-1)/len(r.zones))
}

// byPreference compares daemons by how soon they become relays.
func byPreference(a, b *Daemon) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(Rank(a.Host), Rank(b.Host)))
}

// self returns this daemon as an entry of the roster.
func (r *Roster) self() *Daemon {
	return &Daemon{Host: r.c.Host, Zone: r.c.Zone, Address: r.c.Address, Capacity: r.c.Capacity}
}

// Relays returns the relays of a zone, without this daemon. Where no daemon is known to
// be live, it returns the first ones that may be.
func (r *Roster) Relays(zone identifier.AvailabilityZone, now time.Time) []Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	usable := r.usableRelays(zone, now)
	slices.SortFunc(usable, byPreference)
	n := r.relaysPerZone()
	if zone == r.c.Zone && r.countBefore(usable) < n {
		n--
	}
	out := make([]Daemon, 0, n+maxExtraRelays)
	for i, d := range usable {
		if i < n || d.Relaying && d.isLive(now) && len(out) < n+maxExtraRelays {
			out = append(out, *d)
		}
	}
	return out
}

// usableRelays returns the daemons of a zone that this daemon may choose as relays, and if there are
// none those that may be live. The caller holds the lock.
func (r *Roster) usableRelays(zone identifier.AvailabilityZone, now time.Time) []*Daemon {
	var usable, known []*Daemon
	for _, d := range r.daemons {
		switch {
		case d.Host == "" || d.Zone != zone:
		case d.usableAsRelay(now):
			usable = append(usable, d)
		case !d.Stopping:
			known = append(known, d)
		}
	}
	if len(usable) == 0 {
		return known
	}
	return usable
}

// countBefore counts the daemons of a list that become relays before this one.
func (r *Roster) countBefore(daemons []*Daemon) int {
	n, self := 0, r.self()
	for _, d := range daemons {
		if byPreference(d, self) < 0 {
			n++
		}
	}
	return n
}

// IsRelay reports whether this daemon is a relay of its zone.
func (r *Roster) IsRelay(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isRelay(now)
}

// isRelay is IsRelay for callers that hold the lock.
func (r *Roster) isRelay(now time.Time) bool {
	if r.countInZone(now, func(d, self *Daemon) bool { return byPreference(d, self) < 0 }) < r.relaysPerZone() {
		return true
	}
	older := r.countInZone(now, func(d, _ *Daemon) bool { return d.Capacity == 0 && !d.LastHeard().IsZero() })
	return older > 0 && r.countInZone(now, func(d, self *Daemon) bool { return Rank(d.Host) < Rank(self.Host) }) < r.relaysPerZone()
}

// FollowsStore reports whether this daemon watches the store for others. The first relays of
// each zone do, [minFollowers] or more in the fleet. A relay that does not reach the store is
// skipped. If fewer than [minObservers] other daemons reach it, every relay tries.
func (r *Roster) FollowsStore(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isRelay(now) {
		return false
	}
	followersPerZone := (minFollowers + len(r.zones) - 1) / len(r.zones)
	if r.countInZone(now, func(d, self *Daemon) bool { return d.Observing && byPreference(d, self) < 0 }) < followersPerZone {
		return true
	}
	observers := 0
	for _, d := range r.daemons {
		if d.Observing && !d.Stopping && d.isLive(now) {
			observers++
		}
	}
	return observers < minObservers
}

// DisplacedRelays returns the daemons that would be relays in place of this one if they were
// live. They may be cut off and serve as relays for daemons that this one does not hear, so
// unless they are called, the fleet stays split in two.
func (r *Roster) DisplacedRelays(now time.Time) []Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	self := r.self()
	var displaced []*Daemon
	for _, d := range r.daemons {
		if d.Host != "" && d.Zone == r.c.Zone && !d.isLive(now) && byPreference(d, self) < 0 {
			displaced = append(displaced, d)
		}
	}
	slices.SortFunc(displaced, byPreference)
	out := make([]Daemon, 0, r.relaysPerZone())
	for _, d := range displaced[:min(r.relaysPerZone(), len(displaced))] {
		out = append(out, *d)
	}
	return out
}

// countInZone counts the usable daemons of this daemon's zone that pass a check, which compares
// them with this daemon.
func (r *Roster) countInZone(now time.Time, passes func(d, self *Daemon) bool) int {
	n, self := 0, r.self()
	for _, d := range r.daemons {
		if d.Zone == r.c.Zone && d.usableAsRelay(now) && passes(d, self) {
			n++
		}
	}
	return n
}
