package gateway

import (
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/aggregator"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/route/candidate"
)

// encodeLoads returns what this daemon sends to endpoints and when they last showed a sign of life
// to it, for peers. In a large fleet the ages are those that the cached digest reaches, so that none
// is understated.
func (g *Gateway) encodeLoads() []*rpc.EndpointLoad {
	now := time.Now()
	asOf := now
	if g.isLarge() {
		asOf = now.Add(digestMaxAge)
	}
	list := g.registry.Loads(now)
	out := make([]*rpc.EndpointLoad, len(list))
	for i, l := range list {
		out[i] = &rpc.EndpointLoad{
			Endpoint: string(l.Endpoint), Born: int64(l.StartTime), TokensPerSecond: l.TokensPerSecond, Running: uint32(l.Running),
			UnreadTokens: l.PendingPrefill,
		}
		if !l.LastSign.IsZero() {
			age := uint32(max(asOf.Sub(l.LastSign), 0) / time.Millisecond)
			out[i].EventAgeMilli = &age
		}
	}
	return out
}

// addLoads adds the loads of a message, in which the ages of signs of life are those at asOf.
func (g *Gateway) addLoads(sent map[identifier.Endpoint]candidate.SentLoad, loads []*rpc.EndpointLoad, asOf time.Time) {
	for _, l := range loads {
		endpoint := identifier.Endpoint(l.GetEndpoint())
		if _, present := g.registrar.Current(endpoint, identifier.StartTime(l.GetBorn())); !present {
			// The load was sent to an earlier incarnation of the endpoint.
			continue
		}
		sum := sent[endpoint]
		sum.TokensPerSecond += l.GetTokensPerSecond()
		sum.Running += int(l.GetRunning())
		sum.PendingPrefill += l.GetUnreadTokens()
		if sign := aggregator.SignOf(l, asOf); sign.After(sum.LastSign) {
			sum.LastSign = sign
		}
		sent[endpoint] = sum
	}
}
