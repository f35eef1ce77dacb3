// Package gateway implements the daemon of the hosting platform. It serves the clients of the
// platform's ingress. The daemon that holds the cluster's lease also performs the duties:
// usage reports, scaling orders and roll-outs.
//
// The daemon is a tree of supervised services. The main ones are:
//
//	gateway
//	├── watcher of configurations   watches the store
//	├── watcher of endpoints        watches the store
//	├── pruner                      closes idle connections before the endpoints do
//	├── callers                     listener for clients
//	├── readiness                   listener for the load balancer
//	└── metrics                     listener for metrics
//
// On a stop signal readiness fails at once and permanently. New connections are still served for
// [balancerLag], because the balancer may still send some; answers close their connections.
// Then the listener closes, and requests already read are answered within the grace period.
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
	"brasschute/internal/core/bootclock"
	"brasschute/internal/core/chronometer"
	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/core/watchdog"
	"brasschute/internal/engine/sender"
	"brasschute/internal/fleet/leaser"
	"brasschute/internal/fleet/poolrecorder"
	"brasschute/internal/fleet/usagecounter"
	"brasschute/internal/ops/connectionlimiter"
	"brasschute/internal/ops/hostdivider"
	"brasschute/internal/ops/server"
	"brasschute/internal/peer/aggregator"
	"brasschute/internal/peer/announcer"
	"brasschute/internal/peer/assigner"
	"brasschute/internal/peer/coordinator"
	"brasschute/internal/peer/crashreporter"
	"brasschute/internal/peer/fetcher"
	"brasschute/internal/peer/gatherer"
	"brasschute/internal/peer/membertracker"
	"brasschute/internal/peer/meter"
	"brasschute/internal/peer/mirror"
	"brasschute/internal/peer/origintracker"
	"brasschute/internal/peer/permitborrower"
	"brasschute/internal/peer/reserver"
	"brasschute/internal/peer/roster"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/peer/supplier"
	"brasschute/internal/peer/syncer"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/pruner"
	"brasschute/internal/platform/refresher"
	"brasschute/internal/platform/registrar"
	"brasschute/internal/route/budgeter"
	"brasschute/internal/route/demandmeter"
	"brasschute/internal/route/endtracker"
	"brasschute/internal/route/estimator"
	"brasschute/internal/route/pacer"
	"brasschute/internal/route/pathtracker"
	"brasschute/internal/route/quotalimiter"
	"brasschute/internal/route/registry"
	"brasschute/internal/route/scheduler"
	"brasschute/internal/route/splitter"
	"brasschute/internal/route/versiontracker"
	"brasschute/internal/serve/answerreader"
	"brasschute/internal/serve/bodyreader"
	"brasschute/internal/serve/dispatcher"
	"brasschute/internal/serve/drainer"
	"brasschute/internal/serve/headlimiter"
	"brasschute/internal/serve/placer"
	"brasschute/internal/serve/proxier"
	"brasschute/internal/serve/receiver"
	"brasschute/internal/serve/relayer"
	"brasschute/internal/serve/verifier"
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
	// balancerLag is how long the balancer may still send connections after readiness fails: it
	// polls once a second and removes the daemon after the second failure.
	balancerLag = 3 * time.Second
	// exitMargin is the end of the grace period that is reserved for the process to exit.
	exitMargin = 500 * time.Millisecond
	// watchFraction is the fraction of the time within which a change must be in force that one
	// watch stays open. A store that drops its history leaves open watches waiting without the
	// changes made meanwhile; only the next call detects the gap. The rest of the time is for a
	// list call and a pause after an error.
	watchFraction = 0.45
	// pruneInterval is well below the shortest keep-alive timeout of an endpoint, which is a
	// whole number of seconds.
	pruneInterval = 500 * time.Millisecond
	// storeStallTimeout ends a platform call that receives no bytes. A slow store answers within
	// 0.2 s.
	storeStallTimeout = 2 * time.Second
	metricsInterval   = time.Second
	// reloadInterval is how often the settings are read without a reload signal. The file has a
	// few kilobytes.
	reloadInterval = 5 * time.Second
	// maxHeaderBytes, headerTimeout and idleTimeout bound what clients may use. They are above
	// what configurations require of well-behaved clients.
	maxHeaderBytes = 16 << 10
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	// maxAnswerBytes bounds the answer of an endpoint that is no stream, which is buffered until it is complete.
	maxAnswerBytes = 8 << 20
	// maxPeerHeaderBytes leaves room for the headers that wrap a client's request.
	maxPeerHeaderBytes = 2 * maxHeaderBytes
)

// Config holds the settings and dependencies of a daemon.
type Config struct {
	Deployment *deployment.Deployment
	Logger     *log.Logger
	// ReadDeployment reads the deployment again, which may change while the daemon runs. Nil
	// disables reloading.
	ReadDeployment func() (*deployment.Deployment, error)
	// Reload receives a signal when the deployment may have changed; may be nil.
	Reload <-chan os.Signal
	// Network opens connections and listeners; nil means the host's own network.
	Network Network
	// NewScheduler returns the scheduler of an endpoint that this daemon coordinates; nil for that of
	// package scheduler.
	NewScheduler func(scheduler.Config) coordinator.Scheduler
	// Uptime returns the time of a clock that continues while the host is suspended; nil means
	// the host's clock.
	Uptime func() time.Time
}

// Network is the network of the daemon's host.
type Network interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
	Listen(address netip.AddrPort) (net.Listener, error)
}

// hostNetwork is the network of the host that the process runs on.
type hostNetwork struct{ *net.Dialer }

// Listen opens a TCP listener at an address of the host.
func (hostNetwork) Listen(address netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", address.String())
}

// Gateway is one daemon. Create it with [New].
type Gateway struct {
	c    Config
	tree *suture.Supervisor

	store        *platform.Store
	versioner    versioner.Versioner
	leavingHosts *membertracker.Tracker
	registry     *registry.Registry
	sender       *sender.Sender
	// paths tracks which endpoints this daemon reaches; pathLogs limits the log lines about it.
	paths      *pathtracker.Tracker
	pathLogs   *rate.Limiter
	dispatcher *dispatcher.Dispatcher
	// peerSender sends requests for endpoints to peers, proxier sends those of peers to endpoints.
	peerSender *sender.Sender
	proxier    *proxier.Proxier
	quarantine *crashreporter.Reporter
	// ends are the incarnations of endpoints that are known to have ended.
	ends     *endtracker.Tracker
	receiver *receiver.Receiver
	callers  *server.Server
	// connections bounds the connections of clients.
	connections *connectionlimiter.Limiter
	// messages reads the messages of peers, and the requests that they hand over.
	messages *bodyreader.Reader
	// heads bounds the memory of long heads.
	heads *headlimiter.Limiter
	// shares are the bounds of what others send.
	shares *hostdivider.Shares
	// drainer tells requests when they have to end because the daemon stops.
	drainer  *drainer.Drainer
	reporter prometheus.Reporter
	scope    tally.Scope
	closer   func() error

	// peerClient calls the coordinators among the peers.
	peerClient *http.Client
	// peerBytes counts the bytes exchanged with peers.
	peerBytes meter.Meter

	// decoded is the newest configuration that could be decoded. It may not be in force yet.
	decoded atomic.Pointer[decodedCatalog]

	clock        *chronometer.Chronometer
	usageCounter *usagecounter.Counter
	quotaLimiter *quotalimiter.Limiter
	// overdraftLoggedAt is when an overdrawn quota was last logged, isolatedLoggedAt when this
	// daemon's isolation was, both in Unix nanoseconds.
	overdraftLoggedAt atomic.Int64
	isolatedLoggedAt  atomic.Int64
	// cachesShedLoggedAt is when caches were last logged as dropped for lack of memory, in Unix
	// nanoseconds.
	cachesShedLoggedAt atomic.Int64
	// skippedChargesLoggedAt is when charges that were not counted were last logged, in Unix nanoseconds.
	skippedChargesLoggedAt atomic.Int64
	// rejectedSumsLoggedAt is when rejected parts of a peer's sums were last logged, in Unix
	// nanoseconds.
	rejectedSumsLoggedAt atomic.Int64
	// estimator estimates the speed of engines.
	estimator   estimator.Estimator
	demandMeter demandmeter.Meter
	// splitter splits requests between the versions of a service's endpoints.
	splitter *splitter.Splitter
	// pacer keeps requests within endpoints' rate limits. endpointLogs limits the log lines about
	// what endpoints report about themselves.
	pacer        *pacer.Pacer
	endpointLogs *rate.Limiter
	// brittle holds the services whose endpoints crash when they have to reject too many requests.
	brittleMu sync.Mutex
	brittle   map[identifier.Service]brittleService
	// backoffNotes limits the notes sent about endpoints that asked for a backoff.
	backoffNotes *rate.Limiter
	// assigner determines the coordinators of endpoints. coordinator is this daemon's own, reserver
	// asks all of them.
	assigner    *assigner.Assigner
	coordinator *coordinator.Coordinator
	reserver    *reserver.Reserver
	// versions tracks the versions of services' endpoints, origins those at which streams began.
	versions *versiontracker.Tracker
	origins  *origintracker.Tracker
	permits  *permitborrower.Borrower
	// scarcityLogs limits the log lines about scarce endpoints.
	scarcityLogs *rate.Limiter
	// predictions are the histograms of measured over predicted times to first events, by service.
	predictionMu sync.Mutex
	predictions  map[identifier.Service]tally.Histogram
	// announcer selects the departures of endpoints that messages to peers name.
	announcer announcer.Announcer
	gatherer  gatherer.Gatherer
	// roster holds the members of the fleet, aggregator sums what they report. relayedDigests are
	// the digests of other zones' daemons, which relays forward to the lease holder.
	roster         *roster.Roster
	aggregator     *aggregator.Aggregator
	relayedDigests gatherer.Gatherer
	// lastRole is the gossip role at the last digest received.
	roleMu   sync.Mutex
	lastRole gossipRole
	// cachedDigest is this daemon's own digest, built at digestBuiltAt.
	digestMu      sync.Mutex
	cachedDigest  *rpc.Digest
	digestBuiltAt time.Time
	mirror        mirror.Mirror
	// registrar distinguishes incarnations of endpoints.
	registrar registrar.Registrar
	// unreadableLogs limits the log lines about undecodable records.
	unreadableLogs *rate.Limiter
	syncer         *syncer.Syncer
	supplier       *supplier.Supplier
	lease          *leaser.Leaser
	// pools keeps what the sizing of pools knows; nil where that is not a duty.
	pools    *poolrecorder.Recorder
	sequence atomic.Uint64
	// reportedFleetSize is the largest fleet size reported by the store or a peer.
	reportedFleetSize atomic.Int64
	// holderSeenAt is when a peer last reported that it holds the lease, in Unix nanoseconds.
	holderSeenAt atomic.Int64
	heardLease   heardLease
	// storedFleetSize is the fleet size in the store.
	storedFleetSize atomic.Int64
	started         time.Time

	stopping          atomic.Bool
	endpointsListed   atomic.Bool
	endpointRefresher *refresher.Refresher
	verifier          *verifier.Verifier
	// applying is held while objects are added to the mirror and put in force.
	applying sync.Mutex
	// endpointsAnsweredAt is when the store last answered a call about endpoints, as the time of uptime.
	endpointsAnsweredAt atomic.Pointer[time.Time]
	// endpointsListedAt is when the first endpoint was listed.
	endpointsListedAt atomic.Pointer[time.Time]
	// catalogFetcher, endpointFetcher and rolloutFetcher fetch newer objects from peers.
	catalogFetcher  *fetcher.Fetcher
	peerHandler     http.Handler
	endpointFetcher *fetcher.Fetcher
	rolloutFetcher  *fetcher.Fetcher
	// storeAnsweredAt is when the store last answered, in Unix nanoseconds.
	storeAnsweredAt atomic.Int64

	mu           sync.Mutex
	retryBudgets map[identifier.Service]*budgeter.Budgeter
}

// decodedCatalog is a configuration with its revision in the store.
type decodedCatalog struct {
	revision uint64
	catalog  *catalog.Catalog
}

// New builds the daemon and opens its listeners. It fails if a listener cannot be opened.
func New(c Config) (*Gateway, error) {
	if c.Network == nil {
		c.Network = hostNetwork{platform.Dialer()}
	}
	if c.Uptime == nil {
		c.Uptime = bootclock.Now
	}
	g := &Gateway{c: c, started: time.Now(), unreadableLogs: rate.NewLimiter(maxUnreadableLogsPerSecond, maxUnreadableLogsPerSecond)}
	g.shares = hostdivider.New(hostdivider.Config{MemoryBytes: c.Deployment.MemoryBytes, Descriptors: c.Deployment.Descriptors})
	g.reporter = prometheus.NewReporter(prometheus.Options{Registerer: newMetricsRegistry()})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "brasschute", CachedReporter: g.reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, metricsInterval)
	g.scope, g.closer = scope, closer.Close
	g.build()
	return g, g.listen()
}

// newMetricsRegistry returns a registry of this daemon's own with the metrics of the process.
// Several daemons in one process, as in tests, cannot share the library's default registry.
func newMetricsRegistry() *metrics.Registry {
	r := metrics.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

func (g *Gateway) build() {
	d := g.c.Deployment
	g.tree = suture.New("gateway", suture.Spec{EventHook: g.logSupervisorEvent})
	g.store = platform.NewStore(d.Store.String(), g.newPlatformClient(), pruner.New(pruner.Config{}))
	g.store.OnEra(g.onStoreEra)
	g.ends = endtracker.New(endtracker.Config{Retention: endRetention})
	g.drainer = drainer.New(drainer.Config{BalancerLag: balancerLag})
	g.clock = chronometer.New(chronometer.Config{Monotonic: g.c.Uptime})
	g.roster = roster.New(roster.Config{
		Host: d.Host, Zone: d.AvailabilityZone, Address: d.Peers.String(), Capacity: roster.CapacityOf(d.LinkBytesPerSecond),
	})
	g.aggregator = aggregator.New(aggregator.Config{Host: d.Host, Zone: d.AvailabilityZone, Start: g.started})
	g.usageCounter = usagecounter.New(usagecounter.Config{Window: d.Bounds.UsageWindow, Retention: d.Bounds.UsageDue, Now: g.clock.Now})
	g.quotaLimiter = quotalimiter.New(quotalimiter.Config{
		Window: d.Bounds.QuotaWindow, Overage: d.Bounds.QuotaOverage, Slack: d.Bounds.QuotaSlack, FleetSize: g.fleetSize,
		GossipDelay: func() time.Duration { return g.syncer.MaxDigestAge() },
	})
	g.brittle = make(map[identifier.Service]brittleService)
	g.retryBudgets = make(map[identifier.Service]*budgeter.Budgeter)
	g.leavingHosts = membertracker.New(membertracker.Config{Self: &rpc.Member{Host: string(d.Host), AvailabilityZone: string(d.AvailabilityZone), PeerAddress: d.Peers.String()}})
	g.buildPacer()
	g.backoffNotes = newBackoffNoteLimiter()
	g.registry = registry.New(registry.Config{LeavingHosts: g.leavingHosts, Daemons: g.knownDaemons, RateLimiter: g.pacer})
	g.splitter = splitter.New(splitter.Config{
		CanaryShare: d.Bounds.CanaryShare, CanarySlack: d.Bounds.CanarySlack, RevertTime: d.Bounds.RevertTime, Now: g.uptime, Daemons: g.fleetSize,
		Endpoints: g.endpointsByVersion, OnPhaseChange: g.logRolloutPhase, OnAnswer: g.countRolloutAnswer,
	})
	opened := g.scope.Counter("endpoint_connections_opened")
	g.sender = sender.New(sender.Config{Dialer: g.c.Network, OnConnect: func() { opened.Inc(1) }})
	g.messages = bodyreader.New(bodyreader.Config{TotalBytes: g.shares.Messages, Timeout: bodyTimeout, Metrics: g.scope.SubScope("messages")})
	g.buildPaths()
	g.quarantine = crashreporter.New(crashreporter.Config{
		Host: d.Host, Dialer: g.c.Network, Confirm: g.refusesPeers, Unreachable: g.unreachableToPeers, Leaving: g.registry.Leaving, Presence: g.registry.Presence, OnChange: g.gossipEndings, OnEnd: g.recordEnd, Logger: g.c.Logger, Metrics: g.scope,
	})
	g.tree.Add(g.quarantine)
	g.buildVerifier()
	g.buildProxier()
	g.buildScheduling()
	g.buildClients()
	wait := time.Duration(watchFraction * float64(min(d.Bounds.ApplyTime, d.Bounds.DrainTime)))
	g.tree.Add(g.newStoreWatcher("configuration", platform.CatalogKind, wait))
	g.tree.Add(g.newStoreWatcher("endpoints", platform.EndpointKind, wait))
	if d.Rollouts {
		g.tree.Add(g.newStoreWatcher("roll-outs", platform.RolloutKind, minRolloutWatch+rand.N(minRolloutWatch/2)))
	} else {
		g.splitter.ApplyOrders(nil, sourceSettings)
	}
	g.tree.Add(serviceFunc(g.pruneConnections))
	g.tree.Add(serviceFunc(g.runGauges))
	if g.c.ReadDeployment != nil {
		g.tree.Add(serviceFunc(g.reloadDeployment))
	}
	g.buildPeers()
	g.buildDuties()
}

// newRelayer returns the relayer of clients' requests.
func (g *Gateway) newRelayer() *relayer.Relayer {
	d := g.c.Deployment
	return relayer.New(relayer.Config{
		Registry: g.registry, Placer: placer.New(placer.Config{
			Registry: g.registry, Estimator: &g.estimator, Zone: d.AvailabilityZone, Host: d.Host, Reserver: g.reserver, OnFirstEvent: g.recordPrediction,
			SurvivedRejections: g.survivedRejections, Drainer: g.drainer,
		}),
		Dispatcher: g.dispatcher, Codec: platform.Codec{}, Budget: g, OnBegin: g.countRequest, Demand: &g.demandMeter, Quarantine: g.quarantine,
		Versions: g.splitter, Origins: g.origins, Permits: g.permits, ReplyObserver: g, SilenceObserver: g,
		Answers: answerreader.New(answerreader.Config{MaxBytes: maxAnswerBytes, TotalBytes: g.shares.Answers, Metrics: g.scope}),
		Drainer: g.drainer, Ends: listEnds{g}, Incarnations: g.verifier,
	})
}

// uptime returns the time of a clock that continues while the host is suspended.
func (g *Gateway) uptime() time.Time { return g.c.Uptime() }

// newPlatformClient returns a client for the platform with connections of its own.
func (g *Gateway) newPlatformClient() *watchdog.Watchdog {
	return watchdog.New(watchdog.Config{Transport: platform.Transport(g.c.Network.DialContext), IdleTimeout: storeStallTimeout})
}

// serviceFunc adapts a function to a supervised service.
type serviceFunc func(context.Context) error

// Serve calls s.
func (s serviceFunc) Serve(ctx context.Context) error { return s(ctx) }

// reloadDeployment applies a changed deployment, on a reload signal and every reloadInterval.
// Only the seeds can change what a running daemon does. An unreadable file changes nothing.
func (g *Gateway) reloadDeployment(ctx context.Context) error {
	seen := g.c.Deployment
	tick := time.NewTicker(reloadInterval)
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
			g.c.Logger.Error("settings not reloaded, the previous ones stay in force", "error", err)
		case !reflect.DeepEqual(d, seen):
			seen = d
			g.c.Logger.Info("settings reloaded", "seeds", len(d.Seeds))
			for _, seed := range d.Seeds {
				g.roster.Add(seed.String())
			}
		}
	}
}

// pruneConnections closes idle connections and drops the rate limits of endpoints that are no
// longer listed.
func (g *Gateway) pruneConnections(ctx context.Context) error {
	return waiter.Every(ctx, pruneInterval, func(context.Context) {
		unlisted := g.unlisted()
		g.sender.Prune(func(address string) bool { return !unlisted.addresses[address] })
		g.peerSender.Prune(func(string) bool { return true })
		g.pacer.Prune(func(l identifier.EndpointIncarnation) bool { return !unlisted.limits[l] })
		g.scope.Gauge("endpoints_limited").Update(float64(len(g.pacer.Limits())))
	})
}

// unlisted holds what this daemon keeps for endpoints that are no longer listed.
type unlisted struct {
	// addresses are those with idle connections, limits the incarnations with a rate limit.
	addresses map[string]bool
	limits    map[identifier.EndpointIncarnation]bool
}

// unlisted finds what is kept for endpoints that are no longer listed. It starts from what is kept,
// which is little, as it runs twice a second and a list may have thousands of endpoints.
func (g *Gateway) unlisted() unlisted {
	out := unlisted{addresses: make(map[string]bool), limits: make(map[identifier.EndpointIncarnation]bool)}
	for _, address := range g.sender.IdleAddresses() {
		out.addresses[address] = true
	}
	for _, l := range g.pacer.Limits() {
		out.limits[l.EndpointIncarnation] = true
	}
	g.registry.EachHost(func(h *inventory.Host) {
		e := &h.Endpoints[0]
		delete(out.addresses, e.Address)
		delete(out.limits, identifier.EndpointIncarnation{Endpoint: e.Endpoint, Born: h.Born})
	})
	return out
}

// listen opens the listeners and adds their servers to the supervisor tree.
func (g *Gateway) listen() error {
	d := g.c.Deployment
	for _, l := range []struct {
		name        string
		address     netip.AddrPort
		handler     http.Handler
		headerBytes int
		readTimeout time.Duration
		limiter     server.ConnectionLimiter
		server      **server.Server
	}{
		{"callers", d.Callers, g.heads.Handler(g.receiver), maxHeaderBytes, 0, g.connections, &g.callers},
		{"readiness", d.Readiness, http.HandlerFunc(g.serveReadiness), maxHeaderBytes, bodyTimeout, nil, nil},
		{"peers", d.Peers, g.peerHandler, maxPeerHeaderBytes, 0, nil, nil},
		{"metrics", d.Metrics, g.metricsHandler(), maxHeaderBytes, bodyTimeout, nil, nil},
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
			HeaderBytes: l.headerBytes, IdleTimeout: idleTimeout, ReadTimeout: l.readTimeout, Limiter: l.limiter,
		})
		g.tree.Add(s)
		if l.server != nil {
			*l.server = s
		}
	}
	return nil
}

// serveReadiness answers the balancer's readiness probe: 200 or 503. A stopping daemon stays
// unready until its process is replaced.
func (g *Gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() || g.versioner.Current() == nil || !g.endpointsListed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Run serves until ctx ends and then drains. It returns an error if the supervisor tree ends
// early or the metrics cannot be closed.
func (g *Gateway) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	done := g.tree.ServeBackground(running)
	d := g.c.Deployment
	g.c.Logger.Info("gateway started", "callers", d.Callers, "zone", d.AvailabilityZone, "store", d.Store, "cloud", d.Cloud)
	select {
	case <-ctx.Done():
	case err := <-done:
		return fmt.Errorf("gateway: %w", err)
	}
	g.drain(time.Now().Add(d.Bounds.GracePeriod - exitMargin))
	cancel()
	if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
		g.c.Logger.Warn("supervisor tree ended", "error", err)
	}
	g.c.Logger.Info("stopped")
	return g.closer()
}

// drain stops accepting requests, releases the lease and waits until deadline for requests in
// flight.
func (g *Gateway) drain(deadline time.Time) {
	g.stopping.Store(true)
	g.drainer.Begin(deadline)
	g.receiver.Drain()
	g.proxier.Drain()
	g.c.Logger.Info("stopping", "deadline", deadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	waiter.For(ctx, balancerLag)
	g.release(ctx)
	if err := g.callers.Shutdown(ctx); err != nil {
		g.c.Logger.Warn("requests aborted at the end of the grace period", "error", err)
	}
	g.proxier.Wait(ctx)
}

func (g *Gateway) logSupervisorEvent(event suture.Event) {
	if event.Type() != suture.EventTypeStopTimeout {
		g.c.Logger.Warn("supervisor", "event", event.String())
	}
}
