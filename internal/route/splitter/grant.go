package splitter

import (
	"time"

	"brasschute/internal/config/rollout"
	"brasschute/internal/core/identifier"
)

const (
	// grantTime is how long a grant holds: longer than news takes through a fleet (p99
	// 1.4 s). Of the time in which a bad version must be left it is grantPart at the most.
	grantTime = 2500 * time.Millisecond
	grantPart = 0.5
)

// Grant is what the holder of the duties says of an order.
type Grant struct {
	Service identifier.Service
	Target  identifier.Version
	Order   uint64
	Phase   rollout.Phase
	// Fencing and Sequence tell which of two is newer.
	Fencing, Sequence uint64
	// IssuedAt is when the holder said so, OldEndAt when the old endpoints are to end, by this
	// daemon's clock.
	IssuedAt, OldEndAt time.Time
}

func (g *Grant) newer(than *Grant) bool {
	if g.Fencing != than.Fencing {
		return g.Fencing > than.Fencing
	}
	return g.Sequence > than.Sequence
}

// ApplyGrant takes in what the holder said, from it or passed on by another daemon.
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
		s.tell([]PhaseChange{c})
	}
	return changed
}

// Grants returns what is known of all orders, to be passed on.
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

// granted tells whether the holder has lately said to go on.
func (s *Splitter) granted(v *service, now time.Time) bool {
	return v.grant.Order == v.order.OrderID() && now.Sub(v.grant.IssuedAt) < s.grantTime()
}

func (s *Splitter) grantTime() time.Duration {
	if s.c.RollbackTime <= 0 {
		return grantTime
	}
	return min(grantTime, time.Duration(grantPart*float64(s.c.RollbackTime)))
}
