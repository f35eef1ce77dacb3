package gateway

import (
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/permitborrower"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/route/pacer"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/request"

	"golang.org/x/time/rate"
)

const (
	// maxEndpointLogsPerSecond limits the log lines about endpoints' rate limits: an endpoint may
	// name another limit in each answer. Counters count all of them.
	maxEndpointLogsPerSecond = 10
	// urgentLimitDrop is the relative decrease of a limit from which peers are notified at once.
	// They learn of other changes from the next digest.
	urgentLimitDrop = 0.1
)

func (g *Gateway) buildPacer() {
	g.endpointLogs = rate.NewLimiter(maxEndpointLogsPerSecond, maxEndpointLogsPerSecond)
	g.pacer = pacer.New(pacer.Config{Host: g.c.Deployment.Host, Fleet: g.pacingFleet, Now: g.clock.Now, OnChange: g.onLimitChange})
}

// buildPermits builds what borrows other daemons' parts of endpoints' limits.
func (g *Gateway) buildPermits() {
	g.permits = permitborrower.New(permitborrower.Config{
		Pacer: g.pacer, Address: g.peerAddress, Metrics: g.scope,
		Dial: func(address string) permitborrower.Lender { return g.dialPeer(address) },
	})
}

// peerAddress returns the address of a live daemon.
func (g *Gateway) peerAddress(host identifier.Host) (address string, ok bool) {
	for _, d := range g.roster.LiveDaemons(time.Now()) {
		if d.Host == host {
			return d.Address, true
		}
	}
	return "", false
}

// pacingFleet returns the live daemons that share endpoints' limits with this one.
func (g *Gateway) pacingFleet() pacer.Fleet {
	f := pacer.Fleet{Size: g.fleetSize(), Stopping: g.stopping.Load()}
	for _, d := range g.roster.LiveDaemons(time.Now()) {
		if !d.Stopping {
			f.Peers = append(f.Peers, d.Host)
		}
	}
	return f
}

// ObserveReply applies what an endpoint reports about itself in the headers of an answer: that it is
// leaving, or its rate limit. sent is when the request was sent.
func (g *Gateway) ObserveReply(q *request.Request, pick *registry.Pick, reply *request.Reply, sent time.Time) {
	if reply.EndpointLeaving {
		g.markDeparting(q, pick)
	}
	if reply.LoadInvalid {
		g.scope.Counter("endpoint_loads_unreadable").Inc(1)
	}
	g.observeBrittleness(q, pick, reply)
	if reply.Limit.Invalid {
		g.scope.Counter("endpoint_words_unreadable").Inc(1)
		if g.endpointLogs.Allow() {
			g.c.Logger.Warn("endpoint sent an unparsable limit", "request", q.ID, "endpoint", pick.Endpoint, "born", pick.StartTime)
		}
		return
	}
	g.pacer.ObserveResponse(pick.EndpointIncarnation(), pacer.RateLimit{PerSecond: reply.Limit.PerSecond, Limited: reply.Limit.Present}, sent)
}

// onLimitChange counts and logs a change of an endpoint's limit, and notifies peers of a new
// or ended limit or a large decrease.
func (g *Gateway) onLimitChange(c pacer.Change) {
	state := "changed"
	switch {
	case !c.Limited:
		state = "ended"
	case !c.Previous.Limited:
		state = "named"
	}
	g.scope.Tagged(map[string]string{"state": state}).Counter("endpoint_limits").Inc(1)
	g.scope.Gauge("endpoints_limited").Update(float64(len(g.pacer.Limits())))
	if g.endpointLogs.Allow() {
		g.c.Logger.Info("endpoint's limit "+state, "endpoint", c.Endpoint, "born", c.Born, "per_second", c.PerSecond, "before", c.Previous.PerSecond,
			"own_answer", c.Local, "age_ms", g.clock.Now().Sub(c.At).Milliseconds(), "own_share", c.Rate, "daemons", g.knownDaemons())
	}
	if c.Limited && c.Previous.Limited && c.PerSecond > (1-urgentLimitDrop)*c.Previous.PerSecond {
		return
	}
	g.syncer.TriggerNotes(c.Local || g.isLarge() && g.isRelay())
}

// encodeLimits returns the endpoints' limits known to this daemon, for peers.
func (g *Gateway) encodeLimits() []*rpc.EndpointLimit {
	list := g.pacer.Updates()
	out := make([]*rpc.EndpointLimit, len(list))
	for i, l := range list {
		out[i] = &rpc.EndpointLimit{
			Endpoint: string(l.Endpoint), Born: int64(l.Born), Limited: l.Limited, PerSecond: l.PerSecond, UnixMilli: l.At.UnixMilli(),
		}
	}
	return out
}

// decodeLimits decodes the limits of a peer's digest. It drops negative limits and NaN.
func decodeLimits(list []*rpc.EndpointLimit) []pacer.Limit {
	out := make([]pacer.Limit, 0, len(list))
	for _, l := range list {
		if !(l.GetPerSecond() >= 0) {
			continue
		}
		out = append(out, pacer.Limit{
			EndpointIncarnation: identifier.EndpointIncarnation{Endpoint: identifier.Endpoint(l.GetEndpoint()), Born: identifier.StartTime(l.GetBorn())},
			RateLimit:           pacer.RateLimit{PerSecond: l.GetPerSecond(), Limited: l.GetLimited()},
			At:                  time.UnixMilli(l.GetUnixMilli()),
		})
	}
	return out
}
