package placer

import (
	"context"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"
	"brasschute/internal/route/registry"
	"brasschute/internal/route/selector"
	"brasschute/internal/serve/request"
)

// PlaceSoonest chooses the endpoint that is predicted to answer a request soonest, and counts the
// request there. It is meant for requests that are late already: to these, computing or carrying
// more is worth any time that it saves. No coordinator is asked: the retry was granted by the same
// prediction, and can't be refused any more. Endpoints that crash under rejections are the exception.
func (p *Placer) PlaceSoonest(ctx context.Context, q *request.Request, s *catalog.Service, tried []identifier.Endpoint, v selector.VersionFilter) Placement {
	if _, brittle := p.survivedRejections(q); brittle {
		return p.Place(ctx, q, s, tried, v)
	}
	query := p.soonestQuery(q, s, tried, v)
	pick, d := p.c.Registry.Choose(query)
	if pick != nil && p.isScheduled(q, s) {
		p.report(q, &scheduledQuery{Query: *query}, pick)
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
	query := p.baseQuery(q, s, tried, v)
	query.Select.Target = time.Nanosecond
	return query
}
