package gateway

import (
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"brasschute/internal/config/deployment"
	"brasschute/internal/config/rollout"
	"brasschute/internal/core/identifier"
	"brasschute/internal/fault/shaper"
	"brasschute/internal/standin/hosting"
	"brasschute/platform"
)

// Bounds of what a bad version may get, and the durations of the platform's roll-outs.
const (
	canaryShare = 0.1
	canarySlack = 50
	revertTime  = 5 * time.Second
	bootDelay   = 4 * time.Second
	drainPeriod = 3 * time.Second
	// versionEngines is the number of engines of each version.
	versionEngines = 24
	oldVersion     = "v1"
	newVersion     = "v2"
)

// engineAnswer is how an engine answers one request: with a behaviour, after a delay.
type engineAnswer struct {
	delay     time.Duration
	behaviour hosting.Behaviour
}

// versionFleet holds the model engines of several versions of one service.
type versionFleet struct {
	f    *testFleet
	host *shaper.Host
	// answers returns how an engine answers the nth request, and whether the answer counts as a
	// bad one of the new version.
	answers func(version, path string, since time.Duration, n int) (a engineAnswer, bad bool)

	mu      sync.Mutex
	engines map[string][]*http.Server
	places  int
	begun   time.Time
	// arrivals are the requests that engines began to run since the order.
	arrivals []*arrival
	replies  []clientReply
	group    sync.WaitGroup
	// extraLoad is how long requests are sent after the deadline; at least five seconds.
	extraLoad time.Duration
}

// arrival is a request at an engine; ended is when it was answered.
type arrival struct {
	at, ended time.Time
	version   string
	bad       bool
}

// healthyAnswer returns the answer of a healthy engine, after some tenths of a second that depend
// on the route.
func healthyAnswer(path string) engineAnswer {
	if strings.HasPrefix(path, resumePath) {
		return engineAnswer{300 * time.Millisecond, hosting.Serve}
	}
	return engineAnswer{700 * time.Millisecond, hosting.Serve}
}

// inVersionFleet runs a check among daemons in front of engines whose service can be rolled out.
func inVersionFleet(t *testing.T, daemons int, check func(v *versionFleet)) {
	t.Helper()
	inPausedTime(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		f.rate = wideLink
		f.adjust = func(d *deployment.Deployment) {
			d.Rollouts = true
			d.Bounds.CanaryShare, d.Bounds.CanarySlack, d.Bounds.RevertTime = canaryShare, canarySlack, revertTime
		}
		v := &versionFleet{f: f, host: f.network.Host(storeLink), engines: make(map[string][]*http.Server)}
		v.answers = func(_, path string, _ time.Duration, _ int) (engineAnswer, bool) { return healthyAnswer(path), false }
		f.stop = append(f.stop, func() { v.stopEngines("") })
		f.startEngines(isFatal).close()
		for i := range engineCount {
			f.store.Remove(platform.EndpointKind, fmt.Sprintf("i-%03d", i+1))
		}
		v.start(oldVersion)
		if daemons > smallFleetSize {
			daemons = scaledFleetSize(daemons)
		}
		f.start(daemons)
		f.settle()
		check(v)
	})
}

// start starts the engines of a version.
func (v *versionFleet) start(version string) {
	for i := range versionEngines {
		v.mu.Lock()
		v.places++
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 65, byte(v.places / 200), byte(1 + v.places%200)}), 8745)
		v.mu.Unlock()
		l, err := v.host.Listen(address)
		if err != nil {
			v.f.t.Errorf("engine at %v: %v", address, err)
			return
		}
		id := fmt.Sprintf("%s-%02d", version, i)
		e := hosting.NewEngine(hosting.Config{
			ID: id, Service: modelService, Zone: fmt.Sprintf("zone-%d", i%v.f.zones), Address: address.String(), StreamLength: engineEvents, Version: version,
		})
		e.SetBehaviour(func(r *http.Request) hosting.Behaviour { return v.serveRequest(version, r) })
		server := &http.Server{Handler: e}
		go func() { _ = server.Serve(l) }()
		v.mu.Lock()
		v.engines[version] = append(v.engines[version], server)
		v.mu.Unlock()
		v.f.store.Write(platform.EndpointKind, id, e.Record("ready"))
	}
}

// serveRequest records a request at an engine and returns how it is answered.
func (v *versionFleet) serveRequest(version string, r *http.Request) hosting.Behaviour {
	v.mu.Lock()
	now := time.Now()
	a, bad := v.answers(version, r.URL.Path, now.Sub(v.begun), len(v.arrivals))
	req := &arrival{at: now, version: version, bad: bad}
	v.arrivals = append(v.arrivals, req)
	v.mu.Unlock()
	time.Sleep(a.delay)
	v.mu.Lock()
	req.ended = time.Now()
	v.mu.Unlock()
	return a.behaviour
}

// stopEngines ends the engines of all versions but one at once.
func (v *versionFleet) stopEngines(allBut string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for version, servers := range v.engines {
		if version == allBut {
			continue
		}
		for i, s := range servers {
			_ = s.Close()
			v.f.store.Remove(platform.EndpointKind, fmt.Sprintf("%s-%02d", version, i))
		}
		delete(v.engines, version)
	}
}

// delistEngines removes the records of a version's engines, which continue to run for a while.
func (v *versionFleet) delistEngines(version string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range v.engines[version] {
		v.f.store.Remove(platform.EndpointKind, fmt.Sprintf("%s-%02d", version, i))
	}
}

// rollOut orders the new version while requests are sent at a total rate. It returns the states
// that were stored, and the time from the order to the last one.
func (v *versionFleet) rollOut(perSecond float64, d time.Duration) (states []string, took time.Duration) {
	length := d + max(v.extraLoad, 5*time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		v.sendLoad(perSecond, length)
	}()
	time.Sleep(2 * time.Second)
	v.mu.Lock()
	v.arrivals, v.begun = nil, time.Now()
	v.mu.Unlock()
	states, took = hosting.NewRolloutDriver(hosting.RolloutDriverConfig{
		Store: v.f.store, Service: modelService, BootTime: bootDelay, DrainTime: drainPeriod, Start: v.start, Stop: v.stopEngines, StartDrain: v.delistEngines,
	}).Order(newVersion, d, length-2*time.Second)
	<-done
	v.group.Wait()
	return states, took
}

// sendLoad sends requests to random daemons.
func (v *versionFleet) sendLoad(perSecond float64, d time.Duration) {
	const step = 10 * time.Millisecond
	n := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		for k := perSecond * step.Seconds(); k > v.f.random.Float64(); k-- {
			n++
			daemon, path, body := v.f.random.IntN(len(v.f.daemons)), streamPath, fmt.Sprint("body ", n)
			if n%3 == 0 {
				path = resumePath
			}
			v.group.Go(func() {
				r := v.f.ask(daemon, path, body)
				v.mu.Lock()
				defer v.mu.Unlock()
				v.replies = append(v.replies, r)
			})
		}
	}
}

// checkExposure checks how many requests a bad version got until the deadline, and that it got
// none later than revertTime after its fiftieth bad answer.
func (v *versionFleet) checkExposure(d time.Duration) {
	v.f.t.Helper()
	all, tried := 0, 0
	var bads []time.Time
	for _, a := range v.arrivals {
		if a.at.Sub(v.begun) > d {
			continue
		}
		all++
		if a.version == newVersion {
			tried++
		}
		if a.bad && !a.ended.IsZero() {
			bads = append(bads, a.ended)
		}
	}
	if limit := canaryShare*float64(all) + canarySlack; float64(tried) > limit {
		v.f.t.Errorf("%d of %d requests went to the new version, want at most %.0f", tried, all, limit)
	}
	v.f.t.Logf("%d of %d requests went to the new version, %d bad answers", tried, all, len(bads))
	if len(bads) < canarySlack {
		return
	}
	slices.SortFunc(bads, time.Time.Compare)
	for _, a := range v.arrivals {
		if late := a.at.Sub(bads[canarySlack-1]); a.version == newVersion && late > revertTime {
			v.f.t.Errorf("a request went to the new version %v after its 50th bad answer", late)
			return
		}
	}
}

// countUnserved counts the requests that did not end as complete streams.
func (v *versionFleet) countUnserved() (n int) { return countFailed(v.replies) }

// rolloutShape is a fleet size with the total requests per second and the durations of the
// orders to test.
type rolloutShape struct {
	daemons   int
	perSecond float64
	orders    []time.Duration
}

// rolloutShapes returns the fleets to test. Full-size fleets run without the race detector only,
// under which the requests alone take minutes.
func rolloutShapes() []rolloutShape {
	out := []rolloutShape{{8, 200, []time.Duration{12 * time.Second}}}
	if !raceDetector {
		out[0].orders = append(out[0].orders, time.Minute)
		out = append(out, rolloutShape{83, 332, []time.Duration{12 * time.Second}}, rolloutShape{195, 400, []time.Duration{12 * time.Second}})
	}
	return out
}

// A good version takes over a service without aborting any request: requests that would outlast
// the old engines must go to the new ones, and the others must be waited for.
func TestGoodVersionIsRolledOut(t *testing.T) {
	for _, shape := range rolloutShapes() {
		for _, d := range shape.orders {
			t.Run(fmt.Sprint(shape.daemons, " daemons, ", d), func(t *testing.T) {
				inVersionFleet(t, shape.daemons, func(v *versionFleet) {
					states, took := v.rollOut(shape.perSecond, d)
					t.Logf("%v, the last after %v; %d of %d unserved", states, took, v.countUnserved(), len(v.replies))
					if !slices.Equal(states, []string{"serving", "complete"}) {
						t.Errorf("states %v", states)
					}
					if n := v.countUnserved(); n > 0 {
						t.Errorf("%d of %d requests were not served", n, len(v.replies))
					}
				})
			})
		}
	}
}

// badVersions are versions with different defects.
var badVersions = []struct {
	name    string
	answers func(path string, since time.Duration, n int) (engineAnswer, bool)
}{
	{"failures at once", func(path string, _ time.Duration, n int) (engineAnswer, bool) {
		a := healthyAnswer(path)
		if n%5 < 2 {
			return engineAnswer{a.delay, hosting.Fail}, true
		}
		return a, false
	}},
	{"slow at once", func(path string, _ time.Duration, _ int) (engineAnswer, bool) {
		a := healthyAnswer(path)
		return engineAnswer{6 * a.delay, hosting.Serve}, true
	}},
	{"failures later", func(path string, since time.Duration, _ int) (engineAnswer, bool) {
		a := healthyAnswer(path)
		if since > 8*time.Second {
			return engineAnswer{a.delay, hosting.Fail}, true
		}
		return a, false
	}},
	{"failures on one route", func(path string, _ time.Duration, _ int) (engineAnswer, bool) {
		a := healthyAnswer(path)
		if strings.HasPrefix(path, resumePath) {
			return engineAnswer{a.delay, hosting.Fail}, true
		}
		return a, false
	}},
}

// A bad version must be reverted before it has had more than its share of the requests, and must
// get none afterwards, though its engines are still listed.
func TestBadVersionIsReverted(t *testing.T) {
	for _, shape := range rolloutShapes()[:min(2, len(rolloutShapes()))] {
		for _, bad := range badVersions {
			t.Run(fmt.Sprint(shape.daemons, " daemons, ", bad.name), func(t *testing.T) {
				inVersionFleet(t, shape.daemons, func(v *versionFleet) { v.checkReverted(shape.perSecond, bad.answers, nil) })
			})
		}
	}
}

// checkReverted orders a bad version, disturbs the fleet after the order, and checks that the
// version is reverted in time.
func (v *versionFleet) checkReverted(perSecond float64, bad func(string, time.Duration, int) (engineAnswer, bool), disturb func()) {
	v.f.t.Helper()
	const d = 16 * time.Second
	v.answers = func(version, path string, since time.Duration, n int) (engineAnswer, bool) {
		if version == newVersion {
			return bad(path, since, n)
		}
		return healthyAnswer(path), false
	}
	if disturb != nil {
		go func() {
			time.Sleep(2 * time.Second)
			disturb()
		}()
	}
	states, took := v.rollOut(perSecond, d)
	v.f.t.Logf("%v, the last after %v; %d of %d unserved", states, took, v.countUnserved(), len(v.replies))
	v.checkExposure(d)
	if !slices.Equal(states, []string{"serving", "reverted"}) {
		v.f.t.Errorf("states %v", states)
	}
}

// leaseHolder returns the index of the daemon that holds the lease, -1 if none does.
func (f *testFleet) leaseHolder() int {
	for i, g := range f.daemons {
		if _, held := g.lease.Held(); held {
			return i
		}
	}
	return -1
}

// The lease holder is isolated in the middle of the canary phase of a failing version, and with it
// everything known about the answers. No daemon grants the roll-out any more, so no further request
// may go to the version until the next holder has received the tallies and reverts it.
func TestVersionWithoutAHolderIsNotTried(t *testing.T) {
	for _, shape := range rolloutShapes()[:min(2, len(rolloutShapes()))] {
		t.Run(fmt.Sprint(shape.daemons), func(t *testing.T) {
			inVersionFleet(t, shape.daemons, func(v *versionFleet) {
				v.checkReverted(200, badVersions[0].answers, func() {
					time.Sleep(bootDelay + 300*time.Millisecond)
					v.f.networks[v.f.leaseHolder()].isolated.Store(true)
				})
			})
		})
	}
}

// The store refuses all daemons from the moment at which a version proves to be bad. The status
// cannot be stored, but no daemon may send further requests to the version.
func TestVersionIsLeftWhileTheStoreIsAway(t *testing.T) {
	inVersionFleet(t, 8, func(v *versionFleet) {
		v.checkReverted(200, badVersions[0].answers, func() {
			time.Sleep(bootDelay + 300*time.Millisecond)
			v.f.store.SetFault(func(hosting.Call) hosting.Fault { return hosting.Unavailable })
			time.Sleep(4 * time.Second)
			v.f.store.SetFault(nil)
		})
	})
}

// A fifth of the old engines' answers fail while a healthy version is tried. That must not revert
// the healthy version, though more of its answers are needed to decide.
func TestSoundVersionAmongFailingEngines(t *testing.T) {
	inVersionFleet(t, 8, func(v *versionFleet) {
		v.answers = func(version, path string, _ time.Duration, n int) (engineAnswer, bool) {
			a := healthyAnswer(path)
			if version == oldVersion && n%5 < 1 {
				a.behaviour = hosting.Fail
			}
			return a, false
		}
		if states, took := v.rollOut(200, 20*time.Second); !slices.Equal(states, []string{"serving", "complete"}) {
			t.Errorf("states %v, the last after %v", states, took)
		}
	})
}

// A process starts after a version was reverted, while the version's engines are still listed
// and healthy. It must learn of the revert from the store or a peer, and send them nothing.
func TestNewProcessLeavesARevertedVersion(t *testing.T) {
	inVersionFleet(t, 8, func(v *versionFleet) {
		v.f.store.Write(platform.RolloutKind, modelService, map[string]any{"Service": modelService, "Target": newVersion, "DurationS": 12})
		v.start(newVersion)
		time.Sleep(2 * time.Second)
		v.f.store.SetStatus(platform.RolloutKind, modelService, map[string]any{"State": "reverted", "Target": newVersion})
		time.Sleep(2 * time.Second)
		v.f.start(1)
		time.Sleep(2 * time.Second)
		v.mu.Lock()
		v.arrivals = nil
		v.mu.Unlock()
		for i := range 60 {
			v.f.ask(8, streamPath, fmt.Sprint("letter ", i))
		}
		for _, a := range v.arrivals {
			if a.version == newVersion {
				t.Fatal("a request went to a version that was reverted")
			}
		}
		if o := v.f.daemons[8].splitter.Orders(); len(o) != 1 || o[0].Phase != rollout.Reverted || o[0].Service != identifier.Service(modelService) {
			t.Errorf("the new process knows the orders %+v", o)
		}
	})
}

// A version fails while its fleet has another fault: the daemons of an availability zone are
// isolated; all daemons that know of the order are lost in the middle of the roll-out and
// replaced by others that do not; the store answers no daemon from before the order's first state
// on.
func TestBadVersionBesideOtherTroubles(t *testing.T) {
	for _, trouble := range []struct {
		name    string
		daemons int
		prepare func(v *versionFleet)
		disturb func(v *versionFleet)
	}{
		{"a zone is cut off", 8, func(*versionFleet) {}, func(v *versionFleet) {
			time.Sleep(bootDelay + 200*time.Millisecond)
			v.isolate(func(i int) bool { return i%v.f.zones == 1 })
		}},
		{"all are lost", 16, func(v *versionFleet) {
			v.isolate(func(i int) bool { return i >= 8 })
			v.extraLoad = 20 * time.Second
		}, func(v *versionFleet) {
			time.Sleep(bootDelay + 300*time.Millisecond)
			v.isolate(func(i int) bool { return i < 8 })
		}},
		{"the store is away", 8, func(*versionFleet) {}, func(v *versionFleet) {
			v.f.store.SetFault(func(hosting.Call) hosting.Fault { return hosting.Unavailable })
			time.Sleep(3 * time.Second)
			v.f.store.SetFault(nil)
		}},
	} {
		t.Run(trouble.name, func(t *testing.T) {
			inVersionFleet(t, trouble.daemons, func(v *versionFleet) {
				trouble.prepare(v)
				v.checkReverted(200, badVersions[0].answers, func() { trouble.disturb(v) })
			})
		})
	}
}

// isolate isolates the selected daemons and no others.
func (v *versionFleet) isolate(which func(i int) bool) {
	for i := range v.f.networks {
		v.f.networks[i].isolated.Store(which(i))
	}
}
