// Package asyncwriter decouples a process from its log output.
//
// Standard output may be a pipe that isn't read for a while. A write to it would block the
// goroutine that logs, and with it the request being logged. A [Writer] puts each line into a
// bounded queue and returns; a single goroutine writes the lines to the output. If the queue is
// full, lines are dropped and counted, and a line with the number of dropped lines precedes the
// next line written.
//
// # Usage
//
//	w := asyncwriter.New(asyncwriter.Config{Output: os.Stdout})
//	go w.Serve(ctx)
//	logger.New(logger.Config{Output: w})
package asyncwriter

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"
)

// defaultQueueLines is enough for several seconds of a busy daemon's lines of about 300 bytes
// each. Package accesslogger bounds its lines to fewer than 60 per second.
const defaultQueueLines = 1024

// flushTimeout is how long Flush waits for the output.
const flushTimeout = 200 * time.Millisecond

// Config holds the output and the size of the queue.
type Config struct {
	Output io.Writer
	// Lines is the maximum number of queued lines. The default is 1024.
	Lines int
}

// Writer queues lines for an output without ever blocking the caller. It is safe for concurrent
// use.
type Writer struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
}

var (
	_ io.Writer      = (*Writer)(nil)
	_ suture.Service = (*Writer)(nil)
)

// New returns a writer. Nothing is written to the output until Serve or Flush runs.
func New(c Config) *Writer {
	if c.Lines == 0 {
		c.Lines = defaultQueueLines
	}
	return &Writer{output: c.Output, lines: make(chan []byte, c.Lines)}
}

// Write queues a copy of one line, or drops it if the queue is full. It never fails.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
		w.total.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() int64 { return w.total.Load() }

// Serve writes queued lines to the output until ctx ends.
func (w *Writer) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case line := <-w.lines:
			w.write(line)
		}
	}
}

// write writes a line, after a notice of the lines dropped before it.
func (w *Writer) write(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w.output, `{"level":"warn","msg":"log lines dropped","count":%d}`+"\n", n)
	}
	// A failed write of the log can't be reported in the log.
	_, _ = w.output.Write(line)
}

// Flush writes all queued lines, but gives up after 200 ms if the output blocks.
func (w *Writer) Flush() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case line := <-w.lines:
				w.write(line)
			default:
				return
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
}
