// Package answerreader reads whole answers of endpoints and bounds the memory that they take.
//
// An endpoint may send an answer of any length, or bytes without an end. An answer is therefore read up to
// [Config.MaxBytes] only. The answers that a daemon holds at the same time are bounded together: one of more
// than [SmallBytes] is read on only once its length, or MaxBytes if none is stated, has been reserved in a
// share of the host's memory (package bufferlimiter). Until then it waits in its connection, and its endpoint with it.
//
// A reader of an answer reserves once and waits for nothing while it holds a reservation. So each reservation
// is given back in the end, and no two answers wait for each other.
//
// # Usage
//
//	r := answerreader.New(answerreader.Config{MaxBytes: 8 << 20, TotalBytes: memory / 8})
//	body, release, err := r.Read(ctx, response.Body, response.Length)
//	if err != nil { ... }
//	defer release() // once the body has been passed on
package answerreader

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"

	"brasschute/internal/serve/bufferlimiter"

	"github.com/uber-go/tally/v4"
)

// SmallBytes is the length up to which an answer, or a part of one, is held without a reservation.
const SmallBytes = 64 << 10

// Errors of an answer that was not read to its end, besides those of its connection.
var (
	// ErrTooLong means that the answer is longer than Config.MaxBytes.
	ErrTooLong = errors.New("answer too long")
	// ErrNoMemory means that the context ended before there was room for the answer.
	ErrNoMemory = errors.New("no memory for the answer")
)

// Config sets the bounds.
type Config struct {
	// MaxBytes bounds one answer. TotalBytes bounds the reservations together; it is raised to what one answer
	// may need.
	MaxBytes   int64
	TotalBytes int64
	// Metrics receives the bytes that are reserved and the number of answers that had to wait; nil for none.
	Metrics tally.Scope
}

// Reader reads answers. It is safe for concurrent use.
type Reader struct {
	c        Config
	reserved *bufferlimiter.Limiter
}

// New returns a reader.
func New(c Config) *Reader {
	return &Reader{c: c, reserved: bufferlimiter.New(bufferlimiter.Config{
		TotalBytes: max(c.TotalBytes, c.MaxBytes), Gauge: "answer_bytes_reserved", Counter: "answers_waited_for_memory", Metrics: c.Metrics,
	})}
}

// Read reads a body to its end. length is its stated length in bytes, or negative. release must be called once the
// bytes that were read are no longer held. The error is that of the body, or wraps one of this package.
func (r *Reader) Read(ctx context.Context, body io.Reader, length int64) (read []byte, release func(), err error) {
	if length > r.c.MaxBytes {
		return nil, nil, fmt.Errorf("%w: %d bytes are stated", ErrTooLong, length)
	}
	if length <= SmallBytes {
		var whole bool
		if read, whole, err = readUpTo(body, nil, SmallBytes); whole || err != nil {
			return read, func() {}, err
		}
	}
	bound := r.c.MaxBytes
	if length > SmallBytes {
		bound = length
	}
	if release, err = r.Reserve(ctx, bound); err != nil {
		return nil, nil, err
	}
	// A buffer that grows takes up to twice its length.
	room := append(make([]byte, 0, bound+1), read...)
	read, whole, err := readUpTo(body, room, int(bound))
	if whole {
		return read, release, nil
	}
	release()
	if err == nil {
		err = fmt.Errorf("%w: over %d bytes", ErrTooLong, bound)
	}
	return nil, nil, err
}

// readUpTo appends a body to a buffer, up to a length of bound. whole reports whether the body ended there or before.
func readUpTo(body io.Reader, buffer []byte, bound int) (read []byte, whole bool, err error) {
	const firstBytes = 4 << 10
	for len(buffer) <= bound {
		if len(buffer) == cap(buffer) {
			buffer = slices.Grow(buffer, firstBytes)
		}
		// One byte beyond the bound shows that the body goes on.
		n, err := body.Read(buffer[len(buffer):min(cap(buffer), bound+1)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buffer, len(buffer) <= bound, nil
		case err != nil:
			return nil, false, err
		}
	}
	return buffer, false, nil
}

// Reserve reserves bytes for a part of an answer, and waits for them until ctx ends. release must be called once the
// bytes are no longer held. The caller may hold no other reservation.
func (r *Reader) Reserve(ctx context.Context, bytes int64) (release func(), err error) {
	release, err = r.reserved.Reserve(ctx, bytes)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoMemory, err)
	}
	return release, nil
}
