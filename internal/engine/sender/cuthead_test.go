package sender

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
)

// heads are heads of whole answers, by how the end of the body is told.
var heads = map[string]string{
	"length":            "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Stamp: s\r\nContent-Length: 120\r\n\r\n",
	"length first":      "HTTP/1.1 200 OK\r\nContent-Length: 120\r\nRequest-Id: a\r\nResponse-Stamp: s\r\n\r\n",
	"empty":             "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 0\r\nResponse-Stamp: s\r\n\r\n",
	"chunks":            "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\nResponse-Stamp: s\r\n\r\n",
	"end of connection": "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Stamp: s\r\nConnection: close\r\n\r\n",
	"old version":       "HTTP/1.0 200 OK\r\nRequest-Id: a\r\nResponse-Stamp: s\r\n\r\n",
	"folded":            "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Stamp: s\r\n t\r\nConnection: close\r\n\r\n",
	"bare line feeds":   "HTTP/1.1 200 OK\nRequest-Id: a\nResponse-Stamp: s\n\n",
	"after interim":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Stamp: s\r\n\r\n",
}

// serveBytes answers each connection with some bytes and closes it.
func serveBytes(t *testing.T, answer func() string) (address string) {
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
			_, _ = c.Read(make([]byte, 4096))
			_, _ = io.WriteString(c, answer())
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// Guards against an answer that an endpoint stopped in its head, wherever that was, and that is taken for a whole one.
func TestAnswerCutInItsHeadIsNone(t *testing.T) {
	s := New(Config{Dialer: new(net.Dialer)})
	cut := ""
	address := serveBytes(t, func() string { return cut })
	for name, head := range heads {
		for n := range len(head) {
			cut = head[:n]
			x, err := s.Send(context.Background(), &Request{Address: address, Method: "GET", Target: "/", Host: "h"})
			if err == nil {
				body, err := io.ReadAll(x.Body)
				t.Errorf("%s, %d bytes of %d, %q: status %d, body %q, %v", name, n, len(head), cut[max(0, n-10):], x.Status, body, err)
				x.Close()
				continue
			}
			if !errors.Is(err, ErrBadResponse) && !errors.Is(err, ErrNoResponse) {
				t.Errorf("%s, %d bytes: %v", name, n, err)
			}
		}
	}
}

// Guards against a body that ends early and looks whole, where its end is told.
func TestBodyCutIsNotWhole(t *testing.T) {
	s := New(Config{Dialer: new(net.Dialer)})
	cut := ""
	address := serveBytes(t, func() string { return cut })
	for _, whole := range []string{
		heads["length"] + strings.Repeat("x", 120),
		heads["chunks"] + "5\r\nabcde\r\n3;a=b\r\nfgh\r\n0\r\n\r\n",
		heads["chunks"] + "5\r\nabcde\r\n0\r\nTrailer: t\r\n\r\n",
	} {
		head := strings.Index(whole, "\r\n\r\n") + len("\r\n\r\n")
		for n := head; n < len(whole); n++ {
			cut = whole[:n]
			x, err := s.Send(context.Background(), &Request{Address: address, Method: "GET", Target: "/", Host: "h"})
			if err != nil {
				t.Errorf("%d bytes: %v", n, err)
				continue
			}
			if body, err := io.ReadAll(x.Body); err == nil {
				t.Errorf("%d bytes of %d: body %q is taken for whole", n, len(whole), body)
			}
			x.Close()
		}
	}
}
