package streamer

import (
	"context"
	"errors"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/crashreporter"
	"brasschute/internal/route/quarantiner"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/call"
	"brasschute/internal/serve/refusal"
)

// Quarantine holds back requests that bring endpoints down.
type Quarantine interface {
	// Admit decides whether a request may be sent. It is called right before each send.
	Admit(f identifier.Fingerprint, id identifier.Request, parts ...identifier.Fingerprint) quarantiner.Decision
	// ReportBreak is called for each attempt that an endpoint broke off after so many events.
	ReportBreak(ctx context.Context, a *crashreporter.Attempt, events int)
	// ReportGivenUp is called for each attempt that was given up although its endpoint may go on running
	// it, and before it has delivered anything.
	ReportGivenUp(a *crashreporter.Attempt, reason crashreporter.Reason)
	// Answered is called for each request that an endpoint ran to its end.
	Answered(f identifier.Fingerprint)
}

// QuarantineRefusal returns the refusal of a quarantined call, or nil if it may be sent.
func QuarantineRefusal(q Quarantine, c *call.Call) *refusal.Problem {
	v := q.Admit(c.Fingerprint(), c.Instance)
	if !v.Held {
		return nil
	}
	return refusal.New(refusal.Quarantined, "endpoints ended while they ran the same request").WithRetryAfter(v.RetryAfter)
}

// ReportEnd reports an attempt that was sent and has failed after so many events. ctx is the call's context.
func ReportEnd(ctx context.Context, q Quarantine, c *call.Call, pick *registry.Pick, events int) {
	a := &crashreporter.Attempt{Fingerprint: c.Fingerprint(), Request: c.Request, Pick: pick}
	switch {
	case ctx.Err() == nil:
		q.ReportBreak(ctx, a, events)
	case events == 0 && errors.Is(ctx.Err(), context.Canceled):
		q.ReportGivenUp(a, crashreporter.ClientGone)
	case events == 0:
		q.ReportGivenUp(a, crashreporter.TimedOut)
	}
}
