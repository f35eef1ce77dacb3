package registry

import (
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/prefix"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/indexer"
	"brasschute/internal/route/selector"
)

// Conversation records where this daemon presumes the prefix cache of a conversation to be.
type Conversation struct {
	Prefix uint64
	// PricePremium is the result of [selector.HomePricePremium] for the configuration in force.
	PricePremium float64
	Pool         identifier.Pool
	Endpoint     identifier.Endpoint
	Host         identifier.Host
	// Incarnation is the incarnation of the host that has the cache.
	Incarnation identifier.Incarnation
	Address     string
	Blocks      []prefix.Block
	LastTurn    time.Time
}

// remember records where the latest turn of a conversation went. The caller holds the lock.
func (r *Registry) remember(q *Query, c *candidate.Candidate) {
	if q.Select.Prefix == 0 || len(q.Blocks) == 0 {
		return
	}
	if len(r.conversations) >= maxConversations {
		r.dropOldConversations(q.Select.Now)
	}
	if len(r.conversations) >= maxConversations && r.conversations[q.Select.Prefix] == nil {
		return
	}
	r.conversations[q.Select.Prefix] = &Conversation{
		Prefix: q.Select.Prefix, PricePremium: selector.HomePricePremium(q.Select.RecomputeWeight), Pool: q.Pool, Endpoint: c.Endpoint, Host: c.Host, Incarnation: c.Incarnation, Address: c.Address,
		Blocks: q.Blocks, LastTurn: q.Select.Now,
	}
}

// dropOldConversations drops the conversations without a turn within conversationAge. The caller
// holds the lock.
func (r *Registry) dropOldConversations(now time.Time) {
	for prefix, c := range r.conversations {
		if now.Sub(c.LastTurn) > conversationAge {
			delete(r.conversations, prefix)
		}
	}
}

// ForgetPrompts forgets which endpoints have which prompts cached. Until that is learned again,
// prompts without a home are computed again more often.
func (r *Registry) ForgetPrompts() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.indexer = indexer.Indexer{}
	clear(r.conversations)
}

// TakeMigratable removes and returns the conversations whose cache is on leaving hosts.
func (r *Registry) TakeMigratable() []*Conversation {
	r.mu.Lock()
	defer r.mu.Unlock()
	type state struct{ listed, leaving bool }
	states := make(map[incarnationKey]state)
	listed := make(map[identifier.Endpoint]bool)
	r.forEach(func(c *candidate.Candidate) {
		states[incarnationKey{c.Endpoint, c.Incarnation}] = state{true, c.Leaving}
		listed[c.Endpoint] = true
	})
	var out []*Conversation
	for prefix, c := range r.conversations {
		s := states[incarnationKey{c.Endpoint, c.Incarnation}]
		switch {
		case s.leaving:
			out = append(out, c)
			delete(r.conversations, prefix)
		case listed[c.Endpoint] && !s.listed:
			// The endpoint has restarted: its cache is gone, so there is nothing to migrate.
			delete(r.conversations, prefix)
		}
	}
	return out
}

// Rehome chooses the new home of a conversation, records the conversation there and returns the
// address of the home. The address is empty if no endpoint can be the home.
func (r *Registry) Rehome(c *Conversation) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[c.Pool]
	if p == nil {
		return ""
	}
	i := selector.HomeIndex(c.Prefix, c.PricePremium, p.candidates)
	if i == selector.None {
		return ""
	}
	home := &p.candidates[i]
	c.Endpoint, c.Host, c.Incarnation, c.Address = home.Endpoint, home.Host, home.Incarnation, home.Address
	r.conversations[c.Prefix] = c
	for _, b := range c.Blocks {
		r.indexer.Add(b, r.id(home))
	}
	return home.Address
}
