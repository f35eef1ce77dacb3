package aggregator

import (
	"testing"
	"time"

	"brasschute/internal/peer/rpc"
)

// Guards against sums that lose first events or late ones, or keep those of a daemon that is left
// out: the need would be raised or lowered by the wrong part.
func TestSumsOfFirstEvents(t *testing.T) {
	demand := func(firstEvents, late float64) *rpc.Digest {
		return &rpc.Digest{Demands: []*rpc.Demand{{Service: "lm", FirstEventsPerSecond: firstEvents, LatePerSecond: late}}}
	}
	s, other := newSums(time.Now()), &member{digest: demand(5, 1)}
	s.addMember(&member{digest: demand(7, 2)}, false, true)
	s.addMember(other, false, false)
	for name, c := range map[string]struct {
		without           *member
		firstEvents, late float64
	}{"all": {nil, 12, 3}, "without one": {other, 7, 2}} {
		got := s.message(c.without).GetDemands()[0]
		if got.GetFirstEventsPerSecond() != c.firstEvents || got.GetLatePerSecond() != c.late {
			t.Errorf("%s: %v", name, got)
		}
	}
	if invalid := (&rpc.Summary{Demands: []*rpc.Demand{{LatePerSecond: -1}, {FirstEventsPerSecond: 1e300}}}); dropInvalid(invalid) != 2 {
		t.Error("an impossible rate is kept")
	}
}
