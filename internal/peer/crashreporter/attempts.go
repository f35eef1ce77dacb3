package crashreporter

import (
	"slices"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/registry"
)

const (
	// retention is how long an attempt that was given up is kept: the endpoint may have it in its queue, or
	// not notice at once that the connection is closed.
	retention = 5 * time.Second
	// maxGivenUp bounds the attempts kept after they were given up, to about 500 KB.
	maxGivenUp = 2048
	// firstCheck is the time from which on an endpoint without a sign of life is probed after an attempt was
	// given up there. Each further probe takes twice as long to come, up to maxCheck.
	firstCheck = 300 * time.Millisecond
	maxCheck   = 1200 * time.Millisecond
	// silentTime is how long attempts wait for an endpoint without a sign of life until it is checked.
	silentTime = time.Second
)

// attempts holds the attempts of this daemon that were sent to endpoints and have delivered nothing. It is
// safe for concurrent use.
type attempts struct {
	mu     sync.Mutex
	places map[identifier.EndpointIncarnation]*place
	// givenUp counts those that were given up.
	givenUp int
}

// place holds the attempts at one incarnation of an endpoint.
type place struct {
	pick *registry.Pick
	open map[*Attempt]bool
	// waitingSince is when the first one of the open attempts began.
	waitingSince time.Time
	givenUp      []givenUp
	// checkAfter is the time from the last check, or from the newest attempt that was given up, to the next one.
	checkAfter time.Duration
	checkedAt  time.Time
	// lapsed is set once the endpoint was gone from the list.
	lapsed bool
}

// givenUp is an attempt that was given up.
type givenUp struct {
	*Attempt
	at time.Time
}

// place returns the attempts at an incarnation. The caller holds the lock.
func (t *attempts) place(key identifier.EndpointIncarnation, pick *registry.Pick) *place {
	if t.places == nil {
		t.places = make(map[identifier.EndpointIncarnation]*place)
	}
	p := t.places[key]
	if p == nil {
		p = &place{pick: pick, open: make(map[*Attempt]bool)}
		t.places[key] = p
	}
	return p
}

// begin adds an attempt that is being sent. Its time is set once: those that have taken the attempt read it.
func (t *attempts) begin(key identifier.EndpointIncarnation, a *Attempt) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.Sent.IsZero() {
		a.Sent = now
	}
	p := t.place(key, a.Pick)
	if len(p.open) == 0 {
		p.waitingSince = now
	}
	p.open[a] = true
}

// conclude removes an attempt.
func (t *attempts) conclude(key identifier.EndpointIncarnation, a *Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.places[key]; p != nil {
		delete(p.open, a)
		t.drop(key, p)
	}
}

// giveUp keeps an attempt for a while, though nobody waits for it.
func (t *attempts) giveUp(key identifier.EndpointIncarnation, a *Attempt) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.place(key, a.Pick)
	delete(p.open, a)
	if t.givenUp < maxGivenUp {
		p.givenUp = append(p.givenUp, givenUp{a, now})
		t.givenUp++
	}
	p.checkAfter, p.checkedAt = firstCheck, now
	t.drop(key, p)
}

// drop forgets an incarnation without attempts. The caller holds the lock.
func (t *attempts) drop(key identifier.EndpointIncarnation, p *place) {
	if len(p.open)+len(p.givenUp) == 0 {
		delete(t.places, key)
	}
}

// take removes the attempts at an incarnation, which ended at a time, and returns those that it may have been running:
// those that were sent before. All are returned if the time is zero.
func (t *attempts) take(key identifier.EndpointIncarnation, ended time.Time) (list []*Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.places[key]
	if p == nil {
		return nil
	}
	for a := range p.open {
		list = append(list, a)
	}
	for _, g := range p.givenUp {
		list = append(list, g.Attempt)
	}
	t.givenUp -= len(p.givenUp)
	delete(t.places, key)
	return slices.DeleteFunc(list, func(a *Attempt) bool { return !ended.IsZero() && a.Sent.After(ended) })
}

// due forgets attempts that were given up long ago, and returns the endpoints to check now: those that are gone
// from the list, those at which attempts were given up and which have shown no sign of life since, and those that
// let attempts wait without one.
func (t *attempts) due(now time.Time, presence func(*registry.Pick) registry.Presence) (out []*registry.Pick) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, p := range t.places {
		kept := slices.DeleteFunc(p.givenUp, func(g givenUp) bool { return now.Sub(g.at) > retention })
		t.givenUp -= len(p.givenUp) - len(kept)
		p.givenUp = kept
		listed := presence(p.pick)
		if p.isDue(now, listed) {
			p.checkedAt, p.checkAfter = now, min(max(2*p.checkAfter, firstCheck), maxCheck)
			out = append(out, p.pick)
		}
		p.lapsed = p.lapsed || listed == registry.Lapsed
		t.drop(key, p)
	}
	return out
}

// isDue reports whether the endpoint is to be checked now.
func (p *place) isDue(now time.Time, presence registry.Presence) bool {
	switch presence {
	case registry.Listed:
		silent := len(p.open) > 0 && now.Sub(p.waitingSince) >= silentTime && p.quiet(now) >= silentTime
		return silent || len(p.givenUp) > 0 && p.quiet(now) >= p.checkAfter
	case registry.Lapsed:
		return !p.lapsed || p.quiet(now) >= p.checkAfter
	case registry.Replaced:
		return true
	}
	return false
}

// quiet returns the time since the last check or sign of life.
func (p *place) quiet(now time.Time) time.Duration {
	signs := p.pick.Activity.Signs()
	return now.Sub(signs.LatestSince(p.checkedAt))
}
