package gateway

import (
	"context"
	"net/http"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/core/watchdog"
	"brasschute/internal/peer/fetcher"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/peer/supplier"
	"brasschute/internal/peer/syncer"
	"brasschute/internal/peer/throttler"
	"brasschute/internal/platform/object"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/estimator"
	"brasschute/platform"

	"github.com/thejerf/suture/v4"
)

const (
	// askPause is how often a daemon that knows no configuration asks peers.
	askPause = 300 * time.Millisecond
	// askSome is how many peers are asked whether objects that a list lacks have
	// ended, within askTime: one may lag.
	askSome = 2
	askTime = time.Second
	// learnPause is how often the peers' loads are summed: several times in a
	// period of the digests. A load says nothing any more after loadAge.
	learnPause = 250 * time.Millisecond
	loadAge    = 4 * time.Second
	// peerSilence is when a peer's answer is given up of which nothing comes: a process
	// that is paused holds its connections open.
	peerSilence = time.Second
	// peerIdle keeps connections between peers open over several periods.
	peerIdle = 30 * time.Second
)

func (g *Gateway) buildPeers() {
	d := g.c.Deployment
	transport := &http.Transport{
		DialContext: g.peerBytes.Dial(g.c.Network.DialContext), IdleConnTimeout: peerIdle, DisableCompression: true,
	}
	g.swapper = syncer.New(syncer.Config{
		Host: d.Host, Zone: d.AvailabilityZone, Address: d.Peers.String(), Gatherer: &g.gatherer, Logger: g.c.Logger,
		Roster: g.roster, Relaying: g.relaying, LargeFleet: g.large,
		BuildDigest: g.digestFor, OnDigest: g.heard, BuildNote: g.note, OnNote: g.noted, Client: &http.Client{Transport: transport},
	})
	throttle := throttler.New(throttler.Config{BytesPerSecond: d.LinkBytesPerSecond})
	g.supplier = supplier.New(supplier.Config{
		Address: d.Peers.String(), Objects: &g.mirror, Kinds: []string{platform.CatalogKind, platform.EndpointKind, platform.RolloutKind}, Throttler: throttle,
		Client: watchdog.New(watchdog.Config{Transport: transport, IdleTimeout: peerSilence}), Logger: g.c.Logger,
	})
	g.peerHandler = throttle.Handler(rpc.NewFleetServer(fleetServer{g.swapper, g.supplier}))
	for _, seed := range d.Seeds {
		g.roster.Add(seed.String())
	}
	ahead := fetcher.Config{RequestSnapshot: g.supplier.RequestSnapshot, OtherPeers: g.swapper.LiveAddresses, Apply: g.takeAll, Logger: g.c.Logger}
	ahead.Kind, ahead.SinceRevision, ahead.KnownRevision = platform.CatalogKind, func() uint64 { return 0 }, g.number
	g.catalogs = fetcher.New(ahead)
	ahead.Kind, ahead.SinceRevision = platform.EndpointKind, g.endpointsRevision
	ahead.KnownRevision = ahead.SinceRevision
	g.endpoints = fetcher.New(ahead)
	ahead.Kind, ahead.SinceRevision = platform.RolloutKind, g.rolloutsRevision
	ahead.KnownRevision = ahead.SinceRevision
	g.orders = fetcher.New(ahead)
	g.tree.Add(g.swapper)
	g.tree.Add(service(g.askPeers))
	g.tree.Add(service(g.learn))
}

// fleetServer answers peers' calls.
type fleetServer struct {
	*syncer.Syncer
	*supplier.Supplier
}

// endpointsRevision is that up to which the list of endpoints is known.
func (g *Gateway) endpointsRevision() uint64 { return g.mirror.Revision(platform.EndpointKind) }

// digest tells the peers what this daemon knows of its own doing.
func (g *Gateway) digest() *rpc.Digest {
	d := g.c.Deployment
	out := &rpc.Digest{
		Host: string(d.Host), AvailabilityZone: string(d.AvailabilityZone), Address: d.Peers.String(),
		Incarnation: uint64(g.started.UnixNano()), Sequence: g.sequence.Add(1), UnixMilli: g.clock.Now().UnixMilli(),
		AgeMilli: time.Since(g.started).Milliseconds(),
		Stopping: g.stopping.Load(),
	}
	out.ConfigurationNumber = g.number()
	for _, n := range g.tallier.Counts() {
		out.Counts = append(out.Counts, &rpc.WindowCount{Window: n.Window, Organisation: string(n.Organisation), Count: uint32(n.Requests)})
	}
	for name, account := range g.allotter.Accounts() {
		out.Charges = append(out.Charges, &rpc.Charge{Organisation: string(name), Total: account.Total, Level: &account.Level, AskedPerSecond: account.Asked})
	}
	for name, n := range g.demander.Demands() {
		out.Demands = append(out.Demands, &rpc.Demand{
			Service: string(name), Running: uint32(max(n.Running, 0)), RequestsPerSecond: n.Requests,
			TokensPerSecond: n.Tokens, RefusedPerSecond: n.Refused,
		})
	}
	for name, s := range g.estimator.Local() {
		out.Speeds = append(out.Speeds, engineSpeed(name, s))
	}
	for _, l := range g.registry.Loads(time.Now()) {
		out.Loads = append(out.Loads, &rpc.EndpointLoad{Endpoint: string(l.Endpoint), Born: int64(l.Born), TokensPerSecond: l.TokensPerSecond, Running: uint32(l.Running), UnreadTokens: l.PendingPrefill})
	}
	if g.lease != nil {
		out.HoldsDuties = g.lease.Confirmed()
	}
	out.Fleet = uint32(g.daemons())
	out.EndpointsRevision = g.endpointsRevision()
	out.Observing = g.observing()
	out.Relaying = g.large() && g.relaying()
	out.Leaving, out.Departures = g.leaving()
	out.Suspects = g.quarantine.RPCSuspects()
	out.Rollouts, out.Trials, out.OrdersKnown = g.rolloutNews(), g.trials(), g.splitter.OrdersKnown()
	out.Limits, out.Rests = g.limits(), g.restsTold()
	if !g.large() {
		out.Peers = g.swapper.LiveAddresses()
	}
	return out
}

// heard takes in a peer's digest.
func (g *Gateway) heard(d *rpc.Digest) {
	host := identifier.Host(d.GetHost())
	g.toldSize.Store(max(g.toldSize.Load(), int64(d.GetFleet())))
	g.account(d)
	g.quarantine.MergeSuspects(d.GetSuspects())
	g.pacer.Merge(limitsTold(d.GetLimits()))
	g.spare(d.GetRests())
	g.hearRollouts(d.GetRollouts(), d.GetHost(), d.GetAddress())
	if d.GetOrdersKnown() && len(d.GetRollouts()) == 0 {
		g.splitter.ApplyOrders(nil, d.GetHost())
	}
	for _, part := range d.GetCounted() {
		g.parts.Merge(part, time.Now())
	}
	speeds := d.GetSpeeds()
	if told := d.GetSummary().GetSpeeds(); len(told) > 0 && !g.relaying() {
		speeds = told
	}
	for _, s := range speeds {
		g.estimator.Merge(host, identifier.Service(s.GetService()), estimator.Estimate{
			Speed: estimator.Speed(s.GetTokensPerSecond()), Samples: int(s.GetAnswers()), FixedLatency: time.Duration(s.GetFixedMicro()) * time.Microsecond,
		}, time.Now())
	}
	g.spread(d)
	g.led(d.GetHoldsDuties())
	g.clock.Observe(host, time.UnixMilli(d.GetUnixMilli()))
}

// led notes that a peer says it holds the duties.
func (g *Gateway) led(holds bool) {
	if holds {
		g.ledAt.Store(time.Now().UnixNano())
	}
}

// learn takes in what the other daemons send to each endpoint.
func (g *Gateway) learn(ctx context.Context) error {
	return waiter.Every(ctx, learnPause, func(context.Context) {
		others := make(map[identifier.Endpoint]candidate.SentLoad)
		for _, l := range g.loads(time.Now()) {
			endpoint := identifier.Endpoint(l.GetEndpoint())
			if _, present := g.registrar.Current(endpoint, identifier.StartTime(l.GetBorn())); !present {
				// It was sent to an earlier life of the endpoint.
				continue
			}
			sum := others[endpoint]
			sum.TokensPerSecond += l.GetTokensPerSecond()
			sum.Running += int(l.GetRunning())
			sum.PendingPrefill += l.GetUnreadTokens()
			others[endpoint] = sum
		}
		g.registry.SetPeerLoads(others)
	})
}

// loads are what the other daemons send, as they tell it or a relay sums it.
func (g *Gateway) loads(now time.Time) []*rpc.EndpointLoad {
	if g.large() {
		return g.aggregator.Others(g.relaying(), now).GetLoads()
	}
	var out []*rpc.EndpointLoad
	for _, e := range g.gatherer.Latest(now) {
		if now.Sub(e.ReceivedAt) <= loadAge {
			out = append(out, e.Digest.GetLoads()...)
		}
	}
	return out
}

// othersDemands are what the clients of the other daemons ask for.
func (g *Gateway) othersDemands(now time.Time) []*rpc.Demand {
	if g.large() {
		return g.aggregator.Others(g.relaying(), now).GetDemands()
	}
	var out []*rpc.Demand
	for _, e := range g.gatherer.Latest(now) {
		out = append(out, e.Digest.GetDemands()...)
	}
	return out
}

// spread takes over what a peer believes and this daemon does not know yet: the
// store may turn some daemons away, or be cut off from them, while it serves the
// others; and in a large fleet only a few follow it.
func (g *Gateway) spread(d *rpc.Digest) {
	g.markLeaving(d)
	g.versioner.ObserveNumber(identifier.ConfigurationNumber(d.GetConfigurationNumber()))
	if c := g.versioner.Current(); c != nil && uint64(c.Number()) < d.GetConfigurationNumber() {
		g.catalogs.Want(d.GetAddress(), d.GetConfigurationNumber())
	}
	if known := g.endpointsRevision(); known > 0 && known < d.GetEndpointsRevision() {
		g.endpoints.Want(d.GetAddress(), d.GetEndpointsRevision())
	}
}

// markLeaving takes over which endpoints a peer knows to leave. It counts for the life of
// the endpoint that the peer means, not for one that started under the same id since. A
// peer of the version before does not tell lives apart.
func (g *Gateway) markLeaving(d *rpc.Digest) {
	mark := func(id string, life identifier.Incarnation, known bool) {
		if known && g.registry.MarkLeaving(identifier.Host(id), life, time.Time{}) {
			g.c.Logger.Info("endpoint leaving", "endpoint", id, "life", life, "source", d.GetHost())
		}
	}
	for _, l := range d.GetDepartures() {
		life, known := g.registrar.Current(identifier.Endpoint(l.GetEndpoint()), identifier.StartTime(l.GetBorn()))
		mark(l.GetEndpoint(), life, known)
	}
	if len(d.GetDepartures()) > 0 {
		return
	}
	for _, id := range d.GetLeaving() {
		life, known := g.registrar.CurrentByID(identifier.Endpoint(id))
		mark(id, life, known)
	}
}

// note is what peers should know at once.
func (g *Gateway) note() *rpc.Note {
	d := g.c.Deployment
	out := &rpc.Note{Host: string(d.Host), Address: d.Peers.String(), EndpointsRevision: g.endpointsRevision()}
	out.Leaving, out.Departures = g.leaving()
	if g.lease != nil {
		out.HoldsDuties = g.lease.Confirmed()
	}
	out.ConfigurationNumber = g.number()
	out.Suspects = g.quarantine.RPCSuspects()
	out.Rollouts = g.rolloutNews()
	out.Limits, out.Rests = g.limits(), g.restsTold()
	return out
}

// number is that of the configuration in force, 0 for none.
func (g *Gateway) number() uint64 {
	if c := g.versioner.Current(); c != nil {
		return uint64(c.Number())
	}
	return 0
}

func (g *Gateway) noted(n *rpc.Note) {
	g.led(n.GetHoldsDuties())
	g.quarantine.MergeSuspects(n.GetSuspects())
	g.pacer.Merge(limitsTold(n.GetLimits()))
	g.spare(n.GetRests())
	g.hearRollouts(n.GetRollouts(), n.GetHost(), n.GetAddress())
	g.spread(&rpc.Digest{
		Host: n.GetHost(), Address: n.GetAddress(), ConfigurationNumber: n.GetConfigurationNumber(), EndpointsRevision: n.GetEndpointsRevision(),
		Leaving: n.GetLeaving(), Departures: n.GetDepartures(),
	})
}

// takeAll takes in what the peer at an address knows.
func (g *Gateway) takeAll(address, kind string, r *rpc.SnapshotReply) {
	out := make([]object.Object, 0, len(r.GetObjects()))
	for _, o := range r.GetObjects() {
		out = append(out, object.Object{Key: o.GetKey(), Version: o.GetVersion(), Value: o.GetValue(), Deleted: o.GetDeleted()})
	}
	out = g.readable(out)
	if r.GetFull() {
		g.spreadNews(g.mirror.Replace(kind, out, r.GetRevision()), address)
		return
	}
	g.spreadNews(g.mirror.ApplyFromPeer(out), address)
}

// askPeers fills the beliefs of a daemon that started while the store turns it
// away: it would otherwise refuse all that its peers serve.
func (g *Gateway) askPeers(ctx context.Context) error {
	for ctx.Err() == nil && (g.versioner.Current() == nil || !g.listed.Load()) {
		waiter.For(ctx, askPause)
		if g.versioner.Current() != nil && g.listed.Load() {
			return suture.ErrDoNotRestart
		}
		for _, address := range g.swapper.KnownAddresses() {
			if g.askPeer(ctx, address) {
				break
			}
		}
	}
	return suture.ErrDoNotRestart
}

// askPeer takes over all that a peer knows, and reports whether it did.
func (g *Gateway) askPeer(ctx context.Context, address string) bool {
	began := time.Now()
	reply, err := g.supplier.RequestSnapshot(ctx, address, "", 0)
	took := time.Since(began).Milliseconds()
	if err != nil || len(reply.GetObjects()) == 0 {
		g.c.Logger.Warn("no beliefs from a peer", "address", address, "took_ms", took, "error", err)
		return false
	}
	g.c.Logger.Info("beliefs taken from a peer", "address", address, "objects", len(reply.GetObjects()), "took_ms", took)
	g.takeAll(address, "", reply)
	return true
}

// ask takes over the changes after a revision from peers that follow the store: a
// list that this daemon made lacks objects, which may have ended or lapsed.
func (g *Gateway) ask(kind string, after uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), askTime)
	defer cancel()
	asked := 0
	for _, d := range g.roster.LiveDaemons(time.Now()) {
		if asked == askSome || !d.Observing {
			continue
		}
		asked++
		reply, err := g.supplier.RequestSnapshot(ctx, d.Address, kind, after)
		g.c.Logger.Info("list lacks objects, peer asked", "kind", kind, "after", after, "peer", d.Host,
			"objects", len(reply.GetObjects()), "error", err)
		if err == nil {
			g.takeAll(d.Address, kind, reply)
		}
	}
}
