package entry

import (
	"context"
	"errors"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
)

// gauges keeps the metrics that nothing else updates.
type gauges struct{ e *Entry }

// Serve updates the gauges until ctx ends.
func (g *gauges) Serve(ctx context.Context) error {
	return waiter.Every(ctx, reportPeriod, func(context.Context) { g.e.gauge() })
}

func (e *Entry) gauge() {
	in, out := e.meter.Bytes()
	e.scope.Gauge("peer_bytes_in").Update(float64(in))
	e.scope.Gauge("peer_bytes_out").Update(float64(out))
	e.scope.Gauge("platform_calls").Update(float64(e.platform.Calls()))
	e.scope.Gauge("requests_in_flight").Update(float64(e.handler.InFlight()))
	e.scope.Gauge("members").Update(float64(e.ledger.Count()))
}

// registrar lists the daemon on the platform, so that peers find it.
type registrar struct{ e *Entry }

// Serve registers, repeating until it succeeds, and then renews now and then.
func (r *registrar) Serve(ctx context.Context) error {
	pause := firstPause
	for ctx.Err() == nil {
		next := pause
		if err := r.e.register(ctx); err == nil {
			pause, next = firstPause, renewPause
		}
		waiter.For(ctx, next)
		pause = min(2*pause, longPause)
	}
	return ctx.Err()
}

func (e *Entry) memberKey() string {
	return inventory.MemberPrefix + string(e.c.Settings.AvailabilityZone) + "/" + string(e.c.Settings.Host)
}

func (e *Entry) register(ctx context.Context) error {
	self := e.ledger.Self()
	m := inventory.Member{
		Host: e.c.Settings.Host, AvailabilityZone: e.c.Settings.AvailabilityZone,
		Incarnation: identifier.Incarnation(self.Incarnation), PeerAddress: self.PeerAddress,
	}
	version := object.Absent
	o, err := e.platform.Get(ctx, e.memberKey())
	m.RenewedUnix = e.platform.Now().Unix()
	if err == nil {
		version = o.Version
	} else if !errors.Is(err, object.ErrMissing) {
		return err
	}
	_, err = e.platform.Put(ctx, e.memberKey(), version, m)
	return err
}

// deregister tells peers and the platform that the daemon is gone; neither is
// needed for safety, both save others a time-out.
func (e *Entry) deregister(ctx context.Context) {
	e.ledger.Leave()
	e.exchanger.AnnounceShutdown(ctx)
	o, err := e.platform.Get(ctx, e.memberKey())
	if err != nil {
		return
	}
	_ = e.platform.Delete(ctx, e.memberKey(), o.Version)
}
