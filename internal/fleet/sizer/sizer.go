// Package sizer decides how many endpoints of each class a service should have in each zone.
//
// Bursts of requests last as long as a new endpoint takes to start. The reclaimable endpoints
// of a zone are reclaimed all at once, in waves of zones that follow each other within seconds,
// and none are available anywhere meanwhile. So the pool is sized such that the loss of any one
// zone's reclaimable endpoints leaves most of the required capacity, at every moment and not
// only between waves.
//
// Reclaimable endpoints cost a fraction of on-demand ones. As long as they are cheaper even
// with the spare ones for the loss of a zone, all required endpoints are reclaimable and spread
// evenly over the zones. On-demand endpoints make up for what the running reclaimable ones
// can't serve, while those are starting or are unavailable. Where reclaimable endpoints are too
// expensive or don't exist, all endpoints are on-demand.
//
// # Usage
//
//	wanted := sizer.Size(&sizer.Input{...})
//
// Size is a pure function; package autoscaler carries out its result.
package sizer

import (
	"cmp"
	"math"
	"slices"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"
	"brasschute/internal/route/demandmeter"
)

const (
	// prefillFraction is the fraction of its time that an engine at capacity spends on prefill.
	// The decode steps of the streams beside it take as much again, and the rest keeps queues
	// short.
	prefillFraction = 0.32
	// usableSlotFraction is the fraction of an engine's slots that may be in use. The rest is
	// for requests that are placed unevenly because load reports are seconds old.
	usableSlotFraction = 0.6
	// defaultSlots is the number of slots of an engine where the configuration states none.
	defaultSlots = 64
)

// minCapacityFraction is the fraction of the required endpoints that remains when a zone's
// reclaimable endpoints go: for the seconds that on-demand endpoints take to start, the others
// may be busier. With all of the requirement kept, on-demand endpoints ran through each wave.
const minCapacityFraction = 0.7

// onDemandSpareFraction is the spare fraction of on-demand endpoints where there are no
// reclaimable ones, for bursts shorter than the start of an endpoint.
const onDemandSpareFraction = 0.3

// Capacity is the demand that one endpoint can serve within the target waiting time; see
// package estimator.
type Capacity struct {
	// Tokens is the rate of uncached prompt tokens per second.
	Tokens float64
	// Running is the number of concurrent requests.
	Running float64
}

// EngineCapacity returns the capacity of an engine that reads speed prompt tokens a second, not
// counting its fixed time per request, and has the given number of slots, 0 if not known.
func EngineCapacity(speed float64, slots int) Capacity {
	if slots <= 0 {
		slots = defaultSlots
	}
	return Capacity{Tokens: prefillFraction * speed, Running: usableSlotFraction * float64(slots)}
}

// EndpointsFor returns the number of endpoints, fractions included, that a demand requires.
func (c Capacity) EndpointsFor(d demandmeter.Demand) float64 {
	return max(d.Tokens/max(c.Tokens, 1), float64(d.Running)/max(c.Running, 1))
}

// Zone is the state of a service in one zone. It counts only endpoints that are not leaving.
type Zone struct {
	Zone identifier.AvailabilityZone
	// OnDemand counts endpoints that are listed, or ordered and still starting.
	OnDemand    int
	Reclaimable int
	// ReclaimableWithPending is the number of reclaimable endpoints including those that are
	// ordered and still starting.
	ReclaimableWithPending int
	// ReclaimableUnavailable is set if no further reclaimable endpoints are available now.
	ReclaimableUnavailable bool
}

// expected returns the number of reclaimable endpoints there will be within the start time of
// an endpoint.
func (z *Zone) expected() int {
	if z.ReclaimableUnavailable {
		return z.Reclaimable
	}
	return max(z.Reclaimable, z.ReclaimableWithPending)
}

// Input holds the inputs of [Size].
type Input struct {
	Scale *catalog.Scale
	// Required is the number of endpoints that the load requires.
	Required float64
	// Spare is the number of endpoints wanted in addition if they are reclaimable.
	Spare float64
	Zones []Zone
}

// Wanted holds the wanted numbers of endpoints in one zone.
type Wanted struct {
	Zone        identifier.AvailabilityZone
	OnDemand    int
	Reclaimable int
}

// plan is the state of one call of Size. zones is sorted by price; out has the same order.
type plan struct {
	in    *Input
	zones []Zone
	out   []Wanted
}

// Size returns the wanted numbers of endpoints for all zones, the cheapest zone first.
func Size(in *Input) []Wanted {
	p := &plan{in: in, zones: slices.Clone(in.Zones), out: make([]Wanted, len(in.Zones))}
	slices.SortFunc(p.zones, func(a, b Zone) int {
		return cmp.Or(cmp.Compare(in.Scale.Prices[a.Zone], in.Scale.Prices[b.Zone]), cmp.Compare(a.Zone, b.Zone))
	})
	for i, z := range p.zones {
		p.out[i] = Wanted{Zone: z.Zone, OnDemand: z.OnDemand}
	}
	if p.reclaimableCheaper() {
		p.sizeReclaimable(in.Required + in.Spare)
		p.sizeOnDemand(in.Required)
		return p.out
	}
	p.distributeOnDemand(int(math.Ceil(in.Required * (1 + onDemandSpareFraction))))
	return p.out
}

// reclaimableCheaper reports whether reclaimable endpoints, including the spare ones for the
// loss of a zone, are cheaper than on-demand ones.
func (p *plan) reclaimableCheaper() bool {
	n := float64(len(p.zones))
	return n > 1 && p.in.Scale.ReclaimablePriceRatio > 0 && p.in.Scale.ReclaimablePriceRatio*n/(n-1) < 1
}

// sizeReclaimable spreads the required endpoints over the zones so that any one zone may be
// lost. Where a zone has none available, the other zones serve its share if at least two are
// left.
func (p *plan) sizeReclaimable(required float64) {
	available := 0
	for _, z := range p.zones {
		if !z.ReclaimableUnavailable {
			available++
		}
	}
	for i, z := range p.zones {
		zones := len(p.zones)
		if !z.ReclaimableUnavailable && available > 1 {
			zones = available
		}
		perZone := max(int(math.Ceil(required/float64(zones-1))), 1)
		// Running endpoints keep their place: giving them back in favour of on-demand ones, which
		// were then also given back, left a third of the pool for a second.
		p.out[i].Reclaimable = min(perZone, max(p.in.Scale.Max-z.OnDemand, z.Reclaimable))
	}
}

// sizeOnDemand sets the number of on-demand endpoints so that the required number is met, and
// minCapacityFraction of it after the loss of the fullest zone's reclaimable endpoints.
// Reclaimable endpoints that are still starting neither cause orders of on-demand ones, which
// take as long to start, nor let any be given back before they are listed.
func (p *plan) sizeOnDemand(required float64) {
	have := 0
	for _, z := range p.zones {
		have += z.OnDemand
	}
	low := p.onDemandNeeded(required, (*Zone).expected)
	high := p.onDemandNeeded(required, func(z *Zone) int { return z.Reclaimable })
	p.distributeOnDemand(min(max(have, low), high))
}

// onDemandNeeded returns how many on-demand endpoints are needed in addition to the reclaimable
// ones that count returns for each zone.
func (p *plan) onDemandNeeded(required float64, count func(*Zone) int) int {
	sum, largest := 0, 0
	for i := range p.zones {
		n := count(&p.zones[i])
		sum += n
		largest = max(largest, n)
	}
	return max(int(math.Ceil(required))-sum, int(math.Ceil(minCapacityFraction*required))-(sum-largest), 0)
}

// distributeOnDemand changes the on-demand endpoints to the given total. It adds where there
// are fewest, the cheapest zone first, and removes where there are most, the most expensive
// zone first, so that a zone that is partitioned off has some of its own.
func (p *plan) distributeOnDemand(total int) {
	have := 0
	for i := range p.out {
		minimum := p.minOnDemand(i)
		p.out[i].OnDemand = min(max(p.out[i].OnDemand, minimum), max(p.in.Scale.Max, minimum))
		have += p.out[i].OnDemand
	}
	for ; have > total; have-- {
		i := p.fullest()
		if i < 0 {
			return
		}
		p.out[i].OnDemand--
	}
	for ; have < total; have++ {
		i := p.emptiest()
		if i < 0 {
			return
		}
		p.out[i].OnDemand++
	}
}

// minOnDemand returns the least number of on-demand endpoints of a zone: Min applies to both
// classes together.
func (p *plan) minOnDemand(i int) int {
	return max(p.in.Scale.Min-p.zones[i].Reclaimable, 0)
}

// fullest returns the most expensive of the zones with the most on-demand endpoints, or -1 if
// no zone has more than its minimum.
func (p *plan) fullest() int {
	best := -1
	for i, w := range p.out {
		if w.OnDemand <= p.minOnDemand(i) {
			continue
		}
		if best < 0 || w.OnDemand >= p.out[best].OnDemand {
			best = i
		}
	}
	return best
}

// emptiest returns the cheapest of the zones with the fewest on-demand endpoints, or -1 if all
// zones are at their maximum.
func (p *plan) emptiest() int {
	best := -1
	for i, w := range p.out {
		if w.OnDemand+p.zones[i].Reclaimable >= p.in.Scale.Max {
			continue
		}
		if best < 0 || w.OnDemand < p.out[best].OnDemand {
			best = i
		}
	}
	return best
}
