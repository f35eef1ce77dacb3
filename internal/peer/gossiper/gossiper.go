// Package exchanger swaps news with peers and answers their calls.
//
// # Rhythm
//
// Once a period the exchanger swaps news with one peer: mostly one of its own
// zone, at times one of another zone, and now and then a dead one, because
// after a partition each side holds the other for dead and somebody must try.
// The bytes per period do not depend on the size of the fleet.
//
// # Urgent news
//
// A host that begins to leave, and a new configuration, do not wait for the
// period: the daemon passes them at once to [fanOut] peers, and each of these
// does the same, so that news reaches n daemons in about log(n) round trips.
//
// # Configuration
//
// News carry only the number in force. A daemon that hears of a higher one
// fetches it from the peer that said so. A daemon that is cut off from the
// platform, or started during an outage, gets its configuration this way.
//
// # Usage
//
//	x := exchanger.New(exchanger.Config{...})
//	mux.Handle(rpc.PeerPathPrefix, signer.Verify(rpc.NewPeerServer(x)))
//	err := x.Serve(ctx)
package gossiper

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"brasschute/internal/config/keeper"
	"brasschute/internal/core/identifier"
	"brasschute/internal/core/watchdog"
	"brasschute/internal/engine/report"
	"brasschute/internal/peer/retainer"
	"brasschute/internal/peer/membertracker"
	"brasschute/internal/peer/crashreporter"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/recorder"

	"github.com/twitchtv/twirp"
)

const (
	defaultPeriod = time.Second
	callTimeout   = time.Second
	// fetchTime bounds the transfer of a configuration as long as its bytes come; in
	// silence it ends after callTimeout. A transfer that was given up after a fixed
	// second began anew, and over a narrow link never ended.
	fetchTime = 5 * time.Second
	fanOut    = 3
	// Every otherZoneEvery-th round goes to another zone, every deadEvery-th
	// to a member held for dead.
	otherZoneEvery = 4
	deadEvery      = 10
	// maxLoads keeps a message, four of which pass through a daemon each period,
	// within the bound on control traffic.
	maxLoads = 8
	loadAge  = 8 * time.Second
)

// Config names the exchanger's collaborators.
type Config struct {
	Members   *membertracker.Tracker
	Registry *registry.Registry
	Keeper   *keeper.Keeper
	Retainer   *retainer.Retainer
	Recorder *recorder.Recorder
	Reporter *crashreporter.Reporter
	// Client signs its calls.
	Client *http.Client
	// Seeds are peers known from the settings, as IP:port.
	Seeds  []string
	Period time.Duration
}

type load struct {
	report report.Report
	taken  time.Time
}

// Gossiper is one daemon's side of the peer protocol.
type Gossiper struct {
	c      Config
	urgent chan struct{}
	round  int

	mu    sync.Mutex
	loads map[identifier.Endpoint]load
}

var _ rpc.Peer = (*Gossiper)(nil)

// New returns an exchanger.
func New(c Config) *Gossiper {
	if c.Period == 0 {
		c.Period = defaultPeriod
	}
	return &Gossiper{
		c: c, urgent: make(chan struct{}, 1),
		loads: make(map[identifier.Endpoint]load),
	}
}

// Peer returns a client for a peer's address.
func (x *Gossiper) Peer(address string) rpc.Peer {
	return rpc.NewPeerProtobufClient("http://"+address, x.c.Client)
}

// Trigger makes the next exchanges happen at once.
func (x *Gossiper) Trigger() {
	select {
	case x.urgent <- struct{}{}:
	default:
	}
}

// ShareReport takes in a load report of this daemon's own, to be shared.
func (x *Gossiper) ShareReport(r *report.Report, taken time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.loads[r.Endpoint] = load{*r, taken}
}

// Serve swaps news until ctx ends.
func (x *Gossiper) Serve(ctx context.Context) error {
	tick := time.NewTicker(x.c.Period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			x.c.Members.Tick(time.Now())
			x.periodic(ctx)
		case <-x.urgent:
			x.spread(ctx)
		}
	}
}

func (x *Gossiper) periodic(ctx context.Context) {
	x.round++
	members := x.c.Members.Members()
	if address := x.seed(members); address != "" {
		x.swap(ctx, "", address)
		return
	}
	if m := x.pick(members); m != nil {
		x.swap(ctx, identifier.Host(m.Host), m.PeerAddress)
	}
}

// seed returns a seed address that no living member has.
func (x *Gossiper) seed(members []*rpc.Member) string {
	known := make(map[string]bool)
	for _, m := range members {
		known[m.PeerAddress] = known[m.PeerAddress] || m.State != rpc.State_DEAD
	}
	own := x.c.Members.Self().PeerAddress
	var unknown []string
	for _, address := range x.c.Seeds {
		if !known[address] && address != own {
			unknown = append(unknown, address)
		}
	}
	if len(unknown) == 0 || (len(members) > 0 && x.round%deadEvery != 0) {
		return ""
	}
	return unknown[rand.IntN(len(unknown))]
}

func (x *Gossiper) pick(members []*rpc.Member) *rpc.Member {
	zone := x.c.Members.Self().AvailabilityZone
	var near, far, dead []*rpc.Member
	for _, m := range members {
		switch {
		case m.State == rpc.State_DEAD:
			dead = append(dead, m)
		case m.AvailabilityZone == zone:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	order := [][]*rpc.Member{near, far, dead}
	if x.round%otherZoneEvery == 0 {
		order = [][]*rpc.Member{far, near, dead}
	}
	if x.round%deadEvery == 0 {
		order = [][]*rpc.Member{dead, near, far}
	}
	for _, group := range order {
		if len(group) > 0 {
			return group[rand.IntN(len(group))]
		}
	}
	return nil
}

// spread passes urgent news to a few peers at once.
func (x *Gossiper) spread(ctx context.Context) {
	members := x.c.Members.Alive()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var group sync.WaitGroup
	for _, m := range members[:min(len(members), fanOut)] {
		group.Go(func() { x.swap(ctx, identifier.Host(m.Host), m.PeerAddress) })
	}
	group.Wait()
}

// AnnounceShutdown passes the daemon's last news to a few peers.
func (x *Gossiper) AnnounceShutdown(ctx context.Context) { x.spread(ctx) }

func (x *Gossiper) swap(ctx context.Context, host identifier.Host, address string) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out := x.c.Members.News()
	x.complete(out)
	in, err := x.Peer(address).Exchange(call, out)
	if err != nil {
		if ctx.Err() == nil && host != "" {
			x.c.Members.MarkUnreachable(host, time.Now())
		}
		return
	}
	x.take(ctx, in)
}

// complete adds loads and the configuration's number to a message.
func (x *Gossiper) complete(n *rpc.News) {
	n.ConfigurationNumber = uint64(x.c.Keeper.Number())
	n.Suspects = x.c.Reporter.RPCSuspects()
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	fresh := make([]load, 0, len(x.loads))
	for endpoint := range x.loads {
		l := x.loads[endpoint]
		if now.Sub(l.taken) > loadAge {
			delete(x.loads, endpoint)
			continue
		}
		fresh = append(fresh, l)
	}
	// The newest are worth most; older ones have had their turns to travel.
	slices.SortFunc(fresh, func(a, b load) int { return b.taken.Compare(a.taken) })
	for i := range fresh[:min(len(fresh), maxLoads)] {
		n.Loads = append(n.Loads, message(&fresh[i], now))
	}
}

func message(l *load, now time.Time) *rpc.Load {
	return &rpc.Load{
		Endpoint: string(l.report.Endpoint), Running: uint32(l.report.Running), Queued: uint32(l.report.Queued),
		QueuedTokens: uint32(l.report.QueuedTokens), AgeMilli: uint32(now.Sub(l.taken).Milliseconds()), Model: l.report.Model,
	}
}

// take uses a peer's message.
func (x *Gossiper) take(ctx context.Context, in *rpc.News) {
	now := time.Now()
	if fresh := x.c.Members.Merge(in, now); len(fresh) > 0 {
		x.c.Registry.Refresh()
		x.Trigger()
	}
	x.takeLoads(in, now)
	x.c.Reporter.MergeSuspects(in.Suspects)
	if identifier.ConfigurationNumber(in.ConfigurationNumber) > x.c.Keeper.Number() && in.Self != nil {
		x.fetch(ctx, in.Self.PeerAddress)
	}
}

func (x *Gossiper) takeLoads(in *rpc.News, now time.Time) {
	for _, l := range in.Loads {
		r := report.Report{
			Endpoint: identifier.Endpoint(l.Endpoint), Running: int(l.Running), Queued: int(l.Queued),
			QueuedTokens: identifier.Tokens(l.QueuedTokens), Model: l.Model,
		}
		taken := now.Add(-time.Duration(l.AgeMilli) * time.Millisecond)
		x.c.Registry.ApplyReport(&r, taken)
		x.mu.Lock()
		if known, ok := x.loads[r.Endpoint]; !ok || taken.After(known.taken) {
			x.loads[r.Endpoint] = load{r, taken}
		}
		x.mu.Unlock()
	}
}

func (x *Gossiper) fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTime)
	defer cancel()
	patient := watchdog.New(watchdog.Config{Transport: x.c.Client.Transport, IdleTimeout: callTimeout})
	reply, err := rpc.NewPeerProtobufClient("http://"+address, patient).Configuration(ctx, &rpc.ConfigurationRequest{})
	if err != nil {
		return
	}
	x.offer(reply)
}

func (x *Gossiper) offer(reply *rpc.ConfigurationReply) {
	var change keeper.Change
	if json.Unmarshal([]byte(reply.ChangeJson), &change) != nil {
		return
	}
	_, _ = x.c.Keeper.Offer(reply.Source, &change)
}

// Exchange answers a peer's news with this daemon's.
func (x *Gossiper) Exchange(ctx context.Context, in *rpc.News) (*rpc.News, error) {
	go x.take(context.WithoutCancel(ctx), in)
	out := x.c.Members.News()
	if in.Full {
		out = x.c.Members.Full()
	}
	x.complete(out)
	return out, nil
}

// Configuration returns the configuration in force.
func (x *Gossiper) Configuration(context.Context, *rpc.ConfigurationRequest) (*rpc.ConfigurationReply, error) {
	s := x.c.Keeper.Current()
	if s == nil {
		return nil, twirp.NotFoundError("no configuration in force")
	}
	return NewConfigurationReply(s), nil
}

// NewConfigurationReply writes a configuration as a message.
func NewConfigurationReply(s *keeper.Snapshot) *rpc.ConfigurationReply {
	change, _ := json.Marshal(&s.Change)
	return &rpc.ConfigurationReply{Number: uint64(s.Number()), Source: s.Source, ChangeJson: string(change)}
}

// Offer takes in a peer's configuration, if it is newer, and returns the
// number then in force.
func (x *Gossiper) Offer(_ context.Context, in *rpc.ConfigurationReply) (*rpc.ConfigurationRequest, error) {
	if in.Source != "" {
		x.offer(in)
	}
	return &rpc.ConfigurationRequest{Number: uint64(x.c.Keeper.Number())}, nil
}

// Keep stores the state of a leaving peer's request.
func (x *Gossiper) Keep(_ context.Context, e *rpc.Envelope) (*rpc.KeepReply, error) {
	return &rpc.KeepReply{Kept: x.c.Retainer.Keep(e)}, nil
}

// Fetch returns a kept state.
func (x *Gossiper) Fetch(_ context.Context, r *rpc.FetchRequest) (*rpc.Envelope, error) {
	e, ok := x.c.Retainer.Fetch(identifier.Organisation(r.Organisation), identifier.Request(r.Request))
	if !ok {
		return nil, twirp.NotFoundError("not kept here")
	}
	return e, nil
}

// Explain returns the record of a request, if it is held here.
func (x *Gossiper) Explain(_ context.Context, r *rpc.ExplainRequest) (*rpc.ExplainReply, error) {
	rec, ok := x.c.Recorder.Find(identifier.Request(r.Request))
	if !ok {
		return &rpc.ExplainReply{}, nil
	}
	text, err := json.Marshal(rec)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rpc.ExplainReply{Found: true, RecordJson: string(text)}, nil
}
