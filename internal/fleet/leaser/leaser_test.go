package leaser

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/object"
)

const duration = 6 * time.Second

// store is a fake store whose failures can be switched on and off.
type store struct {
	mu          sync.Mutex
	o           object.Object
	loseAnswers bool
	down        bool
}

func (s *store) Get(context.Context, string) (object.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return object.Object{}, object.ErrUnavailable
	}
	if s.o.Version == object.Absent {
		return s.o, object.ErrMissing
	}
	return s.o, nil
}

func (s *store) Put(_ context.Context, _ string, ifVersion uint64, value any) (object.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return object.Object{}, object.ErrUnavailable
	}
	if s.o.Version != ifVersion {
		return object.Object{}, object.ErrConflict
	}
	raw, _ := json.Marshal(value)
	s.o = object.Object{Version: ifVersion + 1, Value: raw}
	if s.loseAnswers {
		return object.Object{}, object.ErrUnknown
	}
	return s.o, nil
}

func newCandidate(s *store, host string) *Leaser {
	return New(Config{Store: s, Zone: "z", Host: identifier.Host(host), Duration: duration})
}

func TestLeaseFaults(t *testing.T) {
	// Two candidates and one fault: they must never both hold the lease, and after the fault
	// one of them must hold it.
	cases := []struct {
		name  string
		fault func(s *store)
		after time.Duration
		// fencing is the least fencing number at the end.
		fencing uint64
	}{
		{"no fault", func(*store) {}, time.Minute, 1},
		{"outage longer than the lease", func(s *store) { s.down = true }, time.Minute, 1},
		{"answers lost", func(s *store) { s.loseAnswers = true }, time.Minute, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &store{}
				ctx, cancel := context.WithCancel(t.Context())
				a, b := newCandidate(s, "a"), newCandidate(s, "b")
				for _, l := range []*Leaser{a, b} {
					go func() { _ = l.Serve(ctx) }()
				}
				time.Sleep(20 * time.Second)
				s.set(c.fault)
				checkNeverBoth(t, a, b, c.after)
				s.set(func(s *store) { s.down, s.loseAnswers = false, false })
				checkNeverBoth(t, a, b, time.Minute)
				n, heldA := a.Held()
				m, heldB := b.Held()
				if heldA == heldB || max(n, m) < c.fencing {
					t.Errorf("a holds %d: %t, b holds %d: %t", n, heldA, m, heldB)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

func (s *store) set(f func(*store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func checkNeverBoth(t *testing.T, a, b *Leaser, d time.Duration) {
	t.Helper()
	for range int(d / (50 * time.Millisecond)) {
		_, heldA := a.Held()
		_, heldB := b.Held()
		if heldA && heldB {
			t.Fatal("two candidates hold the lease at once")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func TestLeaseOfPausedHolder(t *testing.T) {
	// Guards against a holder that is paused beyond its lease and resumes without knowing it.
	// It must find the lease expired before it sends an order, and the successor's fencing
	// number must be higher.
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		a, b := newCandidate(s, "a"), newCandidate(s, "b")
		a.step(t.Context())
		first, held := a.Held()
		if !held {
			t.Fatal("a does not hold")
		}
		// a is paused: it runs no more steps.
		for range 10 {
			b.step(t.Context())
			time.Sleep(duration / 4)
			_, heldA := a.Held()
			_, heldB := b.Held()
			if heldA && heldB {
				t.Fatal("two candidates hold the lease at once")
			}
		}
		second, held := b.Held()
		if !held || second <= first {
			t.Fatalf("b holds %d: %t, after %d", second, held, first)
		}
		if _, held := a.Held(); held {
			t.Fatal("a still considers the lease held")
		}
		a.step(t.Context())
		if _, held := a.Held(); held {
			t.Fatal("a took the lease back")
		}
	})
}

func TestSuccessorWaitsForOrdersInFlight(t *testing.T) {
	// Guards against two orders that overtake each other at engines that ignore fencing
	// numbers. The old holder may have sent an order at the last moment, so the successor may
	// send orders only after the longest time that an order is in flight.
	synctest.Test(t, func(t *testing.T) {
		l := newCandidate(&store{}, "a")
		l.step(t.Context())
		if _, held := l.HeldExclusively(); held {
			t.Fatal("held exclusively at once")
		}
		time.Sleep(MaxOrderDelay + time.Millisecond)
		if _, held := l.HeldExclusively(); !held {
			t.Fatal("never held exclusively")
		}
	})
}

// scheduleStep is one step of a random schedule.
type scheduleStep struct {
	Who        int
	Pause      time.Duration
	Lose, Down bool
}

// drawScheduleStep draws a step of one of three candidates.
func drawScheduleStep(rt *rapid.T) scheduleStep {
	return scheduleStep{
		Who: rapid.IntRange(0, 2).Draw(rt, "who"), Pause: time.Duration(rapid.IntRange(0, 4000).Draw(rt, "ms")) * time.Millisecond,
		Lose: rapid.IntRange(0, 4).Draw(rt, "lose") == 0, Down: rapid.IntRange(0, 4).Draw(rt, "down") == 0,
	}
}

func TestLeaseNeverTwoHolders(t *testing.T) {
	// For any schedule of steps, pauses and faults of three candidates, at most one holds the
	// lease and the fencing number never falls.
	moves := rapid.SliceOfN(rapid.Custom(drawScheduleStep), 1, 60)
	rapid.Check(t, func(rt *rapid.T) {
		schedule := moves.Draw(rt, "schedule")
		failure := ""
		synctest.Test(t, func(*testing.T) { failure = runSchedule(schedule) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// runSchedule runs a schedule and describes the first violation, or returns an empty string.
func runSchedule(schedule []scheduleStep) string {
	s := &store{}
	all := []*Leaser{newCandidate(s, "0"), newCandidate(s, "1"), newCandidate(s, "2")}
	fencing := uint64(0)
	for _, m := range schedule {
		s.set(func(s *store) { s.loseAnswers, s.down = m.Lose, m.Down })
		all[m.Who].step(context.Background())
		time.Sleep(m.Pause)
		holders := 0
		for _, l := range all {
			n, held := l.Held()
			if !held {
				continue
			}
			holders++
			if n < fencing {
				return fmt.Sprintf("the fencing number fell from %d to %d", fencing, n)
			}
			fencing = n
		}
		if holders > 1 {
			return fmt.Sprintf("%d holders", holders)
		}
	}
	return ""
}

// Guards against a lease that another writer corrupted. Candidates took that for an error, so
// no candidate ever held the duties again: no engines were ordered and no usage was reported.
// The next holder's fencing number must be above all earlier ones.
func TestCorruptLeaseIsTakenOver(t *testing.T) {
	for name, value := range map[string]string{
		"no record": `"gone"`, "bytes": "\x00\xff", "another type": `{"Holder":5}`, "empty": `{}`, "no number": `{"Holder":"x"}`,
		"for ever": `{"Holder":"x","FencingNumber":1,"Duration":9000000000000000000}`, "negative": `{"Holder":"x","FencingNumber":1,"Duration":-5}`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, calls := &store{}, 0
				a, b := newCandidate(s, "a"), newCandidate(s, "b")
				b.c.OnUnreadable = func(error) { calls++ }
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go func() { _ = a.Serve(ctx) }()
				time.Sleep(3 * duration)
				before, held := a.Held()
				if !held {
					t.Fatal("the first candidate does not hold the lease")
				}
				go func() { _ = b.Serve(ctx) }()
				s.mu.Lock()
				s.o = object.Object{Version: s.o.Version + 1, Value: []byte(value)}
				s.mu.Unlock()
				for range 40 {
					time.Sleep(duration / 10)
					_, heldA := a.Held()
					if _, heldB := b.Held(); heldA && heldB {
						t.Fatal("two candidates hold the lease at once")
					}
				}
				synctest.Wait()
				after, heldA := a.Held()
				if !heldA {
					after, heldA = b.Held()
				}
				if !heldA || after <= before {
					t.Errorf("held %v with fencing number %d, %d before", heldA, after, before)
				}
				if calls == 0 {
					t.Error("OnUnreadable was not called")
				}
			})
		})
	}
}

// eraStore is a store in an era whose lease can be set back to a copy.
type eraStore struct {
	store
	era uint64
}

// restore sets the lease back to a copy, in the next era.
func (s *eraStore) restore(copied object.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	if copied.Version != object.Absent {
		copied.Version = object.Join(s.era, object.Revision(copied.Version))
	}
	s.o = copied
}

// Put writes the lease, in the present era.
func (s *eraStore) Put(ctx context.Context, key string, ifVersion uint64, value any) (object.Object, error) {
	o, err := s.store.Put(ctx, key, ifVersion, value)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && object.Era(o.Version) < s.era {
		o.Version = object.Join(s.era, object.Revision(o.Version))
		s.o.Version = o.Version
	}
	return o, err
}

// copy returns the lease as it is.
func (s *eraStore) copy() object.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.o
}

// Era returns the present era.
func (s *eraStore) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// order is a call of a lease holder to a platform that checks no fencing numbers.
type order struct {
	host    string
	fencing uint64
}

// Guards against two holders at once, a fencing number that is given out twice or falls, and a holder
// that returns after another one, when the store comes back from a copy in which the lease was another
// candidate's, was given up, or was not there. The last holder lives on, or is killed meanwhile.
func TestRestoreOfTheLease(t *testing.T) {
	for _, killed := range []bool{false, true} {
		for _, copied := range []string{"of the former holder", "given up", "missing"} {
			synctest.Test(t, func(t *testing.T) {
				s := &eraStore{era: 1}
				candidate := func(host string) *Leaser {
					return New(Config{Store: s, Zone: "z", Host: identifier.Host(host), Duration: duration, FirstStart: true, Era: s.Era})
				}
				all, cancels := make(map[string]*Leaser), make(map[string]context.CancelFunc)
				start := func(host string) {
					ctx, cancel := context.WithCancel(t.Context())
					l := candidate(host)
					all[host], cancels[host] = l, cancel
					go func() { _ = l.Serve(ctx) }()
				}
				start("a")
				time.Sleep(2 * duration)
				if !all["a"].FirstHolder() {
					t.Error("a does not know that it is the first holder")
				}
				keep := s.copy()
				if copied == "missing" {
					keep = object.Object{}
				}
				cancels["a"]()
				synctest.Wait()
				if err := all["a"].Release(t.Context()); err != nil {
					t.Fatal(err)
				}
				if copied == "given up" {
					keep = s.copy()
				}
				start("b")
				time.Sleep(duration)
				start("c")
				if _, held := all["b"].Held(); !held {
					t.Fatal("b does not hold the lease")
				}
				// The former holder is a candidate again, and remembers its fencing number.
				ctx, cancel := context.WithCancel(t.Context())
				cancels["a"] = cancel
				former := all["a"]
				go func() { _ = former.Serve(ctx) }()
				var orders []order
				watch := func(d time.Duration) {
					for begun := time.Now(); time.Since(begun) < d; time.Sleep(20 * time.Millisecond) {
						for _, host := range []string{"a", "b", "c"} {
							if n, held := all[host].HeldExclusively(); held && (host != "b" || !killed || s.Era() == 1) {
								orders = append(orders, order{host, n})
							}
						}
					}
				}
				watch(time.Second)
				s.restore(keep)
				if killed {
					cancels["b"]()
				}
				watch(5 * duration)
				for _, host := range []string{"b", "c"} {
					if all[host].FirstHolder() {
						t.Errorf("%s takes itself for the first holder", host)
					}
				}
				checkOrders(t, fmt.Sprintf("lease %s, holder killed: %t", copied, killed), orders)
				for _, cancel := range cancels {
					cancel()
				}
				synctest.Wait()
			})
		}
	}
}

// checkOrders checks the orders that a platform receives.
func checkOrders(t *testing.T, name string, orders []order) {
	t.Helper()
	holders := make(map[uint64]string)
	changes, last := 0, order{}
	for i, o := range orders {
		if known := holders[o.fencing]; known != "" && known != o.host {
			t.Errorf("%s: number %d of %s and %s", name, o.fencing, known, o.host)
			return
		}
		holders[o.fencing] = o.host
		if i > 0 && o.fencing < last.fencing {
			t.Errorf("%s: number %d of %s after %d of %s", name, o.fencing, o.host, last.fencing, last.host)
			return
		}
		if i > 0 && o.host != last.host {
			changes++
		}
		last = o
	}
	if changes > 1 || len(orders) == 0 {
		t.Errorf("%s: %d orders, the holder changed %d times", name, len(orders), changes)
	}
}
