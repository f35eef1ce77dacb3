package repairer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/fleet/planner"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
)

// Intent is a host that was or will be requested from the cloud.
type Intent struct {
	Token string
	Pool  identifier.Pool
	Place planner.Place
	// Host is the cloud's answer, empty until it arrives.
	Host identifier.Host
	// AtUnixMilli is when the intent was created, or answered if it has been.
	AtUnixMilli int64
}

// Refusal is the backoff of a place that refused.
type Refusal struct {
	Place          planner.Place
	Count          int
	UntilUnixMilli int64
}

// Record is the state of a zone's repair as it is stored.
type Record struct {
	Intents  []Intent
	Refusals []Refusal
}

// Key returns the key of a zone's record in the store.
func Key(zone identifier.AvailabilityZone) string {
	return inventory.RepairPrefix + string(zone)
}

func (r *Repairer) read(ctx context.Context) error {
	if r.loaded {
		return nil
	}
	o, err := r.c.Store.Get(ctx, Key(r.c.Zone))
	if errors.Is(err, object.ErrMissing) {
		r.record, r.version, r.loaded = Record{}, object.Absent, true
		return nil
	}
	if err != nil {
		return err
	}
	var record Record
	if err := json.Unmarshal(o.Value, &record); err != nil {
		return fmt.Errorf("repair record: %w", err)
	}
	r.record, r.version, r.loaded = record, o.Version, true
	return nil
}

// write stores a record if it differs from the last one. After a lost answer the next round
// reads the stored one.
func (r *Repairer) write(ctx context.Context, next *Record) error {
	before, _ := json.Marshal(&r.record)
	after, _ := json.Marshal(next)
	if string(before) == string(after) {
		return nil
	}
	o, err := r.c.Store.Put(ctx, Key(r.c.Zone), r.version, next)
	if err != nil {
		return err
	}
	r.record, r.version = *next, o.Version
	return nil
}

func (r *Repairer) cloneRecord() Record {
	return Record{Intents: slices.Clone(r.record.Intents), Refusals: slices.Clone(r.record.Refusals)}
}

// backingOff reports whether a place refused and its backoff is not over.
func (r *Record) backingOff(p planner.Place) bool {
	return time.Now().Before(r.BackoffUntil()[p])
}

// backOff starts a backoff for a place, longer each time.
func (r *Record) backOff(p planner.Place) {
	i := slices.IndexFunc(r.Refusals, func(f Refusal) bool { return f.Place == p })
	if i < 0 {
		r.Refusals = append(r.Refusals, Refusal{Place: p})
		i = len(r.Refusals) - 1
	}
	f := &r.Refusals[i]
	pause := min(minBackoff<<min(f.Count, 5), maxBackoff)
	f.Count++
	f.UntilUnixMilli = time.Now().Add(pause/2 + rand.N(pause)).UnixMilli()
}

// BackoffUntil returns the end of the backoff of each place that refused.
func (r *Record) BackoffUntil() map[planner.Place]time.Time {
	out := make(map[planner.Place]time.Time)
	for _, f := range r.Refusals {
		out[f.Place] = time.UnixMilli(f.UntilUnixMilli)
	}
	return out
}

// Pending returns the hosts that were requested and are not listed yet.
func (r *Record) Pending() []planner.Pending {
	var out []planner.Pending
	for _, in := range r.Intents {
		out = append(out, planner.Pending{Pool: in.Pool, Place: in.Place})
	}
	return out
}
