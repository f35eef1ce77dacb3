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

// A daemon resumes and exchanges two digests within a millisecond, one request is charged in
// between, and the daemon is killed. When the request divided by the millisecond was taken for the
// daemon's rate, three seconds of that rate were taken from the bucket for good, and half of all
// requests of an organisation below its quota were refused for 45 s.
func TestDigestsWithinAMillisecondGiveNoRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOrganisation(400_000)
		l := newDaemon()
		start := time.Now()
		receive := func(host string, total float64) {
			l.Merge(Update{Host: identifier.Host(host), Incarnation: 1, Age: time.Since(start), Accounts: map[identifier.Organisation]Account{
				o.Name: {Total: total, Asked: 1000},
			}})
		}
		receiveOthers := func() {
			for n := range daemons - 2 {
				receive(fmt.Sprint(n), 0)
			}
		}
		for range 12 {
			time.Sleep(period)
			receiveOthers()
			receive("killed", 0)
			l.Admit(o, 1)
		}
		time.Sleep(time.Millisecond)
		receive("killed", 2*tokens)
		for range 6 {
			time.Sleep(period)
			receiveOthers()
			l.Admit(o, 1)
		}
		if v := l.Admit(o, tokens); v.RetryAfter > 0 {
			t.Errorf("request refused: %+v", v)
		}
	})
}

// A daemon is paused for seven seconds and then learns what all its peers admitted meanwhile. Its
// bucket was full at the end of the pause; if it had to pay for the whole pause, its clients would
// be refused for several seconds more.
func TestPausedDaemonDoesNotPayForThePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOrganisation(100_000)
		l := newDaemon()
		start, total := time.Now(), 0.0
		gossip := func() {
			for n := range daemons - 1 {
				l.Merge(Update{Host: identifier.Host(fmt.Sprint(n)), Incarnation: 1, Age: time.Since(start), Accounts: map[identifier.Organisation]Account{
					o.Name: {Total: total / (daemons - 1), Level: o.Burst, Asked: 60_000 / (daemons - 1)},
				}})
			}
		}
		for range 20 {
			time.Sleep(period)
			total += 60_000
			gossip()
			l.Admit(o, 1)
		}
		const paused = 7 * time.Second
		time.Sleep(paused)
		total += 60_000 * paused.Seconds()
		gossip()
		if v := l.Admit(o, tokens); v.RetryAfter > 0 {
			t.Errorf("request refused after the pause: %+v", v)
		}
	})
}

// A daemon that has run for two seconds is paused for seven more. It had not run for long enough to
// recognise that it had been paused itself, so it charged what it had reserved for its peers
// meanwhile and also what they had admitted, and refused nearly all requests of two organisations
// for eight seconds after it resumed.
func TestYoungDaemonDoesNotPayForAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOrganisation(400_000)
		const used = 0.6 * 400_000
		l := newDaemon()
		start, total := time.Now(), 0.0
		const left = 1_900_000
		gossip := func() {
			for n := range daemons - 1 {
				time.Sleep(100 * time.Microsecond)
				l.Merge(Update{Host: identifier.Host(fmt.Sprint(n)), Incarnation: 1, Age: time.Minute + time.Since(start), Accounts: map[identifier.Organisation]Account{
					o.Name: {Total: total / (daemons - 1), Level: left, Asked: used / (daemons - 1)},
				}})
			}
		}
		for range 2 {
			time.Sleep(period)
			total += used
			gossip()
			l.Admit(o, 1)
		}
		const paused = 7 * time.Second
		time.Sleep(paused)
		total += used * paused.Seconds()
		gossip()
		if v := l.Admit(o, tokens); v.Level < left-o.RatePerSecond {
			t.Errorf("level %.0f after the pause, peers have %d", v.Level, left)
		}
		// The adopted charges leave the window as evenly as they were made. When they were counted
		// as charged at the very end of the pause, they stayed for eight seconds more, while those
		// of the peers had left.
		for second := range 8 {
			time.Sleep(period)
			total += used
			gossip()
			if v := l.Admit(o, 1); v.Level < left-1.5*o.RatePerSecond {
				t.Errorf("level %.0f %d s after the pause, peers have %d", v.Level, second+1, left)
			}
		}
	})
}

// A level deep below zero indicates a fault. Whatever was charged, it is paid back within the
// window that the quota applies to.
func TestLevelIsPaidBackWithinTheWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOrganisation(100_000)
		l := New(Config{Window: window, Overage: overage, Slack: slack})
		l.Admit(o, 1)
		l.Merge(Update{Host: "other", Incarnation: 1, Accounts: map[identifier.Organisation]Account{o.Name: {}}})
		time.Sleep(period)
		l.Merge(Update{Host: "other", Incarnation: 1, Age: period, Accounts: map[identifier.Organisation]Account{o.Name: {Total: 150e6}}})
		if v := l.Admit(o, tokens); v.RetryAfter == 0 || v.Level > -o.RatePerSecond {
			t.Errorf("got %+v after a charge of 150 million tokens, want a refusal", v)
		}
		for range int(window/period) + 1 {
			time.Sleep(period)
			l.Merge(Update{Host: "other", Incarnation: 1, Age: time.Since(l.start), Accounts: map[identifier.Organisation]Account{o.Name: {Total: 150e6}}})
		}
		if v := l.Admit(o, 1); v.RetryAfter > 0 {
			t.Errorf("got %+v after the window, want admission", v)
		}
	})
}

// delivery is an update in flight to a daemon.
type delivery struct {
	to     int
	due    time.Time
	update Update
}

// faultyFleet is a fleet whose updates are delayed, reordered and bunched, and whose daemons are
// killed and paused.
type faultyFleet struct {
	fleet
	t            *rapid.T
	incarnations [daemons]uint64
	startedAt    [daemons]time.Time
	downUntil    [daemons]time.Time
	inFlight     []delivery
	// refusedSince is the time since which every request was refused, longest the longest such
	// period.
	refusedSince time.Time
	longest      time.Duration
}

func (f *faultyFleet) restart(i int) {
	f.daemons[i] = newDaemon()
	f.incarnations[i]++
	f.startedAt[i] = time.Now()
}

// post sends the updates of all running daemons, each with its own delay.
func (f *faultyFleet) post() {
	now := time.Now()
	for from, d := range f.daemons {
		if now.Before(f.downUntil[from]) {
			continue
		}
		u := Update{Host: identifier.Host(fmt.Sprint(from)), Incarnation: f.incarnations[from], Age: now.Sub(f.startedAt[from]), Accounts: d.Accounts()}
		delay := time.Duration(rapid.IntRange(1, 900).Draw(f.t, "delay")) * time.Millisecond
		for to := range f.daemons {
			if to != from {
				f.inFlight = append(f.inFlight, delivery{to, now.Add(delay), u})
			}
		}
	}
}

// deliver hands over updates that are due to running daemons; a paused daemon gets all of them in a
// bunch when it resumes.
func (f *faultyFleet) deliver() {
	now := time.Now()
	pending := f.inFlight[:0]
	for _, m := range f.inFlight {
		if now.Before(m.due) || now.Before(f.downUntil[m.to]) {
			pending = append(pending, m)
			continue
		}
		f.daemons[m.to].Merge(m.update)
		// A bunch arrives one by one, a fraction of a millisecond apart.
		time.Sleep(100 * time.Microsecond)
	}
	f.inFlight = pending
}

// injectFault kills or pauses one daemon.
func (f *faultyFleet) injectFault() {
	i := rapid.IntRange(0, daemons-1).Draw(f.t, "daemon")
	if time.Now().Before(f.downUntil[i]) {
		return
	}
	f.downUntil[i] = time.Now().Add(time.Duration(rapid.IntRange(300, 6000).Draw(f.t, "away")) * time.Millisecond)
	if rapid.Bool().Draw(f.t, "killed") {
		f.restart(i)
		f.startedAt[i] = f.downUntil[i]
	}
}

// send makes clients ask for perSecond tokens a second for a duration.
func (f *faultyFleet) send(o *catalog.Organisation, perSecond float64, d time.Duration) {
	const step = 20 * time.Millisecond
	due, exchangedAt := 0.0, time.Now()
	faultAt := time.Now()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		if time.Since(exchangedAt) >= period {
			exchangedAt = time.Now()
			f.post()
		}
		if time.Since(faultAt) >= 3*period {
			faultAt = time.Now()
			f.injectFault()
		}
		f.deliver()
		for due += perSecond * step.Seconds(); due >= tokens; due -= tokens {
			f.request(o)
		}
	}
}

func (f *faultyFleet) request(o *catalog.Organisation) {
	now := time.Now()
	i := rapid.IntRange(0, daemons-1).Draw(f.t, "client")
	if now.Before(f.downUntil[i]) {
		return
	}
	switch {
	case f.admit(i, o, tokens):
		f.refusedSince = time.Time{}
	case f.refusedSince.IsZero():
		f.refusedSince = now
	default:
		f.longest = max(f.longest, now.Sub(f.refusedSince))
	}
}

// Under delayed, reordered and bunched updates and killed and paused daemons, the quota holds in
// every window, and an organisation that asks for less than its quota never has all its requests
// refused for longer than maxRefused.
func TestQuotaUnderUnreliableGossip(t *testing.T) {
	const maxRefused = 2 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			o := newOrganisation(300_000)
			f := &faultyFleet{t: rt}
			for i := range daemons {
				f.daemons = append(f.daemons, nil)
				f.restart(i)
			}
			demand := rapid.SampledFrom([]float64{0.5, 0.8, 3}).Draw(rt, "part")
			f.send(o, 0.4*o.RatePerSecond, 8*time.Second)
			f.longest = 0
			f.send(o, demand*o.RatePerSecond, 14*time.Second)
			limit := limitOf(o)
			if got := f.maxInWindow(); got > limit {
				rt.Fatalf("%.0f tokens in one window, limit %.0f, demand %.1f of the quota", got, limit, demand)
			}
			if demand < 1 && f.longest > maxRefused {
				rt.Fatalf("all requests refused for %s at %.1f of the quota", f.longest, demand)
			}
		})
	})
}

// A fleet shrinks to one daemon for good. The daemon is isolated until its peers are forgotten, and
// then has the whole quota: it must no longer report that it is isolated.
func TestLastDaemonIsNotIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		o := newOrganisation(100_000)
		f.exchange(noPartition)
		time.Sleep(peerTTL / 2)
		if f.daemons[0].Admit(o, 1).IsolatedFor == 0 {
			t.Error("not isolated 15 s after the last update")
		}
		time.Sleep(peerTTL)
		f.daemons[0].Admit(o, 1)
		if v := f.daemons[0].Admit(o, 1); v.IsolatedFor > 0 {
			t.Errorf("isolated for %v although no other daemon is left", v.IsolatedFor)
		}
	})
}
