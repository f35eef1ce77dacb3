// Package gateway is the role of a daemon on the hosting platform: it serves
// the clients of the platform's ingress and takes part in the duties.
//
// # The supervisor tree
//
//	gateway
//	├── follower of configurations   (watches the store)
//	├── follower of endpoints        (watches the store)
//	├── pruner                       closes idle connections in time
//	├── callers                      listener for clients
//	├── readiness                    listener for the balancer
//	└── metrics                      listener for counters
//
// # Stopping
//
// The order to stop fails readiness at once and for good. For [balancerLag] new
// connections are still served, as the balancer may send some; answers close
// their connections. Then the listener closes, and what was read is answered
// within the grace time.
//
// # Usage
//
//	g, err := gateway.New(gateway.Config{Deployment: d, Logger: l})
//	err = g.Run(ctx) // until ctx ends, then drains
package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/config/deployment"
	"brasschute/internal/config/versioner"
	"brasschute/internal/core/chronometer"
	"brasschute/internal/core/identifier"
	"brasschute/internal/core/bootclock"
	"brasschute/internal/core/waiter"
	"brasschute/internal/core/watchdog"
	"brasschute/internal/engine/sender"
	"brasschute/internal/fleet/leaser"
	"brasschute/internal/fleet/usagecounter"
	"brasschute/internal/ops/accesslogger"
	"brasschute/internal/ops/server"
	"brasschute/internal/peer/aggregator"
	"brasschute/internal/peer/fetcher"
	"brasschute/internal/peer/gatherer"
	"brasschute/internal/peer/membertracker"
	"brasschute/internal/peer/meter"
	"brasschute/internal/peer/mirror"
	"brasschute/internal/peer/crashreporter"
	"brasschute/internal/peer/roster"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/peer/supplier"
	"brasschute/internal/peer/syncer"
	"brasschute/internal/platform/registrar"
	"brasschute/internal/route/quotalimiter"
	"brasschute/internal/route/budgeter"
	"brasschute/internal/route/demandmeter"
	"brasschute/internal/route/estimator"
	"brasschute/internal/route/pacer"
	"brasschute/internal/route/registry"
	"brasschute/internal/route/splitter"
	"brasschute/internal/serve/placer"
	"brasschute/internal/serve/receiver"
	"brasschute/internal/serve/relayer"
	"brasschute/platform"

	"github.com/charmbracelet/log"
	metrics "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"golang.org/x/time/rate"
)

const (
	// balancerLag is how long the balancer may still send connections after
	// readiness fails: it asks once a second and believes the second miss.
	balancerLag = 3 * time.Second
	// stopMargin is left of the grace time for the process to end by itself.
	stopMargin = 500 * time.Millisecond
	// watchPart of the time within which a change must be in force is how long
	// one watch stays open. A store that drops its history leaves open watches
	// waiting, without the changes made meanwhile; only the next call learns of
	// the gap. What is left of the time is for a list and a pause after an error.
	watchPart = 0.45
	// prunePause is well below the shortest time that an endpoint keeps an idle
	// connection (whole seconds).
	prunePause = 500 * time.Millisecond
	// storeSilence is when a call to the platform is given up of which nothing comes: a
	// slow store answers within 0.2 s.
	storeSilence = 2 * time.Second
	reportPeriod = time.Second
	// rereadPause is how often the settings are looked at without a hint; they
	// are a few kilobytes.
	rereadPause = 5 * time.Second
	// headerBytes and the times bound what clients send; they are above what
	// configurations ask of well-behaved clients.
	headerBytes   = 16 << 10
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
)

// Config names what a daemon is made of.
type Config struct {
	Deployment *deployment.Deployment
	Logger     *log.Logger
	// ReadDeployment reads the deployment again, which may change while the daemon runs;
	// nil if it does not.
	ReadDeployment func() (*deployment.Deployment, error)
	// Reload receives when the deployment is said to have changed; may be nil.
	Reload <-chan os.Signal
	// Network opens connections and listeners; the host's own if nil.
	Network Network
	// Uptime is a clock that goes on while the host is suspended; the host's if nil.
	Uptime func() time.Time
}

// Network is what a daemon needs of its host's network.
type Network interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
	Listen(address netip.AddrPort) (net.Listener, error)
}

// hostNetwork is the network of the host that the process runs on.
type hostNetwork struct{ *net.Dialer }

// Listen opens a listener at an address of the host.
func (hostNetwork) Listen(address netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", address.String())
}

// Gateway is one daemon.
type Gateway struct {
	c    Config
	tree *suture.Supervisor

	store      *platform.Store
	versioner  versioner.Versioner
	ledger     *membertracker.Tracker
	registry   *registry.Registry
	sender     *sender.Sender
	quarantine *crashreporter.Reporter
	receiver   *receiver.Receiver
	callers    *server.Server
	reporter   prometheus.Reporter
	scope      tally.Scope
	closer     func() error

	// peerBytes counts what peers cost the host's link.
	peerBytes meter.Meter

	// decoded is the newest configuration that could be read, before it is in force.
	decoded atomic.Pointer[decodedCatalog]

	clock    *chronometer.Chronometer
	tallier  *usagecounter.Counter
	allotter *quotalimiter.Limiter
	// deepTold is when a level far below zero was last written down, aloneTold when that
	// this daemon is cut off.
	deepTold  atomic.Int64
	aloneTold atomic.Int64
	// refusedTold is when parts of sums were last said to be left out.
	refusedTold atomic.Int64
	// estimator learns how fast engines are.
	estimator estimator.Estimator
	demander  demandmeter.Meter
	// splitter splits requests between versions of endpoints.
	splitter *splitter.Splitter
	// pacer holds requests to what endpoints say they take; limitLines bounds its lines.
	pacer      *pacer.Pacer
	limitLines *rate.Limiter
	// restNotes bounds the notes about endpoints that want rest.
	restNotes *rate.Limiter
	gatherer  gatherer.Gatherer
	// roster knows the other daemons, aggregator sums what they tell; parts are what
	// relays tell the holder of the duties of the daemons of their zones.
	roster     *roster.Roster
	aggregator *aggregator.Aggregator
	parts      gatherer.Gatherer
	// lastPart is how this daemon last heard of the others.
	partMu   sync.Mutex
	lastPart part
	// own is what it told of itself last.
	ownMu  sync.Mutex
	own    *rpc.Digest
	ownAt  time.Time
	mirror mirror.Mirror
	// registrar tells lives of endpoints apart.
	registrar registrar.Registrar
	// unread bounds the log lines of records that can't be read.
	unread   *rate.Limiter
	swapper  *syncer.Syncer
	supplier *supplier.Supplier
	lease    *leaser.Leaser
	sequence atomic.Uint64
	// toldSize is the fleet's size as the store or a peer told it.
	toldSize atomic.Int64
	// ledAt is when a peer last said that it holds the duties, in nanoseconds
	// from 1970.
	ledAt atomic.Int64
	// storedSize is the size that the store holds.
	storedSize atomic.Int64
	started    time.Time

	stopping atomic.Bool
	listed   atomic.Bool
	// catalogs and endpoints follow the peers that are ahead.
	catalogs    *fetcher.Fetcher
	peerHandler http.Handler
	endpoints   *fetcher.Fetcher
	orders      *fetcher.Fetcher
	// storeHeard is when the store last answered, in nanoseconds from 1970.
	storeHeard atomic.Int64

	mu      sync.Mutex
	budgets map[identifier.Service]*budgeter.Budgeter
}

// decodedCatalog is a configuration with its revision in the store.
type decodedCatalog struct {
	revision uint64
	catalog  *catalog.Catalog
}

// New opens the listeners and builds the daemon.
func New(c Config) (*Gateway, error) {
	if c.Network == nil {
		c.Network = hostNetwork{platform.Dialer()}
	}
	if c.Uptime == nil {
		c.Uptime = bootclock.Now
	}
	g := &Gateway{c: c, started: time.Now(), unread: rate.NewLimiter(unreadablePerSecond, unreadablePerSecond)}
	g.reporter = prometheus.NewReporter(prometheus.Options{Registerer: newMetrics()})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "brasschute", CachedReporter: g.reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, reportPeriod)
	g.scope, g.closer = scope, closer.Close
	g.build()
	return g, g.listen()
}

// newMetrics returns a registry of the daemon's own, with those of the process: several
// daemons of one process, as tests start them, can't share the library's registry.
func newMetrics() *metrics.Registry {
	r := metrics.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

func (g *Gateway) build() {
	d := g.c.Deployment
	g.tree = suture.New("gateway", suture.Spec{EventHook: g.event})
	g.store = platform.NewStore(d.Store.String(), g.platformCaller())
	g.clock = chronometer.New(chronometer.Config{Monotonic: g.c.Uptime})
	g.roster = roster.New(roster.Config{Host: d.Host, Zone: d.AvailabilityZone, Address: d.Peers.String()})
	g.aggregator = aggregator.New(aggregator.Config{Host: d.Host, Zone: d.AvailabilityZone, Start: g.started})
	g.tallier = usagecounter.New(usagecounter.Config{Window: d.Bounds.UsageWindow, Retention: d.Bounds.UsageDue, Now: g.clock.Now})
	g.allotter = quotalimiter.New(quotalimiter.Config{
		Window: d.Bounds.QuotaWindow, Overage: d.Bounds.QuotaOverage, Slack: d.Bounds.QuotaSlack, FleetSize: g.fleetSize,
		GossipDelay: func() time.Duration { return g.swapper.MaxDigestAge() },
	})
	g.budgets = make(map[identifier.Service]*budgeter.Budgeter)
	g.ledger = membertracker.New(membertracker.Config{Self: &rpc.Member{Host: string(d.Host), AvailabilityZone: string(d.AvailabilityZone), PeerAddress: d.Peers.String()}})
	g.buildPacer()
	g.restNotes = restNotes()
	g.registry = registry.New(registry.Config{LeavingHosts: g.ledger, Daemons: g.daemons, RateLimiter: g.pacer})
	g.splitter = splitter.New(splitter.Config{
		CanaryShare: d.Bounds.CanaryShare, CanarySlack: d.Bounds.CanarySlack, RollbackTime: d.Bounds.RollbackTime, Now: g.uptime, Daemons: g.fleetSize,
		Endpoints: g.versions, OnPhaseChange: g.rolloutChanged, OnAnswer: g.rolloutCounted,
	})
	opened := g.scope.Counter("endpoint_connections_opened")
	g.sender = sender.New(sender.Config{Dialer: g.c.Network, OnConnect: func() { opened.Inc(1) }})
	g.quarantine = crashreporter.New(crashreporter.Config{
		Host: d.Host, Dialer: g.c.Network, Leaving: g.registry.Leaving, OnNews: g.spreadEndings, Logger: g.c.Logger, Metrics: g.scope,
	})
	relay := relayer.New(relayer.Config{
		Registry: g.registry, Placer: placer.New(placer.Config{Registry: g.registry, Estimator: &g.estimator, Zone: d.AvailabilityZone}),
		Sender: g.sender, Codec: platform.Codec{}, Budget: g, OnBegin: g.began, Demand: &g.demander, Quarantine: g.quarantine,
		Versions: g.splitter, ReplyObserver: g,
	})
	g.receiver = receiver.New(receiver.Config{
		Versioner: &g.versioner, Relayer: relay, Quota: g, Quarantine: g.quarantine, Decode: platform.DecodeRequest, Refuse: platform.Codec{}.EncodeRefusal,
		Observer: accesslogger.New(accesslogger.Config{Logger: g.c.Logger, Metrics: g.scope}),
	})
	wait := time.Duration(watchPart * float64(min(d.Bounds.ApplyTime, d.Bounds.DrainTime)))
	g.tree.Add(g.follow("configuration", platform.CatalogKind, wait))
	g.tree.Add(g.follow("endpoints", platform.EndpointKind, wait))
	if d.Rollouts {
		g.tree.Add(g.follow("roll-outs", platform.RolloutKind, rolloutWatch+rand.N(rolloutWatch/2)))
	} else {
		g.splitter.ApplyOrders(nil, sourceSettings)
	}
	g.tree.Add(service(g.prune))
	g.tree.Add(service(g.gauge))
	if g.c.ReadDeployment != nil {
		g.tree.Add(service(g.reread))
	}
	g.buildPeers()
	g.buildDuties()
}

// uptime is the time by a clock that goes on while the host is suspended.
func (g *Gateway) uptime() time.Time { return g.c.Uptime() }

// platformCaller makes calls to the platform over connections of its own.
func (g *Gateway) platformCaller() *watchdog.Watchdog {
	return watchdog.New(watchdog.Config{Transport: platform.Transport(g.c.Network.DialContext), IdleTimeout: storeSilence})
}

// service is a function as a supervised service.
type service func(context.Context) error

// Serve runs the function.
func (s service) Serve(ctx context.Context) error { return s(ctx) }

// reread takes over a changed deployment: on a hint, and now and then without
// one. Only the seeds can change what a running daemon does; an unreadable file
// leaves everything as it is.
func (g *Gateway) reread(ctx context.Context) error {
	seen := g.c.Deployment
	tick := time.NewTicker(rereadPause)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.c.Reload:
		case <-tick.C:
		}
		d, err := g.c.ReadDeployment()
		switch {
		case err != nil:
			g.c.Logger.Error("settings not read again, the old ones stay in force", "error", err)
		case !reflect.DeepEqual(d, seen):
			seen = d
			g.c.Logger.Info("settings read again", "seeds", len(d.Seeds))
			for _, seed := range d.Seeds {
				g.roster.Add(seed.String())
			}
		}
	}
}

func (g *Gateway) prune(ctx context.Context) error {
	return waiter.Every(ctx, prunePause, func(context.Context) {
		addresses := make(map[string]bool)
		hosts := g.registry.Hosts()
		for _, h := range hosts {
			addresses[h.Endpoints[0].Address] = true
		}
		g.sender.Prune(func(address string) bool { return addresses[address] })
		g.pruneLimits(hosts)
	})
}

// listen opens the listeners and adds their servers to the tree.
func (g *Gateway) listen() error {
	d := g.c.Deployment
	for _, l := range []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
		server  **server.Server
	}{
		{"callers", d.Callers, g.receiver, &g.callers},
		{"readiness", d.Readiness, http.HandlerFunc(g.ready), nil},
		{"peers", d.Peers, g.peerHandler, nil},
		{"metrics", d.Metrics, g.metrics(), nil},
	} {
		if !l.address.IsValid() {
			continue
		}
		listener, err := g.c.Network.Listen(l.address)
		if err != nil {
			return fmt.Errorf("gateway: listener for %s: %w", l.name, err)
		}
		if l.address == d.Peers {
			listener = g.peerBytes.Listen(listener)
		}
		s := server.New(server.Config{
			Name: l.name, Listener: listener, Handler: l.handler, HeaderTimeout: headerTimeout,
			HeaderBytes: headerBytes, IdleTimeout: idleTimeout,
		})
		g.tree.Add(s)
		if l.server != nil {
			*l.server = s
		}
	}
	return nil
}

// ready answers the balancer. Nothing but a new process makes a stopping daemon
// ready again.
func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() || g.versioner.Current() == nil || !g.listed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Run serves until ctx ends, and then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	done := g.tree.ServeBackground(running)
	d := g.c.Deployment
	g.c.Logger.Info("gateway serves", "callers", d.Callers, "zone", d.AvailabilityZone, "store", d.Store, "cloud", d.Cloud)
	select {
	case <-ctx.Done():
	case err := <-done:
		return fmt.Errorf("gateway: %w", err)
	}
	g.drain(time.Now().Add(d.Bounds.Grace - stopMargin))
	cancel()
	if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
		g.c.Logger.Warn("the tree ended", "error", err)
	}
	g.c.Logger.Info("stopped")
	return g.closer()
}

func (g *Gateway) drain(deadline time.Time) {
	g.stopping.Store(true)
	g.receiver.Drain()
	g.c.Logger.Info("stopping", "deadline", deadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	waiter.For(ctx, balancerLag)
	g.release(ctx)
	if err := g.callers.Shutdown(ctx); err != nil {
		g.c.Logger.Warn("requests cut off by the end of the grace time", "error", err)
	}
}

func (g *Gateway) event(event suture.Event) {
	if event.Type() != suture.EventTypeStopTimeout {
		g.c.Logger.Warn("supervisor", "event", event.String())
	}
}
