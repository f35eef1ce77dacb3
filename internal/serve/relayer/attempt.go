package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/sender"
	"brasschute/internal/peer/crashreporter"
	"brasschute/internal/route/pathtracker"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/answerreader"
	"brasschute/internal/serve/dispatcher"
	"brasschute/internal/serve/replyreader"
	"brasschute/internal/serve/request"
)

// recordAttempt completes the record of the last attempt, or drops it if it is one more
// refused connection.
func (j *job) recordAttempt(pick *registry.Pick, begun time.Time, events int, err error) {
	last := len(j.res.Attempts) - 1
	a := &j.res.Attempts[last]
	a.Took, a.Events = time.Since(begun), events
	a.Outcome = "ok"
	if err == nil {
		return
	}
	a.Outcome = err.Error()
	j.tried = append(j.tried, pick.Endpoint)
	if !errors.Is(err, sender.ErrRefusedConnection) {
		return
	}
	j.res.RefusedConnections++
	if j.res.RefusedConnections > maxRecordedRefusals {
		j.res.Attempts = j.res.Attempts[:last]
	}
}

// Failures of an attempt, besides those of package sender.
var (
	errRefused = errors.New("the endpoint refused, not run")
	errSilence = errors.New("the endpoint stays silent")
	errFailed  = errors.New("the endpoint ran the request and failed")
	// errWrongEvents means that the endpoint's events don't continue the stream, or are none.
	errWrongEvents = errors.New("the endpoint's events are wrong")
	// errClient means that writing to the client failed.
	errClient = errors.New("the client's connection failed")
)

// attempt sends the request to one endpoint and relays the answer.
func (j *job) attempt(ctx context.Context, a *crashreporter.Attempt) (err error) {
	pick := a.Pick
	result := registry.Neutral
	uncached := j.q.PromptTokens - j.res.Attempts[len(j.res.Attempts)-1].Cached
	j.r.c.Demand.CountPlaced(j.q.Service, uncached, j.counted)
	j.counted = true
	defer func() {
		j.r.c.Registry.Release(pick, result)
		j.r.c.Demand.CountEnded(j.q.Service)
	}()
	begun, events := time.Now(), j.res.Events
	requestCtx := ctx
	if run := j.newRun(pick); j.r.c.Versions.RunStarted(run) {
		defer func() { j.reportRun(requestCtx, run, pick, err, begun, j.res.Events-events) }()
	}
	ctx, cancel := context.WithCancelCause(ctx)
	// The health of the endpoint is judged by the cause before this.
	defer cancel(nil)
	untrack := j.track(cancel)
	stopWatch := j.watchSilence(cancel, pick, begun)
	responded := func() { stopWatch(); untrack() }
	defer responded()
	delivered := func() { responded(); j.r.c.Quarantine.Conclude(a) }
	x, err := j.r.c.Dispatcher.Send(ctx, j.newRequest(a))
	if err != nil {
		result = j.healthResult(ctx, requestCtx, err, pick, begun)
		err = withCause(ctx, err)
		j.recordUnanswered(requestCtx, pick, err)
		return err
	}
	defer x.Close()
	j.recordResponse(x)
	reply := j.r.c.Codec.DecodeReply(x.Status, x.Header)
	replyreader.Observe(j.r.c.ReplyObserver, j.q, pick, &reply, x.Status, x.Header, begun)
	if reply.NotRun {
		if reply.Misdirected {
			result = registry.Failed
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(x.Body, maxRefusalBytes))
		return fmt.Errorf("%w (status %d)", errRefused, x.Status)
	}
	j.mayHaveRun = true
	if j.q.Route.Kind != catalog.Streaming {
		responded()
	}
	err = fromPeer(x.Peer, j.relayReply(ctx, x.Response, &reply, pick, begun, delivered))
	result = j.healthResult(ctx, requestCtx, err, pick, begun)
	return withCause(ctx, err)
}

// recordUnanswered records that an attempt got no response. ctx is the request's context.
func (j *job) recordUnanswered(ctx context.Context, pick *registry.Pick, err error) {
	if isUnsent(err) {
		j.r.c.Registry.ReturnPermit(pick)
		if !errors.Is(err, sender.ErrRefusedConnection) {
			j.unsent++
		}
		return
	}
	j.sends++
	j.mayHaveRun = true
	// Most requests whose answer is lost did run, so they count as begun.
	// Without them the usage of a window with lost answers was off by 14 in 100.
	if ctx.Err() == nil {
		j.markBegun()
	}
}

// recordResponse records that an endpoint responded, and which daemon sent the request.
func (j *job) recordResponse(x *dispatcher.Response) {
	j.sends++
	j.res.Attempts[len(j.res.Attempts)-1].Peer = x.Peer
}

// fromPeer marks the error of a response that a peer passed on: the peer may have broken it off.
func fromPeer(peer identifier.Host, err error) error {
	if peer != "" && errors.Is(err, sender.ErrBadResponse) {
		return fmt.Errorf("%w: %w: %s", dispatcher.ErrThroughPeer, err, peer)
	}
	return err
}

// withCause wraps err with the reason for which this daemon cancelled the attempt, if it did.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); err != nil && (errors.Is(cause, errSilence) || errors.Is(cause, errQuarantined)) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// isUnsent reports whether err means that no byte of the request left this host.
func isUnsent(err error) bool {
	return errors.Is(err, sender.ErrUnsent) || errors.Is(err, sender.ErrCanceled)
}

// healthResult returns what the end of an attempt says about the endpoint's health.
// If the deadline passed or the client disconnected, a long silence counts as a
// failure: otherwise an endpoint that stopped responding would be chosen again and
// again. A wait that the endpoint's queue explains does not: otherwise endpoints would be
// ejected for being busy. ctx is the attempt's context, requestCtx the request's.
func (j *job) healthResult(ctx, requestCtx context.Context, err error, pick *registry.Pick, begun time.Time) registry.Result {
	switch {
	case err == nil:
		return registry.Succeeded
	case errors.Is(context.Cause(ctx), errQuarantined), errors.Is(err, answerreader.ErrNoMemory):
		return registry.Neutral
	case errors.Is(err, sender.ErrUnsent) && requestCtx.Err() == nil:
		return registry.Unreachable
	case errors.Is(err, errClient), errors.Is(err, errFailed), errors.Is(err, sender.ErrCanceled), errors.Is(err, dispatcher.ErrThroughPeer):
		return registry.Neutral
	case requestCtx.Err() != nil && (j.headSent || time.Since(begun) < j.silenceTimeout() || j.explained(pick, begun)):
		return registry.Neutral
	case j.silentLately(ctx, pick, begun):
		return registry.Unresponsive
	}
	return registry.Failed
}

// newRequest returns the request to the endpoint of an attempt.
func (j *job) newRequest(a *crashreporter.Attempt) *dispatcher.Request {
	pick := a.Pick
	return &dispatcher.Request{
		To: pathtracker.Destination{Service: j.q.Service, Endpoint: pick.Endpoint, StartTime: pick.StartTime, Address: pick.Address},
		ID: j.q.ID, Fingerprint: a.Fingerprint, Parts: a.Parts, Message: j.newMessage(a),
	}
}

// newMessage builds the message that is sent to an endpoint.
func (j *job) newMessage(a *crashreporter.Attempt) *sender.Request {
	codec, pick := j.r.c.Codec, a.Pick
	return &sender.Request{
		Address: pick.Address, Method: j.q.Method, Target: j.q.Target, Host: j.q.Host, Body: j.q.Body,
		Header: codec.EncodeRequest(j.q, pick.Endpoint, time.Until(j.q.Deadline()), j.events.Position()),
		// Connecting takes time. Meanwhile the endpoint may have begun to leave, or
		// the request may have been quarantined; then it must not be sent.
		Ready: func() bool {
			ready := j.r.c.Registry.Usable(pick) && j.mayGoOnAt(pick.EndpointIncarnation()) && !j.admit().Held && !j.r.c.Versions.Blocked(j.q.Service, pick.Version) && j.r.c.Registry.AcquirePermit(pick)
			if ready {
				j.r.c.Quarantine.Begin(a)
			}
			return ready
		},
		Matches: replyreader.Matches(codec, j.q.ID), KeepAlive: replyreader.KeepAlive(codec), Verify: j.verifyOf(pick),
	}
}

// relayReply relays an endpoint's reply to the client. delivered is called when the
// first whole event of a stream has arrived.
func (j *job) relayReply(ctx context.Context, x *sender.Response, reply *request.Reply, pick *registry.Pick, begun time.Time, delivered func()) error {
	success := reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices
	if success && (!reply.Signed || reply.Encoded || reply.ID != j.q.ID) {
		return fmt.Errorf("%w: not signed, encoded or of another request", sender.ErrBadResponse)
	}
	if success && j.q.Route.Kind == catalog.Streaming {
		return j.relayStream(ctx, x, pick, begun, delivered)
	}
	body, err := j.readAnswer(ctx, x)
	if err != nil {
		return err
	}
	if reply.Signed {
		j.markBegun()
	}
	a := &answer{status: reply.Status, header: x.Header, body: body}
	if !success {
		j.failedAnswer = a
		return fmt.Errorf("%w: status %d", errFailed, reply.Status)
	}
	j.r.c.Placer.ReportFirstEvent(j.q, pick)
	j.r.c.Placer.ObserveFirstEvent(j.q, pick, time.Since(begun))
	return j.sendAnswer(a)
}

// readAnswer reads a whole body, which is held until the request ends. A large one of a failed attempt is dropped
// first: requests that wait for memory while they hold some could wait for each other.
func (j *job) readAnswer(ctx context.Context, x *sender.Response) ([]byte, error) {
	if j.failedAnswer != nil && len(j.failedAnswer.body) > answerreader.SmallBytes {
		j.failedAnswer = nil
		j.releaseAnswer()
	}
	body, release, err := j.r.c.Answers.Read(ctx, x.Body, x.Length)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", sender.ErrBadResponse, err)
	}
	j.releaseAnswer = release
	return body, nil
}

// markBegun reports, once, that the request began to run.
func (j *job) markBegun() {
	if j.began {
		return
	}
	j.began = true
	j.r.c.OnBegin(j.q)
}

// boundWrites ends writes to a client that does not read its answer, which would hold its connection and the memory of its
// answer for ever. The server's connections lift the bound between two requests.
func (j *job) boundWrites() {
	_ = http.NewResponseController(j.w).SetWriteDeadline(time.Now().Add(max(time.Until(j.q.Deadline()), writeTimeout)))
}

// sendAnswer sends a complete answer to the client.
func (j *job) sendAnswer(a *answer) error {
	h := j.w.Header()
	for name, values := range j.r.c.Codec.ReplyHeader(a.header) {
		h[name] = values
	}
	h.Set("Content-Length", fmt.Sprint(len(a.body)))
	j.res.Status, j.res.Outcome, j.res.TimeToFirst = a.status, Answered, time.Since(j.q.Received)
	j.countFirstEvent()
	j.boundWrites()
	j.w.WriteHeader(a.status)
	if _, err := j.w.Write(a.body); err != nil {
		j.res.Outcome = ClientGone
	}
	return nil
}
