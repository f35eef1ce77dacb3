// Package registry keeps a daemon's current view of the endpoints.
//
// Endpoints come from the platform's host list. An endpoint counts as leaving as soon as one source
// says so: a reclaim notice, the host list, the endpoint's own load report or a peer.
// Config.LeavingHosts stores it for the incarnation of the host, and nothing in this package
// reverts it.
//
// [Registry.Choose] counts a request as in flight at the chosen endpoint and returns a [Pick]. Time
// may pass between choosing and sending: a claim may wait for the platform, a dial may hang. The
// sender must therefore call [Registry.Usable] again right before the first byte.
//
// # Outlier ejection
//
// An endpoint that fails [ejectAfter] times in a row is ejected for a period that doubles with each
// further failure. After that it gets single requests until one succeeds. At most half of a pool is
// ejected at a time: if most of a pool fails, the cause is more likely on this side, and the
// remaining endpoints must not be overloaded.
//
// # Usage
//
//	pick, decision := r.Choose(&registry.Query{...})
//	defer r.Release(pick, result)
package registry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/prefix"
	"brasschute/internal/engine/report"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/indexer"
	"brasschute/internal/route/selector"
)

const (
	// ejectAfter is the number of consecutive failures that eject an endpoint. firstEject is the
	// duration of the first ejection, maxEject the longest.
	ejectAfter = 3
	firstEject = 2 * time.Second
	maxEject   = 30 * time.Second
	// refreshPause is the minimum time between two refreshes of a pool; an ejection may last longer
	// by as much.
	refreshPause = 50 * time.Millisecond
	// unknownDeadline stands for the deadline of a host whose end is unknown: it may end at any
	// moment.
	unknownDeadline = 0
)

// LeavingHosts stores which hosts are leaving.
type LeavingHosts interface {
	// Leaving returns the deadline of an incarnation of a host, and whether it is known to leave.
	Leaving(h identifier.Host, i identifier.Incarnation) (time.Time, bool)
	// MarkLeaving stores that an incarnation of a host is leaving and reports whether that was new.
	MarkLeaving(h identifier.Host, i identifier.Incarnation, deadline, now time.Time) bool
}

// Config holds the dependencies of a registry.
type Config struct {
	LeavingHosts LeavingHosts
	// Price returns the price of a host per hour; nil for free hosts.
	Price func(identifier.AvailabilityZone, document.Class) float64
	// Daemons returns the number of daemons that send to the same endpoints; nil for 1.
	Daemons func() int
	// OnChange is called after endpoints were added, removed or began to leave; may be nil.
	OnChange func()
	// RateLimiter enforces the rate limits that endpoints state; nil for none.
	RateLimiter RateLimiter
	// Select makes the decision; nil for selector.Select. Experiments use it to run baselines.
	Select func(*selector.Query, []candidate.Candidate, []identifier.Tokens, []selector.Prediction) selector.Decision
}

// RateLimiter keeps the requests of this daemon within the rate limits that endpoints state.
type RateLimiter interface {
	// HasLimits reports whether any endpoint has a limit.
	HasLimits() bool
	// Ready reports whether a request may be sent to an endpoint now. Take takes a permit for it,
	// and Return gives the permit back.
	Ready(i identifier.EndpointIncarnation, now time.Time) bool
	Take(i identifier.EndpointIncarnation, now time.Time) bool
	Return(i identifier.EndpointIncarnation)
	// NextSend returns when the next permit is available, zero if none will be.
	NextSend(i identifier.EndpointIncarnation) time.Time
}

// pool holds the endpoints of one pool.
type pool struct {
	// candidates are ordered by name. cached and scratch are working space of a decision, by the
	// position of the candidate.
	candidates []candidate.Candidate
	cached     []identifier.Tokens
	scratch    []selector.Prediction
	refreshed  time.Time
	// limited is set if candidates may be marked as limited.
	limited    bool
	parameters candidate.LoadParameters
	// meanUncached is the mean number of uncached tokens of the prompts sent.
	meanUncached float64
	// versions counts the endpoints of each version that are not leaving. majorityVersion is the
	// most frequent one.
	versions        map[identifier.Version]int
	majorityVersion identifier.Version
}

const (
	// initialMeanUncached is used for meanUncached until prompts have been sent. meanUncachedWeight
	// is the weight of the newest prompt.
	initialMeanUncached = 4000
	meanUncachedWeight  = 0.01
)

// Registry holds the endpoints and chooses among them. It is safe for concurrent use.
type Registry struct {
	c Config

	mu    sync.Mutex
	hosts map[string]*inventory.Host
	pools map[identifier.Pool]*pool
	// ids holds the number of each incarnation in the indexer.
	ids map[incarnationKey]int32
	// backoffs and peerBackoffs hold when endpoints accept requests again, those of this daemon and
	// those of others. They are kept by incarnation, because a record may lapse and come back.
	backoffs, peerBackoffs map[incarnationKey]time.Time
	// pauses holds when pauses of all daemons are over.
	pauses map[incarnationKey]time.Time
	// lastID is the highest number in ids. positions holds the position of each candidate in its
	// pool, by that number.
	lastID    int32
	positions map[int32]int
	indexer   indexer.Indexer
	// conversations holds the latest turn of each conversation, by prefix.
	conversations map[uint64]*Conversation
}

const (
	// maxConversations limits the conversations that are remembered. When it is reached, those
	// older than conversationAge are dropped; if there are none, the new one is not remembered.
	maxConversations = 4096
	conversationAge  = 10 * time.Minute
)

// New returns a registry without endpoints.
func New(c Config) *Registry {
	if c.Daemons == nil {
		c.Daemons = func() int { return 1 }
	}
	if c.Price == nil {
		c.Price = func(identifier.AvailabilityZone, document.Class) float64 { return 0 }
	}
	if c.Select == nil {
		c.Select = selector.Select
	}
	if c.OnChange == nil {
		c.OnChange = func() {}
	}
	return &Registry{
		c: c, hosts: make(map[string]*inventory.Host), pools: make(map[identifier.Pool]*pool),
		ids: make(map[incarnationKey]int32), backoffs: make(map[incarnationKey]time.Time), peerBackoffs: make(map[incarnationKey]time.Time),
		pauses: make(map[incarnationKey]time.Time), positions: make(map[int32]int), conversations: make(map[uint64]*Conversation),
	}
}

// forEach calls f for each candidate. The caller holds the lock.
func (r *Registry) forEach(f func(*candidate.Candidate)) {
	for _, p := range r.pools {
		for i := range p.candidates {
			f(&p.candidates[i])
		}
	}
}

// ApplyCacheEvent applies a cache event of an endpoint, which may be late.
func (r *Registry) ApplyCacheEvent(e identifier.Endpoint, b prefix.Block, stored bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forEach(func(c *candidate.Candidate) {
		switch {
		case c.Endpoint != e:
		case stored:
			r.indexer.Add(b, r.id(c))
		default:
			r.indexer.Remove(b, r.id(c))
		}
	})
}

// ApplyReport applies a load report that was taken at the given time of this daemon's clock.
func (r *Registry) ApplyReport(l *report.Report, taken time.Time) {
	r.mu.Lock()
	var host identifier.Host
	var incarnation identifier.Incarnation
	r.forEach(func(c *candidate.Candidate) {
		if c.Endpoint != l.Endpoint || !taken.After(c.ReportedAt) {
			return
		}
		c.Running, c.Queued, c.QueuedTokens, c.Model = l.Running, l.Queued, l.QueuedTokens, l.Model
		c.ReportedAt, c.Reported = taken, true
		c.Refresh(time.Now(), r.pools[c.Pool].parameters)
		host, incarnation = c.Host, c.Incarnation
	})
	r.mu.Unlock()
	if l.Leaving && host != "" {
		r.MarkLeaving(host, incarnation, time.UnixMilli(unknownDeadline))
	}
}

// Capacity returns how many requests a pool accepts, given the limit for each endpoint.
func (r *Registry) Capacity(name identifier.Pool, maxInFlight int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[name]
	if p == nil {
		return 0
	}
	n := 0
	for i := range p.candidates {
		if c := &p.candidates[i]; !c.Leaving && !c.BackingOff && !c.Ejected(time.Now()) {
			n += maxInFlight
		}
	}
	return n
}

// Hosts returns a copy of the listed hosts, ordered by name.
func (r *Registry) Hosts() []inventory.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]inventory.Host, 0, len(r.hosts))
	for _, h := range r.hosts {
		out = append(out, *h)
	}
	slices.SortFunc(out, func(a, b inventory.Host) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// EachHost calls f for each listed host, in any order, without copying the list. f must neither keep
// nor change the host, nor call any method of the registry but HostLeaving.
func (r *Registry) EachHost(f func(h *inventory.Host)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.hosts {
		f(h)
	}
}

// HostCount returns the number of listed hosts.
func (r *Registry) HostCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.hosts)
}

// HostLeaving reports whether this incarnation of a host is known to be leaving.
func (r *Registry) HostLeaving(h *inventory.Host) bool {
	_, leaving := r.c.LeavingHosts.Leaving(h.Host, h.Incarnation)
	return leaving
}

// ZoneCount returns the number of zones with listed endpoints.
func (r *Registry) ZoneCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := make(map[identifier.AvailabilityZone]bool)
	r.forEach(func(c *candidate.Candidate) { seen[c.AvailabilityZone] = true })
	return len(seen)
}

// Endpoints returns a copy of all candidates, ordered by name.
func (r *Registry) Endpoints() []candidate.Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []candidate.Candidate
	r.forEach(func(c *candidate.Candidate) { out = append(out, *c) })
	slices.SortFunc(out, func(a, b candidate.Candidate) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}
