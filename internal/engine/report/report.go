// Package report declares the load report of an endpoint.
//
// A [Report] is always out of date: Taken is the time of its numbers by the
// endpoint's clock, and the reader must add the requests that it has sent since.
//
// # Usage
//
//	if r.Leaving { registry.MarkLeaving(...) }
package report

import (
	"time"

	"brasschute/internal/core/identifier"
)

// Report is one endpoint's load at one moment.
type Report struct {
	Endpoint identifier.Endpoint
	Taken    time.Time
	Running  int
	Queued   int
	// QueuedTokens is the number of prompt tokens that wait for prefill.
	QueuedTokens identifier.Tokens
	// Model is the loaded model.
	Model string
	// FencingNumber is the highest one received with an order.
	FencingNumber uint64
	// Leaving is set if the host has a reclaim notice or is draining.
	Leaving bool
	// Incarnation is the host's incarnation.
	Incarnation identifier.Incarnation
}
