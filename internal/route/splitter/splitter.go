// Package splitter decides, at each daemon, which version of a service's endpoints a request
// may go to while the service is rolled out.
//
// # The share that each daemon keeps by itself
//
// A version that is tried may be bad, and how much of all requests it gets is a sum over the
// fleet that nobody knows in time. So each daemon earns a part of a trial with each request
// for the service, and a trial costs a whole one: what all daemons send to the version
// together is a share of what all have seen, whoever is cut off, starts anew or has few
// clients. Where daemons see few requests, a part of what is tolerated beyond the share is
// dealt out among them at the order.
//
// Trials are spread evenly over the routes of a service: a version may be bad on one only.
// They go to a few endpoints of the version, each of which then does as much as an old one
// does: a version may be bad under load only.
//
// # Who says go on
//
// The holder of the duties says how far a roll-out has come, several times a second
// ([Grant]). A daemon that has not heard so for [grantTime] sends nothing to the version:
// whoever is cut off, or whose holder has died, goes on with the old endpoints. That a
// version was reverted is never forgotten and outdoes all else.
//
// # Usage
//
//	s.Put(orders, source)               // from the store
//	s.Hear(&grant, source)              // from the holder, or passed on
//	versions := s.Choose(&ask)          // for each choice of an endpoint
//	if s.Blocked(service, version) {...} // right before the first byte
//	s.RunStarted(&run)
//	s.RunEnded(&run)                       // what came of it
package splitter

import (
	"math/rand/v2"
	"sync"
	"time"

	"brasschute/internal/config/rollout"
	"brasschute/internal/core/identifier"
	"brasschute/internal/route/selector"
)

const (
	// The share is for trials and for requests that would outlast the old endpoints. What
	// trials show depends on their number, so they are a part of all requests that makes
	// enoughTries until the deadline, tryPart of the share at the most and leastTries at the
	// least: few endpoints must be as busy with them as the old ones are.
	enoughTries = 300
	tryPart     = 0.4
	leastTries  = 0.015
	// fewFactor times the part of all requests that trials are is the part of the endpoints
	// that they go to, leastFew at the least.
	fewFactor = 1.5
	leastFew  = 2
	// shareMargin is kept of the share for clocks and counts that differ.
	shareMargin = 0.005
	// slackPart of what is tolerated beyond the share is dealt out.
	slackPart = 0.5
	// pressTime is the time in which what was earned before there was an endpoint of the
	// version is spent.
	pressTime = 4 * time.Second
	// mostChance is the most of the requests that try the version meanwhile.
	mostChance = 0.25
	// listTime is how long endpoints that have ended may still be listed.
	listTime = 10 * time.Second
	// mostRoutes bounds the routes that are told apart in a service.
	mostRoutes = 64
)

// Config says what a version that is tried may get.
type Config struct {
	// CanaryShare of all requests for a service, and Slack requests beyond it.
	CanaryShare float64
	CanarySlack float64
	// RollbackTime is the time in which a version that is bad must be left; 0 for any.
	RollbackTime time.Duration
	// Now is a clock that goes on while the host is suspended, as those who are told when
	// the holder spoke; time.Now if nil.
	Now func() time.Time
	// Daemons estimates the number of daemons; one if nil.
	Daemons func() int
	// Endpoints counts a service's endpoints by version; may be nil.
	Endpoints func(identifier.Service) map[identifier.Version]int
	// Random draws a number of at least 0 and below 1; the runtime's source if nil.
	Random func() float64
	// OnPhaseChange is told of each change of a phase; may be nil.
	OnPhaseChange func(PhaseChange)
	// OnAnswer is told of each answer that counts, of a version that is rolled out (isTarget)
	// or another one; may be nil.
	OnAnswer func(r *Run, isTarget, slow bool)
}

// Query is a request that is to be sent.
type Query struct {
	Service identifier.Service
	Route   string
	// Repeated: it was sent before, or has been decided on.
	Repeated bool
	// MaxDuration is how long its answer may take.
	MaxDuration time.Duration
}

// Splitter is safe for concurrent use.
type Splitter struct {
	c Config

	mu sync.Mutex
	// known: the orders have been read once.
	known    bool
	services map[identifier.Service]*service
}

// New returns a splitter that knows no orders.
func New(c Config) *Splitter {
	if c.Daemons == nil {
		c.Daemons = func() int { return 1 }
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Endpoints == nil {
		c.Endpoints = func(identifier.Service) map[identifier.Version]int { return nil }
	}
	if c.OnAnswer == nil {
		c.OnAnswer = func(*Run, bool, bool) {}
	}
	if c.OnPhaseChange == nil {
		c.OnPhaseChange = func(PhaseChange) {}
	}
	return &Splitter{c: c, services: make(map[identifier.Service]*service)}
}

// Choose says which versions a request may go to.
func (s *Splitter) Choose(a *Query) selector.VersionFilter {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.services[a.Service]
	if v == nil {
		// Whether there are orders is not known yet: then the version that most endpoints have.
		return selector.VersionFilter{MajorityOnly: !s.known}
	}
	now := s.c.Now()
	if !a.Repeated {
		s.earn(v, a.Route)
	}
	target, old := v.order.Target, v.old()
	switch p := v.phase(); {
	case p == rollout.Complete && v.settling(now):
		return selector.VersionFilter{Only: target}
	case p == rollout.Complete:
		return v.others()
	case p == rollout.Reverted, !s.granted(v, now):
		return old
	case p == rollout.Switching:
		return selector.VersionFilter{Only: target, AllowFallback: true}
	case a.Repeated:
		return old
	case p == rollout.Moving && v.outlasts(a, now) && v.moves+v.earned >= 1:
		// What is left of the trials is spent, too: there are enough by now.
		v.moves--
		return selector.VersionFilter{Only: target, AllowFallback: true}
	case p >= rollout.Trying && s.tries(v, a, now):
		v.earned--
		return selector.VersionFilter{Only: target, MaxEndpoints: s.few(v), AllowFallback: true}
	}
	return old
}

// old are the versions that were there before.
func (v *service) old() selector.VersionFilter {
	out := v.others()
	out.Except = append(out.Except, v.order.Target)
	return out
}

// others are all versions but those of earlier orders that did not become complete.
func (v *service) others() selector.VersionFilter {
	out := selector.VersionFilter{}
	for version := range v.left {
		out.Except = append(out.Except, version)
	}
	return out
}

// settling tells whether the old endpoints of a version that is complete may still be listed:
// they end at once, and their records some heartbeats later.
func (v *service) settling(now time.Time) bool { return now.Sub(v.changed) < listTime }

// earn takes in a request for a service.
func (s *Splitter) earn(v *service, route string) {
	if v.phase().IsFinal() {
		return
	}
	v.asked++
	if _, known := v.routes[route]; known || len(v.routes) < mostRoutes {
		v.routes[route]++
	}
	tries, moves := s.shares(v)
	v.earned += tries
	v.moves += moves
}

// shares are the parts of all requests that may try the version, and that may move to it
// before all do.
func (s *Splitter) shares(v *service) (tries, moves float64) {
	left := s.c.CanaryShare - shareMargin - v.order.CutoverLead(s.c.CanaryShare).Seconds()/v.order.Duration.Seconds()
	all := v.perSecond(s.c.Now()) * float64(max(s.c.Daemons(), 1)) * v.order.Duration.Seconds()
	tries = max(min(enoughTries/max(all, 1), tryPart*left), leastTries)
	return tries, max(left-tries, 0)
}

// perSecond is how many requests this daemon has seen a second since the order.
func (v *service) perSecond(now time.Time) float64 {
	return float64(v.asked) / max(now.Sub(v.ordered).Seconds(), 1)
}

// tries tells whether a request is one of those that try the version: as many of each route.
func (s *Splitter) tries(v *service, a *Query, now time.Time) bool {
	if v.earned < 1 || v.moves+v.earned < 1 {
		return false
	}
	// What was earned before there was an endpoint is spent within a while.
	chance := min(max(leastTries, v.earned/(pressTime.Seconds()*v.perSecond(now))), mostChance)
	even := float64(v.asked) / float64(len(v.routes)) / float64(max(v.routes[a.Route], 1))
	return s.c.Random() < chance*even
}

// few is the number of endpoints that try the version: each does about what an old one does
// while what was earned before is spent, and there is another one to compare it with.
func (s *Splitter) few(v *service) int {
	old := v.order.CountOld(s.c.Endpoints(v.order.Service))
	tries, _ := s.shares(v)
	return max(int(fewFactor*tries*float64(old)+0.5), leastFew)
}

// outlasts tells whether a request may still run when the old endpoints end.
func (v *service) outlasts(a *Query, now time.Time) bool {
	return now.Add(a.MaxDuration).After(v.grant.OldEndAt)
}

// Fallback gives back what a request was granted that found no endpoint of the version, and
// says where else it may go.
func (s *Splitter) Fallback(name identifier.Service, granted *selector.VersionFilter) selector.VersionFilter {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.services[name]
	if v == nil {
		return selector.VersionFilter{}
	}
	if granted.MaxEndpoints > 0 {
		v.earned++
	}
	return v.old()
}

// Blocked tells whether an endpoint of a version may not get a request now, though it was
// chosen for it.
func (s *Splitter) Blocked(name identifier.Service, version identifier.Version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.services[name]
	if v == nil {
		return false
	}
	if version != v.order.Target {
		return v.left[version]
	}
	p := v.phase()
	return p != rollout.Complete && (p == rollout.Reverted || p == rollout.Ordered || !s.granted(v, s.c.Now()))
}

// CountsTowardsSize tells whether endpoints of a version count for the size of a service.
func (s *Splitter) CountsTowardsSize(name identifier.Service, version identifier.Version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.services[name]
	switch {
	case v == nil:
		return true
	case version == v.order.Target:
		return v.phase() == rollout.Complete
	case v.phase() == rollout.Complete && v.settling(s.c.Now()):
		return false
	}
	return !v.left[version]
}
