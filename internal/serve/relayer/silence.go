package relayer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/silencejudge"
)

// silenceTimeout is the time without a sign of life of the endpoint after which an attempt may
// be given up.
func (j *job) silenceTimeout() time.Duration {
	return silencejudge.Timeout(j.q.Route.FirstEventObjective)
}

// queues reports whether the service's requests wait in queues of its endpoints. An endpoint
// of another service that answers some requests and not others is not busy, but faulty.
func (j *job) queues() bool { return j.service != nil && j.service.Engine != nil }

// explained reports whether the queue of its endpoint explains that an attempt had to wait:
// the endpoint has shown a sign of life since the attempt began.
func (j *job) explained(pick *registry.Pick, begun time.Time) bool {
	if !j.queues() {
		return false
	}
	signs := j.r.c.Registry.Signs(pick)
	return signs.Last(time.Now(), j.silenceTimeout()).After(begun)
}

// maxPause is how long a healthy endpoint may be silent, with a margin over the second or so that its
// host may take from it.
const maxPause = 2 * time.Second

// silentLately reports whether an attempt ended because its endpoint fell silent before or during it,
// and not long ago. ctx is the attempt's context.
func (j *job) silentLately(ctx context.Context, pick *registry.Pick, begun time.Time) bool {
	return !j.headSent && ctx.Err() != nil && j.pausedLately(pick, begun)
}

// pausedLately reports whether an endpoint has shown no sign of life since an attempt began, but shortly
// before.
func (j *job) pausedLately(pick *registry.Pick, begun time.Time) bool {
	signs := j.r.c.Registry.Signs(pick)
	last := signs.Last(time.Now(), maxPause)
	return !last.IsZero() && !last.After(begun) && time.Since(last) < maxPause
}

// silenceWatch gives an attempt up when its endpoint stays silent.
type silenceWatch struct {
	j      *job
	pick   *registry.Pick
	begun  time.Time
	cancel context.CancelCauseFunc
	// attemptsLeft is the number of attempts that may follow, tried the endpoints that these
	// must not go to.
	attemptsLeft int
	tried        []identifier.Endpoint

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// reported holds the reasons of the decisions so far.
	reported []silencejudge.Reason
}

// watchSilence watches an attempt of a request that may go to another endpoint. Otherwise an
// endpoint that stopped responding would keep the request until the client gives up. cancel cancels
// the attempt's context. Calling stop stops the watch.
func (j *job) watchSilence(cancel context.CancelCauseFunc, pick *registry.Pick, begun time.Time) (stop func()) {
	if !j.q.Route.Retryable() || j.res.Events > 0 {
		return func() {}
	}
	w := &silenceWatch{j: j, pick: pick, begun: begun, cancel: cancel, attemptsLeft: j.q.Route.MaxAttempts - j.sends - 1}
	w.tried = append(append(w.tried, j.tried...), pick.Endpoint)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(j.silenceTimeout(), w.decide)
	return w.stop
}

// stop stops the watch. No attempt is given up once it has returned.
func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// decide gives the attempt up or lets it go on until the next decision.
func (w *silenceWatch) decide() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	in := w.input()
	d := silencejudge.Decide(in)
	if !slices.Contains(w.reported, d.Reason) {
		w.reported = append(w.reported, d.Reason)
		w.j.r.c.SilenceObserver.ObserveSilence(w.j.q, w.pick, in, d)
	}
	switch {
	case d.GiveUp:
		w.stopped = true
		w.j.retryGranted.Store(true)
		w.cancel(fmt.Errorf("%w (%s: %s)", errSilence, d.Reason, in))
	case d.RecheckAfter > 0:
		w.timer.Reset(d.RecheckAfter)
	}
}

// input returns what the decision depends on.
func (w *silenceWatch) input() *silencejudge.Input {
	j := w.j
	v := j.vouched(j.r.c.Versions.Choose(j.versionQuery(true)))
	preview := j.r.c.Placer.Preview(w.pick, j.q, j.service, w.tried, v)
	if preview.Alternative == "" && v.AllowFallback {
		preview = j.r.c.Placer.Preview(w.pick, j.q, j.service, w.tried, j.vouched(j.r.c.Versions.Fallback(j.q.Service, &v)))
	}
	return &silencejudge.Input{
		Now: time.Now(), Begun: w.begun, Deadline: j.q.Deadline().Add(-minTimeLeft), Objective: j.q.Route.FirstEventObjective,
		QueuesRequests: j.queues(), Signs: j.r.c.Registry.Signs(w.pick), AttemptsLeft: w.attemptsLeft, Queue: preview.Queue,
		Alternative: preview.Alternative, AlternativeTime: preview.FirstToken,
		Spend: func() bool { return j.r.c.Budget.Spend(j.q.Service) },
	}
}
