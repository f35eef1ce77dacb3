package assigner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"brasschute/internal/core/identifier"
)

func daemons(zones, perZone int) (out []Daemon) {
	for i := range zones * perZone {
		out = append(out, Daemon{
			Host: identifier.Host(fmt.Sprintf("front-%d", i)), Zone: identifier.AvailabilityZone(fmt.Sprintf("zone-%d", i%zones)),
			Address: fmt.Sprintf("10.0.0.%d:82", i),
		})
	}
	return out
}

func endpoint(i int) identifier.Endpoint { return identifier.Endpoint(fmt.Sprintf("i-%d", i)) }

// If the order of the daemons mattered, two daemons would take different ones for an endpoint's
// coordinator. If the end of one daemon moved the endpoints of others, all models would be lost.
func TestCoordinatorIsTheSameEverywhereAndMovesLittle(t *testing.T) {
	now := time.Now()
	list := daemons(4, 5)
	reversed := make([]Daemon, len(list))
	for i, d := range list {
		reversed[len(list)-1-i] = d
	}
	a := New(Config{Daemons: func(time.Time) []Daemon { return list }})
	b := New(Config{Daemons: func(time.Time) []Daemon { return reversed }})
	ended := list[5]
	c := New(Config{Daemons: func(time.Time) []Daemon { return append(append([]Daemon(nil), list[:5]...), list[6:]...) }})
	counts := make(map[identifier.Host]int)
	const endpoints = 2000
	for i := range endpoints {
		zone := identifier.AvailabilityZone(fmt.Sprintf("zone-%d", i%4))
		d, ok := a.Coordinator(endpoint(i), zone, now)
		if !ok || d.Zone != zone {
			t.Fatalf("coordinator of %s in %s: %v", endpoint(i), zone, d)
		}
		if o, _ := b.Coordinator(endpoint(i), zone, now); o != d {
			t.Fatalf("%s: %s and %s", endpoint(i), d.Host, o.Host)
		}
		if o, _ := c.Coordinator(endpoint(i), zone, now); d != ended && o != d || o == ended {
			t.Errorf("%s moved from %s to %s at the end of %s", endpoint(i), d.Host, o.Host, ended.Host)
		}
		counts[d.Host]++
	}
	for h, n := range counts {
		if n < endpoints/20/2 || n > endpoints/20*2 {
			t.Errorf("%s coordinates %d of %d endpoints", h, n, endpoints)
		}
	}
}

// A zone may have engines and no daemon that coordinates; its endpoints must not go without one.
func TestCoordinatorOfAnotherZone(t *testing.T) {
	now := time.Now()
	list := daemons(2, 2)
	a := New(Config{Daemons: func(time.Time) []Daemon { return list }})
	if _, ok := a.Coordinator("i-1", "zone-9", now); !ok {
		t.Error("no coordinator for a zone without daemons")
	}
	list = nil
	if d, ok := a.Coordinator("i-1", "zone-0", now.Add(maxAge)); ok {
		t.Errorf("%s coordinates, want none", d.Host)
	}
}

// If daemons that know different lists selected different ones for a key, a record could not be
// found again once a daemon has ended.
func TestSelectionMovesLittle(t *testing.T) {
	now := time.Now()
	list := daemons(4, 5)
	a := New(Config{Daemons: func(time.Time) []Daemon { return list }})
	b := New(Config{Daemons: func(time.Time) []Daemon { return list[3:] }})
	counts := make(map[identifier.Host]int)
	const keys, n = 2000, 3
	for i := range keys {
		key := fmt.Sprint("request-", i)
		before, after := a.Select(key, n, now), b.Select(key, n, now)
		if len(before) != n || len(after) != n {
			t.Fatalf("%s: selected %v, %v", key, before, after)
		}
		for _, d := range before {
			counts[d.Host]++
			if !slices.Contains(after, d) && slices.Contains(list[3:], d) {
				t.Errorf("%s: %s is not selected any more at the end of others", key, d.Host)
			}
		}
	}
	for h, c := range counts {
		if c < keys*n/20/2 || c > keys*n/20*2 {
			t.Errorf("%s is selected for %d of %d keys", h, c, keys)
		}
	}
	if few := New(Config{Daemons: func(time.Time) []Daemon { return list[:2] }}).Select("key", n, now); len(few) != 2 {
		t.Errorf("selected %v of two daemons", few)
	}
}
