package shaper

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

var address = netip.MustParseAddrPort("10.0.0.1:80")

// send transfers a number of bytes from each sender to one receiver concurrently and returns the
// time until all transfers are complete.
func send(t *testing.T, receiver *Host, bytes int, senders ...*Host) time.Duration {
	t.Helper()
	l, err := receiver.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	began := time.Now()
	for _, h := range senders {
		c, err := h.DialContext(t.Context(), "tcp", address.String())
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			defer c.Close()
			_, _ = c.Write(make([]byte, bytes))
		}()
	}
	done := make(chan int64)
	for range senders {
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			n, _ := io.Copy(io.Discard, c)
			done <- n
		}()
	}
	for range senders {
		if n := <-done; n != int64(bytes) {
			t.Errorf("%d of %d bytes received", n, bytes)
		}
	}
	return time.Since(began)
}

// A transfer takes as long as the slowest link needs, which concurrent transfers share.
func TestTransferTime(t *testing.T) {
	for _, c := range []struct {
		name           string
		sender, target float64
		senders        int
		expect         time.Duration
	}{
		{"slow sender", 1e6, 1e9, 1, time.Second},
		{"slow receiver", 1e9, 1e6, 1, time.Second},
		{"four senders, slow receiver", 1e9, 1e6, 4, 4 * time.Second},
		{"four slow senders", 1e6, 1e9, 4, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := New(Config{})
				var senders []*Host
				for range c.senders {
					senders = append(senders, n.Host(c.sender))
				}
				took := send(t, n.Host(c.target), 1e6, senders...)
				if off := took - c.expect; off < 0 || off > c.expect/20 {
					t.Errorf("took %v, want %v", took, c.expect)
				}
			})
		})
	}
}

func TestDialAndListenErrors(t *testing.T) {
	n := New(Config{})
	if _, err := n.Host(1).DialContext(t.Context(), "tcp", address.String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial without listener: error %v", err)
	}
	h := n.Host(1)
	l, err := h.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := h.Listen(address); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("second listener on an address: error %v", err)
	}
	l.Close()
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accept on a closed listener: error %v", err)
	}
}
