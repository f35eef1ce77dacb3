package sizer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"
	"brasschute/internal/route/demander"
)

var prices = map[identifier.AvailabilityZone]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9}

func scale() *catalog.Scale {
	return &catalog.Scale{Min: 1, Max: 6, ReclaimablePrice: 0.15, Prices: prices}
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
	in := &Input{Scale: scale(), Demand: demander.Demand{Tokens: 17 * tokensPerEngine}, Zones: zones(1, 5)}
	for gone := range in.Zones {
		in.Zones[gone].Reclaimable, in.Zones[gone].Dry = 0, true
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
	in := &Input{Scale: scale(), Demand: demander.Demand{Tokens: 6 * tokensPerEngine}, Zones: zones(1, 0)}
	for i := range in.Zones {
		in.Zones[i].Dry = true
	}
	for _, w := range Size(in) {
		want := map[identifier.AvailabilityZone]int{"a": 1, "b": 2, "c": 1, "d": 2}[w.Zone]
		if w.OnDemand != want {
			t.Errorf("zone %s: %d on demand, want %d", w.Zone, w.OnDemand, want)
		}
	}
}

// Whatever is listed and asked for: the bounds of each zone hold, the loss of any
// one zone's reclaimable endpoints leaves what is needed once all are there, and
// the decision does not depend on the order of the zones.
func TestSizeKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := &Input{Scale: scale(), Demand: demander.Demand{Tokens: rapid.Float64Range(0, 18*tokensPerEngine).Draw(t, "tokens")}}
		for zone := range prices {
			in.Zones = append(in.Zones, Zone{
				Zone: zone, OnDemand: rapid.IntRange(0, 6).Draw(t, "od"+string(zone)), Reclaimable: rapid.IntRange(0, 5).Draw(t, "r"+string(zone)),
			})
		}
		wanted := Size(in)
		if len(wanted) != len(in.Zones) {
			t.Fatalf("%d zones decided of %d", len(wanted), len(in.Zones))
		}
		for _, w := range wanted {
			if w.OnDemand < in.Scale.Min || w.OnDemand > in.Scale.Max || w.Reclaimable < 0 {
				t.Fatalf("%+v breaks the bounds", w)
			}
		}
		reversed := &Input{Scale: in.Scale, Demand: in.Demand}
		for i := range in.Zones {
			reversed.Zones = append(reversed.Zones, in.Zones[len(in.Zones)-1-i])
		}
		if a, b := fmt.Sprint(wanted), fmt.Sprint(Size(reversed)); a != b {
			t.Fatalf("%s in one order, %s in the other", a, b)
		}
	})
}

// Engines with 16 slots take fewer requests than those with 128: by tokens alone 12
// engines were wanted for 300 running requests, and each new one waited for a slot.
func TestFewSlotsWantMoreEngines(t *testing.T) {
	in := &Input{Scale: scale(), Slots: 16, Demand: demander.Demand{Tokens: 12 * tokensPerEngine, Running: 300}, Zones: zones(3, 0)}
	in.Scale.Max = 20
	if need := Need(in.Demand, in.Slots); need*16 < 300 {
		t.Errorf("%.0f engines of 16 slots for 300 requests", need)
	}
	if need := Need(in.Demand, 128); need > 13 {
		t.Errorf("%.0f engines of 128 slots", need)
	}
}
