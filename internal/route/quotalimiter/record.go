package quotalimiter

import (
	"math"
	"time"

	"brasschute/internal/core/identifier"
)

// presumedAsked leaves room for a load that grows at the very restart.
const presumedAsked = 1.5

// Snapshot is what is written down of an organisation's allowance for processes that
// start when no other is left to tell.
//
// After a loss of all processes each new one gave out its own part of what flows in
// only, a seventh in a fleet of seven, until it heard the others: for three quarters
// of a second a third of all requests was refused at a fifth of the quotas.
type Snapshot struct {
	// At is when it was written down, by the clock that the daemons share.
	At time.Time
	// Levels are what was left of each allowance, and Asked what was asked for in a
	// second.
	Levels map[identifier.Organisation]float64
	Asked  map[identifier.Organisation]float64
}

// Snapshot returns what is to be written down.
func (a *Limiter) Snapshot(at time.Time) Snapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := Snapshot{At: at, Levels: make(map[identifier.Organisation]float64), Asked: make(map[identifier.Organisation]float64)}
	now := time.Now()
	for name, b := range a.buckets {
		unseen, asked := a.refresh(b, name, now)
		out.Levels[name], out.Asked[name] = b.level()-unseen, b.asked+asked
	}
	return out
}

// Restore takes over a record that is an age old. Levels that other daemons tell go
// before it.
func (a *Limiter) Restore(r Snapshot, age time.Duration) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	// By this daemon's clock: the age is taken from the instant of now.
	r.At = now.Add(-max(age, 0))
	a.kept = &r
	for name, b := range a.buckets {
		if b.adopted == 0 {
			a.restore(b, name, now)
		}
	}
}

// restore sets a bucket that nobody told of to what was written down, less all that
// was asked for since: the daemons may have lived on. A part of it that is set aside
// for daemons which are not heard is charged at once.
func (a *Limiter) restore(b *bucket, o identifier.Organisation, now time.Time) {
	if a.kept == nil {
		return
	}
	level, ok := a.kept.Levels[o]
	if !ok {
		return
	}
	level -= a.kept.Asked[o] * now.Sub(a.kept.At).Seconds()
	if level <= b.level() {
		return
	}
	own := b.own
	b.held = min(level-own, b.burst)
	b.recent.correct(b.used(level-own), now)
	b.aside = 0
}

// presumed is the most that the fleet is taken to give out of a quota in a second. A
// new process that has read a record takes the others, while it has not heard them, to
// go on with presumedAsked times what was asked for.
func (a *Limiter) presumed(o identifier.Organisation) float64 {
	if a.kept == nil || time.Since(a.start) >= joining {
		return math.Inf(1)
	}
	asked, ok := a.kept.Asked[o]
	if !ok {
		return math.Inf(1)
	}
	return presumedAsked * asked
}
