package quotalimiter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"
)

// large is a fleet of sixty daemons whose news takes up to four seconds.
type large struct {
	fleet
	r *rand.Rand
	// next is the pair that swaps next, due the part of a pair that is due.
	next  int
	due   float64
	order []int
	// quiet: nobody swaps by itself.
	quiet bool
	// cut are daemons that nobody hears, and that hear nobody.
	cut [many]bool
	// lives counts the processes of each host, born is when the last one began.
	// tail makes a few requests many times as large as the mean.
	tail  bool
	lives [many]uint64
	born  [many]time.Time
}

const many = 60

func newLarge(seed uint64) *large {
	l := &large{r: rand.New(rand.NewPCG(seed, 6))}
	l.order = l.r.Perm(many * many)
	for i := range many {
		l.daemons = append(l.daemons, nil)
		l.restart(i)
	}
	return l
}

// eachRate runs a check for organisations of some rates, each in a fleet of its own.
func eachRate(t *testing.T, rates []float64, check func(t *testing.T, l *large, rate float64)) {
	t.Helper()
	for _, rate := range rates {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { check(t, newLarge(uint64(rate)), rate) })
		})
	}
}

// restart replaces the process of a host.
func (l *large) restart(i int) {
	l.daemons[i] = l.process()
	l.lives[i]++
	l.born[i] = time.Now()
}

// size draws the tokens of a request.
func (l *large) size() float64 {
	if l.tail {
		return min(tokens*math.Exp(1.2*l.r.NormFloat64()-0.7), 6*tokens)
	}
	return tokens * (0.5 + l.r.Float64())
}

// hear makes a daemon hear another one.
func (l *large) hear(to, from int) {
	l.daemons[to].Merge(Update{
		Host: identifier.Host(fmt.Sprint(from)), Incarnation: l.lives[from], Age: time.Since(l.born[from]),
		Accounts: l.daemons[from].Accounts(),
	})
}

func (l *large) process() *Limiter {
	return New(Config{
		Window: window, Overage: overage, Slack: slack, GossipDelay: func() time.Duration { return 4 * time.Second }, FleetSize: func() int { return many },
	})
}

// load sends requests for a time while pairs of daemons swap their accounts: all
// pairs in four seconds. It returns the share that was admitted, and that which a
// single bucket would admit.
func (l *large) load(o *catalog.Organisation, perSecond float64, d time.Duration) (share, ideal float64) {
	const step = 20 * time.Millisecond
	const pairs = many * many * float64(step) / float64(4*time.Second)
	sent, admitted, best := 0, 0, 0
	level, at := o.Burst, time.Now()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		for n := perSecond * step.Seconds(); n > 0; n-- {
			if l.r.Float64() >= n {
				break
			}
			sent++
			size := l.size()
			level = min(o.Burst, level+o.RatePerSecond*time.Since(at).Seconds())
			at = time.Now()
			if size <= level {
				level -= size
				best++
			}
			if l.admit(l.r.IntN(many), o, size) {
				admitted++
			}
		}
		for l.due += pairs; l.due >= 1 && !l.quiet; l.due-- {
			l.next = (l.next + 1) % (many * many)
			if a, b := l.order[l.next]%many, l.order[l.next]/many; a < b && !l.cut[a] && !l.cut[b] {
				l.hear(a, b)
				l.hear(b, a)
			}
		}
	}
	return float64(admitted) / float64(sent), float64(best) / float64(sent)
}

// Organisations of all sizes ask for a little over half of their quotas, at sixty
// daemons whose news is seconds old. A daemon that trusts old news too little
// refuses what the fleet has room for.
func TestLargeFleetAdmitsBelowTheQuota(t *testing.T) {
	eachRate(t, []float64{50_000, 150_000, 540_000}, func(t *testing.T, l *large, rate float64) {
		o := desk(rate)
		l.load(o, 0.55*rate/tokens, 14*time.Second)
		share, ideal := l.load(o, 0.55*rate/tokens, 30*time.Second)
		if share < ideal-0.05 {
			t.Errorf("%.3f admitted, one bucket for all would admit %.3f", share, ideal)
		}
	})
}

// All of sixty daemons are killed while organisations ask for a little over half
// of their quotas. The new processes hear of each other over seconds.
func TestLargeFleetServesAfterAMassRestart(t *testing.T) {
	eachRate(t, []float64{150_000, 540_000}, func(t *testing.T, l *large, rate float64) {
		o := desk(rate)
		l.load(o, 0.55*rate/tokens, 14*time.Second)
		for i := range l.daemons {
			l.restart(i)
		}
		share, ideal := l.load(o, 0.55*rate/tokens, 10*time.Second)
		if share < 0.7*ideal {
			t.Errorf("%.3f admitted, one bucket for all would admit %.3f", share, ideal)
		}
	})
}

// One organisation sends eight times its usual, in a calm fleet and after a mass
// restart.
func TestLargeFleetKeepsTheQuota(t *testing.T) {
	eachRate(t, []float64{150_000, 540_000}, func(t *testing.T, l *large, rate float64) {
		o := desk(rate)
		l.load(o, 0.55*rate/tokens, 14*time.Second)
		l.load(o, 4.4*rate/tokens, 10*time.Second)
		for i := range l.daemons {
			l.restart(i)
		}
		time.Sleep(500 * time.Millisecond)
		share, _ := l.load(o, 4.4*rate/tokens, 12*time.Second)
		if share < 0.1 {
			t.Errorf("%.2f admitted after the restart", share)
		}
		l.wantWithin(t, o)
	})
}

// wantServed plays some rounds, of which nearly all is to be admitted that a single
// bucket would admit.
func (l *large) wantServed(t *testing.T, rounds int, play func(n int) (share, ideal float64)) {
	t.Helper()
	served, best := 0.0, 0.0
	for n := range rounds {
		share, ideal := play(n)
		served, best = served+share/float64(rounds), best+ideal/float64(rounds)
	}
	if served < best-0.05 {
		t.Errorf("%.3f admitted, one bucket for all would admit %.3f", served, best)
	}
}

// Hosts are restarted in turn, as for a new version, while an organisation asks for
// half of its quota. Each new process told the others that the bucket was as good
// as empty, and all sixty took its word: four requests in ten were refused for as
// long as the restarts went on.
func TestRollingRestartRefusesNothing(t *testing.T) {
	eachRate(t, []float64{540_000, 1_640_000}, func(t *testing.T, l *large, rate float64) {
		o := desk(rate)
		l.load(o, 0.5*rate/tokens, 14*time.Second)
		l.wantServed(t, 28, func(n int) (share, ideal float64) {
			l.restart(n)
			return l.load(o, 0.5*rate/tokens, 700*time.Millisecond)
		})
	})
}

// The same beside an organisation that asks for four times its quota: what new
// processes do not know of must not be given out again.
func TestRollingRestartKeepsTheQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate = 540_000
		l := newLarge(3)
		o := desk(rate)
		l.load(o, 0.5*rate/tokens, 14*time.Second)
		for i := range 28 {
			l.restart(i)
			l.load(o, 4*rate/tokens, 700*time.Millisecond)
		}
		l.wantWithin(t, o)
	})
}

// A tenth of the hosts are killed and come back after three seconds, again and
// again, at half of a quota. What a killed process was taken to go on charging is
// not to be paid once its successor is heard.
func TestKilledDaemonsChargeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate = 540_000
		l := newLarge(4)
		o := desk(rate)
		l.load(o, 0.5*rate/tokens, 14*time.Second)
		l.wantServed(t, 6, func(n int) (share, ideal float64) {
			for i := range many / 10 {
				l.restart(n*many/10 + i)
			}
			return l.load(o, 0.5*rate/tokens, 3*time.Second)
		})
	})
}

// An organisation asks for twice its quota for long, at sixty daemons: each of them
// gets a request a second, larger than its part of what flows in. The quota must be
// kept, and used.
func TestLargeFleetUsesTheQuota(t *testing.T) {
	for _, rate := range []float64{150_000, 300_000, 900_000} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLarge(uint64(rate))
				l.tail = true
				o := &catalog.Organisation{Name: "desk", RatePerSecond: rate, Burst: 3 * rate}
				l.load(o, 2*rate/tokens, 14*time.Second)
				l.admitted = nil
				const long = 30 * time.Second
				l.load(o, 2*rate/tokens, long)
				sum := 0.0
				for _, c := range l.admitted {
					sum += c.tokens
				}
				if part := sum / (rate * long.Seconds()); part < 0.95 {
					t.Errorf("%.2f of the quota used", part)
				}
				l.wantWithin(t, o)
			})
		})
	}
}

// all makes all pairs swap.
func (l *large) all() {
	for a := range many {
		for b := range many {
			if a != b {
				l.hear(a, b)
			}
		}
	}
}

// All hosts lose power at half of each quota, and hear each other in their first
// moments, when none has been asked for anything yet. As they start together their
// rounds come together, too: with the next one after five seconds, buckets seemed
// full until then and took the others' charges all at once, and the sixth second
// refused a third of the requests. Young daemons swap each second.
func TestPowerLossIsForgottenSoon(t *testing.T) {
	eachRate(t, []float64{260_000, 540_000}, func(t *testing.T, l *large, rate float64) {
		o := desk(rate)
		l.load(o, 0.55*rate/tokens, 14*time.Second)
		for i := range l.daemons {
			l.restart(i)
		}
		l.quiet = true
		l.all()
		for second := range 10 {
			share, ideal := l.load(o, 0.55*rate/tokens, time.Second)
			if second > 0 && share < ideal-0.1 {
				t.Errorf("second %d: %.2f admitted, one bucket for all would admit %.2f", second, share, ideal)
			}
			l.all()
		}
	})
}

// cutInASuddenLoad plays six times an organisation's usual load, of which a third of the
// daemons is cut off after half a second. The quota must hold all the time.
func (l *large) cutInASuddenLoad(t *testing.T, o *catalog.Organisation) {
	t.Helper()
	l.load(o, 0.55*o.RatePerSecond/tokens, 14*time.Second)
	l.load(o, 3.3*o.RatePerSecond/tokens, 500*time.Millisecond)
	for i := range many / 3 {
		l.cut[i] = true
	}
	l.load(o, 3.3*o.RatePerSecond/tokens, 12*time.Second)
	if got, limit := l.most(), limitOf(o); got > limit {
		t.Errorf("%.0f tokens in a window, limit %.0f", got, limit)
	}
}

// An organisation sends six times its usual, and half a second later a third of the
// daemons is cut off from all others. Neither side has heard yet of what the other
// charges now: each of those that are cut off takes the rest for as idle as it was before,
// and gave out more than its part for nine seconds, until the rest counted as silent:
// 25.7 million tokens in a window, where 18.2 are allowed.
func TestCutDuringASuddenLoadKeepsTheQuota(t *testing.T) {
	for _, c := range []struct{ rate, burst float64 }{{150_000, 150_000}, {540_000, 540_000}, {1_600_000, 3_600_000}} {
		t.Run(fmt.Sprint(c.rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLarge(uint64(c.rate))
				o := &catalog.Organisation{Name: "desk", RatePerSecond: c.rate, Burst: c.burst}
				l.cutInASuddenLoad(t, o)
				if l.daemons[0].Admit(o, tokens).IsolatedFor == 0 || l.daemons[many-1].Admit(o, tokens).IsolatedFor > 0 {
					t.Error("not those that are cut off say so")
				}
			})
		})
	}
}

// The same with other draws of the load. The daemons that are cut off give out their own
// parts, and the others, until those count as silent after 9.6 s, only what they were seen
// to charge before the sudden load. With the cut noticed after a fixed second the third
// draw still came to 1.015 of the limit.
func TestCutDuringASuddenLoadOnOtherDraws(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLarge(seed + 1)
				o := &catalog.Organisation{Name: "desk", RatePerSecond: 1_605_000, Burst: 3_585_000}
				l.cutInASuddenLoad(t, o)
			})
		})
	}
}

// An organisation of a fleet that has just started sends four times its quota. All sixty
// daemons serve it until they hear of each other, and then nobody does until that is paid
// back. By then each bucket is full again: above the level at which shares decide all gave
// out what was asked for once more, 4.4 times the rate for a second and a half, and both
// waves fell into one window. A fleet of 58 gave out 18.4 million tokens in a window of
// 16.3; the second wave is to come at little more than twice the rate.
func TestSecondWaveOfAnOverloadIsShared(t *testing.T) {
	for seed := range uint64(4) {
		for _, tail := range []bool{false, true} {
			t.Run(fmt.Sprint(seed, tail), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l := newLarge(seed + 1)
					l.tail = tail
					o := &catalog.Organisation{Name: "desk", RatePerSecond: 1_605_000, Burst: 1_820_000}
					l.load(o, 0, 14*time.Second)
					l.load(o, 4.4*o.RatePerSecond/tokens, 5*time.Second)
					l.admitted = nil
					l.load(o, 4.4*o.RatePerSecond/tokens, 8*time.Second)
					from := l.admitted[0].at
					sum := make(map[int]float64)
					for _, c := range l.admitted {
						sum[int(c.at.Sub(from)/time.Second)] += c.tokens
					}
					for second, tokens := range sum {
						if tokens > 2.5*o.RatePerSecond {
							t.Errorf("%.1f times the rate in second %d of the second wave", tokens/o.RatePerSecond, second)
						}
					}
				})
			})
		}
	}
}
