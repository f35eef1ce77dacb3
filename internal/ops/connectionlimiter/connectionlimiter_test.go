package connectionlimiter

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// fakeConn is a connection on which bytes are always waiting. It is not of a network, so that it can't block.
type fakeConn struct {
	net.Conn
	closed          bool
	receives, sends int
}

func (c *fakeConn) Read(p []byte) (int, error)       { return len(p), nil }
func (c *fakeConn) Close() error                     { c.closed = true; return nil }
func (c *fakeConn) SetReadBuffer(bytes int) error    { c.receives = bytes; return nil }
func (c *fakeConn) SetWriteBuffer(bytes int) error   { c.sends = bytes; return nil }
func (c *fakeConn) SetWriteDeadline(time.Time) error { return nil }
func (c *fakeConn) SetReadDeadline(time.Time) error  { return nil }

// queue is a listener whose connections are put into it.
type queue struct {
	net.Listener
	conns []*fakeConn
}

func (q *queue) Accept() (net.Conn, error) {
	if len(q.conns) == 0 {
		return nil, io.EOF
	}
	c := q.conns[0]
	q.conns = q.conns[1:]
	return c, nil
}

// accept offers a connection to a limiter. conn is nil if it was refused.
func accept(t interface{ Fatal(...any) }, l *Limiter) (conn *connection, inner *fakeConn) {
	inner = new(fakeConn)
	c, err := l.Listen(&queue{conns: []*fakeConn{inner}}).Accept()
	switch {
	case errors.Is(err, io.EOF):
		return nil, inner
	case err != nil:
		t.Fatal(err)
	}
	conn, ok := c.(*connection)
	if !ok {
		t.Fatal("another connection")
	}
	return conn, inner
}

// state is what a test knows of a connection.
type state struct {
	conn    *connection
	inner   *fakeConn
	serving bool
}

// Guards against more connections than there are descriptors, against a request that is cut off for a new connection,
// and against a new connection that is kept out while others say nothing.
func TestConnectionsStayBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const connections = 8
		stalled := false
		l := New(Config{Connections: connections, LongHeads: 1, EndStalled: func() bool { return stalled }})
		var all []*state
		live := func() (out []*state) {
			for _, s := range all {
				if !s.inner.closed {
					out = append(out, s)
				}
			}
			return out
		}
		rt.Repeat(map[string]func(*rapid.T){
			"accept": func(rt *rapid.T) {
				before, serving := live(), 0
				for _, s := range before {
					if s.serving {
						serving++
					}
				}
				conn, inner := accept(rt, l)
				if conn == nil {
					if serving < len(before) || len(before) < connections || stalled && len(before) < connections+connections/endingDivisor {
						rt.Fatalf("refused beside %d connections, %d of them served", len(before), serving)
					}
					return
				}
				all = append(all, &state{conn: conn, inner: inner})
			},
			"serve": func(rt *rapid.T) {
				if s := live(); len(s) > 0 {
					c := rapid.SampledFrom(s).Draw(rt, "connection")
					c.serving = true
					l.Observe(c.conn, http.StateActive)
				}
			},
			"idle": func(rt *rapid.T) {
				if s := live(); len(s) > 0 {
					c := rapid.SampledFrom(s).Draw(rt, "connection")
					c.serving = false
					l.Observe(c.conn, http.StateIdle)
				}
			},
			"close": func(rt *rapid.T) {
				if s := live(); len(s) > 0 {
					c := rapid.SampledFrom(s).Draw(rt, "connection")
					c.serving = false
					_ = c.conn.Close()
					_ = c.conn.Close()
				}
			},
			"stall": func(*rapid.T) { stalled = !stalled },
			"": func(rt *rapid.T) {
				open := len(live())
				if open != l.open || open > connections+connections/endingDivisor {
					rt.Fatalf("%d connections are open, %d are counted", open, l.open)
				}
				if listed := l.fresh.Len() + l.idle.Len(); listed > open {
					rt.Fatalf("%d connections may be closed, %d are open", listed, open)
				}
				for _, s := range all {
					if s.serving && s.inner.closed {
						rt.Fatal("a connection was closed while it was served")
					}
				}
			},
		})
	})
}

// Guards against idle connections that are closed while others have not sent a head for long.
func TestSlowHeadsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Config{Connections: 2, LongHeads: 1})
		slow, slowInner := accept(t, l)
		idle, idleInner := accept(t, l)
		l.Observe(idle, http.StateActive)
		l.Observe(idle, http.StateIdle)
		time.Sleep(headGrace)
		if next, _ := accept(t, l); next == nil || !slowInner.closed || idleInner.closed {
			t.Errorf("slow closed %v, idle closed %v", slowInner.closed, idleInner.closed)
		}
		if next, _ := accept(t, l); next == nil || !idleInner.closed {
			t.Error("a new connection was closed in place of one that has been idle")
		}
		_ = slow.Close()
	})
}

// Guards against long heads that are all parsed at the same time, and against a short one that waits for them.
func TestLongHeadsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Config{Connections: 3, LongHeads: 1})
		long := make([]byte, shortHeadBytes)
		read := func(c *connection, n int) (took time.Duration, err error) {
			begun := time.Now()
			_, err = c.Read(long[:n])
			return time.Since(begun), err
		}
		first, _ := accept(t, l)
		second, _ := accept(t, l)
		short, _ := accept(t, l)
		for _, c := range []*connection{first, first, second} {
			if took, err := read(c, len(long)); took > 0 || err != nil {
				t.Fatalf("%v after %v", err, took)
			}
		}
		if took, err := read(short, len(long)); took > 0 || err != nil {
			t.Errorf("a short head: %v after %v", err, took)
		}
		_ = second.SetReadDeadline(time.Now().Add(time.Second))
		if took, err := read(second, 1); took != time.Second || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("a second long head: %v after %v", err, took)
		}
		time.AfterFunc(time.Second, func() { l.Observe(first, http.StateActive) })
		_ = second.SetReadDeadline(time.Now().Add(time.Minute))
		if took, err := read(second, 1); took != time.Second || err != nil {
			t.Errorf("a second long head after the first one: %v after %v", err, took)
		}
		l.Observe(second, http.StateActive)
		if took, err := read(first, len(long)); took > 0 || err != nil {
			t.Errorf("a body: %v after %v", err, took)
		}
		l.Observe(first, http.StateIdle)
		for range 2 {
			if took, err := read(first, len(long)); took > 0 || err != nil {
				t.Errorf("the next long head: %v after %v", err, took)
			}
		}
	})
}

// Guards against buffers in the kernel that together take the memory of the host.
func TestBuffersShrink(t *testing.T) {
	const bufferBytes, connections = 1 << 20, 1000
	l := New(Config{Connections: connections, LongHeads: 1, BufferBytes: bufferBytes})
	sum := 0
	for n := range connections {
		_, inner := accept(t, l)
		if n == 0 && inner.receives != maxBufferBytes || inner.receives < minBufferBytes || inner.sends != inner.receives {
			t.Errorf("connection %d receives %d bytes", n, inner.receives)
		}
		sum += inner.receives
	}
	if most := bufferBytes*5 + connections*minBufferBytes; sum > most {
		t.Errorf("%d bytes, at most %d are planned for", sum, most)
	}
}
