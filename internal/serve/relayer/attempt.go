package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/retryparser"
	"brasschute/internal/engine/sender"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/request"
)

func (j *job) note(pick *registry.Pick, begun time.Time, err error) {
	a := &j.res.Attempts[len(j.res.Attempts)-1]
	a.Took = time.Since(begun)
	a.Outcome = "ok"
	if err != nil {
		a.Outcome = err.Error()
		j.tried = append(j.tried, pick.Endpoint)
	}
}

// Failures of an attempt, besides those of package sender.
var (
	errRefused = errors.New("the endpoint refused, not run")
	errSilent  = errors.New("the endpoint stays silent")
	errFailed  = errors.New("the endpoint ran the request and failed")
	errGap     = errors.New("an event of the stream is missing")
	// errClient: the client's connection failed while it was written to.
	errClient = errors.New("the client's connection failed")
)

// attempt sends the request to one endpoint and relays the answer.
func (j *job) attempt(ctx context.Context, pick *registry.Pick) (err error) {
	result := registry.Neutral
	uncached := j.q.PromptTokens - j.res.Attempts[len(j.res.Attempts)-1].Cached
	j.r.c.Demand.CountPlaced(j.q.Service, uncached)
	defer func() {
		j.r.c.Registry.Release(pick, result)
		j.r.c.Demand.CountEnded(j.q.Service)
	}()
	begun, events := time.Now(), j.res.Events
	outer := ctx
	if run := j.run(pick); j.r.c.Versions.RunStarted(run) {
		defer func() { j.ran(outer, run, pick, err, begun, j.res.Events-events) }()
	}
	ctx, waited := j.enter(ctx)
	ctx, spoken := j.listen(ctx)
	heard := func() { spoken(); waited() }
	defer heard()
	x, err := j.r.c.Sender.Send(ctx, j.message(pick))
	if err != nil {
		result = j.judge(ctx, outer, err, begun)
		err = ownCause(ctx, err)
		if unsent(err) {
			j.r.c.Registry.ReturnPermit(pick)
			j.unsent++
		} else {
			j.sends++
			j.mayHaveRun = true
			// Most requests whose answer is lost did run, and count as begun:
			// left out, a window in which answers were lost was off by 14 in 100.
			if outer.Err() == nil {
				j.begin()
			}
		}
		return err
	}
	defer x.Close()
	j.sends++
	reply := j.r.c.Codec.DecodeReply(x.Status, x.Header)
	if !reply.Misdirected {
		j.r.c.ReplyObserver.ObserveReply(j.q, pick, &reply, begun)
		if d := retryparser.Parse(x.Status, x.Header); d > 0 {
			j.r.c.ReplyObserver.ObserveBackoff(j.q, pick, d)
		}
	}
	if reply.NotRun {
		if reply.Misdirected {
			result = registry.Failed
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(x.Body, maxAnswer))
		return fmt.Errorf("%w (status %d)", errRefused, x.Status)
	}
	j.mayHaveRun = true
	if j.q.Route.Kind != catalog.Streaming {
		heard()
	}
	err = j.take(ctx, x, &reply, pick, begun, heard)
	result = j.judge(ctx, outer, err, begun)
	return ownCause(ctx, err)
}

// ownCause adds why this side ended an attempt, if it did.
func ownCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); err != nil && (errors.Is(cause, errSilent) || errors.Is(cause, errHeld)) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// unsent tells whether no byte of a request left this host.
func unsent(err error) bool {
	return errors.Is(err, sender.ErrUnsent) || errors.Is(err, sender.ErrCanceled)
}

// listen ends an attempt whose endpoint stays silent for too long, where another
// one may get the request. An endpoint that has gone dark would otherwise keep
// it until the client gives up. heard stops the watch.
func (j *job) listen(ctx context.Context) (watched context.Context, heard func()) {
	if !j.q.Route.Retryable() || j.sends+1 >= j.q.Route.MaxAttempts || j.res.Events > 0 {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(j.longSilence(), func() { cancel(errSilent) })
	return ctx, func() { timer.Stop() }
}

// longSilence is the time without a byte after which an endpoint is not waited
// for any more where there is a choice.
func (j *job) longSilence() time.Duration {
	return max(silentObjectives*j.q.Route.FirstEventObjective, leastSilence)
}

// judge says what an attempt's end tells about the endpoint's health. When the
// time was up, or the client left, a long silence counts against it: else one
// that has gone dark would be chosen again and again. ctx is the attempt's, outer the
// request's.
func (j *job) judge(ctx, outer context.Context, err error, begun time.Time) registry.Result {
	switch {
	case err == nil:
		return registry.Succeeded
	case errors.Is(context.Cause(ctx), errHeld):
		return registry.Neutral
	case errors.Is(err, sender.ErrUnsent) && outer.Err() == nil:
		return registry.Unreachable
	case errors.Is(err, errClient), errors.Is(err, errFailed), errors.Is(err, sender.ErrCanceled):
		return registry.Neutral
	case outer.Err() != nil && (j.head || time.Since(begun) < j.longSilence()):
		return registry.Neutral
	}
	return registry.Failed
}

func (j *job) message(pick *registry.Pick) *sender.Message {
	codec := j.r.c.Codec
	return &sender.Message{
		Address: pick.Address, Method: j.q.Method, Target: j.q.Target, Host: j.q.Host, Body: j.q.Body,
		Header: codec.EncodeRequest(j.q, pick.Endpoint, time.Until(j.q.Deadline()), j.last),
		// Connecting takes time; an endpoint that began to leave meanwhile must
		// not get the request any more, nor any endpoint one that came to be held.
		Ready: func() bool {
			return j.r.c.Registry.Usable(pick) && !j.admit().Held && !j.r.c.Versions.Blocked(j.q.Service, pick.Version) && j.r.c.Registry.AcquirePermit(pick)
		},
		Matches: func(h http.Header) bool {
			id := codec.DecodeReply(0, h).ID
			return id == "" || id == j.q.ID
		},
		KeepAlive: func(h http.Header) time.Duration { return codec.DecodeReply(0, h).KeepAlive },
	}
}

// take relays what an endpoint answered.
func (j *job) take(ctx context.Context, x *sender.Exchange, reply *request.Reply, pick *registry.Pick, begun time.Time, heard func()) error {
	success := reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices
	if success && (!reply.Signed || reply.Encoded || reply.ID != j.q.ID) {
		return fmt.Errorf("%w: not signed, encoded or of another request", sender.ErrBadResponse)
	}
	if success && j.q.Route.Kind == catalog.Streaming {
		return j.stream(ctx, x, pick, begun, heard)
	}
	body, err := io.ReadAll(io.LimitReader(x.Body, maxAnswer+1))
	if err != nil || len(body) > maxAnswer {
		return fmt.Errorf("%w: body cut after %d bytes", sender.ErrBadResponse, len(body))
	}
	if reply.Signed {
		j.begin()
	}
	a := &answer{status: reply.Status, header: x.Header, body: body}
	if !success {
		j.kept = a
		return fmt.Errorf("%w: status %d", errFailed, reply.Status)
	}
	j.r.c.Placer.ObserveFirstEvent(j.q, pick, time.Since(begun))
	return j.answer(a)
}

func (j *job) begin() {
	if j.began {
		return
	}
	j.began = true
	j.r.c.OnBegin(j.q)
}

// answer sends a whole answer.
func (j *job) answer(a *answer) error {
	h := j.w.Header()
	for name, values := range j.r.c.Codec.ReplyHeader(a.header) {
		h[name] = values
	}
	h.Set("Content-Length", fmt.Sprint(len(a.body)))
	j.res.Status, j.res.Outcome, j.res.TimeToFirst = a.status, Answered, time.Since(j.q.Received)
	j.w.WriteHeader(a.status)
	if _, err := j.w.Write(a.body); err != nil {
		j.res.Outcome = ClientGone
	}
	return nil
}
