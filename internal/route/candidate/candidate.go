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
	"math"
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
	// Age is that of the report, in seconds.
	Age     float32
	Running int32
	Queued  int32
	// QueuedTokens and SentTokens are prompt tokens ahead of a new request.
	QueuedTokens identifier.Tokens
	SentTokens   identifier.Tokens
	// Slow is how many times longer than predicted first tokens took of late;
	// 0 counts as 1.
	Slow float64
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
	// observed is when Slow was last brought up to date.
	observed time.Time
	// sends are the requests behind SentSince, oldest first.
	sends []send
}

type send struct {
	at     time.Time
	tokens identifier.Tokens
}

// maxSends bounds the requests that are remembered one by one.
const maxSends = 256

// Sent counts a request with its uncached prompt tokens.
func (c *Candidate) Sent(at time.Time, tokens identifier.Tokens) {
	if len(c.sends) == maxSends {
		c.sends = append(c.sends[:0], c.sends[1:]...)
	}
	c.sends = append(c.sends, send{at, tokens})
	c.SentSince++
	c.SentTokens += tokens
}

// count adds up what was sent after the report was taken, or, without a report
// that can be believed, in the time after which one is stale. A report arrives
// late: what was sent while it was on its way is not in it.
func (c *Candidate) count(now time.Time) {
	from := c.Taken
	if !c.Fresh {
		from = now.Add(-staleAfter)
	}
	n := 0
	for n < len(c.sends) && !c.sends[n].at.After(from) {
		n++
	}
	c.sends = append(c.sends[:0], c.sends[n:]...)
	c.SentSince, c.SentTokens = int32(len(c.sends)), 0
	for i := range c.sends {
		c.SentTokens += c.sends[i].tokens
	}
}

// staleAfter is the age at which a report says nothing any more.
const staleAfter = 10 * time.Second

const (
	// slowWeight is the weight of the newest observation in Slow.
	slowWeight = 0.3
	slowMost   = 20
	// slowHalf is the time in which an unused endpoint loses half of its bad
	// name: without it a slow endpoint would never be tried again.
	slowHalf = 20 * time.Second
)

// Observe takes in how long a first token took against its prediction.
func (c *Candidate) Observe(took, predicted time.Duration, now time.Time) {
	const least = 5 * time.Millisecond
	ratio := min(float64(took+least)/float64(predicted+least), slowMost)
	slow := max(c.Slow, 1)
	c.Slow = max(slow+slowWeight*(ratio-slow), 1)
	c.observed = now
}

func (c *Candidate) forgive(now time.Time) {
	if c.Slow <= 1 {
		return
	}
	c.Slow = 1 + (c.Slow-1)*math.Exp2(-now.Sub(c.observed).Seconds()/slowHalf.Seconds())
	c.observed = now
}

// Refresh sets the fields that depend on the time. Decisions read them many
// times between two changes, and comparing times for each would cost more
// than all else.
func (c *Candidate) Refresh(now time.Time) {
	c.Out = c.Ejected(now)
	c.Suspect = c.Failures > 0
	age := now.Sub(c.Taken)
	c.Fresh = age <= staleAfter
	c.Age = float32(min(age, staleAfter).Seconds())
	c.count(now)
	c.forgive(now)
}

// Ejected tells whether the endpoint is out of use at a time.
func (c *Candidate) Ejected(now time.Time) bool { return now.Before(c.EjectedUntil) }
