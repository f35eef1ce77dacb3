// Package chronicler writes down how requests ended: a log line for people,
// counters and histograms for alerts.
//
// # Volume
//
// A line costs about 10 µs of processor time. Requests that failed get one each
// up to [failedPerSecond]; of those that were answered [answeredPerSecond] are
// written, as samples. Counters count all.
//
// # Usage
//
//	c := chronicler.New(chronicler.Config{Logger: l, Metrics: scope})
//	c.RequestEnded(q, &result)
package accesslogger

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"brasschute/internal/route/selector"
	"brasschute/internal/serve/relayer"
	"brasschute/internal/serve/request"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

const (
	// failedPerSecond and answeredPerSecond bound the lines of one daemon to
	// some 20 KB a second.
	failedPerSecond   = 50
	answeredPerSecond = 5
)

// buckets reach from the work of a plain call (ms) to the longest stream (s).
var buckets = tally.DurationBuckets{
	time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond, 700 * time.Millisecond,
	time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second, 10 * time.Second, 15 * time.Second,
}

// Config names where to write.
type Config struct {
	Logger  *log.Logger
	Metrics tally.Scope
}

// Logger records the ends of requests. It is safe for concurrent use.
type Logger struct {
	c        Config
	failed   *rate.Limiter
	answered *rate.Limiter

	mu     sync.Mutex
	counts map[key]*series
}

type key struct {
	outcome relayer.Outcome
	status  int
	service string
}

type series struct {
	ended tally.Counter
	first tally.Histogram
	took  tally.Histogram
}

// New returns a chronicler.
func New(c Config) *Logger {
	return &Logger{
		c: c, failed: rate.NewLimiter(failedPerSecond, failedPerSecond),
		answered: rate.NewLimiter(answeredPerSecond, answeredPerSecond), counts: make(map[key]*series),
	}
}

// RequestEnded writes down how a request ended.
func (c *Logger) RequestEnded(q *request.Request, r *relayer.Result) {
	took := time.Since(q.Received)
	s := c.series(key{r.Outcome, r.Status, string(q.Service)})
	s.ended.Inc(1)
	s.took.RecordDuration(took)
	if r.TimeToFirst > 0 {
		s.first.RecordDuration(r.TimeToFirst)
	}
	good := r.Outcome == relayer.Answered && r.Status < 300
	if good && !c.answered.Allow() || !good && !c.failed.Allow() {
		return
	}
	c.line(q, r, took)
}

func (c *Logger) line(q *request.Request, r *relayer.Result, took time.Duration) {
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
	if r.Fingerprint != "" {
		fields = append(fields, "fingerprint", r.Fingerprint)
	}
	if r.Reason != "" {
		fields = append(fields, "reason", r.Reason)
	}
	if len(r.Attempts) > 0 {
		fields = append(fields, "attempts", attempts(r.Attempts))
	}
	if r.Excluded != (selector.Excluded{}) {
		fields = append(fields, "excluded", excluded(&r.Excluded))
	}
	c.c.Logger.Info("request ended", fields...)
}

// excluded says why endpoints could not be chosen.
func excluded(x *selector.Excluded) string {
	return fmt.Sprintf("%d leaving, %d ejected, %d full, %d tried, %d unknown service, %d silent, %d of another version, %d limited, %d resting",
		x.Leaving, x.Ejected, x.Full, x.Tried, x.NotFound, x.Silent, x.Version, x.Limited, x.BackingOff)
}

func attempts(list []relayer.Attempt) string {
	var b strings.Builder
	for i, a := range list {
		if i > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "%s at %dms predicted %dms cached %d took %dms: %s", a.Endpoint, a.At.Milliseconds(),
			a.Predicted.Milliseconds(), a.Cached, a.Took.Milliseconds(), a.Outcome)
	}
	return b.String()
}

func (c *Logger) series(k key) *series {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.counts[k]
	if s == nil {
		scope := c.c.Metrics.Tagged(map[string]string{"outcome": string(k.outcome), "status": fmt.Sprint(k.status), "service": k.service})
		s = &series{
			ended: scope.Counter("requests_ended"), first: scope.Histogram("first_event_seconds", buckets),
			took: scope.Histogram("request_seconds", buckets),
		}
		c.counts[k] = s
	}
	return s
}
