// Package claimer makes keyed requests run at most once over the whole fleet.
//
// # Claims
//
// Before the first byte of a keyed request goes to an endpoint, its key is
// claimed on the platform. A claim holds a random token, by which its owner
// knows it again, and a digest of the request, so that a key reused with
// another body is found out. Whoever finds the key claimed by somebody else
// does not run the request.
//
// # Shards and batches
//
// Claims are kept in [Shards] objects, chosen by a hash of the key, each
// written by conditional update only. All claims that arrive while a write is
// under way go into the next one, and what is recorded after a request waits
// a little for a claim to travel with, so that a busy daemon makes less than
// one write a request. No daemon needs to own a shard: the conditional update
// alone is what is safe.
//
// # Lost answers
//
// When the answer to a write is lost, the write may stand, may still come, or
// may never come. The claimer reads back: finding its token it owns the claim;
// else it writes again under the version it read. Either that write takes
// effect, and the lost one can no longer, as its version is gone; or it
// conflicts, because the lost one took effect, and reading shows the token.
//
// A claimer that gives up, as the platform no longer answers, reports that the
// request did not run, and withdraws the claim in the background. Withdrawing
// writes the shard even if the claim is not in it: that makes the condition of
// a write still on its way fail.
//
// # Usage
//
//	claim, err := c.Claim(ctx, claimer.Key{...})
//	var d *claimer.Duplicate
//	if errors.As(err, &d) { answer from d.Prior }
//	defer claim.Release() // if nothing was sent, or
//	claim.Finish(status, contentType, body)
package claimer

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"sync"
	"time"

	"brasschute/internal/platform/object"
)

const (
	// Shards is fixed: changing it would hide earlier claims.
	Shards = 64
	// Retention is how long a key is remembered.
	Retention = 24 * time.Hour
	// maxShard bounds a shard's entries by their estimated bytes.
	maxShard   = 256 << 10
	entryBytes = 160
	// maxAnswer is the largest answer kept for replay.
	maxAnswer  = 2 << 10
	maxTries   = 12
	retryPause = 5 * time.Millisecond
	maxPending = 4096
	// backTime is how long an operation in the background is tried again, with
	// pauses that grow from firstBack to longBack: an outage may last, and a
	// claim that is not withdrawn blocks its key.
	backTime    = 30 * time.Minute
	firstBack   = 250 * time.Millisecond
	longBack    = 5 * time.Second
	companyTime = 400 * time.Millisecond
	keyBytes    = 16
	tokenBytes  = 12
)

// Store is the platform's object API.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, ifVersion uint64, value any) (object.Object, error)
	// Now is the platform's clock.
	Now() time.Time
}

// Config names the store.
type Config struct {
	Store Store
}

// ErrNotClaimed is returned when the platform could not take the claim;
// nothing ran.
var ErrNotClaimed = errors.New("claim not possible")

// Duplicate is the error of a key that is claimed already.
type Duplicate struct {
	Prior Entry
	// SameRequest tells whether the digests agree.
	SameRequest bool
}

// Error names the state of the prior claim.
func (d *Duplicate) Error() string {
	return fmt.Sprintf("key claimed already (done: %t, same request: %t)", d.Prior.Done, d.SameRequest)
}

// Claim is an owned claim.
type Claim struct {
	c     *Claimer
	shard int
	key   string
	entry Entry
}

// Restore rebuilds a claim from its names, for whoever finishes a request
// that another daemon began.
func (c *Claimer) Restore(key, token string) *Claim {
	raw, err := hex.DecodeString(key)
	if err != nil || len(raw) == 0 {
		return nil
	}
	return &Claim{c: c, shard: int(raw[0]) % Shards, key: key, entry: Entry{Token: token}}
}

// Identity returns what Restore needs.
func (m *Claim) Identity() (key, token string) { return m.key, m.entry.Token }

type verb int

const (
	claim verb = iota
	finish
	withdraw
)

type operation struct {
	verb  verb
	key   string
	entry Entry
	// since is when the operation first failed, zero before.
	since time.Time
	done  chan error
}

type queue struct {
	pending []*operation
	busy    bool
	// wake interrupts the wait for company of a batch without a claim.
	wake chan struct{}
	// value and version are those last seen, to save a read.
	value   shard
	version uint64
	known   bool
}

// Claimer makes claims. It is safe for concurrent use.
type Claimer struct {
	store Store

	mu     sync.Mutex
	queues [Shards]queue
	group  sync.WaitGroup
}

// New returns a claimer.
func New(c Config) *Claimer { return &Claimer{store: c.Store} }

// Claim claims a key. The error is a *Duplicate, or wraps ErrImpossible or
// the context's error; after the latter two nothing may be run.
func (c *Claimer) Claim(ctx context.Context, k *Key) (*Claim, error) {
	h := k.hash()
	token := make([]byte, tokenBytes)
	_, _ = rand.Read(token)
	m := &Claim{c: c, shard: int(h[0]) % Shards, key: hex.EncodeToString(h[:keyBytes])}
	m.entry = Entry{Token: base64.RawURLEncoding.EncodeToString(token), Digest: k.Digest}
	op := &operation{verb: claim, key: m.key, entry: m.entry, done: make(chan error, 1)}
	if !c.push(m.shard, op) {
		return nil, fmt.Errorf("%w: too many claims wait", ErrNotClaimed)
	}
	select {
	case err := <-op.done:
		if err != nil {
			return nil, err
		}
		return m, nil
	case <-ctx.Done():
		m.Release()
		return nil, fmt.Errorf("%w: %w", ErrNotClaimed, ctx.Err())
	}
}

// Finish records, in the background, that the request ran, and its answer.
func (m *Claim) Finish(status int, contentType string, answer []byte) {
	e := m.entry
	e.Done = true
	e.Status = status
	if len(answer) <= maxAnswer {
		e.ContentType = contentType
		e.Answer = answer
	}
	m.c.push(m.shard, &operation{verb: finish, key: m.key, entry: e, done: make(chan error, 1)})
}

// Release withdraws, in the background, the claim of a request that did not
// run, so that it can be tried again.
func (m *Claim) Release() {
	m.c.push(m.shard, &operation{verb: withdraw, key: m.key, entry: m.entry, done: make(chan error, 1)})
}

// Wait returns when no operation is pending any more, or after a time, for a
// graceful stop.
func (c *Claimer) Wait(most time.Duration) {
	done := make(chan struct{})
	go func() {
		c.group.Wait()
		close(done)
	}()
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

// push queues an operation; it reports false when the queue is full.
func (c *Claimer) push(i int, op *operation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := &c.queues[i]
	if len(q.pending) >= maxPending {
		return false
	}
	q.pending = append(q.pending, op)
	if op.verb == claim && q.wake != nil {
		close(q.wake)
		q.wake = nil
	}
	if !q.busy {
		q.busy = true
		c.group.Add(1)
		go c.drain(i)
	}
	return true
}
