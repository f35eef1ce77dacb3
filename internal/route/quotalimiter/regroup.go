package quotalimiter

import (
	"time"

	"brasschute/internal/core/identifier"
)

// formerHost is the key of the aggregate of all peers as they were grouped before Regroup.
const formerHost = "former"

// regroupTimeout is how long the aggregate is kept while updates by the new groups arrive.
const regroupTimeout = 2 * time.Second

// Regroup prepares for updates of the same daemons in other groups: individually instead of
// aggregated, or the reverse. The first update of a group must then start at a total of zero,
// because earlier charges are already in the buckets.
//
// If the peers were forgotten at once, this daemon would take all the demand for its own until it
// receives updates in the new grouping, and admit the whole fleet's rate. So they are assumed to go
// on as before until half of them are covered by new updates, or for [regroupTimeout].
func (l *Limiter) Regroup() {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.peers) == 0 {
		return
	}
	all := &peer{startedAt: l.start, heardAt: now, byOrg: make(map[identifier.Organisation]*peerUsage)}
	timeout := l.silenceTimeout()
	for k, p := range l.peers {
		all.daemons += p.daemons
		all.silent += p.silent
		if now.Sub(p.heardAt) > timeout {
			all.silent += p.daemons - p.silent
		}
		for name, usage := range p.byOrg {
			sum := all.usageOf(name)
			sum.rate += usage.rate
			sum.demand += usage.demand
			sum.part += usage.part
			sum.rateKnown = true
			if b := l.buckets[name]; b != nil {
				sum.knownAt = b.known
			}
		}
		delete(l.peers, k)
	}
	l.peers[peerKey{host: formerHost}] = all
	l.regroupedAt = now
}

// dropFormer forgets the aggregate of the former groups once the new groups are known.
func (l *Limiter) dropFormer(now time.Time) {
	k := peerKey{host: formerHost}
	old := l.peers[k]
	if old == nil {
		return
	}
	daemons := 0
	for other, p := range l.peers {
		if other != k {
			daemons += p.daemons
		}
	}
	if 2*daemons < old.daemons && now.Sub(l.regroupedAt) < regroupTimeout {
		return
	}
	delete(l.peers, k)
}
