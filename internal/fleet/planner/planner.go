// Package planner decides which hosts to ask for and which to give back.
//
// # The difference
//
// The configuration says how many hosts each pool is to have on behalf of each
// zone. The planner counts those that are there, without the leaving ones, and
// those asked for and not yet listed. What is missing it asks for; what is too
// much it gives back, dearest first, but never while anything is still being
// started or is leaving, as the count is then about to change.
//
// A whole wave of reclaims is one difference and gives one plan: replacing each
// host by itself, on its own timer, would ask for hosts that the next look
// would show to be too many, and cost a write for each.
//
// # Where to ask
//
// The own zone's reclaimable hosts come first, then other zones' by price,
// then on-demand hosts in the same order. A place that refused is left alone
// until its pause is over. Nothing is asked for beyond the spending limit.
//
// # Usage
//
//	plan := planner.Plan(&planner.View{...})
//
// Plan is a pure function.
package planner

import (
	"cmp"
	"slices"
	"time"

	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/inventory"
)

// Place is where a host can be rented.
type Place struct {
	AvailabilityZone identifier.AvailabilityZone
	Class            document.Class
}

// Pending is a host that was asked for and is not listed yet.
type Pending struct {
	Pool  identifier.Pool
	Place Place
}

// Input is what a plan is made from.
type Input struct {
	Zone   identifier.AvailabilityZone
	Pool   identifier.Pool
	Wanted int
	// Hosts are all that are listed, in all zones; Leaving tells which have a
	// notice that the list does not show yet.
	Hosts   []inventory.Host
	Leaving func(*inventory.Host) bool
	Pending []Pending
	// Refused holds the end of the pause of each place that refused.
	Refused map[Place]time.Time
	Now     time.Time
	Prices  []document.Price
	// SpendingPerHour bounds the price of all hosts together; 0 for no bound.
	SpendingPerHour float64
}

// Decision is what to do, and the count that it came from.
type Decision struct {
	Start []Place
	Stop  []identifier.Host
	// Live, Leaving and Pending count the pool's hosts of the zone.
	Live, Leaving, Pending int
	// Shortfall counts hosts that no place would give now.
	Shortfall int
	// ShortfallReason says what stands in the way of the missing ones.
	ShortfallReason string
}

// Plan decides for one pool and zone.
func Plan(v *Input) Decision {
	var d Decision
	var own []*inventory.Host
	for i := range v.Hosts {
		h := &v.Hosts[i]
		switch {
		case !belongs(v, h):
		case h.State == inventory.StateLeaving || v.Leaving(h):
			d.Leaving++
		default:
			own = append(own, h)
		}
	}
	d.Live = len(own)
	for _, p := range v.Pending {
		if p.Pool == v.Pool {
			d.Pending++
		}
	}
	switch missing := v.Wanted - d.Live - d.Pending; {
	case missing > 0:
		start(v, &d, missing)
	case missing < 0 && d.Pending == 0 && d.Leaving == 0:
		stop(v, &d, own, -missing)
	}
	return d
}

// belongs tells whether a host is one of the pool's on behalf of the zone.
func belongs(v *Input, h *inventory.Host) bool {
	owner := h.Owner
	if owner == "" {
		owner = h.AvailabilityZone
	}
	if owner != v.Zone {
		return false
	}
	return slices.ContainsFunc(h.Endpoints, func(e inventory.Endpoint) bool { return e.Pool == v.Pool })
}

func start(v *Input, d *Decision, missing int) {
	places := order(v)
	left := v.SpendingPerHour - spending(v)
	for range missing {
		i := slices.IndexFunc(places, func(p document.Price) bool {
			return v.SpendingPerHour == 0 || p.PerHour <= left
		})
		if i < 0 {
			d.Shortfall++
			d.ShortfallReason = "every place has refused and rests"
			if len(places) > 0 {
				d.ShortfallReason = "the spending limit is reached"
			}
			continue
		}
		left -= places[i].PerHour
		d.Start = append(d.Start, Place{places[i].AvailabilityZone, places[i].Class})
	}
}

// order lists the places that may be asked now, best first.
func order(v *Input) []document.Price {
	var out []document.Price
	for _, p := range v.Prices {
		if !v.Now.Before(v.Refused[Place{p.AvailabilityZone, p.Class}]) {
			out = append(out, p)
		}
	}
	slices.SortStableFunc(out, func(a, b document.Price) int {
		return cmp.Or(
			cmp.Compare(rank(a.Class == document.ClassReclaimable), rank(b.Class == document.ClassReclaimable)),
			cmp.Compare(rank(a.AvailabilityZone == v.Zone), rank(b.AvailabilityZone == v.Zone)),
			cmp.Compare(a.PerHour, b.PerHour),
		)
	})
	return out
}

func rank(first bool) int {
	if first {
		return 0
	}
	return 1
}

// spending adds up the prices of all hosts that are there or asked for.
func spending(v *Input) float64 {
	sum := 0.0
	for i := range v.Hosts {
		sum += price(v, Place{v.Hosts[i].AvailabilityZone, v.Hosts[i].Class})
	}
	for _, p := range v.Pending {
		sum += price(v, p.Place)
	}
	return sum
}

func price(v *Input, p Place) float64 {
	for _, known := range v.Prices {
		if known.AvailabilityZone == p.AvailabilityZone && known.Class == p.Class {
			return known.PerHour
		}
	}
	return 0
}

// stop gives the dearest back, of equal price those of other zones first.
func stop(v *Input, d *Decision, own []*inventory.Host, surplus int) {
	slices.SortStableFunc(own, func(a, b *inventory.Host) int {
		return cmp.Or(
			cmp.Compare(price(v, Place{b.AvailabilityZone, b.Class}), price(v, Place{a.AvailabilityZone, a.Class})),
			cmp.Compare(rank(a.AvailabilityZone != v.Zone), rank(b.AvailabilityZone != v.Zone)),
			cmp.Compare(a.Host, b.Host),
		)
	})
	for _, h := range own[:surplus] {
		d.Stop = append(d.Stop, h.Host)
	}
}
