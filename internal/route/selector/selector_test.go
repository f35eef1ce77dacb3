package selector

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"
)

func query(now time.Time) *Query {
	return &Query{
		Now: now, Seed: 7, Zone: "z0", Model: "m", PromptTokens: 800, OutputTokens: 100, MaxInFlight: 8,
		PrefillRate: 8000, DecodeRate: 50, Target: 330 * time.Millisecond, RecomputeWeight: 0.1,
	}
}

func candidates(n int, now time.Time) []candidate.Candidate {
	out := make([]candidate.Candidate, n)
	for i := range out {
		out[i] = candidate.Candidate{
			Endpoint: identifier.Endpoint(fmt.Sprintf("e%d", i)), AvailabilityZone: "z0", Model: "m", ReportedAt: now,
			Streams: float64(i % 5), PricePerSecond: 1, Hash: xxhash.Sum64String(fmt.Sprint(i)), ReportFresh: true,
		}
	}
	return out
}

func TestSelectExcludes(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name   string
		change func(*candidate.Candidate)
		count  func(*Excluded) int
	}{
		{"leaving", func(c *candidate.Candidate) { c.Leaving = true }, func(x *Excluded) int { return x.Leaving }},
		{"ejected", func(c *candidate.Candidate) {
			c.EjectedUntil = now.Add(time.Second)
			c.Refresh(now, candidate.LoadParameters{})
		}, func(x *Excluded) int { return x.Ejected }},
		{"full", func(c *candidate.Candidate) { c.InFlight = 8 }, func(x *Excluded) int { return x.Full }},
		{"probed already", func(c *candidate.Candidate) {
			c.Failures, c.InFlight = 3, 1
			c.Refresh(now, candidate.LoadParameters{})
		}, func(x *Excluded) int { return x.Full }},
		{"zone", func(c *candidate.Candidate) { c.AvailabilityZone = "z9" }, func(x *Excluded) int { return x.Zone }},
		{"model", func(c *candidate.Candidate) { c.Model, c.Reported = "other", true }, func(x *Excluded) int { return x.Model }},
		{"nothing loaded yet", func(c *candidate.Candidate) { c.Model, c.Reported = "", true }, func(x *Excluded) int { return x.Model }},
		{"tried", func(c *candidate.Candidate) { c.Endpoint = "gone" }, func(x *Excluded) int { return x.Tried }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			list := candidates(3, now)
			c.change(&list[1])
			q := query(now)
			q.Zones = []identifier.AvailabilityZone{"z0"}
			q.Tried = []identifier.Endpoint{"gone"}
			d := Select(q, list, nil, nil)
			if d.Index == 1 || c.count(&d.Excluded) != 1 {
				t.Errorf("candidate 1 is not excluded, or not counted once: %+v", d)
			}
			c.change(&list[0])
			c.change(&list[2])
			if d := Select(q, list, nil, nil); d.Index != None {
				t.Errorf("chose %d, want None", d.Index)
			}
		})
	}
}

func TestSelectTradeOffs(t *testing.T) {
	now := time.Now()
	price := map[identifier.Endpoint]float64{"e0": 3, "e1": 1, "e2": 2}
	cases := []struct {
		name   string
		change func(*Query, []candidate.Candidate, []identifier.Tokens)
		want   int
	}{
		{"cheapest in target", func(*Query, []candidate.Candidate, []identifier.Tokens) {}, 1},
		{"cheap but too slow", func(_ *Query, c []candidate.Candidate, _ []identifier.Tokens) { c[1].TokensAhead = 9000 }, 2},
		{"none in target: earliest", func(_ *Query, c []candidate.Candidate, _ []identifier.Tokens) {
			c[0].TokensAhead, c[1].TokensAhead, c[2].TokensAhead = 9000, 20000, 30000
		}, 0},
		{"cached prefix outweighs price", func(q *Query, _ []candidate.Candidate, cached []identifier.Tokens) {
			cached[0] = 640
			q.RecomputeWeight = 5
		}, 0},
		{"low weight: price outweighs prefix", func(q *Query, _ []candidate.Candidate, cached []identifier.Tokens) {
			cached[0] = 640
			q.RecomputeWeight = 0.0001
		}, 1},
		{"own requests count when the report is old", func(_ *Query, c []candidate.Candidate, _ []identifier.Tokens) {
			c[1].ReportedAt = now.Add(-time.Minute)
			c[1].RecordSent(now, 9000)
			c[1].Refresh(now, candidate.LoadParameters{PrefillRate: 8000})
		}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := query(now)
			list := candidates(3, now)
			for i := range list {
				list[i].PricePerSecond = price[list[i].Endpoint] / time.Hour.Seconds()
				list[i].Streams = 0
			}
			cached := make([]identifier.Tokens, 3)
			c.change(q, list, cached)
			if d := Select(q, list, cached, nil); d.Index != c.want {
				t.Errorf("chose %d, want %d: %+v", d.Index, c.want, d)
			}
		})
	}
}

func TestSelectProperties(t *testing.T) {
	// For random candidates, the chosen endpoint is usable, the same query gives the same decision,
	// and the chosen endpoint is in target if any usable one is.
	now := time.Now()
	rapid.Check(t, func(rt *rapid.T) {
		list := candidates(rapid.IntRange(0, 12).Draw(rt, "n"), now)
		for i := range list {
			list[i].Leaving = rapid.Bool().Draw(rt, "leaving")
			list[i].InFlight = rapid.Int32Range(0, 8).Draw(rt, "in flight")
			list[i].TokensAhead = rapid.Float64Range(0, 5000).Draw(rt, "ahead")
		}
		q := query(now)
		q.Seed = rapid.Uint64().Draw(rt, "seed")
		d := Select(q, list, nil, nil)
		if again := Select(q, list, nil, nil); again != d {
			rt.Fatalf("the same query gives %+v, then %+v", d, again)
		}
		if d.Index == None {
			for i := range list {
				if !list[i].Leaving && list[i].InFlight < 8 {
					rt.Fatalf("no endpoint chosen, but endpoint %d is usable", i)
				}
			}
			return
		}
		if c := &list[d.Index]; c.Leaving || c.InFlight >= 8 {
			rt.Fatalf("chose an unusable endpoint: %+v", c)
		}
		if d.AlternativeCount > 0 && d.Alternatives[0].InTarget && !d.Chosen.InTarget {
			rt.Fatalf("an alternative is in target, the chosen endpoint is not: %+v", d)
		}
	})
}

func TestSelectAvoidsHerds(t *testing.T) {
	// Nine daemons see the same old report, in which one of twelve equal endpoints looks slightly
	// less loaded. If they all took the lowest cost, all their requests would go there.
	now := time.Now()
	list := candidates(12, now)
	for i := range list {
		list[i].Streams, list[i].TokensAhead = 2, 100
	}
	list[5].TokensAhead = 90
	count := make([]int, len(list))
	const requests = 900
	for i := range requests {
		q := query(now)
		q.Seed = uint64(i) * 0x9e3779b97f4a7c15
		count[Select(q, list, nil, nil).Index]++
	}
	for i, n := range count {
		if n > 2*requests/len(list) {
			t.Errorf("endpoint %d got %d of %d", i, n, requests)
		}
	}
}

func BenchmarkSelect(b *testing.B) {
	for _, n := range []int{12, 120, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Now()
			list := candidates(n, now)
			cached := make([]identifier.Tokens, n)
			q := query(now)
			b.ReportAllocs()
			scratch := make([]Prediction, n)
			for b.Loop() {
				Select(q, list, cached, scratch)
			}
		})
	}
}

// All requests with a popular prefix go to its home until it is so busy that they would be late
// there. Then recomputing the prompt elsewhere is cheaper than a late answer; with little load at
// the home it is not. The test guards against staying at a home that would answer two seconds late.
func TestLateCostLeavesBusyHome(t *testing.T) {
	now := time.Now()
	q := query(now)
	q.Prefix, q.PriorTokens, q.PromptTokens, q.RecomputeWeight, q.LateCost, q.Target = 99, 13_000, 17_000, 0.027, 2.7, time.Second
	q.PrefillRate, q.MaxInFlight = 40_000, 128
	list := candidates(4, now)
	for i := range list {
		list[i].Streams = 0
	}
	home := HomeIndex(q.Prefix, HomePricePremium(q.RecomputeWeight), list)
	for _, ahead := range []float64{0, 5_000} {
		list[home].TokensAhead = ahead
		if d := Select(q, list, nil, nil); d.Index != home {
			t.Errorf("%.0f tokens ahead at the home: chose %d", ahead, d.Index)
		}
	}
	list[home].TokensAhead = 80_000
	if d := Select(q, list, nil, nil); d.Index == home {
		t.Error("chose a home that answers two seconds late")
	}
}

// Small prompts have no home. They stay in their zone and spread over its engines, because the
// traffic between zones costs more than computing a few hundred tokens twice.
func TestCrossZoneCostKeepsSmallPromptsInZone(t *testing.T) {
	now := time.Now()
	q := query(now)
	q.LateCost, q.CrossZoneCost, q.RecomputeWeight, q.Target, q.PrefillRate = 0.3, 0.012, 0.027, time.Second, 40_000
	list := candidates(8, now)
	for i := range list {
		list[i].Streams = 0
		if i%2 == 1 {
			list[i].AvailabilityZone = "z1"
		}
	}
	seen := make(map[int]int)
	for seed := range uint64(400) {
		q.Seed = seed
		d := Select(q, list, nil, nil)
		if list[d.Index].AvailabilityZone != q.Zone {
			t.Fatalf("seed %d: chose an endpoint in another zone", seed)
		}
		seen[d.Index]++
	}
	if len(seen) != 4 {
		t.Errorf("%d of 4 engines used", len(seen))
	}
}
