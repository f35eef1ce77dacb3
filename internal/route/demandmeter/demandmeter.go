// Package demandmeter measures the demand of clients for each service.
//
// # Usage
//
//	m.CountPlaced("lm", uncachedTokens); m.CountEnded("lm"); m.CountRefused("lm")
//	demands := m.Demands()
package demandmeter

import (
	"math"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
)

// halfLife is the half-life of the rates: long compared with the interval between two requests at a
// daemon, short compared with the time that a new endpoint takes to start.
const halfLife = 2 * time.Second

// Demand is the current demand for a service.
type Demand struct {
	// Running is the number of requests at endpoints.
	Running int
	// Requests, Tokens and Refused are per second. Tokens counts the prompt tokens that were not
	// presumed to be cached at any engine.
	Requests float64
	Tokens   float64
	Refused  float64
}

// Add adds the demand o to d.
func (d *Demand) Add(o Demand) {
	d.Running += o.Running
	d.Requests += o.Requests
	d.Tokens += o.Tokens
	d.Refused += o.Refused
}

type rates struct {
	Demand
	at time.Time
}

// Meter measures demand. The zero value is ready to use; it is safe for concurrent use.
type Meter struct {
	mu        sync.Mutex
	byService map[identifier.Service]*rates
}

func (m *Meter) get(s identifier.Service) *rates {
	if m.byService == nil {
		m.byService = make(map[identifier.Service]*rates)
	}
	r := m.byService[s]
	if r == nil {
		r = &rates{at: time.Now()}
		m.byService[s] = r
	}
	r.decay(time.Now())
	return r
}

func (r *rates) decay(now time.Time) {
	factor := math.Exp2(-now.Sub(r.at).Seconds() / halfLife.Seconds())
	r.Requests *= factor
	r.Tokens *= factor
	r.Refused *= factor
	r.at = now
}

// weight converts single events into a rate: the integral of an event's decay is one.
const weight = math.Ln2 / (float64(halfLife) / float64(time.Second))

// CountPlaced counts a request that is sent to an endpoint, with its uncached tokens.
func (m *Meter) CountPlaced(s identifier.Service, tokens identifier.Tokens) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.get(s)
	r.Running++
	r.Requests += weight
	r.Tokens += weight * float64(tokens)
}

// CountEnded counts the end of a placed request.
func (m *Meter) CountEnded(s identifier.Service) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.get(s).Running--
}

// CountRefused counts a request that no endpoint could take.
func (m *Meter) CountRefused(s identifier.Service) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.get(s).Refused += weight
}

// Demands returns the demand for each service.
func (m *Meter) Demands() map[identifier.Service]Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[identifier.Service]Demand, len(m.byService))
	now := time.Now()
	for s, r := range m.byService {
		r.decay(now)
		out[s] = r.Demand
	}
	return out
}
