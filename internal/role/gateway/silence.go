package gateway

import (
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/request"
	"brasschute/internal/serve/silencejudge"
)

// ObserveSilence counts and logs a decision about a silent attempt.
func (g *Gateway) ObserveSilence(q *request.Request, pick *registry.Pick, in *silencejudge.Input, d silencejudge.Decision) {
	counter, outcome := "attempts_kept", "kept"
	if d.GiveUp {
		counter, outcome = "attempts_given_up", "given up"
	}
	g.scope.Tagged(map[string]string{"reason": string(d.Reason)}).Counter(counter).Inc(1)
	if !g.endpointLogs.Allow() {
		return
	}
	fields := []any{
		"request", q.ID, "endpoint", pick.Endpoint, "outcome", outcome, "reason", d.Reason, "silent_ms", in.Now.Sub(in.Begun).Milliseconds(),
		"endpoint_silent_ms", in.Silence().Milliseconds(), "objective_ms", in.Objective.Milliseconds(), "queue_ms", in.Queue.Milliseconds(),
		"alternative", in.Alternative, "alternative_ms", in.AlternativeTime.Milliseconds(), "attempts_left", in.AttemptsLeft,
		"left_ms", in.Deadline.Sub(in.Now).Milliseconds(),
	}
	if !in.Signs.Zone.IsZero() {
		fields = append(fields, "zone_silent_ms", in.Now.Sub(in.Signs.Zone).Milliseconds())
	}
	g.c.Logger.Info("silent attempt", fields...)
}
