package sender

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"brasschute/internal/standin/hosting"
)

func newSender(t *testing.T) (*Sender, *atomic.Int32) {
	t.Helper()
	opened := new(atomic.Int32)
	return New(Config{Dialer: &net.Dialer{}, OnConnect: func() { opened.Add(1) }}), opened
}

func serve(t *testing.T, e *hosting.Engine) string {
	t.Helper()
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func testRequest(address, id string) *Request {
	return &Request{
		Address: address, Method: http.MethodPost, Target: "/x/a%2Fb?c=%20", Host: "desk.example", Body: []byte("body"),
		Header:  http.Header{"Request-Id": {id}},
		Matches: func(h http.Header) bool { return h.Get("Request-Id") == id },
	}
}

func sendAndRead(t *testing.T, s *Sender, req *Request) (string, error) {
	t.Helper()
	x, err := s.Send(t.Context(), req)
	if err != nil {
		return "", err
	}
	defer x.Close()
	body, err := io.ReadAll(x.Body)
	return string(body), err
}

func TestSend(t *testing.T) {
	e := hosting.NewEngine(hosting.Config{ID: "i-1"})
	s, opened := newSender(t)
	address := serve(t, e)
	for range 5 {
		if body, err := sendAndRead(t, s, testRequest(address, "r-1")); err != nil || body != e.AnswerBody() {
			t.Fatalf("%q, %v", body, err)
		}
	}
	run := e.Executions()[0]
	if run.Target != "/x/a%2Fb?c=%20" || run.Body != "body" || run.Header.Get("User-Agent") != "" {
		t.Errorf("run %+v", run)
	}
	if n := opened.Load(); n != 1 {
		t.Errorf("%d connections for 5 requests in a row", n)
	}
}

// An engine closes an idle connection. A request sent on it would be lost without a
// response, and a request that is not idempotent could not be sent again. The sender must
// notice the close before it sends, and open another connection.
func TestClosedConnectionsAreNotReused(t *testing.T) {
	e := hosting.NewEngine(hosting.Config{ID: "i-1"})
	server := httptest.NewServer(e)
	defer server.Close()
	s, opened := newSender(t)
	address := server.Listener.Addr().String()
	if _, err := sendAndRead(t, s, testRequest(address, "r-1")); err != nil {
		t.Fatal(err)
	}
	server.CloseClientConnections()
	for range 20 {
		if _, err := sendAndRead(t, s, testRequest(address, "r-2")); err != nil {
			t.Fatalf("after the close: %v", err)
		}
	}
	if n := opened.Load(); n != 2 {
		t.Errorf("%d connections", n)
	}
}

func TestSendErrors(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unused := closed.Addr().String()
	_ = closed.Close()
	s, _ := newSender(t)
	if _, err := sendAndRead(t, s, testRequest(unused, "r")); !errors.Is(err, ErrUnsent) {
		t.Errorf("connection refused: %v", err)
	}
	dropping := hosting.NewEngine(hosting.Config{ID: "i-1"})
	dropping.SetBehaviour(func(*http.Request) hosting.Behaviour { return hosting.CloseUnanswered })
	if _, err := sendAndRead(t, s, testRequest(serve(t, dropping), "r")); !errors.Is(err, ErrNoResponse) {
		t.Errorf("no answer: %v", err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4096))
			_, _ = io.WriteString(c, "these bytes are no answer\r\n\r\n")
			_ = c.Close()
		}
	}()
	if _, err := sendAndRead(t, s, testRequest(l.Addr().String(), "r")); !errors.Is(err, ErrBadResponse) {
		t.Errorf("no HTTP: %v", err)
	}
}

// blockingDialer opens connections only after proceed is closed.
type blockingDialer struct{ proceed chan struct{} }

func (d *blockingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	<-d.proceed
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// An engine is chosen and begins to leave while the connection to it is being
// established. The request must not be sent to it any more.
func TestLeavingWhileConnecting(t *testing.T) {
	e := hosting.NewEngine(hosting.Config{ID: "i-1"})
	d := &blockingDialer{proceed: make(chan struct{})}
	s := New(Config{Dialer: d})
	var leaving atomic.Bool
	m := testRequest(serve(t, e), "r-1")
	m.Ready = func() bool { return !leaving.Load() }
	done := make(chan error, 1)
	go func() {
		_, err := s.Send(context.Background(), m)
		done <- err
	}()
	leaving.Store(true)
	close(d.proceed)
	if err := <-done; !errors.Is(err, ErrCanceled) {
		t.Errorf("error %v", err)
	}
	if n := e.Received(); n != 0 {
		t.Errorf("%d requests reached the leaving engine", n)
	}
}

func TestPrune(t *testing.T) {
	e := hosting.NewEngine(hosting.Config{ID: "i-1"})
	s, opened := newSender(t)
	address := serve(t, e)
	for _, listed := range []bool{true, false} {
		if _, err := sendAndRead(t, s, testRequest(address, "r")); err != nil {
			t.Fatal(err)
		}
		s.Prune(func(string) bool { return listed })
	}
	if _, err := sendAndRead(t, s, testRequest(address, "r")); err != nil {
		t.Fatal(err)
	}
	if n := opened.Load(); n != 2 {
		t.Errorf("%d connections, want the second one after the address was no longer listed", n)
	}
}

func BenchmarkSend(b *testing.B) {
	e := hosting.NewEngine(hosting.Config{ID: "i-1"})
	server := httptest.NewServer(e)
	defer server.Close()
	s := New(Config{Dialer: &net.Dialer{Timeout: time.Second}})
	m := testRequest(server.Listener.Addr().String(), "r")
	m.Body = []byte(strings.Repeat("x", 17_000))
	b.ReportAllocs()
	for b.Loop() {
		x, err := s.Send(context.Background(), m)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, x.Body)
		x.Close()
	}
}

// Guards against a connection that could not be opened and looks as if a request might have been sent
// on it, and against one that is opened in advance and not used.
func TestConnect(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unused := closed.Addr().String()
	_ = closed.Close()
	s, opened := newSender(t)
	if err := s.Connect(t.Context(), unused); !errors.Is(err, ErrRefusedConnection) || !errors.Is(err, ErrUnsent) {
		t.Errorf("connection refused: %v", err)
	}
	address := serve(t, hosting.NewEngine(hosting.Config{ID: "i-1"}))
	if err := s.Connect(t.Context(), address); err != nil {
		t.Fatal(err)
	}
	if _, err := sendAndRead(t, s, testRequest(address, "r-1")); err != nil || opened.Load() != 1 {
		t.Errorf("%v with %d connections", err, opened.Load())
	}
}

// Guards against an interim response, or one with a status that is none, that is taken for the answer.
func TestOnlyFinalResponsesAreAnswers(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 5\r\n\r\nwhole"
	for _, c := range []struct {
		name, response string
		ok             bool
	}{
		{"processing", "HTTP/1.1 102 Processing\r\n\r\n" + final, true},
		{"several", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\nContent-Length: 9\r\n\r\n" + final, true},
		{"too many", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInterim+1) + final, false},
		{"interim alone", "HTTP/1.1 102 Processing\r\n\r\n", false},
		{"other protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n" + final, false},
		{"no status", "HTTP/1.1 042 Odd\r\nContent-Length: 0\r\n\r\n" + final, false},
		{"status zero", "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n", false},
		{"too high a status", "HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n", false},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = io.WriteString(conn, c.response)
			_ = conn.Close()
		}()
		s, _ := newSender(t)
		m := testRequest(l.Addr().String(), "r")
		// A response need not name its request.
		m.Matches = func(h http.Header) bool { return h.Get("Request-Id") != "other" }
		body, err := sendAndRead(t, s, m)
		if c.ok && (err != nil || body != "whole") || !c.ok && !errors.Is(err, ErrBadResponse) {
			t.Errorf("%s: %q, %v", c.name, body, err)
		}
	}
}
