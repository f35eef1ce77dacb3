package quotalimiter

import (
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"
)

// restOf is news of all other daemons together.
func restOf(o *catalog.Organisation, age time.Duration, a Account) Update {
	return Update{Host: "rest", Incarnation: 1, Age: age, Daemons: 23, Accounts: map[identifier.Organisation]Account{o.Name: a}}
}

// A daemon gets its first request of an organisation of which the others have charged
// something, but the one that tells has no estimate of what is left. Taken for a level of
// zero, it made this daemon refuse the organisation for seconds.
func TestUnknownLevelIsNotZero(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := desk(60_000)
		a := newProcess()
		time.Sleep(window)
		a.Merge(restOf(o, window, Account{Total: 40_000, NoLevel: true, Asked: 20_000}))
		if v := a.Admit(o, tokens); v.RetryAfter > 0 || v.Level < o.Burst/2 {
			t.Errorf("refused, or hardly anything left: %+v", v)
		}
	})
}

// A daemon takes over a full level of a large quota where news is a second and a half old,
// so that a part of the window's allowance is not saved up. That part was held for charged:
// when the quota was lowered a moment later, this daemon found it overdrawn by more than it
// gives out in three seconds, told so to new ones, and refused the organisation for long.
func TestFullLevelIsNothingCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const usual = 500_000
		o := desk(usual)
		a := New(Config{
			Window: window, Overage: overage, Slack: slack, GossipDelay: func() time.Duration { return 1500 * time.Millisecond },
			FleetSize: func() int { return 24 },
		})
		time.Sleep(window)
		full := o.Burst + 0.5*o.RatePerSecond*window.Seconds()
		a.Merge(restOf(o, window, Account{Level: full, Asked: 1000}))
		a.Admit(o, 1)
		o.RatePerSecond, o.Burst = usual/8, usual/8
		time.Sleep(100 * time.Millisecond)
		a.Merge(restOf(o, window+100*time.Millisecond, Account{Level: full, Asked: 1000}))
		if v := a.Admit(o, tokens); v.RetryAfter > 0 {
			t.Errorf("refused under the lower quota: %+v", v)
		}
	})
}

// A daemon begins to relay: it heard the sum of all others, and hears them one by one from
// now on. Until it has, it must not take itself for the only one, nor charge again what the
// others had charged before.
func TestRegroupedDaemonsAreNeitherForgottenNorChargedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := desk(400_000)
		a := newProcess()
		start, total := time.Now(), 0.0
		for range 12 {
			time.Sleep(time.Second)
			total += 200_000
			a.Merge(restOf(o, time.Since(start), Account{Total: total, Level: 400_000, Asked: 200_000}))
			a.Admit(o, 1)
		}
		before := a.Accounts()[o.Name].Level
		a.Regroup()
		if equal := a.equal(); equal > 1.0/20 {
			t.Errorf("the equal part is %.2f right after", equal)
		}
		for n := range 23 {
			a.Merge(Update{Host: identifier.Host(rune('a' + n)), Incarnation: 1, Age: time.Since(start), Accounts: map[identifier.Organisation]Account{
				o.Name: {Total: 0, Level: 400_000, Asked: 200_000 / 23},
			}})
		}
		if after := a.Accounts()[o.Name].Level; after < before-1 {
			t.Errorf("the level fell from %.0f to %.0f", before, after)
		}
		if equal := a.equal(); equal != 1.0/24 {
			t.Errorf("the equal part is %.3f in the end", equal)
		}
	})
}
