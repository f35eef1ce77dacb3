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
package exchanger

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
	"brasschute/internal/peer/holder"
	"brasschute/internal/peer/ledger"
	"brasschute/internal/peer/reporter"
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
	Ledger   *ledger.Ledger
	Registry *registry.Registry
	Keeper   *keeper.Keeper
	Holder   *holder.Holder
	Recorder *recorder.Recorder
	Reporter *reporter.Reporter
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

// Exchanger is one daemon's side of the peer protocol.
type Exchanger struct {
	c      Config
	urgent chan struct{}
	round  int

	mu    sync.Mutex
	loads map[identifier.Endpoint]load
}

var _ rpc.Peer = (*Exchanger)(nil)

// New returns an exchanger.
func New(c Config) *Exchanger {
	if c.Period == 0 {
		c.Period = defaultPeriod
	}
	return &Exchanger{
		c: c, urgent: make(chan struct{}, 1),
		loads: make(map[identifier.Endpoint]load),
	}
}

// Peer returns a client for a peer's address.
func (x *Exchanger) Peer(address string) rpc.Peer {
	return rpc.NewPeerProtobufClient("http://"+address, x.c.Client)
}

// Hurry makes the next exchanges happen at once.
func (x *Exchanger) Hurry() {
	select {
	case x.urgent <- struct{}{}:
	default:
	}
}

// Observed takes in a load report of this daemon's own, to be shared.
func (x *Exchanger) Observed(r *report.Report, taken time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.loads[r.Endpoint] = load{*r, taken}
}

// Serve swaps news until ctx ends.
func (x *Exchanger) Serve(ctx context.Context) error {
	tick := time.NewTicker(x.c.Period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			x.c.Ledger.Tick(time.Now())
			x.periodic(ctx)
		case <-x.urgent:
			x.spread(ctx)
		}
	}
}

func (x *Exchanger) periodic(ctx context.Context) {
	x.round++
	members := x.c.Ledger.Members()
	if address := x.seed(members); address != "" {
		x.swap(ctx, "", address)
		return
	}
	if m := x.pick(members); m != nil {
		x.swap(ctx, identifier.Host(m.Host), m.PeerAddress)
	}
}

// seed returns a seed address that no living member has.
func (x *Exchanger) seed(members []*rpc.Member) string {
	known := make(map[string]bool)
	for _, m := range members {
		known[m.PeerAddress] = known[m.PeerAddress] || m.State != rpc.State_DEAD
	}
	own := x.c.Ledger.Self().PeerAddress
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

func (x *Exchanger) pick(members []*rpc.Member) *rpc.Member {
	zone := x.c.Ledger.Self().AvailabilityZone
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
func (x *Exchanger) spread(ctx context.Context) {
	members := x.c.Ledger.Alive()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var group sync.WaitGroup
	for _, m := range members[:min(len(members), fanOut)] {
		group.Go(func() { x.swap(ctx, identifier.Host(m.Host), m.PeerAddress) })
	}
	group.Wait()
}

// Farewell passes the daemon's last news to a few peers.
func (x *Exchanger) Farewell(ctx context.Context) { x.spread(ctx) }

func (x *Exchanger) swap(ctx context.Context, host identifier.Host, address string) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out := x.c.Ledger.News()
	x.complete(out)
	in, err := x.Peer(address).Exchange(call, out)
	if err != nil {
		if ctx.Err() == nil && host != "" {
			x.c.Ledger.MarkUnreachable(host, time.Now())
		}
		return
	}
	x.take(ctx, in)
}

// complete adds loads and the configuration's number to a message.
func (x *Exchanger) complete(n *rpc.News) {
	n.ConfigurationNumber = uint64(x.c.Keeper.Number())
	n.Suspects = x.c.Reporter.Told()
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
func (x *Exchanger) take(ctx context.Context, in *rpc.News) {
	now := time.Now()
	if fresh := x.c.Ledger.Merge(in, now); len(fresh) > 0 {
		x.c.Registry.Refresh()
		x.Hurry()
	}
	x.takeLoads(in, now)
	x.c.Reporter.Heard(in.Suspects)
	if identifier.ConfigurationNumber(in.ConfigurationNumber) > x.c.Keeper.Number() && in.Self != nil {
		x.fetch(ctx, in.Self.PeerAddress)
	}
}

func (x *Exchanger) takeLoads(in *rpc.News, now time.Time) {
	for _, l := range in.Loads {
		r := report.Report{
			Endpoint: identifier.Endpoint(l.Endpoint), Running: int(l.Running), Queued: int(l.Queued),
			QueuedTokens: identifier.Tokens(l.QueuedTokens), Model: l.Model,
		}
		taken := now.Add(-time.Duration(l.AgeMilli) * time.Millisecond)
		x.c.Registry.Report(&r, taken)
		x.mu.Lock()
		if known, ok := x.loads[r.Endpoint]; !ok || taken.After(known.taken) {
			x.loads[r.Endpoint] = load{r, taken}
		}
		x.mu.Unlock()
	}
}

func (x *Exchanger) fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTime)
	defer cancel()
	patient := watchdog.New(watchdog.Config{Transport: x.c.Client.Transport, Silence: callTimeout})
	reply, err := rpc.NewPeerProtobufClient("http://"+address, patient).Configuration(ctx, &rpc.ConfigurationRequest{})
	if err != nil {
		return
	}
	x.offer(reply)
}

func (x *Exchanger) offer(reply *rpc.ConfigurationReply) {
	var change keeper.Change
	if json.Unmarshal([]byte(reply.ChangeJson), &change) != nil {
		return
	}
	_, _ = x.c.Keeper.Offer(reply.Source, &change)
}

// Exchange answers a peer's news with this daemon's.
func (x *Exchanger) Exchange(ctx context.Context, in *rpc.News) (*rpc.News, error) {
	go x.take(context.WithoutCancel(ctx), in)
	out := x.c.Ledger.News()
	if in.Full {
		out = x.c.Ledger.Full()
	}
	x.complete(out)
	return out, nil
}

// Configuration returns the configuration in force.
func (x *Exchanger) Configuration(context.Context, *rpc.ConfigurationRequest) (*rpc.ConfigurationReply, error) {
	s := x.c.Keeper.Current()
	if s == nil {
		return nil, twirp.NotFoundError("no configuration in force")
	}
	return Reply(s), nil
}

// Reply writes a configuration as a message.
func Reply(s *keeper.Snapshot) *rpc.ConfigurationReply {
	change, _ := json.Marshal(&s.Change)
	return &rpc.ConfigurationReply{Number: uint64(s.Number()), Source: s.Source, ChangeJson: string(change)}
}

// Offer takes in a peer's configuration, if it is newer, and returns the
// number then in force.
func (x *Exchanger) Offer(_ context.Context, in *rpc.ConfigurationReply) (*rpc.ConfigurationRequest, error) {
	if in.Source != "" {
		x.offer(in)
	}
	return &rpc.ConfigurationRequest{Number: uint64(x.c.Keeper.Number())}, nil
}

// Keep stores the state of a leaving peer's request.
func (x *Exchanger) Keep(_ context.Context, e *rpc.Envelope) (*rpc.KeepReply, error) {
	return &rpc.KeepReply{Kept: x.c.Holder.Keep(e)}, nil
}

// Fetch returns a kept state.
func (x *Exchanger) Fetch(_ context.Context, r *rpc.FetchRequest) (*rpc.Envelope, error) {
	e, ok := x.c.Holder.Fetch(identifier.Organisation(r.Organisation), identifier.Request(r.Request))
	if !ok {
		return nil, twirp.NotFoundError("not kept here")
	}
	return e, nil
}

// Explain returns the record of a request, if it is held here.
func (x *Exchanger) Explain(_ context.Context, r *rpc.ExplainRequest) (*rpc.ExplainReply, error) {
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
