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

// What a bad version may get, and the times of the platform's roll-outs.
const (
	trialShare = 0.1
	trialSlack = 50
	revertTime = 5 * time.Second
	bootTime   = 4 * time.Second
	leaveTime  = 3 * time.Second
	// versionEngines is the number of engines of each version.
	versionEngines = 24
	oldVersion     = "v1"
	newVersion     = "v2"
)

// answer is how an engine answers one request: after a time, and with what.
type answer struct {
	takes time.Duration
	how   hosting.Behaviour
}

// versions are model engines of several versions of one service.
type versions struct {
	f    *testFleet
	host *shaper.Host
	// answers says how an engine answers the nth request; bad ones of the new version are
	// counted.
	answers func(version, path string, since time.Duration, n int) (a answer, bad bool)

	mu      sync.Mutex
	engines map[string][]*http.Server
	places  int
	begun   time.Time
	// arrivals are the requests that engines began to run since the order.
	arrivals []*arrival
	replies  []reply
	group    sync.WaitGroup
	// after is for how long requests come after the deadline; five seconds at the least.
	after time.Duration
}

// arrival is a request at an engine; ended is when it was answered.
type arrival struct {
	at, ended time.Time
	version   string
	bad       bool
}

// soundAnswer is that of a sound engine: a few tenths of a second, by the route.
func soundAnswer(path string) answer {
	if strings.HasPrefix(path, resumePath) {
		return answer{300 * time.Millisecond, hosting.Serve}
	}
	return answer{700 * time.Millisecond, hosting.Serve}
}

// inVersionFleet runs a check among daemons before engines whose service can be rolled out.
func inVersionFleet(t *testing.T, daemons int, check func(v *versions)) {
	t.Helper()
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		f.rate = wide
		f.adjust = func(d *deployment.Deployment) {
			d.Rollouts = true
			d.Bounds.CanaryShare, d.Bounds.CanarySlack, d.Bounds.RollbackTime = trialShare, trialSlack, revertTime
		}
		v := &versions{f: f, host: f.network.Host(storeLink), engines: make(map[string][]*http.Server)}
		v.answers = func(_, path string, _ time.Duration, _ int) (answer, bool) { return soundAnswer(path), false }
		f.stop = append(f.stop, func() { v.end("") })
		f.startEngines(fatalOnly).close()
		for i := range engineCount {
			f.store.Remove(platform.EndpointKind, fmt.Sprintf("i-%03d", i+1))
		}
		v.start(oldVersion)
		if daemons > smallFleet {
			daemons = fleetSize(daemons)
		}
		f.start(daemons)
		f.settle()
		check(v)
	})
}

// start starts the engines of a version.
func (v *versions) start(version string) {
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
		e.SetBehaviour(func(r *http.Request) hosting.Behaviour { return v.run(version, r) })
		server := &http.Server{Handler: e}
		go func() { _ = server.Serve(l) }()
		v.mu.Lock()
		v.engines[version] = append(v.engines[version], server)
		v.mu.Unlock()
		v.f.store.Write(platform.EndpointKind, id, e.Record("ready"))
	}
}

// run notes a request at an engine and says how it is answered.
func (v *versions) run(version string, r *http.Request) hosting.Behaviour {
	v.mu.Lock()
	now := time.Now()
	a, bad := v.answers(version, r.URL.Path, now.Sub(v.begun), len(v.arrivals))
	one := &arrival{at: now, version: version, bad: bad}
	v.arrivals = append(v.arrivals, one)
	v.mu.Unlock()
	time.Sleep(a.takes)
	v.mu.Lock()
	one.ended = time.Now()
	v.mu.Unlock()
	return a.how
}

// end ends the engines of all versions but one at once.
func (v *versions) end(allBut string) {
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

// drain takes the engines of a version out of the list; they go on for a while.
func (v *versions) drain(version string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range v.engines[version] {
		v.f.store.Remove(platform.EndpointKind, fmt.Sprintf("%s-%02d", version, i))
	}
}

// order orders the new version while requests come, so many a second in all, and returns the
// states that were stored and when the last one was.
func (v *versions) order(perSecond float64, d time.Duration) (states []string, took time.Duration) {
	most := d + max(v.after, 5*time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		v.flow(perSecond, most)
	}()
	time.Sleep(2 * time.Second)
	v.mu.Lock()
	v.arrivals, v.begun = nil, time.Now()
	v.mu.Unlock()
	states, took = hosting.NewRolloutDriver(hosting.RolloutDriverConfig{
		Store: v.f.store, Service: modelService, BootTime: bootTime, DrainTime: leaveTime, Start: v.start, Stop: v.end, StartDrain: v.drain,
	}).Order(newVersion, d, most-2*time.Second)
	<-done
	v.group.Wait()
	return states, took
}

// flow sends requests at random daemons.
func (v *versions) flow(perSecond float64, d time.Duration) {
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

// exposed checks what the new version got if it was bad: until the deadline, and long after
// its fiftieth bad answer. shown tells that it was bad.
func (v *versions) exposed(d time.Duration) {
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
	if most := trialShare*float64(all) + trialSlack; float64(tried) > most {
		v.f.t.Errorf("%d of %d requests went to the new version, %.0f are the most", tried, all, most)
	}
	v.f.t.Logf("%d of %d requests went to the new version, %d bad answers", tried, all, len(bads))
	if len(bads) < trialSlack {
		return
	}
	slices.SortFunc(bads, time.Time.Compare)
	for _, a := range v.arrivals {
		if late := a.at.Sub(bads[trialSlack-1]); a.version == newVersion && late > revertTime {
			v.f.t.Errorf("a request went to the new version %v after its 50th bad answer", late)
			return
		}
	}
}

// unserved counts the requests that did not end as whole streams.
func (v *versions) unserved() (n int) { return failed(v.replies) }

// versionFleet is a size of a fleet, with the requests that come a second in all, and how long
// the orders last that are played there.
type versionFleet struct {
	daemons   int
	perSecond float64
	orders    []time.Duration
}

// versionFleets returns the fleets that are played. Those of full size run without the race
// detector only, under which the requests alone take minutes.
func versionFleets() []versionFleet {
	out := []versionFleet{{8, 200, []time.Duration{12 * time.Second}}}
	if !raceDetector {
		out[0].orders = append(out[0].orders, time.Minute)
		out = append(out, versionFleet{83, 332, []time.Duration{12 * time.Second}}, versionFleet{195, 400, []time.Duration{12 * time.Second}})
	}
	return out
}

// A good version takes over a service, and no request is broken off by it: what would outlast
// the old engines goes to the new ones, and the rest is waited for.
func TestGoodVersionIsRolledOut(t *testing.T) {
	for _, shape := range versionFleets() {
		for _, d := range shape.orders {
			t.Run(fmt.Sprint(shape.daemons, " daemons, ", d), func(t *testing.T) {
				inVersionFleet(t, shape.daemons, func(v *versions) {
					states, took := v.order(shape.perSecond, d)
					t.Logf("%v, the last after %v; %d of %d unserved", states, took, v.unserved(), len(v.replies))
					if !slices.Equal(states, []string{"serving", "complete"}) {
						t.Errorf("states %v", states)
					}
					if n := v.unserved(); n > 0 {
						t.Errorf("%d of %d requests were not served", n, len(v.replies))
					}
				})
			})
		}
	}
}

// badVersions are versions that are bad in some way.
var badVersions = []struct {
	name    string
	answers func(path string, since time.Duration, n int) (answer, bool)
}{
	{"failures at once", func(path string, _ time.Duration, n int) (answer, bool) {
		a := soundAnswer(path)
		if n%5 < 2 {
			return answer{a.takes, hosting.Fail}, true
		}
		return a, false
	}},
	{"slow at once", func(path string, _ time.Duration, _ int) (answer, bool) {
		a := soundAnswer(path)
		return answer{6 * a.takes, hosting.Serve}, true
	}},
	{"failures later", func(path string, since time.Duration, _ int) (answer, bool) {
		a := soundAnswer(path)
		if since > 8*time.Second {
			return answer{a.takes, hosting.Fail}, true
		}
		return a, false
	}},
	{"failures on one route", func(path string, _ time.Duration, _ int) (answer, bool) {
		a := soundAnswer(path)
		if strings.HasPrefix(path, resumePath) {
			return answer{a.takes, hosting.Fail}, true
		}
		return a, false
	}},
}

// A bad version is reverted before it has had more than its share of the requests, and gets
// nothing afterwards, though its engines are still listed.
func TestBadVersionIsReverted(t *testing.T) {
	for _, shape := range versionFleets()[:min(2, len(versionFleets()))] {
		for _, bad := range badVersions {
			t.Run(fmt.Sprint(shape.daemons, " daemons, ", bad.name), func(t *testing.T) {
				inVersionFleet(t, shape.daemons, func(v *versions) { v.reverted(shape.perSecond, bad.answers, nil) })
			})
		}
	}
}

// reverted orders a bad version, with a disturbance after the order, and checks that it is
// reverted in time.
func (v *versions) reverted(perSecond float64, bad func(string, time.Duration, int) (answer, bool), disturb func()) {
	v.f.t.Helper()
	const d = 16 * time.Second
	v.answers = func(version, path string, since time.Duration, n int) (answer, bool) {
		if version == newVersion {
			return bad(path, since, n)
		}
		return soundAnswer(path), false
	}
	if disturb != nil {
		go func() {
			time.Sleep(2 * time.Second)
			disturb()
		}()
	}
	states, took := v.order(perSecond, d)
	v.f.t.Logf("%v, the last after %v; %d of %d unserved", states, took, v.unserved(), len(v.replies))
	v.exposed(d)
	if !slices.Equal(states, []string{"serving", "reverted"}) {
		v.f.t.Errorf("states %v", states)
	}
}

// holder is the daemon that holds the duties.
func (f *testFleet) holder() int {
	for i, g := range f.daemons {
		if _, held := g.lease.Held(); held {
			return i
		}
	}
	return -1
}

// The holder of the duties is cut off in the middle of a trial of a version that fails, and
// with it all that is known of the answers: nobody says to go on, so nothing more is sent to
// the version until the next holder has heard the tallies, and reverts it.
func TestVersionWithoutAHolderIsNotTried(t *testing.T) {
	for _, shape := range versionFleets()[:min(2, len(versionFleets()))] {
		t.Run(fmt.Sprint(shape.daemons), func(t *testing.T) {
			inVersionFleet(t, shape.daemons, func(v *versions) {
				v.reverted(200, badVersions[0].answers, func() {
					time.Sleep(bootTime + 300*time.Millisecond)
					v.f.networks[v.f.holder()].cut.Store(true)
				})
			})
		})
	}
}

// The store turns all daemons away from the moment at which a version shows that it is bad:
// the state can't be stored, but no daemon sends it anything any more.
func TestVersionIsLeftWhileTheStoreIsAway(t *testing.T) {
	inVersionFleet(t, 8, func(v *versions) {
		v.reverted(200, badVersions[0].answers, func() {
			time.Sleep(bootTime + 300*time.Millisecond)
			v.f.store.SetFault(func(hosting.Call) hosting.Fault { return hosting.Unavailable })
			time.Sleep(4 * time.Second)
			v.f.store.SetFault(nil)
		})
	})
}

// A fifth of the old engines' answers fail while a sound version is tried: that is no reason to
// revert the sound one, though more of its answers are needed to tell.
func TestSoundVersionAmongFailingEngines(t *testing.T) {
	inVersionFleet(t, 8, func(v *versions) {
		v.answers = func(version, path string, _ time.Duration, n int) (answer, bool) {
			a := soundAnswer(path)
			if version == oldVersion && n%5 < 1 {
				a.how = hosting.Fail
			}
			return a, false
		}
		if states, took := v.order(200, 20*time.Second); !slices.Equal(states, []string{"serving", "complete"}) {
			t.Errorf("states %v, the last after %v", states, took)
		}
	})
}

// A process starts after a version was reverted, while its engines are still listed and
// healthy: it reads so from the store, or hears it, and sends them nothing.
func TestNewProcessLeavesARevertedVersion(t *testing.T) {
	inVersionFleet(t, 8, func(v *versions) {
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

// A version fails while its fleet has troubles of its own: an availability zone is cut off; all
// daemons that know of the order are lost in the middle, and others come that do not; the store
// answers nobody from before the order's first state on.
func TestBadVersionBesideOtherTroubles(t *testing.T) {
	for _, trouble := range []struct {
		name    string
		daemons int
		prepare func(v *versions)
		disturb func(v *versions)
	}{
		{"a zone is cut off", 8, func(*versions) {}, func(v *versions) {
			time.Sleep(bootTime + 200*time.Millisecond)
			v.cut(func(i int) bool { return i%v.f.zones == 1 })
		}},
		{"all are lost", 16, func(v *versions) {
			v.cut(func(i int) bool { return i >= 8 })
			v.after = 20 * time.Second
		}, func(v *versions) {
			time.Sleep(bootTime + 300*time.Millisecond)
			v.cut(func(i int) bool { return i < 8 })
		}},
		{"the store is away", 8, func(*versions) {}, func(v *versions) {
			v.f.store.SetFault(func(hosting.Call) hosting.Fault { return hosting.Unavailable })
			time.Sleep(3 * time.Second)
			v.f.store.SetFault(nil)
		}},
	} {
		t.Run(trouble.name, func(t *testing.T) {
			inVersionFleet(t, trouble.daemons, func(v *versions) {
				trouble.prepare(v)
				v.reverted(200, badVersions[0].answers, func() { trouble.disturb(v) })
			})
		})
	}
}

// cut cuts off the daemons that are named, and no others.
func (v *versions) cut(which func(i int) bool) {
	for i := range v.f.networks {
		v.f.networks[i].cut.Store(which(i))
	}
}
