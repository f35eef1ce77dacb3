// Package shaper is a network in memory whose hosts have links of limited bandwidth.
//
// # What it is for
//
// Faults that come from full links do not show on a loopback interface, and a proxy
// that slows real connections down takes real time. Connections of a [Shaper] are
// pipes; each segment takes its time on the sender's and on the receiver's link, one
// after the other, by the runtime's clock. In a test with a paused clock a fleet of
// sixty hosts behind narrow links costs no waiting, and its times are the same on
// every machine.
//
// # Fairness
//
// A writer takes a link for one segment at a time, so connections that share a link
// share it evenly, as with TCP. There is no loss and no buffer: who does not read
// holds up the writer.
//
// # Usage
//
//	n := shaper.New(shaper.Config{Delay: time.Millisecond})
//	h := n.Host(1.25e6) // bytes a second, each way
//	l, err := h.Listen(address)
//	c, err := other.DialContext(ctx, "tcp", address.String())
package shaper

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const (
	// segment is what a connection sends before others get their turn: some ten
	// packets, the first window of a connection.
	segment = 16 << 10
	// backlog is the queue of connections that are not accepted yet.
	backlog = 128
)

// Config describes the network.
type Config struct {
	// Delay is the time that a segment travels, beside the time on the links.
	Delay time.Duration
}

// Shaper is a network. It is safe for concurrent use.
type Shaper struct {
	c Config

	mu        sync.Mutex
	listeners map[string]*listener
}

// New returns a network without hosts.
func New(c Config) *Shaper { return &Shaper{c: c, listeners: make(map[string]*listener)} }

// Host is one host with its link.
type Host struct {
	s        *Shaper
	up, down lane
}

// Host returns a new host whose link carries so many bytes a second in each
// direction.
func (s *Shaper) Host(bytesPerSecond float64) *Host {
	return &Host{s: s, up: lane{rate: bytesPerSecond}, down: lane{rate: bytesPerSecond}}
}

// lane is one direction of a link.
type lane struct {
	rate float64

	mu   sync.Mutex
	free time.Time
}

// take reserves the lane for n bytes and returns when they are through.
func (l *lane) take(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	return l.free
}

// Listen takes connections to an address.
func (h *Host) Listen(a netip.AddrPort) (net.Listener, error) {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	if h.s.listeners[a.String()] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	l := &listener{host: h, address: a, accepted: make(chan net.Conn, backlog), closed: make(chan struct{})}
	h.s.listeners[a.String()] = l
	return l, nil
}

// DialContext opens a connection to a listener's address.
func (h *Host) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	h.s.mu.Lock()
	l := h.s.listeners[address]
	h.s.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: fmt.Errorf("%s: %w", address, syscall.ECONNREFUSED)}
	}
	near, far := net.Pipe()
	select {
	case l.accepted <- &conn{Conn: far, delay: h.s.c.Delay, up: &l.host.up, down: &h.down}:
		return &conn{Conn: near, delay: h.s.c.Delay, up: &h.up, down: &l.host.down}, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
}

type listener struct {
	host     *Host
	address  netip.AddrPort
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close refuses new connections.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.host.s.mu.Lock()
		delete(l.host.s.listeners, l.address.String())
		l.host.s.mu.Unlock()
		close(l.closed)
		for {
			select {
			case c := <-l.accepted:
				c.Close()
			default:
				return
			}
		}
	})
	return nil
}

// Addr is the listener's address.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// conn is one end of a connection: what it writes takes the sender's up lane and the
// receiver's down lane.
type conn struct {
	net.Conn
	delay    time.Duration
	up, down *lane
}

// Write sends segment by segment.
func (c *conn) Write(p []byte) (n int, err error) {
	for len(p) > 0 {
		part := p[:min(len(p), segment)]
		p = p[len(part):]
		through := c.up.take(len(part))
		if last := c.down.take(len(part)); last.After(through) {
			through = last
		}
		time.Sleep(time.Until(through) + c.delay)
		sent, err := c.Conn.Write(part)
		n += sent
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
