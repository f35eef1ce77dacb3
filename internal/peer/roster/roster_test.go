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

// hear makes a roster hear a daemon of a zone.
func hear(r *Roster, host identifier.Host, zone string, relaying bool) {
	r.RecordAnswer(&rpc.Digest{Host: string(host), AvailabilityZone: zone, Relaying: relaying, Observing: relaying}, address(host), time.Now())
}

// ranked are names, first by rank.
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

func hosts(daemons []Daemon) (out []identifier.Host) {
	for _, d := range daemons {
		out = append(out, d.Host)
	}
	return out
}

// inFourZones returns the roster of a daemon of zone a, whose daemons are named first by rank,
// in a fleet of four zones: two daemons of each relay.
func inFourZones(self identifier.Host) *Roster {
	r := New(Config{Host: self, Zone: "a", Address: address(self)})
	for _, zone := range []string{"b", "c", "d"} {
		hear(r, identifier.Host("other-"+zone), zone, true)
	}
	return r
}

// A relay ends or can't be reached: the next one by name takes its place, and it takes it
// back when it answers again. In between it is tried, as both may relay for a part of the
// zone without knowing of each other.
func TestTheNextByNameRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := ranked(4)
		r := inFourZones(names[2])
		all := func() {
			for _, i := range []int{0, 1, 3} {
				hear(r, names[i], "a", i < 2)
			}
		}
		all()
		if got := hosts(r.Relays("a", time.Now())); !slices.Equal(got, names[:2]) || r.IsRelay(time.Now()) {
			t.Fatalf("relays %v, this one relays %v", got, r.IsRelay(time.Now()))
		}
		time.Sleep(2 * time.Second)
		hear(r, names[1], "a", true)
		r.RecordFailure(address(names[0]), time.Now())
		if got := hosts(r.Relays("a", time.Now())); !slices.Equal(got, names[1:2]) || !r.IsRelay(time.Now()) {
			t.Errorf("without the first: relays %v, this one relays %v", got, r.IsRelay(time.Now()))
		}
		time.Sleep(LivenessTimeout)
		hear(r, names[1], "a", true)
		if got := hosts(r.DisplacedRelays(time.Now())); !slices.Equal(got, names[:1]) {
			t.Errorf("displaced are %v", got)
		}
		all()
		if got := hosts(r.Relays("a", time.Now())); !slices.Equal(got, names[:2]) || r.IsRelay(time.Now()) {
			t.Errorf("with the first again: relays %v, this one relays %v", got, r.IsRelay(time.Now()))
		}
	})
}

// One relay of a zone follows the store. The store turns it away: the next one follows, and
// of a zone where hardly any reaches it all relays do.
func TestOneThatReachesTheStoreFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := ranked(4)
		r := inFourZones(names[1])
		hear(r, names[0], "a", true)
		if r.FollowsStore(time.Now()) {
			t.Error("follows beside the first")
		}
		r.RecordAnswer(&rpc.Digest{Host: string(names[0]), AvailabilityZone: "a", Relaying: true}, address(names[0]), time.Now())
		if !r.FollowsStore(time.Now()) {
			t.Error("does not follow though the first does not reach the store")
		}
		late := inFourZones(names[3])
		for _, i := range []int{0, 1} {
			late.RecordAnswer(&rpc.Digest{Host: string(names[i]), AvailabilityZone: "a", Relaying: true}, address(names[i]), time.Now())
		}
		if late.FollowsStore(time.Now()) {
			t.Error("one that does not relay follows")
		}
	})
}

// Who is named by a relay lives; who is named by another daemon is an address to try. A list
// that has not changed is not told again, and still says that its daemons live; one that a
// relay leaves out does not.
func TestWhoARelayNamesLives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := ranked(3)
		teller := New(Config{Host: names[0], Zone: "b", Address: address(names[0])})
		hear(teller, names[1], "b", false)
		own := &rpc.Member{Host: string(names[0]), PeerAddress: address(names[0])}
		r := inFourZones("front-9")
		tell := func(relaying, whole bool) {
			d := &rpc.Digest{Host: string(names[0]), AvailabilityZone: "b", Relaying: relaying}
			for _, zone := range teller.ZoneRosters(nil, relaying, own, time.Now()) {
				d.RosterHashes = append(d.RosterHashes, zone.GetHash())
				if whole {
					d.Roster = append(d.Roster, zone)
				}
			}
			r.RecordAnswer(d, address(names[0]), time.Now())
		}
		lives := func() bool { return slices.Contains(hosts(r.LiveDaemons(time.Now())), names[1]) }
		tell(false, true)
		if lives() {
			t.Error("lives by hearsay")
		}
		tell(true, true)
		if !lives() {
			t.Error("does not live though a relay names it")
		}
		time.Sleep(2 * time.Second)
		hear(teller, names[1], "b", false)
		tell(true, false)
		time.Sleep(2 * time.Second)
		if !lives() {
			t.Error("does not live though the relay's list has not changed")
		}
		time.Sleep(2 * time.Second)
		tell(true, false)
		if lives() {
			t.Error("lives though the relay's list has changed")
		}
	})
}

// A zone was cut off and came back, with other relays. Two relays of another zone each named
// its daemons to the other, as the other had named them: to both they lived on, under their
// former relays, and neither ever called the new ones. The zone's charges stayed unknown
// there, and its clients were taken for idle.
func TestRelaysDoNotKeepAZoneAliveByHearsay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := ranked(2)
		relays := []*Roster{inFourZones(names[0]), inFourZones(names[1])}
		tell := func(from, to int) {
			own := &rpc.Member{Host: string(names[from]), PeerAddress: address(names[from]), Relaying: true}
			d := &rpc.Digest{Host: string(names[from]), AvailabilityZone: "a", Relaying: true, Roster: relays[from].ZoneRosters(nil, true, own, time.Now())}
			for _, zone := range d.Roster {
				d.RosterHashes = append(d.RosterHashes, zone.GetHash())
			}
			relays[to].RecordAnswer(d, address(names[from]), time.Now())
		}
		for range 12 {
			tell(0, 1)
			tell(1, 0)
			time.Sleep(LivenessTimeout / 6)
		}
		for i, r := range relays {
			for _, d := range r.LiveDaemons(time.Now()) {
				if d.Zone != "a" {
					t.Errorf("%s takes %s to live, which nobody has heard for %v", names[i], d.Host, time.Since(d.AnsweredAt))
				}
			}
		}
	})
}

// A relay's list of a zone changes, and changes back before it has heard that this daemon has
// the newer one: it names the zone by a hash that this daemon has forgotten. The daemon took
// the whole zone for gone until the next swap; of a fleet of 195, three or four daemons at a
// time did not know four of six zones.
func TestZoneNamedByAForgottenHashLivesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := ranked(4)
		r := inFourZones(names[3])
		for _, relay := range names[:3] {
			hear(r, relay, "a", true)
		}
		tell := func(hash uint64, observing bool, body bool) {
			d := &rpc.Digest{Host: string(names[0]), AvailabilityZone: "a", Relaying: true, RosterHashes: []uint64{hash}}
			if body {
				d.Roster = []*rpc.ZoneRoster{{AvailabilityZone: "b", Hash: hash, Daemons: []*rpc.Member{
					{Host: "far", PeerAddress: address("far"), Observing: observing},
				}}}
			}
			r.RecordAnswer(d, address(names[0]), time.Now())
		}
		const before, after = 1, 2
		tell(before, false, true)
		tell(after, true, true)
		tell(before, false, false)
		if !slices.Contains(hosts(r.LiveDaemons(time.Now())), "far") {
			t.Error("a daemon that a relay still names does not live")
		}
		time.Sleep(LivenessTimeout)
		tell(before, false, false)
		if slices.Contains(hosts(r.LiveDaemons(time.Now())), "far") {
			t.Error("a daemon lives on that nobody has named for long")
		}
	})
}

// Two relays of the zone tell a daemon who lives. One of them loses sight of another zone and
// does not name its daemons any more: the daemon took them for gone until the other relay's
// next word, though that had named them a moment ago.
func TestRelayTakesBackOnlyItsOwnWord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := ranked(4)
		r := inFourZones(names[3])
		for _, relay := range names[:3] {
			hear(r, relay, "a", true)
		}
		tell := func(relay identifier.Host, names ...string) {
			d := &rpc.Digest{Host: string(relay), AvailabilityZone: "a", Relaying: true}
			for _, name := range names {
				d.RosterHashes = append(d.RosterHashes, 1)
				d.Roster = append(d.Roster, &rpc.ZoneRoster{AvailabilityZone: "b", Hash: 1, Daemons: []*rpc.Member{{Host: name, PeerAddress: name + ":82"}}})
			}
			r.RecordAnswer(d, address(relay), time.Now())
		}
		lives := func() bool { return slices.Contains(hosts(r.LiveDaemons(time.Now())), "far") }
		tell(names[1], "far")
		tell(names[0], "far")
		tell(names[1])
		if !lives() {
			t.Error("a daemon that one relay names does not live, as the other does not name it any more")
		}
		tell(names[0])
		if lives() {
			t.Error("a daemon lives that no relay names any more")
		}
	})
}
