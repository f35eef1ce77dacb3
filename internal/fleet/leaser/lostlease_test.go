package leaser

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/platform/object"
)

// Guards against duties that nobody performs any more: the store has lost the lease, and the only candidate left
// started after it was lost.
func TestLostLeaseIsTakenByANewCandidate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &eraStore{era: 2}
		l := New(Config{Store: s, Zone: "z", Host: "a", Duration: duration, Era: s.Era})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = l.Serve(ctx) }()
		time.Sleep(5 * duration)
		if _, held := l.Held(); !held {
			t.Error("nobody holds the lease")
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against two holders when the store loses the lease twice: a candidate that last looked at the store while the lease
// was lost for the first time counts its whole duration from then.
func TestLeaseThatIsLostTwiceIsNotTakenEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &eraStore{era: 1}
		ctx, cancel := context.WithCancel(t.Context())
		a := New(Config{Store: s, Zone: "z", Host: "a", Duration: duration, Era: s.Era, FirstStart: true})
		go func() { _ = a.Serve(ctx) }()
		time.Sleep(duration)
		other := false
		b := New(Config{
			Store: s, Zone: "z", Host: "b", Duration: duration, Era: s.Era, HeldByOther: func() bool { return other },
			Heard: func() (uint64, time.Time) { return 1, time.Time{} },
		})
		s.restore(object.Object{})
		b.step(ctx)
		other = true
		time.Sleep(3 * duration)
		if _, held := a.Held(); !held {
			t.Fatal("a does not hold the lease")
		}
		s.restore(object.Object{})
		other = false
		b.step(ctx)
		_, heldA := a.Held()
		if _, heldB := b.Held(); heldA && heldB {
			t.Error("a and b hold the lease")
		}
		cancel()
		synctest.Wait()
	})
}
