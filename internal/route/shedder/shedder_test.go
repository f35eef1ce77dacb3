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

// Engines are asked for one and a half times what they can read, for twenty seconds. With
// everything sent, the queue grows past the clients' patience, and from then on nobody
// is served. With a prediction, the queue stays within it, and those that are sent are
// served.
func TestOverloadServesWhatItCan(t *testing.T) {
	const (
		step  = 10 * time.Millisecond
		asked = 1.5
	)
	serve := func(decide bool) (served int) {
		var queue time.Duration // of reading ahead of a new request
		due := 0.0
		for range 20 * time.Second / step {
			queue = max(queue-step, 0)
			for due += asked; due >= 1; due-- {
				if decide && Decide(&Input{Route: route(), Rank: 1, QueueDelay: queue + step, Remaining: 10 * time.Second}).Refuse {
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
		t.Errorf("%d served with predictions, %d without", with, without)
	}
}

// What can be served is never refused, and a refused client is told a time that it can
// heed; the most urgent requests are the last to be refused, and come back first.
func TestDecisionsKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		in := &Input{Route: route(), Rank: rapid.IntRange(0, 9).Draw(t, "rank"), QueueDelay: ms("queue", 20_000), Waited: ms("waited", 3000), Remaining: ms("left", 15_000)}
		v := Decide(in)
		bearable := min(ClientTimeout(in.Route)-in.Waited, in.Remaining)
		if v.Refuse && in.QueueDelay <= bearable && bearable > 0 {
			t.Fatalf("refused a wait of %s, %s is bearable", in.QueueDelay, bearable)
		}
		if !v.Refuse && in.Rank > 0 && in.QueueDelay > bearable {
			t.Fatalf("a wait of %s is not refused, %s is bearable", in.QueueDelay, bearable)
		}
		if v.RetryAfter < 0 || v.RetryAfter > in.Remaining/3+time.Millisecond {
			t.Fatalf("told to come back after %s with %s left", v.RetryAfter, in.Remaining)
		}
		urgent := *in
		urgent.Rank = 0
		if Decide(&urgent).Refuse && !v.Refuse {
			t.Fatalf("the urgent request is refused, one of rank %d is not", in.Rank)
		}
	})
}
