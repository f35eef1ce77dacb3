package gateway

import (
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/route/pacer"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/request"

	"golang.org/x/time/rate"
)

const (
	// limitLinesPerSecond bounds the lines about limits: an endpoint may name another one in
	// each answer. A counter counts the others.
	limitLinesPerSecond = 10
	// steadyPart is by how much a limit may change before peers are told at once; others
	// hear of it with the next digest.
	steadyPart = 0.1
)

func (g *Gateway) buildPacer() {
	g.limitLines = rate.NewLimiter(limitLinesPerSecond, limitLinesPerSecond)
	g.pacer = pacer.New(pacer.Config{Host: g.c.Deployment.Host, Fleet: g.senders, Now: g.clock.Now, OnChange: g.limitChanged})
}

// senders is the part of the fleet that this daemon hears.
func (g *Gateway) senders() pacer.Fleet {
	f := pacer.Fleet{Size: g.fleetSize(), Stopping: g.stopping.Load()}
	for _, d := range g.roster.LiveDaemons(time.Now()) {
		if !d.Stopping {
			f.Peers = append(f.Peers, d.Host)
		}
	}
	return f
}

// ObserveReply takes in what an endpoint says of itself in the head of an answer.
func (g *Gateway) ObserveReply(q *request.Request, pick *registry.Pick, reply *request.Reply, sent time.Time) {
	if reply.EndpointLeaving {
		g.departs(q, pick)
	}
	if reply.Limit.Invalid {
		g.scope.Counter("endpoint_words_unreadable").Inc(1)
		if g.limitLines.Allow() {
			g.c.Logger.Warn("endpoint names a limit that can't be read", "request", q.ID, "endpoint", pick.Endpoint, "born", pick.Born)
		}
		return
	}
	g.pacer.ObserveResponse(pick.EndpointIncarnation(), pacer.RateLimit{PerSecond: reply.Limit.PerSecond, Limited: reply.Limit.Present}, sent)
}

// limitChanged writes down that an endpoint takes more or less than before, and tells peers.
func (g *Gateway) limitChanged(c pacer.Change) {
	state := "changed"
	switch {
	case !c.Limited:
		state = "ended"
	case !c.Previous.Limited:
		state = "named"
	}
	g.scope.Tagged(map[string]string{"state": state}).Counter("endpoint_limits").Inc(1)
	g.scope.Gauge("endpoints_limited").Update(float64(len(g.pacer.Limits())))
	if g.limitLines.Allow() {
		g.c.Logger.Info("endpoint's limit "+state, "endpoint", c.Endpoint, "born", c.Born, "per_second", c.PerSecond, "before", c.Previous.PerSecond,
			"own_answer", c.Local, "age_ms", g.clock.Now().Sub(c.At).Milliseconds(), "own_share", c.Rate, "daemons", g.daemons())
	}
	if c.Limited && c.Previous.Limited && c.PerSecond > (1-steadyPart)*c.Previous.PerSecond {
		return
	}
	g.swapper.TriggerNotes(c.Local || g.large() && g.relaying())
}

// limits is what this daemon tells others of endpoints' limits.
func (g *Gateway) limits() []*rpc.EndpointLimit {
	list := g.pacer.Updates()
	out := make([]*rpc.EndpointLimit, len(list))
	for i, l := range list {
		out[i] = &rpc.EndpointLimit{
			Endpoint: string(l.Endpoint), Born: int64(l.Born), Limited: l.Limited, PerSecond: l.PerSecond, UnixMilli: l.At.UnixMilli(),
		}
	}
	return out
}

// limitsTold is what a peer tells of endpoints' limits. What is no number is left out.
func limitsTold(list []*rpc.EndpointLimit) []pacer.Limit {
	out := make([]pacer.Limit, 0, len(list))
	for _, l := range list {
		if !(l.GetPerSecond() >= 0) {
			continue
		}
		out = append(out, pacer.Limit{
			Incarnation: pacer.Incarnation{Endpoint: identifier.Endpoint(l.GetEndpoint()), Born: identifier.StartTime(l.GetBorn())},
			RateLimit: pacer.RateLimit{PerSecond: l.GetPerSecond(), Limited: l.GetLimited()},
			At:   time.UnixMilli(l.GetUnixMilli()),
		})
	}
	return out
}

// pruneLimits forgets the limits of endpoints that are not listed any more.
func (g *Gateway) pruneLimits(hosts []inventory.Host) {
	listed := make(map[pacer.Incarnation]bool, len(hosts))
	for _, h := range hosts {
		listed[pacer.Incarnation{Endpoint: h.Endpoints[0].Endpoint, Born: h.Born}] = true
	}
	g.pacer.Prune(func(l pacer.Incarnation) bool { return listed[l] })
	g.scope.Gauge("endpoints_limited").Update(float64(len(g.pacer.Limits())))
}
