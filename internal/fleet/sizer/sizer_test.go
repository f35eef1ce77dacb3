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

// Guards against a fleet that is not replaced when one zone after another loses its reclaimable
// endpoints and none are available. While the wanted endpoints filled the zones' maximum,
// nothing replaced the lost ones: four engines were left for a load of seventeen, and one
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

func TestFleetWithoutLoadIsMinimal(t *testing.T) {
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

// drawInput draws any pool that may be listed.
func drawInput(t *rapid.T) *Input {
	in := &Input{Scale: scale(), Required: rapid.Float64Range(0, 18).Draw(t, "required")}
	in.Scale.ReclaimablePriceRatio = rapid.SampledFrom([]float64{0, 0.15, 0.3, 0.74, 0.9, 1}).Draw(t, "price")
	for zone := range prices {
		z := Zone{
			Zone: zone, OnDemand: rapid.IntRange(0, 6).Draw(t, "od"+string(zone)),
			Reclaimable: rapid.IntRange(0, 5).Draw(t, "r"+string(zone)), ReclaimableUnavailable: rapid.Bool().Draw(t, "unavailable"+string(zone)),
		}
		z.ReclaimableWithPending = z.Reclaimable + rapid.IntRange(0, 2).Draw(t, "pending"+string(zone))
		in.Zones = append(in.Zones, z)
	}
	return in
}

// For any listed and ordered endpoints, the bounds of each zone hold for both classes together,
// and the result does not depend on the order of the zones.
func TestSizeWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
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
				t.Fatalf("%+v is out of bounds", w)
			}
			if w.OnDemand+listed[w.Zone].Reclaimable < in.Scale.Min {
				t.Fatalf("%+v leaves a zone with %d reclaimable ones below the minimum", w, listed[w.Zone].Reclaimable)
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

// countEndpoints returns the number of endpoints of a pool, the number left after the loss of
// the fullest zone's reclaimable ones, and the number that the zones' maximum still allows.
func countEndpoints(wanted []Wanted, count func(identifier.AvailabilityZone) int, maxPerZone int) (all, left, room int) {
	fullest := 0
	for _, w := range wanted {
		n := count(w.Zone)
		all += w.OnDemand + n
		fullest = max(fullest, n)
		room += max(maxPerZone-w.OnDemand-n, 0)
	}
	return all, all - fullest, room
}

// Once the wanted endpoints are running, the required number is met, and the loss of any one
// zone's reclaimable endpoints leaves most of it. Endpoints that are unavailable or have just
// been reclaimed do not count. Only a pool at its maximum may have fewer.
func TestLossOfAnyZoneLeavesMinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		listed := make(map[identifier.AvailabilityZone]Zone)
		for _, z := range in.Zones {
			listed[z.Zone] = z
		}
		expected := func(zone identifier.AvailabilityZone) int {
			z := listed[zone]
			return z.expected()
		}
		all, left, room := countEndpoints(Size(in), expected, in.Scale.Max)
		if float64(all) < in.Required && room > 0 {
			t.Fatalf("%d endpoints of a required %.1f, with room for %d", all, in.Required, room)
		}
		if float64(left) < minCapacityFraction*in.Required && room > 0 {
			t.Fatalf("%d endpoints left of a required %.1f, with room for %d", left, in.Required, room)
		}
	})
}

// Reclaimable endpoints that cost nearly as much as on-demand ones are more expensive with the
// spare ones for the loss of a zone; where there are none, all endpoints are on-demand.
func TestExpensiveReclaimableEndpointsAreNotOrdered(t *testing.T) {
	for _, price := range []float64{0, 0.8, 1} {
		in := &Input{Scale: scale(), Required: 8, Zones: zones(2, 0)}
		in.Scale.ReclaimablePriceRatio = price
		onDemand, reclaimable := total(Size(in))
		if reclaimable != 0 || onDemand < 9 {
			t.Errorf("price %.1f: %d on demand and %d reclaimable for a required number of 8", price, onDemand, reclaimable)
		}
	}
	in := &Input{Scale: scale(), Required: 8, Zones: zones(0, 3)}
	if onDemand, reclaimable := total(Size(in)); onDemand != 0 || reclaimable != 12 {
		t.Errorf("%d on demand and %d reclaimable for a required number of 8", onDemand, reclaimable)
	}
}

// On-demand endpoints stay until the reclaimable ones that replace them are listed.
func TestOnDemandEndpointsStayUntilReplaced(t *testing.T) {
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

// Guards against sizing by tokens alone: engines with 16 slots serve fewer concurrent requests
// than those with 128, and 12 engines were wanted for 300 running requests, so that each new
// request waited for a slot.
func TestFewSlotsNeedMoreEngines(t *testing.T) {
	demand := demandmeter.Demand{Tokens: 12 * 14_000, Running: 300}
	if engines := EngineCapacity(14_000/prefillFraction, 16).EndpointsFor(demand); engines*16 < 300 {
		t.Errorf("%.0f engines of 16 slots for 300 requests", engines)
	}
	if engines := EngineCapacity(14_000/prefillFraction, 128).EndpointsFor(demand); engines > 13 {
		t.Errorf("%.0f engines of 128 slots", engines)
	}
	if engines := EngineCapacity(14_000/prefillFraction, 0).EndpointsFor(demand); engines > 13 {
		t.Errorf("%.0f engines of unknown slots", engines)
	}
}
