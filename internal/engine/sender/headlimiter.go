package sender

import (
	"errors"
	"fmt"
	"io"
)

// Errors of the head of a response.
var (
	// errHeadTooLong means that it exceeds [maxHeadBytes].
	errHeadTooLong = fmt.Errorf("head of over %d bytes", maxHeadBytes)
	// errMalformedHead means that it is no head of a response.
	errMalformedHead = errors.New("malformed head")
)

// headLimiter reads from a connection. While a head is read, it fails once the connection has brought more
// than [maxHeadBytes]: net/http collects a line until it ends.
type headLimiter struct {
	r io.Reader
	// inHead is set while a head is read, left is what it may still take.
	inHead bool
	left   int
}

// begin begins a head, end ends it.
func (h *headLimiter) begin() { h.inHead, h.left = true, maxHeadBytes }
func (h *headLimiter) end()   { h.inHead = false }

// Read reads from the connection.
func (h *headLimiter) Read(p []byte) (int, error) {
	if !h.inHead {
		return h.r.Read(p)
	}
	if h.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := h.r.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}
