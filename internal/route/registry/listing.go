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
// removed from the list. The hosts must not be changed afterwards.
func (r *Registry) UpdateHosts(listed map[string]*inventory.Host) {
	for _, h := range listed {
		if h != nil && h.State == inventory.StateLeaving {
			r.c.LeavingHosts.MarkLeaving(h.Host, h.Incarnation, time.UnixMilli(unknownDeadline), time.Now())
		}
	}
	r.mu.Lock()
	replaced := r.replaceHosts(listed)
	for _, h := range listed {
		if h == nil {
			continue
		}
		for i := range h.Endpoints {
			r.add(h, &h.Endpoints[i], replaced)
		}
	}
	r.reindex()
	r.mu.Unlock()
	r.c.OnChange()
}

// replaceHosts stores changes of the host list and removes the endpoints that the changed hosts
// had. It returns these endpoints. The caller holds the lock.
func (r *Registry) replaceHosts(listed map[string]*inventory.Host) map[identifier.Endpoint]candidate.Candidate {
	hosts := make(map[identifier.Endpoint]identifier.Host)
	for key, h := range listed {
		if old := r.hosts[key]; old != nil {
			for i := range old.Endpoints {
				hosts[old.Endpoints[i].Endpoint] = old.Host
			}
		}
		if h == nil {
			delete(r.hosts, key)
			continue
		}
		r.hosts[key] = h
	}
	replaced := make(map[identifier.Endpoint]candidate.Candidate, len(hosts))
	if len(hosts) == 0 {
		return replaced
	}
	for _, p := range r.pools {
		p.candidates = slices.DeleteFunc(p.candidates, func(c candidate.Candidate) bool {
			host, ok := hosts[c.Endpoint]
			if !ok || host != c.Host {
				return false
			}
			replaced[c.Endpoint] = c
			return true
		})
	}
	return replaced
}

// MarkLeaving stops new requests to the endpoints of a host. It reports whether the host was not
// leaving before.
func (r *Registry) MarkLeaving(h identifier.Host, i identifier.Incarnation, deadline time.Time) bool {
	if !r.c.LeavingHosts.MarkLeaving(h, i, deadline, time.Now()) {
		return false
	}
	r.mu.Lock()
	for _, p := range r.pools {
		changed := false
		for i := range p.candidates {
			if c := &p.candidates[i]; c.Host == h {
				r.updateCandidate(c)
				changed = true
			}
		}
		if changed && len(p.versions) > 1 {
			p.rank()
		}
	}
	r.mu.Unlock()
	r.c.OnChange()
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

// reindex restores the order of the pools and what depends on the positions of endpoints. It reuses
// the memory of the pools, as it runs for each change of the list. The caller holds the lock.
func (r *Registry) reindex() {
	clear(r.positions)
	for name, p := range r.pools {
		n := len(p.candidates)
		if n == 0 {
			delete(r.pools, name)
			continue
		}
		slices.SortFunc(p.candidates, func(a, b candidate.Candidate) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
		p.rank()
		p.refreshed = time.Time{}
		p.cached = slices.Grow(p.cached[:0], n)[:n]
		p.scratch = slices.Grow(p.scratch[:0], n)[:n]
		for i := range p.candidates {
			r.positions[r.id(&p.candidates[i])] = i
		}
	}
	if len(r.ids) > maxIDs {
		maps.DeleteFunc(r.ids, func(_ incarnationKey, id int32) bool { _, listed := r.positions[id]; return !listed })
	}
}

// add adds an endpoint of a host to its pool, with the state known of its incarnation, if it was
// listed before. The caller holds the lock.
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
		p = &pool{meanUncached: initialMeanUncached}
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
