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
	// quotaKey is the store's object with what is left of the quotas, for processes
	// that start when nobody else is left to tell.
	quotaKey = "fleet/quotas"
	// quotaPause is how often the holder of the duties writes it down. An older one
	// tells less, as all that was asked for since is taken off.
	quotaPause = time.Second
)

// keepQuotas writes the levels of all quotas down while the duties are held. It has a
// loop of its own: a store that is slow must hold up no order.
func (u *duties) keepQuotas(ctx context.Context) error {
	return waiter.Every(ctx, quotaPause, func(ctx context.Context) {
		if _, held := u.g.lease.Held(); held && !u.g.stopping.Load() {
			u.writeQuotas(ctx)
		}
	})
}

func (u *duties) writeQuotas(ctx context.Context) {
	r := u.g.allotter.Snapshot(u.g.clock.Now())
	if len(r.Levels) == 0 {
		return
	}
	o, err := u.g.store.Put(ctx, quotaKey, u.quotasVersion, r)
	if errors.Is(err, object.ErrConflict) {
		// Another holder wrote it before, or this one's answer was lost.
		if o, err = u.g.store.Get(ctx, quotaKey); err == nil {
			u.quotasVersion = o.Version
			o, err = u.g.store.Put(ctx, quotaKey, u.quotasVersion, r)
		}
	}
	if err != nil {
		u.g.c.Logger.Warn("levels of quotas not stored", "error", err)
		return
	}
	u.quotasVersion = o.Version
}

// readQuotas takes over the levels that a holder of the duties wrote down last.
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
	g.allotter.Restore(r, age)
	g.c.Logger.Info("levels of quotas read from the store", "age_ms", age.Milliseconds(), "organisations", len(r.Levels))
	return nil
}
