// Package forwarder sends a plain request to an endpoint and returns its answer.
//
// An answer is read to its end before its first byte goes to the caller, so that a
// truncated answer is detected while a retry is still possible. An answer with
// neither a length nor chunked encoding cannot prove its end and counts as
// truncated. Answers share a part of the host's memory, see package answerreader.
//
// An attempt that was never sent, or that the endpoint explicitly refused, is retried
// at another endpoint. One that may have been sent is retried only if the request is
// idempotent. Otherwise the refusal states that the outcome is unknown.
//
// # Usage
//
//	a, err := f.Forward(ctx, c, record)
//	if err != nil { ... }
//	defer a.Release()
package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/caller"
	"brasschute/internal/route/budgeter"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/answerreader"
	"brasschute/internal/serve/call"
	"brasschute/internal/serve/recorder"
	"brasschute/internal/serve/refusal"
	"brasschute/internal/serve/streamer"
)

const (
	// MaxAnswerBytes bounds an answer.
	MaxAnswerBytes = 8 << 20

	maxAttempts = 4
	retryAfter  = 2 * time.Second
)

var (
	errLeaving   = errors.New("the endpoint began to leave")
	errTruncated = errors.New("the answer was truncated")
	errTooLarge  = fmt.Errorf("the answer is larger than %d bytes", MaxAnswerBytes)
)

// hopByHop lists the headers that belong to a single connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// Config holds the dependencies of a Forwarder.
type Config struct {
	Registry   *registry.Registry
	Caller     *caller.Caller
	Budgeter   *budgeter.Budgeter
	Zone       identifier.AvailabilityZone
	Quarantine streamer.Quarantine
	// Answers reads answers and bounds the memory that they take; nil for one large answer at a time.
	Answers *answerreader.Reader
}

// Answer is the complete answer of an endpoint. Header has no hop-by-hop headers.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Release gives the memory of the body back, once nothing refers to it.
	Release func()
}

// Forwarder forwards plain requests. It is safe for concurrent use.
type Forwarder struct {
	c Config
}

// New returns a forwarder.
func New(c Config) *Forwarder {
	if c.Answers == nil {
		c.Answers = answerreader.New(answerreader.Config{MaxBytes: MaxAnswerBytes})
	}
	return &Forwarder{c}
}

// Forward returns the complete answer, the context's error if the caller disconnected,
// or a *refusal.Problem. It adds each attempt to rec.
func (f *Forwarder) Forward(ctx context.Context, c *call.Call, rec *recorder.Record) (*Answer, error) {
	var tried []identifier.Endpoint
	maybeRan := false
	attempts := 0
	for {
		if held := streamer.QuarantineRefusal(f.c.Quarantine, c); held != nil {
			return nil, held.WithOutcome(outcomeOf(maybeRan))
		}
		pick, problem := f.choose(c, rec, tried)
		if problem != nil {
			return nil, problem.WithOutcome(outcomeOf(maybeRan))
		}
		var state caller.Attempt
		answer, err := f.attempt(ctx, c, pick, &state)
		note := &rec.Attempts[len(rec.Attempts)-1]
		note.State = state.State().String()
		note.Outcome = "whole"
		if err == nil {
			f.c.Quarantine.Answered(c.Fingerprint())
			return answer, nil
		}
		note.Outcome = err.Error()
		if !errors.Is(err, caller.ErrRefusedConnection) {
			attempts++
		}
		sent := state.State() != caller.Unsent && !errors.Is(err, caller.ErrNotRun)
		maybeRan = maybeRan || sent
		if sent {
			streamer.ReportEnd(ctx, f.c.Quarantine, c, pick, 0)
		}
		tried = append(tried, pick.Endpoint)
		if problem := f.finalError(ctx, c, err, attempts, maybeRan); problem != nil {
			return nil, problem
		}
	}
}

func outcomeOf(maybeRan bool) refusal.Outcome {
	if maybeRan {
		return refusal.Unknown
	}
	return refusal.NotRun
}

// finalError returns the error with which a failed attempt ends the request, or nil to
// try another endpoint. A refused connection does not count as an attempt: its endpoint is
// ejected, so that the endpoints bound how many there are.
func (f *Forwarder) finalError(ctx context.Context, c *call.Call, err error, attempts int, maybeRan bool) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return ctx.Err()
	}
	if ctx.Err() != nil {
		return refusal.New(refusal.DeadlinePassed, "the deadline passed").WithOutcome(outcomeOf(maybeRan)).WithRetryAfter(retryAfter)
	}
	if errors.Is(err, caller.ErrRefusedConnection) {
		return nil
	}
	if maybeRan && c.NonIdempotent || attempts >= maxAttempts || !f.c.Budgeter.Spend() {
		return refusal.New(refusal.EndpointFailed, err.Error()).WithOutcome(outcomeOf(maybeRan)).WithRetryAfter(retryAfter)
	}
	return nil
}

func (f *Forwarder) choose(c *call.Call, rec *recorder.Record, tried []identifier.Endpoint) (*registry.Pick, *refusal.Problem) {
	pick, d := f.c.Registry.Choose(&registry.Query{Pool: c.Pool.Name, Select: streamer.NewQuery(c, f.c.Zone, tried)})
	var note recorder.Attempt
	streamer.RecordDecision(&note, &d)
	if pick != nil {
		note.Endpoint = pick.Endpoint
	}
	rec.AddAttempt(&note)
	if pick == nil {
		return nil, refusal.New(refusal.NoEndpoint, "no endpoint can serve: "+note.Excluded).WithRetryAfter(retryAfter)
	}
	return pick, nil
}

func (f *Forwarder) attempt(ctx context.Context, c *call.Call, pick *registry.Pick, state *caller.Attempt) (*Answer, error) {
	result := registry.Failed
	defer func() { f.c.Registry.Release(pick, result) }()
	r, err := newRequest(ctx, c, pick.Address)
	if err != nil {
		result = registry.Neutral
		return nil, err
	}
	if !f.c.Registry.Usable(pick) {
		result = registry.Neutral
		return nil, errLeaving
	}
	resp, err := f.c.Caller.Do(r, c.Body, c.NonIdempotent, state)
	if err != nil {
		switch {
		case ctx.Err() != nil:
			result = registry.Neutral
		case errors.Is(err, caller.ErrRefusedConnection):
			result = registry.Unreachable
		}
		return nil, err
	}
	defer resp.Body.Close()
	if d := state.Backoff(); d > 0 {
		f.c.Registry.BackOff(pick, d)
	}
	if resp.Header.Get("Not-Run") == "true" {
		return nil, fmt.Errorf("%w (status %d)", caller.ErrNotRun, resp.StatusCode)
	}
	body, release, err := f.readWhole(ctx, resp)
	switch {
	case errors.Is(err, answerreader.ErrNoMemory):
		result = registry.Neutral
		return nil, err
	case err != nil:
		return nil, err
	}
	result = registry.Succeeded
	return &Answer{Status: resp.StatusCode, Header: endToEndHeaders(resp.Header), Body: body, Release: release}, nil
}

func newRequest(ctx context.Context, c *call.Call, address string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+address+c.Path, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("forward: %w", err)
	}
	r.Header = endToEndHeaders(c.Header)
	r.Header.Del("Authorization")
	r.Header.Del("Request-Timeout")
	r.Header.Set("Request-Id", string(c.Request))
	return r, nil
}

// endToEndHeaders copies the headers that belong to the message rather than to a
// single connection.
func endToEndHeaders(in http.Header) http.Header {
	out := in.Clone()
	for _, listed := range in.Values("Connection") {
		for _, name := range bytes.Split([]byte(listed), []byte(",")) {
			out.Del(string(bytes.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	out.Del("Content-Length")
	return out
}

// readWhole reads an answer and fails unless the answer proves its own end.
func (f *Forwarder) readWhole(ctx context.Context, resp *http.Response) (body []byte, release func(), err error) {
	bodyless := resp.Request.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !bodyless {
		return nil, nil, errTruncated
	}
	length := resp.ContentLength
	if bodyless {
		length = 0
	}
	body, release, err = f.c.Answers.Read(ctx, resp.Body, length)
	switch {
	case errors.Is(err, answerreader.ErrTooLong):
		return nil, nil, errTooLarge
	case errors.Is(err, answerreader.ErrNoMemory):
		return nil, nil, err
	case err != nil:
		return nil, nil, fmt.Errorf("%w: %w", errTruncated, err)
	}
	return body, release, nil
}
