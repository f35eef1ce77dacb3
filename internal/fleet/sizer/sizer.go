// Package sizer decides how many endpoints of each class a service should have
// in each zone.
//
// # The load it answers
//
// What model engines run out of first is reading prompts: an engine reads some
// 40,000 tokens a second of long prompts, and while it reads, the streams beside
// it pause and the next prompt waits. At [tokensPerEngine] it is a third busy, so
// that a prompt seldom waits for more than one other.
//
// # Two classes
//
// Reclaimable endpoints cost a fraction, and a whole zone's may go at once. One
// on-demand endpoint in each zone stays; reclaimable ones carry what lies above,
// with enough of them that the loss of one zone's leaves the needed capacity.
// While reclaimable ones are not to be had, or are starting, on-demand ones
// stand in.
//
// # Usage
//
//	plan := sizer.Size(&sizer.Input{...})
//
// Size is a pure function; package orderer carries its plan out.
package sizer

import (
	"cmp"
	"math"
	"slices"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"
	"brasschute/internal/route/demander"
)

const (
	// tokensPerEngine is the number of uncached prompt tokens a second for
	// which one engine is wanted.
	tokensPerEngine = 14_000
	// runningPerEngine is the number of running requests for which one is
	// wanted: a step of a batch grows by a tenth of a millisecond for each.
	runningPerEngine = 40
	// fullPart of an engine's slots is what may run on it where it has few: the rest
	// is for the requests that news of seconds ago places unevenly.
	fullPart = 0.6
	// Headroom covers what comes within the time that an engine takes to
	// start: bursts of 1.7 times the usual load.
	Headroom = 1.7
	// riskShare is the part of the live reclaimable endpoints that is counted on
	// once some zone has none to be had: reclaims come in waves, and a
	// replacement takes as long to start as the next zone takes to go.
	riskShare = 0.6
)

// Zone is what a service has in one zone: endpoints that are not leaving.
type Zone struct {
	Zone        identifier.AvailabilityZone
	OnDemand    int
	Reclaimable int
	// Dry: reclaimable endpoints are not to be had here now.
	Dry bool
}

// Input is what a decision needs to know.
type Input struct {
	Scale  *catalog.Scale
	Demand demander.Demand
	// Slots is how many requests an engine runs at once; 0 if not known.
	Slots int
	// Floor is the least number of engines to have in all: what was needed
	// lately.
	Floor float64
	Zones []Zone
}

// Wanted is the decision for one zone.
type Wanted struct {
	Zone        identifier.AvailabilityZone
	OnDemand    int
	Reclaimable int
}

// Need returns how many engines of so many slots the demand asks for.
func Need(d demander.Demand, slots int) float64 {
	running := float64(runningPerEngine)
	if slots > 0 {
		running = min(running, fullPart*float64(slots))
	}
	return max(d.Tokens/tokensPerEngine, float64(d.Running)/running)
}

// Size decides for all zones.
func Size(in *Input) []Wanted {
	need := max(Need(in.Demand, in.Slots), in.Floor)
	zones := slices.Clone(in.Zones)
	slices.SortFunc(zones, func(a, b Zone) int {
		return cmp.Or(cmp.Compare(in.Scale.Prices[a.Zone], in.Scale.Prices[b.Zone]), cmp.Compare(a.Zone, b.Zone))
	})
	least := max(in.Scale.Min, 1)
	out := make([]Wanted, len(zones))
	for i, z := range zones {
		out[i] = Wanted{Zone: z.Zone, OnDemand: least}
	}
	if in.Scale.ReclaimablePrice > 0 && in.Scale.ReclaimablePrice < 1 && len(zones) > 1 {
		reclaimable(in, zones, out, need*Headroom-float64(least*len(zones)))
	}
	standIn(in, zones, out, need)
	return out
}

// reclaimable spreads what lies above the on-demand endpoints over the zones,
// so that any one zone's may go.
func reclaimable(in *Input, zones []Zone, out []Wanted, above float64) {
	each := max(int(math.Ceil(max(above, 0)/float64(len(zones)-1))), 1)
	for i, z := range zones {
		room := in.Scale.Max - max(out[i].OnDemand, z.OnDemand)
		// Those that live have their room: to give them back for on-demand ones
		// that are to go, too, left a third of the pool for a second.
		out[i].Reclaimable = min(each, max(room, z.Reclaimable))
	}
}

// standIn adds on-demand endpoints, in the cheapest zones first, for what the
// live reclaimable ones do not carry.
func standIn(in *Input, zones []Zone, out []Wanted, need float64) {
	live, dry, have := 0, false, 0
	for i, z := range zones {
		live += z.Reclaimable
		dry = dry || z.Dry
		have += out[i].OnDemand
	}
	carried := float64(live)
	if dry {
		carried *= riskShare
	}
	missing := int(math.Ceil(need-carried)) - have
	for added := true; missing > 0 && added; {
		added = false
		for i, z := range zones {
			if missing > 0 && out[i].OnDemand+z.Reclaimable < in.Scale.Max {
				out[i].OnDemand++
				missing--
				added = true
			}
		}
	}
}
