package handler

import (
	"context"
	"errors"
	"net/http"
	"time"

	"brasschute/internal/config/compiler"
	"brasschute/internal/config/document"
	"brasschute/internal/route/limiter"
	"brasschute/internal/serve/call"
	"brasschute/internal/serve/claimer"
	"brasschute/internal/serve/recorder"
	"brasschute/internal/serve/refusal"
	"brasschute/internal/serve/streamer"
)

func (h *Handler) record(c *call.Call) *recorder.Record {
	rec := &recorder.Record{
		Request: c.Request, Instance: c.Instance, Host: h.c.Host, Received: c.Received, Configuration: c.ConfigurationNumber,
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

// applyRules applies the first rule that matches and returns its refusal, if any.
func (h *Handler) applyRules(c *call.Call, rec *recorder.Record) *refusal.Problem {
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
		problem = problem.WithRetryAfter(action.RetryAfter.Std())
	}
	return problem
}

func (h *Handler) facts(c *call.Call) *compiler.Facts {
	slots := h.c.Registry.Capacity(c.Pool.Name, c.Pool.MaxInFlight)
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

// serveAdmitted waits for admission and for the claim of a keyed request, and then
// serves the request.
func (h *Handler) serveAdmitted(w http.ResponseWriter, r *http.Request, c *call.Call, rec *recorder.Record) {
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
		h.serveModel(ctx, w, &streamer.Job{Call: c, Record: rec}, claim)
		return
	}
	h.servePlain(ctx, w, c, rec, claim)
}

func (h *Handler) admit(ctx context.Context, c *call.Call, rec *recorder.Record) (func(), *refusal.Problem) {
	begun := time.Now()
	release, err := h.c.Limiter.Acquire(ctx, &limiter.Ticket{
		Organisation: c.Organisation.Name, Pool: c.Pool.Name, Rank: c.Plan.PriorityRank(c.Priority),
		Limit:      limiter.Share(c.Organisation.Concurrency, h.c.Registry.ZoneCount(), h.c.Daemons.AliveInZone(h.c.Zone)),
		QueueLimit: c.Organisation.Queue,
		Slots:      max(h.c.Registry.Capacity(c.Pool.Name, c.Pool.MaxInFlight), 1),
	})
	rec.WaitedMS = float64(time.Since(begun).Microseconds()) / 1000
	var refused *limiter.RefusedError
	switch {
	case err == nil:
		return release, nil
	case errors.As(err, &refused):
		return nil, refusal.New(refusal.OverLimit, refused.Reason).WithRetryAfter(refused.RetryAfter)
	default:
		return nil, refusal.New(refusal.DeadlinePassed, "the deadline passed in the queue").WithRetryAfter(retryAfter)
	}
}

// claim claims the key of a keyed request. done means that the stored answer of an
// earlier run was sent.
func (h *Handler) claim(ctx context.Context, w http.ResponseWriter, c *call.Call, rec *recorder.Record) (claim *claimer.Claim, problem *refusal.Problem, done bool) {
	if c.IdempotencyKey == "" {
		return nil, nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim, err := h.c.Claimer.Claim(ctx, &claimer.Key{
		Organisation: c.Organisation.Name, Service: c.Service.Name, Key: c.IdempotencyKey, Digest: c.Digest,
	})
	var duplicate *claimer.Duplicate
	switch {
	case err == nil:
		rec.Claim = "claimed"
		return claim, nil, false
	case errors.As(err, &duplicate):
		problem, done = h.answerDuplicate(w, duplicate, rec)
		return nil, problem, done
	case c.Service.EndpointsDeduplicate:
		rec.Claim = "not claimed: the endpoints deduplicate keys"
		return nil, nil, false
	}
	rec.Claim = err.Error()
	return nil, refusal.New(refusal.ClaimImpossible, "the key could not be claimed; repeat the request with the same key").WithRetryAfter(retryAfter), false
}

func (h *Handler) answerDuplicate(w http.ResponseWriter, d *claimer.Duplicate, rec *recorder.Record) (problem *refusal.Problem, done bool) {
	rec.Claim = d.Error()
	switch {
	case !d.SameRequest:
		return refusal.New(refusal.KeyReused, "the Idempotency-Key was used for another request"), false
	case !d.Prior.Done:
		return refusal.New(refusal.InProgress, "a request with this key is under way, or its daemon failed and its outcome is not known").
			WithOutcome(refusal.Unknown).WithRetryAfter(retryAfter), false
	case d.Prior.ContentType == heldContentType:
		sendHeldNotice(w, string(d.Prior.Answer))
		return nil, true
	case len(d.Prior.Answer) == 0:
		return refusal.New(refusal.AlreadyRan, "the request with this key ran; its answer is too large to be kept").WithOutcome(refusal.Ran), false
	}
	w.Header().Set("Content-Type", d.Prior.ContentType)
	w.Header().Set("Idempotent-Replayed", "true")
	w.WriteHeader(d.Prior.Status)
	_, _ = w.Write(d.Prior.Answer)
	return nil, true
}

// settleClaim updates the claim with how the request ended. A claim whose outcome is
// unknown stays, so that the key never runs again.
func settleClaim(claim *claimer.Claim, err error, status int, contentType string, answer []byte) {
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
