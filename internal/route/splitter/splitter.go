// Package splitter splits the requests for a service between the versions of its endpoints during a
// roll-out.
//
// # Canary share
//
// A new version may be bad, and its share of all requests is a sum over the fleet that no daemon
// can compute in time. Each daemon therefore earns a fraction of a canary request with each request
// for the service, and a canary request costs one whole unit. All daemons together then send the
// version a fixed share of the requests that they have received, even if some are partitioned,
// restarted or have few clients. Because daemons with few requests would earn too little, part of
// the tolerated slack beyond the share is divided among the daemons when the order arrives.
//
// Canary requests are spread evenly over the routes of a service, because a version may be bad on
// one route only. They go to a few endpoints of the version, each of which is then as loaded as an
// old one, because a version may be bad under load only.
//
// # Grants
//
// The lease holder decides how far a roll-out has come and issues a [Grant] several times a second.
// A daemon that has received no grant for [grantTime] sends nothing to the new version: if the
// daemon is partitioned or the holder has died, the old endpoints serve. A revert is final and
// overrides everything else.
//
// # Usage
//
//	s.ApplyOrders(orders, source)        // from the store
//	s.ApplyGrant(&grant, source)         // from the holder, or passed on
//	versions := s.Choose(&query)         // for each choice of an endpoint
//	if s.Blocked(service, version) {...} // right before the first byte
//	s.RunStarted(&run)
//	s.RunEnded(&run)                     // with the outcome
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
	// The share covers canary requests and requests that would outlast the old endpoints. The
	// evidence from canary requests depends on their number. Their fraction of all requests is
	// therefore chosen such that there are canaryRequests of them until the deadline. It is at most
	// maxCanaryFraction of the share, and at least minCanaryFraction: a few endpoints must be as
	// busy with canary requests as the old ones are with theirs.
	canaryRequests    = 300
	maxCanaryFraction = 0.4
	minCanaryFraction = 0.015
	// Canary requests go to as many endpoints as the number of old ones times the canary fraction
	// times endpointFactor, at least to minCanaryEndpoints.
	endpointFactor     = 1.5
	minCanaryEndpoints = 2
	// shareMargin is subtracted from the share to allow for differences between clocks and between
	// counts.
	shareMargin = 0.005
	// slackFraction of the slack is divided among the daemons.
	slackFraction = 0.5
	// catchUpTime is the time in which the budget earned before the version had an endpoint is
	// spent.
	catchUpTime = 4 * time.Second
	// maxCatchUpChance is the maximum fraction of requests that go to the version meanwhile.
	maxCatchUpChance = 0.25
	// listTime is how long endpoints may remain listed after they have ended.
	listTime = 10 * time.Second
	// maxRoutes limits the routes of a service that are counted separately.
	maxRoutes = 64
)

// Config holds the limits of a roll-out and the dependencies of a splitter.
type Config struct {
	// CanaryShare is the share of all requests for a service that may go to an unproven version.
	// CanarySlack is the number of requests tolerated beyond it.
	CanaryShare float64
	CanarySlack float64
	// RevertTime is the time within which a bad version must be abandoned; 0 for no limit.
	RevertTime time.Duration
	// Now returns the current time of a clock that continues while the host is suspended, because
	// others compare its times with those of the holder; time.Now if nil.
	Now func() time.Time
	// Daemons returns the estimated number of daemons; 1 if nil.
	Daemons func() int
	// Endpoints counts the endpoints of a service by version; may be nil.
	Endpoints func(identifier.Service) map[identifier.Version]int
	// Random returns a number in [0, 1); rand.Float64 if nil.
	Random func() float64
	// OnPhaseChange is called for each phase change; may be nil.
	OnPhaseChange func(PhaseChange)
	// OnAnswer is called for each answer that counts, either of the version that is rolled out
	// (isTarget) or of another one; may be nil.
	OnAnswer func(r *Run, isTarget, slow bool)
}

// Query describes a request that is about to be sent.
type Query struct {
	Service identifier.Service
	Route   string
	// Repeated: the request was sent before, or has been decided on.
	Repeated bool
	// MaxDuration is how long the answer may take.
	MaxDuration time.Duration
	// Continues: the request continues a stream that began at Version.
	Continues bool
	Version   identifier.Version
}

// Splitter decides which versions requests may go to. It is safe for concurrent use.
type Splitter struct {
	c Config

	mu sync.Mutex
	// known: the orders have been read at least once.
	known    bool
	services map[identifier.Service]*service
}

// New returns a splitter without orders.
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

// Choose returns the versions that a request may go to.
func (s *Splitter) Choose(q *Query) selector.VersionFilter {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.services[q.Service]
	if q.Continues {
		return s.chooseOrigin(v, q)
	}
	if v == nil {
		// Without knowledge of the orders, the version that most endpoints run is used.
		return selector.VersionFilter{MajorityOnly: !s.known}
	}
	now := s.c.Now()
	if !q.Repeated {
		s.countRequest(v, q.Route)
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
	case q.Repeated:
		return old
	case p == rollout.Migrating && v.outlasts(q, now) && v.moveBudget+v.canaryBudget >= 1:
		// The rest of the canary budget is spent, too: there have been enough canary requests by
		// now.
		v.moveBudget--
		return selector.VersionFilter{Only: target, AllowFallback: true}
	case p >= rollout.Canary && s.isCanary(v, q, now):
		v.canaryBudget--
		return selector.VersionFilter{Only: target, MaxEndpoints: s.canaryEndpoints(v), AllowFallback: true}
	}
	return old
}

// chooseOrigin returns the version at which a stream began, if it may get requests. v is the
// service's roll-out, nil for none. The caller holds the lock.
func (s *Splitter) chooseOrigin(v *service, q *Query) selector.VersionFilter {
	origin := selector.VersionFilter{Only: q.Version, Exact: true}
	if v == nil {
		return origin
	}
	if !q.Repeated {
		s.countRequest(v, q.Route)
	}
	if s.isBlocked(v, q.Version) {
		return selector.VersionFilter{None: true}
	}
	if !q.Repeated && q.Version == v.order.Target && !v.phase().IsFinal() {
		// It counts towards the share of the version; later requests make up for it.
		v.canaryBudget--
	}
	return origin
}

// old allows the versions from before the roll-out.
func (v *service) old() selector.VersionFilter {
	out := v.others()
	out.Except = append(out.Except, v.order.Target)
	return out
}

// others allows all versions except those of earlier orders that did not become complete.
func (v *service) others() selector.VersionFilter {
	out := selector.VersionFilter{}
	for version := range v.abandoned {
		out.Except = append(out.Except, version)
	}
	return out
}

// settling reports whether the old endpoints may still be listed after the roll-out is complete:
// they end at once, and their records a few heartbeats later.
func (v *service) settling(now time.Time) bool { return now.Sub(v.changedAt) < listTime }

// countRequest counts a request for a service and adds to the budgets.
func (s *Splitter) countRequest(v *service, route string) {
	if v.phase().IsFinal() {
		return
	}
	v.requests++
	if _, known := v.routes[route]; known || len(v.routes) < maxRoutes {
		v.routes[route]++
	}
	canary, move := s.fractions(v)
	v.canaryBudget += canary
	v.moveBudget += move
}

// fractions returns the fraction of all requests that may be canary requests, and the fraction that
// may move to the version before all do.
func (s *Splitter) fractions(v *service) (canary, move float64) {
	available := s.c.CanaryShare - shareMargin - v.order.CutoverLead(s.c.CanaryShare).Seconds()/v.order.Duration.Seconds()
	expected := v.requestRate(s.c.Now()) * float64(max(s.c.Daemons(), 1)) * v.order.Duration.Seconds()
	canary = max(min(canaryRequests/max(expected, 1), maxCanaryFraction*available), minCanaryFraction)
	return canary, max(available-canary, 0)
}

// requestRate returns the requests per second that this daemon has seen since the order.
func (v *service) requestRate(now time.Time) float64 {
	return float64(v.requests) / max(now.Sub(v.orderedAt).Seconds(), 1)
}

// isCanary reports whether a request becomes a canary request. Each route gets about the same
// number of canary requests.
func (s *Splitter) isCanary(v *service, q *Query, now time.Time) bool {
	if v.canaryBudget < 1 || v.moveBudget+v.canaryBudget < 1 {
		return false
	}
	// The budget earned before the version had an endpoint is spent within catchUpTime.
	chance := min(max(minCanaryFraction, v.canaryBudget/(catchUpTime.Seconds()*v.requestRate(now))), maxCatchUpChance)
	evenness := float64(v.requests) / float64(len(v.routes)) / float64(max(v.routes[q.Route], 1))
	return s.c.Random() < chance*evenness
}

// canaryEndpoints returns the number of endpoints that serve canary requests. Each is then about as
// busy as an old one, also while the budget earned earlier is spent, and there is a second one to
// compare it with.
func (s *Splitter) canaryEndpoints(v *service) int {
	old := v.order.CountOld(s.c.Endpoints(v.order.Service))
	canary, _ := s.fractions(v)
	return max(int(endpointFactor*canary*float64(old)+0.5), minCanaryEndpoints)
}

// outlasts reports whether a request may still be running when the old endpoints end.
func (v *service) outlasts(q *Query, now time.Time) bool {
	return now.Add(q.MaxDuration).After(v.grant.OldEndAt)
}

// Fallback returns the versions to use instead if no endpoint of the granted versions can serve. It
// gives back the budget that a canary request took.
func (s *Splitter) Fallback(name identifier.Service, granted *selector.VersionFilter) selector.VersionFilter {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.services[name]
	if v == nil {
		return selector.VersionFilter{}
	}
	if granted.MaxEndpoints > 0 {
		v.canaryBudget++
	}
	return v.old()
}

// Blocked reports whether a request must not be sent to an endpoint of a version now, even if the
// endpoint was chosen for it.
func (s *Splitter) Blocked(name identifier.Service, version identifier.Version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.services[name]
	return v != nil && s.isBlocked(v, version)
}

// isBlocked is [Splitter.Blocked] for a service with a roll-out. The caller holds the lock.
func (s *Splitter) isBlocked(v *service, version identifier.Version) bool {
	if version != v.order.Target {
		return v.abandoned[version]
	}
	p := v.phase()
	return p != rollout.Complete && (p == rollout.Reverted || p == rollout.Ordered || !s.granted(v, s.c.Now()))
}

// CountsTowardsSize reports whether endpoints of a version count towards the size of a service.
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
	return !v.abandoned[version]
}
