// Package entry is the role of an entry daemon.
//
// # The supervisor tree
//
//	entry
//	├── watcher      follows the platform
//	├── exchanger    swaps news with peers
//	├── poller       observes endpoints
//	├── evacuator    saves caches of engines that leave
//	├── registrar    lists this daemon on the platform
//	├── gauges       keeps metrics up to date
//	├── peers        listener for peers
//	├── operators    listener for operators
//	└── callers      listener for callers
//
// A service that fails is restarted alone; the path of requests needs none of
// them but its listener. On a graceful stop the daemon first drains (package
// handler) while the whole tree still runs, and then ends the tree.
//
// # Reasons to stop
//
// SIGTERM, an operator's drain, and a reclaim notice for the own host all
// lead to the same drain; a notice sets the deadline.
//
// # Usage
//
//	e, err := entry.New(entry.Config{Settings: s, Logger: l})
//	err = e.Run(ctx) // until ctx ends, then drains
package entry

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"brasschute/internal/config/applier"
	"brasschute/internal/config/keeper"
	"brasschute/internal/config/settings"
	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/caller"
	"brasschute/internal/fleet/repairer"
	"brasschute/internal/fleet/auditor"
	"brasschute/internal/ops/operator"
	"brasschute/internal/ops/server"
	"brasschute/internal/peer/gossiper"
	"brasschute/internal/peer/retainer"
	"brasschute/internal/peer/membertracker"
	"brasschute/internal/peer/meter"
	"brasschute/internal/peer/crashreporter"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/peer/signer"
	"brasschute/internal/platform/client"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
	"brasschute/internal/platform/watcher"
	"brasschute/internal/route/budgeter"
	"brasschute/internal/route/migrator"
	"brasschute/internal/route/limiter"
	"brasschute/internal/route/poller"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/transferrer"
	"brasschute/internal/serve/claimer"
	"brasschute/internal/serve/forwarder"
	"brasschute/internal/serve/handler"
	"brasschute/internal/serve/parser"
	"brasschute/internal/serve/recorder"
	"brasschute/internal/serve/sealer"
	"brasschute/internal/serve/streamer"

	"github.com/charmbracelet/log"
	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	dialTimeout    = time.Second
	peerIdle       = 90 * time.Second
	handOverMargin = time.Second
	// claimTime is left, after the last request, to record what ran.
	claimTime    = 3 * time.Second
	reportPeriod = time.Second
)

// Config names what a daemon is made of.
type Config struct {
	Settings *settings.Settings
	Logger   *log.Logger
}

// Entry is one entry daemon.
type Entry struct {
	c    Config
	tree *suture.Supervisor

	platform  *client.Client
	ledger    *membertracker.Tracker
	keeper    *keeper.Keeper
	registry  *registry.Registry
	exchanger *gossiper.Gossiper
	// quarantine knows the requests under which endpoints ended.
	quarantine *crashreporter.Reporter
	streamer   *streamer.Streamer
	evacuator  *migrator.Migrator
	claimer    *claimer.Claimer
	handler    *handler.Handler
	meter      *meter.Meter
	reporter   prometheus.Reporter
	scope      tally.Scope
	closer     func() error

	started   time.Time
	reachable atomic.Bool
	stop      chan time.Time

	mu    sync.Mutex
	zones map[identifier.AvailabilityZone]bool
}

// New opens the listeners, so that a port in use is found at once, and builds
// the daemon.
func New(c Config) (*Entry, error) {
	e := &Entry{c: c, started: time.Now(), stop: make(chan time.Time, 1), zones: make(map[identifier.AvailabilityZone]bool)}
	key, err := hex.DecodeString(c.Settings.PeerKey)
	if err != nil {
		return nil, fmt.Errorf("entry: peer key: %w", err)
	}
	e.metrics()
	e.build(key)
	return e, e.listen(key)
}

func (e *Entry) metrics() {
	e.reporter = prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "brasschute", CachedReporter: e.reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, reportPeriod)
	e.scope, e.closer = scope, closer.Close
}

// build makes the daemon's parts, lowest first.
func (e *Entry) build(key []byte) {
	s := e.c.Settings
	e.meter = new(meter.Meter)
	e.platform = client.New(client.Config{Address: s.Platform.String(), Source: s.Source()})
	e.ledger = membertracker.New(membertracker.Config{Self: &rpc.Member{
		Host: string(s.Host), AvailabilityZone: string(s.AvailabilityZone), PeerAddress: s.PeerAddress().String(),
		Incarnation: uint64(e.started.UnixMilli()),
	}})
	e.keeper = keeper.New(keeper.Config{OnChange: e.configured, OnRefused: e.refusedConfiguration})
	e.registry = registry.New(registry.Config{LeavingHosts: e.ledger, OnChange: e.endpointsChanged, Price: e.price, Daemons: e.daemons})
	records := recorder.New(recorder.Config{})
	kept := retainer.New(retainer.Config{})
	signing := signer.New(signer.Config{Key: key, Host: s.Host})
	dial := net.Dialer{Timeout: dialTimeout, LocalAddr: s.Source()}
	e.quarantine = crashreporter.New(crashreporter.Config{
		Host: s.Host, Dialer: &net.Dialer{LocalAddr: s.Source()}, Leaving: e.registry.Leaving,
		// The host list numbers the lives of hosts.
		Incarnation:   func(k *registry.Pick) identifier.StartTime { return identifier.StartTime(k.Incarnation) },
		OnNews: func(bool) { e.exchanger.Trigger() }, Logger: e.c.Logger, Metrics: e.scope,
	})
	e.exchanger = gossiper.New(gossiper.Config{
		Reporter: e.quarantine, Members: e.ledger, Registry: e.registry, Keeper: e.keeper, Retainer: kept, Recorder: records, Seeds: seeds(s),
		Client: &http.Client{Transport: signing.Sign(&http.Transport{
			DialContext: e.meter.Dial(dial.DialContext), IdleConnTimeout: peerIdle, DisableCompression: true,
		})},
	})
	e.serving(key, records, kept)
}

func seeds(s *settings.Settings) []string {
	var out []string
	for _, a := range s.Seeds {
		out = append(out, a.String())
	}
	return out
}

// serving makes the parts on the path of requests.
func (e *Entry) serving(key []byte, records *recorder.Recorder, kept *retainer.Retainer) {
	s := e.c.Settings
	endpoints := caller.New(caller.Config{Source: s.Source()})
	budget := budgeter.New(budgeter.Config{})
	e.evacuator = migrator.New(migrator.Config{Registry: e.registry, Caller: endpoints})
	e.streamer = streamer.New(streamer.Config{
		Registry: e.registry, Caller: endpoints, Budgeter: budget, Zone: s.AvailabilityZone,
		Stall: s.Engine.Stall.Std(), FirstStall: s.Engine.FirstStall.Std(), Quarantine: e.quarantine,
	})
	e.claimer = claimer.New(claimer.Config{Store: e.platform})
	e.handler = handler.New(handler.Config{
		Host: s.Host, Zone: s.AvailabilityZone, Keeper: e.keeper, Limiter: limiter.New(), Registry: e.registry,
		Parser:   parser.New(parser.Config{MaxBody: int64(s.Limits.BodyBytes), BodyTimeout: s.Limits.BodyTimeout.Std()}),
		Claimer:  e.claimer,
		Streamer: e.streamer,
		Forwarder: forwarder.New(forwarder.Config{
			Registry: e.registry, Caller: endpoints, Budgeter: budget, Zone: s.AvailabilityZone, Quarantine: e.quarantine,
		}),
		Carrier:  transferrer.New(transferrer.Config{Ledger: e.ledger, Holder: kept, Peer: e.exchanger.Peer, Store: e.platform}),
		Sealer:   sealer.New(sealer.Config{Key: key}),
		Recorder: records, Daemons: e.ledger, Logger: e.c.Logger, Metrics: e.scope, EarnRetry: budget.Earn,
	})
	e.tree = suture.New("entry", suture.Spec{EventHook: e.event})
	e.tree.Add(watcher.New(watcher.Config{
		Platform: e.platform, Sink: e, OnResult: e.platformReport,
		Prefixes: []string{inventory.ConfigurationPrefix, inventory.HostPrefix, inventory.NoticePrefix, inventory.MemberPrefix},
	}))
	e.tree.Add(e.exchanger)
	e.tree.Add(e.evacuator)
	e.tree.Add(poller.New(poller.Config{
		Registry: e.registry, Ledger: e.ledger, Caller: endpoints, OnReport: e.exchanger.ShareReport,
	}))
	e.tree.Add(&registrar{e: e})
	e.tree.Add(&gauges{e: e})
}

// listen opens the listeners and adds their servers to the tree.
func (e *Entry) listen(key []byte) error {
	s := e.c.Settings
	peers := http.NewServeMux()
	peers.Handle(rpc.PeerPathPrefix, signer.New(signer.Config{
		Key: key, Host: s.Host, Addresses: []string{s.Peers.String(), s.PeerAddress().String()},
	}).Verify(rpc.NewPeerServer(e.exchanger)))
	for _, l := range []struct {
		name    string
		address settings.Address
		handler http.Handler
	}{
		{"callers", s.Callers, e.handler},
		{"operators", s.Operators, e.operators()},
		{"peers", s.Peers, peers},
	} {
		listener, err := net.Listen("tcp", l.address.String())
		if err != nil {
			return fmt.Errorf("entry: listener for %s: %w", l.name, err)
		}
		if l.name == "peers" {
			listener = e.meter.Listen(listener)
		}
		e.tree.Add(server.New(server.Config{
			Name: l.name, Listener: listener, Handler: l.handler, HeaderTimeout: s.Limits.HeaderTimeout.Std(),
			HeaderBytes: s.Limits.HeaderBytes, IdleTimeout: s.Limits.IdleTimeout.Std(),
		}))
	}
	return nil
}

func (e *Entry) operators() http.Handler {
	keys := make(map[string]string)
	for _, k := range e.c.Settings.OperatorKeys {
		keys[k.KeyHash] = k.Name
	}
	o := operator.New(operator.Config{
		Keys: keys, Keeper: e.keeper, Applier: applier.New(applier.Config{Store: e.platform, Keeper: e.keeper}),
		Ledger: e.ledger, Registry: e.registry, Recorder: e.handler.Recorder(), Peer: e.exchanger.Peer, Trails: e.trails,
		Repairs:  e.repairs,
		State:    func() string { return e.handler.Phase().String() },
		InFlight: e.handler.InFlight, PlatformReachable: e.reachable.Load,
		Drain:  func() { e.leave(time.Now().Add(e.c.Settings.Drain.Patience.Std())) },
		Logger: e.c.Logger,
	})
	mux := http.NewServeMux()
	mux.Handle(rpc.OperatorPathPrefix, o.Authenticate(rpc.NewOperatorServer(o)))
	mux.Handle("/metrics", e.reporter.HTTPHandler())
	mux.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

// trails are those of the zones in which hosts are listed.
func (e *Entry) trails() []*auditor.Trail {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*auditor.Trail
	for zone := range e.zones {
		out = append(out, auditor.New(auditor.Config{Store: e.platform, Zone: zone}))
	}
	return out
}

// repairs reads a zone's repair record from the platform.
func (e *Entry) repairs(ctx context.Context, zone identifier.AvailabilityZone) (*repairer.Record, error) {
	var record repairer.Record
	o, err := e.platform.Get(ctx, repairer.Key(zone))
	if errors.Is(err, object.ErrMissing) {
		return &record, nil
	}
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(o.Value, &record); err != nil {
		return nil, fmt.Errorf("repair record: %w", err)
	}
	return &record, nil
}

// Run serves until ctx ends, a notice comes or an operator drains the daemon,
// and then stops gracefully.
func (e *Entry) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	done := e.tree.ServeBackground(running)
	e.c.Logger.Info("entry daemon serves", "callers", e.c.Settings.Callers, "operators", e.c.Settings.Operators,
		"peers", e.c.Settings.Peers, "zone", e.c.Settings.AvailabilityZone)
	deadline, err := e.awaitStop(ctx, done)
	if err != nil {
		return err
	}
	e.c.Logger.Info("draining", "deadline", deadline.UTC().Format(time.RFC3339Nano))
	e.handler.Drain(e.c.Settings.Drain.BalancerLag.Std(), deadline)
	e.claimer.Wait(claimTime)
	e.deregister(running)
	cancel()
	if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
		e.c.Logger.Warn("the tree ended", "error", err)
	}
	_ = e.closer()
	e.c.Logger.Info("stopped")
	return nil
}

func (e *Entry) awaitStop(ctx context.Context, done <-chan error) (time.Time, error) {
	select {
	case <-ctx.Done():
		return time.Now().Add(e.c.Settings.Drain.Patience.Std()), nil
	case deadline := <-e.stop:
		return deadline, nil
	case err := <-done:
		return time.Time{}, fmt.Errorf("entry: %w", err)
	}
}

// leave asks for a graceful stop; only the first call counts.
func (e *Entry) leave(deadline time.Time) {
	select {
	case e.stop <- deadline:
	default:
	}
}

func (e *Entry) event(event suture.Event) {
	if event.Type() == suture.EventTypeStopTimeout {
		return
	}
	e.c.Logger.Warn("supervisor", "event", event.String())
}

const (
	firstPause = 200 * time.Millisecond
	longPause  = 5 * time.Second
	// renewPause leaves several renewals within the age at which a record
	// counts as left behind; see package sweeper.
	renewPause = 15 * time.Minute
)
