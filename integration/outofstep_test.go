package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"brasschute/internal/standin/hosting"
)

const (
	// brokenStreams is the number of streams that are broken off and taken up.
	brokenStreams = 24
	// brokenEvents is the number of events in one of them.
	brokenEvents = 12
	// allowedMixed is the number of streams that may hold events of two versions.
	allowedMixed = 2
)

// breakUnlessTakenUp breaks off each stream that its client has not taken up.
func breakUnlessTakenUp(r *http.Request) hosting.Behaviour {
	if r.Header.Get("Resumes") == "" {
		return hosting.TruncateAnswer
	}
	return hosting.Serve
}

// addVersion starts an engine that breaks streams off.
func (s *site) addVersion(id, version string) {
	s.addEngine(hosting.Config{ID: id, Service: modelService, Version: version, StreamLength: brokenEvents, StartedUnixMilli: 1000}).SetBehaviour(breakUnlessTakenUp)
}

// stream sends a request for a stream, or takes one up after some events, and returns the number of events that
// came and whether the whole rest did.
func (h *gatewayHost) stream(id, resumes string, after int) (events int, whole bool) {
	header := map[string]string{"Token-Count": "100,24"}
	if resumes != "" {
		header["Resumes"], header["Last-Event-Id"] = resumes, fmt.Sprint(after)
	}
	a := h.send(hostedRequest{ID: id, Target: streamingPath, Key: deskKey, Header: header, Body: "letter"})
	if a.status != http.StatusOK {
		return 0, false
	}
	return strings.Count(a.body, "\n\n"), a.err == nil
}

// mixedStreams counts the streams that began at an engine of one version and went on at one of another.
func (s *site) mixedStreams(versions map[string]string) (mixed int) {
	began := make(map[string]string)
	for id, e := range s.engines {
		for _, x := range e.Executions() {
			if x.After == 0 {
				began[x.Request] = versions[id]
			}
		}
	}
	for id, e := range s.engines {
		for _, x := range e.Executions() {
			if x.After > 0 && x.Header.Get("Resumes") != "" && began[x.Header.Get("Resumes")] != versions[id] {
				mixed++
			}
		}
	}
	return mixed
}

// Guards against a daemon that stood still while engines of a new version joined, and goes on with their streams at the only
// version that it knows.
func TestDaemonThatStoodStillContinuesNoStreamAtAnotherVersion(t *testing.T) {
	for _, pause := range []time.Duration{1500 * time.Millisecond, 2500 * time.Millisecond, 2900 * time.Millisecond, 4 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			s := newSite(t)
			s.duties = `["usage"]`
			s.addVersion("i-lm-1", "v1")
			still, others := s.addReadyHost(), []*gatewayHost{s.addReadyHost(), s.addReadyHost()}
			taken := 0
			eventually(t, "the daemon knows that there is one version", func() error {
				id := fmt.Sprintf("known-%d", taken)
				taken++
				events, _ := others[0].stream(id, "", 0)
				if _, whole := still.stream(id+"-2", id, events); !whole {
					return fmt.Errorf("a stream was not taken up after %d events", events)
				}
				return nil
			})
			still.signal(syscall.SIGSTOP)
			begun := time.Now()
			s.addVersion("i-lm-2", "v2")
			s.addVersion("i-lm-3", "v2")
			var clients sync.WaitGroup
			for n := range brokenStreams {
				id := fmt.Sprintf("stream-%d", n)
				events, _ := others[n%len(others)].stream(id, "", 0)
				clients.Go(func() { still.stream(id+"-2", id, events) })
			}
			time.Sleep(pause - time.Since(begun))
			still.signal(syscall.SIGCONT)
			clients.Wait()
			if n := s.mixedStreams(map[string]string{"i-lm-1": "v1", "i-lm-2": "v2", "i-lm-3": "v2"}); n > allowedMixed {
				t.Errorf("%d of %d streams went on at another version", n, brokenStreams)
			}
		})
	}
}
