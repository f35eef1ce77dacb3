package registrar

import (
	"errors"
	"fmt"
	"testing"

	"brasschute/internal/core/identifier"

	"pgregory.net/rapid"
)

func mustRegister(t *testing.T, r *Registrar, startTime identifier.StartTime, revision uint64) identifier.Incarnation {
	t.Helper()
	n, err := r.Register("i-1", startTime, revision)
	if err != nil {
		t.Fatalf("start time %d at revision %d: %v", startTime, revision, err)
	}
	return n
}

// An endpoint restarts under its id, with its clock a minute behind. Its start time is
// earlier than that of the previous incarnation, which must not be mistaken for the newer one.
func TestRevisionOrdersIncarnations(t *testing.T) {
	var r Registrar
	first := mustRegister(t, &r, 100_000, 5)
	second := mustRegister(t, &r, 40_000, 6)
	if second <= first {
		t.Errorf("incarnation %d after %d", second, first)
	}
	if _, err := r.Register("i-1", 100_000, 5); !errors.Is(err, ErrStale) {
		t.Errorf("the earlier record was accepted, error %v", err)
	}
	if n := mustRegister(t, &r, 40_000, 9); n != second {
		t.Errorf("incarnation %d for a changed record of %d", n, second)
	}
}

// An update from a peer arrives late, after the endpoint has restarted. It must not count
// for the new incarnation.
func TestLateUpdateOfEarlierIncarnation(t *testing.T) {
	var r Registrar
	if _, known := r.Current("i-1", 1); known {
		t.Error("an endpoint is known that was withoutTime registered")
	}
	first := mustRegister(t, &r, 1, 5)
	if n, known := r.Current("i-1", 1); !known || n != first {
		t.Errorf("incarnation %d, known %v", n, known)
	}
	if n, known := r.CurrentByID("i-1"); !known || n != first {
		t.Errorf("from a peer of the previous version: incarnation %d, known %v", n, known)
	}
	second := mustRegister(t, &r, 2, 6)
	if _, known := r.Current("i-1", 1); known {
		t.Error("an update of the first incarnation counts for the second")
	}
	if n, known := r.Current("i-1", 2); !known || n != second {
		t.Errorf("incarnation %d, known %v", n, known)
	}
	if _, known := r.CurrentByID("i-1"); known {
		t.Error("an update that may be of the first incarnation counts for the second")
	}
}

// An endpoint that states its start time does so in every record. A record without it, after
// one that had it, comes from another writer and must be refused.
func TestRecordWithoutStartTimeAfterOneWithIt(t *testing.T) {
	var r Registrar
	withoutTime := mustRegister(t, &r, 0, 3)
	first := mustRegister(t, &r, 7, 4)
	if first == withoutTime {
		t.Error("an endpoint that begins to state its start time is the same incarnation")
	}
	if _, err := r.Register("i-1", 0, 5); !errors.Is(err, ErrNoStartTime) {
		t.Errorf("error %v", err)
	}
	if n := mustRegister(t, &r, 7, 6); n != first {
		t.Errorf("incarnation %d, want %d", n, first)
	}
}

// Records arrive in any order. The current incarnation must always be that of the record
// with the highest revision, and its number must never decrease.
func TestIncarnationsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Registrar
		revision, startTimes := uint64(0), []identifier.StartTime{}
		for range rapid.IntRange(1, 20).Draw(t, "revisions") {
			startTimes = append(startTimes, identifier.StartTime(rapid.IntRange(1, 4).Draw(t, "start time")))
		}
		var last identifier.Incarnation
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			at := uint64(rapid.IntRange(1, len(startTimes)).Draw(t, "at"))
			n, err := r.Register("i-1", startTimes[at-1], at)
			if errors.Is(err, ErrStale) != (at < revision) {
				t.Fatalf("revision %d after %d: %v", at, revision, err)
			}
			if err != nil {
				continue
			}
			revision = at
			if n < last {
				t.Fatalf("incarnation %d after %d", n, last)
			}
			last = n
			if current, known := r.Current("i-1", startTimes[at-1]); !known || current != n {
				t.Fatalf("incarnation %d, %d is current", current, n)
			}
		}
	})
}

func TestMemoryIsBounded(t *testing.T) {
	var r Registrar
	for i := range 3 * maxEndpoints {
		if _, err := r.Register(identifier.Endpoint(fmt.Sprint(i)), 1, uint64(i+1)); err != nil {
			t.Fatal(err)
		}
	}
	if len(r.entries) > maxEndpoints {
		t.Errorf("%d entries are kept", len(r.entries))
	}
	if _, known := r.Current(identifier.Endpoint(fmt.Sprint(3*maxEndpoints-1)), 1); !known {
		t.Error("the newest entry was evicted")
	}
}
