package quotalimiter

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/core/identifier"
)

// An organisation that uses half of its quota sends three times its usual for two
// seconds. Over the window by which the quota is judged it stays below it all the
// time, yet a bucket as deep as the burst refused half of what came.
func TestShortOverloadWithinTheWindowIsAdmitted(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 8))
			o := desk(200_000)
			f := newFleet()
			const usual = 0.5 * 200_000 / tokens
			f.load(r, o, usual, 20*time.Second, connected)
			if share := f.load(r, o, 3*usual, 2*time.Second, connected); share < 0.97 {
				t.Errorf("seed %d: %.2f of a short overload admitted", seed, share)
			}
		})
	}
}

// An organisation sends five times its usual for a quarter of a minute. What it had
// saved up was given out at once, and then hardly anything for five seconds. No
// second may pass in which less than a seventh of the rate is given out, and the
// quota must hold.
func TestLongOverloadIsServedEvenly(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 9))
			o := desk(400_000)
			f := newFleet()
			const usual = 0.5 * 400_000 / tokens
			f.load(r, o, usual, 20*time.Second, connected)
			f.admitted = nil
			begun := time.Now()
			f.load(r, o, 5*usual, 15*time.Second, connected)
			limit := limitOf(o)
			if got := f.most(); got > limit {
				t.Errorf("seed %d: %.0f tokens in a window, limit %.0f", seed, got, limit)
			}
			for second := range 15 {
				from := begun.Add(time.Duration(second) * time.Second)
				sum := 0.0
				for _, c := range f.admitted {
					if !c.at.Before(from) && c.at.Before(from.Add(time.Second)) {
						sum += c.tokens
					}
				}
				if sum < 0.15*o.RatePerSecond {
					t.Errorf("seed %d, second %d: %.2f of the rate", seed, second, sum/o.RatePerSecond)
				}
			}
		})
	}
}

// All daemons are killed at half of a quota and start again a second later. They have
// not heard each other yet, and each gave out an eighth of the rate only: a third of
// the first second's requests was refused. What the holder of the duties wrote down
// tells them that there is plenty.
func TestRestartWithARecordRefusesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(11, 10))
		o := desk(400_000)
		f := newFleet()
		const usual = 0.5 * 400_000 / tokens
		f.load(r, o, usual, 20*time.Second, connected)
		record := f.daemons[0].Snapshot(time.Now())
		time.Sleep(time.Second)
		for i := range f.daemons {
			f.daemons[i] = newProcess()
			f.daemons[i].Restore(record, time.Since(record.At))
		}
		if share := f.load(r, o, usual, time.Second, connected); share < 0.97 {
			t.Errorf("%.2f admitted in the first second", share)
		}
	})
}

// The same at an organisation's limit: the record tells that nothing is left, and the
// new processes must not give out the burst again. One that is older than a few
// seconds tells nothing.
func TestRecordOfAUsedQuotaGivesNothing(t *testing.T) {
	for _, age := range []time.Duration{time.Second, 20 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(12, 11))
			o := desk(200_000)
			f := newFleet()
			f.load(r, o, 64, 20*time.Second, connected)
			record := f.daemons[0].Snapshot(time.Now())
			for i := range f.daemons {
				f.daemons[i] = newProcess()
				f.daemons[i].Restore(record, age)
			}
			time.Sleep(500 * time.Millisecond)
			f.load(r, o, 64, 10*time.Second, connected)
			limit := limitOf(o)
			if got := f.most(); got > limit {
				t.Errorf("record of %s: %.0f tokens in a window, limit %.0f", age, got, limit)
			}
		})
	}
}

// A quota lets three or four usual requests through at once. A daemon that had seen one small
// request kept its bucket only as deep as a few like it, and refused the next one, of the
// usual size, while most of the quota was unused.
func TestSmallRequestLeavesRoomForAUsualOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, small, usual = 60_000, 3_000, 50_000
		a := New(Config{Window: 8 * time.Second, Overage: 0.1, GossipDelay: func() time.Duration { return 2 * time.Second }})
		o := desk(rate)
		time.Sleep(joining)
		for _, size := range []float64{small, usual} {
			if v := a.Admit(o, size); v.RetryAfter > 0 {
				t.Errorf("a request of %.0f tokens is refused at a level of %.0f", size, v.Level)
			}
			time.Sleep(time.Second)
		}
	})
}

// A line of the log said "left 208014, charge 23888" of a request that was refused: what had
// no room for it was this daemon's part, and the line did not say so.
func TestVerdictSaysWhatHadNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate = 60_000
		a := New(Config{Window: 8 * time.Second, Overage: 0.1, GossipDelay: func() time.Duration { return 2 * time.Second }})
		o := desk(rate)
		time.Sleep(joining)
		if v := a.Admit(o, 0.9*rate); v.RetryAfter > 0 || v.Cause != "" {
			t.Errorf("a first request: %+v", v)
		}
		if v := a.Admit(o, 0.9*rate); v.Cause != BucketEmpty || v.Used <= 0 || v.Used >= 1 {
			t.Errorf("a second request at once: %+v", v)
		}
		// Another daemon asks for six times the rate: each gives out its part only.
		for range 8 {
			a.Merge(Update{Host: "other", Incarnation: 1, Age: time.Minute, Accounts: map[identifier.Organisation]Account{o.Name: {Asked: 6 * rate}}})
			time.Sleep(500 * time.Millisecond)
		}
		causes := make(map[Cause]int)
		for range 12 {
			v := a.Admit(o, 0.2*rate)
			causes[v.Cause]++
			time.Sleep(100 * time.Millisecond)
		}
		if causes[ShareExhausted] == 0 {
			t.Errorf("causes %v", causes)
		}
		time.Sleep(time.Minute)
		if v := a.Admit(o, 0.9*rate); v.Cause != Isolated && v.RetryAfter > 0 {
			t.Errorf("cut off: %+v", v)
		}
	})
}
