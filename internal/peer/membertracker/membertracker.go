// Package membertracker keeps the membership of the entry daemons, as it is gossiped.
//
// Each daemon has a [Tracker] and swaps a message ([rpc.News]) with one peer per period. A message
// holds the sender, the few changes that it has sent least often, and a digest of all members.
// Only changes are sent, so the bytes of a fleet without changes do not grow with its size. When
// digests still differ after some rounds, a full exchange is requested.
//
// Records are merged as in a semilattice: of two records of one host the higher incarnation
// wins, and within one incarnation dead wins over suspect and suspect over alive. So merging in
// any order, twice or late, gives the same result everywhere. A daemon that finds itself suspect
// or dead raises its own incarnation. So a daemon that resumes after a pause, or a restarted one
// whose clock is behind, counts as alive again, and a stale record of it does not change that.
//
// A host of endpoints that is leaving is recorded with its incarnation. The recorded incarnation
// only rises, so a delayed message can't make a leaving host count as staying.
//
// # Usage
//
//	t := membertracker.New(membertracker.Config{Self: self})
//	out := t.NextMessage()
//	t.Merge(in, time.Now())
//
// The tracker performs no I/O and reads no clock: callers pass the time.
package membertracker

import (
	"cmp"
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxMessageMembers and maxMessageLeaving bound a message that is not full.
	maxMessageMembers = 6
	maxMessageLeaving = 16
	// extraSends is added to the logarithm of the number of members in sendLimit.
	extraSends = 2
	// maxMembers and maxLeaving bound the records taken over from peers.
	maxMembers = 1024
	maxLeaving = 8192
	// suspicionTimeout is how long a suspect may refute the suspicion before it counts as dead.
	suspicionTimeout = 5 * time.Second
	// deadRetention is how long the record of a dead member is kept, so that a delayed
	// message about its last incarnation does not revive it.
	deadRetention = 10 * time.Minute
	// leavingRetention is longer than any platform outage in which the host list would still
	// show a leaving host as live.
	leavingRetention = 2 * time.Hour
	// maxDifferingDigests is the number of messages in a row with a differing digest after which
	// a full exchange is requested.
	maxDifferingDigests = 5
)

// Config holds the daemon's own record.
type Config struct {
	Self *rpc.Member
}

// member is the record of another daemon, with the time of its last change and how often it was
// sent since.
type member struct {
	record *rpc.Member
	since  time.Time
	sent   int
}

// departure is the record of a leaving host.
type departure struct {
	incarnation identifier.Incarnation
	deadline    time.Time
	since       time.Time
	sent        int
}

// Tracker keeps the records. It is safe for concurrent use.
type Tracker struct {
	mu               sync.Mutex
	self             *rpc.Member
	members          map[identifier.Host]*member
	leaving          map[identifier.Host]*departure
	differingDigests int
}

// New returns a tracker with only its own daemon.
func New(c Config) *Tracker {
	return &Tracker{self: clone(c.Self), members: make(map[identifier.Host]*member), leaving: make(map[identifier.Host]*departure)}
}

// Self returns a copy of the daemon's own record.
func (t *Tracker) Self() *rpc.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.copySelf()
}

func (t *Tracker) copySelf() *rpc.Member { return clone(t.self) }

func clone(m *rpc.Member) *rpc.Member {
	return &rpc.Member{
		Host: m.Host, AvailabilityZone: m.AvailabilityZone, PeerAddress: m.PeerAddress,
		Incarnation: m.Incarnation, State: m.State,
	}
}

// Members returns copies of the records of the other members, dead ones included, sorted by
// host.
func (t *Tracker) Members() []*rpc.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*rpc.Member, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, clone(m.record))
	}
	slices.SortFunc(out, func(a, b *rpc.Member) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// Alive returns the records of the other members that are alive or suspect, sorted by host.
func (t *Tracker) Alive() []*rpc.Member {
	return slices.DeleteFunc(t.Members(), func(m *rpc.Member) bool { return m.State == rpc.State_DEAD })
}

// Count returns the number of daemons that are not dead, this one included.
func (t *Tracker) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 1
	for _, m := range t.members {
		if m.record.State != rpc.State_DEAD {
			n++
		}
	}
	return n
}

// AliveInZone returns the number of daemons of a zone that are not dead, this one included.
func (t *Tracker) AliveInZone(zone identifier.AvailabilityZone) int {
	n := 0
	for _, m := range t.Alive() {
		if m.AvailabilityZone == string(zone) {
			n++
		}
	}
	if t.Self().AvailabilityZone == string(zone) {
		n++
	}
	return n
}

// Leaving returns the deadline of a leaving host. ok is false if this incarnation of the host is
// not known to leave.
func (t *Tracker) Leaving(h identifier.Host, i identifier.Incarnation) (deadline time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.leaving[h]
	if d == nil || d.incarnation < i {
		return time.Time{}, false
	}
	return d.deadline, true
}

// MarkLeaving records that an incarnation of a host is leaving by a deadline. It reports whether
// that was not known before.
func (t *Tracker) MarkLeaving(h identifier.Host, i identifier.Incarnation, deadline, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addLeaving(h, i, deadline, now)
}

func (t *Tracker) addLeaving(h identifier.Host, i identifier.Incarnation, deadline, now time.Time) bool {
	d := t.leaving[h]
	if d != nil && d.incarnation >= i {
		return false
	}
	if d == nil && len(t.leaving) >= maxLeaving {
		t.dropOldestLeaving()
	}
	t.leaving[h] = &departure{incarnation: i, deadline: deadline, since: now}
	return true
}

// dropOldestLeaving drops the quarter of the departures that were recorded first. Their hosts have
// ended long ago, and a new departure that was not recorded would get requests. The caller holds the
// lock.
func (t *Tracker) dropOldestLeaving() {
	hosts := slices.SortedFunc(maps.Keys(t.leaving), func(a, b identifier.Host) int {
		return t.leaving[a].since.Compare(t.leaving[b].since)
	})
	for _, h := range hosts[:len(hosts)/4] {
		delete(t.leaving, h)
	}
}

// MarkUnreachable makes a live member that did not answer a suspect.
func (t *Tracker) MarkUnreachable(h identifier.Host, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[h]
	if m == nil || m.record.State != rpc.State_ALIVE {
		return
	}
	m.record.State = rpc.State_SUSPECT
	m.since = now
	m.sent = 0
}

// Tick makes suspects dead that did not refute in time, and drops records that are older than
// their retention.
func (t *Tracker) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for h, m := range t.members {
		switch age := now.Sub(m.since); {
		case m.record.State == rpc.State_SUSPECT && age > suspicionTimeout:
			m.record.State = rpc.State_DEAD
			m.since = now
			m.sent = 0
		case m.record.State == rpc.State_DEAD && age > deadRetention:
			delete(t.members, h)
		}
	}
	for h, d := range t.leaving {
		if now.Sub(d.since) > leavingRetention {
			delete(t.leaving, h)
		}
	}
}

// Leave marks the daemon itself as dead, for its last messages.
func (t *Tracker) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = rpc.State_DEAD
}

// NextMessage returns the message for one exchange. If digests kept differing or no member is
// known, it is a full message, which asks the peer for a full answer.
func (t *Tracker) NextMessage() *rpc.News {
	t.mu.Lock()
	defer t.mu.Unlock()
	full := t.differingDigests >= maxDifferingDigests || len(t.members) == 0
	n := &rpc.News{Self: t.copySelf(), Digest: t.digest(), Full: full}
	t.addRecords(n, full)
	return n
}

// FullMessage returns a message with all records, as the answer to a full one.
func (t *Tracker) FullMessage() *rpc.News {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := &rpc.News{Self: t.copySelf(), Digest: t.digest(), Full: true}
	t.addRecords(n, true)
	return n
}

// addRecords adds the records to a message that were sent least often, or all of them to a full
// one.
func (t *Tracker) addRecords(n *rpc.News, full bool) {
	limit := t.sendLimit()
	for _, m := range t.leastSent(full, limit) {
		m.sent++
		n.Members = append(n.Members, clone(m.record))
	}
	for _, h := range t.leavingLeastSent(full, limit) {
		d := t.leaving[h]
		d.sent++
		n.Leaving = append(n.Leaving, &rpc.Leaving{
			Host: string(h), Incarnation: uint64(d.incarnation), DeadlineUnixMilli: d.deadline.UnixMilli(),
		})
	}
}

// sendLimit is how often a daemon sends a change: often enough that it reaches all daemons with
// high probability. Differing digests reveal the rest.
func (t *Tracker) sendLimit() int { return extraSends + bits.Len(uint(len(t.members)+1)) }

// leastSent returns the members that were sent least often.
func (t *Tracker) leastSent(full bool, limit int) []*member {
	out := make([]*member, 0, len(t.members))
	for _, m := range t.members {
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
	return out[:min(len(out), maxMessageMembers)]
}

// leavingLeastSent returns the leaving hosts that were sent least often.
func (t *Tracker) leavingLeastSent(full bool, limit int) []identifier.Host {
	out := make([]identifier.Host, 0, len(t.leaving))
	for h, d := range t.leaving {
		if full || d.sent < limit {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b identifier.Host) int {
		return cmp.Or(cmp.Compare(t.leaving[a].sent, t.leaving[b].sent), cmp.Compare(a, b))
	})
	if full {
		return out
	}
	return out[:min(len(out), maxMessageLeaving)]
}

// digest returns a sum over all members that are not dead, this daemon included. It does not
// depend on their order, and trackers with the same members have the same digest.
func (t *Tracker) digest() uint64 {
	sum := hash(t.self)
	for _, m := range t.members {
		if m.record.State != rpc.State_DEAD {
			sum += hash(m.record)
		}
	}
	return sum
}

func hash(m *rpc.Member) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", m.Host, m.Incarnation))
}

// Merge merges a peer's message and returns the leaving hosts that were not known before.
func (t *Tracker) Merge(n *rpc.News, now time.Time) []*rpc.Leaving {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n.Self != nil {
		t.retireAddress(n.Self)
		t.merge(n.Self, now)
	}
	for _, m := range n.Members {
		t.merge(m, now)
		if n.Full {
			t.stopSending(m)
		}
	}
	var fresh []*rpc.Leaving
	for _, d := range n.Leaving {
		if t.addLeaving(identifier.Host(d.Host), identifier.Incarnation(d.Incarnation), time.UnixMilli(d.DeadlineUnixMilli), now) {
			fresh = append(fresh, d)
		}
	}
	t.compareDigest(n)
	return fresh
}

// stopSending stops a record from being sent: it came in a full message, and every daemon has
// received one. Otherwise each join would make all records be sent again.
func (t *Tracker) stopSending(in *rpc.Member) {
	if m := t.members[identifier.Host(in.Host)]; m != nil && m.record.Incarnation == in.Incarnation {
		m.sent = max(m.sent, t.sendLimit())
	}
}

// compareDigest counts the messages in a row whose digest differs from this daemon's.
func (t *Tracker) compareDigest(n *rpc.News) {
	if n.Digest == t.digest() || n.Full {
		t.differingDigests = 0
		return
	}
	t.differingDigests++
}

// retireAddress marks other hosts at the sender's address as dead: the platform gave the address
// of a lost host to a new one, and calls meant for the old host would reach the new one.
func (t *Tracker) retireAddress(sender *rpc.Member) {
	for h, m := range t.members {
		if m.record.PeerAddress == sender.PeerAddress && h != identifier.Host(sender.Host) {
			m.record.State = rpc.State_DEAD
		}
	}
}

// merge merges one record.
func (t *Tracker) merge(in *rpc.Member, now time.Time) {
	if in.Host == "" || in.PeerAddress == "" {
		return
	}
	if in.Host == t.self.Host {
		t.refute(in)
		return
	}
	known := t.members[identifier.Host(in.Host)]
	if known == nil {
		if len(t.members) < maxMembers {
			t.members[identifier.Host(in.Host)] = &member{record: clone(in), since: now}
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

// newer reports whether a record replaces a known one.
func newer(in, known *rpc.Member) bool {
	if in.Incarnation != known.Incarnation {
		return in.Incarnation > known.Incarnation
	}
	return in.State > known.State
}

// refute answers a record about the daemon itself by raising its incarnation. Otherwise a daemon
// that was paused for longer than the suspicion timeout would stay dead for all others, and a
// restarted one whose clock is behind would be mistaken for its former process.
func (t *Tracker) refute(in *rpc.Member) {
	if t.self.State == rpc.State_DEAD || in.Incarnation < t.self.Incarnation {
		return
	}
	if in.Incarnation > t.self.Incarnation || in.State != rpc.State_ALIVE {
		t.self.Incarnation = in.Incarnation + 1
	}
}
