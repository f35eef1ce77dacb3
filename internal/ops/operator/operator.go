// Package operator answers the command line's calls to a daemon.
//
// # Who may call
//
// Each operator has a key of its own, known here by its hash; the name that
// belongs to it goes into the change record. The listener for operators is
// separate from that for callers.
//
// # Applying
//
// A configuration counts as accepted once the platform has stored it. The
// daemon then asks its living peers which number they have in force, and
// offers it to those that are behind, until all have it or three seconds have
// passed; the reply names those that have it, those still behind, and those
// that could not be reached.
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
	"brasschute/internal/fleet/planner"
	"brasschute/internal/fleet/repairer"
	"brasschute/internal/fleet/auditor"
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
	applyPatience = 3 * time.Second
	applyPause    = 100 * time.Millisecond
	peerTimeout   = time.Second
	parallel      = 32
	defaultLimit  = 20
	maxLimit      = 1000
)

// Config names the operator's collaborators.
type Config struct {
	// Keys maps the SHA-256 of an operator's key, in hexadecimal, to its name.
	Keys     map[string]string
	Keeper   *keeper.Keeper
	Applier  *applier.Applier
	Ledger   *membertracker.Tracker
	Registry *registry.Registry
	Recorder *recorder.Recorder
	// Peer returns a client for a peer's address.
	Peer func(address string) rpc.Peer
	// Trails returns the zones' trails that are known.
	Trails func() []*auditor.Trail
	// Repairs returns the record of a zone's repair.
	Repairs func(ctx context.Context, zone identifier.AvailabilityZone) (*repairer.Record, error)
	// State, InFlight and PlatformReachable describe the daemon.
	State             func() string
	InFlight          func() int
	PlatformReachable func() bool
	// Drain starts a graceful stop.
	Drain  func()
	Logger *log.Logger
}

// Operator implements the operators' service.
type Operator struct {
	c Config
}

var _ rpc.Operator = (*Operator)(nil)

// New returns an operator service.
func New(c Config) *Operator { return &Operator{c} }

type nameKey struct{}

// Authenticate lets only calls with a known operator's key through.
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
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), nameKey{}, name)))
	})
}

// Validate checks a draft and changes nothing.
func (o *Operator) Validate(_ context.Context, d *rpc.Draft) (*rpc.Verdict, error) {
	if _, err := compiler.Compile(d.File, []byte(d.Source)); err != nil {
		return &rpc.Verdict{Problems: err.Error()}, nil
	}
	return &rpc.Verdict{Valid: true}, nil
}

// Apply brings a draft into force.
func (o *Operator) Apply(ctx context.Context, d *rpc.Draft) (*rpc.Applied, error) {
	who, _ := ctx.Value(nameKey{}).(string)
	change, err := o.c.Applier.Apply(ctx, &applier.Draft{
		File: d.File, Source: d.Source, From: identifier.ConfigurationNumber(d.From), Who: who,
	})
	if err != nil {
		o.c.Logger.Warn("configuration not applied", "operator", who, "from", d.From, "error", err)
		return nil, classify(err)
	}
	o.c.Logger.Info("configuration applied", "operator", who, "number", change.Number)
	return o.spread(ctx, change.Number), nil
}

func classify(err error) error {
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

// spread waits until the living peers have a number in force.
func (o *Operator) spread(ctx context.Context, n identifier.ConfigurationNumber) *rpc.Applied {
	out := &rpc.Applied{Number: uint64(n), InForce: []string{o.c.Ledger.Self().Host}}
	waiting := o.c.Ledger.Alive()
	reached := make(map[string]bool)
	deadline := time.Now().Add(applyPatience)
	for len(waiting) > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		waiting = o.ask(ctx, waiting, n, reached, out)
		if len(waiting) > 0 {
			time.Sleep(applyPause)
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

// ask offers the configuration to peers and returns those that do not have it
// yet.
func (o *Operator) ask(ctx context.Context, peers []*rpc.Member, n identifier.ConfigurationNumber, reached map[string]bool, out *rpc.Applied) []*rpc.Member {
	var mu sync.Mutex
	var left []*rpc.Member
	o.each(ctx, peers, func(ctx context.Context, m *rpc.Member, p rpc.Peer) {
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

// each calls f for all peers, a bounded number at once.
func (o *Operator) each(ctx context.Context, peers []*rpc.Member, f func(context.Context, *rpc.Member, rpc.Peer)) {
	slots := make(chan struct{}, parallel)
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

// Get returns the configuration in force at this daemon.
func (o *Operator) Get(context.Context, *rpc.ConfigurationRequest) (*rpc.ConfigurationReply, error) {
	s := o.c.Keeper.Current()
	if s == nil {
		return nil, twirp.NotFoundError("no configuration is in force yet; apply one with --from 0")
	}
	return gossiper.NewConfigurationReply(s), nil
}

// History returns the newest changes.
func (o *Operator) History(ctx context.Context, r *rpc.HistoryRequest) (*rpc.HistoryReply, error) {
	changes, err := o.c.Applier.History(ctx, limit(r.Limit))
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

func limit(asked uint32) int {
	if asked == 0 {
		return defaultLimit
	}
	return min(int(asked), maxLimit)
}

// Status describes the daemon and what it knows of the fleet.
func (o *Operator) Status(ctx context.Context, _ *rpc.StatusRequest) (*rpc.StatusReply, error) {
	self := o.c.Ledger.Self()
	out := &rpc.StatusReply{
		Host: self.Host, AvailabilityZone: self.AvailabilityZone, State: o.c.State(),
		ConfigurationNumber: uint64(o.c.Keeper.Number()), RefusedConfiguration: o.c.Keeper.LastRefusal(),
		PlatformReachable: o.c.PlatformReachable(), Members: o.c.Ledger.Members(), RequestsInFlight: uint32(o.c.InFlight()),
	}
	endpoints := o.c.Registry.Endpoints()
	for i := range endpoints {
		out.Endpoints = append(out.Endpoints, status(&endpoints[i]))
	}
	out.Repairs = o.repairs(ctx)
	return out, nil
}

// repairs compares each pool with its wanted size, zone by zone.
func (o *Operator) repairs(ctx context.Context) []*rpc.RepairStatus {
	s := o.c.Keeper.Current()
	if s == nil {
		return nil
	}
	var out []*rpc.RepairStatus
	for i := range s.Plan.Configuration.Pools {
		p := &s.Plan.Configuration.Pools[i]
		for _, w := range p.Wanted {
			out = append(out, o.repair(ctx, &s.Plan.Configuration, p.Name, w))
		}
	}
	return out
}

func (o *Operator) repair(ctx context.Context, c *document.Configuration, pool identifier.Pool, w document.Wanted) *rpc.RepairStatus {
	v := &planner.Input{
		Zone: w.AvailabilityZone, Pool: pool, Wanted: w.Hosts, Hosts: o.c.Registry.Hosts(), Leaving: o.c.Registry.HostLeaving,
		Now: time.Now(), Prices: c.Prices, SpendingPerHour: c.Fleet.SpendingPerHour,
	}
	out := &rpc.RepairStatus{Pool: string(pool), AvailabilityZone: string(w.AvailabilityZone), Wanted: uint32(w.Hosts)}
	record, err := o.c.Repairs(ctx, w.AvailabilityZone)
	if err != nil {
		out.Doing = "not known: " + err.Error()
		record = &repairer.Record{}
	}
	v.Pending, v.Refused = record.Pending(), record.BackoffUntil()
	d := planner.Plan(v)
	out.Live, out.Leaving, out.Asked = uint32(d.Live), uint32(d.Leaving), uint32(d.Pending)
	if out.Doing == "" {
		out.Doing = doing(&d)
	}
	return out
}

func doing(d *planner.Decision) string {
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

func status(c *candidate.Candidate) *rpc.EndpointStatus {
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

// ExplainRequestID finds the record of a request, here or at a living peer.
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
	o.each(ctx, o.c.Ledger.Alive(), func(ctx context.Context, _ *rpc.Member, p rpc.Peer) {
		reply, err := p.Explain(ctx, r)
		mu.Lock()
		defer mu.Unlock()
		if err == nil && reply.Found {
			out = reply
		}
	})
	return out, nil
}

// Audit merges the changes of configuration with the zones' trails, newest
// first.
func (o *Operator) Audit(ctx context.Context, r *rpc.AuditRequest) (*rpc.AuditReply, error) {
	out := &rpc.AuditReply{}
	if r.Host == "" {
		changes, err := o.c.Applier.History(ctx, limit(r.Limit))
		if err != nil {
			return nil, twirp.NewError(twirp.Unavailable, err.Error())
		}
		for i := range changes {
			out.Entries = append(out.Entries, configurationEntry(&changes[i]))
		}
	}
	for _, t := range o.c.Trails() {
		entries, err := t.Read(ctx)
		if err != nil {
			return nil, twirp.NewError(twirp.Unavailable, err.Error())
		}
		for i := range entries {
			if r.Host == "" || string(entries[i].Host) == r.Host {
				out.Entries = append(out.Entries, trailEntry(&entries[i]))
			}
		}
	}
	slices.SortStableFunc(out.Entries, func(a, b *rpc.AuditEntry) int { return int(b.WhenUnixMilli - a.WhenUnixMilli) })
	out.Entries = out.Entries[:min(limit(r.Limit), len(out.Entries))]
	return out, nil
}

func configurationEntry(c *keeper.Change) *rpc.AuditEntry {
	return &rpc.AuditEntry{
		WhenUnixMilli: c.WhenUnixMilli, Who: c.Who, What: fmt.Sprintf("configuration %d", c.Number),
		Cause: fmt.Sprintf("applied over %d", c.From), Outcome: fmt.Sprintf("%d lines differ", len(c.Differs)),
	}
}

func trailEntry(e *auditor.Entry) *rpc.AuditEntry {
	return &rpc.AuditEntry{
		WhenUnixMilli: e.When.UnixMilli(), Who: e.Who, What: e.What, Cause: e.Cause, Outcome: e.Outcome, Host: string(e.Host),
	}
}

// Drain starts a graceful stop of this daemon.
func (o *Operator) Drain(ctx context.Context, _ *rpc.DrainRequest) (*rpc.DrainReply, error) {
	who, _ := ctx.Value(nameKey{}).(string)
	o.c.Logger.Info("drain", "operator", who)
	o.c.Drain()
	return &rpc.DrainReply{State: o.c.State()}, nil
}
