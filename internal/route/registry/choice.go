package registry

import (
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/prefix"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/selector"
)

// Query asks for an endpoint of a pool.
type Query struct {
	Pool   identifier.Pool
	Blocks []prefix.Block
	// Sizes holds, by position, the number of prompt tokens up to the end of each block; nil if all
	// blocks have the default size.
	Sizes []identifier.Tokens
	// Select holds the other inputs of the decision.
	Select selector.Query
}

// Choose selects an endpoint for one request and counts the request as in flight there. The pick is
// nil if no endpoint can serve.
func (r *Registry) Choose(q *Query) (*Pick, selector.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, d := r.decide(q)
	if d.Index == selector.None {
		return nil, d
	}
	c := &p.candidates[d.Index]
	return r.count(q, p, c, q.Select.Now, figures{
		firstToken: d.Chosen.FirstToken, nominal: time.Duration(float64(d.Chosen.FirstToken) / max(c.Slowdown, 1)),
		cached: d.Chosen.Cached, ahead: c.TokensAhead, streams: c.Streams,
	}), d
}

// decide makes the decision for a query. The pool is nil if the query's pool has no endpoints. The
// caller holds the lock.
func (r *Registry) decide(q *Query) (*pool, selector.Decision) {
	p := r.pools[q.Pool]
	if p == nil {
		d := selector.Decision{Index: selector.None}
		d.Excluded.NotFound++
		return nil, d
	}
	if q.Select.Versions.MajorityOnly && len(p.versions) > 1 {
		q.Select.Versions.Only = p.majorityVersion
	}
	r.matchPrefix(p, q)
	p.parameters = candidate.LoadParameters{
		MeanUncachedTokens: p.meanUncached, PrefillRate: float64(q.Select.PrefillRate), OtherDaemons: float64(r.c.Daemons() - 1),
		StreamSeconds: float64(q.Select.OutputTokens) / float64(max(q.Select.DecodeRate, 1)),
	}
	p.refresh(q.Select.Now)
	r.markLimited(p, q.Select.Now)
	if q.Select.Prefix == 0 {
		q.Select.Prefix = uint64(r.indexer.ConversationBlock(q.Blocks))
	}
	return p, r.c.Select(&q.Select, p.candidates, p.cached, p.scratch)
}

// figures are the predictions that a pick was made by.
type figures struct {
	firstToken, nominal time.Duration
	cached              identifier.Tokens
	ahead, streams      float64
	exact               bool
}

// count counts a request as in flight at a candidate. The caller holds the lock.
func (r *Registry) count(q *Query, p *pool, c *candidate.Candidate, now time.Time, f figures) *Pick {
	uncached := q.Select.PromptTokens - f.cached
	c.InFlight++
	permit := p.limited && r.c.RateLimiter.Take(incarnationOf(c), now)
	c.RecordSent(now, uncached)
	p.meanUncached += meanUncachedWeight * (float64(uncached) - p.meanUncached)
	k := r.newPick(c)
	r.indexer.RecordSent(q.Blocks, k.id)
	r.remember(q, c)
	k.Version, k.Cold, k.permit = c.Version, now.Before(c.WarmAt), permit
	k.PredictedFirstToken, k.NominalFirstToken = f.firstToken, f.nominal
	k.UncachedTokens, k.TokensAhead, k.Streams, k.Exact = uncached, f.ahead, f.streams, f.exact
	return k
}

// newPick returns a pick that identifies a candidate. The caller holds the lock.
func (r *Registry) newPick(c *candidate.Candidate) *Pick {
	return &Pick{
		Endpoint: c.Endpoint, Host: c.Host, Incarnation: c.Incarnation, StartTime: c.StartTime, Address: c.Address,
		AvailabilityZone: c.AvailabilityZone, Pool: c.Pool, PricePerSecond: c.PricePerSecond, Activity: c.Activity, id: r.id(c),
	}
}

// refresh updates the fields that depend on the time, at most once per refreshPause.
func (p *pool) refresh(now time.Time) {
	if now.Sub(p.refreshed) < refreshPause {
		return
	}
	p.refreshed = now
	p.markSilent(now)
	for i := range p.candidates {
		p.candidates[i].Refresh(now, p.parameters)
	}
}

// matchPrefix sets p.cached to the tokens that each endpoint has cached of the leading blocks.
func (r *Registry) matchPrefix(p *pool, q *Query) {
	clear(p.cached)
	r.indexer.Match(q.Blocks, func(id int32, n int) {
		i, ok := r.positions[id]
		if ok && i < len(p.candidates) && r.id(&p.candidates[i]) == id {
			p.cached[i] = q.tokens(n)
		}
	})
}

// tokens returns the number of prompt tokens in the first n blocks.
func (q *Query) tokens(n int) identifier.Tokens {
	if n <= len(q.Sizes) {
		return q.Sizes[n-1]
	}
	return identifier.Tokens(n * prefix.BlockTokens)
}

// PickEndpoint counts a request on the named endpoint, as needed for a resumed stream that returns
// to the endpoint where it runs. It returns nil if the endpoint is not listed.
func (r *Registry) PickEndpoint(e identifier.Endpoint) *Pick {
	r.mu.Lock()
	defer r.mu.Unlock()
	var k *Pick
	r.forEach(func(c *candidate.Candidate) {
		if c.Endpoint == e {
			c.InFlight++
			k = r.newPick(c)
		}
	})
	return k
}
