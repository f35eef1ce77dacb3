package sender

import (
	"bytes"
	"context"
	"errors"
	"net"
	"testing"

	"pgregory.net/rapid"
)

// endlessConn is a connection to an endpoint that sends head, and then repeated without an end. It counts
// the bytes that were read from it.
type endlessConn struct {
	net.Conn
	head, repeated []byte
	// most bounds the bytes that one call of Read returns.
	most, taken int
}

func (e *endlessConn) Write(p []byte) (int, error) { return len(p), nil }
func (e *endlessConn) Close() error                { return nil }

func (e *endlessConn) Read(p []byte) (int, error) {
	n := min(len(p), e.most)
	for i := range n {
		if at := e.taken + i; at < len(e.head) {
			p[i] = e.head[at]
		} else {
			p[i] = e.repeated[(at-len(e.head))%len(e.repeated)]
		}
	}
	e.taken += n
	return n, nil
}

func (e *endlessConn) DialContext(context.Context, string, string) (net.Conn, error) { return e, nil }

// maxErrorBytes is the length of the longest error, which goes into log lines and answers.
const maxErrorBytes = 200

// Guards against the head of a response that has no end and takes the memory of the daemon, and against an
// error that quotes it.
func TestEndlessHeadIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &endlessConn{
			head: []byte(rapid.SampledFrom([]string{
				"", "HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nName", "HTTP/1.1 200 OK\r\nName: ", "HTTP/1.1 200 OK\r\nContent-Length: 1",
			}).Draw(t, "head")),
			// Without an empty line, which would end the head.
			repeated: bytes.ReplaceAll([]byte(rapid.StringMatching(`([ -~]{1,40}(\r?\n )?|[A-Za-z]{1,9}: [a-z]{0,30}\r\n)`).Draw(t, "repeated")), []byte("\n\n"), []byte("\n")),
			most:     rapid.SampledFrom([]int{1, 7, 1000, 1 << 20}).Draw(t, "most"),
		}
		_, err := New(Config{Dialer: e}).Send(context.Background(), testRequest("10.0.0.1:80", "r"))
		if !errors.Is(err, ErrBadResponse) {
			t.Fatalf("error %v", err)
		}
		if e.taken > maxHeadBytes || len(err.Error()) > maxErrorBytes {
			t.Fatalf("%d bytes taken, %d bytes of error", e.taken, len(err.Error()))
		}
	})
}

// Guards against the body of a response to another request that is read for as long as bytes come.
func TestEndlessResponseToAnotherRequestIsBounded(t *testing.T) {
	e := &endlessConn{head: []byte("HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n"), repeated: []byte("x"), most: 1 << 20}
	if _, err := New(Config{Dialer: e}).Send(context.Background(), testRequest("10.0.0.1:80", "r")); !errors.Is(err, ErrBadResponse) {
		t.Errorf("error %v", err)
	}
	if most := maxSkippedBytes + 2*readBufferBytes; e.taken > most {
		t.Errorf("%d bytes taken, want %d at most", e.taken, most)
	}
}
