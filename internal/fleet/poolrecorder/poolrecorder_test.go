package poolrecorder

import (
	"context"
	"encoding/json"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/config/document"
	"brasschute/internal/platform/object"
)

// store is a fake store that counts writes.
type store struct {
	o      object.Object
	down   bool
	lose   bool
	writes int
}

func (s *store) Get(context.Context, string) (object.Object, error) {
	switch {
	case s.down:
		return object.Object{}, object.ErrUnavailable
	case s.o.Version == object.Absent:
		return s.o, object.ErrMissing
	}
	return s.o, nil
}

func (s *store) Put(_ context.Context, _ string, ifVersion uint64, value any) (object.Object, error) {
	switch {
	case s.down:
		return object.Object{}, object.ErrUnavailable
	case s.o.Version != ifVersion:
		return object.Object{}, object.ErrConflict
	}
	s.writes++
	raw, _ := json.Marshal(value)
	s.o = object.Object{Version: ifVersion + 1, Value: raw}
	if s.lose {
		return object.Object{}, object.ErrUnknown
	}
	return s.o, nil
}

// newRecorder returns a recorder whose clock differs from the true time.
func newRecorder(s *store, unreadable *int) *Recorder {
	return New(Config{Store: s, TrueTime: func() time.Time { return time.Now().Add(time.Hour) }, OnUnreadable: func(error) { *unreadable++ }})
}

func newRecord(fencing uint64, needed float64, now time.Time) *Record {
	return &Record{Fencing: fencing, Pools: []Pool{{
		Service: "lm", Needed: needed, NeededAge: 500,
		Places: []ZonePool{{Zone: "a", Class: document.ClassReclaimable, Ordered: 7, OrderedAge: AgeOf(now.Add(-2*time.Second), now)}},
	}}}
}

// The newer copy counts: the store's after a note was lost, the note's while the holder could not
// write. Ages go on while a copy lies in the store or at a candidate.
func TestNewerCopyCounts(t *testing.T) {
	for _, c := range []struct {
		name      string
		storeDown bool
		noteFirst bool
		source    Source
		needed    float64
	}{
		{"note newer than the store", false, false, FromNote, 60},
		{"store newer than the note", false, true, FromStore, 60},
		{"store unreachable", true, true, FromNote, 50},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, unreadable := new(store), 0
				holder, next := newRecorder(s, &unreadable), newRecorder(s, &unreadable)
				holder.Update(newRecord(3, 50, time.Now()))
				note := holder.Encode(3)
				if !c.noteFirst {
					if err := holder.Write(t.Context()); err != nil {
						t.Fatal(err)
					}
				}
				holder.Update(newRecord(3, 60, time.Now()))
				if !c.noteFirst {
					note = holder.Encode(3)
				} else if err := holder.Write(t.Context()); err != nil {
					t.Fatal(err)
				}
				next.Merge(note)
				time.Sleep(3 * time.Second)
				s.down = c.storeDown
				got, source, err := next.Inherit(t.Context())
				if got == nil || source != c.source || got.Pools[0].Needed != c.needed || c.storeDown != (err != nil) {
					t.Fatalf("inherited %+v from the %s (%v), want %.0f from the %s", got, source, err, c.needed, c.source)
				}
				ordered := got.Pools[0].Places[0].OrderedAge.Time(got.At)
				if age := time.Since(ordered); (age - 5*time.Second).Abs() > 50*time.Millisecond {
					t.Errorf("an order of 5 s ago is %v old", age)
				}
			})
		})
	}
}

// A note of a former holder that arrives late must not replace that of its successor, and one of
// a daemon without the field changes nothing.
func TestLateNoteIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, unreadable := &store{down: true}, 0
		former, holder, next := newRecorder(s, &unreadable), newRecorder(s, &unreadable), newRecorder(s, &unreadable)
		former.Update(newRecord(3, 50, time.Now()))
		late := former.Encode(3)
		holder.Update(newRecord(4, 60, time.Now()))
		next.Merge(holder.Encode(4))
		next.Merge(late)
		next.Merge(nil)
		if got, _, _ := next.Inherit(t.Context()); got == nil || got.Fencing != 4 {
			t.Errorf("inherited %+v", got)
		}
		if former.Encode(5) != nil {
			t.Error("a record of another fencing number is sent")
		}
	})
}

// An unreadable record is reported and treated as if there were none, and the next write replaces
// it. Without that, no holder could keep a record again.
func TestUnreadableRecordIsReplaced(t *testing.T) {
	for _, value := range []string{"\x00", `{"Fencing":"x"}`, `{}`, `{"Fencing":1,"Pools":[{"Needed":-1}]}`, `{"Fencing":1,"Pools":[{"NeededAge":9000000000000000}]}`} {
		synctest.Test(t, func(t *testing.T) {
			s, unreadable := &store{o: object.Object{Version: 8, Value: []byte(value)}}, 0
			r := newRecorder(s, &unreadable)
			r.Merge([]byte(value))
			if got, source, err := r.Inherit(t.Context()); got != nil || source != FromNone || err != nil || unreadable != 2 {
				t.Errorf("%q: inherited %+v from %s, %v, %d reported", value, got, source, err, unreadable)
			}
			r.Update(newRecord(2, 50, time.Now()))
			if err := r.Write(t.Context()); err != nil || s.writes != 1 {
				t.Errorf("%q: %d writes, %v", value, s.writes, err)
			}
		})
	}
}

// Guards against calls to the store that only time explains: each has a cost.
func TestWritesOnlyChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, unreadable := new(store), 0
		r := newRecorder(s, &unreadable)
		orderedAt := time.Now()
		write := func(needed float64, ordered int) int {
			time.Sleep(time.Second)
			record := newRecord(2, needed, time.Now())
			record.Pools[0].Places[0].Ordered, record.Pools[0].Places[0].OrderedAge = ordered, AgeOf(orderedAt, time.Now())
			r.Update(record)
			if err := r.Write(t.Context()); err != nil {
				t.Fatal(err)
			}
			return s.writes
		}
		for i, step := range []struct {
			needed  float64
			ordered int
			writes  int
		}{{50, 7, 1}, {50, 7, 1}, {52, 7, 1}, {57, 7, 2}, {57, 9, 3}, {57, 9, 3}} {
			if got := write(step.needed, step.ordered); got != step.writes {
				t.Errorf("%d writes after step %d, want %d", got, i, step.writes)
			}
		}
	})
}

// Guards against a stored record that is too old to be inherited because the load is steady, and
// against more calls to the store than that takes.
func TestSteadyRecordIsRefreshed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, unreadable := new(store), 0
		r := newRecorder(s, &unreadable)
		orderedAt := time.Now()
		for range 61 {
			record := newRecord(2, 50, time.Now())
			record.Pools[0].Places[0].OrderedAge = AgeOf(orderedAt, time.Now())
			r.Update(record)
			if err := r.Write(t.Context()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		if got, source, _ := newRecorder(s, &unreadable).Inherit(t.Context()); got == nil || source != FromStore {
			t.Errorf("inherited %+v from %s after a minute of steady load", got, source)
		}
		if s.writes > 7 {
			t.Errorf("%d writes in a minute of steady load", s.writes)
		}
		// A record that is no longer updated does not become newer by being stored again.
		writes := s.writes
		time.Sleep(time.Minute)
		if err := r.Write(t.Context()); err != nil || s.writes != writes {
			t.Errorf("%d writes of an unchanged record, %v", s.writes-writes, err)
		}
	})
}

// Guards against a new holder that does not know the need yet and replaces its predecessor's record
// by an empty one, in the store or in its notes.
func TestEmptyRecordReplacesNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, unreadable := new(store), 0
		former, holder := newRecorder(s, &unreadable), newRecorder(s, &unreadable)
		former.Update(newRecord(3, 50, time.Now()))
		if err := former.Write(t.Context()); err != nil {
			t.Fatal(err)
		}
		holder.Update(&Record{Fencing: 4, At: time.Now()})
		if err := holder.Write(t.Context()); err != nil {
			t.Fatal(err)
		}
		if raw := holder.Encode(4); raw != nil {
			t.Errorf("a record without pools is sent: %s", raw)
		}
		if got, _, err := newRecorder(s, &unreadable).Inherit(t.Context()); got == nil || got.Fencing != 3 {
			t.Errorf("inherited %+v, %v", got, err)
		}
	})
}

// Guards against a change of the numbers besides the need that is not stored.
func TestWritesOtherNumbers(t *testing.T) {
	for name, change := range map[string]func(*Pool){
		"on-demand need": func(p *Pool) { p.OnDemandNeeded = 20 },
		"served":         func(p *Pool) { p.Served = 20 },
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			a, b := newRecord(2, 50, now), newRecord(2, 50, now)
			a.At, b.At = now, now
			if a.differs(b) {
				t.Fatal("equal records differ")
			}
			change(&a.Pools[0])
			if !a.differs(b) {
				t.Error("the change is not stored")
			}
		})
	}
}

// Guards against a call of a missing OnUnreadable, and a record that can't be encoded being left
// out of the notes without a report.
func TestUnreadableIsReported(t *testing.T) {
	New(Config{TrueTime: time.Now}).Merge([]byte("x"))
	s, unreadable := new(store), 0
	r := newRecorder(s, &unreadable)
	r.Update(newRecord(2, math.Inf(1), time.Now()))
	if raw := r.Encode(2); raw != nil || unreadable != 1 {
		t.Errorf("encoded %q, %d errors reported", raw, unreadable)
	}
}

// A write whose answer is lost is followed by a read, and a record of a later holder stays.
func TestLostAnswerAndLaterHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, unreadable := &store{lose: true}, 0
		r, later := newRecorder(s, &unreadable), newRecorder(s, &unreadable)
		r.Update(newRecord(2, 50, time.Now()))
		if err := r.Write(t.Context()); err == nil {
			t.Fatal("a lost answer is no error")
		}
		s.lose = false
		if err := r.Write(t.Context()); err != nil {
			t.Fatal(err)
		}
		later.Update(newRecord(3, 70, time.Now()))
		if err := later.Write(t.Context()); err != nil {
			t.Fatal(err)
		}
		r.Update(newRecord(2, 90, time.Now()))
		for range 3 {
			if err := r.Write(t.Context()); err == nil {
				t.Error("the record of a later holder was replaced")
			}
		}
		time.Sleep(maxAge + time.Second)
		if err := r.Write(t.Context()); err != nil {
			t.Errorf("an old record of a higher number stays for ever: %v", err)
		}
	})
}

// A record of long ago says nothing of today's load.
func TestOldRecordIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, unreadable := new(store), 0
		r := newRecorder(s, &unreadable)
		r.Update(newRecord(2, 50, time.Now()))
		if err := r.Write(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(maxAge + time.Second)
		if got, source, err := newRecorder(s, &unreadable).Inherit(t.Context()); got != nil || source != FromNone || err != nil {
			t.Errorf("inherited %+v from %s, %v", got, source, err)
		}
	})
}
