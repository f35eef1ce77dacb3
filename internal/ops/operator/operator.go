// Package operator implements the operators' service of a daemon, which the command line calls.
//
// Each operator has a key of its own, of which the daemon knows only the hash. The operator's
// name is written into the record of each change. Operators have a listener separate from that
// for clients.
//
// A configuration is accepted once the platform has stored it. The daemon then asks its live
// peers for the number of their configuration in force and offers the new one to those that are
// behind, until all have it or three seconds have passed. The reply lists the hosts that have
// it, those that are still behind, and those that could not be reached.
//
// # Usage
//
//	o := operator.New(operator.Config{...})
//	mux.Handle(rpc.OperatorPathPrefix, o.Authenticate(rpc.NewOperatorServer(o)))
package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"brasschute/internal/config/applier"
	"brasschute/internal/config/compiler"
	"brasschute/internal/config/decoder"
	"brasschute/internal/config/document"
	"brasschute/internal/config/keeper"
	"brasschute/internal/core/identifier"
	"brasschute/internal/fleet/auditor"
	"brasschute/internal/fleet/planner"
	"brasschute/internal/fleet/repairer"
	"brasschute/internal/peer/gossiper"
	"brasschute/internal/peer/membertracker"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/recorder"

	"github.com/charmbracelet/log"
	"github.com/twitchtv/twirp"
)

const (
	applyTimeout      = 3 * time.Second
	applyPollInterval = 100 * time.Millisecond
	peerTimeout       = time.Second
	maxParallelCalls  = 32
	defaultLimit      = 20
	maxLimit          = 1000
)

// Config holds the dependencies of the operators' service.
type Config struct {
	// Keys maps the hexadecimal SHA-256 hash of an operator's key to the operator's name.
	Keys     map[string]string
	Keeper   *keeper.Keeper
	Applier  *applier.Applier
	Members  *membertracker.Tracker
	Registry *registry.Registry
	Recorder *recorder.Recorder
	// Peer returns a client for a peer's address, as IP:port.
	Peer func(address string) rpc.Peer
	// AuditTrails returns the known audit trails of the zones.
	AuditTrails func() []*auditor.Trail
	// RepairRecord returns the repair record of a zone.
	RepairRecord func(ctx context.Context, zone identifier.AvailabilityZone) (*repairer.Record, error)
	// State, InFlight and PlatformReachable return the daemon's state, its number of requests in
	// flight, and whether it reaches the platform.
	State             func() string
	InFlight          func() int
	PlatformReachable func() bool
	// Drain starts a graceful shutdown.
	Drain  func()
	Logger *log.Logger
}

// Operator implements [rpc.Operator].
type Operator struct {
	c Config
}

var _ rpc.Operator = (*Operator)(nil)

// New returns an operators' service with the given configuration.
func New(c Config) *Operator { return &Operator{c} }

// operatorNameKey is the context key of the operator's name.
type operatorNameKey struct{}

// Authenticate returns a handler that passes calls with a known operator's key to next and
// rejects all others as unauthenticated.
func (o *Operator) Authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(key))
		name, ok := o.c.Keys[hex.EncodeToString(sum[:])]
		if !ok {
			o.c.Logger.Warn("operator call refused", "remote", r.RemoteAddr, "path", r.URL.Path)
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "the key belongs to no operator"))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorNameKey{}, name)))
	})
}

// Validate checks a draft without applying it.
func (o *Operator) Validate(_ context.Context, d *rpc.Draft) (*rpc.Verdict, error) {
	if _, err := compiler.Compile(d.File, []byte(d.Source)); err != nil {
		return &rpc.Verdict{Problems: err.Error()}, nil
	}
	return &rpc.Verdict{Valid: true}, nil
}

// Apply stores a draft as the new configuration and reports where it is in force. Errors are
// InvalidArgument for an invalid draft, Aborted for a conflict with another change, Unknown if
// the outcome is unknown, and Unavailable if nothing changed.
func (o *Operator) Apply(ctx context.Context, d *rpc.Draft) (*rpc.Applied, error) {
	who, _ := ctx.Value(operatorNameKey{}).(string)
	change, err := o.c.Applier.Apply(ctx, &applier.Draft{
		File: d.File, Source: d.Source, From: identifier.ConfigurationNumber(d.From), Who: who,
	})
	if err != nil {
		o.c.Logger.Warn("configuration not applied", "operator", who, "from", d.From, "error", err)
		return nil, toTwirpError(err)
	}
	o.c.Logger.Info("configuration applied", "operator", who, "number", change.Number)
	return o.confirmInForce(ctx, change.Number), nil
}

// toTwirpError converts an error of the applier.
func toTwirpError(err error) error {
	var problems decoder.Problems
	var conflict *applier.Conflict
	switch {
	case errors.As(err, &problems):
		return twirp.NewError(twirp.InvalidArgument, err.Error())
	case errors.As(err, &conflict):
		return twirp.NewError(twirp.Aborted, err.Error())
	case errors.Is(err, applier.ErrUnknown):
		return twirp.NewError(twirp.Unknown, err.Error())
	}
	return twirp.NewError(twirp.Unavailable, "nothing changed: "+err.Error())
}

// confirmInForce waits until all live peers have configuration n or a newer one in force, at
// most applyTimeout.
func (o *Operator) confirmInForce(ctx context.Context, n identifier.ConfigurationNumber) *rpc.Applied {
	out := &rpc.Applied{Number: uint64(n), InForce: []string{o.c.Members.Self().Host}}
	waiting := o.c.Members.Alive()
	reached := make(map[string]bool)
	deadline := time.Now().Add(applyTimeout)
	for len(waiting) > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		waiting = o.offer(ctx, waiting, n, reached, out)
		if len(waiting) > 0 {
			time.Sleep(applyPollInterval)
		}
	}
	for _, m := range waiting {
		if reached[m.Host] {
			out.Behind = append(out.Behind, m.Host)
		} else {
			out.Unreachable = append(out.Unreachable, m.Host)
		}
	}
	slices.Sort(out.InForce)
	return out
}

// offer sends the configuration to peers and returns those that don't have it in force yet.
func (o *Operator) offer(ctx context.Context, peers []*rpc.Member, n identifier.ConfigurationNumber, reached map[string]bool, out *rpc.Applied) []*rpc.Member {
	var mu sync.Mutex
	var left []*rpc.Member
	o.callPeers(ctx, peers, func(ctx context.Context, m *rpc.Member, p rpc.Peer) {
		reply, err := p.Offer(ctx, gossiper.NewConfigurationReply(o.c.Keeper.Current()))
		mu.Lock()
		defer mu.Unlock()
		reached[m.Host] = reached[m.Host] || err == nil
		if err == nil && reply.Number >= uint64(n) {
			out.InForce = append(out.InForce, m.Host)
			return
		}
		left = append(left, m)
	})
	return left
}

// callPeers calls f for all peers, for at most maxParallelCalls at the same time.
func (o *Operator) callPeers(ctx context.Context, peers []*rpc.Member, f func(context.Context, *rpc.Member, rpc.Peer)) {
	slots := make(chan struct{}, maxParallelCalls)
	var group sync.WaitGroup
	for _, m := range peers {
		slots <- struct{}{}
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			f(ctx, m, o.c.Peer(m.PeerAddress))
			<-slots
		})
	}
	group.Wait()
}

// Get returns the configuration in force at this daemon, or a NotFound error if there is none.
func (o *Operator) Get(context.Context, *rpc.ConfigurationRequest) (*rpc.ConfigurationReply, error) {
	s := o.c.Keeper.Current()
	if s == nil {
		return nil, twirp.NotFoundError("no configuration is in force yet; apply one with --from 0")
	}
	return gossiper.NewConfigurationReply(s), nil
}

// History returns the newest configuration changes.
func (o *Operator) History(ctx context.Context, r *rpc.HistoryRequest) (*rpc.HistoryReply, error) {
	changes, err := o.c.Applier.History(ctx, boundedLimit(r.Limit))
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	out := &rpc.HistoryReply{}
	for i := range changes {
		c := &changes[i]
		out.Changes = append(out.Changes, &rpc.Change{
			Number: uint64(c.Number), From: uint64(c.From), Who: c.Who, WhenUnixMilli: c.WhenUnixMilli, Differs: c.Differs,
		})
	}
	return out, nil
}

// boundedLimit returns the number of entries to return for a requested number, where 0 stands
// for the default.
func boundedLimit(asked uint32) int {
	if asked == 0 {
		return defaultLimit
	}
	return min(int(asked), maxLimit)
}

// Status returns the state of the daemon and its view of the fleet.
func (o *Operator) Status(ctx context.Context, _ *rpc.StatusRequest) (*rpc.StatusReply, error) {
	self := o.c.Members.Self()
	out := &rpc.StatusReply{
		Host: self.Host, AvailabilityZone: self.AvailabilityZone, State: o.c.State(),
		ConfigurationNumber: uint64(o.c.Keeper.Number()), RefusedConfiguration: o.c.Keeper.LastRefusal(),
		PlatformReachable: o.c.PlatformReachable(), Members: o.c.Members.Members(), RequestsInFlight: uint32(o.c.InFlight()),
	}
	endpoints := o.c.Registry.Endpoints()
	for i := range endpoints {
		out.Endpoints = append(out.Endpoints, endpointStatus(&endpoints[i]))
	}
	out.Repairs = o.repairStatuses(ctx)
	return out, nil
}

// repairStatuses compares the size of each pool with the wanted one in each zone.
func (o *Operator) repairStatuses(ctx context.Context) []*rpc.RepairStatus {
	s := o.c.Keeper.Current()
	if s == nil {
		return nil
	}
	var out []*rpc.RepairStatus
	for i := range s.Plan.Configuration.Pools {
		p := &s.Plan.Configuration.Pools[i]
		for _, w := range p.Wanted {
			out = append(out, o.repairStatus(ctx, &s.Plan.Configuration, p.Name, w))
		}
	}
	return out
}

// repairStatus returns the size of a pool in a zone and what its repair would do next.
func (o *Operator) repairStatus(ctx context.Context, c *document.Configuration, pool identifier.Pool, w document.Wanted) *rpc.RepairStatus {
	v := &planner.Input{
		Zone: w.AvailabilityZone, Pool: pool, Wanted: w.Hosts, Hosts: o.c.Registry.Hosts(), Leaving: o.c.Registry.HostLeaving,
		Now: time.Now(), Prices: c.Prices, SpendingPerHour: c.Fleet.SpendingPerHour,
	}
	out := &rpc.RepairStatus{Pool: string(pool), AvailabilityZone: string(w.AvailabilityZone), Wanted: uint32(w.Hosts)}
	record, err := o.c.RepairRecord(ctx, w.AvailabilityZone)
	if err != nil {
		out.Doing = "not known: " + err.Error()
		record = &repairer.Record{}
	}
	v.Pending, v.Refused = record.Pending(), record.BackoffUntil()
	d := planner.Plan(v)
	out.Live, out.Leaving, out.Asked = uint32(d.Live), uint32(d.Leaving), uint32(d.Pending)
	if out.Doing == "" {
		out.Doing = describePlan(&d)
	}
	return out
}

// describePlan returns the text of RepairStatus.Doing.
func describePlan(d *planner.Decision) string {
	switch {
	case d.Shortfall > 0:
		return fmt.Sprintf("%d cannot be started: %s", d.Shortfall, d.ShortfallReason)
	case len(d.Start) > 0:
		return fmt.Sprintf("about to ask for %d", len(d.Start))
	case d.Pending > 0:
		return fmt.Sprintf("waiting for %d to be listed", d.Pending)
	case len(d.Stop) > 0:
		return fmt.Sprintf("giving %d back", len(d.Stop))
	}
	return "nothing to do"
}

// endpointStatus returns the status of an endpoint as this daemon sees it.
func endpointStatus(c *candidate.Candidate) *rpc.EndpointStatus {
	state := "usable"
	switch {
	case c.Leaving:
		state = "leaving"
	case c.Ejected(time.Now()):
		state = "ejected"
	case c.Failures > 0:
		state = "failing"
	}
	return &rpc.EndpointStatus{
		Endpoint: string(c.Endpoint), Host: string(c.Host), AvailabilityZone: string(c.AvailabilityZone),
		Pool: string(c.Pool), State: state, InFlight: uint32(c.InFlight), Running: uint32(c.Running),
		Queued: uint32(c.Queued), Model: c.Model,
	}
}

// ExplainRequestID looks for the record of a request at this daemon, then at all live peers.
func (o *Operator) ExplainRequestID(ctx context.Context, r *rpc.ExplainRequest) (*rpc.ExplainReply, error) {
	if rec, ok := o.c.Recorder.Find(identifier.Request(r.Request)); ok {
		text, err := json.Marshal(rec)
		if err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		return &rpc.ExplainReply{Found: true, RecordJson: string(text)}, nil
	}
	var mu sync.Mutex
	out := &rpc.ExplainReply{}
	o.callPeers(ctx, o.c.Members.Alive(), func(ctx context.Context, _ *rpc.Member, p rpc.Peer) {
		reply, err := p.Explain(ctx, r)
		mu.Lock()
		defer mu.Unlock()
		if err == nil && reply.Found {
			out = reply
		}
	})
	return out, nil
}

// Audit returns configuration changes and the entries of the zones' audit trails, newest first.
// For a single host it returns only audit trail entries.
func (o *Operator) Audit(ctx context.Context, r *rpc.AuditRequest) (*rpc.AuditReply, error) {
	out := &rpc.AuditReply{}
	if r.Host == "" {
		changes, err := o.c.Applier.History(ctx, boundedLimit(r.Limit))
		if err != nil {
			return nil, twirp.NewError(twirp.Unavailable, err.Error())
		}
		for i := range changes {
			out.Entries = append(out.Entries, configurationEntry(&changes[i]))
		}
	}
	for _, t := range o.c.AuditTrails() {
		entries, err := t.Read(ctx)
		if err != nil {
			return nil, twirp.NewError(twirp.Unavailable, err.Error())
		}
		for i := range entries {
			if r.Host == "" || string(entries[i].Host) == r.Host {
				out.Entries = append(out.Entries, auditEntry(&entries[i]))
			}
		}
	}
	slices.SortStableFunc(out.Entries, func(a, b *rpc.AuditEntry) int { return int(b.WhenUnixMilli - a.WhenUnixMilli) })
	out.Entries = out.Entries[:min(boundedLimit(r.Limit), len(out.Entries))]
	return out, nil
}

func configurationEntry(c *keeper.Change) *rpc.AuditEntry {
	return &rpc.AuditEntry{
		WhenUnixMilli: c.WhenUnixMilli, Who: c.Who, What: fmt.Sprintf("configuration %d", c.Number),
		Cause: fmt.Sprintf("applied over %d", c.From), Outcome: fmt.Sprintf("%d lines differ", len(c.Differs)),
	}
}

func auditEntry(e *auditor.Entry) *rpc.AuditEntry {
	return &rpc.AuditEntry{
		WhenUnixMilli: e.When.UnixMilli(), Who: e.Who, What: e.What, Cause: e.Cause, Outcome: e.Outcome, Host: string(e.Host),
	}
}

// Drain starts a graceful shutdown of this daemon.
func (o *Operator) Drain(ctx context.Context, _ *rpc.DrainRequest) (*rpc.DrainReply, error) {
	who, _ := ctx.Value(operatorNameKey{}).(string)
	o.c.Logger.Info("drain", "operator", who)
	o.c.Drain()
	return &rpc.DrainReply{State: o.c.State()}, nil
}
