// Package throttler bounds the bytes of large answers that a daemon sends at once.
//
// # Why
//
// When a large configuration changes, dozens of daemons ask the first one that has it.
// If all are served together, each gets a fiftieth of the link, none is done within
// seconds, and the answers to callers wait behind them. If only so many are served as
// the link carries in [burst], those are done soon and serve others in their turn, so
// the holders double with each step.
//
// # Usage
//
//	t := throttler.New(throttler.Config{BytesPerSecond: 1.25e6})
//	handler = t.Handler(handler) // what was admitted counts until the answer is written
//	if !t.Admit(ctx, len(answer)) { say that the daemon is busy }
package throttler

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// burst is how long the link may be taken by what was admitted: a sixth of the
	// three seconds within which a configuration has to be in force, so that several
	// steps from daemon to daemon fit in.
	burst = 500 * time.Millisecond
	// firstRate is that of the narrowest link of a host known, 10 Mbit/s; it stands in
	// where the settings name none.
	firstRate = 1.25e6
	// small answers always go out: changes of a few endpoints must not wait.
	small = 16 << 10
)

// Config describes the link.
type Config struct {
	// BytesPerSecond is the rate of the host's link; 0 if not known.
	BytesPerSecond float64
}

// Throttler admits answers. It is safe for concurrent use.
type Throttler struct {
	limit int

	mu      sync.Mutex
	sending int
}

// New returns a throttler that has admitted nothing.
func New(c Config) *Throttler {
	if c.BytesPerSecond <= 0 {
		c.BytesPerSecond = firstRate
	}
	return &Throttler{limit: int(c.BytesPerSecond * burst.Seconds())}
}

type answerKey struct{}

// answer is what was admitted for one call.
type answer struct{ bytes int }

// Handler lets a handler admit its answers, which count until they are written.
func (t *Throttler) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := new(answer)
		defer t.done(a)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), answerKey{}, a)))
	})
}

// Admit tells whether an answer of so many bytes may be sent now. One that is larger
// than the limit goes out when nothing else does.
func (t *Throttler) Admit(ctx context.Context, bytes int) bool {
	a, ok := ctx.Value(answerKey{}).(*answer)
	if !ok || bytes <= small {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sending > 0 && t.sending+bytes > t.limit {
		return false
	}
	t.sending += bytes
	a.bytes += bytes
	return true
}

func (t *Throttler) done(a *answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sending -= a.bytes
}
