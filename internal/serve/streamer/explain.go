package streamer

import (
	"fmt"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/selector"
	"brasschute/internal/serve/recorder"
)

// RecordDecision copies a routing decision into the record of an attempt.
func RecordDecision(note *recorder.Attempt, d *selector.Decision) {
	x := d.Excluded
	note.Excluded = fmt.Sprintf("%d leaving, %d ejected, %d full, %d in other zones, %d with another model, %d tried",
		x.Leaving, x.Ejected, x.Full, x.Zone, x.Model, x.Tried)
	if d.Index == selector.None {
		return
	}
	note.Why = "soonest: none is predicted to meet the target"
	if d.Chosen.InTarget {
		note.Why = "cheapest of those predicted to meet the target"
	}
	note.Chosen = alternative(&d.Chosen)
	for i := range d.AlternativeCount {
		note.Alternatives = append(note.Alternatives, alternative(&d.Alternatives[i]))
	}
}

func alternative(a *selector.Alternative) recorder.Alternative {
	return recorder.Alternative{
		Endpoint: a.Endpoint, FirstTokenMS: float64(a.FirstToken.Microseconds()) / 1000,
		Cost: a.Cost, CachedTokens: a.Cached, InTarget: a.InTarget,
	}
}

// RoutingSeed returns the routing seed of a request, the FNV-1a hash of its id.
func RoutingSeed(id identifier.Request) uint64 {
	h := uint64(fnvOffset)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * fnvPrime
	}
	return h
}
