// Package watchdog makes calls over HTTP that are given up when nothing comes, not when
// they last long.
//
// # Why not a deadline
//
// How long an answer takes depends on its size and on the links. A call that was given
// up after a fixed time begins anew from its first byte, fills the link with bytes that
// nobody uses, and never ends where the time is too short for the answer: a megabyte
// takes 0.8 s over an idle link of 10 Mbit/s and several times that over a busy one. A
// server that is silent, by contrast, shows at once; [Config.Silence] is how long the
// next bytes may take.
//
// # Usage
//
//	w := watchdog.New(watchdog.Config{Transport: t, Silence: time.Second})
//	resp, err := w.DoAfter(request, 30*time.Second) // may wait before it answers
package watchdog

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// ErrIdleTimeout means that nothing came for too long.
var ErrIdleTimeout = errors.New("nothing received for too long")

// Config says how calls are made.
type Config struct {
	Transport http.RoundTripper
	// IdleTimeout is the longest time until an answer begins, and between its bytes.
	IdleTimeout time.Duration
}

// Watchdog makes calls. It is safe for concurrent use.
type Watchdog struct{ c Config }

// New returns a watchdog.
func New(c Config) *Watchdog { return &Watchdog{c: c} }

// Do makes a call that is answered without waiting.
func (w *Watchdog) Do(r *http.Request) (*http.Response, error) { return w.DoAfter(r, 0) }

// DoAfter makes a call whose server may wait so long before it answers. The body must be
// closed.
func (w *Watchdog) DoAfter(r *http.Request, wait time.Duration) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	timer := time.AfterFunc(wait+w.c.IdleTimeout, func() { cancel(ErrIdleTimeout) })
	resp, err := w.c.Transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		timer.Stop()
		err = silent(ctx, err)
		cancel(nil)
		return nil, err
	}
	timer.Reset(w.c.IdleTimeout)
	resp.Body = &body{ReadCloser: resp.Body, ctx: ctx, cancel: cancel, timer: timer, silence: w.c.IdleTimeout}
	return resp, nil
}

// silent names silence as the cause of an error, where it was.
func silent(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), ErrIdleTimeout) {
		return fmt.Errorf("%w: %w", ErrIdleTimeout, err)
	}
	return err
}

// body is an answer's body; each byte that comes grants it more time.
type body struct {
	io.ReadCloser
	ctx     context.Context //nolint:containedctx // the call's own, which lasts as long as its body
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	silence time.Duration
}

// Read reads what has come.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err != nil:
		b.timer.Stop()
		if !errors.Is(err, io.EOF) {
			err = silent(b.ctx, err)
		}
	case n > 0:
		b.timer.Reset(b.silence)
	}
	return n, err
}

// Close ends the call.
func (b *body) Close() error {
	b.timer.Stop()
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
