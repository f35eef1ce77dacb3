package roster

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"

	"github.com/cespare/xxhash/v2"
)

// receivedRoster holds the lists of daemons that a peer has sent, by their hash.
type receivedRoster map[uint64]zoneList

// zoneList holds the peer addresses of a zone's daemons.
type zoneList struct {
	zone      identifier.AvailabilityZone
	addresses []string
}

// maxCacheAge is how long built rosters are reused: dozens of peers ask for them within it.
const maxCacheAge = 100 * time.Millisecond

// cachedRosters holds the rosters of all zones as they were built last.
type cachedRosters struct {
	zones    map[identifier.AvailabilityZone]*rpc.ZoneRoster
	relaying bool
	builtAt  time.Time
}

// ZoneRosters returns the rosters of the given zones, or of all zones if none is given. With
// relaying set they hold only daemons that this daemon knows to be live, of its own zone only
// those that it has heard itself, so receivers consider them live. Without it they hold all
// known daemons. own is this daemon's entry. Rosters may be up to 100 ms old.
func (r *Roster) ZoneRosters(zones []identifier.AvailabilityZone, relaying bool, own *rpc.Member, now time.Time) []*rpc.ZoneRoster {
	r.mu.Lock()
	m := r.cached
	r.mu.Unlock()
	if m.zones == nil || m.relaying != relaying || now.Sub(m.builtAt) >= maxCacheAge {
		m = cachedRosters{zones: r.buildRosters(relaying, own, now), relaying: relaying, builtAt: now}
		r.mu.Lock()
		r.cached = m
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

// buildRosters builds the rosters of all zones. It reuses those that have not changed since they were
// built last: rosters are built several times a second, and seldom change.
func (r *Roster) buildRosters(relaying bool, own *rpc.Member, now time.Time) map[identifier.AvailabilityZone]*rpc.ZoneRoster {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	zones := map[identifier.AvailabilityZone][]*Daemon{r.c.Zone: {{
		Host: identifier.Host(own.GetHost()), Address: own.GetPeerAddress(), Observing: own.GetObserving(), Stopping: own.GetStopping(),
		Relaying: own.GetRelaying(), Capacity: Capacity(own.GetCapacity()), Schedules: own.GetSchedules(),
	}}}
	for _, d := range r.daemons {
		switch {
		case d.Host == "":
			continue
		case relaying && d.Zone == r.c.Zone && now.Sub(d.AnsweredAt) >= LivenessTimeout:
			continue
		case relaying && !d.isLive(now):
			continue
		}
		zones[d.Zone] = append(zones[d.Zone], d)
	}
	out := make(map[identifier.AvailabilityZone]*rpc.ZoneRoster, len(zones))
	for zone, list := range zones {
		slices.SortFunc(list, func(a, b *Daemon) int { return cmp.Compare(a.Address, b.Address) })
		out[zone] = r.cached.zones[zone]
		if sum := hash(zone, list); out[zone].GetHash() != sum {
			out[zone] = &rpc.ZoneRoster{AvailabilityZone: string(zone), Daemons: encodeMembers(list), Hash: sum}
		}
	}
	return out
}

func encodeMembers(list []*Daemon) []*rpc.Member {
	out := make([]*rpc.Member, len(list))
	for i, d := range list {
		out[i] = &rpc.Member{
			Host: string(d.Host), PeerAddress: d.Address, Observing: d.Observing, Stopping: d.Stopping, Relaying: d.Relaying,
			Capacity: uint32(d.Capacity), Schedules: d.Schedules,
		}
	}
	return out
}

// hash returns a hash of a zone's daemons, which are sorted by address.
func hash(zone identifier.AvailabilityZone, list []*Daemon) uint64 {
	sum := xxhash.New()
	write := func(text string) { _, _ = sum.WriteString(text) }
	write(string(zone))
	for _, d := range list {
		write("/")
		write(string(d.Host))
		for _, set := range [...]bool{d.Observing, d.Stopping, d.Relaying} {
			if set {
				write("+")
			} else {
				write("-")
			}
		}
		write(strconv.Itoa(int(d.Capacity)))
		if d.Schedules {
			write("s")
		}
		write(d.Address)
	}
	return sum.Sum64()
}

// mergeRosters adds the daemons that a digest lists. If a relay sent it, it also renews
// VouchedAt of those daemons, including daemons of lists that the digest names only by the hash
// of an earlier list.
func (r *Roster) mergeRosters(digest *rpc.Digest, address string, now time.Time) {
	vouched := time.Time{}
	if digest.GetRelaying() {
		vouched = now
	}
	previous, next := r.received[address], make(receivedRoster, len(digest.GetRosterHashes()))
	for _, zone := range digest.GetRoster() {
		next[zone.GetHash()] = r.addMembers(zone, now)
	}
	allKnown := true
	for _, hash := range digest.GetRosterHashes() {
		list, known := previous[hash]
		switch {
		case next[hash].zone != "":
		case known:
			next[hash] = list
		default:
			allKnown = false
		}
	}
	r.received[address] = next
	if vouched.IsZero() {
		return
	}
	// A relay trusts another relay only about the other relay's own zone. Otherwise two relays
	// of one zone would keep the daemons of another zone live for each other and never call
	// them, long after these had ended.
	senderZone, senderZoneOnly := identifier.AvailabilityZone(digest.GetAvailabilityZone()), r.isRelay(now)
	if !allKnown {
		// The list of a zone may have changed and changed back before the relay learned that
		// this daemon has the newer one. The relay then sends a hash that this daemon has
		// dropped. The daemons of that zone are still live, and the full list comes with the
		// next swap.
		previous = previous.inZonesOf(next)
	}
	// Daemons that this relay no longer lists have not been heard by it lately. What another
	// relay reported about them stays.
	r.setVouched(previous, time.Time{}, address, senderZone, senderZoneOnly)
	r.setVouched(next, vouched, address, senderZone, senderZoneOnly)
}

// inZonesOf returns the lists of zones that other has a list of, too.
func (r receivedRoster) inZonesOf(other receivedRoster) receivedRoster {
	out := make(receivedRoster, len(r))
	for hash, list := range r {
		for _, o := range other {
			if o.zone == list.zone {
				out[hash] = list
			}
		}
	}
	return out
}

// setVouched sets when the relay at the address by last listed the daemons of a roster as live,
// with senderZoneOnly just for daemons of senderZone. A zero time withdraws only what that
// same relay reported.
func (r *Roster) setVouched(lists receivedRoster, at time.Time, by string, senderZone identifier.AvailabilityZone, senderZoneOnly bool) {
	for _, list := range lists {
		if senderZoneOnly && list.zone != senderZone {
			continue
		}
		for _, address := range list.addresses {
			if d := r.daemons[address]; d != nil && (!at.IsZero() || d.vouchedBy == by) {
				d.VouchedAt, d.vouchedBy = at, by
			}
		}
	}
}

// addMembers adds the daemons of a zone and returns their addresses.
func (r *Roster) addMembers(zone *rpc.ZoneRoster, now time.Time) zoneList {
	list := zoneList{zone: identifier.AvailabilityZone(zone.GetAvailabilityZone())}
	for _, m := range zone.GetDaemons() {
		d := r.add(m.GetPeerAddress())
		if d == nil {
			continue
		}
		list.addresses = append(list.addresses, d.Address)
		if now.Sub(d.AnsweredAt) > answerInterval {
			// The daemon has not sent its own, newer digest in the last second.
			d.Host, d.Zone = identifier.Host(m.GetHost()), identifier.AvailabilityZone(zone.GetAvailabilityZone())
			d.Observing, d.Stopping, d.Relaying = m.GetObserving(), m.GetStopping(), m.GetRelaying()
			if m.GetCapacity() > 0 {
				// A relay of an older version doesn't state the capacities that it was told.
				d.Capacity = Capacity(m.GetCapacity())
			}
			if m.GetSchedules() {
				// Nor does it state which daemons coordinate endpoints.
				d.Schedules = true
			}
			r.zones[d.Zone] = true
		}
	}
	return list
}

// KnownHashes returns the sorted hashes of the lists last received from the peer at an address.
func (r *Roster) KnownHashes(address string) []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.received[address]))
}
