package gateway

import (
	"context"
	"time"

	"brasschute/internal/core/waiter"
	"brasschute/internal/fleet/poolrecorder"
)

const (
	// poolReadTimeout bounds the read of the pools' record by a new holder: the copy of the notes
	// is at most a second older.
	poolReadTimeout = dutyInterval
	// poolWriteInterval is how often the pools' record is written if it changes, as calls to the
	// store are limited.
	poolWriteInterval = time.Second
	// poolLogInterval limits the log lines about a record that can't be written.
	poolLogInterval = 5 * time.Second
)

// buildPools creates the recorder of what the sizing of pools knows.
func (g *Gateway) buildPools() *poolrecorder.Recorder {
	return poolrecorder.New(poolrecorder.Config{
		Store: g.store, TrueTime: g.clock.Now, OnUnreadable: func(err error) { g.logUnreadable([]error{err}) },
	})
}

// encodePools returns the pools' record for a note; nil unless this daemon holds the lease. A
// holder that can't renew the lease sends it too.
func (g *Gateway) encodePools() []byte {
	if g.pools == nil {
		return nil
	}
	fencing, held := g.lease.Held()
	if !held {
		return nil
	}
	return g.pools.Encode(fencing)
}

// mergePools keeps the pools' record of a peer's note.
func (g *Gateway) mergePools(raw []byte) {
	if g.pools != nil {
		g.pools.Merge(raw)
	}
}

// inheritPools hands the record of the former holder to the autoscaler, once for each fencing
// number. While calls of the former holder may be in flight, a store that does not answer is
// asked again.
func (u *duties) inheritPools(ctx context.Context, fencing uint64, exclusive bool) {
	if u.inheritedFencing == fencing {
		return
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, poolReadTimeout)
	defer cancel()
	record, source, err := u.g.pools.Inherit(ctx)
	if err != nil && !exclusive {
		return
	}
	u.inheritedFencing = fencing
	if record == nil {
		u.g.c.Logger.Info("pools taken over", "fencing", fencing, "source", source, "error", err)
		return
	}
	u.autoscaler.Inherit(fencing, record)
	for i := range record.Pools {
		p := &record.Pools[i]
		ordered, lost := 0, 0
		for _, z := range p.Places {
			ordered += z.Ordered
			if z.ReclaimedAge > 0 {
				lost++
			}
		}
		u.g.c.Logger.Info("pools taken over", "fencing", fencing, "source", source, "from_fencing", record.Fencing, "age_ms", time.Since(record.At).Milliseconds(),
			"service", p.Service, "needed", p.Needed, "needed_age_ms", p.NeededAge, "served", p.Served, "ordered", ordered,
			"zones_reclaimed", lost, "loss_age_ms", p.LossAge, "took_ms", time.Since(began).Milliseconds(), "error", err)
	}
}

// sizePools sends the orders that are due and records what a successor needs to know.
func (u *duties) sizePools(ctx context.Context, fencing uint64) {
	u.autoscaler.Step(ctx, fencing, u.scalableServices())
	u.g.pools.Update(u.autoscaler.Record())
}

// runPoolStore stores the pools' record while the lease is held. It does not run between the
// duties, as a store that doesn't answer would delay them.
func (u *duties) runPoolStore(ctx context.Context) error {
	var loggedAt time.Time
	return waiter.Every(ctx, poolWriteInterval, func(ctx context.Context) {
		if _, held := u.g.lease.HeldExclusively(); !held || u.g.stopping.Load() {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, poolWriteInterval)
		defer cancel()
		if err := u.g.pools.Write(ctx); err != nil && time.Since(loggedAt) > poolLogInterval {
			loggedAt = time.Now()
			u.g.c.Logger.Warn("pools not stored", "error", err)
		}
	})
}
