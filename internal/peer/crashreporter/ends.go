package crashreporter

import (
	"context"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/engine/prober"
	"brasschute/internal/route/quarantiner"
	"brasschute/internal/route/registry"
)

// checkInterval is how often this daemon looks for endpoints to check.
const checkInterval = 100 * time.Millisecond

// Serve checks the endpoints of attempts that have delivered nothing until ctx ends.
func (r *Reporter) Serve(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	return waiter.Every(ctx, checkInterval, func(ctx context.Context) {
		for _, pick := range r.attempts.due(time.Now(), r.c.Presence) {
			running.Go(func() { r.check(ctx, pick) })
		}
	})
}

// check finds out whether an endpoint has ended that runs attempts, or may run some that were given up.
func (r *Reporter) check(ctx context.Context, pick *registry.Pick) {
	if r.c.Presence(pick) == registry.Replaced {
		r.joinEnd(r.incarnationOf(pick), prober.Refused, time.Time{})
		return
	}
	found := r.prober.Probe(ctx, pick.Address)
	r.c.Metrics.Tagged(map[string]string{"probe": found.String()}).Counter("endpoint_checks").Inc(1)
	if found == prober.Refused {
		r.c.OnEnd(pick.Endpoint, r.c.Incarnation(pick), time.Now())
	}
	if r.hasEnded(ctx, pick, found) {
		r.joinEnd(r.incarnationOf(pick), found, time.Time{})
	}
}

// hasEnded reports whether an endpoint has ended, by the result of a probe. The host of one that has lost its power neither
// resets nor refuses connections, and peers can't tell while they reach no other endpoint either.
func (r *Reporter) hasEnded(ctx context.Context, pick *registry.Pick, found prober.Result) bool {
	switch found {
	case prober.Refused:
		return true
	case prober.Listening:
		return false
	}
	presence := r.c.Presence(pick)
	return presence == registry.Lapsed || presence == registry.Listed && found == prober.Unknown && r.c.Unreachable(ctx, pick)
}

// joinEnd records the end of an incarnation against the attempts there that have delivered nothing. at is the time of
// the end; if it is not known, that of the last sign of life is taken.
func (r *Reporter) joinEnd(key identifier.EndpointIncarnation, found prober.Result, at time.Time) {
	list := r.attempts.take(key, at)
	for _, a := range list {
		r.logEnd(a, 0, found)
		e := quarantiner.Ending{Silent: found == prober.Unknown, At: at}
		if at.IsZero() {
			e.At = a.lastSign()
		}
		r.recordEnd(e, a)
	}
}

// lastSign returns when the endpoint of an attempt last showed a sign of life, at least the time at which the attempt
// was sent; zero if neither is known.
func (a *Attempt) lastSign() time.Time {
	signs := a.Pick.Activity.Signs()
	return signs.LatestSince(a.Sent)
}

// joinEndings joins the endings that peers saw with what this daemon sent to the endpoints.
func (r *Reporter) joinEndings(list []quarantiner.Suspect) {
	for i := range list {
		for k := range list[i].Endings {
			e := &list[i].Endings[k]
			r.joinEnd(identifier.EndpointIncarnation{Endpoint: e.Endpoint, Born: e.Born}, prober.Refused, e.At)
		}
	}
}
