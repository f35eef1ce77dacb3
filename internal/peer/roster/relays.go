package roster

import (
	"cmp"
	"slices"
	"time"

	"brasschute/internal/core/identifier"
)

// relays is how many daemons of each zone relay.
func (r *Roster) relays() int {
	return max(perZone, (leastRelays+len(r.zones)-1)/len(r.zones))
}

// byRank orders daemons, the first to relay first.
func byRank(a, b Daemon) int { return cmp.Compare(Rank(a.Host), Rank(b.Host)) }

// Relays returns the daemons of a zone that relay, first by rank; without this one. Where
// none lives, those that may are returned.
func (r *Roster) Relays(zone identifier.AvailabilityZone, now time.Time) []Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	var usable, known []Daemon
	for _, d := range r.daemons {
		switch {
		case d.Host == "" || d.Zone != zone:
		case d.usable(now):
			usable = append(usable, *d)
		case !d.Stopping:
			known = append(known, *d)
		}
	}
	if len(usable) == 0 {
		usable = known
	}
	slices.SortFunc(usable, byRank)
	n := r.relays()
	if zone == r.c.Zone && r.before(usable) < n {
		n--
	}
	out := slices.Clone(usable[:min(n, len(usable))])
	for _, d := range usable[len(out):] {
		if d.Relaying && d.lives(now) && len(out) < n+mostExtra {
			out = append(out, d)
		}
	}
	return out
}

// before counts the daemons that go before this one.
func (r *Roster) before(daemons []Daemon) int {
	n, own := 0, Rank(r.c.Host)
	for i := range daemons {
		if Rank(daemons[i].Host) < own {
			n++
		}
	}
	return n
}

// IsRelay tells whether this daemon relays, by its name.
func (r *Roster) IsRelay(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.relaying(now)
}

// relaying is Relaying for callers that hold the lock.
func (r *Roster) relaying(now time.Time) bool {
	return r.place(now, func(*Daemon) bool { return true }) < r.relays()
}

// FollowsStore tells whether this daemon follows the store for others: the first relays of
// each zone do, [leastFollowers] in the fleet. One that does not reach the store is passed
// over; where hardly any does, all relays try.
func (r *Roster) FollowsStore(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.relaying(now) {
		return false
	}
	perZone := (leastFollowers + len(r.zones) - 1) / len(r.zones)
	if r.place(now, func(d *Daemon) bool { return d.Observing }) < perZone {
		return true
	}
	observers := 0
	for _, d := range r.daemons {
		if d.Observing && !d.Stopping && d.lives(now) {
			observers++
		}
	}
	return observers < leastObservers
}

// DisplacedRelays returns the daemons that would relay in place of this one if they lived. They
// may have been cut off and relay for others that this daemon does not hear: unless somebody
// calls them, the fleet stays in two parts.
func (r *Roster) DisplacedRelays(now time.Time) []Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := Rank(r.c.Host)
	var out []Daemon
	for _, d := range r.daemons {
		if d.Host != "" && d.Zone == r.c.Zone && !d.lives(now) && Rank(d.Host) < own {
			out = append(out, *d)
		}
	}
	slices.SortFunc(out, byRank)
	return out[:min(r.relays(), len(out))]
}

// place is the number of daemons of the own zone that go before this one, of those that
// pass a check.
func (r *Roster) place(now time.Time, passes func(*Daemon) bool) int {
	n, own := 0, Rank(r.c.Host)
	for _, d := range r.daemons {
		if d.Zone == r.c.Zone && Rank(d.Host) < own && d.usable(now) && passes(d) {
			n++
		}
	}
	return n
}
