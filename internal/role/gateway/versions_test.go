package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"brasschute/internal/standin/hosting"
)

const (
	// versionedStreams is the number of streams that a check breaks off.
	versionedStreams = 60
	// retriedStream is the body of streams that engines break off until their client takes them up,
	// brokenStream that of streams that only the first engine breaks off.
	retriedStream = "broken off until it is taken up"
	brokenStream  = "broken off once"
)

// streamRun is a run of a stream at an engine.
type streamRun struct {
	version string
	after   int
}

// versionedFleet is a fleet of daemons in front of engines of some versions, which break streams off in the
// middle. Equally many engines have each version.
type versionedFleet struct {
	*testFleet
	engines *engineFleet

	mu sync.Mutex
	// runs are the runs of each stream, by the client attempt that began it.
	runs map[string][]streamRun
}

// inVersionedFleet runs a check among daemons in front of engines of two versions, once all daemons
// know each other.
func inVersionedFleet(t *testing.T, daemons int, check func(v *versionedFleet)) {
	t.Helper()
	inFleetOfVersions(t, daemons, 2, check)
}

// inFleetOfVersions is like inVersionedFleet, with so many versions.
func inFleetOfVersions(t *testing.T, daemons, versions int, check func(v *versionedFleet)) {
	t.Helper()
	inPausedTime(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		f.rate = wideLink
		if daemons > smallFleetSize {
			daemons = scaledFleetSize(daemons)
		}
		f.prepare = func(c *Config) { c.Deployment.FirstStart = true }
		v := &versionedFleet{testFleet: f, runs: make(map[string][]streamRun)}
		v.engines = f.prepareEngines(func(string) bool { return false })
		v.engines.version = func(place int) string { return fmt.Sprintf("v%d", place%versions) }
		v.engines.behave = v.behave
		v.engines.sameIDs = true
		v.engines.startAll()
		f.start(daemons)
		f.settle()
		check(v)
	})
}

// behave records a run and breaks it off as its body says.
func (v *versionedFleet) behave(place int, r *http.Request) hosting.Behaviour {
	v.mu.Lock()
	defer v.mu.Unlock()
	stream, resumed := r.Header.Get("Request-Id"), r.Header.Get("Resumes")
	if resumed != "" {
		stream = resumed
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	v.runs[stream] = append(v.runs[stream], streamRun{v.engines.version(place), after})
	broken := r.Header.Get("Body-Text") == retriedStream && resumed == "" || r.Header.Get("Body-Text") == brokenStream && after == 0
	if broken {
		return hosting.TruncateAnswer
	}
	return hosting.Serve
}

// begin starts a stream at a daemon and returns its id and what the client received.
func (v *versionedFleet) begin(daemon int, body string) (id string, r clientReply) {
	id = v.nextID()
	return id, v.askWith(daemon, resumePath, body, map[string]string{"Request-Id": id})
}

// takeUp asks a daemon for the rest of a retried stream.
func (v *versionedFleet) takeUp(daemon int, id string, received clientReply) clientReply {
	return v.askWith(daemon, resumePath, retriedStream, map[string]string{
		"Request-Id": v.nextID(), "Resumes": id, "Last-Event-Id": fmt.Sprint(countEvents(received.text)),
	})
}

// countEvents counts the whole events of a stream.
func countEvents(text string) int { return strings.Count(text, "\n\n") }

// ofTwoVersions counts the streams that went on at another version than the one that began them.
func (v *versionedFleet) ofTwoVersions() (n int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, list := range v.runs {
		for _, run := range list {
			if run.after > 0 && run.version != list[0].version {
				n++
				break
			}
		}
	}
	return n
}

// allowedOfTwoVersions is the number of streams that may hold events of two versions.
const allowedOfTwoVersions = 2

// Guards against a stream that its daemon continues, within one response, at another version.
func TestBrokenStreamContinuesAtItsVersion(t *testing.T) {
	inVersionedFleet(t, 8, func(v *versionedFleet) {
		complete := 0
		for n := range versionedStreams {
			if _, r := v.begin(n%len(v.daemons), brokenStream); r.complete {
				complete++
			}
		}
		v.check(complete)
	})
}

// Guards against a stream that a client takes up at another daemon, which continues it at another version.
func TestStreamTakenUpElsewhereContinuesAtItsVersion(t *testing.T) {
	for _, daemons := range []int{8, 60} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			inVersionedFleet(t, daemons, func(v *versionedFleet) {
				complete := 0
				for n := range versionedStreams {
					id, r := v.begin(n%len(v.daemons), retriedStream)
					if r = v.takeUp((n+1+n/len(v.daemons))%len(v.daemons), id, r); endsWhole(r) {
						complete++
					}
				}
				v.check(complete)
			})
		})
	}
}

// Guards against streams that are lost, or go on at another version, when three of eight daemons end at once.
func TestStreamsOfEndedDaemonsContinueAtTheirVersion(t *testing.T) {
	inVersionedFleet(t, 8, func(v *versionedFleet) {
		const ended = 3
		var ids []string
		var received []clientReply
		for n := range versionedStreams {
			id, r := v.begin(n%ended, retriedStream)
			ids, received = append(ids, id), append(received, r)
		}
		for i := range ended {
			v.networks[i].isolated.Store(true)
		}
		complete := 0
		for n, id := range ids {
			if endsWhole(v.takeUp(ended+n%(len(v.daemons)-ended), id, received[n])) {
				complete++
			}
		}
		v.check(complete)
	})
}

// Guards against a daemon without contact to others that guesses at which version a stream goes on.
func TestIsolatedDaemonContinuesNoStreamAtAnotherVersion(t *testing.T) {
	inVersionedFleet(t, 8, func(v *versionedFleet) {
		v.networks[0].isolated.Store(true)
		time.Sleep(startTime)
		v.networks[0].isolated.Store(false)
		v.refuseStoreCalls("front-0")
		for n := range versionedStreams {
			id, r := v.begin(1+n%(len(v.daemons)-1), retriedStream)
			v.takeUp(0, id, r)
		}
		if n := v.ofTwoVersions(); n > allowedOfTwoVersions {
			v.t.Errorf("%d of %d streams went on at another version", n, versionedStreams)
		}
	})
}

// endsWhole reports whether a reply brought the end of a stream.
func endsWhole(r clientReply) bool {
	return r.status == http.StatusOK && strings.HasSuffix(r.text, hosting.EventText(engineEvents))
}

// check checks the versions of all streams, and that at least half of them, as of new ones, went on.
func (v *versionedFleet) check(complete int) {
	v.t.Helper()
	v.t.Logf("%d of %d streams went on, %d at another version", complete, versionedStreams, v.ofTwoVersions())
	if n := v.ofTwoVersions(); n > allowedOfTwoVersions {
		v.t.Errorf("%d of %d streams went on at another version", n, versionedStreams)
	}
	if complete < versionedStreams/2 {
		v.t.Errorf("%d of %d streams went on", complete, versionedStreams)
	}
}

// Guards against streams that are lost after the store was away, while all engines have one version.
func TestStreamsGoOnAfterTheStoreWasAway(t *testing.T) {
	inFleetOfVersions(t, 60, 1, func(v *versionedFleet) {
		const outage = 6 * time.Second
		v.store.SetFault(func(hosting.Call) hosting.Fault { return hosting.Unavailable })
		var ids []string
		var received []clientReply
		for n := range versionedStreams {
			id, r := v.begin(n%len(v.daemons), retriedStream)
			ids, received = append(ids, id), append(received, r)
		}
		time.Sleep(outage)
		v.store.SetFault(nil)
		time.Sleep(time.Second)
		complete := 0
		for n, id := range ids {
			if endsWhole(v.takeUp((n+1+n/len(v.daemons))%len(v.daemons), id, received[n])) {
				complete++
			}
		}
		v.check(complete)
	})
}

// Guards against a stream that goes on at an engine that has started again under its id with other software, before
// its new entry is listed.
func TestStreamsAvoidEnginesThatStartedAgain(t *testing.T) {
	inFleetOfVersions(t, 8, 1, func(v *versionedFleet) {
		const restarted, entryDelay = engineCount / 4, 3 * time.Second
		var upgraded atomic.Bool
		v.engines.version = func(place int) string {
			if upgraded.Load() && place < restarted {
				return "v1"
			}
			return "v0"
		}
		v.engines.recordDelay = entryDelay
		// Requests that run when the engines end are how the daemons learn of it.
		v.engines.slow.Store(true)
		var running sync.WaitGroup
		for n := range 2 * engineCount {
			running.Go(func() { v.begin(n%len(v.daemons), "a letter") })
		}
		time.Sleep(slowRunTime / 2)
		v.engines.slow.Store(false)
		upgraded.Store(true)
		for place := range restarted {
			v.engines.exitPlace(place)
		}
		time.Sleep(2 * restartDelay)
		var clients sync.WaitGroup
		var complete atomic.Int32
		for daemon := range v.daemons {
			clients.Go(func() {
				for n := daemon; n < versionedStreams; n += len(v.daemons) {
					if _, r := v.begin(daemon, brokenStream); r.complete {
						complete.Add(1)
					}
				}
			})
		}
		clients.Wait()
		v.check(int(complete.Load()))
		running.Wait()
		time.Sleep(entryDelay)
	})
}

// checkIdleRestarts lets streams begin while some engines are idle, starts those again with other software, under their ids,
// and breaks the streams off. Nobody has seen the engines end, and their new entries come at their next heartbeat.
func (v *versionedFleet) checkIdleRestarts(daemon func(n int) int) {
	v.t.Helper()
	const restarted, heartbeat = engineCount / 3, 1200 * time.Millisecond
	var upgraded atomic.Bool
	isRestarted := func(place int) bool { return place < restarted }
	v.engines.version = func(place int) string {
		if upgraded.Load() && isRestarted(place) {
			return "v1"
		}
		return "v0"
	}
	v.engines.recordDelay = heartbeat
	v.engines.refuses = func(place int) bool { return !upgraded.Load() && isRestarted(place) }
	v.engines.slow.Store(true)
	var clients sync.WaitGroup
	var complete atomic.Int32
	for n := range versionedStreams {
		clients.Go(func() {
			if _, r := v.begin(daemon(n), brokenStream); r.complete {
				complete.Add(1)
			}
		})
	}
	time.Sleep(slowRunTime / 4)
	v.engines.slow.Store(false)
	upgraded.Store(true)
	v.engines.exitSome(isRestarted)
	clients.Wait()
	v.check(int(complete.Load()))
	time.Sleep(2 * heartbeat)
}

// Guards against a stream that goes on at an idle engine that has started again, unseen, with other software, before its new
// entry is listed.
func TestStreamsAvoidIdleEnginesThatStartedAgain(t *testing.T) {
	for _, reports := range []bool{true, false} {
		t.Run(fmt.Sprint("reports ", reports), func(t *testing.T) {
			inFleetOfVersions(t, 8, 1, func(v *versionedFleet) {
				v.engines.withoutReports = !reports
				v.checkIdleRestarts(func(n int) int { return n % len(v.daemons) })
			})
		})
	}
}

// Guards against the same at a daemon that is partitioned from the engines, whose requests go through another one.
func TestStreamsThroughPeersAvoidIdleEnginesThatStartedAgain(t *testing.T) {
	inRelease(t, 4, firstOnly(toEngines), func(r *release) {
		r.setFault(linkReset)
		for range 20 {
			r.begin(0, "sound")
		}
		r.checkIdleRestarts(func(int) int { return 0 })
	})
}
