// Package request holds one client's request in the terms of the decisions.
//
// # Usage
//
// An adapter fills the fields that the client sent; the gateway adds the route,
// the organisation and the service; from then on a [Request] is only read.
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

// Part is one piece of a prompt. Requests that begin with the same parts can
// share an engine's cached state of them.
type Part struct {
	ID     string
	Tokens identifier.Tokens
}

// Request is one client attempt.
type Request struct {
	ID       identifier.Request
	Received time.Time
	// ClientTimeout is how long the client waits, as it said; 0 if it did not.
	ClientTimeout time.Duration

	ConfigurationNumber       identifier.ConfigurationNumber
	Route        *catalog.Route
	Organisation *catalog.Organisation
	Service      identifier.Service

	Method string
	// Target is the request target as received: path and query.
	Target string
	Path   string
	Host   string
	APIKey    string
	// Header holds what is passed on unchanged.
	Header http.Header
	Body   []byte

	// Parts, PromptTokens and OutputTokens describe a model request. The last
	// part belongs to this request or its session alone.
	Parts        []Part
	PromptTokens identifier.Tokens
	OutputTokens identifier.Tokens
	// HasTokenCounts: the client stated its tokens.
	HasTokenCounts bool
	// LastEventNumber is the number of the last event that the client has; 0 for
	// none.
	LastEventNumber int

	fingerprint identifier.Fingerprint
}

// fingerprintSize is the part of a SHA-256 that a fingerprint keeps: nobody can find a
// request whose fingerprint is that of another one.
const fingerprintSize = 16

// Fingerprint tells whether two requests ask for the same: same organisation, method, host,
// target and body. It is not safe for concurrent use.
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
		// The length keeps the end of one field from counting as the start of the next.
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		h.Write(field)
	}
	r.fingerprint = identifier.Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintSize]))
	return r.fingerprint
}

// Deadline is when nobody waits for the answer any more.
func (r *Request) Deadline() time.Time {
	limit := r.ClientTimeout
	if r.Route != nil && r.Route.Timeout > 0 && (limit == 0 || r.Route.Timeout < limit) {
		limit = r.Route.Timeout
	}
	if limit == 0 {
		limit = noLimit
	}
	return r.Received.Add(limit)
}

// noLimit bounds a request of which neither client nor route says how long it
// may take: without it a hung endpoint would keep it for ever.
const noLimit = time.Minute

// Rank is the priority that decides; 0 is the most urgent.
func (r *Request) Rank() int {
	if r.Organisation != nil && r.Organisation.Rank != nil {
		return *r.Organisation.Rank
	}
	return r.Route.Rank
}

// Charge is what the request counts against its organisation's quota.
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

// Reply is what an endpoint's status and headers say.
type Reply struct {
	// ID is the request that the answer belongs to.
	ID     identifier.Request
	Status int
	// Signed: the answer bears the endpoint's signature.
	Signed bool
	// NotRun: the endpoint states that the request did not run there.
	// Misdirected: another endpoint has the address by now.
	NotRun      bool
	Misdirected bool
	// Encoded: the body is encoded in a way that nobody asked for.
	Encoded bool
	// ConnectionClosing: the connection, and perhaps the endpoint, is about to end.
	ConnectionClosing bool
	// EndpointLeaving: the endpoint says that it leaves.
	EndpointLeaving bool
	// KeepAlive is how long the connection may stay idle; 0 if not said.
	KeepAlive time.Duration
	// HasLoad: Running and Waiting are the endpoint's counts of requests.
	HasLoad    bool
	Running int
	Waiting int
	// Limit is how many requests a second the endpoint says that it takes.
	Limit Limit
}

// Limit is what an answer says of the requests a second that its endpoint takes from all
// daemons together.
type Limit struct {
	PerSecond float64
	// Present: the answer names a limit. Invalid: it names something that is none.
	Present, Invalid bool
}
