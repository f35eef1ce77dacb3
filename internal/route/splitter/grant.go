package splitter

import (
	"time"

	"brasschute/internal/config/rollout"
	"brasschute/internal/core/identifier"
)

const (
	// grantTime is how long a grant is valid: longer than gossip takes to cross the fleet (p99 1.4
	// s). It is limited to grantFraction of the time in which a bad version must be reverted.
	grantTime     = 2500 * time.Millisecond
	grantFraction = 0.5
)

// Grant is the lease holder's current decision about a roll-out order.
type Grant struct {
	Service identifier.Service
	Target  identifier.Version
	Order   uint64
	Phase   rollout.Phase
	// Fencing, the holder's fencing number, and then Sequence tell which of two grants is newer.
	Fencing, Sequence uint64
	// IssuedAt is when the holder issued the grant. OldEndAt is when the old endpoints are due to
	// end. Both are times of this daemon's clock.
	IssuedAt, OldEndAt time.Time
}

// newer reports whether g was issued after than.
func (g *Grant) newer(than *Grant) bool {
	if g.Fencing != than.Fencing {
		return g.Fencing > than.Fencing
	}
	return g.Sequence > than.Sequence
}

// ApplyGrant applies a grant that came from the holder or was passed on by another daemon. It
// reports whether the phase of the roll-out changed. The furthest known phase is kept even if the
// grant is older.
func (s *Splitter) ApplyGrant(g *Grant, source string) (news bool) {
	s.mu.Lock()
	v := s.services[g.Service]
	if v == nil || g.Order != v.order.OrderID() || v.grant.Order == g.Order && !g.newer(&v.grant) && g.Phase <= v.grant.Phase {
		s.mu.Unlock()
		return false
	}
	before := v.phase()
	next := *g
	if v.grant.Order == g.Order {
		if !g.newer(&v.grant) {
			next = v.grant
		}
		next.Phase = max(g.Phase, v.grant.Phase)
	}
	v.grant = next
	now := s.c.Now()
	c, changed := v.change(before, source, now, now.Sub(g.IssuedAt))
	s.mu.Unlock()
	if changed {
		s.notify([]PhaseChange{c})
	}
	return changed
}

// Grants returns the grants of all orders, to be passed on to other daemons.
func (s *Splitter) Grants() []Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Grant
	for _, v := range s.services {
		if v.grant.Order == v.order.OrderID() {
			out = append(out, v.grant)
		}
	}
	return out
}

// granted reports whether the holder has granted the roll-out recently enough.
func (s *Splitter) granted(v *service, now time.Time) bool {
	return v.grant.Order == v.order.OrderID() && now.Sub(v.grant.IssuedAt) < s.grantTime()
}

// grantTime returns how long a grant is valid, given the configured RevertTime.
func (s *Splitter) grantTime() time.Duration {
	if s.c.RevertTime <= 0 {
		return grantTime
	}
	return min(grantTime, time.Duration(grantFraction*float64(s.c.RevertTime)))
}
