// Package forwarder carries a plain request to an endpoint and its answer back.
//
// # Whole answers only
//
// An answer is read to its end before its first byte goes to the caller, so
// that a truncated one can be told from a whole one while there is still a
// choice. An answer whose end cannot be proved, having neither a length nor
// chunks, counts as truncated.
//
// # What may be repeated
//
// An attempt that was never sent, or that the endpoint explicitly refused,
// is made again elsewhere. One that may have been sent is made again only if
// the request is idempotent; else the caller is told that the outcome is
// unknown.
//
// # Usage
//
//	a, err := f.Forward(ctx, c, record)
package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/caller"
	"brasschute/internal/route/budgeter"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/call"
	"brasschute/internal/serve/recorder"
	"brasschute/internal/serve/refusal"
	"brasschute/internal/serve/streamer"
)

const (
	maxAnswer   = 8 << 20
	maxAttempts = 4
	retryAfter  = 2 * time.Second
)

var (
	errLeaving   = errors.New("the endpoint began to leave")
	errTruncated = errors.New("the answer was truncated")
	errTooLarge  = fmt.Errorf("the answer is larger than %d bytes", maxAnswer)
)

// hopByHop are the headers that belong to one connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// Config names the forwarder's collaborators.
type Config struct {
	Registry   *registry.Registry
	Caller     *caller.Caller
	Budgeter   *budgeter.Budgeter
	Zone       identifier.AvailabilityZone
	Quarantine streamer.Quarantine
}

// Answer is an endpoint's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Forwarder forwards plain requests. It is safe for concurrent use.
type Forwarder struct {
	c Config
}

// New returns a forwarder.
func New(c Config) *Forwarder { return &Forwarder{c} }

// Forward returns the whole answer, the context's error when the caller is
// gone, or a *refusal.Problem.
func (f *Forwarder) Forward(ctx context.Context, c *call.Call, rec *recorder.Record) (*Answer, error) {
	var tried []identifier.Endpoint
	maybeRan := false
	for n := 1; ; n++ {
		if held := streamer.QuarantineRefusal(f.c.Quarantine, c); held != nil {
			return nil, held.WithOutcome(outcome(maybeRan))
		}
		pick, problem := f.choose(c, rec, tried)
		if problem != nil {
			return nil, problem.WithOutcome(outcome(maybeRan))
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
		sent := state.State() != caller.Unsent && !errors.Is(err, caller.ErrNotRun)
		maybeRan = maybeRan || sent
		if sent && ctx.Err() == nil {
			f.c.Quarantine.ReportBreak(ctx, streamer.NewBreak(c, pick, 0))
		}
		tried = append(tried, pick.Endpoint)
		if problem := f.final(ctx, c, err, n, maybeRan); problem != nil {
			return nil, problem
		}
	}
}

func outcome(maybeRan bool) refusal.Outcome {
	if maybeRan {
		return refusal.Unknown
	}
	return refusal.NotRun
}

// final decides whether a failed attempt ends the request; nil means to try
// elsewhere.
func (f *Forwarder) final(ctx context.Context, c *call.Call, err error, n int, maybeRan bool) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return ctx.Err()
	}
	if ctx.Err() != nil {
		return refusal.New(refusal.DeadlinePassed, "the deadline passed").WithOutcome(outcome(maybeRan)).WithRetryAfter(retryAfter)
	}
	if maybeRan && c.NonIdempotent || n >= maxAttempts || !f.c.Budgeter.Spend() {
		return refusal.New(refusal.EndpointFailed, err.Error()).WithOutcome(outcome(maybeRan)).WithRetryAfter(retryAfter)
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
	rec.Attempts = append(rec.Attempts, note)
	if pick == nil {
		return nil, refusal.New(refusal.NoEndpoint, "no endpoint can serve: "+note.Excluded).WithRetryAfter(retryAfter)
	}
	return pick, nil
}

func (f *Forwarder) attempt(ctx context.Context, c *call.Call, pick *registry.Pick, state *caller.Attempt) (*Answer, error) {
	result := registry.Failed
	defer func() { f.c.Registry.Release(pick, result) }()
	r, err := request(ctx, c, pick.Address)
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
		if ctx.Err() != nil {
			result = registry.Neutral
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
	body, err := whole(resp)
	if err != nil {
		return nil, err
	}
	result = registry.Succeeded
	return &Answer{Status: resp.StatusCode, Header: pass(resp.Header), Body: body}, nil
}

func request(ctx context.Context, c *call.Call, address string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+address+c.Path, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("forward: %w", err)
	}
	r.Header = pass(c.Header)
	r.Header.Del("Authorization")
	r.Header.Del("Request-Timeout")
	r.Header.Set("Request-Id", string(c.Request))
	return r, nil
}

// pass copies the headers that belong to the message rather than to one
// connection.
func pass(in http.Header) http.Header {
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

// whole reads an answer that proves its own end.
func whole(resp *http.Response) ([]byte, error) {
	bodyless := resp.Request.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !bodyless {
		return nil, errTruncated
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errTruncated, err)
	}
	if len(body) > maxAnswer {
		return nil, errTooLarge
	}
	return body, nil
}
