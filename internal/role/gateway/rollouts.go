package gateway

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"brasschute/internal/config/rollout"
	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/fleet/promoter"
	"brasschute/internal/peer/gatherer"
	"brasschute/internal/peer/roster"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/platform/object"
	"brasschute/internal/route/splitter"
	"brasschute/platform"
)

const (
	// rolloutPause is how often the holder of the duties looks at the orders: several times
	// in the half second for which all requests go to a new version before it is complete.
	rolloutPause = 100 * time.Millisecond
	// rolloutWatch is how long a watch of the orders stays open at the least: they come seldom,
	// and each watch has its price. Half of it is the most by which it lasts longer, so that
	// the followers of a fleet do not all hear nothing of a dropped history for as long.
	rolloutWatch = 12 * time.Second
	// storeAgain is the pause before a state is stored again that could not be.
	storeAgain = 500 * time.Millisecond
	// lackPause is how often it is written down what keeps a version from moving on.
	lackPause = 5 * time.Second
)

// rolloutsRevision is that up to which the orders are known.
func (g *Gateway) rolloutsRevision() uint64 { return g.mirror.Revision(platform.RolloutKind) }

// rolloutsChanged takes in what changed of the orders.
func (g *Gateway) rolloutsChanged(objects []object.Object, source string) {
	orders := make(map[identifier.Service]*rollout.Rollout, len(objects))
	for i := range objects {
		o := &objects[i]
		name := identifier.Service(strings.TrimPrefix(o.Key, platform.RolloutKind+"/"))
		if o.Deleted {
			g.c.Logger.Info("roll-out not ordered any more", "service", name, "revision", o.Version, "source", source)
			orders[name] = nil
			continue
		}
		r, err := platform.DecodeRollout(o)
		if err != nil {
			// The order before it, if any, stays what it was.
			g.unreadable([]error{err})
			continue
		}
		orders[name] = r
	}
	g.splitter.ApplyOrders(orders, source)
}

// rolloutChanged writes down what this daemon takes for the phase of a roll-out from now on.
func (g *Gateway) rolloutChanged(c splitter.PhaseChange) {
	g.scope.Tagged(map[string]string{"service": string(c.Service), "phase": c.After.String()}).Counter("rollout_phases").Inc(1)
	g.c.Logger.Info("roll-out", "service", c.Service, "target", c.Target, "order", orderName(c.Order), "phase", c.After, "before", c.Before,
		"source", c.Source, "age_ms", c.Age.Milliseconds())
}

// rolloutCounted counts what came of a request to a service that is rolled out.
func (g *Gateway) rolloutCounted(r *splitter.Run, isTarget, slow bool) {
	side, outcome := "old", "answered"
	if isTarget {
		side = "new"
	}
	switch {
	case r.Outcome == splitter.Failed:
		outcome = "failed"
	case slow:
		outcome = "slow"
	}
	g.scope.Tagged(map[string]string{"service": string(r.Service), "version": side, "outcome": outcome}).Counter("rollout_answers").Inc(1)
}

// orderName is how an order is written.
func orderName(order uint64) string { return strconv.FormatUint(order, 16) }

// rolloutNews is what this daemon knows of all orders, to be passed on.
func (g *Gateway) rolloutNews() []*rpc.Rollout {
	now := g.uptime()
	granted := make(map[uint64]splitter.Grant)
	for _, grant := range g.splitter.Grants() {
		granted[grant.Order] = grant
	}
	var out []*rpc.Rollout
	for _, o := range g.splitter.Orders() {
		id := o.OrderID()
		grant := granted[id]
		r := &rpc.Rollout{Service: string(o.Service), Target: string(o.Target), Order: id, Revision: g.rolloutsRevision()}
		if grant.Order == id {
			r.Phase, r.Fencing, r.Beat = uint32(grant.Phase), grant.Fencing, grant.Sequence
			r.AgeMilli, r.LeftMilli = now.Sub(grant.IssuedAt).Milliseconds(), grant.OldEndAt.Sub(now).Milliseconds()
		}
		out = append(out, r)
	}
	return out
}

// hearRollouts takes in what a peer knows of the orders. One that this daemon does not know,
// or knows less of, is fetched.
func (g *Gateway) hearRollouts(list []*rpc.Rollout, host, address string) {
	now := g.uptime()
	news := false
	for _, r := range list {
		if g.rolloutsRevision() < r.GetRevision() {
			g.orders.Want(address, r.GetRevision())
		}
		if r.GetFencing() == 0 || rollout.Phase(r.GetPhase()) > rollout.Reverted || r.GetAgeMilli() < 0 {
			continue
		}
		news = g.splitter.ApplyGrant(&splitter.Grant{
			Service: identifier.Service(r.GetService()), Target: identifier.Version(r.GetTarget()), Order: r.GetOrder(),
			Phase: rollout.Phase(r.GetPhase()), Fencing: r.GetFencing(), Sequence: r.GetBeat(),
			IssuedAt: now.Add(-time.Duration(r.GetAgeMilli()) * time.Millisecond), OldEndAt: now.Add(time.Duration(r.GetLeftMilli()) * time.Millisecond),
		}, host) || news
	}
	if news {
		g.swapper.TriggerNotes(g.large() && g.relaying())
	}
}

// trials are what this daemon's requests met since the orders.
func (g *Gateway) trials() []*rpc.Trial {
	var out []*rpc.Trial
	for _, t := range g.splitter.Tallies() {
		out = append(out, &rpc.Trial{
			Service: string(t.Service), Order: t.Order, Route: t.Route, Endpoint: string(t.Endpoint),
			Sent: uint32(t.Sent), Answers: uint32(t.Answers), Failed: uint32(t.Failed), Slow: uint32(t.Slow),
			Ended: uint32(t.Ended),
		})
	}
	return out
}

// tallies are the trials of all daemons, by process. What processes run that have not been
// heard for a while has ended with them, or is out of reach.
func (u *duties) tallies() (out map[string][]splitter.Tally, running map[identifier.Service]int) {
	out, running = make(map[string][]splitter.Tally), make(map[identifier.Service]int)
	now := time.Now()
	take := func(d *rpc.Digest, heard time.Time) {
		name := d.GetHost() + "/" + strconv.FormatUint(d.GetIncarnation(), 16)
		if _, twice := out[name]; twice {
			return
		}
		for _, t := range d.GetTrials() {
			if t.GetEndpoint() == "" && now.Sub(heard) < roster.LivenessTimeout {
				running[identifier.Service(t.GetService())] += int(t.GetSent()) - int(t.GetEnded())
			}
			out[name] = append(out[name], splitter.Tally{
				Service: identifier.Service(t.GetService()), Order: t.GetOrder(), Route: t.GetRoute(), Endpoint: identifier.Endpoint(t.GetEndpoint()),
				Sent: int(t.GetSent()), Answers: int(t.GetAnswers()), Failed: int(t.GetFailed()), Slow: int(t.GetSlow()),
				Ended: int(t.GetEnded()),
			})
		}
	}
	d := u.g.c.Deployment
	take(&rpc.Digest{Host: string(d.Host), Incarnation: uint64(u.g.started.UnixNano()), Trials: u.g.trials()}, now)
	entries := slices.Concat(u.g.gatherer.Entries(now), u.g.parts.Entries(now))
	slices.SortFunc(entries, func(a, b gatherer.Entry) int { return cmp.Compare(b.Digest.GetSequence(), a.Digest.GetSequence()) })
	for _, e := range entries {
		// Across zones daemons tell no trials but through their relays.
		if len(e.Digest.GetTrials()) > 0 {
			take(e.Digest, e.ReceivedAt)
		}
	}
	return out, running
}

// keepRollouts brings the ordered roll-outs forward while the duties are held. It has a loop
// of its own: a store that is slow must hold up no verdict on a version.
func (u *duties) keepRollouts(ctx context.Context) error {
	return waiter.Every(ctx, rolloutPause, func(ctx context.Context) {
		fencing, held := u.g.lease.Held()
		if !held || u.g.stopping.Load() {
			return
		}
		orders := u.g.splitter.Orders()
		if len(orders) == 0 {
			return
		}
		tallies, running := u.tallies()
		in := &promoter.Input{Now: u.g.uptime(), Orders: orders, Tallies: tallies, Running: running, Endpoints: u.g.versions}
		hurry := false
		for _, step := range u.promoter.Step(in) {
			hurry = u.rolloutStep(ctx, fencing, &step) || hurry
		}
		if hurry {
			u.g.swapper.TriggerNotes(true)
		}
		u.explainLacks(in)
	})
}

// rolloutStep tells one step to all daemons and stores it. It reports whether they should
// know at once.
func (u *duties) rolloutStep(ctx context.Context, fencing uint64, s *promoter.Step) (hurry bool) {
	u.beat++
	told := s.Phase
	if told == rollout.Complete {
		// What is complete ends the old endpoints, and is so once it is stored.
		told = rollout.Switching
	}
	u.g.splitter.ApplyGrant(&splitter.Grant{
		Service: s.Order.Service, Target: s.Order.Target, Order: s.Order.OrderID(), Phase: told,
		Fencing: fencing, Sequence: u.beat, IssuedAt: u.g.uptime(), OldEndAt: s.Ends,
	}, string(u.g.c.Deployment.Host))
	if s.Changed {
		u.g.scope.Tagged(map[string]string{"service": string(s.Order.Service), "phase": s.Phase.String()}).Counter("rollouts_decided").Inc(1)
		u.g.c.Logger.Info("roll-out decided", "service", s.Order.Service, "target", s.Order.Target, "order", orderName(s.Order.OrderID()),
			"phase", s.Phase, "reason", s.Reason, "new", s.Evidence.New, "old", s.Evidence.Old, "fencing", fencing,
			"ends_in_ms", s.Ends.Sub(u.g.uptime()).Milliseconds())
	}
	if s.Store {
		u.storeRollout(ctx, s)
	}
	return s.Changed
}

// storeRollout writes the state of an order, unless another one stands there already.
func (u *duties) storeRollout(ctx context.Context, s *promoter.Step) {
	if u.storing.Swap(true) {
		return
	}
	go func() {
		defer u.storing.Store(false)
		key := platform.RolloutKind + "/" + string(s.Order.Service)
		o, err := u.g.store.PutStatus(ctx, key, s.Order.Revision, platform.RolloutStatus(&s.Order, s.Phase))
		if errors.Is(err, object.ErrConflict) || errors.Is(err, object.ErrUnknown) {
			// Another holder wrote it, the operator ordered anew, or the answer was lost: what
			// stands there decides what is written next.
			o, err = u.g.store.Get(ctx, key)
		}
		if err != nil {
			u.g.c.Logger.Warn("state of a roll-out not stored", "service", s.Order.Service, "phase", s.Phase, "error", err)
			waiter.For(ctx, storeAgain)
			return
		}
		u.g.take([]object.Object{o})
	}()
}

// explainLacks writes down now and then what keeps versions from moving on after the time at
// which they should.
func (u *duties) explainLacks(in *promoter.Input) {
	for i := range in.Orders {
		o := &in.Orders[i]
		if o.Phase != rollout.Trying || in.Now.Before(o.LearnedAt.Add(o.Duration)) || in.Now.Sub(u.lacksTold) < lackPause {
			continue
		}
		if lacks := u.promoter.HoldReason(o, in); lacks != "" {
			u.lacksTold = in.Now
			u.g.c.Logger.Warn("roll-out behind its deadline", "service", o.Service, "target", o.Target, "order", orderName(o.OrderID()),
				"late_ms", in.Now.Sub(o.LearnedAt.Add(o.Duration)).Milliseconds(), "lacks", lacks)
		}
	}
}

// versions counts a service's endpoints by version.
func (g *Gateway) versions(s identifier.Service) map[identifier.Version]int {
	return g.registry.VersionCounts(identifier.Pool(s))
}
