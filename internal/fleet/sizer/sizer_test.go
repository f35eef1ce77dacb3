package sizer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"
	"brasschute/internal/route/demandmeter"
)

var prices = map[identifier.AvailabilityZone]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9}

func scale() *catalog.Scale {
	return &catalog.Scale{Min: 1, Max: 6, ReclaimablePriceRatio: 0.15, Prices: prices}
}

func zones(onDemand, reclaimable int) []Zone {
	var out []Zone
	for zone := range prices {
		out = append(out, Zone{Zone: zone, OnDemand: onDemand, Reclaimable: reclaimable})
	}
	return out
}

func total(wanted []Wanted) (onDemand, reclaimable int) {
	for _, w := range wanted {
		onDemand += w.OnDemand
		reclaimable += w.Reclaimable
	}
	return onDemand, reclaimable
}

// The reclaimable endpoints of one zone after the other are taken away, and no
// others are to be had. While the wanted ones took up the zones' maximum, nothing
// replaced them: four engines were left for the load of seventeen, and one
// request in two failed for half a minute.
func TestReclaimsInWaves(t *testing.T) {
	in := &Input{Scale: scale(), Required: 17, Zones: zones(1, 5)}
	for gone := range in.Zones {
		in.Zones[gone].Reclaimable, in.Zones[gone].ReclaimableUnavailable = 0, true
		live := 0
		for _, z := range in.Zones {
			live += z.Reclaimable
		}
		onDemand, _ := total(Size(in))
		if onDemand+live < 17 {
			t.Errorf("%d zones gone: %d on demand and %d live for a load of 17", gone+1, onDemand, live)
		}
	}
}

func TestQuietFleetIsSmall(t *testing.T) {
	onDemand, reclaimable := total(Size(&Input{Scale: scale(), Zones: zones(3, 0)}))
	if onDemand != 4 || reclaimable != 4 {
		t.Errorf("%d on demand, %d reclaimable without a load", onDemand, reclaimable)
	}
}

func TestCheapZonesFirst(t *testing.T) {
	in := &Input{Scale: scale(), Required: 6, Zones: zones(1, 0)}
	for i := range in.Zones {
		in.Zones[i].ReclaimableUnavailable = true
	}
	for _, w := range Size(in) {
		want := map[identifier.AvailabilityZone]int{"a": 1, "b": 2, "c": 1, "d": 2}[w.Zone]
		if w.OnDemand != want {
			t.Errorf("zone %s: %d on demand, want %d", w.Zone, w.OnDemand, want)
		}
	}
}

// drawn is any pool that may be listed.
func drawn(t *rapid.T) *Input {
	in := &Input{Scale: scale(), Required: rapid.Float64Range(0, 18).Draw(t, "need")}
	in.Scale.ReclaimablePriceRatio = rapid.SampledFrom([]float64{0, 0.15, 0.3, 0.74, 0.9, 1}).Draw(t, "price")
	for zone := range prices {
		z := Zone{
			Zone: zone, OnDemand: rapid.IntRange(0, 6).Draw(t, "od"+string(zone)),
			Reclaimable: rapid.IntRange(0, 5).Draw(t, "r"+string(zone)), ReclaimableUnavailable: rapid.Bool().Draw(t, "dry"+string(zone)),
		}
		z.ReclaimableWithPending = z.Reclaimable + rapid.IntRange(0, 2).Draw(t, "coming"+string(zone))
		in.Zones = append(in.Zones, z)
	}
	return in
}

// Whatever is listed and asked for: the bounds of each zone hold, both classes
// together; and the decision does not depend on the order of the zones.
func TestSizeKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawn(t)
		wanted := Size(in)
		if len(wanted) != len(in.Zones) {
			t.Fatalf("%d zones decided of %d", len(wanted), len(in.Zones))
		}
		listed := make(map[identifier.AvailabilityZone]Zone)
		for _, z := range in.Zones {
			listed[z.Zone] = z
		}
		for _, w := range wanted {
			if w.OnDemand < 0 || w.OnDemand > in.Scale.Max || w.Reclaimable < 0 || w.Reclaimable > in.Scale.Max {
				t.Fatalf("%+v breaks the bounds", w)
			}
			if w.OnDemand+listed[w.Zone].Reclaimable < in.Scale.Min {
				t.Fatalf("%+v leaves a zone with %d reclaimable ones below the least", w, listed[w.Zone].Reclaimable)
			}
		}
		reversed := &Input{Scale: in.Scale, Required: in.Required}
		for i := range in.Zones {
			reversed.Zones = append(reversed.Zones, in.Zones[len(in.Zones)-1-i])
		}
		if a, b := fmt.Sprint(wanted), fmt.Sprint(Size(reversed)); a != b {
			t.Fatalf("%s in one order, %s in the other", a, b)
		}
	})
}

// carried is a pool's endpoints, what is left of them when the fullest zone's
// reclaimable ones go, and the room for more that the zones have.
func carried(wanted []Wanted, count func(identifier.AvailabilityZone) int, most int) (all, left, room int) {
	fullest := 0
	for _, w := range wanted {
		n := count(w.Zone)
		all += w.OnDemand + n
		fullest = max(fullest, n)
		room += max(most-w.OnDemand-n, 0)
	}
	return all, all - fullest, room
}

// At each moment the need is met, and the loss of any one zone's reclaimable endpoints
// leaves most of it, as soon as what was decided is there: those that are not to be
// had, or have just been taken, are not counted on. Only a pool at its most may fall
// short.
func TestLossOfAnyZoneLeavesTheNeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawn(t)
		listed := make(map[identifier.AvailabilityZone]Zone)
		for _, z := range in.Zones {
			listed[z.Zone] = z
		}
		expected := func(zone identifier.AvailabilityZone) int {
			z := listed[zone]
			return z.expected()
		}
		all, left, room := carried(Size(in), expected, in.Scale.Max)
		if float64(all) < in.Required && room > 0 {
			t.Fatalf("%d endpoints of a need of %.1f, with room for %d", all, in.Required, room)
		}
		if float64(left) < leastPart*in.Required && room > 0 {
			t.Fatalf("%d endpoints left of a need of %.1f, with room for %d", left, in.Required, room)
		}
	})
}

// Reclaimable endpoints that cost nearly as much as others are dearer with the spare
// ones that a zone's loss asks for; where there are none, all are on-demand.
func TestDearReclaimableEndpointsAreNotOrdered(t *testing.T) {
	for _, price := range []float64{0, 0.8, 1} {
		in := &Input{Scale: scale(), Required: 8, Zones: zones(2, 0)}
		in.Scale.ReclaimablePriceRatio = price
		onDemand, reclaimable := total(Size(in))
		if reclaimable != 0 || onDemand < 9 {
			t.Errorf("price %.1f: %d on demand and %d reclaimable for a need of 8", price, onDemand, reclaimable)
		}
	}
	in := &Input{Scale: scale(), Required: 8, Zones: zones(0, 3)}
	if onDemand, reclaimable := total(Size(in)); onDemand != 0 || reclaimable != 12 {
		t.Errorf("%d on demand and %d reclaimable for a need of 8", onDemand, reclaimable)
	}
}

// On-demand endpoints stay until the reclaimable ones that follow them are there.
func TestOnDemandEndpointsAwaitTheirSuccessors(t *testing.T) {
	in := &Input{Scale: scale(), Required: 8, Zones: zones(2, 0)}
	for i := range in.Zones {
		in.Zones[i].ReclaimableWithPending = 3
	}
	if onDemand, _ := total(Size(in)); onDemand != 8 {
		t.Errorf("%d on demand while the reclaimable ones start", onDemand)
	}
	for i := range in.Zones {
		in.Zones[i].Reclaimable = 3
	}
	if onDemand, _ := total(Size(in)); onDemand != 0 {
		t.Errorf("%d on demand when they have started", onDemand)
	}
}

// Engines with 16 slots take fewer requests than those with 128: by tokens alone 12
// engines were wanted for 300 running requests, and each new one waited for a slot.
func TestFewSlotsWantMoreEngines(t *testing.T) {
	demand := demandmeter.Demand{Tokens: 12 * 14_000, Running: 300}
	if need := EngineCapacity(14_000/busyPart, 16).EndpointsFor(demand); need*16 < 300 {
		t.Errorf("%.0f engines of 16 slots for 300 requests", need)
	}
	if need := EngineCapacity(14_000/busyPart, 128).EndpointsFor(demand); need > 13 {
		t.Errorf("%.0f engines of 128 slots", need)
	}
	if need := EngineCapacity(14_000/busyPart, 0).EndpointsFor(demand); need > 13 {
		t.Errorf("%.0f engines of unknown slots", need)
	}
}
