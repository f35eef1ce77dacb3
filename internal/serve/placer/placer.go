// Package placer asks the registry for the endpoint of a request.
//
// # What decides
//
// The selector weighs the predicted time to the first event against what the
// place costs: prompt parts that would be read again although another engine
// has them, and bytes between zones. This package states these terms for one
// request; the choice itself is the selector's, see there.
//
// A prompt whose shared parts are long has a home, the same for all daemons; one
// with a short shared part stays in its zone, as reading the part twice costs
// less than carrying the answer.
//
// # Usage
//
//	pick, decision := p.Place(q, tried)
//	defer registry.Release(pick, result)
package placer

import (
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/prefix"
	"brasschute/internal/route/estimator"
	"brasschute/internal/route/registry"
	"brasschute/internal/route/selector"
	"brasschute/internal/serve/request"
	"brasschute/internal/serve/streamer"

	"github.com/cespare/xxhash/v2"
)

const (
	// tokenCost is the cost of reading a prompt token that another engine has cached.
	// It is the unit of the others, which are ratios to it: what is late, read again
	// and carried has no price in the configuration. The unit is chosen so that a plain
	// call that is late costs one.
	tokenCost       = 2.7e-5
	recomputeWeight = 1000 * tokenCost
	// zoneCostPerByte is the cost of carrying a byte between zones.
	zoneCostPerByte = 0.045 * tokenCost
	// worthPerToken is what a late answer loses for each of its tokens: six times what
	// reading one costs. Output tokens count outputFactor times, as they take more of
	// an engine's time; leastWorth is that of the smallest request.
	worthPerToken = 6 * tokenCost
	outputFactor  = 10
	leastWorth    = 7500 * tokenCost
	// eventBytes is the usual size of one event on the wire.
	eventBytes = 64
	// homeTokens is the size of shared prompt parts from which on a request
	// goes to the home of these parts: reading 1,000 tokens again costs as much
	// as carrying 20 KB to another zone.
	homeTokens identifier.Tokens = 1000
	// plainSlots bounds the requests of this host at one plain endpoint, whose
	// slots are few and shared by all hosts.
	plainSlots = 16
	// lastsFactor/lastsPart times the usual time of its tokens is what a stream may take.
	lastsFactor, lastsPart = 5, 4
)

// Placer places requests. It is safe for concurrent use.
type Placer struct {
	c Config
}

// Config names the placer's collaborators.
type Config struct {
	Registry *registry.Registry
	// Estimator says how fast engines read.
	Estimator *estimator.Estimator
	Zone      identifier.AvailabilityZone
}

// New returns a placer.
func New(c Config) *Placer { return &Placer{c} }

// Place chooses an endpoint for a request and counts the request there. The
// pick is nil if none can serve; decision says why.
func (p *Placer) Place(q *request.Request, s *catalog.Service, tried []identifier.Endpoint, v selector.VersionFilter) (*registry.Pick, selector.Decision) {
	now := time.Now()
	blocks, sizes := parts(q)
	query := &registry.Query{
		Pool: identifier.Pool(q.Service), Blocks: blocks, Sizes: sizes,
		Select: selector.Query{
			Now: now, Seed: streamer.RoutingSeed(q.ID), Zone: p.c.Zone, PromptTokens: q.PromptTokens, OutputTokens: q.OutputTokens,
			MaxInFlight: plainSlots, Target: max(q.Route.FirstEventObjective-now.Sub(q.Received), time.Millisecond),
			PrefillRate: int(p.c.Estimator.Estimate(q.Service, now).Speed), DecodeRate: int(time.Second / p.c.Estimator.TokenInterval(q.Service)),
			RecomputeWeight: recomputeWeight, Tried: tried, Versions: v, LateCost: lateCost(q),
			CrossZoneCost: zoneCostPerByte * float64(len(q.Body)+eventBytes*int(q.OutputTokens)/tokensPerEvent(s)),
		},
	}
	if s != nil && s.Engine != nil {
		query.Select.Slots = max(s.Engine.Slots, 1)
		query.Select.MaxInFlight = query.Select.Slots
	}
	// The last block names all shared parts.
	if n := len(blocks); n > 0 && sizes[n-1] >= homeTokens {
		query.Select.Prefix, query.Select.PriorTokens = uint64(blocks[n-1]), sizes[n-1]
	}
	return p.c.Registry.Choose(query)
}

// ObserveFirstEvent takes in how long a pick took to its first event, or to its answer.
func (p *Placer) ObserveFirstEvent(q *request.Request, k *registry.Pick, took time.Duration) {
	p.c.Registry.ObserveFirstToken(k, took)
	if !q.HasTokenCounts {
		return
	}
	p.c.Estimator.ObserveFirstEvent(q.Service, estimator.Observation{Uncached: k.UncachedTokens, TokensAhead: k.TokensAhead, Streams: k.Streams, Took: took})
}

// ObserveStream takes in a stream that has ended, from its first event to its last.
func (p *Placer) ObserveStream(q *request.Request, s *catalog.Service, events int, took time.Duration) {
	p.c.Estimator.ObserveStream(q.Service, (events-1)*tokensPerEvent(s), took)
}

// ExpectedDuration is how long a stream of so many events takes at an endpoint that is as quick as
// others; 0 for a plain call, of which nothing is known but how long others took.
func (p *Placer) ExpectedDuration(q *request.Request, s *catalog.Service, k *registry.Pick, events int) time.Duration {
	if !q.HasTokenCounts {
		return 0
	}
	return k.NominalFirstToken + time.Duration(events*tokensPerEvent(s))*p.c.Estimator.TokenInterval(q.Service)
}

// MaxUsualDuration is how long an answer may take at the most that is usual.
func (p *Placer) MaxUsualDuration(q *request.Request) time.Duration {
	if !q.HasTokenCounts {
		return q.Route.FirstEventObjective
	}
	return q.Route.FirstEventObjective/2 + lastsFactor*time.Duration(q.OutputTokens)*p.c.Estimator.TokenInterval(q.Service)/lastsPart
}

// lateCost is what a late answer loses: nine tenths of the worth of a request,
// which is taken to grow with the tokens that its organisation pays for. A plain
// call counts as one.
func lateCost(q *request.Request) float64 {
	if !q.HasTokenCounts {
		return 1
	}
	return max(worthPerToken*float64(q.PromptTokens+outputFactor*q.OutputTokens), leastWorth)
}

func tokensPerEvent(s *catalog.Service) int {
	if s == nil || s.Engine == nil {
		return 1
	}
	return max(s.Engine.TokensPerEvent, 1)
}

// parts names the shared parts of a prompt: the state of a part depends on all
// parts before it, so the names are chained.
func parts(q *request.Request) ([]prefix.Block, []identifier.Tokens) {
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
