// Package report holds the load that an endpoint tells of itself.
//
// # Usage
//
// A reader must treat a [Report] as old news: Taken says when the numbers were
// true, by the endpoint's clock, and the reader adds what it sent since.
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
	// QueuedTokens are prompt tokens waiting to be read.
	QueuedTokens identifier.Tokens
	Model        string
	// FencingNumber is the highest that came with an order.
	FencingNumber uint64
	// Leaving: the host has a reclaim notice or is draining.
	Leaving bool
	// Incarnation is that of the host.
	Incarnation identifier.Incarnation
}
