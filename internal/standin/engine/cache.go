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
	eventMemory   = 4096
	importTimeout = 500 * time.Millisecond
)

// Event is one change of the prefix cache.
type Event struct {
	Number uint64
	Block  prefix.Block
	Stored bool
}

// Events is an answer of the events path: what is still remembered after a
// number. First above the number asked for plus one shows a gap.
type Events struct {
	Next   uint64
	Events []Event
}

// blockCache is a prefix cache that drops the blocks used least recently.
type blockCache struct {
	size   int
	order  *list.List
	blocks map[prefix.Block]*list.Element
	next   uint64
	events []Event
}

func newBlockCache(size int) blockCache {
	return blockCache{size: size, order: list.New(), blocks: make(map[prefix.Block]*list.Element)}
}

// match counts the leading blocks that are cached.
func (c *blockCache) match(blocks []prefix.Block) int {
	for i, b := range blocks {
		if c.blocks[b] == nil {
			return i
		}
	}
	return len(blocks)
}

func (c *blockCache) add(blocks []prefix.Block) {
	for _, b := range blocks {
		if el := c.blocks[b]; el != nil {
			c.order.MoveToFront(el)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		c.tell(b, true)
	}
	for c.order.Len() > c.size {
		oldest := c.order.Back()
		b := c.order.Remove(oldest).(prefix.Block)
		delete(c.blocks, b)
		c.tell(b, false)
	}
}

func (c *blockCache) tell(b prefix.Block, stored bool) {
	c.next++
	c.events = append(c.events, Event{c.next, b, stored})
	if len(c.events) > eventMemory {
		c.events = append([]Event(nil), c.events[eventMemory/2:]...)
	}
}

func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	out := Events{Next: e.cache.next}
	for _, ev := range e.cache.events {
		if ev.Number > after {
			out.Events = append(out.Events, ev)
		}
	}
	answer(w, out)
}

// export answers with the cached blocks of a stream's prompt.
func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[r.PathValue("id")]
	if !ok {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	answer(w, prefix.Blocks(nil, s.prompt))
}

// exportKV answers with those of the blocks asked for that are cached.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var asked []prefix.Block
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&asked) != nil {
		http.Error(w, "a list of blocks", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	answer(w, asked[:e.cache.match(asked)])
}

// importKV copies blocks from the engine that holds them.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
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
	e.take(req)
	w.WriteHeader(http.StatusNoContent)
}

// take adds the blocks that another engine answers with to the cache.
func (e *Engine) take(req *http.Request) {
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

// importBlocks copies a stream's cache blocks from another engine. Failing is
// no error: the tokens are then computed again.
func (e *Engine) importBlocks(ctx context.Context, source, id string) {
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+source+"/v1/kv/"+id, nil)
	if err != nil {
		return
	}
	e.take(req)
}
