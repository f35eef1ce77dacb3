package watchdog

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// transport responds after a delay, with a body that returns one byte after each pause.
type transport struct {
	first, pause time.Duration
	bytes        int
}

func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-time.After(t.first):
	}
	return &http.Response{StatusCode: http.StatusOK, Body: &slowBody{ctx: r.Context(), pause: t.pause, left: t.bytes}}, nil
}

// slowBody returns single bytes with a pause before each.
type slowBody struct {
	ctx   context.Context
	pause time.Duration
	left  int
}

func (d *slowBody) Read(p []byte) (int, error) {
	if d.left == 0 {
		return 0, io.EOF
	}
	select {
	case <-d.ctx.Done():
		return 0, d.ctx.Err()
	case <-time.After(d.pause):
	}
	d.left--
	p[0] = 'x'
	return 1, nil
}

func (d *slowBody) Close() error { return nil }

// A call times out only if no data arrives for the idle timeout, however long the response
// takes in total.
func TestIdleTimeout(t *testing.T) {
	for _, c := range []struct {
		name     string
		t        transport
		wait     time.Duration
		timesOut bool
	}{
		{"immediate response", transport{bytes: 3}, 0, false},
		{"slow but steady response", transport{first: 900 * time.Millisecond, pause: 900 * time.Millisecond, bytes: 100}, 0, false},
		{"no response", transport{first: time.Hour}, 0, true},
		{"response after the wait", transport{first: 30 * time.Second, bytes: 1}, 30 * time.Second, false},
		{"no response after the wait", transport{first: time.Hour}, 30 * time.Second, true},
		{"stalled body", transport{pause: 2 * time.Second, bytes: 2}, 0, true},
		{"stalled body after a wait", transport{first: time.Second, pause: 2 * time.Second, bytes: 2}, 30 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := New(Config{Transport: c.t, IdleTimeout: time.Second})
				r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://a/", nil)
				if err != nil {
					t.Fatal(err)
				}
				began := time.Now()
				text, err := read(w, r, c.wait)
				if errors.Is(err, ErrIdleTimeout) != c.timesOut || !c.timesOut && (err != nil || text != strings.Repeat("x", c.t.bytes)) {
					t.Errorf("body %q, error %v, want idle timeout: %v", text, err, c.timesOut)
				}
				if took := time.Since(began); c.timesOut && took > c.wait+c.t.pause+2*time.Second {
					t.Errorf("timed out after %v", took)
				}
			})
		})
	}
}

func read(w *Watchdog, r *http.Request, wait time.Duration) (string, error) {
	resp, err := w.DoLongPoll(r, wait)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return string(raw), err
}

// If the caller's own deadline ends the call, the error is that deadline and not ErrIdleTimeout.
func TestCallerDeadlineIsNotIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://a/", nil)
		if err != nil {
			t.Fatal(err)
		}
		_, err = read(New(Config{Transport: transport{first: time.Hour}, IdleTimeout: time.Second}), r, 0)
		if errors.Is(err, ErrIdleTimeout) || !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error %v, want the caller's deadline", err)
		}
	})
}
