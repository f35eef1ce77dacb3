// Package indexer keeps a prefix cache index: which endpoints have which prompt blocks cached.
//
// The index is filled by the requests that the daemon itself sent and by cache events, which arrive
// late and with gaps. It is only a hint: a wrong entry costs some recomputed tokens but never
// correctness.
//
// The index consists of two generations of at most [generationBlocks] blocks each. When the newer
// one is full it becomes the older one, and the former older one is dropped. A block that is
// written again is copied to the newer generation. Each block lists at most [holders] endpoints,
// the latest ones.
//
// # Usage
//
//	x.RecordSent(blocks, id)
//	x.Match(blocks, func(id int32, n int) { ... })
package indexer

import "brasschute/internal/engine/prefix"

const (
	// generationBlocks limits the blocks of a generation, holders the endpoints of a block.
	generationBlocks = 1 << 15
	holders          = 4
	// commonRequests is the number of requests with a block from which on the block counts as part
	// of a common preamble rather than of one conversation.
	commonRequests = 8
)

// entry is what is known of a block.
type entry struct {
	// holders are the numbers of the endpoints that have the block cached, latest first; 0 is unused.
	holders [holders]int32
	// sent counts the requests with this block that this daemon sent.
	sent uint8
}

func (e *entry) empty() bool { return e.holders[0] == 0 }

// Indexer maps blocks to endpoint numbers greater than zero. The zero value is ready for use. It is
// not safe for concurrent use.
type Indexer struct {
	newer map[prefix.Block]entry
	older map[prefix.Block]entry
}

// RecordSent records that a request with these blocks was sent to an endpoint, which will cache
// them.
func (x *Indexer) RecordSent(blocks []prefix.Block, id int32) {
	for _, b := range blocks {
		e := x.get(b)
		e.add(id)
		if e.sent < commonRequests {
			e.sent++
		}
		x.put(b, e)
	}
}

// Add records that an endpoint has cached a block.
func (x *Indexer) Add(b prefix.Block, id int32) {
	e := x.get(b)
	e.add(id)
	x.put(b, e)
}

// Remove records that an endpoint evicted a block.
func (x *Indexer) Remove(b prefix.Block, id int32) {
	e := x.get(b)
	if e.empty() {
		return
	}
	e.remove(id)
	x.put(b, e)
}

// get returns the entry of a block from either generation, the zero value if there is none.
func (x *Indexer) get(b prefix.Block) entry {
	if e, ok := x.newer[b]; ok {
		return e
	}
	return x.older[b]
}

// put stores the entry of a block in the newer generation, and begins another one if it is full.
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

// remove removes id and closes the gap.
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

// ConversationBlock returns the first block that only a few requests have had, or 0 if there is
// none. The blocks before it belong to a common preamble, and this one to the conversation.
//
// Counting the endpoints that hold a block would not work: a preamble that determines where its
// requests go is held by one endpoint only, and would attract all of them there permanently.
func (x *Indexer) ConversationBlock(blocks []prefix.Block) prefix.Block {
	for _, b := range blocks {
		if x.get(b).sent < commonRequests {
			return b
		}
	}
	return 0
}

// Match calls f with each endpoint that holds leading blocks and their number. The numbers increase
// from call to call for one endpoint.
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
