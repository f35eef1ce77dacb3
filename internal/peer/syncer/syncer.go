// Package syncer exchanges digests with the other daemons of the fleet.
//
// In a small fleet each pair of daemons swaps digests in one call every [period], made by the one
// with the lower host name. So a digest is at most a period old at every other daemon, and is
// still there after its sender has ended.
//
// In a large fleet that would be 19,000 calls per second among 195 daemons, or digests that are
// 13 s old. There a daemon swaps with the relays of its zone, with the first one every
// [relayPeriod], and relays swap with each other; see packages roster and aggregator. A daemon
// that is not a relay makes about four calls per second, regardless of the size of the fleet. A
// relay takes part in about four per second for each daemon of its zone and each other relay.
//
// Addresses come from the settings' seeds, from the store and from the digests.
//
// A change of the configuration or of an endpoint does not wait for the next round:
// [Syncer.TriggerNotes] sends a note of a few dozen bytes to all peers of a small fleet, or to
// the relays and the daemons of its own zone. Those that are missing the change then fetch it.
//
// # Usage
//
//	s := syncer.New(syncer.Config{BuildDigest: build, Roster: r, Gatherer: &g, ...})
//	go s.Serve(ctx)
//
// Swap and Notice answer the calls of peers; they are part of rpc.Fleet.
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
	// callTimeout is below the period, so that a peer that does not answer delays no other call.
	callTimeout = 700 * time.Millisecond
	// notePause is the pause between the two times that notes are sent.
	notePause = 200 * time.Millisecond
	// maxParallelCalls bounds the calls under way.
	maxParallelCalls = 32
	// smallFleetDigestAge and largeFleetDigestAge are how old a peer's digest may be: a period,
	// or the time that it takes over two relays (p99 1.3 s at 195 daemons) and to replace a lost
	// relay. In a sudden load sixty daemons gave out 1.29 of a quota with 1.5 s, 1.10 with
	// 1.75 s and 0.92 with 2 s.
	smallFleetDigestAge = time.Second
	largeFleetDigestAge = 2 * time.Second
)

// Receiver is the daemon that a digest is built for.
type Receiver struct {
	Host    identifier.Host
	Zone    identifier.AvailabilityZone
	Address string
	// Relaying and HoldsDuties are as the receiver last sent them. KnownRosterHashes are the
	// hashes of the rosters that it has from this daemon.
	Relaying, HoldsDuties bool
	KnownRosterHashes     []uint64
	// FullMesh means that the receiver swaps with all daemons and does not read sums, as daemons
	// of a small fleet and of the previous version do.
	FullMesh bool
}

// Config holds the syncer's settings and the components that it works with.
type Config struct {
	Host identifier.Host
	Zone identifier.AvailabilityZone
	// Address is this daemon's own peer address, as IP:port.
	Address string
	// Roster keeps the daemons of the fleet. Relaying reports whether this daemon is a relay.
	Roster   *roster.Roster
	Relaying func() bool
	// LargeFleet reports whether the fleet is too large for all pairs to swap.
	LargeFleet func() bool
	// BuildDigest builds this daemon's digest for a receiver.
	BuildDigest func(to Receiver) *rpc.Digest
	Gatherer    *gatherer.Gatherer
	// OnDigest is called with each new digest of another daemon, OnNote with each note.
	OnDigest func(*rpc.Digest)
	OnNote   func(*rpc.Note)
	// BuildNote builds this daemon's note.
	BuildNote func() *rpc.Note
	Client    *http.Client
	Logger    *log.Logger
}

// Syncer exchanges digests. It is safe for concurrent use.
type Syncer struct {
	c       Config
	started time.Time
	// notesRequested requests notes: true to all receivers, false to some of them.
	notesRequested chan bool

	mu sync.Mutex
	// peers holds the state of calls, by address.
	peers map[string]*peerState
	round int
}

// peerState is what the syncer keeps of a peer for the next call to it.
type peerState struct {
	to   Receiver
	busy bool
	// next is when the next call is due, in a large fleet.
	next time.Time
}

var _ suture.Service = (*Syncer)(nil)

// New returns a syncer that has called no peer.
func New(c Config) *Syncer {
	return &Syncer{c: c, peers: make(map[string]*peerState), notesRequested: make(chan bool, 1), started: time.Now()}
}

// TriggerNotes makes Serve send notes about a change soon. With all set they go to all
// receivers, otherwise to some of them: a daemon that learned of the change from a peer forwards
// it that way, since the first one may not know all daemons, and a note may be lost.
func (s *Syncer) TriggerNotes(all bool) {
	select {
	case s.notesRequested <- all:
	default:
	}
}

// ForwardFanOut is how many peers a change is forwarded to by a daemon that learned of it from a
// peer. Three spread it to sixty daemons in four steps.
const ForwardFanOut = 3

// SendNotes sends this daemon's note to some addresses now, without waiting for the result.
func (s *Syncer) SendNotes(ctx context.Context, addresses []string) {
	for _, address := range addresses {
		go s.notify(ctx, address)
	}
}

// noteReceivers returns the addresses that get notes. In a large fleet these are the relays of
// the zone. A relay adds the daemons of its zone and, with all set, the relays of the other
// zones; any other daemon adds a sample of the live daemons. So for one change no daemon calls
// more than its zone and the relays of the others.
func (s *Syncer) noteReceivers(all bool) []string {
	now := time.Now()
	if !s.c.LargeFleet() {
		return allOrSample(s.LiveAddresses(), all)
	}
	var out []string
	for _, d := range s.c.Roster.Relays(s.c.Zone, now) {
		out = append(out, d.Address)
	}
	if !s.c.Relaying() {
		return append(out, allOrSample(s.LiveAddresses(), false)...)
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
	// The other relays of the zone are also among its daemons.
	slices.Sort(out)
	return slices.Compact(out)
}

// allOrSample returns all of a list, or up to [ForwardFanOut] entries at random.
func allOrSample(list []string, all bool) []string {
	if all || len(list) <= ForwardFanOut {
		return list
	}
	shuffle(list)
	return list[:ForwardFanOut]
}

// Serve swaps digests and sends notes until ctx ends, and returns its error.
func (s *Syncer) Serve(ctx context.Context) error {
	slots := make(chan struct{}, maxParallelCalls)
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
		case all := <-s.notesRequested:
			each(s.noteReceivers(all), s.notify)
			waiter.For(ctx, notePause)
			if all || !s.c.LargeFleet() {
				// Send the notes twice: a link may lose the first, and the next digest comes late. In a
				// large fleet, where each daemon forwards them, several others bring them as well.
				each(s.noteReceivers(all), s.notify)
			}
		}
		timer.Stop()
	}
	return ctx.Err()
}

// MaxDigestAge returns how old the digest of a live peer may get.
func (s *Syncer) MaxDigestAge() time.Duration {
	if s.c.LargeFleet() {
		return largeFleetDigestAge
	}
	return smallFleetDigestAge
}

// notify sends this daemon's note to a peer. A peer that misses it learns of the change from the
// next digest.
func (s *Syncer) notify(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := rpc.NewFleetProtobufClient("http://"+address, s.c.Client).Notice(ctx, s.c.BuildNote()); err != nil {
		s.c.Logger.Debug("note not delivered", "address", address, "error", err)
	}
}

// swap exchanges digests with the peer at an address.
func (s *Syncer) swap(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d, err := rpc.NewFleetProtobufClient("http://"+address, s.c.Client).Swap(ctx, s.c.BuildDigest(s.receiver(address)))
	s.mu.Lock()
	if c := s.peers[address]; c != nil {
		c.busy = false
	}
	s.mu.Unlock()
	if err != nil {
		now := time.Now()
		if lost, newlyLost := s.c.Roster.RecordFailure(address, now); newlyLost {
			s.c.Logger.Warn("peer unreachable", "peer", lost.Host, "address", address, "silent_ms", now.Sub(lost.AnsweredAt).Milliseconds(), "error", err)
		}
		return
	}
	s.merge(d, address)
}

// receiver returns what is known of the daemon at an address.
func (s *Syncer) receiver(address string) Receiver {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.peers[address]; c != nil {
		return c.to
	}
	return Receiver{Address: address}
}

// receiverFrom returns the sender of a digest as a receiver.
func receiverFrom(d *rpc.Digest, address string) Receiver {
	return Receiver{
		Host: identifier.Host(d.GetHost()), Zone: identifier.AvailabilityZone(d.GetAvailabilityZone()), Address: address,
		Relaying: d.GetRelaying(), HoldsDuties: d.GetHoldsDuties(), KnownRosterHashes: d.GetRosterKnown(),
		FullMesh: len(d.GetRosterHashes()) == 0,
	}
}

// merge merges the digest of the daemon at an address, which has called or answered.
func (s *Syncer) merge(d *rpc.Digest, address string) {
	now := time.Now()
	if s.c.Roster.RecordAnswer(d, address, now) {
		s.c.Logger.Info("peer reachable again", "peer", d.GetHost(), "address", address)
	}
	s.mu.Lock()
	s.peerState(address).to = receiverFrom(d, address)
	s.mu.Unlock()
	if s.c.Gatherer.Merge(d, now) {
		s.c.OnDigest(d)
	}
}

// peerState returns the state of a peer, which it creates if there is none. The caller holds the
// lock.
func (s *Syncer) peerState(address string) *peerState {
	c := s.peers[address]
	if c == nil {
		c = &peerState{to: Receiver{Address: address}}
		s.peers[address] = c
	}
	return c
}

// LiveAddresses returns the addresses of the live daemons, in no order.
func (s *Syncer) LiveAddresses() []string {
	var out []string
	for _, d := range s.c.Roster.LiveDaemons(time.Now()) {
		out = append(out, d.Address)
	}
	return out
}

// KnownAddresses returns the addresses of all known daemons, the live ones first.
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
	shuffle(out)
	shuffle(rest)
	return append(out, rest...)
}

// shuffle puts addresses in a random order, so that the daemons of a fleet do not all call the same
// peers first.
func shuffle(addresses []string) {
	rand.Shuffle(len(addresses), func(i, k int) { addresses[i], addresses[k] = addresses[k], addresses[i] })
}

// Swap merges a peer's digest and returns this daemon's. It implements rpc.Fleet.
func (s *Syncer) Swap(_ context.Context, d *rpc.Digest) (*rpc.Digest, error) {
	s.merge(d, d.GetAddress())
	return s.c.BuildDigest(receiverFrom(d, d.GetAddress())), nil
}

// Notice hands a peer's note to OnNote. It implements rpc.Fleet.
func (s *Syncer) Notice(_ context.Context, n *rpc.Note) (*rpc.NoteReply, error) {
	s.c.OnNote(n)
	return &rpc.NoteReply{}, nil
}
