package registry

import (
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/selector"
)

// Outlook predicts what an attempt that still waits for its first event can expect.
type Outlook struct {
	// Queue is the time in which the attempt's endpoint computes all prompt tokens that wait there
	// now, those of the attempt included; 0 if the endpoint is not listed any more.
	Queue time.Duration
	// Alternative is the endpoint that another attempt would be sent to, empty if there is none,
	// and FirstToken its predicted time to first token.
	Alternative identifier.Endpoint
	FirstToken  time.Duration
}

// Preview returns the outlook of the attempt of a pick. q asks for the endpoint of another attempt;
// unlike [Registry.Choose], Preview counts no request.
func (r *Registry) Preview(k *Pick, q *Query) Outlook {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, d := r.decide(q)
	out := Outlook{}
	if c := r.find(k); c != nil {
		out.Queue = queueTime(c, q.Select.PrefillRate)
	}
	if d.Index != selector.None {
		out.Alternative, out.FirstToken = d.Chosen.Endpoint, d.Chosen.FirstToken
	}
	return out
}

// queueTime returns the time in which an endpoint computes the prompt tokens that wait there.
func queueTime(c *candidate.Candidate, prefillRate int) time.Duration {
	return time.Duration(c.TokensAhead * max(c.Slowdown, 1) / float64(max(prefillRate, 1)) * float64(time.Second))
}
