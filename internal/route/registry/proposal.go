package registry

import (
	"slices"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/selector"
)

// maxProposals is the number of endpoints that are proposed for a request: the best one, the home of
// the prompt and the next best one.
const maxProposals = 3

// Proposal is an endpoint that can serve a request. The request counts nowhere until
// [Registry.Take]. The option holds this daemon's own predictions; the caller replaces them by what
// it learns of the endpoint.
type Proposal struct {
	selector.Option
	// Presumed is this daemon's own prediction of the time to first token.
	Presumed time.Duration

	id int32
}

// Propose returns the endpoints to consider for a request, the best one first, without counting the
// request at any: the best one, the home of its prompt, and the next best one that has another
// coordinator. It returns none if no endpoint can serve.
func (r *Registry) Propose(q *Query, coordinator func(*candidate.Candidate) identifier.Host) ([]Proposal, selector.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, d := r.decide(q)
	if d.Index == selector.None {
		return nil, d
	}
	out := []Proposal{r.propose(q, p, d.Index, &d)}
	if d.HasHome && d.Home != d.Index {
		out = append(out, r.propose(q, p, d.Home, &d))
	}
	if i := r.nextBest(q, p, out, coordinator); i != selector.None {
		out = append(out, r.propose(q, p, i, &d))
	}
	return out, d
}

// nextBest returns the best candidate besides those proposed, one of another coordinator than the
// first one's if the best two of the rest include one. The caller holds the lock.
func (r *Registry) nextBest(q *Query, p *pool, proposed []Proposal, coordinator func(*candidate.Candidate) identifier.Host) int {
	next := q.Select
	next.Tried = slices.Clone(next.Tried)
	for i := range proposed {
		next.Tried = append(next.Tried, proposed[i].Candidate.Endpoint)
	}
	first, best := coordinator(&proposed[0].Candidate), selector.None
	for range maxProposals - 1 {
		d := r.c.Select(&next, p.candidates, p.cached, p.scratch)
		if d.Index == selector.None {
			break
		}
		c := &p.candidates[d.Index]
		if coordinator(c) != first {
			return d.Index
		}
		if best == selector.None {
			best = d.Index
		}
		next.Tried = append(next.Tried, c.Endpoint)
	}
	return best
}

// propose returns the proposal of the candidate at a position. The caller holds the lock.
func (r *Registry) propose(q *Query, p *pool, i int, d *selector.Decision) Proposal {
	c := &p.candidates[i]
	home := d.HasHome && i == d.Home
	cached := p.cached[i]
	if home {
		cached = max(cached, q.Select.PriorTokens)
	}
	out := Proposal{Option: selector.Option{Candidate: *c, Cached: min(cached, q.Select.PromptTokens), Home: home}, id: r.id(c)}
	_, presumed := selector.Compare(&q.Select, []selector.Option{out.Option})
	out.Presumed = presumed.FirstToken
	return out
}

// Take counts a request as in flight at a proposed endpoint, with the proposal's figures. firstToken
// is the predicted time to first token. The pick is nil if the endpoint takes the request no longer.
func (r *Registry) Take(q *Query, p *Proposal, firstToken time.Duration, now time.Time) *Pick {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.proposed(p)
	if !r.mayTake(q, c, now) {
		return nil
	}
	f := figures{
		firstToken: firstToken, nominal: firstToken, cached: p.Cached, ahead: p.Candidate.TokensAhead, streams: p.Candidate.Streams,
		exact: p.FirstToken > 0,
	}
	if !f.exact {
		f.nominal = time.Duration(float64(firstToken) / max(c.Slowdown, 1))
	}
	return r.count(q, r.pools[c.Pool], c, now, f)
}

// Available reports whether a proposed endpoint still takes the request.
func (r *Registry) Available(q *Query, p *Proposal, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayTake(q, r.proposed(p), now)
}

// proposed returns the candidate of a proposal, nil if it is no longer listed in the same
// incarnation. The caller holds the lock.
func (r *Registry) proposed(p *Proposal) *candidate.Candidate {
	c := &p.Candidate
	return r.find(&Pick{Endpoint: c.Endpoint, Incarnation: c.Incarnation, Pool: c.Pool, id: p.id})
}

// mayTake reports whether a candidate takes a request now. The caller holds the lock.
func (r *Registry) mayTake(q *Query, c *candidate.Candidate, now time.Time) bool {
	if c == nil || c.Leaving || c.Silent || c.Ejected(now) || now.Before(c.BackoffUntil) {
		return false
	}
	if int(c.InFlight) >= q.Select.MaxInFlight || c.Failures > 0 && c.InFlight > 0 {
		return false
	}
	return !r.pools[c.Pool].limited || r.c.RateLimiter.Ready(incarnationOf(c), now)
}
