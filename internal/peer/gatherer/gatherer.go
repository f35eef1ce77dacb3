// Package gatherer keeps the newest digest of every daemon.
//
// # What a digest replaces
//
// A digest is known by host and incarnation; a higher sequence replaces a
// lower one, so digests may come late, twice or in any order. The digests of
// an earlier incarnation stay for [memory]: what a killed process counted
// still belongs into the reports of its windows.
//
// # Usage
//
//	g.Merge(digest, time.Now())
//	for _, e := range g.Entries(time.Now()) { ... }
package gatherer

import (
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"
)

const (
	// memory outlasts the time until a window of usage is reported (15 s).
	memory = 40 * time.Second
	// maxEntries bounds what is kept: several incarnations of each of a few
	// hundred daemons.
	maxEntries = 1024
)

// Entry is a digest with the time at which it came.
type Entry struct {
	Digest *rpc.Digest
	ReceivedAt  time.Time
}

type key struct {
	host        identifier.Host
	incarnation uint64
}

// Gatherer holds digests. The zero value holds none; it is safe for concurrent
// use.
type Gatherer struct {
	mu      sync.Mutex
	entries map[key]Entry
}

// Merge takes in a digest and reports whether it was news.
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

// Entries returns what was heard within memory, earlier incarnations too.
func (g *Gatherer) Entries(now time.Time) []Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Entry, 0, len(g.entries))
	for k, e := range g.entries {
		if now.Sub(e.ReceivedAt) > memory {
			delete(g.entries, k)
			continue
		}
		out = append(out, e)
	}
	return out
}

// Latest returns the newest incarnation of each host.
func (g *Gatherer) Latest(now time.Time) map[identifier.Host]Entry {
	out := make(map[identifier.Host]Entry)
	for _, e := range g.Entries(now) {
		host := identifier.Host(e.Digest.GetHost())
		if old, ok := out[host]; !ok || e.Digest.GetIncarnation() > old.Digest.GetIncarnation() {
			out[host] = e
		}
	}
	return out
}
