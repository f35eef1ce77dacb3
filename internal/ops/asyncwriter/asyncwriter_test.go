package asyncwriter

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
)

// blockedOutput is an output that blocks until released is closed.
type blockedOutput struct {
	mu       sync.Mutex
	released chan struct{}
	written  bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.released
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

// Standard output is a pipe that isn't read. Logging must not block, and once the pipe is read
// again, a notice must state how many lines were dropped.
func TestBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedOutput{released: make(chan struct{})}
		w := New(Config{Output: out, Lines: 10})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = w.Serve(ctx) }()
		const lines = 100
		for n := range lines {
			fmt.Fprintf(w, "line %d\n", n)
		}
		synctest.Wait()
		dropped := w.Dropped()
		if dropped < lines-12 {
			t.Errorf("%d lines dropped", dropped)
		}
		close(out.released)
		synctest.Wait()
		fmt.Fprintf(w, "the last line\n")
		synctest.Wait()
		text := out.written.String()
		if reported := reportedMissing(t, text); reported != dropped || !strings.HasSuffix(text, "the last line\n") {
			t.Errorf("%d lines reported as dropped, want %d; written: %q", reported, dropped, text)
		}
		if written := int64(strings.Count(text, "line ")); written+dropped != lines {
			t.Errorf("%d lines written and %d dropped of %d", written, dropped, lines)
		}
		cancel()
	})
}

// reportedMissing returns the sum of the dropped lines that notices report. The writer may take a
// line while others are still being dropped, so there may be several notices.
func reportedMissing(t *testing.T, text string) int64 {
	t.Helper()
	sum := int64(0)
	for line := range strings.Lines(text) {
		var notice struct {
			Msg   string
			Count int64
		}
		if !strings.HasPrefix(line, "{") {
			continue
		}
		if err := json.Unmarshal([]byte(line), &notice); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		sum += notice.Count
	}
	return sum
}

// Lines that are queued when the process ends must still be written.
func TestFlush(t *testing.T) {
	var out bytes.Buffer
	w := New(Config{Output: &out})
	fmt.Fprint(w, "a\n")
	fmt.Fprint(w, "b\n")
	w.Flush()
	if out.String() != "a\nb\n" {
		t.Errorf("written: %q", out.String())
	}
}
