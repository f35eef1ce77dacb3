package selector

import (
	"math"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/mixer"
	"brasschute/internal/route/candidate"
)

const (
	// lateFrom is the fraction of the target above which a predicted first token may turn out late:
	// 95% of predictions are within a factor of three of the measured time under load, in either
	// direction.
	lateFrom = 0.25
	// costTolerance is the cost difference within which endpoints count as equal, so that not all
	// daemons choose the same one.
	costTolerance = 0.01
)

// lateness returns the estimated probability that the first token arrives after the target, given
// the predicted time to first token in seconds.
func (m *model) lateness(firstToken float64) float64 {
	ratio := firstToken / m.target
	switch {
	case ratio <= lateFrom:
		return 0
	case ratio >= 1:
		return min(ratio, 2) / 2
	}
	ratio = (ratio - lateFrom) / (1 - lateFrom)
	return ratio * ratio / 2
}

// mostCached returns the largest number of prompt tokens that any candidate has cached.
func mostCached(cached []identifier.Tokens) identifier.Tokens {
	var most identifier.Tokens
	for _, c := range cached {
		most = max(most, c)
	}
	return most
}

// cached returns the prompt tokens presumed to be cached at candidate i. The home is presumed to
// have cached what earlier turns sent.
func (m *model) cached(cached []identifier.Tokens, i int) identifier.Tokens {
	var tokens identifier.Tokens
	if i < len(cached) {
		tokens = cached[i]
	}
	if i == m.home {
		tokens = max(tokens, m.q.PriorTokens)
	}
	return tokens
}

// HomePricePremium returns by how much the price per second of an endpoint may exceed that of the
// cheapest one for it to be the home of a conversation. Homes on a few cheap endpoints have little
// cache between them; homes on all endpoints have more cache and cost more. The cost of recomputing
// a typical prompt on the next turn sets the limit.
func HomePricePremium(recomputeWeight float64) float64 {
	const usualPrompt = 1 // in thousands of tokens
	return recomputeWeight * usualPrompt * nextTurnProbability
}

// HomeIndex returns the index of the home of a conversation with the given prefix hash, or None.
// premium is the result of [HomePricePremium].
func HomeIndex(prefix uint64, premium float64, candidates []candidate.Candidate) int {
	return homeIndex(prefix, premium, candidates, &VersionFilter{})
}

// homeIndex is HomeIndex restricted to the endpoints that v allows.
func homeIndex(prefix uint64, premium float64, candidates []candidate.Candidate, v *VersionFilter) int {
	if prefix == 0 {
		return None
	}
	cheapest := math.MaxFloat64
	for i := range candidates {
		if c := &candidates[i]; !c.Leaving && !c.Unavailable && v.Allow(c) && c.PricePerSecond < cheapest {
			cheapest = c.PricePerSecond
		}
	}
	best, highest := None, uint64(0)
	for i := range candidates {
		c := &candidates[i]
		if c.Leaving || c.Unavailable || c.PricePerSecond > cheapest+premium || !v.Allow(c) {
			continue
		}
		if h := mixer.Mix(prefix ^ c.Hash); best == None || h > highest {
			best, highest = i, h
		}
	}
	return best
}

// costOfLateness returns the expected cost of a first token after the target, given the predicted time
// to first token in seconds.
func (m *model) costOfLateness(c *candidate.Candidate, firstToken float64) float64 {
	late := m.lateness(firstToken)
	if c.PeerBackingOff {
		// An endpoint that asked another daemon to back off will most likely refuse this one, too.
		late = 1
	}
	return m.q.LateCost * late
}

// model holds the inputs that the predictions for all candidates share. Times are in seconds.
type model struct {
	q                      *Query
	bestCached             identifier.Tokens
	target                 float64
	prefillSecondsPerToken float64
	decodeSeconds          float64
	costPerRecomputedToken float64
	slots                  float64
	home                   int
	// awayCost is the cost of serving a conversation away from its home: the next turn will look
	// for its cache at the home.
	awayCost float64
}

func newModel(q *Query, cached []identifier.Tokens) model {
	const thousand = 1000
	m := model{
		q: q, bestCached: mostCached(cached), target: q.Target.Seconds(), prefillSecondsPerToken: 1 / float64(max(q.PrefillRate, 1)),
		decodeSeconds: float64(q.OutputTokens) / float64(max(q.DecodeRate, 1)), costPerRecomputedToken: q.RecomputeWeight / thousand,
	}
	m.slots = float64(q.Slots)
	if q.Target == 0 {
		m.target = math.MaxFloat64
	}
	return m
}

// predict estimates the time to first token from the tokens ahead of the request and its own
// uncached ones. It estimates the cost from the time that the engine is busy and from the tokens
// that it computes although another engine has them cached.
func (m *model) predict(c *candidate.Candidate, cached identifier.Tokens) Prediction {
	uncached := m.q.PromptTokens - min(cached, m.q.PromptTokens)
	slowdown := max(c.Slowdown, 1)
	prefillSeconds := float64(uncached) * m.prefillSecondsPerToken * (1 + BatchSlowdown*c.Streams)
	p := Prediction{FirstToken: (c.TokensAhead*m.prefillSecondsPerToken + prefillSeconds) * slowdown, Cost: c.PricePerSecond * (prefillSeconds + m.decodeSeconds) * slowdown}
	if m.slots > 0 && c.Streams >= m.slots {
		p.FirstToken += m.decodeSeconds * (c.Streams - m.slots + 1) / m.slots
	}
	if c.AvailabilityZone != m.q.Zone {
		p.FirstToken += crossZoneSeconds
		p.Cost += m.q.CrossZoneCost
	}
	if recomputed := m.bestCached - cached; recomputed > 0 {
		p.Cost += m.costPerRecomputedToken * float64(recomputed)
	}
	return p
}

func (m *model) alternative(c *candidate.Candidate, p Prediction, cached identifier.Tokens) Alternative {
	return Alternative{
		Endpoint: c.Endpoint, FirstToken: time.Duration(p.FirstToken * float64(time.Second)), Cost: p.Cost,
		Cached: min(cached, m.q.PromptTokens), InTarget: p.FirstToken <= m.target,
	}
}

// better is the function better for a prediction that has not been converted to an Alternative yet.
func (m *model) better(p Prediction, than *Alternative) bool {
	inTarget := p.FirstToken <= m.target
	if inTarget != than.InTarget {
		return inTarget
	}
	if inTarget {
		return p.Cost < than.Cost
	}
	return p.FirstToken < than.FirstToken.Seconds()
}
