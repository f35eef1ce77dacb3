// Package swapper exchanges digests with the other daemons of the fleet.
//
// # Who calls whom
//
// Once a period each pair of daemons swaps digests in one call, made by the one
// whose host name is lower. So news of a daemon is at most a period old at
// every other one, and survives the daemon's end there. Addresses come from the
// settings' seeds, the store, and the digests themselves; one that has not
// answered for [forget] is dropped. Bytes between availability zones are dear:
// in a large fleet, pairs in different zones swap half as often.
//
// # News
//
// A change of the configuration or of an endpoint does not wait for the next
// round: [Swapper.Hurry] sends all peers a note of a few dozen bytes, and those
// that lag ask for the difference.
//
// # Usage
//
//	s := swapper.New(swapper.Config{Self: build, Gatherer: &g, ...})
//	go s.Serve(ctx)
//
// Swap and Notice answer peers' calls; they are part of rpc.Fleet.
package swapper

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/peer/gatherer"
	"brasschute/internal/peer/rpc"

	"github.com/charmbracelet/log"
	"github.com/thejerf/suture/v4"
)

const (
	// period is how old news may get. An organisation at eight times its usual
	// load sends some 10% of its quota's window in a second.
	period = time.Second
	// perPeer lengthens the period of large fleets: with 60 daemons each makes
	// and takes 30 calls in 2 s, 1% of the processor time of a small host.
	perPeer = 33 * time.Millisecond
	// callTimeout is below the period, so that a silent peer holds up nothing.
	callTimeout = 700 * time.Millisecond
	// leastPause is the pause after a round of notes.
	leastPause = 200 * time.Millisecond
	// Beyond smallFleet peers, pairs in different zones swap each farFactor-th
	// round.
	smallFleet = 16
	farFactor  = 2
	// jitterPart is the part of a pause by which rounds come earlier or later.
	jitterPart = 5
	// eager is how long after its start a daemon calls those that it has not heard
	// yet each eagerPause. Until it hears the others it gives out its own part of
	// each quota only, a sixtieth in a fleet of sixty: with rounds of two seconds a
	// fleet that was killed as a whole refused most requests for three seconds.
	eager      = 4 * time.Second
	eagerPause = 250 * time.Millisecond
	// young is how long after its start a daemon makes rounds of a small fleet's
	// period, with far peers in each: until it has heard a peer twice it does not
	// know its rates, and buckets that had filled up meanwhile lay one and a half
	// seconds' worth of a quota too low, five seconds after a loss of all power.
	young = 8 * time.Second
	// forget is how long an address is tried in vain.
	forget = 60 * time.Second
	// slowAfter is when a silent address is tried only each fifth period.
	slowAfter = 5 * time.Second
	slowEach  = 5
	// heardLately bounds the addresses that are passed on.
	heardLately = 10 * time.Second
	// parallel bounds the calls under way.
	parallel = 16
)

// Config names the swapper's collaborators.
type Config struct {
	Host identifier.Host
	Zone identifier.AvailabilityZone
	// Address is this daemon's own.
	Address string
	// Self builds this daemon's digest.
	Self     func() *rpc.Digest
	Gatherer *gatherer.Gatherer
	// Heard is told of each new digest of another daemon, Noted of each note.
	Heard func(*rpc.Digest)
	Noted func(*rpc.Note)
	// Note builds this daemon's note.
	Note   func() *rpc.Note
	Client *http.Client
	Logger *log.Logger
}

type peer struct {
	host identifier.Host
	zone identifier.AvailabilityZone
	// answered is when it last answered or called; added when it became known.
	answered time.Time
	added    time.Time
	lost     bool
	busy     bool
}

// Swapper exchanges digests. It is safe for concurrent use.
type Swapper struct {
	c Config

	// hurry asks for notes to so many peers.
	hurry chan int

	mu    sync.Mutex
	peers map[string]*peer
	round int
	// next is when the next round is due that calls the known peers, too.
	started, next time.Time
}

var _ suture.Service = (*Swapper)(nil)

// New returns a swapper that knows no peers.
func New(c Config) *Swapper {
	return &Swapper{c: c, peers: make(map[string]*peer), hurry: make(chan int, 1), started: time.Now()}
}

// Hurry sends notes soon, as there is news: to all peers, or only to Forward of
// them, from a daemon that heard of it from a peer itself. Whoever has the news
// first may not know all the others, and a note may be lost.
func (s *Swapper) Hurry(all bool) {
	n := Forward
	if all {
		n = everyone
	}
	select {
	case s.hurry <- n:
	default:
	}
}

// Forward is how many peers get news at second hand: three spread it to sixty
// daemons in four steps.
const Forward = 3

const everyone = -1

// Tell sends this daemon's note to some addresses now.
func (s *Swapper) Tell(ctx context.Context, addresses []string) {
	for _, address := range addresses {
		go s.notice(ctx, address)
	}
}

// some returns up to n of the peers that answered lately, at random.
func (s *Swapper) some(n int) []string {
	list := s.Lately()
	if n == everyone || len(list) <= n {
		return list
	}
	rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	return list[:n]
}

// Add makes an address known.
func (s *Swapper) Add(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(address)
}

func (s *Swapper) add(address string) *peer {
	p := s.peers[address]
	if p == nil && address != "" {
		p = &peer{added: time.Now()}
		s.peers[address] = p
	}
	return p
}

// Serve swaps until ctx ends.
func (s *Swapper) Serve(ctx context.Context) error {
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
		case n := <-s.hurry:
			each(s.some(n), s.notice)
			waiter.For(ctx, leastPause)
			// Once more: a link may lose the first, and a digest comes late.
			each(s.some(n), s.notice)
		}
		timer.Stop()
	}
	return ctx.Err()
}

// Period is how old the news of a peer in the same zone may be.
func (s *Swapper) Period() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.period()
}

// NewsAge is how old the news of a peer may get: a round, of which far peers take
// part in each second one only in a large fleet.
func (s *Swapper) NewsAge() time.Duration {
	p := s.Period()
	if p > period {
		p *= farFactor
	}
	return p
}

func (s *Swapper) period() time.Duration { return max(period, time.Duration(len(s.peers))*perPeer) }

// due returns the addresses to call now and the time until the next round.
func (s *Swapper) due() ([]string, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	regular := !now.Before(s.next)
	if regular {
		s.round++
		// The daemons of a fleet start together; their rounds need not stay so.
		pause := s.pause(now)
		s.next = now.Add(pause - pause/jitterPart + rand.N(2*pause/jitterPart))
	}
	var out []string
	for address, p := range s.peers {
		last := p.answered
		if last.IsZero() {
			last = p.added
		}
		silent := now.Sub(last)
		if silent > forget || address == s.c.Address {
			delete(s.peers, address)
			continue
		}
		if !p.busy && (regular && s.mine(p, silent) || !regular && p.host == "") {
			p.busy = true
			out = append(out, address)
		}
	}
	pause := time.Until(s.next)
	if now.Sub(s.started) < eager {
		pause = min(pause, eagerPause)
	}
	return out, pause
}

func (s *Swapper) isYoung(now time.Time) bool { return now.Sub(s.started) < young }

// pause is the time between two rounds.
func (s *Swapper) pause(now time.Time) time.Duration {
	if s.isYoung(now) {
		return period
	}
	return s.period()
}

// mine tells whether it is for this daemon, and time, to call a peer.
func (s *Swapper) mine(p *peer, silent time.Duration) bool {
	far := p.zone != s.c.Zone && len(s.peers) > smallFleet && !s.isYoung(time.Now())
	usual := s.pause(time.Now())
	if far {
		usual *= farFactor
	}
	switch {
	case silent > slowAfter+usual:
		return s.round%slowEach == 0
	case far && p.host != "" && s.round%farFactor != 0:
		return false
	}
	// The pair's other daemon calls, unless it has fallen silent: then it may
	// not know this one.
	return p.host == "" || p.host >= s.c.Host || silent >= 2*usual+time.Second
}

// notice sends a peer this daemon's note. A note that is lost is made up for by
// the next digest.
func (s *Swapper) notice(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := rpc.NewFleetProtobufClient("http://"+address, s.c.Client).Notice(ctx, s.c.Note()); err != nil {
		s.c.Logger.Debug("note not delivered", "address", address, "error", err)
	}
}

func (s *Swapper) swap(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d, err := rpc.NewFleetProtobufClient("http://"+address, s.c.Client).Swap(ctx, s.c.Self())
	s.mu.Lock()
	if p := s.peers[address]; p != nil {
		p.busy = false
		if err != nil && !p.lost && p.host != "" {
			p.lost = true
			s.c.Logger.Warn("peer lost", "peer", p.host, "address", address, "silent_ms", time.Since(p.answered).Milliseconds(), "error", err)
		}
	}
	s.mu.Unlock()
	if err == nil {
		s.merge(d, address)
	}
}

// merge takes in a digest that came from, or leads to, an address.
func (s *Swapper) merge(d *rpc.Digest, address string) {
	s.mu.Lock()
	p := s.add(address)
	if p != nil {
		if p.lost {
			s.c.Logger.Info("peer regained", "peer", d.GetHost(), "address", address)
		}
		p.lost = false
		p.host, p.zone, p.answered = identifier.Host(d.GetHost()), identifier.AvailabilityZone(d.GetAvailabilityZone()), time.Now()
	}
	for _, other := range d.GetPeers() {
		s.add(other)
	}
	s.mu.Unlock()
	if s.c.Gatherer.Merge(d, time.Now()) {
		s.c.Heard(d)
	}
}

// Lately returns the addresses of daemons that answered lately.
func (s *Swapper) Lately() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for address, p := range s.peers {
		if time.Since(p.answered) < heardLately {
			out = append(out, address)
		}
	}
	return out
}

// Known returns all addresses, best first: those that answered lately.
func (s *Swapper) Known() []string {
	out := s.Lately()
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, p := range s.peers {
		if time.Since(p.answered) >= heardLately {
			out = append(out, address)
		}
	}
	return out
}

// Swap answers a peer's call.
func (s *Swapper) Swap(_ context.Context, d *rpc.Digest) (*rpc.Digest, error) {
	s.merge(d, d.GetAddress())
	return s.c.Self(), nil
}

// Notice takes in a peer's note.
func (s *Swapper) Notice(_ context.Context, n *rpc.Note) (*rpc.NoteReply, error) {
	s.c.Noted(n)
	return &rpc.NoteReply{}, nil
}
