// Package connectionlimiter bounds the connections of clients and what they take before a request is served.
//
// A client may open connections and say nothing, send a head that does not end, or go on sending although nobody
// reads. Three bounds keep a process within its descriptors and its memory:
//
//   - the number of open connections. One that is over it takes the place of another one: of a connection that has
//     been open for [headGrace] without a whole head, the one that has been idle between two requests for the longest
//     time, any other without a whole head, or one whose request's body has stalled, in this order. If there is
//     none, the new one is closed unread, after which a client may turn to another daemon.
//   - the long heads that are read at the same time, as a parsed head takes many times its length. Heads of up to
//     [shortHeadBytes] are always read on; others wait until there is room, or until their time is up.
//   - the bytes that the kernel holds for a connection before they are read, and before the client has taken them.
//     The more connections are open, the fewer a new one gets.
//
// # Usage
//
//	l := connectionlimiter.New(connectionlimiter.Config{Connections: 1000, LongHeads: 16, BufferBytes: 8 << 20})
//	s := server.New(server.Config{Listener: listener, Limiter: l, ...})
package connectionlimiter

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"
)

// shortHeadBytes is the length up to which heads are read without a bound on their number.
const shortHeadBytes = 4 << 10

const (
	// headGrace is how long a client may take from connecting to the end of its head before others go first.
	headGrace = 500 * time.Millisecond
	// minBufferBytes and maxBufferBytes bound what the kernel holds of one connection in each direction: the largest
	// segment of a loopback connection, which is dropped and sent again after a while if it does not fit, and enough
	// for a megabyte a second at the round-trip time of another continent.
	minBufferBytes = 64 << 10
	maxBufferBytes = 128 << 10
	// endingDivisor is the part of the connections by which they may be more while stalled requests are ended.
	endingDivisor = 8
)

// Config sets the bounds.
type Config struct {
	// Connections is the number of connections that may be open; while stalled requests end, an eighth more.
	Connections int
	// LongHeads is the number of heads over shortHeadBytes that may be read at the same time.
	LongHeads int
	// BufferBytes is what the kernel may hold unread for all connections together, and unsent, by and large.
	BufferBytes int64
	// EndStalled ends the request whose body has stalled for the longest time, and reports whether there was one.
	// Nil for none.
	EndStalled func() bool
	// Metrics may be nil for none.
	Metrics tally.Scope
}

// Limiter bounds connections. It is safe for concurrent use.
type Limiter struct {
	c         Config
	longHeads *semaphore.Weighted
	gauge     tally.Gauge
	replaced  tally.Counter
	refused   tally.Counter

	mu   sync.Mutex
	open int
	// fresh holds the connections without a whole head since they were accepted, idle those between two requests, the
	// longest in this state first.
	fresh, idle *list.List
}

// New returns a limiter.
func New(c Config) *Limiter {
	if c.Metrics == nil {
		c.Metrics = tally.NoopScope
	}
	if c.EndStalled == nil {
		c.EndStalled = func() bool { return false }
	}
	return &Limiter{
		c: c, longHeads: semaphore.NewWeighted(int64(c.LongHeads)), fresh: list.New(), idle: list.New(),
		gauge:    c.Metrics.Gauge("client_connections"),
		replaced: c.Metrics.Counter("client_connections_closed_for_others"), refused: c.Metrics.Counter("client_connections_refused"),
	}
}

// Listen returns a listener whose connections are bounded.
func (l *Limiter) Listen(inner net.Listener) net.Listener { return &listener{inner, l} }

// Observe is the server's hook for the states of its connections.
func (l *Limiter) Observe(c net.Conn, s http.ConnState) {
	conn, ok := c.(*connection)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		l.move(conn, nil)
		conn.endHead()
	case http.StateIdle:
		l.move(conn, l.idle)
		conn.beginHead()
		// The bound on the time of an answer does not hold for the next one.
		_ = conn.SetWriteDeadline(time.Time{})
	}
}

// buffered is a connection whose buffers in the kernel can be set.
type buffered interface {
	SetReadBuffer(bytes int) error
	SetWriteBuffer(bytes int) error
}

// listener accepts connections that are bounded.
type listener struct {
	net.Listener
	l *Limiter
}

// Accept returns the next connection that may stay open.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.l.admit(c); conn != nil {
			return conn, nil
		}
		_ = c.Close()
	}
}

// admit adds a new connection, if need be in the place of another one. It returns nil if there is no place.
func (l *Limiter) admit(c net.Conn) net.Conn {
	l.mu.Lock()
	var replaced *connection
	if l.open >= l.c.Connections {
		replaced = l.replaceable()
		ending := replaced == nil && l.open < l.c.Connections+l.c.Connections/endingDivisor && l.c.EndStalled()
		if replaced == nil && !ending {
			l.mu.Unlock()
			l.refused.Inc(1)
			return nil
		}
	}
	conn := &connection{Conn: c, l: l, since: time.Now()}
	conn.in, conn.place = l.fresh, l.fresh.PushBack(conn)
	l.open++
	open := l.open
	l.mu.Unlock()
	l.gauge.Update(float64(open))
	if replaced != nil {
		l.replaced.Inc(1)
		_ = replaced.Close()
	}
	if c, ok := c.(buffered); ok {
		bytes := int(min(max(l.c.BufferBytes/int64(open), minBufferBytes), maxBufferBytes))
		_ = c.SetReadBuffer(bytes)
		_ = c.SetWriteBuffer(bytes)
	}
	return conn
}

// replaceable returns the connection that is to be closed for a new one; nil for none. The lock is held.
func (l *Limiter) replaceable() *connection {
	fresh, idle := first(l.fresh), first(l.idle)
	if fresh != nil && (idle == nil || time.Since(fresh.since) >= headGrace) {
		return fresh
	}
	return idle
}

// first returns the connection that has been in a list for the longest time; nil if it is empty.
func first(in *list.List) *connection {
	if in.Len() == 0 {
		return nil
	}
	c, _ := in.Front().Value.(*connection)
	return c
}

// move moves a connection to the end of a list, or out of any for nil.
func (l *Limiter) move(c *connection, to *list.List) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closed {
		return
	}
	l.leave(c)
	if to != nil {
		c.in, c.place = to, to.PushBack(c)
	}
}

// leave takes a connection out of its list. The lock is held.
func (l *Limiter) leave(c *connection) {
	if c.in != nil {
		c.in.Remove(c.place)
		c.in, c.place = nil, nil
	}
}

// remove removes a connection that is closed.
func (l *Limiter) remove(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	l.leave(c)
	l.open--
	l.gauge.Update(float64(l.open))
}
