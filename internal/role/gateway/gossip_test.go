package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/peer/rpc"
)

// idleTime is how long the cost of an idle fleet is measured.
const idleTime = 10 * time.Second

// In a fleet of 195 daemons of which all pairs exchanged digests, updates were 6 s old in their own
// zone and 13 s elsewhere: usage was reported after its due time, quotas were divided by stale
// demands, and processes that started together called each other 19,000 times a second.
func TestNewsOfALargeFleetIsSoonKnown(t *testing.T) {
	for _, shape := range fleetShapes[:len(fleetShapes)-1] {
		t.Run(fmt.Sprint(shape.daemons), func(t *testing.T) { checkPropagation(t, shape) })
	}
}

// Checks the largest fleet separately: when all its daemons start at once, it may take longer
// until they all know each other.
func TestNewsOfTheLargestFleetIsSoonKnown(t *testing.T) {
	checkPropagation(t, fleetShapes[len(fleetShapes)-1])
}

// checkPropagation checks how soon after a start all daemons know each other, and how old updates
// are after that.
func checkPropagation(t *testing.T, shape fleetShape) {
	t.Helper()
	m := measure(t, shape)
	t.Log(m)
	if limit := 5 * time.Second; m.convergence > limit {
		t.Errorf("all daemons know each other %v after the start, want at most %v", m.convergence, limit)
	}
	if p99, limit := percentile(m.delays, 0.99), 1500*time.Millisecond; p99 > limit {
		t.Errorf("updates are %v old at p99, want at most %v", p99, limit)
	}
}

// BenchmarkNewsOfTheLargestFleet measures 360 daemons in 11 zones. It needs some eight GB of
// memory and a minute. Processor time is the mean over the daemons, bytes are the median.
//
//	go test ./internal/role/gateway -run xxx -bench NewsOfTheLargestFleet -benchtime 1x -v
func BenchmarkNewsOfTheLargestFleet(b *testing.B) {
	for range b.N {
		var m measurement
		ok := testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{Name: "largest", F: func(t *testing.T) {
			m = measure(t, fleetShape{360, 11})
		}}})
		if !ok {
			b.Fatal("the fleet did not converge")
		}
		b.ReportMetric(percentile(m.delays, 0.99).Seconds(), "s-age-p99")
		b.ReportMetric(m.convergence.Seconds(), "s-until-all-know")
		b.ReportMetric(100*m.coreFraction, "%core")
		b.ReportMetric(percentile(m.bytesPerSecond, 0.5), "B/s")
	}
}

// measurement is the cost of a fleet's gossip and the age of its updates.
type measurement struct {
	// convergence is the time from the start until all daemons know each other, startBytes the
	// most bytes of a daemon until then.
	convergence time.Duration
	startBytes  float64
	// coreFraction is the fraction of a core that a daemon uses while idle, megabytes its memory.
	coreFraction, megabytes float64
	// delays are the ages of updates, bytesPerSecond the traffic of each daemon; both are sorted.
	delays         []time.Duration
	bytesPerSecond []float64
}

// String returns a summary for logs.
func (m measurement) String() string {
	return fmt.Sprintf("converged after %v, most bytes until then %.0f; idle: %.2f%% of a core and %.1f MB a daemon; update age p50 %v, p99 %v, highest %v; "+
		"bytes a second p50 %.0f, p90 %.0f, most %.0f", m.convergence, m.startBytes, 100*m.coreFraction, m.megabytes, percentile(m.delays, 0.5), percentile(m.delays, 0.99),
		m.delays[len(m.delays)-1], percentile(m.bytesPerSecond, 0.5), percentile(m.bytesPerSecond, 0.9), m.bytesPerSecond[len(m.bytesPerSecond)-1])
}

// measure starts a fleet and measures its gossip.
func measure(t *testing.T, shape fleetShape) (m measurement) {
	t.Helper()
	inFleetOf(t, shape, func(f *testFleet) {
		began := time.Now()
		for f.unknownPairs() > 0 && time.Since(began) < 15*time.Second {
			time.Sleep(pollInterval)
		}
		m.convergence = time.Since(began)
		m.startBytes = slices.Max(f.peerTraffic())
		f.settle()
		m.coreFraction, m.megabytes = f.idleCost(idleTime)
		before, at := f.peerTraffic(), time.Now()
		for round := range 3 {
			m.delays = append(m.delays, f.propagationDelays(round)...)
		}
		slices.Sort(m.delays)
		m.bytesPerSecond = f.peerTraffic()
		for i := range m.bytesPerSecond {
			m.bytesPerSecond[i] = (m.bytesPerSecond[i] - before[i]) / time.Since(at).Seconds()
		}
		slices.Sort(m.bytesPerSecond)
	})
	return m
}

// unknownPairs counts the pairs of daemons of which the first does not know the second.
func (f *testFleet) unknownPairs() int {
	n := 0
	for _, g := range f.daemons {
		n += len(f.daemons) - g.knownDaemons()
	}
	return n
}

// A fleet is upgraded daemon by daemon. A daemon of the previous version exchanges digests with
// all others and does not understand sums. Without the charges of daemons in other zones it
// would consider their clients idle and give out their share of the quotas.
func TestPreviousVersionReceivesCharges(t *testing.T) {
	inFleetOf(t, fleetShape{40, 4}, func(f *testFleet) {
		f.settle()
		g := f.daemons[0]
		g.quotaLimiter.Admit(&catalog.Organisation{Name: "desk"}, 1000)
		time.Sleep(time.Second)
		before := &rpc.Digest{Host: "before", AvailabilityZone: "zone-1", Address: "10.2.9.9:82", Incarnation: 1, Sequence: 1, Fleet: 41}
		d, err := g.syncer.Swap(t.Context(), before)
		if err != nil || len(d.GetCharges()) != 1 || d.GetCharges()[0].GetTotal() != 1000 {
			t.Errorf("got charges %v, error %v", d.GetCharges(), err)
		}
	})
}
