package streamer

import (
	"brasschute/internal/core/identifier"
	"brasschute/internal/serve/call"
	"brasschute/internal/serve/recorder"
	"brasschute/internal/serve/refusal"
)

// Job is the state of one answer in progress.
type Job struct {
	Call   *call.Call
	Record *recorder.Record

	// Offset is the number of tokens that the caller has. Delivered holds these tokens;
	// it is shorter only after a resumption by resume token alone.
	Offset    int
	Delivered []string
	// Stream, Endpoint and Address say where the stream ran last. They are empty before
	// the first attempt.
	Stream   string
	Endpoint identifier.Endpoint
	Address  string
	// Version is the version of the engine that delivered the first token, at which the stream goes
	// on; empty if the platform states none.
	Version identifier.Version

	attempts  int
	maybeSent bool
	// accepted is set once an engine accepted the stream.
	accepted bool
	tried    []identifier.Endpoint
	// moving means that the last attempt ended because of a reclaim, not a failure.
	moving bool
	// holderOnly means that only the engine that holds the stream may resume it.
	holderOnly bool
	// returning means that this attempt goes back to the engine that holds the stream.
	returning bool
	// holderLost means that the engine that holds the stream could not be reached again,
	// so that other engines come first.
	holderLost bool
	// returned is set once the job went back to its engine after a broken connection.
	returned bool
}

// hasAllTokens reports whether all delivered tokens are known, so that another engine
// could resume.
func (j *Job) hasAllTokens() bool { return len(j.Delivered) == j.Offset }

// mayRecover reports whether waiting may resolve a problem: another engine could
// resume from the tokens that are known.
func (j *Job) mayRecover(p *refusal.Problem) bool {
	return p.Kind() == refusal.EndpointFailed && j.mayHaveStarted() && j.hasAllTokens() && !j.holderOnly
}

// mayHaveStarted reports whether an engine may have started the job.
func (j *Job) mayHaveStarted() bool { return j.maybeSent || j.Offset > 0 || j.Stream != "" }

func (j *Job) outcome() refusal.Outcome {
	if j.mayHaveStarted() {
		return refusal.Unknown
	}
	return refusal.NotRun
}
