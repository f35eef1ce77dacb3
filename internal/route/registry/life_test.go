package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/prefix"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/selector"
)

var blocks = []prefix.Block{11, 12, 13}

// talk sends a request of a conversation and returns the pick and what was presumed
// cached.
func talk(r *Registry) (*Pick, identifier.Tokens) {
	pick, d := r.Choose(&Query{
		Pool: "p", Blocks: blocks, Sizes: []identifier.Tokens{1000, 2000, 3000},
		Select: selector.Query{Now: time.Now(), MaxInFlight: 100, PromptTokens: 4000, PrefillRate: 40000, DecodeRate: 100, RecomputeWeight: 1, Prefix: 13},
	})
	return pick, d.Chosen.Cached
}

// An engine starts again under its id. What the daemon knew of it by the id alone outlived
// it: prompts went there for parts that it did not have any more and were all read again,
// and an endpoint that had failed or been slow before stayed out of use.
func TestNewLifeBeginsWithNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(t, "h")
		pick, _ := talk(r)
		r.ObserveFirstToken(pick, 10*time.Second)
		_, cached := talk(r)
		if cached != 3000 {
			t.Fatalf("%d tokens are presumed cached", cached)
		}
		for range ejectAfter {
			r.Release(r.PickEndpoint("on-h"), Failed)
		}
		r.SetPeerLoads(map[identifier.Endpoint]candidate.SentLoad{"on-h": {TokensPerSecond: 1e6, Running: 50, PendingPrefill: 1e6}})
		r.MarkLeaving("h", 1, time.Time{})

		list(t, r, "h", 2, inventory.StateLive)
		e := r.Endpoints()[0]
		if e.Leaving || e.Failures > 0 || e.Ejected(time.Now()) || e.InFlight > 0 || e.Slowdown > 0 || e.TokensAhead > 0 || e.Streams > 0 || e.PendingPrefill() > 0 {
			t.Errorf("the new life begins with what was known of the earlier one: %+v", e)
		}
		if r.Usable(pick) {
			t.Error("a request chosen for the earlier life would be sent to the new one")
		}
		after, cached := talk(r)
		if after == nil || cached != 0 {
			t.Fatalf("pick %v, %d tokens are presumed cached", after, cached)
		}
		// What the earlier life still answers is late news.
		r.ObserveFirstToken(pick, 10*time.Second)
		r.Release(pick, Failed)
		if e := r.Endpoints()[0]; e.InFlight != 1 || e.Failures > 0 || e.Slowdown > 1 {
			t.Errorf("a late answer counts for the new life: %+v", e)
		}
	})
}

// The same life is listed again after its record lapsed. It still has its cache.
func TestSameLifeKeepsItsCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(t, "h")
		talk(r)
		r.UpdateHosts(map[string]*inventory.Host{inventory.HostPrefix + "z/h": nil})
		list(t, r, "h", 1, inventory.StateLive)
		if _, cached := talk(r); cached != 3000 {
			t.Errorf("%d tokens are presumed cached, 3000 are", cached)
		}
	})
}

// A conversation's cache is on an endpoint that starts again, and then leaves. There is
// nothing to move of what the earlier life had.
func TestCacheOfAnEarlierLifeIsNotMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(t, "h")
		talk(r)
		list(t, r, "h", 2, inventory.StateLive)
		r.MarkLeaving("h", 2, time.Time{})
		if moved := r.Evacuees(); len(moved) > 0 {
			t.Errorf("%d conversations would be moved", len(moved))
		}
	})
}

// The homes of prompts follow the life: those of one that has lost its cache are spread
// anew, in the same way at all daemons, and those of the others stay.
func TestHomesOfANewLifeArePlacedAnew(t *testing.T) {
	homes := func(born identifier.StartTime) (out [200]identifier.Endpoint) {
		r := newRegistry(t)
		listed := make(map[string]*inventory.Host)
		for _, name := range []string{"a", "b", "c", "d"} {
			h := &inventory.Host{Host: identifier.Host(name), Incarnation: 1, State: inventory.StateLive, Endpoints: []inventory.Endpoint{{Endpoint: identifier.Endpoint(name), Pool: "p", Address: "a"}}}
			if name == "a" {
				h.Born = born
			}
			listed[name] = h
		}
		r.UpdateHosts(listed)
		all := r.Endpoints()
		for i := range out {
			out[i] = all[selector.HomeIndex(uint64(i+1), 0, all)].Endpoint
		}
		return out
	}
	first, again, second := homes(1), homes(1), homes(2)
	if first != again {
		t.Error("two daemons place the homes differently")
	}
	moved := 0
	for i := range first {
		switch {
		case first[i] != "a" && second[i] != "a" && first[i] != second[i]:
			t.Errorf("a home moved from %s to %s", first[i], second[i])
		case first[i] == "a" && second[i] != "a":
			moved++
		}
	}
	if moved < 20 {
		t.Errorf("%d homes of the earlier life are spread", moved)
	}
}
