// Package prober detects whether the process of an endpoint has ended.
//
// A lost connection may have been reset in the network, closed by an endpoint that
// continues to run, or ended with the endpoint's process. Only the last case says
// something about the requests that the process was running. A host whose process has
// ended refuses connections at once; one that is partitioned or has no power does not
// respond, which proves nothing. A partition may refuse connections as well, but then it
// does so for some hosts only: Config.Confirm asks others.
//
// # Usage
//
//	p := prober.New(prober.Config{Dialer: d})
//	if p.Probe(ctx, address) == prober.Refused { ... }
package prober

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout is far above the round-trip time between availability zones, a few
	// milliseconds.
	dialTimeout = 100 * time.Millisecond
	// confirmTimeout bounds Config.Confirm: some of the daemons that it asks may have ended or be busy.
	confirmTimeout = 500 * time.Millisecond
	// resultTTL is how long a result is reused: all requests that ended with an endpoint
	// call Probe within milliseconds.
	resultTTL = 250 * time.Millisecond
	// maxProbes bounds the results kept, and so the concurrent probes.
	maxProbes = 64
)

// Result is the result of a probe.
type Result int

// The results.
const (
	// Unknown means that there was no response in time, or that no probe was made.
	Unknown Result = iota
	// Listening means that a process accepts connections at the address.
	Listening
	// Refused means that the host refused the connection: no process listens.
	Refused
	// Partitioned means that the connection was refused, but not to other daemons, or that none of
	// them can tell.
	Partitioned
)

// String returns the name of the result for logs.
func (r Result) String() string {
	return [...]string{"unknown", "listening", "refused", "partitioned"}[r]
}

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Config holds the prober's dependencies.
type Config struct {
	Dialer Dialer
	// Confirm reports whether an address that refused this daemon's connection refuses those of
	// others. If nil, it is taken to do so.
	Confirm func(ctx context.Context, address string) bool
}

// Prober probes addresses. It is safe for concurrent use.
type Prober struct {
	c Config

	mu     sync.Mutex
	probes map[string]*probe
}

// probe is one connection attempt, which concurrent callers share.
type probe struct {
	started time.Time
	// done is closed once result is set.
	done   chan struct{}
	result Result
}

// New returns a prober.
func New(c Config) *Prober { return &Prober{c: c, probes: make(map[string]*probe)} }

// Probe reports whether a process listens at an address, IP:port. Concurrent calls for
// one address share a connection, and the result is reused for a short time. A process
// that listened before the call may have ended since.
func (p *Prober) Probe(ctx context.Context, address string) Result {
	called := time.Now()
	for {
		pr, first := p.joinProbe(address, called)
		if pr == nil {
			return Unknown
		}
		if first {
			// Other callers wait for the probe, so it must outlive the first caller's request.
			pr.result = p.dial(context.WithoutCancel(ctx), address)
			close(pr.done)
		}
		select {
		case <-pr.done:
		case <-ctx.Done():
			return Unknown
		}
		if !pr.outdated(called) {
			return pr.result
		}
	}
}

// joinProbe returns the probe of an address, and whether the caller has to perform it: if there is none, or
// one that found a process before the caller's request was broken off. It returns nil if too many probes are
// kept.
func (p *Prober) joinProbe(address string, called time.Time) (pr *probe, first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for a, old := range p.probes {
		if now.Sub(old.started) > resultTTL+dialTimeout+confirmTimeout {
			delete(p.probes, a)
		}
	}
	if pr = p.probes[address]; pr != nil && now.Sub(pr.started) <= resultTTL && !pr.outdated(called) {
		return pr, false
	}
	if pr == nil && len(p.probes) >= maxProbes {
		return nil, false
	}
	pr = &probe{started: now, done: make(chan struct{})}
	p.probes[address] = pr
	return pr, true
}

// outdated reports whether a probe found a process that may have ended between its start and a later time.
func (pr *probe) outdated(called time.Time) bool {
	select {
	case <-pr.done:
		return pr.result == Listening && pr.started.Before(called)
	default:
		return false
	}
}

func (p *Prober) dial(ctx context.Context, address string) Result {
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.c.Dialer.DialContext(dialing, "tcp", address)
	switch {
	case err == nil:
		_ = conn.Close()
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED) && !p.confirm(ctx, address):
		return Partitioned
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	}
	return Unknown
}

// confirm reports whether an address that refused a connection refuses those of other daemons.
func (p *Prober) confirm(ctx context.Context, address string) bool {
	if p.c.Confirm == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return p.c.Confirm(ctx, address)
}
