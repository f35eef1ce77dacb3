package gateway

import (
	"fmt"
	"testing"
	"time"
)

// learnedFirstToken returns the time to first token that one daemon learns to expect of its requests
// if the engines state a slowdown of their hosts; nil states none.
func learnedFirstToken(t *testing.T, hostSlowdown func() string) (learned time.Duration) {
	t.Helper()
	inPausedTime(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		f.rate = wideLink
		e := f.prepareEngines(func(string) bool { return false })
		e.hostSlowdown = hostSlowdown
		e.startAll()
		f.start(1)
		f.settle()
		for n := range 200 {
			if r := f.ask(0, streamPath, fmt.Sprint("letter ", n)); !r.complete {
				t.Fatalf("not served: %+v", r)
			}
		}
		estimate := f.daemons[0].estimator.Estimate(modelService, time.Now())
		learned = estimate.FixedLatency + time.Duration(promptTokens/float64(estimate.Speed)*float64(time.Second))
	})
	return learned
}

// Guards against an engine that moves what is learned of it by what it states.
func TestStatedSlowdownMovesNothing(t *testing.T) {
	usual := learnedFirstToken(t, nil)
	for _, stated := range []string{"", "0", "-100", "NaN", "1e300", "2000000000", "0.0001", "250"} {
		got := learnedFirstToken(t, func() string { return stated })
		if got < usual*9/10 || got > usual*11/10 {
			t.Errorf("%q: learned %v, without it %v", stated, got, usual)
		}
	}
}
