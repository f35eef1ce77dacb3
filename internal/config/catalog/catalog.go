// Package catalog holds one version of what the operators want served: routes,
// services, organisations and limits.
//
// # Lookups
//
// A [Catalog] is immutable once made. Its lookups are on the path of every
// request: the route by host and path (the longest prefix wins), the
// organisation by API key, the service of a weighted route by a hash of the
// request, so that each daemon decides the same without talking.
//
// # Usage
//
//	c := catalog.New(catalog.Config{Number: 7, Routes: routes, ...})
//	route := c.Route("ficu.example", "/drafts/17")
//
// Where it comes from does not matter here: package platform decodes it.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"brasschute/internal/core/identifier"
)

// Kind says what may be repeated of a route's requests.
type Kind int

// The kinds of route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by numbered events. They run at most
	// once, unless the route is resumable.
	Streaming
)

// String names the kind for logs.
func (k Kind) String() string { return [...]string{"non-idempotent", "idempotent", "streaming"}[k] }

// Target is a service with its share of a route's requests.
type Target struct {
	Service identifier.Service
	Weight  int
}

// Route says which requests go to which services, and under which terms.
type Route struct {
	Name string
	// Host and Prefix select the requests; a prefix begins and ends with "/".
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest that a request may be kept waiting, Objective the
	// time to the first event (or the answer) that earns its full worth, and
	// PauseObjective the longest pause between events for that.
	Timeout        time.Duration
	FirstEventObjective      time.Duration
	EventGapObjective time.Duration
	// Rank is the priority; 0 is the most urgent.
	Rank    int
	Targets []Target
	// MaxAttempts is the number of endpoints that one request may reach.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another endpoint after their last event.
	Resumable bool
}

// Retryable tells whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// MemoryTokens is what running requests and cached prompt parts share.
	MemoryTokens identifier.Tokens
	// TokenBytes is the size of one token's state, which moves over a link of
	// LinkMbps.
	TokenBytes int
	LinkMbps   float64
	// Migratable: a running request's state can be copied to another engine.
	Migratable bool
	// TokensPerEvent is the number of output tokens in one event.
	TokensPerEvent int
}

// Scale says how the number of a service's endpoints may be changed.
type Scale struct {
	// Min and Max bound the endpoints of one availability zone.
	Min int
	Max int
	// BootTime is the time from an order until a new endpoint serves.
	BootTime time.Duration
	// ReclaimablePriceRatio is the part of the price that a reclaimable endpoint
	// costs; 0 if there are none.
	ReclaimablePriceRatio float64
	// Prices are those of one endpoint for a second, by zone.
	Prices map[identifier.AvailabilityZone]float64
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name identifier.Service
	// MaxConnections is what one endpoint accepts from all hosts together.
	MaxConnections int
	// Engine and Scale are nil where they do not apply.
	Engine *Engine
	Scale  *Scale
}

// Organisation is a customer with its keys and quota.
type Organisation struct {
	Name identifier.Organisation
	Keys []string
	// Rank, if set, goes before the rank of the route.
	Rank *int
	// ByTokens: the quota counts prompt and output tokens instead of requests;
	// a request that does not state its tokens counts PlainTokens.
	ByTokens    bool
	PlainTokens int
	// RatePerSecond and Burst are the quota over all hosts; 0 for none.
	RatePerSecond float64
	Burst         float64
}

// Limits bound what a client may send.
type Limits struct {
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

// Catalog is one version of the configuration, ready for lookups.
type Catalog struct {
	c        Config
	byHost   map[string][]*Route
	services map[identifier.Service]*Service
	byKey    map[string]*Organisation
}

// New indexes a configuration, which must not be changed any more.
func New(c Config) *Catalog {
	out := &Catalog{
		c: c, byHost: make(map[string][]*Route), services: make(map[identifier.Service]*Service, len(c.Services)),
		byKey: make(map[string]*Organisation),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		out.byHost[r.Host] = append(out.byHost[r.Host], r)
	}
	for _, routes := range out.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
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

// Number is the version; higher is newer.
func (c *Catalog) Number() identifier.ConfigurationNumber { return c.c.Number }

// Limits returns the limits on what clients send.
func (c *Catalog) Limits() Limits { return c.c.Limits }

// Routes returns all routes; they must not be changed.
func (c *Catalog) Routes() []Route { return c.c.Routes }

// Services returns all services; they must not be changed.
func (c *Catalog) Services() []Service { return c.c.Services }

// Organisations returns all organisations; they must not be changed.
func (c *Catalog) Organisations() []Organisation { return c.c.Organisations }

// Route returns the route with the longest prefix of a path, or nil.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service, or nil.
func (c *Catalog) Service(name identifier.Service) *Service { return c.services[name] }

// Organisation returns the one that holds a key, or nil.
func (c *Catalog) Organisation(key string) *Organisation { return c.byKey[key] }

// Pick returns a route's service for a hash: each service gets its share of
// hashes.
func (r *Route) Pick(hash uint64) identifier.Service {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total == 0 {
		return ""
	}
	at := int(hash % uint64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return ""
}
