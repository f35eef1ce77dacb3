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

// Candidate is one endpoint as a decision sees it. The fields that each
// decision reads of every candidate come first, so that they share few cache
// lines.
type Candidate struct {
	// Leaving: no new work. Out: ejected, or not yet probed back; see
	// EjectedUntil.
	Leaving bool
	Out     bool
	// Suspect: failed last, and gets one request at a time.
	Suspect bool
	// Fresh: the report is young enough to be believed.
	Fresh bool
	// InFlight counts this daemon's requests; SentSince and SentTokens those
	// sent after Taken and their uncached prompt tokens.
	InFlight  int32
	SentSince int32
	Running   int32
	Queued    int32
	// QueuedTokens and SentTokens are prompt tokens ahead of a new request.
	QueuedTokens identifier.Tokens
	SentTokens   identifier.Tokens
	// PricePerSecond is that of the host.
	PricePerSecond float64
	// Hash is that of the endpoint's name, to break ties by.
	Hash             uint64
	AvailabilityZone identifier.AvailabilityZone
	Model            string

	Endpoint    identifier.Endpoint
	Host        identifier.Host
	Incarnation identifier.Incarnation
	Pool        identifier.Pool
	Class       document.Class
	Address     string

	// Deadline is when a leaving host goes; zero if not known.
	Deadline time.Time
	// EjectedUntil is when an ejected endpoint may be probed; Failures counts
	// failures without a success between them.
	EjectedUntil time.Time
	Failures     int

	// Taken is when Running, Queued, QueuedTokens and Model were reported, by
	// this daemon's clock.
	Taken time.Time
}

// staleAfter is the age at which a report says nothing any more.
const staleAfter = 10 * time.Second

// Refresh sets the fields that depend on the time. Decisions read them many
// times between two changes, and comparing times for each would cost more
// than all else.
func (c *Candidate) Refresh(now time.Time) {
	c.Out = c.Ejected(now)
	c.Suspect = c.Failures > 0
	c.Fresh = now.Sub(c.Taken) <= staleAfter
}

// Ejected tells whether the endpoint is out of use at a time.
func (c *Candidate) Ejected(now time.Time) bool { return now.Before(c.EjectedUntil) }
