package engine

import (
	"bytes"
	"container/list"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"brasschute/internal/engine/prefix"
)

const (
	// maxEvents is the number of cache events above which the older half is dropped.
	maxEvents     = 4096
	importTimeout = 500 * time.Millisecond
)

// Event is a block that was stored in the prefix cache or evicted from it. Events are
// numbered from 1.
type Event struct {
	Number uint64
	Block  prefix.Block
	Stored bool
}

// Events holds the remembered events after a number, and the number of the newest
// event. If the first event is not the one after the number asked for, some were
// lost.
type Events struct {
	Next   uint64
	Events []Event
}

// blockCache is a prefix cache with LRU eviction.
type blockCache struct {
	size   int
	order  *list.List
	blocks map[prefix.Block]*list.Element
	last   uint64
	events []Event
}

func newBlockCache(size int) blockCache {
	return blockCache{size: size, order: list.New(), blocks: make(map[prefix.Block]*list.Element)}
}

// match returns the number of leading blocks that are cached.
func (c *blockCache) match(blocks []prefix.Block) int {
	for i, b := range blocks {
		if c.blocks[b] == nil {
			return i
		}
	}
	return len(blocks)
}

// add stores blocks, or marks them as used, and evicts the least recently used ones
// above the size.
func (c *blockCache) add(blocks []prefix.Block) {
	for _, b := range blocks {
		if el := c.blocks[b]; el != nil {
			c.order.MoveToFront(el)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		c.addEvent(b, true)
	}
	for c.order.Len() > c.size {
		oldest := c.order.Back()
		b := c.order.Remove(oldest).(prefix.Block)
		delete(c.blocks, b)
		c.addEvent(b, false)
	}
}

// addEvent records the change of a block.
func (c *blockCache) addEvent(b prefix.Block, stored bool) {
	c.last++
	c.events = append(c.events, Event{c.last, b, stored})
	if len(c.events) > maxEvents {
		c.events = append([]Event(nil), c.events[maxEvents/2:]...)
	}
}

func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	out := Events{Next: e.cache.last}
	for _, ev := range e.cache.events {
		if ev.Number > after {
			out.Events = append(out.Events, ev)
		}
	}
	answer(w, out)
}

// exportStream answers with the blocks of a stream's prompt, whether cached or not.
func (e *Engine) exportStream(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[r.PathValue("id")]
	if !ok {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	answer(w, prefix.Blocks(nil, s.prompt))
}

// exportBlocks answers with the leading blocks of a list that are cached.
func (e *Engine) exportBlocks(w http.ResponseWriter, r *http.Request) {
	var blocks []prefix.Block
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&blocks) != nil {
		http.Error(w, "a list of blocks", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	answer(w, blocks[:e.cache.match(blocks)])
}

// importBlocks copies blocks from the engine that holds them.
func (e *Engine) importBlocks(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Source string
		Blocks []prefix.Block
	}
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&in) != nil {
		http.Error(w, "a source and a list of blocks", http.StatusBadRequest)
		return
	}
	body, _ := json.Marshal(in.Blocks)
	ctx, cancel := context.WithTimeout(r.Context(), importTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+in.Source+"/v1/kv/export", bytes.NewReader(body))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.fetch(req)
	w.WriteHeader(http.StatusNoContent)
}

// fetch calls another engine and adds the blocks of its answer to the cache. A
// failure is ignored: the tokens are then computed again.
func (e *Engine) fetch(req *http.Request) {
	resp, err := e.c.Transport.RoundTrip(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var blocks []prefix.Block
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&blocks) != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.add(blocks)
}

// importStream copies a stream's cache blocks from another engine.
func (e *Engine) importStream(ctx context.Context, source, id string) {
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+source+"/v1/kv/"+id, nil)
	if err != nil {
		return
	}
	e.fetch(req)
}
