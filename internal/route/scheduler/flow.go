package scheduler

import (
	"time"

	"brasschute/internal/core/decayingsum"
	"brasschute/internal/core/identifier"
)

const (
	// flowTime is how long arrivals and ends count for those that are expected: some objectives, so
	// that a burst is noticed within one.
	flowTime = time.Second
	// maxArrivalFraction bounds the part of the endpoint that arrivals are expected to take.
	maxArrivalFraction = 0.9
	// arrivalRanks is the number of ranks that are told apart.
	arrivalRanks = 8
)

// arrivalRate measures how many prompt tokens a second arrive, by rank.
type arrivalRate struct {
	ranks [arrivalRanks]decayingsum.Sum
}

// add records an arrival.
func (f *arrivalRate) add(rank int, tokens float64, now time.Time) {
	f.ranks[min(max(rank, 0), arrivalRanks-1)].Add(tokens, flowTime, now)
}

// before returns the part of the endpoint's speed that arrivals of ranks less than the given one take.
func (f *arrivalRate) before(rank int, tokensPerSecond float64, now time.Time) float64 {
	sum := 0.0
	for i := range min(max(rank, 0), arrivalRanks) {
		sum += f.ranks[i].Value(flowTime, now)
	}
	return min(sum/flowTime.Seconds()/tokensPerSecond, maxArrivalFraction)
}

// releaseRate measures how fast slots and memory become free.
type releaseRate struct {
	slots, memory decayingsum.Sum
}

// add records the end of a started request.
func (f *releaseRate) add(memory identifier.Tokens, now time.Time) {
	f.slots.Add(1, flowTime, now)
	f.memory.Add(float64(memory), flowTime, now)
}

// until returns the time until a number of slots and tokens of memory are free.
func (f *releaseRate) until(slots int, memory identifier.Tokens, now time.Time) time.Duration {
	seconds := max(0, float64(slots)/max(f.slots.Value(flowTime, now), 1), float64(memory)/max(f.memory.Value(flowTime, now), 1))
	return time.Duration(min(seconds, maxHorizon.Seconds()) * float64(time.Second))
}
