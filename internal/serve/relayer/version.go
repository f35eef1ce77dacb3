package relayer

import (
	"context"
	"errors"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/sender"
	"brasschute/internal/peer/origintracker"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/registry"
	"brasschute/internal/route/selector"
	"brasschute/internal/route/splitter"
	"brasschute/internal/serve/placer"
	"brasschute/internal/serve/request"
)

// place chooses an endpoint among those whose version the request may go to.
func (j *job) place(ctx context.Context) placer.Placement {
	choose := j.r.c.Placer.Place
	if j.soonest && j.queues() {
		choose = j.r.c.Placer.PlaceSoonest
	}
	v := j.r.c.Versions.Choose(j.versionQuery(j.versionChosen))
	j.versionChosen = true
	placed := j.placeAmong(ctx, choose, j.vouched(v))
	if placed.Pick != nil || placed.Refusal != nil || ctx.Err() != nil || !v.AllowFallback {
		return placed
	}
	return j.placeAmong(ctx, choose, j.vouched(j.r.c.Versions.Fallback(j.q.Service, &v)))
}

// vouched restricts a stream that goes on to endpoints whose processes run the version that they are listed with.
func (j *job) vouched(v selector.VersionFilter) selector.VersionFilter {
	if j.originKnown {
		v.Vouched = func(c *candidate.Candidate) bool {
			return j.mayGoOnAt(identifier.EndpointIncarnation{Endpoint: c.Endpoint, Born: c.StartTime})
		}
	}
	return v
}

// mayGoOnAt reports whether the stream, if it goes on, may do so at an incarnation now.
func (j *job) mayGoOnAt(i identifier.EndpointIncarnation) bool {
	return !j.originKnown || j.origin == "" || !j.r.c.Ends.EndedBefore(i, time.Now())
}

// verifyOf returns what verifies the endpoint of a stream that goes on; nil if any process may get the request.
func (j *job) verifyOf(pick *registry.Pick) func(context.Context, *sender.Conn) bool {
	if !j.originKnown || j.origin == "" || j.r.c.Incarnations == nil {
		return nil
	}
	return func(ctx context.Context, c *sender.Conn) bool {
		result := j.r.c.Incarnations.Verify(ctx, c, pick.EndpointIncarnation())
		j.res.Attempts[len(j.res.Attempts)-1].Verified = result
		return result.Passed()
	}
}

// reasonOriginUnknown is the reason if a stream can't go on, as its version is not known.
const reasonOriginUnknown = "it is not known at which version the stream began"

// reasonOriginUnconfirmed is the reason if a stream can't go on yet.
const reasonOriginUnconfirmed = "it is not known yet which endpoints have the version at which the stream began"

// originDoubtful reports whether the stream began at an incarnation that had ended before: another one listened
// there, perhaps of another version.
func (j *job) originDoubtful() bool {
	return j.first != nil && j.first.Version != "" && j.r.c.Ends.EndedBefore(j.first.EndpointIncarnation(), j.firstSent)
}

// maxBorrowed is how often a request may borrow a permit: another request of this daemon may use it
// first.
const maxBorrowed = 3

// choice chooses an endpoint; see [placer.Placer.Place].
type choice func(context.Context, *request.Request, *catalog.Service, []identifier.Endpoint, selector.VersionFilter) placer.Placement

// placeAmong chooses an endpoint among those of some versions. If only their rate limits are in the
// way, it borrows a permit of another daemon.
func (j *job) placeAmong(ctx context.Context, choose choice, v selector.VersionFilter) placer.Placement {
	placed := choose(ctx, j.q, j.service, j.tried, v)
	for n := 0; n < maxBorrowed && placed.Pick == nil && placed.Refusal == nil && placed.Decision.Excluded.Limited > 0 && ctx.Err() == nil; n++ {
		if !j.r.c.Permits.Borrow(ctx, j.r.c.Registry.Limited(identifier.Pool(j.q.Service), j.tried, &v)) {
			break
		}
		placed = choose(ctx, j.q, j.service, j.tried, v)
	}
	return placed
}

// versionQuery asks for the versions that the request may go to.
func (j *job) versionQuery(repeated bool) *splitter.Query {
	return &splitter.Query{
		Service: j.q.Service, Route: j.q.Route.Name, Repeated: repeated, MaxDuration: j.r.c.Placer.MaxUsualDuration(j.q),
		Continues: j.originKnown, Version: j.origin,
	}
}

// findOrigin finds the version at which the stream began that the request continues. It reports
// false if that is not known; then the result is final.
func (j *job) findOrigin(ctx context.Context) bool {
	if j.q.LastEventNumber == 0 || j.q.Route.Kind != catalog.Streaming {
		return true
	}
	found := j.r.c.Origins.Find(ctx, j.q.Service, j.q.Resumes)
	j.res.Origin = &found
	switch found.Source {
	case origintracker.Unknown:
		j.endFailed(reasonOriginUnknown, retryAfter)
	case origintracker.Unconfirmed:
		j.endFailed(reasonOriginUnconfirmed, max(retryAfter, found.RetryAfter))
	default:
		j.origin, j.originKnown = found.Version, true
	}
	return j.originKnown
}

// beginStream records the version of the endpoint that brings the first event of a stream. From
// then on the stream goes on at that version only.
func (j *job) beginStream(ctx context.Context, pick *registry.Pick, begun time.Time) {
	if j.originKnown {
		return
	}
	j.origin, j.originKnown = pick.Version, true
	j.first, j.firstSent = pick, begun
	if j.q.Route.Resumable && !j.originDoubtful() {
		j.r.c.Origins.Begin(ctx, origintracker.Origin{Request: j.q.ID, Service: j.q.Service, Version: pick.Version})
	}
}

// newRun describes an attempt for the comparison of versions.
func (j *job) newRun(pick *registry.Pick) *splitter.Run {
	return &splitter.Run{
		Service: j.q.Service, Route: j.q.Route.Name, Endpoint: pick.Endpoint, Version: pick.Version, Cold: pick.Cold,
	}
}

// reportRun reports the end of an attempt. A client that disconnected says nothing
// about the version, unless it waited for far too long. A wait that the endpoint's queue
// explains says nothing about it either.
func (j *job) reportRun(requestCtx context.Context, r *splitter.Run, pick *registry.Pick, err error, begun time.Time, events int) {
	r.Elapsed, r.Expected = time.Since(begun), j.r.c.Placer.ExpectedDuration(j.q, j.service, pick, events)
	switch {
	case err != nil && stoppedDaemon(requestCtx):
	case err != nil && requestCtx.Err() != nil && events == 0 && j.explained(pick, begun):
	case errors.Is(err, errSilence) && j.pausedLately(pick, begun):
	case err == nil, errors.Is(requestCtx.Err(), context.Canceled) && !isUnsent(err):
		r.Outcome = splitter.Answered
		r.Abandoned = err != nil
	case isUnsent(err), errors.Is(err, errRefused), errors.Is(err, errClient), errors.Is(err, errQuarantined):
	case errors.Is(err, errFailed), errors.Is(err, errSilence), errors.Is(err, errWrongEvents), requestCtx.Err() != nil,
		errors.Is(err, sender.ErrNoResponse), errors.Is(err, sender.ErrBadResponse):
		r.Outcome = splitter.Failed
	}
	j.r.c.Versions.RunEnded(r)
}
