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

var engine = Incarnation{Endpoint: "i-1", Born: 7}

// What an endpoint may get in each window.
const (
	window    = 4 * time.Second
	factor    = 1.5
	tolerance = 5
)

// daemons returns pacers of a fleet in which all hear of each other.
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

// busiest is the highest number of sends in a window.
func busiest(sends []time.Time) (most int) {
	first := 0
	for i, at := range sends {
		for at.Sub(sends[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// burst are the requests of each daemon at one moment, and the time after.
type burst struct {
	requests []int
	pause    time.Duration
}

// load sends bursts, and returns when requests went out.
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

// HasLimits number of daemons under any load keep together to any limit that they know.
func TestLimitHoldsUnderAnyLoad(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(rt, "daemons")
		limit := rapid.Float64Range(0, 30).Draw(rt, "limit")
		bursts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) burst {
			requests := rapid.SliceOfN(rapid.SampledFrom([]int{0, 1, 3}), n, n).Draw(t, "requests")
			return burst{requests, time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond}
		}), 1, 60).Draw(rt, "bursts")
		most := 0
		synctest.Test(t, func(*testing.T) {
			fleet := daemons(n)
			for _, p := range fleet {
				p.ObserveResponse(engine, NewRateLimit(limit), time.Now())
			}
			most = busiest(load(fleet, bursts))
		})
		if allowed := factor*limit*window.Seconds() + tolerance; float64(most) > allowed {
			rt.Fatalf("%d sends in %v, %.1f allowed", most, window, allowed)
		}
	})
}

// Daemons that have sent nothing for long find a request each at the same moment.
func TestIdleDaemonsDoNotAllSendAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, limit := range []float64{0, 0.3, 1, 2.7, 10, 40} {
			fleet := daemons(195)
			for _, p := range fleet {
				p.ObserveResponse(engine, NewRateLimit(limit), time.Now())
			}
			time.Sleep(time.Hour)
			most := busiest(load(fleet, []burst{{[]int{3}, time.Second}, {[]int{3}, time.Second}, {[]int{3}, time.Second}, {[]int{3}, 0}}))
			if allowed := factor*limit*window.Seconds() + tolerance; float64(most) > allowed {
				t.Errorf("%d sends in %v, %.1f allowed", most, window, allowed)
			}
		}
	})
}

// Each daemon always has something to send: the limit is used.
func TestLimitIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, limit := range []float64{0.2, 1, 7.5, 100} {
			fleet := daemons(30)
			for _, p := range fleet {
				p.ObserveResponse(engine, NewRateLimit(limit), time.Now())
			}
			sent := 0
			const lasts = 60 * time.Second
			for begun := time.Now(); time.Since(begun) < lasts; time.Sleep(5 * time.Millisecond) {
				for _, p := range fleet {
					if p.Take(engine, time.Now()) {
						sent++
					}
				}
			}
			if part := float64(sent) / lasts.Seconds() / limit; part < 0.85 {
				t.Errorf("%.2f of a limit of %v is used", part, limit)
			}
		}
	})
}

// News comes late, twice, or not at all, in any order: whoever has heard all of it believes the
// last word, and an old one brings nothing back.
func TestLastWordCounts(t *testing.T) {
	type step struct {
		pause  time.Duration
		daemon int
		word   RateLimit
	}
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			s := step{time.Duration(rapid.IntRange(2, 2000).Draw(t, "pause")) * time.Millisecond, rapid.IntRange(0, 3).Draw(t, "daemon"), RateLimit{}}
			if rapid.Bool().Draw(t, "limited") {
				s.word = NewRateLimit(float64(rapid.IntRange(0, 5).Draw(t, "limit")))
			}
			return s
		}), 1, 12).Draw(rt, "steps")
		swaps := rapid.SliceOfN(rapid.IntRange(0, 50), 200, 200).Draw(rt, "order")
		fleet := daemons(4)
		last := RateLimit{}
		synctest.Test(t, func(*testing.T) {
			var news []Limit
			for _, s := range steps {
				time.Sleep(s.pause)
				p := fleet[s.daemon]
				// Who has not heard of a limit has nothing to end.
				p.Merge(news)
				p.ObserveResponse(engine, s.word, time.Now())
				news, last = append(news, p.Updates()...), s.word
			}
			for _, p := range fleet {
				for _, n := range swaps {
					if len(news) > 0 {
						p.Merge(news[n%len(news):][:1])
					}
				}
				p.Merge(news)
				slices.Reverse(news)
				p.Merge(news)
				slices.Reverse(news)
			}
		})
		for i, p := range fleet {
			limits := p.Limits()
			if last.Limited != (len(limits) > 0) || last.Limited && limits[0].RateLimit != last {
				rt.Fatalf("daemon %d believes %+v, the last word was %+v", i, limits, last)
			}
			if p.HasLimits() != last.Limited {
				rt.Fatalf("daemon %d: any limit: %v", i, p.HasLimits())
			}
		}
	})
}

// An answer that names no limit was on its way when another one named it.
func TestAnswerFromBeforeEndsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := daemons(1)[0]
		before := time.Now()
		time.Sleep(time.Millisecond)
		p.ObserveResponse(engine, NewRateLimit(1), time.Now())
		time.Sleep(time.Millisecond)
		p.ObserveResponse(engine, RateLimit{}, before)
		if !p.HasLimits() {
			t.Error("an answer to an earlier request ended the limit")
		}
		p.ObserveResponse(engine, RateLimit{}, time.Now())
		if p.HasLimits() {
			t.Error("the limit did not end")
		}
	})
}

// Another life of the endpoint has said nothing.
func TestLimitIsOfOneLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := daemons(9)[0]
		p.ObserveResponse(engine, NewRateLimit(0.1), time.Now())
		next := Incarnation{engine.Endpoint, engine.Born + 1}
		for range 20 {
			if !p.Take(next, time.Now()) {
				t.Fatal("a new life is held to the limit of the one before")
			}
		}
	})
}

// A daemon that hears nobody of a fleet of forty sends a fortieth of the limit.
func TestDaemonThatIsCutOffSendsItsPart(t *testing.T) {
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
			t.Errorf("%d requests in 100 s, 5 are its part", sent)
		}
	})
}

// What is forgotten: lives that are not listed any more, and limits that ended a while ago.
func TestPrune(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := daemons(1)[0]
		for i := range mostLimits + 10 {
			p.ObserveResponse(Incarnation{Endpoint: identifier.Endpoint(fmt.Sprint(i))}, NewRateLimit(1), time.Now())
		}
		if n := len(p.Limits()); n != mostLimits {
			t.Errorf("%d limits are kept", n)
		}
		if n := len(p.Updates()); n != mostTold {
			t.Errorf("%d limits are told", n)
		}
		time.Sleep(2 * endedAge)
		p.Prune(func(l Incarnation) bool { return l.Endpoint == "3" })
		if list := p.Limits(); len(list) != 1 || list[0].Endpoint != "3" {
			t.Errorf("%d limits are left: %+v", len(list), list[:min(len(list), 3)])
		}
	})
}
