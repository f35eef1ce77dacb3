package sender

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// earlyAnswer is an answer to an upload that an endpoint may not have read.
type earlyAnswer struct {
	// readBytes is how much of the upload the endpoint reads before it answers, and sentBytes how much of the body it
	// sends, of bodyBytes.
	readBytes, sentBytes, bodyBytes int
	// framing is "none", "length" or "chunks", ending "reset", "in order" or "unread": a close with the rest unread.
	framing, ending string
}

// serve answers one request.
func (e *earlyAnswer) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	r, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, r.Body, int64(e.readBytes))
	text := "HTTP/1.1 200 OK\r\nRequest-Id: r\r\n"
	sent := strings.Repeat("#", e.sentBytes)
	switch e.framing {
	case "length":
		text += fmt.Sprintf("Content-Length: %d\r\n\r\n", e.bodyBytes) + sent
	case "chunks":
		text += "Transfer-Encoding: chunked\r\n\r\n"
		if e.sentBytes > 0 {
			text += fmt.Sprintf("%x\r\n%s\r\n", e.sentBytes, sent)
		}
		if e.sentBytes == e.bodyBytes {
			text += "0\r\n\r\n"
		}
	default:
		text += "\r\n" + sent
	}
	if _, err := io.WriteString(c, text); err != nil {
		return
	}
	switch e.ending {
	case "reset":
		_ = c.SetLinger(0)
	case "in order":
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, in)
	case "unread":
		_ = c.CloseWrite()
	}
}

// isWhole reports whether what the endpoint sends is a whole answer.
func (e *earlyAnswer) isWhole() bool {
	if e.framing == "none" {
		return e.ending != "reset"
	}
	return e.sentBytes == e.bodyBytes
}

// mustArrive reports whether a whole answer must not be lost.
func (e *earlyAnswer) mustArrive() bool { return e.isWhole() && e.ending == "in order" }

// Guards against a part of an answer to an upload that is taken for a whole one, whenever its endpoint breaks it off.
func TestEarlyAnswersAreWholeOrBroken(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	rapid.Check(t, func(t *rapid.T) {
		const kilobyte = 1 << 10
		upload := rapid.SampledFrom([]int{0, 1, 64 * kilobyte, 512 * kilobyte, 4096 * kilobyte}).Draw(t, "upload")
		body := rapid.SampledFrom([]int{1, 4 * kilobyte, 100 * kilobyte}).Draw(t, "body")
		e := &earlyAnswer{
			readBytes: rapid.SampledFrom([]int{0, upload / 2, upload}).Draw(t, "read"), bodyBytes: body,
			sentBytes: rapid.SampledFrom([]int{0, body / 2, body}).Draw(t, "sent"),
			framing:   rapid.SampledFrom([]string{"none", "length", "chunks"}).Draw(t, "framing"),
			ending:    rapid.SampledFrom([]string{"reset", "in order", "unread"}).Draw(t, "ending"),
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			if c, err := l.Accept(); err == nil {
				e.serve(c.(*net.TCPConn))
			}
		}()
		s := New(Config{Dialer: &net.Dialer{}})
		m := testRequest(l.Addr().String(), "r")
		m.Body = make([]byte, upload)
		got, err := sendAndReadAll(s, m)
		s.CloseIdle()
		<-done
		switch {
		case err == nil && (!e.isWhole() || len(got) != e.sentBytes):
			t.Errorf("%+v: %d bytes look whole", e, len(got))
		case err != nil && e.mustArrive():
			t.Errorf("%+v: %v", e, err)
		}
	})
}

// sendAndReadAll sends a request and reads the body of its response to the end.
func sendAndReadAll(s *Sender, m *Request) ([]byte, error) {
	x, err := s.Send(context.Background(), m)
	if err != nil {
		return nil, err
	}
	defer x.Close()
	return io.ReadAll(x.Body)
}
