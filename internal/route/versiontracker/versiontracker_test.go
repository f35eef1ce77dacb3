package versiontracker

import (
	"iter"
	"testing"
	"time"

	"brasschute/internal/core/identifier"
)

const retention = time.Minute

// list returns a list of endpoints of one service.
func list(versions ...identifier.Version) iter.Seq2[identifier.Service, identifier.Version] {
	return func(yield func(identifier.Service, identifier.Version) bool) {
		for _, v := range versions {
			if !yield("lm", v) {
				return
			}
		}
	}
}

// clock is a tracker with a clock of its own.
type clock struct {
	*Tracker
	now time.Time
}

func newClock(firstStart bool) *clock {
	c := &clock{now: time.Unix(1000, 0)}
	c.Tracker = New(Config{Retention: retention, Now: func() time.Time { return c.now }})
	if firstStart {
		c.ConfirmFirst()
	}
	return c
}

// pass lets time pass while the list stays confirmed.
func (c *clock) pass(d time.Duration) {
	for ; d > 0; d -= time.Second {
		c.now = c.now.Add(time.Second)
		c.Confirm(c.now)
	}
}

// Guards against a service that counts as having one version while another one may have served lately.
func TestSoleVersion(t *testing.T) {
	for _, c := range []struct {
		name   string
		first  bool
		run    func(*clock)
		want   Sole
		reason string
	}{
		{"nothing listed", true, func(*clock) {}, Sole{Several: true}, "nothing is known"},
		{"first start", true, func(k *clock) { k.Observe(list("v1", "v1")) }, Sole{Version: "v1", Proven: true}, "nothing served before"},
		{
			"first start confirmed later", false, func(k *clock) { k.Observe(list("v1")); k.pass(3 * time.Second); k.ConfirmFirst() },
			Sole{Version: "v1", Proven: true},
			"nothing served before",
		},
		{
			"first start confirmed after a gap", false,
			func(k *clock) {
				k.Observe(list("v1"))
				k.now = k.now.Add(confirmTimeout + time.Second)
				k.Confirm(k.now)
				k.ConfirmFirst()
			},
			Sole{Version: "v1"},
			"another version may have come and left unseen",
		},
		{"restarted", false, func(k *clock) { k.Observe(list("v1")) }, Sole{Version: "v1"}, "another version may have served before the start"},
		{"restarted long ago", false, func(k *clock) { k.Observe(list("v1")); k.pass(retention) }, Sole{Version: "v1", Proven: true}, "all of the time was seen"},
		{"two versions", true, func(k *clock) { k.Observe(list("v1", "v2")) }, Sole{Several: true}, "two serve"},
		{
			"one left lately", true, func(k *clock) { k.Observe(list("v1", "v2")); k.Observe(list("v2")); k.pass(retention - time.Second) },
			Sole{Several: true},
			"streams of the other may still be taken up",
		},
		{
			"one left long ago", true, func(k *clock) { k.Observe(list("v1", "v2")); k.Observe(list("v2")); k.pass(retention) },
			Sole{Version: "v2", Proven: true},
			"streams of the other have ended",
		},
		{
			"all left", true, func(k *clock) { k.Observe(list("v1")); k.Observe(list()); k.Observe(list("v2")) },
			Sole{Several: true},
			"streams of the other may still be taken up",
		},
		{
			"not confirmed", true, func(k *clock) { k.Observe(list("v1")); k.now = k.now.Add(confirmTimeout + time.Second) },
			Sole{Version: "v1"},
			"the list may be old",
		},
		{
			"after a gap", true, func(k *clock) {
				k.Observe(list("v1"))
				k.now = k.now.Add(confirmTimeout + time.Second)
				k.Confirm(k.now)
			},
			Sole{Version: "v1"},
			"another version may have come and left unseen",
		},
		{
			"adopted", false, func(k *clock) { k.Observe(list("v1")); k.Adopt("lm", "v1") },
			Sole{Version: "v1", Proven: true},
			"another daemon has seen all of the time",
		},
		{"adopted for another version", false, func(k *clock) { k.Observe(list("v1")); k.Adopt("lm", "v2") }, Sole{Version: "v1"}, "the proof is not of this version"},
		{
			"adopted before a gap", false,
			func(k *clock) {
				k.Observe(list("v1"))
				k.Adopt("lm", "v1")
				k.now = k.now.Add(confirmTimeout + time.Second)
				k.Confirm(k.now)
			},
			Sole{Version: "v1"},
			"the proof ends with the gap",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := newClock(c.first)
			k.Confirm(k.now)
			c.run(k)
			got := k.Version("lm")
			if got.Several {
				got = Sole{Several: true}
			}
			if got != c.want {
				t.Errorf("got %+v, want %+v: %s", got, c.want, c.reason)
			}
		})
	}
}

// Guards against streams whose records are not copied when a second version appears.
func TestObserveReturnsServicesWithANewVersion(t *testing.T) {
	k := newClock(true)
	for _, step := range []struct {
		versions []identifier.Version
		want     int
	}{{[]identifier.Version{"v1"}, 1}, {[]identifier.Version{"v1"}, 0}, {[]identifier.Version{"v1", "v2"}, 1}, {[]identifier.Version{"v2"}, 0}} {
		if got := k.Observe(list(step.versions...)); len(got) != step.want {
			t.Errorf("%v: changed %v, want %d", step.versions, got, step.want)
		}
	}
}
