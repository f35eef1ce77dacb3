// Package handler is the callers' side of an entry daemon.
//
// # The path of a request
//
//	parse → rules → admission → claim → route and send → relay → record
//
// Each step may refuse, and says which of the three outcomes holds. Nothing on
// this path waits for the platform but the claim of a keyed request.
//
// # Coming back
//
// A caller whose stream broke repeats its request with the last event id, at
// any daemon; one whose answer was not ready when its daemon had to leave is
// redirected to /v1/answers/TOKEN. Both go through package carrier and the
// resume token, and skip admission: they were accepted once.
//
// # Stopping
//
// [Handler.Drain] goes through the phases of a graceful stop: first readiness
// fails while everything is still served, for as long as the balancer may
// lag; then new requests are refused as not run; at the end, what is not yet
// answered is handed over.
//
// # Usage
//
//	h := handler.New(handler.Config{...})
//	server := http.Server{Handler: h}
//	h.Drain(ctx, deadline)
package handler

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"brasschute/internal/config/compiler"
	"brasschute/internal/config/document"
	"brasschute/internal/config/keeper"
	"brasschute/internal/core/identifier"
	"brasschute/internal/route/limiter"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/call"
	"brasschute/internal/serve/carrier"
	"brasschute/internal/serve/claimer"
	"brasschute/internal/serve/forwarder"
	"brasschute/internal/serve/parser"
	"brasschute/internal/serve/recorder"
	"brasschute/internal/serve/refusal"
	"brasschute/internal/serve/sealer"
	"brasschute/internal/serve/streamer"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

const (
	retryAfter   = 2 * time.Second
	claimTimeout = 3 * time.Second
	handOverTime = time.Second
)

// Phase is how far a graceful stop has come.
type Phase int

// The phases, in their order.
const (
	Serving Phase = iota
	// Lame: not ready, but everything is still served.
	Lame
	// Refusing: new requests are refused as not run.
	Refusing
	// HandingOver: what is unfinished goes to peers.
	HandingOver
)

// String names the phase.
func (p Phase) String() string {
	return [...]string{"serving", "lame", "refusing", "handing over"}[p]
}

// Daemons counts the living daemons of a zone.
type Daemons interface {
	AliveInZone(identifier.AvailabilityZone) int
}

// Config names the handler's collaborators.
type Config struct {
	Host      identifier.Host
	Zone      identifier.AvailabilityZone
	Keeper    *keeper.Keeper
	Parser    *parser.Parser
	Limiter   *limiter.Limiter
	Registry  *registry.Registry
	Claimer   *claimer.Claimer
	Streamer  *streamer.Streamer
	Forwarder *forwarder.Forwarder
	Carrier   *carrier.Carrier
	Sealer    *sealer.Sealer
	Recorder  *recorder.Recorder
	Daemons   Daemons
	Logger    *log.Logger
	Metrics   tally.Scope
	// Earn is called once a request, for the retry budget.
	Earn func()
}

// Handler serves callers. Use New.
type Handler struct {
	c   Config
	mux http.ServeMux

	mu       sync.Mutex
	phase    Phase
	inFlight int
	idle     chan struct{}
}

var _ http.Handler = (*Handler)(nil)

// New returns a handler that serves.
func New(c Config) *Handler {
	h := &Handler{c: c, idle: make(chan struct{})}
	h.mux.HandleFunc("GET /livez", h.live)
	h.mux.HandleFunc("GET /readyz", h.ready)
	h.mux.HandleFunc("GET /v1/models", h.models)
	h.mux.HandleFunc("GET /v1/answers/{token}", h.answers)
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

// Phase returns how far a graceful stop has come.
func (h *Handler) Phase() Phase {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.phase
}

// Records returns the recorder, for explanations.
func (h *Handler) Records() *recorder.Recorder { return h.c.Recorder }

// InFlight counts the requests being answered.
func (h *Handler) InFlight() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inFlight
}

func (h *Handler) live(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if h.Phase() != Serving || h.c.Keeper.InForce() == nil {
		http.Error(w, h.Phase().String(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (h *Handler) unknown(w http.ResponseWriter, r *http.Request) {
	refusal.New(refusal.UnknownService, "no such path").Write(w, parser.Identify(r))
}

// enter counts a request in; it reports false when requests are refused.
func (h *Handler) enter(resumed bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.phase == HandingOver || h.phase == Refusing && !resumed {
		return false
	}
	h.inFlight++
	return true
}

func (h *Handler) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight--
	if h.inFlight == 0 && h.phase >= Refusing {
		h.closeIdle()
	}
}

func (h *Handler) closeIdle() {
	select {
	case <-h.idle:
	default:
		close(h.idle)
	}
}

func (h *Handler) setPhase(p Phase) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.phase = max(h.phase, p)
	if h.inFlight == 0 && h.phase >= Refusing {
		h.closeIdle()
	}
}

// Drain stops gracefully: lame for a time, then refusing until everything is
// answered or the deadline is near, then handing over. It returns when no
// request is in flight any more.
func (h *Handler) Drain(lame time.Duration, deadline time.Time) {
	h.setPhase(Lame)
	wait(nil, min(lame, time.Until(deadline)/2))
	h.setPhase(Refusing)
	wait(h.idle, time.Until(deadline)-handOverTime)
	h.setPhase(HandingOver)
	h.c.Streamer.HandOver()
	wait(h.idle, time.Until(deadline)+handOverTime)
}

func wait(done <-chan struct{}, d time.Duration) {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

// request serves model and plain requests alike up to the routing.
func (h *Handler) request(w http.ResponseWriter, r *http.Request) {
	if !h.enter(r.Header.Get("Last-Event-ID") != "") {
		h.refuseEarly(w, r, refusal.New(refusal.Draining, "this host is leaving; another one will answer").After(time.Second))
		return
	}
	defer h.leave()
	s := h.c.Keeper.InForce()
	if s == nil {
		h.refuseEarly(w, r, refusal.New(refusal.NoConfiguration, "no configuration is in force yet").After(retryAfter))
		return
	}
	h.c.Earn()
	c, problem := h.c.Parser.Parse(w, r, s.Plan, s.Number())
	w.Header().Set("Request-Id", string(c.Request))
	if c.Traceparent != "" {
		w.Header().Set("Traceparent", c.Traceparent)
	}
	rec := h.record(c)
	if problem != nil {
		h.refuse(w, c, rec, problem)
		return
	}
	c.Pool, _ = c.Plan.Pool(c.Service.Pool)
	if c.LastEventID != "" && c.Service.Kind == document.KindModel {
		h.resume(w, r, c, rec)
		return
	}
	if problem := h.decide(c, rec); problem != nil {
		h.refuse(w, c, rec, problem)
		return
	}
	h.admitted(w, r, c, rec)
}

func (h *Handler) refuseEarly(w http.ResponseWriter, r *http.Request, problem *refusal.Problem) {
	id := parser.Identify(r)
	w.Header().Set("Request-Id", string(id))
	problem.Write(w, id)
	h.finish(&recorder.Record{Request: id, Host: h.c.Host, Received: time.Now()}, problem)
}

func (h *Handler) record(c *call.Call) *recorder.Record {
	rec := &recorder.Record{
		Request: c.Request, Instance: c.Instance, Host: h.c.Host, Received: c.Received, Configuration: c.Number,
		NonIdempotent: c.NonIdempotent,
	}
	if c.Organisation != nil {
		rec.Organisation = c.Organisation.Name
	}
	if c.Service != nil {
		rec.Service = c.Service.Name
	}
	return rec
}

// decide applies the rules.
func (h *Handler) decide(c *call.Call, rec *recorder.Record) *refusal.Problem {
	action, i, err := c.Plan.Match(h.facts(c))
	if err != nil {
		h.c.Logger.Warn("a rule's condition failed and was skipped", "request", c.Request, "error", err)
	}
	c.Rule = i
	if action.Priority != "" {
		c.Priority = action.Priority
	}
	if action.Pool != "" {
		c.Pool, _ = c.Plan.Pool(action.Pool)
	}
	c.Zones = action.AvailabilityZones
	c.HoldFor = action.HoldFor
	rec.Rule, rec.Priority, rec.Pool = c.Plan.RuleName(i), c.Priority, c.Pool.Name
	if action.Refuse == "" {
		return nil
	}
	problem := refusal.New(refusal.RefusedByRule, action.Refuse)
	if action.RetryAfter > 0 {
		problem = problem.After(action.RetryAfter.Std())
	}
	return problem
}

func (h *Handler) facts(c *call.Call) *compiler.Facts {
	slots := h.c.Registry.Slots(c.Pool.Name, c.Pool.MaxInFlight)
	now := time.Now()
	f := &compiler.Facts{
		Organisation: string(c.Organisation.Name), Service: string(c.Service.Name), Kind: string(c.Service.Kind),
		Priority: c.Priority, Idempotent: !c.NonIdempotent, Bytes: len(c.Body), PromptTokens: int(c.PromptTokens),
		Clock: now.Format("15:04"), Date: now.Format(time.DateOnly), Weekday: now.Weekday().String(),
		AvailabilityZone: string(h.c.Zone), Headers: make(map[string]string, len(c.Header)),
	}
	if slots > 0 {
		f.Load = float64(h.c.Limiter.InFlight()) / float64(slots)
	}
	for name := range c.Header {
		f.Headers[lower(name)] = c.Header.Get(name)
	}
	return f
}

// admitted waits for admission and a claim, and then serves.
func (h *Handler) admitted(w http.ResponseWriter, r *http.Request, c *call.Call, rec *recorder.Record) {
	ctx, cancel := context.WithTimeout(r.Context(), c.Timeout)
	defer cancel()
	release, problem := h.admit(ctx, c, rec)
	if problem != nil {
		h.refuse(w, c, rec, problem)
		return
	}
	defer release()
	claim, problem, done := h.claim(ctx, w, c, rec)
	if problem != nil {
		h.refuse(w, c, rec, problem)
		return
	}
	if done {
		h.finish(rec, nil)
		return
	}
	if c.Service.Kind == document.KindModel {
		h.model(ctx, w, &streamer.Job{Call: c, Record: rec}, claim)
		return
	}
	h.plain(ctx, w, c, rec, claim)
}

func (h *Handler) admit(ctx context.Context, c *call.Call, rec *recorder.Record) (func(), *refusal.Problem) {
	begun := time.Now()
	release, err := h.c.Limiter.Acquire(ctx, &limiter.Ticket{
		Organisation: c.Organisation.Name, Pool: c.Pool.Name, Rank: c.Plan.PriorityRank(c.Priority),
		Limit: limiter.Part(c.Organisation.Concurrency, h.c.Registry.Zones(), h.c.Daemons.AliveInZone(h.c.Zone)),
		Queue: c.Organisation.Queue,
		Slots: max(h.c.Registry.Slots(c.Pool.Name, c.Pool.MaxInFlight), 1),
	})
	rec.WaitedMS = float64(time.Since(begun).Microseconds()) / 1000
	var refused *limiter.Refused
	switch {
	case err == nil:
		return release, nil
	case errors.As(err, &refused):
		return nil, refusal.New(refusal.OverLimit, refused.Reason).After(refused.RetryAfter)
	default:
		return nil, refusal.New(refusal.DeadlinePassed, "the deadline passed in the queue").After(retryAfter)
	}
}

// claim claims a keyed request; done means that the answer of the earlier run
// has been sent.
func (h *Handler) claim(ctx context.Context, w http.ResponseWriter, c *call.Call, rec *recorder.Record) (claim *claimer.Claim, problem *refusal.Problem, done bool) {
	if c.Key == "" {
		return nil, nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim, err := h.c.Claimer.Claim(ctx, &claimer.Key{
		Organisation: c.Organisation.Name, Service: c.Service.Name, Key: c.Key, Digest: c.Digest,
	})
	var duplicate *claimer.Duplicate
	switch {
	case err == nil:
		rec.Claim = "claimed"
		return claim, nil, false
	case errors.As(err, &duplicate):
		problem, done = h.duplicate(w, duplicate, rec)
		return nil, problem, done
	case c.Service.EndpointsDeduplicate:
		rec.Claim = "not claimed: the endpoints deduplicate keys"
		return nil, nil, false
	}
	rec.Claim = err.Error()
	return nil, refusal.New(refusal.ClaimImpossible, "the key could not be claimed; repeat the request with the same key").After(retryAfter), false
}

func (h *Handler) duplicate(w http.ResponseWriter, d *claimer.Duplicate, rec *recorder.Record) (problem *refusal.Problem, done bool) {
	rec.Claim = d.Error()
	switch {
	case !d.SameRequest:
		return refusal.New(refusal.KeyReused, "the Idempotency-Key was used for another request"), false
	case !d.Prior.Done:
		return refusal.New(refusal.InProgress, "a request with this key is under way, or its daemon failed and its outcome is not known").
			With(refusal.Unknown).After(retryAfter), false
	case d.Prior.ContentType == heldType:
		collect(w, string(d.Prior.Answer))
		return nil, true
	case len(d.Prior.Answer) == 0:
		return refusal.New(refusal.AlreadyRan, "the request with this key ran; its answer is too large to be kept").With(refusal.Ran), false
	}
	w.Header().Set("Content-Type", d.Prior.ContentType)
	w.Header().Set("Idempotent-Replayed", "true")
	w.WriteHeader(d.Prior.Status)
	_, _ = w.Write(d.Prior.Answer)
	return nil, true
}

// settle tells the claim how the request ended. A claim whose outcome is
// unknown stays, so that the key never runs again.
func settle(claim *claimer.Claim, err error, status int, contentType string, answer []byte) {
	if claim == nil {
		return
	}
	var problem *refusal.Problem
	switch {
	case err == nil:
		claim.Finish(status, contentType, answer)
	case errors.As(err, &problem) && problem.Outcome == refusal.NotRun:
		claim.Release()
	}
}

func (h *Handler) plain(ctx context.Context, w http.ResponseWriter, c *call.Call, rec *recorder.Record, claim *claimer.Claim) {
	a, err := h.c.Forwarder.Forward(ctx, c, rec)
	if err != nil {
		settle(claim, err, 0, "", nil)
		h.fail(w, c, rec, err)
		return
	}
	h.release(ctx, w, &finished{c: c, rec: rec, claim: claim, answer: a})
	h.finish(rec, nil)
}

func (h *Handler) refuse(w http.ResponseWriter, c *call.Call, rec *recorder.Record, problem *refusal.Problem) {
	problem.Write(w, c.Request)
	h.finish(rec, problem)
}

// fail answers with the refusal of a request, if its caller is still there.
func (h *Handler) fail(w http.ResponseWriter, c *call.Call, rec *recorder.Record, err error) {
	var problem *refusal.Problem
	if errors.As(err, &problem) {
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
