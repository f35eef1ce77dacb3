// Package entry implements the entry daemon, which serves callers in front of engines and plain
// services.
//
// The daemon is a tree of supervised services:
//
//	entry
//	├── watcher      watches the platform
//	├── gossiper     gossips with peers
//	├── poller       polls the load of endpoints
//	├── migrator     saves the prefix caches of leaving engines
//	├── registrar    registers this daemon on the platform
//	├── gauges       updates metrics
//	├── peers        listener for peers
//	├── operators    listener for operators
//	└── callers      listener for callers
//
// A service that fails is restarted alone. The request path depends on none of them except its
// listener.
//
// A SIGTERM, an operator's drain and a reclaim notice for the daemon's own host all start the
// same graceful stop; a notice sets its deadline. The daemon first drains (see package handler)
// while the whole tree still runs, and then ends the tree.
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
	"brasschute/internal/fleet/auditor"
	"brasschute/internal/fleet/repairer"
	"brasschute/internal/ops/connectionlimiter"
	"brasschute/internal/ops/hostdivider"
	"brasschute/internal/ops/operator"
	"brasschute/internal/ops/server"
	"brasschute/internal/peer/crashreporter"
	"brasschute/internal/peer/gossiper"
	"brasschute/internal/peer/membertracker"
	"brasschute/internal/peer/messagelimiter"
	"brasschute/internal/peer/meter"
	"brasschute/internal/peer/retainer"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/peer/signer"
	"brasschute/internal/platform/client"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
	"brasschute/internal/platform/watcher"
	"brasschute/internal/route/budgeter"
	"brasschute/internal/route/limiter"
	"brasschute/internal/route/migrator"
	"brasschute/internal/route/poller"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/answerreader"
	"brasschute/internal/serve/bodyreader"
	"brasschute/internal/serve/bufferlimiter"
	"brasschute/internal/serve/claimer"
	"brasschute/internal/serve/forwarder"
	"brasschute/internal/serve/handler"
	"brasschute/internal/serve/headlimiter"
	"brasschute/internal/serve/parser"
	"brasschute/internal/serve/recorder"
	"brasschute/internal/serve/sealer"
	"brasschute/internal/serve/streamer"
	"brasschute/internal/serve/transferrer"

	"github.com/charmbracelet/log"
	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	dialTimeout     = time.Second
	peerIdleTimeout = 90 * time.Second
	stopMargin      = time.Second
	// claimTimeout is the time after the last request for recording which requests ran.
	claimTimeout    = 3 * time.Second
	metricsInterval = time.Second
	// bodyFactor is the memory of a request's body as a multiple of its length: the body, its prompt, and what is sent
	// to an engine.
	bodyFactor = 5
	// discardFactor is what is discarded of the body of a refused request, as a multiple of the largest body.
	discardFactor = 4
	// maxMessageBytes bounds a message of a peer or an operator.
	maxMessageBytes = 8 << 20
)

// Config holds the settings and the logger of a daemon.
type Config struct {
	Settings *settings.Settings
	Logger   *log.Logger
}

// Entry is one entry daemon. Create it with [New].
type Entry struct {
	c    Config
	tree *suture.Supervisor

	platform *client.Client
	members  *membertracker.Tracker
	keeper   *keeper.Keeper
	registry *registry.Registry
	gossiper *gossiper.Gossiper
	// quarantine tracks the requests under which endpoints ended.
	quarantine *crashreporter.Reporter
	streamer   *streamer.Streamer
	migrator   *migrator.Migrator
	claimer    *claimer.Claimer
	handler    *handler.Handler
	meter      *meter.Meter
	reporter   prometheus.Reporter
	scope      tally.Scope
	closer     func() error

	// shares are the bounds of what others send, connections bounds the connections of callers.
	shares      *hostdivider.Shares
	connections *connectionlimiter.Limiter

	started   time.Time
	reachable atomic.Bool
	stop      chan time.Time

	mu    sync.Mutex
	zones map[identifier.AvailabilityZone]bool
}

// New builds the daemon and opens its listeners, so that a port in use is reported at once. It
// fails if the peer key is not hexadecimal or a listener cannot be opened.
func New(c Config) (*Entry, error) {
	e := &Entry{c: c, started: time.Now(), stop: make(chan time.Time, 1), zones: make(map[identifier.AvailabilityZone]bool)}
	e.shares = hostdivider.New(hostdivider.Config{MemoryBytes: int64(c.Settings.Limits.MemoryBytes)})
	key, err := hex.DecodeString(c.Settings.PeerKey)
	if err != nil {
		return nil, fmt.Errorf("entry: peer key: %w", err)
	}
	e.buildMetrics()
	e.build(key)
	return e, e.listen(key)
}

func (e *Entry) buildMetrics() {
	e.reporter = prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "brasschute", CachedReporter: e.reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, metricsInterval)
	e.scope, e.closer = scope, closer.Close
}

// build creates the daemon's components in the order of their dependencies.
func (e *Entry) build(key []byte) {
	s := e.c.Settings
	e.meter = new(meter.Meter)
	e.platform = client.New(client.Config{Address: s.Platform.String(), Source: s.Source()})
	e.members = membertracker.New(membertracker.Config{Self: &rpc.Member{
		Host: string(s.Host), AvailabilityZone: string(s.AvailabilityZone), PeerAddress: s.PeerAddress().String(),
		Incarnation: uint64(e.started.UnixMilli()),
	}})
	e.keeper = keeper.New(keeper.Config{OnChange: e.onConfiguration, OnRefused: e.onRefusedConfiguration})
	e.registry = registry.New(registry.Config{LeavingHosts: e.members, OnChange: e.onEndpointsChange, Price: e.price, Daemons: e.knownDaemons})
	records := recorder.New(recorder.Config{})
	retained := retainer.New(retainer.Config{})
	signing := signer.New(signer.Config{Key: key, Host: s.Host})
	dial := net.Dialer{Timeout: dialTimeout, LocalAddr: s.Source()}
	e.quarantine = crashreporter.New(crashreporter.Config{
		Host: s.Host, Dialer: &net.Dialer{LocalAddr: s.Source()}, Leaving: e.registry.Leaving, Presence: e.registry.Presence,
		// The host list numbers the incarnations of hosts.
		Incarnation: func(k *registry.Pick) identifier.StartTime { return identifier.StartTime(k.Incarnation) },
		OnChange:    func(bool) { e.gossiper.Trigger() }, Logger: e.c.Logger, Metrics: e.scope,
	})
	e.gossiper = gossiper.New(gossiper.Config{
		Reporter: e.quarantine, Members: e.members, Registry: e.registry, Keeper: e.keeper, Retainer: retained, Recorder: records, Seeds: seedAddresses(s),
		Client: &http.Client{Transport: signing.Sign(&http.Transport{
			DialContext: e.meter.Dial(dial.DialContext), IdleConnTimeout: peerIdleTimeout, DisableCompression: true,
		})},
	})
	e.buildServing(key, records, retained)
}

func seedAddresses(s *settings.Settings) []string {
	var out []string
	for _, a := range s.Seeds {
		out = append(out, a.String())
	}
	return out
}

// buildServing creates the components that handle requests.
func (e *Entry) buildServing(key []byte, records *recorder.Recorder, retained *retainer.Retainer) {
	s := e.c.Settings
	endpoints := caller.New(caller.Config{Source: s.Source()})
	budget := budgeter.New(budgeter.Config{})
	e.migrator = migrator.New(migrator.Config{Registry: e.registry, Caller: endpoints})
	bodies := bodyreader.New(bodyreader.Config{
		TotalBytes: e.shares.Bodies, Factor: bodyFactor, Timeout: s.Limits.BodyTimeout.Std(),
		DiscardBytes: discardFactor * int64(s.Limits.BodyBytes), Metrics: e.scope,
	})
	e.connections = connectionlimiter.New(connectionlimiter.Config{
		Connections: e.shares.Connections, LongHeads: e.shares.LongHeads, BufferBytes: e.shares.Buffers,
		EndStalled: bodies.EndLongestStalled, Metrics: e.scope,
	})
	e.streamer = streamer.New(streamer.Config{
		Registry: e.registry, Caller: endpoints, Budgeter: budget, Zone: s.AvailabilityZone,
		Stall: s.Engine.Stall.Std(), FirstStall: s.Engine.FirstStall.Std(), Quarantine: e.quarantine,
	})
	e.claimer = claimer.New(claimer.Config{Store: e.platform})
	e.handler = handler.New(handler.Config{
		Host: s.Host, Zone: s.AvailabilityZone, Keeper: e.keeper, Limiter: limiter.New(), Registry: e.registry,
		Bodies: bodies,
		Parser: parser.New(parser.Config{
			MaxBody: int64(s.Limits.BodyBytes), Bodies: bodies,
			Decoding: bufferlimiter.New(bufferlimiter.Config{
				TotalBytes: e.shares.Decoding, Gauge: "decoding_bytes_reserved", Counter: "decodings_waited_for_memory", Metrics: e.scope,
			}),
		}),
		Claimer:  e.claimer,
		Streamer: e.streamer,
		Forwarder: forwarder.New(forwarder.Config{
			Registry: e.registry, Caller: endpoints, Budgeter: budget, Zone: s.AvailabilityZone, Quarantine: e.quarantine,
			Answers: answerreader.New(answerreader.Config{MaxBytes: forwarder.MaxAnswerBytes, TotalBytes: e.shares.Answers, Metrics: e.scope}),
		}),
		Transferrer: transferrer.New(transferrer.Config{Members: e.members, Retainer: retained, Peer: e.gossiper.Peer, Store: e.platform}),
		Sealer:      sealer.New(sealer.Config{Key: key}),
		Recorder:    records, Daemons: e.members, Logger: e.c.Logger, Metrics: e.scope, EarnRetry: budget.Earn,
	})
	e.tree = suture.New("entry", suture.Spec{EventHook: e.logSupervisorEvent})
	e.tree.Add(watcher.New(watcher.Config{
		Platform: e.platform, Sink: e, OnResult: e.onPlatformReport,
		Prefixes: []string{inventory.ConfigurationPrefix, inventory.HostPrefix, inventory.NoticePrefix, inventory.MemberPrefix},
	}))
	e.tree.Add(e.gossiper)
	e.tree.Add(e.quarantine)
	e.tree.Add(e.migrator)
	e.tree.Add(poller.New(poller.Config{
		Registry: e.registry, Members: e.members, Caller: endpoints, OnReport: e.gossiper.ShareReport,
	}))
	e.tree.Add(&memberRegistrar{e: e})
	e.tree.Add(&gaugeUpdater{e: e})
}

// listen opens the listeners and adds their servers to the supervisor tree.
func (e *Entry) listen(key []byte) error {
	s := e.c.Settings
	messages := messagelimiter.New(messagelimiter.Config{MaxBytes: maxMessageBytes, Bodies: bodyreader.New(bodyreader.Config{
		TotalBytes: e.shares.Messages, Timeout: s.Limits.BodyTimeout.Std(), Metrics: e.scope.SubScope("messages"),
	})})
	peers := http.NewServeMux()
	peers.Handle(rpc.PeerPathPrefix, signer.New(signer.Config{
		Key: key, Host: s.Host, Addresses: []string{s.Peers.String(), s.PeerAddress().String()},
	}).Verify(rpc.NewPeerServer(e.gossiper)))
	heads := headlimiter.New(headlimiter.Config{TotalBytes: e.shares.Heads, Refuse: e.handler.RefuseHead, Metrics: e.scope})
	for _, l := range []struct {
		name    string
		address settings.Address
		handler http.Handler
		limiter server.ConnectionLimiter
	}{
		{"callers", s.Callers, heads.Handler(e.handler), e.connections},
		{"operators", s.Operators, messages.Handler(e.operatorHandler()), nil},
		{"peers", s.Peers, messages.Handler(peers), nil},
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
			HeaderBytes: s.Limits.HeaderBytes, IdleTimeout: s.Limits.IdleTimeout.Std(), Limiter: l.limiter,
		}))
	}
	return nil
}

func (e *Entry) operatorHandler() http.Handler {
	keys := make(map[string]string)
	for _, k := range e.c.Settings.OperatorKeys {
		keys[k.KeyHash] = k.Name
	}
	o := operator.New(operator.Config{
		Keys: keys, Keeper: e.keeper, Applier: applier.New(applier.Config{Store: e.platform, Keeper: e.keeper}),
		Members: e.members, Registry: e.registry, Recorder: e.handler.Recorder(), Peer: e.gossiper.Peer, AuditTrails: e.repairTrails,
		RepairRecord: e.repairRecord,
		State:        func() string { return e.handler.Phase().String() },
		InFlight:     e.handler.InFlight, PlatformReachable: e.reachable.Load,
		Drain:  func() { e.requestStop(time.Now().Add(e.c.Settings.Drain.Patience.Std())) },
		Logger: e.c.Logger,
	})
	mux := http.NewServeMux()
	mux.Handle(rpc.OperatorPathPrefix, o.Authenticate(rpc.NewOperatorServer(o)))
	mux.Handle("/metrics", e.reporter.HTTPHandler())
	mux.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

// repairTrails returns the trails of the zones in which hosts are listed.
func (e *Entry) repairTrails() []*auditor.Trail {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*auditor.Trail
	for zone := range e.zones {
		out = append(out, auditor.New(auditor.Config{Store: e.platform, Zone: zone}))
	}
	return out
}

// repairRecord reads a zone's repair record from the platform. It returns an empty record if
// there is none.
func (e *Entry) repairRecord(ctx context.Context, zone identifier.AvailabilityZone) (*repairer.Record, error) {
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

// MemoryBytes returns the memory that the process may take.
func (e *Entry) MemoryBytes() int64 { return e.shares.Memory }

// Run serves until ctx ends, a reclaim notice arrives or an operator drains the daemon, and then
// stops gracefully. It returns an error only if the supervisor tree ends early.
func (e *Entry) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	done := e.tree.ServeBackground(running)
	e.c.Logger.Info("entry daemon started", "callers", e.c.Settings.Callers, "operators", e.c.Settings.Operators,
		"peers", e.c.Settings.Peers, "zone", e.c.Settings.AvailabilityZone)
	deadline, err := e.awaitStop(ctx, done)
	if err != nil {
		return err
	}
	e.c.Logger.Info("draining", "deadline", deadline.UTC().Format(time.RFC3339Nano))
	e.handler.Drain(e.c.Settings.Drain.BalancerLag.Std(), deadline)
	e.claimer.Wait(claimTimeout)
	e.deregister(running)
	cancel()
	if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
		e.c.Logger.Warn("supervisor tree ended", "error", err)
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

// requestStop requests a graceful stop by a deadline. Only the first call has an effect.
func (e *Entry) requestStop(deadline time.Time) {
	select {
	case e.stop <- deadline:
	default:
	}
}

func (e *Entry) logSupervisorEvent(event suture.Event) {
	if event.Type() == suture.EventTypeStopTimeout {
		return
	}
	e.c.Logger.Warn("supervisor", "event", event.String())
}

const (
	minRegisterBackoff = 200 * time.Millisecond
	maxRegisterBackoff = 5 * time.Second
	// renewInterval allows for several renewals within the age at which a record counts as
	// abandoned; see package sweeper.
	renewInterval = 15 * time.Minute
)
