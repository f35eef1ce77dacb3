package quotalimiter

import (
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"
)

// aggregateOf returns an update that covers all other daemons together.
func aggregateOf(o *catalog.Organisation, age time.Duration, a Account) Update {
	return Update{Host: "rest", Incarnation: 1, Age: age, Daemons: 23, Accounts: map[identifier.Organisation]Account{o.Name: a}}
}

// A daemon gets its first request of an organisation to which its peers have charged something, but
// the reporting peer has no estimate of the level. Taken as a level of zero, it made this daemon
// refuse the organisation for seconds.
func TestUnknownLevelIsNotZero(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOrganisation(60_000)
		l := newDaemon()
		time.Sleep(window)
		l.Merge(aggregateOf(o, window, Account{Total: 40_000, NoLevel: true, Asked: 20_000}))
		if v := l.Admit(o, tokens); v.RetryAfter > 0 || v.Level < o.Burst/2 {
			t.Errorf("request refused, or level too low: %+v", v)
		}
	})
}

// A daemon adopts a full level of a large quota at a gossip delay of a second and a half, where
// part of the window's allowance is not saved up. When that part counted as charged and the quota
// was lowered a moment later, the daemon saw an overdraft of more than it admits in three seconds,
// reported it to new daemons, and refused the organisation for long.
func TestFullLevelMeansNothingCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const usual = 500_000
		o := newOrganisation(usual)
		l := New(Config{
			Window: window, Overage: overage, Slack: slack, GossipDelay: func() time.Duration { return 1500 * time.Millisecond },
			FleetSize: func() int { return 24 },
		})
		time.Sleep(window)
		full := o.Burst + 0.5*o.RatePerSecond*window.Seconds()
		l.Merge(aggregateOf(o, window, Account{Level: full, Asked: 1000}))
		l.Admit(o, 1)
		o.RatePerSecond, o.Burst = usual/8, usual/8
		time.Sleep(100 * time.Millisecond)
		l.Merge(aggregateOf(o, window+100*time.Millisecond, Account{Level: full, Asked: 1000}))
		if v := l.Admit(o, tokens); v.RetryAfter > 0 {
			t.Errorf("request refused under the lower quota: %+v", v)
		}
	})
}

// A daemon becomes a relay: it received one aggregate of all its peers, and from now on receives
// their updates individually. Until it has, it must neither assume that it is alone nor charge
// again what its peers had charged before.
func TestRegroupedDaemonsAreNeitherForgottenNorChargedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOrganisation(400_000)
		l := newDaemon()
		start, total := time.Now(), 0.0
		for range 12 {
			time.Sleep(time.Second)
			total += 200_000
			l.Merge(aggregateOf(o, time.Since(start), Account{Total: total, Level: 400_000, Asked: 200_000}))
			l.Admit(o, 1)
		}
		before := l.Accounts()[o.Name].Level
		l.Regroup()
		if equal := l.equalShare(); equal > 1.0/20 {
			t.Errorf("equal share is %.2f right after Regroup", equal)
		}
		for n := range 23 {
			l.Merge(Update{Host: identifier.Host(rune('a' + n)), Incarnation: 1, Age: time.Since(start), Accounts: map[identifier.Organisation]Account{
				o.Name: {Total: 0, Level: 400_000, Asked: 200_000 / 23},
			}})
		}
		if after := l.Accounts()[o.Name].Level; after < before-1 {
			t.Errorf("the level fell from %.0f to %.0f", before, after)
		}
		if equal := l.equalShare(); equal != 1.0/24 {
			t.Errorf("equal share is %.3f after all updates, want 1/24", equal)
		}
	})
}
