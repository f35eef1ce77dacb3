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

// Intent is a host that was or will be asked for.
type Intent struct {
	Token string
	Pool  identifier.Pool
	Place planner.Place
	// Host is the cloud's answer, empty until there is one.
	Host identifier.Host
	// AtUnixMilli is when it was written down, or answered.
	AtUnixMilli int64
}

// Refusal is a place that rests.
type Refusal struct {
	Place          planner.Place
	Count          int
	UntilUnixMilli int64
}

// Record is a zone's repair as the platform holds it.
type Record struct {
	Intents  []Intent
	Refusals []Refusal
}

// Key returns where a zone's record is.
func Key(zone identifier.AvailabilityZone) string {
	return inventory.RepairPrefix + string(zone)
}

func (r *Repairer) read(ctx context.Context) error {
	if r.known {
		return nil
	}
	o, err := r.c.Store.Get(ctx, Key(r.c.Zone))
	if errors.Is(err, object.ErrMissing) {
		r.record, r.version, r.known = Record{}, object.Absent, true
		return nil
	}
	if err != nil {
		return err
	}
	var record Record
	if err := json.Unmarshal(o.Value, &record); err != nil {
		return fmt.Errorf("repair record: %w", err)
	}
	r.record, r.version, r.known = record, o.Version, true
	return nil
}

// write puts a record down, if it differs. After a lost answer the next round
// reads what stands.
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

func (r *Repairer) copy() Record {
	return Record{Intents: slices.Clone(r.record.Intents), Refusals: slices.Clone(r.record.Refusals)}
}

// rests tells whether a place refused and has not rested long enough.
func (r *Record) rests(p planner.Place) bool {
	return time.Now().Before(r.BackoffUntil()[p])
}

// refuse lets a place rest, longer each time.
func (r *Record) refuse(p planner.Place) {
	i := slices.IndexFunc(r.Refusals, func(f Refusal) bool { return f.Place == p })
	if i < 0 {
		r.Refusals = append(r.Refusals, Refusal{Place: p})
		i = len(r.Refusals) - 1
	}
	f := &r.Refusals[i]
	pause := min(firstPause<<min(f.Count, 5), longPause)
	f.Count++
	f.UntilUnixMilli = time.Now().Add(pause/2 + rand.N(pause)).UnixMilli()
}

// BackoffUntil returns the end of the pause of each place that refused.
func (r *Record) BackoffUntil() map[planner.Place]time.Time {
	out := make(map[planner.Place]time.Time)
	for _, f := range r.Refusals {
		out[f.Place] = time.UnixMilli(f.UntilUnixMilli)
	}
	return out
}

// Pending lists the hosts that were asked for and are not listed yet.
func (r *Record) Pending() []planner.Pending {
	var out []planner.Pending
	for _, in := range r.Intents {
		out = append(out, planner.Pending{Pool: in.Pool, Place: in.Place})
	}
	return out
}
