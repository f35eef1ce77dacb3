// Package selector decides which endpoint serves a request.
//
// For each endpoint that may serve a request, [Select] predicts the time to first token and the
// cost. The cost is the host price for the predicted busy time plus the configured weight for
// prompt tokens that this endpoint would recompute although another one has them cached. Among the
// endpoints predicted to meet the target it chooses the cheapest one. If none is, it chooses the
// one with the earliest predicted first token.
//
// # Avoiding herds
//
// Several daemons that see the same outdated load report must not all choose the same endpoint.
// Costs within [nearlyEqual] of the cheapest count as equal. Among equal endpoints a hash of
// request and endpoint decides, which spreads different requests over different endpoints without
// communication.
//
// # Home endpoints
//
// A daemon has only the records of what it sent itself and the cache events that reached it, but
// the turns of one conversation may arrive at any daemon. Each conversation therefore has a home:
// the endpoint that wins a rendezvous hash of the conversation's prefix among the cheapest
// endpoints that may serve. All daemons find the same home without communication and presume that
// it has cached what earlier turns sent. Serving the conversation elsewhere costs recomputing that
// prefix, by the configured weight. A home that is predicted to miss the target by too much is not
// used.
//
// # Usage
//
//	d := selector.Select(&q, candidates, cached, scratch)
//	if d.Index == selector.None { refuse }
//
// Select is a pure function of its arguments. The same code serves requests, explains decisions and
// runs in tests and experiments. The scratch slice only saves allocations; its contents on entry do
// not matter.
package selector

import (
	"math"
	"slices"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/mixer"
	"brasschute/internal/route/candidate"
)

// None is the index of a decision that found no endpoint.
const None = -1

const (
	// crossZoneSeconds is added to the time to first token of an endpoint in another zone: the
	// measured one-way delay between zones is about 1 ms.
	crossZoneSeconds = 0.002
	// nearlyEqual is the ratio up to which two costs, or two times to first token, count as equal.
	nearlyEqual = 1.05
	// nextTurnProbability is the fraction of requests whose conversation has another turn.
	nextTurnProbability = 0.5
	// homeTolerance is the ratio by which the predicted time to first token at the home may exceed
	// the target, or the earliest one, if leaving the home costs more than the request itself.
	homeTolerance = 2
)

// BatchSlowdown is the relative increase in prefill time caused by each running stream.
const BatchSlowdown = 0.02

// Query holds the inputs of a decision apart from the endpoints.
type Query struct {
	Now  time.Time
	Seed uint64
	// Prefix is a hash of the prompt prefix that the request shares with earlier turns of its
	// conversation; 0 if unknown.
	Prefix uint64
	// Zone is the zone of the deciding daemon. Zones, if not empty, lists the only zones allowed.
	Zone  identifier.AvailabilityZone
	Zones []identifier.AvailabilityZone
	// Model must be loaded at the endpoint; empty for plain services.
	Model        string
	PromptTokens identifier.Tokens
	// PriorTokens is the number of prompt tokens that an earlier turn already sent to some
	// endpoint.
	PriorTokens  identifier.Tokens
	OutputTokens identifier.Tokens
	MaxInFlight  int
	// Slots is the number of streams that an engine runs at once; 0 if unknown. PrefillRate and
	// DecodeRate are an engine's tokens per second. Target is the objective for the time to first
	// token; 0 for none.
	Slots       int
	PrefillRate int
	DecodeRate  int
	Target      time.Duration
	// RecomputeWeight is the cost of a thousand recomputed tokens.
	RecomputeWeight float64
	// CrossZoneCost is the cost of carrying the request to another zone and its answer back.
	CrossZoneCost float64
	// LateCost is the cost of a first token after the target. If it is set, the endpoint with the
	// lowest cost is chosen, the expected cost of being late included. Otherwise the target is met
	// first, and cost decides among the rest.
	LateCost float64
	// Tried lists endpoints that this request must not be sent to again.
	Tried []identifier.Endpoint
	// Versions restricts the endpoint versions that the request may go to.
	Versions VersionFilter
}

// Select chooses an endpoint among candidates. cached holds, by position, the prompt tokens known
// to be cached; it may be nil. scratch is used if it is long enough.
func Select(q *Query, candidates []candidate.Candidate, cached []identifier.Tokens, scratch []Prediction) Decision {
	d := Decision{Index: None}
	if len(scratch) < len(candidates) {
		scratch = make([]Prediction, len(candidates))
	}
	scratch = scratch[:len(candidates)]
	m := newModel(q, cached)
	m.home = homeIndex(q.Prefix, HomePricePremium(q.RecomputeWeight), candidates, &q.Versions)
	if m.home != None {
		m.bestCached = max(m.bestCached, q.PriorTokens)
		m.awayCost = m.costPerRecomputedToken * float64(q.PromptTokens) * nextTurnProbability
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
			p.Cost += m.awayCost
		}
		scratch[i] = p
		least.add(p, m.target)
		if d.AlternativeCount < maxAlternatives || m.better(p, &d.Alternatives[maxAlternatives-1]) {
			d.addAlternative(m.alternative(c, p, m.cached(cached, i)))
		}
	}
	if m.home != None && scratch[m.home].FirstToken >= 0 {
		d.Home, d.HasHome = m.home, true
	}
	if least.any {
		d.pick(q, candidates, scratch, &m, &least)
		d.Chosen = m.alternative(&candidates[d.Index], scratch[d.Index], m.cached(cached, d.Index))
	}
	return d
}

// bounds holds the lowest cost among the candidates in target and the earliest first token of all
// usable ones.
type bounds struct {
	any      bool
	inTarget bool
	cost     float64
	earliest float64
}

func (b *bounds) add(p Prediction, target float64) {
	if !b.any || p.FirstToken < b.earliest {
		b.earliest = p.FirstToken
	}
	b.any = true
	if p.FirstToken <= target && (!b.inTarget || p.Cost < b.cost) {
		b.cost = p.Cost
		b.inTarget = true
	}
}

// eligible reports whether p is as good as the best prediction, within the tolerance.
func (b *bounds) eligible(p Prediction, target float64) bool {
	if b.inTarget {
		return p.FirstToken <= target && p.Cost <= b.cost*nearlyEqual
	}
	return p.FirstToken <= b.earliest*nearlyEqual
}

// staysHome reports whether p, the prediction for the home, is good enough to serve the
// conversation there. It is if p is as good as any other. It also is if p is not much later than
// the target, or than the earliest endpoint, and the cost of leaving exceeds the cost of the
// request. Predictions from old reports overestimate the delay more often than not, while the cache
// lost by leaving is certain.
func (m *model) staysHome(b *bounds, p Prediction) bool {
	if b.eligible(p, m.target) {
		return true
	}
	return m.awayCost > p.Cost && p.FirstToken <= max(m.target, b.earliest)*homeTolerance
}

// pick chooses the home or, among the eligible candidates, the one with the highest hash of
// endpoint and request. Candidates in the daemon's own zone come first: a request that stays in its
// zone is not exposed to a partition between zones.
func (d *Decision) pick(q *Query, candidates []candidate.Candidate, scratch []Prediction, m *model, b *bounds) {
	if q.LateCost > 0 {
		d.cheapest(q, candidates, scratch, m)
		return
	}
	if m.home != None && scratch[m.home].FirstToken >= 0 && m.staysHome(b, scratch[m.home]) {
		d.Index = m.home
		return
	}
	var highest uint64
	seed := q.Seed
	if q.Prefix != 0 {
		seed = q.Prefix
	}
	foundOwn := false
	for i, p := range scratch {
		if p.FirstToken < 0 || !b.eligible(p, m.target) {
			continue
		}
		own := candidates[i].AvailabilityZone == q.Zone
		if foundOwn && !own {
			continue
		}
		h := mixer.Mix(seed ^ candidates[i].Hash)
		if d.Index == None || own && !foundOwn || h > highest {
			highest = h
			d.Index = i
		}
		foundOwn = foundOwn || own
	}
}

// cheapest chooses the candidate with the lowest cost, the expected cost of being late included. A
// hash decides among candidates of nearly the same cost.
func (d *Decision) cheapest(q *Query, candidates []candidate.Candidate, scratch []Prediction, m *model) {
	least := math.MaxFloat64
	for i := range scratch {
		if scratch[i].FirstToken >= 0 {
			scratch[i].Cost += m.costOfLateness(&candidates[i], scratch[i].FirstToken)
			least = min(least, scratch[i].Cost)
		}
	}
	var highest uint64
	for i, p := range scratch {
		if p.FirstToken < 0 || p.Cost > least+costTolerance*max(q.LateCost, 1) {
			continue
		}
		if h := mixer.Mix(q.Seed ^ candidates[i].Hash); d.Index == None || h > highest {
			highest, d.Index = h, i
		}
	}
}

// OnlyLimited reports whether only its rate limit keeps c from serving the request.
func OnlyLimited(q *Query, c *candidate.Candidate) bool {
	if !c.Limited {
		return false
	}
	unlimited := *c
	unlimited.Limited = false
	return usable(q, &unlimited, new(Excluded))
}

// usable reports whether c can serve the request. If not, it counts the reason in x.
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
