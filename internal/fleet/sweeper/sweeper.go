// Package sweeper deletes stored objects that are no longer needed.
//
// It deletes member records that were not renewed, as a daemon reclaimed without notice can't
// delete its own, and held answers that no client came back for. Without it both would grow
// without bound: hundreds of hosts are replaced each day.
//
// Ages are measured by the platform's clock at both ends. A delete is conditional on the
// version whose age was checked, so a record renewed in the meantime stays.
//
// # Usage
//
//	s := sweeper.New(sweeper.Config{Store: c, Zone: zone, Lease: lease})
//	err := s.Serve(ctx) // works while its controller holds the zone's lease
package sweeper

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
	"brasschute/internal/serve/transferrer"
)

const (
	defaultPeriod = 10 * time.Minute
	// MaxMemberAge is the age at which a member record is deleted; daemons renew theirs several
	// times within it.
	MaxMemberAge = 4 * time.Hour
	// MaxHeldAge is how long an answer is held for its client.
	MaxHeldAge = 7 * 24 * time.Hour
)

// Store is the platform's object store.
type Store interface {
	List(ctx context.Context, prefixes ...string) (object.Page, error)
	Delete(ctx context.Context, key string, ifVersion uint64) error
	// Now returns the time of the platform's clock.
	Now() time.Time
}

// Lease reports whether this controller holds the zone's lease.
type Lease interface {
	Held() (fencing uint64, held bool)
}

// Config holds the dependencies of a [Sweeper].
type Config struct {
	Store  Store
	Zone   identifier.AvailabilityZone
	Lease  Lease
	Period time.Duration
}

// Sweeper deletes the expired objects of one zone.
type Sweeper struct {
	c Config
}

// New returns a Sweeper. A Period of 0 means ten minutes.
func New(c Config) *Sweeper {
	if c.Period == 0 {
		c.Period = defaultPeriod
	}
	return &Sweeper{c}
}

// Serve runs a sweep every Period until ctx ends.
func (s *Sweeper) Serve(ctx context.Context) error {
	return waiter.Every(ctx, s.c.Period, s.sweep)
}

func (s *Sweeper) sweep(ctx context.Context) {
	if _, held := s.c.Lease.Held(); !held {
		return
	}
	page, err := s.c.Store.List(ctx, inventory.MemberPrefix+string(s.c.Zone)+"/", inventory.HeldPrefix)
	if err != nil {
		return
	}
	now := s.c.Store.Now()
	for i := range page.Objects {
		o := &page.Objects[i]
		if age, limit, ok := ageAndLimit(o, now); ok && age > limit {
			_ = s.c.Store.Delete(ctx, o.Key, o.Version)
		}
	}
}

// ageAndLimit returns an object's age and the age at which it is deleted; ok is false if the
// object states no time.
func ageAndLimit(o *object.Object, now time.Time) (old, limit time.Duration, ok bool) {
	if strings.HasPrefix(o.Key, inventory.HeldPrefix) {
		var h transferrer.HeldAnswer
		ok = json.Unmarshal(o.Value, &h) == nil && h.AtUnix > 0
		return now.Sub(time.Unix(h.AtUnix, 0)), MaxHeldAge, ok
	}
	var m inventory.Member
	ok = json.Unmarshal(o.Value, &m) == nil && m.RenewedUnix > 0
	return now.Sub(time.Unix(m.RenewedUnix, 0)), MaxMemberAge, ok
}
