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

// byRank compares daemons by [Rank].
func byRank(a, b Daemon) int { return cmp.Compare(Rank(a.Host), Rank(b.Host)) }

// Relays returns the relays of a zone by rank, without this daemon. Where no daemon is known to
// be live, it returns the first ones that may be.
func (r *Roster) Relays(zone identifier.AvailabilityZone, now time.Time) []Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	usable := r.usableRelays(zone, now)
	slices.SortFunc(usable, func(a, b *Daemon) int { return byRank(*a, *b) })
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

// countBefore counts the daemons of a list that rank before this one.
func (r *Roster) countBefore(daemons []*Daemon) int {
	n, own := 0, Rank(r.c.Host)
	for _, d := range daemons {
		if Rank(d.Host) < own {
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
	return r.rankInZone(now, func(*Daemon) bool { return true }) < r.relaysPerZone()
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
	if r.rankInZone(now, func(d *Daemon) bool { return d.Observing }) < followersPerZone {
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
	own := Rank(r.c.Host)
	var out []Daemon
	for _, d := range r.daemons {
		if d.Host != "" && d.Zone == r.c.Zone && !d.isLive(now) && Rank(d.Host) < own {
			out = append(out, *d)
		}
	}
	slices.SortFunc(out, byRank)
	return out[:min(r.relaysPerZone(), len(out))]
}

// rankInZone counts the usable daemons of this daemon's zone that rank before it and pass a
// check.
func (r *Roster) rankInZone(now time.Time, passes func(*Daemon) bool) int {
	n, own := 0, Rank(r.c.Host)
	for _, d := range r.daemons {
		if d.Zone == r.c.Zone && Rank(d.Host) < own && d.usableAsRelay(now) && passes(d) {
			n++
		}
	}
	return n
}
