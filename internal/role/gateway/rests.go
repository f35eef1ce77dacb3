package gateway

import (
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/request"

	"golang.org/x/time/rate"
)

// restNotesPerSecond bounds the notes about rests: engines that are full may ask all daemons
// for it at once. Digests tell the others.
const restNotesPerSecond = 4

// restNotes bounds a daemon's notes about rests.
func restNotes() *rate.Limiter { return rate.NewLimiter(restNotesPerSecond, 1) }

// ObserveBackoff leaves an endpoint alone that turned a request away and wants nothing from this daemon
// for a time. Others are told and spare it: else each of them finds out with a request of a
// client, whose next try takes from the retry budget of the service.
func (g *Gateway) ObserveBackoff(q *request.Request, pick *registry.Pick, d time.Duration) {
	until := g.registry.BackOff(pick, d)
	g.scope.Counter("endpoint_rests").Inc(1)
	if g.limitLines.Allow() {
		g.c.Logger.Info("endpoint wants rest", "request", q.ID, "endpoint", pick.Endpoint, "born", pick.Born, "for_ms", d.Milliseconds(),
			"left_alone_ms", time.Until(until).Milliseconds())
	}
	if g.restNotes.Allow() {
		g.swapper.TriggerNotes(true)
	}
}

// spare takes in what a peer tells of endpoints that want rest.
func (g *Gateway) spare(list []*rpc.EndpointRest) {
	news := false
	for _, l := range list {
		news = g.registry.ApplyPeerBackoff(registry.Backoff{
			Endpoint: identifier.Endpoint(l.GetEndpoint()), Born: identifier.StartTime(l.GetBorn()),
			Until: time.Now().Add(time.Duration(l.GetLeftMilli()) * time.Millisecond),
		}) || news
	}
	if news && g.large() && g.relaying() && g.restNotes.Allow() {
		g.swapper.TriggerNotes(true)
	}
}

// restsTold is what this daemon tells others of endpoints that want rest.
func (g *Gateway) restsTold() []*rpc.EndpointRest {
	list := g.registry.Backoffs()
	out := make([]*rpc.EndpointRest, len(list))
	for i, l := range list {
		out[i] = &rpc.EndpointRest{Endpoint: string(l.Endpoint), Born: int64(l.Born), LeftMilli: time.Until(l.Until).Milliseconds()}
	}
	return out
}
