// Package sender sends requests to endpoints over kept connections and says how
// far each attempt got.
//
// # Why not the standard transport
//
// The standard transport repeats a request by itself when a kept connection
// turns out to be closed, hides whether bytes have left, and gives up an
// exchange whose next answer belongs to an earlier request. Here a request is
// written once; [ErrUnsent] means that no byte of it was taken by the kernel,
// every other error that the endpoint may have it. Messages are still written
// and read by net/http.
//
// # Kept connections
//
// An endpoint may close an idle connection at any time, and what is sent then
// is lost without an answer. So a connection is used again only within half of
// the time that the endpoint grants, and only if nothing has arrived on it
// since: neither its end nor bytes that belong to no request.
//
// # Usage
//
//	x, err := s.Send(ctx, &sender.Message{Address: "10.1.0.3:8080", ...})
//	defer x.Close()
//	status, header, body := x.Status, x.Header, x.Body
package sender

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"
)

// Errors of an attempt.
var (
	// ErrUnsent: no byte of the request left this host.
	ErrUnsent = errors.New("request not sent")
	// ErrCanceled: the request was not to be sent any more once the connection
	// stood; nothing left this host.
	ErrCanceled = errors.New("request withdrawn before it was sent")
	// ErrNoResponse: the request may have been received, and no answer came.
	ErrNoResponse = errors.New("no answer")
	// ErrBadResponse: the answer was not understood, or ended early.
	ErrBadResponse = errors.New("answer broken")
)

const (
	// dialTimeout is far above the round trip between zones (a few
	// milliseconds) and leaves time for another endpoint within an objective of a
	// second.
	dialTimeout = 300 * time.Millisecond
	// maxIdle is how many idle connections are kept to one endpoint; more than
	// a batch's share of one host would only hold descriptors.
	maxIdle = 16
	// defaultKeep is assumed when an endpoint does not say how long it keeps
	// idle connections.
	defaultKeep = 2 * time.Second
	// readBuffer fits the head of an answer and several events.
	readBuffer = 4 << 10
	// maxStray is the number of answers to other requests that are skipped
	// before the connection is given up.
	maxStray = 2
)

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Config names the sender's collaborators.
type Config struct {
	Dialer Dialer
	// OnConnect is told of each new connection; may be nil.
	OnConnect func()
}

// Message is one request as it goes out.
type Message struct {
	Address string
	Method  string
	Target  string
	Host    string
	Header  http.Header
	Body    []byte
	// Ready is asked right before the first byte goes out, after the time that
	// a connection takes; nil for always.
	Ready func() bool
	// Matches tells whether an answer's headers belong to this request; an answer
	// to another one is skipped. Nil for any.
	Matches func(http.Header) bool
	// KeepAlive reads from an answer how long the connection may stay idle.
	KeepAlive func(http.Header) time.Duration
}

type link struct {
	net.Conn
	address string
	reader  *bufio.Reader
	idle    time.Time
	keep    time.Duration
}

// Sender keeps connections to endpoints. It is safe for concurrent use.
type Sender struct {
	c Config

	mu   sync.Mutex
	idle map[string][]*link
}

// New returns a sender without connections.
func New(c Config) *Sender {
	if c.OnConnect == nil {
		c.OnConnect = func() {}
	}
	return &Sender{c: c, idle: make(map[string][]*link)}
}

// Exchange is an answer whose body is still to be read.
type Exchange struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if the endpoint marked its end, or closed a
	// connection that carries an answer of no stated length.
	Body io.ReadCloser

	s     *Sender
	l     *link
	stop  func() bool
	whole bool
	keep  bool
}

// Send writes one request and reads the head of its answer. When ctx ends the
// connection is closed, which makes the endpoint drop the request.
func (s *Sender) Send(ctx context.Context, m *Message) (*Exchange, error) {
	l, err := s.connect(ctx, m.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	if m.Ready != nil && !m.Ready() {
		_ = l.Close()
		return nil, ErrCanceled
	}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	r, err := newRequest(m)
	if err != nil {
		stop()
		_ = l.Close()
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	w := &counter{w: l}
	buffered := bufio.NewWriterSize(w, len(m.Body)+readBuffer)
	err = r.Write(buffered)
	if err == nil {
		err = buffered.Flush()
	}
	if err != nil {
		stop()
		_ = l.Close()
		if w.n == 0 {
			return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	x, err := s.answer(l, r, m)
	if err != nil {
		stop()
		_ = l.Close()
		return nil, err
	}
	x.stop = stop
	return x, nil
}

func (s *Sender) answer(l *link, r *http.Request, m *Message) (*Exchange, error) {
	for range maxStray + 1 {
		if _, err := l.reader.Peek(1); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
		}
		resp, err := http.ReadResponse(l.reader, r) //nolint:bodyclose // Exchange.Close ends it
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrBadResponse, err)
		}
		if m.Matches == nil || m.Matches(resp.Header) {
			x := &Exchange{Status: resp.StatusCode, Header: resp.Header, s: s, l: l, keep: !resp.Close}
			x.Body = &body{ReadCloser: resp.Body, x: x}
			l.keep = defaultKeep
			if m.KeepAlive != nil {
				if keep := m.KeepAlive(resp.Header); keep > 0 {
					l.keep = keep
				}
			}
			return x, nil
		}
		// A second answer to an earlier request stands where this one's is due.
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			break
		}
	}
	return nil, fmt.Errorf("%w: an answer to another request", ErrBadResponse)
}

func newRequest(m *Message) (*http.Request, error) {
	if _, err := url.ParseRequestURI(m.Target); err != nil {
		return nil, fmt.Errorf("target: %w", err)
	}
	// Opaque keeps the target as the client wrote it.
	u := &url.URL{Scheme: "http", Host: m.Host, Opaque: m.Target, RawQuery: ""}
	r := &http.Request{
		Method: m.Method, URL: u, Host: m.Host, Header: m.Header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(m.Body)),
	}
	if len(m.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(m.Body))
	}
	if r.Header.Get("User-Agent") == "" {
		r.Header["User-Agent"] = []string{""}
	}
	return r, nil
}

func (s *Sender) connect(ctx context.Context, address string) (*link, error) {
	for {
		l := s.take(address)
		if l == nil {
			break
		}
		if l.usable() {
			return l, nil
		}
		_ = l.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := s.c.Dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s.c.OnConnect()
	return &link{Conn: conn, address: address, reader: bufio.NewReaderSize(conn, readBuffer)}, nil
}

func (s *Sender) take(address string) *link {
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

// usable tells whether a kept connection may carry a request: not idle for
// long, not closed by the other side, and no bytes waiting on it.
func (l *link) usable() bool {
	if time.Since(l.idle) > l.keep/2 || l.reader.Buffered() > 0 {
		return false
	}
	conn, ok := l.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

func (s *Sender) put(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.idle = time.Now()
	if len(s.idle[l.address]) >= maxIdle {
		_ = l.Close()
		return
	}
	s.idle[l.address] = append(s.idle[l.address], l)
}

// Prune closes connections that have been idle too long to be used again, and
// those to endpoints that are gone.
func (s *Sender) Prune(listed func(address string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, list := range s.idle {
		kept := list[:0]
		for _, l := range list {
			if listed(address) && time.Since(l.idle) <= l.keep/2 {
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

// Close ends the exchange. A connection whose answer was read to its end is
// kept; any other is closed, so that what is left of the answer can't be taken
// for the next one's.
func (x *Exchange) Close() {
	if x.l == nil {
		return
	}
	l := x.l
	x.l = nil
	stopped := x.stop()
	if x.whole && x.keep && stopped {
		x.s.put(l)
		return
	}
	_ = l.Close()
}

type body struct {
	io.ReadCloser
	x *Exchange
}

// Read notes the end of the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.x.whole = true
	}
	return n, err
}

type counter struct {
	w io.Writer
	n int
}

func (c *counter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n += n
	return n, err
}
