//go:build !race

package gateway

// raceDetector tells whether the tests run under the race detector.
const raceDetector = false
