package membertracker

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"
)

func record(host string, incarnation uint64, s rpc.State) *rpc.Member {
	return &rpc.Member{Host: host, AvailabilityZone: "z", PeerAddress: "127.0.0.1:" + host, Incarnation: incarnation, State: s}
}

func newTracker() *Tracker { return New(Config{Self: record("1", 1, rpc.State_ALIVE)}) }

func message(members ...*rpc.Member) *rpc.News { return &rpc.News{Members: members} }

func TestMergeOrderDoesNotMatter(t *testing.T) {
	// Messages may arrive in any order and more than once. All trackers that received the same
	// ones must agree.
	now := time.Now()
	rapid.Check(t, func(rt *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) *rpc.Member {
			return record(fmt.Sprint(rapid.IntRange(2, 4).Draw(rt, "host")), rapid.Uint64Range(1, 4).Draw(rt, "incarnation"),
				rpc.State(rapid.IntRange(0, 2).Draw(rt, "state")))
		}), 1, 12).Draw(rt, "records")
		a, b := newTracker(), newTracker()
		for _, r := range records {
			a.Merge(message(r), now)
		}
		order := rapid.Permutation(append(append([]*rpc.Member{}, records...), records...)).Draw(rt, "order")
		for _, r := range order {
			b.Merge(message(r), now)
		}
		if x, y := fmt.Sprint(a.Members()), fmt.Sprint(b.Members()); x != y {
			rt.Fatalf("%s\n%s", x, y)
		}
		if a.NextMessage().Digest != b.NextMessage().Digest {
			rt.Fatal("digests differ")
		}
	})
}

// A delayed message about a lower incarnation must not make a leaving host count as staying.
func TestLeavingIsNeverUndone(t *testing.T) {
	now := time.Now()
	rapid.Check(t, func(rt *rapid.T) {
		tracker := newTracker()
		var highest uint64
		for _, i := range rapid.SliceOfN(rapid.Uint64Range(1, 9), 1, 20).Draw(rt, "incarnations") {
			tracker.Merge(&rpc.News{Leaving: []*rpc.Leaving{{Host: "h", Incarnation: i}}}, now)
			highest = max(highest, i)
			for n := range highest + 2 {
				if _, ok := tracker.Leaving("h", identifier.Incarnation(n)); ok != (n <= highest) {
					rt.Fatalf("incarnation %d after %d: leaving %t", n, highest, ok)
				}
			}
		}
	})
}

// A daemon must refute records of itself that are not alive or are of a higher incarnation, by
// raising its incarnation above theirs, and no others.
func TestRefute(t *testing.T) {
	cases := []struct {
		name string
		in   *rpc.Member
		want uint64
	}{
		{"old record", record("1", 0, rpc.State_DEAD), 1},
		{"alive in this incarnation", record("1", 1, rpc.State_ALIVE), 1},
		{"suspect in this incarnation", record("1", 1, rpc.State_SUSPECT), 2},
		{"dead in this incarnation", record("1", 1, rpc.State_DEAD), 2},
		{"an earlier incarnation with a clock ahead", record("1", 90, rpc.State_ALIVE), 91},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := newTracker()
			tracker.Merge(message(c.in), time.Now())
			if got := tracker.Self(); got.Incarnation != c.want || got.State != rpc.State_ALIVE {
				t.Errorf("%v", got)
			}
		})
	}
}

func TestSuspicion(t *testing.T) {
	now := time.Now()
	tracker := newTracker()
	tracker.Merge(message(record("2", 1, rpc.State_ALIVE)), now)
	tracker.MarkUnreachable("2", now)
	tracker.Tick(now.Add(suspicionTimeout / 2))
	if got := tracker.Members()[0].State; got != rpc.State_SUSPECT {
		t.Fatal(got)
	}
	tracker.Tick(now.Add(2 * suspicionTimeout))
	if got := tracker.Members()[0].State; got != rpc.State_DEAD || tracker.Count() != 1 {
		t.Fatal(got)
	}
	tracker.Merge(message(record("2", 2, rpc.State_ALIVE)), now)
	if tracker.Count() != 2 {
		t.Fatal("a new incarnation does not count as alive")
	}
}

func TestMessagesStayBounded(t *testing.T) {
	now := time.Now()
	tracker := newTracker()
	for i := range 60 {
		tracker.Merge(message(record(fmt.Sprint(i+2), 1, rpc.State_ALIVE)), now)
		tracker.MarkLeaving(identifier.Host(fmt.Sprint(i)), 1, now, now)
	}
	tracker.Merge(&rpc.News{Full: true}, now)
	if n := tracker.NextMessage(); len(n.Members) > maxMessageMembers || len(n.Leaving) > maxMessageLeaving {
		t.Fatalf("%d members, %d leaving", len(n.Members), len(n.Leaving))
	}
	for range 300 {
		tracker.NextMessage()
	}
	if n := tracker.NextMessage(); len(n.Members)+len(n.Leaving) != 0 {
		t.Fatalf("still sends %d members, %d leaving", len(n.Members), len(n.Leaving))
	}
}

// Guards against requests to a leaving host because more departures were recorded before than the
// tracker keeps.
func TestLatestDeparturesAreKept(t *testing.T) {
	tracker := New(Config{Self: &rpc.Member{Host: "d"}})
	now := time.Unix(0, 0)
	for i := range 3 * maxLeaving {
		now = now.Add(time.Millisecond)
		h := identifier.Host(fmt.Sprint("host-", i))
		if !tracker.MarkLeaving(h, 1, time.Time{}, now) {
			t.Fatalf("departure %d was not recorded", i)
		}
		if _, leaving := tracker.Leaving(h, 1); !leaving {
			t.Fatalf("departure %d is not known", i)
		}
	}
	if n := len(tracker.leaving); n > maxLeaving {
		t.Errorf("%d departures are kept, want at most %d", n, maxLeaving)
	}
}
