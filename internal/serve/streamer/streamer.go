// Package streamer runs a model request until its answer is complete, over several
// engines if necessary.
//
// A stream runs on one engine at a time. If that engine fails, stalls, ends the
// stream early or is about to be reclaimed, the streamer resumes on another engine
// after the tokens already relayed, so that the caller receives each token once.
// An announced reclaim leaves time to import the KV cache: the stream moves
// [moveMargin] ahead of the deadline, and one that ends sooner does not move.
//
// A request is restarted only if no earlier attempt can have run, or if it is
// idempotent. Resuming a stream is not a second run, as it continues one answer from a
// known token. If a non-idempotent request may have been sent and no frame came back,
// only the engine that may hold the stream is asked to resume it. If that engine does
// not, the request ends with the outcome unknown.
//
// [Streamer.HandOver] interrupts all streams when the entry host leaves. Their Run
// returns ErrHandOver, and the jobs can be continued by another daemon.
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
	// moveMargin is how long before the deadline of its host a stream moves.
	moveMargin = 1500 * time.Millisecond
	// cancelTimeout bounds the call that cancels a stream at an engine.
	cancelTimeout = 2 * time.Second
	// retryAfter is sent to callers when no endpoint can serve.
	retryAfter  = 2 * time.Second
	maxAttempts = 8
	// A job waits retryPauseStep times its number of attempts, at most maxRetryPause,
	// before it looks for an engine again.
	retryPauseStep = 50 * time.Millisecond
	maxRetryPause  = time.Second
	// fnvOffset and fnvPrime are the parameters of 64-bit FNV-1a, which hashes the
	// request's id to a routing seed.
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Reasons for which this daemon interrupts an attempt.
var (
	// ErrHandOver means that the daemon is leaving and another one must continue.
	ErrHandOver    = errors.New("stream handed over")
	errHostLeaving = errors.New("the engine's host is leaving")
	errStalled     = errors.New("no token in time")
	errNotStopped  = errors.New("the engine did not confirm that it stopped")
	errNoEngine    = errors.New("no engine can go on with the stream now")
)

// Sink receives the frames of an answer. An error from WriteFrame means that the
// caller disconnected.
type Sink interface {
	WriteFrame(f *frame.Frame) error
}

// Config holds the dependencies and settings of a Streamer.
type Config struct {
	Registry *registry.Registry
	Caller   *caller.Caller
	Budgeter *budgeter.Budgeter
	// Zone is the zone of this daemon.
	Zone identifier.AvailabilityZone
	// Stall is the longest time between two tokens, FirstStall the longest time to
	// the first one; 5 s and 20 s if zero.
	Stall      time.Duration
	FirstStall time.Duration
	Quarantine Quarantine
}

// Streamer runs jobs. It is safe for concurrent use.
type Streamer struct {
	c Config

	mu          sync.Mutex
	active      map[*activeAttempt]bool
	handingOver bool
}

// New returns a streamer without jobs.
func New(c Config) *Streamer {
	if c.Stall == 0 {
		c.Stall = 5 * time.Second
	}
	if c.FirstStall == 0 {
		c.FirstStall = 20 * time.Second
	}
	return &Streamer{c: c, active: make(map[*activeAttempt]bool)}
}

// Run runs a job to its end. It returns nil after a complete answer, ErrHandOver,
// the context's error if the caller disconnected, or a *refusal.Problem.
func (s *Streamer) Run(ctx context.Context, j *Job, sink Sink) error {
	for {
		err := s.attempt(ctx, j, sink)
		if err == nil || errors.Is(err, ErrHandOver) {
			return err
		}
		if errors.Is(err, errNoEngine) && s.pauseBeforeRetry(ctx, j) {
			continue
		}
		if ctx.Err() != nil {
			s.cancelCurrent(j)
			return s.contextError(ctx, j)
		}
		if errors.Is(err, errNoEngine) {
			return ErrHandOver
		}
		problem := s.finalProblem(j, err)
		if problem != nil && (!j.mayRecover(problem) || !s.pauseBeforeRetry(ctx, j)) {
			return problem
		}
	}
}

// pauseBeforeRetry waits before a job that has begun looks for an engine again. It
// returns false if the deadline passed or the daemon is leaving. An accepted job is
// not given up because the pool is full, ejected or being replaced right now.
func (s *Streamer) pauseBeforeRetry(ctx context.Context, j *Job) bool {
	j.tried = nil
	pause := min(retryPauseStep*time.Duration(j.attempts), maxRetryPause)
	return waiter.For(ctx, pause) && !s.isHandingOver()
}

// contextError distinguishes a passed deadline from a caller that disconnected.
func (s *Streamer) contextError(ctx context.Context, j *Job) error {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ctx.Err()
	}
	return refusal.New(refusal.DeadlinePassed, "the deadline passed").WithOutcome(j.outcome()).WithRetryAfter(retryAfter)
}

// finalProblem returns the problem with which a failed attempt ends the job, or nil if
// the job continues. A refused connection does not count as an attempt: its endpoint is
// ejected, so that the endpoints bound how many there are.
func (s *Streamer) finalProblem(j *Job, err error) *refusal.Problem {
	var problem *refusal.Problem
	if errors.As(err, &problem) {
		return problem
	}
	if !j.hasAllTokens() && !j.holderOnly {
		return refusal.New(refusal.StreamLost, "the engine that held the stream is gone: "+err.Error()).WithOutcome(refusal.Unknown)
	}
	if errors.Is(err, caller.ErrRefusedConnection) {
		return nil
	}
	if j.attempts >= maxAttempts || !j.moving && !s.c.Budgeter.Spend() {
		return refusal.New(refusal.EndpointFailed, err.Error()).WithOutcome(j.outcome()).WithRetryAfter(retryAfter)
	}
	return nil
}

// attempt runs the job on one engine.
func (s *Streamer) attempt(ctx context.Context, j *Job, sink Sink) error {
	if held := QuarantineRefusal(s.c.Quarantine, j.Call); held != nil {
		s.cancelCurrent(j)
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
	a := s.addActive(pick, cancel)
	defer s.removeActive(a)

	state := caller.Attempt{Traceparent: j.Call.Traceparent}
	stream, err := s.open(ctx, j, pick, &state)
	note.State = state.State().String()
	if err != nil {
		result = s.handleOpenError(ctx, j, pick, &state, err)
		if errors.Is(err, caller.ErrRefusedConnection) {
			j.attempts--
		}
		note.Outcome = err.Error()
		if state.State() == caller.MaybeSent {
			ReportEnd(ctx, s.c.Quarantine, j.Call, pick, 0)
		}
		return causeOf(ctx, err)
	}
	defer stream.Close()
	err = s.relay(ctx, cancel, j, stream, &firstFrameObserver{Sink: sink, s: s, pick: pick, begun: begun})
	if err == nil {
		note.Outcome = "whole"
		result = registry.Succeeded
		s.c.Quarantine.Answered(j.Call.Fingerprint())
		return nil
	}
	err = causeOf(ctx, err)
	note.Outcome = err.Error()
	j.moving = errors.Is(err, errHostLeaving)
	ReportEnd(ctx, s.c.Quarantine, j.Call, pick, j.Offset-offset)
	if j.moving || ctx.Err() != nil && !errors.Is(err, errStalled) {
		return err
	}
	result = registry.Failed
	s.afterBreak(j, pick, err)
	return err
}

// afterBreak decides whether to go back to an engine whose stream broke. After a
// broken connection the engine still holds the stream, so that going back costs
// nothing. After a second break, a stall or an invalid reply another engine is used.
func (s *Streamer) afterBreak(j *Job, pick *registry.Pick, err error) {
	if errors.Is(err, caller.ErrTruncated) && !j.returned {
		j.returned = true
		return
	}
	j.tried = append(j.tried, pick.Endpoint)
}

// causeOf returns the reason for which this daemon cancelled the attempt, or else err.
func causeOf(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// choose selects the engine for the next attempt.
func (s *Streamer) choose(j *Job) (*registry.Pick, *recorder.Attempt, error) {
	note := recorder.Attempt{Resumed: j.Offset}
	pick := s.takeHolder(j, &note)
	j.returning = pick != nil
	if pick == nil && j.holderOnly {
		return nil, nil, refusal.New(refusal.EndpointFailed, "the request may have been sent, and its engine no longer answers").
			WithOutcome(refusal.Unknown).WithRetryAfter(retryAfter)
	}
	if pick == nil {
		var d selector.Decision
		pick, d = s.c.Registry.Choose(s.query(j))
		if pick == nil && d.Excluded.Tried > 0 {
			// An engine that failed before is better than none.
			j.tried = nil
			pick, d = s.c.Registry.Choose(s.query(j))
		}
		RecordDecision(&note, &d)
	}
	if pick == nil && j.mayHaveStarted() {
		return nil, nil, errNoEngine
	}
	if pick == nil {
		j.Record.AddAttempt(&note)
		return nil, nil, refusal.New(refusal.NoEndpoint, "no endpoint can serve: "+note.Excluded).WithOutcome(j.outcome()).WithRetryAfter(retryAfter)
	}
	note.Endpoint = pick.Endpoint
	return pick, j.Record.AddAttempt(&note), nil
}

// takeHolder returns to the engine that holds the stream, if there is one and the job
// has not just left it.
func (s *Streamer) takeHolder(j *Job, note *recorder.Attempt) *registry.Pick {
	if j.Stream == "" || j.moving || j.holderLost || contains(j.tried, j.Endpoint) {
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
	q := &registry.Query{
		Pool: c.Pool.Name, Blocks: c.Blocks,
		Select: NewQuery(c, s.c.Zone, j.tried),
	}
	if j.Offset > 0 {
		q.Select.Versions.Only = j.Version
	}
	return q
}

// relay passes frames on until the stream is complete or broken.
func (s *Streamer) relay(ctx context.Context, cancel context.CancelCauseFunc, j *Job, stream *caller.Stream, sink Sink) error {
	j.maybeSent, j.accepted = true, true
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
		s.recordFrame(j, f)
		if err := sink.WriteFrame(f); err != nil {
			return err
		}
	}
}

// recordFrame updates the state and the record of a job with a frame.
func (s *Streamer) recordFrame(j *Job, f *frame.Frame) {
	j.holderOnly = false
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
	if j.hasAllTokens() {
		j.Delivered = append(j.Delivered, f.Content())
	}
	j.Offset++
}
