package handler

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/serve/call"
	"brasschute/internal/serve/claimer"
	"brasschute/internal/serve/forwarder"
	"brasschute/internal/serve/recorder"
	"brasschute/internal/serve/refusal"
	"brasschute/internal/serve/sealer"
)

const (
	// heldType marks, in a claim, an answer that is the token to collect by.
	heldType       = "held"
	witnessPath    = "/witness"
	witnessTimeout = 5 * time.Second
	holdTimeout    = 3 * time.Second
	// collectAfter is told to callers whose answer is held.
	collectAfter = 5 * time.Second
)

var errNotWitnessed = errors.New("the witness has not acknowledged the answer")

// finished is an answer that is whole but not yet released.
type finished struct {
	c      *call.Call
	rec    *recorder.Record
	claim  *claimer.Claim
	answer *forwarder.Answer
}

// Testimony is what a witness is asked to acknowledge. It does so with status
// 200 or 204; anything else leaves the answer held. The same testimony may
// come again, under the same Idempotency-Key.
type Testimony struct {
	Request      identifier.Request
	Organisation identifier.Organisation
	Service      identifier.Service
	Status       int
	ContentType  string
	Answer       []byte
}

// release sends a whole answer, or holds it until its witness acknowledges.
//
// The claim of a held request is finished with the token to collect by, never
// with the answer: a repeat of the key would otherwise be answered past the
// witness.
func (h *Handler) release(ctx context.Context, w http.ResponseWriter, f *finished) {
	contentType := f.answer.Header.Get("Content-Type")
	if f.c.HoldFor == "" {
		settle(f.claim, nil, f.answer.Status, contentType, f.answer.Body)
		send(w, f.answer)
		return
	}
	e := heldEnvelope(f)
	if err := h.witness(ctx, e, f.c, f.rec); err == nil {
		f.rec.Witness = "acknowledged by " + e.HoldFor
		settle(f.claim, nil, f.answer.Status, contentType, f.answer.Body)
		send(w, f.answer)
		return
	}
	h.hold(ctx, w, e, f)
}

// hold keeps an answer back. It goes on though the caller may be gone.
func (h *Handler) hold(ctx context.Context, w http.ResponseWriter, e *rpc.Envelope, f *finished) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), holdTimeout)
	defer cancel()
	holders := h.c.Carrier.HoldAnswer(ctx, e)
	token := h.c.Sealer.Seal(&sealer.Token{Organisation: f.c.Organisation.Name, Instance: f.c.Instance, Holders: holders})
	f.rec.Witness = "held until " + e.HoldFor + " acknowledges"
	settle(f.claim, nil, http.StatusAccepted, heldType, []byte(token))
	collect(w, token)
}

func heldEnvelope(f *finished) *rpc.Envelope {
	return &rpc.Envelope{
		Request: string(f.c.Instance), Organisation: string(f.c.Organisation.Name), Service: string(f.c.Service.Name),
		Held: true, HeldStatus: uint32(f.answer.Status), HeldContentType: f.answer.Header.Get("Content-Type"),
		HeldBody: f.answer.Body, HoldFor: string(f.c.HoldFor),
	}
}

// collect tells where and when a held answer is to be had.
func collect(w http.ResponseWriter, token string) {
	w.Header().Set("Location", answersPath+token)
	w.Header().Set("Retry-After", strconv.Itoa(int(collectAfter.Seconds())))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusAccepted)
	_ = json.NewEncoder(w).Encode(struct{ Outcome, Collect string }{string(refusal.Ran), answersPath + token})
}

func send(w http.ResponseWriter, a *forwarder.Answer) {
	for name, values := range a.Header {
		if w.Header().Get(name) == "" {
			w.Header()[name] = values
		}
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// witness asks the witness to acknowledge; every failure leaves the answer
// held. The witness is bound to the configuration in force now, as the one
// under which the request was accepted may name endpoints long gone.
func (h *Handler) witness(ctx context.Context, e *rpc.Envelope, c *call.Call, rec *recorder.Record) error {
	service, ok := c.Plan.Service(identifier.Service(e.HoldFor))
	if !ok || service.Kind != document.KindPlain {
		return errNotWitnessed
	}
	pool, _ := c.Plan.Pool(service.Pool)
	body, err := json.Marshal(&Testimony{
		Request: request(identifier.Request(e.Request)), Organisation: identifier.Organisation(e.Organisation),
		Service: identifier.Service(e.Service), Status: int(e.HeldStatus), ContentType: e.HeldContentType, Answer: e.HeldBody,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), witnessTimeout)
	defer cancel()
	question := &call.Call{
		Request: c.Request, Instance: c.Instance + "-witness", Received: time.Now(), Plan: c.Plan, Organisation: c.Organisation,
		Service: service, Pool: pool, Method: http.MethodPost, Path: witnessPath, Body: body,
		Header: http.Header{"Content-Type": {"application/json"}, "Idempotency-Key": {e.Request}},
	}
	a, err := h.c.Forwarder.Forward(ctx, question, rec)
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK && a.Status != http.StatusNoContent {
		return errNotWitnessed
	}
	return nil
}

// collectHeld asks the witness again for an answer that its caller has come
// to collect.
func (h *Handler) collectHeld(ctx context.Context, w http.ResponseWriter, e *rpc.Envelope, rec *recorder.Record) {
	s := h.c.Keeper.Current()
	c := &call.Call{
		Request: rec.Request, Instance: identifier.Request(e.Request), Plan: s.Plan, ConfigurationNumber: s.Number(),
		Organisation: organisation(&s.Plan.Configuration, identifier.Organisation(e.Organisation)),
		HoldFor:      identifier.Service(e.HoldFor), Service: &document.Service{Name: identifier.Service(e.Service)},
	}
	rec.Service, rec.Configuration = c.Service.Name, c.ConfigurationNumber
	a := &forwarder.Answer{Status: int(e.HeldStatus), Header: http.Header{"Content-Type": {e.HeldContentType}}, Body: e.HeldBody}
	if err := h.witness(ctx, e, c, rec); err != nil {
		h.hold(ctx, w, e, &finished{c: c, rec: rec, answer: a})
		h.finish(rec, nil)
		return
	}
	rec.Witness = "acknowledged by " + e.HoldFor
	send(w, a)
	h.finish(rec, nil)
}
