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

// incarnationKey identifies one incarnation of an endpoint. An endpoint that restarts under its ID
// has lost its cache.
type incarnationKey struct {
	endpoint    identifier.Endpoint
	incarnation identifier.Incarnation
}

// maxIDs is the number of incarnations above which those that are not listed are forgotten.
const maxIDs = 4096

// ApplyObject updates the registry with one platform object, a host or a notice. Other objects are
// ignored.
func (r *Registry) ApplyObject(o *object.Object) {
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

// UpdateHosts applies several changes of the host list at once, by object key. A nil host is
// removed from the list.
func (r *Registry) UpdateHosts(listed map[string]*inventory.Host) {
	for _, h := range listed {
		if h != nil && h.State == inventory.StateLeaving {
			r.MarkLeaving(h.Host, h.Incarnation, time.UnixMilli(unknownDeadline))
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

// MarkLeaving stops new requests to the endpoints of a host. It reports whether the host was not
// leaving before.
func (r *Registry) MarkLeaving(h identifier.Host, i identifier.Incarnation, deadline time.Time) bool {
	if !r.c.LeavingHosts.MarkLeaving(h, i, deadline, time.Now()) {
		return false
	}
	r.Refresh()
	return true
}

// Refresh updates all candidates with the leaving hosts and the prices.
func (r *Registry) Refresh() {
	r.mu.Lock()
	r.forEach(r.updateCandidate)
	for _, p := range r.pools {
		if len(p.versions) > 1 {
			p.rank()
		}
	}
	r.mu.Unlock()
	r.c.OnChange()
}

// updateCandidate sets whether the candidate is leaving, and its price.
func (r *Registry) updateCandidate(c *candidate.Candidate) {
	c.Deadline, c.Leaving = r.c.LeavingHosts.Leaving(c.Host, c.Incarnation)
	c.PricePerSecond = r.c.Price(c.AvailabilityZone, c.Class) / time.Hour.Seconds()
}

// rebuild builds the pools from the host list and keeps the state of endpoints that remain. The
// caller holds the lock.
func (r *Registry) rebuild() {
	known := make(map[identifier.Endpoint]candidate.Candidate)
	r.forEach(func(c *candidate.Candidate) { known[c.Endpoint] = *c })
	oldPools := r.pools
	r.pools = make(map[identifier.Pool]*pool)
	for _, h := range r.hosts {
		for i := range h.Endpoints {
			r.add(&h, &h.Endpoints[i], known)
		}
	}
	r.positions = make(map[int32]int)
	for _, p := range r.pools {
		slices.SortFunc(p.candidates, func(a, b candidate.Candidate) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
		p.rank()
		p.cached = make([]identifier.Tokens, len(p.candidates))
		p.scratch = make([]selector.Prediction, len(p.candidates))
		p.meanUncached = initialMeanUncached
		if old := oldPools[p.candidates[0].Pool]; old != nil {
			p.meanUncached = old.meanUncached
		}
		for i := range p.candidates {
			r.positions[r.id(&p.candidates[i])] = i
		}
	}
	if len(r.ids) > maxIDs {
		maps.DeleteFunc(r.ids, func(_ incarnationKey, id int32) bool { _, listed := r.positions[id]; return !listed })
	}
}

// add adds an endpoint of a host to its pool, with the state known of its incarnation. The caller
// holds the lock.
func (r *Registry) add(h *inventory.Host, e *inventory.Endpoint, known map[identifier.Endpoint]candidate.Candidate) {
	c, ok := known[e.Endpoint]
	if !ok || c.Incarnation != h.Incarnation {
		c = candidate.Candidate{Endpoint: e.Endpoint, Hash: hash(e.Endpoint, h.Born), Activity: new(candidate.Activity)}
	}
	c.Host, c.Incarnation, c.StartTime = h.Host, h.Incarnation, h.Born
	c.AvailabilityZone, c.Class = h.AvailabilityZone, h.Class
	c.Pool, c.Address, c.Version = e.Pool, e.Address, e.Version
	if e.Cold > 0 && (!ok || c.WarmAt.IsZero()) {
		c.WarmAt = time.Now().Add(e.Cold)
	}
	key := incarnationKey{c.Endpoint, c.Incarnation}
	c.BackoffUntil, c.PeerBackoffUntil = r.backoffs[key], r.peerBackoffs[key]
	r.updateCandidate(&c)
	p := r.pools[e.Pool]
	if p == nil {
		p = &pool{}
		r.pools[e.Pool] = p
	}
	p.candidates = append(p.candidates, c)
}

// hash determines the home endpoints, identically at all daemons. A new incarnation has lost the
// cache that its homes were for. Its homes are therefore redistributed over the other endpoints as
// if it were a new one; otherwise all their prompts would wait to be computed again at one
// endpoint.
func hash(e identifier.Endpoint, start identifier.StartTime) uint64 {
	if start == 0 {
		return xxhash.Sum64String(string(e))
	}
	return xxhash.Sum64String(string(e) + "/" + strconv.FormatInt(int64(start), 10))
}

// id returns the number of an endpoint's current incarnation in the indexer.
func (r *Registry) id(c *candidate.Candidate) int32 {
	key := incarnationKey{c.Endpoint, c.Incarnation}
	id, ok := r.ids[key]
	if !ok {
		r.lastID++
		id = r.lastID
		r.ids[key] = id
	}
	return id
}
