package hosting

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"brasschute/internal/core/identifier"
	"brasschute/internal/standin/batcher"
)

// serveBatched runs a request in the batch of the engine and streams its tokens. The execution
// is recorded at the first token: until then a request that ends has not run.
func (e *Engine) serveBatched(w http.ResponseWriter, r *http.Request, body string, restarted <-chan struct{}) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go func() {
		select {
		case <-restarted:
			cancel()
		case <-ctx.Done():
		}
	}()
	flush := http.NewResponseController(w).Flush
	j := parseJob(r.Header)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	j.OutputTokens = max(j.OutputTokens-after*e.c.TokensPerEvent, 1)
	event := after
	err := e.batch.Run(ctx, j, func(token int) error {
		if token == 1 {
			e.recordExecution(r, body)
			w.Header().Set("Response-Stamp", "stamp-"+e.c.ID)
			w.Header().Set("Content-Type", "text/event-stream")
		}
		if token%e.c.TokensPerEvent != 0 && token != j.OutputTokens {
			return nil
		}
		event++
		if _, err := io.WriteString(w, EventText(event)); err != nil {
			return err
		}
		return flush()
	})
	switch {
	case errors.Is(err, batcher.ErrFull):
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case err != nil:
		panic(http.ErrAbortHandler)
	}
}

// load returns the value of the Server-Load header: running requests, waiting ones, slots and, if
// set, the slowdown of the host.
func (e *Engine) load() string {
	text := "1,0,8"
	if e.batch != nil {
		l := e.batch.Load()
		text = fmt.Sprintf("%d,%d,%d", l.Running, l.Waiting, e.c.Batch.Slots)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hostSlowdown == nil {
		return text
	}
	return text + "," + e.hostSlowdown()
}

// parseJob reads a job from the headers of a model request. A header that is missing or malformed
// leaves the default.
func parseJob(h http.Header) *batcher.Job {
	j := &batcher.Job{OutputTokens: 1, Priority: -1}
	promptTokens, outputTokens, _ := strings.Cut(h.Get("Token-Count"), ",")
	if n, err := strconv.Atoi(outputTokens); err == nil {
		j.OutputTokens = max(n, 1)
	}
	if n, err := strconv.Atoi(h.Get("Request-Urgency")); err == nil {
		j.Priority = n
	}
	for _, part := range strings.Split(h.Get("Prompt-Prefix"), ",") {
		id, tokens, _ := strings.Cut(part, ":")
		if n, err := strconv.Atoi(tokens); err == nil {
			j.Prompt = append(j.Prompt, batcher.PromptPart{ID: id, Tokens: identifier.Tokens(n)})
		}
	}
	if n, err := strconv.Atoi(promptTokens); err == nil && len(j.Prompt) == 0 {
		j.Prompt = []batcher.PromptPart{{ID: fmt.Sprint("of ", h.Get("Request-Id")), Tokens: identifier.Tokens(n)}}
	}
	return j
}
