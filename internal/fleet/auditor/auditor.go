// Package auditor stores the audit trail of the fleet's own actions and their causes.
//
// Each zone has one object with its newest [Entry] values, oldest first, limited to fit the
// platform's largest value. Only the holder of the zone's lease writes it, by conditional
// update, so that two writers can't overwrite each other's entries.
//
// # Usage
//
//	t := auditor.New(auditor.Config{Store: c, Zone: zone})
//	err := t.Add(ctx, auditor.Entry{...})
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
	maxEntries  = 1024
	maxAttempts = 5
)

// Store is the platform's object store.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, ifVersion uint64, value any) (object.Object, error)
}

// Config holds the store and the zone of a [Trail].
type Config struct {
	Store Store
	Zone  identifier.AvailabilityZone
}

// Entry describes one action.
type Entry struct {
	When time.Time
	// Who is the host that acted and the fencing number of its lease.
	Who string
	// Host is the host that the action concerns.
	Host identifier.Host
	// What was done, its Cause and its Outcome.
	What    string
	Cause   string
	Outcome string
	// ID is unique. A writer whose write got no answer uses it to find out whether the entry was
	// stored.
	ID string
}

type record struct {
	Entries []Entry
}

// Trail is the audit trail of one zone.
type Trail struct {
	c Config
}

// New returns the Trail of a zone.
func New(c Config) *Trail { return &Trail{c} }

func (t *Trail) key() string { return inventory.AuditPrefix + "zone/" + string(t.c.Zone) }

// Add appends entries. After a lost answer or a conflict it reads the trail again before it
// repeats the write.
func (t *Trail) Add(ctx context.Context, entries ...Entry) error {
	var err error
	for range maxAttempts {
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

// add appends the entries that are not in the record yet, and reports whether there were any.
func (r *record) add(entries []Entry) bool {
	added := false
	for _, e := range entries {
		if r.has(e.ID) {
			continue
		}
		r.Entries = append(r.Entries, e)
		added = true
	}
	if len(r.Entries) > maxEntries {
		r.Entries = r.Entries[len(r.Entries)-maxEntries:]
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
