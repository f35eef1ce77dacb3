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

// waitingRoom counts the requests that wait.
type waitingRoom struct {
	mu       sync.Mutex
	requests int
	bytes    int
}

// enter admits a request with a body of so many bytes, or says why there is no room for it.
func (w *waitingRoom) enter(bytes int) (reason string, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.requests >= maxWaiting || w.bytes+bytes > maxWaitingBytes {
		return fmt.Sprintf("too much waits at this daemon: %d requests, %d bytes", w.requests, w.bytes), false
	}
	w.requests++
	w.bytes += bytes
	return "", true
}

// leave ends the wait of an admitted request.
func (w *waitingRoom) leave(bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests--
	w.bytes -= bytes
}
