package candidate

import (
	"slices"
	"sync/atomic"
	"time"
)

// silentTime is how long an endpoint may deliver nothing to this daemon while it has streams of it
// before new requests go elsewhere. Streams deliver an event every 20 to 100 ms. The longest pause
// of a stream is the prefill of one chunk of another prompt.
//
// A host behind a partition, or a hung process, resets no connection. Without this check, requests go
// to a partitioned zone until the kernel closes its connections, about three seconds later.
const silentTime = 400 * time.Millisecond

// MaxSignAge is the longest silence timeout of an attempt with an objective of 2 s. An older sign of
// life excuses no silence and is left out of messages.
const MaxSignAge = 4 * time.Second

// Activity records when an endpoint last showed a sign of life: an event of a stream or a response
// that it delivered to this daemon, or to another one. It is shared by all requests to the endpoint
// and safe for concurrent use.
type Activity struct {
	// streams counts the streams that have begun and not ended. own and peers are the times of the
	// last signs delivered to this daemon and to others, in Unix nanoseconds.
	streams    atomic.Int32
	own, peers atomic.Int64
}

// Signs are the times of the last signs of life of an endpoint and of its zone; zero if there was
// none.
type Signs struct {
	// Own is the last sign that the endpoint delivered to this daemon, Peers to another one.
	Own, Peers time.Time
	// Zone is the last sign that any endpoint of the same zone delivered to this daemon.
	Zone time.Time
}

// Last returns the endpoint's last sign of life. Signs from other daemons count only if this daemon
// has received anything from the zone within window: daemons inside a zone do not notice that the
// zone is partitioned from the others.
func (s *Signs) Last(now time.Time, window time.Duration) time.Time {
	if s.Peers.After(s.Own) && s.ZoneReached(now, window) {
		return s.Peers
	}
	return s.Own
}

// LatestSince returns the endpoint's last sign of life, to whichever daemon, or from if there was none since.
func (s *Signs) LatestSince(from time.Time) time.Time {
	return slices.MaxFunc([]time.Time{from, s.Own, s.Peers}, time.Time.Compare)
}

// ZoneReached reports whether this daemon has received anything from the zone within window.
func (s *Signs) ZoneReached(now time.Time, window time.Duration) bool {
	return !s.Zone.IsZero() && now.Sub(s.Zone) <= window
}

// BeginStream records that a stream begins to deliver events.
func (a *Activity) BeginStream() { a.streams.Add(1) }

// RecordEvent records that an event or a response arrived.
func (a *Activity) RecordEvent(now time.Time) { a.own.Store(now.UnixNano()) }

// RecordPeerSign records that another daemon received an event or a response at the given time. An
// earlier time than the recorded one changes nothing.
func (a *Activity) RecordPeerSign(at time.Time) {
	if n := at.UnixNano(); n > a.peers.Load() {
		a.peers.Store(n)
	}
}

// EndStream records the end of a stream that has begun.
func (a *Activity) EndStream() { a.streams.Add(-1) }

// Streaming reports whether any stream is running.
func (a *Activity) Streaming() bool { return a != nil && a.streams.Load() > 0 }

// Signs returns the endpoint's last signs of life. Zone is left zero.
func (a *Activity) Signs() Signs {
	if a == nil {
		return Signs{}
	}
	return Signs{Own: unixTime(a.own.Load()), Peers: unixTime(a.peers.Load())}
}

// unixTime returns a time in Unix nanoseconds as a time, and 0 as the zero time.
func unixTime(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// Silent reports whether streams are running and the endpoint has shown no sign of life within
// silentTime. zone is the last sign that any endpoint of the zone delivered to this daemon.
func (a *Activity) Silent(now, zone time.Time) bool {
	if !a.Streaming() {
		return false
	}
	signs := a.Signs()
	signs.Zone = zone
	return now.Sub(signs.Last(now, silentTime)) > silentTime
}

// ZoneSilent reports whether nothing arrived from a zone within silentTime, given its last sign.
func ZoneSilent(now, zone time.Time) bool { return now.Sub(zone) > silentTime }
