// Package gossiper exchanges gossip messages with peers and answers their calls.
//
// Once per period the gossiper swaps messages with one peer: mostly one of its own zone, sometimes
// one of another zone, and occasionally a dead one, because after a partition each side considers
// the other dead and one of them must try. The bytes sent per period do not depend on the size of
// the fleet.
//
// A host that begins to leave, and a new configuration, do not wait for the period: the daemon
// passes them at once to [fanOut] peers, and each of these does the same, so that they reach n
// daemons in about log(n) round trips.
//
// A message carries only the number of the configuration in force. A daemon that sees a higher
// number fetches the configuration from the peer that sent it. So a daemon that is cut off from
// the platform, or that starts during an outage, gets its configuration from peers.
//
// # Usage
//
//	g := gossiper.New(gossiper.Config{...})
//	mux.Handle(rpc.PeerPathPrefix, signer.Verify(rpc.NewPeerServer(g)))
//	err := g.Serve(ctx)
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
	"brasschute/internal/peer/crashreporter"
	"brasschute/internal/peer/membertracker"
	"brasschute/internal/peer/retainer"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/recorder"

	"github.com/twitchtv/twirp"
)

const (
	defaultPeriod = time.Second
	callTimeout   = time.Second
	// fetchTimeout bounds the transfer of a configuration while its bytes arrive; a transfer
	// without bytes ends after callTimeout. With a fixed timeout of one second, a transfer over a
	// narrow link was restarted each time and never completed.
	fetchTimeout = 5 * time.Second
	fanOut       = 3
	// Every otherZoneEvery-th round goes to another zone, every deadEvery-th to a dead member.
	otherZoneEvery = 4
	deadEvery      = 10
	// maxLoads keeps a message within the bound on control traffic: four messages pass through a
	// daemon per period.
	maxLoads   = 8
	maxLoadAge = 8 * time.Second
)

// Config holds the gossiper's settings and the components that it works with.
type Config struct {
	Members  *membertracker.Tracker
	Registry *registry.Registry
	Keeper   *keeper.Keeper
	Retainer *retainer.Retainer
	Recorder *recorder.Recorder
	Reporter *crashreporter.Reporter
	// Client makes signed calls to peers.
	Client *http.Client
	// Seeds are the addresses of peers from the settings, as IP:port.
	Seeds []string
	// Period is the time between swaps; 1 s if zero.
	Period time.Duration
}

// timedReport is a load report with the time at which it was taken.
type timedReport struct {
	report  report.Report
	takenAt time.Time
}

// Gossiper implements rpc.Peer for one daemon. It is safe for concurrent use, with one Serve
// running.
type Gossiper struct {
	c      Config
	urgent chan struct{}
	round  int

	mu    sync.Mutex
	loads map[identifier.Endpoint]timedReport
}

var _ rpc.Peer = (*Gossiper)(nil)

// New returns a gossiper that has no loads to share yet.
func New(c Config) *Gossiper {
	if c.Period == 0 {
		c.Period = defaultPeriod
	}
	return &Gossiper{
		c: c, urgent: make(chan struct{}, 1),
		loads: make(map[identifier.Endpoint]timedReport),
	}
}

// Peer returns a client for the peer at an address.
func (g *Gossiper) Peer(address string) rpc.Peer {
	return rpc.NewPeerProtobufClient("http://"+address, g.c.Client)
}

// Trigger makes Serve swap messages with [fanOut] peers at once.
func (g *Gossiper) Trigger() {
	select {
	case g.urgent <- struct{}{}:
	default:
	}
}

// ShareReport adds an endpoint's load report, taken by this daemon, to the messages for peers.
func (g *Gossiper) ShareReport(r *report.Report, taken time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loads[r.Endpoint] = timedReport{*r, taken}
}

// Serve swaps messages once per period until ctx ends, and returns its error.
func (g *Gossiper) Serve(ctx context.Context) error {
	tick := time.NewTicker(g.c.Period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			g.c.Members.Tick(time.Now())
			g.swapWithOne(ctx)
		case <-g.urgent:
			g.swapWithSeveral(ctx)
		}
	}
}

// swapWithOne swaps messages with one seed or member.
func (g *Gossiper) swapWithOne(ctx context.Context) {
	g.round++
	members := g.c.Members.Members()
	if address := g.pickSeed(members); address != "" {
		g.swap(ctx, "", address)
		return
	}
	if m := g.pickMember(members); m != nil {
		g.swap(ctx, identifier.Host(m.Host), m.PeerAddress)
	}
}

// pickSeed returns a random seed address that no live member has, or "" if there is none. With
// members known, it does so only each deadEvery-th round.
func (g *Gossiper) pickSeed(members []*rpc.Member) string {
	known := make(map[string]bool)
	for _, m := range members {
		known[m.PeerAddress] = known[m.PeerAddress] || m.State != rpc.State_DEAD
	}
	own := g.c.Members.Self().PeerAddress
	var unknown []string
	for _, address := range g.c.Seeds {
		if !known[address] && address != own {
			unknown = append(unknown, address)
		}
	}
	if len(unknown) == 0 || (len(members) > 0 && g.round%deadEvery != 0) {
		return ""
	}
	return unknown[rand.IntN(len(unknown))]
}

// pickMember returns a random member of the group whose turn it is, or of another group if that
// one is empty.
func (g *Gossiper) pickMember(members []*rpc.Member) *rpc.Member {
	zone := g.c.Members.Self().AvailabilityZone
	var sameZone, otherZones, dead []*rpc.Member
	for _, m := range members {
		switch {
		case m.State == rpc.State_DEAD:
			dead = append(dead, m)
		case m.AvailabilityZone == zone:
			sameZone = append(sameZone, m)
		default:
			otherZones = append(otherZones, m)
		}
	}
	order := [][]*rpc.Member{sameZone, otherZones, dead}
	if g.round%otherZoneEvery == 0 {
		order = [][]*rpc.Member{otherZones, sameZone, dead}
	}
	if g.round%deadEvery == 0 {
		order = [][]*rpc.Member{dead, sameZone, otherZones}
	}
	for _, group := range order {
		if len(group) > 0 {
			return group[rand.IntN(len(group))]
		}
	}
	return nil
}

// swapWithSeveral swaps messages with [fanOut] random live members at once.
func (g *Gossiper) swapWithSeveral(ctx context.Context) {
	members := g.c.Members.Alive()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var group sync.WaitGroup
	for _, m := range members[:min(len(members), fanOut)] {
		group.Go(func() { g.swap(ctx, identifier.Host(m.Host), m.PeerAddress) })
	}
	group.Wait()
}

// AnnounceShutdown sends the daemon's last message to some peers and waits for their answers.
func (g *Gossiper) AnnounceShutdown(ctx context.Context) { g.swapWithSeveral(ctx) }

// swap exchanges messages with the peer at an address. If it fails, the host, if known, becomes a
// suspect.
func (g *Gossiper) swap(ctx context.Context, host identifier.Host, address string) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out := g.c.Members.NextMessage()
	g.fillMessage(out)
	in, err := g.Peer(address).Exchange(call, out)
	if err != nil {
		if ctx.Err() == nil && host != "" {
			g.c.Members.MarkUnreachable(host, time.Now())
		}
		return
	}
	g.merge(ctx, in)
}

// fillMessage adds loads, quarantine suspects and the configuration's number to a message.
func (g *Gossiper) fillMessage(n *rpc.News) {
	n.ConfigurationNumber = uint64(g.c.Keeper.Number())
	n.Suspects = g.c.Reporter.RPCSuspects()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	fresh := make([]timedReport, 0, len(g.loads))
	for endpoint := range g.loads {
		l := g.loads[endpoint]
		if now.Sub(l.takenAt) > maxLoadAge {
			delete(g.loads, endpoint)
			continue
		}
		fresh = append(fresh, l)
	}
	// Newest first: older ones have been sent in earlier messages.
	slices.SortFunc(fresh, func(a, b timedReport) int { return b.takenAt.Compare(a.takenAt) })
	for i := range fresh[:min(len(fresh), maxLoads)] {
		n.Loads = append(n.Loads, loadMessage(&fresh[i], now))
	}
}

// loadMessage returns a report as a message, with its age.
func loadMessage(l *timedReport, now time.Time) *rpc.Load {
	return &rpc.Load{
		Endpoint: string(l.report.Endpoint), Running: uint32(l.report.Running), Queued: uint32(l.report.Queued),
		QueuedTokens: uint32(l.report.QueuedTokens), AgeMilli: uint32(now.Sub(l.takenAt).Milliseconds()), Model: l.report.Model,
	}
}

// merge merges a peer's message, and fetches its configuration if that is newer.
func (g *Gossiper) merge(ctx context.Context, in *rpc.News) {
	now := time.Now()
	if fresh := g.c.Members.Merge(in, now); len(fresh) > 0 {
		g.c.Registry.Refresh()
		g.Trigger()
	}
	g.mergeLoads(in, now)
	g.c.Reporter.MergeSuspects(in.Suspects)
	if identifier.ConfigurationNumber(in.ConfigurationNumber) > g.c.Keeper.Number() && in.Self != nil {
		g.fetchConfiguration(ctx, in.Self.PeerAddress)
	}
}

// mergeLoads passes a peer's load reports to the registry and keeps the newest of each endpoint.
func (g *Gossiper) mergeLoads(in *rpc.News, now time.Time) {
	for _, l := range in.Loads {
		r := report.Report{
			Endpoint: identifier.Endpoint(l.Endpoint), Running: int(l.Running), Queued: int(l.Queued),
			QueuedTokens: identifier.Tokens(l.QueuedTokens), Model: l.Model,
		}
		taken := now.Add(-time.Duration(l.AgeMilli) * time.Millisecond)
		g.c.Registry.ApplyReport(&r, taken)
		g.mu.Lock()
		if known, ok := g.loads[r.Endpoint]; !ok || taken.After(known.takenAt) {
			g.loads[r.Endpoint] = timedReport{r, taken}
		}
		g.mu.Unlock()
	}
}

// fetchConfiguration fetches the configuration in force at a peer.
func (g *Gossiper) fetchConfiguration(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	client := watchdog.New(watchdog.Config{Transport: g.c.Client.Transport, IdleTimeout: callTimeout})
	reply, err := rpc.NewPeerProtobufClient("http://"+address, client).Configuration(ctx, &rpc.ConfigurationRequest{})
	if err != nil {
		return
	}
	g.offerConfiguration(reply)
}

// offerConfiguration offers a peer's configuration to the keeper, which ignores it unless it is
// newer.
func (g *Gossiper) offerConfiguration(reply *rpc.ConfigurationReply) {
	var change keeper.Change
	if json.Unmarshal([]byte(reply.ChangeJson), &change) != nil {
		return
	}
	_, _ = g.c.Keeper.Offer(reply.Source, &change)
}

// Exchange returns this daemon's message, and merges the peer's in the background. It implements
// rpc.Peer, as the methods below do.
func (g *Gossiper) Exchange(ctx context.Context, in *rpc.News) (*rpc.News, error) {
	go g.merge(context.WithoutCancel(ctx), in)
	out := g.c.Members.NextMessage()
	if in.Full {
		out = g.c.Members.FullMessage()
	}
	g.fillMessage(out)
	return out, nil
}

// Configuration returns the configuration in force, or a not-found error if there is none.
func (g *Gossiper) Configuration(context.Context, *rpc.ConfigurationRequest) (*rpc.ConfigurationReply, error) {
	s := g.c.Keeper.Current()
	if s == nil {
		return nil, twirp.NotFoundError("no configuration in force")
	}
	return NewConfigurationReply(s), nil
}

// NewConfigurationReply returns a configuration as a message.
func NewConfigurationReply(s *keeper.Snapshot) *rpc.ConfigurationReply {
	change, _ := json.Marshal(&s.Change)
	return &rpc.ConfigurationReply{Number: uint64(s.Number()), Source: s.Source, ChangeJson: string(change)}
}

// Offer accepts a peer's configuration, if it is newer, and returns the number then in force.
func (g *Gossiper) Offer(_ context.Context, in *rpc.ConfigurationReply) (*rpc.ConfigurationRequest, error) {
	if in.Source != "" {
		g.offerConfiguration(in)
	}
	return &rpc.ConfigurationRequest{Number: uint64(g.c.Keeper.Number())}, nil
}

// Keep keeps the state of a request that a leaving peer hands over. The reply says whether there
// was room.
func (g *Gossiper) Keep(_ context.Context, e *rpc.Envelope) (*rpc.KeepReply, error) {
	return &rpc.KeepReply{Kept: g.c.Retainer.Keep(e)}, nil
}

// Fetch returns the state of a request that is kept here, or a not-found error.
func (g *Gossiper) Fetch(_ context.Context, r *rpc.FetchRequest) (*rpc.Envelope, error) {
	e, ok := g.c.Retainer.Fetch(identifier.Organisation(r.Organisation), identifier.Request(r.Request))
	if !ok {
		return nil, twirp.NotFoundError("not kept here")
	}
	return e, nil
}

// Explain returns the record of a request's decisions, if it is held here.
func (g *Gossiper) Explain(_ context.Context, r *rpc.ExplainRequest) (*rpc.ExplainReply, error) {
	rec, ok := g.c.Recorder.Find(identifier.Request(r.Request))
	if !ok {
		return &rpc.ExplainReply{}, nil
	}
	text, err := json.Marshal(rec)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rpc.ExplainReply{Found: true, RecordJson: string(text)}, nil
}
