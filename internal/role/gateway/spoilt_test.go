package gateway

import (
	"net/http"
	"strings"
	"testing"

	"brasschute/internal/standin/hosting"
)

// Requests whose streams engines spoil: with bytes that are no event in place of one event.
const (
	spoiltStream    = "spoilt in its middle"
	spoiltEndStream = "spoilt at its end"
)

// spoiling is the behaviour of an engine that spoils the streams that begin at it.
func spoiling(_ int, r *http.Request) hosting.Behaviour {
	switch body := r.Header.Get("Body-Text"); {
	case r.Header.Get("Last-Event-Id") != "":
		return hosting.Serve
	case body == spoiltStream:
		return hosting.SpoilEvent
	case body == spoiltEndStream:
		return hosting.SpoilLastEvent
	}
	return hosting.Serve
}

// eventTexts returns the first events of a stream.
func eventTexts(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(hosting.EventText(i + 1))
	}
	return b.String()
}

// checkSpoilt checks the streams that clients of one daemon get.
func (f *testFleet) checkSpoilt(daemon int) {
	f.t.Helper()
	for range 10 {
		for _, c := range []struct {
			path, body string
			events     int
		}{
			{streamPath, spoiltStream, engineEvents/2 - 1},
			{resumePath, spoiltStream, engineEvents},
			{streamPath, spoiltEndStream, engineEvents - 1},
			{resumePath, spoiltEndStream, engineEvents},
		} {
			if r := f.ask(daemon, c.path, c.body); r.complete != (c.events == engineEvents) || r.text != eventTexts(c.events) {
				f.t.Errorf("%s, %s: %+v, %d events are wanted", c.path, c.body, r, c.events)
			}
		}
	}
}

// Guards against events that are lost, and bytes that are none and reach the client, where an engine sends wrong bytes in
// place of an event together with other events.
func TestSpoiltEventLosesNoOther(t *testing.T) {
	inEngineFleet(t, 4, func(string) bool { return false }, func(f *testFleet, e *engineFleet) {
		e.behave = spoiling
		f.checkSpoilt(0)
	})
}

// Guards against the same at a daemon that is partitioned from the engines, whose requests go through
// another one.
func TestSpoiltEventThroughAPeerLosesNoOther(t *testing.T) {
	inPartitionedFleet(t, 4, func(p *partitionedFleet, e *engineFleet) {
		e.behave = spoiling
		p.cut(linkReset, []int{0})
		for range 20 {
			p.ask(0, streamPath, "sound")
		}
		p.checkSpoilt(0)
	})
}
