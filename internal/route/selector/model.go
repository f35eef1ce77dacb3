package selector

import (
	"math"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"
)

const (
	// lateFrom is the part of the target from which on a predicted first token
	// may turn out late: predictions err by a factor of three in both
	// directions (95 in 100, measured under load).
	lateFrom = 0.25
	// indifferent is the cost within which places count as equal, so that not
	// all daemons choose the same one.
	indifferent = 0.01
)

// late is the likelihood that a first token comes after the target.
func (m *model) late(firstToken float64) float64 {
	at := firstToken / m.target
	switch {
	case at <= lateFrom:
		return 0
	case at >= 1:
		return min(at, 2) / 2
	}
	at = (at - lateFrom) / (1 - lateFrom)
	return at * at / 2
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

// cached returns the prompt tokens presumed to be cached at a candidate.
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

// HomePricePremium returns how much more a second of an endpoint may cost than of the
// cheapest for it to be a home. Homes on few cheap endpoints share little
// cache; on all endpoints they share much and cost more. What the recomputing
// of a usual prompt counts for decides.
func HomePricePremium(recomputeWeight float64) float64 {
	const usualPrompt = 1 // in thousands of tokens
	return recomputeWeight * usualPrompt * nextTurn
}

// HomeIndex returns the endpoint where the turns of a conversation meet, or None.
func HomeIndex(prefix uint64, premium float64, candidates []candidate.Candidate) int {
	return home(prefix, premium, candidates, &VersionFilter{})
}

// home is the same among the endpoints of some versions.
func home(prefix uint64, premium float64, candidates []candidate.Candidate, v *VersionFilter) int {
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
		if h := mix(prefix ^ c.Hash); best == None || h > highest {
			best, highest = i, h
		}
	}
	return best
}

// model holds what predictions share.
type model struct {
	q       *Query
	best    identifier.Tokens
	target  float64
	perRead float64
	writing float64
	perLost float64
	slots   float64
	home    int
	// away is the cost of serving a conversation away from home: the next turn
	// will look for its cache there.
	away float64
}

func newModel(q *Query, cached []identifier.Tokens) model {
	const thousand = 1000
	m := model{
		q: q, best: mostCached(cached), target: q.Target.Seconds(), perRead: 1 / float64(max(q.PrefillRate, 1)),
		writing: float64(q.OutputTokens) / float64(max(q.DecodeRate, 1)), perLost: q.RecomputeWeight / thousand,
	}
	m.slots = float64(q.Slots)
	if q.Target == 0 {
		m.target = math.MaxFloat64
	}
	return m
}

// predict estimates the first token's time from the tokens ahead and the
// request's own uncached ones, and the cost from the time that the engine is
// busy and the tokens that it computes though another has them cached.
func (m *model) predict(c *candidate.Candidate, cached identifier.Tokens) Prediction {
	uncached := m.q.PromptTokens - min(cached, m.q.PromptTokens)
	slow := max(c.Slowdown, 1)
	reading := float64(uncached) * m.perRead * (1 + BatchSlowdown*c.Streams)
	p := Prediction{FirstToken: (c.TokensAhead*m.perRead + reading) * slow, Cost: c.PricePerSecond * (reading + m.writing) * slow}
	if m.slots > 0 && c.Streams >= m.slots {
		p.FirstToken += m.writing * (c.Streams - m.slots + 1) / m.slots
	}
	if c.AvailabilityZone != m.q.Zone {
		p.FirstToken += zoneSeconds
		p.Cost += m.q.CrossZoneCost
	}
	if recomputed := m.best - cached; recomputed > 0 {
		p.Cost += m.perLost * float64(recomputed)
	}
	return p
}

func (m *model) alternative(c *candidate.Candidate, p Prediction, cached identifier.Tokens) Alternative {
	return Alternative{
		Endpoint: c.Endpoint, FirstToken: time.Duration(p.FirstToken * float64(time.Second)), Cost: p.Cost,
		Cached: min(cached, m.q.PromptTokens), InTarget: p.FirstToken <= m.target,
	}
}

// better is as the function of that name, before p is made an alternative.
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
