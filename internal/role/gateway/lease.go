package gateway

import (
	"sync"
	"time"

	"brasschute/internal/peer/rpc"
	"brasschute/internal/platform/object"
)

// heardLease is what this daemon has heard of the lease of the duties from its holder's notes. A
// holder of the previous version announces no revision; then only the time of its messages counts.
type heardLease struct {
	mu sync.Mutex
	// revision is the highest revision announced, heardAt when it was first heard, by the clock of
	// the lease.
	revision uint64
	heardAt  time.Time
	// holder is the host that announced it, ended is set once that host says that it does not
	// hold the lease any more, unannounced once a holder announces no revision.
	holder             string
	ended, unannounced bool
}

// hear merges a note that was received at a time. A note that arrives late has a lower revision
// and changes nothing.
func (l *heardLease) hear(n *rpc.Note, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch revision := object.Join(n.GetLeaseEra(), n.GetLeaseRevision()); {
	case revision > l.revision:
		l.revision, l.heardAt, l.holder, l.ended, l.unannounced = revision, now, n.GetHost(), false, false
	case revision > 0:
	case n.GetHoldsDuties():
		l.unannounced = true
	case n.GetHost() == l.holder:
		l.ended = true
	}
}

// get returns the highest revision announced and when it was first heard; 0 for none.
func (l *heardLease) get() (revision uint64, heardAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision, l.heardAt
}

// decides reports whether the announced revision says whether the lease is held, and whether it
// says so. It does for the lease's duration, unless its holder says that it has ended.
func (l *heardLease) decides(now time.Time, duration time.Duration) (decides, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.revision == 0 || l.unannounced {
		return false, false
	}
	return true, !l.ended && now.Sub(l.heardAt) <= duration
}

// heldByOther reports whether a peer is known to hold the lease, so that the store need not be
// read. In a large fleet only daemons that watch the store compete for the lease.
func (g *Gateway) heldByOther() bool {
	if !g.watchesStore() {
		return true
	}
	if decides, held := g.heardLease.decides(g.uptime(), g.c.Deployment.Bounds.LeaseTime); decides {
		return held
	}
	return time.Since(time.Unix(0, g.holderSeenAt.Load())) < holderTimeout
}
