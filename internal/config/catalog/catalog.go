// Package catalog holds one version of the operators' configuration: routes,
// services, organisations and limits.
//
// A [Catalog] is immutable. Its lookups run for every request: the route by
// host and path (the longest prefix wins), the organisation by API key, and the
// service of a weighted route by a hash of the request, so that all daemons
// choose the same service without coordination.
//
// Package platform decodes a catalog from the platform's format.
//
// # Usage
//
//	c := catalog.New(catalog.Config{Number: 7, Routes: routes, ...})
//	route := c.Route("ficu.example", "/drafts/17")
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/pathnormalizer"
)

// Kind says whether a route's requests may be repeated and how they are answered.
type Kind int

// The kinds of route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered with numbered events. They run at most
	// once, unless the route is resumable.
	Streaming
)

// String returns the name of the kind for logs.
func (k Kind) String() string { return [...]string{"non-idempotent", "idempotent", "streaming"}[k] }

// Target is a service and its weight among the targets of a route.
type Target struct {
	Service identifier.Service
	Weight  int
}

// Route maps requests to services and sets the requests' limits and objectives.
type Route struct {
	Name string
	// Host and Prefix select the requests. Prefix begins and ends with "/".
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may wait. FirstEventObjective
	// is the target for the time to the first event (or the response), and
	// EventGapObjective the target for the longest gap between events. A request
	// counts in full only if it meets both.
	Timeout             time.Duration
	FirstEventObjective time.Duration
	EventGapObjective   time.Duration
	// Rank is the priority; 0 is the most urgent.
	Rank    int
	Targets []Target
	// MaxAttempts is the largest number of endpoints that one request may reach.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may continue at another endpoint after the last event
	// that was delivered.
	Resumable bool
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the largest number of requests in one batch.
	Slots int
	// MemoryTokens is the KV cache capacity in tokens, shared by running
	// requests and cached prefixes.
	MemoryTokens identifier.Tokens
	// TokenBytes is the size of one token's KV cache entry, and LinkMbps the
	// bandwidth, in Mbit/s, of the link over which the cache is copied.
	TokenBytes int
	LinkMbps   float64
	// Migratable is set if the state of a running request can be copied to
	// another engine.
	Migratable bool
	// TokensPerEvent is the number of output tokens in one event.
	TokensPerEvent int
}

// Scale bounds the number of a service's endpoints and gives their cost.
type Scale struct {
	// Min and Max bound the endpoints of one availability zone.
	Min int
	Max int
	// BootTime is the time from ordering a new endpoint until it serves.
	BootTime time.Duration
	// ReclaimablePriceRatio is the price of a reclaimable endpoint as a fraction
	// of the on-demand price; 0 if there are no reclaimable endpoints.
	ReclaimablePriceRatio float64
	// Prices holds the price of one endpoint per second, by zone.
	Prices map[identifier.AvailabilityZone]float64
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name identifier.Service
	// MaxConnections is the number of connections that one endpoint accepts from
	// all hosts together.
	MaxConnections int
	// Engine is nil for services that are not model engines, Scale for services
	// of fixed size.
	Engine *Engine
	Scale  *Scale
}

// HasCapacity reports whether the capacity of the service's engines is known. It is false for a nil
// service.
func (s *Service) HasCapacity() bool {
	return s != nil && s.Engine != nil && s.Engine.Slots > 0 && s.Engine.MemoryTokens > 0
}

// Organisation is a customer with its API keys and quota.
type Organisation struct {
	Name identifier.Organisation
	Keys []string
	// Rank, if not nil, overrides the rank of the route.
	Rank *int
	// ByTokens is set if the quota counts prompt and output tokens instead of
	// requests. A request that does not state its tokens counts as PlainTokens.
	ByTokens    bool
	PlainTokens int
	// RatePerSecond and Burst are the quota over all hosts; 0 for no quota.
	RatePerSecond float64
	Burst         float64
}

// Limits bounds what a client may send.
type Limits struct {
	// BodyBytes is the largest request body.
	BodyBytes int64
}

// Config is the content of a catalog.
type Config struct {
	Number        identifier.ConfigurationNumber
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Catalog is one version of the configuration, indexed for lookups. It is safe
// for concurrent use.
type Catalog struct {
	c        Config
	byHost   map[string][]prefixedRoute
	services map[identifier.Service]*Service
	byKey    map[string]*Organisation
}

// prefixedRoute is a route with the normal form of its prefix.
type prefixedRoute struct {
	prefix string
	route  *Route
}

// New indexes a configuration, which must not be modified afterwards.
func New(c Config) *Catalog {
	out := &Catalog{
		c: c, byHost: make(map[string][]prefixedRoute), services: make(map[identifier.Service]*Service, len(c.Services)),
		byKey: make(map[string]*Organisation),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		out.byHost[r.Host] = append(out.byHost[r.Host], prefixedRoute{pathnormalizer.Normalize(r.Prefix), r})
	}
	for _, routes := range out.byHost {
		slices.SortStableFunc(routes, func(a, b prefixedRoute) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	}
	for i := range c.Services {
		out.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			out.byKey[key] = &c.Organisations[i]
		}
	}
	return out
}

// Number returns the number of the configuration; higher is newer.
func (c *Catalog) Number() identifier.ConfigurationNumber { return c.c.Number }

// Limits returns the limits on client requests.
func (c *Catalog) Limits() Limits { return c.c.Limits }

// Routes returns all routes; they must not be modified.
func (c *Catalog) Routes() []Route { return c.c.Routes }

// Services returns all services; they must not be modified.
func (c *Catalog) Services() []Service { return c.c.Services }

// Organisations returns all organisations; they must not be modified.
func (c *Catalog) Organisations() []Organisation { return c.c.Organisations }

// Route returns the host's route with the longest prefix of the path, or nil if
// none matches. The path is as the client encoded it.
func (c *Catalog) Route(host, path string) *Route {
	path = pathnormalizer.Normalize(path)
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.prefix) {
			return r.route
		}
	}
	return nil
}

// Service returns the service of a name, or nil if there is none.
func (c *Catalog) Service(name identifier.Service) *Service { return c.services[name] }

// Organisation returns the organisation that owns an API key, or nil if there
// is none.
func (c *Catalog) Organisation(key string) *Organisation { return c.byKey[key] }

// Pick returns the service for a hash. Over all hashes, each service is chosen
// in proportion to its weight. It returns "" if no target has a weight.
func (r *Route) Pick(hash uint64) identifier.Service {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total == 0 {
		return ""
	}
	offset := int(hash % uint64(total))
	for _, t := range r.Targets {
		if offset < t.Weight {
			return t.Service
		}
		offset -= t.Weight
	}
	return ""
}
