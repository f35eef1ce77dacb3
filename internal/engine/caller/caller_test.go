package caller

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// serveConnections listens, handles each connection with the given function, and returns
// the address.
func serveConnections(t *testing.T, handle func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go handle(c)
		}
	}()
	return l.Addr().String()
}

func resetConnection(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func TestAttemptStates(t *testing.T) {
	// The answer to a client depends on how far an attempt got. If the endpoint may have
	// read a byte, the state must never be "unsent".
	closed := func() string {
		l, _ := net.Listen("tcp", "127.0.0.1:0")
		defer l.Close()
		return l.Addr().String()
	}()
	read := make(chan bool, 4)
	cases := []struct {
		name    string
		address string
		want    State
	}{
		{"connection refused", closed, Unsent},
		{"reset after reading", serveConnections(t, func(c net.Conn) {
			_, _ = io.ReadFull(c, make([]byte, 1))
			read <- true
			resetConnection(c)
		}), MaybeSent},
		{"closed without an answer", serveConnections(t, func(c net.Conn) {
			_, _ = io.ReadFull(c, make([]byte, 1))
			_ = c.Close()
		}), MaybeSent},
		{"answered", serveConnections(t, func(c net.Conn) {
			_, _ = io.ReadFull(c, make([]byte, 1))
			_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
		}), Answered},
	}
	for _, c := range cases {
		for _, atMostOnce := range []bool{true, false} {
			t.Run(c.name, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address, http.NoBody)
				if err != nil {
					t.Fatal(err)
				}
				// The transport treats this header as permission to repeat.
				r.Header.Set("Idempotency-Key", "k")
				var a Attempt
				resp, err := New(Config{}).Do(r, []byte("body"), atMostOnce, &a)
				if err == nil {
					_ = resp.Body.Close()
				}
				if a.State() != c.want {
					t.Errorf("atMostOnce %t: %s, error %v", atMostOnce, a.State(), err)
				}
			})
		}
	}
	if len(read) == 0 {
		t.Error("nothing was read")
	}
}

func TestAtMostOnceCallIsNotRepeatedByTransport(t *testing.T) {
	// An endpoint answers the first call and keeps the connection. It reads the second
	// call and resets the connection. The transport would by itself send the call again
	// on a new connection, and it would run twice.
	calls := make(chan bool, 10)
	first := true
	address := serveConnections(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			calls <- true
			if !first {
				resetConnection(c)
				return
			}
			first = false
			_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n")
		}
	})
	c := New(Config{})
	for range 2 {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Idempotency-Key", "k")
		var a Attempt
		if resp, err := c.Do(r, []byte("body"), true, &a); err == nil {
			_ = resp.Body.Close()
		}
	}
	if n := len(calls); n != 2 {
		t.Errorf("%d calls reached the endpoint, want 2", n)
	}
}

// Guards against an order or an import that counts as done because of an answer whose status is none.
func TestCallsWithoutAStatusHaveFailed(t *testing.T) {
	for _, line := range []string{"000 OK", "099 OK", "+20 OK", "101 Switching Protocols", "600 OK", "999 OK"} {
		address := serveConnections(t, func(c net.Conn) {
			_, _ = c.Read(make([]byte, 4096))
			_, _ = io.WriteString(c, "HTTP/1.1 "+line+"\r\nContent-Length: 2\r\n\r\n{}")
			_ = c.Close()
		})
		if err := New(Config{}).Import(t.Context(), address, &ImportRequest{Source: address}); !errors.Is(err, ErrNoAnswer) {
			t.Errorf("%s: error %v", line, err)
		}
		var a Attempt
		if s, err := New(Config{}).Complete(t.Context(), address, "r", nil, true, &a); !errors.Is(err, ErrNoAnswer) || a.State() != MaybeSent {
			t.Errorf("%s: %v, error %v, %v", line, s, err, a.State())
		}
	}
}
