package relayer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"brasschute/internal/peer/crashreporter"
	"brasschute/internal/route/quarantiner"
	"brasschute/internal/serve/dispatcher"
)

// errQuarantined means that the request was quarantined during the attempt.
var errQuarantined = errors.New("withdrawn, as other endpoints ended under the request")

// admit decides whether the quarantine lets the request be sent now.
func (j *job) admit() quarantiner.Decision {
	d := j.r.c.Quarantine.Admit(j.q.Fingerprint(), j.q.ID, j.q.SharedParts()...)
	j.held = d.Held
	return d
}

// track lets the quarantine cancel an attempt for as long as the endpoint has
// returned nothing. untrack must be called when it has, or when the attempt ends.
func (j *job) track(cancel context.CancelCauseFunc) (untrack func()) {
	return j.r.c.Quarantine.Track(j.q.Fingerprint(), func() { cancel(errQuarantined) }, j.q.SharedParts()...)
}

// reportEnd tells the quarantine how an attempt ended that had brought so many events. ctx is the request's
// context.
func (j *job) reportEnd(ctx context.Context, a *crashreporter.Attempt, events int, err error) {
	switch {
	case err == nil, errors.Is(err, errFailed):
		j.r.c.Quarantine.Conclude(a)
		j.r.c.Quarantine.Answered(a.Fingerprint)
	case brokenOff(ctx, err):
		j.res.Fingerprint = a.Fingerprint
		j.r.c.Quarantine.ReportBreak(ctx, a, events)
	case events == 0 && !isUnsent(err) && !errors.Is(err, errRefused) && !errors.Is(err, errWrongEvents):
		j.r.c.Quarantine.ReportGivenUp(a, reasonOf(ctx, err))
	default:
		j.r.c.Quarantine.Conclude(a)
	}
}

// reasonOf returns why an attempt was given up. ctx is the request's context.
func reasonOf(ctx context.Context, err error) crashreporter.Reason {
	switch {
	case errors.Is(err, errQuarantined):
		return crashreporter.Quarantined
	case errors.Is(err, errSilence):
		return crashreporter.Silent
	case stoppedDaemon(ctx):
		return crashreporter.Stopping
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return crashreporter.TimedOut
	case errors.Is(err, dispatcher.ErrThroughPeer) && ctx.Err() == nil:
		return crashreporter.PeerLost
	}
	return crashreporter.ClientGone
}

// QuarantineRefusal returns the refusal of a request that is quarantined and was not sent.
func QuarantineRefusal(d *quarantiner.Decision) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: "not run: " + quarantineReason(d), RetryAfter: d.RetryAfter}
}

// quarantineReason says why a request is quarantined: which endpoints ended, and when.
func quarantineReason(d *quarantiner.Decision) string {
	endings := make([]string, len(d.Endings))
	now := time.Now()
	for i, e := range d.Endings {
		endings[i] = fmt.Sprintf("%s %.1f s ago", e.Endpoint, now.Sub(e.At).Seconds())
	}
	what := "the same request"
	if d.Part != "" {
		what = "requests with " + string(d.Part) + " in their prompts"
	}
	return "endpoints ended while they ran " + what + ": " + strings.Join(endings, ", ")
}
