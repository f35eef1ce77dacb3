// Package call defines the parsed and checked request of a caller.
//
// A call has two ids. Request is the id that callers, logs and explanations use; a
// caller may choose it and may use it twice. Instance is unique. It identifies
// whatever must not be confused, such as streams at engines and stored state.
//
// # Usage
//
// Package parser creates a [Call]. The other packages read it and set only what the
// rules decide.
package call

import (
	"net/http"
	"time"

	"brasschute/internal/config/compiler"
	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/prefix"
)

// Call is a request of a caller.
type Call struct {
	Request  identifier.Request
	Instance identifier.Request
	// Traceparent is passed on unchanged.
	Traceparent string
	Received    time.Time

	// Plan is the configuration that decides this request from its first decision to its
	// last, ConfigurationNumber its number.
	Plan                *compiler.Plan
	ConfigurationNumber identifier.ConfigurationNumber
	Organisation        *document.Organisation
	Service             *document.Service

	// Body is what is sent to the endpoint. Release gives its memory back, once the request has ended.
	Body    []byte
	Release func()
	// Digest is the hash of the target and body as received.
	Digest string
	// Header, Method and Path are set for plain services.
	Header http.Header
	Method string
	Path   string

	// Streaming is set if the caller wants SSE, Completions if it used /v1/completions.
	Streaming   bool
	Completions bool
	Prompt      string
	Blocks      []prefix.Block
	// Conversation is a hash that is equal for all turns of a conversation, 0 if not known.
	Conversation uint64
	// PriorTokens is the number of prompt tokens that an earlier turn of the conversation
	// already sent.
	PriorTokens identifier.Tokens
	// PromptTokens is an estimate. MaxTokens is what the caller asked for.
	PromptTokens identifier.Tokens
	MaxTokens    identifier.Tokens

	// IdempotencyKey is the Idempotency-Key, empty if none.
	IdempotencyKey string
	NonIdempotent  bool
	// Timeout bounds the call.
	Timeout time.Duration
	// LastEventID is the resume token of a caller that resumes a stream.
	LastEventID string

	// Rule is the index of the rule that matched. Pool, Priority and Zones result from
	// service and rule.
	Rule     int
	Pool     *document.Pool
	Priority string
	Zones    []identifier.AvailabilityZone
	// HoldFor names the service that must acknowledge the answer before it is released, empty
	// for none.
	HoldFor identifier.Service
}

// Fingerprint is equal for all calls of one organisation with the same digest.
func (c *Call) Fingerprint() identifier.Fingerprint {
	organisation := identifier.Organisation("")
	if c.Organisation != nil {
		organisation = c.Organisation.Name
	}
	return identifier.Fingerprint(string(organisation) + "/" + c.Digest)
}
