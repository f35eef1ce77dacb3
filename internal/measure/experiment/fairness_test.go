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

const (
	fairSlots   = 40
	fairLimit   = 10
	fairService = 400 * time.Millisecond
	fairLength  = 2 * time.Minute
)

// fairness runs five organisations through one limiter. All send at 60% of
// their share, the loud one at a multiple of it. It returns the 95th
// percentile of a quiet organisation's time to start and end.
func fairness(t *testing.T, multiple float64) (p95 time.Duration, refused int) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		l := limiter.New()
		r := collector.New(time.Second)
		var group sync.WaitGroup
		for o := range 5 {
			rate := 0.6 * fairLimit / fairService.Seconds()
			if o == 0 {
				rate *= multiple
			}
			group.Go(func() { send(l, r, identifier.Organisation(fmt.Sprint(o)), rate, uint64(o)) })
		}
		group.Wait()
		p95 = r.FirstTokenP95("1")
		refused = r.Summary().Refused["over"]
	})
	return p95, refused
}

func send(l *limiter.Limiter, r *collector.Collector, o identifier.Organisation, rate float64, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 9))
	end := time.Now().Add(fairLength)
	var group sync.WaitGroup
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		service := time.Duration(random.ExpFloat64() * float64(fairService))
		group.Go(func() {
			begun := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			release, err := l.Acquire(ctx, &limiter.Ticket{Organisation: o, Pool: "p", Limit: fairLimit, Queue: 20, Slots: fairSlots})
			if err != nil {
				r.Add(collector.Sample{Organisation: o, Refused: "over"})
				return
			}
			time.Sleep(service)
			release()
			r.Add(collector.Sample{Organisation: o, FirstToken: time.Since(begun)})
		})
	}
	group.Wait()
}

func TestFairnessAgainstLoudOrganisation(t *testing.T) {
	// One organisation sends ten times its share, for minutes. The others'
	// 95th percentile may move by a tenth at most, and the excess is refused
	// to the loud one. The clock is paused, so this is a count, not a timing.
	calm, _ := fairness(t, 1)
	loud, refused := fairness(t, 10)
	t.Logf("p95 of a quiet organisation: %v calm, %v beside a loud one; %d refused", calm, loud, refused)
	if float64(loud) > 1.1*float64(calm) {
		t.Errorf("p95 went from %v to %v", calm, loud)
	}
	if refused == 0 {
		t.Error("nothing was refused to the loud organisation")
	}
}
