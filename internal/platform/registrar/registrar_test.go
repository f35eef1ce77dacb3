package registrar

import (
	"errors"
	"fmt"
	"testing"

	"brasschute/internal/core/identifier"

	"pgregory.net/rapid"
)

func record(t *testing.T, r *Registrar, born identifier.StartTime, revision uint64) identifier.Incarnation {
	t.Helper()
	n, err := r.Register("i-1", born, revision)
	if err != nil {
		t.Fatalf("born %d at revision %d: %v", born, revision, err)
	}
	return n
}

// An endpoint starts again under its id, its clock a minute behind. Its time of birth is
// lower than that of the life before, which must not be taken for the newer one.
func TestRevisionsTellWhichLifeIsNewer(t *testing.T) {
	var r Registrar
	first := record(t, &r, 100_000, 5)
	second := record(t, &r, 40_000, 6)
	if second <= first {
		t.Errorf("life %d after %d", second, first)
	}
	if _, err := r.Register("i-1", 100_000, 5); !errors.Is(err, ErrStale) {
		t.Errorf("the record before came back, error %v", err)
	}
	if n := record(t, &r, 40_000, 9); n != second {
		t.Errorf("life %d, %d had only changed", n, second)
	}
}

// A note of a peer comes late, after the endpoint has started again.
func TestLateNewsIsOfTheLifeItMeans(t *testing.T) {
	var r Registrar
	if _, known := r.Current("i-1", 1); known {
		t.Error("an endpoint is known that nobody has listed")
	}
	first := record(t, &r, 1, 5)
	if n, known := r.Current("i-1", 1); !known || n != first {
		t.Errorf("life %d, known %v", n, known)
	}
	if n, known := r.CurrentByID("i-1"); !known || n != first {
		t.Errorf("of a peer of the version before: life %d, known %v", n, known)
	}
	second := record(t, &r, 2, 6)
	if _, known := r.Current("i-1", 1); known {
		t.Error("news of the first life counts for the second")
	}
	if n, known := r.Current("i-1", 2); !known || n != second {
		t.Errorf("life %d, known %v", n, known)
	}
	if _, known := r.CurrentByID("i-1"); known {
		t.Error("news that may be of the first life counts for the second")
	}
}

// An endpoint always says when it was born. A record without it, where one had it, is
// another writer's.
func TestRecordWithoutBirthAfterOneWithIt(t *testing.T) {
	var r Registrar
	never := record(t, &r, 0, 3)
	first := record(t, &r, 7, 4)
	if first == never {
		t.Error("an endpoint that begins to say when it was born is the same life")
	}
	if _, err := r.Register("i-1", 0, 5); !errors.Is(err, ErrNoStartTime) {
		t.Errorf("error %v", err)
	}
	if n := record(t, &r, 7, 6); n != first {
		t.Errorf("life %d, %d goes on", n, first)
	}
}

// Records come in any order. At each moment the life is that of the highest revision, its
// number never falls, and the memory is bounded.
func TestLivesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Registrar
		revision, births := uint64(0), []identifier.StartTime{}
		for range rapid.IntRange(1, 20).Draw(t, "revisions") {
			births = append(births, identifier.StartTime(rapid.IntRange(1, 4).Draw(t, "born")))
		}
		var last identifier.Incarnation
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			at := uint64(rapid.IntRange(1, len(births)).Draw(t, "at"))
			n, err := r.Register("i-1", births[at-1], at)
			if errors.Is(err, ErrStale) != (at < revision) {
				t.Fatalf("revision %d after %d: %v", at, revision, err)
			}
			if err != nil {
				continue
			}
			revision = at
			if n < last {
				t.Fatalf("life %d after %d", n, last)
			}
			last = n
			if told, known := r.Current("i-1", births[at-1]); !known || told != n {
				t.Fatalf("life %d, %d is present", told, n)
			}
		}
	})
}

func TestMemoryIsBounded(t *testing.T) {
	var r Registrar
	for i := range 3 * maxLives {
		if _, err := r.Register(identifier.Endpoint(fmt.Sprint(i)), 1, uint64(i+1)); err != nil {
			t.Fatal(err)
		}
	}
	if len(r.lives) > maxLives {
		t.Errorf("%d lives are remembered", len(r.lives))
	}
	if _, known := r.Current(identifier.Endpoint(fmt.Sprint(3*maxLives-1)), 1); !known {
		t.Error("the newest life is forgotten")
	}
}
