package entry

import (
	"context"
	"errors"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
)

// gaugeUpdater updates the gauges that no event updates.
type gaugeUpdater struct{ e *Entry }

// Serve updates the gauges until ctx ends.
func (g *gaugeUpdater) Serve(ctx context.Context) error {
	return waiter.Every(ctx, metricsInterval, func(context.Context) { g.e.updateGauges() })
}

func (e *Entry) updateGauges() {
	in, out := e.meter.Bytes()
	e.scope.Gauge("peer_bytes_in").Update(float64(in))
	e.scope.Gauge("peer_bytes_out").Update(float64(out))
	e.scope.Gauge("platform_calls").Update(float64(e.platform.Calls()))
	e.scope.Gauge("requests_in_flight").Update(float64(e.handler.InFlight()))
	e.scope.Gauge("members").Update(float64(e.members.Count()))
}

// memberRegistrar registers the daemon on the platform, so that peers find it.
type memberRegistrar struct{ e *Entry }

// Serve registers the daemon, with backoff until it succeeds, and then renews the registration
// every renewInterval.
func (r *memberRegistrar) Serve(ctx context.Context) error {
	backoff := minRegisterBackoff
	for ctx.Err() == nil {
		wait := backoff
		if err := r.e.register(ctx); err == nil {
			backoff, wait = minRegisterBackoff, renewInterval
		}
		waiter.For(ctx, wait)
		backoff = min(2*backoff, maxRegisterBackoff)
	}
	return ctx.Err()
}

func (e *Entry) memberKey() string {
	return inventory.MemberPrefix + string(e.c.Settings.AvailabilityZone) + "/" + string(e.c.Settings.Host)
}

func (e *Entry) register(ctx context.Context) error {
	self := e.members.Self()
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

// deregister announces the shutdown to peers and removes the daemon's record from the platform.
// Neither is needed for safety; both save others a timeout.
func (e *Entry) deregister(ctx context.Context) {
	e.members.Leave()
	e.gossiper.AnnounceShutdown(ctx)
	o, err := e.platform.Get(ctx, e.memberKey())
	if err != nil {
		return
	}
	_ = e.platform.Delete(ctx, e.memberKey(), o.Version)
}
