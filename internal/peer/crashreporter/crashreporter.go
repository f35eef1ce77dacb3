// Package reporter finds out whether endpoints ended under requests, and tells and hears of it.
//
// # Findings
//
// A daemon sees that an endpoint broke a request off. Whether the endpoint's process ended is
// found by a probe of its address (package prober); endpoints that are known to leave end as
// they should. What is found goes to the quarantine (package quarantiner), which decides.
//
// # Messages
//
// [Reporter.RPCSuspects] is what a daemon puts into its messages to others, [Reporter.MergeSuspects] takes in
// theirs. News is spread at once, by whatever way the fleet's daemons have.
//
// # Usage
//
//	r := reporter.New(reporter.Config{Host: name, Dialer: d, Leaving: registry.Leaving, Spread: hurry, ...})
//	r.ReportBreak(ctx, &reporter.Break{Fingerprint: f, Request: id, Pick: pick})
package crashreporter

import (
	"context"
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
	// linesPerSecond bounds the log lines; counters count all.
	linesPerSecond = 20
	// patience is how long a request waits for the finding, which decides whether it may go
	// to another endpoint: some round trips between availability zones.
	patience = 25 * time.Millisecond
)

// Config names the reporter's collaborators.
type Config struct {
	Host   identifier.Host
	Dialer prober.Dialer
	// Leaving tells whether an endpoint is known to leave.
	Leaving func(*registry.Pick) (deadline time.Time, leaving bool)
	// Incarnation tells lives of an endpoint apart, in the same way at all daemons; the time of its
	// start if nil.
	Incarnation func(*registry.Pick) identifier.StartTime
	// OnNews is told that there is news: of this daemon's own, or heard from another one.
	OnNews  func(own bool)
	Logger  *log.Logger
	Metrics tally.Scope
}

// BrokenRequest is a request that an endpoint broke off.
type BrokenRequest struct {
	Fingerprint identifier.Fingerprint
	Request     identifier.Request
	Pick        *registry.Pick
	// Events counts what the endpoint had brought.
	Events int
}

// Reporter is one daemon's quarantine with all that it needs of others. It is safe for
// concurrent use.
type Reporter struct {
	*quarantiner.Quarantiner

	c      Config
	prober *prober.Prober
	lines  *rate.Limiter
}

// New returns a reporter that knows nothing.
func New(c Config) *Reporter {
	if c.Incarnation == nil {
		c.Incarnation = func(k *registry.Pick) identifier.StartTime { return k.Born }
	}
	r := &Reporter{c: c, prober: prober.New(prober.Config{Dialer: c.Dialer}), lines: rate.NewLimiter(linesPerSecond, linesPerSecond)}
	r.Quarantiner = quarantiner.New(quarantiner.Config{Host: c.Host, OnChange: r.changed})
	return r
}

// ReportBreak looks whether an endpoint has ended that broke off a request. It returns when that is
// found, or after [patience]; what is found later counts, too.
func (r *Reporter) ReportBreak(ctx context.Context, b *BrokenRequest) {
	if _, leaving := r.c.Leaving(b.Pick); leaving {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.look(context.WithoutCancel(ctx), b)
	}()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// look probes the endpoint that broke off a request.
func (r *Reporter) look(ctx context.Context, b *BrokenRequest) {
	found := r.prober.Probe(ctx, b.Pick.Address)
	r.c.Metrics.Tagged(map[string]string{"probe": found.String()}).Counter("requests_broken_off").Inc(1)
	if found == prober.Listening {
		return
	}
	life := r.c.Incarnation(b.Pick)
	if r.lines.Allow() {
		r.c.Logger.Info("endpoint ended under a request", "request", b.Request, "fingerprint", b.Fingerprint, "endpoint", b.Pick.Endpoint,
			"born", life, "events", b.Events, "probe", found)
	}
	e := quarantiner.Ending{Endpoint: b.Pick.Endpoint, Born: life, Weak: b.Events > 0}
	if found == prober.Refused && r.RecordEnding(b.Fingerprint, e) {
		r.c.OnNews(true)
	}
}

// Answered clears a request that an endpoint has run to its end.
func (r *Reporter) Answered(f identifier.Fingerprint) {
	if r.Quarantiner.RecordAnswer(f) {
		r.c.OnNews(true)
	}
}

// Lift clears a request as an operator asks, and reports whether anything counted against it.
func (r *Reporter) Lift(f identifier.Fingerprint) bool {
	lifted := r.Quarantiner.Lift(f)
	r.c.Logger.Info("request lifted from quarantine", "fingerprint", f, "known", lifted)
	if lifted {
		r.c.OnNews(true)
	}
	return lifted
}

// changed notes that a request came to be held or free again.
func (r *Reporter) changed(s *quarantiner.Suspect) {
	message, state := "request free again", "free"
	if s.Held {
		message, state = "request held back from all endpoints", "held"
	}
	r.c.Metrics.Tagged(map[string]string{"state": state}).Counter("quarantine_changes").Inc(1)
	if r.lines.Allow() {
		r.c.Logger.Warn(message, "fingerprint", s.Fingerprint, "endings", describe(s.Endings))
	}
}

// describe lists endings for the log.
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

// RPCSuspects is what this daemon tells others.
func (r *Reporter) RPCSuspects() []*rpc.Suspect {
	list := r.Quarantiner.Updates()
	out := make([]*rpc.Suspect, len(list))
	now := time.Now()
	for i, s := range list {
		out[i] = &rpc.Suspect{Fingerprint: string(s.Fingerprint)}
		for _, e := range s.Endings {
			out[i].Endings = append(out[i].Endings, &rpc.Ending{
				Endpoint: string(e.Endpoint), Born: int64(e.Born), Host: string(e.Seen), AgeMilli: now.Sub(e.At).Milliseconds(),
				Weak: e.Weak, Void: e.Void,
			})
		}
	}
	return out
}

// MergeSuspects takes in what another daemon tells.
func (r *Reporter) MergeSuspects(told []*rpc.Suspect) {
	if len(told) == 0 {
		return
	}
	list := make([]quarantiner.Suspect, len(told))
	now := time.Now()
	for i, s := range told {
		list[i].Fingerprint = identifier.Fingerprint(s.GetFingerprint())
		for _, e := range s.GetEndings() {
			list[i].Endings = append(list[i].Endings, quarantiner.Ending{
				Endpoint: identifier.Endpoint(e.GetEndpoint()), Born: identifier.StartTime(e.GetBorn()), Seen: identifier.Host(e.GetHost()),
				At: now.Add(-age(e)), Weak: e.GetWeak(), Void: e.GetVoid(),
			})
		}
	}
	if r.Merge(list) {
		r.c.OnNews(false)
	}
}

// age is how long ago an ending was; a day for all that is older.
func age(e *rpc.Ending) time.Duration {
	return time.Duration(min(max(e.GetAgeMilli(), 0), (24*time.Hour).Milliseconds())) * time.Millisecond
}
