package autoscaler

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"
	"brasschute/internal/fleet/sizer"
	"brasschute/internal/route/demandmeter"
	"brasschute/internal/standin/batcher"
)

// lateService returns a service with ten first events a second of which some are late, and with
// the given number of listed engines for a need of eight.
func lateService(late float64, listed int) *Service {
	s := &Service{
		Service: "lm", Scale: &catalog.Scale{Min: 1, Max: 60, BootTime: replayBoot, Prices: map[identifier.AvailabilityZone]float64{"a": 1}},
		Capacity: sizer.Capacity{Tokens: 14_000, Running: 40},
		Demand:   demandmeter.Demand{Requests: 10, Tokens: 8 * 14_000, FirstEvents: 10, Late: 10 * late},
	}
	s.Zones = []sizer.Zone{{Zone: "a", OnDemand: listed}}
	return s
}

// observe passes the service to the autoscaler for a time and returns the correction.
func observe(a *Autoscaler, s *Service, settling bool, d time.Duration) float64 {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		a.correct(s, s.Capacity.EndpointsFor(s.Demand), settling, time.Now())
	}
	return a.correction("lm").factor
}

// Lateness changes what is needed only if it lasts longer than a start, and nothing else explains
// it: endpoints that are still starting, a recent loss, a load that has just begun.
func TestLatenessCorrection(t *testing.T) {
	for name, c := range map[string]struct {
		late     float64
		listed   int
		settling bool
		lost     bool
		lasts    time.Duration
		raised   bool
	}{
		"late":                {0.3, 10, false, false, 9 * time.Second, true},
		"late for a moment":   {0.3, 10, false, false, replayBoot, false},
		"few late":            {0.08, 10, false, false, time.Minute, false},
		"engines are missing": {0.3, 7, false, false, time.Minute, false},
		"after a loss":        {0.3, 10, false, true, peakWindow, false},
		"settling":            {0.3, 10, true, false, time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := New(Config{Logger: log.New(io.Discard)})
				if c.lost {
					a.loss("lm").at = time.Now()
				}
				if got := observe(a, lateService(c.late, c.listed), c.settling, c.lasts); got > 1 != c.raised {
					t.Errorf("correction %.2f", got)
				}
			})
		})
	}
}

// Guards against a correction that rises again before the engines of the last step serve, or falls
// at once.
func TestLatenessCorrectionIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Config{Logger: log.New(io.Discard)})
		if got := observe(a, lateService(0.5, 100), false, 30*time.Second); got > 1.8 {
			t.Errorf("correction %.2f after 30 s", got)
		}
		high := observe(a, lateService(0.5, 100), false, 5*time.Minute)
		if high != maxCorrection {
			t.Errorf("correction %.2f after minutes, at most %v is allowed", high, maxCorrection)
		}
		if got := observe(a, lateService(0, 100), false, 20*time.Second); got < 0.9*high {
			t.Errorf("correction %.2f after 20 s on time, %.2f before", got, high)
		}
		if got := observe(a, lateService(0, 100), false, 20*time.Minute); got != 1 {
			t.Errorf("correction %.2f after 20 minutes on time", got)
		}
	})
}

// Guards against a successor that starts without its predecessor's correction.
func TestCorrectionIsInherited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReplay(t, 20, 10)
		old := r.newHolder()
		r.run(old, 1, 5*time.Second, nil)
		old.correction("lm").factor = 1.5
		next := r.newHolder()
		next.Inherit(2, old.Record())
		if got := next.correction("lm").factor; got != 1.5 {
			t.Errorf("correction %v", got)
		}
	})
}

// enginePool holds engines of the batching stand-in, of which as many serve as are listed.
type enginePool struct {
	config  batcher.Config
	engines []*batcher.Batcher
	// cached holds the shared parts that each engine was sent.
	cached []map[string]bool
	meter  demandmeter.Meter
	random *rand.Rand
	// started and onTime count requests and those with the first event in time.
	started int
	onTime  atomic.Int64
}

// The calm load of an engine replay: requests a second, their prompts and their objective.
const (
	calmRequests  = 90
	calmOwn       = 3_720
	calmShared    = 13_300
	calmPrefixes  = 30
	calmOutput    = 60
	calmObjective = 800 * time.Millisecond
)

// resize lets n engines serve.
func (p *enginePool) resize(n int) {
	for len(p.engines) < n {
		p.engines = append(p.engines, batcher.New(p.config))
		p.cached = append(p.cached, make(map[string]bool))
	}
	p.engines, p.cached = p.engines[:n], p.cached[:n]
}

// place returns the engine with the least load, counting a cached prefix.
func (p *enginePool) place(prefix string) (best, uncached int) {
	least := 0.0
	for i, e := range p.engines {
		l, tokens := e.Load(), calmOwn
		if !p.cached[i][prefix] {
			tokens += calmShared
		}
		cost := float64(l.PendingPrefillTokens) + float64(tokens) + 500*float64(l.Running+l.Waiting)
		if i == 0 || cost < least {
			best, uncached, least = i, tokens, cost
		}
	}
	return best, uncached
}

// send sends one request and counts its first event.
func (p *enginePool) send(ctx context.Context, n int) {
	prefix := fmt.Sprint("prefix-", p.random.IntN(calmPrefixes))
	i, uncached := p.place(prefix)
	p.cached[i][prefix] = true
	p.meter.CountPlaced("lm", identifier.Tokens(uncached), false)
	p.started++
	e, began := p.engines[i], time.Now()
	go func() {
		defer p.meter.CountEnded("lm")
		job := &batcher.Job{Prompt: []batcher.PromptPart{{ID: prefix, Tokens: calmShared}, {ID: fmt.Sprint("own-", n), Tokens: calmOwn}}, OutputTokens: calmOutput}
		first := true
		err := e.Run(ctx, job, func(int) error {
			if first {
				first = false
				late := time.Since(began) > calmObjective
				p.meter.CountFirstEvent("lm", late)
				if !late {
					p.onTime.Add(1)
				}
			}
			return nil
		})
		if err != nil && first && ctx.Err() == nil {
			p.meter.CountFirstEvent("lm", true)
		}
	}()
}

// run sends the calm load for a time, calling step twice a second.
func (p *enginePool) run(ctx context.Context, d time.Duration, step func()) {
	const interval = time.Second / calmRequests
	next := time.Now()
	for end := time.Now().Add(d); time.Now().Before(end); {
		if !time.Now().Before(next) {
			step()
			next = next.Add(500 * time.Millisecond)
		}
		p.send(ctx, p.random.Int())
		time.Sleep(time.Duration(p.random.ExpFloat64() * float64(interval)))
	}
}

// measure returns the part of the requests on time after a start-up time.
func (p *enginePool) measure(ctx context.Context, warm, d time.Duration, step func()) float64 {
	p.run(ctx, warm, step)
	p.started = 0
	p.onTime.Store(0)
	p.run(ctx, d, step)
	return float64(p.onTime.Load()) / float64(p.started)
}

func newEnginePool(c batcher.Config) *enginePool {
	return &enginePool{config: c, random: rand.New(rand.NewPCG(1, 2))}
}

// sizedPool returns the part on time with the engines that an autoscaler orders, which presumes a
// capacity, and how many engines it has ordered at the end. It starts with 28 engines.
func sizedPool(t *testing.T, c batcher.Config, capacity sizer.Capacity) (share float64, ordered int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := newEnginePool(c)
		r := newReplay(t, 0, 7)
		a := r.newHolder()
		p.resize(r.engines(false))
		share = p.measure(ctx, 70*time.Second, 20*time.Second, func() {
			r.start()
			p.resize(r.engines(false))
			s := r.service()
			s[0].Demand, s[0].Capacity = p.meter.Demands()["lm"], capacity
			a.Step(ctx, 1, s)
			ordered = r.engines(true)
		})
		t.Logf("%.2f on time, %d engines, correction %.2f", share, ordered, a.correction("lm").factor)
		cancel()
		// The engines finish their steps.
		time.Sleep(time.Second)
	})
	return share, ordered
}

// Guards against a pool that stays too small because its engines serve less than is presumed: they
// prefill at a fraction of the estimate's speed or have less memory. The fewest engines that serve
// the load in time are not the measure of what may be ordered, as the sizer keeps a reserve; it is
// what is ordered if the capacity is known.
func TestSlowerEnginesAreOnTime(t *testing.T) {
	usual := batcher.Config{Slots: 64, MaxWaiting: 500, MemoryTokens: 613_752, PrefillTokensPerSecond: 62_000, StepTime: 6 * time.Millisecond, PrefillChunk: 2048}
	for name, c := range map[string]struct{ speed, memory float64 }{"half the speed": {0.5, 1}, "a quarter of the speed": {0.25, 1}, "a quarter of the memory": {1, 0.25}} {
		t.Run(name, func(t *testing.T) {
			slower := usual
			slower.PrefillTokensPerSecond *= c.speed
			slower.MemoryTokens = identifier.Tokens(c.memory * float64(usual.MemoryTokens))
			known := sizer.EngineCapacity(slower.PrefillTokensPerSecond, 64)
			known.Running = min(known.Running, known.Running*float64(slower.MemoryTokens)/(64*(calmOwn+calmShared)))
			share, ordered := sizedPool(t, slower, sizer.EngineCapacity(usual.PrefillTokensPerSecond, 64))
			_, needed := sizedPool(t, slower, known)
			if share < 0.85 {
				t.Errorf("%.2f of the requests are on time", share)
			}
			if float64(ordered) > 1.3*float64(needed) {
				t.Errorf("%d engines ordered, %d with their capacity known", ordered, needed)
			}
		})
	}
}
