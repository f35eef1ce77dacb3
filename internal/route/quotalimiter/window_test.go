package quotalimiter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/core/identifier"
)

// An organisation that uses half of its quota sends three times its usual load for two seconds.
// Over the quota's window it stays below its limit all the time, yet a bucket only as deep as the
// burst refused half of the load.
func TestShortOverloadWithinTheWindowIsAdmitted(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 8))
			o := newOrganisation(200_000)
			f := newFleet()
			const usual = 0.5 * 200_000 / tokens
			f.load(r, o, usual, 20*time.Second, noPartition)
			if share := f.load(r, o, 3*usual, 2*time.Second, noPartition); share < 0.97 {
				t.Errorf("seed %d: admitted %.2f of a short overload", seed, share)
			}
		})
	}
}

// An organisation sends five times its usual load for a quarter of a minute. When its saved
// allowance was released at once, hardly anything was admitted for the next five seconds. In every
// second at least a seventh of the rate must be admitted, and the quota must hold.
func TestLongOverloadIsServedEvenly(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 9))
			o := newOrganisation(400_000)
			f := newFleet()
			const usual = 0.5 * 400_000 / tokens
			f.load(r, o, usual, 20*time.Second, noPartition)
			f.admitted = nil
			begun := time.Now()
			f.load(r, o, 5*usual, 15*time.Second, noPartition)
			limit := limitOf(o)
			if got := f.maxInWindow(); got > limit {
				t.Errorf("seed %d: %.0f tokens in one window, limit %.0f", seed, got, limit)
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
					t.Errorf("seed %d, second %d: admitted %.2f of the rate", seed, second, sum/o.RatePerSecond)
				}
			}
		})
	}
}

// All daemons are killed at half of a quota and start again a second later, with no updates from
// each other yet. Without a snapshot each admitted only an eighth of the rate, and a third of the
// first second's requests was refused. The snapshot stored by the lease holder shows that there is
// plenty left.
func TestRestartWithASnapshotRefusesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(11, 10))
		o := newOrganisation(400_000)
		f := newFleet()
		const usual = 0.5 * 400_000 / tokens
		f.load(r, o, usual, 20*time.Second, noPartition)
		snapshot := f.daemons[0].Snapshot(time.Now())
		time.Sleep(time.Second)
		for i := range f.daemons {
			f.daemons[i] = newDaemon()
			f.daemons[i].Restore(snapshot, time.Since(snapshot.At))
		}
		if share := f.load(r, o, usual, time.Second, noPartition); share < 0.97 {
			t.Errorf("admitted %.2f in the first second", share)
		}
	})
}

// As above at an organisation's limit: the snapshot shows that nothing is left, and the new
// processes must not admit the burst again. A snapshot older than a few seconds provides no level.
func TestSnapshotOfAUsedQuotaAdmitsNothing(t *testing.T) {
	for _, age := range []time.Duration{time.Second, 20 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(12, 11))
			o := newOrganisation(200_000)
			f := newFleet()
			f.load(r, o, 64, 20*time.Second, noPartition)
			snapshot := f.daemons[0].Snapshot(time.Now())
			for i := range f.daemons {
				f.daemons[i] = newDaemon()
				f.daemons[i].Restore(snapshot, age)
			}
			time.Sleep(500 * time.Millisecond)
			f.load(r, o, 64, 10*time.Second, noPartition)
			limit := limitOf(o)
			if got := f.maxInWindow(); got > limit {
				t.Errorf("snapshot of age %s: %.0f tokens in one window, limit %.0f", age, got, limit)
			}
		})
	}
}

// A quota lets three or four requests of the usual size through at once. A daemon that had seen one
// small request kept its bucket only as deep as a few such requests, and refused the next request
// of the usual size while most of the quota was unused.
func TestSmallRequestLeavesRoomForAUsualOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, small, usual = 60_000, 3_000, 50_000
		l := New(Config{Window: 8 * time.Second, Overage: 0.1, GossipDelay: func() time.Duration { return 2 * time.Second }})
		o := newOrganisation(rate)
		time.Sleep(joinTime)
		for _, size := range []float64{small, usual} {
			if v := l.Admit(o, size); v.RetryAfter > 0 {
				t.Errorf("request of %.0f tokens refused at level %.0f", size, v.Level)
			}
			time.Sleep(time.Second)
		}
	})
}

// The decision must name the limit that refused a request. A refusal logged as "left 208014, charge
// 23888" was caused by the daemon's share, which the log line did not mention.
func TestDecisionNamesTheCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate = 60_000
		l := New(Config{Window: 8 * time.Second, Overage: 0.1, GossipDelay: func() time.Duration { return 2 * time.Second }})
		o := newOrganisation(rate)
		time.Sleep(joinTime)
		if v := l.Admit(o, 0.9*rate); v.RetryAfter > 0 || v.Cause != "" {
			t.Errorf("a first request: %+v", v)
		}
		if v := l.Admit(o, 0.9*rate); v.Cause != BucketEmpty || v.Used <= 0 || v.Used >= 1 {
			t.Errorf("second request right after the first: %+v", v)
		}
		// Another daemon reports six times the rate as demand, so each admits only its share.
		for range 8 {
			l.Merge(Update{Host: "other", Incarnation: 1, Age: time.Minute, Accounts: map[identifier.Organisation]Account{o.Name: {Asked: 6 * rate}}})
			time.Sleep(500 * time.Millisecond)
		}
		causes := make(map[Cause]int)
		for range 12 {
			v := l.Admit(o, 0.2*rate)
			causes[v.Cause]++
			time.Sleep(100 * time.Millisecond)
		}
		if causes[ShareExhausted] == 0 {
			t.Errorf("causes %v, want some ShareExhausted", causes)
		}
		time.Sleep(time.Minute)
		if v := l.Admit(o, 0.9*rate); v.Cause != Isolated && v.RetryAfter > 0 {
			t.Errorf("isolated daemon: %+v", v)
		}
	})
}

// usualLoad is half of the quota of an organisation with a rate of 400,000, suddenLoad the most that it sends at once, both in
// requests per second.
const (
	usualLoad  = 0.5 * 400_000 / tokens
	suddenLoad = 7.5 * usualLoad
)

// Guards against an allowance that is granted twice, as new processes do not know when the charges of a sudden load were made:
// spread over the window they leave it at once.
func TestMassRestartInASuddenLoadKeepsTheQuota(t *testing.T) {
	for _, age := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond} {
		for _, killedAfter := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 5 * time.Second} {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(31, 32))
				o := newOrganisation(400_000)
				f := newFleet()
				f.load(r, o, usualLoad, 20*time.Second, noPartition)
				f.load(r, o, suddenLoad, killedAfter-age, noPartition)
				snapshot := f.daemons[0].Snapshot(time.Now())
				f.load(r, o, suddenLoad, age, noPartition)
				time.Sleep(500 * time.Millisecond)
				for i := range f.daemons {
					f.daemons[i] = newDaemon()
					f.daemons[i].Restore(snapshot, time.Since(snapshot.At))
				}
				for range 16 {
					// Daemons that start hear of each other often.
					f.exchange(noPartition)
					f.load(r, o, suddenLoad, 250*time.Millisecond, noPartition)
				}
				f.load(r, o, usualLoad, window, noPartition)
				if got, limit := f.maxInWindow(), limitOf(o); got > limit {
					t.Errorf("killed %v after the load began, snapshot of %v before: %.0f tokens in one window, limit %.0f", killedAfter, age, got, limit)
				}
			})
		}
	}
}

// Guards against a snapshot whose charges are counted at other times than they were made, or lost.
func TestRestoredWindowKeepsItsTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := slidingWindow{window: window, newestStart: time.Now()}
		for n := range 6 {
			w.advance(time.Now())
			w.add(float64(100 * (n + 1)))
			time.Sleep(time.Second)
		}
		w.advance(time.Now())
		restored := slidingWindow{window: window}
		restored.fill(w.parts(snapshotParts), time.Now())
		for range 10 {
			if d := w.sum - restored.sum; d > 1 || d < -1 {
				t.Errorf("%.0f restored, want %.0f", restored.sum, w.sum)
			}
			time.Sleep(time.Second)
			w.advance(time.Now())
			restored.advance(time.Now())
		}
	})
}

// Guards against a saved allowance that is spent on both sides of a partition, as each side presumes that the other goes on as
// before a sudden load that has reached both. The daemons of a side hear each other, so none of them is isolated.
func TestPartitionInASuddenLoadKeepsTheQuota(t *testing.T) {
	for cut := 1; cut <= daemons/2; cut++ {
		for _, after := range []time.Duration{0, 300 * time.Millisecond, time.Second} {
			for seed := range uint64(6) {
				t.Run(fmt.Sprintf("%d daemons after %v, seed %d", cut, after, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { partitionInASuddenLoad(t, cut, after, 5500*time.Millisecond, seed) })
				})
			}
		}
	}
}

// Guards against an allowance that is spent on both sides of a partition once more, when the charges of a sudden load leave the
// window.
func TestLongPartitionInASuddenLoadKeepsTheQuota(t *testing.T) {
	for cut := 1; cut <= daemons/2; cut++ {
		for _, length := range []time.Duration{12 * time.Second, 20 * time.Second} {
			for seed := range uint64(12) {
				after := time.Duration(seed%4) * 500 * time.Millisecond
				t.Run(fmt.Sprintf("%d daemons for %v, seed %d", cut, length, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { partitionInASuddenLoad(t, cut, after, length, seed) })
				})
			}
		}
	}
}

// partitionInASuddenLoad partitions some daemons from the others for a time, a while after a sudden load has begun.
func partitionInASuddenLoad(t *testing.T, cut int, after, length time.Duration, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 33))
	o := newOrganisation(400_000)
	f := newFleet()
	f.evenly = true
	f.load(r, o, usualLoad, 20*time.Second+time.Duration(seed)*period/6, noPartition)
	f.load(r, o, suddenLoad, after, noPartition)
	f.load(r, o, suddenLoad, length, func(from, to int) bool { return (from < cut) != (to < cut) })
	f.load(r, o, suddenLoad, time.Second, noPartition)
	f.load(r, o, usualLoad, window, noPartition)
	f.wantWithin(t, o)
}

// Guards against charges that are taken twice: once when a daemon falls silent, and again when its host starts a new one.
func TestReplacedDaemonIsChargedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const charge = 20_000
		o := newOrganisation(200_000)
		l, started := newDaemon(), time.Now()
		peer := Update{Host: "peer", Incarnation: 1}
		for n := range 40 {
			time.Sleep(period)
			l.Admit(o, charge)
			if n < 30 {
				peer.Age, peer.Accounts = time.Since(started), map[identifier.Organisation]Account{o.Name: {Total: float64(n * charge)}}
				l.Merge(peer)
			}
		}
		before := l.Accounts()[o.Name].Level
		l.Merge(Update{Host: peer.Host, Incarnation: 2, Age: period, Accounts: map[identifier.Organisation]Account{o.Name: {}}})
		if after := l.Accounts()[o.Name].Level; after < before-1 {
			t.Errorf("level %.0f after the new daemon's first update, %.0f before", after, before)
		}
	})
}
