// Package handler is the HTTP handler for callers of an entry daemon.
//
// A request passes these steps:
//
//	parse → rules → admission → claim → route and send → relay → record
//
// Each step may refuse the request and states which of the three outcomes holds.
// The only step that waits for the platform is the claim of a keyed request.
//
// A caller whose stream broke repeats its request with the last event id, at any
// daemon. A caller whose answer was not ready when its daemon had to leave is
// redirected to /v1/answers/TOKEN. Both use the resume token and package transferrer,
// and skip admission, as they were admitted before.
//
// [Handler.Drain] goes through the phases of a graceful stop. First readiness fails
// while everything is still served, for as long as the balancer may lag. Then new
// requests are refused as not run. At the end, unanswered requests are handed over.
//
// # Usage
//
//	h := handler.New(handler.Config{...})
//	server := http.Server{Handler: h}
//	h.Drain(lameDuck, deadline)
package handler

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"brasschute/internal/config/document"
	"brasschute/internal/config/keeper"
	"brasschute/internal/core/identifier"
	"brasschute/internal/route/limiter"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/bodyreader"
	"brasschute/internal/serve/call"
	"brasschute/internal/serve/claimer"
	"brasschute/internal/serve/forwarder"
	"brasschute/internal/serve/parser"
	"brasschute/internal/serve/recorder"
	"brasschute/internal/serve/refusal"
	"brasschute/internal/serve/sealer"
	"brasschute/internal/serve/streamer"
	"brasschute/internal/serve/transferrer"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

const (
	retryAfter      = 2 * time.Second
	claimTimeout    = 3 * time.Second
	handOverReserve = time.Second
)

// Daemons counts the live daemons of a zone.
type Daemons interface {
	AliveInZone(identifier.AvailabilityZone) int
}

// Config holds the dependencies of a Handler.
type Config struct {
	Host   identifier.Host
	Zone   identifier.AvailabilityZone
	Keeper *keeper.Keeper
	Parser *parser.Parser
	// Bodies reads the bodies of requests, for the parser, and sends refusals of requests that were not read.
	Bodies      *bodyreader.Reader
	Limiter     *limiter.Limiter
	Registry    *registry.Registry
	Claimer     *claimer.Claimer
	Streamer    *streamer.Streamer
	Forwarder   *forwarder.Forwarder
	Transferrer *transferrer.Transferrer
	Sealer      *sealer.Sealer
	Recorder    *recorder.Recorder
	Daemons     Daemons
	Logger      *log.Logger
	Metrics     tally.Scope
	// EarnRetry is called once for each request, to fill the retry budget.
	EarnRetry func()
}

// Handler is the HTTP handler for callers. Use New.
type Handler struct {
	c   Config
	mux http.ServeMux

	mu       sync.Mutex
	phase    Phase
	inFlight int
	idle     chan struct{}
}

var _ http.Handler = (*Handler)(nil)

// New returns a handler in phase Serving.
func New(c Config) *Handler {
	h := &Handler{c: c, idle: make(chan struct{})}
	h.mux.HandleFunc("GET /livez", h.withoutBody(h.live))
	h.mux.HandleFunc("GET /readyz", h.withoutBody(h.ready))
	h.mux.HandleFunc("GET /v1/models", h.withoutBody(h.models))
	h.mux.HandleFunc("GET /v1/answers/{token}", h.withoutBody(h.answers))
	h.mux.HandleFunc(parser.ChatPath, h.request)
	h.mux.HandleFunc(parser.CompletionsPath, h.request)
	h.mux.HandleFunc(parser.ServicesPrefix, h.request)
	h.mux.HandleFunc("/", h.unknown)
	return h
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.Phase() != Serving {
		w.Header().Set("Connection", "close")
	}
	h.mux.ServeHTTP(w, r)
}

// Recorder returns the recorder, for explanations.
func (h *Handler) Recorder() *recorder.Recorder { return h.c.Recorder }

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inFlight
}

func (h *Handler) live(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if h.Phase() != Serving || h.c.Keeper.Current() == nil {
		http.Error(w, h.Phase().String(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (h *Handler) unknown(w http.ResponseWriter, r *http.Request) {
	h.c.Bodies.Refuse(w, r, func() { refusal.New(refusal.UnknownService, "no such path").Write(w, parser.RequestID(r)) })
}

// RefuseHead refuses a request for whose head there is no room.
func (h *Handler) RefuseHead(w http.ResponseWriter, r *http.Request, reason string) {
	id := parser.RequestID(r)
	problem := refusal.New(refusal.Full, reason).WithRetryAfter(retryAfter)
	h.c.Bodies.RefuseAtOnce(w, func() { problem.Write(w, id) })
	h.finish(&recorder.Record{Request: id, Host: h.c.Host, Received: time.Now()}, problem)
}

// withoutBody returns a handler of requests that need no body.
func (h *Handler) withoutBody(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		h.c.Bodies.Discard(w, r)
		next(w, r)
	}
}

// request serves model and plain requests.
func (h *Handler) request(w http.ResponseWriter, r *http.Request) {
	if !h.enter(r.Header.Get("Last-Event-ID") != "") {
		h.refuseEarly(w, r, refusal.New(refusal.Draining, "this host is leaving; another one will answer").WithRetryAfter(time.Second))
		return
	}
	defer h.leave()
	s := h.c.Keeper.Current()
	if s == nil {
		h.refuseEarly(w, r, refusal.New(refusal.NoConfiguration, "no configuration is in force yet").WithRetryAfter(retryAfter))
		return
	}
	h.c.EarnRetry()
	c, problem := h.c.Parser.Parse(w, r, s.Plan, s.Number())
	w.Header().Set("Request-Id", string(c.Request))
	if c.Traceparent != "" {
		w.Header().Set("Traceparent", c.Traceparent)
	}
	defer c.Release()
	rec := h.record(c)
	if problem != nil {
		h.c.Bodies.Refuse(w, r, func() { h.refuse(w, c, rec, problem) })
		return
	}
	c.Pool, _ = c.Plan.Pool(c.Service.Pool)
	if c.LastEventID != "" && c.Service.Kind == document.KindModel {
		h.resume(w, r, c, rec)
		return
	}
	if problem := h.applyRules(c, rec); problem != nil {
		h.refuse(w, c, rec, problem)
		return
	}
	h.serveAdmitted(w, r, c, rec)
}

func (h *Handler) refuseEarly(w http.ResponseWriter, r *http.Request, problem *refusal.Problem) {
	id := parser.RequestID(r)
	w.Header().Set("Request-Id", string(id))
	boundWrites(w)
	h.c.Bodies.Refuse(w, r, func() { problem.Write(w, id) })
	h.finish(&recorder.Record{Request: id, Host: h.c.Host, Received: time.Now()}, problem)
}

func (h *Handler) servePlain(ctx context.Context, w http.ResponseWriter, c *call.Call, rec *recorder.Record, claim *claimer.Claim) {
	a, err := h.c.Forwarder.Forward(ctx, c, rec)
	if err != nil {
		settleClaim(claim, err, 0, "", nil)
		h.fail(w, c, rec, err)
		return
	}
	defer a.Release()
	h.release(ctx, w, &finishedAnswer{c: c, rec: rec, claim: claim, answer: a})
	h.finish(rec, nil)
}

func (h *Handler) refuse(w http.ResponseWriter, c *call.Call, rec *recorder.Record, problem *refusal.Problem) {
	boundWrites(w)
	problem.Write(w, c.Request)
	h.finish(rec, problem)
}

// boundWrites ends writes to a caller that does not read, which would hold its connection and its answer for ever. The
// server's connections lift the bound between two requests.
func boundWrites(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// fail answers with the refusal of a request. If err is not a refusal, the caller
// disconnected and nothing is sent.
func (h *Handler) fail(w http.ResponseWriter, c *call.Call, rec *recorder.Record, err error) {
	var problem *refusal.Problem
	if errors.As(err, &problem) {
		boundWrites(w)
		problem.Write(w, c.Request)
	}
	h.finish(rec, err)
}

// finish records, counts and logs the end of a request.
func (h *Handler) finish(rec *recorder.Record, err error) {
	rec.TookMS = float64(time.Since(rec.Received).Microseconds()) / 1000
	rec.Outcome = "answered"
	kind := "answered"
	var problem *refusal.Problem
	switch {
	case errors.As(err, &problem):
		rec.Outcome = problem.Error()
		kind = string(problem.Kind())
	case err != nil:
		rec.Outcome = err.Error()
		kind = "interrupted"
	}
	h.c.Metrics.Tagged(map[string]string{"outcome": kind}).Counter("requests").Inc(1)
	h.c.Metrics.Timer("request_seconds").Record(time.Since(rec.Received))
	if rec.RecomputedTokens > 0 {
		h.c.Metrics.Counter("recomputed_tokens").Inc(int64(rec.RecomputedTokens))
	}
	h.c.Recorder.Add(rec)
	h.c.Logger.Info("request", "request", rec.Request, "organisation", rec.Organisation, "service", rec.Service,
		"configuration", rec.Configuration, "rule", rec.Rule, "attempts", len(rec.Attempts), "outcome", rec.Outcome,
		"milliseconds", rec.TookMS)
}
