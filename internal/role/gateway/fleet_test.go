package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"brasschute/internal/config/deployment"
	"brasschute/internal/core/identifier"
	"brasschute/internal/fault/shaper"
	"brasschute/internal/standin/hosting"
	"brasschute/platform"

	"github.com/charmbracelet/log"
)

const (
	// narrowLink and wideLink are link rates of 10 and 200 Mbit/s, in bytes per second.
	narrowLink = 1.25e6
	wideLink   = 25e6
	// storeLink is the rate of the store's link, 1,000 Mbit/s.
	storeLink = 125e6
	// applyTime is the time within which a configuration must be in force.
	applyTime = 3 * time.Second
)

// testFleet is a fleet of daemons in one synctest bubble with a stand-in store. Their network
// has links as narrow as those of small hosts.
type testFleet struct {
	t       *testing.T
	network *shaper.Shaper
	store   *hosting.Store
	// storeHost is the host on which the store listens, at a separate address for each daemon.
	storeHost *shaper.Host
	random    *rand.Rand
	// zones is the number of availability zones, rate the usual link rate in bytes per second.
	zones int
	rate  float64
	// padding is the length of the random text in each route, which does not compress.
	padding int
	// routes are the routes of the configuration, number its version.
	routes  []map[string]any
	number  identifier.ConfigurationNumber
	daemons []*Gateway
	// cancels begin to stop the daemons.
	cancels []context.CancelFunc
	// networks are the networks of the daemons' hosts.
	networks []*isolatableNetwork
	stop     []func()
	// adjust changes a daemon's deployment before it starts; may be nil.
	adjust func(*deployment.Deployment)
	// prepare changes the configuration of a daemon before it is built; may be nil.
	prepare func(*Config)

	// withoutTokens: clients do not state the tokens of their requests. withoutCapacity: the configuration
	// does not state the capacity of engines.
	withoutTokens, withoutCapacity bool

	mu sync.Mutex
	// requests counts the requests of clients.
	requests int
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	f := &testFleet{
		t: t, network: shaper.New(shaper.Config{Delay: time.Millisecond}), store: hosting.NewStore(), random: rand.New(rand.NewPCG(1, 2)),
		zones: 4, rate: narrowLink,
	}
	f.storeHost = f.network.Host(storeLink)
	f.stop = append(f.stop, f.store.Close)
	f.store.Write(platform.EndpointKind, "i-1", map[string]any{"Service": "app", "Address": "10.9.0.1:80", "Zone": "zone-0", "State": "ready"})
	return f
}

// serveStore opens the store's address for one daemon.
func (f *testFleet) serveStore(host identifier.Host, address netip.AddrPort) {
	f.t.Helper()
	l, err := f.storeHost.Listen(address)
	if err != nil {
		f.t.Fatal(err)
	}
	server := &http.Server{Handler: f.store.HandlerFor(string(host))}
	go func() { _ = server.Serve(l) }()
	f.stop = append(f.stop, func() { server.Close() })
}

// startTime is how long a fleet takes to know all its daemons and endpoints.
const startTime = 10 * time.Second

// settle waits until all daemons of a started fleet know each other.
func (f *testFleet) settle() { time.Sleep(startTime) }

// inFleet runs a check among n daemons that serve a small configuration.
func inFleet(t *testing.T, n int, check func(f *testFleet)) {
	t.Helper()
	inPausedTime(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		f.addRoutes(1)
		f.start(n)
		f.settle()
		check(f)
	})
}

// randomName returns random text of the length of a route's or host's name.
func (f *testFleet) randomName() string { return f.randomText(8) }

func (f *testFleet) randomText(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ-_"
	var b strings.Builder
	for range n {
		b.WriteByte(letters[f.random.IntN(len(letters))])
	}
	return b.String()
}

// addRoutes writes a configuration with n more routes.
func (f *testFleet) addRoutes(n int) {
	for range n {
		f.routes = append(f.routes, map[string]any{
			"Name": f.randomName(), "Host": f.randomName() + ".example", "PathPrefix": "/" + f.randomName() + "/", "Kind": "idempotent", "Service": "app",
			"TimeoutMs": 1200, "SloMs": 150, "GapSloMs": 0, "Priority": 2, "MaxAttempts": 2, "Public": false, "Resumable": false,
			"SessionAffinity": false, "TrafficSplit": []any{}, "Note": f.randomText(f.padding),
		})
	}
	f.number++
	f.store.Write(platform.CatalogKind, "main", map[string]any{
		"Version": f.number, "Routes": f.routes, "Services": []any{map[string]any{"Name": "app", "MaxConns": 430}},
	})
}

// start starts n daemons. One in eight has a wide link.
func (f *testFleet) start(n int) {
	f.t.Helper()
	for i := len(f.daemons); n > 0; i, n = i+1, n-1 {
		rate := f.rate
		if i%8 == 0 {
			rate = wideLink
		}
		f.startDaemon(i, rate)
	}
}

func (f *testFleet) startDaemon(i int, rate float64) {
	f.t.Helper()
	const perNet = 200
	ip := netip.AddrFrom4([4]byte{10, byte(1 + i%f.zones), byte(i / perNet), byte(1 + i%perNet)})
	d := &deployment.Deployment{
		Host: identifier.Host(fmt.Sprintf("front-%d", i)), AvailabilityZone: identifier.AvailabilityZone(fmt.Sprintf("zone-%d", i%f.zones)), IP: ip,
		Callers: netip.AddrPortFrom(ip, 80), Readiness: netip.AddrPortFrom(ip, 81), Peers: netip.AddrPortFrom(ip, 82),
		Store:              netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, byte(i / perNet), byte(1 + i%perNet)}), 8225),
		Seeds:              []netip.AddrPort{netip.MustParseAddrPort("10.1.0.1:82"), netip.MustParseAddrPort("10.2.0.2:82"), netip.MustParseAddrPort("10.3.0.3:82")},
		LinkBytesPerSecond: rate,
		Bounds: deployment.Bounds{
			DrainTime: applyTime, ApplyTime: applyTime, GracePeriod: 8 * time.Second, LeaseTime: 3 * time.Second,
			RetryShare: 0.2, RetryReserve: 160, RetryWindow: 10 * time.Second, QuotaWindow: 8 * time.Second, QuotaOverage: 0.1,
			UsageWindow: 5 * time.Second, UsageDue: 10 * time.Second, PrefixCacheTTL: 10 * time.Second,
		},
	}
	if f.adjust != nil {
		f.adjust(d)
	}
	f.serveStore(d.Host, d.Store)
	network := &isolatableNetwork{Network: f.network.Host(rate)}
	f.networks = append(f.networks, network)
	c := Config{Deployment: d, Logger: log.New(f.logOutput()), Network: network, Uptime: time.Now}
	if f.prepare != nil {
		f.prepare(&c)
	}
	g, err := New(c)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	f.daemons, f.cancels = append(f.daemons, g), append(f.cancels, cancel)
	f.stop = append(f.stop, func() {
		cancel()
		if err := <-ended; err != nil {
			f.t.Errorf("%s: %v", d.Host, err)
		}
	})
}

// shutdownTime outlasts the calls in flight when the daemons end, and idle connections.
const shutdownTime = time.Minute

// end stops everything at once and waits until calls in flight have ended: the bubble's clock
// stands still once the test has returned.
func (f *testFleet) end() {
	done := make(chan struct{})
	for _, stop := range f.stop {
		go func() { stop(); done <- struct{}{} }()
	}
	for range f.stop {
		<-done
	}
	time.Sleep(shutdownTime)
}

// logOutput returns a writer for the daemons' logs. It keeps only the lines about roll-out
// decisions.
func (f *testFleet) logOutput() io.Writer {
	if f.adjust == nil {
		return io.Discard
	}
	return rolloutLog{f.t}
}

type rolloutLog struct{ t *testing.T }

// Write logs a line if it is about a roll-out decision.
func (l rolloutLog) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("roll-out decided")) || bytes.Contains(line, []byte("behind its deadline")) {
		l.t.Log(strings.TrimSpace(string(line)))
	}
	return len(line), nil
}

// refuseStoreCalls makes the store refuse the calls of one daemon.
func (f *testFleet) refuseStoreCalls(host identifier.Host) {
	f.store.SetFault(func(c hosting.Call) hosting.Fault {
		if c.Caller == string(host) {
			return hosting.Unavailable
		}
		return hosting.NoFault
	})
}

// daemonsBehind lists the daemons at which the newest configuration is not in force.
func (f *testFleet) daemonsBehind() []string {
	var out []string
	for _, g := range f.daemons {
		if g.configurationNumber() != uint64(f.number) {
			out = append(out, fmt.Sprintf("%s has %d", g.c.Deployment.Host, g.configurationNumber()))
		}
	}
	return out
}

// A configuration grows by 1,400 routes to a megabyte. All sixty daemons learn its number
// within milliseconds, and all that do not watch the store fetch it from the first daemon that
// has it, whose link carries one copy in 0.8 s. If each transfer is abandoned after a second and
// restarted at another daemon, the links stay full of bytes that are discarded, callers' answers
// queue behind them, and callers of the new routes get 404 ten seconds later. A fleet logged 60
// "newer objects not fetched … context deadline exceeded" in the first second, all from one
// peer, which sent 22 MB in it; 35 of 61 daemons never had that configuration in force.
func TestLargeConfigurationIsSoonInForceEverywhere(t *testing.T) {
	inPausedTime(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		f.addRoutes(2800)
		f.start(scaledFleetSize(60))
		time.Sleep(15 * time.Second)
		if behind := f.daemonsBehind(); len(behind) > 0 {
			t.Fatalf("after the start: %d daemons are behind: %v", len(behind), behind)
		}
		for range 2 {
			f.addRoutes(700)
			time.Sleep(applyTime)
			if behind := f.daemonsBehind(); len(behind) > 0 {
				t.Errorf("configuration %d: %d daemons are behind after %v: %v", f.number, len(behind), applyTime, behind)
			}
		}
	})
}

// Like TestLargeConfigurationIsSoonInForceEverywhere, but the configuration is mostly random
// text and hardly compresses. The link of the first daemon that has it can serve one of the
// askers in 0.6 s: the others must be redirected, to daemons that have it by then.
func TestDenseConfigurationIsSoonInForceEverywhere(t *testing.T) {
	inPausedTime(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		f.padding = 700
		f.addRoutes(300)
		f.start(scaledFleetSize(40))
		time.Sleep(10 * time.Second)
		f.addRoutes(700)
		time.Sleep(applyTime)
		if behind := f.daemonsBehind(); len(behind) > 0 {
			t.Errorf("%d daemons are behind after %v: %v", len(behind), applyTime, behind)
		}
	})
}

// A daemon starts while the store refuses its calls, and the configuration is a megabyte. Its
// peers have it, but if each is given 0.7 s for the answer and the daemon's link needs 0.8 s,
// it retries forever, applies nothing, and refuses requests that its peers serve.
func TestNewDaemonTakesALargeConfigurationFromPeers(t *testing.T) {
	inPausedTime(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		f.addRoutes(3500)
		f.start(4)
		time.Sleep(10 * time.Second)
		f.refuseStoreCalls("front-4")
		f.start(1)
		time.Sleep(applyTime)
		if behind := f.daemonsBehind(); len(behind) > 0 {
			t.Errorf("%d daemons are behind after %v: %v", len(behind), applyTime, behind)
		}
	})
}

// A host's link carries 300 KB a second beside its callers' traffic, and the configuration is a
// megabyte. If a list call to the store is abandoned after two seconds and restarted, though
// its bytes keep coming, the daemon never serves.
func TestLargeConfigurationIsListedOverABusyLink(t *testing.T) {
	inPausedTime(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		f.addRoutes(3500)
		f.startDaemon(0, 300e3)
		time.Sleep(10 * time.Second)
		if behind := f.daemonsBehind(); len(behind) > 0 {
			t.Errorf("%d daemons are behind: %v", len(behind), behind)
		}
	})
}
