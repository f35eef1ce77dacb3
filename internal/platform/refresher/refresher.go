// Package refresher brings a list that is followed up to date with the store, on demand.
//
// A daemon that follows the store, or hears of changes from others, can't tell from its own list that it has missed one: links
// may be cut, and the process may have stood still. A [Refresher] asks the store what has changed since the revision of
// the list, and applies that. Once [Refresher.Refresh] has returned without an error, the list has all that the store
// had acknowledged when it was called.
//
// The callers that come during a call share the next one. There is one call at a time, and one in [minInterval] at most.
//
// # Usage
//
//	r := refresher.New(refresher.Config{Store: s, Kind: kind, Revision: list.Revision, Apply: list.Apply})
//	if err := r.Refresh(ctx); err == nil { ... } // the list is as new as this call
package refresher

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"brasschute/internal/platform/object"
)

const (
	// minInterval is the least time between the begins of two calls.
	minInterval = 50 * time.Millisecond
	// timeout bounds a call: the store answers within milliseconds.
	timeout = 150 * time.Millisecond
	// watchTime is how long the store may wait for a change. It answers at once if there is one.
	watchTime = time.Millisecond
)

// errNotListed means that there is no list yet.
var errNotListed = errors.New("refresher: nothing is listed yet")

// Store returns the changes of a kind of objects after a revision, up to the moment at which it answers. The error is
// [object.ErrGap] if they are not known.
type Store interface {
	Watch(ctx context.Context, after uint64, wait time.Duration, kinds ...string) (object.Page, error)
}

// Config holds the dependencies of a refresher.
type Config struct {
	Store Store
	Kind  string
	// Revision returns the revision up to which the list has all changes; 0 if there is none. Apply applies later ones, and
	// returns once all that Revision counts are in force; it is called after each answer, also without changes.
	Revision func() uint64
	Apply    func([]object.Object)
}

// Refresher refreshes one list. It is safe for concurrent use.
type Refresher struct {
	c Config

	mu sync.Mutex
	// next is the call that begins next; nil if nobody waits for it. busy is set while there is a goroutine that calls.
	next *call
	busy bool
}

// call is a call to the store that some callers wait for.
type call struct {
	done chan struct{}
	err  error
}

// New returns a refresher.
func New(c Config) *Refresher { return &Refresher{c: c} }

// Refresh brings the list up to date. The error is that of the store, or of ctx.
func (r *Refresher) Refresh(ctx context.Context) error {
	c := r.join()
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join returns a call that has not begun yet.
func (r *Refresher) join() *call {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &call{done: make(chan struct{})}
	}
	if !r.busy {
		r.busy = true
		go r.run()
	}
	return r.next
}

// run makes calls until nobody waits for one.
func (r *Refresher) run() {
	for c := r.take(); c != nil; c = r.take() {
		begun := time.Now()
		c.err = r.refresh()
		close(c.done)
		time.Sleep(minInterval - time.Since(begun))
	}
}

// take returns the next call, or nil if nobody waits for one.
func (r *Refresher) take() *call {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.next
	r.next, r.busy = nil, c != nil
	return c
}

// refresh makes one call.
func (r *Refresher) refresh() error {
	revision := r.c.Revision()
	if revision == 0 {
		return errNotListed
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	page, err := r.c.Store.Watch(ctx, revision, watchTime, r.c.Kind)
	if err != nil {
		return fmt.Errorf("refresher: changes after %v: %w", object.LogValue(revision), err)
	}
	r.c.Apply(page.Objects)
	return nil
}
