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
	// heldContentType is the content type of a claim whose answer is held; its body is
	// the token to collect the answer with.
	heldContentType = "held"
	witnessPath     = "/witness"
	witnessTimeout  = 5 * time.Second
	holdTimeout     = 3 * time.Second
	// heldRetryAfter is sent to callers whose answer is held.
	heldRetryAfter = 5 * time.Second
)

var errNotWitnessed = errors.New("the witness has not acknowledged the answer")

// finishedAnswer is a complete answer that was not yet released.
type finishedAnswer struct {
	c      *call.Call
	rec    *recorder.Record
	claim  *claimer.Claim
	answer *forwarder.Answer
}

// WitnessRequest is the JSON body with which a witness is asked to acknowledge an
// answer. It acknowledges with status 200 or 204; after any other result the answer
// stays held. The same body may be sent again, under the same Idempotency-Key.
type WitnessRequest struct {
	Request      identifier.Request
	Organisation identifier.Organisation
	Service      identifier.Service
	Status       int
	ContentType  string
	Answer       []byte
}

// release sends a complete answer, or holds it until its witness acknowledges.
//
// The claim of a held request is finished with the token to collect the answer with,
// never with the answer itself: otherwise a repeat of the key would be answered
// without the witness.
func (h *Handler) release(ctx context.Context, w http.ResponseWriter, f *finishedAnswer) {
	contentType := f.answer.Header.Get("Content-Type")
	if f.c.HoldFor == "" {
		settleClaim(f.claim, nil, f.answer.Status, contentType, f.answer.Body)
		sendAnswer(w, f.answer)
		return
	}
	e := heldEnvelope(f)
	if err := h.askWitness(ctx, e, f.c, f.rec); err == nil {
		f.rec.Witness = "acknowledged by " + e.HoldFor
		settleClaim(f.claim, nil, f.answer.Status, contentType, f.answer.Body)
		sendAnswer(w, f.answer)
		return
	}
	h.hold(ctx, w, e, f)
}

// hold stores an answer until it is acknowledged, even if the caller disconnected.
func (h *Handler) hold(ctx context.Context, w http.ResponseWriter, e *rpc.Envelope, f *finishedAnswer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), holdTimeout)
	defer cancel()
	holders := h.c.Transferrer.HoldAnswer(ctx, e)
	token := h.c.Sealer.Seal(&sealer.Token{Organisation: f.c.Organisation.Name, Instance: f.c.Instance, Holders: holders})
	f.rec.Witness = "held until " + e.HoldFor + " acknowledges"
	settleClaim(f.claim, nil, http.StatusAccepted, heldContentType, []byte(token))
	sendHeldNotice(w, token)
}

func heldEnvelope(f *finishedAnswer) *rpc.Envelope {
	return &rpc.Envelope{
		Request: string(f.c.Instance), Organisation: string(f.c.Organisation.Name), Service: string(f.c.Service.Name),
		Held: true, HeldStatus: uint32(f.answer.Status), HeldContentType: f.answer.Header.Get("Content-Type"),
		HeldBody: f.answer.Body, HoldFor: string(f.c.HoldFor),
	}
}

// sendHeldNotice answers with where and when to collect a held answer.
func sendHeldNotice(w http.ResponseWriter, token string) {
	w.Header().Set("Location", answersPath+token)
	w.Header().Set("Retry-After", strconv.Itoa(int(heldRetryAfter.Seconds())))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusAccepted)
	_ = json.NewEncoder(w).Encode(struct{ Outcome, Collect string }{string(refusal.Ran), answersPath + token})
}

func sendAnswer(w http.ResponseWriter, a *forwarder.Answer) {
	for name, values := range a.Header {
		if w.Header().Get(name) == "" {
			w.Header()[name] = values
		}
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	boundWrites(w)
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// askWitness asks the witness to acknowledge an answer; on any error the answer stays
// held. The witness is looked up in c.Plan. For an answer that is collected later this is
// the plan in force now, as the one under which the request was accepted may name
// endpoints that no longer exist.
func (h *Handler) askWitness(ctx context.Context, e *rpc.Envelope, c *call.Call, rec *recorder.Record) error {
	service, ok := c.Plan.Service(identifier.Service(e.HoldFor))
	if !ok || service.Kind != document.KindPlain {
		return errNotWitnessed
	}
	pool, _ := c.Plan.Pool(service.Pool)
	body, err := json.Marshal(&WitnessRequest{
		Request: requestID(identifier.Request(e.Request)), Organisation: identifier.Organisation(e.Organisation),
		Service: identifier.Service(e.Service), Status: int(e.HeldStatus), ContentType: e.HeldContentType, Answer: e.HeldBody,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), witnessTimeout)
	defer cancel()
	witnessCall := &call.Call{
		Request: c.Request, Instance: c.Instance + "-witness", Received: time.Now(), Plan: c.Plan, Organisation: c.Organisation,
		Service: service, Pool: pool, Method: http.MethodPost, Path: witnessPath, Body: body,
		Header: http.Header{"Content-Type": {"application/json"}, "Idempotency-Key": {e.Request}},
	}
	a, err := h.c.Forwarder.Forward(ctx, witnessCall, rec)
	if err != nil {
		return err
	}
	defer a.Release()
	if a.Status != http.StatusOK && a.Status != http.StatusNoContent {
		return errNotWitnessed
	}
	return nil
}

// collectHeld asks the witness again when a caller comes to collect a held answer.
func (h *Handler) collectHeld(ctx context.Context, w http.ResponseWriter, e *rpc.Envelope, rec *recorder.Record) {
	s := h.c.Keeper.Current()
	c := &call.Call{
		Request: rec.Request, Instance: identifier.Request(e.Request), Plan: s.Plan, ConfigurationNumber: s.Number(),
		Organisation: findOrganisation(&s.Plan.Configuration, identifier.Organisation(e.Organisation)),
		HoldFor:      identifier.Service(e.HoldFor), Service: &document.Service{Name: identifier.Service(e.Service)},
	}
	rec.Service, rec.Configuration = c.Service.Name, c.ConfigurationNumber
	a := &forwarder.Answer{Status: int(e.HeldStatus), Header: http.Header{"Content-Type": {e.HeldContentType}}, Body: e.HeldBody}
	if err := h.askWitness(ctx, e, c, rec); err != nil {
		h.hold(ctx, w, e, &finishedAnswer{c: c, rec: rec, answer: a})
		h.finish(rec, nil)
		return
	}
	rec.Witness = "acknowledged by " + e.HoldFor
	sendAnswer(w, a)
	h.finish(rec, nil)
}
