// Package retainer keeps the state of interrupted requests until their clients return.
//
// When an entry host is reclaimed in mid-stream, its daemon hands the state of each stream to
// peers, and the client comes back to any daemon with a resume token that names them. A daemon
// also keeps the state of a stream whose client connection broke. Neither is stored on the
// platform, as it is only useful while a client may still come back.
//
// Entries are kept for a set time and share a budget of bytes. When the budget is spent, new
// entries are refused, so that the daemon that hands them over can ask the next peer. An old
// entry is never dropped to make room, as its client has been told that it is kept here.
//
// # Usage
//
//	r := retainer.New(retainer.Config{})
//	kept := r.Keep(envelope)
//	envelope, ok := r.Fetch(organisation, request)
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
	// Lifetime is how long an entry is kept; 2 min if zero.
	Lifetime time.Duration
	// Bytes bounds the sum of all entries' sizes; 32 MiB if zero.
	Bytes int
}

// entry is an envelope with its size in bytes.
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

// New returns an empty retainer.
func New(c Config) *Retainer {
	if c.Lifetime == 0 {
		c.Lifetime = defaultLifetime
	}
	if c.Bytes == 0 {
		c.Bytes = defaultBytes
	}
	return &Retainer{c: c, entries: make(map[key]entry)}
}

// Keep keeps an envelope, in place of one of the same request that has fewer tokens. It reports
// whether the request's state is kept; false means that there is no room.
func (r *Retainer) Keep(e *rpc.Envelope) bool {
	k := key{identifier.Organisation(e.Organisation), identifier.Request(e.Request)}
	n := proto.Size(e)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(time.Now())
	old := r.entries[k]
	if old.envelope != nil && len(old.envelope.Delivered) > len(e.Delivered) {
		return true
	}
	if r.bytes-old.bytes+n > r.c.Bytes {
		return false
	}
	r.bytes += n - old.bytes
	r.entries[k] = entry{e, n, time.Now().Add(r.c.Lifetime)}
	return true
}

// Fetch returns a request's envelope. It stays kept, as the daemon that fetches it may end
// before the client has the whole answer.
func (r *Retainer) Fetch(organisation identifier.Organisation, request identifier.Request) (*rpc.Envelope, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(time.Now())
	e, ok := r.entries[key{organisation, request}]
	return e.envelope, ok
}

// Drop drops the envelope of a request that has been answered in full.
func (r *Retainer) Drop(organisation identifier.Organisation, request identifier.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes -= r.entries[key{organisation, request}].bytes
	delete(r.entries, key{organisation, request})
}

// expire drops the entries whose lifetime has passed.
func (r *Retainer) expire(now time.Time) {
	for k := range r.entries {
		if e := r.entries[k]; now.After(e.expires) {
			r.bytes -= e.bytes
			delete(r.entries, k)
		}
	}
}
