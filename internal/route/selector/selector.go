// Package selector decides which endpoint serves a request.
//
// # The decision
//
// For each endpoint that may serve, the selector predicts the time to the
// first token and the cost: host price for the predicted busy time, plus the
// configured weight for prompt tokens that another endpoint has cached and
// this one would compute again. Among endpoints predicted to meet the target
// it takes the cheapest, else the soonest.
//
// # No herd
//
// Nine daemons that see the same old load report must not all pick the same
// endpoint. Costs within [nearlyEqual] of the cheapest count as equal, and
// among equals a hash of request and endpoint decides, which spreads
// different requests over different endpoints without talking.
//
// # Usage
//
//	d := selector.Select(&q, candidates, cached)
//	if d.Index == selector.None { refuse }
//
// Select is a pure function of its arguments: the same core serves requests,
// explains them, and runs under tests and experiments.
package selector

import (
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"

	"github.com/cespare/xxhash/v2"
)

// None is the index of a decision that found no endpoint.
const None = -1

const (
	// zoneDelay is added for an endpoint in another zone: the measured sizes
	// of today put zones at about a millisecond one way.
	zoneDelay = 2 * time.Millisecond
	// nearlyEqual is the ratio under which two costs count as equal.
	nearlyEqual = 1.05
	// staleAfter is the age at which a report says nothing any more.
	staleAfter = 10 * time.Second
	// promptGuess stands for the prompt of a queued request of unknown size.
	promptGuess = 256
	// batchSlowdown is the share by which each running stream slows reading.
	batchSlowdown = 0.02
)

// Query is what a decision needs to know besides the endpoints.
type Query struct {
	Now  time.Time
	Seed uint64
	// Zone is the deciding daemon's; Zones, if not empty, are the only ones
	// allowed.
	Zone  identifier.AvailabilityZone
	Zones []identifier.AvailabilityZone
	// Model must be loaded; empty for plain services.
	Model        string
	PromptTokens identifier.Tokens
	OutputTokens identifier.Tokens
	MaxInFlight  int
	Prefill      int
	Decode       int
	Target       time.Duration
	// RecomputeWeight is the cost of a thousand recomputed tokens.
	RecomputeWeight float64
	// Price returns a candidate's cost per hour.
	Price func(*candidate.Candidate) float64
	// Tried lists endpoints that this request must not be sent to again.
	Tried []identifier.Endpoint
}

// Alternative is one endpoint with its predictions.
type Alternative struct {
	Endpoint   identifier.Endpoint
	FirstToken time.Duration
	Cost       float64
	Cached     identifier.Tokens
	InTarget   bool
}

// Excluded counts the endpoints that could not serve, by reason.
type Excluded struct {
	Leaving  int
	Ejected  int
	Full     int
	Zone     int
	Model    int
	Tried    int
	NotFound int
}

const maxAlternatives = 3

// Decision is what was chosen and why.
type Decision struct {
	// Index is the position of the chosen candidate, or None.
	Index int
	// Chosen holds its predictions.
	Chosen Alternative
	// Best holds the best others, the first Others of them.
	Best     [maxAlternatives]Alternative
	Others   int
	Excluded Excluded
}

// Select decides among candidates. cached holds, by position, the prompt
// tokens known to be cached; it may be nil.
func Select(q *Query, candidates []candidate.Candidate, cached []identifier.Tokens) Decision {
	d := Decision{Index: None}
	best := mostCached(cached)
	var least bounds
	for i := range candidates {
		if !usable(q, &candidates[i], &d.Excluded) {
			continue
		}
		a := predict(q, &candidates[i], at(cached, i), best)
		d.note(&a)
		least.add(&a)
	}
	if !least.any {
		return d
	}
	d.pick(q, candidates, cached, best, &least)
	return d
}

// bounds are the lowest cost in target and the soonest first token.
type bounds struct {
	any      bool
	inTarget bool
	cost     float64
	soonest  time.Duration
}

func (b *bounds) add(a *Alternative) {
	if !b.any || a.FirstToken < b.soonest {
		b.soonest = a.FirstToken
	}
	if a.InTarget && (!b.inTarget || a.Cost < b.cost) {
		b.cost = a.Cost
		b.inTarget = true
	}
	b.any = true
}

// eligible tells whether a is as good as the best, within the tolerance.
func (b *bounds) eligible(a *Alternative) bool {
	if b.inTarget {
		return a.InTarget && a.Cost <= b.cost*nearlyEqual
	}
	return float64(a.FirstToken) <= float64(b.soonest)*nearlyEqual
}

// pick takes, among the eligible, the one whose hash with the request's seed
// is highest.
func (d *Decision) pick(q *Query, candidates []candidate.Candidate, cached []identifier.Tokens, best identifier.Tokens, b *bounds) {
	var highest uint64
	var ignored Excluded
	for i := range candidates {
		if !usable(q, &candidates[i], &ignored) {
			continue
		}
		a := predict(q, &candidates[i], at(cached, i), best)
		if !b.eligible(&a) {
			continue
		}
		h := mix(q.Seed ^ xxhash.Sum64String(string(a.Endpoint)))
		if d.Index == None || h > highest {
			highest = h
			d.Index = i
			d.Chosen = a
		}
	}
}

// mix spreads the bits of a combined hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func mostCached(cached []identifier.Tokens) identifier.Tokens {
	var most identifier.Tokens
	for _, c := range cached {
		most = max(most, c)
	}
	return most
}

func at(cached []identifier.Tokens, i int) identifier.Tokens {
	if i >= len(cached) {
		return 0
	}
	return cached[i]
}

func usable(q *Query, c *candidate.Candidate, x *Excluded) bool {
	switch {
	case c.Leaving:
		x.Leaving++
	case c.Ejected(q.Now):
		x.Ejected++
	case !allowed(q.Zones, c.AvailabilityZone):
		x.Zone++
	case q.Model != "" && c.Model != "" && c.Model != q.Model:
		x.Model++
	case contains(q.Tried, c.Endpoint):
		x.Tried++
	case c.InFlight >= q.MaxInFlight || c.Failures > 0 && c.InFlight > 0:
		// An endpoint that failed last gets one request at a time until one
		// succeeds.
		x.Full++
	default:
		return true
	}
	return false
}

func allowed(zones []identifier.AvailabilityZone, z identifier.AvailabilityZone) bool {
	return len(zones) == 0 || contains(zones, z)
}

func contains[T comparable](list []T, v T) bool {
	for i := range list {
		if list[i] == v {
			return true
		}
	}
	return false
}

func predict(q *Query, c *candidate.Candidate, cached, best identifier.Tokens) Alternative {
	a := Alternative{Endpoint: c.Endpoint, Cached: min(cached, q.PromptTokens)}
	uncached := q.PromptTokens - a.Cached
	prefill := float64(max(q.Prefill, 1))
	running, ahead := load(q, c)
	reading := float64(uncached) / prefill * (1 + batchSlowdown*running)
	first := float64(ahead)/prefill + reading
	if c.AvailabilityZone != q.Zone {
		first += zoneDelay.Seconds()
	}
	busy := reading + float64(q.OutputTokens)/float64(max(q.Decode, 1))
	a.FirstToken = time.Duration(first * float64(time.Second))
	a.Cost = q.Price(c) / time.Hour.Seconds() * busy
	if recomputed := best - a.Cached; recomputed > 0 {
		const thousand = 1000
		a.Cost += q.RecomputeWeight * float64(recomputed) / thousand
	}
	a.InTarget = q.Target == 0 || a.FirstToken <= q.Target
	return a
}

// load estimates the streams running and the prompt tokens ahead: the report
// corrected by what this daemon sent since, or only the daemon's own share
// when the report is too old.
func load(q *Query, c *candidate.Candidate) (running float64, ahead identifier.Tokens) {
	if q.Now.Sub(c.Taken) > staleAfter {
		return float64(c.InFlight), c.SentTokens
	}
	ahead = c.QueuedTokens + c.SentTokens
	if c.QueuedTokens == 0 {
		ahead += identifier.Tokens(c.Queued * promptGuess)
	}
	return float64(max(c.Running+c.SentSince, c.InFlight)), ahead
}

// note keeps the best alternatives for the explanation.
func (d *Decision) note(a *Alternative) {
	place := d.Others
	for i := range d.Others {
		if better(a, &d.Best[i]) {
			place = i
			break
		}
	}
	if place >= maxAlternatives {
		return
	}
	copy(d.Best[place+1:], d.Best[place:maxAlternatives-1])
	d.Best[place] = *a
	d.Others = min(d.Others+1, maxAlternatives)
}

func better(a, b *Alternative) bool {
	if a.InTarget != b.InTarget {
		return a.InTarget
	}
	if a.InTarget {
		return a.Cost < b.Cost
	}
	return a.FirstToken < b.FirstToken
}
