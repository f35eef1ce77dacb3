// Package holder keeps the state of interrupted requests for a while.
//
// # What is kept
//
// When an entry host is reclaimed in mid-stream, its daemon hands the state
// of each stream to peers, and the caller comes back to any daemon with a
// resume token that names them. A daemon also keeps the state of a stream
// whose caller's connection broke. Neither is stored on the platform: it is
// worth keeping only for as long as a caller would still come back.
//
// # Bounds
//
// Entries live for a set time and share a budget of bytes. When the budget is
// spent a new entry is refused, so that whoever hands over can ask the next
// peer; an old entry is never dropped to make room, as its caller has been
// promised that it is here.
//
// # Usage
//
//	h := holder.New(holder.Config{})
//	kept := h.Keep(envelope)
//	envelope, ok := h.Fetch(organisation, request)
package retainer

import (
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"

	"google.golang.org/protobuf/proto"
)

const (
	defaultLifetime = 2 * time.Minute
	defaultBytes    = 32 << 20
)

// Config bounds what is kept.
type Config struct {
	// Lifetime is how long an entry waits for its caller; 2 min if zero.
	Lifetime time.Duration
	// Bytes bounds the sum of all entries; 32 MiB if zero.
	Bytes int
}

type entry struct {
	envelope *rpc.Envelope
	bytes    int
	expires  time.Time
}

type key struct {
	organisation identifier.Organisation
	request      identifier.Request
}

// Retainer keeps envelopes. It is safe for concurrent use.
type Retainer struct {
	c Config

	mu      sync.Mutex
	entries map[key]entry
	bytes   int
}

// New returns an empty holder.
func New(c Config) *Retainer {
	if c.Lifetime == 0 {
		c.Lifetime = defaultLifetime
	}
	if c.Bytes == 0 {
		c.Bytes = defaultBytes
	}
	return &Retainer{c: c, entries: make(map[key]entry)}
}

// Keep stores an envelope, replacing one of the same request that has fewer
// tokens. It reports false when there is no room.
func (h *Retainer) Keep(e *rpc.Envelope) bool {
	k := key{identifier.Organisation(e.Organisation), identifier.Request(e.Request)}
	n := proto.Size(e)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(time.Now())
	old := h.entries[k]
	if old.envelope != nil && len(old.envelope.Delivered) > len(e.Delivered) {
		return true
	}
	if h.bytes-old.bytes+n > h.c.Bytes {
		return false
	}
	h.bytes += n - old.bytes
	h.entries[k] = entry{e, n, time.Now().Add(h.c.Lifetime)}
	return true
}

// Fetch returns an envelope, which stays kept: the daemon that fetched it may
// die before its caller has everything.
func (h *Retainer) Fetch(o identifier.Organisation, r identifier.Request) (*rpc.Envelope, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(time.Now())
	e, ok := h.entries[key{o, r}]
	return e.envelope, ok
}

// Drop forgets a request that has been answered whole.
func (h *Retainer) Drop(o identifier.Organisation, r identifier.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bytes -= h.entries[key{o, r}].bytes
	delete(h.entries, key{o, r})
}

func (h *Retainer) expire(now time.Time) {
	for k := range h.entries {
		if e := h.entries[k]; now.After(e.expires) {
			h.bytes -= e.bytes
			delete(h.entries, k)
		}
	}
}
