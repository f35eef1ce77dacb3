package gateway

import (
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"
)

// endRetention outlasts the entry of an endpoint that has ended: three heartbeats, and two seconds after a disruption of
// the store.
const endRetention = 10 * time.Second

// recordEnd records that this daemon found an incarnation to have ended, and tells the others.
func (g *Gateway) recordEnd(e identifier.Endpoint, born identifier.StartTime, at time.Time) {
	if g.learnEnd(identifier.EndpointIncarnation{Endpoint: e, Born: born}, at) {
		g.gossipEndings(true)
	}
}

// learnEnd records the end of an incarnation and reports whether it was not known.
func (g *Gateway) learnEnd(i identifier.EndpointIncarnation, at time.Time) (isNew bool) {
	if !g.ends.Record(i, at) {
		return false
	}
	g.scope.Counter("endpoint_ends").Inc(1)
	if g.endpointLogs.Allow() {
		g.c.Logger.Info("incarnation of an endpoint has ended, its entry no longer tells its version", "endpoint", i.Endpoint, "born", i.Born,
			"age_ms", time.Since(at).Milliseconds())
	}
	return true
}

// encodeEnds returns the ends that this daemon tells others.
func (g *Gateway) encodeEnds() []*rpc.EndpointEnd {
	recent := g.ends.Recent()
	out := make([]*rpc.EndpointEnd, len(recent))
	for i, e := range recent {
		out[i] = &rpc.EndpointEnd{Endpoint: string(e.Endpoint), Born: int64(e.Born), AgeMilli: uint32(max(time.Since(e.At).Milliseconds(), 0))}
	}
	return out
}

// mergeEnds merges the ends that a peer tells.
func (g *Gateway) mergeEnds(list []*rpc.EndpointEnd) {
	for _, e := range list {
		i := identifier.EndpointIncarnation{Endpoint: identifier.Endpoint(e.GetEndpoint()), Born: identifier.StartTime(e.GetBorn())}
		g.learnEnd(i, time.Now().Add(-time.Duration(e.GetAgeMilli())*time.Millisecond))
	}
}
