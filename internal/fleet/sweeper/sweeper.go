// Package sweeper removes what the system left on the platform and nobody
// needs any more.
//
// # What it removes
//
// Records of members that have not been renewed, since a daemon that is
// reclaimed without warning cannot remove its own, and held answers that no
// caller came for. Without it both would grow for ever: hundreds of hosts are
// replaced each day.
//
// Ages are reckoned by the platform's clock on both sides. Removing is
// conditional on the version that was judged, so a record renewed in the
// meantime stays.
//
// # Usage
//
//	s := sweeper.New(sweeper.Config{Store: c, Zone: zone, Lease: lease})
//	err := s.Serve(ctx) // works while its controller leads the zone
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
	// MaxMemberAge is the age at which a record of a member is removed; daemons
	// renew theirs several times within it.
	MaxMemberAge = 4 * time.Hour
	// MaxHeldAge is how long an answer waits for its caller.
	MaxHeldAge = 7 * 24 * time.Hour
)

// Store is the platform's object API.
type Store interface {
	List(ctx context.Context, prefixes ...string) (object.Page, error)
	Delete(ctx context.Context, key string, ifVersion uint64) error
	// Now is the platform's clock.
	Now() time.Time
}

// Lease tells whether this controller leads.
type Lease interface {
	Held() (fencing uint64, held bool)
}

// Config names the sweeper's collaborators.
type Config struct {
	Store  Store
	Zone   identifier.AvailabilityZone
	Lease  Lease
	Period time.Duration
}

// Sweeper sweeps one zone.
type Sweeper struct {
	c Config
}

// New returns a sweeper.
func New(c Config) *Sweeper {
	if c.Period == 0 {
		c.Period = defaultPeriod
	}
	return &Sweeper{c}
}

// Serve sweeps until ctx ends.
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
		if age, limit, ok := age(o, now); ok && age > limit {
			_ = s.c.Store.Delete(ctx, o.Key, o.Version)
		}
	}
}

// age returns how old an object is and may become; ok is false for one that
// does not say.
func age(o *object.Object, now time.Time) (old, limit time.Duration, ok bool) {
	if strings.HasPrefix(o.Key, inventory.HeldPrefix) {
		var h transferrer.HeldAnswer
		ok = json.Unmarshal(o.Value, &h) == nil && h.AtUnix > 0
		return now.Sub(time.Unix(h.AtUnix, 0)), MaxHeldAge, ok
	}
	var m inventory.Member
	ok = json.Unmarshal(o.Value, &m) == nil && m.RenewedUnix > 0
	return now.Sub(time.Unix(m.RenewedUnix, 0)), MaxMemberAge, ok
}
