package sender

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// errInvalidRequest means that a request can't be sent as it is: a part of its head would end that part early.
var errInvalidRequest = errors.New("invalid request")

// ownHeaders are the headers that encode writes itself. The body is sent with its length.
var ownHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// copiedBytes is the length up to which a body is copied behind its head, so that both leave in one write.
const copiedBytes = 16 << 10

// message is an encoded request. A large body is not part of head.
type message struct {
	head bytes.Buffer
	body []byte
}

// WriteTo writes the message. n is the number of bytes that were accepted.
func (m *message) WriteTo(w io.Writer) (n int64, err error) {
	n, err = m.head.WriteTo(w)
	if err != nil || len(m.body) == 0 {
		return n, err
	}
	more, err := w.Write(m.body)
	return n + int64(more), err
}

// encode returns the bytes of a request.
func encode(req *Request) (*message, error) {
	for _, part := range []string{req.Method, req.Target, req.Host} {
		if strings.ContainsFunc(part, isSeparator) {
			return nil, fmt.Errorf("%w: %q", errInvalidRequest, part)
		}
	}
	if req.Method == "" || req.Target == "" {
		return nil, fmt.Errorf("%w: the method or the target is missing", errInvalidRequest)
	}
	m := &message{body: req.Body}
	m.head.Grow(min(len(req.Body), copiedBytes) + readBufferBytes)
	fmt.Fprintf(&m.head, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.Target, req.Host)
	if len(req.Body) > 0 || expectsBody(req.Method) {
		fmt.Fprintf(&m.head, "Content-Length: %d\r\n", len(req.Body))
	}
	if err := req.Header.WriteSubset(&m.head, ownHeaders); err != nil {
		return nil, fmt.Errorf("sender: %w", err)
	}
	m.head.WriteString("\r\n")
	if len(m.body) <= copiedBytes {
		m.head.Write(m.body)
		m.body = nil
	}
	return m, nil
}

// isSeparator reports whether a character ends a part of a request line or a header.
func isSeparator(r rune) bool { return r <= ' ' || r == '\x7f' }

// expectsBody reports whether requests with a method state the length of an empty body (RFC 9110, 8.6).
func expectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
