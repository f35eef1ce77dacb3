package gateway

import (
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/route/endtracker"
)

const (
	// endRetention outlasts the entry of an endpoint that has ended: three heartbeats, and two seconds after a
	// disruption of the store.
	endRetention = 10 * time.Second
	// maxEndAge bounds the ages that peers state.
	maxEndAge = time.Hour
)

// buildEnds builds what knows which incarnations of endpoints have ended.
func (g *Gateway) buildEnds() {
	ended := g.scope.Counter("endpoint_ends")
	g.ends = endtracker.New(endtracker.Config{Retention: endRetention, OnNew: func(e endtracker.End) {
		ended.Inc(1)
		if g.endpointLogs.Allow() {
			g.c.Logger.Info("incarnation of an endpoint has ended, its entry no longer tells its version", "endpoint", e.Endpoint, "born", e.Born,
				"age_ms", time.Since(e.At).Milliseconds())
		}
	}})
}

// recordEnd records that this daemon found an incarnation to have ended, and tells the others.
func (g *Gateway) recordEnd(e identifier.Endpoint, born identifier.StartTime, at time.Time) {
	i := endtracker.Incarnation{Endpoint: e, Born: born}
	known := g.ends.EndedBefore(i, time.Now())
	g.ends.Record(i, at)
	if !known {
		g.gossipEndings(true)
	}
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
		age := min(time.Duration(e.GetAgeMilli())*time.Millisecond, maxEndAge)
		g.ends.Record(endtracker.Incarnation{Endpoint: identifier.Endpoint(e.GetEndpoint()), Born: identifier.StartTime(e.GetBorn())}, time.Now().Add(-age))
	}
}
