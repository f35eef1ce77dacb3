// Package candidate holds what a daemon knows of one endpoint.
//
// # Two kinds of knowledge
//
// What the daemon did itself (InFlight, Sent) is exact and new. What the
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
	Unavailable     bool
	// Silent: its streams, or those of its whole zone, have brought nothing lately.
	Silent bool
	// BackingOff: it wants nothing from this daemon now; see RestsUntil.
	BackingOff bool
	// PeerBackingOff: it wants rest from other daemons; see SparedUntil.
	PeerBackingOff bool
	// Limited: it has said how much it takes, and takes nothing more from this daemon now.
	Limited bool
	// OnProbation: failed last, and gets one request at a time.
	OnProbation bool
	// Reported: there has been a report in this life of the host; without one
	// the model is not known.
	Reported bool
	// ReportFresh: the report is young enough to be believed.
	ReportFresh bool
	// InFlight counts this daemon's requests.
	InFlight int32
	// TokensAhead estimates the prompt tokens that the endpoint reads before a new
	// request's, Streams the streams that it runs: see Refresh.
	TokensAhead   float64
	Streams float64
	// PrefillUtilisation is the part of its reading time that the endpoint is taken to spend
	// on all daemons' prompts, where that is known: see Others.
	PrefillUtilisation float64
	// Slowdown is how many times longer than predicted first tokens took of late;
	// 0 counts as 1.
	Slowdown float64
	// PricePerSecond is that of the host.
	PricePerSecond float64
	// Hash is that of the endpoint's name, to break ties by.
	Hash             uint64
	AvailabilityZone identifier.AvailabilityZone
	Model            string

	Endpoint    identifier.Endpoint
	Host        identifier.Host
	Incarnation identifier.Incarnation
	// Born tells the life to other daemons.
	Born    identifier.StartTime
	Pool    identifier.Pool
	Class   document.Class
	Address string
	// Version is that of its software. VersionRank is its place among those of the version,
	// the same at all daemons.
	Version     identifier.Version
	VersionRank int32
	// WarmAt is when it is not slow any more after its start.
	WarmAt time.Time

	// Deadline is when a leaving host goes; zero if not known.
	Deadline time.Time
	// EjectedUntil is when an ejected endpoint may be probed; Failures counts
	// failures without a success between them.
	EjectedUntil time.Time
	Failures     int
	// BackoffUntil is when the endpoint takes requests again, as it said.
	BackoffUntil time.Time
	// PeerBackoffUntil is when it takes those of other daemons again, as they told.
	PeerBackoffUntil time.Time

	// Running, Queued and QueuedTokens are as reported at Taken, by this
	// daemon's clock; they say nothing once a report is stale.
	Running      int
	Queued       int
	QueuedTokens identifier.Tokens
	ReportedAt        time.Time
	// Activity is when it last said something.
	Activity *Activity
	// observed is when Slow was last brought up to date.
	observed time.Time
	// sends are this daemon's requests since Taken, oldest first.
	sends []send
	// tokenRate and rate are the tokens and requests that this daemon sends in
	// a second, over rateTime, as of rated.
	tokenRate float64
	rate      float64
	rated     time.Time
	// recent is the own token rate over recentTime, as of recently.
	recent   float64
	recently time.Time
	// unread are the prompt tokens of this daemon's requests that have brought no event
	// yet.
	unread float64
	// others is what the other daemons say they send here, if known.
	others SentLoad
	known  bool
}

// SentLoad is what the other daemons of the fleet send to one endpoint.
type SentLoad struct {
	// TokensPerSecond are uncached prompt tokens, Running requests, Unread the uncached
	// prompt tokens of those that have brought no event yet.
	TokensPerSecond float64
	Running         int
	PendingPrefill          float64
}

type send struct {
	at     time.Time
	tokens identifier.Tokens
}

const (
	// maxSends bounds the requests that are remembered one by one.
	maxSends = 256
	// promptGuess stands for the prompt of a queued request of unknown size.
	promptGuess = 256
	// rateTime is the time over which rates are averaged.
	rateTime = 10 * time.Second
	// recentTime is the time over which the rate is averaged that daemons tell
	// each other: twice the period of their news.
	recentTime = 2 * time.Second
	// mostBusy keeps the predicted wait finite.
	mostBusy = 0.95
)

// LoadParameters is what the estimates need to know besides the candidate.
type LoadParameters struct {
	// PrefillRate is the number of prompt tokens that an endpoint reads in a second,
	// Writing the seconds that a stream lasts.
	PrefillRate   float64
	StreamSeconds float64
	// MeanUncachedTokens is the uncached part of a usual prompt, in tokens: what a new one waits for
	// when it finds the endpoint reading.
	MeanUncachedTokens float64
	// OtherDaemons counts the other daemons.
	OtherDaemons float64
}

// RecordSent counts a request with its uncached prompt tokens.
func (c *Candidate) RecordSent(at time.Time, tokens identifier.Tokens) {
	if len(c.sends) == maxSends {
		c.sends = append(c.sends[:0], c.sends[1:]...)
	}
	c.sends = append(c.sends, send{at, tokens})
	c.decay(at)
	c.tokenRate += float64(tokens) / rateTime.Seconds()
	c.rate += 1 / rateTime.Seconds()
	c.TokensAhead += float64(tokens)
	c.unread += float64(tokens)
	c.Streams++
	c.RecentTokenRate(at)
	c.recent += float64(tokens) / recentTime.Seconds()
}

// UndoSent takes back a request that was counted as sent and is not.
func (c *Candidate) UndoSent(tokens identifier.Tokens) {
	c.recent = max(c.recent-float64(tokens)/recentTime.Seconds(), 0)
	c.tokenRate = max(c.tokenRate-float64(tokens)/rateTime.Seconds(), 0)
	c.rate = max(c.rate-1/rateTime.Seconds(), 0)
	if n := len(c.sends); n > 0 {
		c.sends = c.sends[:n-1]
	}
}

// RecentTokenRate returns the uncached prompt tokens that this daemon sends here in a
// second, of late.
func (c *Candidate) RecentTokenRate(now time.Time) float64 {
	c.recent *= math.Exp(-now.Sub(c.recently).Seconds() / recentTime.Seconds())
	c.recently = now
	return c.recent
}

// SetPeerLoad takes in what the other daemons send here. From then on their load is
// no longer guessed from the own.
func (c *Candidate) SetPeerLoad(o SentLoad) { c.others, c.known = o, true }

// fleet estimates the load from what all daemons say they send: the wait of a
// queue that is served at the endpoint's pace.
func (c *Candidate) fleet(now time.Time, p LoadParameters) {
	rate := c.others.TokensPerSecond + c.RecentTokenRate(now)
	c.PrefillUtilisation = min(rate*max(c.Slowdown, 1)/max(p.PrefillRate, 1), mostBusy)
	c.TokensAhead = max(p.MeanUncachedTokens*c.PrefillUtilisation/(1-c.PrefillUtilisation), c.others.PendingPrefill) + c.PendingPrefill()
	c.Streams = float64(c.others.Running) + float64(c.InFlight)
}

// PrefillDone takes off a request's prompt tokens: it has brought its first event, or ended.
//
// What is not yet read is the queue as it is. A prompt of fifty thousand tokens takes an
// engine half a second, and as part of a rate alone it was forgotten after a twentieth
// of one; and where engines are overloaded, rates say nothing of how long the queue is.
func (c *Candidate) PrefillDone(tokens identifier.Tokens) { c.unread -= float64(tokens) }

// PendingPrefill returns the prompt tokens of this daemon's requests that have brought no event.
func (c *Candidate) PendingPrefill() float64 { return max(c.unread, 0) }

func (c *Candidate) decay(now time.Time) {
	part := math.Exp(-now.Sub(c.rated).Seconds() / rateTime.Seconds())
	c.tokenRate *= part
	c.rate *= part
	c.rated = now
}

// estimate carries an old report forward to now. What this daemon sent since
// is known one by one; a report arrives late, so what was sent while it was on
// its way is not in it. The other daemons are taken to send what this one
// sends on average: to multiply its single requests would turn each into a
// crowd. In between the endpoint reads at its pace.
func (c *Candidate) estimate(now time.Time, p LoadParameters) {
	from := c.ReportedAt
	backlog := float64(c.QueuedTokens)
	if backlog == 0 {
		backlog = float64(c.Queued * promptGuess)
	}
	if !c.ReportFresh {
		from, backlog = now.Add(-staleAfter), 0
	}
	n := 0
	for n < len(c.sends) && !c.sends[n].at.After(from) {
		n++
	}
	c.sends = append(c.sends[:0], c.sends[n:]...)
	c.decay(now)
	net := p.PrefillRate/max(c.Slowdown, 1) - p.OtherDaemons*c.tokenRate
	last := from
	for i := range c.sends {
		backlog = max(backlog-net*c.sends[i].at.Sub(last).Seconds(), 0) + float64(c.sends[i].tokens)
		last = c.sends[i].at
	}
	c.TokensAhead = max(backlog-net*now.Sub(last).Seconds(), 0)
	c.Streams = c.streams(now, p)
}

func (c *Candidate) streams(now time.Time, p LoadParameters) float64 {
	own := float64(c.InFlight)
	if !c.ReportFresh {
		return own * (1 + p.OtherDaemons)
	}
	age := now.Sub(c.ReportedAt).Seconds()
	left := 1.0
	if p.StreamSeconds > 0 {
		left = max(1-age/p.StreamSeconds, 0)
	}
	came := float64(len(c.sends)) + p.OtherDaemons*c.rate*min(age, max(p.StreamSeconds, 1))
	return max(float64(c.Running+c.Queued)*left+came, own)
}

// staleAfter is the age at which a report says nothing any more.
const staleAfter = 10 * time.Second

const (
	// slower and faster are the weights of the newest observation in Slow. A
	// single late token has many causes, a single early one only a healthy
	// endpoint.
	slower   = 0.1
	faster   = 0.4
	slowMost = 20
	// slowHalf is the time in which an unused endpoint loses half of its bad
	// name: without it a slow endpoint would never be tried again.
	slowHalf = 20 * time.Second
)

// ObserveFirstToken takes in how long a first token took against its prediction.
func (c *Candidate) ObserveFirstToken(took, predicted time.Duration, now time.Time) {
	const least = 50 * time.Millisecond
	ratio := min(float64(took+least)/float64(predicted+least), slowMost)
	slow := max(c.Slowdown, 1)
	weight := faster
	if ratio > slow {
		weight = slower
	}
	c.Slowdown = max(slow+weight*(ratio-slow), 1)
	c.observed = now
}

func (c *Candidate) forgive(now time.Time) {
	if c.Slowdown <= 1 {
		return
	}
	c.Slowdown = 1 + (c.Slowdown-1)*math.Exp2(-now.Sub(c.observed).Seconds()/slowHalf.Seconds())
	c.observed = now
}

// Refresh sets the fields that depend on the time. Decisions read them many
// times between two changes, and comparing times for each would cost more
// than all else.
func (c *Candidate) Refresh(now time.Time, p LoadParameters) {
	c.Unavailable = c.Ejected(now) || c.Silent
	c.OnProbation = c.Failures > 0
	c.BackingOff = now.Before(c.BackoffUntil)
	c.PeerBackingOff = now.Before(c.PeerBackoffUntil)
	c.ReportFresh = now.Sub(c.ReportedAt) <= staleAfter
	c.forgive(now)
	if c.known {
		c.fleet(now, p)
		return
	}
	c.estimate(now, p)
}

// Ejected tells whether the endpoint is out of use at a time.
func (c *Candidate) Ejected(now time.Time) bool { return now.Before(c.EjectedUntil) }
