// Package poller polls the load of endpoints.
//
// # Shared polling
//
// If all daemons of a zone polled all endpoints of the zone, the traffic of each endpoint would
// grow with the fleet. Instead each endpoint has one observer, chosen by rendezvous hashing over
// the live daemons of the zone, and the observers distribute their reports through package
// gossiper.
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
	// maxConcurrent bounds the polls in flight.
	maxConcurrent = 16
)

// Config holds the poller's dependencies.
type Config struct {
	Registry *registry.Registry
	Members  *membertracker.Tracker
	Caller   *caller.Caller
	// OnReport is called with each report and the time of its poll, to distribute it.
	OnReport func(r *report.Report, taken time.Time)
	Period   time.Duration
}

// Poller polls the endpoints that this daemon observes.
type Poller struct {
	c Config

	mu sync.Mutex
	// nextEvents are the numbers up to which cache events have been read.
	nextEvents map[identifier.Endpoint]uint64
}

// New returns a poller. A Period of zero means one second.
func New(c Config) *Poller {
	if c.Period == 0 {
		c.Period = defaultPeriod
	}
	return &Poller{c: c, nextEvents: make(map[identifier.Endpoint]uint64)}
}

// Serve polls until ctx ends.
func (p *Poller) Serve(ctx context.Context) error {
	return waiter.Every(ctx, p.c.Period, p.pollAll)
}

func (p *Poller) pollAll(ctx context.Context) {
	slots := make(chan struct{}, maxConcurrent)
	var group sync.WaitGroup
	endpoints := p.c.Registry.Endpoints()
	observers := p.observers()
	for i := range endpoints {
		if !p.observes(&endpoints[i], observers) {
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
		p.readCacheEvents(ctx, c)
	}
}

// readCacheEvents reads the cache events of an engine. They are used by this daemon only:
// distributing them would cost more than these hints are worth.
func (p *Poller) readCacheEvents(ctx context.Context, c *candidate.Candidate) {
	p.mu.Lock()
	after := p.nextEvents[c.Endpoint]
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
	p.nextEvents[c.Endpoint] = e.Next
	p.prune()
}

// maxEndpoints bounds the size of the map of event numbers.
const maxEndpoints = 4096

// prune drops all event numbers when there are too many, most of them of endpoints that no longer
// exist; the events of the others are then read again. The caller holds the lock.
func (p *Poller) prune() {
	if len(p.nextEvents) > maxEndpoints {
		clear(p.nextEvents)
	}
}

// observers returns the live daemons of the zone, this one first.
func (p *Poller) observers() []identifier.Host {
	self := p.c.Members.Self()
	out := []identifier.Host{identifier.Host(self.Host)}
	for _, m := range p.c.Members.Alive() {
		if m.AvailabilityZone == self.AvailabilityZone {
			out = append(out, identifier.Host(m.Host))
		}
	}
	return out
}

// observes reports whether this daemon, the first of the observers, observes an endpoint.
func (p *Poller) observes(c *candidate.Candidate, observers []identifier.Host) bool {
	if string(c.AvailabilityZone) != p.c.Members.Self().AvailabilityZone {
		return false
	}
	self := weight(observers[0], c.Endpoint)
	for _, other := range observers[1:] {
		if weight(other, c.Endpoint) > self {
			return false
		}
	}
	return true
}

func weight(h identifier.Host, e identifier.Endpoint) uint64 {
	return xxhash.Sum64String(string(h) + "/" + string(e))
}
