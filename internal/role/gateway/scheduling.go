package gateway

import (
	"context"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/peer/assigner"
	"brasschute/internal/peer/coordinator"
	"brasschute/internal/peer/reserver"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/route/scheduler"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

const (
	// coordinationInterval is how often the endpoints are assigned anew. An endpoint that is asked
	// about before is added at once.
	coordinationInterval = time.Second
	// maxScarcityLogsPerSecond limits the log lines about scarce endpoints, which come and go
	// together.
	maxScarcityLogsPerSecond = 10
)

// predictionBuckets are the bounds of the ratios of measured to predicted times to first events.
var predictionBuckets = tally.ValueBuckets{0.1, 0.25, 0.5, 0.67, 0.8, 1, 1.25, 1.5, 2, 3, 4, 6, 10, 20, 50}

// buildScheduling builds this daemon's coordinator, the reserver that asks all coordinators, and what
// else decides together with other daemons where a request goes.
func (g *Gateway) buildScheduling() {
	d := g.c.Deployment
	g.predictions = make(map[identifier.Service]tally.Histogram)
	g.scarcityLogs = rate.NewLimiter(maxScarcityLogsPerSecond, maxScarcityLogsPerSecond)
	g.assigner = assigner.New(assigner.Config{Daemons: g.schedulingDaemons})
	g.coordinator = coordinator.New(coordinator.Config{
		Describe: g.describeEndpoint, Daemons: g.liveHosts, NewScheduler: g.c.NewScheduler, OnScarcity: g.logScarcity,
	})
	g.reserver = reserver.New(reserver.Config{
		Host: d.Host, Incarnation: uint64(g.started.UnixNano()), Local: g.coordinator, Assign: g.assigner.Coordinator, Metrics: g.scope,
		Dial: func(address string) reserver.Coordinator { return g.dialPeer(address) },
	})
	g.tree.Add(g.reserver)
	g.tree.Add(serviceFunc(g.runCoordinator))
	g.buildStreams()
	g.buildPermits()
}

// schedulingDaemons returns the live daemons that coordinate endpoints, this one included.
func (g *Gateway) schedulingDaemons(now time.Time) []assigner.Daemon {
	d := g.c.Deployment
	var out []assigner.Daemon
	if !g.stopping.Load() {
		out = append(out, assigner.Daemon{Host: d.Host, Zone: d.AvailabilityZone, Address: d.Peers.String()})
	}
	for _, o := range g.roster.LiveDaemons(now) {
		if o.Schedules && !o.Stopping {
			out = append(out, assigner.Daemon{Host: o.Host, Zone: o.Zone, Address: o.Address})
		}
	}
	return out
}

// liveHosts returns the live daemons, this one included.
func (g *Gateway) liveHosts() []identifier.Host {
	out := []identifier.Host{g.c.Deployment.Host}
	for _, o := range g.roster.LiveDaemons(time.Now()) {
		out = append(out, o.Host)
	}
	return out
}

// schedulerConfig returns the capacity of a service's engines, without slots if the configuration does
// not state it.
func (g *Gateway) schedulerConfig(name identifier.Service, now time.Time) scheduler.Config {
	current := g.versioner.Current()
	if current == nil {
		return scheduler.Config{}
	}
	s := current.Service(name)
	if !s.HasCapacity() {
		return scheduler.Config{}
	}
	return scheduler.Config{Slots: s.Engine.Slots, MemoryTokens: s.Engine.MemoryTokens, TokensPerSecond: float64(g.estimator.Estimate(name, now).Speed)}
}

// describeEndpoint returns the capacity of a listed endpoint, without slots if it is not known.
func (g *Gateway) describeEndpoint(e coordinator.Endpoint) (c scheduler.Config, ok bool) {
	var pool identifier.Pool
	g.registry.EachHost(func(h *inventory.Host) {
		if h.Endpoints[0].Endpoint == e.Endpoint && h.Born == e.Born {
			pool = h.Endpoints[0].Pool
		}
	})
	if pool == "" {
		return c, false
	}
	return g.schedulerConfig(identifier.Service(pool), time.Now()), true
}

// runCoordinator keeps the coordinated endpoints up to date.
func (g *Gateway) runCoordinator(ctx context.Context) error {
	return waiter.Every(ctx, coordinationInterval, func(context.Context) { g.syncCoordinator() })
}

func (g *Gateway) syncCoordinator() {
	now := time.Now()
	pools := make(map[identifier.Pool]scheduler.Config)
	assigned := make(map[coordinator.Endpoint]scheduler.Config)
	g.registry.EachHost(func(h *inventory.Host) {
		e := &h.Endpoints[0]
		config, known := pools[e.Pool]
		if !known {
			config = g.schedulerConfig(identifier.Service(e.Pool), now)
			pools[e.Pool] = config
		}
		if config.Slots == 0 {
			return
		}
		if d, ok := g.assigner.Coordinator(e.Endpoint, h.AvailabilityZone, now); ok && d.Host == g.c.Deployment.Host {
			assigned[coordinator.Endpoint{Endpoint: e.Endpoint, Born: h.Born}] = config
		}
	})
	g.coordinator.Sync(assigned, now)
	endpoints, scarce := g.coordinator.Counts()
	g.scope.Gauge("coordinated_endpoints").Update(float64(endpoints))
	g.scope.Gauge("endpoint_scarce").Update(float64(scarce))
}

// logScarcity logs that the scarcity of an endpoint begins or ends.
func (g *Gateway) logScarcity(e coordinator.Endpoint, s scheduler.State) {
	if !g.scarcityLogs.Allow() {
		return
	}
	g.c.Logger.Info("endpoint scarce", "endpoint", e.Endpoint, "born", e.Born, "scarce", s.Scarce, "reason", s.Reason, "started", s.Started,
		"waiting", s.Waiting, "booked", s.Booked, "backlog_ms", s.Backlog.Milliseconds(), "tokens_per_second", int(s.TokensPerSecond))
}

// recordPrediction records how long a first event took against its prediction.
func (g *Gateway) recordPrediction(s identifier.Service, took, predicted time.Duration) {
	g.predictionMu.Lock()
	h := g.predictions[s]
	if h == nil {
		h = g.scope.Tagged(map[string]string{"service": string(s)}).Histogram("first_event_over_prediction", predictionBuckets)
		g.predictions[s] = h
	}
	g.predictionMu.Unlock()
	h.RecordValue(took.Seconds() / predicted.Seconds())
}
