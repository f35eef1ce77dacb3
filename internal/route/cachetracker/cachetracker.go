// Package cachetracker keeps a model of the prefix cache of one engine.
//
// An engine keeps the parts of the prompts that it has computed, and evicts the least recently used
// ones when running requests need the memory. A daemon that sees all requests to an engine can
// therefore tell what it has cached.
//
// # Usage
//
//	t := cachetracker.New(640_000)
//	n := t.Cached(blocks, sizes)
//	t.Add(blocks, sizes, ownTokens) // after the first event of the request
//	t.SetReserved(tokens)           // memory that running requests take
package cachetracker

import (
	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/prefix"
)

// Tracker is the cache of one engine. It is not safe for concurrent use.
type Tracker struct {
	memory identifier.Tokens
}

// New returns an empty cache of the given capacity in tokens.
func New(memory identifier.Tokens) *Tracker { return &Tracker{memory: memory} }

// Cached returns the number of leading prompt tokens that are cached. Sizes holds, by position, the
// number of prompt tokens up to the end of each block.
func (t *Tracker) Cached(blocks []prefix.Block, sizes []identifier.Tokens) identifier.Tokens {
	return 0
}

// Add records a prompt that the engine has computed: its shared blocks, and own tokens that no other
// request shares.
func (t *Tracker) Add(blocks []prefix.Block, sizes []identifier.Tokens, own identifier.Tokens) {}

// SetReserved sets the memory that running requests take, and evicts what no longer fits.
func (t *Tracker) SetReserved(tokens identifier.Tokens) {}
