package gateway

import (
	"context"
	"iter"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/peer/origintracker"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/route/versiontracker"
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
)

// buildStreams builds what knows at which version each stream began.
func (g *Gateway) buildStreams() {
	g.versions = versiontracker.New(versiontracker.Config{Retention: streamRetention, Now: g.uptime})
	g.origins = origintracker.New(origintracker.Config{
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

// confirmByPeers records that the list of endpoints is current if this daemon hears of changes from one
// that watches the store and reaches it. The watcher of endpoints confirms what the store itself answers.
func (g *Gateway) confirmByPeers() {
	if len(g.observers(time.Now())) > 0 {
		g.versions.Confirm()
	}
}
