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
	j.away = false
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
	if d := state.Backoff(); d > 0 {
		s.c.Registry.BackOff(pick, d)
	}
	refused := errors.Is(err, caller.ErrNotRun) || errors.Is(err, caller.ErrStreamNotFound)
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
	j.away = j.away || j.returning
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
