package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"brasschute/internal/standin/hosting"

	"github.com/charmbracelet/log"
)

const (
	// killedTime is how long all daemons are away, rejoinTime how long they take to serve after that.
	killedTime = 2 * time.Second
	rejoinTime = 2 * time.Second
	// settledTime is how long they take to know which engines serve.
	settledTime = 5 * time.Second
	// saveTime is how long the daemons have to save what outlives them.
	saveTime = 3 * time.Second
)

// killableNetwork is the network of a process that can be killed: its connections break, and its addresses
// are free for the next process.
type killableNetwork struct {
	*isolatableNetwork

	mu     sync.Mutex
	open   map[io.Closer]bool
	killed bool
}

func newKillableNetwork(n *isolatableNetwork) *killableNetwork {
	return &killableNetwork{isolatableNetwork: n, open: make(map[io.Closer]bool)}
}

// keep closes c when the process is killed.
func (n *killableNetwork) keep(c io.Closer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open[c] = true
	if n.killed {
		_ = c.Close()
	}
}

// forget does not close c any more.
func (n *killableNetwork) forget(c io.Closer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, c)
}

// kill ends all connections and listeners of the process.
func (n *killableNetwork) kill() {
	n.isolated.Store(true)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.killed = true
	for c := range n.open {
		_ = c.Close()
	}
}

// killableConn is a connection of such a process.
type killableConn struct {
	net.Conn
	n *killableNetwork
}

// Close closes the connection.
func (c killableConn) Close() error {
	c.n.forget(c.Conn)
	return c.Conn.Close()
}

// killableListener is a listener of such a process.
type killableListener struct {
	net.Listener
	n      *killableNetwork
	closed chan struct{}
	once   func()
}

// Accept waits for the next connection, and for ever in a killed process, which would not run on.
func (l killableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		if l.n.isolated.Load() {
			<-l.closed
		}
		return nil, err
	}
	l.n.keep(c)
	return killableConn{c, l.n}, nil
}

// Close closes the listener.
func (l killableListener) Close() error {
	l.once()
	return l.Listener.Close()
}

// DialContext opens a connection.
func (n *killableNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := n.isolatableNetwork.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	n.keep(c)
	return killableConn{c, n}, nil
}

// Listen opens a listener.
func (n *killableNetwork) Listen(address netip.AddrPort) (net.Listener, error) {
	l, err := n.isolatableNetwork.Listen(address)
	if err != nil {
		return nil, err
	}
	n.keep(l)
	closed := make(chan struct{})
	return killableListener{l, n, closed, sync.OnceFunc(func() { close(closed) })}, nil
}

// killAll kills all daemons at once.
func (f *testFleet) killAll() {
	for i, g := range f.daemons {
		g.c.Network.(*killableNetwork).kill()
		f.cancels[i]()
	}
}

// restartAll starts all daemons again, on the same hosts.
func (f *testFleet) restartAll(firstStart bool) {
	for i := range f.daemons {
		f.restart(i, firstStart)
	}
}

// restart starts a daemon that was killed again.
func (f *testFleet) restart(i int, firstStart bool) {
	f.t.Helper()
	d := *f.daemons[i].c.Deployment
	d.FirstStart = firstStart
	host := f.network.Host(d.LinkBytesPerSecond)
	f.networks[i] = &isolatableNetwork{Network: host}
	g, err := New(Config{Deployment: &d, Logger: log.New(f.logOutput()), Network: newKillableNetwork(f.networks[i]), Uptime: time.Now})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	f.daemons[i], f.cancels[i] = g, cancel
	f.stop = append(f.stop, func() {
		cancel()
		if err := <-ended; err != nil {
			f.t.Errorf("%s: %v", d.Host, err)
		}
	})
}

// rejoinedFleet is a fleet of daemons that can all be killed, in front of engines whose version can change.
type rejoinedFleet struct {
	*versionedFleet

	mu       sync.Mutex
	version  []string
	ids      []string
	received []clientReply
}

// inRejoinedFleet runs a check among daemons in front of engines of some versions.
func inRejoinedFleet(t *testing.T, daemons, versions int, check func(r *rejoinedFleet)) {
	t.Helper()
	inPausedTime(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		f.rate = wideLink
		f.prepare = func(c *Config) {
			c.Deployment.FirstStart, c.Deployment.UsageReports = true, true
			c.Network = newKillableNetwork(c.Network.(*isolatableNetwork))
		}
		r := &rejoinedFleet{versionedFleet: &versionedFleet{testFleet: f, runs: make(map[string][]streamRun)}}
		for place := range engineCount {
			r.version = append(r.version, versionName(place%versions))
		}
		r.engines = f.prepareEngines(func(string) bool { return false })
		r.engines.version = r.versionAt
		r.engines.behave = r.behave
		r.engines.sameIDs = true
		r.engines.startAll()
		f.start(daemons)
		f.settle()
		check(r)
	})
}

func versionName(n int) string { return fmt.Sprintf("v%d", n) }

// versionAt returns the version of the engine at a place.
func (r *rejoinedFleet) versionAt(place int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version[place]
}

// replace replaces the engines of all versions but one, so that it is the only one listed.
func (r *rejoinedFleet) replace(version string) {
	var changed []int
	r.mu.Lock()
	for place, old := range r.version {
		if old != version {
			r.version[place] = version
			changed = append(changed, place)
		}
	}
	r.mu.Unlock()
	for _, place := range changed {
		r.engines.exitPlace(place)
	}
	time.Sleep(2 * restartDelay)
}

// beginAll begins streams at all daemons, which are broken off.
func (r *rejoinedFleet) beginAll() {
	for n := range versionedStreams {
		id, reply := r.begin(n%len(r.daemons), retriedStream)
		r.ids, r.received = append(r.ids, id), append(r.received, reply)
	}
}

// takeUpAll takes the streams up, each at another daemon than before, and returns how many went on to their end.
func (r *rejoinedFleet) takeUpAll() (complete int) {
	for n, id := range r.ids {
		if countEvents(r.received[n].text) == 0 {
			r.t.Errorf("stream %s did not begin: %+v", id, r.received[n])
		}
		if endsWhole(r.takeUp((n+1+n/len(r.daemons))%len(r.daemons), id, r.received[n])) {
			complete++
		}
	}
	return complete
}

// checkOrder checks that no stream went on at another version, and that new streams begin.
func (r *rejoinedFleet) checkOrder(complete int) {
	r.t.Helper()
	r.t.Logf("%d of %d streams went on, %d at another version", complete, len(r.ids), r.ofTwoVersions())
	if n := r.ofTwoVersions(); n > 0 {
		r.t.Errorf("%d of %d streams went on at another version", n, len(r.ids))
	}
	for i := range r.daemons {
		if _, reply := r.begin(i, "a letter"); !reply.complete {
			r.t.Errorf("a new stream at %s: %+v", r.daemons[i].c.Deployment.Host, reply)
		}
	}
}

// departure is when the engines of the versions before the newest leave.
type departure string

// The departures.
const (
	stayed     departure = "stay"
	leftBefore departure = "leave before the kill"
	leftAfter  departure = "leave after the kill"
)

// Guards against streams that go on at another version after all daemons have ended at once, also with settings
// that still say that the system starts for the first time.
func TestStreamsKeepTheirVersionAfterALossOfAllDaemons(t *testing.T) {
	for _, versions := range []int{1, 2, 3} {
		for _, left := range []departure{stayed, leftBefore, leftAfter} {
			for _, firstStart := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d versions, old ones %s, first start %t", versions, left, firstStart), func(t *testing.T) {
					inRejoinedFleet(t, 8, versions, func(r *rejoinedFleet) {
						r.beginAll()
						newest := versionName(versions)
						if left == leftBefore {
							r.replace(newest)
						}
						r.killAll()
						if left == leftAfter {
							r.replace(newest)
						}
						time.Sleep(killedTime)
						r.restartAll(firstStart)
						time.Sleep(rejoinTime)
						r.takeUpAll()
						time.Sleep(settledTime - rejoinTime)
						r.checkOrder(r.takeUpAll())
					})
				})
			}
		}
	}
}

// Guards against a daemon that takes its list for complete as it comes back while the store is away, or shows an older
// copy in which a version is missing.
func TestStreamsKeepTheirVersionWhenTheStoreComesBackLater(t *testing.T) {
	for _, restored := range []bool{false, true} {
		for _, firstStart := range []bool{false, true} {
			t.Run(fmt.Sprintf("older copy %t, first start %t", restored, firstStart), func(t *testing.T) {
				inRejoinedFleet(t, 8, 2, func(r *rejoinedFleet) {
					r.store.SetEra(1)
					r.replace(versionName(1))
					copied := r.store.Copy()
					r.replace(versionName(2))
					time.Sleep(startTime)
					r.beginAll()
					r.killAll()
					r.store.SetFault(func(hosting.Call) hosting.Fault { return hosting.Unavailable })
					r.replace(versionName(3))
					time.Sleep(killedTime)
					r.restartAll(firstStart)
					time.Sleep(rejoinTime)
					r.takeUpAll()
					if restored {
						r.store.Restore(copied)
					}
					r.store.SetFault(nil)
					time.Sleep(rejoinTime)
					r.takeUpAll()
					r.replace(versionName(4))
					r.checkOrder(r.takeUpAll())
				})
			})
		}
	}
}

// Guards against streams that are refused in the first minute of a system, as no daemon knows that no other version
// has served.
func TestFirstStartProvesTheSoleVersion(t *testing.T) {
	inRejoinedFleet(t, 8, 1, func(r *rejoinedFleet) {
		for _, g := range r.daemons {
			if v := g.versions.Version(modelService); v.Several || !v.Proven {
				t.Errorf("%s: %+v", g.c.Deployment.Host, v)
			}
		}
		if _, reply := r.begin(0, brokenStream); !reply.complete {
			t.Errorf("a stream: %+v", reply)
		}
	})
}

// Guards against streams that are refused after all daemons have ended at once, although engines of their version serve.
func TestStreamsGoOnAfterALossOfAllDaemons(t *testing.T) {
	for _, c := range []struct{ daemons, versions int }{{8, 2}, {8, 3}, {24, 2}} {
		t.Run(fmt.Sprintf("%d daemons, %d versions", c.daemons, c.versions), func(t *testing.T) {
			inRejoinedFleet(t, c.daemons, c.versions, func(r *rejoinedFleet) {
				r.beginAll()
				time.Sleep(saveTime)
				r.killAll()
				time.Sleep(killedTime)
				r.restartAll(false)
				time.Sleep(settledTime)
				complete := r.takeUpAll()
				r.checkOrder(complete)
				if complete < versionedStreams/2 {
					t.Errorf("%d of %d streams went on", complete, versionedStreams)
				}
			})
		})
	}
}

// Guards against streams that go on at an engine that has started again under its id, with other software, while all
// daemons were away, and is still listed as the one before.
func TestStreamsAvoidEnginesThatStartedAgainWhileAllDaemonsWereAway(t *testing.T) {
	inRejoinedFleet(t, 8, 2, func(r *rejoinedFleet) {
		// Endpoints are listed up to a heartbeat after their start.
		const heartbeat = 1200 * time.Millisecond
		r.engines.recordDelay = heartbeat
		r.beginAll()
		time.Sleep(saveTime)
		r.killAll()
		time.Sleep(killedTime)
		r.swap()
		r.restartAll(false)
		time.Sleep(rejoinTime / 4)
		r.takeUpAll()
		time.Sleep(settledTime)
		complete := r.takeUpAll()
		r.checkOrder(complete)
		if complete < versionedStreams/2 {
			t.Errorf("%d of %d streams went on", complete, versionedStreams)
		}
	})
}

// swap starts half of the engines again, each with the version of another one.
func (r *rejoinedFleet) swap() {
	const restarted = engineCount / 2
	r.mu.Lock()
	for place := range restarted {
		r.version[place] = versionName(1 - place%2)
	}
	r.mu.Unlock()
	for place := range restarted {
		r.engines.exitPlace(place)
	}
	time.Sleep(2 * restartDelay)
}

// Guards against a stream that begins at such an engine and goes on at the version listed, in the same response or at
// another daemon.
func TestStreamsThatBeginAtAnEngineThatStartedAgainKeepTheirVersion(t *testing.T) {
	for _, body := range []string{brokenStream, retriedStream} {
		t.Run(body, func(t *testing.T) {
			inRejoinedFleet(t, 8, 2, func(r *rejoinedFleet) {
				const heartbeat = 1200 * time.Millisecond
				r.engines.recordDelay = heartbeat
				r.killAll()
				time.Sleep(killedTime)
				r.swap()
				r.restartAll(false)
				time.Sleep(rejoinTime / 4)
				var begun sync.WaitGroup
				var replies [versionedStreams]clientReply
				var ids [versionedStreams]string
				for n := range versionedStreams {
					begun.Go(func() { ids[n], replies[n] = r.begin(n%len(r.daemons), body) })
				}
				begun.Wait()
				time.Sleep(settledTime)
				for n, id := range ids {
					if events := countEvents(replies[n].text); events > 0 && !replies[n].complete {
						r.takeUp((n+1)%len(r.daemons), id, replies[n])
					}
				}
				r.checkOrder(0)
			})
		})
	}
}
