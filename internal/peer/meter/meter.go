// Package meter counts the bytes of connections between peers.
//
// It counts on the connection because the bound on control traffic is on bytes that leave and
// reach the host. Counting messages would miss headers and signatures, which are larger than a
// short message.
//
// # Usage
//
//	m := new(meter.Meter)
//	listener = m.Listen(listener)
//	transport.DialContext = m.Dial(dialer.DialContext)
//	in, out := m.Bytes()
package meter

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
)

// Meter counts bytes. The zero value is ready to use; it is safe for concurrent use.
type Meter struct {
	in  atomic.Int64
	out atomic.Int64
}

// Bytes returns the bytes read and written so far.
func (m *Meter) Bytes() (in, out int64) { return m.in.Load(), m.out.Load() }

// Listen returns a listener that counts the bytes of the connections it accepts.
func (m *Meter) Listen(l net.Listener) net.Listener { return &listener{l, m} }

// Dial returns a dial function that counts the bytes of the connections next makes.
func (m *Meter) Dial(next func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := next(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{c, m}, nil
	}
}

type listener struct {
	net.Listener
	m *Meter
}

// Accept returns the next connection, with its bytes counted.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{c, l.m}, nil
}

type conn struct {
	net.Conn
	m *Meter
}

// SyscallConn returns the raw connection, if the connection has one.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return raw.SyscallConn()
}

// Read reads and counts the bytes.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.m.in.Add(int64(n))
	return n, err
}

// Write writes and counts the bytes.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.m.out.Add(int64(n))
	return n, err
}
