// Package cachetracker keeps a model of the prefix cache of one engine.
//
// An engine keeps the parts of the prompts that it has computed, and evicts the least recently used
// ones when running requests need the memory. A daemon that sees all requests to an engine can
// therefore tell what it has cached. It is needed when most prompts repeat the leading
// parts of earlier ones, and an engine that is presumed to have cached what it never computed gets
// more prompts than it can prefill in time.
//
// A block is evicted before the blocks that precede it, as it is of no use without them. So the
// cached blocks of a prompt are always its leading ones. The identifiers of blocks are chained: equal
// blocks have equal blocks before them.
//
// # Usage
//
//	t := cachetracker.New(640_000)
//	n := t.Cached(blocks, sizes)
//	t.Add(blocks, sizes, ownTokens) // after the first event of the request
//	t.SetReserved(tokens)           // memory that running requests take
package cachetracker

import (
	"container/list"
	"sort"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/prefix"
)

// maxEntries bounds the blocks that are tracked. A prompt is described by few blocks; an engine's
// memory in blocks of the smallest size has about as many.
const maxEntries = 1 << 16

// Tracker is the cache of one engine. It is not safe for concurrent use.
type Tracker struct {
	memory   identifier.Tokens
	reserved identifier.Tokens
	cached   identifier.Tokens
	// entries holds *entry, the most recently used first; byBlock finds the shared ones.
	entries list.List
	byBlock map[prefix.Block]*list.Element
}

// entry is a block, or the own part of a prompt that no other request shares.
type entry struct {
	block  prefix.Block
	own    bool
	tokens identifier.Tokens
}

// New returns an empty cache of the given capacity in tokens.
func New(memory identifier.Tokens) *Tracker {
	return &Tracker{memory: memory, byBlock: make(map[prefix.Block]*list.Element)}
}

// Cached returns the number of leading prompt tokens that are cached. Sizes holds, by position, the
// number of prompt tokens up to the end of each block.
func (t *Tracker) Cached(blocks []prefix.Block, sizes []identifier.Tokens) identifier.Tokens {
	n := sort.Search(min(len(blocks), len(sizes)), func(i int) bool { return t.byBlock[blocks[i]] == nil })
	if n == 0 {
		return 0
	}
	return sizes[n-1]
}

// Add records a prompt that the engine has computed: its shared blocks, and own tokens that no other
// request shares.
func (t *Tracker) Add(blocks []prefix.Block, sizes []identifier.Tokens, own identifier.Tokens) {
	if own > 0 {
		t.entries.PushFront(&entry{own: true, tokens: own})
		t.cached += own
	}
	// The last block first, so that each block is more recently used than those that follow it.
	for i := min(len(blocks), len(sizes)) - 1; i >= 0; i-- {
		if e := t.byBlock[blocks[i]]; e != nil {
			t.entries.MoveToFront(e)
			continue
		}
		tokens := sizes[i]
		if i > 0 {
			tokens -= sizes[i-1]
		}
		t.byBlock[blocks[i]] = t.entries.PushFront(&entry{block: blocks[i], tokens: max(tokens, 0)})
		t.cached += max(tokens, 0)
	}
	t.evict()
}

// SetReserved sets the memory that running requests take, and evicts what no longer fits.
func (t *Tracker) SetReserved(tokens identifier.Tokens) {
	t.reserved = tokens
	t.evict()
}

// evict removes the least recently used entries until the rest fits.
func (t *Tracker) evict() {
	for t.entries.Len() > 0 && (t.cached > max(t.memory-t.reserved, 0) || t.entries.Len() > maxEntries) {
		last := t.entries.Back()
		e := t.entries.Remove(last).(*entry)
		t.cached -= e.tokens
		if !e.own {
			delete(t.byBlock, e.block)
		}
	}
}
