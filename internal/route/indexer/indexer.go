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
	// common is the number of requests with a block after which it counts as
	// part of a preamble rather than of one conversation.
	common = 8
)

type entry struct {
	holders [holders]int32
	// sent counts the requests with this block that this daemon sent.
	sent uint8
}

func (e *entry) empty() bool { return e.holders[0] == 0 }

// Indexer maps blocks to endpoint numbers above zero. The zero value is
// ready; it is not safe for concurrent use.
type Indexer struct {
	newer map[prefix.Block]entry
	older map[prefix.Block]entry
}

// RecordSent records that a request with these blocks was sent to an endpoint, which
// will hold them.
func (x *Indexer) RecordSent(blocks []prefix.Block, id int32) {
	for _, b := range blocks {
		e := x.get(b)
		e.add(id)
		if e.sent < common {
			e.sent++
		}
		x.put(b, e)
	}
}

// Add records that an endpoint holds a block.
func (x *Indexer) Add(b prefix.Block, id int32) {
	e := x.get(b)
	e.add(id)
	x.put(b, e)
}

// Remove records that an endpoint dropped a block.
func (x *Indexer) Remove(b prefix.Block, id int32) {
	e := x.get(b)
	if e.empty() {
		return
	}
	e.remove(id)
	x.put(b, e)
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

// add puts id first and keeps the latest others.
func (e *entry) add(id int32) {
	e.remove(id)
	copy(e.holders[1:], e.holders[:holders-1])
	e.holders[0] = id
}

func (e *entry) remove(id int32) {
	n := 0
	for _, old := range e.holders {
		if old != id {
			e.holders[n] = old
			n++
		}
	}
	clear(e.holders[n:])
}

// ConversationBlock returns the first block that only few requests have had: blocks before
// it belong to a common preamble, and this one to the conversation. It returns
// 0 if there is none.
//
// To count the endpoints that hold a block would not do: a preamble that
// decides where its requests go is held at one endpoint only, and would draw
// all of them there for ever.
func (x *Indexer) ConversationBlock(blocks []prefix.Block) prefix.Block {
	for _, b := range blocks {
		if x.get(b).sent < common {
			return b
		}
	}
	return 0
}

// Match calls f with each endpoint that holds leading blocks and their count;
// for one endpoint it calls with rising counts.
func (x *Indexer) Match(blocks []prefix.Block, f func(id int32, n int)) {
	for i, b := range blocks {
		e := x.get(b)
		if e.empty() {
			return
		}
		for _, id := range e.holders {
			if id != 0 {
				f(id, i+1)
			}
		}
	}
}
