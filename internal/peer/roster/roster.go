// Package roster knows which daemons there are, which of them live, and which relay.
//
// # Who lives
//
// A daemon lives if it has answered or called lately, or if a relay says so: each relay
// names the daemons that it hears itself to those of its zone and to the other relays. What
// others name besides is an address to try, and no more, so that no daemon is kept alive by
// hearsay in a circle.
//
// # Who relays
//
// In each availability zone the living daemons relay whose names hash lowest, [perZone] of
// them or as many as make [leastRelays] in the fleet. Everybody picks them by itself; a
// daemon that can't reach one of them picks the next. Whoever says that it relays does.
//
// # Usage
//
//	r := roster.New(roster.Config{Host: "front-1", Zone: "a", Address: "10.1.0.4:82"})
//	r.Answered(digest, address, now)
//	relays := r.Relays("a", now)
package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"

	"github.com/cespare/xxhash/v2"
)

const (
	// perZone is how many daemons of a zone relay: the loss of one is borne without a gap
	// in the news. leastRelays of the fleet do, so that a failure of most leaves some.
	perZone     = 2
	leastRelays = 8
	// mostExtra is how many more are called that say they relay: the holder of the duties,
	// and one whose view differs. When a fleet starts each daemon knows hardly any other,
	// and all say so.
	mostExtra = 2
	// leastFollowers of them follow the store for the others, one of each zone at least. Each
	// call is priced, and each change of an endpoint wakes each of them: with 12 of 24
	// daemons a minute took 2,141 calls, with six 1,316. leastObservers must say that they
	// reach it, or all relays try.
	leastFollowers = 4
	leastObservers = 2
	// LivenessTimeout is how long a daemon counts as living after it was heard, directly or by a
	// relay.
	LivenessTimeout = 3 * time.Second
	// failing is how long a daemon that did not answer is passed over as a relay, if it
	// has not been heard for as long as answered calls are apart.
	failing  = 3 * time.Second
	answerBy = time.Second
	// forget is how long an address is tried in vain.
	forget = 60 * time.Second
	// mostDaemons bounds what is kept.
	mostDaemons = 2048
)

// Rank orders daemons by name, the same everywhere: the lowest go first.
func Rank(host identifier.Host) uint64 { return xxhash.Sum64String(string(host)) }

// Config names this daemon.
type Config struct {
	Host    identifier.Host
	Zone    identifier.AvailabilityZone
	Address string
}

// Daemon is one of the others.
type Daemon struct {
	// Host is empty where only the address is known.
	Host    identifier.Host
	Zone    identifier.AvailabilityZone
	Address string
	// Observing: it follows the store and reaches it. Stopping: it takes no new work.
	// Relaying: it says that it relays.
	Observing, Stopping, Relaying bool
	// AnsweredAt is when it last answered or called, VouchedAt when a relay last said that it
	// lives, AddedAt when it became known.
	AnsweredAt, VouchedAt, AddedAt time.Time
	// voucher is the address of the relay that said so.
	voucher string
	// Lost: it did not answer the last call, made at Failed.
	Lost   bool
	FailedAt time.Time
}

// LastHeard is when it was last heard of.
func (d *Daemon) LastHeard() time.Time {
	if d.VouchedAt.After(d.AnsweredAt) {
		return d.VouchedAt
	}
	return d.AnsweredAt
}

// lives tells whether it was heard of lately.
func (d *Daemon) lives(now time.Time) bool {
	return d.Host != "" && now.Sub(d.LastHeard()) < LivenessTimeout
}

// usable tells whether this daemon may pick it as a relay. One that was named lately and
// has not been called yet may live: when a whole fleet starts, its relays are found by the
// names that the store kept.
func (d *Daemon) usable(now time.Time) bool {
	fresh := d.Host != "" && d.LastHeard().IsZero() && now.Sub(d.AddedAt) < LivenessTimeout
	failed := now.Sub(d.FailedAt) < failing && now.Sub(d.AnsweredAt) > answerBy
	return (d.lives(now) || fresh) && !d.Stopping && !failed
}

// Roster is the list of daemons. It is safe for concurrent use.
type Roster struct {
	c Config

	mu      sync.Mutex
	daemons map[string]*Daemon
	// told is by the teller's address.
	told map[string]told
	// zones are those that daemons were named in.
	zones map[identifier.AvailabilityZone]bool
	// message is what was told last.
	message message
}

// New returns a roster without other daemons.
func New(c Config) *Roster {
	return &Roster{
		c: c, daemons: make(map[string]*Daemon), told: make(map[string]told),
		zones: map[identifier.AvailabilityZone]bool{c.Zone: true},
	}
}

// Add makes an address known.
func (r *Roster) Add(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(address)
}

// AddNamed makes a daemon known that may live.
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
	if d == nil && address != "" && address != r.c.Address && len(r.daemons) < mostDaemons {
		d = &Daemon{Address: address, AddedAt: time.Now()}
		r.daemons[address] = d
	}
	return d
}

// RecordAnswer takes in a digest that came from, or leads to, an address. It reports whether
// the daemon had been lost.
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
	r.zones[d.Zone] = true
	for _, other := range digest.GetPeers() {
		r.add(other)
	}
	r.named(digest, address, now)
	return regained
}

// RecordFailure notes that a daemon did not answer, and returns it if it had before.
func (r *Roster) RecordFailure(address string, now time.Time) (lost Daemon, news bool) {
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

// All returns all daemons, in the order of their addresses; those that have been silent
// for long are forgotten.
func (r *Roster) All(now time.Time) []Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Daemon, 0, len(r.daemons))
	for address, d := range r.daemons {
		last := d.LastHeard()
		if last.IsZero() {
			last = d.AddedAt
		}
		if now.Sub(last) > forget {
			delete(r.daemons, address)
			delete(r.told, address)
			continue
		}
		out = append(out, *d)
	}
	slices.SortFunc(out, func(a, b Daemon) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// LiveDaemons returns the daemons that live.
func (r *Roster) LiveDaemons(now time.Time) []Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Daemon, 0, len(r.daemons))
	for _, d := range r.daemons {
		if d.lives(now) {
			out = append(out, *d)
		}
	}
	return out
}

// Count is the number of daemons that live, this one included.
func (r *Roster) Count(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 1
	for _, d := range r.daemons {
		if d.lives(now) {
			n++
		}
	}
	return n
}

// Zones returns the other zones that daemons were named in.
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
