// Package queuer keeps a blocked log from blocking the process.
//
// # What it guards against
//
// Standard output may be a pipe that nobody reads for a while. A write to it
// then blocks whoever logs, and with it the request being logged. A [Writer]
// takes each line into a bounded queue and returns; one goroutine writes. When
// the queue is full, lines are dropped and counted, and the next line that fits
// is preceded by one that says how many are missing.
//
// # Usage
//
//	q := queuer.New(queuer.Config{Output: os.Stdout})
//	go q.Serve(ctx)
//	logger.New(logger.Config{Output: q})
package asyncwriter

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"
)

// defaultLines is the queue's size: several seconds of the lines of a busy
// daemon (package chronicler bounds them to 60 a second), some 300 bytes each.
const defaultLines = 1024

// flushTime is how long the end waits for a reader.
const flushTime = 200 * time.Millisecond

// Config names the output.
type Config struct {
	Output io.Writer
	// Lines is the queue's size; 1,024 if zero.
	Lines int
}

// Writer is a writer that never blocks. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
}

var (
	_ io.Writer      = (*Writer)(nil)
	_ suture.Service = (*Writer)(nil)
)

// New returns a queuer; nothing is written until it is served.
func New(c Config) *Writer {
	if c.Lines == 0 {
		c.Lines = defaultLines
	}
	return &Writer{out: c.Output, lines: make(chan []byte, c.Lines)}
}

// Write queues a copy of one line, or drops it.
func (q *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case q.lines <- line:
	default:
		q.dropped.Add(1)
		q.total.Add(1)
	}
	return len(p), nil
}

// Dropped counts the lines that were lost since the start.
func (q *Writer) Dropped() int64 { return q.total.Load() }

// Serve writes lines until ctx ends.
func (q *Writer) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case line := <-q.lines:
			q.write(line)
		}
	}
}

func (q *Writer) write(line []byte) {
	if n := q.dropped.Swap(0); n > 0 {
		fmt.Fprintf(q.out, `{"level":"warn","msg":"log lines dropped","count":%d}`+"\n", n)
	}
	// A log that can't be written can't be reported in the log.
	_, _ = q.out.Write(line)
}

// Flush writes what is queued, unless the output blocks.
func (q *Writer) Flush() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case line := <-q.lines:
				q.write(line)
			default:
				return
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(flushTime):
	}
}
