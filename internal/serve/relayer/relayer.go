// Package relayer carries a request to endpoints and the answer to its client.
//
// # Attempts
//
// An attempt is unsent, refused (the endpoint states that the request did not
// run), lost (it may have run), failed (it ran, without success) or answered.
// Only an unsent or refused attempt may be followed by another one for every
// request; a lost or failed one only where the request may run twice, and a
// broken stream only where it may be resumed. Each further endpoint takes from
// the retry budget of its service, so that a mass failure is not made worse.
//
// # Requests that end endpoints
//
// An attempt that an endpoint breaks off may have ended that endpoint. A request under which
// endpoints ended is held by all daemons (package quarantiner): it is looked at before each
// choice and again right before the first byte goes out, and withdrawn where it waits.
//
// # Truth of refusals
//
// A status that promises "not run" is sent only if no attempt can have run. An
// answer of an endpoint passes unchanged, unless it would make that promise
// without the endpoint having stated it.
//
// # Usage
//
//	result := r.Relay(ctx, w, q)
//	if result.Abort { panic(http.ErrAbortHandler) }
package relayer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/sender"
	"brasschute/internal/peer/crashreporter"
	"brasschute/internal/route/shedder"
	"brasschute/internal/route/quarantiner"
	"brasschute/internal/route/registry"
	"brasschute/internal/route/selector"
	"brasschute/internal/route/splitter"
	"brasschute/internal/serve/placer"
	"brasschute/internal/serve/request"
)

const (
	// maxAnswer bounds a plain answer that is held until it is whole.
	maxAnswer = 8 << 20
	// maxUnsent is how many endpoints that can't be reached are tried; these
	// do not count as attempts.
	maxUnsent = 4
	// retryAfter is told to a client whose endpoint refused: the next daemon
	// may know of a free one.
	retryAfter = 200 * time.Millisecond
	// shortage is told when no endpoint is known: a replacement takes seconds.
	shortage = time.Second
	// silentObjectives is how many times a route's objective an endpoint may stay
	// silent before a request that may be repeated goes to another one. Clients
	// give up after four times the objective.
	silentObjectives = 2
	// leastSilence is far above the time in which a plain call is answered when
	// its endpoint is sound (30 ms).
	leastSilence = 300 * time.Millisecond
	// leastTime is the least time left with which a request is still sent: a
	// round trip and a few milliseconds of work.
	leastTime = 20 * time.Millisecond
)

// Codec translates messages between the daemon and endpoints.
type Codec interface {
	EncodeRequest(q *request.Request, endpoint identifier.Endpoint, left time.Duration, lastEvent int) http.Header
	DecodeReply(status int, h http.Header) request.Reply
	ReplyHeader(h http.Header) http.Header
}

// Budget grants repeated sends.
type Budget interface {
	Spend(identifier.Service) bool
}

// Config names the relayer's collaborators.
type Config struct {
	Registry *registry.Registry
	Placer   *placer.Placer
	Sender   *sender.Sender
	Codec    Codec
	Budget   Budget
	// OnBegin is told once of each request that began to run.
	OnBegin func(*request.Request)
	// Demand is told of placed and refused requests.
	Demand     Demand
	Quarantine Quarantine
	// Versions splits requests between versions of endpoints.
	Versions Versions
	// ReplyObserver is told what endpoints say of themselves.
	ReplyObserver ReplyObserver
}

// ReplyObserver hears what endpoints say of themselves in their answers.
type ReplyObserver interface {
	// ObserveReply is told of the head of each answer to a request, and when that was sent.
	ObserveReply(q *request.Request, pick *registry.Pick, reply *request.Reply, sent time.Time)
	// ObserveBackoff is told for how long an endpoint wants nothing that turned a request away.
	ObserveBackoff(q *request.Request, pick *registry.Pick, d time.Duration)
}

// Versions says which version of its service's endpoints a request may go to.
type Versions interface {
	Choose(a *splitter.Query) selector.VersionFilter
	// Fallback is asked where no endpoint that was chosen from can serve.
	Fallback(s identifier.Service, v *selector.VersionFilter) selector.VersionFilter
	// Blocked is asked right before each send.
	Blocked(s identifier.Service, v identifier.Version) bool
	// Sent is told of each run, Ended of those that count.
	RunStarted(r *splitter.Run) (counts bool)
	RunEnded(r *splitter.Run)
}

// Quarantine keeps requests from endpoints that would end under them.
type Quarantine interface {
	// Admit decides right before each send.
	Admit(f identifier.Fingerprint, id identifier.Request) quarantiner.Verdict
	// Track notes an attempt that withdraw ends, until leave is called.
	Track(f identifier.Fingerprint, withdraw func()) (leave func())
	// ReportBreak is told of each attempt that an endpoint broke off.
	ReportBreak(ctx context.Context, b *crashreporter.BrokenRequest)
	// Answered is told of each request that an endpoint has run to its end.
	Answered(f identifier.Fingerprint)
}

// Demand measures what is asked of services.
type Demand interface {
	CountPlaced(s identifier.Service, uncached identifier.Tokens)
	CountEnded(s identifier.Service)
	CountRefused(s identifier.Service)
}

// Outcome says how a request ended.
type Outcome string

// The outcomes.
const (
	// Answered: the endpoint's answer went to the client whole.
	Answered Outcome = "answered"
	// NotRun: refused, and no endpoint ran it.
	NotRun Outcome = "not-run"
	// Unknown: it may have run, and there is no answer to give.
	Unknown Outcome = "unknown"
	// StreamCut: a stream broke off after its first event.
	StreamCut Outcome = "cut"
	// ClientGone: the client left.
	ClientGone Outcome = "client-gone"
	// TimedOut: the time was up.
	TimedOut Outcome = "timeout"
)

// Attempt is one send, for the log and the explanation.
type Attempt struct {
	Endpoint  identifier.Endpoint
	Predicted time.Duration
	Cached    identifier.Tokens
	// At and Took are the times since the request came and of the attempt.
	At   time.Duration
	Took time.Duration
	// Outcome is "ok" or the failure.
	Outcome string
}

// Result is how a request ended and why.
type Result struct {
	Outcome Outcome
	// Status is the answer's, 0 if none was begun.
	Status int
	// Refusal, if set, is still to be sent to the client.
	Refusal *Refusal
	// Abort: the answer is incomplete, and the connection must end with it.
	Abort bool
	// TimeToFirst is the time to the first event, or to the answer.
	TimeToFirst    time.Duration
	Events   int
	Attempts []Attempt
	Reason   string
	// Fingerprint is set for a request that an endpoint broke off.
	Fingerprint identifier.Fingerprint
	// Excluded counts the endpoints that could not be chosen.
	Excluded selector.Excluded
}

// Refusal is an answer of the daemon's own.
type Refusal struct {
	Status     int
	Reason     string
	RetryAfter time.Duration
}

// Relayer relays requests. It is safe for concurrent use.
type Relayer struct {
	c Config
}

// New returns a relayer.
func New(c Config) *Relayer { return &Relayer{c} }

// job is one request on its way.
type job struct {
	r       *Relayer
	q       *request.Request
	service *catalog.Service
	w       http.ResponseWriter
	flush   func() error
	res     Result

	tried []identifier.Endpoint
	// asked: it was decided which version the request may go to.
	asked bool
	// sends counts endpoints that may have received the request, unsent those
	// that did not.
	sends  int
	unsent int
	// mayHaveRun: some attempt can have run; began: it was counted as such.
	mayHaveRun bool
	began      bool
	// head: the answer's head went out; last is the last event's number.
	head bool
	last int
	// kept is an endpoint's answer with a failure, passed on if no later
	// attempt does better.
	kept *answer
}

// answer is an endpoint's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// Relay serves one request. ctx ends when the client leaves or the request's
// time is up.
func (r *Relayer) Relay(ctx context.Context, w http.ResponseWriter, q *request.Request, s *catalog.Service) Result {
	j := &job{r: r, q: q, service: s, w: w, flush: http.NewResponseController(w).Flush, last: q.LastEventNumber}
	for {
		pick, stop := j.choose(ctx)
		if stop {
			return j.res
		}
		begun, events := time.Now(), j.res.Events
		err := j.attempt(ctx, pick)
		j.note(pick, begun, err)
		if err == nil || errors.Is(err, errFailed) {
			r.c.Quarantine.Answered(q.Fingerprint())
		}
		if err == nil {
			return j.res
		}
		if brokenOff(ctx, err) {
			j.res.Fingerprint = q.Fingerprint()
			r.c.Quarantine.ReportBreak(ctx, &crashreporter.BrokenRequest{Fingerprint: q.Fingerprint(), Request: q.ID, Pick: pick, Events: j.res.Events - events})
		}
		if j.final(ctx, err) {
			return j.res
		}
	}
}

// choose finds the next endpoint; stop means that the result is final.
func (j *job) choose(ctx context.Context) (pick *registry.Pick, stop bool) {
	if ctx.Err() != nil || time.Until(j.q.Deadline()) < leastTime {
		j.timeUp(ctx)
		return nil, true
	}
	if v := j.admit(); v.Held {
		// A request that ends the endpoint which runs it would end the next one with each
		// arrival, and the answers of all others there.
		j.res.Fingerprint = j.q.Fingerprint()
		j.giveUp(heldReason(&v), v.RetryAfter)
		return nil, true
	}
	pick, d := j.place()
	if pick == nil {
		j.res.Excluded = d.Excluded
		j.r.c.Demand.CountRefused(j.q.Service)
		j.giveUp(j.nobody(&d.Excluded))
		return nil, true
	}
	if v := j.forecast(pick); v.Refuse {
		j.r.c.Registry.Cancel(pick)
		j.r.c.Demand.CountRefused(j.q.Service)
		j.giveUp(fmt.Sprintf("%s: %s of queue, bearable %s", reasonTooLate, pick.PredictedWait().Round(time.Millisecond), v.MaxDelay.Round(time.Millisecond)), v.RetryAfter)
		return nil, true
	}
	j.res.Attempts = append(j.res.Attempts, Attempt{
		Endpoint: pick.Endpoint, Predicted: d.Chosen.FirstToken, Cached: d.Chosen.Cached, At: time.Since(j.q.Received),
	})
	return pick, false
}

// reasonTooLate begins the reason of a refusal by prediction.
const reasonTooLate = "the first event would come too late"

// forecast decides whether a request that has not been sent would be served too late.
func (j *job) forecast(pick *registry.Pick) shedder.Decision {
	if !j.q.HasTokenCounts || j.sends > 0 || j.unsent > 0 {
		return shedder.Decision{}
	}
	return shedder.Decide(&shedder.Input{
		Route: j.q.Route, Rank: j.q.Rank(), QueueDelay: pick.PredictedWait(), Waited: time.Since(j.q.Received), Remaining: time.Until(j.q.Deadline()),
	})
}
