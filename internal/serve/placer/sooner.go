package placer

import (
	"context"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"
	"brasschute/internal/route/registry"
	"brasschute/internal/route/selector"
	"brasschute/internal/serve/request"
	"brasschute/internal/serve/streamer"
)

// PlaceSoonest chooses the endpoint that is predicted to answer a request soonest, and counts the
// request there. It is meant for requests that are late already: to these, computing or carrying
// more is worth any time that it saves. No coordinator is asked: the retry was granted by the same
// prediction, and can't be refused any more.
func (p *Placer) PlaceSoonest(_ context.Context, q *request.Request, s *catalog.Service, tried []identifier.Endpoint, v selector.VersionFilter) Placement {
	query := p.soonestQuery(q, s, tried, v)
	pick, d := p.c.Registry.Choose(query)
	if pick != nil && p.isScheduled(q, s) {
		p.report(q, query, pick)
	}
	return Placement{Pick: pick, Decision: d}
}

// Preview returns the outlook of the attempt of a pick, and of another one that is placed by
// PlaceSoonest.
func (p *Placer) Preview(k *registry.Pick, q *request.Request, s *catalog.Service, tried []identifier.Endpoint, v selector.VersionFilter) registry.Outlook {
	return p.c.Registry.Preview(k, p.soonestQuery(q, s, tried, v))
}

// soonestQuery asks for the endpoint with the earliest first event. No endpoint meets the target, so
// that the costs decide nothing.
func (p *Placer) soonestQuery(q *request.Request, s *catalog.Service, tried []identifier.Endpoint, v selector.VersionFilter) *registry.Query {
	now := time.Now()
	blocks, sizes := prefixBlocks(q)
	query := &registry.Query{
		Pool: identifier.Pool(q.Service), Blocks: blocks, Sizes: sizes,
		Select: selector.Query{
			Now: now, Seed: streamer.RoutingSeed(q.ID), Zone: p.c.Zone, PromptTokens: q.PromptTokens, OutputTokens: q.OutputTokens, MaxInFlight: maxPlainInFlight,
			Target: time.Nanosecond, PrefillRate: int(p.c.Estimator.Estimate(q.Service, now).Speed),
			DecodeRate: int(time.Second / p.c.Estimator.TokenInterval(q.Service)), Tried: tried, Versions: v,
		},
	}
	if s != nil && s.Engine != nil {
		query.Select.Slots = max(s.Engine.Slots, 1)
		query.Select.MaxInFlight = query.Select.Slots
	}
	return query
}
