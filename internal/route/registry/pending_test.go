package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/selector"
)

// modelQuery is a query for a model request with a target of half a second.
func modelQuery(seed uint64, tokens identifier.Tokens) *Query {
	return &Query{Pool: "p", Select: selector.Query{
		Now: time.Now(), Seed: seed, MaxInFlight: 100, Slots: 100, PrefillRate: 50_000, DecodeRate: 100,
		PromptTokens: tokens, Target: 500 * time.Millisecond, LateCost: 1,
	}}
}

// A prompt of 50,000 tokens keeps an engine busy for a second. If it counts only as part of a rate,
// it is almost forgotten after a twentieth of that, and short requests of the same daemon queue
// behind it while other engines are idle.
func TestShortRequestsAvoidLongPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(t)
		for _, zone := range []string{"a", "b", "c", "d"} {
			listIn(t, r, "z", zone)
		}
		r.SetPeerLoads(map[identifier.Endpoint]candidate.SentLoad{})
		long, _ := r.Choose(modelQuery(1, 50_000))
		time.Sleep(300 * time.Millisecond)
		for seed := range uint64(50) {
			k, _ := r.Choose(modelQuery(seed, 500))
			if k.Endpoint == long.Endpoint {
				t.Fatalf("request %d goes to the engine that is busy with the long prompt", seed)
			}
			r.Cancel(k)
		}
		r.ObserveFirstToken(long, time.Second)
		time.Sleep(5 * time.Second)
		used := false
		for seed := range uint64(50) {
			k, _ := r.Choose(modelQuery(seed, 500))
			used = used || k.Endpoint == long.Endpoint
			r.Cancel(k)
		}
		if !used {
			t.Error("the engine is not used after the prefill of the long prompt")
		}
	})
}

// Pending prompt tokens reported by other daemons must count, too: their rates alone say nothing
// about the length of a queue.
func TestQueuesOfOtherDaemonsAreAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(t)
		listIn(t, r, "z", "a")
		listIn(t, r, "z", "b")
		r.SetPeerLoads(map[identifier.Endpoint]candidate.SentLoad{"a": {PendingPrefill: 60_000}, "b": {}})
		time.Sleep(time.Second)
		for seed := range uint64(30) {
			if k, _ := r.Choose(modelQuery(seed, 500)); k.Endpoint != "b" {
				t.Fatalf("request %d goes to the longer queue", seed)
			} else {
				r.Cancel(k)
			}
		}
	})
}
