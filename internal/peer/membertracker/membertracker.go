// Package ledger is the membership that entry daemons share.
//
// # How news travels
//
// Each daemon keeps a [Tracker] and, once a period, swaps [rpc.News] with one
// peer. A message holds the sender, the few changes that it has passed on
// least often, and a digest over all members. Only changes travel, so the
// bytes of a quiet fleet do not grow with its size; a digest that still
// differs after some rounds asks for a full exchange.
//
// # Merging
//
// The records form a semilattice: of two records of one host the higher
// incarnation wins, and within one incarnation dead beats suspect beats alive.
// Merging in any order, twice or late, gives the same result on all sides.
// A daemon that finds itself suspect or dead raises its own incarnation: so a
// paused one that wakes up, or a restarted one whose clock is behind, is
// believed again, and a stale record of it is not.
//
// A host of endpoints that is leaving is recorded with its incarnation. Such
// a record only ever rises, so leaving cannot un-spread.
//
// # Usage
//
//	l := ledger.New(ledger.Config{Self: self, ConfigurationNumber: keeper.Number})
//	out := l.News()
//	l.Merge(in, time.Now())
//
// The ledger performs no I/O. It reads no clock: times are handed in.
package membertracker

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"

	"github.com/cespare/xxhash/v2"
)

const (
	// newsMembers and newsLeaving bound a message that is not full.
	newsMembers = 6
	newsLeaving = 16
	// spare is added to the logarithm of the members in limit.
	spare = 2
	// maxMembers and maxLeaving bound what is believed from others.
	maxMembers = 1024
	maxLeaving = 8192
	// suspicion is how long a suspect may refute before it counts as dead.
	suspicion = 5 * time.Second
	// deadMemory is how long a dead member is remembered, so that late news
	// of its last incarnation does not revive it.
	deadMemory = 10 * time.Minute
	// leavingMemory outlasts any platform outage in which the host list
	// would still show the host as live.
	leavingMemory = 2 * time.Hour
	// patience is the number of messages with a differing digest after which
	// a full exchange is asked for.
	patience = 5
)

// Config names the daemon itself.
type Config struct {
	Self *rpc.Member
}

type member struct {
	record *rpc.Member
	since  time.Time
	sent   int
}

type departure struct {
	incarnation identifier.Incarnation
	deadline    time.Time
	since       time.Time
	sent        int
}

// Tracker holds the records. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	self    *rpc.Member
	members map[identifier.Host]*member
	leaving map[identifier.Host]*departure
	differs int
}

// New returns a ledger that knows only its own daemon.
func New(c Config) *Tracker {
	return &Tracker{self: clone(c.Self), members: make(map[identifier.Host]*member), leaving: make(map[identifier.Host]*departure)}
}

// Self returns the daemon's own record.
func (l *Tracker) Self() *rpc.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.copySelf()
}

func (l *Tracker) copySelf() *rpc.Member { return clone(l.self) }

func clone(m *rpc.Member) *rpc.Member {
	return &rpc.Member{
		Host: m.Host, AvailabilityZone: m.AvailabilityZone, PeerAddress: m.PeerAddress,
		Incarnation: m.Incarnation, State: m.State,
	}
}

// Members returns the other members, dead ones included, ordered by host.
func (l *Tracker) Members() []*rpc.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*rpc.Member, 0, len(l.members))
	for _, m := range l.members {
		out = append(out, clone(m.record))
	}
	slices.SortFunc(out, func(a, b *rpc.Member) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// Alive returns the members to talk to: alive or merely suspect.
func (l *Tracker) Alive() []*rpc.Member {
	return slices.DeleteFunc(l.Members(), func(m *rpc.Member) bool { return m.State == rpc.State_DEAD })
}

// Count counts the daemons that are not dead, this one included.
func (l *Tracker) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 1
	for _, m := range l.members {
		if m.record.State != rpc.State_DEAD {
			n++
		}
	}
	return n
}

// AliveInZone counts the daemons of a zone that are not dead, this one
// included.
func (l *Tracker) AliveInZone(zone identifier.AvailabilityZone) int {
	n := 0
	for _, m := range l.Alive() {
		if m.AvailabilityZone == string(zone) {
			n++
		}
	}
	if l.Self().AvailabilityZone == string(zone) {
		n++
	}
	return n
}

// Leaving returns the deadline of a leaving host; ok is false if this
// incarnation of the host is not known to leave.
func (l *Tracker) Leaving(h identifier.Host, i identifier.Incarnation) (deadline time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.leaving[h]
	if d == nil || d.incarnation < i {
		return time.Time{}, false
	}
	return d.deadline, true
}

// MarkLeaving records that an incarnation of a host is leaving. It reports
// whether that was news.
func (l *Tracker) MarkLeaving(h identifier.Host, i identifier.Incarnation, deadline, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mark(h, i, deadline, now)
}

func (l *Tracker) mark(h identifier.Host, i identifier.Incarnation, deadline, now time.Time) bool {
	d := l.leaving[h]
	if d != nil && d.incarnation >= i {
		return false
	}
	if d == nil && len(l.leaving) >= maxLeaving {
		return false
	}
	l.leaving[h] = &departure{incarnation: i, deadline: deadline, since: now}
	return true
}

// MarkUnreachable suspects a member that did not answer.
func (l *Tracker) MarkUnreachable(h identifier.Host, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.members[h]
	if m == nil || m.record.State != rpc.State_ALIVE {
		return
	}
	m.record.State = rpc.State_SUSPECT
	m.since = now
	m.sent = 0
}

// Tick turns suspects that did not refute into dead members and forgets what
// is older than any use.
func (l *Tracker) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for h, m := range l.members {
		switch age := now.Sub(m.since); {
		case m.record.State == rpc.State_SUSPECT && age > suspicion:
			m.record.State = rpc.State_DEAD
			m.since = now
			m.sent = 0
		case m.record.State == rpc.State_DEAD && age > deadMemory:
			delete(l.members, h)
		}
	}
	for h, d := range l.leaving {
		if now.Sub(d.since) > leavingMemory {
			delete(l.leaving, h)
		}
	}
}

// Leave marks the daemon itself as gone, for its last messages.
func (l *Tracker) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self.State = rpc.State_DEAD
}

// News returns the message for one exchange.
func (l *Tracker) News() *rpc.News {
	l.mu.Lock()
	defer l.mu.Unlock()
	full := l.differs >= patience || len(l.members) == 0
	n := &rpc.News{Self: l.copySelf(), Digest: l.digest(), Full: full}
	l.fill(n, full)
	return n
}

// Full returns a message with everything known, as answer to a full one.
func (l *Tracker) Full() *rpc.News {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := &rpc.News{Self: l.copySelf(), Digest: l.digest(), Full: true}
	l.fill(n, true)
	return n
}

func (l *Tracker) fill(n *rpc.News, full bool) {
	limit := l.limit()
	for _, m := range l.leastSent(full, limit) {
		m.sent++
		n.Members = append(n.Members, clone(m.record))
	}
	for _, h := range l.leavingLeastSent(full, limit) {
		d := l.leaving[h]
		d.sent++
		n.Leaving = append(n.Leaving, &rpc.Leaving{
			Host: string(h), Incarnation: uint64(d.incarnation), DeadlineUnixMilli: d.deadline.UnixMilli(),
		})
	}
}

// limit is how often a daemon passes a change on: often enough that it reaches
// all with high probability; the digest catches the rest.
func (l *Tracker) limit() int { return spare + bits.Len(uint(len(l.members)+1)) }

func (l *Tracker) leastSent(full bool, limit int) []*member {
	out := make([]*member, 0, len(l.members))
	for _, m := range l.members {
		if full || m.sent < limit {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.record.Host, b.record.Host))
	})
	if full {
		return out
	}
	return out[:min(len(out), newsMembers)]
}

func (l *Tracker) leavingLeastSent(full bool, limit int) []identifier.Host {
	out := make([]identifier.Host, 0, len(l.leaving))
	for h, d := range l.leaving {
		if full || d.sent < limit {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b identifier.Host) int {
		return cmp.Or(cmp.Compare(l.leaving[a].sent, l.leaving[b].sent), cmp.Compare(a, b))
	})
	if full {
		return out
	}
	return out[:min(len(out), newsLeaving)]
}

// digest sums over all members that are not dead, self included. A sum does
// not depend on the order, and equal ledgers have equal sums.
func (l *Tracker) digest() uint64 {
	sum := hash(l.self)
	for _, m := range l.members {
		if m.record.State != rpc.State_DEAD {
			sum += hash(m.record)
		}
	}
	return sum
}

func hash(m *rpc.Member) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", m.Host, m.Incarnation))
}

// Merge takes in a peer's message and returns the leaving hosts that were not
// known before.
func (l *Tracker) Merge(n *rpc.News, now time.Time) []*rpc.Leaving {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n.Self != nil {
		l.replaceAddress(n.Self)
		l.merge(n.Self, now)
	}
	for _, m := range n.Members {
		l.merge(m, now)
		if n.Full {
			l.settled(m)
		}
	}
	var fresh []*rpc.Leaving
	for _, d := range n.Leaving {
		if l.mark(identifier.Host(d.Host), identifier.Incarnation(d.Incarnation), time.UnixMilli(d.DeadlineUnixMilli), now) {
			fresh = append(fresh, d)
		}
	}
	l.compare(n)
	return fresh
}

// settled stops a record from being passed on: it came in a full message, of
// which every daemon has had one. Without this, each join would set all
// records travelling again.
func (l *Tracker) settled(in *rpc.Member) {
	if m := l.members[identifier.Host(in.Host)]; m != nil && m.record.Incarnation == in.Incarnation {
		m.sent = max(m.sent, l.limit())
	}
}

func (l *Tracker) compare(n *rpc.News) {
	if n.Digest == l.digest() || n.Full {
		l.differs = 0
		return
	}
	l.differs++
}

// replaceAddress retires other hosts at the sender's address: the platform
// gave the address of a lost host to a new one, and calls meant for the old
// host would reach the new.
func (l *Tracker) replaceAddress(sender *rpc.Member) {
	for h, m := range l.members {
		if m.record.PeerAddress == sender.PeerAddress && h != identifier.Host(sender.Host) {
			m.record.State = rpc.State_DEAD
		}
	}
}

func (l *Tracker) merge(in *rpc.Member, now time.Time) {
	if in.Host == "" || in.PeerAddress == "" {
		return
	}
	if in.Host == l.self.Host {
		l.refute(in)
		return
	}
	known := l.members[identifier.Host(in.Host)]
	if known == nil {
		if len(l.members) < maxMembers {
			l.members[identifier.Host(in.Host)] = &member{record: clone(in), since: now}
		}
		return
	}
	if !newer(in, known.record) {
		return
	}
	known.record.Incarnation = in.Incarnation
	known.record.State = in.State
	known.record.PeerAddress = in.PeerAddress
	known.record.AvailabilityZone = in.AvailabilityZone
	known.since = now
	known.sent = 0
}

func newer(in, known *rpc.Member) bool {
	if in.Incarnation != known.Incarnation {
		return in.Incarnation > known.Incarnation
	}
	return in.State > known.State
}

// refute answers news about the daemon itself. Without it, a daemon that was
// paused past the suspicion time would stay dead in all other ledgers, and a
// restarted one with a clock behind would be taken for its earlier life.
func (l *Tracker) refute(in *rpc.Member) {
	if l.self.State == rpc.State_DEAD || in.Incarnation < l.self.Incarnation {
		return
	}
	if in.Incarnation > l.self.Incarnation || in.State != rpc.State_ALIVE {
		l.self.Incarnation = in.Incarnation + 1
	}
}
