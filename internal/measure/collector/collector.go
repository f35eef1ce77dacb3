// Package result adds up what a run of requests took and cost.
//
// # The two measures
//
// Cost at the latency target is the price of the engine time of all requests,
// divided by the number of those whose first token came within the target: a
// late answer costs and does not count. Recomputed tokens are prompt tokens
// that some engine had computed before, and a cache could have given, but
// were computed again.
//
// # Usage
//
//	r := result.New(330 * time.Millisecond)
//	r.Add(result.Sample{...})
//	fmt.Println(r.Row("ours"))
package collector

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"brasschute/internal/core/identifier"
)

const (
	highest = int64(10 * time.Minute / time.Microsecond)
	figures = 3
)

// Sample is one request's end.
type Sample struct {
	Organisation identifier.Organisation
	FirstToken   time.Duration
	// MaxTokenGap holds the longest pause between two tokens.
	MaxTokenGap    time.Duration
	Cost       float64
	RecomputedTokens identifier.Tokens
	PromptTokens     identifier.Tokens
	// Refused is the kind of refusal, empty if answered.
	Refused string
}

// Collector adds samples up. It is safe for concurrent use.
type Collector struct {
	target time.Duration

	mu         sync.Mutex
	first      *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	byOrg      map[identifier.Organisation]*hdrhistogram.Histogram
	answered   int
	inTarget   int
	cost       float64
	recomputed identifier.Tokens
	prompt     identifier.Tokens
	refused    map[string]int
}

// New returns an empty result for a latency target.
func New(target time.Duration) *Collector {
	return &Collector{
		target: target, first: histogram(), between: histogram(), refused: make(map[string]int),
		byOrg: make(map[identifier.Organisation]*hdrhistogram.Histogram),
	}
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, highest, figures) }

// Add takes in one sample.
func (r *Collector) Add(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cost += s.Cost
	if s.Refused != "" {
		r.refused[s.Refused]++
		return
	}
	r.answered++
	if s.FirstToken <= r.target {
		r.inTarget++
	}
	_ = r.first.RecordValue(max(s.FirstToken.Microseconds(), 1))
	_ = r.between.RecordValue(max(s.MaxTokenGap.Microseconds(), 1))
	if r.byOrg[s.Organisation] == nil {
		r.byOrg[s.Organisation] = histogram()
	}
	_ = r.byOrg[s.Organisation].RecordValue(max(s.FirstToken.Microseconds(), 1))
	r.recomputed += s.RecomputedTokens
	r.prompt += s.PromptTokens
}

// Summary is what a run came to.
type Summary struct {
	Answered, InTarget  int
	P50, P95, P99       time.Duration
	BetweenP95          time.Duration
	CostPerThousand     float64
	Recomputed          identifier.Tokens
	RecomputedPerPrompt float64
	Refused             map[string]int
}

// Summary returns the sums so far. CostPerThousand is for a thousand requests
// in target.
func (r *Collector) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	const thousand = 1000
	return Summary{
		Answered: r.answered, InTarget: r.inTarget, P50: quantile(r.first, 50), P95: quantile(r.first, 95),
		P99: quantile(r.first, 99), BetweenP95: quantile(r.between, 95),
		CostPerThousand: thousand * r.cost / float64(max(r.inTarget, 1)), Recomputed: r.recomputed,
		RecomputedPerPrompt: float64(r.recomputed) / float64(max(r.prompt, 1)), Refused: r.refused,
	}
}

// FirstTokenP95 returns the 95th percentile of an organisation's first tokens.
func (r *Collector) FirstTokenP95(o identifier.Organisation) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byOrg[o] == nil {
		return 0
	}
	return quantile(r.byOrg[o], 95)
}

func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(percent)) * time.Microsecond
}

// TableHeader is the head of a table of rows.
const TableHeader = "| policy | answered | in target | p50 | p95 | p99 | between p95 | cost/1000 in target | recomputed tokens | of prompt | refused |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|"

// Row formats a summary as a row of a Markdown table.
func (s *Summary) Row(name string) string {
	refused := 0
	for _, n := range s.Refused {
		refused += n
	}
	return fmt.Sprintf("| %s | %d | %d | %s | %s | %s | %s | %.4f | %d | %.1f%% | %d |", name, s.Answered, s.InTarget,
		round(s.P50), round(s.P95), round(s.P99), round(s.BetweenP95), s.CostPerThousand, s.Recomputed, 100*s.RecomputedPerPrompt, refused)
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
