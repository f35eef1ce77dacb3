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

// The platform's terms of the tests, and its engines.
const (
	share       = 0.1
	slack       = 50
	revertTime  = 5 * time.Second
	bootTime    = 4500 * time.Millisecond
	oldVersion  = "v1"
	newVersion  = "v2"
	service     = identifier.Service("lm")
	tick        = 20 * time.Millisecond
	newsLeast   = 150 * time.Millisecond
	newsSpread  = 1200 * time.Millisecond
	clientsWait = 4 * time.Second
)

// testRoute is one route of a service: its part of the requests, how long its answers take,
// and which of them fail by themselves.
type testRoute struct {
	name   string
	part   float64
	takes  time.Duration
	spread float64
	fails  float64
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

// badness is in which way a version is bad.
type badness struct {
	name string
	// fails and slow are parts of its answers; slow ones take slower times as long.
	fails, slow, slower float64
	// from is how long after the order it begins.
	from time.Duration
	// route, if not empty, is the only one; loaded: only endpoints that run loadedFrom
	// requests or more at once.
	route  string
	loaded bool
}

var kinds = []badness{
	{name: "failures at once", fails: 0.4},
	{name: "slow at once", slow: 0.7, slower: 6},
	{name: "failures later", fails: 0.5, from: 7 * time.Second},
	{name: "slow later", slow: 0.8, slower: 6, from: 7 * time.Second},
	{name: "failures on one route", fails: 0.6},
	{name: "failures under load", fails: 0.5, loaded: true},
}

// world is a fleet of daemons before endpoints of two versions, in time of its own.
type world struct {
	now    time.Time
	random *rand.Rand
	routes []testRoute
	bad    *badness
	old    int

	order    *rollout.Rollout
	began    time.Time
	daemons  []*splitter.Splitter
	promoter *Promoter
	mail     []letter
	running  []run
	load     map[identifier.Endpoint]int

	stored   rollout.Phase
	storedAt time.Time
	beat     uint64
	// sent and tried count requests until the deadline, to the new version the latter; bads
	// counts bad answers, fiftieth is when the 50th came, late what was sent long after.
	sent, tried, bads, late int
	fiftieth                time.Time
	// broken counts requests that ran at old endpoints when these ended.
	broken int
	// holderless until: nobody holds the duties.
	holderless time.Time
	// oldFails is the part of the old endpoints' answers that fail, grey an endpoint of which
	// half do.
	oldFails float64
	grey     identifier.Endpoint
	told     map[string][]splitter.Tally
	ran      map[string]int
	reason   string
}

type letter struct {
	at time.Time
	do func()
}

type run struct {
	ends    time.Time
	daemon  int
	r       splitter.Run
	version identifier.Version
}

func newWorld(seed uint64, daemons, old int, routes []testRoute, bad *badness, d time.Duration) *world {
	w := &world{
		now: time.Unix(1e9, 0), random: rand.New(rand.NewPCG(seed, 9)), routes: routes, bad: bad, old: old, promoter: New(Config{MaxShare: share}),
		load: make(map[identifier.Endpoint]int), told: make(map[string][]splitter.Tally), ran: make(map[string]int),
		order: &rollout.Rollout{Service: service, Target: newVersion, Duration: d, Revision: 1},
	}
	for range daemons {
		s := splitter.New(splitter.Config{
			CanaryShare: share, CanarySlack: slack, RollbackTime: revertTime, Daemons: func() int { return daemons }, Now: func() time.Time { return w.now },
			Random: w.random.Float64, Endpoints: w.endpoints,
		})
		s.ApplyOrders(nil, "store")
		w.daemons = append(w.daemons, s)
	}
	w.began = w.now
	for _, s := range w.daemons {
		w.post(func() { s.ApplyOrders(map[identifier.Service]*rollout.Rollout{service: w.order}, "store") })
	}
	return w
}

// post delivers something after the time that news takes.
func (w *world) post(do func()) {
	w.mail = append(w.mail, letter{w.now.Add(newsLeast + time.Duration(w.random.Float64()*float64(newsSpread))), do})
}

func (w *world) endpoints(identifier.Service) map[identifier.Version]int {
	out := map[identifier.Version]int{oldVersion: w.old}
	if w.now.Sub(w.began) > bootTime {
		out[newVersion] = w.old
	}
	if w.stored == rollout.Complete {
		delete(out, oldVersion)
	}
	return out
}

// play plays so many requests a second in all until some time after the deadline.
func (w *world) play(perSecond float64) {
	for w.now.Sub(w.began) < w.order.Duration+6*time.Second {
		w.now = w.now.Add(tick)
		w.deliver()
		w.end()
		for n := perSecond * tick.Seconds(); n > w.random.Float64(); n-- {
			w.send()
		}
		if w.now.UnixNano()%int64(100*time.Millisecond) < int64(tick) {
			w.hold()
		}
		if w.now.UnixNano()%int64(400*time.Millisecond) < int64(tick) {
			w.tell()
		}
	}
}

func (w *world) deliver() {
	left := w.mail[:0:0]
	for _, l := range w.mail {
		if l.at.After(w.now) {
			left = append(left, l)
			continue
		}
		l.do()
	}
	w.mail = left
}

// tell lets the holder hear of all daemons.
func (w *world) tell() {
	for i, s := range w.daemons {
		tallies := s.Tallies()
		n := 0
		for _, t := range tallies {
			if t.Endpoint == "" {
				n += t.Sent - t.Ended
			}
		}
		w.post(func() { w.told[fmt.Sprint(i)], w.ran[fmt.Sprint(i)] = tallies, n })
	}
}

// hold is a step of the holder of the duties, which is the first daemon.
func (w *world) hold() {
	if w.now.Before(w.holderless) {
		return
	}
	in := &Input{Now: w.now, Orders: w.daemons[0].Orders(), Tallies: w.told, Endpoints: w.endpoints, Running: make(map[identifier.Service]int)}
	for _, n := range w.ran {
		in.Running[service] += n
	}
	for _, step := range w.promoter.Step(in) {
		if step.Changed && step.Reason != "" {
			w.reason = step.Reason
		}
		w.beat++
		g := splitter.Grant{
			Service: service, Target: newVersion, Order: step.Order.OrderID(), Phase: step.Phase, Fencing: 1, Sequence: w.beat, IssuedAt: w.now, OldEndAt: step.Ends,
		}
		if g.Phase == rollout.Complete {
			g.Phase = rollout.Switching
		}
		w.daemons[0].ApplyGrant(&g, "holder")
		each := w.post
		if step.Changed {
			each = func(do func()) {
				w.mail = append(w.mail, letter{w.now.Add(time.Duration(w.random.Float64() * float64(300*time.Millisecond))), do})
			}
		}
		for _, s := range w.daemons[1:] {
			each(func() { s.ApplyGrant(&g, "holder") })
		}
		if step.Store && step.Phase > w.stored || step.Phase == rollout.Ordered && w.stored == rollout.Ordered {
			w.store(max(step.Phase, rollout.Trying))
		}
	}
}

// store writes the phase; what ran at old endpoints when it is complete is broken off.
func (w *world) store(p rollout.Phase) {
	w.stored, w.storedAt = p, w.now
	next := *w.order
	next.Revision++
	next.Stored, next.Phase = p, p
	w.order = &next
	w.daemons[0].ApplyOrders(map[identifier.Service]*rollout.Rollout{service: &next}, "store")
	for _, s := range w.daemons[1:] {
		w.post(func() { s.ApplyOrders(map[identifier.Service]*rollout.Rollout{service: &next}, "store") })
	}
	if p != rollout.Complete {
		return
	}
	for _, r := range w.running {
		if r.version == oldVersion {
			w.broken++
		}
	}
}

// send sends one request of a random route at a random daemon.
func (w *world) send() {
	i := w.random.IntN(len(w.daemons))
	draw, route := w.random.Float64(), &w.routes[len(w.routes)-1]
	for k := range w.routes {
		if draw -= w.routes[k].part; draw < 0 {
			route = &w.routes[k]
			break
		}
	}
	s := w.daemons[i]
	takes := time.Duration(float64(route.takes) * (1 + route.spread*(2*w.random.Float64()-1)))
	v := s.Choose(&splitter.Query{Service: service, Route: route.name, MaxDuration: 2 * route.takes})
	endpoints := w.endpoints(service)
	version, few := identifier.Version(oldVersion), endpoints[oldVersion]
	if v.Only != "" || few == 0 {
		version, few = newVersion, endpoints[newVersion]
		if v.MaxEndpoints > 0 {
			few = min(few, v.MaxEndpoints)
		}
	}
	if few == 0 {
		if v.AllowFallback {
			s.Fallback(service, &v)
		}
		version, few = oldVersion, w.old
	}
	w.run(i, route, version, identifier.Endpoint(fmt.Sprint(version, "-", w.random.IntN(few))), takes)
}

// loadedFrom is how many requests an endpoint runs that counts as loaded: half of what an
// old one does.
func (w *world) loadedFrom() int {
	n := 0
	for e, load := range w.load {
		if e[1] == oldVersion[1] {
			n += load
		}
	}
	return n / max(w.old, 1) / 2
}

func (w *world) run(daemon int, route *testRoute, version identifier.Version, e identifier.Endpoint, takes time.Duration) {
	since := w.now.Sub(w.began)
	r := splitter.Run{Service: service, Route: route.name, Endpoint: e, Version: version, Outcome: splitter.Answered, Expected: route.takes}
	if route.takes < 100*time.Millisecond {
		r.Expected = 0
	}
	if w.random.Float64() < route.fails || version == oldVersion && w.random.Float64() < w.oldFails {
		r.Outcome = splitter.Failed
	}
	if e == w.grey && w.random.IntN(2) == 0 {
		r.Outcome = splitter.Failed
	}
	bad := false
	if b := w.bad; version == newVersion && b != nil && since > b.from && (b.route == "" || b.route == route.name) &&
		(!b.loaded || w.load[e] >= w.loadedFrom()) {
		switch draw := w.random.Float64(); {
		case draw < b.fails:
			r.Outcome, bad = splitter.Failed, true
		case draw < b.fails+b.slow:
			takes, bad = time.Duration(b.slower*float64(takes)), true
		}
	}
	if since < w.order.Duration {
		w.sent++
	}
	if version == newVersion {
		if since < w.order.Duration {
			w.tried++
		}
		if !w.fiftieth.IsZero() && w.now.Sub(w.fiftieth) > revertTime {
			w.late++
		}
	}
	r.Elapsed = takes
	if takes > clientsWait {
		r.Elapsed, r.Abandoned = clientsWait, true
	}
	w.load[e]++
	w.daemons[daemon].RunStarted(&r)
	w.running = append(w.running, run{w.now.Add(r.Elapsed), daemon, r, version})
	if bad {
		if w.bads++; w.bads == 50 {
			w.fiftieth = w.now.Add(r.Elapsed)
		}
	}
}

func (w *world) end() {
	left := w.running[:0]
	for _, r := range w.running {
		if r.ends.After(w.now) {
			left = append(left, r)
			continue
		}
		w.load[r.r.Endpoint]--
		w.daemons[r.daemon].RunEnded(&r.r)
	}
	w.running = left
}

// exposed fails if a bad version got more than its share, or was used long after it showed.
func (w *world) exposed(t *testing.T) {
	t.Helper()
	if most := share*float64(w.sent) + slack; float64(w.tried) > most {
		t.Errorf("%d of %d requests went to the new version, %.0f are the most; stored %v (%s)", w.tried, w.sent, most, w.stored, w.reason)
	}
	if w.late > 0 {
		t.Errorf("%d requests went to it later than %v after its 50th bad answer; stored %v", w.late, revertTime, w.stored)
	}
}
