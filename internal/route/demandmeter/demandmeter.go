// Package demandmeter measures the demand of clients for each service.
//
// Demand is what clients ask once. After a loss of endpoints and during overload requests are sent
// to endpoints again, refused and returned by their clients, and would count several times just
// when the pool is sized by them. So a request counts when it is first sent to an endpoint or
// refused, and not again for further attempts.
//
// A client that is refused returns with the same deadline, and thus with a shorter timeout than is
// usual on the route: its first attempt lies that much back. No more requests are taken for
// returns than this daemon has refused; requests are spread over the daemons, so that each gets
// about as many returns as it refuses requests, and a route whose clients state various timeouts
// counts in full while nothing is refused.
//
// # Usage
//
//	before := m.ReturnDelay("lm", route, clientTimeout)
//	m.CountPlaced("lm", uncachedTokens, before > 0); m.CountEnded("lm") // for each attempt
//	m.CountFirstEvent("lm", before+waited > objective)
//	m.CountRefused("lm", before > 0)
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

const (
	// minReturnDelay is how much earlier a return was first sent at least: half of the shortest
	// Retry-After, as clients round.
	minReturnDelay = 100 * time.Millisecond
	// minReturnFraction is the part of the usual timeout that a return has left at least. Clients
	// wait for at most a third of the time that they have.
	minReturnFraction = 0.5
	// usualTime is how long the longest timeout of a route is usual, maxRoutes the number of
	// routes for which it is kept.
	usualTime = time.Minute
	maxRoutes = 4096
	// returnHalfLife is the half-life of the count of refused requests that may return: clients
	// return within a third of their timeouts. A single one counts for that time.
	returnHalfLife = 5 * time.Second
	minReturns     = 0.5
)

// Demand is the current demand for a service.
type Demand struct {
	// Running is the number of requests at endpoints.
	Running int
	// Requests, Tokens and Refused are per second, and count each request once. Requests counts
	// those sent to an endpoint, Refused those refused before. Tokens counts the prompt tokens that
	// were not presumed to be cached at any engine; a refused request counts with the mean.
	Requests float64
	Tokens   float64
	Refused  float64
	// FirstEvents is the rate of first events, and Late that of those after their objective. A
	// request that got none before it ended counts as late.
	FirstEvents float64
	Late        float64
}

// Add adds the demand o to d.
func (d *Demand) Add(o Demand) {
	d.Running += o.Running
	d.Requests += o.Requests
	d.Tokens += o.Tokens
	d.Refused += o.Refused
	d.FirstEvents += o.FirstEvents
	d.Late += o.Late
}

type rates struct {
	Demand
	// returns is the number of refused requests that may still return.
	returns float64
	at      time.Time
}

// usual is the longest timeout that clients of a route have stated lately.
type usual struct {
	timeout time.Duration
	at      time.Time
}

// Meter measures demand. The zero value is ready to use; it is safe for concurrent use.
type Meter struct {
	mu        sync.Mutex
	byService map[identifier.Service]*rates
	byRoute   map[string]usual
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
	r.FirstEvents *= factor
	r.Late *= factor
	r.returns *= math.Exp2(-now.Sub(r.at).Seconds() / returnHalfLife.Seconds())
	r.at = now
}

// weight converts single events into a rate: the integral of an event's decay is one.
const weight = math.Ln2 / (float64(halfLife) / float64(time.Second))

// ReturnDelay returns how long before a request its client first sent it, if it is the return of a
// refused one, by the timeout that the client states; 0 if it states none. It returns 0 for any
// other request. It must be called once for each request.
func (m *Meter) ReturnDelay(s identifier.Service, route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.get(s)
	u := m.usual(route, timeout, r.at)
	if timeout > u-minReturnDelay || float64(timeout) < minReturnFraction*float64(u) || r.returns < minReturns {
		return 0
	}
	r.returns = max(r.returns-1, 0)
	return u - timeout
}

// usual returns the usual timeout of a route, after a client has stated one.
func (m *Meter) usual(route string, timeout time.Duration, now time.Time) time.Duration {
	u, ok := m.byRoute[route]
	if ok && timeout < u.timeout && now.Sub(u.at) < usualTime {
		return u.timeout
	}
	if m.byRoute == nil || len(m.byRoute) >= maxRoutes && !ok {
		m.byRoute = make(map[string]usual)
	}
	m.byRoute[route] = usual{timeout, now}
	return timeout
}

// CountPlaced counts a request that is sent to an endpoint, with its uncached tokens. counted is
// set if the request has been counted before, as placed or refused.
func (m *Meter) CountPlaced(s identifier.Service, tokens identifier.Tokens, counted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.get(s)
	r.Running++
	if counted {
		return
	}
	r.Requests += weight
	r.Tokens += weight * float64(tokens)
}

// CountEnded counts the end of a placed request.
func (m *Meter) CountEnded(s identifier.Service) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.get(s).Running--
}

// CountFirstEvent counts the first event of a request, or the end of one that got none in time.
func (m *Meter) CountFirstEvent(s identifier.Service, late bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.get(s)
	r.FirstEvents += weight
	if late {
		r.Late += weight
	}
}

// CountRefused counts a refused request, which its client may send again. counted is set if the
// request has been counted before.
func (m *Meter) CountRefused(s identifier.Service, counted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.get(s)
	r.returns++
	if counted {
		return
	}
	if asked := r.Requests + r.Refused; asked > 0 {
		r.Tokens += weight * r.Tokens / asked
	}
	r.Refused += weight
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
