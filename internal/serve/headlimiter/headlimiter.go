// Package headlimiter bounds the memory that the heads of requests take while the requests are served.
//
// A head of short headers takes many times its length once it is parsed and the headers to pass on are copied. A head
// that takes more than [longHeadMemory] is therefore reserved (package bufferlimiter); a request without room is
// refused. Ordinary heads reserve nothing.
//
// # Usage
//
//	l := headlimiter.New(headlimiter.Config{TotalBytes: memory / 32, Refuse: refuse})
//	server := http.Server{Handler: l.Handler(next)}
package headlimiter

import (
	"fmt"
	"net/http"

	"brasschute/internal/serve/bufferlimiter"

	"github.com/uber-go/tally/v4"
)

const (
	// headerMemory is what a header takes besides its text, which is held twice: as received and as passed on.
	headerMemory = 160
	// longHeadMemory is the memory from which a head is reserved.
	longHeadMemory = 32 << 10
)

// Config sets the bound.
type Config struct {
	// TotalBytes bounds what long heads take together.
	TotalBytes int64
	// Refuse answers a request without room. The reason has the figures that decided.
	Refuse func(w http.ResponseWriter, r *http.Request, reason string)
	// Metrics may be nil for none.
	Metrics tally.Scope
}

// Limiter bounds heads. It is safe for concurrent use.
type Limiter struct {
	c       Config
	heads   *bufferlimiter.Limiter
	refused tally.Counter
}

// New returns a limiter.
func New(c Config) *Limiter {
	if c.Metrics == nil {
		c.Metrics = tally.NoopScope
	}
	return &Limiter{
		c: c,
		heads: bufferlimiter.New(bufferlimiter.Config{
			TotalBytes: c.TotalBytes, Gauge: "head_bytes_reserved", Counter: "heads_waited_for_memory", Metrics: c.Metrics,
		}),
		refused: c.Metrics.Counter("heads_refused_for_memory"),
	}
}

// Handler returns a handler that calls next for requests whose heads have room.
func (l *Limiter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		bytes := memoryOf(r.Header)
		if bytes < longHeadMemory {
			next.ServeHTTP(w, r)
			return
		}
		release, ok := l.heads.TryReserve(bytes)
		if !ok {
			l.refused.Inc(1)
			l.c.Refuse(w, r, fmt.Sprintf("no room for the head: %d bytes, others hold %d of %d", bytes, l.heads.ReservedBytes(), l.heads.TotalBytes()))
			return
		}
		defer release()
		next.ServeHTTP(w, r)
	})
}

// memoryOf returns what a head takes, in bytes.
func memoryOf(h http.Header) int64 {
	bytes := int64(0)
	for name, values := range h {
		for _, value := range values {
			bytes += int64(headerMemory + 2*(len(name)+len(value)))
		}
	}
	return bytes
}
