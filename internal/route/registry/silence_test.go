package registry

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
)

// listIn lists an endpoint in a zone.
func listIn(t *testing.T, r *Registry, zone, host string) {
	t.Helper()
	value, err := json.Marshal(inventory.Host{
		Host: identifier.Host(host), Incarnation: 1, State: inventory.StateLive, AvailabilityZone: identifier.AvailabilityZone(zone),
		Endpoints: []inventory.Endpoint{{Endpoint: identifier.Endpoint(host), Pool: "p", Address: "a"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	r.ApplyObject(&object.Object{Key: inventory.HostPrefix + zone + "/" + host, Value: value})
}

// streamingPool lists three endpoints in each of four zones and starts a stream at the first two of
// each.
func streamingPool(t *testing.T, r *Registry) map[string][]*Pick {
	t.Helper()
	streams := make(map[string][]*Pick)
	for _, zone := range []string{"a", "b", "c", "d"} {
		for n := range 3 {
			listIn(t, r, zone, fmt.Sprintf("%s%d", zone, n))
		}
		for n := range 2 {
			k := r.PickEndpoint(identifier.Endpoint(fmt.Sprintf("%s%d", zone, n)))
			k.Activity.BeginStream()
			k.Activity.RecordEvent(time.Now())
			streams[zone] = append(streams[zone], k)
		}
	}
	return streams
}

// zonesChosen counts the requests that go to each zone, out of a hundred.
func zonesChosen(r *Registry) map[string]int {
	out := make(map[string]int)
	for seed := range uint64(100) {
		q := &Query{Pool: "p"}
		q.Select.Now, q.Select.MaxInFlight, q.Select.Seed = time.Now(), 1000, seed
		if k, _ := r.Choose(q); k != nil {
			out[string(k.Endpoint[:1])]++
			r.Release(k, Neutral)
		}
	}
	return out
}

// One zone of four is partitioned without a connection reset. Unless silent streams are detected,
// requests continue to be sent there over open connections for three seconds, until the kernel
// gives the connections up; 25 of them were lost.
func TestPartitionedZoneGetsNoNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(t)
		streams := streamingPool(t, r)
		stream := func(d time.Duration, zones ...string) {
			for range d / (50 * time.Millisecond) {
				time.Sleep(50 * time.Millisecond)
				for _, zone := range zones {
					for _, k := range streams[zone] {
						k.Activity.RecordEvent(time.Now())
					}
				}
			}
		}
		stream(time.Second, "a", "b", "c", "d")
		if got := zonesChosen(r); got["d"] == 0 {
			t.Errorf("%v: zone d is not used before the partition", got)
		}
		stream(600*time.Millisecond, "a", "b", "c")
		if got := zonesChosen(r); got["d"] != 0 || got["a"] == 0 {
			t.Errorf("%v after 600 ms without events from zone d", got)
		}
		stream(200*time.Millisecond, "a", "b", "c", "d")
		if got := zonesChosen(r); got["d"] == 0 {
			t.Errorf("%v: zone d is not used after the partition", got)
		}
	})
}

// A daemon that was paused has received no event for a while. That says nothing about the
// endpoints: refusing all requests until the next event would turn a pause into an outage.
func TestSilenceOfAllEndpointsIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(t)
		streamingPool(t, r)
		time.Sleep(5 * time.Second)
		total := 0
		for _, n := range zonesChosen(r) {
			total += n
		}
		if total != 100 {
			t.Errorf("%d of 100 requests find an endpoint after a pause, want all", total)
		}
	})
}

// An endpoint whose streams have ended delivers no events and must not count as silent.
func TestEndedStreamsDoNotCountAsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(t)
		streams := streamingPool(t, r)
		for _, k := range streams["d"] {
			k.Activity.EndStream()
		}
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			for _, zone := range []string{"a", "b", "c"} {
				for _, k := range streams[zone] {
					k.Activity.RecordEvent(time.Now())
				}
			}
		}
		if got := zonesChosen(r); got["d"] == 0 {
			t.Errorf("%v: an idle zone is not used", got)
		}
	})
}
