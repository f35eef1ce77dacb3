//go:build !race

package gateway

// raceDetector reports whether the tests run under the race detector.
const raceDetector = false
