// Package watchdog makes HTTP calls that time out when no data arrives, not when they take long.
//
// How long a response takes depends on its size and on the links: a megabyte takes 0.8 s over
// an idle 10 Mbit/s link and several times that over a busy one. A call with a fixed deadline
// that is too short restarts from the first byte, fills the link with bytes that are
// discarded, and never completes. A server that sends nothing, by contrast, is detected quickly: the
// next bytes must arrive within [Config.IdleTimeout].
//
// # Usage
//
//	w := watchdog.New(watchdog.Config{Transport: t, IdleTimeout: time.Second})
//	resp, err := w.DoLongPoll(request, 30*time.Second) // the server may wait before it responds
package watchdog

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// ErrIdleTimeout is returned if no data arrived within the idle timeout.
var ErrIdleTimeout = errors.New("no data received within the idle timeout")

// Config holds the transport and the timeout of calls.
type Config struct {
	Transport http.RoundTripper
	// IdleTimeout is the longest time until the response's header arrives and, after that,
	// between reads of its body that return data.
	IdleTimeout time.Duration
}

// Watchdog makes HTTP calls with an idle timeout. It is safe for concurrent use.
type Watchdog struct{ c Config }

// New returns a watchdog with the given configuration.
func New(c Config) *Watchdog { return &Watchdog{c: c} }

// Do makes a call that the server responds to immediately. The body must be closed.
func (w *Watchdog) Do(r *http.Request) (*http.Response, error) { return w.DoLongPoll(r, 0) }

// DoLongPoll makes a call whose server may wait that long before it responds, as in a long poll.
// The body must be closed. The error wraps [ErrIdleTimeout] if no data arrived in time.
func (w *Watchdog) DoLongPoll(r *http.Request, wait time.Duration) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	timer := time.AfterFunc(wait+w.c.IdleTimeout, func() { cancel(ErrIdleTimeout) })
	resp, err := w.c.Transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		timer.Stop()
		err = wrapIdleTimeout(ctx, err)
		cancel(nil)
		return nil, err
	}
	timer.Reset(w.c.IdleTimeout)
	resp.Body = &body{ReadCloser: resp.Body, ctx: ctx, cancel: cancel, timer: timer, idleTimeout: w.c.IdleTimeout}
	return resp, nil
}

// wrapIdleTimeout adds ErrIdleTimeout to an error that the idle timeout caused.
func wrapIdleTimeout(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), ErrIdleTimeout) {
		return fmt.Errorf("%w: %w", ErrIdleTimeout, err)
	}
	return err
}

// body is a response body that resets the idle timer whenever data arrives.
type body struct {
	io.ReadCloser
	ctx         context.Context //nolint:containedctx // the call's own context, which lives as long as the body
	cancel      context.CancelCauseFunc
	timer       *time.Timer
	idleTimeout time.Duration
}

// Read reads from the body and resets the idle timer if data arrived.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err != nil:
		b.timer.Stop()
		if !errors.Is(err, io.EOF) {
			err = wrapIdleTimeout(b.ctx, err)
		}
	case n > 0:
		b.timer.Reset(b.idleTimeout)
	}
	return n, err
}

// Close closes the body and cancels the call's context.
func (b *body) Close() error {
	b.timer.Stop()
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
