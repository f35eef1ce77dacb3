// Package promoter decides how far a service's roll-out goes: whether the new version of its
// endpoints is bad, and when the requests move to it.
//
// The answers of endpoints of the new version are compared with those of the old version on the
// same routes in the same time, by the tallies that package
// [brasschute/internal/route/splitter] keeps in all daemons. An answer is bad if it failed or
// was far too slow. A version is reverted if its number of bad answers is too unlikely for a
// version as good as the old one: on all routes or on one of them, since the order or recently,
// and not at a single endpoint alone.
//
// A bad version must not have had more than its share of the requests before the order's deadline,
// and a good one must be complete at the deadline. So most requests move as late as they can: for
// [moveTime] before the old endpoints end, those requests that would outlast them, then all new
// requests; the version is complete once the old endpoints are idle. Until there are enough answers
// of each route, or while they look worse than those of the old version, no requests are moved,
// whatever the deadline.
//
// A step is sent to all daemons before it is stored, and a stored phase takes precedence over
// what a new lease holder would decide. A phase that the store has lost is stored again. A new
// lease holder takes the phase from the grants that it has received, and the tallies, which only
// rise, from the daemons.
//
// # Usage
//
//	p := promoter.New(promoter.Config{MaxShare: 0.1})
//	for _, step := range p.Step(&promoter.Input{...}) { // several times a second
//		announce(step.Order, step.Phase, step.Ends)
//		if step.Store { store(step.Order, step.Phase) }
//	}
package promoter

import (
	"fmt"
	"time"

	"brasschute/internal/config/rollout"
	"brasschute/internal/core/identifier"
	"brasschute/internal/route/splitter"
)

const (
	// moveTime is for how long requests that would outlast the old endpoints are sent to the
	// new ones: longer than most answers take.
	moveTime = 8 * time.Second
	// minMoveTime replaces moveTime where the deadline is near or has passed.
	minMoveTime = 1500 * time.Millisecond
	// minSwitchTime is the least time for which all new requests go to the new version. Gossip
	// of it reaches nearly all daemons in half of that.
	minSwitchTime = 300 * time.Millisecond
	// maxDrainTime is how long old endpoints with running requests are waited for. Requests
	// that run longer are broken off, or resumed at the new endpoints where possible.
	maxDrainTime = 10 * time.Second
	// minNewFraction is the number of endpoints of the new version, as a fraction of the old
	// ones, that must be listed before any requests move.
	minNewFraction = 0.5
	// minAnswers of the new version are needed before any requests move, and minRouteAnswers on
	// each route that has at least commonRouteFraction of all answers. Where many answers of the
	// old version are bad, a bad one is weaker evidence, so answersPerBadFraction times their
	// fraction are needed in addition.
	minAnswers            = 20
	minRouteAnswers       = 12
	commonRouteFraction   = 0.04
	answersPerBadFraction = 100
	// recentWindow is the span of the newest answers that are compared in addition to all
	// answers.
	recentWindow = 4 * time.Second
	// compareInterval is how often the answers are compared.
	compareInterval = 250 * time.Millisecond
)

// Input holds the inputs of [Promoter.Step].
type Input struct {
	Now    time.Time
	Orders []splitter.Order
	// Tallies holds the tallies of each daemon process under a unique name, Running the number
	// of requests running at the old endpoints of each service.
	Tallies map[string][]splitter.Tally
	Running map[identifier.Service]int
	// Endpoints returns the number of a service's endpoints of each version.
	Endpoints func(identifier.Service) map[identifier.Version]int
}

// Step is what the lease holder announces about an order.
type Step struct {
	Order rollout.Rollout
	// Phase is the current phase; Ends is when the old endpoints are to end.
	Phase rollout.Phase
	Ends  time.Time
	// Store is set if the phase is to be stored; the phase takes effect once it is stored.
	Store bool
	// Changed is set if the phase has changed, for Reason, on the basis of Evidence.
	Changed  bool
	Reason   string
	Evidence Evidence
}

// Config limits the requests to a bad version.
type Config struct {
	// MaxShare is the largest share of a service's requests that may go to a new version before
	// an order's deadline.
	MaxShare float64
}

// Promoter holds the state of the orders in progress. It is not safe for concurrent use.
type Promoter struct {
	c      Config
	trials map[uint64]*trial
}

// New returns a Promoter without any orders.
func New(c Config) *Promoter { return &Promoter{c: c, trials: make(map[uint64]*trial)} }

// trial is the state of one order in progress.
type trial struct {
	phase rollout.Phase
	// oldEnd is when the old endpoints are to end.
	oldEnd time.Time
	// counts are the highest tallies of each process, also of processes that have ended.
	counts     map[countKey]splitter.Tally
	comparedAt time.Time
	// history holds the snapshots of recentWindow, oldest first.
	history  []snapshot
	evidence Evidence
}

type countKey struct {
	process  string
	route    string
	endpoint identifier.Endpoint
}

// Step advances all orders and returns what is to be announced about them.
func (p *Promoter) Step(in *Input) []Step {
	var out []Step
	known := make(map[uint64]bool, len(in.Orders))
	for i := range in.Orders {
		o := &in.Orders[i]
		id := o.OrderID()
		known[id] = true
		t := p.trials[id]
		if t == nil {
			t = &trial{counts: make(map[countKey]splitter.Tally), oldEnd: o.OldEndAt}
			if t.oldEnd.IsZero() {
				t.oldEnd = o.LearnedAt.Add(o.Duration - o.CutoverLead(p.c.MaxShare))
			}
			p.trials[id] = t
		}
		if step, announce := t.step(o, in); announce {
			out = append(out, step)
		}
	}
	for id := range p.trials {
		if !known[id] {
			delete(p.trials, id)
		}
	}
	return out
}

// step advances one order. It returns false if there is nothing to announce.
func (t *trial) step(o *splitter.Order, in *Input) (Step, bool) {
	t.phase = max(t.phase, o.Phase)
	if o.Stored.IsFinal() && !o.Lost {
		return Step{}, false
	}
	t.merge(o.OrderID(), in.Tallies)
	before := t.phase
	reason := t.advance(o, in)
	return Step{
		Order: o.Rollout, Phase: t.phase, Ends: t.oldEnd, Changed: t.phase != before, Reason: reason, Evidence: t.evidence,
		Store: t.phase == rollout.Ordered || t.phase.IsFinal() || o.Lost,
	}, true
}

// advance moves to the next phase if it is due, and returns the reason.
func (t *trial) advance(o *splitter.Order, in *Input) string {
	if t.phase.IsFinal() || t.phase == rollout.Ordered {
		return ""
	}
	if in.Now.Sub(t.comparedAt) >= compareInterval {
		t.comparedAt = in.Now
		t.evidence = t.compare(in.Now)
	}
	if t.evidence.RevertReason != "" {
		t.phase = rollout.Reverted
		return t.evidence.RevertReason
	}
	switch t.phase {
	case rollout.Canary:
		if in.Now.Before(t.oldEnd.Add(-moveTime)) {
			return ""
		}
		if t.holdReason(o, in) != "" {
			return ""
		}
		t.phase = rollout.Migrating
		if earliest := in.Now.Add(minMoveTime); t.oldEnd.Before(earliest) {
			t.oldEnd = earliest
		}
		return fmt.Sprintf("as good as the old version in %d answers", t.evidence.New.Answers)
	case rollout.Migrating:
		if in.Now.Before(t.oldEnd) {
			return ""
		}
		t.phase = rollout.Switching
		return "the old endpoints are to end"
	case rollout.Switching:
		over := in.Now.Sub(t.oldEnd)
		if over < minSwitchTime || in.Running[o.Service] > 0 && over < maxDrainTime {
			return ""
		}
		t.phase = rollout.Complete
		return fmt.Sprintf("%d requests run at the old endpoints", in.Running[o.Service])
	}
	return ""
}

// holdReason returns what prevents requests from moving to the new version, empty if they may.
func (t *trial) holdReason(o *splitter.Order, in *Input) string {
	endpoints := in.Endpoints(o.Service)
	old := o.CountOld(endpoints)
	switch n := endpoints[o.Target]; {
	case float64(n) < minNewFraction*float64(old) || n == 0:
		return fmt.Sprintf("%d endpoints of the new version, %d of the old", n, old)
	case t.evidence.HoldReason != "":
		return t.evidence.HoldReason
	}
	return ""
}

// HoldReason returns what keeps an order in its canary phase, for display; empty if nothing does
// or the order is not in that phase.
func (p *Promoter) HoldReason(o *splitter.Order, in *Input) string {
	if t := p.trials[o.OrderID()]; t != nil && t.phase == rollout.Canary {
		return t.holdReason(o, in)
	}
	return ""
}
