// Package placer chooses the endpoint of a request by querying the registry.
//
// The selector weighs the predicted time to the first event against the cost of an
// endpoint: prompt tokens that would be computed again although another engine has
// them cached, and bytes carried between zones. This package computes these terms
// for a request; package selector makes the choice.
//
// A prompt with a long shared prefix has a home endpoint, which is the same for all
// daemons. One with a short shared prefix stays in its zone, as computing the prefix
// again costs less than carrying the answer to another zone.
//
// # Usage
//
//	placement := p.Place(ctx, q, service, tried, versions)
//	defer p.End(q, placement.Pick)
//	defer registry.Release(placement.Pick, result)
//
// # Exact figures
//
// For engines whose capacity is known, up to three endpoints are drawn by this daemon's own
// prediction, and their coordinators are asked for the exact queue and cache. So daemons that send at
// the same time do not overload one engine while others idle. A request that can't start waits here,
// within bounds, and is started, moved or refused as the coordinator says.
package placer

import (
	"context"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/prefix"
	"brasschute/internal/route/estimator"
	"brasschute/internal/route/registry"
	"brasschute/internal/route/selector"
	"brasschute/internal/serve/drainer"
	"brasschute/internal/serve/request"
	"brasschute/internal/serve/streamer"

	"github.com/cespare/xxhash/v2"
)

const (
	// tokenCost is the cost of computing a prompt token that another engine has cached.
	// The other costs are ratios to it, as lateness, recomputation and transfer have no
	// price in the configuration. Its value makes a late plain call cost 1.
	tokenCost       = 2.7e-5
	recomputeWeight = 1000 * tokenCost
	// zoneCostPerByte is the cost of carrying a byte between zones.
	zoneCostPerByte = 0.045 * tokenCost
	// lateCostPerToken is the cost of a late answer per token: six times the cost of
	// computing a prompt token. Output tokens count outputFactor times, as they take more
	// of an engine's time. minLateCost is the cost for the smallest request.
	lateCostPerToken = 6 * tokenCost
	outputFactor     = 10
	minLateCost      = 7500 * tokenCost
	// eventBytes is the usual size of an event on the wire.
	eventBytes = 64
	// minHomeTokens is the size of a shared prefix from which on a request goes to the home
	// of the prefix: computing 1,000 tokens again costs as much as carrying 20 KB to
	// another zone.
	minHomeTokens identifier.Tokens = 1000
	// maxPlainInFlight bounds the requests of this host at one plain endpoint, whose slots
	// are few and shared by all hosts.
	maxPlainInFlight = 16
	// usualFactor/usualDivisor times the predicted generation time of its output tokens is
	// the time that the tokens of a stream may usually take.
	usualFactor, usualDivisor = 5, 4
)

// Placer places requests. It is safe for concurrent use.
type Placer struct {
	c       Config
	waiting waitLimiter
}

// Config holds the dependencies of a Placer.
type Config struct {
	Registry *registry.Registry
	// Estimator predicts the prefill and decode speed of engines.
	Estimator *estimator.Estimator
	// Zone is the zone of this daemon, Host its name.
	Zone identifier.AvailabilityZone
	Host identifier.Host
	// Reserver asks the coordinators of endpoints; nil if there are none.
	Reserver Reserver
	// OnFirstEvent is called with the measured and the predicted time to each first event of a
	// request with token counts; may be nil.
	OnFirstEvent func(s identifier.Service, took, predicted time.Duration)
	// SurvivedRejections returns the number of rejections a second that the endpoints of a service
	// survive, 0 if it is not known. brittle reports whether there is such a bound. nil for none.
	SurvivedRejections func(identifier.Service) (perSecond float64, brittle bool)
	// Drainer says when requests have to end because the daemon stops; nil for none.
	Drainer *drainer.Drainer
}

// New returns a placer.
func New(c Config) *Placer {
	if c.Drainer == nil {
		c.Drainer = drainer.New(drainer.Config{})
	}
	return &Placer{c: c}
}

// Place chooses an endpoint for a request and counts the request there. It may wait until the
// request can start, but not after ctx has ended.
func (p *Placer) Place(ctx context.Context, q *request.Request, s *catalog.Service, tried []identifier.Endpoint, v selector.VersionFilter) Placement {
	query := p.query(q, s, tried, v)
	sized := p.isScheduled(q, s)
	if _, brittle := p.survivedRejections(q); sized || brittle && p.c.Reserver != nil {
		return p.schedule(ctx, q, &scheduledQuery{Query: *query, unsized: !sized})
	}
	pick, d := p.c.Registry.Choose(query)
	return Placement{Pick: pick, Decision: d}
}

// query returns the query for the endpoint with the lowest cost, that of being late included.
func (p *Placer) query(q *request.Request, s *catalog.Service, tried []identifier.Endpoint, v selector.VersionFilter) *registry.Query {
	query := p.baseQuery(q, s, tried, v)
	query.Select.Target = max(q.Route.FirstEventObjective-query.Select.Now.Sub(q.Received), time.Millisecond)
	query.Select.RecomputeWeight, query.Select.LateCost = recomputeWeight, lateCost(q)
	query.Select.CrossZoneCost = zoneCostPerByte * float64(len(q.Body)+eventBytes*int(q.OutputTokens)/tokensPerEvent(s))
	// The last block identifies the whole shared prefix.
	if n := len(query.Blocks); n > 0 && query.Sizes[n-1] >= minHomeTokens {
		query.Select.Prefix, query.Select.PriorTokens = uint64(query.Blocks[n-1]), query.Sizes[n-1]
	}
	return query
}

// baseQuery returns a query with what a request and its service state, without target and costs.
func (p *Placer) baseQuery(q *request.Request, s *catalog.Service, tried []identifier.Endpoint, v selector.VersionFilter) *registry.Query {
	now := time.Now()
	blocks, sizes := prefixBlocks(q)
	query := &registry.Query{
		Pool: identifier.Pool(q.Service), Blocks: blocks, Sizes: sizes,
		Select: selector.Query{
			Now: now, Seed: streamer.RoutingSeed(q.ID), Zone: p.c.Zone, PromptTokens: q.PromptTokens, OutputTokens: q.OutputTokens,
			MaxInFlight: maxPlainInFlight, PrefillRate: int(p.c.Estimator.Estimate(q.Service, now).Speed),
			DecodeRate: int(time.Second / p.c.Estimator.TokenInterval(q.Service)), Tried: tried, Versions: v,
		},
	}
	if s != nil && s.Engine != nil {
		query.Select.Slots = max(s.Engine.Slots, 1)
		query.Select.MaxInFlight = query.Select.Slots
	}
	return query
}

// ReportFirstEvent reports to the endpoint's coordinator that an attempt has received its first event,
// or its answer. Without it, the coordinator takes the endpoint for stalled.
func (p *Placer) ReportFirstEvent(q *request.Request, k *registry.Pick) {
	if p.c.Reserver != nil {
		p.c.Reserver.FirstEvent(k.Endpoint, q.ID)
	}
}

// ObserveFirstEvent records how long a pick took to the first event, or to the answer.
func (p *Placer) ObserveFirstEvent(q *request.Request, k *registry.Pick, took time.Duration) {
	p.c.Registry.ObserveFirstToken(k, took)
	if !q.HasTokenCounts {
		return
	}
	if p.c.OnFirstEvent != nil && k.PredictedFirstToken > 0 {
		p.c.OnFirstEvent(q.Service, took, k.PredictedFirstToken)
	}
	p.c.Estimator.ObserveFirstEvent(q.Service, estimator.Observation{Uncached: k.UncachedTokens, TokensAhead: k.TokensAhead, Streams: k.Streams, Took: took})
}

// End records that the request of a pick has ended at its endpoint, or was not sent there.
func (p *Placer) End(q *request.Request, k *registry.Pick) {
	if p.c.Reserver != nil {
		p.c.Reserver.End(k.Endpoint, q.ID)
	}
}

// ObserveStream records how long an ended stream took from its first event to its last.
func (p *Placer) ObserveStream(q *request.Request, s *catalog.Service, events int, took time.Duration) {
	p.c.Estimator.ObserveStream(q.Service, (events-1)*tokensPerEvent(s), took)
}

// ExpectedDuration returns how long a stream of so many events takes at an endpoint of
// usual speed. It is 0 for a plain call, which can only be compared with others.
func (p *Placer) ExpectedDuration(q *request.Request, s *catalog.Service, k *registry.Pick, events int) time.Duration {
	if !q.HasTokenCounts {
		return 0
	}
	fixed := p.c.Estimator.Estimate(q.Service, time.Now()).FixedLatency
	return fixed + k.NominalFirstToken + time.Duration(events*tokensPerEvent(s))*p.c.Estimator.TokenInterval(q.Service)
}

// MaxUsualDuration returns the longest usual duration of an answer.
func (p *Placer) MaxUsualDuration(q *request.Request) time.Duration {
	if !q.HasTokenCounts {
		return q.Route.FirstEventObjective
	}
	return q.Route.FirstEventObjective/2 + p.maxUsualGeneration(q)
}

// maxUsualGeneration returns the longest usual time from the first event of a stream to its last.
func (p *Placer) maxUsualGeneration(q *request.Request) time.Duration {
	return usualFactor * time.Duration(q.OutputTokens) * p.c.Estimator.TokenInterval(q.Service) / usualDivisor
}

// lateCost is the cost of a late answer: nine tenths of the value of a request, which is
// assumed to grow with the tokens that its organisation pays for. It is 1 for a plain call.
func lateCost(q *request.Request) float64 {
	if !q.HasTokenCounts {
		return 1
	}
	return max(lateCostPerToken*float64(q.PromptTokens+outputFactor*q.OutputTokens), minLateCost)
}

func tokensPerEvent(s *catalog.Service) int {
	if s == nil || s.Engine == nil {
		return 1
	}
	return max(s.Engine.TokensPerEvent, 1)
}

// prefixBlocks returns a block for each shared part of a prompt, and the tokens up to the
// end of that part. The cached state of a part depends on all parts before it, so each
// block hashes the ids of all parts so far.
func prefixBlocks(q *request.Request) ([]prefix.Block, []identifier.Tokens) {
	if len(q.Parts) < 2 {
		return nil, nil
	}
	shared := q.Parts[:len(q.Parts)-1]
	blocks := make([]prefix.Block, 0, len(shared))
	sizes := make([]identifier.Tokens, 0, len(shared))
	d := xxhash.New()
	var total identifier.Tokens
	for _, part := range shared {
		_, _ = d.WriteString(part.ID)
		_, _ = d.WriteString("/")
		total += part.Tokens
		blocks = append(blocks, prefix.Block(d.Sum64()))
		sizes = append(sizes, total)
	}
	return blocks, sizes
}
