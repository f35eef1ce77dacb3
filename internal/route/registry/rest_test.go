package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/route/pacer"
	"brasschute/internal/route/selector"
)

// ask picks an endpoint for a plain request.
func ask(r *Registry) (*Pick, selector.Decision) {
	return r.Choose(&Query{Pool: "p", Select: selector.Query{Now: time.Now(), MaxInFlight: 100, PrefillRate: 40000, DecodeRate: 100, LateCost: 1, Target: time.Second}})
}

// A request was chosen for an endpoint that asks for rest before it is sent.
func TestRestHoldsForRequestsThatWereChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(t, "h")
		first, _ := ask(r)
		second, _ := ask(r)
		r.BackOff(first, time.Second)
		if r.Usable(second) {
			t.Error("a request that had been chosen before would be sent")
		}
		if pick, d := ask(r); pick != nil || d.Excluded.BackingOff != 1 {
			t.Errorf("chosen: %+v, excluded: %+v", pick, d.Excluded)
		}
		if next := time.Until(r.NextAvailable("p")); next < time.Second || next > 1150*time.Millisecond {
			t.Errorf("next turn in %v", next)
		}
		r.Release(first, Neutral)
		r.Release(second, Neutral)
		time.Sleep(1200 * time.Millisecond)
		if pick, d := ask(r); pick == nil {
			t.Errorf("not chosen after its rest: %+v", d.Excluded)
		}
	})
}

// The record of an endpoint that rests lapses and comes back; a shorter rest is asked for; the
// next life has asked for nothing.
func TestRestOutlastsARecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(t, "h")
		pick, _ := ask(r)
		r.BackOff(pick, 10*time.Second)
		r.BackOff(pick, time.Second)
		r.UpdateHosts(map[string]*inventory.Host{inventory.HostPrefix + "z/h": nil})
		list(t, r, "h", 1, inventory.StateLive)
		time.Sleep(2 * time.Second)
		if pick, _ := ask(r); pick != nil {
			t.Error("the rest is forgotten with the record")
		}
		list(t, r, "h", 2, inventory.StateLive)
		if pick, _ := ask(r); pick == nil {
			t.Error("the next life is left alone, too")
		}
	})
}

// An endpoint wants rest from another daemon: others go first, and it is used where there is none.
func TestEndpointThatOthersSpareGoesLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(t, "a", "b")
		if !r.ApplyPeerBackoff(Backoff{Endpoint: "on-a", Until: time.Now().Add(time.Hour)}) || r.ApplyPeerBackoff(Backoff{Endpoint: "on-a", Until: time.Now().Add(time.Second)}) {
			t.Error("the first word is news, the second is not")
		}
		for range 20 {
			if pick, _ := ask(r); pick.Endpoint != "on-b" {
				t.Fatalf("%s was chosen", pick.Endpoint)
			}
		}
		if rests := r.Backoffs(); len(rests) != 1 || rests[0].Until.After(time.Now().Add(longestSpare)) {
			t.Errorf("told: %+v", rests)
		}
		r.MarkLeaving("b", 1, time.Time{})
		if pick, _ := ask(r); pick == nil || pick.Endpoint != "on-a" {
			t.Errorf("chosen where there is no other: %+v", pick)
		}
	})
}

// A request was chosen before its endpoint's limit was known; one that has its turn goes out.
func TestLimitHoldsForRequestsThatWereChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := pacer.New(pacer.Config{
			Host: "front-1", Now: time.Now, OnChange: func(pacer.Change) {},
			Fleet: func() pacer.Fleet { return pacer.Fleet{Peers: []identifier.Host{"front-2"}, Size: 2} },
		})
		r := newRegistry(t, "h")
		r.c.RateLimiter = p
		before, _ := ask(r)
		p.ObserveResponse(before.EndpointIncarnation(), pacer.NewRateLimit(0.5), time.Now())
		if r.AcquirePermit(before) {
			t.Error("a request that had been chosen before would be sent")
		}
		time.Sleep(5 * time.Second)
		with, _ := ask(r)
		if with == nil || !r.AcquirePermit(with) {
			t.Fatal("a request with its turn is not sent")
		}
		if pick, d := ask(r); pick != nil || d.Excluded.Limited != 1 {
			t.Errorf("chosen: %+v, excluded: %+v", pick, d.Excluded)
		}
		r.ReturnPermit(with)
		if pick, _ := ask(r); pick == nil {
			t.Error("the turn of a request that was not sent is lost")
		}
	})
}
