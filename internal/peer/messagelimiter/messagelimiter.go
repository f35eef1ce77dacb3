// Package messagelimiter bounds the messages that daemons and operators exchange.
//
// The generated code of calls reads a message to its end, for as long as that takes, and an address may have become
// that of another program. Without bounds, bytes without an end, many large messages, or ones that stop before their
// end would take the memory and the connections of the daemon that reads them.
//
// # Usage
//
//	l := messagelimiter.New(messagelimiter.Config{MaxBytes: 16 << 20, Bodies: bodies})
//	client := http.Client{Transport: l.Transport(transport)}
//	mux.Handle("/", l.Handler(server))
package messagelimiter

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"brasschute/internal/serve/bodyreader"
)

// ErrTooLong is returned by the body of a response that is longer than the bound.
var ErrTooLong = errors.New("message too long")

// Config sets the bound.
type Config struct {
	// MaxBytes bounds one message.
	MaxBytes int64
	// Bodies reads the messages of requests and bounds the memory that they take together.
	Bodies *bodyreader.Reader
}

// Limiter bounds messages.
type Limiter struct {
	c Config
}

// New returns a limiter.
func New(c Config) *Limiter { return &Limiter{c} }

// Handler returns a handler that gets requests whose bodies have been read. One that is too long is answered 413, one
// without room 503, and one that does not come whole 408.
func (l *Limiter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		message, release, err := l.c.Bodies.Read(w, r, l.c.MaxBytes)
		if err != nil {
			l.c.Bodies.Refuse(w, r, func() { http.Error(w, err.Error(), statusOf(err)) })
			return
		}
		defer release()
		if message != nil {
			r.Body = io.NopCloser(bytes.NewReader(message))
		}
		next.ServeHTTP(w, r)
	})
}

// statusOf returns the status for a message that was not read.
func statusOf(err error) int {
	switch {
	case errors.Is(err, bodyreader.ErrTooLong):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, bodyreader.ErrNoRoom):
		return http.StatusServiceUnavailable
	}
	return http.StatusRequestTimeout
}

// Transport returns a transport whose responses' bodies fail beyond the bound.
func (l *Limiter) Transport(next http.RoundTripper) http.RoundTripper {
	return &transport{next: next, maxBytes: l.c.MaxBytes}
}

type transport struct {
	next     http.RoundTripper
	maxBytes int64
}

var _ http.RoundTripper = (*transport)(nil)

// RoundTrip makes a call.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &body{ReadCloser: resp.Body, left: t.maxBytes}
	return resp, nil
}

// body is the body of a response that may have so many bytes more.
type body struct {
	io.ReadCloser
	left int64
}

// Read reads the body.
func (b *body) Read(p []byte) (int, error) {
	if b.left < 0 {
		return 0, ErrTooLong
	}
	// One byte beyond the bound shows that the body goes on.
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left+1)])
	if b.left -= int64(n); b.left < 0 {
		return n, ErrTooLong
	}
	return n, err
}
