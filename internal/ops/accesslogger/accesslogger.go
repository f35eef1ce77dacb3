// Package accesslogger records how requests end: a log line for operators, counters and
// histograms for alerts.
//
// Writing a line takes about 10 µs of processor time. Therefore at most 50 failed requests per
// second are logged and 5 successful ones, as samples. The metrics count all requests.
//
// # Usage
//
//	l := accesslogger.New(accesslogger.Config{Logger: logger, Metrics: scope})
//	l.RequestEnded(q, &result)
package accesslogger

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"brasschute/internal/route/selector"
	"brasschute/internal/serve/placer"
	"brasschute/internal/serve/relayer"
	"brasschute/internal/serve/request"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

const (
	// maxFailedLinesPerSecond and maxSuccessLinesPerSecond bound the access log of a daemon to
	// about 20 KB per second.
	maxFailedLinesPerSecond  = 50
	maxSuccessLinesPerSecond = 5
)

// durationBuckets range from the duration of a plain request (ms) to that of the longest stream
// (s).
var durationBuckets = tally.DurationBuckets{
	time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond, 700 * time.Millisecond,
	time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second, 10 * time.Second, 15 * time.Second,
}

// Config holds the destinations of log lines and metrics.
type Config struct {
	Logger  *log.Logger
	Metrics tally.Scope
}

// Logger records how requests end. It is safe for concurrent use.
type Logger struct {
	c              Config
	failedLimiter  *rate.Limiter
	successLimiter *rate.Limiter

	mu          sync.Mutex
	seriesByKey map[seriesKey]*series
}

// seriesKey holds the tags of a series.
type seriesKey struct {
	outcome relayer.Outcome
	status  int
	service string
}

// series holds the metrics of the requests with one seriesKey.
type series struct {
	ended       tally.Counter
	timeToFirst tally.Histogram
	duration    tally.Histogram
}

// New returns an access logger with the given configuration.
func New(c Config) *Logger {
	return &Logger{
		c: c, failedLimiter: rate.NewLimiter(maxFailedLinesPerSecond, maxFailedLinesPerSecond),
		successLimiter: rate.NewLimiter(maxSuccessLinesPerSecond, maxSuccessLinesPerSecond), seriesByKey: make(map[seriesKey]*series),
	}
}

// RequestEnded counts an ended request and logs it unless the limit of lines is reached.
func (l *Logger) RequestEnded(q *request.Request, r *relayer.Result) {
	took := time.Since(q.Received)
	s := l.series(seriesKey{r.Outcome, r.Status, string(q.Service)})
	s.ended.Inc(1)
	s.duration.RecordDuration(took)
	if r.TimeToFirst > 0 {
		s.timeToFirst.RecordDuration(r.TimeToFirst)
	}
	good := r.Outcome == relayer.Answered && r.Status < 300
	if good && !l.successLimiter.Allow() || !good && !l.failedLimiter.Allow() {
		return
	}
	l.logLine(q, r, took)
}

func (l *Logger) logLine(q *request.Request, r *relayer.Result, took time.Duration) {
	fields := []any{
		"request", q.ID, "outcome", r.Outcome, "status", r.Status, "took_ms", took.Milliseconds(),
		"first_ms", r.TimeToFirst.Milliseconds(), "events", r.Events, "configuration", q.ConfigurationNumber, "service", q.Service,
		"patience_ms", q.ClientTimeout.Milliseconds(), "tokens", q.PromptTokens,
	}
	if q.Route != nil {
		fields = append(fields, "route", q.Route.Name)
	}
	if q.Organisation != nil {
		fields = append(fields, "organisation", q.Organisation.Name)
	}
	if q.LastEventNumber > 0 {
		fields = append(fields, "after_event", q.LastEventNumber, "resumes", q.Resumes)
	}
	if o := r.Origin; o != nil {
		fields = append(fields, "origin", fmt.Sprintf("%s %s, %d of %d daemons answered", o.Source, o.Version, o.Answered, o.Asked))
	}
	if r.Fingerprint != "" {
		fields = append(fields, "fingerprint", r.Fingerprint, "parts", fmt.Sprint(q.SharedParts()))
	}
	if r.Reason != "" {
		fields = append(fields, "reason", r.Reason)
	}
	if len(r.Attempts) > 0 {
		fields = append(fields, "attempts", formatAttempts(r.Attempts))
	}
	if r.Schedule != nil {
		fields = append(fields, "scheduled", formatSchedule(r.Schedule))
	}
	if r.RefusedConnections > 0 {
		fields = append(fields, "refused_connections", r.RefusedConnections)
	}
	if r.Excluded != (selector.Excluded{}) {
		fields = append(fields, "excluded", formatExcluded(&r.Excluded))
	}
	l.c.Logger.Info("request ended", fields...)
}

// formatExcluded returns the number of endpoints excluded for each reason.
func formatExcluded(x *selector.Excluded) string {
	return fmt.Sprintf("%d leaving, %d ejected, %d full, %d tried, %d unknown service, %d silent, %d of another version, %d limited, %d resting",
		x.Leaving, x.Ejected, x.Full, x.Tried, x.NotFound, x.Silent, x.Version, x.Limited, x.BackingOff)
}

// formatSchedule returns how coordinators decided.
func formatSchedule(s *placer.Schedule) string {
	return fmt.Sprintf("coordinator %s decision %s waited_ms %d predicted_ms %d moved %d",
		s.Coordinator, s.Decision, s.Waited.Milliseconds(), s.Predicted.Milliseconds(), s.Moved)
}

// formatAttempts returns the attempts separated by semicolons.
func formatAttempts(list []relayer.Attempt) string {
	var b strings.Builder
	for i, a := range list {
		if i > 0 {
			b.WriteString("; ")
		}
		exact := ""
		if a.Exact {
			exact = " (exact)"
		}
		peer := ""
		if a.Peer != "" {
			peer = " through " + string(a.Peer)
		}
		version, after, events := "", "", ""
		if a.Version != "" {
			version = " version " + string(a.Version)
		}
		if a.AfterEvent > 0 {
			after = fmt.Sprintf(" after event %d", a.AfterEvent)
		}
		if a.Verified != "" {
			after += " verified by " + string(a.Verified)
		}
		if a.Events > 0 {
			events = fmt.Sprintf(" events %d", a.Events)
		}
		fmt.Fprintf(&b, "%s%s%s%s at %dms predicted %dms cached %d%s%s took %dms: %s", a.Endpoint, version, after, peer, a.At.Milliseconds(),
			a.Predicted.Milliseconds(), a.Cached, exact, events, a.Took.Milliseconds(), a.Outcome)
	}
	return b.String()
}

// series returns the metrics for a key and creates them if necessary.
func (l *Logger) series(k seriesKey) *series {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.seriesByKey[k]
	if s == nil {
		scope := l.c.Metrics.Tagged(map[string]string{"outcome": string(k.outcome), "status": fmt.Sprint(k.status), "service": k.service})
		s = &series{
			ended: scope.Counter("requests_ended"), timeToFirst: scope.Histogram("first_event_seconds", durationBuckets),
			duration: scope.Histogram("request_seconds", durationBuckets),
		}
		l.seriesByKey[k] = s
	}
	return s
}
