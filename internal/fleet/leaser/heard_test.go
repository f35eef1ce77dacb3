package leaser

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/object"
)

// announcements are the revisions that a candidate has heard of.
type announcements struct {
	revision uint64
	since    time.Time
}

func (a *announcements) hear(revision uint64) {
	if revision > a.revision {
		a.revision, a.since = revision, time.Now()
	}
}

func (a *announcements) get() (uint64, time.Time) { return a.revision, a.since }

func newHearingCandidate(s Store, host string, heard *announcements) *Leaser {
	return New(Config{
		Store: s, Zone: "z", Host: identifier.Host(host), Duration: duration, MaxOrderDelay: time.Second, Heard: heard.get,
		HeldByOther: func() bool { return heard.revision != object.Absent && time.Since(heard.since) <= duration },
	})
}

// Guards against a slow replacement of a holder that was cut off from the store. A candidate
// looked at the store only once it had heard of no holder for a while, then waited for the whole
// duration, looking every third of it, and then for calls in flight: 6 to 7.5 s with a duration of
// three. Counted from the last renewal that it heard of, it is the holder's validity and the
// longest call.
func TestHeardHolderIsReplacedInTime(t *testing.T) {
	for _, delay := range []time.Duration{0, 300 * time.Millisecond, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			s, heard := &countingStore{store: new(store)}, new(announcements)
			a, b := newHearingCandidate(s, "a", new(announcements)), newHearingCandidate(s, "b", heard)
			a.step(t.Context())
			first, held := a.Held()
			if !held || a.Revision() == object.Absent {
				t.Fatal("a does not hold")
			}
			renewedAt := time.Now()
			time.Sleep(delay)
			heard.hear(a.Revision())
			s.calls = 0
			ctx, cancel := context.WithCancel(t.Context())
			go func() { _ = b.Serve(ctx) }()
			for {
				time.Sleep(10 * time.Millisecond)
				_, heldA := a.Held()
				second, heldB := b.Held()
				if heldA && heldB {
					t.Fatal("two candidates hold the lease at once")
				}
				if _, exclusive := b.HeldExclusively(); exclusive {
					if second <= first {
						t.Errorf("fencing number %d after %d", second, first)
					}
					break
				}
			}
			took := time.Since(renewedAt)
			if earliest := validity(duration) + time.Second; took < earliest {
				t.Errorf("acts %v after the renewal, calls may be in flight until %v", took, earliest)
			}
			if latest := delay + max(validity(duration)+time.Second, duration+duration/takeoverSpread) + 20*time.Millisecond; took > latest {
				t.Errorf("acts %v after the renewal, want %v", took, latest)
			}
			if s.calls != 2 {
				t.Errorf("%d calls to the store, a read and a write are needed", s.calls)
			}
			cancel()
			synctest.Wait()
		})
	}
}

// Guards against a takeover from a holder that has renewed since: the announcement of a renewal
// was lost, so that the candidate counts from an older one.
func TestRenewalThatWasNotHeardCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, heard := new(store), new(announcements)
		a, b := newHearingCandidate(s, "a", new(announcements)), newHearingCandidate(s, "b", heard)
		a.step(t.Context())
		heard.hear(a.Revision())
		time.Sleep(duration / 3)
		a.step(t.Context())
		time.Sleep(duration - duration/3 + time.Millisecond)
		b.step(t.Context())
		if _, held := b.Held(); held {
			t.Error("taken over before the renewal expired")
		}
		// The late announcement says that the renewal is older than the candidate thought.
		heard.revision, heard.since = a.Revision(), time.Now().Add(-duration/2)
		time.Sleep(duration/2 + time.Millisecond)
		b.step(t.Context())
		if _, held := b.Held(); !held {
			t.Error("not taken over when the renewal has expired")
		}
	})
}

// Guards against a holder that acts at once because the answer of its takeover was lost: the
// former holder's calls may be in flight all the same.
func TestLostAnswerOfTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, heard := new(store), new(announcements)
		a, b := newHearingCandidate(s, "a", new(announcements)), newHearingCandidate(s, "b", heard)
		b.c.MaxOrderDelay = duration
		a.step(t.Context())
		heard.hear(a.Revision())
		time.Sleep(duration + time.Millisecond)
		s.set(func(s *store) { s.loseAnswers = true })
		b.step(t.Context())
		s.set(func(s *store) { s.loseAnswers = false })
		b.step(t.Context())
		if _, held := b.Held(); !held {
			t.Fatal("not held")
		}
		if _, exclusive := b.HeldExclusively(); exclusive {
			t.Error("held exclusively while calls of the former holder may be in flight")
		}
	})
}

// heardStep is one step of a random schedule, after which candidates may hear announcements.
type heardStep struct {
	scheduleStep
	// Hears are the candidates that hear the latest announcement, Late those that hear one of
	// before.
	Hears, Late int
}

// For any schedule of steps, pauses, faults and announcements that are late, lost or out of order,
// at most one candidate holds the lease, the fencing number never falls, and none acts while a
// call of another one may be in flight.
func TestHeardLeaseNeverTwoHolders(t *testing.T) {
	steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) heardStep {
		return heardStep{
			drawScheduleStep(rt),
			rapid.IntRange(0, 7).Draw(rt, "hears"), rapid.IntRange(0, 7).Draw(rt, "late"),
		}
	}), 1, 60)
	rapid.Check(t, func(rt *rapid.T) {
		schedule := steps.Draw(rt, "schedule")
		failure := ""
		synctest.Test(t, func(*testing.T) { failure = runHeardSchedule(schedule) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// runHeardSchedule runs a schedule and describes the first violation, or returns an empty string.
func runHeardSchedule(schedule []heardStep) string {
	s := &store{}
	var all []*Leaser
	var heard []*announcements
	for i := range 3 {
		heard = append(heard, new(announcements))
		all = append(all, newHearingCandidate(s, fmt.Sprint(i), heard[i]))
	}
	fencing, before := uint64(0), uint64(0)
	for i := range schedule {
		m := &schedule[i]
		s.set(func(s *store) { s.loseAnswers, s.down = m.Lose, m.Down })
		all[m.Who].step(context.Background())
		for j := range all {
			if m.Late>>j&1 == 1 && before > 0 {
				heard[j].hear(before)
			}
			if revision := all[m.Who].Revision(); m.Hears>>j&1 == 1 && j != m.Who && revision > 0 {
				heard[j].hear(revision)
			}
		}
		if revision := all[m.Who].Revision(); revision > 0 {
			before = revision
		}
		time.Sleep(m.Pause)
		if failure := checkHolders(all, &fencing); failure != "" {
			return failure
		}
	}
	return ""
}

// checkHolders describes a violation, or returns an empty string.
func checkHolders(all []*Leaser, fencing *uint64) string {
	holders := 0
	for i, l := range all {
		n, held := l.Held()
		if !held {
			continue
		}
		holders++
		if n < *fencing {
			return fmt.Sprintf("the fencing number fell from %d to %d", *fencing, n)
		}
		*fencing = n
		if _, exclusive := l.HeldExclusively(); !exclusive {
			continue
		}
		for j, other := range all {
			if j != i && time.Since(other.heldUntil) < other.c.MaxOrderDelay && !other.heldUntil.IsZero() {
				return fmt.Sprintf("%d acts %v after %d could", i, time.Since(other.heldUntil), j)
			}
		}
	}
	if holders > 1 {
		return fmt.Sprintf("%d holders", holders)
	}
	return ""
}
