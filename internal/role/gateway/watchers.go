package gateway

import (
	"time"

	"brasschute/internal/peer/roster"
	"brasschute/internal/platform/object"
	"brasschute/internal/platform/watcher"
	"brasschute/platform"
)

// smallFleetSize is the largest fleet in which all pairs exchange digests and all daemons watch
// the store. Losing a few daemons of a small fleet would otherwise leave too few watchers.
const smallFleetSize = 16

// watchesStore reports whether this daemon watches the store itself. In a large fleet a few
// relays do and inform the others.
func (g *Gateway) watchesStore() bool {
	return !g.isLarge() || g.roster.FollowsStore(time.Now())
}

// reachesStore reports whether this daemon watches the store and has reached it recently.
func (g *Gateway) reachesStore() bool {
	return g.watchesStore() && time.Since(time.Unix(0, g.storeAnsweredAt.Load())) < roster.LivenessTimeout
}

// onStoreEra logs the era of the store. A higher one than before means that the store has come back from
// an older copy: it has lost changes that it had acknowledged, and gives revisions out again.
func (g *Gateway) onStoreEra(before, era uint64) {
	g.scope.Gauge("store_era").Update(float64(era))
	if before == 0 {
		g.c.Logger.Info("store states its era", "era", era)
		return
	}
	g.scope.Counter("store_restores").Inc(1)
	g.c.Logger.Warn("store restored from an older copy", "era", era, "before", before, "endpoints_revision", object.LogValue(g.endpointsRevision()),
		"configuration", g.configurationNumber())
}

// sinkFunc adapts a function to a sink of objects.
type sinkFunc func([]object.Object)

// Apply calls s with the objects.
func (s sinkFunc) Apply(objects []object.Object) { s(objects) }

// newStoreWatcher returns a watcher of one kind of object. It logs each loss and each recovery
// of the store once.
func (g *Gateway) newStoreWatcher(name, kind string, wait time.Duration) *watcher.Watcher {
	var lostAt time.Time
	return watcher.New(watcher.Config{
		Platform: g.store, Sink: sinkFunc(g.applyFromStore), Prefixes: []string{kind}, Idle: func() bool { return !g.watchesStore() },
		Known: func() map[string]uint64 { return g.mirror.KnownVersions(kind) },
		OnList: func(l watcher.List) {
			g.mirror.BeginList(kind, l.Revision, l.Gap, l.Uncertain)
			if l.Uncertain {
				// The mirror's revision is still the one from before the list.
				go g.askForChanges(kind, g.mirror.Revision(kind))
			}
		},
		WatchTimeout: wait, OnUnreadable: g.logUnreadable,
		OnResult: func(err error) {
			if err == nil {
				g.storeAnsweredAt.Store(time.Now().UnixNano())
			}
			if err == nil && kind == platform.EndpointKind {
				g.confirmEndpoints()
			}
			if err == nil && kind == platform.RolloutKind {
				// An empty list applies no objects, so record that the orders are known.
				g.splitter.ApplyOrders(nil, sourceStore)
			}
			switch {
			case err != nil && lostAt.IsZero():
				lostAt = time.Now()
				g.c.Logger.Warn("store unreachable", "follower", name, "error", err)
			case err == nil && !lostAt.IsZero():
				g.c.Logger.Info("store reachable again", "follower", name, "lost_ms", time.Since(lostAt).Milliseconds())
				lostAt = time.Time{}
			}
		},
	})
}
