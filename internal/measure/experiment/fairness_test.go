package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/measure/collector"
	"brasschute/internal/route/limiter"
)

// Slots of the pool, slots and mean service time of an organisation, and length
// of a run.
const (
	poolSlots         = 40
	organisationLimit = 10
	meanServiceTime   = 400 * time.Millisecond
	runLength         = 2 * time.Minute
)

// fairness sends the requests of five organisations through one limiter. Each
// sends at 60% of its share, except a noisy one that sends a multiple of that. It
// returns the 95th percentile of the time that a request of another organisation
// takes, waiting included, and the number of refused requests.
func fairness(t *testing.T, multiple float64) (p95 time.Duration, refused int) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		l := limiter.New()
		r := collector.New(time.Second)
		var senders sync.WaitGroup
		for o := range 5 {
			rate := 0.6 * organisationLimit / meanServiceTime.Seconds()
			if o == 0 {
				rate *= multiple
			}
			senders.Go(func() { send(l, r, identifier.Organisation(fmt.Sprint(o)), rate, uint64(o)) })
		}
		senders.Wait()
		p95 = r.FirstTokenP95("1")
		refused = r.Summary().Refused["over"]
	})
	return p95, refused
}

// send sends requests of one organisation at a mean rate per second until the end
// of the run, and waits for them.
func send(l *limiter.Limiter, r *collector.Collector, o identifier.Organisation, rate float64, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 9))
	deadline := time.Now().Add(runLength)
	var requests sync.WaitGroup
	for time.Now().Before(deadline) {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		service := time.Duration(random.ExpFloat64() * float64(meanServiceTime))
		requests.Go(func() {
			start := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			release, err := l.Acquire(ctx, &limiter.Ticket{Organisation: o, Pool: "p", Limit: organisationLimit, QueueLimit: 20, Slots: poolSlots})
			if err != nil {
				r.Add(collector.Sample{Organisation: o, Refused: "over"})
				return
			}
			time.Sleep(service)
			release()
			r.Add(collector.Sample{Organisation: o, FirstToken: time.Since(start)})
		})
	}
	requests.Wait()
}

func TestFairnessAgainstNoisyOrganisation(t *testing.T) {
	// Guards against an organisation that slows down the others: one sends ten
	// times as much as the others for two minutes. The 95th percentile of the
	// others may rise by a tenth at most, and the excess of the noisy one is
	// refused. The clock is simulated, so the result doesn't depend on the speed
	// of the machine.
	normal, _ := fairness(t, 1)
	noisy, refused := fairness(t, 10)
	t.Logf("p95 of a well-behaved organisation: %v without, %v with a noisy neighbour; %d refused", normal, noisy, refused)
	if float64(noisy) > 1.1*float64(normal) {
		t.Errorf("p95 rose from %v to %v", normal, noisy)
	}
	if refused == 0 {
		t.Error("no request of the noisy organisation was refused")
	}
}
