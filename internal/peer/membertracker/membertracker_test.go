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

func newLedger() *Tracker { return New(Config{Self: record("1", 1, rpc.State_ALIVE)}) }

func news(members ...*rpc.Member) *rpc.News { return &rpc.News{Members: members} }

func TestMergeOrderDoesNotMatter(t *testing.T) {
	// News may arrive in any order and more than once; all ledgers that got
	// the same news must agree.
	now := time.Now()
	rapid.Check(t, func(rt *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) *rpc.Member {
			return record(fmt.Sprint(rapid.IntRange(2, 4).Draw(rt, "host")), rapid.Uint64Range(1, 4).Draw(rt, "incarnation"),
				rpc.State(rapid.IntRange(0, 2).Draw(rt, "state")))
		}), 1, 12).Draw(rt, "records")
		a, b := newLedger(), newLedger()
		for _, r := range records {
			a.Merge(news(r), now)
		}
		order := rapid.Permutation(append(append([]*rpc.Member{}, records...), records...)).Draw(rt, "order")
		for _, r := range order {
			b.Merge(news(r), now)
		}
		if x, y := fmt.Sprint(a.Members()), fmt.Sprint(b.Members()); x != y {
			rt.Fatalf("%s\n%s", x, y)
		}
		if a.News().Digest != b.News().Digest {
			rt.Fatal("digests differ")
		}
	})
}

func TestLeavingNeverUnspreads(t *testing.T) {
	now := time.Now()
	rapid.Check(t, func(rt *rapid.T) {
		l := newLedger()
		var highest uint64
		for _, i := range rapid.SliceOfN(rapid.Uint64Range(1, 9), 1, 20).Draw(rt, "incarnations") {
			l.Merge(&rpc.News{Leaving: []*rpc.Leaving{{Host: "h", Incarnation: i}}}, now)
			highest = max(highest, i)
			for n := range highest + 2 {
				if _, ok := l.Leaving("h", identifier.Incarnation(n)); ok != (n <= highest) {
					rt.Fatalf("incarnation %d after %d: leaving %t", n, highest, ok)
				}
			}
		}
	})
}

func TestRefute(t *testing.T) {
	cases := []struct {
		name string
		in   *rpc.Member
		want uint64
	}{
		{"old news", record("1", 0, rpc.State_DEAD), 1},
		{"alive in this life", record("1", 1, rpc.State_ALIVE), 1},
		{"suspect in this life", record("1", 1, rpc.State_SUSPECT), 2},
		{"dead in this life", record("1", 1, rpc.State_DEAD), 2},
		{"an earlier life with a clock ahead", record("1", 90, rpc.State_ALIVE), 91},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newLedger()
			l.Merge(news(c.in), time.Now())
			if got := l.Self(); got.Incarnation != c.want || got.State != rpc.State_ALIVE {
				t.Errorf("%v", got)
			}
		})
	}
}

func TestSuspicion(t *testing.T) {
	now := time.Now()
	l := newLedger()
	l.Merge(news(record("2", 1, rpc.State_ALIVE)), now)
	l.MarkUnreachable("2", now)
	l.Tick(now.Add(suspicion / 2))
	if got := l.Members()[0].State; got != rpc.State_SUSPECT {
		t.Fatal(got)
	}
	l.Tick(now.Add(2 * suspicion))
	if got := l.Members()[0].State; got != rpc.State_DEAD || l.Count() != 1 {
		t.Fatal(got)
	}
	l.Merge(news(record("2", 2, rpc.State_ALIVE)), now)
	if l.Count() != 2 {
		t.Fatal("a new life is not believed")
	}
}

func TestMessagesStayBounded(t *testing.T) {
	now := time.Now()
	l := newLedger()
	for i := range 60 {
		l.Merge(news(record(fmt.Sprint(i+2), 1, rpc.State_ALIVE)), now)
		l.MarkLeaving(identifier.Host(fmt.Sprint(i)), 1, now, now)
	}
	l.Merge(&rpc.News{Full: true}, now)
	if n := l.News(); len(n.Members) > newsMembers || len(n.Leaving) > newsLeaving {
		t.Fatalf("%d members, %d leaving", len(n.Members), len(n.Leaving))
	}
	for range 300 {
		l.News()
	}
	if n := l.News(); len(n.Members)+len(n.Leaving) != 0 {
		t.Fatalf("still passes on %d members, %d leaving", len(n.Members), len(n.Leaving))
	}
}
