// Package streamer carries a model request through to its whole answer.
//
// # Surviving the engine
//
// A stream runs at one engine at a time. When that engine fails, freezes,
// ends early or is about to be reclaimed, the streamer goes on at another
// from the tokens already relayed, so that the caller sees each token once.
// Before an announced reclaim there is time to import the KV cache: the move
// is made [moveMargin] ahead of the deadline, and a stream that ends sooner
// just ends.
//
// # What may be repeated
//
// A request is started anew only if no earlier attempt can have run, or if it
// is idempotent. Going on with a stream that has begun is no second run: it
// continues one answer from a known token. When a non-idempotent request may
// have been sent and not one frame came back, only the engine that may hold
// the stream is asked to go on with it; if it does not, the outcome is
// unknown and the caller is told so.
//
// # Surviving the entry host
//
// [Streamer.HandOver] interrupts all streams; their Run returns ErrHandOver
// and leaves the job ready to be carried on by another daemon.
//
// # Usage
//
//	j := &streamer.Job{Call: c, Record: rec}
//	err := s.Run(ctx, j, sink)
package streamer

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/engine/caller"
	"brasschute/internal/engine/frame"
	"brasschute/internal/route/budgeter"
	"brasschute/internal/route/registry"
	"brasschute/internal/route/selector"
	"brasschute/internal/serve/recorder"
	"brasschute/internal/serve/refusal"
)

const (
	// moveMargin is how long before its host's deadline a stream moves.
	moveMargin = 1500 * time.Millisecond
	// cancelTimeout bounds the call that frees an engine.
	cancelTimeout = 2 * time.Second
	// retryAfter is told to callers when no endpoint can serve.
	retryAfter  = 2 * time.Second
	maxAttempts = 8
	restTime    = 50 * time.Millisecond
	longRest    = time.Second
	// maxNotes bounds the attempts that an explanation keeps.
	maxNotes = 32
	// seedHash mixes the request's name into a routing seed (FNV-1a).
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Reasons for which an attempt is interrupted from this side.
var (
	// ErrHandOver: the daemon is leaving; another must carry on.
	ErrHandOver = errors.New("stream handed over")
	errMoving   = errors.New("the engine's host is leaving")
	errStalled  = errors.New("no token in time")
	errRunning  = errors.New("the engine did not confirm that it stopped")
	errNone     = errors.New("no engine can go on with the stream now")
)

// Sink receives the frames of an answer. An error means that the caller is
// gone.
type Sink interface {
	WriteFrame(f *frame.Frame) error
}

// Config names the streamer's collaborators.
type Config struct {
	Registry *registry.Registry
	Caller   *caller.Caller
	Budgeter *budgeter.Budgeter
	// Zone is the daemon's.
	Zone identifier.AvailabilityZone
	// Stall is the longest pause between two tokens, FirstStall the longest
	// before the first; 5 s and 20 s if zero.
	Stall      time.Duration
	FirstStall time.Duration
	Quarantine Quarantine
}

// Streamer runs jobs. It is safe for concurrent use.
type Streamer struct {
	c Config

	mu     sync.Mutex
	active map[*active]bool
	over   bool
}

// New returns a streamer without jobs.
func New(c Config) *Streamer {
	if c.Stall == 0 {
		c.Stall = 5 * time.Second
	}
	if c.FirstStall == 0 {
		c.FirstStall = 20 * time.Second
	}
	return &Streamer{c: c, active: make(map[*active]bool)}
}

// Run carries a job to its end. It returns nil for a whole answer,
// ErrHandOver, the context's error when the caller is gone, or a
// *refusal.Problem.
func (s *Streamer) Run(ctx context.Context, j *Job, sink Sink) error {
	for {
		err := s.attempt(ctx, j, sink)
		if err == nil || errors.Is(err, ErrHandOver) {
			return err
		}
		if errors.Is(err, errNone) && s.rest(ctx, j) {
			continue
		}
		if ctx.Err() != nil {
			s.free(j)
			return s.ended(ctx, j)
		}
		if errors.Is(err, errNone) {
			return ErrHandOver
		}
		problem := s.final(j, err)
		if problem != nil && (!j.mayWait(problem) || !s.rest(ctx, j)) {
			return problem
		}
	}
}

// rest waits before a job that has begun looks for an engine again; false means
// that its time is over, or that the daemon leaves. What was accepted is not
// given up for a pool that is full, ejected or being replaced at this moment.
func (s *Streamer) rest(ctx context.Context, j *Job) bool {
	j.tried = nil
	pause := min(restTime*time.Duration(j.attempts), longRest)
	return waiter.For(ctx, pause) && !s.handsOver()
}

// ended tells a passed deadline from a caller that is gone.
func (s *Streamer) ended(ctx context.Context, j *Job) error {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ctx.Err()
	}
	return refusal.New(refusal.DeadlinePassed, "the deadline passed").WithOutcome(j.outcome()).WithRetryAfter(retryAfter)
}

// final decides whether a failed attempt ends the job; nil means to go on.
func (s *Streamer) final(j *Job, err error) *refusal.Problem {
	var problem *refusal.Problem
	if errors.As(err, &problem) {
		return problem
	}
	if !j.known() && !j.adopt {
		return refusal.New(refusal.StreamLost, "the engine that held the stream is gone: "+err.Error()).WithOutcome(refusal.Unknown)
	}
	if j.attempts >= maxAttempts || !j.moving && !s.c.Budgeter.Spend() {
		return refusal.New(refusal.EndpointFailed, err.Error()).WithOutcome(j.outcome()).WithRetryAfter(retryAfter)
	}
	return nil
}

// attempt runs the job at one engine.
func (s *Streamer) attempt(ctx context.Context, j *Job, sink Sink) error {
	if held := QuarantineRefusal(s.c.Quarantine, j.Call); held != nil {
		s.free(j)
		return held.WithOutcome(j.outcome())
	}
	pick, note, err := s.choose(j)
	if err != nil {
		return err
	}
	offset := j.Offset
	result := registry.Neutral
	begun := time.Now()
	defer func() {
		j.Record.Cost += pick.PricePerSecond * time.Since(begun).Seconds()
		s.c.Registry.Release(pick, result)
	}()
	j.attempts++
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := s.enter(pick, cancel)
	defer s.exit(a)

	state := caller.Attempt{Traceparent: j.Call.Traceparent}
	stream, err := s.open(ctx, j, pick, &state)
	note.State = state.State().String()
	if err != nil {
		result = s.notOpened(ctx, j, pick, &state, err)
		note.Outcome = err.Error()
		if state.State() == caller.MaybeSent && ctx.Err() == nil {
			s.c.Quarantine.ReportBreak(ctx, NewBreak(j.Call, pick, 0))
		}
		return cause(ctx, err)
	}
	defer stream.Close()
	err = s.relay(ctx, cancel, j, stream, &timed{Sink: sink, s: s, pick: pick, begun: begun})
	if err == nil {
		note.Outcome = "whole"
		result = registry.Succeeded
		s.c.Quarantine.Answered(j.Call.Fingerprint())
		return nil
	}
	err = cause(ctx, err)
	note.Outcome = err.Error()
	j.moving = errors.Is(err, errMoving)
	if j.moving || ctx.Err() != nil && !errors.Is(err, errStalled) {
		return err
	}
	result = registry.Failed
	if ctx.Err() == nil {
		s.c.Quarantine.ReportBreak(ctx, NewBreak(j.Call, pick, j.Offset-offset))
	}
	s.broken(j, pick, err)
	return err
}

// broken decides whether to go back to an engine whose stream broke. A cut
// connection costs nothing then, as the engine still holds the stream; a
// second break, or an engine that is silent or confused, means to leave it.
func (s *Streamer) broken(j *Job, pick *registry.Pick, err error) {
	if errors.Is(err, caller.ErrTruncated) && !j.returned {
		j.returned = true
		return
	}
	j.tried = append(j.tried, pick.Endpoint)
}

// cause prefers the reason for which this side ended the attempt.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// choose finds the engine for the next attempt.
func (s *Streamer) choose(j *Job) (*registry.Pick, *recorder.Attempt, error) {
	note := recorder.Attempt{Resumed: j.Offset}
	pick := s.back(j, &note)
	j.returning = pick != nil
	if pick == nil && j.adopt {
		return nil, nil, refusal.New(refusal.EndpointFailed, "the request may have been sent, and its engine no longer answers").
			WithOutcome(refusal.Unknown).WithRetryAfter(retryAfter)
	}
	if pick == nil {
		var d selector.Decision
		pick, d = s.c.Registry.Choose(s.query(j))
		if pick == nil && d.Excluded.Tried > 0 {
			// Rather one that failed before than none at all.
			j.tried = nil
			pick, d = s.c.Registry.Choose(s.query(j))
		}
		RecordDecision(&note, &d)
	}
	if pick == nil && j.begun() {
		return nil, nil, errNone
	}
	if pick == nil {
		j.note(&note)
		return nil, nil, refusal.New(refusal.NoEndpoint, "no endpoint can serve: "+note.Excluded).WithOutcome(j.outcome()).WithRetryAfter(retryAfter)
	}
	note.Endpoint = pick.Endpoint
	return pick, j.note(&note), nil
}

// back returns to the engine that holds the stream, if there is one and the
// job has not just left it.
func (s *Streamer) back(j *Job, note *recorder.Attempt) *registry.Pick {
	if j.Stream == "" || j.moving || j.away || contains(j.tried, j.Endpoint) {
		return nil
	}
	pick := s.c.Registry.PickEndpoint(j.Endpoint)
	if pick == nil {
		return nil
	}
	note.Why = "holds the stream"
	return pick
}

func contains(list []identifier.Endpoint, e identifier.Endpoint) bool {
	for _, known := range list {
		if known == e {
			return true
		}
	}
	return false
}

func (s *Streamer) query(j *Job) *registry.Query {
	c := j.Call
	return &registry.Query{
		Pool: c.Pool.Name, Blocks: c.Blocks,
		Select: NewQuery(c, s.c.Zone, j.tried),
	}
}

// relay passes frames on until the stream is whole or broken.
func (s *Streamer) relay(ctx context.Context, cancel context.CancelCauseFunc, j *Job, stream *caller.Stream, sink Sink) error {
	j.maybeSent, j.began = true, true
	stall := time.AfterFunc(s.c.FirstStall, func() { cancel(errStalled) })
	defer stall.Stop()
	for {
		f, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		stall.Reset(s.c.Stall)
		s.take(j, f)
		if err := sink.WriteFrame(f); err != nil {
			return err
		}
	}
}

func (s *Streamer) take(j *Job, f *frame.Frame) {
	j.adopt = false
	if f.Usage != nil {
		j.Record.CompletionTokens = f.Usage.CompletionTokens
		j.Record.RecomputedTokens += f.Usage.RecomputedTokens
	}
	if f.Finished() {
		return
	}
	if j.Offset == 0 {
		j.Record.FirstTokenMS = float64(time.Since(j.Call.Received).Microseconds()) / 1000
	}
	if j.known() {
		j.Delivered = append(j.Delivered, f.Content())
	}
	j.Offset++
}
