package relayer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/serve/drainer"
)

// answerMargin is the time before the end of the process that is left for answers to reach their clients.
const answerMargin = 250 * time.Millisecond

// endWithDaemon ends the returned context when the daemon stops and no time is left for the request, unless its
// answer has begun: the connection would close without an answer.
func (j *job) endWithDaemon(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	j.answerBegins = j.r.c.Drainer.Watch(answerMargin, func() { cancel(drainer.ErrStopping) })
	return ctx, func() {
		j.answerBegins()
		cancel(nil)
	}
}

// waitWithDaemon ends the returned context when the daemon stops and the request, if it started then, could not
// end in time.
func (j *job) waitWithDaemon(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := j.r.c.Drainer.Watch(answerMargin+j.runTime(), func() { cancel(drainer.ErrStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// runTime returns how long the request usually takes at most from its start to its end.
func (j *job) runTime() time.Duration { return j.r.c.Placer.MaxUsualDuration(j.q) }

// startsTooLate reports whether the daemon stops, the request was read whole when the balancer had taken the daemon
// out, and it could not end in time. Its client may have taken seconds for its body.
func (j *job) startsTooLate() bool {
	left, stopping := j.r.c.Drainer.TimeLeft()
	return stopping && j.r.c.Drainer.CameLate(j.read) && left < answerMargin+j.maxRunTime()
}

// maxRunTime returns how long the request may take at most. A stream that has begun can't be answered any more, so that
// an estimate is not enough for it: it may go on until its deadline.
func (j *job) maxRunTime() time.Duration {
	if j.q.Route.Kind == catalog.Streaming {
		return time.Until(j.q.Deadline())
	}
	return j.runTime()
}

// stoppedDaemon reports whether a context ended because the daemon stops.
func stoppedDaemon(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), drainer.ErrStopping)
}

// endStopped ends a request for which the stopping daemon has no time: it may take runTime.
func (j *job) endStopped(runTime time.Duration) {
	reason := drainer.ErrStopping.Error()
	if left, stopping := j.r.c.Drainer.TimeLeft(); stopping {
		reason = fmt.Sprintf("%s, %d ms are left, the request may take %d ms", reason, max(left, 0).Milliseconds(), runTime.Milliseconds())
	}
	j.endFailed(reason, drainer.RetryAfter)
}
