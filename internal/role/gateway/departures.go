package gateway

import (
	"time"

	"brasschute/internal/peer/rpc"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/request"
)

// departs takes in that an endpoint says in an answer that it leaves. It counts for that life
// of the endpoint, whatever the store says of it: an endpoint may be cut off from the store,
// or the store be away.
func (g *Gateway) departs(q *request.Request, pick *registry.Pick) {
	if !g.registry.MarkLeaving(pick.Host, pick.Incarnation, time.Time{}) {
		return
	}
	g.scope.Counter("endpoint_departures").Inc(1)
	if g.limitLines.Allow() {
		g.c.Logger.Info("endpoint leaving", "endpoint", pick.Endpoint, "life", pick.Incarnation, "source", sourceAnswer, "request", q.ID)
	}
	g.swapper.TriggerNotes(true)
}

// sourceAnswer names an endpoint's own answer as a source.
const sourceAnswer = "answer"

// leaving lists the endpoints that are listed and known to leave, for peers that do not
// tell lives of an endpoint apart and for those that do.
func (g *Gateway) leaving() (ids []string, departures []*rpc.Departure) {
	for _, h := range g.registry.Hosts() {
		if g.leaves(&h) {
			ids = append(ids, string(h.Host))
			departures = append(departures, &rpc.Departure{Endpoint: string(h.Host), Born: int64(h.Born)})
		}
	}
	return ids, departures
}

// leaves tells whether an endpoint is known to leave: from the store, from itself, or from
// another daemon.
func (g *Gateway) leaves(h *inventory.Host) bool {
	return h.State == inventory.StateLeaving || g.registry.HostLeaving(h)
}
