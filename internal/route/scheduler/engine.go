package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"brasschute/internal/core/identifier"
)

const (
	// lowestRank is a rank behind all others.
	lowestRank = math.MaxInt
	// stallTime is how long the first event of a request may be overdue before the endpoint counts as
	// stalled, so that no further prefill is presumed: an event is reported within 50 ms, comes a step
	// or two after its prefill, and the speed is an estimate.
	stallTime = 300 * time.Millisecond
)

// engine models the queue at the endpoint: the prompts that it still has to prefill, in its own
// order, by rank and then by arrival.
type engine struct {
	runs map[Key]*run
	// prefilling holds the runs without a first event in the endpoint's order.
	prefilling []*run
	// memory is what the runs need, in tokens.
	memory identifier.Tokens
	at     time.Time
}

// run is a started request.
type run struct {
	request    Request
	sequence   int
	started    time.Time
	firstEvent bool
	// uncached are the prompt tokens to prefill, remaining those that are presumed to be left.
	uncached  float64
	remaining float64
	// prefilled is when the last of them was presumed to be prefilled. A run that another one behind
	// it overtook is no sign of a stall.
	prefilled time.Time
	overtaken bool
}

func newEngine() engine { return engine{runs: make(map[Key]*run)} }

// compareRuns orders runs as the endpoint prefills them.
func compareRuns(a, b *run) int {
	return cmp.Or(cmp.Compare(a.request.Rank, b.request.Rank), cmp.Compare(a.sequence, b.sequence))
}

// memoryNeed returns the memory that a request needs, in tokens.
func memoryNeed(r *Request) identifier.Tokens { return r.PromptTokens + r.OutputTokens }

// start adds a run.
func (g *engine) start(r *run) {
	g.runs[r.request.Key()] = r
	g.memory += memoryNeed(&r.request)
	if r.request.Unsized {
		return
	}
	i, _ := slices.BinarySearchFunc(g.prefilling, r, compareRuns)
	g.prefilling = slices.Insert(g.prefilling, i, r)
}

// remove ends a run.
func (g *engine) remove(k Key) {
	r := g.runs[k]
	delete(g.runs, k)
	g.memory -= memoryNeed(&r.request)
	g.prefilling = slices.DeleteFunc(g.prefilling, func(other *run) bool { return other == r })
}

// firstEvent records the first event of a run and reports whether others were being prefilled or
// waited at the endpoint, so that it stays busy.
func (g *engine) firstEvent(r *run) (busy bool) {
	r.firstEvent, r.remaining = true, 0
	for _, other := range g.prefilling {
		if other == r {
			break
		}
		other.overtaken = true
	}
	g.prefilling = slices.DeleteFunc(g.prefilling, func(other *run) bool { return other == r })
	return len(g.prefilling) > 0
}

// advance presumes that the endpoint has prefilled at the given speed since the last call.
func (g *engine) advance(tokensPerSecond float64, now time.Time) {
	elapsed := now.Sub(g.at)
	if elapsed <= 0 {
		return
	}
	g.at = now
	if g.stalled(now) {
		return
	}
	tokens := tokensPerSecond * elapsed.Seconds()
	for _, r := range g.prefilling {
		n := min(tokens, r.remaining)
		if n <= 0 {
			continue
		}
		r.remaining -= n
		tokens -= n
		if r.remaining <= 0 {
			r.prefilled = now
		}
	}
}

// stalled reports whether a first event is overdue.
func (g *engine) stalled(now time.Time) bool {
	return slices.ContainsFunc(g.prefilling, func(r *run) bool {
		return r.remaining <= 0 && !r.overtaken && now.Sub(r.prefilled) > stallTime
	})
}

// pending returns the prompt tokens that the endpoint prefills before those of a new request of a
// rank.
func (g *engine) pending(rank int) (sum float64) {
	for _, r := range g.prefilling {
		if r.request.Rank <= rank {
			sum += r.remaining
		}
	}
	return sum
}

// pendingBefore returns the prompt tokens that the endpoint prefills up to those of a run.
func (g *engine) pendingBefore(last *run) (sum float64) {
	for _, r := range g.prefilling {
		if compareRuns(r, last) <= 0 {
			sum += r.remaining
		}
	}
	return sum
}

// snapshot is what the passing of time changes in an engine.
type snapshot struct {
	at        time.Time
	remaining []float64
	prefilled []time.Time
}

func (g *engine) save() *snapshot {
	v := &snapshot{at: g.at, remaining: make([]float64, len(g.prefilling)), prefilled: make([]time.Time, len(g.prefilling))}
	for i, r := range g.prefilling {
		v.remaining[i], v.prefilled[i] = r.remaining, r.prefilled
	}
	return v
}

func (g *engine) restore(v *snapshot) {
	g.at = v.at
	for i, r := range g.prefilling {
		r.remaining, r.prefilled = v.remaining[i], v.prefilled[i]
	}
}
