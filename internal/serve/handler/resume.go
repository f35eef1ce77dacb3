package handler

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/frame"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/serve/call"
	"brasschute/internal/serve/claimer"
	"brasschute/internal/serve/parser"
	"brasschute/internal/serve/recorder"
	"brasschute/internal/serve/refusal"
	"brasschute/internal/serve/sealer"
	"brasschute/internal/serve/streamer"
)

// resume continues a stream whose caller came back with a resume token.
func (h *Handler) resume(w http.ResponseWriter, r *http.Request, c *call.Call, rec *recorder.Record) {
	t, err := h.c.Sealer.Open(c.LastEventID, c.Organisation.Name)
	if err != nil {
		h.fail(w, c, rec, refusal.New(refusal.ResumeRefused, "the Last-Event-ID is not valid here or has expired"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.Timeout)
	defer cancel()
	if e, ok := h.c.Transferrer.Fetch(ctx, t); ok {
		h.continueRequest(ctx, w, e, t, rec)
		return
	}
	c.Instance = t.Instance
	rec.Instance = t.Instance
	j := &streamer.Job{Call: c, Record: rec, Offset: t.Offset, Stream: t.Stream, Endpoint: t.Endpoint}
	j.Address = h.address(t.Endpoint)
	h.serveModel(ctx, w, j, nil)
}

func (h *Handler) address(e identifier.Endpoint) string {
	for _, c := range h.c.Registry.Endpoints() {
		if c.Endpoint == e {
			return c.Address
		}
	}
	return ""
}

// answers delivers an answer that was not ready when its daemon had to leave.
func (h *Handler) answers(w http.ResponseWriter, r *http.Request) {
	s := h.c.Keeper.Current()
	if s == nil || !h.enter(true) {
		h.refuseEarly(w, r, refusal.New(refusal.Draining, "this host cannot answer now").WithOutcome(refusal.Unknown).WithRetryAfter(time.Second))
		return
	}
	defer h.leave()
	o, problem := parser.Authenticate(r, s.Plan)
	if problem != nil {
		h.refuseEarly(w, r, problem)
		return
	}
	t, err := h.c.Sealer.Open(r.PathValue("token"), o.Name)
	if err != nil {
		h.refuseEarly(w, r, refusal.New(refusal.ResumeRefused, "the token is not valid here or has expired"))
		return
	}
	e, ok := h.c.Transferrer.Fetch(r.Context(), t)
	if !ok {
		h.refuseEarly(w, r, refusal.New(refusal.StreamLost, "no host holds this answer any more").WithOutcome(refusal.Unknown))
		return
	}
	rec := &recorder.Record{Request: requestID(t.Instance), Host: h.c.Host, Received: time.Now(), Organisation: o.Name}
	h.continueRequest(r.Context(), w, e, t, rec)
}

// requestID returns the request id of an instance, as callers use it.
func requestID(instance identifier.Request) identifier.Request {
	id, _, _ := strings.Cut(string(instance), "~")
	return identifier.Request(id)
}

// continueRequest finishes the request of an envelope. The caller has t.Offset of the
// tokens in the envelope.
func (h *Handler) continueRequest(ctx context.Context, w http.ResponseWriter, e *rpc.Envelope, t *sealer.Token, rec *recorder.Record) {
	if e.Held {
		h.collectHeld(ctx, w, e, rec)
		return
	}
	s := h.c.Keeper.Current()
	o := findOrganisation(&s.Plan.Configuration, t.Organisation)
	c, problem := h.c.Parser.Restore(&parser.SavedRequest{
		Request: requestID(t.Instance), Instance: t.Instance, Organisation: o, Body: e.Body, Completions: e.Completions,
	}, s.Plan, s.Number())
	if problem != nil {
		h.fail(w, c, rec, problem.WithOutcome(refusal.Unknown))
		return
	}
	c.NonIdempotent, c.Streaming, c.Priority = e.NonIdempotent, e.Streaming, e.Priority
	c.HoldFor = identifier.Service(e.HoldFor)
	c.Pool, _ = c.Plan.Pool(identifier.Pool(e.Pool))
	if c.Pool == nil {
		c.Pool, _ = c.Plan.Pool(c.Service.Pool)
	}
	for _, zone := range e.Zones {
		c.Zones = append(c.Zones, identifier.AvailabilityZone(zone))
	}
	rec.Service, rec.Pool, rec.Priority, rec.Configuration = c.Service.Name, c.Pool.Name, c.Priority, s.Number()
	rec.Instance, rec.NonIdempotent = c.Instance, c.NonIdempotent
	w.Header().Set("Request-Id", string(c.Request))
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	j := &streamer.Job{
		Call: c, Record: rec, Offset: len(e.Delivered), Delivered: e.Delivered, Stream: e.Stream,
		Endpoint: identifier.Endpoint(e.Endpoint), Address: e.EndpointAddress, Version: identifier.Version(e.GetVersion()),
	}
	var claim *claimer.Claim
	if e.ClaimKey != "" {
		claim = h.c.Claimer.Restore(e.ClaimKey, e.ClaimToken)
	}
	h.replayMissing(ctx, w, j, t.Offset, claim)
}

func findOrganisation(d *document.Configuration, name identifier.Organisation) *document.Organisation {
	for i := range d.Organisations {
		if d.Organisations[i].Name == name {
			return &d.Organisations[i]
		}
	}
	return nil
}

// replayMissing first sends the tokens that the state has and the caller does not, and then
// continues the stream. A caller may also have more tokens than the state: then nothing is
// replayed, and the rest must come from the engine.
func (h *Handler) replayMissing(ctx context.Context, w http.ResponseWriter, j *streamer.Job, offset int, claim *claimer.Claim) {
	if !j.Call.Streaming || j.Call.HoldFor != "" {
		h.serveModel(ctx, w, j, claim)
		return
	}
	if offset > j.Offset {
		j.Offset = offset
		h.serveModel(ctx, w, j, claim)
		return
	}
	missing := j.Delivered[offset:]
	seal := func(holders []netip.AddrPort) string { return h.seal(j, holders) }
	out := &sseWriter{w: w, j: j, seal: seal, selfAddresses: h.c.Transferrer.SelfAddresses()}
	delivered := j.Delivered
	for i, text := range missing {
		j.Offset = offset + i + 1
		if err := out.WriteFrame(replayFrame(j, offset+i, text)); err != nil {
			j.Offset, j.Delivered = len(delivered), delivered
			h.endInterrupted(w, j, out, claim, err)
			return
		}
	}
	j.Offset = len(delivered)
	h.serveModel(ctx, w, j, claim)
}

func replayFrame(j *streamer.Job, offset int, text string) *frame.Frame {
	return &frame.Frame{
		ID: j.Stream, Object: "chat.completion.chunk", Created: j.Call.Received.Unix(), Offset: offset,
		Choices: []frame.Choice{{Delta: &frame.Message{Content: text}}},
	}
}
