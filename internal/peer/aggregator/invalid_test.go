package aggregator

import (
	"math"
	"testing"
	"time"

	"brasschute/internal/peer/rpc"
)

// A relay of a later version, or a faulty one, sends sums that can't be true. If they counted,
// one of them could exhaust an organisation's quota in the whole fleet, or draw all requests to
// one endpoint. The rest of the message still counts.
func TestInvalidSumsAreRejected(t *testing.T) {
	now := time.Unix(1e9, 0)
	a := New(Config{Host: "front-1", Zone: "a", Start: now.Add(-time.Minute)})
	merge := func(sequence uint64, total float64) (Update, bool) {
		return a.Merge(&rpc.Digest{
			Host: "front-2", AvailabilityZone: "b", Incarnation: 1, Sequence: sequence, AgeMilli: int64(sequence) * 1000, Relaying: true,
			Summary: &rpc.Summary{
				Daemons: 3, Silent: 7,
				Charges: []*rpc.Charge{
					{Organisation: "desk", Total: total},
					{Organisation: "nan", Total: math.NaN()},
					{Organisation: "negative", Total: -1},
					{Organisation: "endless", Total: 1, AskedPerSecond: math.Inf(1)},
				},
				Demands: []*rpc.Demand{{Service: "lm", TokensPerSecond: -5}},
				Loads:   []*rpc.EndpointLoad{{Endpoint: "i-1", Running: math.MaxUint32}, {Endpoint: "i-2", Running: 2}},
			},
		}, true, now)
	}
	merge(1, 1000)
	if n := a.TakeRejected(); n != 6 {
		t.Errorf("%d items rejected, 6 are invalid", n)
	}
	u, changed := merge(2, 1500)
	if !changed || u.Accounts["desk"].Total != 500 || len(u.Accounts) != 1 || u.Silent > u.Daemons {
		t.Errorf("the valid rest was not merged: %+v", u)
	}
	if loads := a.OthersSum(true, now).GetLoads(); len(loads) != 1 || loads[0].GetEndpoint() != "i-2" {
		t.Errorf("loads %v", loads)
	}
}
