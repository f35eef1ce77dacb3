package selector

import (
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"
)

// Option is a candidate whose load and cache were asked for, or are presumed as in [Select].
type Option struct {
	Candidate candidate.Candidate
	Cached    identifier.Tokens
	// Home: the candidate is the home of the request's prefix.
	Home bool
	// FirstToken is the time to first token as the endpoint's coordinator predicts it, without the
	// way to another zone; 0 if unknown.
	FirstToken time.Duration
}

// Compare returns the position of the option with the lowest cost, the expected cost of being late
// included, and the predictions for it. The first option, which [Select] chose, is kept if its cost is
// nearly the lowest: Select spreads requests over equal endpoints. Options must not be empty.
func Compare(q *Query, options []Option) (int, Alternative) {
	cached := make([]identifier.Tokens, len(options))
	hasHome := false
	for i := range options {
		cached[i] = options[i].Cached
		hasHome = hasHome || options[i].Home
	}
	m := newModel(q, cached)
	m.home = None
	if hasHome {
		m.awayCost = m.costPerRecomputedToken * float64(q.PromptTokens) * nextTurnProbability
	}
	best, chosen := 0, m.predictOption(&options[0])
	least := chosen.Cost - costTolerance*max(q.LateCost, 1)
	for i := range options[1:] {
		if p := m.predictOption(&options[i+1]); p.Cost < least {
			best, least, chosen = i+1, p.Cost, p
		}
	}
	return best, m.alternative(&options[best].Candidate, chosen, options[best].Cached)
}

// predictOption is predict for an option, with the cost of being late.
func (m *model) predictOption(o *Option) Prediction {
	c := &o.Candidate
	p := m.predict(c, o.Cached)
	if o.FirstToken > 0 {
		p.FirstToken = o.FirstToken.Seconds()
		if c.AvailabilityZone != m.q.Zone {
			p.FirstToken += crossZoneSeconds
		}
	}
	if !o.Home {
		p.Cost += m.awayCost
	}
	p.Cost += m.costOfLateness(c, p.FirstToken)
	return p
}
