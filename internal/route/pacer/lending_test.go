package pacer

import (
	"slices"
	"testing"
	"time"

	"brasschute/internal/core/identifier"

	"pgregory.net/rapid"
)

// Guards against an endpoint that gets more than its limit allows while daemons lend each other
// their parts of it: T seconds bring at most what they bring without lending, and what the limit
// allows in the time for which a borrowed slot may be kept.
func TestLimitHoldsWhileDaemonsLend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 4 * time.Second
		perSecond := float64(rapid.IntRange(1, 8).Draw(t, "limit"))
		hosts := []identifier.Host{"a", "b", "c", "d"}
		now := time.Now()
		i := identifier.EndpointIncarnation{Endpoint: "i-1"}
		var list []*Pacer
		for n, host := range hosts {
			peers := slices.Delete(slices.Clone(hosts), n, n+1)
			p := New(Config{Host: host, Fleet: func() Fleet { return Fleet{Peers: peers, Size: len(hosts)} }, Now: func() time.Time { return now }, OnChange: func(Change) {}})
			p.ObserveResponse(i, NewRateLimit(perSecond), now)
			list = append(list, p)
		}
		anyPacer := rapid.IntRange(0, len(list)-1)
		preferred := anyPacer.Draw(t, "preferred daemon")
		var sent []time.Time
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "pause")) * time.Millisecond)
			p := list[preferred]
			if rapid.IntRange(0, 3).Draw(t, "other") == 0 {
				p = list[anyPacer.Draw(t, "daemon")]
			}
			if !p.Ready(i, now) {
				if _, ok, _ := list[anyPacer.Draw(t, "lender")].Lend([]identifier.EndpointIncarnation{i}, now); ok {
					p.Borrow(i, now)
				}
			}
			if rapid.IntRange(0, 5).Draw(t, "idle") > 0 && p.Take(i, now) {
				sent = append(sent, now)
			}
		}
		allowed := perSecond*(window+borrowTTL).Seconds() + perSecond + spareSenders
		first := 0
		for n, at := range sent {
			for at.Sub(sent[first]) >= window {
				first++
			}
			if got := n - first + 1; float64(got) > allowed {
				t.Fatalf("%d requests in %v at a limit of %v a second, allowed %.1f", got, window, perSecond, allowed)
			}
		}
	})
}

// Guards against a slot that is lent and used here as well, and against one that is kept for later.
func TestLentSlotIsUsedOnceAndSoon(t *testing.T) {
	now := time.Now()
	i := identifier.EndpointIncarnation{Endpoint: "i-1"}
	newPacer := func(host, peer identifier.Host) *Pacer {
		p := New(Config{Host: host, Fleet: func() Fleet { return Fleet{Peers: []identifier.Host{peer}, Size: 2} }, Now: func() time.Time { return now }, OnChange: func(Change) {}})
		p.ObserveResponse(i, NewRateLimit(2), now)
		return p
	}
	lender, borrower := newPacer("a", "b"), newPacer("b", "a")
	now = now.Add(time.Second)
	if !borrower.Take(i, now) || borrower.Ready(i, now) {
		t.Fatal("the own slot is not used first")
	}
	at, ok, _ := lender.Lend([]identifier.EndpointIncarnation{{Endpoint: "without a limit"}, i}, now)
	if _, again, next := lender.Lend([]identifier.EndpointIncarnation{i}, now); !ok || at != 1 || again || !next.After(now) || lender.Take(i, now) {
		t.Fatalf("lent %v at %d, again %v, next slot %v, or used as well", ok, at, again, next)
	}
	borrower.Borrow(i, now)
	if !borrower.Take(i, now) || borrower.Take(i, now) {
		t.Error("a borrowed slot is not used once")
	}
	now = now.Add(time.Second)
	lender.Lend([]identifier.EndpointIncarnation{i}, now)
	borrower.Take(i, now)
	borrower.Borrow(i, now)
	if borrower.Take(i, now.Add(borrowTTL)) {
		t.Error("a borrowed slot is used late")
	}
}
