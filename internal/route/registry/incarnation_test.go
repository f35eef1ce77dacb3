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

// chooseTurn sends a turn of a conversation. It returns the pick and the number of tokens presumed
// to be cached.
func chooseTurn(r *Registry) (*Pick, identifier.Tokens) {
	pick, d := r.Choose(&Query{
		Pool: "p", Blocks: blocks, Sizes: []identifier.Tokens{1000, 2000, 3000},
		Select: selector.Query{Now: time.Now(), MaxInFlight: 100, PromptTokens: 4000, PrefillRate: 40000, DecodeRate: 100, RecomputeWeight: 1, Prefix: 13},
	})
	return pick, d.Chosen.Cached
}

// An engine restarts under the same endpoint ID. If the daemon kept state by ID alone, prompts
// would go there for cached blocks that are gone and would be computed again, and an endpoint that
// had failed or been slow before the restart would stay out of use.
func TestNewIncarnationStartsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(t, "h")
		pick, _ := chooseTurn(r)
		r.ObserveFirstToken(pick, 10*time.Second)
		_, cached := chooseTurn(r)
		if cached != 3000 {
			t.Fatalf("%d tokens are presumed cached, want 3000", cached)
		}
		for range ejectAfter {
			r.Release(r.PickEndpoint("on-h"), Failed)
		}
		r.SetPeerLoads(map[identifier.Endpoint]candidate.SentLoad{"on-h": {TokensPerSecond: 1e6, Running: 50, PendingPrefill: 1e6}})
		r.MarkLeaving("h", 1, time.Time{})

		listHost(t, r, "h", 2, inventory.StateLive)
		e := r.Endpoints()[0]
		if e.Leaving || e.Failures > 0 || e.Ejected(time.Now()) || e.InFlight > 0 || e.Slowdown > 0 || e.TokensAhead > 0 || e.Streams > 0 || e.PendingPrefill() > 0 {
			t.Errorf("the new incarnation starts with state of the earlier one: %+v", e)
		}
		if r.Usable(pick) {
			t.Error("a request chosen for the earlier incarnation would be sent to the new one")
		}
		after, cached := chooseTurn(r)
		if after == nil || cached != 0 {
			t.Fatalf("pick %v, %d tokens are presumed cached, want 0", after, cached)
		}
		// Late results of the earlier incarnation must not count.
		r.ObserveFirstToken(pick, 10*time.Second)
		r.Release(pick, Failed)
		if e := r.Endpoints()[0]; e.InFlight != 1 || e.Failures > 0 || e.Slowdown > 1 {
			t.Errorf("a late answer counts for the new incarnation: %+v", e)
		}
	})
}

// An endpoint is listed again in the same incarnation after its record lapsed. It still has its
// cache.
func TestSameIncarnationKeepsItsCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(t, "h")
		chooseTurn(r)
		r.UpdateHosts(map[string]*inventory.Host{inventory.HostPrefix + "z/h": nil})
		listHost(t, r, "h", 1, inventory.StateLive)
		if _, cached := chooseTurn(r); cached != 3000 {
			t.Errorf("%d tokens are presumed cached, want 3000", cached)
		}
	})
}

// A conversation's cache is on an endpoint that restarts and then leaves. The cache of the earlier
// incarnation is gone, so there is nothing to migrate.
func TestCacheOfEarlierIncarnationIsNotMigrated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(t, "h")
		chooseTurn(r)
		listHost(t, r, "h", 2, inventory.StateLive)
		r.MarkLeaving("h", 2, time.Time{})
		if migratable := r.TakeMigratable(); len(migratable) > 0 {
			t.Errorf("%d conversations would be migrated, want 0", len(migratable))
		}
	})
}

// Home endpoints depend on the incarnation. Homes on an endpoint that lost its cache are
// redistributed, identically at all daemons; homes on the other endpoints stay.
func TestHomesOfNewIncarnationAreRedistributed(t *testing.T) {
	homes := func(start identifier.StartTime) (out [200]identifier.Endpoint) {
		r := newRegistry(t)
		listed := make(map[string]*inventory.Host)
		for _, name := range []string{"a", "b", "c", "d"} {
			h := &inventory.Host{Host: identifier.Host(name), Incarnation: 1, State: inventory.StateLive, Endpoints: []inventory.Endpoint{{Endpoint: identifier.Endpoint(name), Pool: "p", Address: "a"}}}
			if name == "a" {
				h.Born = start
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
			t.Errorf("a home of another endpoint moved from %s to %s", first[i], second[i])
		case first[i] == "a" && second[i] != "a":
			moved++
		}
	}
	if moved < 20 {
		t.Errorf("%d homes of the earlier incarnation are redistributed, want at least 20", moved)
	}
}
