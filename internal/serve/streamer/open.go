package streamer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"brasschute/internal/engine/caller"
	"brasschute/internal/engine/resumption"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/call"
)

// open checks a last time that the endpoint is usable and starts or resumes the stream.
func (s *Streamer) open(ctx context.Context, j *Job, pick *registry.Pick, state *caller.Attempt) (*caller.Stream, error) {
	if !j.returning && !s.c.Registry.Usable(pick) {
		return nil, errHostLeaving
	}
	if j.Offset == 0 {
		j.Version = pick.Version
	}
	old, oldAddress := j.Stream, j.Address
	id := fmt.Sprintf("%s.%d", j.Call.Instance, j.Offset*maxAttempts+j.attempts)
	if old == "" {
		j.Stream, j.Endpoint, j.Address = id, pick.Endpoint, pick.Address
		return s.c.Caller.Complete(ctx, pick.Address, id, engineBody(j.Call), j.Call.NonIdempotent, state)
	}
	if !j.returning && j.Offset == 0 && j.Call.NonIdempotent {
		if err := s.confirmStopped(ctx, j); err != nil {
			return nil, err
		}
	}
	r := &resumption.Resumption{ID: id, Stream: old, Offset: j.Offset, Original: engineBody(j.Call), HeldOnly: j.returning}
	if !j.returning && j.hasAllTokens() {
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
	j.holderLost = false
	j.Stream, j.Endpoint, j.Address = id, pick.Endpoint, pick.Address
	return stream, nil
}

// confirmStopped makes the engine of a stream without tokens confirm that it dropped
// the stream. Starting elsewhere before that could run a non-idempotent request
// twice: the first engine may only be unreachable and still be running it.
func (s *Streamer) confirmStopped(ctx context.Context, j *Job) error {
	if err := s.c.Caller.Cancel(ctx, j.Address, j.Stream); err != nil {
		j.holderOnly = true
		return fmt.Errorf("%w: %w", errNotStopped, err)
	}
	return nil
}

// handleOpenError updates the job after a failed opening and returns the result for the
// registry.
func (s *Streamer) handleOpenError(ctx context.Context, j *Job, pick *registry.Pick, state *caller.Attempt, err error) registry.Result {
	if d := state.Backoff(); d > 0 {
		s.c.Registry.BackOff(pick, d)
	}
	refused := errors.Is(err, caller.ErrNotRun) || errors.Is(err, caller.ErrStreamNotFound)
	sent := state.State() != caller.Unsent && !refused
	j.moving = errors.Is(err, errHostLeaving)
	if j.moving {
		j.tried = append(j.tried, pick.Endpoint)
		return registry.Neutral
	}
	if errors.Is(err, errNotStopped) {
		return registry.Neutral
	}
	fresh := j.Offset == 0 && !j.holderOnly && !j.accepted
	j.maybeSent = j.maybeSent || sent
	j.holderLost = j.holderLost || j.returning
	switch {
	case fresh && !sent:
		j.Stream, j.Endpoint, j.Address = "", "", ""
	case fresh && j.Call.NonIdempotent:
		j.holderOnly = true
		return registry.Failed
	case fresh:
		go s.cancel(j.Address, j.Stream)
		j.Stream, j.Endpoint, j.Address = "", "", ""
	}
	j.tried = append(j.tried, pick.Endpoint)
	switch {
	case ctx.Err() != nil, refused:
		return registry.Neutral
	case errors.Is(err, caller.ErrRefusedConnection):
		return registry.Unreachable
	}
	return registry.Failed
}

// engineBody returns the caller's body with the pool's model in place of the service
// name. It decodes into a map so that unknown members are passed through.
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

// cancelCurrent cancels the job's stream at its engine.
func (s *Streamer) cancelCurrent(j *Job) {
	if j.Stream != "" {
		go s.cancel(j.Address, j.Stream)
	}
}

func (s *Streamer) cancel(address, stream string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = s.c.Caller.Cancel(ctx, address, stream)
}
