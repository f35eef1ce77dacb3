package handler

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"brasschute/internal/config/document"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/serve/claimer"
	"brasschute/internal/serve/forwarder"
	"brasschute/internal/serve/parser"
	"brasschute/internal/serve/refusal"
	"brasschute/internal/serve/sealer"
	"brasschute/internal/serve/streamer"
)

const (
	answersPath = "/v1/answers/"
	// writeTimeout is how long a write may block before a caller that does not read is
	// disconnected.
	writeTimeout = 20 * time.Second
)

func lower(name string) string { return strings.ToLower(name) }

// serveModel runs a job to its end and answers in the form that was asked for.
func (h *Handler) serveModel(ctx context.Context, w http.ResponseWriter, j *streamer.Job, claim *claimer.Claim) {
	seal := func(holders []netip.AddrPort) string { return h.seal(j, holders) }
	var out answerWriter = &jsonWriter{j: j}
	if j.Call.Streaming && j.Call.HoldFor == "" {
		out = &sseWriter{w: w, j: j, seal: seal, selfAddresses: h.c.Transferrer.SelfAddresses()}
	}
	err := h.c.Streamer.Run(ctx, j, out)
	switch {
	case err == nil:
		h.c.Transferrer.Drop(j.Call.Organisation.Name, j.Call.Instance)
		h.sendComplete(ctx, w, j, out, claim)
	case errors.Is(err, streamer.ErrHandOver):
		h.handOver(w, j, out, claim, seal)
	default:
		h.endInterrupted(w, j, out, claim, err)
	}
	h.finish(j.Record, err)
}

// sendComplete ends a complete answer.
func (h *Handler) sendComplete(ctx context.Context, w http.ResponseWriter, j *streamer.Job, out answerWriter, claim *claimer.Claim) {
	body := out.finish()
	if body == nil {
		settleClaim(claim, nil, http.StatusOK, "", nil)
		return
	}
	a := &forwarder.Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}}, Body: body}
	h.release(ctx, w, &finishedAnswer{c: j.Call, rec: j.Record, claim: claim, answer: a})
}

// endInterrupted ends an answer that cannot be completed now. If the caller
// disconnected, the state is kept for its return.
func (h *Handler) endInterrupted(w http.ResponseWriter, j *streamer.Job, out answerWriter, claim *claimer.Claim, err error) {
	var problem *refusal.Problem
	if !errors.As(err, &problem) {
		h.c.Transferrer.StoreLocal(envelope(j, claim))
		return
	}
	settleClaim(claim, err, 0, "", nil)
	out.refuse(w, problem)
}

// handOver gives the job's state to peers and sends the caller the token to resume with.
func (h *Handler) handOver(w http.ResponseWriter, j *streamer.Job, out answerWriter, claim *claimer.Claim, seal func([]netip.AddrPort) string) {
	holders := h.c.Transferrer.HandOver(context.Background(), envelope(j, claim))
	if len(holders) == 0 {
		outcome := refusal.NotRun
		if j.Stream != "" {
			outcome = refusal.Unknown
		}
		problem := refusal.New(refusal.Draining, "this host is leaving and no peer could take over").WithOutcome(outcome).WithRetryAfter(time.Second)
		settleClaim(claim, problem, 0, "", nil)
		out.refuse(w, problem)
		return
	}
	out.moved(w, seal(holders))
}

func (h *Handler) seal(j *streamer.Job, holders []netip.AddrPort) string {
	return h.c.Sealer.Seal(&sealer.Token{
		Organisation: j.Call.Organisation.Name, Instance: j.Call.Instance, Stream: j.Stream,
		Endpoint: j.Endpoint, Offset: j.Offset, Holders: holders,
	})
}

func envelope(j *streamer.Job, claim *claimer.Claim) *rpc.Envelope {
	c := j.Call
	e := &rpc.Envelope{
		Request: string(c.Instance), Organisation: string(c.Organisation.Name), Service: string(c.Service.Name),
		Body: c.Body, Delivered: j.Delivered, Endpoint: string(j.Endpoint), EndpointAddress: j.Address, Stream: j.Stream,
		Streaming: c.Streaming, Priority: c.Priority, Pool: string(c.Pool.Name), NonIdempotent: c.NonIdempotent,
		Completions: c.Completions, Version: string(j.Version),
	}
	if claim != nil {
		e.ClaimKey, e.ClaimToken = claim.Identity()
	}
	e.HoldFor = string(c.HoldFor)
	for _, zone := range c.Zones {
		e.Zones = append(e.Zones, string(zone))
	}
	return e
}

// modelList is the body of GET /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (h *Handler) models(w http.ResponseWriter, r *http.Request) {
	s := h.c.Keeper.Current()
	if s == nil {
		h.refuseEarly(w, r, refusal.New(refusal.NoConfiguration, "no configuration is in force yet").WithRetryAfter(retryAfter))
		return
	}
	if _, problem := parser.Authenticate(r, s.Plan); problem != nil {
		h.refuseEarly(w, r, problem)
		return
	}
	out := modelList{Object: "list", Data: []model{}}
	for i := range s.Plan.Configuration.Services {
		if o := &s.Plan.Configuration.Services[i]; o.Kind == document.KindModel {
			out.Data = append(out.Data, model{ID: string(o.Name), Object: "model", OwnedBy: "brasschute"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(&out)
}
