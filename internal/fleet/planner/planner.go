// Package planner decides which hosts to start and which to stop.
//
// The configuration states how many hosts each pool is to have on behalf of each zone. The
// planner counts the listed hosts that are not leaving, and those requested and not listed yet.
// It starts the missing hosts. It stops surplus hosts, the most expensive first, but never
// while any host is still starting or leaving, as the count is then about to change.
//
// A whole wave of reclaims is one difference and gives one plan. Replacing each host on its own
// timer would request hosts that the next count shows to be surplus, and cost a write for each.
//
// Reclaimable hosts of the own zone come first, then those of other zones by price, then
// on-demand hosts in the same order. A place that refused is not asked until its backoff is
// over. No host is requested beyond the spending limit.
//
// # Usage
//
//	plan := planner.Plan(&planner.Input{...})
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

// Place is a zone and class in which hosts can be started.
type Place struct {
	AvailabilityZone identifier.AvailabilityZone
	Class            document.Class
}

// Pending is a host that was requested and is not listed yet.
type Pending struct {
	Pool  identifier.Pool
	Place Place
}

// Input holds the inputs of [Plan].
type Input struct {
	Zone   identifier.AvailabilityZone
	Pool   identifier.Pool
	Wanted int
	// Hosts are the listed hosts of all zones; Leaving reports whether a host has a reclaim
	// notice that the list does not show yet.
	Hosts   []inventory.Host
	Leaving func(*inventory.Host) bool
	Pending []Pending
	// Refused holds the end of the backoff of each place that refused.
	Refused map[Place]time.Time
	Now     time.Time
	Prices  []document.Price
	// SpendingPerHour limits the price of all hosts together; 0 means no limit.
	SpendingPerHour float64
}

// Decision holds the hosts to start and stop and the counts it is based on.
type Decision struct {
	Start []Place
	Stop  []identifier.Host
	// Live, Leaving and Pending count the pool's hosts on behalf of the zone.
	Live, Leaving, Pending int
	// Shortfall counts the hosts that are missing and can't be requested now.
	Shortfall int
	// ShortfallReason states why these hosts can't be requested; empty if there are none.
	ShortfallReason string
}

// Plan returns the hosts to start and stop for one pool and zone.
func Plan(in *Input) Decision {
	var d Decision
	var own []*inventory.Host
	for i := range in.Hosts {
		h := &in.Hosts[i]
		switch {
		case !belongs(in, h):
		case h.State == inventory.StateLeaving || in.Leaving(h):
			d.Leaving++
		default:
			own = append(own, h)
		}
	}
	d.Live = len(own)
	for _, p := range in.Pending {
		if p.Pool == in.Pool {
			d.Pending++
		}
	}
	switch missing := in.Wanted - d.Live - d.Pending; {
	case missing > 0:
		planStarts(in, &d, missing)
	case missing < 0 && d.Pending == 0 && d.Leaving == 0:
		planStops(in, &d, own, -missing)
	}
	return d
}

// belongs reports whether a host is in the pool on behalf of the zone.
func belongs(in *Input, h *inventory.Host) bool {
	owner := h.Owner
	if owner == "" {
		owner = h.AvailabilityZone
	}
	if owner != in.Zone {
		return false
	}
	return slices.ContainsFunc(h.Endpoints, func(e inventory.Endpoint) bool { return e.Pool == in.Pool })
}

func planStarts(in *Input, d *Decision, missing int) {
	places := availablePlaces(in)
	left := in.SpendingPerHour - spending(in)
	for range missing {
		i := slices.IndexFunc(places, func(p document.Price) bool {
			return in.SpendingPerHour == 0 || p.PerHour <= left
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

// availablePlaces returns the prices of the places that may be asked now, best first.
func availablePlaces(in *Input) []document.Price {
	var out []document.Price
	for _, p := range in.Prices {
		if !in.Now.Before(in.Refused[Place{p.AvailabilityZone, p.Class}]) {
			out = append(out, p)
		}
	}
	slices.SortStableFunc(out, func(a, b document.Price) int {
		return cmp.Or(
			cmp.Compare(rank(a.Class == document.ClassReclaimable), rank(b.Class == document.ClassReclaimable)),
			cmp.Compare(rank(a.AvailabilityZone == in.Zone), rank(b.AvailabilityZone == in.Zone)),
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

// spending returns the hourly price of all listed and requested hosts.
func spending(in *Input) float64 {
	sum := 0.0
	for i := range in.Hosts {
		sum += price(in, Place{in.Hosts[i].AvailabilityZone, in.Hosts[i].Class})
	}
	for _, p := range in.Pending {
		sum += price(in, p.Place)
	}
	return sum
}

func price(in *Input, p Place) float64 {
	for _, known := range in.Prices {
		if known.AvailabilityZone == p.AvailabilityZone && known.Class == p.Class {
			return known.PerHour
		}
	}
	return 0
}

// planStops stops the most expensive hosts first, at equal price those of other zones first.
func planStops(in *Input, d *Decision, own []*inventory.Host, surplus int) {
	slices.SortStableFunc(own, func(a, b *inventory.Host) int {
		return cmp.Or(
			cmp.Compare(price(in, Place{b.AvailabilityZone, b.Class}), price(in, Place{a.AvailabilityZone, a.Class})),
			cmp.Compare(rank(a.AvailabilityZone != in.Zone), rank(b.AvailabilityZone != in.Zone)),
			cmp.Compare(a.Host, b.Host),
		)
	})
	for _, h := range own[:surplus] {
		d.Stop = append(d.Stop, h.Host)
	}
}
