package gateway

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
	"brasschute/internal/route/candidate"
	"brasschute/platform"
)

// list writes an endpoint's record.
func (f *testFleet) list(id, state string, born int64) {
	r := map[string]any{"Service": "app", "Address": "10.9.0.1:80", "Zone": "zone-0", "State": state}
	if born > 0 {
		r["born"] = born
	}
	f.store.Write(platform.EndpointKind, id, r)
}

// views tells how the daemons see an endpoint; a state that all share comes alone.
func (f *testFleet) views(id string) map[string]int {
	out := make(map[string]int)
	for _, g := range f.daemons {
		view := "unknown"
		for _, e := range g.registry.Endpoints() {
			if e.Endpoint == identifier.Endpoint(id) {
				view = fmt.Sprintf("born %d, leaving %v", e.Born, e.Leaving)
			}
		}
		out[view]++
	}
	return out
}

// expect fails unless all daemons see an endpoint in the same way.
func (f *testFleet) expect(id, view string) {
	f.t.Helper()
	if views := f.views(id); views[view] != len(f.daemons) {
		f.t.Errorf("%s is seen as %v, expected is %q", id, views, view)
	}
}

// An engine drains, ends, and starts again under its id. "Leaving" was kept by the id, so
// the new process never got a request; and a peer that had not heard of the start told
// all others again that the engine was leaving.
func TestEndpointThatStartsAgainServesAgain(t *testing.T) {
	inFleet(t, 20, func(f *testFleet) {
		f.list("i-2", "ready", 1000)
		f.settle()
		f.expect("i-2", "born 1000, leaving false")
		f.list("i-2", "draining", 1000)
		time.Sleep(time.Second)
		f.expect("i-2", "born 1000, leaving true")
		f.store.Remove(platform.EndpointKind, "i-2")
		f.list("i-2", "ready", 2000)
		time.Sleep(time.Second)
		f.expect("i-2", "born 2000, leaving false")
		for _, g := range f.daemons {
			g.noted(&rpc.Note{Host: "late", Departures: []*rpc.Departure{{Endpoint: "i-2", Born: 1000}}, Leaving: []string{"i-2"}})
			g.noted(&rpc.Note{Host: "late and of the version before", Leaving: []string{"i-2"}})
		}
		f.expect("i-2", "born 2000, leaving false")
	})
}

// The clock of an engine's host went back before it started again.
func TestLaterLifeWithAnEarlierBirth(t *testing.T) {
	inFleet(t, 3, func(f *testFleet) {
		f.list("i-2", "draining", 5000)
		f.settle()
		f.expect("i-2", "born 5000, leaving true")
		f.list("i-2", "ready", 4000)
		time.Sleep(time.Second)
		f.expect("i-2", "born 4000, leaving false")
	})
}

// The store turns a daemon away. It must learn from its peers that an engine is leaving,
// and later that another life of it is not; peers of the version before name ids only.
func TestDeparturesComeFromPeers(t *testing.T) {
	inFleet(t, 4, func(f *testFleet) {
		f.list("i-2", "ready", 1000)
		f.list("i-3", "ready", 0)
		f.settle()
		f.turnAway("front-3")
		f.list("i-2", "draining", 1000)
		time.Sleep(time.Second)
		f.expect("i-2", "born 1000, leaving true")
		f.list("i-2", "ready", 3000)
		time.Sleep(time.Second)
		f.expect("i-2", "born 3000, leaving false")
		for _, g := range f.daemons {
			g.noted(&rpc.Note{Host: "of the version before", Leaving: []string{"i-3"}})
		}
		f.expect("i-3", "born 0, leaving true")
	})
}

// Loads are told by endpoint. Those of its earlier life, which others still tell for some
// seconds, kept requests away from an engine that had just started and was idle.
func TestLoadsOfAnEarlierLifeDoNotCount(t *testing.T) {
	inFleet(t, 1, func(f *testFleet) {
		f.list("i-2", "ready", 1000)
		f.settle()
		g := f.daemons[0]
		tell := func(born int64, sequence uint64) float64 {
			g.gatherer.Merge(&rpc.Digest{Host: "other", Incarnation: 1, Sequence: sequence, Loads: []*rpc.EndpointLoad{{
				Endpoint: "i-2", Born: born, TokensPerSecond: 1000, Running: 7, UnreadTokens: 9000,
			}}}, time.Now())
			time.Sleep(2 * learnPause)
			for _, e := range g.registry.Endpoints() {
				if e.Endpoint == "i-2" {
					e.Refresh(time.Now(), candidate.LoadParameters{PrefillRate: 40000})
					return e.Streams
				}
			}
			return -1
		}
		if running := tell(1000, 1); running != 7 {
			t.Errorf("%v streams are presumed, a peer has 7", running)
		}
		f.list("i-2", "ready", 2000)
		time.Sleep(time.Second)
		if running := tell(1000, 2); running != 0 {
			t.Errorf("%v streams are presumed of the new life", running)
		}
	})
}

// Another writer spoils records: one that was good, one beside others, while daemons start
// and while they follow. The spoilt one names no endpoint, all others hold, and a good
// record that follows counts at once. A whole list was refused for one of them, and the
// endpoint of a spoilt record stayed in use as it had been.
func TestSpoiltRecordsTakeNothingWithThem(t *testing.T) {
	for name, spoilt := range map[string]any{
		"a text": "gone", "null": nil, "a list": []int{1}, "fields missing": map[string]any{"Service": "app"},
		"another type":      map[string]any{"Service": 5, "Address": "10.9.0.1:80", "Zone": "z", "State": "ready"},
		"an unnamed state":  map[string]any{"Service": "app", "Address": "10.9.0.1:80", "Zone": "z", "State": "resting"},
		"no address":        map[string]any{"Service": "app", "Address": "nowhere", "Zone": "z", "State": "ready"},
		"no birth any more": map[string]any{"Service": "app", "Address": "10.9.0.1:80", "Zone": "z", "State": "ready"},
		"a long value":      map[string]any{"Service": make([]byte, 1<<19)},
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, 3, func(f *testFleet) {
				for i := range 5 {
					f.list(fmt.Sprintf("i-%d", i), "ready", 1000)
				}
				f.settle()
				f.store.Write(platform.EndpointKind, "i-2", spoilt)
				f.list("i-3", "draining", 1000)
				time.Sleep(time.Second)
				f.expect("i-2", "unknown")
				f.expect("i-1", "born 1000, leaving false")
				f.expect("i-3", "born 1000, leaving true")
				if name != "no birth any more" { // a new process can't know that there was one
					f.start(1)
				}
				time.Sleep(5 * time.Second)
				f.expect("i-2", "unknown")
				f.expect("i-4", "born 1000, leaving false")
				f.list("i-2", "ready", 1000)
				time.Sleep(time.Second)
				f.expect("i-2", "born 1000, leaving false")
			})
		})
	}
}

// Another writer spoils the configuration. Daemons keep the last good one; a new process
// can't read any in the store, and got the spoilt one from its peers, too: it never served.
func TestSpoiltConfigurationIsNotPassedOn(t *testing.T) {
	inFleet(t, 4, func(f *testFleet) {
		f.store.Write(platform.CatalogKind, "main", map[string]any{"Version": "next", "Routes": 5})
		f.store.Write(platform.CatalogKind, "other", []int{1, 2})
		time.Sleep(2 * time.Second)
		f.start(1)
		time.Sleep(5 * time.Second)
		if behind := f.behind(); len(behind) > 0 {
			t.Errorf("%v", behind)
		}
		f.grow(1)
		time.Sleep(applyTime)
		if behind := f.behind(); len(behind) > 0 {
			t.Errorf("a good one that follows: %v", behind)
		}
	})
}

// Decoding a record goes on for each change of a fleet of hundreds.
func BenchmarkDecodeEndpoint(b *testing.B) {
	raw, err := json.Marshal(map[string]any{
		"Service": "app", "Address": "10.9.0.1:80", "Zone": "zone-0", "State": "ready", "Version": "v1", "Slots": 8, "Seq": 7, "ColdLeftMs": 0, "born": 1790000000123,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if e, err := platform.DecodeEndpoint("i-1", raw); err != nil || e.Host.State != inventory.StateLive {
			b.Fatal(err)
		}
	}
}

// The store and a peer tell of one endpoint at the same moment, and the older record is
// taken in last. It was taken for a spoilt one, and the endpoint got no request any more
// until its record changed again, which may be never.
func TestLateRecordDoesNotEndTheEndpoint(t *testing.T) {
	inFleet(t, 1, func(f *testFleet) {
		f.list("i-2", "ready", 1000)
		f.settle()
		older := object.Object{Key: platform.EndpointKind + "/i-2", Version: 1, Value: f.store.Spec(platform.EndpointKind, "i-2")}
		f.daemons[0].endpointsChanged([]object.Object{older})
		f.expect("i-2", "born 1000, leaving false")
	})
}
