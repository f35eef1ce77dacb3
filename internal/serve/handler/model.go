package handler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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
	"brasschute/internal/serve/forwarder"
	"brasschute/internal/serve/parser"
	"brasschute/internal/serve/recorder"
	"brasschute/internal/serve/refusal"
	"brasschute/internal/serve/sealer"
	"brasschute/internal/serve/streamer"
)

const (
	answersPath = "/v1/answers/"
	// writeTimeout drops a caller that does not read.
	writeTimeout = 20 * time.Second
)

func lower(name string) string { return strings.ToLower(name) }

// model runs a job to its end and answers in the shape that was asked for.
func (h *Handler) model(ctx context.Context, w http.ResponseWriter, j *streamer.Job, claim *claimer.Claim) {
	seal := func(holders []netip.AddrPort) string { return h.seal(j, holders) }
	var out answer = &collected{j: j}
	if j.Call.Streaming && j.Call.HoldFor == "" {
		out = &events{w: w, j: j, seal: seal, own: h.c.Carrier.Own()}
	}
	err := h.c.Streamer.Run(ctx, j, out)
	switch {
	case err == nil:
		h.c.Carrier.Drop(j.Call.Organisation.Name, j.Call.Instance)
		h.whole(ctx, w, j, out, claim)
	case errors.Is(err, streamer.ErrHandOver):
		h.handOver(w, j, out, claim, seal)
	default:
		h.interrupted(w, j, out, claim, err)
	}
	h.finish(j.Record, err)
}

// whole ends a complete answer.
func (h *Handler) whole(ctx context.Context, w http.ResponseWriter, j *streamer.Job, out answer, claim *claimer.Claim) {
	body := out.whole()
	if body == nil {
		settle(claim, nil, http.StatusOK, "", nil)
		return
	}
	a := &forwarder.Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}}, Body: body}
	h.release(ctx, w, &finished{c: j.Call, rec: j.Record, claim: claim, answer: a})
}

// interrupted ends an answer that cannot be completed now. If the caller is
// gone, the state is kept for its return.
func (h *Handler) interrupted(w http.ResponseWriter, j *streamer.Job, out answer, claim *claimer.Claim, err error) {
	var problem *refusal.Problem
	if !errors.As(err, &problem) {
		h.c.Carrier.Keep(envelope(j, claim))
		return
	}
	settle(claim, err, 0, "", nil)
	out.refuse(w, problem)
}

// handOver gives the job's state to peers and tells the caller where to come
// back.
func (h *Handler) handOver(w http.ResponseWriter, j *streamer.Job, out answer, claim *claimer.Claim, seal func([]netip.AddrPort) string) {
	holders := h.c.Carrier.HandOver(context.Background(), envelope(j, claim))
	if len(holders) == 0 {
		outcome := refusal.NotRun
		if j.Stream != "" {
			outcome = refusal.Unknown
		}
		problem := refusal.New(refusal.Draining, "this host is leaving and no peer could take over").With(outcome).After(time.Second)
		settle(claim, problem, 0, "", nil)
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
		Completions: c.Completions,
	}
	if claim != nil {
		e.ClaimKey, e.ClaimToken = claim.Names()
	}
	e.HoldFor = string(c.HoldFor)
	for _, zone := range c.Zones {
		e.Zones = append(e.Zones, string(zone))
	}
	return e
}

// resume carries on a stream whose caller came back with a token.
func (h *Handler) resume(w http.ResponseWriter, r *http.Request, c *call.Call, rec *recorder.Record) {
	t, err := h.c.Sealer.Open(c.LastEventID, c.Organisation.Name)
	if err != nil {
		h.fail(w, c, rec, refusal.New(refusal.ResumeRefused, "the Last-Event-ID is not valid here or has expired"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.Timeout)
	defer cancel()
	if e, ok := h.c.Carrier.Fetch(ctx, t); ok {
		h.carryOn(ctx, w, e, t, rec)
		return
	}
	c.Instance = t.Instance
	rec.Instance = t.Instance
	j := &streamer.Job{Call: c, Record: rec, Offset: t.Offset, Stream: t.Stream, Endpoint: t.Endpoint}
	j.Address = h.address(t.Endpoint)
	h.model(ctx, w, j, nil)
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
	s := h.c.Keeper.InForce()
	if s == nil || !h.enter(true) {
		h.refuseEarly(w, r, refusal.New(refusal.Draining, "this host cannot answer now").With(refusal.Unknown).After(time.Second))
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
	e, ok := h.c.Carrier.Fetch(r.Context(), t)
	if !ok {
		h.refuseEarly(w, r, refusal.New(refusal.StreamLost, "no host holds this answer any more").With(refusal.Unknown))
		return
	}
	rec := &recorder.Record{Request: request(t.Instance), Host: h.c.Host, Received: time.Now(), Organisation: o.Name}
	h.carryOn(r.Context(), w, e, t, rec)
}

// request returns the id by which callers know an instance.
func request(instance identifier.Request) identifier.Request {
	id, _, _ := strings.Cut(string(instance), "~")
	return identifier.Request(id)
}

// carryOn finishes the request of an envelope. The caller has t.Offset tokens
// of those that the envelope knows.
func (h *Handler) carryOn(ctx context.Context, w http.ResponseWriter, e *rpc.Envelope, t *sealer.Token, rec *recorder.Record) {
	if e.Held {
		h.collectHeld(ctx, w, e, rec)
		return
	}
	s := h.c.Keeper.InForce()
	o := organisation(&s.Plan.Configuration, t.Organisation)
	c, problem := h.c.Parser.Restore(&parser.Kept{
		Request: request(t.Instance), Instance: t.Instance, Organisation: o, Body: e.Body, Completions: e.Completions,
	}, s.Plan, s.Number())
	if problem != nil {
		h.fail(w, c, rec, problem.With(refusal.Unknown))
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
		Endpoint: identifier.Endpoint(e.Endpoint), Address: e.EndpointAddress,
	}
	var claim *claimer.Claim
	if e.ClaimKey != "" {
		claim = h.c.Claimer.Restore(e.ClaimKey, e.ClaimToken)
	}
	h.catchUp(ctx, w, j, t.Offset, claim)
}

func organisation(d *document.Configuration, name identifier.Organisation) *document.Organisation {
	for i := range d.Organisations {
		if d.Organisations[i].Name == name {
			return &d.Organisations[i]
		}
	}
	return nil
}

// catchUp first repeats the tokens that the state knows and the caller lacks,
// and then goes on with the stream. A caller may also be ahead of the state:
// then nothing is repeated, and the tokens come from the engine or not at all.
func (h *Handler) catchUp(ctx context.Context, w http.ResponseWriter, j *streamer.Job, offset int, claim *claimer.Claim) {
	if !j.Call.Streaming || j.Call.HoldFor != "" {
		h.model(ctx, w, j, claim)
		return
	}
	if offset > j.Offset {
		j.Offset = offset
		h.model(ctx, w, j, claim)
		return
	}
	missing := j.Delivered[offset:]
	seal := func(holders []netip.AddrPort) string { return h.seal(j, holders) }
	out := &events{w: w, j: j, seal: seal, own: h.c.Carrier.Own()}
	delivered := j.Delivered
	for i, text := range missing {
		j.Offset = offset + i + 1
		if err := out.Frame(repeated(j, offset+i, text)); err != nil {
			j.Offset, j.Delivered = len(delivered), delivered
			h.interrupted(w, j, out, claim, err)
			return
		}
	}
	j.Offset = len(delivered)
	h.model(ctx, w, j, claim)
}

func repeated(j *streamer.Job, offset int, text string) *frame.Frame {
	return &frame.Frame{
		ID: j.Stream, Object: "chat.completion.chunk", Created: j.Call.Received.Unix(), Offset: offset,
		Choices: []frame.Choice{{Delta: &frame.Message{Content: text}}},
	}
}

// answer is the shape in which a caller receives a job.
type answer interface {
	streamer.Sink
	// whole ends a complete answer; if it is one body, it returns that and
	// leaves its sending to the caller.
	whole() []byte
	// refuse ends an answer that cannot be completed.
	refuse(w http.ResponseWriter, p *refusal.Problem)
	// moved tells where the rest is to be had.
	moved(w http.ResponseWriter, token string)
}

// events streams an answer as server-sent events, each with a resume token.
type events struct {
	w       http.ResponseWriter
	j       *streamer.Job
	seal    func([]netip.AddrPort) string
	own     []netip.AddrPort
	started bool
}

// Frame sends one frame.
func (e *events) Frame(f *frame.Frame) error {
	e.start()
	out := public(f, e.j.Call)
	data, err := json.Marshal(&out)
	if err != nil {
		return fmt.Errorf("frame: %w", err)
	}
	return e.send(fmt.Sprintf("id: %s\ndata: %s\n\n", e.seal(e.own), data))
}

func (e *events) start() {
	if e.started {
		return
	}
	e.started = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-store")
}

func (e *events) send(text string) error {
	control := http.NewResponseController(e.w)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := e.w.Write([]byte(text)); err != nil {
		return fmt.Errorf("caller: %w", err)
	}
	if err := control.Flush(); err != nil {
		return fmt.Errorf("caller: %w", err)
	}
	return nil
}

func (e *events) whole() []byte {
	e.start()
	_ = e.send("data: " + frame.End + "\n\n")
	return nil
}

func (e *events) refuse(w http.ResponseWriter, p *refusal.Problem) {
	if !e.started {
		p.Write(w, e.j.Call.Request)
		return
	}
	p.Request = e.j.Call.Request
	data, _ := json.Marshal(p)
	_ = e.send(fmt.Sprintf("event: error\ndata: %s\n\n", data))
}

func (e *events) moved(w http.ResponseWriter, token string) {
	if !e.started {
		redirect(w, token)
		return
	}
	_ = e.send(fmt.Sprintf("event: moved\nid: %s\nretry: 100\ndata: {}\n\n", token))
}

func redirect(w http.ResponseWriter, token string) {
	w.Header().Set("Location", answersPath+token)
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusSeeOther)
}

// public gives a frame the names under which the caller knows the request.
func public(f *frame.Frame, c *call.Call) frame.Frame {
	out := *f
	out.ID = string(c.Request)
	out.Model = string(c.Service.Name)
	if !c.Completions || len(f.Choices) == 0 {
		return out
	}
	out.Object = "text_completion"
	text := f.Content()
	out.Choices = []frame.Choice{{Text: &text, FinishReason: f.Choices[0].FinishReason}}
	return out
}

// collected answers with one JSON body.
type collected struct {
	j    *streamer.Job
	last *frame.Frame
}

// Frame keeps the finishing frame; the text is in the job.
func (a *collected) Frame(f *frame.Frame) error {
	if f.Finished() {
		a.last = f
	}
	return nil
}

func (a *collected) whole() []byte {
	c := a.j.Call
	text := strings.Join(a.j.Delivered, "")
	out := frame.Frame{ID: string(c.Request), Object: "chat.completion", Created: c.Received.Unix(), Model: string(c.Service.Name)}
	choice := frame.Choice{}
	if a.last != nil {
		out.Usage = a.last.Usage
		choice.FinishReason = a.last.Choices[0].FinishReason
	}
	choice.Message = &frame.Message{Role: "assistant", Content: text}
	if c.Completions {
		out.Object = "text_completion"
		choice = frame.Choice{Text: &text, FinishReason: choice.FinishReason}
	}
	out.Choices = []frame.Choice{choice}
	body, _ := json.Marshal(&out)
	return body
}

func (a *collected) refuse(w http.ResponseWriter, p *refusal.Problem) { p.Write(w, a.j.Call.Request) }

func (a *collected) moved(w http.ResponseWriter, token string) { redirect(w, token) }

// modelList is the answer of GET /v1/models.
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
	s := h.c.Keeper.InForce()
	if s == nil {
		h.refuseEarly(w, r, refusal.New(refusal.NoConfiguration, "no configuration is in force yet").After(retryAfter))
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
