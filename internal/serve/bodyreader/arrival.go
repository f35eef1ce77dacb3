package bodyreader

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"brasschute/internal/serve/bufferlimiter"
)

const (
	// firstBytes is the first step of a body without a stated length.
	firstBytes = 4 << 10
	// silenceTimeout is the time without a byte after which a body has stalled. A lost packet is sent again before.
	silenceTimeout = time.Second
	// paceSlack is what a body may be behind its pace: a connection starts slowly.
	paceSlack = 64 << 10
)

// Reads that bring little cost as much as others. Bodies in tiny chunks could take the whole processor by them, so that
// nothing else goes on in time.
const (
	// tinyReadBytes is the length below which a read counts as tiny. The first freeReads of each body don't.
	tinyReadBytes = 2 << 10
	freeReads     = 16
	// readsPerSecond bounds the tiny reads of all bodies together. readBurst lets one body of 4 MB in chunks of one
	// byte come in time.
	readsPerSecond = 2000
	readBurst      = 4000
)

// arrival is a body that arrives.
type arrival struct {
	r        *Reader
	body     io.Reader
	begun    time.Time
	stated   int64
	maxBytes int64
	control  *http.ResponseController
	// buffer is what has arrived, release gives its room back.
	buffer  []byte
	release func()
	// share is the one that has the room, nil before there is some.
	share atomic.Pointer[bufferlimiter.Limiter]
	// tinyReads counts the reads that brought little.
	tinyReads int
	// received and held are bytes, progressAfter is the time from begun to the last bytes in nanoseconds: the time of day
	// may jump.
	received, held atomic.Int64
	progressAfter  atomic.Int64
	// stalled is set under the reader's lock once the body has been ended.
	stalled bool
}

// progressAt returns when the last bytes came.
func (a *arrival) progressAt() time.Time { return a.begun.Add(time.Duration(a.progressAfter.Load())) }

// hasStalled reports whether the body has stalled. Its pace is judged at its last bytes, as a body may come in bursts.
func (a *arrival) hasStalled(now time.Time, timeout time.Duration) bool {
	if now.Sub(a.progressAt()) >= silenceTimeout {
		return true
	}
	if a.stated < 0 {
		return false
	}
	due := float64(a.stated) * float64(a.progressAfter.Load()) / float64(timeout)
	return float64(a.received.Load()+paceSlack) < due
}

// read reads the body to its end.
func (a *arrival) read() ([]byte, error) {
	first := a.stated
	if first < 0 {
		first = min(firstBytes, a.maxBytes)
	}
	if err := a.grow(first); err != nil {
		return nil, err
	}
	for {
		if len(a.buffer) == cap(a.buffer) {
			ended, err := a.atEnd()
			if ended || err != nil {
				return a.buffer, err
			}
		}
		n, err := a.body.Read(a.buffer[len(a.buffer):cap(a.buffer)])
		a.add(a.buffer[:len(a.buffer)+n], n)
		switch {
		case errors.Is(err, io.EOF):
			return a.buffer, nil
		case err != nil:
			return nil, a.incomplete(err)
		}
		if err := a.pace(n); err != nil {
			return nil, a.incomplete(err)
		}
	}
}

// pace waits until a read that brought n bytes may be followed by another one.
func (a *arrival) pace(n int) error {
	if n >= tinyReadBytes {
		return nil
	}
	if a.tinyReads++; a.tinyReads <= freeReads || a.r.tinyReads.Allow() {
		return nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), a.begun.Add(a.r.c.Timeout))
	defer cancel()
	if err := a.r.tinyReads.Wait(ctx); err != nil {
		return fmt.Errorf("%w: in pieces that are too small: %w", os.ErrDeadlineExceeded, err)
	}
	return nil
}

// add adds bytes that arrived.
func (a *arrival) add(buffer []byte, n int) {
	a.buffer = buffer
	if n > 0 {
		a.received.Add(int64(n))
		a.progressAfter.Store(int64(time.Since(a.begun)))
	}
}

// atEnd reports whether the body ends where the buffer is full. If it goes on, it makes the buffer larger.
func (a *arrival) atEnd() (ended bool, err error) {
	var next [1]byte
	for {
		n, err := a.body.Read(next[:])
		switch {
		case n > 0:
			if err := a.grow(min(2*int64(cap(a.buffer)), a.maxBytes)); err != nil {
				return false, err
			}
			a.add(append(a.buffer, next[0]), n)
			return false, nil
		case errors.Is(err, io.EOF):
			return true, nil
		case err != nil:
			return false, a.incomplete(err)
		}
	}
}

// grow makes the buffer as large as a number of bytes.
func (a *arrival) grow(bytes int64) error {
	if a.buffer != nil && bytes <= int64(len(a.buffer)) {
		return fmt.Errorf("%w: over %d bytes came", ErrTooLong, a.maxBytes)
	}
	share, release, err := a.r.reserve(bytes)
	if err != nil {
		return err
	}
	a.share.Store(share)
	a.held.Store(bytes * a.r.c.Factor)
	a.buffer = append(make([]byte, 0, bytes), a.buffer...)
	if a.release != nil {
		a.release()
	}
	a.release = release
	return nil
}

// incomplete returns the error of a body that could not be read on.
func (a *arrival) incomplete(err error) error {
	return fmt.Errorf("%w: %d bytes in %d ms: %w", ErrIncomplete, a.received.Load(), time.Since(a.begun).Milliseconds(), err)
}
