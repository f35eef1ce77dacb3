package shedder

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"brasschute/internal/config/catalog"
)

func route() *catalog.Route {
	return &catalog.Route{Kind: catalog.Streaming, FirstEventObjective: 500 * time.Millisecond, EventGapObjective: 200 * time.Millisecond}
}

// Demand is one and a half times the engines' prefill capacity, for twenty seconds. If everything
// is sent, the queue grows past the clients' timeout, and from then on no client is served. With
// shedding, the queue stays within the timeout, and the requests that are sent are served.
func TestOverloadServesWhatItCan(t *testing.T) {
	const (
		step   = 10 * time.Millisecond
		demand = 1.5
	)
	serve := func(shed bool) (served int) {
		var queue time.Duration // prefill time ahead of a new request
		due := 0.0
		for range 20 * time.Second / step {
			queue = max(queue-step, 0)
			for due += demand; due >= 1; due-- {
				if shed && Decide(&Input{Route: route(), Rank: 1, QueueDelay: queue + step, Remaining: 10 * time.Second}).Refuse {
					continue
				}
				queue += step
				if queue <= ClientTimeout(route()) {
					served++
				}
			}
		}
		return served
	}
	without, with := serve(false), serve(true)
	if with < 2*without || with < 2000 {
		t.Errorf("%d served with shedding, %d without", with, without)
	}
}

// What can be served is never refused, and the Retry-After of a refusal is within the client's
// remaining time. The most urgent requests are the last to be refused and the first to retry.
func TestDecisionsKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, highest int) time.Duration {
			return time.Duration(rapid.IntRange(0, highest).Draw(t, name)) * time.Millisecond
		}
		in := &Input{Route: route(), Rank: rapid.IntRange(0, 9).Draw(t, "rank"), QueueDelay: ms("queue", 20_000), Waited: ms("waited", 3000), Remaining: ms("left", 15_000)}
		d := Decide(in)
		maxDelay := min(ClientTimeout(in.Route)-in.Waited, in.Remaining)
		if d.Refuse && in.QueueDelay <= maxDelay && maxDelay > 0 {
			t.Fatalf("refused a delay of %s, allowed is %s", in.QueueDelay, maxDelay)
		}
		if !d.Refuse && in.Rank > 0 && in.QueueDelay > maxDelay {
			t.Fatalf("accepted a delay of %s, allowed is %s", in.QueueDelay, maxDelay)
		}
		if d.RetryAfter < 0 || d.RetryAfter > in.Remaining/3+time.Millisecond {
			t.Fatalf("retry after %s with %s remaining", d.RetryAfter, in.Remaining)
		}
		urgent := *in
		urgent.Rank = 0
		if Decide(&urgent).Refuse && !d.Refuse {
			t.Fatalf("refused the urgent request but not one of rank %d", in.Rank)
		}
	})
}
