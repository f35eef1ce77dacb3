// Package sizer decides how many endpoints of each class a service should have
// in each zone.
//
// # The load it answers
//
// Requests come in bursts that last as long as a new endpoint takes to start, and
// reclaimable endpoints go a whole zone at once, in waves that follow each other
// within seconds, with none to be had anywhere meanwhile. So the pool is kept such
// that the loss of any one zone's reclaimable endpoints leaves most of what is needed,
// at each moment and not only in calm ones.
//
// # Two classes
//
// Reclaimable endpoints cost a fraction. As long as the spare ones that a zone's
// loss asks for leave them cheaper, all that is needed is reclaimable, spread evenly
// over the zones. On-demand ones stand in for what the living reclaimable ones do
// not carry: while those are starting, or are not to be had. With reclaimable ones
// that are dear, or none, all are on-demand.
//
// # Usage
//
//	wanted := sizer.Size(&sizer.Input{...})
//
// Size is a pure function; package orderer carries its plan out.
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
	// busyPart of its time is what an engine spends with reading prompts at its
	// capacity; the steps of the streams beside them take as much again, and the rest
	// keeps queues short. Measured as worth over five days, with 12 engines: those that
	// were learned to read 43,000 tokens a second did best at 14,000 (0.596; 0.584 at
	// 11,000, 0.568 at 20,000); those of 70,000 at 28,000 (0.579; 0.562 at 22,000).
	busyPart = 0.32
	// fullPart of an engine's slots is what may run on it: the rest is for the
	// requests that news of seconds ago places unevenly.
	fullPart = 0.6
	// unknownSlots stands for the slots of an engine where no configuration says them.
	unknownSlots = 64
)

// leastPart of the need is kept when a zone's reclaimable endpoints go: for the seconds
// that on-demand ones take to start, the others may be busier. With all of the need
// kept, on-demand ones stood by through each wave: worth 0.575 instead of 0.593 (0.8)
// and 0.600 (0.65) over five days, no difference where engines are cheaper (0.597,
// 0.595, 0.589).
const leastPart = 0.7

// onDemandSpare is the part of the need that on-demand endpoints have in excess
// where there are no reclaimable ones, for bursts shorter than an endpoint's start.
const onDemandSpare = 0.3

// Capacity is the demand that one endpoint takes with the wanted waiting time; see
// package estimator.
type Capacity struct {
	// Tokens are uncached prompt tokens a second.
	Tokens float64
	// Running are requests at once.
	Running float64
}

// EngineCapacity returns the capacity of an engine that reads so many prompt tokens a
// second, its fixed time apart, and runs so many requests at once; 0 if that is not
// known.
func EngineCapacity(speed float64, slots int) Capacity {
	if slots <= 0 {
		slots = unknownSlots
	}
	return Capacity{Tokens: busyPart * speed, Running: fullPart * float64(slots)}
}

// EndpointsFor returns how many endpoints the demand asks for.
func (c Capacity) EndpointsFor(d demandmeter.Demand) float64 {
	return max(d.Tokens/max(c.Tokens, 1), float64(d.Running)/max(c.Running, 1))
}

// Zone is what a service has in one zone: endpoints that are not leaving.
type Zone struct {
	Zone identifier.AvailabilityZone
	// OnDemand are listed, or ordered and still on their way.
	OnDemand    int
	Reclaimable int
	// ReclaimableWithPending is the number of reclaimable endpoints once those on their way are
	// there.
	ReclaimableWithPending int
	// ReclaimableUnavailable: reclaimable endpoints are not to be had here now.
	ReclaimableUnavailable bool
}

// expected is how many reclaimable endpoints there will be within the time that one
// takes to start.
func (z *Zone) expected() int {
	if z.ReclaimableUnavailable {
		return z.Reclaimable
	}
	return max(z.Reclaimable, z.ReclaimableWithPending)
}

// Input is what a decision needs to know.
type Input struct {
	Scale *catalog.Scale
	// Required is the number of endpoints for the load.
	Required float64
	// Spare are endpoints wanted besides, if they are reclaimable.
	Spare float64
	Zones []Zone
}

// Wanted is the decision for one zone.
type Wanted struct {
	Zone        identifier.AvailabilityZone
	OnDemand    int
	Reclaimable int
}

// plan is a decision in the making.
type plan struct {
	in    *Input
	zones []Zone
	out   []Wanted
}

// Size decides for all zones.
func Size(in *Input) []Wanted {
	p := &plan{in: in, zones: slices.Clone(in.Zones), out: make([]Wanted, len(in.Zones))}
	slices.SortFunc(p.zones, func(a, b Zone) int {
		return cmp.Or(cmp.Compare(in.Scale.Prices[a.Zone], in.Scale.Prices[b.Zone]), cmp.Compare(a.Zone, b.Zone))
	})
	for i, z := range p.zones {
		p.out[i] = Wanted{Zone: z.Zone, OnDemand: z.OnDemand}
	}
	if p.worthReclaiming() {
		p.reclaimable(in.Required + in.Spare)
		p.onDemand(in.Required)
		return p.out
	}
	p.settle(int(math.Ceil(in.Required * (1 + onDemandSpare))))
	return p.out
}

// worthReclaiming tells whether reclaimable endpoints are the cheaper ones, with the
// spare ones for the loss of a zone.
func (p *plan) worthReclaiming() bool {
	n := float64(len(p.zones))
	return n > 1 && p.in.Scale.ReclaimablePriceRatio > 0 && p.in.Scale.ReclaimablePriceRatio*n/(n-1) < 1
}

// reclaimable spreads the need over the zones so that any one zone's may go. Where
// none are to be had, the other zones carry it, if two are left.
func (p *plan) reclaimable(need float64) {
	open := 0
	for _, z := range p.zones {
		if !z.ReclaimableUnavailable {
			open++
		}
	}
	for i, z := range p.zones {
		zones := len(p.zones)
		if !z.ReclaimableUnavailable && open > 1 {
			zones = open
		}
		each := max(int(math.Ceil(need/float64(zones-1))), 1)
		// Those that live have their room: to give them back for on-demand ones
		// that are to go, too, left a third of the pool for a second.
		p.out[i].Reclaimable = min(each, max(p.in.Scale.Max-z.OnDemand, z.Reclaimable))
	}
}

// onDemand keeps so many on-demand endpoints that the need is met, and leastPart of it
// when the reclaimable ones of the fullest zone go. Reclaimable ones on their way are
// no reason to order on-demand ones, which take as long; nor to give any back, before
// they are there.
func (p *plan) onDemand(need float64) {
	have := 0
	for _, z := range p.zones {
		have += z.OnDemand
	}
	low := p.missing(need, (*Zone).expected)
	high := p.missing(need, func(z *Zone) int { return z.Reclaimable })
	p.settle(min(max(have, low), high))
}

// missing is how many on-demand endpoints are wanted beside so many reclaimable ones.
func (p *plan) missing(need float64, count func(*Zone) int) int {
	sum, most := 0, 0
	for i := range p.zones {
		n := count(&p.zones[i])
		sum += n
		most = max(most, n)
	}
	return max(int(math.Ceil(need))-sum, int(math.Ceil(leastPart*need))-(sum-most), 0)
}

// settle brings the on-demand endpoints to a number: added where fewest are, the
// cheapest zone first, taken where most are, the dearest first; so that a zone that
// is cut off has some of its own.
func (p *plan) settle(total int) {
	have := 0
	for i := range p.out {
		least := p.least(i)
		p.out[i].OnDemand = min(max(p.out[i].OnDemand, least), max(p.in.Scale.Max, least))
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

// least is how many on-demand endpoints a zone keeps: Min holds for both classes.
func (p *plan) least(i int) int {
	return max(p.in.Scale.Min-p.zones[i].Reclaimable, 0)
}

// fullest is the dearest zone of those with most on-demand endpoints; -1 if none has
// more than its least number.
func (p *plan) fullest() int {
	best := -1
	for i, w := range p.out {
		if w.OnDemand <= p.least(i) {
			continue
		}
		if best < 0 || w.OnDemand >= p.out[best].OnDemand {
			best = i
		}
	}
	return best
}

// emptiest is the cheapest zone of those with fewest on-demand endpoints; -1 if there
// is no room in any.
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
