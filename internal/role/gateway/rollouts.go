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
	// rolloutInterval is how often the lease holder evaluates the roll-outs: several times in the
	// half second for which all requests go to a new version before it is complete.
	rolloutInterval = 100 * time.Millisecond
	// minRolloutWatch is the shortest time that a watch of roll-out orders stays open. Orders are
	// rare, and every watch call costs the store. Up to half of it is added at random, so that the
	// daemons of a fleet do not all miss a dropped history for the same time.
	minRolloutWatch = 12 * time.Second
	// statusRetryDelay is the pause after a status that could not be stored.
	statusRetryDelay = 500 * time.Millisecond
	// blockedLogInterval limits how often it is logged what blocks a roll-out.
	blockedLogInterval = 5 * time.Second
)

// rolloutsRevision returns the revision up to which the roll-out orders are known.
func (g *Gateway) rolloutsRevision() uint64 { return g.mirror.Revision(platform.RolloutKind) }

// applyRollouts applies changes of the roll-out orders.
func (g *Gateway) applyRollouts(objects []object.Object, source string) {
	orders := make(map[identifier.Service]*rollout.Rollout, len(objects))
	for i := range objects {
		o := &objects[i]
		name := identifier.Service(strings.TrimPrefix(o.Key, platform.RolloutKind+"/"))
		if o.Deleted {
			g.c.Logger.Info("roll-out order removed", "service", name, "revision", object.LogValue(o.Version), "source", source)
			orders[name] = nil
			continue
		}
		r, err := platform.DecodeRollout(o)
		if err != nil {
			// An undecodable order leaves the previous one, if any, in effect.
			g.logUnreadable([]error{err})
			continue
		}
		orders[name] = r
	}
	g.splitter.ApplyOrders(orders, source)
}

// logRolloutPhase counts and logs a change of phase as seen by this daemon.
func (g *Gateway) logRolloutPhase(c splitter.PhaseChange) {
	g.scope.Tagged(map[string]string{"service": string(c.Service), "phase": c.After.String()}).Counter("rollout_phases").Inc(1)
	g.c.Logger.Info("roll-out", "service", c.Service, "target", c.Target, "order", formatOrder(c.Order), "phase", c.After, "before", c.Previous,
		"source", c.Source, "age_ms", c.Age.Milliseconds())
}

// countRolloutAnswer counts the outcome of a request to a service that is being rolled out.
func (g *Gateway) countRolloutAnswer(r *splitter.Run, isTarget, slow bool) {
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

// formatOrder formats the id of a roll-out order for logs and views.
func formatOrder(order uint64) string { return strconv.FormatUint(order, 16) }

// encodeRollouts returns the known roll-out orders and the grants for them, for peers.
func (g *Gateway) encodeRollouts() []*rpc.Rollout {
	now := g.uptime()
	granted := make(map[uint64]splitter.Grant)
	for _, grant := range g.splitter.Grants() {
		granted[grant.Order] = grant
	}
	var out []*rpc.Rollout
	for _, o := range g.splitter.Orders() {
		id := o.OrderID()
		grant := granted[id]
		r := &rpc.Rollout{Service: string(o.Service), Target: string(o.Target), Order: id}
		r.Revision, r.Era = splitVersion(g.rolloutsRevision())
		if grant.Order == id {
			r.Phase, r.Fencing, r.Beat = uint32(grant.Phase), grant.Fencing, grant.Sequence
			r.AgeMilli, r.LeftMilli = now.Sub(grant.IssuedAt).Milliseconds(), grant.OldEndAt.Sub(now).Milliseconds()
		}
		out = append(out, r)
	}
	return out
}

// mergeRollouts merges the roll-outs that a peer knows. It fetches the orders from the peer if
// the peer's revision is newer.
func (g *Gateway) mergeRollouts(list []*rpc.Rollout, host, address string) {
	now := g.uptime()
	changed := false
	for _, r := range list {
		if told := object.Join(r.GetEra(), r.GetRevision()); g.rolloutsRevision() < told {
			g.rolloutFetcher.Want(address, told)
		}
		if r.GetFencing() == 0 || rollout.Phase(r.GetPhase()) > rollout.Reverted || r.GetAgeMilli() < 0 {
			continue
		}
		changed = g.splitter.ApplyGrant(&splitter.Grant{
			Service: identifier.Service(r.GetService()), Target: identifier.Version(r.GetTarget()), Order: r.GetOrder(),
			Phase: rollout.Phase(r.GetPhase()), Fencing: r.GetFencing(), Sequence: r.GetBeat(),
			IssuedAt: now.Add(-time.Duration(r.GetAgeMilli()) * time.Millisecond), OldEndAt: now.Add(time.Duration(r.GetLeftMilli()) * time.Millisecond),
		}, host) || changed
	}
	if changed {
		g.syncer.TriggerNotes(g.isLarge() && g.isRelay())
	}
}

// encodeTrials returns the outcomes of this daemon's requests since the orders, for peers.
func (g *Gateway) encodeTrials() []*rpc.Trial {
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

// tallies returns the outcomes of all daemons' requests by process, and the requests in flight
// by service. Requests of a process that was not heard from for a while do not count as in
// flight: they have ended with it, or it is unreachable.
func (u *duties) tallies() (out map[string][]splitter.Tally, running map[identifier.Service]int) {
	out, running = make(map[string][]splitter.Tally), make(map[identifier.Service]int)
	now := time.Now()
	add := func(d *rpc.Digest, lastHeard time.Time) {
		name := d.GetHost() + "/" + strconv.FormatUint(d.GetIncarnation(), 16)
		if _, seen := out[name]; seen {
			return
		}
		for _, t := range d.GetTrials() {
			if t.GetEndpoint() == "" && now.Sub(lastHeard) < roster.LivenessTimeout {
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
	add(&rpc.Digest{Host: string(d.Host), Incarnation: uint64(u.g.started.UnixNano()), Trials: u.g.encodeTrials()}, now)
	entries := slices.Concat(u.g.gatherer.Digests(now), u.g.relayedDigests.Digests(now))
	slices.SortFunc(entries, func(a, b gatherer.Entry) int { return cmp.Compare(b.Digest.GetSequence(), a.Digest.GetSequence()) })
	for _, e := range entries {
		// Daemons of other zones send the outcomes of their requests only through relays.
		if len(e.Digest.GetTrials()) > 0 {
			add(e.Digest, e.ReceivedAt)
		}
	}
	return out, running
}

// runRollouts advances the ordered roll-outs while the lease is held. It is a service of its
// own so that a slow store does not delay the decision about a version.
func (u *duties) runRollouts(ctx context.Context) error {
	return waiter.Every(ctx, rolloutInterval, func(ctx context.Context) {
		fencing, held := u.g.lease.Held()
		if !held || u.g.stopping.Load() {
			return
		}
		orders := u.g.splitter.Orders()
		if len(orders) == 0 {
			return
		}
		tallies, running := u.tallies()
		in := &promoter.Input{Now: u.g.uptime(), Orders: orders, Tallies: tallies, Running: running, Endpoints: u.g.endpointsByVersion}
		urgent := false
		for _, step := range u.promoter.Step(in) {
			urgent = u.applyRolloutStep(ctx, fencing, &step) || urgent
		}
		if urgent {
			u.g.syncer.TriggerNotes(true)
		}
		u.logBlockedRollouts(in)
	})
}

// applyRolloutStep announces one step to all daemons and stores it if needed. It reports
// whether peers must be notified at once.
func (u *duties) applyRolloutStep(ctx context.Context, fencing uint64, step *promoter.Step) (urgent bool) {
	u.grantSequence++
	announced := step.Phase
	if announced == rollout.Complete {
		// Completion ends the old endpoints, so it takes effect only once it is stored.
		announced = rollout.Switching
	}
	u.g.splitter.ApplyGrant(&splitter.Grant{
		Service: step.Order.Service, Target: step.Order.Target, Order: step.Order.OrderID(), Phase: announced,
		Fencing: fencing, Sequence: u.grantSequence, IssuedAt: u.g.uptime(), OldEndAt: step.Ends,
	}, string(u.g.c.Deployment.Host))
	if step.Changed {
		u.g.scope.Tagged(map[string]string{"service": string(step.Order.Service), "phase": step.Phase.String()}).Counter("rollouts_decided").Inc(1)
		u.g.c.Logger.Info("roll-out decided", "service", step.Order.Service, "target", step.Order.Target, "order", formatOrder(step.Order.OrderID()),
			"phase", step.Phase, "reason", step.Reason, "new", step.Evidence.New, "old", step.Evidence.Old, "fencing", fencing,
			"ends_in_ms", step.Ends.Sub(u.g.uptime()).Milliseconds())
	}
	if step.Store {
		u.storeRolloutStatus(ctx, step)
	}
	return step.Changed
}

// storeRolloutStatus stores the status of a roll-out in the background. If another write came
// first, it applies what the store holds instead.
func (u *duties) storeRolloutStatus(ctx context.Context, s *promoter.Step) {
	if u.storingStatus.Swap(true) {
		return
	}
	go func() {
		defer u.storingStatus.Store(false)
		key := platform.RolloutKind + "/" + string(s.Order.Service)
		o, err := u.g.store.PutStatus(ctx, key, s.Order.Revision, platform.RolloutStatus(&s.Order, s.Phase))
		if errors.Is(err, object.ErrConflict) || errors.Is(err, object.ErrUnknown) {
			// Another holder wrote it, the operator ordered again, or the answer was lost. What the
			// store holds decides what is written next.
			o, err = u.g.store.Get(ctx, key)
		}
		if err != nil {
			u.g.c.Logger.Warn("roll-out status not stored", "service", s.Order.Service, "phase", s.Phase, "error", err)
			waiter.For(ctx, statusRetryDelay)
			return
		}
		u.g.applyFromStore([]object.Object{o})
	}()
}

// logBlockedRollouts logs, at most once in blockedLogInterval, what keeps a roll-out past its
// deadline from advancing.
func (u *duties) logBlockedRollouts(in *promoter.Input) {
	for i := range in.Orders {
		o := &in.Orders[i]
		if o.Phase != rollout.Canary || in.Now.Before(o.LearnedAt.Add(o.Duration)) || in.Now.Sub(u.blockedLoggedAt) < blockedLogInterval {
			continue
		}
		if blockers := u.promoter.HoldReason(o, in); blockers != "" {
			u.blockedLoggedAt = in.Now
			u.g.c.Logger.Warn("roll-out behind its deadline", "service", o.Service, "target", o.Target, "order", formatOrder(o.OrderID()),
				"late_ms", in.Now.Sub(o.LearnedAt.Add(o.Duration)).Milliseconds(), "lacks", blockers)
		}
	}
}

// endpointsByVersion counts a service's endpoints by version.
func (g *Gateway) endpointsByVersion(s identifier.Service) map[identifier.Version]int {
	return g.registry.VersionCounts(identifier.Pool(s))
}
