package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/route/quotalimiter"
	"brasschute/internal/route/demandmeter"
	"brasschute/internal/route/pacer"
	"brasschute/internal/route/quarantiner"
	"brasschute/internal/route/splitter"
)

// ViewPath is where the metrics' listener tells what the daemon believes.
const ViewPath = "/beliefs"

// View is what a daemon takes for true, with the age or version of each.
type View struct {
	Host          identifier.Host
	Configuration identifier.ConfigurationNumber
	// NewerConfiguration is the number that others were heard to have, for
	// BehindMS milliseconds; 0 if the daemon is not behind.
	NewerConfiguration identifier.ConfigurationNumber
	BehindMS           int64
	// FollowsStore: the daemon watches the store itself. StoreAgeMS is the
	// time since the store answered, -1 if it never did.
	FollowsStore bool
	StoreAgeMS   int64
	HoldsDuties  bool
	Fencing      uint64
	// Part says how the daemon hears of the others: pair, member or relay.
	Part      string
	Peers     []PeerView
	Endpoints []EndpointView
	Quotas    map[identifier.Organisation]quotalimiter.Account
	Demands   map[identifier.Service]demandmeter.Demand
	// Rollouts are the orders that are known, OrdersKnown whether they have been read or
	// heard of at all.
	Rollouts    []RolloutView
	OrdersKnown bool
	// Quarantine lists the requests under which endpoints ended, those that are held first;
	// Forgotten counts those for which there was no room.
	Quarantine []quarantiner.Suspect
	Forgotten  int
	// Limits are what endpoints say they take, as far as it is known.
	Limits []pacer.Limit
}

// RolloutView is the roll-out of a service as the daemon sees it.
type RolloutView struct {
	Service identifier.Service
	Target  identifier.Version
	Order   string
	// Phase is the furthest that is known, Stored the one in the store.
	Phase, Stored string
	// SinceMS is how long the order has been known, GrantMS how long ago the holder of the
	// duties said to go on (-1 if never), EndsMS when the old endpoints are to end.
	SinceMS, GrantMS, EndsMS int64
	// Asked counts this daemon's requests since the order, Earned the trials that it may
	// still send. Endpoints are by version, Tallies what its requests met.
	Asked     int
	Earned    float64
	Endpoints map[identifier.Version]int
	Tallies   []splitter.Tally
}

// PeerView is a daemon that is known. Configuration and HoldsDuties are told by daemons
// that are heard directly, AgeMS is since a daemon was heard of.
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
	// Busy is the part of its reading time that all daemons use, Slow how many
	// times longer than predicted its first events took.
	Busy float64
	Slow float64
	// RestsMS is for how long it still wants nothing from this daemon, 0 if it does not.
	RestsMS int64
}

// beliefs answers with the daemon's beliefs as JSON.
func (g *Gateway) beliefs(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	b := View{
		Host: g.c.Deployment.Host, FollowsStore: g.follows(), StoreAgeMS: -1,
		Quotas: g.allotter.Accounts(), Demands: g.demander.Demands(), Part: g.part().String(),
		Quarantine: g.quarantine.List(), Forgotten: g.quarantine.EvictedCount(),
		Limits: g.pacer.Limits(),
	}
	b.Rollouts, b.OrdersKnown = g.rolloutBeliefs(), g.splitter.OrdersKnown()
	if c := g.versioner.Current(); c != nil {
		b.Configuration = c.Number()
	}
	if lag, is := g.versioner.Lag(); is {
		b.NewerConfiguration, b.BehindMS = lag.Number, now.Sub(lag.Since).Milliseconds()
	}
	if at := g.storeHeard.Load(); at > 0 {
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
		if e, heard := direct[d.Host]; heard {
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
		g.c.Logger.Warn("beliefs not told", "error", err)
	}
}

func (g *Gateway) rolloutBeliefs() (out []RolloutView) {
	now, tallies := g.uptime(), g.splitter.Tallies()
	for _, o := range g.splitter.Orders() {
		r := RolloutView{
			Service: o.Service, Target: o.Target, Order: orderName(o.OrderID()), Phase: o.Phase.String(), Stored: o.Stored.String(),
			SinceMS: now.Sub(o.LearnedAt).Milliseconds(), GrantMS: -1, Asked: o.Requests, Earned: o.CanaryBudget, Endpoints: g.versions(o.Service),
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

// metrics serves counters, and beliefs beside them.
func (g *Gateway) metrics() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", g.reporter.HTTPHandler())
	mux.HandleFunc("GET "+ViewPath, g.beliefs)
	mux.HandleFunc("DELETE "+QuarantinePath+"{fingerprint}", g.liftHandler)
	return mux
}

// gauge brings the gauges up to date that no event updates.
func (g *Gateway) gauge(ctx context.Context) error {
	return waiter.Every(ctx, reportPeriod, func(context.Context) { g.updateGauges() })
}

func (g *Gateway) updateGauges() {
	in, out := g.peerBytes.Bytes()
	g.scope.Gauge("peer_bytes_in").Update(float64(in))
	g.scope.Gauge("peer_bytes_out").Update(float64(out))
	behind := 0.0
	if lag, is := g.versioner.Lag(); is {
		behind = time.Since(lag.Since).Seconds()
	}
	g.scope.Gauge("configuration_behind_seconds").Update(behind)
}
