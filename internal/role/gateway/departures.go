package gateway

import (
	"time"

	"brasschute/internal/peer/announcer"
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

// updateDepartures updates the announcer with the listed endpoints that are leaving.
func (g *Gateway) updateDepartures(now time.Time) {
	g.announcer.Update(func(yield func(announcer.Known) bool) {
		g.registry.EachHost(func(h *inventory.Host) {
			if g.isLeaving(h) {
				yield(announcer.Known{
					Departure: announcer.Departure{Endpoint: h.Endpoints[0].Endpoint, StartTime: h.Born},
					Listed:    h.State == inventory.StateLeaving,
				})
			}
		})
	}, now)
}

// digestDepartures returns the departures that a digest names, noteDepartures those of a note.
func (g *Gateway) digestDepartures() []*rpc.Departure {
	now := time.Now()
	g.updateDepartures(now)
	return encodeDepartures(g.announcer.Next(now))
}

func (g *Gateway) noteDepartures() []*rpc.Departure {
	now := time.Now()
	g.updateDepartures(now)
	return encodeDepartures(g.announcer.Recent(now))
}

func encodeDepartures(list []announcer.Departure) []*rpc.Departure {
	out := make([]*rpc.Departure, len(list))
	for i, d := range list {
		out[i] = &rpc.Departure{Endpoint: string(d.Endpoint), Born: int64(d.StartTime)}
	}
	return out
}

// isLeaving reports whether an endpoint is known to be leaving: from the store, from the
// endpoint itself, or from another daemon.
func (g *Gateway) isLeaving(h *inventory.Host) bool {
	return h.State == inventory.StateLeaving || g.registry.HostLeaving(h)
}
