// Package identifier holds the named types for the ids and counts that cross
// package borders.
//
// # Why named types
//
// A request passes through code that handles six kinds of name at once. Named
// types let the compiler refuse a [Host] where an [Endpoint] is wanted, a swap
// that would otherwise show up only as a request sent to a wrong place.
//
// # Usage
//
//	zone := identifier.AvailabilityZone("hal-utrecht")
//	host := identifier.Host("entry-3")
//
// All types are plain strings or integers: their zero value means "not known".
package identifier

// Host names one machine, be it an entry host or one that runs endpoints.
type Host string

// AvailabilityZone names a group of hosts that can be reclaimed or cut off
// together.
type AvailabilityZone string

// Organisation names a customer: the unit of limits and of fairness.
type Organisation string

// Endpoint names one back end process that serves requests: a model engine or
// a plain service.
type Endpoint string

// Version names the software of an endpoint.
type Version string

// Service names what a caller asks for: a model or a plain service.
type Service string

// Pool names a set of interchangeable endpoints.
type Pool string

// Request identifies one request through all processes, logs and answers.
type Request string

// Fingerprint is the same for all arrivals of what one organisation asks for, whatever their
// ids, deadlines and headers.
type Fingerprint string

// ConfigurationNumber counts accepted configurations; it only ever rises.
type ConfigurationNumber uint64

// Incarnation tells successive lives of one host apart; it only ever rises.
type Incarnation uint64

// StartTime is when an endpoint started, in milliseconds from 1970 by its own clock. It tells
// lives of one endpoint apart, not which is the newer.
type StartTime int64

// Tokens counts model tokens.
type Tokens int
