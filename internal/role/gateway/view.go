package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/route/demandmeter"
	"brasschute/internal/route/pacer"
	"brasschute/internal/route/quarantiner"
	"brasschute/internal/route/quotalimiter"
	"brasschute/internal/route/splitter"
)

// ViewPath is the path on the metrics listener that serves the daemon's [View].
const ViewPath = "/beliefs"

// View is the daemon's local view of the system, with the age or version of each part. It is
// served as JSON.
type View struct {
	Host          identifier.Host
	Configuration identifier.ConfigurationNumber
	// NewerConfiguration is the newest number that a peer reported, known for BehindMS
	// milliseconds; 0 if the daemon is up to date.
	NewerConfiguration identifier.ConfigurationNumber
	BehindMS           int64
	// FollowsStore is true if the daemon watches the store itself. StoreAgeMS is the time since
	// the store last answered, in milliseconds; -1 if it never did.
	FollowsStore bool
	StoreAgeMS   int64
	HoldsDuties  bool
	Fencing      uint64
	// Part is the daemon's gossip role: pair, member or relay.
	Part      string
	Peers     []PeerView
	Endpoints []EndpointView
	Quotas    map[identifier.Organisation]quotalimiter.Account
	Demands   map[identifier.Service]demandmeter.Demand
	// Rollouts are the known roll-out orders. OrdersKnown is true once the orders were read from
	// the store or received from a peer, even if there are none.
	Rollouts    []RolloutView
	OrdersKnown bool
	// Quarantine lists the requests under which endpoints ended, those in quarantine first.
	// Forgotten counts the requests dropped for lack of room.
	Quarantine []quarantiner.Suspect
	Forgotten  int
	// PartitionedMS is, by service, for how long it has been partitioned from this daemon, in
	// milliseconds.
	PartitionedMS map[identifier.Service]int64
	// Limits are the rate limits that endpoints named in their answers, as far as known.
	Limits []pacer.Limit
}

// RolloutView is the roll-out of a service as the daemon sees it.
type RolloutView struct {
	Service identifier.Service
	Target  identifier.Version
	Order   string
	// Phase is the furthest phase known, Stored the phase in the store.
	Phase, Stored string
	// SinceMS is how long the order has been known. GrantMS is the time since the lease holder
	// last allowed the roll-out to continue, -1 if never. EndsMS is the time until the old
	// endpoints are to end. All are in milliseconds.
	SinceMS, GrantMS, EndsMS int64
	// Asked counts this daemon's requests since the order. Earned is the number of canary
	// requests it may still send. Endpoints are counted by version. Tallies are the outcomes of
	// this daemon's requests.
	Asked     int
	Earned    float64
	Endpoints map[identifier.Version]int
	Tallies   []splitter.Tally
}

// PeerView is a known daemon. Configuration and HoldsDuties come from daemons that send their
// digests to this one directly. AgeMS is the time since the daemon was last heard of, in
// milliseconds.
type PeerView struct {
	Host          string
	Zone          identifier.AvailabilityZone
	Address       string
	AgeMS         int64
	Relaying      bool
	Observing     bool
	Configuration uint64
	HoldsDuties   bool
}

// EndpointView is an endpoint as the daemon sees it.
type EndpointView struct {
	Endpoint identifier.Endpoint
	Service  identifier.Pool
	Zone     identifier.AvailabilityZone
	Leaving  bool
	Ejected  bool
	Failures int
	InFlight int32
	// Busy is the fraction of the endpoint's prefill time that all daemons use. Slow is how many
	// times longer than predicted its first events took.
	Busy float64
	Slow float64
	// RestsMS is the time left of the backoff that the endpoint asked this daemon for, in
	// milliseconds; 0 if none.
	RestsMS int64
}

// serveView serves the daemon's view as JSON.
func (g *Gateway) serveView(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	b := View{
		Host: g.c.Deployment.Host, FollowsStore: g.watchesStore(), StoreAgeMS: -1,
		Quotas: g.quotaLimiter.Accounts(), Demands: g.demandMeter.Demands(), Part: g.gossipRole().String(),
		Quarantine: g.quarantine.List(), Forgotten: g.quarantine.EvictedCount(),
		Limits: g.pacer.Limits(),
	}
	b.PartitionedMS = make(map[identifier.Service]int64)
	for service, since := range g.paths.Partitions() {
		b.PartitionedMS[service] = now.Sub(since).Milliseconds()
	}
	b.Rollouts, b.OrdersKnown = g.rolloutViews(), g.splitter.OrdersKnown()
	if c := g.versioner.Current(); c != nil {
		b.Configuration = c.Number()
	}
	if lag, behind := g.versioner.Lag(); behind {
		b.NewerConfiguration, b.BehindMS = lag.Number, now.Sub(lag.Since).Milliseconds()
	}
	if at := g.storeAnsweredAt.Load(); at > 0 {
		b.StoreAgeMS = now.Sub(time.Unix(0, at)).Milliseconds()
	}
	if g.lease != nil {
		b.Fencing, b.HoldsDuties = g.lease.Held()
	}
	direct := g.gatherer.Latest(now)
	for _, d := range g.roster.All(now) {
		p := PeerView{
			Host: string(d.Host), Zone: d.Zone, Address: d.Address, AgeMS: now.Sub(d.LastHeard()).Milliseconds(),
			Relaying: d.Relaying, Observing: d.Observing,
		}
		if e, received := direct[d.Host]; received {
			p.Configuration, p.HoldsDuties = e.Digest.GetConfigurationNumber(), e.Digest.GetHoldsDuties()
		}
		b.Peers = append(b.Peers, p)
	}
	for _, c := range g.registry.Endpoints() {
		b.Endpoints = append(b.Endpoints, EndpointView{
			Endpoint: c.Endpoint, Service: c.Pool, Zone: c.AvailabilityZone, Leaving: c.Leaving, Ejected: c.Ejected(now),
			Failures: c.Failures, InFlight: c.InFlight, Busy: c.PrefillUtilisation, Slow: c.Slowdown,
			RestsMS: max(c.BackoffUntil.Sub(now), 0).Milliseconds(),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(b); err != nil {
		g.c.Logger.Warn("view not sent", "error", err)
	}
}

func (g *Gateway) rolloutViews() (out []RolloutView) {
	now, tallies := g.uptime(), g.splitter.Tallies()
	for _, o := range g.splitter.Orders() {
		r := RolloutView{
			Service: o.Service, Target: o.Target, Order: formatOrder(o.OrderID()), Phase: o.Phase.String(), Stored: o.Stored.String(),
			SinceMS: now.Sub(o.LearnedAt).Milliseconds(), GrantMS: -1, Asked: o.Requests, Earned: o.CanaryBudget, Endpoints: g.endpointsByVersion(o.Service),
		}
		if !o.GrantedAt.IsZero() {
			r.GrantMS, r.EndsMS = now.Sub(o.GrantedAt).Milliseconds(), o.OldEndAt.Sub(now).Milliseconds()
		}
		for _, t := range tallies {
			if t.Service == o.Service {
				r.Tallies = append(r.Tallies, t)
			}
		}
		out = append(out, r)
	}
	return out
}

// metricsHandler serves the metrics, the view and the release of requests from quarantine.
func (g *Gateway) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", g.reporter.HTTPHandler())
	mux.HandleFunc("GET "+ViewPath, g.serveView)
	mux.HandleFunc("DELETE "+QuarantinePath+"{fingerprint}", g.serveLift)
	return mux
}

// runGauges updates, every metricsInterval, the gauges that no event updates.
func (g *Gateway) runGauges(ctx context.Context) error {
	return waiter.Every(ctx, metricsInterval, func(context.Context) { g.updateGauges() })
}

func (g *Gateway) updateGauges() {
	in, out := g.peerBytes.Bytes()
	g.scope.Gauge("peer_bytes_in").Update(float64(in))
	g.scope.Gauge("peer_bytes_out").Update(float64(out))
	behind := 0.0
	if lag, ok := g.versioner.Lag(); ok {
		behind = time.Since(lag.Since).Seconds()
	}
	g.scope.Gauge("configuration_behind_seconds").Update(behind)
	g.scope.Gauge("services_partitioned").Update(float64(len(g.paths.Partitions())))
	g.scope.Gauge("services_brittle").Update(float64(g.expireBrittle(time.Now())))
}
