// Package candidate holds the state of an endpoint that routing decisions read.
//
// A daemon counts its own requests (InFlight, [Candidate.RecordSent]) exactly and without delay.
// The load reports of an endpoint (Running, QueuedTokens) cover all daemons but are old when they
// arrive. A decision needs both: the last report plus what was sent after it was taken.
//
// # Usage
//
// Candidates are plain values in slices, so that a decision over a thousand of them reads memory in
// order and allocates nothing.
//
//	c.RecordSent(now, uncachedTokens)
//	c.Refresh(now, parameters) // before the next decision
package candidate

import (
	"math"
	"time"

	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"
)

// Candidate is the state of one endpoint. The fields that each decision reads for every candidate
// come first, so that they share few cache lines.
type Candidate struct {
	// Leaving: the endpoint gets no new requests. Unavailable: it is ejected (see EjectedUntil) or
	// silent.
	Leaving     bool
	Unavailable bool
	// Silent: the endpoint has streams and showed no sign of life within silentTime, or that is so of
	// its whole zone.
	Silent bool
	// BackingOff: the endpoint asked this daemon to pause; see BackoffUntil.
	BackingOff bool
	// PeerBackingOff: the endpoint asked other daemons to pause; see PeerBackoffUntil.
	PeerBackingOff bool
	// Limited: the endpoint stated a rate limit, and this daemon's share of it is used up for now.
	Limited bool
	// OnProbation: the last request failed; the endpoint gets one request at a time.
	OnProbation bool
	// Reported: a load report has arrived in this incarnation of the host. Without one the loaded
	// model is unknown.
	Reported bool
	// ReportFresh: the last report is recent enough to be used.
	ReportFresh bool
	// InFlight counts this daemon's requests.
	InFlight int32
	// TokensAhead estimates the prompt tokens that the endpoint computes before those of a new
	// request. Streams estimates the streams that it runs. See Refresh.
	TokensAhead float64
	Streams     float64
	// PrefillUtilisation is the estimated fraction of prefill time that the prompts of all daemons
	// take up. It is set if the load of the other daemons is known; see SentLoad.
	PrefillUtilisation float64
	// Slowdown is the recent ratio of measured to predicted times to first token; 0 counts as 1.
	Slowdown float64
	// PricePerSecond is the price of the host.
	PricePerSecond float64
	// Hash is a hash of the endpoint's name and incarnation. It breaks ties.
	Hash             uint64
	AvailabilityZone identifier.AvailabilityZone
	Model            string

	Endpoint    identifier.Endpoint
	Host        identifier.Host
	Incarnation identifier.Incarnation
	// StartTime identifies the incarnation to other daemons.
	StartTime identifier.StartTime
	Pool      identifier.Pool
	Class     document.Class
	Address   string
	// Version is the version of the endpoint's software. VersionRank is its rank among the
	// endpoints of that version, the same at all daemons.
	Version     identifier.Version
	VersionRank int32
	// WarmAt is when the endpoint is no longer slow from its start.
	WarmAt time.Time

	// Deadline is when a leaving host ends; zero if unknown.
	Deadline time.Time
	// EjectedUntil is when an ejected endpoint may be probed. Failures counts consecutive failures.
	EjectedUntil time.Time
	Failures     int
	// BackoffUntil is when the endpoint takes requests of this daemon again, as it stated.
	BackoffUntil time.Time
	// PeerBackoffUntil is when the endpoint takes requests of other daemons again, as they
	// reported.
	PeerBackoffUntil time.Time

	// Running, Queued and QueuedTokens are the values reported at ReportedAt, by this daemon's
	// clock. They are meaningless once the report is stale.
	Running      int
	Queued       int
	QueuedTokens identifier.Tokens
	ReportedAt   time.Time
	// Activity records the endpoint's signs of life.
	Activity *Activity
	// observedAt is when Slowdown was last updated.
	observedAt time.Time
	// sends are this daemon's requests since ReportedAt, oldest first.
	sends []send
	// tokenRate and requestRate are the tokens and requests per second that this daemon sends,
	// averaged over rateTime, as of ratedAt.
	tokenRate   float64
	requestRate float64
	ratedAt     time.Time
	// recentTokenRate is this daemon's token rate averaged over recentTime, as of recentAt.
	recentTokenRate float64
	recentAt        time.Time
	// pendingPrefill is the number of prompt tokens of this daemon's requests that have delivered
	// no event yet.
	pendingPrefill float64
	// peerLoad is what the other daemons report to send to this endpoint, if peerLoadKnown.
	peerLoad      SentLoad
	peerLoadKnown bool
}

// SentLoad is the load that one or several daemons send to an endpoint.
type SentLoad struct {
	// TokensPerSecond is the rate of uncached prompt tokens and Running the number of requests in
	// flight. PendingPrefill is the number of uncached prompt tokens of those requests that have
	// delivered no event yet.
	TokensPerSecond float64
	Running         int
	PendingPrefill  float64
	// LastSign is when the endpoint last delivered an event or a response to the senders; zero if
	// unknown.
	LastSign time.Time
}

// send is one request of this daemon with its uncached prompt tokens.
type send struct {
	at     time.Time
	tokens identifier.Tokens
}

const (
	// maxSends limits the requests that are remembered individually.
	maxSends = 256
	// assumedPromptTokens is the assumed prompt size of a queued request of unknown size.
	assumedPromptTokens = 256
	// rateTime is the time constant over which rates are averaged.
	rateTime = 10 * time.Second
	// recentTime is the time constant of the rate that daemons share with each other: twice the
	// period of their digests.
	recentTime = 2 * time.Second
	// maxUtilisation keeps the predicted wait finite.
	maxUtilisation = 0.95
)

// LoadParameters holds the inputs of the load estimate that are not part of the candidate.
type LoadParameters struct {
	// PrefillRate is the number of prompt tokens that an endpoint computes per second.
	// StreamSeconds is the duration of a stream in seconds.
	PrefillRate   float64
	StreamSeconds float64
	// MeanUncachedTokens is the mean number of uncached tokens of a prompt. It is what a new
	// request waits for if it finds the endpoint busy with a prompt.
	MeanUncachedTokens float64
	// OtherDaemons is the number of other daemons.
	OtherDaemons float64
}

// RecordSent counts a request with its uncached prompt tokens.
func (c *Candidate) RecordSent(at time.Time, tokens identifier.Tokens) {
	if len(c.sends) == maxSends {
		c.sends = append(c.sends[:0], c.sends[1:]...)
	}
	c.sends = append(c.sends, send{at, tokens})
	c.decayRates(at)
	c.tokenRate += float64(tokens) / rateTime.Seconds()
	c.requestRate += 1 / rateTime.Seconds()
	c.TokensAhead += float64(tokens)
	c.pendingPrefill += float64(tokens)
	c.Streams++
	c.RecentTokenRate(at)
	c.recentTokenRate += float64(tokens) / recentTime.Seconds()
}

// UndoSent takes back a request that was counted by RecordSent but not sent.
func (c *Candidate) UndoSent(tokens identifier.Tokens) {
	c.recentTokenRate = max(c.recentTokenRate-float64(tokens)/recentTime.Seconds(), 0)
	c.tokenRate = max(c.tokenRate-float64(tokens)/rateTime.Seconds(), 0)
	c.requestRate = max(c.requestRate-1/rateTime.Seconds(), 0)
	if n := len(c.sends); n > 0 {
		c.sends = c.sends[:n-1]
	}
}

// RecentTokenRate returns the uncached prompt tokens per second that this daemon has sent, averaged
// over recentTime.
func (c *Candidate) RecentTokenRate(now time.Time) float64 {
	c.recentTokenRate *= math.Exp(-now.Sub(c.recentAt).Seconds() / recentTime.Seconds())
	c.recentAt = now
	return c.recentTokenRate
}

// SetPeerLoad sets the load sent by the other daemons. From then on it is no longer extrapolated
// from this daemon's own load.
func (c *Candidate) SetPeerLoad(l SentLoad) {
	c.peerLoad, c.peerLoadKnown = l, true
	if !l.LastSign.IsZero() {
		c.Activity.RecordPeerSign(l.LastSign)
	}
}

// estimateFromFleet estimates the load from what all daemons report to send: the wait in a queue
// that is served at the endpoint's prefill rate.
func (c *Candidate) estimateFromFleet(now time.Time, p LoadParameters) {
	rate := c.peerLoad.TokensPerSecond + c.RecentTokenRate(now)
	c.PrefillUtilisation = min(rate*max(c.Slowdown, 1)/max(p.PrefillRate, 1), maxUtilisation)
	c.TokensAhead = max(p.MeanUncachedTokens*c.PrefillUtilisation/(1-c.PrefillUtilisation), c.peerLoad.PendingPrefill) + c.PendingPrefill()
	c.Streams = float64(c.peerLoad.Running) + float64(c.InFlight)
}

// PrefillDone removes the prompt tokens of a request that has delivered its first event or has
// ended.
//
// The pending tokens are the actual length of the queue. A prompt of 50,000 tokens keeps an engine
// busy for half a second; counted only as part of a rate, it is forgotten after a twentieth of a
// second. When engines are overloaded, rates say nothing about the length of the queue.
func (c *Candidate) PrefillDone(tokens identifier.Tokens) { c.pendingPrefill -= float64(tokens) }

// PendingPrefill returns the number of prompt tokens of this daemon's requests that have delivered
// no event yet.
func (c *Candidate) PendingPrefill() float64 { return max(c.pendingPrefill, 0) }

// decayRates applies the exponential decay of the rates up to now.
func (c *Candidate) decayRates(now time.Time) {
	factor := math.Exp(-now.Sub(c.ratedAt).Seconds() / rateTime.Seconds())
	c.tokenRate *= factor
	c.requestRate *= factor
	c.ratedAt = now
}

// estimateFromReport extrapolates the last report to now. The requests that this daemon sent since
// are known individually. A report arrives late, so it does not include what was sent while it was
// in transit. The other daemons are assumed to send on average what this one sends. Multiplying its
// individual requests instead would turn each of them into a burst. Between requests the endpoint
// computes at its prefill rate.
func (c *Candidate) estimateFromReport(now time.Time, p LoadParameters) {
	from := c.ReportedAt
	backlog := float64(c.QueuedTokens)
	if backlog == 0 {
		backlog = float64(c.Queued * assumedPromptTokens)
	}
	if !c.ReportFresh {
		from, backlog = now.Add(-staleAfter), 0
	}
	n := 0
	for n < len(c.sends) && !c.sends[n].at.After(from) {
		n++
	}
	c.sends = append(c.sends[:0], c.sends[n:]...)
	c.decayRates(now)
	netRate := p.PrefillRate/max(c.Slowdown, 1) - p.OtherDaemons*c.tokenRate
	last := from
	for i := range c.sends {
		backlog = max(backlog-netRate*c.sends[i].at.Sub(last).Seconds(), 0) + float64(c.sends[i].tokens)
		last = c.sends[i].at
	}
	c.TokensAhead = max(backlog-netRate*now.Sub(last).Seconds(), 0)
	c.Streams = c.estimateStreams(now, p)
}

// estimateStreams estimates the streams running at the endpoint: those of the last report that have
// not ended since, plus those that all daemons have sent since.
func (c *Candidate) estimateStreams(now time.Time, p LoadParameters) float64 {
	own := float64(c.InFlight)
	if !c.ReportFresh {
		return own * (1 + p.OtherDaemons)
	}
	age := now.Sub(c.ReportedAt).Seconds()
	remaining := 1.0
	if p.StreamSeconds > 0 {
		remaining = max(1-age/p.StreamSeconds, 0)
	}
	arrived := float64(len(c.sends)) + p.OtherDaemons*c.requestRate*min(age, max(p.StreamSeconds, 1))
	return max(float64(c.Running+c.Queued)*remaining+arrived, own)
}

// staleAfter is the age from which on a report is not used.
const staleAfter = 10 * time.Second

const (
	// slowerWeight and fasterWeight are the weights of the newest observation in Slowdown. A single
	// late token has many causes; a single early one comes only from a healthy endpoint.
	slowerWeight = 0.1
	fasterWeight = 0.4
	maxSlowdown  = 20
	// slowdownHalfLife is the time in which the excess slowdown of an unused endpoint halves.
	// Without this decay a slow endpoint would never be tried again.
	slowdownHalfLife = 20 * time.Second
)

// ObserveFirstToken updates Slowdown with a measured and a predicted time to first token.
func (c *Candidate) ObserveFirstToken(took, predicted time.Duration, now time.Time) {
	// margin limits the weight of the noise in very short times.
	const margin = 50 * time.Millisecond
	ratio := min(float64(took+margin)/float64(predicted+margin), maxSlowdown)
	slowdown := max(c.Slowdown, 1)
	weight := fasterWeight
	if ratio > slowdown {
		weight = slowerWeight
	}
	c.Slowdown = max(slowdown+weight*(ratio-slowdown), 1)
	c.observedAt = now
}

// decaySlowdown reduces Slowdown by the time since its last update.
func (c *Candidate) decaySlowdown(now time.Time) {
	if c.Slowdown <= 1 {
		return
	}
	c.Slowdown = 1 + (c.Slowdown-1)*math.Exp2(-now.Sub(c.observedAt).Seconds()/slowdownHalfLife.Seconds())
	c.observedAt = now
}

// Refresh updates the fields that depend on the time. Decisions read them many times between two
// updates, and comparing times on each read would cost more than the rest of the decision.
func (c *Candidate) Refresh(now time.Time, p LoadParameters) {
	c.Unavailable = c.Ejected(now) || c.Silent
	c.OnProbation = c.Failures > 0
	c.BackingOff = now.Before(c.BackoffUntil)
	c.PeerBackingOff = now.Before(c.PeerBackoffUntil)
	c.ReportFresh = now.Sub(c.ReportedAt) <= staleAfter
	c.decaySlowdown(now)
	if c.peerLoadKnown {
		c.estimateFromFleet(now, p)
		return
	}
	c.estimateFromReport(now, p)
}

// Ejected reports whether the endpoint is ejected at the given time.
func (c *Candidate) Ejected(now time.Time) bool { return now.Before(c.EjectedUntil) }
