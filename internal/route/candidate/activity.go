package candidate

import (
	"sync/atomic"
	"time"
)

// silentTime is how long an endpoint may deliver no event on any of its streams to this daemon
// before new requests go elsewhere. Streams deliver an event every 20 to 100 ms. The longest pause
// of a stream is the prefill of one chunk of another prompt.
//
// A host behind a partition, or a hung process, resets no connection. Without this check daemons
// keep sending to a partitioned zone for three seconds, until the kernel gives the connections up:
// 25 requests were lost when one zone of four was cut off.
const silentTime = 400 * time.Millisecond

// Activity records when the streams of an endpoint last delivered an event to this daemon. It is
// shared by all requests to the endpoint and safe for concurrent use.
type Activity struct {
	// streams counts the streams that have begun and not ended. lastEvent is the time of the last
	// event in Unix nanoseconds.
	streams   atomic.Int32
	lastEvent atomic.Int64
}

// BeginStream records that a stream begins to deliver events.
func (a *Activity) BeginStream() { a.streams.Add(1) }

// RecordEvent records that an event arrived.
func (a *Activity) RecordEvent(now time.Time) { a.lastEvent.Store(now.UnixNano()) }

// EndStream records the end of a stream that has begun.
func (a *Activity) EndStream() { a.streams.Add(-1) }

// Streaming reports whether any stream is running.
func (a *Activity) Streaming() bool { return a != nil && a.streams.Load() > 0 }

// Silent reports whether streams are running and none of them has delivered an event within
// silentTime.
func (a *Activity) Silent(now time.Time) bool {
	return a.Streaming() && now.Sub(time.Unix(0, a.lastEvent.Load())) > silentTime
}
