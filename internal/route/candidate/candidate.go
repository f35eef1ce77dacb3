// Package candidate holds what a daemon knows of one endpoint.
//
// # Two kinds of knowledge
//
// What the daemon did itself (InFlight, SentSince) is exact and new. What the
// endpoint reports (Running, QueuedTokens) is complete but old. A decision
// needs both: the report, plus what was sent since it was taken.
//
// # Usage
//
// Candidates are plain values in slices, so that a decision over a thousand of
// them walks memory in order and allocates nothing.
package candidate

import (
	"time"

	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"
)

// Candidate is one endpoint as a decision sees it.
type Candidate struct {
	Endpoint         identifier.Endpoint
	Host             identifier.Host
	Incarnation      identifier.Incarnation
	AvailabilityZone identifier.AvailabilityZone
	Pool             identifier.Pool
	Class            document.Class
	Address          string

	// Leaving: no new work. Deadline is zero if not known.
	Leaving  bool
	Deadline time.Time
	// EjectedUntil is when an ejected endpoint may be probed; Failures counts
	// failures without a success between them.
	EjectedUntil time.Time
	Failures     int

	// Running, Queued, QueuedTokens and Model are as reported at Taken, by
	// this daemon's clock.
	Running      int
	Queued       int
	QueuedTokens identifier.Tokens
	Model        string
	Taken        time.Time

	// InFlight counts this daemon's requests; SentSince and SentTokens those
	// sent after Taken and their uncached prompt tokens.
	InFlight   int
	SentSince  int
	SentTokens identifier.Tokens
}

// Ejected tells whether the endpoint is out of use at a time.
func (c *Candidate) Ejected(now time.Time) bool { return now.Before(c.EjectedUntil) }
