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

// engine answers with a fixed time and a reading speed.
type engine struct {
	fixed time.Duration
	speed float64
}

func (g engine) first(uncached, ahead float64) time.Duration {
	return g.fixed + time.Duration((uncached+ahead)/g.speed*float64(time.Second))
}

func prompt(r *rand.Rand) float64 { return 1000 + 8000*r.Float64() }

func observe(e *Estimator, g engine, uncached, ahead, believed float64) {
	e.ObserveFirstEvent(service, Observation{Uncached: identifier.Tokens(uncached), TokensAhead: believed, Took: g.first(uncached, ahead)})
}

// within tells whether an estimate is as near to the truth as decisions need.
func within(got Speed, truth float64) bool {
	return float64(got) > 0.65*truth && float64(got) < 1.35*truth
}

// An engine five times faster than what is taken at first is known within forty
// answers, a few seconds of one daemon's load; one five times slower within eighty seconds,
// as what seems slow at first mostly waits.
func TestSpeedIsLearnedFromAnswers(t *testing.T) {
	for _, speed := range []float64{firstSpeed / 5, firstSpeed / 2, firstSpeed, 2 * firstSpeed, 5 * firstSpeed} {
		synctest.Test(t, func(t *testing.T) {
			var e Estimator
			r := rand.New(rand.NewPCG(1, uint64(speed)))
			answers := 40
			if speed < firstSpeed {
				answers = 800
			}
			for range answers {
				time.Sleep(100 * time.Millisecond)
				observe(&e, engine{fixed: 15 * time.Millisecond, speed: speed}, prompt(r), 0, 0)
			}
			if got := e.Estimate(service, time.Now()).Speed; !within(got, speed) {
				t.Errorf("%.0f tokens a second after %d answers, %.0f are read", got, answers, speed)
			}
		})
	}
}

// A load begins at sixty daemons at once: all caches are cold, and nobody knows yet of
// the queues that grow at the engines. Each daemon's first answers seem five times
// slower than its engines are; twice the pool was ordered, and given back when the
// caches of its homes had gone cold.
func TestColdStartDoesNotHalveTheSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var e Estimator
		r := rand.New(rand.NewPCG(6, 1))
		for range 15 {
			time.Sleep(200 * time.Millisecond)
			observe(&e, engine{speed: firstSpeed}, prompt(r), 20_000, 0)
		}
		if got := e.Estimate(service, time.Now()).Speed; got < firstSpeed*7/10 {
			t.Errorf("%.0f tokens a second after three seconds, %d before", got, firstSpeed)
		}
	})
}

// In an overload every request waits for some others. Had the wait counted as slow
// reading, the estimate would fall, the pool be found too small by as much, and
// engines be ordered that nobody needs.
func TestWaitingIsNotSlowness(t *testing.T) {
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
		t.Errorf("%.0f after an overload, %.0f before", got, before)
	}
}

// One engine of twelve is eight times slower than the others, or claims to be a
// hundred times faster.
func TestOneGreyEngineIsOutvoted(t *testing.T) {
	for _, grey := range []engine{{speed: 10_000}, {speed: 8_000_000}} {
		var e Estimator
		r := rand.New(rand.NewPCG(3, uint64(grey.speed)))
		for n := range 2000 {
			g := engine{speed: 80_000}
			if n%12 == 0 {
				g = grey
			}
			// The others' speeds differ a little, as their caches do.
			g.speed *= 0.8 + 0.4*r.Float64()
			observe(&e, g, prompt(r), 0, 0)
		}
		if got := e.Estimate(service, time.Now()).Speed; !within(got, 80_000) {
			t.Errorf("%.0f tokens a second beside an engine of %.0f", got, grey.speed)
		}
	}
}

// A process that starts under load has seen nothing: it goes by what the others know.
func TestNewProcessGoesByTheFleet(t *testing.T) {
	var e Estimator
	now := time.Now()
	e.Merge("a", service, Estimate{Speed: 110_000, Samples: 300}, now)
	e.Merge("b", service, Estimate{Speed: 100_000, Samples: 300}, now)
	e.Merge("liar", service, Estimate{Speed: 4_000_000, Samples: 1 << 30}, now)
	e.Merge("broken", service, Estimate{Speed: -1, Samples: 500}, now)
	if got := e.Estimate(service, now).Speed; got != 110_000 {
		t.Errorf("%.0f, told 100,000 and 110,000", got)
	}
	later := now.Add(toldAge + time.Second)
	if got := e.Estimate(service, later).Speed; got != 110_000 {
		t.Errorf("%.0f after the others fell silent: not what was told first", got)
	}
}

// A fixed time before each first event, longer than the reading of a usual prompt, is
// latency and not slowness: taken for slow reading it doubled the pool.
func TestFixedTimeIsToldFromReading(t *testing.T) {
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
				t.Errorf("%.0f tokens a second, %.0f are read", got.Speed, g.speed)
			}
			if !within(Speed(got.FixedLatency.Seconds()), g.fixed.Seconds()) {
				t.Errorf("%s of fixed time, it is %s", got.FixedLatency, g.fixed)
			}
		})
	}
}

// Streams tell how long an output token takes; one that hung for a minute counts as a
// second at most.
func TestTokenTimeIsLearnedFromStreams(t *testing.T) {
	var e Estimator
	for n := range 400 {
		took := 100 * 25 * time.Millisecond
		if n == 390 {
			took = time.Hour
		}
		e.ObserveStream(service, 100, took)
	}
	if got := e.TokenInterval(service); got < 20*time.Millisecond || got > 60*time.Millisecond {
		t.Errorf("%s a token, it is 25 ms", got)
	}
	e.ObserveStream(service, 0, time.Second)
	e.ObserveStream(service, 5, -time.Second)
	if got := e.TokenInterval(service); got <= 0 {
		t.Errorf("%s a token", got)
	}
}

// Whatever is observed, the estimate stays within its bounds, and an answer moves it by
// a bounded part.
func TestEstimateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Estimator
		last := e.Estimate(service, time.Now()).Speed
		for n := range rapid.IntRange(1, 60).Draw(t, "answers") {
			e.ObserveFirstEvent(service, Observation{
				Uncached: identifier.Tokens(rapid.IntRange(-5, 1_000_000).Draw(t, "uncached")),
				TokensAhead:    rapid.Float64Range(0, 1e6).Draw(t, "ahead"),
				Streams:  rapid.Float64Range(-1, 500).Draw(t, "streams"),
				Took:     time.Duration(rapid.Int64Range(-5, int64(time.Minute)).Draw(t, "took")),
			})
			got := e.Local()[service].Speed
			if got == 0 {
				got = last
			}
			if got < leastSpeed || got > mostSpeed || got > 3*last || got < last/3 {
				t.Fatalf("answer %d: %.0f after %.0f", n, got, last)
			}
			last = got
		}
	})
}
