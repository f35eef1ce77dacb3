package gateway

import (
	"time"

	"brasschute/internal/route/registry"
	"brasschute/internal/serve/request"
)

// rests writes down that an endpoint wants nothing from this daemon for a time.
func (g *Gateway) rests(q *request.Request, pick *registry.Pick, d time.Duration) {
	g.scope.Counter("endpoint_rests").Inc(1)
	if g.limitLines.Allow() {
		g.c.Logger.Info("endpoint wants rest", "request", q.ID, "endpoint", pick.Endpoint, "born", pick.Born, "for_ms", d.Milliseconds())
	}
}
