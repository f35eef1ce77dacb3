// Package gatherer keeps the newest digest of every daemon.
//
// Digests are kept by host and incarnation. A digest replaces one with a lower sequence number,
// so digests may arrive late, twice or in any order. The digests of earlier incarnations are
// kept for [retention], since the requests that an ended process counted belong in the reports
// of its usage windows.
//
// # Usage
//
//	g.Merge(digest, time.Now())
//	for _, e := range g.Digests(time.Now()) { ... }
package gatherer

import (
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"
)

const (
	// retention is longer than the time until a usage window is reported (15 s).
	retention = 40 * time.Second
	// maxEntries leaves room for several incarnations of each of a few hundred daemons.
	maxEntries = 1024
)

// Entry is a digest with the time at which it was received.
type Entry struct {
	Digest     *rpc.Digest
	ReceivedAt time.Time
}

type key struct {
	host        identifier.Host
	incarnation uint64
}

// Gatherer keeps digests. The zero value is empty and ready to use; it is safe for concurrent
// use.
type Gatherer struct {
	mu      sync.Mutex
	entries map[key]Entry
}

// Merge adds a digest and reports whether it was newer than what was kept. It drops digests of
// new daemons when it is full.
func (g *Gatherer) Merge(d *rpc.Digest, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.entries == nil {
		g.entries = make(map[key]Entry)
	}
	k := key{identifier.Host(d.GetHost()), d.GetIncarnation()}
	old, known := g.entries[k]
	if known && old.Digest.GetSequence() >= d.GetSequence() || !known && len(g.entries) >= maxEntries {
		return false
	}
	g.entries[k] = Entry{d, now}
	return true
}

// Digests returns the digests received in the last 40 s, earlier incarnations included, in no
// order.
func (g *Gatherer) Digests(now time.Time) []Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Entry, 0, len(g.entries))
	for k, e := range g.entries {
		if now.Sub(e.ReceivedAt) > retention {
			delete(g.entries, k)
			continue
		}
		out = append(out, e)
	}
	return out
}

// Latest returns the digest of the newest incarnation of each host, out of those of the last
// 40 s.
func (g *Gatherer) Latest(now time.Time) map[identifier.Host]Entry {
	out := make(map[identifier.Host]Entry)
	for _, e := range g.Digests(now) {
		host := identifier.Host(e.Digest.GetHost())
		if old, ok := out[host]; !ok || e.Digest.GetIncarnation() > old.Digest.GetIncarnation() {
			out[host] = e
		}
	}
	return out
}
