package gateway

import (
	"time"

	"brasschute/internal/peer/roster"
	"brasschute/internal/platform/object"
	"brasschute/internal/platform/watcher"
	"brasschute/platform"
)

// In a fleet of up to smallFleet daemons all pairs swap and all follow the store, as
// the loss of some would otherwise leave few that do.
const smallFleet = 16

// follows tells whether this daemon follows the store itself. In a large fleet a few
// relays do, and tell the others.
func (g *Gateway) follows() bool {
	return !g.large() || g.roster.FollowsStore(time.Now())
}

// observing tells whether this daemon follows the store, and reaches it.
func (g *Gateway) observing() bool {
	return g.follows() && time.Since(time.Unix(0, g.storeHeard.Load())) < roster.LivenessTimeout
}

type sink func([]object.Object)

// Apply takes in objects.
func (s sink) Apply(objects []object.Object) { s(objects) }

// follow watches one kind of objects. A dependency that is lost or regained is
// logged once.
func (g *Gateway) follow(what, kind string, wait time.Duration) *watcher.Watcher {
	var lost time.Time
	return watcher.New(watcher.Config{
		Platform: g.store, Sink: sink(g.take), Prefixes: []string{kind}, Idle: func() bool { return !g.follows() },
		Known: func() map[string]uint64 { return g.mirror.KnownVersions(kind) },
		OnList: func(l watcher.List) {
			g.mirror.BeginList(kind, l.Revision, l.Gap, l.Uncertain)
			if l.Uncertain {
				// The mirror's revision stays what it was before the list.
				go g.ask(kind, g.mirror.Revision(kind))
			}
		},
		Wait: wait, OnUnreadable: g.unreadable,
		OnResult: func(err error) {
			if err == nil {
				g.storeHeard.Store(time.Now().UnixNano())
			}
			if err == nil && kind == platform.RolloutKind {
				// Nothing is applied of a list that is empty.
				g.splitter.ApplyOrders(nil, sourceStore)
			}
			switch {
			case err != nil && lost.IsZero():
				lost = time.Now()
				g.c.Logger.Warn("store lost", "follower", what, "error", err)
			case err == nil && !lost.IsZero():
				g.c.Logger.Info("store regained", "follower", what, "lost_ms", time.Since(lost).Milliseconds())
				lost = time.Time{}
			}
		},
	})
}
