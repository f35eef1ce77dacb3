// Package demander measures what clients ask of each service.
//
// # Usage
//
//	d.CountPlaced("lm", uncachedTokens); d.CountEnded("lm"); d.CountRefused("lm")
//	demands := d.Demands()
package demandmeter

import (
	"math"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
)

// halfLife is the time in which an old rate loses half of its weight: long
// against the pause between two requests of a daemon, short against the time
// that a new endpoint takes to start.
const halfLife = 2 * time.Second

// Demand is what is asked of a service now.
type Demand struct {
	// Running counts the requests at endpoints.
	Running int
	// Rates are per second; tokens are prompt tokens that no engine was
	// presumed to have cached.
	Requests float64
	Tokens   float64
	Refused  float64
}

// Add sums demands.
func (d *Demand) Add(o Demand) {
	d.Running += o.Running
	d.Requests += o.Requests
	d.Tokens += o.Tokens
	d.Refused += o.Refused
}

type measured struct {
	Demand
	at time.Time
}

// Meter measures. The zero value is ready; it is safe for concurrent use.
type Meter struct {
	mu sync.Mutex
	by map[identifier.Service]*measured
}

func (d *Meter) get(s identifier.Service) *measured {
	if d.by == nil {
		d.by = make(map[identifier.Service]*measured)
	}
	m := d.by[s]
	if m == nil {
		m = &measured{at: time.Now()}
		d.by[s] = m
	}
	m.decay(time.Now())
	return m
}

func (m *measured) decay(now time.Time) {
	part := math.Exp2(-now.Sub(m.at).Seconds() / halfLife.Seconds())
	m.Requests *= part
	m.Tokens *= part
	m.Refused *= part
	m.at = now
}

// weight turns single events into a rate: the area under an event's decay is
// then one.
const weight = math.Ln2 / (float64(halfLife) / float64(time.Second))

// CountPlaced counts a request that goes to an endpoint, with its uncached tokens.
func (d *Meter) CountPlaced(s identifier.Service, tokens identifier.Tokens) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.get(s)
	m.Running++
	m.Requests += weight
	m.Tokens += weight * float64(tokens)
}

// CountEnded counts the end of a placed request.
func (d *Meter) CountEnded(s identifier.Service) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.get(s).Running--
}

// CountRefused counts a request that no endpoint could take.
func (d *Meter) CountRefused(s identifier.Service) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.get(s).Refused += weight
}

// Demands returns the demand for each service.
func (d *Meter) Demands() map[identifier.Service]Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[identifier.Service]Demand, len(d.by))
	now := time.Now()
	for s, m := range d.by {
		m.decay(now)
		out[s] = m.Demand
	}
	return out
}
