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

// transport answers after a delay, with one byte of the body in each pause.
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
	return &http.Response{StatusCode: http.StatusOK, Body: &drip{ctx: r.Context(), pause: t.pause, left: t.bytes}}, nil
}

type drip struct {
	ctx   context.Context
	pause time.Duration
	left  int
}

func (d *drip) Read(p []byte) (int, error) {
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

func (d *drip) Close() error { return nil }

func TestCallsAreGivenUpInSilenceOnly(t *testing.T) {
	for _, c := range []struct {
		name   string
		t      transport
		wait   time.Duration
		silent bool
	}{
		{"at once", transport{bytes: 3}, 0, false},
		{"slow, but something comes", transport{first: 900 * time.Millisecond, pause: 900 * time.Millisecond, bytes: 100}, 0, false},
		{"no answer", transport{first: time.Hour}, 0, true},
		{"an answer after its wait", transport{first: 30 * time.Second, bytes: 1}, 30 * time.Second, false},
		{"no answer after its wait", transport{first: time.Hour}, 30 * time.Second, true},
		{"silence within the body", transport{pause: 2 * time.Second, bytes: 2}, 0, true},
		{"silence within the body after a wait", transport{first: time.Second, pause: 2 * time.Second, bytes: 2}, 30 * time.Second, true},
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
				if errors.Is(err, ErrIdleTimeout) != c.silent || !c.silent && (err != nil || text != strings.Repeat("x", c.t.bytes)) {
					t.Errorf("%q, error %v, silent expected: %v", text, err, c.silent)
				}
				if took := time.Since(began); c.silent && took > c.wait+c.t.pause+2*time.Second {
					t.Errorf("given up after %v", took)
				}
			})
		})
	}
}

func read(w *Watchdog, r *http.Request, wait time.Duration) (string, error) {
	resp, err := w.DoAfter(r, wait)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return string(raw), err
}

// A caller that gives up by itself is not told that the server was silent.
func TestCallersOwnEndIsNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://a/", nil)
		if err != nil {
			t.Fatal(err)
		}
		_, err = read(New(Config{Transport: transport{first: time.Hour}, IdleTimeout: time.Second}), r, 0)
		if errors.Is(err, ErrIdleTimeout) || !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error %v, the caller's deadline is expected", err)
		}
	})
}
