// Package refusal tells callers why a request was not answered.
//
// # Three outcomes
//
// Every refusal states one of three things, and states it truthfully: the
// request did not run, it ran, or the outcome is unknown. "Not run" is said
// only if no attempt can have reached an endpoint, or if the endpoint
// explicitly said so. A caller may safely repeat a request that was not run.
//
// # Usage
//
//	refusal.New(refusal.OverLimit, "queue full").After(wait).Write(w, id)
//
// The body is application/problem+json as in RFC 9457, with the outcome as
// extension member; the type is stable and safe to compare.
package refusal

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"brasschute/internal/core/identifier"
)

// Outcome is what became of the request.
type Outcome string

// The outcomes.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Kind is a class of problem: the last part of its type.
type Kind string

// The kinds of problem.
const (
	BadRequest      Kind = "bad-request"
	Unauthenticated Kind = "unauthenticated"
	UnknownService  Kind = "unknown-service"
	TooLarge        Kind = "too-large"
	TooSlow         Kind = "too-slow"
	MethodRefused   Kind = "method-not-allowed"
	Forbidden       Kind = "forbidden"
	RefusedByRule   Kind = "refused-by-rule"
	OverLimit       Kind = "over-limit"
	NoEndpoint      Kind = "no-endpoint"
	Draining        Kind = "draining"
	NoConfiguration Kind = "no-configuration"
	ClaimImpossible Kind = "claim-impossible"
	KeyRequired     Kind = "key-required"
	KeyReused       Kind = "key-reused"
	InProgress      Kind = "in-progress"
	AlreadyRan      Kind = "already-ran"
	EndpointFailed  Kind = "endpoint-failed"
	DeadlinePassed  Kind = "deadline-passed"
	ResumeRefused   Kind = "resume-refused"
	StreamLost      Kind = "stream-lost"
	Quarantined     Kind = "quarantined"
)

var statuses = map[Kind]int{
	BadRequest: http.StatusBadRequest, Unauthenticated: http.StatusUnauthorized,
	UnknownService: http.StatusNotFound, TooLarge: http.StatusRequestEntityTooLarge,
	TooSlow: http.StatusRequestTimeout, MethodRefused: http.StatusMethodNotAllowed, Forbidden: http.StatusForbidden,
	RefusedByRule: http.StatusForbidden, OverLimit: http.StatusTooManyRequests,
	NoEndpoint: http.StatusServiceUnavailable, Draining: http.StatusServiceUnavailable,
	NoConfiguration: http.StatusServiceUnavailable, ClaimImpossible: http.StatusServiceUnavailable,
	KeyRequired: http.StatusBadRequest, KeyReused: http.StatusUnprocessableEntity,
	InProgress: http.StatusConflict, AlreadyRan: http.StatusConflict,
	EndpointFailed: http.StatusBadGateway, DeadlinePassed: http.StatusGatewayTimeout,
	ResumeRefused: http.StatusForbidden, StreamLost: http.StatusGone,
	Quarantined: http.StatusServiceUnavailable,
}

// Problem is one refusal. It is an error.
type Problem struct {
	Type    string             `json:"type"`
	Title   string             `json:"title"`
	Status  int                `json:"status"`
	Detail  string             `json:"detail"`
	Outcome Outcome            `json:"outcome"`
	Request identifier.Request `json:"request,omitempty"`
	// RetrySeconds repeats the Retry-After header for streams, whose headers
	// are gone.
	RetrySeconds int `json:"retryAfterSeconds,omitempty"`

	kind Kind
}

var _ error = (*Problem)(nil)

// New returns a refusal of a request that did not run.
func New(k Kind, detail string) *Problem {
	return &Problem{
		Type: "urn:brasschute:problem:" + string(k), Title: http.StatusText(statuses[k]),
		Status: statuses[k], Detail: detail, Outcome: NotRun, kind: k,
	}
}

// WithOutcome sets the outcome.
func (p *Problem) WithOutcome(o Outcome) *Problem {
	p.Outcome = o
	return p
}

// WithRetryAfter tells when to come back, rounded up to seconds.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetrySeconds = int(math.Ceil(max(d, time.Second).Seconds()))
	return p
}

// Kind returns the kind of problem.
func (p *Problem) Kind() Kind { return p.kind }

// Error formats the refusal for logs.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s: %s (%s)", p.kind, p.Detail, p.Outcome)
}

// Write sends the refusal as a whole response.
func (p *Problem) Write(w http.ResponseWriter, id identifier.Request) {
	p.Request = id
	w.Header().Set("Content-Type", "application/problem+json")
	if p.RetrySeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(p.RetrySeconds))
	}
	if p.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
