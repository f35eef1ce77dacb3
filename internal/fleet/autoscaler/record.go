package autoscaler

import (
	"cmp"
	"slices"
	"time"

	"brasschute/internal/fleet/poolrecorder"
)

// Inherit starts with what a former lease holder knew, so that the first step under a fencing
// number continues from there.
func (a *Autoscaler) Inherit(fencing uint64, r *poolrecorder.Record) {
	a.reset(fencing)
	a.inheritedAt = r.At
	if len(r.Pools) > 0 {
		// A former holder knew the load, so the fleet is not new any more, whatever the settings say.
		a.c.FirstStart = false
	}
	for i := range r.Pools {
		p := &r.Pools[i]
		a.demands[p.Service] = &peak{engines: p.Needed, at: p.NeededAge.Time(r.At)}
		a.onDemandDemands[p.Service] = &peak{engines: p.OnDemandNeeded, at: p.OnDemandNeededAge.Time(r.At)}
		a.peaks[p.Service] = &peak{engines: p.Served, at: p.ServedAge.Time(r.At)}
		a.losses[p.Service] = &loss{at: p.LossAge.Time(r.At), replaced: p.LossReplaced, perRequest: p.PerRequest, averagedAt: r.At}
		a.corrections[p.Service] = &correction{factor: max(p.Correction, 1), changedAt: p.CorrectionAge.Time(r.At)}
		for _, z := range p.Places {
			a.states[key{p.Service, z.Zone, z.Class}] = &state{
				ordered: z.Ordered, listed: z.Listed, initialised: true, orderedAt: z.OrderedAge.Time(r.At),
				lowerSince: z.LowerAge.Time(r.At), refusedAt: z.RefusedAge.Time(r.At), reclaimedAt: z.ReclaimedAge.Time(r.At),
			}
		}
	}
}

// Record returns what a later lease holder needs to know. Services whose need is not known yet
// are left out.
func (a *Autoscaler) Record() *poolrecorder.Record {
	now := time.Now()
	out := &poolrecorder.Record{Fencing: a.fencing, At: now}
	for s, n := range a.demands {
		l, onDemand, served, late := a.loss(s), a.onDemandDemands[s], a.peaks[s], a.correction(s)
		if onDemand == nil || served == nil {
			continue
		}
		out.Pools = append(out.Pools, poolrecorder.Pool{
			Service: s, Needed: n.engines, NeededAge: poolrecorder.AgeOf(n.at, now),
			OnDemandNeeded: onDemand.engines, OnDemandNeededAge: poolrecorder.AgeOf(onDemand.at, now),
			Served: served.engines, ServedAge: poolrecorder.AgeOf(served.at, now), PerRequest: l.perRequest, LossAge: poolrecorder.AgeOf(l.at, now), LossReplaced: l.replaced,
			Correction: late.factor, CorrectionAge: poolrecorder.AgeOf(late.changedAt, now),
		})
	}
	slices.SortFunc(out.Pools, func(x, y poolrecorder.Pool) int { return cmp.Compare(x.Service, y.Service) })
	for k, t := range a.states {
		i := slices.IndexFunc(out.Pools, func(p poolrecorder.Pool) bool { return p.Service == k.service })
		if i < 0 || !t.initialised {
			continue
		}
		out.Pools[i].Places = append(out.Pools[i].Places, poolrecorder.ZonePool{
			Zone: k.zone, Class: k.class, Ordered: t.ordered, Listed: t.listed, OrderedAge: poolrecorder.AgeOf(t.orderedAt, now),
			LowerAge: poolrecorder.AgeOf(t.lowerSince, now), RefusedAge: poolrecorder.AgeOf(t.refusedAt, now), ReclaimedAge: poolrecorder.AgeOf(t.reclaimedAt, now),
		})
	}
	for i := range out.Pools {
		slices.SortFunc(out.Pools[i].Places, func(x, y poolrecorder.ZonePool) int {
			return cmp.Or(cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.Class, y.Class))
		})
	}
	return out
}
