// Package call holds one caller's request, parsed and checked.
//
// # Two names
//
// Request is the id that callers, logs and explanations use; a caller may
// choose it, and may use it twice. Instance is unique: everything that must
// not be confused, such as streams at engines and kept state, goes by it.
//
// # Usage
//
// Package parser makes a [Call]; the serving packages read it and set only
// what the rules decide.
package call

import (
	"net/http"
	"time"

	"brasschute/internal/config/compiler"
	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/prefix"
)

// Call is one request.
type Call struct {
	Request  identifier.Request
	Instance identifier.Request
	// Traceparent is passed through unchanged.
	Traceparent string
	Received    time.Time

	// Plan is the configuration that decides this request, from its first
	// decision to its last; Number is its number.
	Plan         *compiler.Plan
	ConfigurationNumber       identifier.ConfigurationNumber
	Organisation *document.Organisation
	Service      *document.Service

	// Body is what goes to the endpoint.
	Body []byte
	// Digest is the hash of the body and target as received.
	Digest string
	// Header, Method and Path are for plain services.
	Header http.Header
	Method string
	Path   string

	// Streaming asks for SSE, Completions for the shape of /v1/completions.
	Streaming   bool
	Completions bool
	Prompt      string
	Blocks      []prefix.Block
	// Conversation is a hash that the turns of one conversation share, 0 if
	// not known.
	Conversation uint64
	// PriorTokens are the prompt tokens that an earlier turn of the conversation has
	// sent already.
	PriorTokens identifier.Tokens
	// PromptTokens is estimated; MaxTokens is what the caller asked for.
	PromptTokens identifier.Tokens
	MaxTokens    identifier.Tokens

	// IdempotencyKey is the Idempotency-IdempotencyKey, empty if none.
	IdempotencyKey           string
	NonIdempotent bool
	// Timeout bounds the call.
	Timeout time.Duration
	// LastEventID is the resume token of a caller that comes back.
	LastEventID string

	// Rule is the index of the rule that matched; Pool, Priority and Zones
	// are the results of service and rule.
	Rule     int
	Pool     *document.Pool
	Priority string
	Zones    []identifier.AvailabilityZone
	// HoldFor names the service that must acknowledge the answer before it is
	// released; empty for none.
	HoldFor identifier.Service
}

// Fingerprint is the same for all arrivals of what one organisation asks for.
func (c *Call) Fingerprint() identifier.Fingerprint {
	organisation := identifier.Organisation("")
	if c.Organisation != nil {
		organisation = c.Organisation.Name
	}
	return identifier.Fingerprint(string(organisation) + "/" + c.Digest)
}
