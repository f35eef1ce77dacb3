package quarantiner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"brasschute/internal/core/identifier"
)

const fatal = identifier.Fingerprint("fatal")

// ending returns an ending at the nth endpoint.
func ending(n int) Ending { return Ending{Endpoint: identifier.Endpoint(fmt.Sprint("i-", n))} }

// held reports whether z holds a request.
func held(z *Quarantiner, f identifier.Fingerprint) bool { return z.Admit(f, "request").Held }

// withFakeTime runs a check in a synctest bubble, with a quarantiner of host a.
func withFakeTime(t *testing.T, check func(t *testing.T, z *Quarantiner)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { check(t, New(Config{Host: "a"})) })
}

// TestVerdicts checks which endings and answers make a request held.
func TestVerdicts(t *testing.T) {
	weakEnding := func(n int) Ending { e := ending(n); e.Weak = true; return e }
	for _, c := range []struct {
		name string
		do   func(z *Quarantiner)
		held bool
	}{
		{"one ending", func(z *Quarantiner) { z.RecordEnding(fatal, ending(1)) }, false},
		{"two endings", func(z *Quarantiner) { z.RecordEnding(fatal, ending(1)); z.RecordEnding(fatal, ending(2)) }, true},
		{"one ending seen twice", func(z *Quarantiner) { z.RecordEnding(fatal, ending(1)); z.RecordEnding(fatal, ending(1)) }, false},
		{"two incarnations of one endpoint", func(z *Quarantiner) {
			z.RecordEnding(fatal, Ending{Endpoint: "i-1", Born: 1})
			z.RecordEnding(fatal, Ending{Endpoint: "i-1", Born: 2})
		}, true},
		{"two endings after events", func(z *Quarantiner) { z.RecordEnding(fatal, weakEnding(1)); z.RecordEnding(fatal, weakEnding(2)) }, false},
		{"four endings after events", func(z *Quarantiner) {
			for n := range 4 {
				z.RecordEnding(fatal, weakEnding(n))
			}
		}, true},
		{"an answer between two endings", func(z *Quarantiner) {
			z.RecordEnding(fatal, ending(1))
			z.RecordAnswer(fatal)
			z.RecordEnding(fatal, ending(2))
		}, false},
		{"an answer after two endings", func(z *Quarantiner) {
			z.RecordEnding(fatal, ending(1))
			z.RecordEnding(fatal, ending(2))
			z.RecordAnswer(fatal)
		}, false},
		{"answered shortly before two endings", func(z *Quarantiner) {
			z.RecordAnswer(fatal)
			z.RecordEnding(fatal, ending(1))
			z.RecordEnding(fatal, ending(2))
		}, false},
		{"answered long before", func(z *Quarantiner) {
			z.RecordAnswer(fatal)
			time.Sleep(3 * generationTime)
			z.RecordEnding(fatal, ending(1))
			z.RecordEnding(fatal, ending(2))
		}, true},
		{"lifted", func(z *Quarantiner) {
			z.RecordEnding(fatal, ending(1))
			z.RecordEnding(fatal, ending(2))
			z.Lift(fatal)
		}, false},
		{"lifted, and two further endings", func(z *Quarantiner) {
			z.RecordEnding(fatal, ending(1))
			z.RecordEnding(fatal, ending(2))
			z.Lift(fatal)
			z.RecordEnding(fatal, ending(3))
			z.RecordEnding(fatal, ending(4))
		}, true},
		{"the first ending long ago", func(z *Quarantiner) {
			z.RecordEnding(fatal, ending(1))
			time.Sleep(suspectTime + time.Second)
			z.RecordEnding(fatal, ending(2))
		}, false},
		{"the second ending explained by a held request", func(z *Quarantiner) {
			z.RecordEnding("other", ending(1))
			z.RecordEnding(fatal, ending(2))
			z.RecordEnding("other", ending(2))
			z.RecordEnding(fatal, ending(3))
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFakeTime(t, func(t *testing.T, z *Quarantiner) {
				c.do(z)
				if got := held(z, fatal); got != c.held {
					t.Errorf("held %v, want %v: %+v", got, c.held, z.List())
				}
			})
		})
	}
}

// A request is held although it would be answered by now. If it stayed held forever, it would never
// be cleared. After a pause one arrival must be admitted, by the daemon that saw the last ending
// and no other.
func TestHeldRequestIsTriedAgain(t *testing.T) {
	withFakeTime(t, func(t *testing.T, z *Quarantiner) {
		z.RecordEnding(fatal, ending(1))
		z.RecordEnding(fatal, ending(2))
		other := New(Config{Host: "b"})
		other.Merge(z.Updates())
		time.Sleep(firstPause)
		if v := other.Admit(fatal, "x"); !v.Held || v.Trial {
			t.Errorf("admitted by the daemon that did not see the last ending: %+v", v)
		}
		if v := z.Admit(fatal, "x"); v.Held || !v.Trial {
			t.Errorf("not admitted as a trial: %+v", v)
		}
		if v := z.Admit(fatal, "x"); v.Held {
			t.Errorf("the same arrival is refused right before it is sent: %+v", v)
		}
		if v := z.Admit(fatal, "y"); !v.Held {
			t.Errorf("a second arrival is admitted, too: %+v", v)
		}
		z.RecordEnding(fatal, ending(3))
		time.Sleep(firstPause)
		if v := z.Admit(fatal, "x"); !v.Held {
			t.Errorf("admitted although the trial failed: %+v", v)
		}
		time.Sleep(firstPause * pauseFactor)
		if v := z.Admit(fatal, "z"); !v.Trial {
			t.Errorf("no trial after ten times the pause: %+v", v)
		}
		z.RecordAnswer(fatal)
		other.Merge(z.Updates())
		for host, one := range map[string]*Quarantiner{"a": z, "b": other} {
			if held(one, fatal) {
				t.Errorf("%s holds the request after the answer", host)
			}
		}
	})
}

// A request waits at a third endpoint when the second one ends while running it. The waiting
// attempt must be withdrawn, but not an attempt that has delivered something.
func TestWaitingAttemptsAreWithdrawn(t *testing.T) {
	withFakeTime(t, func(t *testing.T, z *Quarantiner) {
		var withdrawn [2]bool
		z.Track(fatal, func() { withdrawn[0] = true })
		untrack := z.Track(fatal, func() { withdrawn[1] = true })
		z.RecordEnding(fatal, ending(1))
		untrack()
		z.RecordEnding(fatal, ending(2))
		synctest.Wait()
		if withdrawn != [2]bool{true, false} {
			t.Errorf("withdrawn: %v", withdrawn)
		}
	})
}

// A client sends a thousand bodies that end an endpoint each. They must not evict a held request.
func TestHeldRequestsSurviveFlood(t *testing.T) {
	withFakeTime(t, func(t *testing.T, z *Quarantiner) {
		z.RecordEnding(fatal, ending(1))
		z.RecordEnding(fatal, ending(2))
		for n := range 2 * maxSuspects {
			time.Sleep(time.Millisecond)
			z.RecordEnding(identifier.Fingerprint(fmt.Sprint(n)), ending(n+10))
		}
		if !held(z, fatal) {
			t.Error("the held request was evicted")
		}
		if n := len(z.List()); n != maxSuspects {
			t.Errorf("%d suspects are kept", n)
		}
		if n := z.EvictedCount(); n != maxSuspects+1 {
			t.Errorf("%d suspects evicted", n)
		}
		if n := len(z.Updates()); n != maxUpdates || !z.Updates()[0].Held {
			t.Errorf("%d suspects in the updates", n)
		}
	})
}

// A held request is forgotten after heldTime, and a late update from another daemon must not bring it
// back.
func TestHeldRequestsLapse(t *testing.T) {
	withFakeTime(t, func(t *testing.T, z *Quarantiner) {
		z.RecordEnding(fatal, ending(1))
		z.RecordEnding(fatal, ending(2))
		old := z.Updates()
		time.Sleep(heldTime + time.Second)
		z.RecordEnding("other", ending(3))
		if held(z, fatal) || len(z.List()) != 1 {
			t.Errorf("after %v: %+v", heldTime, z.List())
		}
		if z.Merge(old) {
			t.Error("a lapsed suspect counts as new")
		}
	})
}

// Daemons see endings and answers and learn of others late, twice and in any order. In the end all
// must decide the same.
func TestDaemonsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 4
		var list [daemons]*Quarantiner
		for i := range list {
			list[i] = New(Config{Host: identifier.Host(fmt.Sprint("host-", i))})
		}
		var messages [][]Suspect
		requests := []identifier.Fingerprint{"x", "y", "z"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			d := list[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			f := rapid.SampledFrom(requests).Draw(t, "request")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				e := ending(rapid.IntRange(0, 9).Draw(t, "endpoint"))
				e.Weak = rapid.Bool().Draw(t, "weak")
				d.RecordEnding(f, e)
			case 2:
				d.RecordAnswer(f)
			case 3, 4, 5:
				messages = append(messages, d.Updates())
			default:
				if len(messages) > 0 {
					d.Merge(messages[rapid.IntRange(0, len(messages)-1).Draw(t, "message")])
				}
			}
		}
		for range daemons {
			for _, from := range list {
				for _, to := range list {
					to.Merge(from.List())
				}
			}
		}
		for _, f := range requests {
			for i, d := range list {
				if held(d, f) != held(list[0], f) {
					t.Fatalf("%s: host-0 %+v, host-%d %+v", f, list[0].List(), i, d.List())
				}
			}
		}
	})
}

// Guards against daemons with the same endings that hold different requests, as an earlier record of an ending, which decides
// which of two requests is held, came after a later one.
func TestEarlierRecordOfAnEndingDecides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		at := func(n int, after time.Duration) Ending {
			e := ending(n)
			e.Seen, e.At = "host-9", start.Add(after)
			return e
		}
		time.Sleep(time.Minute)
		x := Suspect{Fingerprint: "x", Endings: []Ending{at(1, time.Second), at(2, 2*time.Second)}}
		later := Suspect{Fingerprint: "z", Endings: []Ending{at(1, time.Second), at(3, 3*time.Second)}}
		earlier := Suspect{Fingerprint: "z", Endings: []Ending{at(1, time.Second), at(3, 1500*time.Millisecond)}}
		z, other := New(Config{Host: "host-0"}), New(Config{Host: "host-1"})
		z.Merge([]Suspect{x, later})
		if !held(z, "x") || held(z, "z") {
			t.Fatalf("want only x held: %+v", z.List())
		}
		z.Merge([]Suspect{earlier})
		other.Merge([]Suspect{x, earlier})
		for _, f := range []identifier.Fingerprint{"x", "z"} {
			if held(z, f) != held(other, f) {
				t.Errorf("%s: %+v, want %+v", f, z.List(), other.List())
			}
		}
	})
}
