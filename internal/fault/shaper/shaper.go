// Package shaper provides an in-memory network whose hosts have links of limited bandwidth.
//
// Faults caused by saturated links don't occur on a loopback interface, and a proxy that slows
// down real connections takes real time. Connections of a [Shaper] are in-memory pipes. Their
// segments are sent one after another, and each occupies the sender's and the receiver's link
// for its transmission time, by the runtime's clock. In a test with a fake clock
// (testing/synctest), a fleet of sixty hosts behind slow links takes no real time and its timing
// is the same on every machine.
//
// A writer occupies a link for one segment at a time, so connections that share a link get equal
// shares of it, as with TCP. There is no packet loss and no buffering: a reader that doesn't
// read blocks the writer.
//
// # Usage
//
//	n := shaper.New(shaper.Config{Delay: time.Millisecond})
//	h := n.Host(1.25e6) // bytes per second in each direction
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
	// segmentBytes is what a connection sends before others may use the link: about ten
	// packets, the initial window of a TCP connection.
	segmentBytes = 16 << 10
	// backlog is the maximum number of connections that wait to be accepted.
	backlog = 128
)

// Config describes the network.
type Config struct {
	// Delay is the propagation delay of a segment, in addition to its transmission time.
	Delay time.Duration
}

// Shaper is an in-memory network. It is safe for concurrent use.
type Shaper struct {
	c Config

	mu        sync.Mutex
	listeners map[string]*listener
	// silent holds the addresses that do not respond at all.
	silent map[string]bool
}

// New returns a network without hosts.
func New(c Config) *Shaper {
	return &Shaper{c: c, listeners: make(map[string]*listener), silent: make(map[string]bool)}
}

// Silence removes the listener at an address without a trace, as a loss of power does: connection attempts
// there get no response until something listens again.
func (s *Shaper) Silence(a netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, a.String())
	s.silent[a.String()] = true
}

// Host is a host of the network with its link.
type Host struct {
	network  *Shaper
	up, down direction
}

// Host adds a host whose link carries the given number of bytes per second in each direction.
func (s *Shaper) Host(bytesPerSecond float64) *Host {
	return &Host{network: s, up: direction{rate: bytesPerSecond}, down: direction{rate: bytesPerSecond}}
}

// direction is one direction of a link; it is in use until freeAt.
type direction struct {
	rate float64

	mu     sync.Mutex
	freeAt time.Time
}

// reserve reserves the direction for n bytes and returns the time at which they are sent.
func (d *direction) reserve(n int) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now := time.Now(); d.freeAt.Before(now) {
		d.freeAt = now
	}
	d.freeAt = d.freeAt.Add(time.Duration(float64(n) / d.rate * float64(time.Second)))
	return d.freeAt
}

// Listen returns a listener on an address. It fails with EADDRINUSE if the network already has
// one there.
func (h *Host) Listen(a netip.AddrPort) (net.Listener, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.network.listeners[a.String()] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	l := &listener{host: h, address: a, accepted: make(chan net.Conn, backlog), closed: make(chan struct{})}
	h.network.listeners[a.String()] = l
	delete(h.network.silent, a.String())
	return l, nil
}

// DialContext connects to a listener's address, as IP:port. It fails with ECONNREFUSED if
// nothing listens there. If the backlog is full, or the address is silent, it waits until ctx ends.
func (h *Host) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	h.network.mu.Lock()
	l, silent := h.network.listeners[address], h.network.silent[address]
	h.network.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: fmt.Errorf("%s: %w", address, syscall.ECONNREFUSED)}
	}
	near, far := net.Pipe()
	select {
	case l.accepted <- &conn{Conn: far, delay: h.network.c.Delay, up: &l.host.up, down: &h.down}:
		return &conn{Conn: near, delay: h.network.c.Delay, up: &h.up, down: &l.host.down}, nil
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

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close frees the address and closes connections that aren't accepted yet.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.host.network.mu.Lock()
		if l.host.network.listeners[l.address.String()] == l {
			delete(l.host.network.listeners, l.address.String())
		}
		l.host.network.mu.Unlock()
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

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// conn is one end of a connection. Its writes occupy the sender's upstream and the receiver's
// downstream direction.
type conn struct {
	net.Conn
	delay    time.Duration
	up, down *direction
}

// Write writes p in segments and takes as long as the links need for them.
func (c *conn) Write(p []byte) (n int, err error) {
	for len(p) > 0 {
		part := p[:min(len(p), segmentBytes)]
		p = p[len(part):]
		through := c.up.reserve(len(part))
		if last := c.down.reserve(len(part)); last.After(through) {
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
