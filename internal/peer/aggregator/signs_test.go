package aggregator

import (
	"testing"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"
)

// signDigest returns the digest of a daemon of zone a to which an endpoint showed its last sign of life some
// time ago; a negative age stands for an older version without the field.
func signDigest(host string, age time.Duration) *rpc.Digest {
	l := &rpc.EndpointLoad{Endpoint: "i-1", TokensPerSecond: 1000, Running: 1}
	if age >= 0 {
		milli := uint32(age.Milliseconds())
		l.EventAgeMilli = &milli
	}
	return &rpc.Digest{Host: host, AvailabilityZone: "a", Incarnation: 1, Sequence: 1, Loads: []*rpc.EndpointLoad{l}}
}

// ageOf returns the age of the endpoint's sign of life, -1 if it is unknown.
func ageOf(loads []*rpc.EndpointLoad) time.Duration {
	for _, l := range loads {
		if l.EventAgeMilli != nil {
			return time.Duration(l.GetEventAgeMilli()) * time.Millisecond
		}
	}
	return -1
}

// Guards against sums in which a sign of life is not the latest one, does not age while it waits to
// be passed on, or comes back to the daemon that it was reported by, and against a missing field
// that counts as a sign.
func TestSignsOfLifeInSums(t *testing.T) {
	start := time.Unix(1e9, 0)
	relay := New(Config{Host: "front-1", Zone: "a", Start: start})
	relay.Merge(signDigest("front-2", 300*time.Millisecond), true, start)
	relay.Merge(signDigest("front-3", 900*time.Millisecond), true, start)
	relay.Merge(signDigest("front-4", -1), true, start)
	now := start.Add(500 * time.Millisecond)
	for without, want := range map[identifier.Host]time.Duration{"front-4": 800 * time.Millisecond, "front-2": 1400 * time.Millisecond} {
		got := ageOf(relay.FleetSumExcept(without, now).GetLoads())
		if got < want || got > want+maxSumAge {
			t.Errorf("without %s: a sign of life %v old, want %v", without, got, want)
		}
	}

	// The sum passes to a relay of another zone, and from it to a daemon there.
	other, member := New(Config{Host: "back-1", Zone: "b", Start: start}), New(Config{Host: "back-2", Zone: "b", Start: start})
	other.Merge(&rpc.Digest{Host: "front-1", AvailabilityZone: "a", Incarnation: 1, Sequence: 1, Relaying: true, Summary: relay.ZoneSum(now)}, true, now)
	now = now.Add(400 * time.Millisecond)
	member.Merge(&rpc.Digest{Host: "back-1", AvailabilityZone: "b", Incarnation: 1, Sequence: 1, Relaying: true, Summary: other.FleetSumExcept("back-2", now)}, false, now)
	now = now.Add(400 * time.Millisecond)
	loads, asOf := member.OthersLoads(false, now)
	at := asOf.Add(-ageOf(loads))
	if want := start.Add(-300 * time.Millisecond); at.After(want) || at.Before(want.Add(-2*maxSumAge)) {
		t.Errorf("the sign of life seems to be %v younger than it is", at.Sub(want))
	}

	silent := New(Config{Host: "front-5", Zone: "a", Start: start})
	silent.Merge(signDigest("front-4", -1), true, start)
	if got := ageOf(silent.FleetSumExcept("front-6", start).GetLoads()); got >= 0 {
		t.Errorf("a missing field counts as a sign of life %v old", got)
	}
}
