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

// Quarantine keeps requests from endpoints that would end under them.
type Quarantine interface {
	// Admit decides right before each send.
	Admit(f identifier.Fingerprint, id identifier.Request) quarantiner.Verdict
	// ReportBreak is told of each attempt that an endpoint broke off.
	ReportBreak(ctx context.Context, b *crashreporter.BrokenRequest)
	// Answered is told of each request that an endpoint has run to its end.
	Answered(f identifier.Fingerprint)
}

// QuarantineRefusal returns the refusal of a call that must not be sent; nil if it may.
func QuarantineRefusal(q Quarantine, c *call.Call) *refusal.Problem {
	v := q.Admit(c.Fingerprint(), c.Instance)
	if !v.Held {
		return nil
	}
	return refusal.New(refusal.Quarantined, "endpoints ended while they ran the same request").WithRetryAfter(v.RetryAfter)
}

// NewBreak describes a call that an endpoint broke off.
func NewBreak(c *call.Call, pick *registry.Pick, brought int) *crashreporter.BrokenRequest {
	return &crashreporter.BrokenRequest{Fingerprint: c.Fingerprint(), Request: c.Request, Pick: pick, Events: brought}
}
