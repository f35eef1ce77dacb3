// Package fetcher fetches objects that this daemon is missing from peers.
//
// Each peer that announces a higher revision is a source. A fetch asks one of them at random, so
// dozens of daemons that lack the same change spread over those that have it, and each daemon
// that has fetched it becomes a source. A source that is busy serving others is paused
// for [busyPause], and the peers that it names are asked in the meantime.
//
// A revision that is announced during a fetch leads to another fetch afterwards. If it were
// dropped, the daemon would lag until the next digest, which in a large fleet comes seconds
// later, and send requests to endpoints that have long been leaving.
//
// # Usage
//
//	f := fetcher.New(fetcher.Config{RequestSnapshot: supplier.RequestSnapshot, ...})
//	f.Want("10.1.0.4:8109", 24) // never blocks
package fetcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"brasschute/internal/peer/rpc"
	"brasschute/internal/peer/supplier"
	"brasschute/internal/platform/object"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"
)

const (
	// busyPause is how long a source that is busy serving others is paused: it sends the
	// answers that it has admitted within half a second. failedPause is how long a source is
	// paused after a failure. Both are randomized between 0.5 and 1.5 times the value.
	busyPause   = 100 * time.Millisecond
	failedPause = 200 * time.Millisecond
	// maxFailures is how often a source may fail, or have nothing newer, before it is dropped.
	maxFailures = 3
	// sourceLifetime is how long a source is kept that stays busy. The next digest adds it
	// again.
	sourceLifetime = 10 * time.Second
	// otherPeersAsked is how many other peers are asked instead of a source that fails.
	otherPeersAsked = 2
)

// Config holds the fetcher's settings and the functions that it calls.
type Config struct {
	// Kind is the kind of the objects that are fetched.
	Kind string
	// RequestSnapshot returns what a peer knows of a kind after a revision. The error is a
	// *supplier.BusyError if the peer is busy serving others.
	RequestSnapshot func(ctx context.Context, address, kind string, after uint64) (*rpc.SnapshotReply, error)
	// OtherPeers returns the addresses of peers to ask when a source fails.
	OtherPeers func() []string
	// KnownRevision returns how far this daemon is, in the same count as the revisions that
	// peers announce. SinceRevision returns the revision after which objects are requested.
	KnownRevision, SinceRevision func() uint64
	// Apply merges what the peer at an address sent.
	Apply  func(address, kind string, r *rpc.SnapshotReply)
	Logger *log.Logger
}

// source is a peer that has announced a higher revision.
type source struct {
	// revision is the one that the peer announced, at addedAt.
	revision uint64
	addedAt  time.Time
	// pausedUntil is the time before which the source is not asked.
	pausedUntil time.Time
	failures    int
}

// Fetcher fetches one kind of objects, one fetch at a time. It is safe for concurrent use.
type Fetcher struct {
	c Config

	mu      sync.Mutex
	running bool
	sources map[string]*source
	// sourceAdded is closed, and replaced, when a source is added.
	sourceAdded chan struct{}
}

// New returns a fetcher without sources.
func New(c Config) *Fetcher {
	return &Fetcher{c: c, sources: make(map[string]*source), sourceAdded: make(chan struct{})}
}

// Want fetches the objects up to a revision, now or after the fetch under way, from the peer at
// an address or from another one that has them.
func (f *Fetcher) Want(address string, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.add(address, revision)
	if !f.running {
		f.running = true
		go f.run()
	}
}

// add adds a source, unless it is known with that revision or a higher one. The caller holds the
// lock.
func (f *Fetcher) add(address string, revision uint64) {
	s := f.sources[address]
	if s != nil && s.revision >= revision {
		return
	}
	f.sources[address] = &source{revision: revision, addedAt: time.Now()}
	close(f.sourceAdded)
	f.sourceAdded = make(chan struct{})
}

// run fetches until no source has a higher revision.
func (f *Fetcher) run() {
	for {
		address, revision, pause, sourceAdded := f.next()
		switch {
		case address != "":
			f.fetch(address, revision)
		case pause > 0:
			timer := time.NewTimer(pause)
			select {
			case <-timer.C:
			case <-sourceAdded:
			}
			timer.Stop()
		default:
			return
		}
	}
}

// next returns a random source with its revision, or how long to wait for one and the channel
// that is closed when one is added. It returns neither if no source has a higher revision.
func (f *Fetcher) next() (address string, revision uint64, pause time.Duration, sourceAdded <-chan struct{}) {
	known := f.c.KnownRevision()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var free []string
	for a, s := range f.sources {
		switch {
		case s.revision <= known || now.Sub(s.addedAt) > sourceLifetime:
			delete(f.sources, a)
		case s.pausedUntil.After(now):
			if left := s.pausedUntil.Sub(now); pause == 0 || left < pause {
				pause = left
			}
		default:
			free = append(free, a)
		}
	}
	if len(free) > 0 {
		address = free[rand.IntN(len(free))]
		return address, f.sources[address].revision, 0, nil
	}
	f.running = pause > 0
	return "", 0, pause, f.sourceAdded
}

// fetch asks a source once.
func (f *Fetcher) fetch(address string, revision uint64) {
	began := time.Now()
	reply, err := f.c.RequestSnapshot(context.Background(), address, f.c.Kind, f.c.SinceRevision())
	took := time.Since(began).Milliseconds()
	var busy *supplier.BusyError
	switch {
	case errors.As(err, &busy):
		f.pauseSource(address, busyPause, false)
		f.addAll(busy.Holders, revision)
		return
	case err != nil:
		f.c.Logger.Warn("newer objects not fetched from a peer", "address", address, "kind", f.c.Kind, "told", object.LogValue(revision), "took_ms", took, "error", err)
		f.pauseSource(address, failedPause, true)
		f.addAll(f.sampleOtherPeers(), revision)
		return
	}
	f.c.Logger.Info("newer objects fetched", "address", address, "kind", f.c.Kind, "told", object.LogValue(revision), "took_ms", took,
		"objects", len(reply.GetObjects()), "bytes", proto.Size(reply))
	f.c.Apply(address, f.c.Kind, reply)
	if f.c.KnownRevision() < revision {
		// The peer has less than it announced, or does not have it yet.
		f.pauseSource(address, failedPause, true)
	}
}

// pauseSource pauses a source for about the given time, or drops it if it has failed too often.
func (f *Fetcher) pauseSource(address string, pause time.Duration, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sources[address]
	if s == nil {
		return
	}
	if failed {
		s.failures++
	}
	if s.failures >= maxFailures {
		delete(f.sources, address)
		return
	}
	s.pausedUntil = time.Now().Add(pause/2 + rand.N(pause))
}

// addAll adds peers that may have a revision as sources.
func (f *Fetcher) addAll(addresses []string, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range addresses {
		f.add(a, revision)
	}
}

// sampleOtherPeers returns up to otherPeersAsked random other peers.
func (f *Fetcher) sampleOtherPeers() []string {
	all := f.c.OtherPeers()
	rand.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	return all[:min(len(all), otherPeersAsked)]
}
