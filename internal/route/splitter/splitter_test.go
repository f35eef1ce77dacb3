package splitter

import (
	"testing"
	"time"

	"brasschute/internal/config/rollout"
	"brasschute/internal/core/identifier"
	"brasschute/internal/route/selector"

	"pgregory.net/rapid"
)

const lm = identifier.Service("lm")

// daemons are splitters that share a clock.
type daemons struct {
	now  time.Time
	list []*Splitter
	r    *rollout.Rollout
}

func newDaemons(n int, random func() float64) *daemons {
	d := &daemons{now: time.Unix(1e9, 0), r: &rollout.Rollout{Service: lm, Target: "v2", Duration: 30 * time.Second, Revision: 1}}
	for range n {
		s := New(Config{
			CanaryShare: 0.1, CanarySlack: 50, RollbackTime: 5 * time.Second, Daemons: func() int { return n }, Now: func() time.Time { return d.now }, Random: random,
			Endpoints: func(identifier.Service) map[identifier.Version]int {
				return map[identifier.Version]int{"v1": 40, "v2": 40}
			},
		})
		s.ApplyOrders(nil, "store")
		d.list = append(d.list, s)
	}
	return d
}

func (d *daemons) put(s *Splitter) {
	r := *d.r
	s.ApplyOrders(map[identifier.Service]*rollout.Rollout{lm: &r}, "store")
}

func ask(s *Splitter) selector.VersionFilter {
	return s.Choose(&Query{Service: lm, Route: "letters", MaxDuration: time.Second})
}

// News of an order comes late, twice, in any order and from holders that succeed each other,
// and daemons start anew. No daemon takes back that a version is reverted or complete, none
// sends anything to a version without a fresh word of the holder, and what all together send
// to it while it is tried stays within its share.
func TestNewsOfRolloutsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 5
		random := func() float64 { return float64(rapid.IntRange(0, 999).Draw(t, "random")) / 1000 }
		d := newDaemons(n, random)
		for _, s := range d.list {
			d.put(s)
		}
		var said []Grant
		phase, beat, sent, tried := rollout.Trying, uint64(0), 0, 0
		final := make([]rollout.Phase, n)
		last := make([]time.Time, n)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			d.now = d.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "daemon")
			s := d.list[i]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				beat++
				fencing := uint64(1 + rapid.IntRange(0, 1).Draw(t, "holder"))
				said = append(said, Grant{Service: lm, Target: "v2", Order: d.r.OrderID(), Phase: phase, Fencing: fencing, Sequence: beat, IssuedAt: d.now, OldEndAt: d.now.Add(time.Minute)})
			case 1, 2:
				if len(said) > 0 {
					g := said[rapid.IntRange(0, len(said)-1).Draw(t, "news")]
					s.ApplyGrant(&g, "peer")
					if g.IssuedAt.After(last[i]) {
						last[i] = g.IssuedAt
					}
					if g.Phase.IsFinal() {
						final[i] = g.Phase
					}
				}
			case 3:
				if rapid.IntRange(0, 20).Draw(t, "verdict") == 0 {
					phase = rollout.Reverted
				}
			default:
				sent++
				if v := ask(s); v.Only == "v2" {
					tried++
					if d.now.Sub(last[i]) >= grantTime {
						t.Fatalf("tried %v after the holder's last word", d.now.Sub(last[i]))
					}
					if final[i] == rollout.Reverted {
						t.Fatal("tried after it was reverted")
					}
				}
			}
			if o := s.Orders()[0]; final[i] == rollout.Reverted && o.Phase != rollout.Reverted {
				t.Fatalf("phase %v after it was reverted", o.Phase)
			}
		}
		if most := 0.1*float64(sent) + 50; float64(tried) > most {
			t.Fatalf("%d of %d tried", tried, sent)
		}
	})
}

// A version whose order is not stored as under way gets nothing, nor does one of an earlier
// order that another one has replaced; and a second order of a version that was reverted
// begins anew, though the state of the first one is still stored.
func TestOrdersThatFollowEachOther(t *testing.T) {
	d := newDaemons(1, func() float64 { return 0.5 })
	s := d.list[0]
	if v := ask(s); v.Only != "" || len(v.Except) > 0 {
		t.Errorf("%+v without any order", v)
	}
	d.put(s)
	if v := ask(s); len(v.Except) != 1 || v.Except[0] != "v2" || !s.Blocked(lm, "v2") {
		t.Errorf("%+v after the order", v)
	}
	d.r.Revision, d.r.Stored = 2, rollout.Reverted
	d.put(s)
	if o := s.Orders()[0]; o.Phase != rollout.Reverted {
		t.Errorf("phase %v", o.Phase)
	}
	d.r.Revision, d.r.Duration = 3, time.Minute
	d.put(s)
	if o := s.Orders()[0]; o.Phase != rollout.Ordered {
		t.Errorf("phase %v of the second order", o.Phase)
	}
	d.r.Revision, d.r.Stored = 4, rollout.Trying
	d.put(s)
	if o := s.Orders()[0]; o.Phase != rollout.Trying {
		t.Errorf("phase %v once it is stored", o.Phase)
	}
	d.r.Revision, d.r.Stored, d.r.Target = 5, rollout.Ordered, "v3"
	d.put(s)
	if v := ask(s); len(v.Except) != 2 || !s.Blocked(lm, "v2") || !s.Blocked(lm, "v3") || s.Blocked(lm, "v1") {
		t.Errorf("%+v after an order of another version", v)
	}
}

// A version is complete: the old endpoints are listed for some seconds more, and get nothing.
// Endpoints that are replaced much later may come in any version that was not left.
func TestCompleteVersion(t *testing.T) {
	d := newDaemons(1, func() float64 { return 0.5 })
	s := d.list[0]
	d.put(s)
	d.r.Revision, d.r.Stored = 2, rollout.Complete
	d.put(s)
	if v := ask(s); v.Only != "v2" || s.CountsTowardsSize(lm, "v1") || !s.CountsTowardsSize(lm, "v2") {
		t.Errorf("%+v at once", v)
	}
	d.now = d.now.Add(listTime)
	if v := ask(s); v.Only != "" || len(v.Except) > 0 || !s.CountsTowardsSize(lm, "v1") {
		t.Errorf("%+v later", v)
	}
}

// A request was chosen for a version and waits for its connection while the version is
// reverted: it must not be sent there any more.
func TestVersionIsBarredRightBeforeTheSend(t *testing.T) {
	d := newDaemons(1, func() float64 { return 0 })
	s := d.list[0]
	d.put(s)
	g := Grant{Service: lm, Target: "v2", Order: d.r.OrderID(), Phase: rollout.Trying, Fencing: 1, Sequence: 1, IssuedAt: d.now, OldEndAt: d.now.Add(time.Minute)}
	s.ApplyGrant(&g, "holder")
	for range 200 {
		if ask(s).Only == "v2" {
			break
		}
	}
	if s.Blocked(lm, "v2") {
		t.Error("barred while it is tried")
	}
	g.Phase, g.Sequence = rollout.Reverted, 2
	s.ApplyGrant(&g, "holder")
	if !s.Blocked(lm, "v2") {
		t.Error("not barred after it was reverted")
	}
}
