// Package identifier defines named types for the identifiers and counters that packages exchange.
//
// A request passes through code that handles six kinds of identifier at once. With named types
// the compiler rejects a [Host] where an [Endpoint] is expected, a mix-up that would otherwise
// appear only as a request sent to the wrong place.
//
// # Usage
//
//	zone := identifier.AvailabilityZone("hal-utrecht")
//	host := identifier.Host("entry-3")
//
// All types are strings or integers; their zero value means "not known".
package identifier

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// Host names one machine: an entry host or one that runs endpoints.
type Host string

// AvailabilityZone names a group of hosts that can be reclaimed or partitioned together.
type AvailabilityZone string

// Organisation names a customer, the unit of quotas and fairness.
type Organisation string

// Endpoint names one back-end process that serves requests: a model engine or a plain service.
type Endpoint string

// Version names the software version of an endpoint.
type Version string

// Service names what a client requests: a model or a plain service.
type Service string

// Pool names a set of interchangeable endpoints.
type Pool string

// Request identifies one request across all processes, logs and responses.
type Request string

// Fingerprint identifies what an organisation requests. It is the same for every arrival of
// the same request, regardless of its id, deadline and headers.
type Fingerprint string

// partPrefix starts the fingerprints of parts of prompts.
const partPrefix = "part:"

// maxPartID is the length up to which the fingerprint of a part holds its id as it is.
const maxPartID = 40

// NewPartFingerprint returns the fingerprint of a part of prompts, by its id at the engines of a
// service.
func NewPartFingerprint(s Service, id string) Fingerprint {
	if len(id) > maxPartID || strings.ContainsFunc(id, func(r rune) bool { return !isPlain(r) }) {
		sum := sha256.Sum256([]byte(id))
		id = "sha256-" + hex.EncodeToString(sum[:16])
	}
	return Fingerprint(partPrefix + string(s) + ":" + id)
}

func isPlain(r rune) bool {
	return r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '-' || r == '_'
}

// IsPart reports whether f identifies a part of prompts.
func (f Fingerprint) IsPart() bool { return strings.HasPrefix(string(f), partPrefix) }

// ConfigurationNumber numbers accepted configurations; it only increases.
type ConfigurationNumber uint64

// Incarnation distinguishes successive starts of one host; it only increases.
type Incarnation uint64

// StartTime is when an endpoint started, in Unix milliseconds by the endpoint's own clock. It
// distinguishes incarnations of one endpoint but doesn't order them.
type StartTime int64

// EndpointIncarnation identifies one incarnation of an endpoint, by its start time.
type EndpointIncarnation struct {
	Endpoint Endpoint
	Born     StartTime
}

// Tokens is a number of model tokens.
type Tokens int
