package registry

import (
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/prefix"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/selector"
)

// Conversation is what this daemon knows of where a conversation's cache is.
type Conversation struct {
	Prefix uint64
	// PricePremium is that of the configuration; see selector.PricePremium.
	PricePremium  float64
	Pool     identifier.Pool
	Endpoint identifier.Endpoint
	Host     identifier.Host
	// Incarnation is the life of the host that has the cache.
	Incarnation identifier.Incarnation
	Address     string
	Blocks      []prefix.Block
	LastTurn        time.Time
}

// remember notes where a conversation's newest turn went. The caller holds
// the lock.
func (r *Registry) remember(q *Query, c *candidate.Candidate) {
	if q.Select.Prefix == 0 || len(q.Blocks) == 0 {
		return
	}
	if len(r.conversations) >= maxConversations {
		r.forget(q.Select.Now)
	}
	if len(r.conversations) >= maxConversations && r.conversations[q.Select.Prefix] == nil {
		return
	}
	r.conversations[q.Select.Prefix] = &Conversation{
		Prefix: q.Select.Prefix, PricePremium: selector.HomePricePremium(q.Select.RecomputeWeight), Pool: q.Pool, Endpoint: c.Endpoint, Host: c.Host, Incarnation: c.Incarnation, Address: c.Address,
		Blocks: q.Blocks, LastTurn: q.Select.Now,
	}
}

func (r *Registry) forget(now time.Time) {
	for prefix, c := range r.conversations {
		if now.Sub(c.LastTurn) > conversationAge {
			delete(r.conversations, prefix)
		}
	}
}

// Evacuees takes out the conversations whose cache is on leaving hosts.
func (r *Registry) Evacuees() []*Conversation {
	r.mu.Lock()
	defer r.mu.Unlock()
	type state struct{ listed, leaving bool }
	lives := make(map[lifeKey]state)
	listed := make(map[identifier.Endpoint]bool)
	r.each(func(c *candidate.Candidate) {
		lives[lifeKey{c.Endpoint, c.Incarnation}] = state{true, c.Leaving}
		listed[c.Endpoint] = true
	})
	var out []*Conversation
	for prefix, c := range r.conversations {
		life := lives[lifeKey{c.Endpoint, c.Incarnation}]
		switch {
		case life.leaving:
			out = append(out, c)
			delete(r.conversations, prefix)
		case listed[c.Endpoint] && !life.listed:
			// The endpoint has started again: there is nothing left to move.
			delete(r.conversations, prefix)
		}
	}
	return out
}

// Settle chooses the new home of a conversation and returns its address, empty
// if there is none, and notes the conversation there.
func (r *Registry) Settle(c *Conversation) string {
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
	k := &p.candidates[i]
	c.Endpoint, c.Host, c.Incarnation, c.Address = k.Endpoint, k.Host, k.Incarnation, k.Address
	r.conversations[c.Prefix] = c
	for _, b := range c.Blocks {
		r.indexer.Add(b, r.id(k))
	}
	return k.Address
}
