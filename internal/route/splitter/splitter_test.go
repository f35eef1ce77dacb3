package splitter

import (
	"testing"
	"time"

	"brasschute/internal/config/rollout"
	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"
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

// newDaemons returns n splitters without orders.
func newDaemons(n int, random func() float64) *daemons {
	d := &daemons{now: time.Unix(1e9, 0), r: &rollout.Rollout{Service: lm, Target: "v2", Duration: 30 * time.Second, Revision: 1}}
	for range n {
		s := New(Config{
			CanaryShare: 0.1, CanarySlack: 50, RevertTime: 5 * time.Second, Daemons: func() int { return n }, Now: func() time.Time { return d.now }, Random: random,
			Endpoints: func(identifier.Service) map[identifier.Version]int {
				return map[identifier.Version]int{"v1": 40, "v2": 40}
			},
		})
		s.ApplyOrders(nil, "store")
		d.list = append(d.list, s)
	}
	return d
}

// applyOrder applies the current state of the order to one splitter.
func (d *daemons) applyOrder(s *Splitter) {
	r := *d.r
	s.ApplyOrders(map[identifier.Service]*rollout.Rollout{lm: &r}, "store")
}

// choose sends one request and returns the versions that it may go to.
func choose(s *Splitter) selector.VersionFilter {
	return s.Choose(&Query{Service: lm, Route: "letters", MaxDuration: time.Second})
}

// Grants arrive late, twice, in any order and from successive lease holders, and daemons restart.
// No daemon may leave the state reverted or complete, or send to a version without a recent grant.
// All daemons together must keep the canary requests within the share.
func TestGrantsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 5
		random := func() float64 { return float64(rapid.IntRange(0, 999).Draw(t, "random")) / 1000 }
		d := newDaemons(n, random)
		for _, s := range d.list {
			d.applyOrder(s)
		}
		var grants []Grant
		phase, sequence, sent, canaries := rollout.Canary, uint64(0), 0, 0
		final := make([]rollout.Phase, n)
		last := make([]time.Time, n)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			d.now = d.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "daemon")
			s := d.list[i]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				sequence++
				fencing := uint64(1 + rapid.IntRange(0, 1).Draw(t, "holder"))
				grants = append(grants, Grant{Service: lm, Target: "v2", Order: d.r.OrderID(), Phase: phase, Fencing: fencing, Sequence: sequence, IssuedAt: d.now, OldEndAt: d.now.Add(time.Minute)})
			case 1, 2:
				if len(grants) > 0 {
					g := grants[rapid.IntRange(0, len(grants)-1).Draw(t, "news")]
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
				if v := choose(s); v.Only == "v2" {
					canaries++
					if d.now.Sub(last[i]) >= grantTime {
						t.Fatalf("canary request %v after the last grant", d.now.Sub(last[i]))
					}
					if final[i] == rollout.Reverted {
						t.Fatal("canary request after the version was reverted")
					}
				}
			}
			if o := s.Orders()[0]; final[i] == rollout.Reverted && o.Phase != rollout.Reverted {
				t.Fatalf("phase %v after the version was reverted", o.Phase)
			}
		}
		if limit := 0.1*float64(sent) + 50; float64(canaries) > limit {
			t.Fatalf("%d of %d requests are canary requests", canaries, sent)
		}
	})
}

// A version whose order is not yet stored as under way gets no requests, nor does one whose order
// was replaced by another. A second order of a version that was reverted must start afresh although
// the state of the first one is still stored.
func TestSuccessiveOrders(t *testing.T) {
	d := newDaemons(1, func() float64 { return 0.5 })
	s := d.list[0]
	if v := choose(s); v.Only != "" || len(v.Except) > 0 {
		t.Errorf("versions %+v without any order", v)
	}
	d.applyOrder(s)
	if v := choose(s); len(v.Except) != 1 || v.Except[0] != "v2" || !s.Blocked(lm, "v2") {
		t.Errorf("versions %+v after the order", v)
	}
	d.r.Revision, d.r.Stored = 2, rollout.Reverted
	d.applyOrder(s)
	if o := s.Orders()[0]; o.Phase != rollout.Reverted {
		t.Errorf("phase %v, want reverted", o.Phase)
	}
	d.r.Revision, d.r.Duration = 3, time.Minute
	d.applyOrder(s)
	if o := s.Orders()[0]; o.Phase != rollout.Ordered {
		t.Errorf("phase %v of the second order, want ordered", o.Phase)
	}
	d.r.Revision, d.r.Stored = 4, rollout.Canary
	d.applyOrder(s)
	if o := s.Orders()[0]; o.Phase != rollout.Canary {
		t.Errorf("phase %v once it is stored, want trying", o.Phase)
	}
	d.r.Revision, d.r.Stored, d.r.Target = 5, rollout.Ordered, "v3"
	d.applyOrder(s)
	if v := choose(s); len(v.Except) != 2 || !s.Blocked(lm, "v2") || !s.Blocked(lm, "v3") || s.Blocked(lm, "v1") {
		t.Errorf("versions %+v after an order of another version", v)
	}
}

// A roll-out is complete. The old endpoints remain listed for some seconds and must get no
// requests. Endpoints that are replaced much later may run any version that was not abandoned.
func TestCompleteVersion(t *testing.T) {
	d := newDaemons(1, func() float64 { return 0.5 })
	s := d.list[0]
	d.applyOrder(s)
	d.r.Revision, d.r.Stored = 2, rollout.Complete
	d.applyOrder(s)
	if v := choose(s); v.Only != "v2" || s.CountsTowardsSize(lm, "v1") || !s.CountsTowardsSize(lm, "v2") {
		t.Errorf("versions %+v right after the roll-out", v)
	}
	d.now = d.now.Add(listTime)
	if v := choose(s); v.Only != "" || len(v.Except) > 0 || !s.CountsTowardsSize(lm, "v1") {
		t.Errorf("versions %+v after the old endpoints are gone", v)
	}
}

// A request was chosen for a version and waits for its connection while the version is reverted. It
// must not be sent there any more.
func TestVersionIsBlockedRightBeforeSend(t *testing.T) {
	d := newDaemons(1, func() float64 { return 0 })
	s := d.list[0]
	d.applyOrder(s)
	g := Grant{Service: lm, Target: "v2", Order: d.r.OrderID(), Phase: rollout.Canary, Fencing: 1, Sequence: 1, IssuedAt: d.now, OldEndAt: d.now.Add(time.Minute)}
	s.ApplyGrant(&g, "holder")
	for range 200 {
		if choose(s).Only == "v2" {
			break
		}
	}
	if s.Blocked(lm, "v2") {
		t.Error("blocked during the canary phase")
	}
	g.Phase, g.Sequence = rollout.Reverted, 2
	s.ApplyGrant(&g, "holder")
	if !s.Blocked(lm, "v2") {
		t.Error("not blocked after the version was reverted")
	}
}

// Guards against streams that go on at another version than the one that began them, or at one that
// may get no requests, and against streams beyond the share of the new version.
func TestStreamsContinueAtTheirVersion(t *testing.T) {
	for _, c := range []struct {
		name    string
		phase   rollout.Phase
		version identifier.Version
		want    bool
	}{
		{"old version, not granted", rollout.Ordered, "v1", true},
		{"new version, not granted", rollout.Ordered, "v2", false},
		{"old version, canary", rollout.Canary, "v1", true},
		{"new version, canary", rollout.Canary, "v2", true},
		{"old version, switching", rollout.Switching, "v1", true},
		{"new version, reverted", rollout.Reverted, "v2", false},
		{"new version, complete", rollout.Complete, "v2", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDaemons(1, func() float64 { return 1 })
			s := d.list[0]
			d.applyOrder(s)
			if c.phase != rollout.Ordered {
				s.ApplyGrant(&Grant{Service: lm, Target: "v2", Order: d.r.OrderID(), Phase: c.phase, Fencing: 1, Sequence: 1, IssuedAt: d.now}, "holder")
			}
			before := s.services[lm].canaryBudget
			f := s.Choose(&Query{Service: lm, Route: "letters", Continues: true, Version: c.version})
			for _, v := range []identifier.Version{"v1", "v2", ""} {
				if got, want := f.Allow(&candidate.Candidate{Version: v}), c.want && v == c.version; got != want {
					t.Errorf("%q allowed: %v, want %v", v, got, want)
				}
			}
			if charged := s.services[lm].canaryBudget < before; charged != (c.want && c.version == "v2" && c.phase != rollout.Complete) {
				t.Errorf("charged to the share: %v", charged)
			}
			before = s.services[lm].canaryBudget
			s.Choose(&Query{Service: lm, Route: "letters", Continues: true, Version: c.version, Repeated: true})
			if s.services[lm].canaryBudget != before {
				t.Error("a repeated choice is charged to the share")
			}
		})
	}
}
