package registry

import (
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"
)

// Result tells how a request to an endpoint went.
type Result int

// The results. Neutral says nothing about the endpoint's health, as when the
// caller cancelled.
const (
	Neutral Result = iota
	Succeeded
	Failed
	// Unreachable: no connection came about. That says for certain that this
	// host can't use the endpoint now, so it is ejected at once, and however
	// many of its pool are.
	Unreachable
)

// Release ends a pick's request.
func (r *Registry) Release(k *Pick, result Result) {
	r.mu.Lock()
	c := r.find(k)
	if c != nil {
		k.readAt(c)
		c.InFlight--
		r.judge(c, result)
	}
	r.mu.Unlock()
}

// Cancel ends a pick whose request is not sent.
func (r *Registry) Cancel(k *Pick) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.giveBack(k)
	if c := r.find(k); c != nil {
		k.readAt(c)
		c.InFlight--
		c.UndoSent(k.UncachedTokens)
		c.Refresh(time.Now(), r.pools[c.Pool].pace)
	}
}

func (r *Registry) judge(c *candidate.Candidate, result Result) {
	switch result {
	case Succeeded:
		c.Failures = 0
		c.EjectedUntil = time.Time{}
	case Unreachable:
		c.Failures = max(c.Failures+1, ejectAfter)
		c.EjectedUntil = time.Now().Add(firstEject)
	case Failed:
		c.Failures++
		if c.Failures >= ejectAfter && r.mayEject(c.Pool) {
			pause := min(firstEject<<min(c.Failures-ejectAfter, 4), longEject)
			c.EjectedUntil = time.Now().Add(pause)
		}
	}
	c.Refresh(time.Now(), r.pools[c.Pool].pace)
}

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
