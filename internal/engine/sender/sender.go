// Package sender sends requests to endpoints over persistent connections and
// reports how far each attempt got.
//
// It replaces http.Transport, which repeats a request by itself if a reused
// connection turns out to be closed, hides whether bytes were sent, and abandons
// an exchange if the next response on the connection belongs to an earlier
// request. The sender writes a request once: [ErrUnsent] and [ErrCanceled] mean
// that the kernel accepted no byte of it, any other error means that the endpoint
// may have received it. Headers are encoded and responses parsed by net/http. The
// request target goes out byte by byte as it came in: net/http's URL would change some.
//
// An endpoint may close an idle connection at any time, and a request sent on it
// is then lost without a response. A connection is therefore reused only within
// half of the keep-alive time that the endpoint grants, and only if nothing has
// arrived on it since: neither a close nor bytes that belong to no request.
//
// An endpoint may send bytes without an end. A connection holds at most [maxHeadBytes]
// of a response's head, and of its body only what the caller reads.
//
// # Usage
//
//	x, err := s.Send(ctx, &sender.Request{Address: "10.1.0.3:8080", ...})
//	defer x.Close()
//	status, header, body := x.Status, x.Header, x.Body
package sender

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Errors of an attempt. Their texts may be part of an answer to a client.
var (
	// ErrUnsent means that no byte of the request was sent.
	ErrUnsent = errors.New("request not sent")
	// ErrRefusedConnection means that the endpoint's host refused the connection: nothing
	// listens at the address. It wraps ErrUnsent.
	ErrRefusedConnection = fmt.Errorf("%w: connection refused", ErrUnsent)
	// ErrCanceled means that Request.Ready returned false once the connection was
	// established. Nothing was sent.
	ErrCanceled = errors.New("request withdrawn before it was sent")
	// ErrNoResponse means that the request may have been received, but no response
	// arrived.
	ErrNoResponse = errors.New("no answer")
	// ErrBadResponse means that the response was malformed or truncated.
	ErrBadResponse = errors.New("answer broken")
)

const (
	// dialTimeout is far above the round-trip time between zones, a few
	// milliseconds, and leaves time for another endpoint within an objective of
	// one second.
	dialTimeout = 300 * time.Millisecond
	// maxIdlePerEndpoint bounds the idle connections to one endpoint. Connections
	// beyond one host's share of an engine's batch would only hold descriptors.
	maxIdlePerEndpoint = 16
	// defaultKeepAlive is assumed for an endpoint that does not state how long it
	// keeps idle connections.
	defaultKeepAlive = 2 * time.Second
	// readBufferBytes holds the header of a response and several events.
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the status line and headers of a response.
	maxHeadBytes = 64 << 10
	// maxInterim is the number of interim responses that may precede a response.
	maxInterim = 100
	// maxStatus is the highest status (RFC 9110, 15).
	maxStatus = 599
	// maxSkippedBytes bounds the body of a response to another request.
	maxSkippedBytes = 1 << 20
	// maxMismatched is the number of responses to other requests that are skipped
	// before the connection is closed.
	maxMismatched = 2
)

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Config holds the sender's dependencies.
type Config struct {
	Dialer Dialer
	// OnConnect is called for each new connection; may be nil.
	OnConnect func()
}

// Request is one request to an endpoint.
type Request struct {
	// Address is IP:port of the endpoint.
	Address string
	Method  string
	// Target is the request target, sent unchanged, and Host the Host header.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Ready is called once the connection is established, right before the first
	// byte is sent. If it returns false, the request is canceled. May be nil.
	Ready func() bool
	// OnConnect is called when a new connection was established for the request. May be nil.
	OnConnect func()
	// Verify is called once the connection is established, before Ready. It may use the connection, and replace it. If it
	// returns false, the request is canceled. May be nil.
	Verify func(context.Context, *Conn) bool
	// Matches reports whether a response with these headers belongs to this
	// request. A response to another request is skipped. If nil, any response
	// matches.
	Matches func(http.Header) bool
	// KeepAlive returns how long the connection may stay idle according to a
	// response's headers, or 0 if they don't say. May be nil.
	KeepAlive func(http.Header) time.Duration
}

// connection is a persistent connection to an endpoint, which keeps it open for
// keepAlive while it is idle.
type connection struct {
	net.Conn
	address string
	// reader reads from limiter, limiter from the connection.
	reader    *bufio.Reader
	limiter   *headLimiter
	openedAt  time.Time
	idleSince time.Time
	keepAlive time.Duration
}

// Sender sends requests and pools idle connections. It is safe for concurrent use.
type Sender struct {
	c Config

	mu   sync.Mutex
	idle map[string][]*connection
}

// New returns a sender without connections.
func New(c Config) *Sender {
	if c.OnConnect == nil {
		c.OnConnect = func() {}
	}
	return &Sender{c: c, idle: make(map[string][]*connection)}
}

// Response is a response whose body has not been read yet. The caller must call
// Close.
type Response struct {
	Status int
	Header http.Header
	// Length is the stated length of the body in bytes, negative if none is stated.
	Length int64
	// Body returns io.EOF only after the whole body: if the endpoint marked its
	// end, or closed the connection of a response without a stated length.
	Body io.ReadCloser

	sender     *Sender
	conn       *connection
	stopCancel func() bool
	bodyRead   bool
	reusable   bool
}

// Send writes one request and reads the status and headers of its response. When
// ctx ends, the connection is closed, which makes the endpoint abort the request.
// The error wraps one of those declared in this package.
func (s *Sender) Send(ctx context.Context, req *Request) (*Response, error) {
	message, err := encode(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	l, err := s.connect(ctx, req.Address, req.OnConnect)
	if err != nil {
		return nil, err
	}
	if req.Verify != nil {
		c := &Conn{sender: s, connection: l, onConnect: req.OnConnect}
		verified := req.Verify(ctx, c)
		if l = c.connection; !verified {
			_ = l.Close()
			return nil, ErrCanceled
		}
	}
	if req.Ready != nil && !req.Ready() {
		_ = l.Close()
		return nil, ErrCanceled
	}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	if n, err := message.WriteTo(l); err != nil {
		stop()
		_ = l.Close()
		if n == 0 {
			return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	x, err := s.readResponse(l, req)
	if err != nil {
		stop()
		_ = l.Close()
		return nil, err
	}
	x.stopCancel = stop
	return x, nil
}

func (s *Sender) readResponse(l *connection, req *Request) (*Response, error) {
	// The method tells which responses have no body.
	r := &http.Request{Method: req.Method}
	for range maxMismatched + 1 {
		resp, err := l.readHead(r) //nolint:bodyclose // Response.Close ends it
		if err != nil {
			return nil, err
		}
		if req.Matches == nil || req.Matches(resp.Header) {
			x := &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, sender: s, conn: l, reusable: !resp.Close}
			x.Body = &body{ReadCloser: resp.Body, x: x}
			l.keepAlive = defaultKeepAlive
			if req.KeepAlive != nil {
				if keep := req.KeepAlive(resp.Header); keep > 0 {
					l.keepAlive = keep
				}
			}
			return x, nil
		}
		// A second response to an earlier request arrived in place of this one's.
		if !skip(resp.Body) || resp.Close {
			break
		}
	}
	return nil, fmt.Errorf("%w: an answer to another request", ErrBadResponse)
}

// readHead reads the status line and headers of the next response on a connection. Interim responses may
// precede it (RFC 9110, 15.2) and count towards its length.
func (l *connection) readHead(r *http.Request) (*http.Response, error) {
	l.limiter.begin()
	defer l.limiter.end()
	if _, err := l.reader.Peek(1); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	for range maxInterim + 1 {
		resp, err := http.ReadResponse(l.reader, r)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrBadResponse, headError(err))
		}
		switch status := resp.StatusCode; {
		case status >= http.StatusOK && status <= maxStatus:
			return resp, nil
		case status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols:
			return nil, fmt.Errorf("%w: status %d", ErrBadResponse, status)
		}
	}
	return nil, fmt.Errorf("%w: over %d interim responses", ErrBadResponse, maxInterim)
}

// headError returns the error of a head that can't be read. That of net/http quotes the endpoint's bytes, which
// belong in no log line and in no answer.
func headError(err error) error {
	var network *net.OpError
	if errors.Is(err, errHeadTooLong) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) {
		return err
	}
	return errMalformedHead
}

// skip reads a body and reports whether it ended within [maxSkippedBytes].
func skip(body io.Reader) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBytes+1))
	return err == nil && n <= maxSkippedBytes
}

// Connect opens a connection to an address and keeps it for later requests. The error wraps
// [ErrUnsent].
func (s *Sender) Connect(ctx context.Context, address string) error {
	l, err := s.dial(ctx, address)
	if err != nil {
		return err
	}
	l.keepAlive = defaultKeepAlive
	s.putIdle(l)
	return nil
}

// connect returns an idle connection that can be reused, or a new one. onConnect is called for a new
// one; may be nil.
func (s *Sender) connect(ctx context.Context, address string, onConnect func()) (*connection, error) {
	for {
		l := s.takeIdle(address)
		if l == nil {
			break
		}
		if l.isReusable() {
			return l, nil
		}
		_ = l.Close()
	}
	l, err := s.dial(ctx, address)
	if err == nil && onConnect != nil {
		onConnect()
	}
	return l, err
}

// dial opens a connection. The error wraps [ErrUnsent].
func (s *Sender) dial(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := s.c.Dialer.DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, fmt.Errorf("%w: %w", ErrRefusedConnection, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	s.c.OnConnect()
	limiter := &headLimiter{r: conn}
	return &connection{Conn: conn, address: address, reader: bufio.NewReaderSize(limiter, readBufferBytes), limiter: limiter, openedAt: time.Now()}, nil
}

func (s *Sender) takeIdle(address string) *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.idle[address]
	if len(list) == 0 {
		return nil
	}
	l := list[len(list)-1]
	s.idle[address] = list[:len(list)-1]
	return l
}

// isReusable reports whether an idle connection may carry another request: it has
// not been idle for too long, the other side has not closed it, and no bytes are
// waiting on it.
func (l *connection) isReusable() bool {
	if time.Since(l.idleSince) > l.keepAlive/2 {
		return false
	}
	quiet, known := l.isQuiet()
	return quiet && known
}

// isQuiet reports whether the other side of a connection has neither closed it nor sent anything. known is false if that
// can't be told of this kind of connection, without waiting.
func (l *connection) isQuiet() (quiet, known bool) {
	if l.reader.Buffered() > 0 {
		return false, true
	}
	conn, ok := l.Conn.(syscall.Conn)
	if !ok {
		return true, false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false, true
	}
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet, true
}

func (s *Sender) putIdle(l *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.idleSince = time.Now()
	if len(s.idle[l.address]) >= maxIdlePerEndpoint {
		_ = l.Close()
		return
	}
	s.idle[l.address] = append(s.idle[l.address], l)
}

// IdleAddresses returns the addresses to which there are idle connections.
func (s *Sender) IdleAddresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.idle))
}

// CloseIdle closes all idle connections.
func (s *Sender) CloseIdle() { s.Prune(func(string) bool { return false }) }

// Prune closes connections that have been idle for too long to be reused, and those
// to addresses that are no longer listed.
func (s *Sender) Prune(listed func(address string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, list := range s.idle {
		kept := list[:0]
		for _, l := range list {
			if listed(address) && time.Since(l.idleSince) <= l.keepAlive/2 {
				kept = append(kept, l)
				continue
			}
			_ = l.Close()
		}
		if len(kept) == 0 {
			delete(s.idle, address)
			continue
		}
		s.idle[address] = kept
	}
}

// Close ends the exchange. A connection whose response was read to its end is kept
// for reuse. Any other is closed, so that the rest of its response can't be mistaken
// for part of the next one.
func (x *Response) Close() {
	if x.conn == nil {
		return
	}
	l := x.conn
	x.conn = nil
	stopped := x.stopCancel()
	if x.bodyRead && x.reusable && stopped {
		x.sender.putIdle(l)
		return
	}
	_ = l.Close()
}

// body is the body of a response.
type body struct {
	io.ReadCloser
	x *Response
}

// Read reads the body and records whether it was read to its end.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.x.bodyRead = true
	}
	return n, err
}
