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
	// narrow and wide are links of 10 and 200 Mbit/s.
	narrow = 1.25e6
	wide   = 25e6
	// storeLink is that of the store, 1,000 Mbit/s.
	storeLink = 125e6
	// applyTime is how long a configuration may take to be in force.
	applyTime = 3 * time.Second
)

// testFleet is a fleet of daemons in one bubble of paused time, before a stand-in of the
// store, on a network whose links are as narrow as those of small hosts.
type testFleet struct {
	t       *testing.T
	network *shaper.Shaper
	store   *hosting.Store
	// storeHost is where the store listens, at an address for each daemon.
	storeHost *shaper.Host
	random    *rand.Rand
	// zones is the number of availability zones, rate that of the usual link.
	zones int
	rate  float64
	// padding is random text in each route, which does not get smaller when packed.
	padding int
	// routes are those of the configuration, number its version.
	routes  []map[string]any
	number  identifier.ConfigurationNumber
	daemons []*Gateway
	// networks are those of the daemons' hosts.
	networks []*cutNetwork
	stop     []func()
	// adjust changes what a daemon is told of its surroundings; nil for nothing.
	adjust func(*deployment.Deployment)

	mu sync.Mutex
	// asked counts the requests of clients.
	asked int
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	f := &testFleet{
		t: t, network: shaper.New(shaper.Config{Delay: time.Millisecond}), store: hosting.NewStore(), random: rand.New(rand.NewPCG(1, 2)),
		zones: 4, rate: narrow,
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

// startTime is how long a fleet takes to know all its daemons, and endpoints.
const startTime = 10 * time.Second

// settle waits until a fleet that has started knows itself.
func (f *testFleet) settle() { time.Sleep(startTime) }

// inFleet runs a test among n daemons that serve a small configuration.
func inFleet(t *testing.T, n int, check func(f *testFleet)) {
	t.Helper()
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		f.grow(1)
		f.start(n)
		f.settle()
		check(f)
	})
}

// name is random text, as names of routes and hosts are.
func (f *testFleet) name() string { return f.text(8) }

func (f *testFleet) text(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ-_"
	var b strings.Builder
	for range n {
		b.WriteByte(letters[f.random.IntN(len(letters))])
	}
	return b.String()
}

// grow writes a configuration with more routes.
func (f *testFleet) grow(n int) {
	for range n {
		f.routes = append(f.routes, map[string]any{
			"Name": f.name(), "Host": f.name() + ".example", "PathPrefix": "/" + f.name() + "/", "Kind": "idempotent", "Service": "app",
			"TimeoutMs": 1200, "SloMs": 150, "GapSloMs": 0, "Priority": 2, "MaxAttempts": 2, "Public": false, "Resumable": false,
			"SessionAffinity": false, "TrafficSplit": []any{}, "Note": f.text(f.padding),
		})
	}
	f.number++
	f.store.Write(platform.CatalogKind, "main", map[string]any{
		"Version": f.number, "Routes": f.routes, "Services": []any{map[string]any{"Name": "app", "MaxConns": 430}},
	})
}

// start starts n daemons; one in eight has a wide link.
func (f *testFleet) start(n int) {
	f.t.Helper()
	for i := len(f.daemons); n > 0; i, n = i+1, n-1 {
		rate := f.rate
		if i%8 == 0 {
			rate = wide
		}
		f.daemon(i, rate)
	}
}

func (f *testFleet) daemon(i int, rate float64) {
	f.t.Helper()
	const perNet = 200
	ip := netip.AddrFrom4([4]byte{10, byte(1 + i%f.zones), byte(i / perNet), byte(1 + i%perNet)})
	d := &deployment.Deployment{
		Host: identifier.Host(fmt.Sprintf("front-%d", i)), AvailabilityZone: identifier.AvailabilityZone(fmt.Sprintf("zone-%d", i%f.zones)), IP: ip,
		Callers: netip.AddrPortFrom(ip, 80), Readiness: netip.AddrPortFrom(ip, 81), Peers: netip.AddrPortFrom(ip, 82),
		Store:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, byte(i / perNet), byte(1 + i%perNet)}), 8225),
		Seeds:     []netip.AddrPort{netip.MustParseAddrPort("10.1.0.1:82"), netip.MustParseAddrPort("10.2.0.2:82"), netip.MustParseAddrPort("10.3.0.3:82")},
		LinkBytesPerSecond: rate,
		Bounds: deployment.Bounds{
			DrainTime: applyTime, ApplyTime: applyTime, Grace: 8 * time.Second, LeaseTime: 3 * time.Second,
			RetryShare: 0.2, RetryReserve: 160, RetryWindow: 10 * time.Second, QuotaWindow: 8 * time.Second, QuotaOverage: 0.1,
			UsageWindow: 5 * time.Second, UsageDue: 10 * time.Second, PrefixCacheTTL: 10 * time.Second,
		},
	}
	if f.adjust != nil {
		f.adjust(d)
	}
	f.serveStore(d.Host, d.Store)
	network := &cutNetwork{Network: f.network.Host(rate)}
	f.networks = append(f.networks, network)
	g, err := New(Config{Deployment: d, Logger: log.New(f.lines()), Network: network, Uptime: time.Now})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	f.daemons = append(f.daemons, g)
	f.stop = append(f.stop, func() {
		cancel()
		if err := <-ended; err != nil {
			f.t.Errorf("%s: %v", d.Host, err)
		}
	})
}

// settleTime outlasts the calls under way when the daemons end, and idle connections.
const settleTime = time.Minute

// end stops all at once, and waits until what was on its way has ended: the bubble's time
// stands still once the test has returned.
func (f *testFleet) end() {
	done := make(chan struct{})
	for _, stop := range f.stop {
		go func() { stop(); done <- struct{}{} }()
	}
	for range f.stop {
		<-done
	}
	time.Sleep(settleTime)
}

// lines writes down the log lines of what was decided on versions.
func (f *testFleet) lines() io.Writer {
	if f.adjust == nil {
		return io.Discard
	}
	return lineWriter{f.t}
}

type lineWriter struct{ t *testing.T }

// Write takes one line.
func (l lineWriter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("roll-out decided")) || bytes.Contains(line, []byte("behind its deadline")) {
		l.t.Log(strings.TrimSpace(string(line)))
	}
	return len(line), nil
}

// turnAway makes the store turn one daemon away.
func (f *testFleet) turnAway(host identifier.Host) {
	f.store.SetFault(func(c hosting.Call) hosting.Fault {
		if c.Caller == string(host) {
			return hosting.Unavailable
		}
		return hosting.NoFault
	})
}

// behind lists the daemons that the newest configuration is not in force at.
func (f *testFleet) behind() []string {
	var out []string
	for _, g := range f.daemons {
		if g.number() != uint64(f.number) {
			out = append(out, fmt.Sprintf("%s has %d", g.c.Deployment.Host, g.number()))
		}
	}
	return out
}

// A configuration grows by 1,400 routes to a megabyte. All sixty daemons hear of its
// number within milliseconds, and all that do not watch the store ask the first one that
// has it. Its link carries one copy in 0.8 s; each transfer is given up after a second
// and begins anew at another daemon, so the links stay full of bytes that nobody
// uses, callers' answers wait behind them, and callers of the new routes get 404 ten
// seconds later. A fleet logged 60 "newer objects not fetched … context deadline
// exceeded" in the first second, all of one peer, which sent 22 MB in it; 35 of 61
// daemons never had that configuration in force.
func TestLargeConfigurationIsSoonInForceEverywhere(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		f.grow(2800)
		f.start(fleetSize(60))
		time.Sleep(15 * time.Second)
		if behind := f.behind(); len(behind) > 0 {
			t.Fatalf("after the start: %d daemons are behind: %v", len(behind), behind)
		}
		for range 2 {
			f.grow(700)
			time.Sleep(applyTime)
			if behind := f.behind(); len(behind) > 0 {
				t.Errorf("configuration %d: %d daemons are behind after %v: %v", f.number, len(behind), applyTime, behind)
			}
		}
	})
}

// The same, but the configuration is random text for the most part and does not get much
// smaller when packed. Of all that ask the first daemon that has it, its link can serve
// one in 0.6 s: the others must be sent away, and to those that have it by then.
func TestDenseConfigurationIsSoonInForceEverywhere(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		f.padding = 700
		f.grow(300)
		f.start(fleetSize(40))
		time.Sleep(10 * time.Second)
		f.grow(700)
		time.Sleep(applyTime)
		if behind := f.behind(); len(behind) > 0 {
			t.Errorf("%d daemons are behind after %v: %v", len(behind), applyTime, behind)
		}
	})
}

// A daemon starts while the store turns it away, and the configuration is a megabyte.
// Its peers have it, but each is given 0.7 s for the answer and the daemon's link needs
// 0.8 s: it asks for ever, takes nothing over, and refuses what its peers serve.
func TestNewDaemonTakesALargeConfigurationFromPeers(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		f.grow(3500)
		f.start(4)
		time.Sleep(10 * time.Second)
		f.turnAway("front-4")
		f.start(1)
		time.Sleep(applyTime)
		if behind := f.behind(); len(behind) > 0 {
			t.Errorf("%d daemons are behind after %v: %v", len(behind), applyTime, behind)
		}
	})
}

// A host's link carries 300 KB a second beside its callers' traffic, and the
// configuration is a megabyte. A list of the store is given up after two seconds and
// begins anew, though its bytes come in all the time: the daemon never serves.
func TestLargeConfigurationIsListedOverABusyLink(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		f.grow(3500)
		f.daemon(0, 300e3)
		time.Sleep(10 * time.Second)
		if behind := f.behind(); len(behind) > 0 {
			t.Errorf("%d daemons are behind: %v", len(behind), behind)
		}
	})
}
