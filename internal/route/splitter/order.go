package splitter

import (
	"maps"
	"slices"
	"time"

	"brasschute/internal/config/rollout"
	"brasschute/internal/core/identifier"
)

// PhaseChange is a change of the phase of a roll-out at this daemon.
type PhaseChange struct {
	Service         identifier.Service
	Target          identifier.Version
	Order           uint64
	Previous, After rollout.Phase
	// Source is the store or the host that reported the phase. Age is the time since the report.
	Source string
	Age    time.Duration
}

// service is the state of a service with a roll-out order.
type service struct {
	order rollout.Rollout
	// abandoned holds the target versions of earlier orders that did not become complete.
	// previousStored is the stored phase of an earlier order of the same version: until another
	// phase is stored, the store has none of this order.
	abandoned      map[identifier.Version]bool
	previousStored rollout.Phase
	// lost: the store came back from a copy that has less than the stored phase.
	lost  bool
	grant Grant
	// canaryBudget is the number of canary requests that may still be sent. moveBudget is the
	// number of requests that may still move to the version because they would outlast the old
	// endpoints. requests counts requests since the order, routes counts them by route.
	canaryBudget, moveBudget float64
	requests                 int
	routes                   map[string]int
	// orderedAt is when the order became known, changedAt when its phase last changed.
	orderedAt, changedAt time.Time
	tally                map[tallyKey]*Tally
	// usual holds the usual duration of answers, by route.
	usual map[string]usual
}

// ApplyOrders applies stored roll-out orders. A nil order has been removed from the store. source
// names where the orders came from.
func (s *Splitter) ApplyOrders(orders map[identifier.Service]*rollout.Rollout, source string) {
	var changes []PhaseChange
	s.mu.Lock()
	now := s.c.Now()
	for name, r := range orders {
		if r == nil {
			delete(s.services, name)
			continue
		}
		if c, changed := s.apply(r, source, now); changed {
			changes = append(changes, c)
		}
	}
	s.known = true
	s.mu.Unlock()
	s.notify(changes)
}

// OrdersKnown reports whether the orders have been read, even if there are none.
func (s *Splitter) OrdersKnown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known
}

// notify calls OnPhaseChange for each change. The caller must not hold the lock.
func (s *Splitter) notify(changes []PhaseChange) {
	for _, c := range changes {
		s.c.OnPhaseChange(c)
	}
}

// apply applies one order. The caller holds the lock.
func (s *Splitter) apply(r *rollout.Rollout, source string, now time.Time) (PhaseChange, bool) {
	v := s.services[r.Service]
	switch {
	case v == nil:
		v = s.begin(r, now)
	case r.Revision <= v.order.Revision:
		return PhaseChange{}, false
	case r.OrderID() != v.order.OrderID():
		before := v
		v = s.begin(r, now)
		v.abandoned = before.abandoned
		if r.Target == before.order.Target {
			v.previousStored, v.order.Stored = r.Stored, rollout.Ordered
		} else if before.phase() != rollout.Complete {
			v.abandoned[before.order.Target] = true
		}
		delete(v.abandoned, r.Target)
	default:
		before := v.phase()
		v.order.Revision = r.Revision
		if r.Stored != v.previousStored {
			v.previousStored, v.order.Stored = rollout.Ordered, max(v.order.Stored, r.Stored)
		}
		v.lost = r.Stored < v.order.Stored
		return v.change(before, source, now, 0)
	}
	return PhaseChange{Service: r.Service, Target: r.Target, Order: r.OrderID(), After: v.phase(), Source: source}, true
}

// begin starts the state of a new order. The caller holds the lock.
func (s *Splitter) begin(r *rollout.Rollout, now time.Time) *service {
	v := &service{
		order: *r, abandoned: make(map[identifier.Version]bool), routes: make(map[string]int), orderedAt: now, changedAt: now,
		tally: make(map[tallyKey]*Tally), usual: make(map[string]usual),
		// The budgets start anywhere between zero and one request, so that all daemons together
		// send neither more nor fewer requests than they have earned.
		canaryBudget: s.c.Random(), moveBudget: s.c.Random(),
	}
	if s.known {
		// A process that starts during an order gets no part of the slack, which has been divided
		// among the others.
		v.canaryBudget += slackFraction * s.c.CanarySlack / float64(max(s.c.Daemons(), 1))
	}
	s.services[r.Service] = v
	return v
}

// phase returns the furthest phase that the store or the holder has reported.
func (v *service) phase() rollout.Phase {
	if v.grant.Order == v.order.OrderID() {
		return max(v.order.Stored, v.grant.Phase)
	}
	return v.order.Stored
}

// change returns the change of the phase since before, and whether there is one. age is the time since
// source reported it.
func (v *service) change(before rollout.Phase, source string, now time.Time, age time.Duration) (PhaseChange, bool) {
	after := v.phase()
	if after != before {
		v.changedAt = now
	}
	return PhaseChange{
		Service: v.order.Service, Target: v.order.Target, Order: v.order.OrderID(), Previous: before, After: after, Source: source, Age: age,
	}, after != before
}

// Order is this daemon's state of a roll-out order.
type Order struct {
	// Rollout has the furthest known phase.
	rollout.Rollout
	// Lost is set if the store had the phase Stored and, restored from a copy, has it no more.
	Lost bool
	// LearnedAt is when this daemon learned of the order. GrantedAt is when the holder issued the
	// last grant.
	LearnedAt, GrantedAt time.Time
	// OldEndAt is when the old endpoints are due to end, according to the last grant; zero without
	// a grant.
	OldEndAt time.Time
	// Requests counts this daemon's requests since LearnedAt. CanaryBudget is the number of canary
	// requests that it may still send.
	Requests     int
	CanaryBudget float64
}

// Orders returns the known orders, ordered by service.
func (s *Splitter) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Order
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		v := s.services[name]
		o := Order{Rollout: v.order, Lost: v.lost, LearnedAt: v.orderedAt, Requests: v.requests, CanaryBudget: v.canaryBudget}
		o.Phase = v.phase()
		if v.grant.Order == o.OrderID() {
			o.GrantedAt, o.OldEndAt = v.grant.IssuedAt, v.grant.OldEndAt
		}
		out = append(out, o)
	}
	return out
}
