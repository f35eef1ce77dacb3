// Package migrator migrates the prefix caches of engines whose hosts are leaving.
//
// When the host of an engine is reclaimed its cache is lost, and the next turn of each conversation
// has to recompute its history. The cache can still be exported in the seconds between the notice
// and the end of the host. Each daemon keeps the conversations whose last turn it sent and can
// compute the home to which their next turn will go (see package selector). The migrator makes the
// new home import the blocks of each conversation while the old engine is still running.
//
// A failure costs recomputed tokens but never correctness, so imports are not retried.
//
// # Usage
//
//	m := migrator.New(migrator.Config{Registry: r, Caller: c})
//	m.Trigger()       // after each change of the registry
//	err := m.Serve(ctx)
package migrator

import (
	"context"
	"sync"
	"time"

	"brasschute/internal/core/waiter"
	"brasschute/internal/engine/caller"
	"brasschute/internal/route/registry"
)

const (
	// parallel limits the concurrent imports of one daemon.
	parallel      = 8
	importTimeout = 2 * time.Second
	// collectTime is short compared to the seconds between a notice and the end of the host.
	collectTime = 250 * time.Millisecond
)

// Caller calls engines.
type Caller interface {
	Import(ctx context.Context, address string, i *caller.ImportRequest) error
}

// Registry keeps the conversations and their homes.
type Registry interface {
	// TakeMigratable removes and returns the conversations whose cache is on leaving hosts.
	TakeMigratable() []*registry.Conversation
	// Rehome chooses a new home and returns its address, or "" if there is none.
	Rehome(c *registry.Conversation) string
}

// Config holds the dependencies of a migrator.
type Config struct {
	Registry Registry
	Caller   Caller
}

// Migrator migrates prefix caches off leaving hosts.
type Migrator struct {
	c         Config
	triggered chan struct{}
}

// New returns a migrator.
func New(c Config) *Migrator { return &Migrator{c: c, triggered: make(chan struct{}, 1)} }

// Trigger starts a round of migrations soon.
func (m *Migrator) Trigger() {
	select {
	case m.triggered <- struct{}{}:
	default:
	}
}

// Serve migrates caches after each Trigger until ctx ends.
func (m *Migrator) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.triggered:
			// Wait for the other notices of the same wave: a cache that migrates to a host that
			// leaves next would be lost.
			waiter.For(ctx, collectTime)
			m.migrate(ctx)
		}
	}
}

// migrate migrates the conversations whose cache is on leaving hosts and waits for the imports.
func (m *Migrator) migrate(ctx context.Context) {
	slots := make(chan struct{}, parallel)
	var group sync.WaitGroup
	for _, c := range m.c.Registry.TakeMigratable() {
		source := c.Address
		address := m.c.Registry.Rehome(c)
		if address == "" || address == source {
			continue
		}
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, importTimeout)
			defer cancel()
			_ = m.c.Caller.Import(ctx, address, &caller.ImportRequest{Source: source, Blocks: c.Blocks})
		})
	}
	group.Wait()
}
