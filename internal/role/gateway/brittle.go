package gateway

import (
	"context"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/coordinator"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/request"
)

const (
	// minBrittlePause and maxBrittlePause bound how long all daemons pause after a brittle endpoint has
	// rejected a request. In between it is long enough for half of the rejections that the endpoint
	// survives: those of requests under way come on top.
	minBrittlePause = 500 * time.Millisecond
	maxBrittlePause = 2 * time.Second
	// brittleMemory is how long a service counts as brittle after an endpoint last said so.
	brittleMemory = 3 * time.Second
)

// brittlePause returns how long all daemons pause after a rejection by an endpoint that survives so
// many a second.
func brittlePause(rejectionsPerSecond float64) time.Duration {
	pause := time.Duration(2 / max(rejectionsPerSecond, 1) * float64(time.Second))
	return min(max(pause, minBrittlePause), maxBrittlePause)
}

// brittleService is what endpoints of a service state about their brittleness.
type brittleService struct {
	rejectionsPerSecond float64
	// stated is set if this daemon knows rejectionsPerSecond, from an answer.
	stated bool
	at     time.Time
}

// observeBrittleness applies what an endpoint's reply says about the rejections that it survives. If
// the reply is a rejection, all daemons pause: each of them would learn by a rejection of its own
// otherwise, and in overload these would bring one endpoint down after the other.
func (g *Gateway) observeBrittleness(q *request.Request, pick *registry.Pick, reply *request.Reply) {
	if reply.Brittle.Invalid {
		g.scope.Counter("endpoint_words_unreadable").Inc(1)
	}
	if !reply.Brittle.Present {
		return
	}
	g.noteBrittle(q.Service, reply.Brittle.PerSecond)
	if !reply.NotRun {
		return
	}
	g.scope.Counter("brittle_rejections").Inc(1)
	g.reserver.Rejected(pick.Endpoint, q.ID)
	pause := brittlePause(reply.Brittle.PerSecond)
	if !g.pauseEndpoint(pick.Endpoint, pick.StartTime, time.Now().Add(pause)) {
		return
	}
	g.scope.Counter("endpoint_pauses").Inc(1)
	if g.endpointLogs.Allow() {
		g.c.Logger.Info("brittle endpoint rejected a request, all daemons pause", "request", q.ID, "endpoint", pick.Endpoint, "born", pick.StartTime,
			"rejections_per_second", reply.Brittle.PerSecond, "pause_ms", pause.Milliseconds())
	}
	// The coordinator is asked before each request, so it must know first.
	if d, ok := g.assigner.Coordinator(pick.Endpoint, pick.AvailabilityZone, time.Now()); ok && d.Host != g.c.Deployment.Host {
		g.syncer.SendNotes(context.Background(), []string{d.Address})
	}
	g.syncer.TriggerNotes(true)
}

// pauseEndpoint stops requests to an endpoint after a rejection, and reports whether that is new.
func (g *Gateway) pauseEndpoint(e identifier.Endpoint, start identifier.StartTime, until time.Time) (isNew bool) {
	if !g.registry.Pause(e, start, until) {
		return false
	}
	g.coordinator.Rejected(coordinator.Endpoint{Endpoint: e, Born: start})
	g.noteBrittleEndpoint(e)
	return true
}

// noteBrittle logs that a service begins to be brittle, or more or less so.
func (g *Gateway) noteBrittle(s identifier.Service, rejectionsPerSecond float64) {
	now := time.Now()
	g.brittleMu.Lock()
	old, known := g.brittle[s]
	g.brittle[s] = brittleService{rejectionsPerSecond, true, now}
	g.brittleMu.Unlock()
	if known && old.rejectionsPerSecond == rejectionsPerSecond && now.Sub(old.at) < brittleMemory {
		return
	}
	if g.endpointLogs.Allow() {
		g.c.Logger.Info("service brittle", "service", s, "rejections_per_second", rejectionsPerSecond)
	}
}

// noteBrittleEndpoint records that an endpoint's service is brittle: this daemon may know it from a peer
// alone, and have had no answer of the service for long.
func (g *Gateway) noteBrittleEndpoint(e identifier.Endpoint) {
	var service identifier.Service
	g.registry.EachHost(func(h *inventory.Host) {
		if h.Endpoints[0].Endpoint == e {
			service = identifier.Service(h.Endpoints[0].Pool)
		}
	})
	if service == "" {
		return
	}
	g.brittleMu.Lock()
	defer g.brittleMu.Unlock()
	b := g.brittle[service]
	b.at = time.Now()
	g.brittle[service] = b
}

// survivedRejections returns the number of rejections a second that the endpoints of a service survive,
// 0 if it is not known. brittle reports whether one of them has lately said that there is such a bound.
func (g *Gateway) survivedRejections(s identifier.Service) (perSecond float64, brittle bool) {
	g.brittleMu.Lock()
	defer g.brittleMu.Unlock()
	b, known := g.brittle[s]
	if !known || time.Since(b.at) >= brittleMemory {
		return 0, false
	}
	if b.stated {
		// 0 means unknown to the caller.
		perSecond = max(b.rejectionsPerSecond, 1)
	}
	return perSecond, true
}

// expireBrittle logs the services that are no longer brittle, and returns the number of those that are.
func (g *Gateway) expireBrittle(now time.Time) int {
	g.brittleMu.Lock()
	defer g.brittleMu.Unlock()
	for s, b := range g.brittle {
		if now.Sub(b.at) >= brittleMemory {
			delete(g.brittle, s)
			g.c.Logger.Info("service no longer brittle", "service", s)
		}
	}
	return len(g.brittle)
}
