// Package throttler bounds the bytes of large answers that a daemon sends at the same time.
//
// When a large configuration changes, dozens of daemons ask the first one that has it. If all
// were served at the same time, each would get a fiftieth of the link, none would be done within
// seconds, and the answers to clients would wait behind them. If only as many are served as the
// link carries in [burstTime], these are done soon and serve others in turn, so the daemons that
// have it double with each step.
//
// # Usage
//
//	t := throttler.New(throttler.Config{BytesPerSecond: 1.25e6})
//	handler = t.Handler(handler) // admitted bytes count until the answer is written
//	if !t.Admit(ctx, len(answer)) { reply that the daemon is busy }
package throttler

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// burstTime is how long the admitted answers may occupy the link: a sixth of the 3 s within
	// which a configuration has to be in force, so that several steps from daemon to daemon fit
	// in.
	burstTime = 500 * time.Millisecond
	// defaultBytesPerSecond is the rate of the narrowest link of any known host, 10 Mbit/s. It
	// applies where the settings name none.
	defaultBytesPerSecond = 1.25e6
	// exemptBytes is the size up to which answers are always admitted: changes of a few
	// endpoints must not wait.
	exemptBytes = 16 << 10
)

// Config describes the link.
type Config struct {
	// BytesPerSecond is the rate of the host's link; 1.25e6 if zero or negative.
	BytesPerSecond float64
}

// Throttler admits answers. It is safe for concurrent use.
type Throttler struct {
	maxSendingBytes int

	mu           sync.Mutex
	sendingBytes int
}

// New returns a throttler that has admitted no answer.
func New(c Config) *Throttler {
	if c.BytesPerSecond <= 0 {
		c.BytesPerSecond = defaultBytesPerSecond
	}
	return &Throttler{maxSendingBytes: int(c.BytesPerSecond * burstTime.Seconds())}
}

type answerKey struct{}

// answer counts the bytes admitted for one call.
type answer struct{ bytes int }

// Handler returns a handler whose calls may use Admit. Admitted bytes count until next returns.
func (t *Throttler) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := new(answer)
		defer t.release(a)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), answerKey{}, a)))
	})
}

// Admit reports whether an answer of that many bytes may be sent now. An answer larger than the
// limit is admitted when no other one is being sent. Outside of a call of [Throttler.Handler]
// all are admitted and not counted.
func (t *Throttler) Admit(ctx context.Context, bytes int) bool {
	a, ok := ctx.Value(answerKey{}).(*answer)
	if !ok || bytes <= exemptBytes {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sendingBytes > 0 && t.sendingBytes+bytes > t.maxSendingBytes {
		return false
	}
	t.sendingBytes += bytes
	a.bytes += bytes
	return true
}

// release returns the bytes of a call.
func (t *Throttler) release(a *answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sendingBytes -= a.bytes
}
