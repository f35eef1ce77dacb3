package quotalimiter

import (
	"time"

	"brasschute/internal/core/identifier"
)

// former stands for all daemons as they were told before they are told in another way.
const former = "former"

// regroupTime is how long what was known of the others is carried on until they are told
// in the new way.
const regroupTime = 2 * time.Second

// Regroup prepares for news of the same daemons by other groups: one by one instead of
// together, or the other way round. The first news of a group must then begin at nothing
// charged, as what it charged before is in the buckets already.
//
// Were the others forgotten at once, this daemon would take all of the demand for its own
// until it hears them in the new way, and give out the whole fleet's rate. So until half of
// them are told anew, or for [regroupTime], they are taken to go on as before.
func (a *Limiter) Regroup() {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.others) == 0 {
		return
	}
	all := &remote{born: a.start, heard: now, byOrg: make(map[identifier.Organisation]*count)}
	silence := a.silence()
	for k, r := range a.others {
		all.daemons += r.daemons
		all.silent += r.silent
		if now.Sub(r.heard) > silence {
			all.silent += r.daemons - r.silent
		}
		for name, n := range r.byOrg {
			sum := all.count(name)
			sum.rate += n.rate
			sum.asked += n.asked
			sum.rated = true
		}
		delete(a.others, k)
	}
	a.others[remoteKey{host: former}] = all
	a.regroupedAt = now
}

// regrouped forgets the former groups once the new ones are known.
func (a *Limiter) regrouped(now time.Time) {
	k := remoteKey{host: former}
	old := a.others[k]
	if old == nil {
		return
	}
	daemons := 0
	for other, r := range a.others {
		if other != k {
			daemons += r.daemons
		}
	}
	if 2*daemons < old.daemons && now.Sub(a.regroupedAt) < regroupTime {
		return
	}
	delete(a.others, k)
}
