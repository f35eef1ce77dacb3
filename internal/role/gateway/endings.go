package gateway

import (
	"context"

	"brasschute/internal/engine/prober"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/request"
)

// endingsPerSecond bounds the log lines of requests that endpoints broke off; a counter
// counts the others.
const endingsPerSecond = 20

// broke looks whether an endpoint has ended that broke off a request, after it had brought
// some events of it.
func (g *Gateway) broke(ctx context.Context, q *request.Request, pick *registry.Pick, events int) {
	found := g.prober.Probe(ctx, pick.Address)
	g.scope.Tagged(map[string]string{"endpoint": found.String()}).Counter("requests_broken_off").Inc(1)
	if found == prober.Listening || !g.endings.Allow() {
		return
	}
	g.c.Logger.Info("endpoint ended under a request", "request", q.ID, "fingerprint", q.Fingerprint(), "endpoint", pick.Endpoint,
		"life", pick.Incarnation, "events", events, "probe", found)
}
