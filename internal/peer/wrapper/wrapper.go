// Package wrapper encodes requests to endpoints that a peer sends on behalf of this daemon, and how
// they ended.
//
// A wrapped request is a POST to [Path] of a peer. Its body and headers are those for the endpoint; the
// rest is in headers of its own, which begin with [headerPrefix] and are not passed on. The response
// is the endpoint's, with its status, headers and body, if its outcome is [Answered]; with any other
// outcome it has no body. A response without an outcome is that of a peer of an older version, which
// does not know wrapped requests.
//
// # Usage
//
//	r := wrapper.Request{Service: "lm", Endpoint: "i-1", Method: "POST", ...}
//	header := r.Encode() // at the sender
//	r, err := wrapper.Decode(httpRequest.Header) // at the peer
//	header.Set(wrapper.OutcomeHeader, string(wrapper.Answered))
package wrapper

import (
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"brasschute/internal/core/identifier"
)

// Path is the path of wrapped requests on a peer.
const Path = "/endpoint-requests"

// OutcomeHeader is the header of a response that names its [Outcome].
const OutcomeHeader = headerPrefix + "Outcome"

// headerPrefix begins the names of the headers that are not those for the endpoint.
const headerPrefix = "Brasschute-"

// Headers of a wrapped request.
const (
	headerService     = headerPrefix + "Service"
	headerEndpoint    = headerPrefix + "Endpoint"
	headerStartTime   = headerPrefix + "Start-Time"
	headerRequest     = headerPrefix + "Request"
	headerFingerprint = headerPrefix + "Fingerprint"
	// headerParts is missing in requests without parts, and from daemons of older versions.
	headerParts  = headerPrefix + "Parts"
	headerMethod = headerPrefix + "Method"
	headerTarget = headerPrefix + "Target"
	headerHost   = headerPrefix + "Host"
	headerProbe  = headerPrefix + "Probe"
	// headerVerify is not known to daemons of older versions.
	headerVerify = headerPrefix + "Verify"
)

// headerTrue is the value of a header that is set or missing.
const headerTrue = "1"

// Outcome is how a peer dealt with a wrapped request.
type Outcome string

// The outcomes. With those up to Unreachable the request did not reach the endpoint.
const (
	// Busy: the peer takes no more requests of other daemons, or is stopping.
	Busy Outcome = "busy"
	// Unlisted: the peer does not know this incarnation of the endpoint.
	Unlisted Outcome = "unlisted"
	// Withheld: the endpoint may not get the request now: it is leaving, asked for a pause or has a
	// rate limit, or the request is quarantined.
	Withheld Outcome = "withheld"
	// Partitioned: the peer can't connect to the endpoint, and may itself be cut off from the service.
	Partitioned Outcome = "partitioned"
	// Unreachable: the peer can't connect to the endpoint, but to others of the service.
	Unreachable Outcome = "unreachable"
	// NoResponse: the endpoint may have received the request and gave no response.
	NoResponse Outcome = "no-response"
	// BadResponse: the endpoint's response was malformed.
	BadResponse Outcome = "bad-response"
	// Answered: the response is the endpoint's.
	Answered Outcome = "answered"
)

// Request is a request that a peer sends to an endpoint.
type Request struct {
	Service  identifier.Service
	Endpoint identifier.Endpoint
	// StartTime identifies the endpoint's incarnation.
	StartTime identifier.StartTime
	// ID is the request's id, for log lines, and Fingerprint identifies what it asks for.
	ID          identifier.Request
	Fingerprint identifier.Fingerprint
	// Parts are the parts of its prompt that other requests may have as well.
	Parts []identifier.Fingerprint
	// Probe: nothing is sent to the endpoint. The peer only connects to it; the outcome is Answered if
	// that succeeds.
	Probe bool
	// Verify: only the endpoint's incarnation may get the request, and not one that listens at its address before it is
	// listed.
	Verify bool
	// Method, Target and Host are those for the endpoint, Header its headers.
	Method string
	Target string
	Host   string
	Header http.Header
}

// Encode returns the headers of the wrapped request.
func (r *Request) Encode() http.Header {
	h := make(http.Header, len(r.Header)+8)
	for name, values := range r.Header {
		if !strings.HasPrefix(textproto.CanonicalMIMEHeaderKey(name), headerPrefix) {
			h[name] = values
		}
	}
	h.Set(headerService, string(r.Service))
	h.Set(headerEndpoint, string(r.Endpoint))
	h.Set(headerStartTime, strconv.FormatInt(int64(r.StartTime), 10))
	h.Set(headerRequest, string(r.ID))
	h.Set(headerFingerprint, string(r.Fingerprint))
	for _, part := range r.Parts {
		h.Add(headerParts, string(part))
	}
	h.Set(headerMethod, r.Method)
	h.Set(headerTarget, r.Target)
	h.Set(headerHost, r.Host)
	if r.Probe {
		h.Set(headerProbe, headerTrue)
	}
	if r.Verify {
		h.Set(headerVerify, headerTrue)
	}
	return h
}

// errIncomplete means that a wrapped request does not name an endpoint and a target.
var errIncomplete = errors.New("wrapper: the service, the endpoint, the method or the target is missing")

// Decode returns the request in the headers of a wrapped one. It takes those that concern only the
// connection between the daemons out.
func Decode(h http.Header) (*Request, error) {
	start, err := strconv.ParseInt(h.Get(headerStartTime), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("wrapper: start time: %w", err)
	}
	r := &Request{
		Service: identifier.Service(h.Get(headerService)), Endpoint: identifier.Endpoint(h.Get(headerEndpoint)),
		StartTime: identifier.StartTime(start), ID: identifier.Request(h.Get(headerRequest)),
		Fingerprint: identifier.Fingerprint(h.Get(headerFingerprint)), Probe: h.Get(headerProbe) == headerTrue, Verify: h.Get(headerVerify) == headerTrue,
		Method: h.Get(headerMethod), Target: h.Get(headerTarget), Host: h.Get(headerHost), Header: make(http.Header, len(h)),
	}
	if r.Service == "" || r.Endpoint == "" || !r.Probe && (r.Method == "" || r.Target == "") {
		return nil, errIncomplete
	}
	for _, part := range h.Values(headerParts) {
		r.Parts = append(r.Parts, identifier.Fingerprint(part))
	}
	for name, values := range h {
		if !strings.HasPrefix(name, headerPrefix) && !isHopHeader(name) {
			r.Header[name] = values
		}
	}
	return r, nil
}

// ResponseHeader returns the headers of an endpoint's response that are passed on to the peer that
// sent the request.
func ResponseHeader(h http.Header) http.Header {
	out := make(http.Header, len(h)+1)
	for name, values := range h {
		if !strings.HasPrefix(name, headerPrefix) && !isHopHeader(name) {
			out[name] = values
		}
	}
	return out
}

// isHopHeader reports whether a header concerns one connection only.
func isHopHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Te":
		return true
	}
	return false
}
