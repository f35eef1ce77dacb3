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
// after a peak and then decays with [demandDecay]. A new lease holder has no record of its
// predecessor's orders and, after a mass failure, none of the load: it takes the number of listed
// endpoints as the required number.
//
// The reclaimable endpoints of a zone are reclaimed all at once, at two seconds' notice, and no
// others are available there for a while; the next zone often follows. A loss is therefore
// replaced at the next step, the zone counts as unavailable for [reclaimBackoff] or until some
// endpoints are listed again, and for [reclaimShrinkDelay] no endpoints are given back.
//
// # Usage
//
//	a := autoscaler.New(autoscaler.Config{...})
//	a.Step(ctx, fencing, services) // once a second while the lease of the duty is held
package autoscaler

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"
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
	demands map[identifier.Service]*peak
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
// demandHold and then decays.
func (n *peak) update(engines float64, now time.Time) float64 {
	sinceHold := max(now.Sub(n.at)-demandHold, 0)
	if decayed := n.engines * math.Exp(-sinceHold.Seconds()/demandDecay.Seconds()); engines < decayed {
		return decayed
	}
	n.engines, n.at = engines, now
	return engines
}

// maxEndpoints returns the most endpoints that may be wanted after this peak.
func (n *peak) maxEndpoints() float64 { return max(maxGrowthFactor*n.engines, 1) }

// New returns an Autoscaler that has not sent any orders.
func New(c Config) *Autoscaler {
	return &Autoscaler{
		c: c, started: time.Now(), states: make(map[key]*state), demands: make(map[identifier.Service]*peak),
		initial: make(map[identifier.Service]int), peaks: make(map[identifier.Service]*peak), firstRequest: make(map[identifier.Service]time.Time),
	}
}

// Step sends the orders that are due. A fencing number that differs from the one of the last step
// discards the recorded orders and peaks.
func (a *Autoscaler) Step(ctx context.Context, fencing uint64, services []Service) {
	if fencing != a.fencing {
		a.fencing = fencing
		a.states = make(map[key]*state)
		a.demands = make(map[identifier.Service]*peak)
	}
	for i := range services {
		a.stepService(ctx, &services[i])
	}
}

func (a *Autoscaler) stepService(ctx context.Context, s *Service) {
	now := time.Now()
	if a.startedWithin(now, listingTime) {
		return
	}
	noShrink := a.loadSettling(s, now)
	required := a.required(s, now)
	for i := range s.Zones {
		z := &s.Zones[i]
		t := a.state(s, z.Zone, document.ClassReclaimable)
		t.observe(z.Reclaimable, now)
		noShrink = noShrink || now.Sub(t.reclaimedAt) < reclaimShrinkDelay
		a.state(s, z.Zone, document.ClassOnDemand).listed = z.OnDemand
	}
	// Reclaimable endpoints first: where none are available, on-demand ones are ordered in the
	// same step.
	for _, w := range a.size(s, required, now) {
		a.orderIfDue(ctx, s, w.Zone, document.ClassReclaimable, w.Reclaimable, noShrink)
	}
	for _, w := range a.size(s, required, now) {
		a.orderIfDue(ctx, s, w.Zone, document.ClassOnDemand, w.OnDemand, noShrink)
	}
}

// size returns the wanted numbers for the endpoints that are listed and ordered now.
func (a *Autoscaler) size(s *Service, required float64, now time.Time) []sizer.Wanted {
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
	return sizer.Size(in)
}

// required returns the number of endpoints that the recent demand for a service requires,
// without the spare ones for the loss of a zone.
func (a *Autoscaler) required(s *Service, now time.Time) float64 {
	p := newPool(s)
	needed := min(s.Capacity.EndpointsFor(s.Demand), a.maxEndpoints(s.Service, p.beforeReclaims(), now))
	if a.startedWithin(now, warmUp) {
		a.initial[s.Service] = max(a.initial[s.Service], p.onDemand)
		return max(needed, float64(a.initial[s.Service]))
	}
	n := a.demands[s.Service]
	if n == nil {
		n = &peak{engines: p.serving(), at: now}
		a.demands[s.Service] = n
	}
	return n.update(needed, now)
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
	p := a.peaks[s]
	if p == nil || serving >= p.engines || now.Sub(p.at) > peakWindow {
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
		"at_most", a.peaks[s.Service].maxEndpoints(), "error", err)
	t.orderedAt = now
	switch {
	case err == nil:
		t.ordered = wanted
	case errors.Is(err, object.ErrConflict):
		t.refusedAt = now
	}
}
