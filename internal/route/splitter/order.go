package splitter

import (
	"maps"
	"slices"
	"time"

	"brasschute/internal/config/rollout"
	"brasschute/internal/core/identifier"
)

// PhaseChange is a change of what this daemon takes for the phase of a roll-out.
type PhaseChange struct {
	Service       identifier.Service
	Target        identifier.Version
	Order         uint64
	Before, After rollout.Phase
	// Source is the store or the host that said so, Age how long ago it was said.
	Source string
	Age    time.Duration
}

// service is one whose roll-out was ordered.
type service struct {
	order rollout.Rollout
	// left are versions of earlier orders that did not become complete. former is the stored
	// phase of an earlier order of the same version: until another one is stored, the store
	// has none of this order.
	left   map[identifier.Version]bool
	former rollout.Phase
	grant  Grant
	// earned is what is left to spend on trials, moves on requests that outlast; asked
	// counts requests since the order, routes them by route.
	earned, moves float64
	asked         int
	routes        map[string]int
	// ordered is when the order came, changed when its phase last did.
	ordered, changed time.Time
	tally            map[tallyKey]*Tally
	// usual is by route.
	usual map[string]usual
}

// ApplyOrders takes in the orders as they are stored; a nil one is not stored any more. source says
// who told.
func (s *Splitter) ApplyOrders(orders map[identifier.Service]*rollout.Rollout, source string) {
	var changes []PhaseChange
	s.mu.Lock()
	now := s.c.Now()
	for name, r := range orders {
		if r == nil {
			delete(s.services, name)
			continue
		}
		if c, changed := s.put(r, source, now); changed {
			changes = append(changes, c)
		}
	}
	s.known = true
	s.mu.Unlock()
	s.tell(changes)
}

// OrdersKnown tells whether the orders are known, be there some or none.
func (s *Splitter) OrdersKnown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known
}

func (s *Splitter) tell(changes []PhaseChange) {
	for _, c := range changes {
		s.c.OnPhaseChange(c)
	}
}

// put takes in one order. The caller holds the lock.
func (s *Splitter) put(r *rollout.Rollout, source string, now time.Time) (PhaseChange, bool) {
	v := s.services[r.Service]
	switch {
	case v == nil:
		v = s.begin(r, now)
	case r.Revision <= v.order.Revision:
		return PhaseChange{}, false
	case r.OrderID() != v.order.OrderID():
		before := v
		v = s.begin(r, now)
		v.left = before.left
		if r.Target == before.order.Target {
			v.former, v.order.Stored = r.Stored, rollout.Ordered
		} else if before.phase() != rollout.Complete {
			v.left[before.order.Target] = true
		}
		delete(v.left, r.Target)
	default:
		before := v.phase()
		v.order.Revision = r.Revision
		if r.Stored != v.former {
			v.former, v.order.Stored = rollout.Ordered, max(v.order.Stored, r.Stored)
		}
		return v.change(before, source, now, 0)
	}
	return PhaseChange{Service: r.Service, Target: r.Target, Order: r.OrderID(), After: v.phase(), Source: source}, true
}

func (s *Splitter) begin(r *rollout.Rollout, now time.Time) *service {
	v := &service{
		order: *r, left: make(map[identifier.Version]bool), routes: make(map[string]int), ordered: now, changed: now,
		tally: make(map[tallyKey]*Tally), usual: make(map[string]usual),
		// At the order, what is earned stands anywhere between nothing and a whole trial,
		// so that all daemons together send neither more nor fewer than they earn.
		earned: s.c.Random(), moves: s.c.Random(),
	}
	if s.known {
		// A process that starts during an order takes nothing: others were dealt its part.
		v.earned += slackPart * s.c.CanarySlack / float64(max(s.c.Daemons(), 1))
	}
	s.services[r.Service] = v
	return v
}

// phase is the furthest that is known, from the store or the holder.
func (v *service) phase() rollout.Phase {
	if v.grant.Order == v.order.OrderID() {
		return max(v.order.Stored, v.grant.Phase)
	}
	return v.order.Stored
}

func (v *service) change(before rollout.Phase, source string, now time.Time, age time.Duration) (PhaseChange, bool) {
	after := v.phase()
	if after != before {
		v.changed = now
	}
	return PhaseChange{
		Service: v.order.Service, Target: v.order.Target, Order: v.order.OrderID(), Before: before, After: after, Source: source, Age: age,
	}, after != before
}

// Order is one that this daemon knows.
type Order struct {
	// Rollout has the furthest phase that is known.
	rollout.Rollout
	// LearnedAt is when this daemon learned of it, GrantedAt when the holder last said to go on.
	LearnedAt, GrantedAt time.Time
	// OldEndAt is when the old endpoints are to end, as the holder said last; zero if none did.
	OldEndAt time.Time
	// Requests counts this daemon's requests since then, Earned what is left to spend on trials.
	Requests  int
	CanaryBudget float64
}

// Orders returns the orders as they are known, by service.
func (s *Splitter) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Order
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		v := s.services[name]
		o := Order{Rollout: v.order, LearnedAt: v.ordered, Requests: v.asked, CanaryBudget: v.earned}
		o.Phase = v.phase()
		if v.grant.Order == o.OrderID() {
			o.GrantedAt, o.OldEndAt = v.grant.IssuedAt, v.grant.OldEndAt
		}
		out = append(out, o)
	}
	return out
}
