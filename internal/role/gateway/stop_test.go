package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// longPrompt is the prompt of a request that takes an engine's memory nearly alone, and some nine seconds to
	// prefill.
	longPrompt = 480_000
	// shortAnswer and longAnswer are lengths of answers in tokens. A long one takes longer than the grace period.
	shortAnswer, longAnswer = 30, 1500
)

// longRequest is a request with a long prompt and its outcome.
type longRequest struct {
	// sentAfter is when it is sent, from the beginning of the daemon's stop on.
	sentAfter time.Duration

	status int
	header http.Header
	took   time.Duration
	body   string
	err    error
}

// send sends the request to a daemon.
func (l *longRequest) send(m *batchFleet, daemon int, parts string, outputTokens int) {
	r, err := m.newRequest(context.Background(), daemon, "review", "prompt", parts, longPrompt, outputTokens)
	if err != nil {
		l.err = err
		return
	}
	began := time.Now()
	defer func() { l.took = time.Since(began) }()
	resp, err := m.client.Do(r)
	if err != nil {
		l.err = err
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	l.status, l.header, l.body, l.err = resp.StatusCode, resp.Header, string(body), err
}

// Guards against requests that wait for an engine at a stopping daemon, were sent nowhere, and whose connections
// close at the end without an answer.
func TestStopAnswersRequestsThatWait(t *testing.T) {
	inBatchFleet(t, 2, 1, func(m *batchFleet) {
		m.configureObjective(5 * time.Second)
		var group sync.WaitGroup
		// The engine is taken for as long as the daemon stops.
		first := new(longRequest)
		group.Go(func() { first.send(m, 1, fmt.Sprintf("first:%d", longPrompt), longAnswer) })
		requests := []*longRequest{{sentAfter: -2 * time.Second}, {sentAfter: -time.Second}, {sentAfter: time.Second}, {sentAfter: 2500 * time.Millisecond}}
		begin := time.Now().Add(3 * time.Second)
		for i, l := range requests {
			group.Go(func() {
				time.Sleep(time.Until(begin.Add(l.sentAfter)))
				l.send(m, 0, fmt.Sprintf("second-%d:%d", i, longPrompt), shortAnswer)
			})
		}
		time.Sleep(time.Until(begin))
		m.f.cancels[0]()
		group.Wait()
		t.Logf("at the other daemon: status %d after %v, error %v", first.status, first.took, first.err)
		for _, l := range requests {
			t.Logf("sent after %v: status %d after %v, Retry-After %s, error %v, %s", l.sentAfter, l.status, l.took, l.header.Get("Retry-After"), l.err, strings.ReplaceAll(l.body[:min(len(l.body), 300)], "\n", " "))
			if l.err != nil || l.status != http.StatusServiceUnavailable || l.header.Get("Retry-After") == "" {
				t.Errorf("sent after %v: status %d, %v", l.sentAfter, l.status, l.err)
			}
		}
	})
}

// configureObjective writes a configuration with one route, for streams that may not be resumed.
func (m *batchFleet) configureObjective(objective time.Duration) {
	m.writeRoutes(map[string]any{
		"Name": "review", "Host": modelHost, "PathPrefix": "/review/", "Kind": "streaming", "Service": modelService,
		"TimeoutMs": 12000, "SloMs": objective.Milliseconds(), "GapSloMs": 500, "MaxAttempts": 1, "SessionAffinity": true,
	})
	time.Sleep(applyTime)
}
