package gateway

import (
	"time"

	"brasschute/internal/route/registry"
	"brasschute/internal/serve/request"
)

// limitLinesPerSecond bounds the lines about limits: an endpoint may name another one in
// each answer. A counter counts the others.
const limitLinesPerSecond = 10

// Answered writes down what an endpoint says of itself in the head of an answer.
func (g *Gateway) Answered(q *request.Request, pick *registry.Pick, reply *request.Reply, _ time.Time) {
	if !reply.Limit.Named && !reply.Limit.Unreadable {
		return
	}
	g.scope.Counter("endpoint_limits").Inc(1)
	if g.limitLines.Allow() {
		g.c.Logger.Info("endpoint names a limit", "request", q.ID, "endpoint", pick.Endpoint, "born", pick.Born,
			"per_second", reply.Limit.PerSecond, "unreadable", reply.Limit.Unreadable)
	}
}
