package gateway

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// inPausedTime runs a test in a synctest bubble.
//
// Under the race detector it runs on one processor. The runtime lends the bubble's one race
// context to each goroutine that finds a ticker of the bubble due. Two of them at once on two
// processors corrupt it, and the detector ends the process ("ThreadSanitizer: CHECK failed:
// tsan_rtl.cpp"): 2 of 24 starts of sixty daemons on eight processors, none of 12 on one, and
// each of 6 starts of 200 goroutines with one ticker each. The detector tracks the order of
// events, not their time, so it misses nothing on one processor.
func inPausedTime(t *testing.T, check func(t *testing.T)) {
	t.Helper()
	if raceDetector {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	synctest.Test(t, check)
}

// scaledFleetSize returns the number of daemons of a test that wants n: a quarter under the race
// detector, where sixty on one processor take 109 s. CI runs the tests with and without it.
func scaledFleetSize(n int) int {
	if raceDetector {
		return n / 4
	}
	return n
}
