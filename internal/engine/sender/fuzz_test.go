package sender

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
)

// scriptedConn is a connection to an endpoint that sends some bytes, so many at a time, and then closes.
type scriptedConn struct {
	net.Conn
	rest []byte
	size int
}

func (c *scriptedConn) Write(p []byte) (int, error) { return len(p), nil }
func (c *scriptedConn) Close() error                { return nil }

func (c *scriptedConn) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), c.size)], c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

func (c *scriptedConn) DialContext(context.Context, string, string) (net.Conn, error) { return c, nil }

// FuzzResponse checks that any bytes of an endpoint are a response or an error of this package, that a response is a
// final one of the request, that its error quotes nothing, and that no more of its body is read than came.
func FuzzResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\nxHTTP/1.0 500 F\r\nRequest-Id: r\r\n\r\nuntil the close",
		"HTTP/1.1 101 Switching\r\n\r\n", "HTTP/1.1 20 \r\n\r\n", "\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
	} {
		f.Add([]byte(text), uint8(7))
	}
	f.Fuzz(func(t *testing.T, sent []byte, size uint8) {
		c := &scriptedConn{rest: sent, size: int(size) + 1}
		x, err := New(Config{Dialer: c}).Send(context.Background(), &Request{
			Address: "10.0.0.1:80", Method: http.MethodPost, Target: "/", Host: "h", Body: []byte("q"),
			Matches: func(h http.Header) bool { return h.Get("Request-Id") == "r" },
		})
		if err != nil {
			if !errors.Is(err, ErrNoResponse) && !errors.Is(err, ErrBadResponse) || len(err.Error()) > maxErrorBytes {
				t.Fatalf("error %v", err)
			}
			return
		}
		defer x.Close()
		if x.Status < http.StatusOK || x.Status > maxStatus || x.Header.Get("Request-Id") != "r" {
			t.Fatalf("status %d, %v", x.Status, x.Header)
		}
		var body bytes.Buffer
		if _, err := body.ReadFrom(x.Body); err == nil && x.Length >= 0 && int64(body.Len()) != x.Length || body.Len() > len(sent) {
			t.Fatalf("%d bytes of %d, %d were sent", body.Len(), x.Length, len(sent))
		}
	})
}
