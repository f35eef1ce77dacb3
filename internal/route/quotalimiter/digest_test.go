package quotalimiter

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"
)

// Half of all requests of an organisation below its quota were refused for 45 s.
// A daemon woke up and swapped two digests within a millisecond, one request was
// charged in between, and the daemon was killed. The request divided by the
// millisecond was taken for its rate, and three seconds of that rate were taken
// from the bucket for good.
func TestTwoDigestsWithinAMillisecondMakeNoRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := desk(400_000)
		a := newProcess()
		start := time.Now()
		hear := func(host string, total float64) {
			a.Merge(Update{Host: identifier.Host(host), Incarnation: 1, Age: time.Since(start), Accounts: map[identifier.Organisation]Account{
				o.Name: {Total: total, Asked: 1000},
			}})
		}
		others := func() {
			for n := range daemons - 2 {
				hear(fmt.Sprint(n), 0)
			}
		}
		for range 12 {
			time.Sleep(period)
			others()
			hear("killed", 0)
			a.Admit(o, 1)
		}
		time.Sleep(time.Millisecond)
		hear("killed", 2*tokens)
		for range 6 {
			time.Sleep(period)
			others()
			a.Admit(o, 1)
		}
		if v := a.Admit(o, tokens); v.RetryAfter > 0 {
			t.Errorf("refused: %+v", v)
		}
	})
}

// A daemon is paused for seven seconds and then hears what all others gave out
// meanwhile. Its bucket was full at the end of the pause: were it to pay for the
// whole pause, its clients would be refused for several seconds more.
func TestPausedDaemonDoesNotPayForThePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := desk(100_000)
		a := newProcess()
		start, total := time.Now(), 0.0
		tell := func() {
			for n := range daemons - 1 {
				a.Merge(Update{Host: identifier.Host(fmt.Sprint(n)), Incarnation: 1, Age: time.Since(start), Accounts: map[identifier.Organisation]Account{
					o.Name: {Total: total / (daemons - 1), Level: o.Burst, Asked: 60_000 / (daemons - 1)},
				}})
			}
		}
		for range 20 {
			time.Sleep(period)
			total += 60_000
			tell()
			a.Admit(o, 1)
		}
		const paused = 7 * time.Second
		time.Sleep(paused)
		total += 60_000 * paused.Seconds()
		tell()
		if v := a.Admit(o, tokens); v.RetryAfter > 0 {
			t.Errorf("refused after the pause: %+v", v)
		}
	})
}

// A daemon that has run for two seconds is paused for seven more, and refused nearly
// all requests of two organisations for eight seconds after it woke: too young to take
// itself for the one that had been away, it charged what it had set aside for the
// others meanwhile, and what they had given out besides.
func TestYoungDaemonDoesNotPayForAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := desk(400_000)
		const used = 0.6 * 400_000
		a := newProcess()
		start, total := time.Now(), 0.0
		const left = 1_900_000
		tell := func() {
			for n := range daemons - 1 {
				time.Sleep(100 * time.Microsecond)
				a.Merge(Update{Host: identifier.Host(fmt.Sprint(n)), Incarnation: 1, Age: time.Minute + time.Since(start), Accounts: map[identifier.Organisation]Account{
					o.Name: {Total: total / (daemons - 1), Level: left, Asked: used / (daemons - 1)},
				}})
			}
		}
		for range 2 {
			time.Sleep(period)
			total += used
			tell()
			a.Admit(o, 1)
		}
		const paused = 7 * time.Second
		time.Sleep(paused)
		total += used * paused.Seconds()
		tell()
		if v := a.Admit(o, tokens); v.Level < left-o.RatePerSecond {
			t.Errorf("level %.0f after the pause, the others have %d", v.Level, left)
		}
		// What it took over leaves the window as evenly as it came. Held to be charged
		// at the very end of the pause, it weighed for eight seconds more while the
		// others' had gone.
		for second := range 8 {
			time.Sleep(period)
			total += used
			tell()
			if v := a.Admit(o, 1); v.Level < left-1.5*o.RatePerSecond {
				t.Errorf("level %.0f %d s after the pause, the others have %d", v.Level, second+1, left)
			}
		}
	})
}

// A level tells of a fault when it is deep below zero. Whatever was charged, it is
// paid back within the window over which the quota holds.
func TestLevelIsPaidBackWithinTheWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := desk(100_000)
		a := New(Config{Window: window, Overage: overage, Slack: slack})
		a.Admit(o, 1)
		a.Merge(Update{Host: "other", Incarnation: 1, Accounts: map[identifier.Organisation]Account{o.Name: {}}})
		time.Sleep(period)
		a.Merge(Update{Host: "other", Incarnation: 1, Age: period, Accounts: map[identifier.Organisation]Account{o.Name: {Total: 150e6}}})
		if v := a.Admit(o, tokens); v.RetryAfter == 0 || v.Level > -o.RatePerSecond {
			t.Errorf("%+v after 150 million tokens", v)
		}
		for range int(window/period) + 1 {
			time.Sleep(period)
			a.Merge(Update{Host: "other", Incarnation: 1, Age: time.Since(a.start), Accounts: map[identifier.Organisation]Account{o.Name: {Total: 150e6}}})
		}
		if v := a.Admit(o, 1); v.RetryAfter > 0 {
			t.Errorf("%+v after the window", v)
		}
	})
}

// mail is news on its way between two daemons.
type mail struct {
	to   int
	due  time.Time
	news Update
}

// unruly is a fleet whose news is delayed, overtaken and bunched, and whose daemons
// are killed and paused.
type unruly struct {
	fleet
	t       *rapid.T
	lives   [daemons]uint64
	born    [daemons]time.Time
	away    [daemons]time.Time
	waiting []mail
	// refused is since when every request was refused; longest the longest such time.
	refused time.Time
	longest time.Duration
}

func (u *unruly) restart(i int) {
	u.daemons[i] = newProcess()
	u.lives[i]++
	u.born[i] = time.Now()
}

// post sends the news of all daemons that run, each on a way of its own.
func (u *unruly) post() {
	now := time.Now()
	for from, d := range u.daemons {
		if now.Before(u.away[from]) {
			continue
		}
		n := Update{Host: identifier.Host(fmt.Sprint(from)), Incarnation: u.lives[from], Age: now.Sub(u.born[from]), Accounts: d.Accounts()}
		delay := time.Duration(rapid.IntRange(1, 900).Draw(u.t, "delay")) * time.Millisecond
		for to := range u.daemons {
			if to != from {
				u.waiting = append(u.waiting, mail{to, now.Add(delay), n})
			}
		}
	}
}

// deliver hands over what is due to daemons that run; paused ones get all in a
// bunch when they wake.
func (u *unruly) deliver() {
	now := time.Now()
	left := u.waiting[:0]
	for _, m := range u.waiting {
		if now.Before(m.due) || now.Before(u.away[m.to]) {
			left = append(left, m)
			continue
		}
		u.daemons[m.to].Merge(m.news)
		// A bunch comes one by one, a fraction of a millisecond apart.
		time.Sleep(100 * time.Microsecond)
	}
	u.waiting = left
}

// disturb kills or pauses one daemon.
func (u *unruly) disturb() {
	i := rapid.IntRange(0, daemons-1).Draw(u.t, "daemon")
	if time.Now().Before(u.away[i]) {
		return
	}
	u.away[i] = time.Now().Add(time.Duration(rapid.IntRange(300, 6000).Draw(u.t, "away")) * time.Millisecond)
	if rapid.Bool().Draw(u.t, "killed") {
		u.restart(i)
		u.born[i] = u.away[i]
	}
}

// send makes clients ask for so many tokens a second for a time.
func (u *unruly) send(o *catalog.Organisation, perSecond float64, d time.Duration) {
	const step = 20 * time.Millisecond
	due, told := 0.0, time.Now()
	disturbed := time.Now()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		if time.Since(told) >= period {
			told = time.Now()
			u.post()
		}
		if time.Since(disturbed) >= 3*period {
			disturbed = time.Now()
			u.disturb()
		}
		u.deliver()
		for due += perSecond * step.Seconds(); due >= tokens; due -= tokens {
			u.ask(o)
		}
	}
}

func (u *unruly) ask(o *catalog.Organisation) {
	now := time.Now()
	i := rapid.IntRange(0, daemons-1).Draw(u.t, "client")
	if now.Before(u.away[i]) {
		return
	}
	switch {
	case u.admit(i, o, tokens):
		u.refused = time.Time{}
	case u.refused.IsZero():
		u.refused = now
	default:
		u.longest = max(u.longest, now.Sub(u.refused))
	}
}

// Whatever is delayed, overtaken, bunched, killed or paused: the quota holds in
// each window, and an organisation that asks for less than its quota is never
// refused altogether for longer than mostRefused.
func TestQuotaUnderUnrulyNews(t *testing.T) {
	const mostRefused = 2 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			o := desk(300_000)
			u := &unruly{t: rt}
			for i := range daemons {
				u.daemons = append(u.daemons, nil)
				u.restart(i)
			}
			part := rapid.SampledFrom([]float64{0.5, 0.8, 3}).Draw(rt, "part")
			u.send(o, 0.4*o.RatePerSecond, 8*time.Second)
			u.longest = 0
			u.send(o, part*o.RatePerSecond, 14*time.Second)
			limit := limitOf(o)
			if got := u.most(); got > limit {
				rt.Fatalf("%.0f tokens in a window, limit %.0f, asked %.1f of the quota", got, limit, part)
			}
			if part < 1 && u.longest > mostRefused {
				rt.Fatalf("all refused for %s at %.1f of the quota", u.longest, part)
			}
		})
	})
}

// A fleet shrinks to one daemon for good. It is cut off until the others are forgotten, and
// then has the whole quota: it must not go on saying that it hears nobody.
func TestLastDaemonIsNotCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		o := desk(100_000)
		f.tell(connected)
		time.Sleep(memory / 2)
		if f.daemons[0].Admit(o, 1).IsolatedFor == 0 {
			t.Error("not cut off a quarter of a minute after the last news")
		}
		time.Sleep(memory)
		f.daemons[0].Admit(o, 1)
		if v := f.daemons[0].Admit(o, 1); v.IsolatedFor > 0 {
			t.Errorf("cut off for %v though no other daemon is left", v.IsolatedFor)
		}
	})
}
