// Package claimer makes requests with an idempotency key run at most once over the
// whole fleet.
//
// Before the first byte of a keyed request goes to an endpoint, its key is claimed
// on the platform. A claim holds a random token, by which its owner recognises it,
// and a digest of the request, by which a key reused with another body is detected.
// A daemon that finds the key claimed with another token does not run the request.
//
// Claims are kept in [Shards] objects, chosen by a hash of the key. Each is written by
// conditional update only, so that no daemon needs to own a shard. Claims that arrive
// during a write are batched into the next one. A result that is recorded after a
// request waits briefly, so that it can share a write with a claim and a busy daemon
// makes less than one write a request.
//
// If the answer to a write is lost, the write may have taken effect, may do so
// later, or never. The claimer then reads the shard. If its token is there, it owns
// the claim. Otherwise it writes again under the version it read. Either that write
// takes effect, and the lost one no longer can, as its version is gone; or it
// conflicts because the lost one took effect, and the next read shows the token.
//
// A claimer that gives up because the platform does not answer reports that the
// request did not run, and withdraws the claim in the background. Withdrawing
// writes the shard even if the claim is not in it, so that the condition of a write
// still on its way fails.
//
// # Usage
//
//	claim, err := c.Claim(ctx, &claimer.Key{...})
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
	// Shards is the number of shards. It must not change, as that would hide earlier claims.
	Shards = 64
	// Retention is how long a claim is kept.
	Retention = 24 * time.Hour
	// maxShardBytes bounds the estimated size of a shard's entries; entryBytes is the
	// estimate of an entry without its answer.
	maxShardBytes = 256 << 10
	entryBytes    = 160
	// maxAnswerBytes is the largest answer that is kept for replay.
	maxAnswerBytes   = 2 << 10
	maxWriteAttempts = 12
	retryPause       = 5 * time.Millisecond
	maxPending       = 4096
	// backgroundRetryTime is how long a background operation is retried, with pauses that
	// grow from minBackgroundPause to maxBackgroundPause. An outage may last, and a claim
	// that is not withdrawn blocks its key.
	backgroundRetryTime = 30 * time.Minute
	minBackgroundPause  = 250 * time.Millisecond
	maxBackgroundPause  = 5 * time.Second
	// batchWait is how long background operations wait for a claim that they can share a write
	// with.
	batchWait  = 400 * time.Millisecond
	keyBytes   = 16
	tokenBytes = 12
)

// Store is the platform's object API.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, ifVersion uint64, value any) (object.Object, error)
	// Now returns the time of the platform.
	Now() time.Time
}

// Config holds the dependencies of a Claimer.
type Config struct {
	Store Store
}

// ErrNotClaimed is returned if the claim could not be stored. Nothing was run.
var ErrNotClaimed = errors.New("claim not possible")

// Duplicate is the error for a key that is claimed already.
type Duplicate struct {
	Prior Entry
	// SameRequest is set if the digests of both requests are equal.
	SameRequest bool
}

// Error describes the state of the prior claim.
func (d *Duplicate) Error() string {
	return fmt.Sprintf("key claimed already (done: %t, same request: %t)", d.Prior.Done, d.SameRequest)
}

// Claim is a claim that this process owns.
type Claim struct {
	c     *Claimer
	shard int
	key   string
	entry Entry
}

// Restore rebuilds a claim from its identity, for a daemon that finishes a request which
// another daemon began. It returns nil if the key is malformed.
func (c *Claimer) Restore(key, token string) *Claim {
	raw, err := hex.DecodeString(key)
	if err != nil || len(raw) == 0 {
		return nil
	}
	return &Claim{c: c, shard: int(raw[0]) % Shards, key: key, entry: Entry{Token: token}}
}

// Identity returns the hashed key and the token, as Restore takes them.
func (m *Claim) Identity() (key, token string) { return m.key, m.entry.Token }

type operationKind int

const (
	claimOperation operationKind = iota
	finishOperation
	withdrawOperation
)

type operation struct {
	kind  operationKind
	key   string
	entry Entry
	// failedSince is when the operation first failed, zero before that.
	failedSince time.Time
	done        chan error
}

type queue struct {
	pending []*operation
	busy    bool
	// wake is closed when a claim arrives while a batch without one waits.
	wake chan struct{}
	// value and version are the last ones seen, kept to save a read.
	value   shard
	version uint64
	known   bool
}

// Claimer claims keys. It is safe for concurrent use.
type Claimer struct {
	store Store

	mu     sync.Mutex
	queues [Shards]queue
	group  sync.WaitGroup
}

// New returns a claimer.
func New(c Config) *Claimer { return &Claimer{store: c.Store} }

// Claim claims a key. The error is a *Duplicate, or wraps ErrNotClaimed or the context's
// error. After the latter two nothing may be run.
func (c *Claimer) Claim(ctx context.Context, k *Key) (*Claim, error) {
	h := k.hash()
	token := make([]byte, tokenBytes)
	_, _ = rand.Read(token)
	m := &Claim{c: c, shard: int(h[0]) % Shards, key: hex.EncodeToString(h[:keyBytes])}
	m.entry = Entry{Token: base64.RawURLEncoding.EncodeToString(token), Digest: k.Digest}
	op := &operation{kind: claimOperation, key: m.key, entry: m.entry, done: make(chan error, 1)}
	if !c.enqueue(m.shard, op) {
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

// Finish records, in the background, that the request ran, with its answer unless that is
// too large.
func (m *Claim) Finish(status int, contentType string, answer []byte) {
	e := m.entry
	e.Done = true
	e.Status = status
	if len(answer) <= maxAnswerBytes {
		e.ContentType = contentType
		e.Answer = answer
	}
	m.c.enqueue(m.shard, &operation{kind: finishOperation, key: m.key, entry: e, done: make(chan error, 1)})
}

// Release withdraws, in the background, the claim of a request that did not run, so that
// the key can be used again.
func (m *Claim) Release() {
	m.c.enqueue(m.shard, &operation{kind: withdrawOperation, key: m.key, entry: m.entry, done: make(chan error, 1)})
}

// Wait returns when no operation is pending, or after the given time. It is for a
// graceful stop.
func (c *Claimer) Wait(timeout time.Duration) {
	done := make(chan struct{})
	go func() {
		c.group.Wait()
		close(done)
	}()
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

// enqueue queues an operation. It returns false if the queue is full.
func (c *Claimer) enqueue(i int, op *operation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := &c.queues[i]
	if len(q.pending) >= maxPending {
		return false
	}
	q.pending = append(q.pending, op)
	if op.kind == claimOperation && q.wake != nil {
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
