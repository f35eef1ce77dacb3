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
		c.company(i)
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

// company lets operations for which nobody waits wait a little for a claim to
// share its write with; else each claim would cost two writes.
func (c *Claimer) company(i int) {
	c.mu.Lock()
	empty := len(c.queues[i].pending) == 0
	c.mu.Unlock()
	if !empty {
		c.interruptible(i, companyTime)
	}
}

// interruptible waits for a time, unless a claim is pending or arrives.
func (c *Claimer) interruptible(i int, d time.Duration) {
	wake := make(chan struct{})
	c.mu.Lock()
	q := &c.queues[i]
	if slices.ContainsFunc(q.pending, func(op *operation) bool { return op.verb == claim }) {
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

// flush settles one batch.
func (c *Claimer) flush(i int, batch []*operation) {
	err := c.settle(context.Background(), i, batch)
	if err == nil {
		return
	}
	pause := time.Duration(0)
	for _, op := range batch {
		pause = max(pause, c.failed(i, op, err))
	}
	c.rest(i, pause)
}

// rest lets a failing platform be, but a claim does not wait for that: it is
// tried at once, so that it can be refused at once.
func (c *Claimer) rest(i int, pause time.Duration) {
	if pause > 0 {
		c.interruptible(i, pause)
	}
}

// failed answers an operation that could not be written. A claim is given up
// and withdrawn; the others are tried again after the pause returned.
func (c *Claimer) failed(i int, op *operation, err error) (pause time.Duration) {
	if op.verb == claim {
		op.done <- fmt.Errorf("%w: %w", ErrNotClaimed, err)
		if errors.Is(err, object.ErrUnavailable) && !errors.Is(err, object.ErrUnknown) {
			return 0
		}
		op = &operation{verb: withdraw, key: op.key, entry: op.entry, done: make(chan error, 1)}
	}
	if op.since.IsZero() {
		op.since = time.Now()
	}
	age := time.Since(op.since)
	if age > backTime || !c.push(i, op) {
		return 0
	}
	return min(max(age/2, firstBack), longBack)
}

// settle applies a batch by conditional update, reading again after each
// conflict or lost answer. An error that may hide an effect wraps
// object.ErrUnknown.
func (c *Claimer) settle(ctx context.Context, i int, batch []*operation) error {
	q := &c.queues[i]
	var lost error
	for range maxTries {
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
		o, err := c.store.Put(ctx, key(i), q.version, next)
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

// confirm tells whether results that need no write may be told. What was
// decided by a remembered value is decided again by a fresh one: the prior
// claim may have been withdrawn since.
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
	o, err := c.store.Get(ctx, key(i))
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

// apply computes a shard's next value and each operation's result. It leaves
// the given value as it is.
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
		did, err := next.one(op, &size, now)
		results[n] = err
		changed = changed || did
	}
	return next, results, changed
}

func (v *shard) one(op *operation, size *int, now time.Time) (changed bool, err error) {
	prior, exists := v.Entries[op.key]
	owned := exists && prior.Token == op.entry.Token
	switch op.verb {
	case claim:
		if owned {
			return false, nil
		}
		if exists {
			return false, &Duplicate{Prior: prior, SameRequest: prior.Digest == op.entry.Digest}
		}
		if *size+op.entry.bytes() > maxShard {
			return false, fmt.Errorf("%w: the shard is full of claims younger than %s", ErrNotClaimed, Retention)
		}
		*size += op.entry.bytes()
		e := op.entry
		e.At = now.Unix()
		v.Entries[op.key] = e
		return true, nil
	case finish:
		if !owned || prior.Done {
			return false, nil
		}
		e := op.entry
		e.At, e.Digest = prior.At, prior.Digest
		if *size+len(e.Answer)*4/3 > maxShard {
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
