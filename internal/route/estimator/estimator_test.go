package estimator

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"brasschute/internal/core/identifier"
)

const service identifier.Service = "lm"

// engine has a fixed latency and a prefill speed in tokens per second.
type engine struct {
	fixed time.Duration
	speed float64
}

func (g engine) firstEvent(uncached, ahead float64) time.Duration {
	return g.fixed + time.Duration((uncached+ahead)/g.speed*float64(time.Second))
}

func prompt(r *rand.Rand) float64 { return 1000 + 8000*r.Float64() }

func observe(e *Estimator, g engine, uncached, ahead, presumedAhead float64) {
	e.ObserveFirstEvent(service, Observation{Uncached: identifier.Tokens(uncached), TokensAhead: presumedAhead, Took: g.firstEvent(uncached, ahead)})
}

// within reports whether an estimate is as close to the true speed as decisions need.
func within(got Speed, truth float64) bool {
	return float64(got) > 0.65*truth && float64(got) < 1.35*truth
}

// An engine five times faster than the initial speed is estimated within forty samples, a few
// seconds of one daemon's load; one five times slower within eighty seconds, because what seems
// slow at first has mostly waited.
func TestSpeedConverges(t *testing.T) {
	for _, speed := range []float64{initialSpeed / 5, initialSpeed / 2, initialSpeed, 2 * initialSpeed, 5 * initialSpeed} {
		synctest.Test(t, func(t *testing.T) {
			var e Estimator
			r := rand.New(rand.NewPCG(1, uint64(speed)))
			samples := 40
			if speed < initialSpeed {
				samples = 800
			}
			for range samples {
				time.Sleep(100 * time.Millisecond)
				observe(&e, engine{fixed: 15 * time.Millisecond, speed: speed}, prompt(r), 0, 0)
			}
			if got := e.Estimate(service, time.Now()).Speed; !within(got, speed) {
				t.Errorf("estimated %.0f tokens per second after %d samples, want %.0f", got, samples, speed)
			}
		})
	}
}

// A load begins at sixty daemons at once: all caches are cold, and the growing queues at the
// engines are not known yet, so that each daemon's first samples seem five times slower than its
// engines are. Twice the pool was ordered, and released when the caches of the preferred engines
// had gone cold.
func TestColdStartDoesNotHalveTheSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var e Estimator
		r := rand.New(rand.NewPCG(6, 1))
		for range 15 {
			time.Sleep(200 * time.Millisecond)
			observe(&e, engine{speed: initialSpeed}, prompt(r), 20_000, 0)
		}
		if got := e.Estimate(service, time.Now()).Speed; got < initialSpeed*7/10 {
			t.Errorf("estimated %.0f tokens per second after three seconds, %d before", got, initialSpeed)
		}
	})
}

// In an overload every request waits for some others. If the wait counted as slow prefill, the
// estimate would fall, the pool would seem too small by as much, and unneeded engines would be
// ordered.
func TestQueueingIsNotSlowness(t *testing.T) {
	var e Estimator
	r := rand.New(rand.NewPCG(2, 1))
	g := engine{fixed: 30 * time.Millisecond, speed: 90_000}
	for range 100 {
		observe(&e, g, prompt(r), 0, 0)
	}
	before := e.Estimate(service, time.Now()).Speed
	for range 500 {
		ahead := 20_000 + 60_000*r.Float64()
		observe(&e, g, prompt(r), ahead, ahead*(0.5+r.Float64()))
	}
	if got := e.Estimate(service, time.Now().Add(time.Second)).Speed; got < before*9/10 {
		t.Errorf("estimated %.0f after an overload, %.0f before", got, before)
	}
}

// One engine of twelve is eight times slower than the others, or reports to be a hundred times
// faster.
func TestOneDeviantEngineIsOutvoted(t *testing.T) {
	for _, deviant := range []engine{{speed: 10_000}, {speed: 8_000_000}} {
		var e Estimator
		r := rand.New(rand.NewPCG(3, uint64(deviant.speed)))
		for n := range 2000 {
			g := engine{speed: 80_000}
			if n%12 == 0 {
				g = deviant
			}
			// The speeds of the others differ a little, as their caches do.
			g.speed *= 0.8 + 0.4*r.Float64()
			observe(&e, g, prompt(r), 0, 0)
		}
		if got := e.Estimate(service, time.Now()).Speed; !within(got, 80_000) {
			t.Errorf("estimated %.0f tokens per second beside an engine of %.0f", got, deviant.speed)
		}
	}
}

// A process that starts under load has no samples and uses the estimates of its peers.
func TestNewProcessUsesPeerEstimates(t *testing.T) {
	var e Estimator
	now := time.Now()
	e.Merge("a", service, Estimate{Speed: 110_000, Samples: 300}, now)
	e.Merge("b", service, Estimate{Speed: 100_000, Samples: 300}, now)
	e.Merge("liar", service, Estimate{Speed: 4_000_000, Samples: 1 << 30}, now)
	e.Merge("broken", service, Estimate{Speed: -1, Samples: 500}, now)
	if got := e.Estimate(service, now).Speed; got != 110_000 {
		t.Errorf("estimated %.0f, peers reported 100,000 and 110,000", got)
	}
	later := now.Add(peerTTL + time.Second)
	if got := e.Estimate(service, later).Speed; got != 110_000 {
		t.Errorf("estimated %.0f after peers fell silent, want the peers' earlier estimate", got)
	}
}

// A fixed latency before each first event, longer than the prefill of a usual prompt, must not be
// taken for slow prefill: that doubled the pool.
func TestFixedLatencyIsNotSlowness(t *testing.T) {
	for _, g := range []engine{{fixed: 93 * time.Millisecond, speed: 50_000}, {fixed: 10 * time.Millisecond, speed: 150_000}, {fixed: 300 * time.Millisecond, speed: 20_000}} {
		synctest.Test(t, func(t *testing.T) {
			var e Estimator
			r := rand.New(rand.NewPCG(4, uint64(g.speed)))
			for n := range 600 {
				time.Sleep(100 * time.Millisecond)
				size := prompt(r)
				if n%2 == 0 {
					size = 100 + 1200*r.Float64()
				}
				observe(&e, g, size, 0, 0)
			}
			got := e.Estimate(service, time.Now())
			if !within(got.Speed, g.speed) {
				t.Errorf("estimated %.0f tokens per second, want %.0f", got.Speed, g.speed)
			}
			if !within(Speed(got.FixedLatency.Seconds()), g.fixed.Seconds()) {
				t.Errorf("estimated a fixed latency of %s, want %s", got.FixedLatency, g.fixed)
			}
		})
	}
}

// Streams provide the time between output tokens; one that hung for an hour counts for at most a
// second per token.
func TestTokenIntervalConverges(t *testing.T) {
	var e Estimator
	for n := range 400 {
		took := 100 * 25 * time.Millisecond
		if n == 390 {
			took = time.Hour
		}
		e.ObserveStream(service, 100, took)
	}
	if got := e.TokenInterval(service); got < 20*time.Millisecond || got > 60*time.Millisecond {
		t.Errorf("interval of %s per token, want about 25 ms", got)
	}
	e.ObserveStream(service, 0, time.Second)
	e.ObserveStream(service, 5, -time.Second)
	if got := e.TokenInterval(service); got <= 0 {
		t.Errorf("interval of %s per token, want a positive one", got)
	}
}

// Whatever is observed, the estimate stays within its bounds, and one sample moves it by a bounded
// factor.
func TestEstimateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Estimator
		last := e.Estimate(service, time.Now()).Speed
		for n := range rapid.IntRange(1, 60).Draw(t, "answers") {
			e.ObserveFirstEvent(service, Observation{
				Uncached:    identifier.Tokens(rapid.IntRange(-5, 1_000_000).Draw(t, "uncached")),
				TokensAhead: rapid.Float64Range(0, 1e6).Draw(t, "ahead"),
				Streams:     rapid.Float64Range(-1, 500).Draw(t, "streams"),
				Took:        time.Duration(rapid.Int64Range(-5, int64(time.Minute)).Draw(t, "took")),
			})
			got := e.Local()[service].Speed
			if got == 0 {
				got = last
			}
			if got < minSpeed || got > maxSpeed || got > 3*last || got < last/3 {
				t.Fatalf("sample %d: estimated %.0f after %.0f", n, got, last)
			}
			last = got
		}
	})
}
