// Package relayer sends a request to endpoints and returns the answer to its client.
//
// An attempt ends in one of five ways: unsent, refused (the endpoint states that
// the request did not run), lost (it may have run), failed (it ran, without
// success) or answered. After an unsent or refused attempt any request may be
// retried. After a lost or failed one only a request that may run twice is
// retried, and a broken stream only if it may be resumed. Each retry takes from
// the retry budget of the service, so that retries do not amplify a mass failure.
//
// An attempt that stays silent is given up only together with the start of the next
// one, for which the budget has been spent by then; see package silencejudge.
//
// An attempt that breaks off may have brought its endpoint down. A request under
// which endpoints ended is quarantined by all daemons, see package quarantiner.
// The quarantine is checked before each choice of an endpoint and again right
// before the first byte is sent, and a request that still waits is withdrawn.
//
// A stream goes on only at the software version that began it, here and where its client
// takes it up, see package origintracker.
//
// A status that means "not run" is sent only if no attempt can have run. An
// endpoint's answer is passed on unchanged, unless its status would mean "not run"
// without the endpoint having stated that.
//
// # Usage
//
//	result := r.Relay(ctx, w, q, service)
//	if result.Abort { panic(http.ErrAbortHandler) }
package relayer

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/crashreporter"
	"brasschute/internal/peer/origintracker"
	"brasschute/internal/route/endtracker"
	"brasschute/internal/route/quarantiner"
	"brasschute/internal/route/registry"
	"brasschute/internal/route/selector"
	"brasschute/internal/route/shedder"
	"brasschute/internal/route/splitter"
	"brasschute/internal/serve/answerreader"
	"brasschute/internal/serve/dispatcher"
	"brasschute/internal/serve/drainer"
	"brasschute/internal/serve/eventsequencer"
	"brasschute/internal/serve/placer"
	"brasschute/internal/serve/replyreader"
	"brasschute/internal/serve/request"
	"brasschute/internal/serve/silencejudge"
	"brasschute/internal/serve/verifier"
)

const (
	// maxRefusalBytes bounds what is read of a response that says that the request did not run.
	maxRefusalBytes = 64 << 10
	// writeTimeout is how long a client may take to read its answer, if its deadline is not later.
	writeTimeout = 10 * time.Second
	// maxUnsent is the number of unreachable endpoints that are tried. They do not
	// count as attempts. An endpoint that refuses the connection does not count here
	// either: that takes one round trip, and reaches no endpoint.
	maxUnsent = 4
	// maxRecordedRefusals bounds the attempts in a result that ended in a refused
	// connection. Later ones are only counted.
	maxRecordedRefusals = 4
	// retryAfter is sent when an endpoint refused: another daemon may choose a free one.
	retryAfter = 200 * time.Millisecond
	// shortageRetryAfter is sent when no endpoint is available: a replacement takes
	// seconds to start.
	shortageRetryAfter = time.Second
	// minTimeLeft is the time left to the deadline below which a request is not sent:
	// a round trip and a few milliseconds of work.
	minTimeLeft = 20 * time.Millisecond
)

// Codec translates the headers of requests and replies between the daemon and endpoints.
type Codec interface {
	EncodeRequest(q *request.Request, endpoint identifier.Endpoint, left time.Duration, lastEvent int) http.Header
	DecodeReply(status int, h http.Header) request.Reply
	ReplyHeader(h http.Header) http.Header
}

// Budget is the retry budget. Spend takes one retry of a service and reports whether
// it was left.
type Budget interface {
	Spend(identifier.Service) bool
}

// Config holds the dependencies of a Relayer.
type Config struct {
	Registry   *registry.Registry
	Placer     *placer.Placer
	Dispatcher *dispatcher.Dispatcher
	Codec      Codec
	Budget     Budget
	// OnBegin is called once for each request that began to run.
	OnBegin func(*request.Request)
	// Demand records placed and refused requests.
	Demand     Demand
	Quarantine Quarantine
	// Versions splits requests between versions of endpoints.
	Versions Versions
	// Origins knows at which versions streams began.
	Origins Origins
	// Permits borrows what other daemons may send to endpoints with rate limits.
	Permits Permits
	// ReplyObserver receives what endpoints report about themselves.
	ReplyObserver replyreader.Observer
	// SilenceObserver receives the decisions about silent attempts.
	SilenceObserver SilenceObserver
	// Answers reads answers and bounds the memory that they take.
	Answers *answerreader.Reader
	// Ends knows which incarnations of endpoints have ended.
	Ends Ends
	// Incarnations verifies endpoints before streams go on there.
	Incarnations Incarnations
	// Drainer says when requests have to end because the daemon stops.
	Drainer *drainer.Drainer
}

// SilenceObserver receives the decisions about silent attempts.
type SilenceObserver interface {
	// ObserveSilence is called for the first decision about an attempt with each reason.
	ObserveSilence(q *request.Request, pick *registry.Pick, in *silencejudge.Input, d silencejudge.Decision)
}

// Versions selects which versions of a service's endpoints a request may go to.
type Versions interface {
	// Choose returns the versions for the next attempt.
	Choose(a *splitter.Query) selector.VersionFilter
	// Fallback returns the versions to use when no endpoint of v can serve.
	Fallback(s identifier.Service, v *selector.VersionFilter) selector.VersionFilter
	// Blocked reports whether a version may get no requests. It is called right before
	// each send.
	Blocked(s identifier.Service, v identifier.Version) bool
	// RunStarted is called for each attempt and reports whether the attempt is counted.
	// RunEnded is called at the end of each counted one.
	RunStarted(r *splitter.Run) (counts bool)
	RunEnded(r *splitter.Run)
}

// Permits borrows what other daemons may send to endpoints with rate limits.
type Permits interface {
	// Borrow reports whether a request may now be sent to one of some endpoints.
	Borrow(ctx context.Context, wanted []identifier.EndpointIncarnation) bool
}

// Origins knows at which versions streams began.
type Origins interface {
	// Begin is called before the first event of a stream that may be taken up goes to the client.
	Begin(ctx context.Context, o origintracker.Origin)
	// Find returns the version at which a stream began, by the client attempt that began it.
	Find(ctx context.Context, s identifier.Service, began identifier.Request) origintracker.Found
}

// Ends knows which incarnations of endpoints have ended.
type Ends interface {
	// EndedBefore reports whether an incarnation had ended at a time.
	EndedBefore(i identifier.EndpointIncarnation, at time.Time) bool
}

// Incarnations verifies which incarnation of an endpoint is at the other end of a connection.
type Incarnations interface {
	Verify(ctx context.Context, c verifier.Conn, i identifier.EndpointIncarnation) verifier.Result
}

// Quarantine holds back requests that bring endpoints down.
type Quarantine interface {
	// Admit decides whether a request may be sent. It is called right before each send.
	Admit(f identifier.Fingerprint, id identifier.Request, parts ...identifier.Fingerprint) quarantiner.Decision
	// Track registers an attempt until leave is called. withdraw is called if the
	// request is quarantined meanwhile.
	Track(f identifier.Fingerprint, withdraw func(), parts ...identifier.Fingerprint) (leave func())
	// RecordEvent is called when an endpoint begins to write an answer to a request with some parts.
	RecordEvent(parts ...identifier.Fingerprint)
	// Begin is called right before an attempt is sent, Conclude when it has delivered something or ended
	// without having run.
	Begin(a *crashreporter.Attempt)
	Conclude(a *crashreporter.Attempt)
	// ReportBreak is called for each attempt that an endpoint broke off after so many events.
	ReportBreak(ctx context.Context, a *crashreporter.Attempt, events int)
	// ReportGivenUp is called for each attempt that this daemon gave up although its endpoint may go on
	// running it, and before it has delivered anything.
	ReportGivenUp(a *crashreporter.Attempt, reason crashreporter.Reason)
	// Answered is called for each request that an endpoint ran to its end.
	Answered(f identifier.Fingerprint)
}

// Demand measures the load that requests put on services. counted is set for a request that has
// been counted before.
type Demand interface {
	// ReturnDelay returns how long before its client first sent a request that was refused and
	// counted before; 0 for any other request. It is called once for each request.
	ReturnDelay(s identifier.Service, route string, clientTimeout time.Duration) time.Duration
	CountPlaced(s identifier.Service, uncached identifier.Tokens, counted bool)
	CountEnded(s identifier.Service)
	CountRefused(s identifier.Service, counted bool)
	// CountFirstEvent counts the first event of a request, or its end if it got none in time.
	CountFirstEvent(s identifier.Service, late bool)
}

// Outcome is how a request ended, as it is logged and counted.
type Outcome string

// The outcomes.
const (
	// Answered means that the complete answer of an endpoint was sent to the client.
	Answered Outcome = "answered"
	// NotRun means that the request was refused and no endpoint ran it.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run, and there is no answer to send.
	Unknown Outcome = "unknown"
	// StreamCut means that a stream broke off after its first event.
	StreamCut Outcome = "cut"
	// ClientGone means that the client disconnected.
	ClientGone Outcome = "client-gone"
	// TimedOut means that the deadline passed.
	TimedOut Outcome = "timeout"
)

// Attempt describes one attempt, for the log and for explanations.
type Attempt struct {
	Endpoint identifier.Endpoint
	// Version is the version of the endpoint's software.
	Version identifier.Version
	// AfterEvent is the number of the event after which the attempt continues the stream; 0 for a
	// new one.
	AfterEvent int
	// Verified is how it was verified that the endpoint is the incarnation that is listed; empty if it was not.
	Verified verifier.Result
	// Events is the number of events that the client was sent of it.
	Events    int
	Predicted time.Duration
	Cached    identifier.Tokens
	// Exact: these figures are those of the endpoint's coordinator.
	Exact bool
	// At is the time from the arrival of the request to the start of the attempt, Took
	// the duration of the attempt.
	At   time.Duration
	Took time.Duration
	// Outcome is "ok" or the text of the error.
	Outcome string
	// Peer is the daemon that sent the request and passed the response on; empty if this one did.
	Peer identifier.Host
}

// Result is how a request ended and why.
type Result struct {
	Outcome Outcome
	// Status is the status of the answer, 0 if none was started.
	Status int
	// Refusal, if not nil, is still to be sent to the client.
	Refusal *Refusal
	// Abort means that the answer is incomplete and that its connection must be closed.
	Abort bool
	// TimeToFirst is the time from arrival to the first event, or to the answer.
	TimeToFirst time.Duration
	Events      int
	Attempts    []Attempt
	// RefusedConnections counts the attempts that ended in a refused connection. Only the
	// first few of them are in Attempts.
	RefusedConnections int
	Reason             string
	// Fingerprint is set if an endpoint broke the request off or the request is
	// quarantined.
	Fingerprint identifier.Fingerprint
	// Excluded counts the endpoints that could not be chosen, by reason.
	Excluded selector.Excluded
	// Origin says where a stream began that the request continues; nil for other requests.
	Origin *origintracker.Found
	// Schedule says how coordinators decided; nil if none were to be asked.
	Schedule *placer.Schedule
}

// Refusal is an error response that the daemon itself gives.
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
func New(c Config) *Relayer {
	if c.Drainer == nil {
		c.Drainer = drainer.New(drainer.Config{})
	}
	if c.Ends == nil {
		c.Ends = endtracker.New(endtracker.Config{})
	}
	return &Relayer{c}
}

// job is the state of one request.
type job struct {
	r       *Relayer
	q       *request.Request
	service *catalog.Service
	w       http.ResponseWriter
	flush   func() error
	res     Result
	// read is when the request had been read whole.
	read time.Time

	tried []identifier.Endpoint
	// versionChosen is set once the version for the request has been chosen.
	versionChosen bool
	// origin is the version that began the stream, if originKnown.
	origin      identifier.Version
	originKnown bool
	// first is the pick of the attempt that brought the stream's first event, firstSent when it began; nil if the
	// stream began elsewhere.
	first     *registry.Pick
	firstSent time.Time
	// sends counts the endpoints that may have received the request, unsent those
	// that did not receive it.
	sends  int
	unsent int
	// mayHaveRun is set if some attempt can have run, began once the request was
	// counted as begun.
	mayHaveRun bool
	began      bool
	// headSent is set once the answer's header was sent. events holds how far the stream has come.
	headSent bool
	events   *eventsequencer.Sequencer
	// retryGranted is set if the silence watch gave the last attempt up and has taken the
	// next one from the retry budget. soonest is set once that has happened: the request then
	// goes where it is answered soonest.
	retryGranted atomic.Bool
	soonest      bool
	// counted is set once the request has been counted as demand, held if it was quarantined.
	counted, held bool
	// returnDelay is how long before its arrival the client first sent the request.
	returnDelay time.Duration
	// failedAnswer is an endpoint's error answer, passed on if no later attempt does
	// better.
	failedAnswer *answer
	// releaseAnswer gives the memory of the last answer back.
	releaseAnswer func()
	// answerBegins is called when an answer begins, which then goes on until the end of the process.
	answerBegins func()
}

// answer is the complete answer of an endpoint.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// Relay serves one request. ctx must end when the client disconnects or the request's
// deadline passes.
func (r *Relayer) Relay(ctx context.Context, w http.ResponseWriter, q *request.Request, s *catalog.Service) Result {
	j := &job{r: r, q: q, read: time.Now(), service: s, w: w, flush: http.NewResponseController(w).Flush, events: eventsequencer.New(eventsequencer.Config{Position: q.LastEventNumber}), releaseAnswer: func() {}}
	// The client of a stream that broke off asks for the rest of what it has asked before.
	j.returnDelay = r.c.Demand.ReturnDelay(q.Service, q.Route.Name, q.ClientTimeout)
	j.counted = j.returnDelay > 0 || q.LastEventNumber > 0
	defer j.countEnd()
	defer func() { j.releaseAnswer() }()
	ctx, cancel := j.endWithDaemon(ctx)
	defer cancel()
	if !j.findOrigin(ctx) {
		return j.res
	}
	for {
		pick, stop := j.choose(ctx)
		if stop {
			return j.res
		}
		begun, events := time.Now(), j.res.Events
		a := &crashreporter.Attempt{Fingerprint: q.Fingerprint(), Request: q.ID, Parts: q.SharedParts(), Pick: pick}
		err := j.attempt(ctx, a)
		r.c.Placer.End(q, pick)
		j.recordAttempt(pick, begun, j.res.Events-events, err)
		j.reportEnd(ctx, a, j.res.Events-events, err)
		if err == nil {
			return j.res
		}
		if j.endsRequest(ctx, err) {
			return j.res
		}
	}
}

// countEnd counts a request that ends with a refusal, unless it brings endpoints down, and one that
// got no event although its objective has passed.
func (j *job) countEnd() {
	switch {
	case j.res.Outcome == NotRun && j.res.Refusal != nil && !j.held:
		j.r.c.Demand.CountRefused(j.q.Service, j.counted)
	case j.res.TimeToFirst == 0 && j.late():
		j.countFirstEvent()
	}
}

// countFirstEvent counts a first event on a route with an objective.
func (j *job) countFirstEvent() {
	if j.q.Route.FirstEventObjective > 0 && j.q.LastEventNumber == 0 {
		j.r.c.Demand.CountFirstEvent(j.q.Service, j.late())
	}
}

// late reports whether the objective has passed, counted from the client's first attempt.
func (j *job) late() bool {
	return j.returnDelay+time.Since(j.q.Received) > j.q.Route.FirstEventObjective
}

// choose selects the next endpoint. stop means that the result is final.
func (j *job) choose(ctx context.Context) (pick *registry.Pick, stop bool) {
	if ctx.Err() != nil || time.Until(j.q.Deadline()) < minTimeLeft {
		j.endTimedOut(ctx)
		return nil, true
	}
	if v := j.admit(); v.Held {
		// A request that brings down the endpoint it runs on would bring down another one
		// with each arrival, and with it the answers to all other requests there.
		j.res.Fingerprint = j.q.Fingerprint()
		j.endFailed(quarantineReason(&v), v.RetryAfter)
		return nil, true
	}
	if j.originDoubtful() {
		j.endFailed(reasonOriginUnknown, retryAfter)
		return nil, true
	}
	if j.startsTooLate() {
		j.endStopped(j.maxRunTime())
		return nil, true
	}
	ctx, cancel := j.waitWithDaemon(ctx)
	defer cancel()
	placed := j.place(ctx)
	if placed.Schedule != nil {
		j.res.Schedule = placed.Schedule
	}
	if pick = placed.Pick; pick == nil {
		j.endUnplaced(ctx, &placed)
		return nil, true
	}
	if v := j.forecast(pick); v.Refuse {
		j.r.c.Registry.Cancel(pick)
		j.r.c.Placer.End(j.q, pick)
		j.endFailed(fmt.Sprintf("%s: %s of queue, bearable %s", reasonTooLate, pick.PredictedWait().Round(time.Millisecond), v.MaxDelay.Round(time.Millisecond)), v.RetryAfter)
		return nil, true
	}
	chosen := &placed.Decision.Chosen
	j.res.Attempts = append(j.res.Attempts, Attempt{
		Endpoint: pick.Endpoint, Version: pick.Version, AfterEvent: j.events.Position(), Predicted: chosen.FirstToken, Cached: chosen.Cached, Exact: pick.Exact, At: time.Since(j.q.Received),
	})
	return pick, false
}

// endUnplaced ends a request for which no endpoint was chosen.
func (j *job) endUnplaced(ctx context.Context, placed *placer.Placement) {
	switch {
	case ctx.Err() != nil:
		j.endTimedOut(ctx)
	case placed.Refusal != nil:
		j.endFailed(placed.Refusal.Reason, placed.Refusal.RetryAfter)
	default:
		j.res.Excluded = placed.Decision.Excluded
		j.endFailed(j.noEndpointReason(&placed.Decision.Excluded))
	}
}

// reasonTooLate is the start of the reason when the forecast refuses a request.
const reasonTooLate = "the first event would come too late"

// forecast decides whether to refuse a request that was never sent, because its
// first event is predicted to come too late. The coordinator of an endpoint has decided that itself.
func (j *job) forecast(pick *registry.Pick) shedder.Decision {
	if !j.q.HasTokenCounts || len(j.tried) > 0 || pick.Exact {
		return shedder.Decision{}
	}
	return shedder.Decide(&shedder.Input{
		Route: j.q.Route, Rank: j.q.Rank(), QueueDelay: pick.PredictedWait(), Waited: time.Since(j.q.Received), Remaining: time.Until(j.q.Deadline()),
	})
}
