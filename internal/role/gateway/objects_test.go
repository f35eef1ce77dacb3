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

// writeEndpoint writes an endpoint's record to the store.
func (f *testFleet) writeEndpoint(id, state string, born int64) {
	r := map[string]any{"Service": "app", "Address": "10.9.0.1:80", "Zone": "zone-0", "State": state}
	if born > 0 {
		r["born"] = born
	}
	f.store.Write(platform.EndpointKind, id, r)
}

// endpointViews counts the daemons by how they see an endpoint.
func (f *testFleet) endpointViews(id string) map[string]int {
	out := make(map[string]int)
	for _, g := range f.daemons {
		view := "unknown"
		for _, e := range g.registry.Endpoints() {
			if e.Endpoint == identifier.Endpoint(id) {
				view = fmt.Sprintf("born %d, leaving %v", e.StartTime, e.Leaving)
			}
		}
		out[view]++
	}
	return out
}

// expectView fails the test unless all daemons see an endpoint in the given way.
func (f *testFleet) expectView(id, view string) {
	f.t.Helper()
	if views := f.endpointViews(id); views[view] != len(f.daemons) {
		f.t.Errorf("%s is seen as %v, want %q", id, views, view)
	}
}

// An engine drains, ends, and restarts under its id. When "leaving" was kept by id, the new
// process never got a request, and a peer that did not know of the restart yet reported
// to all others again that the engine was leaving.
func TestEndpointThatStartsAgainServesAgain(t *testing.T) {
	inFleet(t, 20, func(f *testFleet) {
		f.writeEndpoint("i-2", "ready", 1000)
		f.settle()
		f.expectView("i-2", "born 1000, leaving false")
		f.writeEndpoint("i-2", "draining", 1000)
		time.Sleep(time.Second)
		f.expectView("i-2", "born 1000, leaving true")
		f.store.Remove(platform.EndpointKind, "i-2")
		f.writeEndpoint("i-2", "ready", 2000)
		time.Sleep(time.Second)
		f.expectView("i-2", "born 2000, leaving false")
		for _, g := range f.daemons {
			g.mergeNote(&rpc.Note{Host: "late", Departures: []*rpc.Departure{{Endpoint: "i-2", Born: 1000}}, Leaving: []string{"i-2"}})
			g.mergeNote(&rpc.Note{Host: "late and of the version before", Leaving: []string{"i-2"}})
		}
		f.expectView("i-2", "born 2000, leaving false")
	})
}

// The clock of an engine's host was set back before the engine restarted, so the new
// incarnation has the earlier start time.
func TestRestartWithEarlierStartTime(t *testing.T) {
	inFleet(t, 3, func(f *testFleet) {
		f.writeEndpoint("i-2", "draining", 5000)
		f.settle()
		f.expectView("i-2", "born 5000, leaving true")
		f.writeEndpoint("i-2", "ready", 4000)
		time.Sleep(time.Second)
		f.expectView("i-2", "born 4000, leaving false")
	})
}

// The store refuses a daemon's calls. The daemon must learn from its peers that an engine is
// leaving, and later that a new incarnation of it is not. Peers of the previous version send ids
// only.
func TestDeparturesComeFromPeers(t *testing.T) {
	inFleet(t, 4, func(f *testFleet) {
		f.writeEndpoint("i-2", "ready", 1000)
		f.writeEndpoint("i-3", "ready", 0)
		f.settle()
		f.refuseStoreCalls("front-3")
		f.writeEndpoint("i-2", "draining", 1000)
		time.Sleep(time.Second)
		f.expectView("i-2", "born 1000, leaving true")
		f.writeEndpoint("i-2", "ready", 3000)
		time.Sleep(time.Second)
		f.expectView("i-2", "born 3000, leaving false")
		for _, g := range f.daemons {
			g.mergeNote(&rpc.Note{Host: "of the version before", Leaving: []string{"i-3"}})
		}
		f.expectView("i-3", "born 0, leaving true")
	})
}

// Loads are reported by endpoint. Loads of an earlier incarnation, which peers still report for
// some seconds, kept requests away from an engine that had just restarted and was idle.
func TestLoadsOfAnEarlierLifeDoNotCount(t *testing.T) {
	inFleet(t, 1, func(f *testFleet) {
		f.writeEndpoint("i-2", "ready", 1000)
		f.settle()
		g := f.daemons[0]
		tell := func(born int64, sequence uint64) float64 {
			g.gatherer.Merge(&rpc.Digest{Host: "other", Incarnation: 1, Sequence: sequence, Loads: []*rpc.EndpointLoad{{
				Endpoint: "i-2", Born: born, TokensPerSecond: 1000, Running: 7, UnreadTokens: 9000,
			}}}, time.Now())
			time.Sleep(2 * loadInterval)
			for _, e := range g.registry.Endpoints() {
				if e.Endpoint == "i-2" {
					e.Refresh(time.Now(), candidate.LoadParameters{PrefillRate: 40000})
					return e.Streams
				}
			}
			return -1
		}
		if running := tell(1000, 1); running != 7 {
			t.Errorf("the load shows %v streams, a peer has 7", running)
		}
		f.writeEndpoint("i-2", "ready", 2000)
		time.Sleep(time.Second)
		if running := tell(1000, 2); running != 0 {
			t.Errorf("the load shows %v streams for the new incarnation", running)
		}
	})
}

// Another writer corrupts records, a good one or an additional one, while daemons start and
// while they watch. A corrupt record must name no endpoint, all other records must stay in
// effect, and a good record that follows must take effect at once. A whole list was rejected
// because of one corrupt record, and the endpoint of a corrupt record stayed in use as before.
func TestSpoiltRecordsTakeNothingWithThem(t *testing.T) {
	for name, corrupt := range map[string]any{
		"a text": "gone", "null": nil, "a list": []int{1}, "fields missing": map[string]any{"Service": "app"},
		"another type":     map[string]any{"Service": 5, "Address": "10.9.0.1:80", "Zone": "z", "State": "ready"},
		"an unnamed state": map[string]any{"Service": "app", "Address": "10.9.0.1:80", "Zone": "z", "State": "resting"},
		"no address":       map[string]any{"Service": "app", "Address": "nowhere", "Zone": "z", "State": "ready"},
		"no start time":    map[string]any{"Service": "app", "Address": "10.9.0.1:80", "Zone": "z", "State": "ready"},
		"a long value":     map[string]any{"Service": make([]byte, 1<<19)},
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, 3, func(f *testFleet) {
				for i := range 5 {
					f.writeEndpoint(fmt.Sprintf("i-%d", i), "ready", 1000)
				}
				f.settle()
				f.store.Write(platform.EndpointKind, "i-2", corrupt)
				f.writeEndpoint("i-3", "draining", 1000)
				time.Sleep(time.Second)
				f.expectView("i-2", "unknown")
				f.expectView("i-1", "born 1000, leaving false")
				f.expectView("i-3", "born 1000, leaving true")
				if name != "no start time" { // a new process can't know that there was one
					f.start(1)
				}
				time.Sleep(5 * time.Second)
				f.expectView("i-2", "unknown")
				f.expectView("i-4", "born 1000, leaving false")
				f.writeEndpoint("i-2", "ready", 1000)
				time.Sleep(time.Second)
				f.expectView("i-2", "born 1000, leaving false")
			})
		})
	}
}

// Another writer corrupts the configuration. Daemons must keep the last good one. A new process
// cannot decode the one in the store; when its peers also sent it the corrupt one, it never
// served.
func TestSpoiltConfigurationIsNotPassedOn(t *testing.T) {
	inFleet(t, 4, func(f *testFleet) {
		f.store.Write(platform.CatalogKind, "main", map[string]any{"Version": "next", "Routes": 5})
		f.store.Write(platform.CatalogKind, "other", []int{1, 2})
		time.Sleep(2 * time.Second)
		f.start(1)
		time.Sleep(5 * time.Second)
		if behind := f.daemonsBehind(); len(behind) > 0 {
			t.Errorf("%v", behind)
		}
		f.addRoutes(1)
		time.Sleep(applyTime)
		if behind := f.daemonsBehind(); len(behind) > 0 {
			t.Errorf("after a good configuration: %v", behind)
		}
	})
}

// BenchmarkDecodeEndpoint measures the decoding of a record, which happens for each change in a
// fleet of hundreds.
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

// The store and a peer deliver one endpoint's record at the same moment, and the older record is
// applied last. It was mistaken for a corrupt one, and the endpoint got no requests until its
// record changed again, which may be never.
func TestStaleRecordDoesNotRemoveEndpoint(t *testing.T) {
	inFleet(t, 1, func(f *testFleet) {
		f.writeEndpoint("i-2", "ready", 1000)
		f.settle()
		older := object.Object{Key: platform.EndpointKind + "/i-2", Version: 1, Value: f.store.Spec(platform.EndpointKind, "i-2")}
		f.daemons[0].applyEndpoints([]object.Object{older})
		f.expectView("i-2", "born 1000, leaving false")
	})
}

// Guards against calls of each daemon to several others for each endpoint that is added, while
// thousands register one after another; departures are still told at once.
func TestOnlyDeparturesAreTold(t *testing.T) {
	record := func(state string) []object.Object {
		return []object.Object{{
			Key: platform.EndpointKind + "/i-1", Version: 1, Value: []byte(`{"Service":"lm","Address":"10.0.0.1:80","Zone":"z","State":"` + state + `"}`),
		}}
	}
	inFleet(t, 1, func(f *testFleet) {
		g := f.daemons[0]
		for _, c := range []struct {
			name    string
			changes []object.Object
			added   bool
		}{
			{"live", record("ready"), true},
			{"leaving", record("draining"), false},
			{"removed", []object.Object{{Key: platform.EndpointKind + "/i-1", Version: 2, Deleted: true}}, false},
			{"unreadable", []object.Object{{Key: platform.EndpointKind + "/i-2", Version: 3, Value: []byte("{")}}, false},
		} {
			if added := g.applyEndpoints(c.changes); added != c.added {
				t.Errorf("%s: added %t, want %t", c.name, added, c.added)
			}
		}
	})
}
