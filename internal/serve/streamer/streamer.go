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
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/caller"
	"brasschute/internal/engine/frame"
	"brasschute/internal/engine/resumption"
	"brasschute/internal/route/budgeter"
	"brasschute/internal/route/registry"
	"brasschute/internal/route/selector"
	"brasschute/internal/serve/call"
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
)

// Sink receives the frames of an answer. An error means that the caller is
// gone.
type Sink interface {
	Frame(f *frame.Frame) error
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
}

// Job is one answer on its way.
type Job struct {
	Call   *call.Call
	Record *recorder.Record

	// Offset counts the tokens that the caller has. Delivered holds them; it
	// is shorter only after a resumption by token alone.
	Offset    int
	Delivered []string
	// Stream, Endpoint and Address tell where the stream ran last; empty
	// before the first attempt.
	Stream   string
	Endpoint identifier.Endpoint
	Address  string

	attempts  int
	maybeSent bool
	// began: an engine accepted the stream.
	began bool
	tried []identifier.Endpoint
	// moving: the last attempt ended for a reclaim, not a failure.
	moving bool
	// adopt: only the engine that holds the stream may go on with it.
	adopt bool
	// returning: this attempt goes back to the engine that holds the stream.
	returning bool
	// returned: the job went back to its engine once after a broken
	// connection.
	returned bool
}

// known tells whether another engine could go on.
func (j *Job) known() bool { return len(j.Delivered) == j.Offset }

type active struct {
	pick   *registry.Pick
	cancel context.CancelCauseFunc
	timer  *time.Timer
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
		if ctx.Err() != nil {
			s.free(j)
			return s.ended(ctx, j)
		}
		if problem := s.final(j, err); problem != nil {
			return problem
		}
	}
}

// ended tells a passed deadline from a caller that is gone.
func (s *Streamer) ended(ctx context.Context, j *Job) error {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ctx.Err()
	}
	return refusal.New(refusal.DeadlinePassed, "the deadline passed").With(j.outcome()).After(retryAfter)
}

func (j *Job) outcome() refusal.Outcome {
	if j.maybeSent || j.Offset > 0 || j.Stream != "" {
		return refusal.Unknown
	}
	return refusal.NotRun
}

// final decides whether a failed attempt ends the job; nil means to go on.
func (s *Streamer) final(j *Job, err error) *refusal.Problem {
	var problem *refusal.Problem
	if errors.As(err, &problem) {
		return problem
	}
	if !j.known() && !j.adopt {
		return refusal.New(refusal.StreamLost, "the engine that held the stream is gone: "+err.Error()).With(refusal.Unknown)
	}
	if j.attempts >= maxAttempts || !j.moving && !s.c.Budgeter.Spend() {
		return refusal.New(refusal.EndpointFailed, err.Error()).With(j.outcome()).After(retryAfter)
	}
	return nil
}

// attempt runs the job at one engine.
func (s *Streamer) attempt(ctx context.Context, j *Job, sink Sink) error {
	pick, note, problem := s.choose(j)
	if problem != nil {
		return problem
	}
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

	var state caller.Attempt
	stream, err := s.open(ctx, j, pick, &state)
	note.State = state.State().String()
	if err != nil {
		result = s.notOpened(ctx, j, pick, &state, err)
		note.Outcome = err.Error()
		return cause(ctx, err)
	}
	defer stream.Close()
	err = s.relay(ctx, cancel, j, stream, &timed{Sink: sink, s: s, pick: pick, begun: begun})
	if err == nil {
		note.Outcome = "whole"
		result = registry.Succeeded
		return nil
	}
	err = cause(ctx, err)
	note.Outcome = err.Error()
	j.moving = errors.Is(err, errMoving)
	if j.moving || ctx.Err() != nil && !errors.Is(err, errStalled) {
		return err
	}
	result = registry.Failed
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

// timed tells the registry when an attempt's first frame came.
type timed struct {
	Sink
	s     *Streamer
	pick  *registry.Pick
	begun time.Time
	told  bool
}

// Frame passes a frame on.
func (t *timed) Frame(f *frame.Frame) error {
	if !t.told {
		t.told = true
		t.s.c.Registry.Observe(t.pick, time.Since(t.begun))
	}
	return t.Sink.Frame(f)
}

// cause prefers the reason for which this side ended the attempt.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// choose finds the engine for the next attempt.
func (s *Streamer) choose(j *Job) (*registry.Pick, *recorder.Attempt, *refusal.Problem) {
	note := recorder.Attempt{Resumed: j.Offset}
	pick := s.back(j, &note)
	j.returning = pick != nil
	if pick == nil && j.adopt {
		return nil, nil, refusal.New(refusal.EndpointFailed, "the request may have been sent, and its engine no longer answers").
			With(refusal.Unknown).After(retryAfter)
	}
	if pick == nil {
		var d selector.Decision
		pick, d = s.c.Registry.Choose(s.query(j))
		if pick == nil && d.Excluded.Tried > 0 {
			// Rather one that failed before than none at all.
			j.tried = nil
			pick, d = s.c.Registry.Choose(s.query(j))
		}
		Explain(&note, &d)
	}
	if pick == nil {
		j.Record.Attempts = append(j.Record.Attempts, note)
		return nil, nil, refusal.New(refusal.NoEndpoint, "no endpoint can serve: "+note.Excluded).With(j.outcome()).After(retryAfter)
	}
	note.Endpoint = pick.Endpoint
	j.Record.Attempts = append(j.Record.Attempts, note)
	return pick, &j.Record.Attempts[len(j.Record.Attempts)-1], nil
}

// back returns to the engine that holds the stream, if there is one and the
// job has not just left it.
func (s *Streamer) back(j *Job, note *recorder.Attempt) *registry.Pick {
	if j.Stream == "" || j.moving || contains(j.tried, j.Endpoint) {
		return nil
	}
	pick := s.c.Registry.Take(j.Endpoint)
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
		Select: Query(c, s.c.Zone, j.tried),
	}
}

// Explain copies a decision into an attempt's record.
func Explain(note *recorder.Attempt, d *selector.Decision) {
	x := d.Excluded
	note.Excluded = fmt.Sprintf("%d leaving, %d ejected, %d full, %d in other zones, %d with another model, %d tried",
		x.Leaving, x.Ejected, x.Full, x.Zone, x.Model, x.Tried)
	if d.Index == selector.None {
		return
	}
	note.Why = "soonest: none is predicted to meet the target"
	if d.Chosen.InTarget {
		note.Why = "cheapest of those predicted to meet the target"
	}
	note.Chosen = alternative(&d.Chosen)
	for i := range d.Others {
		note.Alternatives = append(note.Alternatives, alternative(&d.Best[i]))
	}
}

func alternative(a *selector.Alternative) recorder.Alternative {
	return recorder.Alternative{
		Endpoint: a.Endpoint, FirstTokenMS: float64(a.FirstToken.Microseconds()) / 1000,
		Cost: a.Cost, CachedTokens: a.Cached, InTarget: a.InTarget,
	}
}

// Seed returns the routing seed of a request.
func Seed(id identifier.Request) uint64 {
	h := uint64(fnvOffset)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * fnvPrime
	}
	return h
}

// open checks the endpoint a last time and starts or resumes the stream.
func (s *Streamer) open(ctx context.Context, j *Job, pick *registry.Pick, state *caller.Attempt) (*caller.Stream, error) {
	if !j.returning && !s.c.Registry.Usable(pick) {
		return nil, errMoving
	}
	old, oldAddress := j.Stream, j.Address
	id := fmt.Sprintf("%s.%d", j.Call.Instance, j.Offset*maxAttempts+j.attempts)
	if old == "" {
		j.Stream, j.Endpoint, j.Address = id, pick.Endpoint, pick.Address
		return s.c.Caller.Complete(ctx, pick.Address, id, engineBody(j.Call), j.Call.NonIdempotent, state)
	}
	if !j.returning && j.Offset == 0 && j.Call.NonIdempotent {
		if err := s.stop(ctx, j); err != nil {
			return nil, err
		}
	}
	r := &resumption.Resumption{ID: id, Stream: old, Offset: j.Offset, Original: engineBody(j.Call), HeldOnly: j.returning}
	if !j.returning && j.known() {
		r.Delivered = j.Delivered
		r.KVSource = oldAddress
	}
	stream, err := s.c.Caller.Resume(ctx, pick.Address, r, state)
	if err != nil && state.State() == caller.MaybeSent {
		go s.cancel(pick.Address, id)
	}
	if err != nil {
		return nil, err
	}
	if !j.returning {
		go s.cancel(oldAddress, old)
	}
	j.Stream, j.Endpoint, j.Address = id, pick.Endpoint, pick.Address
	return stream, nil
}

// stop makes the engine of a stream without tokens confirm that it dropped
// it. Until then a start elsewhere could make a non-idempotent request run
// twice: the first engine may be merely cut off, and go on.
func (s *Streamer) stop(ctx context.Context, j *Job) error {
	if err := s.c.Caller.Cancel(ctx, j.Address, j.Stream); err != nil {
		j.adopt = true
		return fmt.Errorf("%w: %w", errRunning, err)
	}
	return nil
}

// notOpened notes what a failed opening allows next.
func (s *Streamer) notOpened(ctx context.Context, j *Job, pick *registry.Pick, state *caller.Attempt, err error) registry.Result {
	refused := errors.Is(err, caller.ErrNotRun) || errors.Is(err, caller.ErrNotHeld)
	sent := state.State() != caller.Unsent && !refused
	j.moving = errors.Is(err, errMoving)
	if j.moving {
		j.tried = append(j.tried, pick.Endpoint)
		return registry.Neutral
	}
	if errors.Is(err, errRunning) {
		return registry.Neutral
	}
	fresh := j.Offset == 0 && !j.adopt && !j.began
	j.maybeSent = j.maybeSent || sent
	switch {
	case fresh && !sent:
		j.Stream, j.Endpoint, j.Address = "", "", ""
	case fresh && j.Call.NonIdempotent:
		j.adopt = true
		return registry.Failed
	case fresh:
		go s.cancel(j.Address, j.Stream)
		j.Stream, j.Endpoint, j.Address = "", "", ""
	}
	j.tried = append(j.tried, pick.Endpoint)
	if ctx.Err() != nil || refused {
		return registry.Neutral
	}
	return registry.Failed
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
		if err := sink.Frame(f); err != nil {
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

// engineBody is the caller's body with the pool's model instead of the
// service's name. Members that the system does not know pass through, which
// is why this is a map.
func engineBody(c *call.Call) []byte {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(c.Body, &members); err != nil {
		return c.Body
	}
	members["model"], _ = json.Marshal(c.Pool.Model)
	members["stream"] = json.RawMessage("true")
	out, err := json.Marshal(members)
	if err != nil {
		return c.Body
	}
	return out
}

// enter lists an attempt for the sweep; the first sweep is made at once, as
// the host may have begun to leave since it was chosen.
func (s *Streamer) enter(pick *registry.Pick, cancel context.CancelCauseFunc) *active {
	a := &active{pick: pick, cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[a] = true
	if s.over {
		cancel(ErrHandOver)
	}
	s.schedule(a)
	return a
}

func (s *Streamer) exit(a *active) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, a)
	if a.timer != nil {
		a.timer.Stop()
	}
}

// Sweep looks for streams whose engine has begun to leave. It is called after
// each change of the registry.
func (s *Streamer) Sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.active {
		s.schedule(a)
	}
}

func (s *Streamer) schedule(a *active) {
	if a.timer != nil {
		return
	}
	deadline, leaving := s.c.Registry.Leaving(a.pick)
	if !leaving {
		return
	}
	a.timer = time.AfterFunc(time.Until(deadline)-moveMargin, func() { a.cancel(errMoving) })
}

// HandOver interrupts all streams, present and future.
func (s *Streamer) HandOver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = true
	for a := range s.active {
		a.cancel(ErrHandOver)
	}
}

// free stops what the job's engine still does for it.
func (s *Streamer) free(j *Job) {
	if j.Stream != "" {
		go s.cancel(j.Address, j.Stream)
	}
}

func (s *Streamer) cancel(address, stream string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = s.c.Caller.Cancel(ctx, address, stream)
}
