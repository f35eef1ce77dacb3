// Package fetcher takes over from peers what they know and this daemon lacks.
//
// # Sources
//
// Each peer that tells of something newer is a source. A fetch asks one of them at
// random: dozens of daemons that lag by the same change then spread over those that
// have it, and whoever has it is a source for the others. A source that serves others
// first is left alone for a moment, and the peers that it names are asked meanwhile.
//
// # News during a fetch
//
// News that comes while an answer is awaited leads to another fetch afterwards: were it
// dropped, the daemon would lag until the next digest, which in a large fleet comes
// seconds later, and send requests to endpoints that have long been leaving.
//
// # Usage
//
//	f := fetcher.New(fetcher.Config{Ask: supplier.Ask, ...})
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

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"
)

const (
	// busyPause is how long a source that serves others first is left alone: it has
	// sent what it had admitted within half a second. failedPause is that of one that
	// failed.
	busyPause   = 100 * time.Millisecond
	failedPause = 200 * time.Millisecond
	// maxTries is how often a source is asked that fails, or has nothing newer.
	maxTries = 3
	// patience is how long a source counts that keeps serving others first; the next
	// digest names it again.
	patience = 10 * time.Second
	// askOthers is how many other peers are asked instead of a source that fails.
	askOthers = 2
)

// Config names the fetcher's collaborators.
type Config struct {
	// Kind of the objects that are fetched.
	Kind string
	// RequestSnapshot returns what a peer knows of a kind after a revision. A *supplier.BusyError
	// says that it serves others first.
	RequestSnapshot func(ctx context.Context, address, kind string, after uint64) (*rpc.SnapshotReply, error)
	// OtherPeers are peers to ask when a source fails.
	OtherPeers func() []string
	// KnownRevision is how far this daemon is, by the measure in which peers tell; SinceRevision the
	// revision after which objects are wanted.
	KnownRevision, SinceRevision func() uint64
	// Apply takes in what the peer at an address knows.
	Apply   func(address, kind string, r *rpc.SnapshotReply)
	Logger *log.Logger
}

// source is a peer that is ahead.
type source struct {
	// told is how far it is, since when it has been known.
	told  uint64
	since time.Time
	// rest is until when it is left alone.
	rest  time.Time
	tries int
}

// Fetcher fetches one kind of objects, one fetch at a time. It is safe for
// concurrent use.
type Fetcher struct {
	c Config

	mu      sync.Mutex
	busy    bool
	sources map[string]*source
	// woken is closed when a source comes.
	woken chan struct{}
}

// New returns a fetcher that wants nothing.
func New(c Config) *Fetcher {
	return &Fetcher{c: c, sources: make(map[string]*source), woken: make(chan struct{})}
}

// Want fetches from the peer at an address, or another that is as far, now or after the
// fetch under way.
func (f *Fetcher) Want(address string, told uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.add(address, told)
	if !f.busy {
		f.busy = true
		go f.run()
	}
}

// add makes a source known, which is news if it is further than before. The caller holds
// the lock.
func (f *Fetcher) add(address string, told uint64) {
	s := f.sources[address]
	if s != nil && s.told >= told {
		return
	}
	f.sources[address] = &source{told: told, since: time.Now()}
	close(f.woken)
	f.woken = make(chan struct{})
}

// run fetches until no source is ahead.
func (f *Fetcher) run() {
	for {
		address, told, pause, woken := f.next()
		switch {
		case address != "":
			f.fetch(address, told)
		case pause > 0:
			timer := time.NewTimer(pause)
			select {
			case <-timer.C:
			case <-woken:
			}
			timer.Stop()
		default:
			return
		}
	}
}

// next picks a source, or tells how long to wait for one; neither if none is ahead.
func (f *Fetcher) next() (address string, told uint64, pause time.Duration, woken <-chan struct{}) {
	known := f.c.KnownRevision()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var free []string
	for a, s := range f.sources {
		switch {
		case s.told <= known || now.Sub(s.since) > patience:
			delete(f.sources, a)
		case s.rest.After(now):
			if left := s.rest.Sub(now); pause == 0 || left < pause {
				pause = left
			}
		default:
			free = append(free, a)
		}
	}
	if len(free) > 0 {
		address = free[rand.IntN(len(free))]
		return address, f.sources[address].told, 0, nil
	}
	f.busy = pause > 0
	return "", 0, pause, f.woken
}

// fetch asks a source once.
func (f *Fetcher) fetch(address string, told uint64) {
	began := time.Now()
	reply, err := f.c.RequestSnapshot(context.Background(), address, f.c.Kind, f.c.SinceRevision())
	took := time.Since(began).Milliseconds()
	var busy *supplier.BusyError
	switch {
	case errors.As(err, &busy):
		f.rest(address, busyPause, false)
		f.instead(busy.Holders, told)
		return
	case err != nil:
		f.c.Logger.Warn("newer objects not fetched from a peer", "address", address, "kind", f.c.Kind, "told", told, "took_ms", took, "error", err)
		f.rest(address, failedPause, true)
		f.instead(f.others(), told)
		return
	}
	f.c.Logger.Info("newer objects fetched", "address", address, "kind", f.c.Kind, "told", told, "took_ms", took,
		"objects", len(reply.GetObjects()), "bytes", proto.Size(reply))
	f.c.Apply(address, f.c.Kind, reply)
	if f.c.KnownRevision() < told {
		// It has less than was said, or is not as far yet.
		f.rest(address, failedPause, true)
	}
}

// rest leaves a source alone for about a pause; one that has failed too often is
// forgotten.
func (f *Fetcher) rest(address string, pause time.Duration, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sources[address]
	if s == nil {
		return
	}
	if failed {
		s.tries++
	}
	if s.tries >= maxTries {
		delete(f.sources, address)
		return
	}
	s.rest = time.Now().Add(pause/2 + rand.N(pause))
}

// instead makes peers known that may be as far as a source.
func (f *Fetcher) instead(addresses []string, told uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range addresses {
		f.add(a, told)
	}
}

// others are some of the peers that answered lately.
func (f *Fetcher) others() []string {
	all := f.c.OtherPeers()
	rand.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	return all[:min(len(all), askOthers)]
}
