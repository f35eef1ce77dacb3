// Package indexer remembers which endpoints have which prompt blocks cached.
//
// # How sure it is
//
// The index is filled by what the daemon itself sent and by cache events,
// which come late and with gaps. It is a hint: a wrong entry costs some
// recomputed tokens and never correctness.
//
// # Bounds
//
// Two generations of at most [generationBlocks] blocks each: when the newer
// is full it becomes the older, and the former older one is dropped. A block
// that is used is copied to the newer. Each block names at most [holders]
// endpoints, the latest.
//
// # Usage
//
//	x.Add(blocks, id)
//	x.Match(blocks, func(id int32, n int) { ... })
package indexer

import "brasschute/internal/engine/prefix"

const (
	generationBlocks = 1 << 15
	holders          = 4
)

type entry [holders]int32

// Indexer maps blocks to endpoint numbers above zero. The zero value is
// ready; it is not safe for concurrent use.
type Indexer struct {
	newer map[prefix.Block]entry
	older map[prefix.Block]entry
}

// Add records that an endpoint holds blocks.
func (x *Indexer) Add(blocks []prefix.Block, id int32) {
	for _, b := range blocks {
		e := x.get(b)
		x.put(b, e.with(id))
	}
}

// Remove records that an endpoint dropped a block.
func (x *Indexer) Remove(b prefix.Block, id int32) {
	e := x.get(b)
	if e == (entry{}) {
		return
	}
	x.put(b, e.without(id))
}

func (x *Indexer) get(b prefix.Block) entry {
	if e, ok := x.newer[b]; ok {
		return e
	}
	return x.older[b]
}

func (x *Indexer) put(b prefix.Block, e entry) {
	if x.newer == nil || len(x.newer) >= generationBlocks {
		x.older = x.newer
		x.newer = make(map[prefix.Block]entry)
	}
	x.newer[b] = e
}

// with puts id first and keeps the latest others.
func (e entry) with(id int32) entry {
	out := entry{id}
	n := 1
	for _, old := range e {
		if old != 0 && old != id && n < holders {
			out[n] = old
			n++
		}
	}
	return out
}

func (e entry) without(id int32) entry {
	var out entry
	n := 0
	for _, old := range e {
		if old != 0 && old != id {
			out[n] = old
			n++
		}
	}
	return out
}

// Match calls f with each endpoint that holds leading blocks and their count;
// for one endpoint it calls with rising counts.
func (x *Indexer) Match(blocks []prefix.Block, f func(id int32, n int)) {
	for i, b := range blocks {
		e := x.get(b)
		if e == (entry{}) {
			return
		}
		for _, id := range e {
			if id != 0 {
				f(id, i+1)
			}
		}
	}
}
