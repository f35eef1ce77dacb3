package connectionlimiter

import (
	"container/list"
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// connection is a client's connection.
type connection struct {
	net.Conn
	l     *Limiter
	since time.Time

	// closed, in and place are guarded by the limiter's lock. place is the connection's element of the list in.
	closed bool
	in     *list.List
	place  *list.Element

	// serving is set from the end of a head to the next idle time, headBytes counts what has been read of a head.
	serving   atomic.Bool
	headBytes atomic.Int64
	// long is set while the connection counts as one with a long head.
	long atomic.Bool
	// deadline is that of reads, as nanoseconds from since: the time of day may jump. 0 for none.
	deadline atomic.Int64
}

// beginHead begins the head of the next request.
func (c *connection) beginHead() {
	c.endHead()
	c.headBytes.Store(0)
	c.serving.Store(false)
}

// endHead ends the head of a request.
func (c *connection) endHead() {
	c.serving.Store(true)
	if c.long.CompareAndSwap(true, false) {
		c.l.longHeads.Release(1)
	}
}

// Read reads what the client sent. The rest of a long head waits for room.
func (c *connection) Read(p []byte) (int, error) {
	if c.serving.Load() {
		return c.Conn.Read(p)
	}
	if c.headBytes.Load() >= shortHeadBytes && !c.long.Load() {
		if err := c.awaitRoom(); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	c.headBytes.Add(int64(n))
	return n, err
}

// awaitRoom waits until the connection may have a long head.
func (c *connection) awaitRoom() error {
	ctx := context.Background()
	if after := c.deadline.Load(); after != 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, c.since.Add(time.Duration(after)))
		defer cancel()
	}
	if err := c.l.longHeads.Acquire(ctx, 1); err != nil {
		return fmt.Errorf("too many long heads: %w", os.ErrDeadlineExceeded)
	}
	c.long.Store(true)
	return nil
}

// SetReadDeadline sets the time at which reads end.
func (c *connection) SetReadDeadline(at time.Time) error {
	c.setDeadline(at)
	return c.Conn.SetReadDeadline(at)
}

// SetDeadline sets the time at which reads and writes end.
func (c *connection) SetDeadline(at time.Time) error {
	c.setDeadline(at)
	return c.Conn.SetDeadline(at)
}

func (c *connection) setDeadline(at time.Time) {
	if at.IsZero() {
		c.deadline.Store(0)
		return
	}
	c.deadline.Store(int64(at.Sub(c.since)))
}

// CloseWrite ends what is sent to the client.
func (c *connection) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *connection) Close() error {
	c.l.remove(c)
	c.endHead()
	return c.Conn.Close()
}
