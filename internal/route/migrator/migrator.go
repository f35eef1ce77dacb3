// Package evacuator saves cached prompts from engines that are leaving.
//
// # Why
//
// When an engine's host is reclaimed, its cache goes with it, and the next
// turn of each conversation has to compute its history anew. The notice leaves
// seconds in which the cache can still be exported. Each daemon knows the
// conversations whose last turn it sent, and where their next turn will go
// (see the homes of package selector); it has the new home import their
// blocks while the old engine still lives.
//
// Failing costs recomputed tokens, never correctness, so nothing here is
// retried.
//
// # Usage
//
//	e := evacuator.New(evacuator.Config{Registry: r, Caller: c})
//	e.Hurry()         // after each change of the registry
//	err := e.Serve(ctx)
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
	// parallel bounds the imports that one daemon has under way.
	parallel = 8
	timeout  = 2 * time.Second
	// gatherTime is short against the seconds of a notice.
	gatherTime = 250 * time.Millisecond
)

// Caller reaches engines.
type Caller interface {
	Import(ctx context.Context, address string, i *caller.ImportRequest) error
}

// Registry knows conversations and their homes.
type Registry interface {
	Evacuees() []*registry.Conversation
	Settle(c *registry.Conversation) string
}

// Config names the evacuator's collaborators.
type Config struct {
	Registry Registry
	Caller   Caller
}

// Migrator imports caches as hosts leave.
type Migrator struct {
	c      Config
	urgent chan struct{}
}

// New returns an evacuator.
func New(c Config) *Migrator { return &Migrator{c: c, urgent: make(chan struct{}, 1)} }

// Trigger makes it look for leaving hosts.
func (e *Migrator) Trigger() {
	select {
	case e.urgent <- struct{}{}:
	default:
	}
}

// Serve works until ctx ends.
func (e *Migrator) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.urgent:
			// Until a wave of notices is in: a cache that moves to a host which
			// is the next to leave would be lost on the way.
			waiter.For(ctx, gatherTime)
			e.round(ctx)
		}
	}
}

func (e *Migrator) round(ctx context.Context) {
	slots := make(chan struct{}, parallel)
	var group sync.WaitGroup
	for _, c := range e.c.Registry.Evacuees() {
		source := c.Address
		address := e.c.Registry.Settle(c)
		if address == "" || address == source {
			continue
		}
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			_ = e.c.Caller.Import(ctx, address, &caller.ImportRequest{Source: source, Blocks: c.Blocks})
		})
	}
	group.Wait()
}
