package autoscaler

import (
	"time"

	"brasschute/internal/core/identifier"
)

const (
	// maxLateFraction is the part of first events that may be late before endpoints are taken to
	// serve less than is presumed. Below onTimeFraction the correction is lowered again: in between
	// it stays, so that it does not go up and down.
	maxLateFraction = 0.1
	onTimeFraction  = 0.03
	// raiseStep and lowerStep are the factors by which the correction changes, maxCorrection is its
	// upper bound: an engine with half the speed and a quarter of the memory needs no more.
	raiseStep     = 1.15
	lowerStep     = 0.97
	maxCorrection = 4
	// settleAfterStart is how long after the start of an endpoint its effect shows: the half-life
	// of the rates, and the age of other daemons' digests.
	settleAfterStart = 3 * time.Second
	// lowerInterval is the time between two steps down.
	lowerInterval = 15 * time.Second
	// minFirstEvents is the rate of first events below which their part that is late says little.
	minFirstEvents = 2
)

// correction is the factor by which a service's load needs more endpoints than the figures say.
type correction struct {
	factor float64
	// lateSince is since when too many first events are late without a reason that is being
	// removed, changedAt when the factor last changed.
	lateSince, changedAt time.Time
}

func (a *Autoscaler) correction(s identifier.Service) *correction {
	c := a.corrections[s]
	if c == nil {
		c = &correction{factor: 1}
		a.corrections[s] = c
	}
	return c
}

// observeLateness raises the correction if more than maxLateFraction of the first events are late
// for longer than an endpoint takes to start, though as many endpoints are listed as the figures
// require, which endpointsSuffice reports. A recent loss explains lateness, and so does a load that
// has just begun. conditionsNormal is false in these cases.
func (c *correction) observeLateness(s *Service, endpointsSuffice, conditionsNormal bool, now time.Time) {
	late := s.Demand.FirstEvents >= minFirstEvents && s.Demand.Late > maxLateFraction*s.Demand.FirstEvents
	if !late || !endpointsSuffice || !conditionsNormal {
		c.lateSince = time.Time{}
	} else if c.lateSince.IsZero() {
		c.lateSince = now
	}
	wait := s.Scale.BootTime + settleAfterStart
	switch {
	case !c.lateSince.IsZero() && now.Sub(c.lateSince) > wait && now.Sub(c.changedAt) > wait:
		c.factor, c.changedAt = min(c.factor*raiseStep, maxCorrection), now
	case conditionsNormal && c.factor > 1 && s.Demand.FirstEvents >= minFirstEvents && s.Demand.Late < onTimeFraction*s.Demand.FirstEvents &&
		now.Sub(c.changedAt) > lowerInterval:
		c.factor, c.changedAt = max(c.factor*lowerStep, 1), now
	}
}

// correct returns the needed number with what seen lateness adds.
func (a *Autoscaler) correct(s *Service, needed float64, settling bool, now time.Time) float64 {
	c := a.correction(s.Service)
	before, endpoints := c.factor, newPool(s).listed()
	c.observeLateness(s, float64(endpoints) >= needed*before, !settling && !a.loss(s.Service).recent(now), now)
	if c.factor != before {
		a.c.Logger.Info("lateness correction changed", "service", s.Service, "before", before, "factor", c.factor, "late_per_second", s.Demand.Late,
			"first_events_per_second", s.Demand.FirstEvents, "needed", needed, "listed", endpoints)
	}
	return needed * c.factor
}
