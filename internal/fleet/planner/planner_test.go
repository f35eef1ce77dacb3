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
	near  = Place{"z1", document.ClassReclaimable}
	far   = Place{"z2", document.ClassReclaimable}
	dear  = Place{"z1", document.ClassOnDemand}
	every = []document.Price{
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

func view(wanted int, hosts ...inventory.Host) *Input {
	return &Input{
		Zone: "z1", Pool: "p", Wanted: wanted, Hosts: hosts, Now: time.Unix(1000, 0), Prices: every,
		Leaving: func(*inventory.Host) bool { return false },
	}
}

func TestPlan(t *testing.T) {
	a, b := host("a", near, inventory.StateLive, ""), host("b", dear, inventory.StateLive, "")
	leaving := host("l", near, inventory.StateLeaving, "")
	abroad := host("x", far, inventory.StateLive, "z1")
	foreign := host("f", near, inventory.StateLive, "z2")
	rests := map[Place]time.Time{near: time.Unix(2000, 0)}
	cases := []struct {
		name   string
		view   *Input
		change func(*Input)
		start  []Place
		stop   []identifier.Host
		why    string
	}{
		{"enough", view(2, a, b), nil, nil, nil, ""},
		{"one short", view(2, a), nil, []Place{near}, nil, ""},
		{"leaving does not count", view(1, leaving), nil, []Place{near}, nil, ""},
		{"notice not listed yet", view(1, a), func(v *Input) { v.Leaving = func(*inventory.Host) bool { return true } }, []Place{near}, nil, ""},
		{"asked for already", view(2, a), func(v *Input) { v.Pending = []Pending{{"p", near}} }, nil, nil, ""},
		{"asked for by another pool", view(2, a), func(v *Input) { v.Pending = []Pending{{"q", near}} }, []Place{near}, nil, ""},
		{"abroad counts for its owner", view(2, a, abroad), nil, nil, nil, ""},
		{"another zone's host here does not", view(2, a, foreign), nil, []Place{near}, nil, ""},
		{"refused here, elsewhere by price", view(1), func(v *Input) { v.Refused = rests }, []Place{far}, nil, ""},
		{"pause is over", view(1), func(v *Input) { v.Refused = map[Place]time.Time{near: time.Unix(900, 0)} }, []Place{near}, nil, ""},
		{"reclaimable refused, on-demand", view(1), func(v *Input) {
			v.Refused = map[Place]time.Time{near: time.Unix(2000, 0), far: time.Unix(2000, 0)}
		}, []Place{dear}, nil, ""},
		{"spending limit", view(3, a), func(v *Input) { v.SpendingPerHour = 4 }, []Place{near}, nil, "the spending limit is reached"},
		{"a wave at once", view(4), nil, []Place{near, near, near, near}, nil, ""},
		{"too many: dearest first", view(1, a, b), nil, nil, []identifier.Host{"b"}, ""},
		{"too many, but one leaves anyway", view(1, a, b, leaving), nil, nil, nil, ""},
		{"nothing wanted", view(0, a), nil, nil, []identifier.Host{"a"}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.change != nil {
				c.change(c.view)
			}
			d := Plan(c.view)
			if !slices.Equal(d.Start, c.start) || !slices.Equal(d.Stop, c.stop) || d.ShortfallReason != c.why {
				t.Errorf("%+v", d)
			}
		})
	}
}

func TestPlanConverges(t *testing.T) {
	// Whatever hosts there are: never both start and stop, never ask for more
	// than is missing, and once what was asked for is there, nothing is left
	// to do.
	rapid.Check(t, func(rt *rapid.T) {
		v := view(rapid.IntRange(0, 6).Draw(rt, "wanted"))
		for i := range rapid.IntRange(0, 8).Draw(rt, "hosts") {
			v.Hosts = append(v.Hosts, host(fmt.Sprint(i), rapid.SampledFrom([]Place{near, far, dear}).Draw(rt, "place"),
				rapid.SampledFrom([]inventory.State{inventory.StateLive, inventory.StateLeaving}).Draw(rt, "state"),
				rapid.SampledFrom([]identifier.AvailabilityZone{"", "z1", "z2"}).Draw(rt, "owner")))
		}
		d := Plan(v)
		if len(d.Start) > 0 && len(d.Stop) > 0 || d.Live+len(d.Start) > max(v.Wanted, d.Live) {
			rt.Fatalf("%+v", d)
		}
		for i, p := range d.Start {
			v.Hosts = append(v.Hosts, host(fmt.Sprint("new", i), p, inventory.StateLive, "z1"))
		}
		v.Hosts = slices.DeleteFunc(v.Hosts, func(h inventory.Host) bool {
			return slices.Contains(d.Stop, h.Host) || h.State == inventory.StateLeaving
		})
		again := Plan(v)
		if again.Live > v.Wanted && len(again.Stop) == 0 || again.Live < v.Wanted && len(again.Start) == 0 {
			rt.Fatalf("%+v", again)
		}
		if len(d.Start) > 0 && (len(again.Start) > 0 || len(again.Stop) > 0) {
			rt.Fatalf("%+v, then %+v", d, again)
		}
	})
}
