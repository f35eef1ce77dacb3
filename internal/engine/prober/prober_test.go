package prober

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// dialer completes each dial after a delay.
type dialer struct {
	after time.Duration
	err   error
	dials atomic.Int32
}

// DialContext waits, then succeeds or returns the dialer's error.
func (d *dialer) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	d.dials.Add(1)
	select {
	case <-time.After(d.after):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if d.err != nil {
		return nil, &net.OpError{Op: "dial", Err: d.err}
	}
	near, far := net.Pipe()
	_ = far.Close()
	return near, nil
}

func TestProbeResults(t *testing.T) {
	for _, c := range []struct {
		name string
		d    *dialer
		want Result
	}{
		{"a process listens", &dialer{after: time.Millisecond}, Listening},
		{"the process has ended", &dialer{after: time.Millisecond, err: syscall.ECONNREFUSED}, Refused},
		{"the connection is reset on its way", &dialer{after: time.Millisecond, err: syscall.ECONNRESET}, Unknown},
		{"no descriptor is left", &dialer{err: errors.New("too many open files")}, Unknown},
		{"the host has no power", &dialer{after: time.Minute, err: syscall.ECONNREFUSED}, Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := New(Config{Dialer: c.d})
				if got := p.Probe(t.Context(), "10.0.0.1:80"); got != c.want {
					t.Errorf("%v, want %v", got, c.want)
				}
			})
		})
	}
}

// Forty requests end with one endpoint: they must share one connection. A later probe of
// the same address must connect again, because another process may listen there by then.
func TestProbesAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &dialer{after: time.Millisecond, err: syscall.ECONNREFUSED}
		p := New(Config{Dialer: d})
		var all sync.WaitGroup
		for range 40 {
			all.Go(func() {
				if got := p.Probe(t.Context(), "10.0.0.1:80"); got != Refused {
					t.Errorf("%v", got)
				}
			})
		}
		all.Wait()
		if n := d.dials.Load(); n != 1 {
			t.Errorf("%d dials", n)
		}
		time.Sleep(2 * resultTTL)
		d.err = nil
		if got := p.Probe(t.Context(), "10.0.0.1:80"); got != Listening {
			t.Errorf("later: %v", got)
		}
	})
}

// The client of the first request disconnects while other requests wait for its probe,
// which must not be canceled.
func TestProbeOutlivesFirstCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Config{Dialer: &dialer{after: 2 * time.Millisecond, err: syscall.ECONNREFUSED}})
		ctx, cancel := context.WithCancel(t.Context())
		go p.Probe(ctx, "10.0.0.1:80")
		synctest.Wait()
		cancel()
		if got := p.Probe(t.Context(), "10.0.0.1:80"); got != Refused {
			t.Errorf("%v", got)
		}
	})
}

// Guards against a refused connection that counts as the end of a process although only this host is
// refused.
func TestOthersMustBeRefusedToo(t *testing.T) {
	refused := &dialer{err: syscall.ECONNREFUSED}
	for _, c := range []struct {
		confirmed bool
		want      Result
	}{{true, Refused}, {false, Partitioned}} {
		p := New(Config{Dialer: refused, Confirm: func(context.Context, string) bool { return c.confirmed }})
		if got := p.Probe(t.Context(), "10.0.0.1:80"); got != c.want {
			t.Errorf("confirmed %v: %v, want %v", c.confirmed, got, c.want)
		}
	}
}

// Guards against a process that ended right after it had been found to listen, and counts as listening.
func TestListeningProcessMayEndAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &dialer{after: time.Millisecond}
		p := New(Config{Dialer: d})
		if got := p.Probe(t.Context(), "10.0.0.1:80"); got != Listening {
			t.Fatalf("at first: %v", got)
		}
		time.Sleep(resultTTL / 10)
		d.err = syscall.ECONNREFUSED
		if got := p.Probe(t.Context(), "10.0.0.1:80"); got != Refused {
			t.Errorf("after its end: %v", got)
		}
	})
}
