package sender

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// errInvalidRequest means that a request can't be sent as it is: a part of its head would end that part early.
var errInvalidRequest = errors.New("invalid request")

// ownHeaders are the headers that encode writes itself. The body is sent with its length.
var ownHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// encode returns the bytes of a request.
func encode(req *Request) (*bytes.Buffer, error) {
	for _, part := range []string{req.Method, req.Target, req.Host} {
		if strings.ContainsFunc(part, isSeparator) {
			return nil, fmt.Errorf("%w: %q", errInvalidRequest, part)
		}
	}
	if req.Method == "" || req.Target == "" {
		return nil, fmt.Errorf("%w: the method or the target is missing", errInvalidRequest)
	}
	message := bytes.NewBuffer(make([]byte, 0, len(req.Body)+readBufferBytes))
	fmt.Fprintf(message, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.Target, req.Host)
	if len(req.Body) > 0 || expectsBody(req.Method) {
		fmt.Fprintf(message, "Content-Length: %d\r\n", len(req.Body))
	}
	if err := req.Header.WriteSubset(message, ownHeaders); err != nil {
		return nil, fmt.Errorf("sender: %w", err)
	}
	message.WriteString("\r\n")
	message.Write(req.Body)
	return message, nil
}

// isSeparator reports whether a character ends a part of a request line or a header.
func isSeparator(r rune) bool { return r <= ' ' || r == '\x7f' }

// expectsBody reports whether requests with a method state the length of an empty body (RFC 9110, 8.6).
func expectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
