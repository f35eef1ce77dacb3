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
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/prefix"
	"brasschute/internal/engine/report"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/indexer"
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

// Ledger remembers leaving hosts.
type Ledger interface {
	Leaving(h identifier.Host, i identifier.Incarnation) (time.Time, bool)
	MarkLeaving(h identifier.Host, i identifier.Incarnation, deadline, now time.Time) bool
}

// Config names the registry's collaborators.
type Config struct {
	Ledger Ledger
	// Price returns a host's cost per hour; nil for none.
	Price func(identifier.AvailabilityZone, document.Class) float64
	// Daemons counts the daemons that send to the same endpoints; nil for 1.
	Daemons func() int
	// Changed is told after endpoints came, went or began to leave; may be
	// nil.
	Changed func()
	// Select decides; selector.Select if nil. Experiments put baselines here.
	Select func(*selector.Query, []candidate.Candidate, []identifier.Tokens, []selector.Prediction) selector.Decision
}

// Query is a request for an endpoint of a pool.
type Query struct {
	Pool   identifier.Pool
	Blocks []prefix.Block
	// Sizes holds, by position, the tokens up to the end of each block; nil if
	// all blocks are of the usual size.
	Sizes []identifier.Tokens
	// Select holds the rest of the decision's input.
	Select selector.Query
}

type pool struct {
	candidates []candidate.Candidate
	cached     []identifier.Tokens
	scratch    []selector.Prediction
	refreshed  time.Time
	pace       candidate.Pace
	// usual is the mean of the uncached tokens of the prompts sent.
	usual float64
}

const (
	// firstUsual is taken for the uncached tokens of a usual prompt until some were
	// sent; usualWeight is the weight of the newest one.
	firstUsual  = 4000
	usualWeight = 0.01
)

// lifeKey names one life of an endpoint: one that starts again under its id has nothing
// cached of what it had.
type lifeKey struct {
	endpoint    identifier.Endpoint
	incarnation identifier.Incarnation
}

// maxIDs is the number of lives from which on those that are not listed are forgotten.
const maxIDs = 4096

// Registry is safe for concurrent use.
type Registry struct {
	c Config

	mu    sync.Mutex
	hosts map[string]inventory.Host
	pools map[identifier.Pool]*pool
	ids   map[lifeKey]int32
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
	if c.Changed == nil {
		c.Changed = func() {}
	}
	return &Registry{
		c: c, hosts: make(map[string]inventory.Host), pools: make(map[identifier.Pool]*pool),
		ids: make(map[lifeKey]int32), place: make(map[int32]int), conversations: make(map[uint64]*Conversation),
	}
}

// Apply takes in one platform object: a host or a notice. Others are ignored.
func (r *Registry) Apply(o *object.Object) {
	switch {
	case strings.HasPrefix(o.Key, inventory.HostPrefix):
		r.applyHost(o)
	case strings.HasPrefix(o.Key, inventory.NoticePrefix):
		r.applyNotice(o)
	}
}

func (r *Registry) applyNotice(o *object.Object) {
	var n inventory.Notice
	if o.Deleted || json.Unmarshal(o.Value, &n) != nil {
		return
	}
	r.MarkLeaving(n.Host, n.Incarnation, n.Deadline)
}

func (r *Registry) applyHost(o *object.Object) {
	if o.Deleted {
		r.Put(map[string]*inventory.Host{o.Key: nil})
		return
	}
	var h inventory.Host
	if json.Unmarshal(o.Value, &h) != nil {
		return
	}
	r.Put(map[string]*inventory.Host{o.Key: &h})
}

// Put takes in at once what is listed of hosts, by key; a nil host is not listed
// any more.
func (r *Registry) Put(listed map[string]*inventory.Host) {
	for _, h := range listed {
		if h != nil && h.State == inventory.StateLeaving {
			r.MarkLeaving(h.Host, h.Incarnation, time.UnixMilli(unknownNotice))
		}
	}
	r.mu.Lock()
	for key, h := range listed {
		if h == nil {
			delete(r.hosts, key)
			continue
		}
		r.hosts[key] = *h
	}
	r.rebuild()
	r.mu.Unlock()
	r.c.Changed()
}

// MarkLeaving stops new work to a host's endpoints. It reports whether that
// was news.
func (r *Registry) MarkLeaving(h identifier.Host, i identifier.Incarnation, deadline time.Time) bool {
	if !r.c.Ledger.MarkLeaving(h, i, deadline, time.Now()) {
		return false
	}
	r.Refresh()
	return true
}

// Refresh takes over what the ledger says of leaving hosts, and the prices.
func (r *Registry) Refresh() {
	r.mu.Lock()
	r.each(r.mark)
	r.mu.Unlock()
	r.c.Changed()
}

func (r *Registry) each(f func(*candidate.Candidate)) {
	for _, p := range r.pools {
		for i := range p.candidates {
			f(&p.candidates[i])
		}
	}
}

func (r *Registry) mark(c *candidate.Candidate) {
	c.Deadline, c.Leaving = r.c.Ledger.Leaving(c.Host, c.Incarnation)
	c.PricePerSecond = r.c.Price(c.AvailabilityZone, c.Class) / time.Hour.Seconds()
}

// rebuild lays the pools out anew and keeps what is known of endpoints that
// stay. The caller holds the lock.
func (r *Registry) rebuild() {
	known := make(map[identifier.Endpoint]candidate.Candidate)
	r.each(func(c *candidate.Candidate) { known[c.Endpoint] = *c })
	before := r.pools
	r.pools = make(map[identifier.Pool]*pool)
	for _, h := range r.hosts {
		for i := range h.Endpoints {
			r.add(&h, &h.Endpoints[i], known)
		}
	}
	r.place = make(map[int32]int)
	for _, p := range r.pools {
		slices.SortFunc(p.candidates, func(a, b candidate.Candidate) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
		p.cached = make([]identifier.Tokens, len(p.candidates))
		p.scratch = make([]selector.Prediction, len(p.candidates))
		p.usual = firstUsual
		if old := before[p.candidates[0].Pool]; old != nil {
			p.usual = old.usual
		}
		for i := range p.candidates {
			r.place[r.id(&p.candidates[i])] = i
		}
	}
	if len(r.ids) > maxIDs {
		maps.DeleteFunc(r.ids, func(_ lifeKey, id int32) bool { _, listed := r.place[id]; return !listed })
	}
}

func (r *Registry) add(h *inventory.Host, e *inventory.Endpoint, known map[identifier.Endpoint]candidate.Candidate) {
	c, ok := known[e.Endpoint]
	if !ok || c.Incarnation != h.Incarnation {
		c = candidate.Candidate{Endpoint: e.Endpoint, Hash: hash(e.Endpoint, h.Born), Pulse: new(candidate.Pulse)}
	}
	c.Host, c.Incarnation, c.Born = h.Host, h.Incarnation, h.Born
	c.AvailabilityZone, c.Class = h.AvailabilityZone, h.Class
	c.Pool, c.Address = e.Pool, e.Address
	r.mark(&c)
	p := r.pools[e.Pool]
	if p == nil {
		p = &pool{}
		r.pools[e.Pool] = p
	}
	p.candidates = append(p.candidates, c)
}

// hash is what places homes, the same at all daemons. A new life has lost what the homes
// of the one before were for: they are spread over the others as if it were new, and do
// not all wait for their parts to be read at one endpoint.
func hash(e identifier.Endpoint, born identifier.Born) uint64 {
	if born == 0 {
		return xxhash.Sum64String(string(e))
	}
	return xxhash.Sum64String(string(e) + "/" + strconv.FormatInt(int64(born), 10))
}

// id is the number under which the indexer knows the present life of an endpoint.
func (r *Registry) id(c *candidate.Candidate) int32 {
	key := lifeKey{c.Endpoint, c.Incarnation}
	id, ok := r.ids[key]
	if !ok {
		r.lastID++
		id = r.lastID
		r.ids[key] = id
	}
	return id
}

// Choose decides for one request. The pick is nil if no endpoint can serve.
func (r *Registry) Choose(q *Query) (*Pick, selector.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[q.Pool]
	if p == nil {
		d := selector.Decision{Index: selector.None}
		d.Excluded.NotFound++
		return nil, d
	}
	r.match(p, q)
	p.pace = candidate.Pace{
		Usual: p.usual, Drain: float64(q.Select.Prefill), Others: float64(r.c.Daemons() - 1),
		Writing: float64(q.Select.OutputTokens) / float64(max(q.Select.Decode, 1)),
	}
	p.refresh(q.Select.Now)
	if q.Select.Prefix == 0 {
		q.Select.Prefix = uint64(r.indexer.Own(q.Blocks))
	}
	d := r.c.Select(&q.Select, p.candidates, p.cached, p.scratch)
	if d.Index == selector.None {
		return nil, d
	}
	c := &p.candidates[d.Index]
	uncached := q.Select.PromptTokens - d.Chosen.Cached
	ahead, streams := c.Ahead, c.Streams
	c.InFlight++
	c.Sent(q.Select.Now, uncached)
	p.usual += usualWeight * (float64(uncached) - p.usual)
	id := r.id(c)
	r.indexer.Sent(q.Blocks, id)
	r.remember(q, c)
	return &Pick{
		Endpoint: c.Endpoint, Host: c.Host, Incarnation: c.Incarnation, Address: c.Address, Pool: c.Pool,
		PricePerSecond: c.PricePerSecond, Predicted: d.Chosen.FirstToken, Uncached: uncached, Ahead: ahead, Streams: streams, Pulse: c.Pulse, id: id,
	}, d
}

// refresh brings what depends on the time up to date, at most once in a while.
func (p *pool) refresh(now time.Time) {
	if now.Sub(p.refreshed) < refreshPause {
		return
	}
	p.refreshed = now
	p.listen(now)
	for i := range p.candidates {
		p.candidates[i].Refresh(now, p.pace)
	}
}

func (r *Registry) match(p *pool, q *Query) {
	clear(p.cached)
	r.indexer.Match(q.Blocks, func(id int32, n int) {
		i, ok := r.place[id]
		if ok && i < len(p.candidates) && r.id(&p.candidates[i]) == id {
			p.cached[i] = q.tokens(n)
		}
	})
}

// tokens counts those of the first n blocks.
func (q *Query) tokens(n int) identifier.Tokens {
	if n <= len(q.Sizes) {
		return q.Sizes[n-1]
	}
	return identifier.Tokens(n * prefix.BlockTokens)
}

// Cached takes in an endpoint's cache event, which may be late.
func (r *Registry) Cached(e identifier.Endpoint, b prefix.Block, stored bool) {
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

// Report takes in a load report, taken at a time of this daemon's clock.
func (r *Registry) Report(l *report.Report, taken time.Time) {
	r.mu.Lock()
	var host identifier.Host
	var incarnation identifier.Incarnation
	r.each(func(c *candidate.Candidate) {
		if c.Endpoint != l.Endpoint || !taken.After(c.Taken) {
			return
		}
		c.Running, c.Queued, c.QueuedTokens, c.Model = l.Running, l.Queued, l.QueuedTokens, l.Model
		c.Taken, c.Reported = taken, true
		c.Refresh(time.Now(), r.pools[c.Pool].pace)
		host, incarnation = c.Host, c.Incarnation
	})
	r.mu.Unlock()
	if l.Leaving && host != "" {
		r.MarkLeaving(host, incarnation, time.UnixMilli(unknownNotice))
	}
}

// Slots returns how many requests a pool takes, given the bound for each
// endpoint.
func (r *Registry) Slots(name identifier.Pool, maxInFlight int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[name]
	if p == nil {
		return 0
	}
	n := 0
	for i := range p.candidates {
		if !p.candidates[i].Leaving && !p.candidates[i].Ejected(time.Now()) {
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
	_, leaving := r.c.Ledger.Leaving(h.Host, h.Incarnation)
	return leaving
}

// Zones counts the zones that list endpoints.
func (r *Registry) Zones() int {
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

// Take counts a request on a named endpoint, as a resumption needs that goes
// back to where its stream runs; nil if the endpoint is not listed.
func (r *Registry) Take(e identifier.Endpoint) *Pick {
	r.mu.Lock()
	defer r.mu.Unlock()
	var k *Pick
	r.each(func(c *candidate.Candidate) {
		if c.Endpoint == e {
			c.InFlight++
			k = &Pick{Endpoint: e, Host: c.Host, Incarnation: c.Incarnation, Address: c.Address, Pool: c.Pool, PricePerSecond: c.PricePerSecond, Pulse: c.Pulse, id: r.id(c)}
		}
	})
	return k
}
