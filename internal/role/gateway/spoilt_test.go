package gateway

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"brasschute/internal/standin/hosting"
)

// spoiltStream is a request in whose streams engines send bytes that are no event in place of one event.
const spoiltStream = "spoilt in its middle"

// spoiling is the behaviour of an engine that spoils the streams that begin at it.
func spoiling(_ int, r *http.Request) hosting.Behaviour {
	if r.Header.Get("Body-Text") == spoiltStream && r.Header.Get("Last-Event-Id") == "" {
		return hosting.SpoilEvent
	}
	return hosting.Serve
}

// eventID matches the line with the number of an event.
var eventID = regexp.MustCompile(`(?m)^id: \d+$`)

// firstIDs returns the lines with the numbers of the first events.
func firstIDs(n int) string {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("id: %d", i+1))
	}
	return strings.Join(ids, "\n")
}

// checkSpoilt checks the streams that clients of one daemon get.
func (f *testFleet) checkSpoilt(daemon int) {
	f.t.Helper()
	for range 10 {
		for path, events := range map[string]int{streamPath: engineEvents/2 - 1, resumePath: engineEvents} {
			r := f.ask(daemon, path, spoiltStream)
			if got := strings.Join(eventID.FindAllString(r.text, -1), "\n"); r.complete != (events == engineEvents) || got != firstIDs(events) {
				f.t.Errorf("%s: %+v, %d events are wanted", path, r, events)
			}
		}
	}
}

// Guards against events that are lost where an engine sends wrong bytes in place of an event together with other events.
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
