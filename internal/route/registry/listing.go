package registry

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/selector"
)

// lifeKey names one life of an endpoint: one that starts again under its id has nothing
// cached of what it had.
type lifeKey struct {
	endpoint    identifier.Endpoint
	incarnation identifier.Incarnation
}

// maxIDs is the number of lives from which on those that are not listed are forgotten.
const maxIDs = 4096

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
		r.UpdateHosts(map[string]*inventory.Host{o.Key: nil})
		return
	}
	var h inventory.Host
	if json.Unmarshal(o.Value, &h) != nil {
		return
	}
	r.UpdateHosts(map[string]*inventory.Host{o.Key: &h})
}

// UpdateHosts takes in at once what is listed of hosts, by key; a nil host is not listed
// any more.
func (r *Registry) UpdateHosts(listed map[string]*inventory.Host) {
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
	r.c.OnChange()
}

// MarkLeaving stops new work to a host's endpoints. It reports whether that
// was news.
func (r *Registry) MarkLeaving(h identifier.Host, i identifier.Incarnation, deadline time.Time) bool {
	if !r.c.LeavingHosts.MarkLeaving(h, i, deadline, time.Now()) {
		return false
	}
	r.Refresh()
	return true
}

// Refresh takes over what the ledger says of leaving hosts, and the prices.
func (r *Registry) Refresh() {
	r.mu.Lock()
	r.each(r.mark)
	for _, p := range r.pools {
		if len(p.versions) > 1 {
			p.rank()
		}
	}
	r.mu.Unlock()
	r.c.OnChange()
}

func (r *Registry) mark(c *candidate.Candidate) {
	c.Deadline, c.Leaving = r.c.LeavingHosts.Leaving(c.Host, c.Incarnation)
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
		p.rank()
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
		c = candidate.Candidate{Endpoint: e.Endpoint, Hash: hash(e.Endpoint, h.Born), Activity: new(candidate.Activity)}
	}
	c.Host, c.Incarnation, c.Born = h.Host, h.Incarnation, h.Born
	c.AvailabilityZone, c.Class = h.AvailabilityZone, h.Class
	c.Pool, c.Address, c.Version = e.Pool, e.Address, e.Version
	if e.Cold > 0 && (!ok || c.WarmAt.IsZero()) {
		c.WarmAt = time.Now().Add(e.Cold)
	}
	key := lifeKey{c.Endpoint, c.Incarnation}
	c.BackoffUntil, c.PeerBackoffUntil = r.rests[key], r.spared[key]
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
func hash(e identifier.Endpoint, born identifier.StartTime) uint64 {
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
