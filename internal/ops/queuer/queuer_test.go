package queuer

import (
	"bytes"
	"context"
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
		if !strings.Contains(text, fmt.Sprintf(`"count":%d`, dropped)) || !strings.HasSuffix(text, "the last line\n") {
			t.Errorf("written: %q", text)
		}
		cancel()
	})
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
