package gateway

import (
	"time"

	"brasschute/internal/peer/rpc"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/request"
)

// markDeparting marks an endpoint as leaving because its own answer stated it. The mark applies
// to this incarnation of the endpoint, regardless of its store record: the endpoint may be unable to
// reach the store, or the store may be unavailable.
func (g *Gateway) markDeparting(q *request.Request, pick *registry.Pick) {
	if !g.registry.MarkLeaving(pick.Host, pick.Incarnation, time.Time{}) {
		return
	}
	g.scope.Counter("endpoint_departures").Inc(1)
	if g.endpointLogs.Allow() {
		g.c.Logger.Info("endpoint leaving", "endpoint", pick.Endpoint, "life", pick.Incarnation, "source", sourceAnswer, "request", q.ID)
	}
	g.syncer.TriggerNotes(true)
}

// sourceAnswer names an endpoint's own answer as the source of a change.
const sourceAnswer = "answer"

// leavingEndpoints returns the listed endpoints that are leaving: ids for peers that do not
// distinguish incarnations of an endpoint, departures for those that do.
func (g *Gateway) leavingEndpoints() (ids []string, departures []*rpc.Departure) {
	for _, h := range g.registry.Hosts() {
		if g.isLeaving(&h) {
			ids = append(ids, string(h.Host))
			departures = append(departures, &rpc.Departure{Endpoint: string(h.Host), Born: int64(h.Born)})
		}
	}
	return ids, departures
}

// isLeaving reports whether an endpoint is known to be leaving: from the store, from the
// endpoint itself, or from another daemon.
func (g *Gateway) isLeaving(h *inventory.Host) bool {
	return h.State == inventory.StateLeaving || g.registry.HostLeaving(h)
}
