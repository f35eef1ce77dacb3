package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"
)

// Guards against a preview that counts a request, that ignores the queue at the endpoint of the
// attempt, or that names an endpoint which the next choice does not take.
func TestPreviewCountsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(t)
		listIn(t, r, "z", "a")
		listIn(t, r, "z", "b")
		r.SetPeerLoads(map[identifier.Endpoint]candidate.SentLoad{"a": {PendingPrefill: 100_000}, "b": {PendingPrefill: 25_000}})
		k := r.PickEndpoint("a")
		query := func() *Query {
			q := modelQuery(1, 5000)
			q.Select.LateCost, q.Select.Tried = 0, []identifier.Endpoint{"a"}
			return q
		}
		first := r.Preview(k, query())
		for range 10 {
			if again := r.Preview(k, query()); again != first {
				t.Fatalf("%+v, then %+v", first, again)
			}
		}
		if first.Queue < 2*time.Second || first.Queue > 2200*time.Millisecond {
			t.Errorf("a queue of %v, want the time for 100,000 tokens at 50,000 a second", first.Queue)
		}
		pick, _ := r.Choose(query())
		if pick == nil || pick.Endpoint != first.Alternative || pick.PredictedFirstToken != first.FirstToken {
			t.Errorf("preview %+v, choice %+v", first, pick)
		}
		r.MarkLeaving("b", 1, time.Time{})
		if none := r.Preview(k, query()); none.Alternative != "" {
			t.Errorf("an endpoint that is leaving is named: %+v", none)
		}
	})
}

// Guards against signs of life of endpoints without load that peers are not told of, and against
// old ones that they are.
func TestLoadsHoldSignsOfLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(t)
		listIn(t, r, "z", "a")
		listIn(t, r, "z", "b")
		k := r.PickEndpoint("a")
		k.Activity.RecordEvent(time.Now())
		seen := time.Now()
		time.Sleep(2 * time.Second)
		loads := r.Loads(time.Now())
		if len(loads) != 1 || loads[0].Endpoint != "a" || !loads[0].LastSign.Equal(seen) || loads[0].Running != 0 {
			t.Errorf("loads %+v, want one sign of life of endpoint a at %v", loads, seen)
		}
		time.Sleep(3 * time.Second)
		if loads := r.Loads(time.Now()); len(loads) != 0 {
			t.Errorf("a sign of life 5 s old is reported: %+v", loads)
		}
	})
}

// Streams of two endpoints of a zone wait behind long prompts, while a third endpoint of the zone
// answers. Guards against a zone that gets no requests because its streams wait.
func TestAnsweringZoneIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(t)
		streams := streamingPool(t, r)
		third := r.PickEndpoint("d2")
		for range 14 {
			time.Sleep(50 * time.Millisecond)
			for _, zone := range []string{"a", "b", "c"} {
				for _, k := range streams[zone] {
					k.Activity.RecordEvent(time.Now())
				}
			}
			third.Activity.RecordEvent(time.Now())
		}
		if got := zonesChosen(r); got["d"] == 0 {
			t.Errorf("%v: the answering endpoint of zone d is not used", got)
		}
		// Another daemon still receives events of the first two.
		for _, k := range streams["d"] {
			k.Activity.RecordPeerSign(time.Now())
		}
		time.Sleep(60 * time.Millisecond)
		r.Choose(modelQuery(1, 10))
		for _, c := range r.Endpoints() {
			if c.AvailabilityZone == "d" && c.Silent {
				t.Errorf("%s counts as silent, though another daemon receives its events", c.Endpoint)
			}
		}
	})
}
