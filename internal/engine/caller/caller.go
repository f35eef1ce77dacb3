// Package caller speaks the engines' protocol.
//
// # States of an attempt
//
// An attempt is [Unsent] until bytes have gone out, or on a reused connection
// until that has been obtained, [MaybeSent] from then on, and [Answered] once
// the endpoint's status is known. Only an
// unsent attempt, or one that the endpoint explicitly refused, may be
// reported as "not run": after the first byte is on its way nobody on this
// side can tell whether it was read.
//
// # No hidden retries
//
// The standard transport repeats a request by itself when a reused connection
// turns out closed, and it takes an Idempotency-Key as permission to do so
// even after the request was written. A call that may not be repeated
// therefore goes out on a fresh connection, and its body has no GetBody, which
// the transport needs for a repeat.
//
// # Usage
//
//	s, err := c.Complete(ctx, address, id, body)
//	for {
//		f, err := s.Next()
//		...
//	}
//	s.Close()
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"brasschute/internal/core/retryparser"
	"brasschute/internal/engine/frame"
	"brasschute/internal/engine/order"
	"brasschute/internal/engine/prefix"
	"brasschute/internal/engine/report"
	"brasschute/internal/engine/resumption"
)

// State is how far an attempt got.
type State int32

// The states, in the order in which an attempt passes through them.
const (
	Unsent State = iota
	MaybeSent
	Answered
)

// String names the state.
func (s State) String() string {
	return [...]string{"unsent", "maybe sent", "answered"}[s]
}

// Failures of a stream.
var (
	// ErrNotRun: the endpoint explicitly refused to run the call.
	ErrNotRun = errors.New("endpoint: refused, not run")
	// ErrTruncated: the stream ended without its end mark.
	ErrTruncated = errors.New("endpoint: stream ended without its end mark")
	// ErrWrongStream: a frame of another stream arrived.
	ErrWrongStream = errors.New("endpoint: frame of another stream")
	// ErrStreamNotFound: the engine does not hold the stream to resume.
	ErrStreamNotFound = errors.New("endpoint: stream not held")
	// ErrStatus: the endpoint answered with another status than 200.
	ErrStatus = errors.New("endpoint: unexpected status")
)

const (
	dialTimeout  = time.Second
	idleTimeout  = 30 * time.Second
	orderTimeout = 2 * time.Second
	maxFrame     = 1 << 20
)

// Caller calls endpoints. It is safe for concurrent use.
type Caller struct {
	reused http.Client
	fresh  http.Client
}

// Config sets how the caller connects.
type Config struct {
	// Source is the local address to connect from; nil for any.
	Source net.Addr
	// Transport, if not nil, takes the place of connections, as in
	// experiments under a paused clock.
	Transport http.RoundTripper
}

// New returns a caller; it connects when used.
func New(c Config) *Caller {
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: c.Source}
	transport := func(fresh bool) http.RoundTripper {
		if c.Transport != nil {
			return c.Transport
		}
		return &http.Transport{
			DialContext: watch(d.DialContext), DisableKeepAlives: fresh,
			MaxIdleConnsPerHost: 16, IdleConnTimeout: idleTimeout, DisableCompression: true,
		}
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Caller{
		reused: http.Client{Transport: transport(false), CheckRedirect: noRedirect},
		fresh:  http.Client{Transport: transport(true), CheckRedirect: noRedirect},
	}
}

// Attempt is one call to one endpoint. Its state may be read at any time.
type Attempt struct {
	// Traceparent is passed on to the endpoint, if not empty.
	Traceparent string

	state atomic.Int32
	rest  atomic.Int64
}

// State returns how far the attempt got.
func (a *Attempt) State() State { return State(a.state.Load()) }

// Backoff is for how long the endpoint wants nothing, as it said; 0 if it did not.
func (a *Attempt) Backoff() time.Duration { return time.Duration(a.rest.Load()) }

// body hides the reader's type, so that http.NewRequest sets no GetBody.
type body struct{ io.Reader }

// Do performs one HTTP call. Once says that it may not be repeated: then the
// connection is fresh. Whoever calls must close the response's body.
func (c *Caller) Do(r *http.Request, payload []byte, once bool, a *Attempt) (*http.Response, error) {
	r = r.WithContext(c.traced(r.Context(), once, a))
	r.Body = io.NopCloser(body{bytes.NewReader(payload)})
	r.GetBody = nil
	if a.Traceparent != "" {
		r.Header.Set("Traceparent", a.Traceparent)
	}
	r.ContentLength = int64(len(payload))
	client := &c.reused
	if once {
		client = &c.fresh
	}
	resp, err := client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("endpoint: %w", err)
	}
	a.state.Store(int32(Answered))
	a.rest.Store(int64(retryparser.Parse(resp.StatusCode, resp.Header)))
	return resp, nil
}

type attemptKey struct{}

// traced makes the state follow the attempt. On a fresh connection the first
// write decides: if the kernel took no byte, as when the other side had reset
// the connection by then, nothing can have been read.
func (c *Caller) traced(ctx context.Context, once bool, a *Attempt) context.Context {
	if once {
		return context.WithValue(ctx, attemptKey{}, a)
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		a.state.Store(int32(MaybeSent))
	}})
}

// watched is a fresh connection that tells its attempt of the first byte.
type watched struct {
	net.Conn
	a    *Attempt
	sent bool
}

// Write marks the attempt before it writes, and takes that back only if not
// one byte left.
func (w *watched) Write(p []byte) (int, error) {
	w.a.state.CompareAndSwap(int32(Unsent), int32(MaybeSent))
	n, err := w.Conn.Write(p)
	if n == 0 && err != nil && !w.sent {
		w.a.state.CompareAndSwap(int32(MaybeSent), int32(Unsent))
	}
	w.sent = w.sent || n > 0
	return n, err
}

func watch(next func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := next(ctx, network, address)
		a, ok := ctx.Value(attemptKey{}).(*Attempt)
		if err != nil || !ok {
			return conn, err
		}
		return &watched{Conn: conn, a: a}, nil
	}
}

// Complete starts a stream.
func (c *Caller) Complete(ctx context.Context, address, id string, payload []byte, once bool, a *Attempt) (*Stream, error) {
	return c.open(ctx, address, "/v1/chat/completions", id, payload, 0, once, a)
}

// Resume continues a stream.
func (c *Caller) Resume(ctx context.Context, address string, r *resumption.Resumption, a *Attempt) (*Stream, error) {
	payload, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("endpoint: encode resumption: %w", err)
	}
	return c.open(ctx, address, "/v1/streams/resume", r.ID, payload, r.Offset, true, a)
}

func (c *Caller) open(ctx context.Context, address, path, id string, payload []byte, offset int, once bool, a *Attempt) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, http.NoBody)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("endpoint: %w", err)
	}
	r.Header.Set("Request-Id", id)
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.Do(r, payload, once, a)
	if err != nil {
		cancel()
		return nil, err
	}
	if err := opened(resp); err != nil {
		_ = resp.Body.Close()
		cancel()
		return nil, err
	}
	s := &Stream{id: id, offset: offset, body: resp.Body, cancel: cancel, lines: bufio.NewScanner(resp.Body)}
	s.lines.Buffer(nil, maxFrame)
	return s, nil
}

func opened(resp *http.Response) error {
	switch {
	case resp.StatusCode == http.StatusOK:
		return nil
	case resp.Header.Get("Not-Run") == "true":
		return fmt.Errorf("%w (status %d)", ErrNotRun, resp.StatusCode)
	case resp.StatusCode == http.StatusNotFound:
		return ErrStreamNotFound
	}
	return fmt.Errorf("%w %d", ErrStatus, resp.StatusCode)
}

// Cancel frees what an engine spends on a stream.
func (c *Caller) Cancel(ctx context.Context, address, id string) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return c.simple(ctx, http.MethodDelete, "http://"+address+"/v1/streams/"+id, nil, nil)
}

// Load asks an endpoint for its load.
func (c *Caller) Load(ctx context.Context, address string) (*report.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var r report.Report
	err := c.simple(ctx, http.MethodGet, "http://"+address+"/v1/load", nil, &r)
	return &r, err
}

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Number uint64
	Block  prefix.Block
	Stored bool
}

// CacheEvents are the changes that an engine still remembers; some may be
// missing.
type CacheEvents struct {
	Next   uint64
	Events []CacheEvent
}

// CacheEvents asks an engine for the changes of its cache after a number.
func (c *Caller) CacheEvents(ctx context.Context, address string, after uint64) (*CacheEvents, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var e CacheEvents
	err := c.simple(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/cache/events?after=%d", address, after), nil, &e)
	return &e, err
}

// ImportRequest asks an engine to copy cache blocks from another.
type ImportRequest struct {
	// Source is IP:port of the engine that holds them.
	Source string
	Blocks []prefix.Block
}

// Import makes an engine copy cache blocks.
func (c *Caller) Import(ctx context.Context, address string, i *ImportRequest) error {
	return c.simple(ctx, http.MethodPost, "http://"+address+"/v1/kv/import", i, nil)
}

// Order gives an engine its wanted state.
func (c *Caller) Order(ctx context.Context, address string, o *order.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return c.simple(ctx, http.MethodPost, "http://"+address+"/v1/orders", o, nil)
}

func (c *Caller) simple(ctx context.Context, method, url string, in, out any) error {
	var payload []byte
	if in != nil {
		payload, _ = json.Marshal(in)
	}
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(payload))
	if err != nil {
		return fmt.Errorf("endpoint: %w", err)
	}
	resp, err := c.reused.Do(r)
	if err != nil {
		return fmt.Errorf("endpoint: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%w %d", ErrStatus, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxFrame)).Decode(out); err != nil {
		return fmt.Errorf("endpoint: %w", err)
	}
	return nil
}

// Stream is an open stream of frames. It is for one goroutine.
type Stream struct {
	id     string
	offset int
	ended  bool
	body   io.Closer
	cancel context.CancelFunc
	lines  *bufio.Scanner
}

// Next returns the next new frame. It returns io.EOF after the end mark,
// ErrTruncated if the stream ends without it, and ErrCrossed for a frame of
// another stream or with a token missing before it. Frames that repeat a
// token already seen are dropped.
func (s *Stream) Next() (*frame.Frame, error) {
	for s.lines.Scan() {
		data, ok := strings.CutPrefix(s.lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == frame.EndMarker {
			return nil, s.end()
		}
		f := new(frame.Frame)
		if err := json.Unmarshal([]byte(data), f); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrTruncated, err)
		}
		switch {
		case f.ID != s.id || f.Offset > s.offset:
			return nil, ErrWrongStream
		case f.Offset < s.offset || s.ended:
			continue
		}
		if f.Finished() {
			s.ended = true
			return f, nil
		}
		s.offset++
		return f, nil
	}
	if err := s.lines.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return nil, ErrTruncated
}

// end accepts the end mark only behind a finishing frame: a mark alone may be
// that of another stream on the same connection.
func (s *Stream) end() error {
	if !s.ended {
		return ErrTruncated
	}
	return io.EOF
}

// Close ends the stream and its connection, unless it was read to its end.
func (s *Stream) Close() {
	s.cancel()
	_ = s.body.Close()
}
