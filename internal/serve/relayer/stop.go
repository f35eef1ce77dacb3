package relayer

import (
	"context"
	"errors"
	"fmt"
	"time"

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

// startsTooLate reports whether the daemon stops, the request came when the balancer had taken the daemon out,
// and it could not end in time.
func (j *job) startsTooLate() bool {
	left, stopping := j.r.c.Drainer.TimeLeft()
	return stopping && j.r.c.Drainer.CameLate(j.q.Received) && left < answerMargin+j.runTime()
}

// stoppedDaemon reports whether a context ended because the daemon stops.
func stoppedDaemon(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), drainer.ErrStopping)
}

// endStopped ends a request for which the stopping daemon has no time.
func (j *job) endStopped() {
	reason := drainer.ErrStopping.Error()
	if left, stopping := j.r.c.Drainer.TimeLeft(); stopping {
		reason = fmt.Sprintf("%s, %d ms are left, the request may take %d ms", reason, max(left, 0).Milliseconds(), j.runTime().Milliseconds())
	}
	j.endFailed(reason, drainer.RetryAfter)
}
