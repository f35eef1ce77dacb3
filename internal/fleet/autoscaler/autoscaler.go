// Package autoscaler orders from the cloud the numbers of endpoints that package sizer decides.
//
// An order states the desired number of endpoints of one class in one zone, not a change, so
// repeating it does no harm. It is sent when the desired number differs from the last one
// ordered, again after a failure, and again every [repeatInterval] while the listed number
// differs. This makes up for an order whose answer was lost, and replaces an order of a
// previous lease holder.
//
// Scaling up is immediate, scaling down is delayed: a fleet that follows each dip of the load pays
// for engines that start with empty caches. A number is lowered only when a lower one has been
// wanted for [shrinkDelay], or [shrinkDelayOnDemand]. The required number is held for [demandHold]
// after a peak and then decays with [demandDecay], for on-demand endpoints with
// [onDemandDecay]. A new lease holder inherits what its predecessor knew; see [Autoscaler.Inherit].
// Without that it has, after a mass failure, no record of the load: it takes the number of listed
// endpoints as the required number.
//
// After a loss, prompts are prefilled again and requests wait longer, so the same clients put a
// higher load on what is left. While a loss is recent, the need per request of before the loss
// counts.
//
// Endpoints may serve less than the figures say. If too many first events are late for longer than
// an endpoint takes to start, though there are as many endpoints as the figures require and none
// were lost, the requirement is raised in steps, and lowered slowly once first events are on time.
//
// The reclaimable endpoints of a zone are reclaimed all at once, at two seconds' notice, and no
// others are available there for a while; the next zone often follows. A loss is therefore
// replaced at the next step, the zone counts as unavailable for [reclaimBackoff] or until some
// endpoints are listed again, and for [reclaimShrinkDelay] no endpoints are given back.
//
// # Usage
//
//	a := autoscaler.New(autoscaler.Config{...})
//	a.Inherit(fencing, record)        // once the lease is held, if there is a record
//	a.Step(ctx, fencing, services) // once a second while the lease of the duty is held
package autoscaler

import (
	"context"
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"
	"brasschute/internal/fleet/poolrecorder"
	"brasschute/internal/fleet/sizer"
	"brasschute/internal/platform/object"
	"brasschute/internal/route/demandmeter"

	"github.com/charmbracelet/log"
)

const (
	// shrinkDelay is how long a lower number must have been wanted before reclaimable endpoints
	// are given back: a few times the start time of an endpoint. shrinkDelayOnDemand is the
	// same for on-demand endpoints, which cost several times as much a second.
	shrinkDelay         = 8 * time.Second
	shrinkDelayOnDemand = 2 * time.Second
	repeatInterval      = 6 * time.Second
	// demandHold is how long a past peak of the required number is kept: a dip as short as this
	// is no reason to give endpoints back. demandDecay is the time in which the required number
	// then falls by two thirds.
	demandHold  = 4 * time.Second
	demandDecay = 10 * time.Second
	// onDemandDecay is the same as demandDecay for on-demand endpoints. They cost several times
	// as much, and few of them are left idle for a peak that may return.
	onDemandDecay = 2 * time.Second
	// refusalBackoff is how long a zone that had no reclaimable endpoints is not asked again.
	refusalBackoff = 3 * time.Second
	// warmUp is how long a new fleet keeps the number of endpoints it started with, until its
	// demand has been seen: operators start with enough for the peak. The first requests find
	// no prompt cached, though, and engines ordered when that shows start too late and with
	// cold caches again. So warmUpSpareFraction of that number is wanted in addition, as
	// reclaimable endpoints.
	warmUp              = 17 * time.Second
	warmUpSpareFraction = 0.4
	// maxGrowthFactor limits the wanted endpoints to this multiple of the recent number. While
	// caches are cold and queues long, engines seem slow and the load seems high, and twice the
	// engines that are needed would be ordered. Each additional engine is also a home endpoint
	// whose cache is cold.
	maxGrowthFactor = 1.4
	// peakWindow is how long an endpoint that has gone counts towards the recent number.
	peakWindow = 20 * time.Second
	// perRequestTime is the time over which the need per request is averaged: a few half-lives
	// of the rates.
	perRequestTime = 5 * time.Second
	// lossFraction is the part of a pool whose loss in one step is not a single crash.
	lossFraction = 0.1
	// loadSettleTime is how long after the first request no endpoints are given back. After it
	// the sum of the rates of all daemons, from gossip that is seconds old, reflects the load.
	loadSettleTime = 5 * time.Second
	// A loss of at least reclaimFraction of a zone's reclaimable endpoints at once is a reclaim
	// and not a crash. reclaimBackoff is how long the zone is taken to have none available,
	// unless some are listed again; the published time is 14 s or more.
	reclaimFraction = 0.6
	reclaimBackoff  = 14 * time.Second
	// reclaimShrinkDelay is how long after a reclaim no endpoints are given back: the zones of
	// one wave follow each other within six seconds.
	reclaimShrinkDelay = 7 * time.Second
	// listingTime is how long the endpoints of a new fleet take to list themselves: three of
	// their heartbeats.
	listingTime = 3500 * time.Millisecond
	// listingMargin is how much longer than its start time an endpoint may take to be listed.
	listingMargin = 2500 * time.Millisecond
)

// Config holds the dependencies of an [Autoscaler].
type Config struct {
	SetDesired func(ctx context.Context, fencing uint64, s identifier.Service, z identifier.AvailabilityZone, class document.Class, wanted int) error
	Logger     *log.Logger
	// FirstStart is set if the whole fleet starts for the first time and has no load yet.
	FirstStart bool
}

// Service is the current state of one scalable service.
type Service struct {
	Service identifier.Service
	Scale   *catalog.Scale
	Demand  demandmeter.Demand
	// Capacity is the demand that one endpoint can serve.
	Capacity sizer.Capacity
	Zones    []sizer.Zone
}

type key struct {
	service identifier.Service
	zone    identifier.AvailabilityZone
	class   document.Class
}

type state struct {
	ordered int
	// orderedAt is when the last order was sent, lowerSince since when a lower number has been
	// wanted, refusedAt when an order was last refused, reclaimedAt when the endpoints were
	// reclaimed.
	orderedAt   time.Time
	lowerSince  time.Time
	refusedAt   time.Time
	reclaimedAt time.Time
	// listed is the number of endpoints listed at the last step.
	listed      int
	initialised bool
}

// observe records the number of listed endpoints. After a reclaim an order is due at once.
func (t *state) observe(listed int, now time.Time) {
	switch {
	case listed <= int(float64(t.listed)*(1-reclaimFraction)) && t.listed-listed > 1:
		t.reclaimedAt, t.orderedAt, t.refusedAt = now, time.Time{}, time.Time{}
	case listed > t.listed:
		t.reclaimedAt = time.Time{}
	}
	t.listed = listed
}

// unavailable reports whether reclaimable endpoints are assumed to be unavailable.
func (t *state) unavailable(now time.Time) bool {
	return now.Sub(t.refusedAt) < refusalBackoff || now.Sub(t.reclaimedAt) < reclaimBackoff
}

// withPending returns the number of endpoints including those ordered and still starting.
func (t *state) withPending(boot time.Duration, now time.Time) int {
	if now.Sub(t.orderedAt) > boot+listingMargin {
		return t.listed
	}
	return max(t.ordered, t.listed)
}

// Autoscaler sends the orders of all services. It must be used by one goroutine only.
type Autoscaler struct {
	c       Config
	started time.Time
	fencing uint64
	states  map[key]*state
	// demands are the required numbers, onDemandDemands those that apply to on-demand endpoints.
	demands         map[identifier.Service]*peak
	onDemandDemands map[identifier.Service]*peak
	losses          map[identifier.Service]*loss
	corrections     map[identifier.Service]*correction
	// inheritedAt is the time of the record that this holder inherited, zero if there was none.
	inheritedAt time.Time
	// initial is the most on-demand endpoints that a new fleet had, peaks the most endpoints of
	// each service in the last peakWindow.
	initial map[identifier.Service]int
	peaks   map[identifier.Service]*peak
	// firstRequest is when the first request for each service was seen.
	firstRequest map[identifier.Service]time.Time
}

// peak is a recent maximum of a number of engines and when it was observed.
type peak struct {
	engines float64
	at      time.Time
}

// update records the current number and returns the number to use. An earlier peak is kept for
// demandHold and then decays with the given time constant.
func (n *peak) update(engines float64, now time.Time, decay time.Duration) float64 {
	if decayed := n.current(now, decay); engines < decayed {
		return decayed
	}
	n.engines, n.at = engines, now
	return engines
}

// current returns what is left of the peak.
func (n *peak) current(now time.Time, decay time.Duration) float64 {
	sinceHold := max(now.Sub(n.at)-demandHold, 0)
	return n.engines * math.Exp(-sinceHold.Seconds()/decay.Seconds())
}

// maxEndpoints returns the most endpoints that may be wanted after this peak.
func (n *peak) maxEndpoints() float64 { return max(maxGrowthFactor*n.engines, 1) }

// New returns an Autoscaler that has not sent any orders.
func New(c Config) *Autoscaler {
	a := &Autoscaler{
		c: c, started: time.Now(), initial: make(map[identifier.Service]int), peaks: make(map[identifier.Service]*peak),
		firstRequest: make(map[identifier.Service]time.Time),
	}
	a.reset(0)
	return a
}

// reset discards what was recorded under another fencing number.
func (a *Autoscaler) reset(fencing uint64) {
	a.fencing, a.inheritedAt = fencing, time.Time{}
	a.states = make(map[key]*state)
	a.demands = make(map[identifier.Service]*peak)
	a.onDemandDemands = make(map[identifier.Service]*peak)
	a.losses = make(map[identifier.Service]*loss)
	a.corrections = make(map[identifier.Service]*correction)
}

// Step sends the orders that are due. A fencing number that differs from the one of the last step
// discards the recorded orders and peaks. What is known of services that are not named is discarded
// too, unless none is named: then the catalog has not been read yet.
func (a *Autoscaler) Step(ctx context.Context, fencing uint64, services []Service) {
	if fencing != a.fencing {
		a.reset(fencing)
	}
	if len(services) > 0 {
		a.discardOthers(services)
	}
	for i := range services {
		a.stepService(ctx, &services[i])
	}
}

// discardOthers discards what is known of all services but the given ones. Otherwise each lease
// holder would inherit and record services that no longer exist.
func (a *Autoscaler) discardOthers(services []Service) {
	known := make(map[identifier.Service]bool, len(services))
	for i := range services {
		known[services[i].Service] = true
	}
	discard(a.demands, known)
	discard(a.onDemandDemands, known)
	discard(a.losses, known)
	discard(a.corrections, known)
	discard(a.peaks, known)
	maps.DeleteFunc(a.states, func(k key, _ *state) bool { return !known[k.service] })
}

// discard removes the entries of services that are not known.
func discard[V any](m map[identifier.Service]V, known map[identifier.Service]bool) {
	maps.DeleteFunc(m, func(s identifier.Service, _ V) bool { return !known[s] })
}

func (a *Autoscaler) stepService(ctx context.Context, s *Service) {
	now := time.Now()
	if a.startedWithin(now, listingTime) {
		return
	}
	settling := a.loadSettling(s, now)
	reclaimed := a.observe(s, now)
	required, onDemand := a.required(s, settling, now)
	// Reclaimable endpoints first: where none are available, on-demand ones are ordered in the
	// same step.
	for _, w := range sizer.Size(a.sizerInput(s, required, now)) {
		a.orderIfDue(ctx, s, w.Zone, document.ClassReclaimable, w.Reclaimable, settling || reclaimed)
	}
	in := a.sizerInput(s, onDemand, now)
	wanted := sizer.Size(in)
	if reclaimed {
		wanted = keepForWave(in, wanted)
	}
	for _, w := range wanted {
		a.orderIfDue(ctx, s, w.Zone, document.ClassOnDemand, w.OnDemand, settling)
	}
}

// observe records the listed endpoints, and reports whether some were reclaimed so recently that
// other zones may follow.
func (a *Autoscaler) observe(s *Service, now time.Time) (reclaimed bool) {
	listed, before, ordered := 0, 0, 0
	for i := range s.Zones {
		z := &s.Zones[i]
		t, onDemand := a.state(s, z.Zone, document.ClassReclaimable), a.state(s, z.Zone, document.ClassOnDemand)
		before += t.listed + onDemand.listed
		ordered += t.ordered + onDemand.ordered
		listed += z.Reclaimable + z.OnDemand
		t.observe(z.Reclaimable, now)
		onDemand.listed = z.OnDemand
		reclaimed = reclaimed || now.Sub(t.reclaimedAt) < reclaimShrinkDelay
	}
	if float64(listed) < (1-lossFraction)*float64(before) && listed < ordered {
		l := a.loss(s.Service)
		l.at, l.replaced = now, false
	}
	return reclaimed
}

// keepForWave returns the wanted numbers with as many on-demand endpoints as are needed if the
// reclaimable ones of all zones are lost. Only those beyond that number are given back while a
// wave of reclaims is under way.
func keepForWave(in *sizer.Input, wanted []sizer.Wanted) []sizer.Wanted {
	worst := *in
	worst.Spare, worst.Zones = 0, slices.Clone(in.Zones)
	for i := range worst.Zones {
		z := &worst.Zones[i]
		z.Reclaimable, z.ReclaimableWithPending, z.ReclaimableUnavailable = 0, 0, true
	}
	kept := make(map[identifier.AvailabilityZone]int, len(in.Zones))
	for _, w := range sizer.Size(&worst) {
		kept[w.Zone] = w.OnDemand
	}
	for _, z := range in.Zones {
		kept[z.Zone] = min(kept[z.Zone], z.OnDemand)
	}
	for i := range wanted {
		wanted[i].OnDemand = max(wanted[i].OnDemand, kept[wanted[i].Zone])
	}
	return wanted
}

// sizerInput returns the input for the endpoints that are listed and ordered now.
func (a *Autoscaler) sizerInput(s *Service, required float64, now time.Time) *sizer.Input {
	in := &sizer.Input{Scale: s.Scale, Required: required, Zones: slices.Clone(s.Zones)}
	if a.startedWithin(now, warmUp) {
		in.Spare = warmUpSpareFraction * float64(a.initial[s.Service])
	}
	for i := range in.Zones {
		z := &in.Zones[i]
		t := a.state(s, z.Zone, document.ClassReclaimable)
		z.ReclaimableUnavailable, z.ReclaimableWithPending = t.unavailable(now), t.withPending(s.Scale.BootTime, now)
		z.OnDemand = a.state(s, z.Zone, document.ClassOnDemand).withPending(s.Scale.BootTime, now)
	}
	return in
}

// required returns the number of endpoints that the recent demand for a service requires,
// without the spare ones for the loss of a zone, and the number that applies to on-demand ones.
func (a *Autoscaler) required(s *Service, settling bool, now time.Time) (required, onDemand float64) {
	p := newPool(s)
	needed := min(a.correct(s, a.needed(s, now), settling || a.startedWithin(now, warmUp), now), a.maxEndpoints(s.Service, p.beforeReclaims(), now))
	if a.startedWithin(now, warmUp) {
		a.initial[s.Service] = max(a.initial[s.Service], p.onDemand)
		needed = max(needed, float64(a.initial[s.Service]))
		return needed, needed
	}
	if a.demands[s.Service] == nil {
		a.demands[s.Service] = &peak{engines: p.serving(), at: now}
	}
	if a.onDemandDemands[s.Service] == nil {
		n := *a.demands[s.Service]
		a.onDemandDemands[s.Service] = &n
	}
	return a.demands[s.Service].update(needed, now, demandDecay), a.onDemandDemands[s.Service].update(needed, now, onDemandDecay)
}

// pool counts a service's endpoints in all zones. fullest is the number of reclaimable
// endpoints in the zone that has the most.
type pool struct {
	onDemand, reclaimable, fullest, zones int
}

func newPool(s *Service) pool {
	p := pool{zones: len(s.Zones)}
	for _, z := range s.Zones {
		p.onDemand += z.OnDemand
		p.reclaimable += z.Reclaimable
		p.fullest = max(p.fullest, z.Reclaimable)
	}
	return p
}

// listed returns the number of all endpoints.
func (p pool) listed() int { return p.onDemand + p.reclaimable }

// serving returns the number of endpoints that serve the load: all but those of the fullest zone,
// which are spare for the loss of a zone. Where all other zones have lost theirs, the last zone's
// endpoints serve the load: a new lease holder, which has not seen the others, would otherwise
// count them as spare and give them back.
func (p pool) serving() float64 {
	return float64(p.onDemand + max(p.reclaimable-p.fullest, p.fullest))
}

// beforeReclaims returns how many endpoints would serve if each zone had as many reclaimable ones
// as the fullest, as each had before some were reclaimed: a lease holder that started after the
// reclaims has not seen the earlier number. With growth measured from the endpoints left after
// three reclaims and a mass restart, a fleet ordered one endpoint per zone where a hundred were
// needed.
func (p pool) beforeReclaims() float64 {
	return float64(p.onDemand + p.fullest*max(p.zones-1, 1))
}

// maxEndpoints returns the most endpoints of a service that may be wanted, given the number
// that serve now or served within peakWindow.
func (a *Autoscaler) maxEndpoints(s identifier.Service, serving float64, now time.Time) float64 {
	p, unreplaced := a.peaks[s], a.lossUnreplaced(s, serving, now)
	if p == nil || serving >= p.engines || now.Sub(p.at) > peakWindow && !unreplaced {
		p = &peak{engines: serving, at: now}
		a.peaks[s] = p
	}
	return p.maxEndpoints()
}

// loadSettling reports whether the first requests for a service came less than loadSettleTime
// ago, so that its load is not known yet. Before them, the endpoints that a new fleet found may
// be reduced.
func (a *Autoscaler) loadSettling(s *Service, now time.Time) bool {
	at, ok := a.firstRequest[s.Service]
	if !ok && s.Demand != (demandmeter.Demand{}) {
		at, ok = now, true
		a.firstRequest[s.Service] = now
	}
	return ok && now.Sub(at) < loadSettleTime
}

// awaitsFirstRequest reports whether a new fleet has not yet seen a request for a service.
func (a *Autoscaler) awaitsFirstRequest(s *Service) bool {
	return a.c.FirstStart && a.firstRequest[s.Service].IsZero()
}

// startedWithin reports whether the whole fleet first started less than the given time ago.
func (a *Autoscaler) startedWithin(now time.Time, d time.Duration) bool {
	return a.c.FirstStart && now.Sub(a.started) < d
}

func (a *Autoscaler) state(s *Service, z identifier.AvailabilityZone, class document.Class) *state {
	k := key{s.Service, z, class}
	t := a.states[k]
	if t == nil {
		t = new(state)
		a.states[k] = t
	}
	return t
}

// orderIfDue sends one order if it is due. If noShrink is set, no endpoints are given back.
func (a *Autoscaler) orderIfDue(ctx context.Context, s *Service, z identifier.AvailabilityZone, class document.Class, wanted int, noShrink bool) {
	t := a.state(s, z, class)
	now := time.Now()
	if !t.initialised {
		t.ordered, t.initialised = t.listed, true
	}
	current := max(t.ordered, t.listed)
	if wanted >= current {
		t.lowerSince = time.Time{}
	} else if t.lowerSince.IsZero() {
		t.lowerSince = now
	}
	delay := shrinkDelay
	if class == document.ClassOnDemand {
		delay = shrinkDelayOnDemand
	}
	switch {
	case now.Sub(t.refusedAt) < refusalBackoff:
		return
	case wanted > t.ordered:
	case wanted > t.listed && now.Sub(t.orderedAt) > repeatInterval:
		// The endpoints or the order were lost.
	case wanted < current && !noShrink && (now.Sub(t.lowerSince) > delay || a.awaitsFirstRequest(s)) && (wanted < t.ordered || now.Sub(t.orderedAt) > repeatInterval):
	default:
		return
	}
	err := a.c.SetDesired(ctx, a.fencing, s.Service, z, class, wanted)
	a.c.Logger.Info("endpoints ordered", "service", s.Service, "zone", z, "class", class, "wanted", wanted, "before", t.ordered,
		"listed", t.listed, "fencing", a.fencing, "tokens_per_second", int(s.Demand.Tokens), "running", s.Demand.Running,
		"engine_tokens_per_second", int(s.Capacity.Tokens), "needed", s.Capacity.EndpointsFor(s.Demand),
		"late", s.Demand.Late/max(s.Demand.FirstEvents, s.Demand.Late, 1), "lateness_correction", a.correction(s.Service).factor,
		"at_most", a.peaks[s.Service].maxEndpoints(), "growth_follows", a.peaks[s.Service].engines, "loss_age_ms", poolrecorder.AgeOf(a.loss(s.Service).at, now),
		"inherited", !a.inheritedAt.IsZero(), "inherited_age_ms", poolrecorder.AgeOf(a.inheritedAt, now), "error", err)
	t.orderedAt = now
	switch {
	case err == nil:
		t.ordered = wanted
	case errors.Is(err, object.ErrConflict):
		t.refusedAt = now
	}
}
