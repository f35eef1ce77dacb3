// Package messagelimiter bounds the messages that daemons exchange.
//
// The generated code of calls reads a message to its end, and an address may have become that of another
// program. Without a bound, bytes without an end would take the memory of the daemon that reads them.
//
// # Usage
//
//	l := messagelimiter.New(messagelimiter.Config{MaxBytes: 16 << 20})
//	client := http.Client{Transport: l.Transport(transport)}
//	mux.Handle("/", l.Handler(server))
package messagelimiter

import (
	"errors"
	"io"
	"net/http"
)

// ErrTooLong is returned by the body of a response that is longer than the bound.
var ErrTooLong = errors.New("message too long")

// Config sets the bound.
type Config struct {
	// MaxBytes bounds one message.
	MaxBytes int64
}

// Limiter bounds messages.
type Limiter struct {
	c Config
}

// New returns a limiter.
func New(c Config) *Limiter { return &Limiter{c} }

// Handler returns a handler whose requests' bodies fail beyond the bound. One with a longer stated length is
// answered 413.
func (l *Limiter) Handler(next http.Handler) http.Handler {
	bounded := http.MaxBytesHandler(next, l.c.MaxBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > l.c.MaxBytes {
			http.Error(w, ErrTooLong.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		bounded.ServeHTTP(w, r)
	})
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
