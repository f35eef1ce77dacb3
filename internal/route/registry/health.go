package registry

import (
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"
)

// Result is the outcome of a request for the health of its endpoint.
type Result int

// The results. Neutral says nothing about the endpoint's health, for example if the client
// cancelled.
const (
	Neutral Result = iota
	Succeeded
	Failed
	// Unreachable means that no connection was established. It shows for certain that this host
	// cannot use the endpoint now. The endpoint is therefore ejected at once, regardless of how
	// many others of its pool are.
	Unreachable
	// Unresponsive means that the endpoint has lately fallen silent. It may go on as if nothing had
	// happened, so it is not ejected; it gets single requests until one succeeds.
	Unresponsive
)

// Release ends the request of a pick and updates the endpoint's health.
func (r *Registry) Release(k *Pick, result Result) {
	r.mu.Lock()
	c := r.find(k)
	if c != nil {
		k.markPrefillDone(c)
		c.InFlight--
		r.updateHealth(c, result)
	}
	r.mu.Unlock()
}

// Cancel ends a pick whose request was not sent.
func (r *Registry) Cancel(k *Pick) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.returnPermit(k)
	if c := r.find(k); c != nil {
		k.markPrefillDone(c)
		c.InFlight--
		c.UndoSent(k.UncachedTokens)
		c.Refresh(time.Now(), r.pools[c.Pool].parameters)
	}
}

// updateHealth ejects a failing endpoint and ends the ejection after a success. The caller holds the
// lock.
func (r *Registry) updateHealth(c *candidate.Candidate, result Result) {
	switch result {
	case Succeeded:
		c.Failures = 0
		c.EjectedUntil = time.Time{}
	case Unresponsive:
		c.Failures = max(c.Failures, 1)
	case Unreachable:
		c.Failures = max(c.Failures+1, ejectAfter)
		c.EjectedUntil = time.Now().Add(firstEject)
	case Failed:
		c.Failures++
		if c.Failures >= ejectAfter && r.mayEject(c.Pool) {
			pause := min(firstEject<<min(c.Failures-ejectAfter, 4), maxEject)
			c.EjectedUntil = time.Now().Add(pause)
		}
	}
	c.Refresh(time.Now(), r.pools[c.Pool].parameters)
}

// mayEject reports whether another endpoint of the pool may be ejected: at most half of them are, but
// a single one may be.
func (r *Registry) mayEject(name identifier.Pool) bool {
	p := r.pools[name]
	ejected := 0
	for i := range p.candidates {
		if p.candidates[i].Ejected(time.Now()) {
			ejected++
		}
	}
	return 2*(ejected+1) <= len(p.candidates) || len(p.candidates) == 1
}

// Report updates the health of an endpoint by the result of a request that is not counted on it; see
// [Registry.Find].
func (r *Registry) Report(k *Pick, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.find(k); c != nil {
		r.updateHealth(c, result)
	}
}
