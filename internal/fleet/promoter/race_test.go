//go:build race

package promoter

// raceDetector reports whether the tests run under the race detector.
const raceDetector = true
