package answerreader

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

const maxBytes = 1 << 20

// slowBody is a body that arrives in pieces of some bytes, with a pause before each. It counts the bytes that were read.
type slowBody struct {
	left, piece int
	pause       time.Duration
	// broken: the connection breaks off before the end.
	broken bool
	taken  int
}

func (b *slowBody) Read(p []byte) (int, error) {
	time.Sleep(b.pause)
	n := min(b.left, b.piece, len(p))
	switch {
	case b.left == 0 && b.broken:
		return 0, io.ErrUnexpectedEOF
	case b.left == 0:
		return 0, io.EOF
	}
	for i := range n {
		p[i] = byte(b.taken + i)
	}
	b.left, b.taken = b.left-n, b.taken+n
	return n, nil
}

// text returns the first n bytes of a slowBody.
func text(n int) []byte {
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(i)
	}
	return out
}

// Guards against answers that together take more memory than their share, against ones that wait for each other for
// ever, and against a reservation that is not given back.
func TestReservationsStayWithinTheirShare(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const totalBytes = 3 * maxBytes
		answers := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) *slowBody {
			return &slowBody{
				left:  rapid.SampledFrom([]int{0, 1, SmallBytes, SmallBytes + 1, maxBytes / 2, maxBytes, maxBytes + 1, 1 << 40}).Draw(rt, "length"),
				piece: rapid.SampledFrom([]int{1 << 13, 1 << 16, 1 << 30}).Draw(rt, "piece"), pause: time.Duration(rapid.IntRange(0, 3).Draw(rt, "pause")) * time.Millisecond,
				broken: rapid.Bool().Draw(rt, "broken"),
			}
		}), 1, 12).Draw(rt, "answers")
		stated := rapid.SliceOfN(rapid.Bool(), len(answers), len(answers)).Draw(rt, "stated")
		leaves := rapid.SliceOfN(rapid.IntRange(0, 4), len(answers), len(answers)).Draw(rt, "leaves")
		synctest.Test(t, func(*testing.T) {
			r := New(Config{MaxBytes: maxBytes, TotalBytes: totalBytes})
			var group sync.WaitGroup
			for i, b := range answers {
				group.Go(func() {
					ctx, cancel := context.WithCancel(context.Background())
					defer cancel()
					if leaves[i] == 0 {
						time.AfterFunc(time.Millisecond, cancel)
					}
					length, want := int64(-1), b.left
					if stated[i] {
						length = int64(b.left)
					}
					got, release, err := r.Read(ctx, b, length)
					if held := r.reserved.ReservedBytes(); held > totalBytes {
						rt.Errorf("%d bytes reserved", held)
					}
					if b.taken > maxBytes+1 {
						rt.Errorf("%d bytes of an answer taken", b.taken)
					}
					if err != nil {
						if want <= maxBytes && !b.broken && !errors.Is(err, ErrNoMemory) {
							rt.Errorf("answer of %d bytes: %v", want, err)
						}
						return
					}
					if want > maxBytes || b.broken || !bytes.Equal(got, text(want)) {
						rt.Errorf("%d bytes of an answer of %d, broken: %v", len(got), want, b.broken)
					}
					time.Sleep(time.Millisecond)
					release()
					release()
				})
			}
			group.Wait()
			if held := r.reserved.ReservedBytes(); held != 0 {
				rt.Errorf("%d bytes reserved at the end", held)
			}
		})
	})
}

// Guards against small answers that wait for large ones.
func TestSmallAnswerNeedsNoReservation(t *testing.T) {
	r := New(Config{MaxBytes: maxBytes, TotalBytes: maxBytes})
	release, err := r.Reserve(t.Context(), maxBytes)
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	for _, length := range []int64{-1, SmallBytes} {
		if _, _, err := r.Read(t.Context(), &slowBody{left: SmallBytes, piece: 1 << 13}, length); err != nil {
			t.Error(err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, _, err := r.Read(ctx, &slowBody{left: SmallBytes + 1, piece: 1 << 13}, SmallBytes+1); !errors.Is(err, ErrNoMemory) {
		t.Errorf("large answer: %v", err)
	}
}
