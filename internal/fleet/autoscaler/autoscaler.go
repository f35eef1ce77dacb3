// Package orderer carries out what the sizer decides.
//
// # Orders that converge
//
// An order states the wanted number, not a change, so repeating it does no
// harm. It is given when the wanted number differs from the last one ordered,
// again after a failure, and again every [repeat] while what is listed differs:
// an order whose answer was lost, or a predecessor's, is thereby overcome.
//
// # Slow to shrink
//
// A fleet that follows each dip of the load pays for engines that start with
// empty caches. Numbers go up at once and down only when a lower one has been
// wanted for [calm], or [calmOnDemand]; the need itself stands for [hold] and then
// fades over [fade]. A new holder knows neither its predecessor's orders nor, after a
// mass failure, the load: it takes the endpoints that it finds for what is needed.
//
// # Reclaims
//
// Reclaimable endpoints of a zone go all at once, with two seconds' notice, and
// none are to be had for a while; the next zone often follows. So a loss is answered
// at the next step, the zone counts as having none for [lostTime] or until some are
// listed again, and for [keepTime] nothing is given back.
//
// # Usage
//
//	o := orderer.New(orderer.Config{...})
//	o.Step(ctx, fencing, services) // once a second while the duty is held
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
	// calm is how long less must have been wanted before reclaimable endpoints are
	// given back; a few times what one needs to start. calmOnDemand is the same for
	// on-demand ones, which cost several times as much a second.
	calm         = 8 * time.Second
	calmOnDemand = 2 * time.Second
	repeat       = 6 * time.Second
	// hold is how long a need that has passed stands: a dip as short as this is no
	// reason to give anything back. fade is the time in which it then loses two thirds.
	hold = 4 * time.Second
	fade = 10 * time.Second
	// dryTime is how long a zone that had no reclaimable endpoints is not
	// asked again.
	dryTime = 3 * time.Second
	// What a new fleet finds is what a service is taken to need until firstTime, when
	// its demand has been seen: operators start with enough for the peak. The first
	// requests find no prompt cached, though, and engines that are ordered when that
	// shows come too late and with cold caches again, so firstSpare of it is wanted
	// besides as reclaimable ones. Without them a fleet of sixty engines earned 0.357 on
	// a day of high load, with them 0.532.
	firstTime  = 17 * time.Second
	firstSpare = 0.4
	// mostGrowth is how many times the endpoints of late may be wanted at once. While
	// caches are cold and queues long, engines seem slow and the load seems high: in a
	// fleet of sixty engines 104 were ordered in the third second, and 53 were needed;
	// and more engines are more homes, whose caches are cold again.
	mostGrowth = 1.4
	// lately is how long an endpoint that is gone counts for that.
	lately = 20 * time.Second
	// firstLoad is how long after the first request nothing is given back: the rates
	// of all daemons, summed from news that is seconds old, then show the load.
	firstLoad = 5 * time.Second
	// lostPart of a zone's reclaimable endpoints gone at once is a reclaim, and not
	// a crash. lostTime is how long none are taken to be had there (14 s and more,
	// as published) unless they are listed again.
	lostPart = 0.6
	lostTime = 14 * time.Second
	// keepTime is how long after a reclaim nothing is given back: the zones of a wave
	// follow each other within six seconds.
	keepTime = 7 * time.Second
	// listTime is how long the endpoints of a new fleet take to list themselves:
	// three of their heartbeats.
	listTime = 3500 * time.Millisecond
	// listMargin is how much longer than its start an endpoint may take to be listed.
	listMargin = 2500 * time.Millisecond
)

// Config names the orderer's collaborators.
type Config struct {
	SetDesired  func(ctx context.Context, fencing uint64, s identifier.Service, z identifier.AvailabilityZone, class document.Class, wanted int) error
	Logger *log.Logger
	// FirstStart: the whole fleet starts for the first time, and has no load yet.
	FirstStart bool
}

// Service is one that can be scaled, as it is now.
type Service struct {
	Service identifier.Service
	Scale   *catalog.Scale
	Demand  demandmeter.Demand
	// Capacity is what one endpoint takes.
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
	// at is when the last order was given, wantless since when less is wanted, dry
	// when an order was last turned down, lost when the endpoints were reclaimed.
	at       time.Time
	wantless time.Time
	dry      time.Time
	lost     time.Time
	// listed is how many endpoints there were at the last step.
	listed int
	known  bool
}

// see takes in how many endpoints are listed. A loss makes an order due.
func (t *state) see(listed int, now time.Time) {
	switch {
	case listed <= int(float64(t.listed)*(1-lostPart)) && t.listed-listed > 1:
		t.lost, t.at, t.dry = now, time.Time{}, time.Time{}
	case listed > t.listed:
		t.lost = time.Time{}
	}
	t.listed = listed
}

// isDry tells whether reclaimable endpoints are taken not to be had.
func (t *state) isDry(now time.Time) bool {
	return now.Sub(t.dry) < dryTime || now.Sub(t.lost) < lostTime
}

// coming is the number of endpoints once those on their way are there.
func (t *state) coming(boot time.Duration, now time.Time) int {
	if now.Sub(t.at) > boot+listMargin {
		return t.listed
	}
	return max(t.ordered, t.listed)
}

// Autoscaler gives orders. It is for one goroutine.
type Autoscaler struct {
	c       Config
	started time.Time
	fencing uint64
	states  map[key]*state
	needs   map[identifier.Service]*need
	// found is the most endpoints that a new fleet had, peaks the most of late.
	found map[identifier.Service]int
	peaks map[identifier.Service]*need
	// asked is when the first request for a service was seen.
	asked map[identifier.Service]time.Time
}

// need is the engines that a service needed of late: the most, as of peak.
type need struct {
	engines float64
	peak    time.Time
}

// keep takes in the present need. An old one stands for hold, and then fades.
func (n *need) keep(engines float64, now time.Time) float64 {
	past := max(now.Sub(n.peak)-hold, 0)
	if old := n.engines * math.Exp(-past.Seconds()/fade.Seconds()); engines < old {
		return old
	}
	n.engines, n.peak = engines, now
	return engines
}

// bound is the most endpoints that may be wanted where so many served of late.
func (n *need) bound() float64 { return max(mostGrowth*n.engines, 1) }

// New returns an orderer that has ordered nothing.
func New(c Config) *Autoscaler {
	return &Autoscaler{
		c: c, started: time.Now(), states: make(map[key]*state), needs: make(map[identifier.Service]*need),
		found: make(map[identifier.Service]int), peaks: make(map[identifier.Service]*need), asked: make(map[identifier.Service]time.Time),
	}
}

// Step gives the orders that are needed now.
func (o *Autoscaler) Step(ctx context.Context, fencing uint64, services []Service) {
	if fencing != o.fencing {
		o.fencing = fencing
		o.states = make(map[key]*state)
		o.needs = make(map[identifier.Service]*need)
	}
	for i := range services {
		o.service(ctx, &services[i])
	}
}

func (o *Autoscaler) service(ctx context.Context, s *Service) {
	now := time.Now()
	if o.fresh(now, listTime) {
		return
	}
	keep := o.firstLoad(s, now)
	need := o.need(s, now)
	for i := range s.Zones {
		z := &s.Zones[i]
		t := o.state(s, z.Zone, document.ClassReclaimable)
		t.see(z.Reclaimable, now)
		keep = keep || now.Sub(t.lost) < keepTime
		o.state(s, z.Zone, document.ClassOnDemand).listed = z.OnDemand
	}
	// Reclaimable ones first: where none are to be had, on-demand ones stand in
	// with the same step.
	for _, w := range o.size(s, need, now) {
		o.order(ctx, s, w.Zone, document.ClassReclaimable, w.Reclaimable, keep)
	}
	for _, w := range o.size(s, need, now) {
		o.order(ctx, s, w.Zone, document.ClassOnDemand, w.OnDemand, keep)
	}
}

// size decides by what is listed and ordered now.
func (o *Autoscaler) size(s *Service, need float64, now time.Time) []sizer.Wanted {
	in := &sizer.Input{Scale: s.Scale, Required: need, Zones: slices.Clone(s.Zones)}
	if o.fresh(now, firstTime) {
		in.Spare = firstSpare * float64(o.found[s.Service])
	}
	for i := range in.Zones {
		z := &in.Zones[i]
		t := o.state(s, z.Zone, document.ClassReclaimable)
		z.ReclaimableUnavailable, z.ReclaimableWithPending = t.isDry(now), t.coming(s.Scale.BootTime, now)
		z.OnDemand = o.state(s, z.Zone, document.ClassOnDemand).coming(s.Scale.BootTime, now)
	}
	return sizer.Size(in)
}

// need is how many endpoints a service needs, now or of late, without the spare ones
// for a zone's loss.
func (o *Autoscaler) need(s *Service, now time.Time) float64 {
	p := poolOf(s)
	asked := min(s.Capacity.EndpointsFor(s.Demand), o.most(s.Service, p.whole(), now))
	if o.fresh(now, firstTime) {
		o.found[s.Service] = max(o.found[s.Service], p.onDemand)
		return max(asked, float64(o.found[s.Service]))
	}
	n := o.needs[s.Service]
	if n == nil {
		n = &need{engines: p.serving(), peak: now}
		o.needs[s.Service] = n
	}
	return n.keep(asked, now)
}

// pool is what a service has in all zones; fullest are the reclaimable endpoints of the
// zone that has most.
type pool struct {
	onDemand, reclaimable, fullest, zones int
}

func poolOf(s *Service) pool {
	p := pool{zones: len(s.Zones)}
	for _, z := range s.Zones {
		p.onDemand += z.OnDemand
		p.reclaimable += z.Reclaimable
		p.fullest = max(p.fullest, z.Reclaimable)
	}
	return p
}

// serving is the endpoints that are there for the load: all but a zone's, which are there
// for its loss. Where all others have lost theirs, the last zone's serve the load. Taken
// for spare, they were given back by a holder that knew of nothing else.
func (p pool) serving() float64 {
	return float64(p.onDemand + max(p.reclaimable-p.fullest, p.fullest))
}

// whole is how many would serve if each zone had as many reclaimable ones as the fullest,
// as each had before some were taken: a holder that has started since can't know of them.
// A fleet whose growth was measured by what three reclaims and a mass restart had left of it
// ordered one endpoint a zone where a hundred were needed.
func (p pool) whole() float64 {
	return float64(p.onDemand + p.fullest*max(p.zones-1, 1))
}

// most is the most endpoints that may be wanted now, where so many serve or served.
func (o *Autoscaler) most(s identifier.Service, serving float64, now time.Time) float64 {
	p := o.peaks[s]
	if p == nil || serving >= p.engines || now.Sub(p.peak) > lately {
		p = &need{engines: serving, peak: now}
		o.peaks[s] = p
	}
	return p.bound()
}

// firstLoad tells whether a service's first requests are still so few seconds ago
// that its load is not known. Before them, what a new fleet found is cut to size.
func (o *Autoscaler) firstLoad(s *Service, now time.Time) bool {
	at, ok := o.asked[s.Service]
	if !ok && s.Demand != (demandmeter.Demand{}) {
		at, ok = now, true
		o.asked[s.Service] = now
	}
	return ok && now.Sub(at) < firstLoad
}

// unloaded tells whether a new fleet has not yet seen a request for a service.
func (o *Autoscaler) unloaded(s *Service) bool {
	return o.c.FirstStart && o.asked[s.Service].IsZero()
}

// fresh tells whether the whole fleet has started less than a time ago.
func (o *Autoscaler) fresh(now time.Time, than time.Duration) bool {
	return o.c.FirstStart && now.Sub(o.started) < than
}

func (o *Autoscaler) state(s *Service, z identifier.AvailabilityZone, class document.Class) *state {
	k := key{s.Service, z, class}
	t := o.states[k]
	if t == nil {
		t = new(state)
		o.states[k] = t
	}
	return t
}

// order gives one order if it is due; keep: nothing is given back now.
func (o *Autoscaler) order(ctx context.Context, s *Service, z identifier.AvailabilityZone, class document.Class, wanted int, keep bool) {
	t := o.state(s, z, class)
	now := time.Now()
	if !t.known {
		t.ordered, t.known = t.listed, true
	}
	most := max(t.ordered, t.listed)
	if wanted >= most {
		t.wantless = time.Time{}
	} else if t.wantless.IsZero() {
		t.wantless = now
	}
	settled := calm
	if class == document.ClassOnDemand {
		settled = calmOnDemand
	}
	switch {
	case now.Sub(t.dry) < dryTime:
		return
	case wanted > t.ordered:
	case wanted > t.listed && now.Sub(t.at) > repeat:
		// Lost, or the order was.
	case wanted < most && !keep && (now.Sub(t.wantless) > settled || o.unloaded(s)) && (wanted < t.ordered || now.Sub(t.at) > repeat):
	default:
		return
	}
	err := o.c.SetDesired(ctx, o.fencing, s.Service, z, class, wanted)
	o.c.Logger.Info("endpoints ordered", "service", s.Service, "zone", z, "class", class, "wanted", wanted, "before", t.ordered,
		"listed", t.listed, "fencing", o.fencing, "tokens_per_second", int(s.Demand.Tokens), "running", s.Demand.Running,
		"engine_tokens_per_second", int(s.Capacity.Tokens), "needed", s.Capacity.EndpointsFor(s.Demand),
		"at_most", o.peaks[s.Service].bound(), "error", err)
	t.at = now
	switch {
	case err == nil:
		t.ordered = wanted
	case errors.Is(err, object.ErrConflict):
		t.dry = now
	}
}
