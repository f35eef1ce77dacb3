package candidate

import (
	"sync/atomic"
	"time"
)

// silentTime is how long an endpoint may say nothing, on any of the streams that it
// writes to this daemon, before new requests go elsewhere. Streams bring an event each
// 20 to 100 ms, and none pauses for longer than prompts are read in pieces beside it.
//
// A host behind a partition, or a process that hangs, resets no connection: requests
// were sent into a cut zone for three seconds, 25 in the cut of one zone of four, until
// the kernel gave the connections up.
const silentTime = 400 * time.Millisecond

// Activity is when an endpoint last said something to this daemon. It is shared by the
// requests at the endpoint and safe for concurrent use.
type Activity struct {
	// talking counts the streams that have begun and not ended.
	talking atomic.Int32
	heard   atomic.Int64
}

// BeginStream notes that a stream begins to bring events.
func (p *Activity) BeginStream() { p.talking.Add(1) }

// RecordEvent notes that something came.
func (p *Activity) RecordEvent(now time.Time) { p.heard.Store(now.UnixNano()) }

// EndStream notes the end of a stream that has begun.
func (p *Activity) EndStream() { p.talking.Add(-1) }

// Streaming tells whether streams run.
func (p *Activity) Streaming() bool { return p != nil && p.talking.Load() > 0 }

// Silent tells whether streams run and none of them has brought anything for too long.
func (p *Activity) Silent(now time.Time) bool {
	return p.Streaming() && now.Sub(time.Unix(0, p.heard.Load())) > silentTime
}
