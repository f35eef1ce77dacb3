package aggregator

import (
	"fmt"
	"testing"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"
)

// BenchmarkFleetSum builds the sums that a relay sends to one daemon of its zone: 160 daemons that
// send to six endpoints each, of a thousand.
func BenchmarkFleetSum(b *testing.B) {
	const daemons, endpoints, organisations = 160, 1000, 300
	now := time.Now()
	a := New(Config{Host: "front-0", Zone: "a", Start: now})
	for i := range daemons {
		d := &rpc.Digest{Host: fmt.Sprint("front-", i), AvailabilityZone: "a", Incarnation: 1, Sequence: 1}
		for k := range 6 {
			d.Loads = append(d.Loads, &rpc.EndpointLoad{Endpoint: fmt.Sprintf("i-%06d", (6*i+k)%endpoints), TokensPerSecond: 5000, Running: 1})
		}
		for k := range 4 {
			d.Charges = append(d.Charges, &rpc.Charge{Organisation: fmt.Sprint("organisation-", (4*i+k)%organisations), Total: 1000, AskedPerSecond: 10})
		}
		a.Merge(d, true, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		if s := a.FleetSumExcept(identifier.Host("front-7"), now); len(s.GetLoads()) == 0 {
			b.Fatal("no loads")
		}
	}
}
