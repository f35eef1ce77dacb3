package gateway

import (
	"context"
	"net/http"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/core/watchdog"
	"brasschute/internal/peer/coordinator"
	"brasschute/internal/peer/fetcher"
	"brasschute/internal/peer/messagelimiter"
	"brasschute/internal/peer/origintracker"
	"brasschute/internal/peer/permitborrower"
	"brasschute/internal/peer/roster"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/peer/supplier"
	"brasschute/internal/peer/syncer"
	"brasschute/internal/peer/throttler"
	"brasschute/internal/peer/wrapper"
	"brasschute/internal/platform/object"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/estimator"
	"brasschute/platform"

	"github.com/thejerf/suture/v4"
)

const (
	// bootstrapInterval is how often a daemon without a configuration or endpoints requests them
	// from peers.
	bootstrapInterval = 300 * time.Millisecond
	// maxBootstrapCalls is how many peers it calls each time. Those that have a configuration become
	// four times as many in each interval, so that a thousand daemons need five.
	maxBootstrapCalls = 3
	// maxAskedPeers is how many peers are asked, within askTimeout, whether objects missing from
	// a list were deleted. More than one, because one may lag.
	maxAskedPeers = 2
	askTimeout    = time.Second
	// loadInterval is how often the peers' loads are summed: several times in a period of the
	// digests. A load older than maxLoadAge is ignored.
	loadInterval = 250 * time.Millisecond
	maxLoadAge   = 4 * time.Second
	// peerStallTimeout ends a call to a peer that receives no bytes: a paused process keeps its
	// connections open.
	peerStallTimeout = time.Second
	// maxPeerMessageBytes bounds a message. The largest has the configuration or the list of endpoints, a few
	// megabytes for thousands of them.
	maxPeerMessageBytes = 16 << 20
	// peerIdleTimeout keeps connections between peers open over several digest periods.
	peerIdleTimeout = 30 * time.Second
)

func (g *Gateway) buildPeers() {
	d := g.c.Deployment
	limiter := messagelimiter.New(messagelimiter.Config{MaxBytes: maxPeerMessageBytes, Bodies: g.messages})
	transport := limiter.Transport(&http.Transport{
		DialContext: g.peerBytes.Dial(g.c.Network.DialContext), IdleConnTimeout: peerIdleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxPeerHeaderBytes,
	})
	g.syncer = syncer.New(syncer.Config{
		Host: d.Host, Zone: d.AvailabilityZone, Address: d.Peers.String(), Gatherer: &g.gatherer, Logger: g.c.Logger,
		Roster: g.roster, Relaying: g.isRelay, LargeFleet: g.isLarge,
		BuildDigest: g.digestFor, OnDigest: g.mergeDigest, BuildNote: g.newNote, OnNote: g.mergeNote, Client: &http.Client{Transport: transport},
	})
	g.peerClient = &http.Client{Transport: transport}
	throttle := throttler.New(throttler.Config{BytesPerSecond: d.LinkBytesPerSecond})
	g.supplier = supplier.New(supplier.Config{
		Address: d.Peers.String(), Objects: &g.mirror, Kinds: []string{platform.CatalogKind, platform.EndpointKind, platform.RolloutKind}, Throttler: throttle,
		Client: watchdog.New(watchdog.Config{Transport: transport, IdleTimeout: peerStallTimeout}), Logger: g.c.Logger,
	})
	peers := http.NewServeMux()
	peers.Handle("/", throttle.Handler(limiter.Handler(rpc.NewFleetServer(fleetServer{g.syncer, g.supplier, g.coordinator, g.origins, g.permits}))))
	peers.Handle("POST "+wrapper.Path, g.proxier)
	g.peerHandler = peers
	for _, seed := range d.Seeds {
		g.roster.Add(seed.String())
	}
	config := fetcher.Config{RequestSnapshot: g.supplier.RequestSnapshot, OtherPeers: g.syncer.LiveAddresses, Apply: g.applySnapshot, Logger: g.c.Logger}
	config.Kind, config.SinceRevision, config.KnownRevision = platform.CatalogKind, func() uint64 { return 0 }, g.configurationNumber
	g.catalogFetcher = fetcher.New(config)
	config.Kind, config.SinceRevision = platform.EndpointKind, g.endpointsRevision
	config.KnownRevision = config.SinceRevision
	g.endpointFetcher = fetcher.New(config)
	config.Kind, config.SinceRevision = platform.RolloutKind, g.rolloutsRevision
	config.KnownRevision = config.SinceRevision
	g.rolloutFetcher = fetcher.New(config)
	g.tree.Add(g.syncer)
	g.tree.Add(serviceFunc(g.bootstrapFromPeers))
	g.tree.Add(serviceFunc(g.runLoads))
}

// dialPeer returns the daemon at an address, for calls that a request may wait for.
func (g *Gateway) dialPeer(address string) rpc.Fleet {
	return rpc.NewFleetProtobufClient("http://"+address, g.peerClient)
}

// fleetServer serves peers' calls.
type fleetServer struct {
	*syncer.Syncer
	*supplier.Supplier
	*coordinator.Coordinator
	*origintracker.Tracker
	*permitborrower.Borrower
}

// endpointsRevision returns the revision up to which the list of endpoints is known.
func (g *Gateway) endpointsRevision() uint64 { return g.mirror.Revision(platform.EndpointKind) }

// splitVersion returns the revision and the era of a version, as messages carry them.
func splitVersion(version uint64) (revision, era uint64) {
	return object.Revision(version), object.Era(version)
}

// newDigest returns a digest of this daemon's state, for peers.
func (g *Gateway) newDigest() *rpc.Digest {
	d := g.c.Deployment
	out := &rpc.Digest{
		Host: string(d.Host), AvailabilityZone: string(d.AvailabilityZone), Address: d.Peers.String(),
		Incarnation: uint64(g.started.UnixNano()), Sequence: g.sequence.Add(1), UnixMilli: g.clock.Now().UnixMilli(),
		AgeMilli: time.Since(g.started).Milliseconds(),
		Stopping: g.stopping.Load(),
	}
	out.ConfigurationNumber = g.configurationNumber()
	for _, n := range g.usageCounter.Counts() {
		out.Counts = append(out.Counts, &rpc.WindowCount{Window: n.Window, Organisation: string(n.Organisation), Count: uint32(n.Requests)})
	}
	for name, account := range g.quotaLimiter.Accounts() {
		out.Charges = append(out.Charges, &rpc.Charge{Organisation: string(name), Total: account.Total, Level: &account.Level, AskedPerSecond: account.Asked})
	}
	for name, n := range g.demandMeter.Demands() {
		out.Demands = append(out.Demands, &rpc.Demand{
			Service: string(name), Running: uint32(max(n.Running, 0)), RequestsPerSecond: n.Requests,
			TokensPerSecond: n.Tokens, RefusedPerSecond: n.Refused,
			FirstEventsPerSecond: n.FirstEvents, LatePerSecond: n.Late,
		})
	}
	for name, s := range g.estimator.Local() {
		out.Speeds = append(out.Speeds, encodeSpeed(name, s))
	}
	out.Loads = g.encodeLoads()
	if g.lease != nil {
		out.HoldsDuties = g.lease.Confirmed()
	}
	out.Fleet = uint32(g.knownDaemons())
	out.EndpointsRevision, out.EndpointsEra = splitVersion(g.endpointsRevision())
	out.Observing = g.reachesStore()
	out.Relaying = g.isLarge() && g.isRelay()
	out.Capacity, out.Schedules = uint32(roster.CapacityOf(d.LinkBytesPerSecond)), true
	out.Departures = g.digestDepartures()
	out.Suspects = g.quarantine.RPCSuspects()
	out.Rollouts, out.Trials, out.OrdersKnown = g.encodeRollouts(), g.encodeTrials(), g.splitter.OrdersKnown()
	out.Limits, out.Rests = g.encodeLimits(), g.encodeBackoffs()
	if !g.isLarge() {
		out.Peers = g.syncer.LiveAddresses()
	}
	return out
}

// mergeDigest merges a peer's digest.
func (g *Gateway) mergeDigest(d *rpc.Digest) {
	host := identifier.Host(d.GetHost())
	g.reportedFleetSize.Store(max(g.reportedFleetSize.Load(), int64(d.GetFleet())))
	g.mergeQuotas(d)
	g.quarantine.MergeSuspects(d.GetSuspects())
	g.pacer.Merge(decodeLimits(d.GetLimits()))
	g.mergeBackoffs(d.GetRests())
	g.mergeRollouts(d.GetRollouts(), d.GetHost(), d.GetAddress())
	if d.GetOrdersKnown() && len(d.GetRollouts()) == 0 {
		g.splitter.ApplyOrders(nil, d.GetHost())
	}
	for _, part := range d.GetCounted() {
		g.relayedDigests.Merge(part, time.Now())
	}
	speeds := d.GetSpeeds()
	if relayed := d.GetSummary().GetSpeeds(); len(relayed) > 0 && !g.isRelay() {
		speeds = relayed
	}
	for _, s := range speeds {
		g.estimator.Merge(host, identifier.Service(s.GetService()), estimator.Estimate{
			Speed: estimator.Speed(s.GetTokensPerSecond()), Samples: int(s.GetAnswers()), FixedLatency: time.Duration(s.GetFixedMicro()) * time.Microsecond,
		}, time.Now())
	}
	g.catchUp(d)
	g.noteHolder(d.GetHoldsDuties())
	g.clock.Observe(host, time.UnixMilli(d.GetUnixMilli()))
}

// noteHolder records the time at which a peer reports that it holds the lease.
func (g *Gateway) noteHolder(holds bool) {
	if holds {
		g.holderSeenAt.Store(time.Now().UnixNano())
	}
}

// runLoads updates the registry with the load that the other daemons put on each endpoint.
func (g *Gateway) runLoads(ctx context.Context) error {
	return waiter.Every(ctx, loadInterval, func(context.Context) {
		g.registry.SetPeerLoads(g.peerLoads(time.Now()))
	})
}

// peerLoads returns the loads of the other daemons, from their digests or from a relay's sum.
func (g *Gateway) peerLoads(now time.Time) map[identifier.Endpoint]candidate.SentLoad {
	sent := make(map[identifier.Endpoint]candidate.SentLoad)
	if g.isLarge() {
		loads, asOf := g.aggregator.OthersLoads(g.isRelay(), now)
		g.addLoads(sent, loads, asOf)
		return sent
	}
	for _, e := range g.gatherer.Latest(now) {
		if now.Sub(e.ReceivedAt) <= maxLoadAge {
			g.addLoads(sent, e.Digest.GetLoads(), e.ReceivedAt)
		}
	}
	return sent
}

// peerDemands returns the demands of the other daemons' clients.
func (g *Gateway) peerDemands(now time.Time) []*rpc.Demand {
	if g.isLarge() {
		return g.aggregator.OthersSum(g.isRelay(), now).GetDemands()
	}
	var out []*rpc.Demand
	for _, e := range g.gatherer.Latest(now) {
		out = append(out, e.Digest.GetDemands()...)
	}
	return out
}

// catchUp applies departures that a peer knows, and fetches its configuration and endpoints if
// they are newer than this daemon's. The store may refuse some daemons or be unreachable for
// them while it serves others, and in a large fleet only a few daemons watch it.
func (g *Gateway) catchUp(d *rpc.Digest) {
	g.markLeaving(d)
	g.versioner.ObserveNumber(identifier.ConfigurationNumber(d.GetConfigurationNumber()))
	if c := g.versioner.Current(); c != nil && uint64(c.Number()) < d.GetConfigurationNumber() {
		g.catalogFetcher.Want(d.GetAddress(), d.GetConfigurationNumber())
	}
	told := object.Join(d.GetEndpointsEra(), d.GetEndpointsRevision())
	if known := g.endpointsRevision(); known > 0 && known < told {
		g.endpointFetcher.Want(d.GetAddress(), told)
	}
}

// markLeaving marks the endpoints that a peer knows to be leaving. A mark applies to the
// incarnation that the peer means, not to one started since under the same id. A peer of an older
// version does not distinguish incarnations.
func (g *Gateway) markLeaving(d *rpc.Digest) {
	lines := endpointLines{logger: g.c.Logger}
	defer lines.end()
	mark := func(id string, incarnation identifier.Incarnation, known bool) {
		if known && g.registry.MarkLeaving(identifier.Host(id), incarnation, time.Time{}) {
			lines.leaving(id, incarnation, d.GetHost())
		}
	}
	for _, l := range d.GetDepartures() {
		incarnation, known := g.registrar.Current(identifier.Endpoint(l.GetEndpoint()), identifier.StartTime(l.GetBorn()))
		mark(l.GetEndpoint(), incarnation, known)
	}
	if len(d.GetDepartures()) > 0 {
		return
	}
	for _, id := range d.GetLeaving() {
		incarnation, known := g.registrar.CurrentByID(identifier.Endpoint(id))
		mark(id, incarnation, known)
	}
}

// newNote returns a note: the part of this daemon's state that peers need before the next digest.
func (g *Gateway) newNote() *rpc.Note {
	d := g.c.Deployment
	out := &rpc.Note{Host: string(d.Host), Address: d.Peers.String()}
	out.EndpointsRevision, out.EndpointsEra = splitVersion(g.endpointsRevision())
	out.Departures = g.noteDepartures()
	if g.lease != nil {
		out.HoldsDuties = g.lease.Confirmed()
		out.LeaseRevision, out.LeaseEra = splitVersion(g.lease.Revision())
	}
	out.ConfigurationNumber = g.configurationNumber()
	out.Suspects = g.quarantine.RPCSuspects()
	out.Rollouts = g.encodeRollouts()
	out.Limits, out.Rests = g.encodeLimits(), g.encodeBackoffs()
	out.Pools = g.encodePools()
	out.Ends = g.encodeEnds()
	return out
}

// configurationNumber returns the number of the configuration in force, 0 for none.
func (g *Gateway) configurationNumber() uint64 {
	if c := g.versioner.Current(); c != nil {
		return uint64(c.Number())
	}
	return 0
}

// mergeNote merges a peer's note.
func (g *Gateway) mergeNote(n *rpc.Note) {
	g.noteHolder(n.GetHoldsDuties())
	g.heardLease.hear(n, g.uptime())
	g.mergePools(n.GetPools())
	g.quarantine.MergeSuspects(n.GetSuspects())
	g.mergeEnds(n.GetEnds())
	g.pacer.Merge(decodeLimits(n.GetLimits()))
	g.mergeBackoffs(n.GetRests())
	g.mergeRollouts(n.GetRollouts(), n.GetHost(), n.GetAddress())
	g.catchUp(&rpc.Digest{
		Host: n.GetHost(), Address: n.GetAddress(), ConfigurationNumber: n.GetConfigurationNumber(), EndpointsRevision: n.GetEndpointsRevision(),
		EndpointsEra: n.GetEndpointsEra(), Leaving: n.GetLeaving(), Departures: n.GetDepartures(),
	})
}

// applySnapshot applies the objects fetched from the peer at an address.
func (g *Gateway) applySnapshot(address, kind string, r *rpc.SnapshotReply) {
	out := make([]object.Object, 0, len(r.GetObjects()))
	for _, o := range r.GetObjects() {
		out = append(out, object.Object{Key: o.GetKey(), Version: object.Join(o.GetEra(), o.GetVersion()), Value: o.GetValue(), Deleted: o.GetDeleted()})
	}
	out = g.dropUnreadable(out)
	g.applying.Lock()
	defer g.applying.Unlock()
	if r.GetFull() {
		g.applyChanges(g.mirror.Replace(kind, out, object.Join(r.GetEra(), r.GetRevision())), address)
		return
	}
	g.applyChanges(g.mirror.ApplyFromPeer(out), address)
}

// bootstrapFromPeers loads the configuration and endpoints of a peer into a daemon that started
// while the store refused it: without them it would reject everything that its peers serve.
func (g *Gateway) bootstrapFromPeers(ctx context.Context) error {
	for ctx.Err() == nil && (g.versioner.Current() == nil || !g.endpointsListed.Load()) {
		waiter.For(ctx, bootstrapInterval)
		if g.versioner.Current() != nil && g.endpointsListed.Load() {
			return suture.ErrDoNotRestart
		}
		addresses := g.syncer.KnownAddresses()
		for _, address := range addresses[:min(len(addresses), maxBootstrapCalls)] {
			if g.fetchSnapshot(ctx, address) {
				break
			}
		}
	}
	return suture.ErrDoNotRestart
}

// fetchSnapshot applies everything that a peer knows, and reports whether it succeeded.
func (g *Gateway) fetchSnapshot(ctx context.Context, address string) bool {
	began := time.Now()
	reply, err := g.supplier.RequestSnapshot(ctx, address, "", 0)
	took := time.Since(began).Milliseconds()
	if err != nil || len(reply.GetObjects()) == 0 {
		g.c.Logger.Warn("no snapshot from peer", "address", address, "took_ms", took, "error", err)
		return false
	}
	g.c.Logger.Info("snapshot applied from peer", "address", address, "objects", len(reply.GetObjects()), "took_ms", took)
	g.applySnapshot(address, "", reply)
	return true
}

// askForChanges fetches the changes after a revision from peers that watch the store. It is
// called when a list lacks known objects, which may have been deleted or may have expired.
func (g *Gateway) askForChanges(kind string, after uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	asked := 0
	for _, d := range g.roster.LiveDaemons(time.Now()) {
		if asked == maxAskedPeers || !d.Observing {
			continue
		}
		asked++
		reply, err := g.supplier.RequestSnapshot(ctx, d.Address, kind, after)
		g.c.Logger.Info("objects missing from list, peer asked", "kind", kind, "after", object.LogValue(after), "peer", d.Host,
			"objects", len(reply.GetObjects()), "error", err)
		if err == nil {
			g.applySnapshot(d.Address, kind, reply)
		}
	}
}
