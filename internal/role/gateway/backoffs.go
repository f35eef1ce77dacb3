package gateway

import (
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/request"

	"golang.org/x/time/rate"
)

// maxBackoffNotesPerSecond limits the notes about backoffs: engines that are full may ask all
// daemons at once. Beyond it, peers learn of a backoff from digests.
const maxBackoffNotesPerSecond = 4

// newBackoffNoteLimiter returns a daemon's limiter of notes about backoffs.
func newBackoffNoteLimiter() *rate.Limiter { return rate.NewLimiter(maxBackoffNotesPerSecond, 1) }

// ObserveBackoff stops sending to an endpoint that refused a request and asked this daemon for a
// pause. Peers are notified and avoid it as well: otherwise each of them would learn of the
// backoff from a refused client request, whose retry takes from the service's retry budget.
func (g *Gateway) ObserveBackoff(q *request.Request, pick *registry.Pick, d time.Duration) {
	until := g.registry.BackOff(pick, d)
	g.scope.Counter("endpoint_rests").Inc(1)
	if g.endpointLogs.Allow() {
		g.c.Logger.Info("endpoint asked for backoff", "request", q.ID, "endpoint", pick.Endpoint, "born", pick.StartTime, "for_ms", d.Milliseconds(),
			"left_alone_ms", time.Until(until).Milliseconds())
	}
	if g.backoffNotes.Allow() {
		g.syncer.TriggerNotes(true)
	}
}

// mergeBackoffs merges the backoffs that a peer reports.
func (g *Gateway) mergeBackoffs(list []*rpc.EndpointRest) {
	changed, paused := false, false
	for _, l := range list {
		b := registry.Backoff{
			Endpoint: identifier.Endpoint(l.GetEndpoint()), StartTime: identifier.StartTime(l.GetBorn()),
			Until: time.Now().Add(time.Duration(l.GetLeftMilli()) * time.Millisecond),
		}
		if l.GetForAll() {
			paused = g.pauseEndpoint(b.Endpoint, b.StartTime, b.Until) || paused
			continue
		}
		changed = g.registry.ApplyPeerBackoff(b) || changed
	}
	if g.isLarge() && g.isRelay() && (paused || changed && g.backoffNotes.Allow()) {
		g.syncer.TriggerNotes(true)
	}
}

// encodeBackoffs returns the backoffs in effect, for peers.
func (g *Gateway) encodeBackoffs() []*rpc.EndpointRest {
	list := g.registry.Backoffs()
	out := make([]*rpc.EndpointRest, len(list))
	for i, l := range list {
		out[i] = &rpc.EndpointRest{Endpoint: string(l.Endpoint), Born: int64(l.StartTime), LeftMilli: time.Until(l.Until).Milliseconds(), ForAll: l.ForAll}
	}
	return out
}
