// Package caller is a client of the engines' protocol.
//
// An attempt is [Unsent] until its first byte is sent or, on a reused connection,
// until the connection is obtained. From then on it is [MaybeSent], and [Answered]
// once the endpoint's status is known. Only an unsent attempt, or one that the
// endpoint explicitly refused, may be reported as "not run": once the first byte
// is sent, this side can't tell whether it was read.
//
// http.Transport repeats a request by itself if a reused connection turns out to
// be closed, and treats an Idempotency-Key as permission to do so even after the
// request was written. A call that must run at most once is therefore sent on a
// new connection, and its body has no GetBody, which the transport needs for a
// repeat.
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
	"syscall"
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

// String returns the name of the state for logs.
func (s State) String() string {
	return [...]string{"unsent", "maybe sent", "answered"}[s]
}

// Errors of a call or stream. Their texts may be part of an answer to a client.
var (
	// ErrNotRun means that the endpoint explicitly refused to run the call.
	ErrNotRun = errors.New("endpoint: refused, not run")
	// ErrRefusedConnection means that the endpoint's host refused the connection: nothing
	// listens at the address, and the call was not sent.
	ErrRefusedConnection = errors.New("endpoint: connection refused")
	// ErrTruncated means that the stream ended without its end marker.
	ErrTruncated = errors.New("endpoint: stream ended without its end mark")
	// ErrWrongStream means that a frame of another stream arrived, or that a token
	// is missing before a frame.
	ErrWrongStream = errors.New("endpoint: frame of another stream")
	// ErrStreamNotFound means that the engine does not hold the stream to resume.
	ErrStreamNotFound = errors.New("endpoint: stream not held")
	// ErrStatus means that the endpoint responded with an unexpected status.
	ErrStatus = errors.New("endpoint: unexpected status")
	// ErrNoAnswer means that the endpoint sent a status that is none of an answer. The call may have run.
	ErrNoAnswer = errors.New("endpoint: not the status of an answer")
)

const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
	// controlTimeout bounds the calls that are answered at once: Cancel, Load,
	// CacheEvents and Order.
	controlTimeout = 2 * time.Second
	maxFrameBytes  = 1 << 20
	// maxHeadBytes bounds the status line and headers of a response.
	maxHeadBytes = 64 << 10
	// minStatus and maxStatus bound the status of an answer (RFC 9110, 15).
	minStatus = 200
	maxStatus = 599
)

// Caller calls endpoints. It is safe for concurrent use.
type Caller struct {
	pooledClient    http.Client
	singleUseClient http.Client
}

// Config sets how the caller connects.
type Config struct {
	// Source is the local address to connect from; nil for any.
	Source net.Addr
	// Transport, if not nil, is used instead of network connections, as in
	// experiments with a fake clock.
	Transport http.RoundTripper
}

// New returns a caller. It opens connections when calls are made.
func New(c Config) *Caller {
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: c.Source}
	transport := func(fresh bool) http.RoundTripper {
		if c.Transport != nil {
			return c.Transport
		}
		return &http.Transport{
			DialContext: trackWrites(d.DialContext), DisableKeepAlives: fresh,
			MaxIdleConnsPerHost: 16, IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
		}
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Caller{
		pooledClient:    http.Client{Transport: transport(false), CheckRedirect: noRedirect},
		singleUseClient: http.Client{Transport: transport(true), CheckRedirect: noRedirect},
	}
}

// Attempt is one call to one endpoint. Its state may be read at any time.
type Attempt struct {
	// Traceparent is the trace context header sent to the endpoint, if not empty.
	Traceparent string

	state   atomic.Int32
	backoff atomic.Int64
}

// State returns how far the attempt got.
func (a *Attempt) State() State { return State(a.state.Load()) }

// Backoff returns the pause that the endpoint asked for before further requests, or
// 0 if it asked for none.
func (a *Attempt) Backoff() time.Duration { return time.Duration(a.backoff.Load()) }

// opaqueReader hides the reader's type, so that net/http sets no GetBody.
type opaqueReader struct{ io.Reader }

// Do performs one HTTP call. With atMostOnce the call uses a new connection, so that
// the transport can't repeat it. The caller must close the response's body.
func (c *Caller) Do(r *http.Request, payload []byte, atMostOnce bool, a *Attempt) (*http.Response, error) {
	r = r.WithContext(c.withStateTracking(r.Context(), atMostOnce, a))
	r.Body = io.NopCloser(opaqueReader{bytes.NewReader(payload)})
	r.GetBody = nil
	if a.Traceparent != "" {
		r.Header.Set("Traceparent", a.Traceparent)
	}
	r.ContentLength = int64(len(payload))
	client := &c.pooledClient
	if atMostOnce {
		client = &c.singleUseClient
	}
	resp, err := exchange(client, r)
	if err != nil {
		return nil, err
	}
	a.state.Store(int32(Answered))
	a.backoff.Store(int64(retryparser.Parse(resp.StatusCode, resp.Header)))
	return resp, nil
}

// exchange makes a call and returns its answer. A response whose status is none of an answer is an error: net/http takes
// any three digits, and upgrades the connection by itself.
func exchange(client *http.Client, r *http.Request) (*http.Response, error) {
	resp, err := client.Do(r)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, fmt.Errorf("%w: %w", ErrRefusedConnection, err)
	case err != nil:
		return nil, fmt.Errorf("endpoint: %w", err)
	case resp.StatusCode < minStatus || resp.StatusCode > maxStatus:
		_ = resp.Body.Close()
		return nil, fmt.Errorf("%w %d", ErrNoAnswer, resp.StatusCode)
	}
	return resp, nil
}

type attemptKey struct{}

// withStateTracking returns a context in which the transport updates the state of the
// attempt. On a new connection the first write decides: if the kernel accepted no
// byte, for instance because the other side had already reset the connection, the
// endpoint can't have read anything.
func (c *Caller) withStateTracking(ctx context.Context, atMostOnce bool, a *Attempt) context.Context {
	if atMostOnce {
		return context.WithValue(ctx, attemptKey{}, a)
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		a.state.Store(int32(MaybeSent))
	}})
}

// trackedConn is a new connection that records the first sent byte in its attempt.
type trackedConn struct {
	net.Conn
	attempt *Attempt
	sent    bool
}

// Write marks the attempt as MaybeSent before it writes, and reverts that only if no
// byte was sent.
func (w *trackedConn) Write(p []byte) (int, error) {
	w.attempt.state.CompareAndSwap(int32(Unsent), int32(MaybeSent))
	n, err := w.Conn.Write(p)
	if n == 0 && err != nil && !w.sent {
		w.attempt.state.CompareAndSwap(int32(MaybeSent), int32(Unsent))
	}
	w.sent = w.sent || n > 0
	return n, err
}

// trackWrites wraps a dial function so that its connections record sent bytes in the
// attempt that the context carries.
func trackWrites(next func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := next(ctx, network, address)
		a, ok := ctx.Value(attemptKey{}).(*Attempt)
		if err != nil || !ok {
			return conn, err
		}
		return &trackedConn{Conn: conn, attempt: a}, nil
	}
}

// Complete starts the stream of a chat completion. payload is the body of the request,
// id the id that the stream's frames carry. See [Caller.Do] for atMostOnce.
func (c *Caller) Complete(ctx context.Context, address, id string, payload []byte, atMostOnce bool, a *Attempt) (*Stream, error) {
	return c.open(ctx, address, "/v1/chat/completions", id, payload, 0, atMostOnce, a)
}

// Resume continues an interrupted stream. The call runs at most once.
func (c *Caller) Resume(ctx context.Context, address string, r *resumption.Resumption, a *Attempt) (*Stream, error) {
	payload, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("endpoint: encode resumption: %w", err)
	}
	return c.open(ctx, address, "/v1/streams/resume", r.ID, payload, r.Offset, true, a)
}

func (c *Caller) open(ctx context.Context, address, path, id string, payload []byte, offset int, atMostOnce bool, a *Attempt) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, http.NoBody)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("endpoint: %w", err)
	}
	r.Header.Set("Request-Id", id)
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.Do(r, payload, atMostOnce, a)
	if err != nil {
		cancel()
		return nil, err
	}
	if err := checkResponse(resp); err != nil {
		_ = resp.Body.Close()
		cancel()
		return nil, err
	}
	s := &Stream{id: id, offset: offset, body: resp.Body, cancel: cancel, lines: bufio.NewScanner(resp.Body)}
	s.lines.Buffer(nil, maxFrameBytes)
	return s, nil
}

func checkResponse(resp *http.Response) error {
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

// Cancel cancels a stream, so that the engine frees its resources.
func (c *Caller) Cancel(ctx context.Context, address, id string) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return c.callJSON(ctx, http.MethodDelete, "http://"+address+"/v1/streams/"+id, nil, nil)
}

// Load requests the current load of an endpoint.
func (c *Caller) Load(ctx context.Context, address string) (*report.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var r report.Report
	err := c.callJSON(ctx, http.MethodGet, "http://"+address+"/v1/load", nil, &r)
	return &r, err
}

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Number uint64
	Block  prefix.Block
	Stored bool
}

// CacheEvents holds the changes that an engine still keeps; earlier ones may be
// missing.
type CacheEvents struct {
	// Next is the number of the latest change, from which the next call continues.
	Next   uint64
	Events []CacheEvent
}

// CacheEvents requests the changes of an engine's prefix cache after a number.
func (c *Caller) CacheEvents(ctx context.Context, address string, after uint64) (*CacheEvents, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var e CacheEvents
	err := c.callJSON(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/cache/events?after=%d", address, after), nil, &e)
	return &e, err
}

// ImportRequest asks an engine to copy cache blocks from another.
type ImportRequest struct {
	// Source is IP:port of the engine that holds the blocks.
	Source string
	Blocks []prefix.Block
}

// Import makes an engine copy cache blocks from another engine. It returns when the
// engine has answered, or when ctx ends.
func (c *Caller) Import(ctx context.Context, address string, i *ImportRequest) error {
	return c.callJSON(ctx, http.MethodPost, "http://"+address+"/v1/kv/import", i, nil)
}

// Order sends an engine its desired state.
func (c *Caller) Order(ctx context.Context, address string, o *order.Order) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return c.callJSON(ctx, http.MethodPost, "http://"+address+"/v1/orders", o, nil)
}

func (c *Caller) callJSON(ctx context.Context, method, url string, in, out any) error {
	var payload []byte
	if in != nil {
		payload, _ = json.Marshal(in)
	}
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(payload))
	if err != nil {
		return fmt.Errorf("endpoint: %w", err)
	}
	resp, err := exchange(&c.pooledClient, r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%w %d", ErrStatus, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxFrameBytes)).Decode(out); err != nil {
		return fmt.Errorf("endpoint: %w", err)
	}
	return nil
}

// Stream is an open stream of frames. It is for one goroutine.
type Stream struct {
	id       string
	offset   int
	finished bool
	body     io.Closer
	cancel   context.CancelFunc
	lines    *bufio.Scanner
}

// Next returns the next frame. It returns io.EOF after the end marker, ErrTruncated
// if the stream ends without one, and ErrWrongStream for a frame of another stream
// or if a token is missing before the frame. Frames that repeat a token already
// returned are dropped.
func (s *Stream) Next() (*frame.Frame, error) {
	for s.lines.Scan() {
		data, ok := strings.CutPrefix(s.lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == frame.EndMarker {
			return nil, s.handleEndMarker()
		}
		f := new(frame.Frame)
		if err := json.Unmarshal([]byte(data), f); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrTruncated, err)
		}
		switch {
		case f.ID != s.id || f.Offset > s.offset:
			return nil, ErrWrongStream
		case f.Offset < s.offset || s.finished:
			continue
		}
		if f.Finished() {
			s.finished = true
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

// handleEndMarker accepts the end marker only after a finishing frame: without one, the
// marker may belong to another stream on the same connection.
func (s *Stream) handleEndMarker() error {
	if !s.finished {
		return ErrTruncated
	}
	return io.EOF
}

// Close ends the stream. It closes the connection unless the stream was read to its
// end.
func (s *Stream) Close() {
	s.cancel()
	_ = s.body.Close()
}
