package gateway

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// inBubble runs a test in paused time.
//
// Under the race detector it runs on one processor. The runtime lends the bubble's one race
// context to each goroutine that finds a ticker of the bubble due; two of them at once, on
// two processors, spoil it, and the detector ends the process ("ThreadSanitizer: CHECK
// failed: tsan_rtl.cpp"): 2 of 24 starts of sixty daemons on eight processors, none of 12 on
// one, and each of 6 starts of 200 goroutines with no more than a ticker each. The detector
// goes by the order of events, not by their time, and so misses nothing on one processor.
func inBubble(t *testing.T, check func(t *testing.T)) {
	t.Helper()
	if raceDetector {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	synctest.Test(t, check)
}

// fleetSize is the number of daemons of a test that wants n: a quarter under the race
// detector, where sixty on one processor take 109 s. CI runs the tests both ways.
func fleetSize(n int) int {
	if raceDetector {
		return n / 4
	}
	return n
}
