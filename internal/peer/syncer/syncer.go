// Package swapper exchanges digests with the other daemons of the fleet.
//
// # Who calls whom
//
// In a small fleet each pair of daemons swaps digests once a [period], in one call, made
// by the one whose host name is lower. So news of a daemon is at most a period old at
// every other one, and survives the daemon's end there.
//
// In a large fleet that would be 19,000 calls a second among 195 daemons, or news that is
// 13 s old. There a daemon swaps with the relays of its zone, with the first one each
// [relayPeriod], and relays with each other; see the packages roster and aggregator. So a
// daemon that does not relay makes four calls a second whatever the fleet, and one that
// does takes part in some four for each daemon of its zone and each other relay.
//
// Addresses come from the settings' seeds, the store, and the digests themselves.
//
// # News
//
// A change of the configuration or of an endpoint does not wait for the next round:
// [Syncer.TriggerNotes] sends a note of a few dozen bytes to all peers of a small fleet, or to
// the relays and the daemons of the own zone, and those that lag ask for the difference.
//
// # Usage
//
//	s := swapper.New(swapper.Config{Self: build, Roster: r, Gatherer: &g, ...})
//	go s.Serve(ctx)
//
// Swap and Notice answer peers' calls; they are part of rpc.Fleet.
package syncer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/peer/gatherer"
	"brasschute/internal/peer/roster"
	"brasschute/internal/peer/rpc"

	"github.com/charmbracelet/log"
	"github.com/thejerf/suture/v4"
)

const (
	// callTimeout is below the period, so that a silent peer holds up nothing.
	callTimeout = 700 * time.Millisecond
	// leastPause is the pause after a round of notes.
	leastPause = 200 * time.Millisecond
	// parallel bounds the calls under way.
	parallel = 32
	// smallAge and largeAge are how old the news of a peer may be: a period, or the way
	// over two relays (p99 1.3 s at 195 daemons) and what it takes to do without one. With
	// 1.5 s taken for it, sixty daemons gave out 1.29 of a quota in a sudden load, with
	// 1.75 s 1.10, with two 0.92.
	smallAge = time.Second
	largeAge = 2 * time.Second
)

// Receiver is whom a digest is for.
type Receiver struct {
	Host    identifier.Host
	Zone    identifier.AvailabilityZone
	Address string
	// Relaying and HoldsDuties as it told them last; RosterKnown are the hashes of the
	// rosters that it has from this daemon.
	Relaying, HoldsDuties bool
	KnownRosterHashes           []uint64
	// FullMesh: it swaps with all others, as daemons of a small fleet and of the version
	// before do, and knows no sums.
	FullMesh bool
}

// Config names the swapper's collaborators.
type Config struct {
	Host identifier.Host
	Zone identifier.AvailabilityZone
	// Address is this daemon's own.
	Address string
	// Roster knows the daemons, Relaying tells whether this one relays.
	Roster   *roster.Roster
	Relaying func() bool
	// LargeFleet tells that the fleet is too large for all pairs to swap.
	LargeFleet func() bool
	// BuildDigest builds this daemon's digest for a receiver.
	BuildDigest     func(to Receiver) *rpc.Digest
	Gatherer *gatherer.Gatherer
	// OnDigest is told of each new digest of another daemon, Noted of each note.
	OnDigest func(*rpc.Digest)
	OnNote func(*rpc.Note)
	// BuildNote builds this daemon's note.
	BuildNote   func() *rpc.Note
	Client *http.Client
	Logger *log.Logger
}

// Syncer exchanges digests. It is safe for concurrent use.
type Syncer struct {
	c       Config
	started time.Time
	// hurry asks for notes: to all whom this daemon tells, or to some.
	hurry chan bool

	mu sync.Mutex
	// calls are by address.
	calls map[string]*call
	round int
}

// call is what is kept of a peer for the next call to it.
type call struct {
	to   Receiver
	busy bool
	// next is when it is due, in a large fleet.
	next time.Time
}

var _ suture.Service = (*Syncer)(nil)

// New returns a swapper that knows no peers.
func New(c Config) *Syncer {
	return &Syncer{c: c, calls: make(map[string]*call), hurry: make(chan bool, 1), started: time.Now()}
}

// TriggerNotes sends notes soon, as there is news: to all whom this daemon tells, or only to some
// of them, from a daemon that heard of it from a peer itself. Whoever has the news first
// may not know all the others, and a note may be lost.
func (s *Syncer) TriggerNotes(all bool) {
	select {
	case s.hurry <- all:
	default:
	}
}

// ForwardFanOut is how many peers get news at second hand: three spread it to sixty
// daemons in four steps.
const ForwardFanOut = 3

// SendNote sends this daemon's note to some addresses now.
func (s *Syncer) SendNote(ctx context.Context, addresses []string) {
	for _, address := range addresses {
		go s.notice(ctx, address)
	}
}

// audience returns the peers that get notes. In a large fleet those are the relays, and
// from a relay the daemons of its zone: so that no daemon calls more than a zone and the
// relays of the others for one change.
func (s *Syncer) audience(all bool) []string {
	now := time.Now()
	if !s.c.LargeFleet() {
		return some(s.LiveAddresses(), all)
	}
	var out []string
	for _, d := range s.c.Roster.Relays(s.c.Zone, now) {
		out = append(out, d.Address)
	}
	if !s.c.Relaying() {
		return append(out, some(s.LiveAddresses(), false)...)
	}
	if all {
		for _, zone := range s.c.Roster.Zones() {
			for _, d := range s.c.Roster.Relays(zone, now) {
				out = append(out, d.Address)
			}
		}
	}
	for _, d := range s.c.Roster.LiveDaemons(now) {
		if d.Zone == s.c.Zone {
			out = append(out, d.Address)
		}
	}
	// The other relays of the zone are among its daemons.
	slices.Sort(out)
	return slices.Compact(out)
}

// some returns all of a list, or up to Forward of it at random.
func some(list []string, all bool) []string {
	if all || len(list) <= ForwardFanOut {
		return list
	}
	rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	return list[:ForwardFanOut]
}

// Serve swaps until ctx ends.
func (s *Syncer) Serve(ctx context.Context) error {
	slots := make(chan struct{}, parallel)
	each := func(addresses []string, call func(context.Context, string)) {
		for _, address := range addresses {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			go func() {
				defer func() { <-slots }()
				call(ctx, address)
			}()
		}
	}
	next := time.Now()
	for ctx.Err() == nil {
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
		case <-timer.C:
			addresses, pause := s.due()
			each(addresses, s.swap)
			next = time.Now().Add(pause)
		case all := <-s.hurry:
			each(s.audience(all), s.notice)
			waiter.For(ctx, leastPause)
			// Once more: a link may lose the first, and a digest comes late.
			each(s.audience(all), s.notice)
		}
		timer.Stop()
	}
	return ctx.Err()
}

// MaxDigestAge is how old the news of a peer may get.
func (s *Syncer) MaxDigestAge() time.Duration {
	if s.c.LargeFleet() {
		return largeAge
	}
	return smallAge
}

// notice sends a peer this daemon's note. A note that is lost is made up for by
// the next digest.
func (s *Syncer) notice(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := rpc.NewFleetProtobufClient("http://"+address, s.c.Client).Notice(ctx, s.c.BuildNote()); err != nil {
		s.c.Logger.Debug("note not delivered", "address", address, "error", err)
	}
}

func (s *Syncer) swap(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d, err := rpc.NewFleetProtobufClient("http://"+address, s.c.Client).Swap(ctx, s.c.BuildDigest(s.receiver(address)))
	s.mu.Lock()
	if c := s.calls[address]; c != nil {
		c.busy = false
	}
	s.mu.Unlock()
	if err != nil {
		now := time.Now()
		if lost, news := s.c.Roster.RecordFailure(address, now); news {
			s.c.Logger.Warn("peer lost", "peer", lost.Host, "address", address, "silent_ms", now.Sub(lost.AnsweredAt).Milliseconds(), "error", err)
		}
		return
	}
	s.merge(d, address)
}

// receiver is whom a call to an address reaches, as far as it is known.
func (s *Syncer) receiver(address string) Receiver {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.calls[address]; c != nil {
		return c.to
	}
	return Receiver{Address: address}
}

// receiverOf is the daemon that told a digest.
func receiverOf(d *rpc.Digest, address string) Receiver {
	return Receiver{
		Host: identifier.Host(d.GetHost()), Zone: identifier.AvailabilityZone(d.GetAvailabilityZone()), Address: address,
		Relaying: d.GetRelaying(), HoldsDuties: d.GetHoldsDuties(), KnownRosterHashes: d.GetRosterKnown(),
		FullMesh: len(d.GetRosterHashes()) == 0,
	}
}

// merge takes in a digest that came from, or leads to, an address.
func (s *Syncer) merge(d *rpc.Digest, address string) {
	now := time.Now()
	if s.c.Roster.RecordAnswer(d, address, now) {
		s.c.Logger.Info("peer regained", "peer", d.GetHost(), "address", address)
	}
	s.mu.Lock()
	s.call(address).to = receiverOf(d, address)
	s.mu.Unlock()
	if s.c.Gatherer.Merge(d, now) {
		s.c.OnDigest(d)
	}
}

// call returns what is kept of a peer. The caller holds the lock.
func (s *Syncer) call(address string) *call {
	c := s.calls[address]
	if c == nil {
		c = &call{to: Receiver{Address: address}}
		s.calls[address] = c
	}
	return c
}

// LiveAddresses returns the addresses of daemons that live.
func (s *Syncer) LiveAddresses() []string {
	var out []string
	for _, d := range s.c.Roster.LiveDaemons(time.Now()) {
		out = append(out, d.Address)
	}
	return out
}

// KnownAddresses returns all addresses, best first: those that answered lately.
func (s *Syncer) KnownAddresses() []string {
	now := time.Now()
	var out, rest []string
	for _, d := range s.c.Roster.All(now) {
		if now.Sub(d.LastHeard()) < roster.LivenessTimeout {
			out = append(out, d.Address)
		} else {
			rest = append(rest, d.Address)
		}
	}
	return append(out, rest...)
}

// Swap answers a peer's call.
func (s *Syncer) Swap(_ context.Context, d *rpc.Digest) (*rpc.Digest, error) {
	s.merge(d, d.GetAddress())
	return s.c.BuildDigest(receiverOf(d, d.GetAddress())), nil
}

// Notice takes in a peer's note.
func (s *Syncer) Notice(_ context.Context, n *rpc.Note) (*rpc.NoteReply, error) {
	s.c.OnNote(n)
	return &rpc.NoteReply{}, nil
}
