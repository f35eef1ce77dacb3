package announcer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"brasschute/internal/core/identifier"
)

func departure(i int) Departure {
	return Departure{Endpoint: identifier.Endpoint(fmt.Sprintf("i-%05d", i)), StartTime: 1}
}

// Guards against messages that grow with the departures: thousands of endpoints leave at once.
func TestMessagesAreBounded(t *testing.T) {
	for _, listed := range []bool{true, false} {
		var a Announcer
		var all []Known
		for i := range 6000 {
			all = append(all, Known{departure(i), listed})
		}
		now := time.Unix(0, 0)
		a.Update(slices.Values(all), now)
		if n := len(a.Next(now)); n > maxRecent+maxRepeated {
			t.Errorf("listed %t: a message names %d departures", listed, n)
		}
		now = now.Add(recentTime)
		a.Update(slices.Values(all), now)
		n := 0
		for range 200 {
			n = max(n, len(a.Next(now)))
		}
		if listed && n > 0 || !listed && n != maxRepeated {
			t.Errorf("listed %t: a later message names %d departures", listed, n)
		}
	}
}

// Guards against departures that some daemon never learns: whatever is known and not listed is named
// within as many messages as its number takes.
func TestAllUnlistedDeparturesAreNamed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Announcer
		known := rapid.IntRange(0, 500).Draw(t, "known")
		now := time.Unix(0, 0)
		var all []Known
		want := make(map[Departure]bool)
		for i := range known {
			listed := rapid.Bool().Draw(t, "listed")
			all = append(all, Known{departure(i), listed})
			if !listed {
				want[departure(i)] = true
			}
		}
		a.Update(slices.Values(all), now)
		now = now.Add(rapid.SampledFrom([]time.Duration{0, recentTime}).Draw(t, "age"))
		for range len(want)/maxRepeated + 1 {
			for _, d := range a.Next(now) {
				delete(want, d)
			}
		}
		if len(want) > 0 {
			t.Fatalf("%d of %d departures were not named", len(want), known)
		}
	})
}

func TestRecentDeparturesComeFirst(t *testing.T) {
	var a Announcer
	now := time.Unix(0, 0)
	a.Update(slices.Values([]Known{{departure(1), true}, {departure(2), false}}), now)
	now = now.Add(recentTime)
	a.Update(slices.Values([]Known{{departure(1), true}, {departure(2), false}, {departure(3), true}}), now)
	if got := a.Recent(now); len(got) != 1 || got[0] != departure(3) {
		t.Errorf("recent: %v", got)
	}
	if got := a.Next(now); len(got) != 2 || got[0] != departure(3) || got[1] != departure(2) {
		t.Errorf("next: %v", got)
	}
	a.Update(slices.Values([]Known(nil)), now)
	if got := a.Next(now); len(got) > 0 {
		t.Errorf("none is known, and %v are named", got)
	}
}
