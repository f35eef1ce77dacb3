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
	// headroom covers what comes within the time that an engine takes to
	// start: bursts of 1.7 times the usual load.
	headroom = 1.7
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

// Need returns how many engines the demand asks for.
func Need(d demander.Demand) float64 {
	return max(d.Tokens/tokensPerEngine, float64(d.Running)/runningPerEngine)
}

// Size decides for all zones.
func Size(in *Input) []Wanted {
	need := max(Need(in.Demand), in.Floor) * headroom
	zones := slices.Clone(in.Zones)
	slices.SortFunc(zones, func(a, b Zone) int {
		return cmp.Or(cmp.Compare(in.Scale.Prices[a.Zone], in.Scale.Prices[b.Zone]), cmp.Compare(a.Zone, b.Zone))
	})
	least := max(in.Scale.Min, 1)
	out := make([]Wanted, len(zones))
	have := 0
	for i, z := range zones {
		out[i] = Wanted{Zone: z.Zone, OnDemand: least}
		have += least
	}
	if in.Scale.ReclaimablePrice > 0 && in.Scale.ReclaimablePrice < 1 && len(zones) > 1 {
		reclaimable(in, zones, out, need-float64(have))
	}
	live := 0
	for _, z := range zones {
		live += z.Reclaimable
	}
	missing := int(math.Ceil(need/headroom)) - have - live
	for i := 0; missing > 0 && i < len(out)*in.Scale.Max; i++ {
		w := &out[i%len(out)]
		if w.OnDemand+w.Reclaimable < in.Scale.Max {
			w.OnDemand++
			missing--
		}
	}
	return out
}

// reclaimable spreads what lies above the on-demand endpoints over the zones,
// so that any one zone's may go.
func reclaimable(in *Input, zones []Zone, out []Wanted, above float64) {
	each := int(math.Ceil(max(above, 0) / float64(len(zones)-1)))
	for i := range zones {
		out[i].Reclaimable = min(max(each, 1), in.Scale.Max-out[i].OnDemand)
	}
}
