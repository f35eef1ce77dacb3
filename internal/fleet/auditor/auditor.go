// Package trail records what the fleet did to itself, and why.
//
// # The record
//
// Each zone has one object with its newest [Entry] values, oldest first, held
// within the platform's size of a value. Only the zone's leader writes it, by
// conditional update, so that two writers cannot lose each other's entries.
//
// # Usage
//
//	t := trail.New(trail.Config{Store: c, Zone: zone})
//	err := t.Add(ctx, trail.Entry{...})
//	entries, err := t.Read(ctx)
package auditor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
)

const (
	kept  = 1024
	tries = 5
)

// Store is the platform's object API.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, ifVersion uint64, value any) (object.Object, error)
}

// Config names the store and the zone.
type Config struct {
	Store Store
	Zone  identifier.AvailabilityZone
}

// Entry is one step.
type Entry struct {
	When time.Time
	// Who is the host that acted and the fencing number of its lease.
	Who string
	// Host is the host concerned.
	Host identifier.Host
	// What was done, for what Cause, and with what Outcome.
	What    string
	Cause   string
	Outcome string
	// ID is unique; by it a writer whose answer was lost finds its entry.
	ID string
}

type record struct {
	Entries []Entry
}

// Trail is one zone's record.
type Trail struct {
	c Config
}

// New returns a trail.
func New(c Config) *Trail { return &Trail{c} }

func (t *Trail) key() string { return inventory.AuditPrefix + "zone/" + string(t.c.Zone) }

// Add appends entries. After a lost answer it reads back before it repeats.
func (t *Trail) Add(ctx context.Context, entries ...Entry) error {
	var err error
	for range tries {
		var r record
		var version uint64
		if r, version, err = t.read(ctx); err != nil {
			return err
		}
		added := r.add(entries)
		if !added {
			return nil
		}
		_, err = t.c.Store.Put(ctx, t.key(), version, r)
		if err == nil {
			return nil
		}
		if !errors.Is(err, object.ErrConflict) && !errors.Is(err, object.ErrUnknown) {
			return err
		}
	}
	return err
}

// add appends those entries that are not in the record yet.
func (r *record) add(entries []Entry) bool {
	added := false
	for _, e := range entries {
		if r.has(e.ID) {
			continue
		}
		r.Entries = append(r.Entries, e)
		added = true
	}
	if len(r.Entries) > kept {
		r.Entries = r.Entries[len(r.Entries)-kept:]
	}
	return added
}

func (r *record) has(id string) bool {
	for i := range r.Entries {
		if r.Entries[i].ID == id {
			return true
		}
	}
	return false
}

func (t *Trail) read(ctx context.Context) (record, uint64, error) {
	o, err := t.c.Store.Get(ctx, t.key())
	if errors.Is(err, object.ErrMissing) {
		return record{}, object.Absent, nil
	}
	if err != nil {
		return record{}, 0, err
	}
	var r record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return record{}, 0, fmt.Errorf("trail: %w", err)
	}
	return r, o.Version, nil
}

// Read returns the entries, oldest first.
func (t *Trail) Read(ctx context.Context) ([]Entry, error) {
	r, _, err := t.read(ctx)
	return r.Entries, err
}
