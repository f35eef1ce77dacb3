package streamer

import (
	"context"

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

// NewAttempt describes an attempt of a call.
func NewAttempt(c *call.Call, pick *registry.Pick) *crashreporter.Attempt {
	return &crashreporter.Attempt{Fingerprint: c.Fingerprint(), Request: c.Request, Pick: pick}
}
