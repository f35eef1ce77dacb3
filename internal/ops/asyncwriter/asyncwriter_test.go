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

// blocked is an output that nobody reads until it is let go.
type blocked struct {
	mu  sync.Mutex
	let chan struct{}
	got bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.let
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.got.Write(p)
}

// Standard output is a pipe that nobody reads. Whoever logs must go on at once,
// and the reader must learn later how much is missing.
func TestBlockedOutputBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blocked{let: make(chan struct{})}
		q := New(Config{Output: out, Lines: 10})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = q.Serve(ctx) }()
		const lines = 100
		for n := range lines {
			fmt.Fprintf(q, "line %d\n", n)
		}
		synctest.Wait()
		dropped := q.Dropped()
		if dropped < lines-12 {
			t.Errorf("%d lines dropped", dropped)
		}
		close(out.let)
		synctest.Wait()
		fmt.Fprintf(q, "the last line\n")
		synctest.Wait()
		text := out.got.String()
		if told := missing(t, text); told != dropped || !strings.HasSuffix(text, "the last line\n") {
			t.Errorf("%d lines are said to be missing, %d are; written: %q", told, dropped, text)
		}
		if written := int64(strings.Count(text, "line ")); written+dropped != lines {
			t.Errorf("%d lines written and %d dropped of %d", written, dropped, lines)
		}
		cancel()
	})
}

// missing sums the lines that notices say are missing. The writer may take a line
// while others are still being dropped, so there may be several notices.
func missing(t *testing.T, text string) int64 {
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

func TestFlushWritesWhatIsQueued(t *testing.T) {
	var out bytes.Buffer
	q := New(Config{Output: &out})
	fmt.Fprint(q, "a\n")
	fmt.Fprint(q, "b\n")
	q.Flush()
	if out.String() != "a\nb\n" {
		t.Errorf("written: %q", out.String())
	}
}
