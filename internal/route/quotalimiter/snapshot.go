package quotalimiter

import (
	"math"
	"time"

	"brasschute/internal/core/identifier"
)

// snapshotParts is the number of parts in which a snapshot holds the charges of a window.
const snapshotParts = 16

// spentGrowth is how much more than at the time of a snapshot is presumed to have been asked for since then, up to what was
// left: a sudden load may have begun just before.
const spentGrowth = 2

// presumedGrowth leaves room for a load that grows during the restart.
const presumedGrowth = 1.5

// Snapshot is the state of all quotas as stored for processes that start when no peer is left to
// report levels.
//
// Without it, after a loss of all processes each new one admitted only its equal share of the
// refill, a seventh in a fleet of seven, until updates of its peers arrived: for three quarters of
// a second, a third of all requests was refused at a fifth of the quotas.
type Snapshot struct {
	// At is when the snapshot was taken, by the clock that the daemons share.
	At time.Time
	// Levels is what was left of each organisation's allowance, Asked the demand per second.
	Levels map[identifier.Organisation]float64
	Asked  map[identifier.Organisation]float64
	// Recent is what was charged within the window that ends at At, in equal parts of the window, the oldest first. Daemons of
	// the version before don't store it.
	Recent map[identifier.Organisation][]float64
}

// minFall is the part of an allowance by which a level has fallen steeply.
const minFall = 0.05

// FallsSteeply reports whether some level is so far below that of an earlier snapshot that new processes would know too little
// from that one.
func (s *Snapshot) FallsSteeply(before *Snapshot) bool {
	for name, level := range s.Levels {
		allowance := level
		for _, charged := range s.Recent[name] {
			allowance += charged
		}
		if before.Levels[name]-level > minFall*allowance {
			return true
		}
	}
	return false
}

// Snapshot returns the state to store.
func (l *Limiter) Snapshot(at time.Time) Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := Snapshot{
		At: at, Levels: make(map[identifier.Organisation]float64), Asked: make(map[identifier.Organisation]float64),
		Recent: make(map[identifier.Organisation][]float64),
	}
	now := time.Now()
	for name, b := range l.buckets {
		unreported, peerDemand := l.refresh(b, name, now)
		out.Levels[name], out.Asked[name] = b.level()-unreported, b.localDemand+peerDemand
		out.Recent[name] = b.recent.parts(snapshotParts)
		out.Recent[name][snapshotParts-1] += unreported
	}
	return out
}

// Restore adopts a snapshot of a given age. Levels reported by peers take precedence.
func (l *Limiter) Restore(s Snapshot, age time.Duration) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	// Converts the time to this daemon's clock.
	s.At = now.Add(-max(age, 0))
	l.restored = &s
	for name, b := range l.buckets {
		if b.adopted == 0 {
			l.restoreBucket(b, name, now)
		}
	}
}

// restoreBucket sets a bucket for which no peer has reported a level to the stored level, less what the earlier daemons may
// have admitted since then. The fraction reserved for peers from which no recent update has arrived is charged at once.
func (l *Limiter) restoreBucket(b *bucket, o identifier.Organisation, now time.Time) {
	if l.restored == nil {
		return
	}
	level, ok := l.restored.Levels[o]
	if !ok {
		return
	}
	if recent := l.restored.Recent[o]; len(recent) > 0 {
		l.restoreWindow(b, o, level, recent, now)
		return
	}
	level -= l.restored.Asked[o] * now.Sub(l.restored.At).Seconds()
	if level <= b.level() {
		return
	}
	charged := b.charged
	b.tokens = min(level-charged, b.burst)
	b.recent.rescale(b.minCharged(level-charged), now)
	b.reserved = 0
}

// restoreWindow sets a bucket to a stored level and the charges of the window before it. The charges keep their times: spread
// over the window, those of a sudden load would leave it as soon as it began to move.
func (l *Limiter) restoreWindow(b *bucket, o identifier.Organisation, level float64, recent []float64, now time.Time) {
	age := now.Sub(l.restored.At)
	refilled := b.rate * age.Seconds()
	spent := max(min(spentGrowth*l.restored.Asked[o]*age.Seconds(), max(level, 0)+refilled), 0)
	b.recent.fill(recent, l.restored.At)
	b.recent.advance(now)
	b.recent.add(spent + b.charged)
	b.shaped = true
	b.tokens = min(level+refilled-spent, b.burst) - b.charged
	b.reserved = 0
}

// presumedRate returns the most that the fleet is assumed to admit per second. A new process that
// has restored a snapshot assumes, until updates of its peers arrive, that they go on with
// presumedGrowth times the stored demand.
func (l *Limiter) presumedRate(o identifier.Organisation) float64 {
	if l.restored == nil || time.Since(l.start) >= joinTime {
		return math.Inf(1)
	}
	demand, ok := l.restored.Asked[o]
	if !ok {
		return math.Inf(1)
	}
	return presumedGrowth * demand
}
