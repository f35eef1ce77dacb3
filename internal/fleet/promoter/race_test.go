//go:build race

package promoter

// raceDetector tells whether the tests run under the race detector.
const raceDetector = true
