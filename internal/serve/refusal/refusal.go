// Package refusal builds the error responses for callers.
//
// Every refusal truthfully states one of three outcomes: the request did not run, it
// ran, or the outcome is unknown. "Not run" is stated only if no attempt can have
// reached an endpoint, or if the endpoint explicitly said so. A caller may safely
// repeat a request that did not run.
//
// # Usage
//
//	refusal.New(refusal.OverLimit, "queue full").WithRetryAfter(wait).Write(w, id)
//
// The body is application/problem+json as in RFC 9457, with the outcome as an
// extension member. The type is stable and safe to compare.
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

// Outcome states whether the request ran.
type Outcome string

// The outcomes.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Kind is a class of problems. It is the last part of the type of a problem.
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
	Full            Kind = "full"
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
	NoEndpoint: http.StatusServiceUnavailable, Full: http.StatusServiceUnavailable, Draining: http.StatusServiceUnavailable,
	NoConfiguration: http.StatusServiceUnavailable, ClaimImpossible: http.StatusServiceUnavailable,
	KeyRequired: http.StatusBadRequest, KeyReused: http.StatusUnprocessableEntity,
	InProgress: http.StatusConflict, AlreadyRan: http.StatusConflict,
	EndpointFailed: http.StatusBadGateway, DeadlinePassed: http.StatusGatewayTimeout,
	ResumeRefused: http.StatusForbidden, StreamLost: http.StatusGone,
	Quarantined: http.StatusServiceUnavailable,
}

// Problem is a refusal. It is an error.
type Problem struct {
	Type    string             `json:"type"`
	Title   string             `json:"title"`
	Status  int                `json:"status"`
	Detail  string             `json:"detail"`
	Outcome Outcome            `json:"outcome"`
	Request identifier.Request `json:"request,omitempty"`
	// RetrySeconds repeats the Retry-After header in seconds, for streams, whose headers were
	// already sent.
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

// WithRetryAfter sets when to retry, rounded up to seconds and at least 1 s.
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

// Write sends the refusal as a complete response.
func (p *Problem) Write(w http.ResponseWriter, id identifier.Request) {
	p.Request = id
	w.Header().Set("Content-Type", "application/problem+json")
	if p.RetrySeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(p.RetrySeconds))
	}
	if p.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	text, err := json.Marshal(p)
	if err != nil {
		text = []byte("{}")
	}
	// The length shows that the answer is whole, also if it is sent before the request has been read.
	w.Header().Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(p.Status)
	_, _ = w.Write(append(text, '\n'))
}
