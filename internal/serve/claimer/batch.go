package claimer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"slices"
	"time"

	"brasschute/internal/platform/object"
)

// drain writes batches until the queue is empty.
func (c *Claimer) drain(i int) {
	defer c.group.Done()
	for {
		c.waitForClaim(i)
		c.mu.Lock()
		q := &c.queues[i]
		batch := q.pending
		q.pending = nil
		if len(batch) == 0 {
			q.busy = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		c.flush(i, batch)
	}
}

// waitForClaim delays background operations briefly, so that they can share a write
// with a claim. Otherwise each claim would cost two writes.
func (c *Claimer) waitForClaim(i int) {
	c.mu.Lock()
	empty := len(c.queues[i].pending) == 0
	c.mu.Unlock()
	if !empty {
		c.waitUnlessClaim(i, batchWait)
	}
}

// waitUnlessClaim waits for a time, unless a claim is pending or arrives.
func (c *Claimer) waitUnlessClaim(i int, d time.Duration) {
	wake := make(chan struct{})
	c.mu.Lock()
	q := &c.queues[i]
	if slices.ContainsFunc(q.pending, func(op *operation) bool { return op.kind == claimOperation }) {
		c.mu.Unlock()
		return
	}
	q.wake = wake
	c.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-wake:
	case <-t.C:
	}
}

// flush writes one batch and handles its failure.
func (c *Claimer) flush(i int, batch []*operation) {
	err := c.settle(context.Background(), i, batch)
	if err == nil {
		return
	}
	pause := time.Duration(0)
	for _, op := range batch {
		pause = max(pause, c.handleFailure(i, op, err))
	}
	c.pauseAfterFailure(i, pause)
}

// pauseAfterFailure waits after a failure of the platform. A claim interrupts the wait and
// is tried at once, so that it can be refused at once.
func (c *Claimer) pauseAfterFailure(i int, pause time.Duration) {
	if pause > 0 {
		c.waitUnlessClaim(i, pause)
	}
}

// handleFailure handles an operation that could not be written. A claim is given up and
// withdrawn. Other operations are queued again, to be retried after the returned pause.
func (c *Claimer) handleFailure(i int, op *operation, err error) (pause time.Duration) {
	if op.kind == claimOperation {
		op.done <- fmt.Errorf("%w: %w", ErrNotClaimed, err)
		if errors.Is(err, object.ErrUnavailable) && !errors.Is(err, object.ErrUnknown) {
			return 0
		}
		op = &operation{kind: withdrawOperation, key: op.key, entry: op.entry, done: make(chan error, 1)}
	}
	if op.failedSince.IsZero() {
		op.failedSince = time.Now()
	}
	age := time.Since(op.failedSince)
	if age > backgroundRetryTime || !c.enqueue(i, op) {
		return 0
	}
	return min(max(age/2, minBackgroundPause), maxBackgroundPause)
}

// settle applies a batch by conditional update, reading again after each conflict or lost
// answer. An error after which the write may still have taken effect wraps
// object.ErrUnknown.
func (c *Claimer) settle(ctx context.Context, i int, batch []*operation) error {
	q := &c.queues[i]
	var lost error
	for range maxWriteAttempts {
		if !q.known {
			if err := c.read(ctx, i, q); err != nil {
				return errors.Join(lost, err)
			}
		}
		stale := q.known
		next, results, changed := apply(q.value, batch, c.store.Now())
		if !changed && c.confirm(ctx, i, q, results, stale) {
			deliver(batch, results)
			return nil
		}
		if !changed {
			continue
		}
		o, err := c.store.Put(ctx, shardKey(i), q.version, next)
		switch {
		case err == nil:
			q.value, q.version = next, o.Version
			deliver(batch, results)
			return nil
		case errors.Is(err, object.ErrUnknown):
			lost = err
		case !errors.Is(err, object.ErrConflict):
			return errors.Join(lost, err)
		}
		q.known = false
		time.Sleep(mathrand.N(retryPause))
	}
	return errors.Join(lost, object.ErrConflict)
}

// confirm reports whether results that need no write may be delivered. A result computed
// from a remembered value is computed again from a fresh one, as the prior claim may have
// been withdrawn since.
func (c *Claimer) confirm(ctx context.Context, i int, q *queue, results []error, remembered bool) bool {
	if !remembered {
		return true
	}
	for _, err := range results {
		if err == nil {
			continue
		}
		before := q.version
		if c.read(ctx, i, q) != nil || q.version == before {
			return true
		}
		return false
	}
	return true
}

func (c *Claimer) read(ctx context.Context, i int, q *queue) error {
	o, err := c.store.Get(ctx, shardKey(i))
	if errors.Is(err, object.ErrMissing) {
		q.value, q.version, q.known = shard{}, object.Absent, true
		return nil
	}
	if err != nil {
		return err
	}
	var v shard
	if err := json.Unmarshal(o.Value, &v); err != nil {
		return fmt.Errorf("claims: %s: %w", o.Key, err)
	}
	q.value, q.version, q.known = v, o.Version, true
	return nil
}

func deliver(batch []*operation, results []error) {
	for n, op := range batch {
		op.done <- results[n]
	}
}

// apply computes a shard's next value and the result of each operation. It does not
// modify v.
func apply(v shard, batch []*operation, now time.Time) (next shard, results []error, changed bool) {
	next.Entries = make(map[string]Entry, len(v.Entries)+len(batch))
	size := 0
	for k, e := range v.Entries {
		if now.Unix()-e.At > int64(Retention.Seconds()) {
			continue
		}
		next.Entries[k] = e
		size += e.bytes()
	}
	results = make([]error, len(batch))
	for n, op := range batch {
		did, err := next.applyOne(op, &size, now)
		results[n] = err
		changed = changed || did
	}
	return next, results, changed
}

func (v *shard) applyOne(op *operation, size *int, now time.Time) (changed bool, err error) {
	prior, exists := v.Entries[op.key]
	owned := exists && prior.Token == op.entry.Token
	switch op.kind {
	case claimOperation:
		if owned {
			return false, nil
		}
		if exists {
			return false, &Duplicate{Prior: prior, SameRequest: prior.Digest == op.entry.Digest}
		}
		if *size+op.entry.bytes() > maxShardBytes {
			return false, fmt.Errorf("%w: the shard is full of claims younger than %s", ErrNotClaimed, Retention)
		}
		*size += op.entry.bytes()
		e := op.entry
		e.At = now.Unix()
		v.Entries[op.key] = e
		return true, nil
	case finishOperation:
		if !owned || prior.Done {
			return false, nil
		}
		e := op.entry
		e.At, e.Digest = prior.At, prior.Digest
		if *size+len(e.Answer)*4/3 > maxShardBytes {
			e.Answer = nil
		}
		v.Entries[op.key] = e
		return true, nil
	default:
		if owned && !prior.Done {
			delete(v.Entries, op.key)
		}
		return true, nil
	}
}
