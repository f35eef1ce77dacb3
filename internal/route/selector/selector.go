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
// # Homes
//
// A daemon knows only what it sent itself and the cache events that reached
// it, yet the turns of a conversation come through any daemon. So each
// conversation has a home: the endpoint, among the cheapest that may serve,
// that wins a rendezvous hash of the conversation's prefix. All daemons find
// the same home without talking, and presume that it has cached what earlier
// turns sent. Leaving home costs the recomputing of that, by the configured
// weight; a home that is predicted to miss the target is left all the same.
//
// # Usage
//
//	d := selector.Select(&q, candidates, cached, scratch)
//	if d.Index == selector.None { refuse }
//
// Select is a pure function of its arguments: the same core serves requests,
// explains them, and runs under tests and experiments. The scratch only saves
// allocating; its content on entry does not matter.
package selector

import (
	"math"
	"slices"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"
)

// None is the index of a decision that found no endpoint.
const None = -1

const (
	// zoneSeconds is added for an endpoint in another zone: the measured sizes
	// of today put zones at about a millisecond one way.
	zoneSeconds = 0.002
	// nearlyEqual is the ratio under which two costs count as equal.
	nearlyEqual = 1.05
	// nextTurn is the share of requests after which their conversation goes
	// on.
	nextTurn = 0.5
	// homeTolerance is the ratio of predicted first tokens up to which a
	// conversation may stay at home though another endpoint would be sooner.
	homeTolerance = 2
)

// BatchSlowdown is the share by which each running stream slows reading.
const BatchSlowdown = 0.02

// Query is what a decision needs to know besides the endpoints.
type Query struct {
	Now  time.Time
	Seed uint64
	// Prefix names what the request has in common with earlier turns of its
	// conversation; 0 if not known.
	Prefix uint64
	// Zone is the deciding daemon's; Zones, if not empty, are the only ones
	// allowed.
	Zone  identifier.AvailabilityZone
	Zones []identifier.AvailabilityZone
	// Model must be loaded; empty for plain services.
	Model        string
	PromptTokens identifier.Tokens
	// PriorTokens are the prompt tokens that an earlier turn sent somewhere.
	PriorTokens        identifier.Tokens
	OutputTokens identifier.Tokens
	MaxInFlight  int
	// Slots is how many streams an engine runs at once; 0 if not known.
	Slots   int
	PrefillRate int
	DecodeRate  int
	Target  time.Duration
	// RecomputeWeight is the cost of a thousand recomputed tokens.
	RecomputeWeight float64
	// CrossZoneCost is the cost of carrying the request and its answer to another
	// zone and back.
	CrossZoneCost float64
	// LateCost is what a first token after the target costs. Where it is set,
	// the place with the lowest cost is taken, that of being late included;
	// otherwise the target is met first, and cost decides among the rest.
	LateCost float64
	// Tried lists endpoints that this request must not be sent to again.
	Tried []identifier.Endpoint
	// Versions are those that the request may go to.
	Versions VersionFilter
}

// Select decides among candidates. cached holds, by position, the prompt
// tokens known to be cached; it may be nil. scratch is used if it is long
// enough.
func Select(q *Query, candidates []candidate.Candidate, cached []identifier.Tokens, scratch []Prediction) Decision {
	d := Decision{Index: None}
	if len(scratch) < len(candidates) {
		scratch = make([]Prediction, len(candidates))
	}
	scratch = scratch[:len(candidates)]
	m := newModel(q, cached)
	m.home = home(q.Prefix, HomePricePremium(q.RecomputeWeight), candidates, &q.Versions)
	if m.home != None {
		m.best = max(m.best, q.PriorTokens)
		m.away = m.perLost * float64(q.PromptTokens) * nextTurn
	}
	var least bounds
	for i := range scratch {
		c := &candidates[i]
		if !usable(q, c, &d.Excluded) {
			scratch[i].FirstToken = unusable
			continue
		}
		p := m.predict(c, m.cached(cached, i))
		if m.home != None && i != m.home {
			p.Cost += m.away
		}
		scratch[i] = p
		least.add(p, m.target)
		if d.AlternativeCount < maxAlternatives || m.better(p, &d.Alternatives[maxAlternatives-1]) {
			d.note(m.alternative(c, p, m.cached(cached, i)))
		}
	}
	if least.any {
		d.pick(q, candidates, scratch, &m, &least)
		d.Chosen = m.alternative(&candidates[d.Index], scratch[d.Index], m.cached(cached, d.Index))
	}
	return d
}

// bounds are the lowest cost in target and the soonest first token.
type bounds struct {
	any      bool
	inTarget bool
	cost     float64
	soonest  float64
}

func (b *bounds) add(p Prediction, target float64) {
	if !b.any || p.FirstToken < b.soonest {
		b.soonest = p.FirstToken
	}
	b.any = true
	if p.FirstToken <= target && (!b.inTarget || p.Cost < b.cost) {
		b.cost = p.Cost
		b.inTarget = true
	}
}

// eligible tells whether p is as good as the best, within the tolerance.
func (b *bounds) eligible(p Prediction, target float64) bool {
	if b.inTarget {
		return p.FirstToken <= target && p.Cost <= b.cost*nearlyEqual
	}
	return p.FirstToken <= b.soonest*nearlyEqual
}

// homely tells whether p is good enough to stay at home: as good as any; or
// not much later than the target, or the soonest, if what is lost by leaving
// outweighs the price of the request. Predictions from old reports err to the
// late side more often than not, and the caches lost by leaving are certain.
func (m *model) homely(b *bounds, p Prediction) bool {
	if b.eligible(p, m.target) {
		return true
	}
	return m.away > p.Cost && p.FirstToken <= max(m.target, b.soonest)*homeTolerance
}

// pick takes home, or, among the eligible, the one whose hash with the request's seed
// is highest. Those of the own zone go first: a request that stays in its zone
// is not exposed to a cut between zones.
func (d *Decision) pick(q *Query, candidates []candidate.Candidate, scratch []Prediction, m *model, b *bounds) {
	if q.LateCost > 0 {
		d.cheapest(q, candidates, scratch, m)
		return
	}
	if m.home != None && scratch[m.home].FirstToken >= 0 && m.homely(b, scratch[m.home]) {
		d.Index = m.home
		return
	}
	var highest uint64
	seed := q.Seed
	if q.Prefix != 0 {
		seed = q.Prefix
	}
	near := false
	for i, p := range scratch {
		if p.FirstToken < 0 || !b.eligible(p, m.target) {
			continue
		}
		own := candidates[i].AvailabilityZone == q.Zone
		if near && !own {
			continue
		}
		h := mix(seed ^ candidates[i].Hash)
		if d.Index == None || own && !near || h > highest {
			highest = h
			d.Index = i
		}
		near = near || own
	}
}

// cheapest takes the lowest cost, that of being late included. Among places that
// are as good, a hash decides.
func (d *Decision) cheapest(q *Query, candidates []candidate.Candidate, scratch []Prediction, m *model) {
	least := math.MaxFloat64
	for i := range scratch {
		if scratch[i].FirstToken >= 0 {
			late := m.late(scratch[i].FirstToken)
			if candidates[i].PeerBackingOff {
				// It most likely turns this daemon away, too.
				late = 1
			}
			scratch[i].Cost += q.LateCost * late
			least = min(least, scratch[i].Cost)
		}
	}
	var highest uint64
	for i, p := range scratch {
		if p.FirstToken < 0 || p.Cost > least+indifferent*max(q.LateCost, 1) {
			continue
		}
		if h := mix(q.Seed ^ candidates[i].Hash); d.Index == None || h > highest {
			highest, d.Index = h, i
		}
	}
}

func usable(q *Query, c *candidate.Candidate, x *Excluded) bool {
	switch {
	case c.Leaving:
		x.Leaving++
	case !q.Versions.Allow(c):
		x.Version++
	case c.Silent:
		x.Silent++
	case c.BackingOff:
		x.BackingOff++
	case c.Limited:
		x.Limited++
	case c.Unavailable:
		x.Ejected++
	case len(q.Zones) > 0 && !slices.Contains(q.Zones, c.AvailabilityZone):
		x.Zone++
	case q.Model != "" && c.Reported && c.Model != q.Model:
		x.Model++
	case len(q.Tried) > 0 && slices.Contains(q.Tried, c.Endpoint):
		x.Tried++
	case int(c.InFlight) >= q.MaxInFlight || c.OnProbation && c.InFlight > 0:
		x.Full++
	default:
		return true
	}
	return false
}
