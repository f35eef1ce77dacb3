// Package poller observes the load of endpoints.
//
// # Shared observing
//
// All daemons of a zone polling all endpoints of the zone would cost each of
// them traffic that grows with the fleet. Instead each endpoint has one
// observer, chosen by rendezvous hashing over the zone's living daemons, and
// the observers pass their reports on through package exchanger.
//
// # Usage
//
//	p := poller.New(poller.Config{...})
//	err := p.Serve(ctx)
package poller

import (
	"context"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/engine/caller"
	"brasschute/internal/engine/report"
	"brasschute/internal/peer/membertracker"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/registry"

	"github.com/cespare/xxhash/v2"
)

const (
	defaultPeriod = time.Second
	// parallel bounds the polls under way at once.
	parallel = 16
)

// Config names the poller's collaborators.
type Config struct {
	Registry *registry.Registry
	Ledger   *membertracker.Tracker
	Caller   *caller.Caller
	// OnReport is given each report, to pass it on.
	OnReport func(r *report.Report, taken time.Time)
	Period   time.Duration
}

// Poller polls the endpoints that this daemon observes.
type Poller struct {
	c Config

	mu sync.Mutex
	// events are the numbers up to which cache events have been read.
	events map[identifier.Endpoint]uint64
}

// New returns a poller.
func New(c Config) *Poller {
	if c.Period == 0 {
		c.Period = defaultPeriod
	}
	return &Poller{c: c, events: make(map[identifier.Endpoint]uint64)}
}

// Serve polls until ctx ends.
func (p *Poller) Serve(ctx context.Context) error {
	return waiter.Every(ctx, p.c.Period, p.round)
}

func (p *Poller) round(ctx context.Context) {
	slots := make(chan struct{}, parallel)
	var group sync.WaitGroup
	endpoints := p.c.Registry.Endpoints()
	observers := p.observers()
	for i := range endpoints {
		if !p.mine(&endpoints[i], observers) {
			continue
		}
		slots <- struct{}{}
		group.Go(func() {
			p.poll(ctx, &endpoints[i])
			<-slots
		})
	}
	group.Wait()
}

func (p *Poller) poll(ctx context.Context, c *candidate.Candidate) {
	taken := time.Now()
	r, err := p.c.Caller.Load(ctx, c.Address)
	if err != nil {
		return
	}
	p.c.Registry.ApplyReport(r, taken)
	p.c.OnReport(r, taken)
	if r.Model != "" {
		p.cache(ctx, c)
	}
}

// cache reads an engine's cache events. They stay with this daemon: to pass
// them on would cost more than the hint is worth.
func (p *Poller) cache(ctx context.Context, c *candidate.Candidate) {
	p.mu.Lock()
	after := p.events[c.Endpoint]
	p.mu.Unlock()
	e, err := p.c.Caller.CacheEvents(ctx, c.Address, after)
	if err != nil {
		return
	}
	for i := range e.Events {
		p.c.Registry.ApplyCacheEvent(c.Endpoint, e.Events[i].Block, e.Events[i].Stored)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events[c.Endpoint] = e.Next
	p.forget()
}

// maxEndpoints bounds the memory of event numbers.
const maxEndpoints = 4096

// forget drops all numbers when there are too many, as of endpoints long gone;
// the events are then read again. The caller holds the lock.
func (p *Poller) forget() {
	if len(p.events) > maxEndpoints {
		clear(p.events)
	}
}

// observers are the zone's living daemons.
func (p *Poller) observers() []identifier.Host {
	self := p.c.Ledger.Self()
	out := []identifier.Host{identifier.Host(self.Host)}
	for _, m := range p.c.Ledger.Alive() {
		if m.AvailabilityZone == self.AvailabilityZone {
			out = append(out, identifier.Host(m.Host))
		}
	}
	return out
}

// mine tells whether this daemon, the first of the observers, observes an
// endpoint.
func (p *Poller) mine(c *candidate.Candidate, observers []identifier.Host) bool {
	if string(c.AvailabilityZone) != p.c.Ledger.Self().AvailabilityZone {
		return false
	}
	own := weight(observers[0], c.Endpoint)
	for _, other := range observers[1:] {
		if weight(other, c.Endpoint) > own {
			return false
		}
	}
	return true
}

func weight(h identifier.Host, e identifier.Endpoint) uint64 {
	return xxhash.Sum64String(string(h) + "/" + string(e))
}
