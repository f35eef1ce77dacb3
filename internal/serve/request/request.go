// Package request defines a client's request, and the reply of an endpoint, as the
// ingress uses them, independent of a platform's headers.
//
// # Usage
//
// An adapter fills the fields that the client sent. The gateway adds the route, the
// organisation and the service. After that a [Request] is only read.
package request

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"
)

// Part is a piece of a prompt. Requests whose prompts start with the same parts can share
// an engine's cached state of these parts.
type Part struct {
	ID     string
	Tokens identifier.Tokens
}

// Request is one HTTP request of a client; if the client retries, each retry is a Request of its
// own.
type Request struct {
	ID       identifier.Request
	Received time.Time
	// ClientTimeout is how long the client waits, as it stated; 0 if it did not.
	ClientTimeout time.Duration

	ConfigurationNumber identifier.ConfigurationNumber
	Route               *catalog.Route
	Organisation        *catalog.Organisation
	Service             identifier.Service

	Method string
	// Target is the request target as received: path and query.
	Target string
	// Path is the path of the target as its client encoded it.
	Path   string
	Host   string
	APIKey string
	// Header holds the headers that are passed on unchanged.
	Header http.Header
	Body   []byte

	// Parts, PromptTokens and OutputTokens describe a model request. The last part is not
	// shared with other requests or sessions.
	Parts        []Part
	PromptTokens identifier.Tokens
	OutputTokens identifier.Tokens
	// HasTokenCounts is set if the client stated its token counts.
	HasTokenCounts bool
	// LastEventNumber is the number of the last event that the client has, 0 for none.
	LastEventNumber int
	// Resumes is the client attempt that brought the first event of the stream that the request
	// continues, as the client states it; empty if it does not.
	Resumes identifier.Request

	fingerprint identifier.Fingerprint
	sharedParts []identifier.Fingerprint
}

// fingerprintBytes is the length to which the SHA-256 is truncated. 16 bytes are enough
// that no one can find a second request with a given fingerprint.
const fingerprintBytes = 16

// Fingerprint identifies what a request asks for: it is equal for requests with the same
// organisation, method, host, target and body. It is not safe for concurrent use.
func (r *Request) Fingerprint() identifier.Fingerprint {
	if r.fingerprint != "" {
		return r.fingerprint
	}
	organisation := ""
	if r.Organisation != nil {
		organisation = string(r.Organisation.Name)
	}
	h := sha256.New()
	for _, field := range [][]byte{[]byte(organisation), []byte(r.Method), []byte(r.Host), []byte(r.Target), r.Body} {
		// The length prefix keeps the end of one field apart from the start of the next.
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		h.Write(field)
	}
	r.fingerprint = identifier.Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
	return r.fingerprint
}

// SharedParts returns the fingerprints of the parts of the prompt that other requests may have as
// well: all but the last. It is called once the service is known, and is not safe for concurrent use.
func (r *Request) SharedParts() []identifier.Fingerprint {
	if len(r.Parts) < 2 || r.sharedParts != nil {
		return r.sharedParts
	}
	r.sharedParts = make([]identifier.Fingerprint, len(r.Parts)-1)
	for i := range r.sharedParts {
		r.sharedParts[i] = identifier.NewPartFingerprint(r.Service, r.Parts[i].ID)
	}
	return r.sharedParts
}

// Deadline is when the request times out: the shorter one of the timeouts of client and
// route after its arrival.
func (r *Request) Deadline() time.Time {
	limit := r.ClientTimeout
	if r.Route != nil && r.Route.Timeout > 0 && (limit == 0 || r.Route.Timeout < limit) {
		limit = r.Route.Timeout
	}
	if limit == 0 {
		limit = defaultTimeout
	}
	return r.Received.Add(limit)
}

// defaultTimeout bounds a request for which neither client nor route states a timeout.
// Without it a hung endpoint would keep the request for ever.
const defaultTimeout = time.Minute

// Rank returns the priority of the request, 0 being the most urgent.
func (r *Request) Rank() int {
	if r.Organisation != nil && r.Organisation.Rank != nil {
		return *r.Organisation.Rank
	}
	return r.Route.Rank
}

// Charge returns what the request counts against its organisation's quota: 1, or its
// tokens for a quota in tokens. It is 0 without an organisation.
func (r *Request) Charge() float64 {
	switch {
	case r.Organisation == nil:
		return 0
	case !r.Organisation.ByTokens:
		return 1
	case !r.HasTokenCounts:
		return float64(r.Organisation.PlainTokens)
	}
	return float64(r.PromptTokens + r.OutputTokens)
}

// Reply holds what an endpoint's status and headers state.
type Reply struct {
	// ID is the request that the reply belongs to.
	ID     identifier.Request
	Status int
	// Signed is set if the reply carries the endpoint's signature.
	Signed bool
	// NotRun is set if the endpoint states that the request did not run there, Misdirected
	// if another endpoint now has the address.
	NotRun      bool
	Misdirected bool
	// Encoded is set if the body has a content encoding that was not asked for.
	Encoded bool
	// ConnectionClosing is set if the connection, and perhaps the endpoint, is about to end.
	ConnectionClosing bool
	// EndpointLeaving is set if the endpoint states that it is leaving.
	EndpointLeaving bool
	// KeepAlive is how long the connection may stay idle; 0 if not stated.
	KeepAlive time.Duration
	// HasLoad is set if Running and Waiting hold the endpoint's counts of requests.
	HasLoad bool
	Running int
	Waiting int
	// HostSlowdown is the slowdown of the endpoint's host when it sent the reply.
	HostSlowdown HostSlowdown
	// LoadInvalid is set if a part of the endpoint's load could not be parsed.
	LoadInvalid bool
	// Limit is the limit on requests a second that the endpoint states.
	Limit Limit
	// Brittle is set if the endpoint states that it crashes when it has to reject more requests a
	// second than this, from all daemons together.
	Brittle Limit
}

// HostSlowdown is how long work takes on an endpoint's host at one moment, relative to the usual
// time: at 2 it takes twice as long. Other work on the host changes it several times a second. 0
// means unknown.
type HostSlowdown float64

// Limit is a number of requests a second, of all daemons together, that an endpoint states.
type Limit struct {
	PerSecond float64
	// Present is set if the reply states the number, Invalid if that cannot be parsed.
	Present, Invalid bool
}
