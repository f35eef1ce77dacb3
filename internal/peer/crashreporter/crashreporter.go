// Package crashreporter detects whether endpoints crashed while they ran requests, and exchanges
// the results with peers.
//
// When an endpoint breaks off a request, a probe of its address (package prober) shows whether
// its process has ended. Endpoints that are known to be leaving are not probed, as their end
// is expected. Endings found go to the quarantine (package quarantiner), which decides whether the
// request may go to further endpoints.
//
// Whoever learns of the end need not be the one whose request caused it: its client may have left, or this
// daemon may have given the attempt up, and the endpoint goes on running it. The attempts of this daemon that
// have delivered nothing are therefore kept, those that were given up for [retention]. An end of their endpoint counts
// against all of them, whichever request showed it, here or at a peer. Endpoints that show no sign of life after an attempt
// was given up are probed, and so are those that vanish from the list or let attempts wait without a sign: a host
// without power sends nothing that would end an attempt.
//
// [Reporter.RPCSuspects] returns the suspects that a daemon sends to others,
// [Reporter.MergeSuspects] merges those of others. New ones are sent at once: the callback
// Config.OnChange triggers it.
//
// # Usage
//
//	r := crashreporter.New(crashreporter.Config{Host: name, Dialer: d, OnChange: trigger, ...})
//	a := &crashreporter.Attempt{Fingerprint: f, Request: id, Pick: pick}
//	r.Begin(a) // right before it is sent
//	r.Conclude(a), r.ReportBreak(ctx, a, events) or r.ReportGivenUp(a, reason)
//	supervise r.Serve
package crashreporter

import (
	"context"
	"fmt"
	"strings"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/prober"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/route/quarantiner"
	"brasschute/internal/route/registry"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

const (
	// logLinesPerSecond bounds the log lines; the counters count all events.
	logLinesPerSecond = 20
	// maxProbeWait is how long a request waits for the result of the probe, which decides
	// whether it may go to another endpoint: some round trips between availability zones.
	maxProbeWait = 25 * time.Millisecond
	// maxAge bounds the ages that peers state.
	maxAge = 24 * time.Hour
)

// Config holds the reporter's settings and the components that it works with.
type Config struct {
	Host   identifier.Host
	Dialer prober.Dialer
	// Confirm reports whether an address that refuses this daemon's connections refuses those of
	// others; see [prober.Config]. May be nil.
	Confirm func(ctx context.Context, address string) bool
	// Unreachable reports whether peers get no response from an endpoint that does not respond to this daemon and
	// has shown no sign of life for a while. If nil, peers can't tell.
	Unreachable func(context.Context, *registry.Pick) bool
	// Leaving reports whether an endpoint is known to be leaving.
	Leaving func(*registry.Pick) (deadline time.Time, leaving bool)
	// Presence returns what the list says of an endpoint. If nil, all are listed.
	Presence func(*registry.Pick) registry.Presence
	// Incarnation returns the incarnation of an endpoint, the same at all daemons. If nil, it is
	// the endpoint's start time.
	Incarnation func(*registry.Pick) identifier.StartTime
	// OnChange is called when suspects have changed. own is true for suspects that this
	// daemon found, false for those merged from others.
	OnChange func(own bool)
	// OnEnd is called when this daemon finds that the process of an endpoint has ended, with a time by which it had;
	// may be nil.
	OnEnd   func(e identifier.Endpoint, born identifier.StartTime, at time.Time)
	Logger  *log.Logger
	Metrics tally.Scope
}

// Attempt is an attempt of a request at an endpoint. The caller must not change it once it has begun.
type Attempt struct {
	Fingerprint identifier.Fingerprint
	Request     identifier.Request
	// Parts are the parts of its prompt that other requests may have as well.
	Parts []identifier.Fingerprint
	Pick  *registry.Pick
	// Sent is when it first began; zero if that is not known. Begin sets it.
	Sent time.Time
}

// Reason says why this daemon gave an attempt up.
type Reason string

// The reasons.
const (
	// ClientGone: the client left. TimedOut: the request's time was up. Silent: the endpoint stayed silent.
	ClientGone Reason = "client-gone"
	TimedOut   Reason = "timeout"
	Silent     Reason = "silent"
	// Quarantined: the request became held. PeerLost: the peer that sent it gave no response.
	Quarantined Reason = "quarantined"
	PeerLost    Reason = "peer-lost"
	// Stopping: this daemon stops.
	Stopping Reason = "stopping"
)

// Reporter is a daemon's quarantine, fed by its own probes and by messages of peers. It is safe for
// concurrent use.
type Reporter struct {
	*quarantiner.Quarantiner

	c          Config
	prober     *prober.Prober
	logLimiter *rate.Limiter
	attempts   attempts
}

// New returns a reporter without suspects.
func New(c Config) *Reporter {
	if c.Incarnation == nil {
		c.Incarnation = func(k *registry.Pick) identifier.StartTime { return k.StartTime }
	}
	if c.Presence == nil {
		c.Presence = func(*registry.Pick) registry.Presence { return registry.Listed }
	}
	if c.Unreachable == nil {
		c.Unreachable = func(context.Context, *registry.Pick) bool { return false }
	}
	if c.OnEnd == nil {
		c.OnEnd = func(identifier.Endpoint, identifier.StartTime, time.Time) {}
	}
	r := &Reporter{c: c, prober: prober.New(prober.Config{Dialer: c.Dialer, Confirm: c.Confirm}), logLimiter: rate.NewLimiter(logLinesPerSecond, logLinesPerSecond)}
	r.Quarantiner = quarantiner.New(quarantiner.Config{Host: c.Host, OnChange: r.logChange})
	return r
}

// ReportBreak probes an endpoint that broke off a request. It returns when the result is known,
// or after [maxProbeWait]; a later result counts, too.
func (r *Reporter) ReportBreak(ctx context.Context, a *Attempt, events int) {
	r.Conclude(a)
	at := time.Now()
	if _, leaving := r.c.Leaving(a.Pick); leaving {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.probe(context.WithoutCancel(ctx), a, events, at)
	}()
	timer := time.NewTimer(maxProbeWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// probe probes the endpoint that broke off a request at a time and records its end, or leaves it to a later check whether it has
// ended.
func (r *Reporter) probe(ctx context.Context, a *Attempt, events int, at time.Time) {
	found := r.prober.Probe(ctx, a.Pick.Address)
	r.c.Metrics.Tagged(map[string]string{"probe": found.String()}).Counter("requests_broken_off").Inc(1)
	if found != prober.Listening {
		r.logEnd(a, events, found)
	}
	if found != prober.Refused {
		if events == 0 {
			r.attempts.giveUp(r.incarnationOf(a.Pick), a)
		}
		return
	}
	r.c.OnEnd(a.Pick.Endpoint, r.c.Incarnation(a.Pick), at)
	r.recordEnd(quarantiner.Ending{Weak: events > 0, At: at}, a)
	r.joinEnd(r.incarnationOf(a.Pick), found, at)
}

// logEnd logs that an attempt ended with its endpoint, or seems to.
func (r *Reporter) logEnd(a *Attempt, events int, found prober.Result) {
	message := "endpoint crashed while running a request"
	if found == prober.Partitioned {
		message = "endpoint out of this daemon's reach while running a request"
	}
	r.logAttempt(message, a, "events", events, "probe", found)
}

// logAttempt logs a line about an attempt.
func (r *Reporter) logAttempt(message string, a *Attempt, fields ...any) {
	if r.logLimiter.Allow() {
		r.c.Logger.Info(message, append([]any{
			"request", a.Request, "fingerprint", a.Fingerprint, "endpoint", a.Pick.Endpoint, "born", r.c.Incarnation(a.Pick), "parts", fmt.Sprint(a.Parts),
		}, fields...)...)
	}
}

// incarnationOf returns the incarnation of a pick.
func (r *Reporter) incarnationOf(k *registry.Pick) identifier.EndpointIncarnation {
	return identifier.EndpointIncarnation{Endpoint: k.Endpoint, Born: r.c.Incarnation(k)}
}

// recordEnd records that the endpoint of an attempt ended while it ran it. e says how.
func (r *Reporter) recordEnd(e quarantiner.Ending, a *Attempt) {
	e.Endpoint, e.Born, e.Sent = a.Pick.Endpoint, r.c.Incarnation(a.Pick), a.Sent
	if r.RecordEnding(a.Fingerprint, e, a.Parts...) {
		r.c.OnChange(true)
	}
}

// Begin is called right before an attempt is sent, Conclude when it has delivered something or has not run. An attempt
// that is handed to one peer after the other begins once for each.
func (r *Reporter) Begin(a *Attempt) { r.attempts.begin(r.incarnationOf(a.Pick), a) }

// Conclude ends an attempt that tells nothing about its endpoint's end; see [Reporter.Begin].
func (r *Reporter) Conclude(a *Attempt) { r.attempts.conclude(r.incarnationOf(a.Pick), a) }

// ReportGivenUp is called for each attempt that this daemon gave up before the endpoint had delivered
// anything. The endpoint may go on running it, and crash.
func (r *Reporter) ReportGivenUp(a *Attempt, reason Reason) {
	r.attempts.giveUp(r.incarnationOf(a.Pick), a)
	r.c.Metrics.Tagged(map[string]string{"reason": string(reason)}).Counter("attempts_abandoned").Inc(1)
	r.logAttempt("attempt given up before its first event", a, "reason", reason)
}

// Answered clears a request that an endpoint has run to completion.
func (r *Reporter) Answered(f identifier.Fingerprint) {
	if r.RecordAnswer(f) {
		r.c.OnChange(true)
	}
}

// RecordEvent records that an endpoint has begun to write an answer to a request with some parts of
// prompts: none of them crashes endpoints.
func (r *Reporter) RecordEvent(parts ...identifier.Fingerprint) {
	if r.Quarantiner.RecordEvent(parts...) {
		r.c.OnChange(true)
	}
}

// Lift clears a request at an operator's command, and reports whether any ending counted against
// it.
func (r *Reporter) Lift(f identifier.Fingerprint) bool {
	lifted := r.Quarantiner.Lift(f)
	r.c.Logger.Info("request lifted from quarantine", "fingerprint", f, "known", lifted)
	if lifted {
		r.c.OnChange(true)
	}
	return lifted
}

// logChange logs and counts that a request was quarantined or released.
func (r *Reporter) logChange(s *quarantiner.Suspect) {
	what, message, state := "request", " released from quarantine", "free"
	if s.Fingerprint.IsPart() {
		what = "prompt part"
	}
	if s.Held {
		message, state = " quarantined", "held"
	}
	r.c.Metrics.Tagged(map[string]string{"state": state}).Counter("quarantine_changes").Inc(1)
	if r.logLimiter.Allow() {
		r.c.Logger.Warn(what+message, "fingerprint", s.Fingerprint, "endings", describe(s.Endings))
	}
}

// describe returns endings as text for the log.
func describe(endings []quarantiner.Ending) string {
	out := make([]string, len(endings))
	now := time.Now()
	for i, e := range endings {
		out[i] = string(e.Endpoint) + " seen by " + string(e.Seen) + " " + now.Sub(e.At).Round(time.Millisecond).String() + " ago"
		if e.Weak {
			out[i] += ", weak"
		}
		if e.Void {
			out[i] += ", void"
		}
	}
	return strings.Join(out, "; ")
}

// RPCSuspects returns the suspects that this daemon sends to others.
func (r *Reporter) RPCSuspects() []*rpc.Suspect {
	list := r.Updates()
	out := make([]*rpc.Suspect, len(list))
	now := time.Now()
	for i, s := range list {
		out[i] = &rpc.Suspect{Fingerprint: string(s.Fingerprint)}
		for _, e := range s.Endings {
			out[i].Endings = append(out[i].Endings, &rpc.Ending{
				Endpoint: string(e.Endpoint), Born: int64(e.Born), Host: string(e.Seen), AgeMilli: now.Sub(e.At).Milliseconds(),
				Weak: e.Weak, Void: e.Void, Silent: e.Silent, Request: string(e.Request), Depth: uint32(e.Depth),
				SentAgeMilli: sentAge(&e, now),
			})
		}
	}
	return out
}

// MergeSuspects merges the suspects of another daemon.
func (r *Reporter) MergeSuspects(suspects []*rpc.Suspect) {
	if len(suspects) == 0 {
		return
	}
	list := make([]quarantiner.Suspect, len(suspects))
	now := time.Now()
	for i, s := range suspects {
		list[i].Fingerprint = identifier.Fingerprint(s.GetFingerprint())
		for _, e := range s.GetEndings() {
			list[i].Endings = append(list[i].Endings, quarantiner.Ending{
				Endpoint: identifier.Endpoint(e.GetEndpoint()), Born: identifier.StartTime(e.GetBorn()), Seen: identifier.Host(e.GetHost()),
				At: now.Add(-endingAge(e)), Weak: e.GetWeak(), Void: e.GetVoid(), Silent: e.GetSilent(),
				Sent: sentTime(e, now), Request: identifier.Fingerprint(e.GetRequest()), Depth: int(min(e.GetDepth(), quarantiner.MaxDepth)),
			})
		}
	}
	if r.Merge(list) {
		r.c.OnChange(false)
	}
	r.joinEndings(list)
}

// sentAge returns the time since the request of an ending was sent, in milliseconds; 0 if that is not known.
func sentAge(e *quarantiner.Ending, now time.Time) int64 {
	if e.Sent.IsZero() {
		return 0
	}
	return max(now.Sub(e.Sent).Milliseconds(), 1)
}

// sentTime returns when the request of an ending was sent; zero if that is not known.
func sentTime(e *rpc.Ending, now time.Time) time.Time {
	if e.GetSentAgeMilli() <= 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(min(e.GetSentAgeMilli(), maxAge.Milliseconds())) * time.Millisecond)
}

// endingAge returns the age of an ending, between zero and a day.
func endingAge(e *rpc.Ending) time.Duration {
	return time.Duration(min(max(e.GetAgeMilli(), 0), maxAge.Milliseconds())) * time.Millisecond
}
