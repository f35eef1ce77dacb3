// Package poolrecorder persists the autoscaler's state so that the next lease holder continues from
// it.
//
// It answers reclaims of several zones during which the holder fails: a successor that knows only
// the endpoints that are left orders too few, and in small steps.
//
// There are two copies. One is an object in the platform's store, written at most once a second,
// and only if more than the passing of time has changed it or it is [refreshAge] old. The other travels in the holder's
// notes to the candidates for the lease, as the holder may be cut off from the store. The newer
// copy counts. Times are ages, carried forward: by the receiver's clock for notes, by the estimate of
// the true time for the stored object.
//
// # Usage
//
//	r := poolrecorder.New(poolrecorder.Config{Store: c, TrueTime: clock.Now})
//	r.Merge(note.GetPools())                     // at each candidate
//	record, source, err := r.Inherit(ctx)        // at a new holder
//	r.Update(record); err = r.Write(ctx)         // at the holder
package poolrecorder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"brasschute/internal/platform/object"
)

// Key is the key of the record in the store.
const Key = "fleet/pools"

// maxAge is how long a record says more than the endpoints that are listed: the need that it
// states decays within that time.
const maxAge = 30 * time.Second

// Store is the platform's object store.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, ifVersion uint64, value any) (object.Object, error)
}

// Config holds the dependencies of a [Recorder].
type Config struct {
	Store Store
	// TrueTime returns an estimate of the true time.
	TrueTime func() time.Time
	// OnUnreadable is called for a record that can't be decoded or encoded; may be nil.
	OnUnreadable func(error)
}

// Source says where a record was inherited from.
type Source string

// The sources.
const (
	FromNone  Source = "none"
	FromStore Source = "store"
	FromNote  Source = "note"
	FromOwn   Source = "own"
)

// Recorder keeps the record. It is safe for concurrent use.
type Recorder struct {
	c Config

	mu sync.Mutex
	// current is the holder's record, heard the newest of another holder's notes.
	current, heard *Record
	// stored is the record last written, under the given version of the object.
	stored       *Record
	version      uint64
	versionKnown bool
}

// New returns a Recorder that knows no record.
func New(c Config) *Recorder {
	if c.OnUnreadable == nil {
		c.OnUnreadable = func(error) {}
	}
	return &Recorder{c: c}
}

// Update replaces the holder's record. Its ages must be current. A record without pools is ignored:
// a new holder that does not know the need yet would otherwise replace its predecessor's record, as
// its fencing number is higher.
func (r *Recorder) Update(record *Record) {
	if len(record.Pools) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	next := *record
	next.Sequence, next.At = 1, time.Now()
	if r.current != nil && r.current.Fencing == next.Fencing {
		next.Sequence = r.current.Sequence + 1
	}
	r.current = &next
}

// Encode returns the holder's record for a note, nil if there is none under a fencing number or it
// can't be encoded.
func (r *Recorder) Encode(fencing uint64) []byte {
	r.mu.Lock()
	current := r.current
	r.mu.Unlock()
	if current == nil || current.Fencing != fencing {
		return nil
	}
	raw, err := json.Marshal(current.encode(time.Now(), r.c.TrueTime()))
	if err != nil {
		r.c.OnUnreadable(fmt.Errorf("pool record: %w", err))
		return nil
	}
	return raw
}

// Merge keeps the record of a note if it is the newest. An empty one is that of a daemon of an
// older version, or of one that does not hold the lease.
func (r *Recorder) Merge(raw []byte) {
	if len(raw) == 0 {
		return
	}
	record, err := decode(raw, time.Now())
	if err != nil {
		r.c.OnUnreadable(err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if record.newer(r.heard) {
		r.heard = record
	}
}

// Inherit returns the newest known record, nil if there is none that is recent. If the store
// can't be read, the copy of the notes counts.
func (r *Recorder) Inherit(ctx context.Context) (*Record, Source, error) {
	stored, err := r.read(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	best, source := stored, FromStore
	// The holder's own record is newer than both if it gets the lease back.
	if r.heard != nil && r.heard.newer(best) {
		best, source = r.heard, FromNote
	}
	if r.current != nil && r.current.newer(best) {
		best, source = r.current, FromOwn
	}
	if best == nil || time.Since(best.At) > maxAge {
		return nil, FromNone, err
	}
	return best, source, err
}

// read returns the stored record, nil if there is none or it can't be read.
func (r *Recorder) read(ctx context.Context) (*Record, error) {
	o, err := r.c.Store.Get(ctx, Key)
	if err != nil && !errors.Is(err, object.ErrMissing) {
		return nil, err
	}
	r.mu.Lock()
	r.version, r.versionKnown, r.stored = o.Version, true, nil
	r.mu.Unlock()
	if err != nil {
		return nil, nil
	}
	record, err := decode(o.Value, time.Now())
	if err != nil {
		r.c.OnUnreadable(err)
		return nil, nil
	}
	record.At = record.At.Add(-max(r.c.TrueTime().Sub(time.UnixMilli(record.UnixMilli)), 0))
	return record, nil
}

// Write stores the holder's record if it has changed. It must be called by one goroutine only, at
// most once a second. A record of a later holder is left alone.
func (r *Recorder) Write(ctx context.Context) error {
	r.mu.Lock()
	record, stored, known := r.current, r.stored, r.versionKnown
	r.mu.Unlock()
	if record == nil || !record.differs(stored) {
		return nil
	}
	if !known {
		other, err := r.read(ctx)
		if err != nil {
			return err
		}
		if other != nil && other.Fencing > record.Fencing && time.Since(other.At) <= maxAge {
			r.mu.Lock()
			r.versionKnown = false
			r.mu.Unlock()
			return object.ErrConflict
		}
	}
	r.mu.Lock()
	version := r.version
	r.mu.Unlock()
	o, err := r.c.Store.Put(ctx, Key, version, record.encode(time.Now(), r.c.TrueTime()))
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		// The write may have taken effect, or another holder's has: the next one reads first.
		r.versionKnown = false
		return err
	}
	r.version, r.stored = o.Version, record
	return nil
}
