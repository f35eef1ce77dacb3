package streamer

import (
	"brasschute/internal/core/identifier"
	"brasschute/internal/serve/call"
	"brasschute/internal/serve/recorder"
	"brasschute/internal/serve/refusal"
)

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
	// away: the engine that holds the stream could not be reached again, so
	// that others come first from now on.
	away bool
	// returned: the job went back to its engine once after a broken
	// connection.
	returned bool
}

// known tells whether another engine could go on.
func (j *Job) known() bool { return len(j.Delivered) == j.Offset }

// mayWait tells whether a problem is one that time may mend: another engine
// could go on from the tokens that are known.
func (j *Job) mayWait(p *refusal.Problem) bool {
	return p.Kind() == refusal.EndpointFailed && j.begun() && j.known() && !j.adopt
}

// begun tells whether an engine may have started the job.
func (j *Job) begun() bool { return j.maybeSent || j.Offset > 0 || j.Stream != "" }

func (j *Job) outcome() refusal.Outcome {
	if j.begun() {
		return refusal.Unknown
	}
	return refusal.NotRun
}

// note keeps an attempt for the explanation: the first ones, and the last in
// the place of those that were too many.
func (j *Job) note(a *recorder.Attempt) *recorder.Attempt {
	if len(j.Record.Attempts) < maxNotes {
		j.Record.Attempts = append(j.Record.Attempts, *a)
	} else {
		j.Record.Attempts[maxNotes-1] = *a
	}
	return &j.Record.Attempts[len(j.Record.Attempts)-1]
}
