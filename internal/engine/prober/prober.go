// Package prober finds out whether the process of an endpoint has ended.
//
// # Why
//
// A connection that breaks off may have been reset on its way, by an endpoint that closed
// just this one, or by the end of the endpoint's process. Only the last one says something
// about what the process was running. A host whose process has ended refuses connections
// at once; one that is cut off or has no power does not answer, which tells nothing.
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
	// timeout is far above a round trip between availability zones (a few milliseconds).
	timeout = 100 * time.Millisecond
	// fresh is how long a finding holds: all requests that an endpoint broke off with its
	// end ask within milliseconds.
	fresh = 250 * time.Millisecond
	// maxFindings bounds what is kept, and so the probes under way.
	maxFindings = 64
)

// Result is what a probe found.
type Result int

// The findings.
const (
	// Unknown: no answer came in time, or no probe was made.
	Unknown Result = iota
	// Listening: a process takes connections there.
	Listening
	// Refused: the host answers that no process does.
	Refused
)

// String is for logs.
func (f Result) String() string { return [...]string{"unknown", "listening", "refused"}[f] }

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Config names the prober's collaborators.
type Config struct {
	Dialer Dialer
}

// Prober probes addresses. It is safe for concurrent use.
type Prober struct {
	c Config

	mu     sync.Mutex
	probes map[string]*probe
}

type probe struct {
	begun time.Time
	// done is closed once finding is set.
	done    chan struct{}
	finding Result
}

// New returns a prober.
func New(c Config) *Prober { return &Prober{c: c, probes: make(map[string]*probe)} }

// Probe tells whether a process listens at an address. Those that ask at the same time
// share one connection.
func (p *Prober) Probe(ctx context.Context, address string) Result {
	one, first := p.share(address)
	if one == nil {
		return Unknown
	}
	if first {
		// Others wait for it, so it does not end with the first one's request.
		one.finding = p.dial(context.WithoutCancel(ctx), address)
		close(one.done)
	}
	select {
	case <-one.done:
		return one.finding
	case <-ctx.Done():
		return Unknown
	}
}

// share returns the probe of an address, and whether the caller is to make it; nil if too
// many are kept.
func (p *Prober) share(address string) (one *probe, first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for a, old := range p.probes {
		if now.Sub(old.begun) > fresh+timeout {
			delete(p.probes, a)
		}
	}
	if one = p.probes[address]; one != nil && now.Sub(one.begun) <= fresh {
		return one, false
	}
	if len(p.probes) >= maxFindings {
		return nil, false
	}
	one = &probe{begun: now, done: make(chan struct{})}
	p.probes[address] = one
	return one, true
}

func (p *Prober) dial(ctx context.Context, address string) Result {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := p.c.Dialer.DialContext(ctx, "tcp", address)
	switch {
	case err == nil:
		_ = conn.Close()
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	}
	return Unknown
}
