// Package promoter decides how far a service's roll-out goes: whether the new version of its
// endpoints is bad, and when the requests move to it.
//
// # What decides
//
// The answers of endpoints of the new version are compared with those of the old ones, of the
// same routes in the same time, by package [brasschute/internal/route/splitter]'s tallies of
// all daemons. An answer is bad if it failed, or came far too slowly. A version is reverted
// when so many bad ones are too unlikely had it been as good as the old one: over all routes
// or on one of them, since the order or of late, and not at a single endpoint alone.
//
// # When it moves
//
// A bad version must not have had more than its share by the order's deadline, and a good one
// must be complete by then. So most requests move as late as they can: those that would
// outlast the old endpoints for [moveTime] before these end, then all new ones, and the
// version is complete once the old endpoints have nothing left to do. Until there are enough
// answers of each route, or while they look worse than the old ones', nothing moves, whatever
// the deadline.
//
// # One holder after another
//
// A step is told to all daemons before it is stored, and what is stored goes before what a
// new holder would decide. It takes the phase from the grants that it has heard, and the
// tallies, which only rise, from the daemons.
//
// # Usage
//
//	p := promoter.New(promoter.Config{Share: 0.1})
//	for _, step := range p.Step(&promoter.Input{...}) { // several times a second
//		tell(step.Order, step.Phase, step.Ends)
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
	// moveTime is for how long requests that would outlast the old endpoints go to the new
	// ones: longer than most answers take.
	moveTime = 8 * time.Second
	// leastMove is the same where the deadline has nearly passed, or has.
	leastMove = 1500 * time.Millisecond
	// leastSwitch is how long all new requests go to the new version at the least: news of it
	// reaches nearly all daemons in half of that.
	leastSwitch = 300 * time.Millisecond
	// waitTime is how long the old endpoints are waited for that still run requests; what
	// runs longer is broken off, or goes on at the new ones where it may.
	waitTime = 10 * time.Second
	// leastPart of the old endpoints must be there of the new version before anything moves.
	leastPart = 0.5
	// leastAnswers of the new version must have come before anything moves, and leastOfRoute
	// of each route that has usualRoute of all answers or more. Where many answers of the old
	// endpoints are bad, bad ones tell less, and perBad times their part of all must have come
	// besides.
	leastAnswers = 20
	leastOfRoute = 12
	usualRoute   = 0.04
	perBad       = 100
	// lately is the span of the newest answers that are looked at besides all.
	lately = 4 * time.Second
	// looks is how often the answers are compared.
	looks = 250 * time.Millisecond
)

// Input is what a step goes by.
type Input struct {
	Now    time.Time
	Orders []splitter.Order
	// Tallies are those of each daemon's process, by a name of its own, Running what runs at
	// the old endpoints of each service.
	Tallies map[string][]splitter.Tally
	Running map[identifier.Service]int
	// Endpoints counts a service's endpoints by version.
	Endpoints func(identifier.Service) map[identifier.Version]int
}

// Step is what the holder tells of an order.
type Step struct {
	Order rollout.Rollout
	// Phase is the one from now on; Ends is when the old endpoints are to end.
	Phase rollout.Phase
	Ends  time.Time
	// Store: the phase is to be stored, and counts once it is.
	Store bool
	// Changed: the phase has changed, for Reason, by Evidence.
	Changed     bool
	Reason   string
	Evidence Evidence
}

// Config says what a bad version may get.
type Config struct {
	// MaxShare of all requests for a service, until an order's deadline.
	MaxShare float64
}

// Promoter holds what is known of the orders under way. It is not safe for concurrent use.
type Promoter struct {
	c      Config
	trials map[uint64]*trial
}

// New returns a promoter that knows no orders.
func New(c Config) *Promoter { return &Promoter{c: c, trials: make(map[uint64]*trial)} }

// trial is one order under way.
type trial struct {
	phase rollout.Phase
	// ends is when the old endpoints are to end.
	ends time.Time
	// counts are the highest tallies of each process, ended ones too.
	counts map[countKey]splitter.Tally
	looked time.Time
	// history is what was counted at each look of late, oldest first.
	history  []snapshot
	evidence Evidence
}

type countKey struct {
	process  string
	route    string
	endpoint identifier.Endpoint
}

// Step decides for all orders.
func (p *Promoter) Step(in *Input) []Step {
	var out []Step
	known := make(map[uint64]bool, len(in.Orders))
	for i := range in.Orders {
		o := &in.Orders[i]
		id := o.OrderID()
		known[id] = true
		t := p.trials[id]
		if t == nil {
			t = &trial{counts: make(map[countKey]splitter.Tally), ends: o.OldEndAt}
			if t.ends.IsZero() {
				t.ends = o.LearnedAt.Add(o.Duration - o.CutoverLead(p.c.MaxShare))
			}
			p.trials[id] = t
		}
		if step, told := t.step(o, in); told {
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

// step brings one order forward.
func (t *trial) step(o *splitter.Order, in *Input) (Step, bool) {
	t.phase = max(t.phase, o.Phase)
	if o.Stored.IsFinal() {
		return Step{}, false
	}
	t.count(o.OrderID(), in.Tallies)
	before := t.phase
	reason := t.advance(o, in)
	return Step{
		Order: o.Rollout, Phase: t.phase, Ends: t.ends, Changed: t.phase != before, Reason: reason, Evidence: t.evidence,
		Store: t.phase == rollout.Ordered || t.phase.IsFinal(),
	}, true
}

// advance takes the next phase if it is time, and says why.
func (t *trial) advance(o *splitter.Order, in *Input) string {
	if t.phase.IsFinal() || t.phase == rollout.Ordered {
		return ""
	}
	if in.Now.Sub(t.looked) >= looks {
		t.looked = in.Now
		t.evidence = t.compare(in.Now)
	}
	if t.evidence.RevertReason != "" {
		t.phase = rollout.Reverted
		return t.evidence.RevertReason
	}
	switch t.phase {
	case rollout.Trying:
		if in.Now.Before(t.ends.Add(-moveTime)) {
			return ""
		}
		if t.lacks(o, in) != "" {
			return ""
		}
		t.phase = rollout.Moving
		if earliest := in.Now.Add(leastMove); t.ends.Before(earliest) {
			t.ends = earliest
		}
		return fmt.Sprintf("as good as the old version in %d answers", t.evidence.New.Answers)
	case rollout.Moving:
		if in.Now.Before(t.ends) {
			return ""
		}
		t.phase = rollout.Switching
		return "the old endpoints are to end"
	case rollout.Switching:
		over := in.Now.Sub(t.ends)
		if over < leastSwitch || in.Running[o.Service] > 0 && over < waitTime {
			return ""
		}
		t.phase = rollout.Complete
		return fmt.Sprintf("%d requests run at the old endpoints", in.Running[o.Service])
	}
	return ""
}

// lacks says what must come before requests may move; nothing if they may.
func (t *trial) lacks(o *splitter.Order, in *Input) string {
	endpoints := in.Endpoints(o.Service)
	old := o.CountOld(endpoints)
	switch n := endpoints[o.Target]; {
	case float64(n) < leastPart*float64(old) || n == 0:
		return fmt.Sprintf("%d endpoints of the new version, %d of the old", n, old)
	case t.evidence.HoldReason != "":
		return t.evidence.HoldReason
	}
	return ""
}

// HoldReason says what keeps an order from moving on, for whoever looks at it.
func (p *Promoter) HoldReason(o *splitter.Order, in *Input) string {
	if t := p.trials[o.OrderID()]; t != nil && t.phase == rollout.Trying {
		return t.lacks(o, in)
	}
	return ""
}
