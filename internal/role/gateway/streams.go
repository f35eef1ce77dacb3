package gateway

import (
	"context"
	"iter"
	"math/rand/v2"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/peer/originsaver"
	"brasschute/internal/peer/origintracker"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
	"brasschute/internal/platform/refresher"
	"brasschute/internal/route/versiontracker"
	"brasschute/internal/serve/verifier"
	"brasschute/platform"
)

// streamRetention is how long a stream may be taken up after it began: longer than any client waits.
const streamRetention = time.Minute

const (
	// proofInterval is how often a daemon that has started lately asks others for proofs of sole
	// versions, proofTime for how long: by then the others live that will, or none has any.
	proofInterval = 500 * time.Millisecond
	proofTime     = 15 * time.Second
	// keepInterval is how often the list is confirmed, and records are copied whose service has lost its proof.
	keepInterval = time.Second
	// entryDelay is how long after its start an endpoint is listed at most: a heartbeat, and the way to the daemons.
	entryDelay = 1500 * time.Millisecond
	// currentTime is how long after an answer of the store the list counts as confirmed by it: longer than a watch takes, and
	// shorter than a daemon counts as live without a sign of life. So a daemon whose list is confirmed has not been cut off
	// for so long that it no longer asks those that it can't reach.
	currentTime = 2 * time.Second
	// fleetReadTime is how long a daemon that starts waits to learn the size of the fleet.
	fleetReadTime = time.Second
)

// buildStreams builds what knows at which version each stream began.
func (g *Gateway) buildStreams() {
	g.versions = versiontracker.New(versiontracker.Config{Retention: streamRetention, Now: g.uptime})
	saver := originsaver.New(originsaver.Config{
		Store: g.store, Host: g.c.Deployment.Host, Reads: g.readsOrigins, FleetSize: g.fleetSize, Retention: streamRetention,
		OnUnreadable: func(err error) { g.logUnreadable([]error{err}) }, Logger: g.c.Logger, Metrics: g.scope,
	})
	g.tree.Add(saver)
	g.origins = origintracker.New(origintracker.Config{
		Saver: saver, Readers: g.originReaders, ListWait: g.listWait, Current: g.listIsCurrent, Refresh: g.endpointRefresher.Refresh,
		Host: g.c.Deployment.Host, Versions: g.versions, Select: g.assigner.Select, Retention: streamRetention, Metrics: g.scope,
		Dial: func(address string) origintracker.Peer { return g.dialPeer(address) },
	})
	g.tree.Add(serviceFunc(g.askProofs))
	g.tree.Add(serviceFunc(g.keepStreams))
}

// keepStreams confirms the list of endpoints as others report it, and copies the records of streams once
// they are needed elsewhere.
func (g *Gateway) keepStreams(ctx context.Context) error {
	return waiter.Every(ctx, keepInterval, func(ctx context.Context) {
		g.confirmByPeers()
		g.origins.CopyUnproven(ctx)
	})
}

// readsOrigins reports whether this daemon reads what all have saved about streams: all daemons of a small fleet do, and
// those of a large one that watch the store. That is decided once the size of the fleet is known, or can't be read.
func (g *Gateway) readsOrigins() (reads, known bool) {
	known = g.storedFleetSize.Load() > 0 || time.Since(g.started) > fleetReadTime
	return g.watchesStore(), known
}

// buildVerifier builds what verifies incarnations of endpoints.
func (g *Gateway) buildVerifier() {
	g.endpointRefresher = g.newEndpointRefresher()
	g.verifier = verifier.New(verifier.Config{
		Codec: platform.Codec{}, EntryDelay: entryDelay, ListedAsOf: g.listedAsOf, Refresh: g.endpointRefresher.Refresh, OnEnd: func(i identifier.EndpointIncarnation, at time.Time) {
			g.recordEnd(i.Endpoint, i.Born, at)
		},
		Listed:  func(i identifier.EndpointIncarnation) bool { return g.registry.Find(i.Endpoint, i.Born) != nil },
		Metrics: g.scope,
	})
}

// listedAsOf returns the time at which the list of endpoints was known to be current last.
func (g *Gateway) listedAsOf() time.Time {
	at := g.versions.ConfirmedAt()
	if at.IsZero() {
		return at
	}
	return time.Now().Add(at.Sub(g.uptime()))
}

// newEndpointRefresher returns what brings the list of endpoints up to date with the store.
func (g *Gateway) newEndpointRefresher() *refresher.Refresher {
	return refresher.New(refresher.Config{
		Store: g.store, Kind: platform.EndpointKind, Revision: func() uint64 { return g.mirror.Revision(platform.EndpointKind) },
		Apply: func(objects []object.Object) {
			g.applyFromStore(objects)
			g.confirmEndpoints()
		},
	})
}

// confirmEndpoints records that the store has answered a call about endpoints.
func (g *Gateway) confirmEndpoints() {
	now := g.uptime()
	g.endpointsAnsweredAt.Store(&now)
	g.versions.Confirm(now)
}

// listIsCurrent reports whether the store has confirmed the list of endpoints lately.
func (g *Gateway) listIsCurrent() bool {
	at := g.endpointsAnsweredAt.Load()
	return at != nil && g.uptime().Sub(*at) < currentTime
}

// listWait returns the time until the list shows the new entries of the endpoints that started again before it was first
// read.
func (g *Gateway) listWait() time.Duration {
	at := g.endpointsListedAt.Load()
	if at == nil {
		return entryDelay
	}
	return max(0, entryDelay-time.Since(*at))
}

// listEnds knows the endings of endpoints, and that any may have ended before the list was first read.
type listEnds struct{ g *Gateway }

// EndedBefore reports whether an incarnation had ended, or may have, when something was sent.
func (e listEnds) EndedBefore(i identifier.EndpointIncarnation, at time.Time) bool {
	if e.g.ends.EndedBefore(i, at) {
		return true
	}
	listed := e.g.endpointsListedAt.Load()
	return listed == nil || at.Before(listed.Add(entryDelay))
}

// originReaders returns the addresses of the daemons that have read what all have saved, where not all have.
func (g *Gateway) originReaders() []string {
	if !g.isLarge() {
		return nil
	}
	readers := g.observers(time.Now())
	rand.Shuffle(len(readers), func(i, k int) { readers[i], readers[k] = readers[k], readers[i] })
	return readers
}

// askProofs asks other daemons for proofs of sole versions for a time after the start.
func (g *Gateway) askProofs(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, proofTime)
	defer cancel()
	// It ends with its context only.
	_ = waiter.Every(limited, proofInterval, g.origins.AskProofs)
	<-ctx.Done()
	return ctx.Err()
}

// observeVersions records the versions of the listed endpoints. If a service has one more, the
// records of its streams are copied.
func (g *Gateway) observeVersions() {
	changed := g.versions.Observe(g.listedVersions())
	if len(changed) > 0 {
		go g.origins.CopyPending(context.Background(), changed)
	}
}

// listedVersions yields the service and the version of each listed endpoint.
func (g *Gateway) listedVersions() iter.Seq2[identifier.Service, identifier.Version] {
	return func(yield func(identifier.Service, identifier.Version) bool) {
		more := true
		g.registry.EachHost(func(h *inventory.Host) {
			e := &h.Endpoints[0]
			more = more && yield(identifier.Service(e.Pool), e.Version)
		})
	}
}

// confirmByPeers records that the list of endpoints was current when this daemon last heard of one that watches the store and
// reaches it, as it hears of changes from those. The watcher of endpoints confirms what the store itself answers.
func (g *Gateway) confirmByPeers() {
	now := time.Now()
	var heard time.Time
	for _, d := range g.roster.LiveDaemons(now) {
		if at := d.LastHeard(); d.Observing && at.After(heard) {
			heard = at
		}
	}
	if !heard.IsZero() {
		g.versions.Confirm(g.uptime().Add(heard.Sub(now)))
	}
}
