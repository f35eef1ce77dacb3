package roster

import (
	"maps"
	"slices"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"

	"github.com/cespare/xxhash/v2"
)

// told is the roster that a peer told last, by the hash of each zone's list.
type told map[uint64]zoneList

// zoneList are the addresses of a zone's daemons.
type zoneList struct {
	zone      identifier.AvailabilityZone
	addresses []string
}

// messageAge is how old a list may be that is told: dozens of daemons ask within it.
const messageAge = 100 * time.Millisecond

// message is what was told last of each zone.
type message struct {
	zones    map[identifier.AvailabilityZone]*rpc.ZoneRoster
	relaying bool
	at       time.Time
}

// ZoneRosters names the daemons of some zones that this one has heard lately, or of all if none
// are named. A relay vouches for them; others name all that they know.
func (r *Roster) ZoneRosters(zones []identifier.AvailabilityZone, relaying bool, own *rpc.Member, now time.Time) []*rpc.ZoneRoster {
	r.mu.Lock()
	m := r.message
	r.mu.Unlock()
	if m.zones == nil || m.relaying != relaying || now.Sub(m.at) >= messageAge {
		m = message{zones: r.lists(relaying, own, now), relaying: relaying, at: now}
		r.mu.Lock()
		r.message = m
		r.mu.Unlock()
	}
	if len(zones) == 0 {
		zones = slices.Sorted(maps.Keys(m.zones))
	}
	out := make([]*rpc.ZoneRoster, 0, len(zones))
	for _, zone := range zones {
		if list := m.zones[zone]; list != nil {
			out = append(out, list)
		}
	}
	return out
}

// lists makes the lists of all zones.
func (r *Roster) lists(relaying bool, own *rpc.Member, now time.Time) map[identifier.AvailabilityZone]*rpc.ZoneRoster {
	members := map[identifier.AvailabilityZone][]*rpc.Member{r.c.Zone: {own}}
	for _, d := range r.All(now) {
		switch {
		case d.Host == "":
			continue
		case relaying && d.Zone == r.c.Zone && now.Sub(d.AnsweredAt) >= LivenessTimeout:
			continue
		case relaying && !d.lives(now):
			continue
		}
		members[d.Zone] = append(members[d.Zone], &rpc.Member{
			Host: string(d.Host), PeerAddress: d.Address, Observing: d.Observing, Stopping: d.Stopping, Relaying: d.Relaying,
		})
	}
	out := make(map[identifier.AvailabilityZone]*rpc.ZoneRoster, len(members))
	for zone, list := range members {
		out[zone] = &rpc.ZoneRoster{AvailabilityZone: string(zone), Daemons: list, Hash: hash(zone, list)}
	}
	return out
}

// hash tells lists apart. Their order is that of the addresses.
func hash(zone identifier.AvailabilityZone, members []*rpc.Member) uint64 {
	sum := xxhash.New()
	_, _ = sum.WriteString(string(zone))
	for _, m := range members {
		_, _ = sum.WriteString("/" + m.GetHost() + flags(m) + m.GetPeerAddress())
	}
	return sum.Sum64()
}

// flags are what is told of a daemon, in a hash.
func flags(m *rpc.Member) string {
	out := []byte{'-', '-', '-'}
	for i, set := range []bool{m.GetObserving(), m.GetStopping(), m.GetRelaying()} {
		if set {
			out[i] = '+'
		}
	}
	return string(out)
}

// named takes in the daemons that a digest names, and renews those that the same relay
// named before and still does.
func (r *Roster) named(digest *rpc.Digest, address string, now time.Time) {
	vouched := time.Time{}
	if digest.GetRelaying() {
		vouched = now
	}
	before, next := r.told[address], make(told, len(digest.GetRosterHashes()))
	for _, zone := range digest.GetRoster() {
		next[zone.GetHash()] = r.members(zone, now)
	}
	whole := true
	for _, hash := range digest.GetRosterHashes() {
		list, known := before[hash]
		switch {
		case next[hash].zone != "":
		case known:
			next[hash] = list
		default:
			whole = false
		}
	}
	r.told[address] = next
	if vouched.IsZero() {
		return
	}
	// Relays of one zone would keep those of another alive in each other's eyes, and never
	// call them, long after they had gone: a relay believes a relay for its own zone only.
	teller, first := identifier.AvailabilityZone(digest.GetAvailabilityZone()), r.relaying(now)
	if !whole {
		// A zone whose list changed and changed back while the relay went by what this daemon
		// had before is named by a hash that it has forgotten. Its daemons still live; the
		// list comes with the next swap.
		before = before.of(next)
	}
	// Whom the relay does not name any more it has not heard lately; another may, whose word
	// it does not take back.
	r.vouch(before, time.Time{}, address, teller, first)
	r.vouch(next, vouched, address, teller, first)
}

// of are the lists of those zones that another one has, too.
func (t told) of(other told) told {
	out := make(told, len(t))
	for hash, list := range t {
		for _, o := range other {
			if o.zone == list.zone {
				out[hash] = list
			}
		}
	}
	return out
}

// vouch sets when the daemons of a roster were last said to live by the relay at an address:
// first of those of the teller's zone only. No time takes back what that relay said.
func (r *Roster) vouch(t told, at time.Time, by string, teller identifier.AvailabilityZone, first bool) {
	for _, list := range t {
		if first && list.zone != teller {
			continue
		}
		for _, address := range list.addresses {
			if d := r.daemons[address]; d != nil && (!at.IsZero() || d.voucher == by) {
				d.VouchedAt, d.voucher = at, by
			}
		}
	}
}

// members takes in the daemons of a zone.
func (r *Roster) members(zone *rpc.ZoneRoster, now time.Time) zoneList {
	list := zoneList{zone: identifier.AvailabilityZone(zone.GetAvailabilityZone())}
	for _, m := range zone.GetDaemons() {
		d := r.add(m.GetPeerAddress())
		if d == nil {
			continue
		}
		list.addresses = append(list.addresses, d.Address)
		if now.Sub(d.AnsweredAt) > answerBy {
			// It has not told by itself a moment ago.
			d.Host, d.Zone = identifier.Host(m.GetHost()), identifier.AvailabilityZone(zone.GetAvailabilityZone())
			d.Observing, d.Stopping, d.Relaying = m.GetObserving(), m.GetStopping(), m.GetRelaying()
			r.zones[d.Zone] = true
		}
	}
	return list
}

// KnownHashes are the hashes of what a daemon told.
func (r *Roster) KnownHashes(address string) []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.told[address]))
}
