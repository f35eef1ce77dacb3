// Package roster keeps the daemons of the fleet: their zones and addresses, which of them are
// live, and which are relays.
//
// A daemon is live if it has answered or called lately, or if a relay lists it. Each relay lists
// the daemons that it hears itself to the daemons of its zone and to the other relays. Any other
// daemon's list only adds addresses to try, so that daemons can't keep an ended one live by
// repeating it to each other.
//
// In each availability zone some live daemons are relays: [minRelaysPerZone] of them, or as many
// as make [minRelays] in the fleet. Those on the hosts with the highest capacity come first, as a
// relay sends its zone many times what another daemon sends; among hosts alike those whose names
// hash lowest. Each daemon determines them by itself, and replaces a relay that it can't reach with
// the next one. A daemon whose digest states that it is a relay is used as one.
//
// Daemons of an older version state no capacity and go by the hashes alone. So that these have
// relays as well, the first ones by hash also relay while such a daemon is live in their zone.
//
// # Usage
//
//	r := roster.New(roster.Config{Host: "front-1", Zone: "a", Address: "10.1.0.4:82"})
//	r.RecordAnswer(digest, address, now)
//	relays := r.Relays("a", now)
package roster

import (
	"cmp"
	"math/bits"
	"slices"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"

	"github.com/cespare/xxhash/v2"
)

const (
	// minRelaysPerZone lets a zone lose one relay without a gap in the updates. minRelays in the
	// fleet leaves some after most have failed.
	minRelaysPerZone = 2
	minRelays        = 8
	// maxExtraRelays bounds the daemons that are called as relays besides those chosen by rank
	// because their digests state that they are: the holder of the duties lease, and one whose view
	// of the fleet differs. Without a bound, a daemon of a starting fleet would call all others, as
	// each knows hardly any other and considers itself a relay.
	maxExtraRelays = 2
	// minFollowers is how many relays watch the store for the others, at least one in each zone.
	// Each call to the store is priced, and each change of an endpoint costs each follower a
	// call: with 12 followers among 24 daemons a minute took 2,141 calls, with six 1,316. If
	// fewer than minObservers report that they reach the store, all relays try.
	minFollowers = 4
	minObservers = 2
	// LivenessTimeout is how long a daemon counts as live after it was heard directly or a relay
	// listed it.
	LivenessTimeout = 3 * time.Second
	// failureMemory is how long a daemon is not used as a relay after a failed call, unless it
	// has answered within answerInterval, the time between answered calls.
	failureMemory  = 3 * time.Second
	answerInterval = time.Second
	// forgetAfter is how long an address is kept and tried without an answer.
	forgetAfter = 60 * time.Second
	// maxDaemons bounds the daemons that are kept.
	maxDaemons = 2048
)

// Rank returns a hash of a host's name that orders daemons in the same way everywhere. Of hosts of
// equal capacity the lowest ranks are relays.
func Rank(host identifier.Host) uint64 { return xxhash.Sum64String(string(host)) }

// Capacity says what a host can carry: the binary logarithm of its link in Mbit/s, at least 1, so
// that hosts of nearly the same kind are alike. 0 is unknown.
type Capacity uint32

// CapacityOf returns the capacity of a host with a link of so many bytes a second.
func CapacityOf(linkBytesPerSecond float64) Capacity {
	const bytesPerMbit = 1e6 / 8
	return Capacity(max(bits.Len(uint(min(max(linkBytesPerSecond/bytesPerMbit, 0), 1e9))), 1))
}

// Config identifies this daemon.
type Config struct {
	Host    identifier.Host
	Zone    identifier.AvailabilityZone
	Address string
	// Capacity is what this daemon's host can carry.
	Capacity Capacity
}

// Daemon is another daemon of the fleet.
type Daemon struct {
	// Host is empty where only the address is known.
	Host    identifier.Host
	Zone    identifier.AvailabilityZone
	Address string
	// Capacity is what the daemon's host can carry.
	Capacity Capacity
	// Observing means that the daemon watches the store and reaches it, Stopping that it takes
	// no new work, Relaying that it states that it is a relay.
	Observing, Stopping, Relaying bool
	// Schedules means that the daemon coordinates endpoints.
	Schedules bool
	// AnsweredAt is when the daemon last answered or called, VouchedAt when a relay last
	// listed it as live, AddedAt when it became known.
	AnsweredAt, VouchedAt, AddedAt time.Time
	// vouchedBy is the address of the relay that set VouchedAt.
	vouchedBy string
	// Lost means that the last call to the daemon, made at FailedAt, failed.
	Lost     bool
	FailedAt time.Time
}

// LastHeard returns when the daemon last answered, called or was listed by a relay.
func (d *Daemon) LastHeard() time.Time {
	if d.VouchedAt.After(d.AnsweredAt) {
		return d.VouchedAt
	}
	return d.AnsweredAt
}

// isLive reports whether the daemon was heard within LivenessTimeout.
func (d *Daemon) isLive(now time.Time) bool {
	return d.Host != "" && now.Sub(d.LastHeard()) < LivenessTimeout
}

// usableAsRelay reports whether this daemon may choose d as a relay. A daemon that became known
// lately and has not been called yet may be live: when a whole fleet starts, its relays are
// found by the names in the store.
func (d *Daemon) usableAsRelay(now time.Time) bool {
	fresh := d.Host != "" && d.LastHeard().IsZero() && now.Sub(d.AddedAt) < LivenessTimeout
	failed := now.Sub(d.FailedAt) < failureMemory && now.Sub(d.AnsweredAt) > answerInterval
	return (d.isLive(now) || fresh) && !d.Stopping && !failed
}

// Roster keeps the daemons of the fleet. It is safe for concurrent use.
type Roster struct {
	c Config

	mu      sync.Mutex
	daemons map[string]*Daemon
	// received holds the rosters that daemons have sent, by the sender's address.
	received map[string]receivedRoster
	// zones are the zones of all daemons seen so far, and this daemon's own.
	zones map[identifier.AvailabilityZone]bool
	// cached holds the rosters that were built last.
	cached cachedRosters
}

// New returns a roster without other daemons.
func New(c Config) *Roster {
	return &Roster{
		c: c, daemons: make(map[string]*Daemon), received: make(map[string]receivedRoster),
		zones: map[identifier.AvailabilityZone]bool{c.Zone: true},
	}
}

// Add adds a daemon of which only the address is known.
func (r *Roster) Add(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(address)
}

// AddNamed adds a daemon that may be live, such as one with an entry in the store.
func (r *Roster) AddNamed(host identifier.Host, zone identifier.AvailabilityZone, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := r.add(address); d != nil && d.Host == "" {
		d.Host, d.Zone = host, zone
		r.zones[zone] = true
	}
}

func (r *Roster) add(address string) *Daemon {
	d := r.daemons[address]
	if d == nil && address != "" && address != r.c.Address && len(r.daemons) < maxDaemons {
		d = &Daemon{Address: address, AddedAt: time.Now()}
		r.daemons[address] = d
	}
	return d
}

// RecordAnswer merges the digest of the daemon at an address, which has called or answered. It
// reports whether the daemon had been lost.
func (r *Roster) RecordAnswer(digest *rpc.Digest, address string, now time.Time) (regained bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.add(address)
	if d == nil {
		return false
	}
	regained, d.Lost = d.Lost, false
	d.Host, d.Zone, d.AnsweredAt = identifier.Host(digest.GetHost()), identifier.AvailabilityZone(digest.GetAvailabilityZone()), now
	d.Observing, d.Stopping, d.Relaying = digest.GetObserving(), digest.GetStopping(), digest.GetRelaying()
	d.Capacity, d.Schedules = Capacity(digest.GetCapacity()), digest.GetSchedules()
	r.zones[d.Zone] = true
	for _, other := range digest.GetPeers() {
		r.add(other)
	}
	r.mergeRosters(digest, address, now)
	return regained
}

// RecordFailure records that a call to a daemon failed. It returns the daemon, and true, if it
// had answered before and was not yet lost.
func (r *Roster) RecordFailure(address string, now time.Time) (lost Daemon, newlyLost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.daemons[address]
	if d == nil {
		return Daemon{}, false
	}
	d.FailedAt = now
	if d.Lost || d.AnsweredAt.IsZero() {
		return Daemon{}, false
	}
	d.Lost = true
	return *d, true
}

// All returns all daemons, sorted by address. It first drops those that have not been heard for
// a minute.
func (r *Roster) All(now time.Time) []Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	out := make([]Daemon, 0, len(r.daemons))
	for _, d := range r.daemons {
		out = append(out, *d)
	}
	slices.SortFunc(out, func(a, b Daemon) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// forget drops the daemons that have not been heard for a minute. The caller holds the lock.
func (r *Roster) forget(now time.Time) {
	for address, d := range r.daemons {
		last := d.LastHeard()
		if last.IsZero() {
			last = d.AddedAt
		}
		if now.Sub(last) > forgetAfter {
			delete(r.daemons, address)
			delete(r.received, address)
		}
	}
}

// LiveDaemons returns the live daemons, in no order.
func (r *Roster) LiveDaemons(now time.Time) []Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Daemon, 0, len(r.daemons))
	for _, d := range r.daemons {
		if d.isLive(now) {
			out = append(out, *d)
		}
	}
	return out
}

// Count returns the number of live daemons, this one included.
func (r *Roster) Count(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 1
	for _, d := range r.daemons {
		if d.isLive(now) {
			n++
		}
	}
	return n
}

// Zones returns the other zones that daemons were seen in, sorted.
func (r *Roster) Zones() []identifier.AvailabilityZone {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]identifier.AvailabilityZone, 0, len(r.zones))
	for zone := range r.zones {
		if zone != r.c.Zone {
			out = append(out, zone)
		}
	}
	slices.Sort(out)
	return out
}
