package planner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/inventory"
)

var (
	ownReclaimable   = Place{"z1", document.ClassReclaimable}
	otherReclaimable = Place{"z2", document.ClassReclaimable}
	ownOnDemand      = Place{"z1", document.ClassOnDemand}
	allPrices        = []document.Price{
		{AvailabilityZone: "z1", Class: document.ClassReclaimable, PerHour: 2},
		{AvailabilityZone: "z2", Class: document.ClassReclaimable, PerHour: 1},
		{AvailabilityZone: "z1", Class: document.ClassOnDemand, PerHour: 5},
		{AvailabilityZone: "z2", Class: document.ClassOnDemand, PerHour: 4},
	}
)

func host(name string, p Place, s inventory.State, owner identifier.AvailabilityZone) inventory.Host {
	return inventory.Host{
		Host: identifier.Host(name), AvailabilityZone: p.AvailabilityZone, Class: p.Class, State: s, Owner: owner,
		Endpoints: []inventory.Endpoint{{Endpoint: identifier.Endpoint(name), Pool: "p"}},
	}
}

func input(wanted int, hosts ...inventory.Host) *Input {
	return &Input{
		Zone: "z1", Pool: "p", Wanted: wanted, Hosts: hosts, Now: time.Unix(1000, 0), Prices: allPrices,
		Leaving: func(*inventory.Host) bool { return false },
	}
}

func TestPlan(t *testing.T) {
	a, b := host("a", ownReclaimable, inventory.StateLive, ""), host("b", ownOnDemand, inventory.StateLive, "")
	leaving := host("l", ownReclaimable, inventory.StateLeaving, "")
	inOtherZone := host("x", otherReclaimable, inventory.StateLive, "z1")
	ownedByOther := host("f", ownReclaimable, inventory.StateLive, "z2")
	refused := map[Place]time.Time{ownReclaimable: time.Unix(2000, 0)}
	cases := []struct {
		name   string
		in     *Input
		change func(*Input)
		start  []Place
		stop   []identifier.Host
		reason string
	}{
		{"enough", input(2, a, b), nil, nil, nil, ""},
		{"one short", input(2, a), nil, []Place{ownReclaimable}, nil, ""},
		{"leaving host does not count", input(1, leaving), nil, []Place{ownReclaimable}, nil, ""},
		{"notice not listed yet", input(1, a), func(in *Input) { in.Leaving = func(*inventory.Host) bool { return true } }, []Place{ownReclaimable}, nil, ""},
		{"already requested", input(2, a), func(in *Input) { in.Pending = []Pending{{"p", ownReclaimable}} }, nil, nil, ""},
		{"requested by another pool", input(2, a), func(in *Input) { in.Pending = []Pending{{"q", ownReclaimable}} }, []Place{ownReclaimable}, nil, ""},
		{"host in another zone counts for its owner", input(2, a, inOtherZone), nil, nil, nil, ""},
		{"host owned by another zone does not count", input(2, a, ownedByOther), nil, []Place{ownReclaimable}, nil, ""},
		{"own zone refused, other zones by price", input(1), func(in *Input) { in.Refused = refused }, []Place{otherReclaimable}, nil, ""},
		{"backoff is over", input(1), func(in *Input) { in.Refused = map[Place]time.Time{ownReclaimable: time.Unix(900, 0)} }, []Place{ownReclaimable}, nil, ""},
		{"reclaimable refused, on-demand started", input(1), func(in *Input) {
			in.Refused = map[Place]time.Time{ownReclaimable: time.Unix(2000, 0), otherReclaimable: time.Unix(2000, 0)}
		}, []Place{ownOnDemand}, nil, ""},
		{"spending limit", input(3, a), func(in *Input) { in.SpendingPerHour = 4 }, []Place{ownReclaimable}, nil, "the spending limit is reached"},
		{"a wave in one plan", input(4), nil, []Place{ownReclaimable, ownReclaimable, ownReclaimable, ownReclaimable}, nil, ""},
		{"surplus: most expensive first", input(1, a, b), nil, nil, []identifier.Host{"b"}, ""},
		{"surplus, but one host is leaving", input(1, a, b, leaving), nil, nil, nil, ""},
		{"no hosts wanted", input(0, a), nil, nil, []identifier.Host{"a"}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.change != nil {
				c.change(c.in)
			}
			d := Plan(c.in)
			if !slices.Equal(d.Start, c.start) || !slices.Equal(d.Stop, c.stop) || d.ShortfallReason != c.reason {
				t.Errorf("%+v", d)
			}
		})
	}
}

func TestPlanConverges(t *testing.T) {
	// For any hosts, Plan never both starts and stops hosts and never requests more than are
	// missing, and once the requested hosts are listed nothing is left to do.
	rapid.Check(t, func(rt *rapid.T) {
		in := input(rapid.IntRange(0, 6).Draw(rt, "wanted"))
		for i := range rapid.IntRange(0, 8).Draw(rt, "hosts") {
			in.Hosts = append(in.Hosts, host(fmt.Sprint(i), rapid.SampledFrom([]Place{ownReclaimable, otherReclaimable, ownOnDemand}).Draw(rt, "place"),
				rapid.SampledFrom([]inventory.State{inventory.StateLive, inventory.StateLeaving}).Draw(rt, "state"),
				rapid.SampledFrom([]identifier.AvailabilityZone{"", "z1", "z2"}).Draw(rt, "owner")))
		}
		d := Plan(in)
		if len(d.Start) > 0 && len(d.Stop) > 0 || d.Live+len(d.Start) > max(in.Wanted, d.Live) {
			rt.Fatalf("%+v", d)
		}
		for i, p := range d.Start {
			in.Hosts = append(in.Hosts, host(fmt.Sprint("new", i), p, inventory.StateLive, "z1"))
		}
		in.Hosts = slices.DeleteFunc(in.Hosts, func(h inventory.Host) bool {
			return slices.Contains(d.Stop, h.Host) || h.State == inventory.StateLeaving
		})
		again := Plan(in)
		if again.Live > in.Wanted && len(again.Stop) == 0 || again.Live < in.Wanted && len(again.Start) == 0 {
			rt.Fatalf("%+v", again)
		}
		if len(d.Start) > 0 && (len(again.Start) > 0 || len(again.Stop) > 0) {
			rt.Fatalf("%+v, then %+v", d, again)
		}
	})
}
