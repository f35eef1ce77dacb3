package roster

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"
)

func address(host identifier.Host) string { return string(host) + ":82" }

// receiveDigest makes a roster receive a digest from a daemon of a zone.
func receiveDigest(r *Roster, host identifier.Host, zone string, relaying bool) {
	r.RecordAnswer(&rpc.Digest{Host: string(host), AvailabilityZone: zone, Relaying: relaying, Observing: relaying}, address(host), time.Now())
}

// ranked returns n host names, sorted by rank.
func ranked(n int) []identifier.Host {
	var out []identifier.Host
	for i := range n {
		out = append(out, identifier.Host(fmt.Sprint("front-", i)))
	}
	slices.SortFunc(out, func(a, b identifier.Host) int {
		if Rank(a) < Rank(b) {
			return -1
		}
		return 1
	})
	return out
}

// hosts returns the hosts of daemons.
func hosts(daemons []Daemon) (out []identifier.Host) {
	for _, d := range daemons {
		out = append(out, d.Host)
	}
	return out
}

// inFourZones returns the roster of the daemon self in zone a of a fleet of four zones, so that
// each zone has two relays.
func inFourZones(self identifier.Host) *Roster {
	r := New(Config{Host: self, Zone: "a", Address: address(self)})
	for _, zone := range []string{"b", "c", "d"} {
		receiveDigest(r, identifier.Host("other-"+zone), zone, true)
	}
	return r
}

// A relay that ends or can't be reached is replaced by the next daemon by rank, and becomes a
// relay again when it answers. Meanwhile it must be called: both may be relays for parts of the
// zone that do not hear each other.
func TestNextByRankReplacesLostRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := ranked(4)
		r := inFourZones(names[2])
		all := func() {
			for _, i := range []int{0, 1, 3} {
				receiveDigest(r, names[i], "a", i < 2)
			}
		}
		all()
		if got := hosts(r.Relays("a", time.Now())); !slices.Equal(got, names[:2]) || r.IsRelay(time.Now()) {
			t.Fatalf("relays %v, this one is a relay: %v", got, r.IsRelay(time.Now()))
		}
		time.Sleep(2 * time.Second)
		receiveDigest(r, names[1], "a", true)
		r.RecordFailure(address(names[0]), time.Now())
		if got := hosts(r.Relays("a", time.Now())); !slices.Equal(got, names[1:2]) || !r.IsRelay(time.Now()) {
			t.Errorf("without the first: relays %v, this one is a relay: %v", got, r.IsRelay(time.Now()))
		}
		time.Sleep(LivenessTimeout)
		receiveDigest(r, names[1], "a", true)
		if got := hosts(r.DisplacedRelays(time.Now())); !slices.Equal(got, names[:1]) {
			t.Errorf("displaced relays %v", got)
		}
		all()
		if got := hosts(r.Relays("a", time.Now())); !slices.Equal(got, names[:2]) || r.IsRelay(time.Now()) {
			t.Errorf("with the first again: relays %v, this one is a relay: %v", got, r.IsRelay(time.Now()))
		}
	})
}

// One relay of a zone watches the store. If it does not reach the store, the next relay takes
// over. A daemon that is not a relay does not.
func TestRelayThatReachesTheStoreFollowsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := ranked(4)
		r := inFourZones(names[1])
		receiveDigest(r, names[0], "a", true)
		if r.FollowsStore(time.Now()) {
			t.Error("follows the store though the first relay does")
		}
		r.RecordAnswer(&rpc.Digest{Host: string(names[0]), AvailabilityZone: "a", Relaying: true}, address(names[0]), time.Now())
		if !r.FollowsStore(time.Now()) {
			t.Error("does not follow the store though the first relay does not reach it")
		}
		late := inFourZones(names[3])
		for _, i := range []int{0, 1} {
			late.RecordAnswer(&rpc.Digest{Host: string(names[i]), AvailabilityZone: "a", Relaying: true}, address(names[i]), time.Now())
		}
		if late.FollowsStore(time.Now()) {
			t.Error("a daemon that is not a relay follows the store")
		}
	})
}

// A daemon that a relay lists is live; one that another daemon lists is only an address to try.
// A list that has not changed is sent as a hash only and must still count; a daemon that the
// relay drops from its list must not stay live.
func TestDaemonsListedByRelayAreLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := ranked(3)
		relay := New(Config{Host: names[0], Zone: "b", Address: address(names[0])})
		receiveDigest(relay, names[1], "b", false)
		own := &rpc.Member{Host: string(names[0]), PeerAddress: address(names[0])}
		r := inFourZones("front-9")
		sendDigest := func(relaying, full bool) {
			d := &rpc.Digest{Host: string(names[0]), AvailabilityZone: "b", Relaying: relaying}
			for _, zone := range relay.ZoneRosters(nil, relaying, own, time.Now()) {
				d.RosterHashes = append(d.RosterHashes, zone.GetHash())
				if full {
					d.Roster = append(d.Roster, zone)
				}
			}
			r.RecordAnswer(d, address(names[0]), time.Now())
		}
		isLive := func() bool { return slices.Contains(hosts(r.LiveDaemons(time.Now())), names[1]) }
		sendDigest(false, true)
		if isLive() {
			t.Error("live though no relay lists it")
		}
		sendDigest(true, true)
		if !isLive() {
			t.Error("not live though a relay lists it")
		}
		time.Sleep(2 * time.Second)
		receiveDigest(relay, names[1], "b", false)
		sendDigest(true, false)
		time.Sleep(2 * time.Second)
		if !isLive() {
			t.Error("not live though the relay's list has not changed")
		}
		time.Sleep(2 * time.Second)
		sendDigest(true, false)
		if isLive() {
			t.Error("live though the relay's list has changed")
		}
	})
}

// A zone is cut off and comes back with other relays. Two relays of another zone list its former
// daemons to each other, each because the other does. They would stay live for both, and neither
// would call the new relays: what the zone charges stayed unknown, and its clients counted as
// idle.
func TestRelaysDoNotKeepAZoneLiveForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := ranked(2)
		relays := []*Roster{inFourZones(names[0]), inFourZones(names[1])}
		sendDigest := func(from, to int) {
			own := &rpc.Member{Host: string(names[from]), PeerAddress: address(names[from]), Relaying: true}
			d := &rpc.Digest{Host: string(names[from]), AvailabilityZone: "a", Relaying: true, Roster: relays[from].ZoneRosters(nil, true, own, time.Now())}
			for _, zone := range d.Roster {
				d.RosterHashes = append(d.RosterHashes, zone.GetHash())
			}
			relays[to].RecordAnswer(d, address(names[from]), time.Now())
		}
		for range 12 {
			sendDigest(0, 1)
			sendDigest(1, 0)
			time.Sleep(LivenessTimeout / 6)
		}
		for i, r := range relays {
			for _, d := range r.LiveDaemons(time.Now()) {
				if d.Zone != "a" {
					t.Errorf("%s considers %s live, which no daemon has heard for %v", names[i], d.Host, time.Since(d.AnsweredAt))
				}
			}
		}
	})
}

// A relay's list of a zone changes and changes back before the relay learns that this daemon has
// the newer one, so it sends a hash that this daemon has dropped. The daemon considered the whole
// zone dead until the next swap: in a fleet of 195, three or four daemons at a time considered
// four of six zones dead.
func TestZoneWithDroppedHashStaysLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := ranked(4)
		r := inFourZones(names[3])
		for _, relay := range names[:3] {
			receiveDigest(r, relay, "a", true)
		}
		sendDigest := func(hash uint64, observing bool, body bool) {
			d := &rpc.Digest{Host: string(names[0]), AvailabilityZone: "a", Relaying: true, RosterHashes: []uint64{hash}}
			if body {
				d.Roster = []*rpc.ZoneRoster{{AvailabilityZone: "b", Hash: hash, Daemons: []*rpc.Member{
					{Host: "far", PeerAddress: address("far"), Observing: observing},
				}}}
			}
			r.RecordAnswer(d, address(names[0]), time.Now())
		}
		const before, after = 1, 2
		sendDigest(before, false, true)
		sendDigest(after, true, true)
		sendDigest(before, false, false)
		if !slices.Contains(hosts(r.LiveDaemons(time.Now())), "far") {
			t.Error("a daemon that a relay still lists is not live")
		}
		time.Sleep(LivenessTimeout)
		sendDigest(before, false, false)
		if slices.Contains(hosts(r.LiveDaemons(time.Now())), "far") {
			t.Error("a daemon that no relay has listed for LivenessTimeout is still live")
		}
	})
}

// Two relays of the zone list the same daemons, and one of them loses sight of another zone and
// drops its daemons. The receiver considered these dead until the other relay's next digest,
// though that relay had listed them just before.
func TestRelayWithdrawsOnlyItsOwnEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := ranked(4)
		r := inFourZones(names[3])
		for _, relay := range names[:3] {
			receiveDigest(r, relay, "a", true)
		}
		sendDigest := func(relay identifier.Host, names ...string) {
			d := &rpc.Digest{Host: string(relay), AvailabilityZone: "a", Relaying: true}
			for _, name := range names {
				d.RosterHashes = append(d.RosterHashes, 1)
				d.Roster = append(d.Roster, &rpc.ZoneRoster{AvailabilityZone: "b", Hash: 1, Daemons: []*rpc.Member{{Host: name, PeerAddress: name + ":82"}}})
			}
			r.RecordAnswer(d, address(relay), time.Now())
		}
		isLive := func() bool { return slices.Contains(hosts(r.LiveDaemons(time.Now())), "far") }
		sendDigest(names[1], "far")
		sendDigest(names[0], "far")
		sendDigest(names[1])
		if !isLive() {
			t.Error("a daemon that one relay lists is not live, as the other one dropped it")
		}
		sendDigest(names[0])
		if isLive() {
			t.Error("a daemon that no relay lists any more is live")
		}
	})
}

// receiveCapacity makes a roster receive a digest from a daemon of zone a whose host has a capacity.
func receiveCapacity(r *Roster, host identifier.Host, c Capacity) {
	r.RecordAnswer(&rpc.Digest{Host: string(host), AvailabilityZone: "a", Capacity: uint32(c)}, address(host), time.Now())
}

// Guards against relays on the narrow links of small hosts while large ones are live, and against a
// zone without relays once the large ones have ended.
func TestRelaysAreOnLargeHosts(t *testing.T) {
	const small, large = Capacity(5), Capacity(10)
	synctest.Test(t, func(t *testing.T) {
		names := ranked(6)
		capacity := func(i int) Capacity {
			if i >= 4 {
				return large
			}
			return small
		}
		r := inFourZones(names[0])
		r.c.Capacity = small
		for i := 1; i < len(names); i++ {
			receiveCapacity(r, names[i], capacity(i))
		}
		if got := hosts(r.Relays("a", time.Now())); !slices.Equal(got, names[4:]) || r.IsRelay(time.Now()) {
			t.Errorf("relays %v, want %v; a small host is a relay: %t", got, names[4:], r.IsRelay(time.Now()))
		}
		time.Sleep(LivenessTimeout)
		for i := 1; i < 4; i++ {
			receiveCapacity(r, names[i], small)
		}
		if got := hosts(r.Relays("a", time.Now())); !slices.Equal(got, names[1:2]) || !r.IsRelay(time.Now()) {
			t.Errorf("relays %v without the large hosts, want %v; the next small host is a relay: %t", got, names[1:2], r.IsRelay(time.Now()))
		}
	})
}

// Guards against daemons of an older version without a relay: they go by the ranks alone.
func TestOlderDaemonsHaveRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := ranked(6)
		r := inFourZones(names[0])
		r.c.Capacity = 5
		for _, host := range names[1:5] {
			receiveCapacity(r, host, 10)
		}
		if r.IsRelay(time.Now()) {
			t.Error("the first by rank is a relay, though all are of this version and others have a higher capacity")
		}
		receiveCapacity(r, names[5], 0)
		if !r.IsRelay(time.Now()) {
			t.Error("the first by rank is no relay for the daemons of an older version")
		}
	})
}

func TestCapacityOf(t *testing.T) {
	for mbit, want := range map[float64]Capacity{0: 1, 1: 1, 10: 4, 20: 5, 23: 5, 26: 5, 200: 8, 1000: 10, -5: 1, 1e30: 30} {
		if got := CapacityOf(mbit * 125e3); got != want {
			t.Errorf("%v Mbit/s: %d, want %d", mbit, got, want)
		}
	}
}
