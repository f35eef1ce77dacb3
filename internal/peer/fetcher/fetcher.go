// Package fetcher takes over from peers what they know and this daemon lacks.
//
// # News during a fetch
//
// A daemon that lags asks the peer that is ahead for the difference. News that
// comes while it waits for the answer leads to another fetch afterwards: were it
// dropped, the daemon would lag until the next digest, which in a large fleet
// comes seconds later, and send requests to endpoints that have long been
// leaving.
//
// # Usage
//
//	f := fetcher.New(fetcher.Config{Ask: swapper.AskOne, ...})
//	f.Want("10.1.0.4:8109") // never blocks
package fetcher

import (
	"context"
	"sync"
	"time"

	"brasschute/internal/peer/rpc"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"
)

// timeout bounds a fetch: up to a megabyte within a region.
const timeout = time.Second

// Config names the fetcher's collaborators.
type Config struct {
	// Kind of the objects that are fetched.
	Kind string
	// Ask returns what a peer knows of a kind after a revision.
	Ask func(ctx context.Context, address, kind string, after uint64) (*rpc.SnapshotReply, error)
	// Others are peers to ask when one does not answer.
	Others func() []string
	// Since is the revision after which objects are wanted.
	Since func() uint64
	// Take takes in what the peer at an address knows.
	Take   func(address, kind string, r *rpc.SnapshotReply)
	Logger *log.Logger
}

// Fetcher fetches one kind of objects, one fetch at a time. It is safe for
// concurrent use.
type Fetcher struct {
	c Config

	mu     sync.Mutex
	busy   bool
	wanted string
}

// New returns a fetcher that wants nothing.
func New(c Config) *Fetcher { return &Fetcher{c: c} }

// Want asks the peer at an address, now or after the fetch under way.
func (f *Fetcher) Want(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wanted = address
	if !f.busy {
		f.busy = true
		go f.run()
	}
}

func (f *Fetcher) run() {
	for {
		f.mu.Lock()
		address := f.wanted
		f.wanted = ""
		f.busy = address != ""
		f.mu.Unlock()
		if address == "" {
			return
		}
		f.fetch(address)
	}
}

// fetch asks a peer, and if it does not answer the others.
func (f *Fetcher) fetch(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	began := time.Now()
	reply, err := f.c.Ask(ctx, address, f.c.Kind, f.c.Since())
	for _, other := range f.c.Others() {
		if err == nil || ctx.Err() != nil {
			break
		}
		address = other
		reply, err = f.c.Ask(ctx, address, f.c.Kind, f.c.Since())
	}
	took := time.Since(began).Milliseconds()
	if err != nil {
		f.c.Logger.Warn("newer objects not fetched from peers", "address", address, "kind", f.c.Kind, "took_ms", took, "error", err)
		return
	}
	f.c.Logger.Info("newer objects fetched", "address", address, "kind", f.c.Kind, "took_ms", took,
		"objects", len(reply.GetObjects()), "bytes", proto.Size(reply))
	f.c.Take(address, f.c.Kind, reply)
}
