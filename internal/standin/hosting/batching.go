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

// batched lets a request wait, be read and run among the others of the engine, and streams
// what it makes. It begins to run with its first token.
func (e *Engine) batched(w http.ResponseWriter, r *http.Request, body string, ended <-chan struct{}) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go func() {
		select {
		case <-ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	flush := http.NewResponseController(w).Flush
	j := job(r.Header)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	j.OutputTokens = max(j.OutputTokens-after*e.c.TokensPerEvent, 1)
	events := after
	err := e.batch.Run(ctx, j, func(token int) error {
		if token == 1 {
			e.begin(r, body)
			w.Header().Set("Response-Stamp", "stamp-"+e.c.ID)
			w.Header().Set("Content-Type", "text/event-stream")
		}
		if token%e.c.TokensPerEvent != 0 && token != j.OutputTokens {
			return nil
		}
		events++
		if _, err := io.WriteString(w, EventText(events)); err != nil {
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

// load is what the engine says of its load: running, waiting, slots.
func (e *Engine) load() string {
	if e.batch == nil {
		return "1,0,8"
	}
	l := e.batch.Load()
	return fmt.Sprintf("%d,%d,%d", l.Running, l.Waiting, e.c.Batch.Slots)
}

// job reads what a model request asks for. What is not said is left out.
func job(h http.Header) *batcher.Job {
	j := &batcher.Job{OutputTokens: 1, Priority: -1}
	in, out, _ := strings.Cut(h.Get("Token-Count"), ",")
	if n, err := strconv.Atoi(out); err == nil {
		j.OutputTokens = max(n, 1)
	}
	if n, err := strconv.Atoi(h.Get("Request-Urgency")); err == nil {
		j.Priority = n
	}
	for _, one := range strings.Split(h.Get("Prompt-Prefix"), ",") {
		id, tokens, _ := strings.Cut(one, ":")
		if n, err := strconv.Atoi(tokens); err == nil {
			j.Prompt = append(j.Prompt, batcher.PromptPart{ID: id, Tokens: identifier.Tokens(n)})
		}
	}
	if n, err := strconv.Atoi(in); err == nil && len(j.Prompt) == 0 {
		j.Prompt = []batcher.PromptPart{{ID: fmt.Sprint("of ", h.Get("Request-Id")), Tokens: identifier.Tokens(n)}}
	}
	return j
}
