// Package memorylimiter keeps a process within the memory of its host.
//
// The runtime's collector lets the heap grow to a multiple of what is live, and knows no limit of
// its own. On a small host a process would be killed although most of its memory is garbage. A
// [Limiter] sets the runtime's soft limit to a fraction of the host's memory, so that the collector
// runs more often as the process nears it.
//
// What is live may still grow. Above another fraction the limiter asks the process to shed its
// caches, which costs later requests time but refuses none.
//
// # Usage
//
//	l := memorylimiter.New(memorylimiter.Config{HostBytes: d.MemoryBytes, Shed: dropCaches})
//	err := l.Serve(ctx) // a supervised service
package memorylimiter

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"brasschute/internal/core/waiter"

	"github.com/thejerf/suture/v4"
)

const (
	// softFraction of the host's memory is the runtime's soft limit. The rest is for memory that
	// the runtime does not count: the program itself and what the kernel holds for connections.
	softFraction = 0.7
	// shedFraction of the host's memory is the use above which caches are shed: just below the soft
	// limit, above which the collector would take the processor from requests.
	shedFraction = 0.6
	// checkInterval is how often the use is read. A new connection adds some 100 KB at most.
	checkInterval = time.Second
)

// Config sets the limits of a process.
type Config struct {
	// HostBytes is the memory of the host in bytes; 0 for no limit.
	HostBytes int64
	// CollectorPercent is the growth of the heap over what is live before the collector runs; 0 for the runtime's own.
	CollectorPercent int
	// Shed drops what the process can do without. It is called, with the bytes in use, once in each
	// second in which the use is too high.
	Shed func(used int64)
	// Used returns the bytes that the process uses; nil for those that the runtime counts towards its
	// soft limit.
	Used func() int64
}

// Limiter keeps a process within its memory. Create it with [New].
type Limiter struct {
	c Config
}

var _ suture.Service = (*Limiter)(nil)

// New returns a limiter. It changes nothing until Serve runs.
func New(c Config) *Limiter {
	if c.Used == nil {
		c.Used = runtimeBytes
	}
	return &Limiter{c}
}

// Serve sets the limits of the runtime, and checks the use until ctx ends.
func (l *Limiter) Serve(ctx context.Context) error {
	if l.c.CollectorPercent > 0 {
		debug.SetGCPercent(l.c.CollectorPercent)
	}
	if l.c.HostBytes > 0 {
		debug.SetMemoryLimit(int64(softFraction * float64(l.c.HostBytes)))
	}
	return waiter.Every(ctx, checkInterval, func(context.Context) { l.check() })
}

// check sheds caches if the use is too high.
func (l *Limiter) check() {
	if l.c.HostBytes <= 0 {
		return
	}
	if used := l.c.Used(); float64(used) > shedFraction*float64(l.c.HostBytes) {
		l.c.Shed(used)
	}
}

// runtimeBytes returns the bytes that the runtime counts towards its soft limit: all that it has
// mapped and not returned.
func runtimeBytes() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}
