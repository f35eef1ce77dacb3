package scheduler

import (
	"math"
	"time"

	"brasschute/internal/core/identifier"
)

const (
	// shareTime is how long the use of the endpoint by an organisation counts: as long as a scarcity
	// usually lasts, so that a burst at its start counts until its end.
	shareTime = 10 * time.Second
	// maxOrganisations bounds the organisations that are tracked. Of the others nothing is known, so
	// they go first.
	maxOrganisations = 1024
	// inflowTime is how long arrivals count for the load that is expected.
	inflowTime = time.Second
	// maxInflow bounds the part of the endpoint that more urgent requests are expected to take.
	maxInflow = 0.9
	// inflowRanks is the number of ranks that are told apart.
	inflowRanks = 8
)

// shares counts what organisations got of the endpoint recently, by their weights.
type shares struct {
	used map[identifier.Organisation]decaying
}

// decaying is a sum whose parts lose their weight over time.
type decaying struct {
	sum float64
	at  time.Time
}

// value returns the sum at a time.
func (d decaying) value(over time.Duration, now time.Time) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp(-now.Sub(d.at).Seconds()/over.Seconds())
}

func newShares() shares { return shares{used: make(map[identifier.Organisation]decaying)} }

// add records that a request takes tokens of prefill.
func (s *shares) add(r *Request, tokens float64, now time.Time) {
	if _, known := s.used[r.Organisation]; !known && len(s.used) >= maxOrganisations {
		s.forget(now)
	}
	weight := r.Weight
	if weight <= 0 {
		weight = 1
	}
	s.used[r.Organisation] = decaying{s.of(r.Organisation, now) + tokens/weight, now}
}

// of returns what an organisation got, divided by its weight.
func (s *shares) of(o identifier.Organisation, now time.Time) float64 {
	return s.used[o].value(shareTime, now)
}

// forget drops the organisation that got least.
func (s *shares) forget(now time.Time) {
	var least identifier.Organisation
	lowest := math.Inf(1)
	for o := range s.used {
		if v := s.of(o, now); v < lowest {
			least, lowest = o, v
		}
	}
	delete(s.used, least)
}

// inflow measures how many prompt tokens a second arrive, by rank.
type inflow struct {
	ranks [inflowRanks]decaying
}

// add records an arrival.
func (f *inflow) add(rank int, tokens float64, now time.Time) {
	d := &f.ranks[min(max(rank, 0), inflowRanks-1)]
	*d = decaying{d.value(inflowTime, now) + tokens, now}
}

// moreUrgent returns the part of the endpoint's speed that requests more urgent than a rank take.
func (f *inflow) moreUrgent(rank int, tokensPerSecond float64, now time.Time) float64 {
	sum := 0.0
	for i := range min(max(rank, 0), inflowRanks) {
		sum += f.ranks[i].value(inflowTime, now)
	}
	return min(sum/inflowTime.Seconds()/tokensPerSecond, maxInflow)
}
