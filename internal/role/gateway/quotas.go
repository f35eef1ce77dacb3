package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"brasschute/internal/core/waiter"
	"brasschute/internal/platform/object"
	"brasschute/internal/route/quotalimiter"
)

const (
	// quotaKey is the store's object with the quotas' levels, for processes that start when no
	// peer is left to ask.
	quotaKey = "fleet/quotas"
	// quotaStoreInterval is how often the lease holder stores the levels. An older record is less
	// useful, because everything requested since then is subtracted. Levels that fall steeply are stored when it
	// looks at them, every quotaCheckInterval.
	quotaStoreInterval = time.Second
	quotaCheckInterval = quotaStoreInterval / 4
)

// runQuotaStore stores the levels of all quotas while the lease is held. It is a service of its
// own so that a slow store does not delay scaling orders.
func (u *duties) runQuotaStore(ctx context.Context) error {
	var last quotalimiter.Snapshot
	return waiter.Every(ctx, quotaCheckInterval, func(ctx context.Context) {
		if _, held := u.g.lease.Held(); !held || u.g.stopping.Load() {
			return
		}
		now := u.g.quotaLimiter.Snapshot(u.g.clock.Now())
		if len(now.Levels) > 0 && (now.At.Sub(last.At).Abs() >= quotaStoreInterval || now.FallsSteeply(&last)) {
			last = now
			u.storeQuotas(ctx, &now)
		}
	})
}

// storeQuotas stores the levels.
func (u *duties) storeQuotas(ctx context.Context, r *quotalimiter.Snapshot) {
	o, err := u.g.store.Put(ctx, quotaKey, u.storedQuotasVersion, r)
	if errors.Is(err, object.ErrConflict) {
		// Another holder wrote it before, or the answer to this one's write was lost.
		if o, err = u.g.store.Get(ctx, quotaKey); err == nil {
			u.storedQuotasVersion = o.Version
			o, err = u.g.store.Put(ctx, quotaKey, u.storedQuotasVersion, r)
		}
	}
	if errors.Is(err, object.ErrMissing) {
		// The store was restored from a copy without it.
		u.storedQuotasVersion = object.Absent
	}
	if err != nil {
		u.g.c.Logger.Warn("quota levels not stored", "error", err)
		return
	}
	u.storedQuotasVersion = o.Version
}

// readQuotas restores the quotas' levels that a lease holder stored last.
func (g *Gateway) readQuotas(ctx context.Context) error {
	o, err := g.store.Get(ctx, quotaKey)
	if err != nil {
		return err
	}
	var r quotalimiter.Snapshot
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return fmt.Errorf("gateway: %s: %w", quotaKey, err)
	}
	age := g.clock.Now().Sub(r.At)
	g.quotaLimiter.Restore(r, age)
	g.c.Logger.Info("quota levels read from the store", "age_ms", age.Milliseconds(), "organisations", len(r.Levels))
	return nil
}
