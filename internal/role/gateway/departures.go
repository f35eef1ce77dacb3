package gateway

import (
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/request"
)

// departs writes down that an endpoint says in an answer that it leaves.
func (g *Gateway) departs(q *request.Request, pick *registry.Pick) {
	g.scope.Counter("endpoint_departures").Inc(1)
	if g.limitLines.Allow() {
		g.c.Logger.Info("endpoint says that it leaves", "request", q.ID, "endpoint", pick.Endpoint, "born", pick.Born, "life", pick.Incarnation)
	}
}
