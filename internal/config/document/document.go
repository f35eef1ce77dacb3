// Package document declares the configuration that operators edit.
//
// # The document
//
// A [Configuration] says what the fleet offers, to whom, and by which rules.
// It holds no addresses: endpoints come and go and are listed by the
// platform. It is kept as YAML text on the platform, where one number orders
// all accepted versions.
//
// # Usage
//
// The types here are plain data. Package compiler turns YAML into a checked
// Configuration; nothing else should build one, except tests.
//
// The nested records share this package with the Configuration because they
// have no meaning apart from it.
package document

import (
	"brasschute/internal/core/identifier"
	"brasschute/internal/core/quantity"
)

// Kind tells how endpoints of a service are spoken to.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Class tells how a host is rented.
type Class string

// The classes of host that the cloud rents out.
const (
	ClassReclaimable Class = "reclaimable"
	ClassOnDemand    Class = "on-demand"
)

// Configuration is the whole of what operators decide.
type Configuration struct {
	// Organisations lists the callers' organisations.
	Organisations []Organisation
	// Priorities lists priority names, most urgent first.
	Priorities []string
	// Services lists what callers may ask for.
	Services []Service
	// Pools lists the sets of endpoints behind the services.
	Pools []Pool
	// Rules are tried in order; the first whose When holds decides.
	Rules []Rule
	// Prices gives the cost of a host by availability zone and class.
	Prices []Price
	// Fleet bounds what the system rents by itself.
	Fleet Fleet
	// Routing weighs cost against latency and recomputed tokens.
	Routing Routing
}

// Organisation is one customer with its keys and limits.
type Organisation struct {
	Name identifier.Organisation
	// KeyHashes are SHA-256 digests of bearer keys, in hexadecimal.
	KeyHashes []string
	// Concurrency bounds the requests in flight over the whole fleet.
	Concurrency int
	// Queue bounds the requests that wait at one entry daemon.
	Queue int
	// Priority is the default priority; empty means the last of the list.
	Priority string
}

// Service is one thing that callers ask for by name.
type Service struct {
	Name identifier.Service
	Kind Kind
	Pool identifier.Pool
	// Idempotent states that repeating a call does no harm. A service that
	// leaves it out is treated as non-idempotent if plain.
	Idempotent bool
	// RequireKey refuses non-idempotent calls without an Idempotency-Key.
	RequireKey bool
	// EndpointsDeduplicate states that the endpoints themselves run one key
	// at most once, so that keyed calls may go on without the platform.
	EndpointsDeduplicate bool
	// Timeout bounds one call from acceptance to its last byte.
	Timeout quantity.Duration
}

// Pool is a set of interchangeable endpoints.
type Pool struct {
	Name identifier.Pool
	// Model is the model that engines of this pool are to have loaded; empty
	// for plain services.
	Model string
	// MaxInFlight bounds the requests that one daemon sends to one endpoint.
	MaxInFlight int
	// Slots is the number of streams that one engine generates at once, others
	// wait; 0 if not known.
	Slots int
	// HonoursFencing states that the endpoints refuse orders with an old
	// fencing number.
	HonoursFencing bool
	// PrefillPerSecond and DecodePerSecond are the tokens that one endpoint
	// reads and writes in a second; routing predicts with them.
	PrefillPerSecond int
	DecodePerSecond  int
	// Wanted is the number of hosts to keep on behalf of each zone. A zone
	// that is not named is left as it is.
	Wanted []Wanted
}

// Wanted is the size of a pool in one zone.
type Wanted struct {
	AvailabilityZone identifier.AvailabilityZone
	Hosts            int
}

// Fleet bounds what the system rents by itself.
type Fleet struct {
	// SpendingPerHour bounds the price of all hosts together; 0 for no bound.
	SpendingPerHour float64
	// LoadsPerMinute bounds the models that one zone's engines are ordered to
	// load, for the weight store's sake; 0 for no bound.
	LoadsPerMinute int
}

// Rule is one line of policy: when this holds, then do that.
type Rule struct {
	Name string
	// When is a boolean expression over the facts of a request.
	When string
	Then Action
}

// Action is what a rule does; empty fields leave matters as they were.
type Action struct {
	// Priority replaces the request's priority.
	Priority string
	// Pool sends the request to another pool than its service's.
	Pool identifier.Pool
	// AvailabilityZones keeps the request inside these zones.
	AvailabilityZones []identifier.AvailabilityZone
	// Refuse, if set, refuses the request and is the reason told.
	Refuse string
	// HoldFor names the plain service that must acknowledge the answer before
	// it is released to the caller.
	HoldFor identifier.Service
	// RetryAfter goes with Refuse: when the caller may come back.
	RetryAfter quantity.Duration
}

// Price is the cost of one host.
type Price struct {
	AvailabilityZone identifier.AvailabilityZone
	Class            Class
	// PerHour is in the users' own currency.
	PerHour float64
}

// Routing holds the weights of the two measures.
type Routing struct {
	// FirstToken is the latency target up to the first token.
	FirstToken quantity.Duration
	// RecomputeWeight is the cost of a thousand recomputed tokens, in the
	// currency of the prices. High values keep requests where their prefix
	// is cached.
	RecomputeWeight float64
}
