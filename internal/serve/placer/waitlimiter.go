package placer

import (
	"fmt"
	"sync"
)

const (
	// maxWaiting and maxWaitingBytes bound the requests that wait here and their bodies: hosts have
	// 184 MB.
	maxWaiting      = 256
	maxWaitingBytes = 8 << 20
)

// waitLimiter bounds the requests that wait.
type waitLimiter struct {
	mu       sync.Mutex
	requests int
	bytes    int
}

// acquire admits a request with a body of so many bytes, or says why there is no room for it.
func (w *waitLimiter) acquire(bytes int) (reason string, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.requests >= maxWaiting || w.bytes+bytes > maxWaitingBytes {
		return fmt.Sprintf("waiting requests exceed this daemon's limit: %d requests, %d bytes", w.requests, w.bytes), false
	}
	w.requests++
	w.bytes += bytes
	return "", true
}

// release ends the wait of an admitted request.
func (w *waitLimiter) release(bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests--
	w.bytes -= bytes
}
