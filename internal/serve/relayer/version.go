package relayer

import (
	"context"
	"errors"
	"time"

	"brasschute/internal/engine/sender"
	"brasschute/internal/route/registry"
	"brasschute/internal/route/selector"
	"brasschute/internal/route/splitter"
)

// place chooses an endpoint of a version that the request may go to.
func (j *job) place() (*registry.Pick, selector.Decision) {
	v := j.r.c.Versions.Choose(&splitter.Query{
		Service: j.q.Service, Route: j.q.Route.Name, Repeated: j.asked, MaxDuration: j.r.c.Placer.MaxUsualDuration(j.q),
	})
	j.asked = true
	pick, d := j.r.c.Placer.Place(j.q, j.service, j.tried, v)
	if pick != nil || !v.AllowFallback {
		return pick, d
	}
	return j.r.c.Placer.Place(j.q, j.service, j.tried, j.r.c.Versions.Fallback(j.q.Service, &v))
}

// run describes an attempt to whoever compares versions.
func (j *job) run(pick *registry.Pick) *splitter.Run {
	return &splitter.Run{
		Service: j.q.Service, Route: j.q.Route.Name, Endpoint: pick.Endpoint, Version: pick.Version, Cold: pick.Cold,
	}
}

// ran tells what came of an attempt. A client that left says nothing of the version, unless it
// had waited for far too long.
func (j *job) ran(outer context.Context, r *splitter.Run, pick *registry.Pick, err error, begun time.Time, events int) {
	r.Elapsed, r.Expected = time.Since(begun), j.r.c.Placer.ExpectedDuration(j.q, j.service, pick, events)
	switch {
	case err == nil, errors.Is(outer.Err(), context.Canceled) && !unsent(err):
		r.Outcome = splitter.Answered
		r.Abandoned = err != nil
	case unsent(err), errors.Is(err, errRefused), errors.Is(err, errClient), errors.Is(err, errHeld):
	case errors.Is(err, errFailed), errors.Is(err, errSilent), errors.Is(err, errGap), outer.Err() != nil,
		errors.Is(err, sender.ErrNoResponse), errors.Is(err, sender.ErrBadResponse):
		r.Outcome = splitter.Failed
	}
	j.r.c.Versions.RunEnded(r)
}
