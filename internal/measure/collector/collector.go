// Package collector collects the results of a run's requests and sums up
// their latency, cost and recomputed tokens.
//
// The cost at the latency target is the price of the engine time of all
// requests, divided by the number of requests whose first token came within
// the target: a late answer adds to the cost, but not to that number.
// Recomputed tokens are prompt tokens that an engine had computed before and
// that a prefix cache could have supplied, but that were computed again.
//
// # Usage
//
//	c := collector.New(330 * time.Millisecond)
//	c.Add(collector.Sample{Organisation: "branches", FirstToken: 120 * time.Millisecond})
//	summary := c.Summary()
//	fmt.Println(collector.TableHeader)
//	fmt.Println(summary.Row("brasschute"))
package collector

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"brasschute/internal/core/identifier"
)

// Greatest value of the histograms, which record microseconds, and their number
// of significant digits.
const (
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	digits    = 3
)

// Sample is the result of one request.
type Sample struct {
	Organisation identifier.Organisation
	// FirstToken is the time from sending the request to its first token.
	FirstToken time.Duration
	// MaxTokenGap is the longest time between two tokens.
	MaxTokenGap time.Duration
	// Cost is the price of the engine time.
	Cost float64
	// RecomputedTokens are prompt tokens that were computed again although an
	// engine had computed them before.
	RecomputedTokens identifier.Tokens
	PromptTokens     identifier.Tokens
	// Refused is the reason of a refusal or failure; empty if the request was
	// answered.
	Refused string
}

// Collector sums up samples. It is safe for concurrent use.
type Collector struct {
	target time.Duration

	mu                       sync.Mutex
	firstToken               *hdrhistogram.Histogram
	tokenGap                 *hdrhistogram.Histogram
	firstTokenByOrganisation map[identifier.Organisation]*hdrhistogram.Histogram
	answered                 int
	inTarget                 int
	cost                     float64
	recomputedTokens         identifier.Tokens
	promptTokens             identifier.Tokens
	refused                  map[string]int
}

// New returns an empty collector. Target is the target for the time to first
// token.
func New(target time.Duration) *Collector {
	return &Collector{
		target: target, firstToken: histogram(), tokenGap: histogram(), refused: make(map[string]int),
		firstTokenByOrganisation: make(map[identifier.Organisation]*hdrhistogram.Histogram),
	}
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, digits) }

// Add adds one sample. Of a refused request only the cost and the reason
// count.
func (c *Collector) Add(s Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cost += s.Cost
	if s.Refused != "" {
		c.refused[s.Refused]++
		return
	}
	c.answered++
	if s.FirstToken <= c.target {
		c.inTarget++
	}
	_ = c.firstToken.RecordValue(max(s.FirstToken.Microseconds(), 1))
	_ = c.tokenGap.RecordValue(max(s.MaxTokenGap.Microseconds(), 1))
	if c.firstTokenByOrganisation[s.Organisation] == nil {
		c.firstTokenByOrganisation[s.Organisation] = histogram()
	}
	_ = c.firstTokenByOrganisation[s.Organisation].RecordValue(max(s.FirstToken.Microseconds(), 1))
	c.recomputedTokens += s.RecomputedTokens
	c.promptTokens += s.PromptTokens
}

// Summary holds the totals and percentiles of a run.
type Summary struct {
	// Answered counts the answered requests, InTarget those of them whose first
	// token came within the target.
	Answered, InTarget int
	// P50, P95 and P99 are percentiles of the time to first token.
	P50, P95, P99 time.Duration
	// TokenGapP95 is the 95th percentile of the longest token gap of a request.
	TokenGapP95 time.Duration
	// CostPerThousandInTarget is the cost of all requests for each thousand in target.
	CostPerThousandInTarget float64
	// RecomputedTokens is the sum of recomputed tokens, RecomputedShare their
	// share of all prompt tokens, from 0 to 1.
	RecomputedTokens identifier.Tokens
	RecomputedShare  float64
	// Refused counts the refused requests by reason.
	Refused map[string]int
}

// Summary returns the totals of the samples added so far.
func (c *Collector) Summary() Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	const thousand = 1000
	return Summary{
		Answered: c.answered, InTarget: c.inTarget, P50: quantile(c.firstToken, 50), P95: quantile(c.firstToken, 95),
		P99: quantile(c.firstToken, 99), TokenGapP95: quantile(c.tokenGap, 95),
		CostPerThousandInTarget: thousand * c.cost / float64(max(c.inTarget, 1)), RecomputedTokens: c.recomputedTokens,
		RecomputedShare: float64(c.recomputedTokens) / float64(max(c.promptTokens, 1)), Refused: c.refused,
	}
}

// FirstTokenP95 returns the 95th percentile of an organisation's time to first
// token; 0 if it has no answered request.
func (c *Collector) FirstTokenP95(o identifier.Organisation) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstTokenByOrganisation[o] == nil {
		return 0
	}
	return quantile(c.firstTokenByOrganisation[o], 95)
}

func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(percent)) * time.Microsecond
}

// TableHeader is the header of a Markdown table whose rows come from Row.
const TableHeader = "| policy | answered | in target | p50 | p95 | p99 | between p95 | cost/1000 in target | recomputed tokens | of prompt | refused |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|"

// Row formats the summary as a row of a Markdown table. Name is the first cell.
func (s *Summary) Row(name string) string {
	refused := 0
	for _, n := range s.Refused {
		refused += n
	}
	return fmt.Sprintf("| %s | %d | %d | %s | %s | %s | %s | %.4f | %d | %.1f%% | %d |", name, s.Answered, s.InTarget,
		round(s.P50), round(s.P95), round(s.P99), round(s.TokenGapP95), s.CostPerThousandInTarget, s.RecomputedTokens, 100*s.RecomputedShare, refused)
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
