package gateway

import (
	"net/http"
	"testing"

	"brasschute/internal/standin/hosting"
)

// Streams of engines that end with their connection, without a length or chunks: whole ones, and ones
// that an engine breaks off inside an event.
const (
	unframedStream       = "ends with its connection"
	brokenUnframedStream = "ends inside an event"
)

// unframed is the behaviour of an engine whose streams end with their connection.
func unframed(_ int, r *http.Request) hosting.Behaviour {
	if r.Header.Get("Body-Text") == brokenUnframedStream && r.Header.Get("Last-Event-Id") == "" {
		return hosting.OmitLengthAndTruncate
	}
	return hosting.OmitLength
}

// checkUnframed checks the streams that clients of one daemon get.
func (f *testFleet) checkUnframed(daemon int) {
	f.t.Helper()
	for range 10 {
		for _, c := range []struct {
			path, body string
			complete   bool
		}{
			{streamPath, unframedStream, true},
			{resumePath, unframedStream, true},
			{streamPath, brokenUnframedStream, false},
			{resumePath, brokenUnframedStream, true},
		} {
			if r := f.ask(daemon, c.path, c.body); r.complete != c.complete || !c.complete && countEvents(r.text) != engineEvents/2 {
				f.t.Errorf("%s, %s: %+v, complete %v is wanted", c.path, c.body, r, c.complete)
			}
		}
	}
}

// Guards against a whole stream that is taken for a broken one, and against one that an engine broke
// off and that its client takes for whole.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	inEngineFleet(t, 4, func(string) bool { return false }, func(f *testFleet, e *engineFleet) {
		e.behave = unframed
		f.checkUnframed(0)
	})
}

// Guards against the same at a daemon that is partitioned from the engines, whose requests go through
// another one.
func TestStreamThatEndsWithItsConnectionThroughAPeer(t *testing.T) {
	inPartitionedFleet(t, 4, func(p *partitionedFleet, e *engineFleet) {
		e.behave = unframed
		p.cut(linkReset, []int{0})
		for range 20 {
			p.ask(0, streamPath, unframedStream)
		}
		p.checkUnframed(0)
	})
}
