// Package registry is a daemon's live view of the endpoints.
//
// # Sources
//
// Endpoints come from the platform's host list. Whether one is leaving is
// believed from whoever says so first: a reclaim notice, the host list, the
// endpoint's own load report, or a peer; package ledger remembers it for the
// host's incarnation, and nothing here takes it back.
//
// # Choosing and sending
//
// [Registry.Choose] counts the chosen endpoint's request as in flight and
// returns a [Pick]. Between choosing and sending, time passes: a claim may
// wait for the platform, a dial may hang. So whoever sends asks
// [Registry.Usable] again as the last thing before the first byte goes out.
//
// # Ejection
//
// An endpoint that fails [ejectAfter] times in a row is not used for a pause
// that doubles with each further failure; then it gets single requests until
// one succeeds. At most half of a pool is ejected at once: if most of a pool
// fails, the cause is more likely on this side, and the rest must not drown.
//
// # Usage
//
//	pick, decision := r.Choose(&registry.Query{...})
//	defer r.Release(pick, err)
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
	"brasschute/internal/route/pacer"
	"brasschute/internal/route/selector"
)

const (
	ejectAfter = 3
	firstEject = 2 * time.Second
	longEject  = 30 * time.Second
	// refreshPause is how long an ejection may outlast its end.
	refreshPause = 50 * time.Millisecond
	// unknownNotice stands for the deadline of a host that is leaving at a
	// time nobody has said: it may go at any moment.
	unknownNotice = 0
)

// LeavingHosts remembers leaving hosts.
type LeavingHosts interface {
	Leaving(h identifier.Host, i identifier.Incarnation) (time.Time, bool)
	MarkLeaving(h identifier.Host, i identifier.Incarnation, deadline, now time.Time) bool
}

// Config names the registry's collaborators.
type Config struct {
	LeavingHosts LeavingHosts
	// Price returns a host's cost per hour; nil for none.
	Price func(identifier.AvailabilityZone, document.Class) float64
	// Daemons counts the daemons that send to the same endpoints; nil for 1.
	Daemons func() int
	// OnChange is told after endpoints came, went or began to leave; may be
	// nil.
	OnChange func()
	// RateLimiter says how much endpoints take that name a limit; nil if none does.
	RateLimiter RateLimiter
	// Select decides; selector.Select if nil. Experiments put baselines here.
	Select func(*selector.Query, []candidate.Candidate, []identifier.Tokens, []selector.Prediction) selector.Decision
}

// RateLimiter holds requests to what endpoints say they take.
type RateLimiter interface {
	// HasLimits tells whether some endpoint has a limit.
	HasLimits() bool
	// Ready tells whether a request may go to an endpoint now; Take takes its turn, and
	// Return gives it back.
	Ready(l pacer.Incarnation, now time.Time) bool
	Take(l pacer.Incarnation, now time.Time) bool
	Return(l pacer.Incarnation)
	// NextSend is when the next turn comes, zero if none does.
	NextSend(l pacer.Incarnation) time.Time
}

type pool struct {
	candidates []candidate.Candidate
	cached     []identifier.Tokens
	scratch    []selector.Prediction
	refreshed  time.Time
	// limited: some candidate may be marked as such.
	limited bool
	pace    candidate.LoadParameters
	// usual is the mean of the uncached tokens of the prompts sent.
	usual float64
	// versions counts the endpoints of each version that are not leaving, usualVersion is
	// that of most.
	versions     map[identifier.Version]int
	usualVersion identifier.Version
}

const (
	// firstUsual is taken for the uncached tokens of a usual prompt until some were
	// sent; usualWeight is the weight of the newest one.
	firstUsual  = 4000
	usualWeight = 0.01
)

// Registry is safe for concurrent use.
type Registry struct {
	c Config

	mu    sync.Mutex
	hosts map[string]inventory.Host
	pools map[identifier.Pool]*pool
	ids   map[lifeKey]int32
	// rests and spared are when endpoints take requests again of this daemon and of others, by
	// life, as a record may lapse and come back.
	rests, spared map[lifeKey]time.Time
	// lastID is the highest number given to a life.
	lastID  int32
	place   map[int32]int
	indexer indexer.Indexer
	// conversations are those sent to each endpoint, newest turn only.
	conversations map[uint64]*Conversation
}

const (
	// maxConversations bounds what is remembered; when it is reached, those
	// older than conversationAge go, or else the new one is not remembered.
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
		c: c, hosts: make(map[string]inventory.Host), pools: make(map[identifier.Pool]*pool),
		ids: make(map[lifeKey]int32), rests: make(map[lifeKey]time.Time), spared: make(map[lifeKey]time.Time), place: make(map[int32]int), conversations: make(map[uint64]*Conversation),
	}
}

func (r *Registry) each(f func(*candidate.Candidate)) {
	for _, p := range r.pools {
		for i := range p.candidates {
			f(&p.candidates[i])
		}
	}
}

// ApplyCacheEvent takes in an endpoint's cache event, which may be late.
func (r *Registry) ApplyCacheEvent(e identifier.Endpoint, b prefix.Block, stored bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.each(func(c *candidate.Candidate) {
		switch {
		case c.Endpoint != e:
		case stored:
			r.indexer.Add(b, r.id(c))
		default:
			r.indexer.Remove(b, r.id(c))
		}
	})
}

// ApplyReport takes in a load report, taken at a time of this daemon's clock.
func (r *Registry) ApplyReport(l *report.Report, taken time.Time) {
	r.mu.Lock()
	var host identifier.Host
	var incarnation identifier.Incarnation
	r.each(func(c *candidate.Candidate) {
		if c.Endpoint != l.Endpoint || !taken.After(c.ReportedAt) {
			return
		}
		c.Running, c.Queued, c.QueuedTokens, c.Model = l.Running, l.Queued, l.QueuedTokens, l.Model
		c.ReportedAt, c.Reported = taken, true
		c.Refresh(time.Now(), r.pools[c.Pool].pace)
		host, incarnation = c.Host, c.Incarnation
	})
	r.mu.Unlock()
	if l.Leaving && host != "" {
		r.MarkLeaving(host, incarnation, time.UnixMilli(unknownNotice))
	}
}

// Capacity returns how many requests a pool takes, given the bound for each
// endpoint.
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

// Hosts returns a copy of the hosts that are listed.
func (r *Registry) Hosts() []inventory.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]inventory.Host, 0, len(r.hosts))
	for _, h := range r.hosts {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b inventory.Host) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// HostLeaving tells whether this life of a host is known to leave.
func (r *Registry) HostLeaving(h *inventory.Host) bool {
	_, leaving := r.c.LeavingHosts.Leaving(h.Host, h.Incarnation)
	return leaving
}

// ZoneCount counts the zones that list endpoints.
func (r *Registry) ZoneCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := make(map[identifier.AvailabilityZone]bool)
	r.each(func(c *candidate.Candidate) { seen[c.AvailabilityZone] = true })
	return len(seen)
}

// Endpoints returns a copy of all candidates, ordered by name.
func (r *Registry) Endpoints() []candidate.Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []candidate.Candidate
	r.each(func(c *candidate.Candidate) { out = append(out, *c) })
	slices.SortFunc(out, func(a, b candidate.Candidate) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}
