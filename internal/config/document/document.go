// Package document declares the configuration that operators edit.
//
// A [Configuration] defines the services of the fleet, the organisations that
// may use them, and the rules for requests. It holds no addresses: endpoints
// come and go and are listed by the platform. The platform stores it as YAML
// text, and one number orders all accepted versions.
//
// # Usage
//
// The types here are plain data. Package compiler turns YAML into a checked
// Configuration; apart from tests, nothing else should build one. The nested
// types share this package with Configuration because they are only used in it.
package document

import (
	"brasschute/internal/core/identifier"
	"brasschute/internal/core/quantity"
)

// Kind is the protocol of a service's endpoints.
type Kind string

// The kinds of service: model engines and ordinary HTTP services.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Class is the terms on which a host is rented.
type Class string

// The classes of host that the cloud offers. A reclaimable host may be taken
// back by the cloud, an on-demand host may not.
const (
	ClassReclaimable Class = "reclaimable"
	ClassOnDemand    Class = "on-demand"
)

// Configuration is the whole configuration that operators edit.
type Configuration struct {
	// Organisations lists the callers' organisations.
	Organisations []Organisation
	// Priorities lists priority names, most urgent first.
	Priorities []string
	// Services lists the services that callers may request.
	Services []Service
	// Pools lists the sets of endpoints behind the services.
	Pools []Pool
	// Rules are evaluated in order; the first whose When is true applies.
	Rules []Rule
	// Prices lists the price of a host by availability zone and class.
	Prices []Price
	// Fleet bounds automatic fleet sizing.
	Fleet Fleet
	// Routing weighs cost against latency and recomputed tokens.
	Routing Routing
}

// Organisation is one customer with its keys and limits.
type Organisation struct {
	Name identifier.Organisation
	// KeyHashes are SHA-256 digests of bearer keys, in lower-case hexadecimal.
	KeyHashes []string
	// Concurrency is the largest number of requests in flight over the whole fleet.
	Concurrency int
	// Queue is the largest number of requests that wait at one entry daemon.
	Queue int
	// Priority is the default priority; empty means the last of Priorities.
	Priority string
}

// Service is a service that callers request by name.
type Service struct {
	Name identifier.Service
	Kind Kind
	Pool identifier.Pool
	// Idempotent states that a call may safely be repeated. A plain service that
	// leaves it out is treated as non-idempotent.
	Idempotent bool
	// RequireKey refuses non-idempotent calls without an Idempotency-Key.
	RequireKey bool
	// EndpointsDeduplicate states that the endpoints themselves run each
	// idempotency key at most once, so that calls with a key continue without a
	// claim while the platform is unavailable.
	EndpointsDeduplicate bool
	// Timeout bounds one call from admission to the last byte of its response.
	Timeout quantity.Duration
}

// Pool is a set of interchangeable endpoints.
type Pool struct {
	Name identifier.Pool
	// Model is the model that engines of this pool must have loaded; empty for
	// plain services.
	Model string
	// MaxInFlight bounds the concurrent requests from one daemon to one endpoint.
	MaxInFlight int
	// Slots is the number of streams that one engine decodes concurrently;
	// further ones wait. 0 if not known.
	Slots int
	// HonoursFencing states that the endpoints refuse orders whose fencing number
	// is lower than one they have seen.
	HonoursFencing bool
	// PrefillPerSecond and DecodePerSecond are the tokens per second at which one
	// endpoint reads prompts and generates output; routing predicts latency
	// with them.
	PrefillPerSecond int
	DecodePerSecond  int
	// Wanted is the number of hosts to keep for each zone. The pool's size in a
	// zone that is not listed is left unchanged.
	Wanted []Wanted
}

// Wanted is the target size of a pool in one zone.
type Wanted struct {
	AvailabilityZone identifier.AvailabilityZone
	Hosts            int
}

// Fleet bounds automatic fleet sizing.
type Fleet struct {
	// SpendingPerHour bounds the hourly price of all hosts together; 0 for no bound.
	SpendingPerHour float64
	// LoadsPerMinute bounds the model loads that are ordered in one zone per
	// minute, to protect the weight store; 0 for no bound.
	LoadsPerMinute int
}

// Rule applies an action to the requests that match a condition.
type Rule struct {
	Name string
	// When is a boolean expression over the facts of a request, see
	// compiler.Facts.
	When string
	Then Action
}

// Action is the effect of a rule; an empty field changes nothing.
type Action struct {
	// Priority replaces the request's priority.
	Priority string
	// Pool replaces the pool of the request's service.
	Pool identifier.Pool
	// AvailabilityZones restricts the request to endpoints in these zones.
	AvailabilityZones []identifier.AvailabilityZone
	// Refuse, if not empty, refuses the request with this reason.
	Refuse string
	// HoldFor names the plain service that must acknowledge the response before
	// it is released to the caller.
	HoldFor identifier.Service
	// RetryAfter is the time after which a caller refused by Refuse may retry.
	RetryAfter quantity.Duration
}

// Price is the price of one host.
type Price struct {
	AvailabilityZone identifier.AvailabilityZone
	Class            Class
	// PerHour is the price per hour, in the currency that all prices share.
	PerHour float64
}

// Routing weighs latency against recomputed tokens.
type Routing struct {
	// FirstToken is the target for the time to the first token.
	FirstToken quantity.Duration
	// RecomputeWeight is the cost of a thousand recomputed tokens, in the
	// currency of the prices. A high value favours endpoints that have the
	// prompt's prefix cached.
	RecomputeWeight float64
}
