package pacer

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/core/identifier"

	"pgregory.net/rapid"
)

var engine = identifier.EndpointIncarnation{Endpoint: "i-1", Born: 7}

// The number of requests allowed per window: factor times the limit, plus tolerance.
const (
	window    = 4 * time.Second
	factor    = 1.5
	tolerance = 5
)

// daemons returns the pacers of a fleet in which all daemons exchange gossip.
func daemons(n int) []*Pacer {
	names := make([]identifier.Host, n)
	for i := range names {
		names[i] = identifier.Host(fmt.Sprintf("front-%d", i))
	}
	out := make([]*Pacer, n)
	for i := range out {
		others := slices.Delete(slices.Clone(names), i, i+1)
		out[i] = New(Config{Host: names[i], Fleet: func() Fleet { return Fleet{Peers: others, Size: n} }, Now: time.Now, OnChange: func(Change) {}})
	}
	return out
}

// maxInWindow returns the highest number of sends in a window.
func maxInWindow(sends []time.Time) (highest int) {
	first := 0
	for i, at := range sends {
		for at.Sub(sends[first]) >= window {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// burst holds the requests of each daemon at one moment, and the time until the next burst.
type burst struct {
	requests []int
	pause    time.Duration
}

// load sends bursts, and returns the times at which requests were sent.
func load(fleet []*Pacer, bursts []burst) (sends []time.Time) {
	for _, b := range bursts {
		for i, p := range fleet {
			for range b.requests[i%len(b.requests)] {
				if p.Take(engine, time.Now()) {
					sends = append(sends, time.Now())
				}
			}
		}
		time.Sleep(b.pause)
	}
	return sends
}

// Any number of daemons under any load together keep to any limit that has reached them.
func TestLimitHoldsUnderAnyLoad(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(rt, "daemons")
		limit := rapid.Float64Range(0, 30).Draw(rt, "limit")
		bursts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) burst {
			requests := rapid.SliceOfN(rapid.SampledFrom([]int{0, 1, 3}), n, n).Draw(t, "requests")
			return burst{requests, time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond}
		}), 1, 60).Draw(rt, "bursts")
		highest := 0
		synctest.Test(t, func(*testing.T) {
			fleet := daemons(n)
			for _, p := range fleet {
				p.ObserveResponse(engine, NewRateLimit(limit), time.Now())
			}
			highest = maxInWindow(load(fleet, bursts))
		})
		if allowed := factor*limit*window.Seconds() + tolerance; float64(highest) > allowed {
			rt.Fatalf("%d sends in %v, %.1f allowed", highest, window, allowed)
		}
	})
}

// Daemons that have sent nothing for long all have an unused request at the same moment.
func TestIdleDaemonsDoNotAllSendAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, limit := range []float64{0, 0.3, 1, 2.7, 10, 40} {
			fleet := daemons(195)
			for _, p := range fleet {
				p.ObserveResponse(engine, NewRateLimit(limit), time.Now())
			}
			time.Sleep(time.Hour)
			highest := maxInWindow(load(fleet, []burst{{[]int{3}, time.Second}, {[]int{3}, time.Second}, {[]int{3}, time.Second}, {[]int{3}, 0}}))
			if allowed := factor*limit*window.Seconds() + tolerance; float64(highest) > allowed {
				t.Errorf("%d sends in %v, %.1f allowed", highest, window, allowed)
			}
		}
	})
}

// If each daemon always has something to send, the limit is used.
func TestLimitIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, limit := range []float64{0.2, 1, 7.5, 100} {
			fleet := daemons(30)
			for _, p := range fleet {
				p.ObserveResponse(engine, NewRateLimit(limit), time.Now())
			}
			sent := 0
			const duration = 60 * time.Second
			for begun := time.Now(); time.Since(begun) < duration; time.Sleep(5 * time.Millisecond) {
				for _, p := range fleet {
					if p.Take(engine, time.Now()) {
						sent++
					}
				}
			}
			if fraction := float64(sent) / duration.Seconds() / limit; fraction < 0.85 {
				t.Errorf("used %.2f of a limit of %v", fraction, limit)
			}
		}
	})
}

// Updates arrive late, twice, or not at all, and in any order: a daemon that has received all of
// them holds the latest limit, and an old update brings nothing back.
func TestLatestLimitApplies(t *testing.T) {
	type step struct {
		pause  time.Duration
		daemon int
		limit  RateLimit
	}
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			s := step{time.Duration(rapid.IntRange(2, 2000).Draw(t, "pause")) * time.Millisecond, rapid.IntRange(0, 3).Draw(t, "daemon"), RateLimit{}}
			if rapid.Bool().Draw(t, "limited") {
				s.limit = NewRateLimit(float64(rapid.IntRange(0, 5).Draw(t, "limit")))
			}
			return s
		}), 1, 12).Draw(rt, "steps")
		swaps := rapid.SliceOfN(rapid.IntRange(0, 50), 200, 200).Draw(rt, "order")
		fleet := daemons(4)
		last := RateLimit{}
		synctest.Test(t, func(*testing.T) {
			var updates []Limit
			for _, s := range steps {
				time.Sleep(s.pause)
				p := fleet[s.daemon]
				// A daemon that no limit has reached has nothing to end.
				p.Merge(updates)
				p.ObserveResponse(engine, s.limit, time.Now())
				updates, last = append(updates, p.Updates()...), s.limit
			}
			for _, p := range fleet {
				for _, n := range swaps {
					if len(updates) > 0 {
						p.Merge(updates[n%len(updates):][:1])
					}
				}
				p.Merge(updates)
				slices.Reverse(updates)
				p.Merge(updates)
				slices.Reverse(updates)
			}
		})
		for i, p := range fleet {
			limits := p.Limits()
			if last.Limited != (len(limits) > 0) || last.Limited && limits[0].RateLimit != last {
				rt.Fatalf("daemon %d holds limits %+v, the latest limit is %+v", i, limits, last)
			}
			if p.HasLimits() != last.Limited {
				rt.Fatalf("daemon %d: HasLimits() = %v", i, p.HasLimits())
			}
		}
	})
}

// A response without a limit was on its way when another one stated the limit.
func TestEarlierResponseDoesNotEndTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := daemons(1)[0]
		before := time.Now()
		time.Sleep(time.Millisecond)
		p.ObserveResponse(engine, NewRateLimit(1), time.Now())
		time.Sleep(time.Millisecond)
		p.ObserveResponse(engine, RateLimit{}, before)
		if !p.HasLimits() {
			t.Error("response to an earlier request ended the limit")
		}
		p.ObserveResponse(engine, RateLimit{}, time.Now())
		if p.HasLimits() {
			t.Error("the limit did not end")
		}
	})
}

// The limit of one incarnation does not apply to another one, which has stated nothing.
func TestLimitAppliesToOneIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := daemons(9)[0]
		p.ObserveResponse(engine, NewRateLimit(0.1), time.Now())
		next := identifier.EndpointIncarnation{Endpoint: engine.Endpoint, Born: engine.Born + 1}
		for range 20 {
			if !p.Take(next, time.Now()) {
				t.Fatal("limit of the previous incarnation applied to a new one")
			}
		}
	})
}

// A daemon of a fleet of forty that receives no gossip sends a fortieth of the limit.
func TestIsolatedDaemonSendsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Config{Host: "alone", Fleet: func() Fleet { return Fleet{Size: 40} }, Now: time.Now, OnChange: func(Change) {}})
		p.ObserveResponse(engine, NewRateLimit(2), time.Now())
		sent := 0
		for begun := time.Now(); time.Since(begun) < 100*time.Second; time.Sleep(10 * time.Millisecond) {
			if p.Take(engine, time.Now()) {
				sent++
			}
		}
		if sent < 4 || sent > 6 {
			t.Errorf("%d requests in 100 s, want about 5", sent)
		}
	})
}

// Prune removes incarnations that are no longer listed, and limits that ended a while ago.
func TestPrune(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := daemons(1)[0]
		for i := range maxLimits + 10 {
			p.ObserveResponse(identifier.EndpointIncarnation{Endpoint: identifier.Endpoint(fmt.Sprint(i))}, NewRateLimit(1), time.Now())
		}
		if n := len(p.Limits()); n != maxLimits {
			t.Errorf("%d limits kept", n)
		}
		if n := len(p.Updates()); n != maxUpdates {
			t.Errorf("%d limits in Updates()", n)
		}
		time.Sleep(2 * endedTTL)
		p.Prune(func(i identifier.EndpointIncarnation) bool { return i.Endpoint == "3" })
		if list := p.Limits(); len(list) != 1 || list[0].Endpoint != "3" {
			t.Errorf("%d limits left: %+v", len(list), list[:min(len(list), 3)])
		}
	})
}
