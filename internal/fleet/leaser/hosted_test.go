package leaser

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/object"
)

// Guards against a restarted holder that waits for its own old lease to expire. The process is
// killed and starts again on its host within half a second; waiting would leave the duties
// undone without need, as the two are one holder.
func TestRestartedHolderTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := new(store)
		old := newCandidate(s, "a")
		old.step(context.Background())
		first, held := old.Held()
		if !held {
			t.Fatal("not held")
		}
		next, other := newCandidate(s, "a"), newCandidate(s, "b")
		other.step(context.Background())
		next.step(context.Background())
		second, held := next.Held()
		if !held || second <= first {
			t.Errorf("held %v with number %d after %d", held, second, first)
		}
		if _, held := other.Held(); held {
			t.Error("another host holds the lease too")
		}
		if _, exclusive := next.HeldExclusively(); exclusive {
			t.Error("held exclusively while orders of the killed process may be in flight")
		}
		time.Sleep(MaxOrderDelay + time.Millisecond)
		if _, exclusive := next.HeldExclusively(); !exclusive {
			t.Error("never held exclusively")
		}
	})
}

func TestReleasedLeaseIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := new(store)
		a, b := newCandidate(s, "a"), newCandidate(s, "b")
		a.step(context.Background())
		if err := a.Release(context.Background()); err != nil {
			t.Fatal(err)
		}
		if _, held := a.Held(); held {
			t.Error("still held")
		}
		b.step(context.Background())
		if _, held := b.Held(); !held {
			t.Error("not taken over")
		}
	})
}

// A holder that renews regularly need not read what it wrote itself, and the other candidates need
// not read the lease while a peer reports that another one holds it.
func TestStoreCallsOfHolderAndFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &countingStore{store: new(store)}
		a := New(Config{Store: s, Zone: "z", Host: "a", Duration: duration})
		b := New(Config{Store: s, Zone: "z", Host: identifier.Host("b"), Duration: duration, HeldByOther: func() bool { return true }})
		a.step(context.Background())
		s.calls = 0
		for range 10 {
			a.step(context.Background())
			b.step(context.Background())
			time.Sleep(duration / renewalsPerDuration)
		}
		if s.calls != 10 {
			t.Errorf("%d calls for 10 renewals", s.calls)
		}
	})
}

// Guards against a holder that acts after a suspension: its monotonic clock stood still, but by
// the clock that counts the suspension its lease has expired.
func TestLeaseExpiresDuringSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspended := time.Duration(0)
		a := New(Config{Store: new(store), Zone: "z", Host: "a", Duration: duration, Now: func() time.Time { return time.Now().Add(suspended) }})
		a.step(context.Background())
		suspended = duration
		if _, held := a.Held(); held {
			t.Error("held after a suspension longer than the lease")
		}
	})
}

type countingStore struct {
	*store
	calls int
}

func (c *countingStore) Get(ctx context.Context, key string) (object.Object, error) {
	c.calls++
	return c.store.Get(ctx, key)
}

func (c *countingStore) Put(ctx context.Context, key string, ifVersion uint64, value any) (object.Object, error) {
	c.calls++
	return c.store.Put(ctx, key, ifVersion, value)
}
