package promoter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"brasschute/internal/config/rollout"
	"brasschute/internal/core/identifier"
	"brasschute/internal/route/splitter"
)

// The limits of the platform in the tests, and the timing of its engines and clients.
const (
	canaryShare    = 0.1
	canarySlack    = 50
	revertTime     = 5 * time.Second
	bootTime       = 4500 * time.Millisecond
	oldVersion     = "v1"
	newVersion     = "v2"
	service        = identifier.Service("lm")
	tick           = 20 * time.Millisecond
	minGossipDelay = 150 * time.Millisecond
	gossipSpread   = 1200 * time.Millisecond
	clientTimeout  = 4 * time.Second
)

// testRoute is one route of a service: its share of the requests, how long its answers take,
// and the fraction of them that fail with any version.
type testRoute struct {
	name            string
	share           float64
	duration        time.Duration
	spread          float64
	failureFraction float64
}

var modelRoutes = []testRoute{
	{"review", 0.4, 1500 * time.Millisecond, 0.6, 0.01},
	{"letter", 0.3, 800 * time.Millisecond, 0.5, 0.01},
	{"query", 0.3, 1800 * time.Millisecond, 0.5, 0.005},
}

var plainRoutes = []testRoute{
	{"post", 0.81, 35 * time.Millisecond, 0.4, 0.004},
	{"lookup", 0.19, 35 * time.Millisecond, 0.4, 0.14},
}

// defect is a way in which a version is bad.
type defect struct {
	name string
	// failureFraction and slowFraction are fractions of its answers; slow ones take slowFactor
	// times as long.
	failureFraction, slowFraction, slowFactor float64
	// from is how long after the order the defect begins.
	from time.Duration
	// route, if not empty, is the only affected route. If loaded is set, only endpoints that
	// run at least loadedFrom requests at once are affected.
	route  string
	loaded bool
}

var defects = []defect{
	{name: "failures at once", failureFraction: 0.4},
	{name: "slow at once", slowFraction: 0.7, slowFactor: 6},
	{name: "failures later", failureFraction: 0.5, from: 7 * time.Second},
	{name: "slow later", slowFraction: 0.8, slowFactor: 6, from: 7 * time.Second},
	{name: "failures on one route", failureFraction: 0.6},
	{name: "failures under load", failureFraction: 0.5, loaded: true},
}

// simulation is a fleet of daemons with endpoints of two versions, in simulated time.
type simulation struct {
	now    time.Time
	random *rand.Rand
	routes []testRoute
	defect *defect
	old    int

	order    *rollout.Rollout
	began    time.Time
	daemons  []*splitter.Splitter
	promoter *Promoter
	messages []message
	running  []runningRequest
	load     map[identifier.Endpoint]int

	stored   rollout.Phase
	storedAt time.Time
	beat     uint64
	// sent and sentToNew count all requests until the deadline and those to the new version.
	// badAnswers counts bad answers, fiftiethBadAt is when the 50th arrived, and lateToNew
	// counts requests sent to the new version more than revertTime after it.
	sent, sentToNew, badAnswers, lateToNew int
	fiftiethBadAt                          time.Time
	// brokenOff counts requests that ran at old endpoints when these ended.
	brokenOff int
	// noHolderUntil is until when no daemon holds the lease.
	noHolderUntil time.Time
	// oldFailureFraction is the fraction of the old endpoints' answers that fail; of those of
	// failingEndpoint half fail.
	oldFailureFraction float64
	failingEndpoint    identifier.Endpoint
	tallies            map[string][]splitter.Tally
	runningOld         map[string]int
	reason             string
}

type message struct {
	at time.Time
	do func()
}

type runningRequest struct {
	ends    time.Time
	daemon  int
	r       splitter.Run
	version identifier.Version
}

func newSimulation(seed uint64, daemons, old int, routes []testRoute, bad *defect, d time.Duration) *simulation {
	sim := &simulation{
		now: time.Unix(1e9, 0), random: rand.New(rand.NewPCG(seed, 9)), routes: routes, defect: bad, old: old, promoter: New(Config{MaxShare: canaryShare}),
		load: make(map[identifier.Endpoint]int), tallies: make(map[string][]splitter.Tally), runningOld: make(map[string]int),
		order: &rollout.Rollout{Service: service, Target: newVersion, Duration: d, Revision: 1},
	}
	for range daemons {
		s := splitter.New(splitter.Config{
			CanaryShare: canaryShare, CanarySlack: canarySlack, RevertTime: revertTime, Daemons: func() int { return daemons }, Now: func() time.Time { return sim.now },
			Random: sim.random.Float64, Endpoints: sim.endpoints,
		})
		s.ApplyOrders(nil, "store")
		sim.daemons = append(sim.daemons, s)
	}
	sim.began = sim.now
	for _, s := range sim.daemons {
		sim.gossip(func() { s.ApplyOrders(map[identifier.Service]*rollout.Rollout{service: sim.order}, "store") })
	}
	return sim
}

// gossip delivers a message after a random gossip delay.
func (sim *simulation) gossip(do func()) {
	sim.messages = append(sim.messages, message{sim.now.Add(minGossipDelay + time.Duration(sim.random.Float64()*float64(gossipSpread))), do})
}

func (sim *simulation) endpoints(identifier.Service) map[identifier.Version]int {
	out := map[identifier.Version]int{oldVersion: sim.old}
	if sim.now.Sub(sim.began) > bootTime {
		out[newVersion] = sim.old
	}
	if sim.stored == rollout.Complete {
		delete(out, oldVersion)
	}
	return out
}

// simulate runs the given number of requests per second, over all daemons, until 6 s after the
// deadline.
func (sim *simulation) simulate(perSecond float64) {
	for sim.now.Sub(sim.began) < sim.order.Duration+6*time.Second {
		sim.now = sim.now.Add(tick)
		sim.deliver()
		sim.endRequests()
		for n := perSecond * tick.Seconds(); n > sim.random.Float64(); n-- {
			sim.sendRequest()
		}
		if sim.now.UnixNano()%int64(100*time.Millisecond) < int64(tick) {
			sim.stepHolder()
		}
		if sim.now.UnixNano()%int64(400*time.Millisecond) < int64(tick) {
			sim.reportTallies()
		}
	}
}

func (sim *simulation) deliver() {
	left := sim.messages[:0:0]
	for _, m := range sim.messages {
		if m.at.After(sim.now) {
			left = append(left, m)
			continue
		}
		m.do()
	}
	sim.messages = left
}

// reportTallies sends the tallies of all daemons to the lease holder.
func (sim *simulation) reportTallies() {
	for i, s := range sim.daemons {
		tallies := s.Tallies()
		n := 0
		for _, t := range tallies {
			if t.Endpoint == "" {
				n += t.Sent - t.Ended
			}
		}
		sim.gossip(func() { sim.tallies[fmt.Sprint(i)], sim.runningOld[fmt.Sprint(i)] = tallies, n })
	}
}

// stepHolder is a step of the lease holder, which is the first daemon.
func (sim *simulation) stepHolder() {
	if sim.now.Before(sim.noHolderUntil) {
		return
	}
	in := &Input{Now: sim.now, Orders: sim.daemons[0].Orders(), Tallies: sim.tallies, Endpoints: sim.endpoints, Running: make(map[identifier.Service]int)}
	for _, n := range sim.runningOld {
		in.Running[service] += n
	}
	for _, step := range sim.promoter.Step(in) {
		if step.Changed && step.Reason != "" {
			sim.reason = step.Reason
		}
		sim.beat++
		g := splitter.Grant{
			Service: service, Target: newVersion, Order: step.Order.OrderID(), Phase: step.Phase, Fencing: 1, Sequence: sim.beat, IssuedAt: sim.now, OldEndAt: step.Ends,
		}
		if g.Phase == rollout.Complete {
			g.Phase = rollout.Switching
		}
		sim.daemons[0].ApplyGrant(&g, "holder")
		deliver := sim.gossip
		if step.Changed {
			deliver = func(do func()) {
				sim.messages = append(sim.messages, message{sim.now.Add(time.Duration(sim.random.Float64() * float64(300*time.Millisecond))), do})
			}
		}
		for _, s := range sim.daemons[1:] {
			deliver(func() { s.ApplyGrant(&g, "holder") })
		}
		if step.Store && step.Phase > sim.stored || step.Phase == rollout.Ordered && sim.stored == rollout.Ordered {
			sim.storePhase(max(step.Phase, rollout.Canary))
		}
	}
}

// storePhase stores the phase. Requests that run at old endpoints when it is complete are
// broken off.
func (sim *simulation) storePhase(p rollout.Phase) {
	sim.stored, sim.storedAt = p, sim.now
	next := *sim.order
	next.Revision++
	next.Stored, next.Phase = p, p
	sim.order = &next
	sim.daemons[0].ApplyOrders(map[identifier.Service]*rollout.Rollout{service: &next}, "store")
	for _, s := range sim.daemons[1:] {
		sim.gossip(func() { s.ApplyOrders(map[identifier.Service]*rollout.Rollout{service: &next}, "store") })
	}
	if p != rollout.Complete {
		return
	}
	for _, r := range sim.running {
		if r.version == oldVersion {
			sim.brokenOff++
		}
	}
}

// sendRequest sends one request on a random route to a random daemon.
func (sim *simulation) sendRequest() {
	i := sim.random.IntN(len(sim.daemons))
	draw, route := sim.random.Float64(), &sim.routes[len(sim.routes)-1]
	for k := range sim.routes {
		if draw -= sim.routes[k].share; draw < 0 {
			route = &sim.routes[k]
			break
		}
	}
	s := sim.daemons[i]
	duration := time.Duration(float64(route.duration) * (1 + route.spread*(2*sim.random.Float64()-1)))
	v := s.Choose(&splitter.Query{Service: service, Route: route.name, MaxDuration: 2 * route.duration})
	endpoints := sim.endpoints(service)
	version, count := identifier.Version(oldVersion), endpoints[oldVersion]
	if v.Only != "" || count == 0 {
		version, count = newVersion, endpoints[newVersion]
		if v.MaxEndpoints > 0 {
			count = min(count, v.MaxEndpoints)
		}
	}
	if count == 0 {
		if v.AllowFallback {
			s.Fallback(service, &v)
		}
		version, count = oldVersion, sim.old
	}
	sim.runRequest(i, route, version, identifier.Endpoint(fmt.Sprint(version, "-", sim.random.IntN(count))), duration)
}

// loadedFrom is the number of running requests from which an endpoint counts as loaded: half of
// what an old endpoint runs on average.
func (sim *simulation) loadedFrom() int {
	n := 0
	for e, load := range sim.load {
		if e[1] == oldVersion[1] {
			n += load
		}
	}
	return n / max(sim.old, 1) / 2
}

func (sim *simulation) runRequest(daemon int, route *testRoute, version identifier.Version, e identifier.Endpoint, duration time.Duration) {
	since := sim.now.Sub(sim.began)
	r := splitter.Run{Service: service, Route: route.name, Endpoint: e, Version: version, Outcome: splitter.Answered, Expected: route.duration}
	if route.duration < 100*time.Millisecond {
		r.Expected = 0
	}
	if sim.random.Float64() < route.failureFraction || version == oldVersion && sim.random.Float64() < sim.oldFailureFraction {
		r.Outcome = splitter.Failed
	}
	if e == sim.failingEndpoint && sim.random.IntN(2) == 0 {
		r.Outcome = splitter.Failed
	}
	bad := false
	if b := sim.defect; version == newVersion && b != nil && since > b.from && (b.route == "" || b.route == route.name) &&
		(!b.loaded || sim.load[e] >= sim.loadedFrom()) {
		switch draw := sim.random.Float64(); {
		case draw < b.failureFraction:
			r.Outcome, bad = splitter.Failed, true
		case draw < b.failureFraction+b.slowFraction:
			duration, bad = time.Duration(b.slowFactor*float64(duration)), true
		}
	}
	if since < sim.order.Duration {
		sim.sent++
	}
	if version == newVersion {
		if since < sim.order.Duration {
			sim.sentToNew++
		}
		if !sim.fiftiethBadAt.IsZero() && sim.now.Sub(sim.fiftiethBadAt) > revertTime {
			sim.lateToNew++
		}
	}
	r.Elapsed = duration
	if duration > clientTimeout {
		r.Elapsed, r.Abandoned = clientTimeout, true
	}
	sim.load[e]++
	sim.daemons[daemon].RunStarted(&r)
	sim.running = append(sim.running, runningRequest{sim.now.Add(r.Elapsed), daemon, r, version})
	if bad {
		if sim.badAnswers++; sim.badAnswers == 50 {
			sim.fiftiethBadAt = sim.now.Add(r.Elapsed)
		}
	}
}

func (sim *simulation) endRequests() {
	left := sim.running[:0]
	for _, r := range sim.running {
		if r.ends.After(sim.now) {
			left = append(left, r)
			continue
		}
		sim.load[r.r.Endpoint]--
		sim.daemons[r.daemon].RunEnded(&r.r)
	}
	sim.running = left
}

// checkExposure fails the test if a bad version got more than its share of the requests, or was
// used for longer than revertTime after its 50th bad answer.
func (sim *simulation) checkExposure(t *testing.T) {
	t.Helper()
	if most := canaryShare*float64(sim.sent) + canarySlack; float64(sim.sentToNew) > most {
		t.Errorf("%d of %d requests went to the new version, %.0f allowed; stored %v (%s)", sim.sentToNew, sim.sent, most, sim.stored, sim.reason)
	}
	if sim.lateToNew > 0 {
		t.Errorf("%d requests went to the new version more than %v after its 50th bad answer; stored %v", sim.lateToNew, revertTime, sim.stored)
	}
}
