package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/selector"
)

// asks is a request of a model with an objective of half a second.
func asks(seed uint64, tokens identifier.Tokens) *Query {
	return &Query{Pool: "p", Select: selector.Query{
		Now: time.Now(), Seed: seed, MaxInFlight: 100, Slots: 100, PrefillRate: 50_000, DecodeRate: 100,
		PromptTokens: tokens, Target: 500 * time.Millisecond, LateCost: 1,
	}}
}

// A prompt of fifty thousand tokens keeps an engine busy for a second. As part of a
// rate it was all but forgotten after a twentieth of that, and short requests of the
// same daemon went on to queue behind it, with idle engines beside.
func TestShortRequestsAvoidALongPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(t)
		for _, zone := range []string{"a", "b", "c", "d"} {
			listIn(t, r, "z", zone)
		}
		r.SetPeerLoads(map[identifier.Endpoint]candidate.SentLoad{})
		long, _ := r.Choose(asks(1, 50_000))
		time.Sleep(300 * time.Millisecond)
		for seed := range uint64(50) {
			k, _ := r.Choose(asks(seed, 500))
			if k.Endpoint == long.Endpoint {
				t.Fatalf("request %d goes to the engine that reads the long prompt", seed)
			}
			r.Cancel(k)
		}
		r.ObserveFirstToken(long, time.Second)
		time.Sleep(5 * time.Second)
		used := false
		for seed := range uint64(50) {
			k, _ := r.Choose(asks(seed, 500))
			used = used || k.Endpoint == long.Endpoint
			r.Cancel(k)
		}
		if !used {
			t.Error("the engine is not used after it has read the prompt")
		}
	})
}

// What the other daemons say is still to be read counts, too: their rates alone say
// nothing of how long a queue has grown.
func TestQueuesOfOthersAreAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(t)
		listIn(t, r, "z", "a")
		listIn(t, r, "z", "b")
		r.SetPeerLoads(map[identifier.Endpoint]candidate.SentLoad{"a": {PendingPrefill: 60_000}, "b": {}})
		time.Sleep(time.Second)
		for seed := range uint64(30) {
			if k, _ := r.Choose(asks(seed, 500)); k.Endpoint != "b" {
				t.Fatalf("request %d goes to the longer queue", seed)
			} else {
				r.Cancel(k)
			}
		}
	})
}
