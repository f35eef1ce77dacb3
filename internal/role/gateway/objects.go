package gateway

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
	"brasschute/internal/platform/registrar"
	"brasschute/platform"
)

// maxUnreadableLogsPerSecond limits the log lines about undecodable records: a writer that
// corrupts one record may corrupt all. A counter counts all of them.
const maxUnreadableLogsPerSecond = 5

// applyFromStore applies objects that the store returned in one answer. Once it returns, all objects of the mirror are in
// force.
func (g *Gateway) applyFromStore(objects []object.Object) {
	readable := g.dropUnreadable(objects)
	g.applying.Lock()
	defer g.applying.Unlock()
	g.applyChanges(g.mirror.Apply(readable), sourceStore)
}

// sourceStore names the store as the source of a change; peers are named by address.
const sourceStore = "store"

// sourceSettings names the deployment's settings as the source of a change.
const sourceSettings = "settings"

// applyChanges applies new objects and notifies peers of them.
func (g *Gateway) applyChanges(changes []object.Object, source string) {
	if len(changes) == 0 {
		return
	}
	var endpoints, orders []object.Object
	for _, o := range changes {
		switch kind, _, _ := strings.Cut(o.Key, "/"); kind {
		case platform.CatalogKind:
			g.applyConfiguration(o, source)
		case platform.RolloutKind:
			orders = append(orders, o)
		default:
			endpoints = append(endpoints, o)
		}
	}
	// Orders come before endpoints: endpoints of a new version wait until its order is known.
	if len(orders) > 0 {
		g.applyRollouts(orders, source)
	}
	added := false
	if len(endpoints) > 0 {
		added = g.applyEndpoints(endpoints)
	}
	if added && len(endpoints) == len(changes) && g.isLarge() {
		// Endpoints that are added wait for the next digest. When thousands register one after
		// another, notes would cost each daemon dozens of calls a second.
		return
	}
	g.syncer.TriggerNotes(g.watchesStore())
}

// dropUnreadable removes configurations that cannot be decoded, and other objects stored under
// their prefix. The mirror keeps the last good configuration for peers that restart; otherwise
// they would get one that no daemon can use.
func (g *Gateway) dropUnreadable(objects []object.Object) []object.Object {
	out := make([]object.Object, 0, len(objects))
	for _, o := range objects {
		if !strings.HasPrefix(o.Key, platform.CatalogKind+"/") || o.Key == platform.CatalogKey && g.decodeCatalog(&o) {
			out = append(out, o)
		}
	}
	return out
}

// decodeCatalog decodes a configuration that is newer than the last one decoded, and reports
// whether the object may be kept.
func (g *Gateway) decodeCatalog(o *object.Object) bool {
	if d := g.decoded.Load(); o.Deleted || d != nil && d.revision >= o.Version {
		return true
	}
	c, err := platform.DecodeCatalog(o.Value)
	if err != nil {
		g.scope.Counter("configurations_refused").Inc(1)
		g.c.Logger.Error("configuration refused, the last good one stays in force", "revision", object.LogValue(o.Version), "error", err)
		return false
	}
	if current := g.versioner.Current(); current != nil && c.Number() < current.Number() {
		// The store was restored from a copy that is older than the configuration in force.
		g.c.Logger.Warn("configuration of an older copy of the store ignored", "number", c.Number(), "in_force", current.Number(),
			"revision", object.LogValue(o.Version))
		return false
	}
	g.keepNewest(&decodedCatalog{o.Version, c})
	return true
}

// keepNewest keeps a decoded configuration unless a newer one was kept meanwhile: the store
// and peers deliver concurrently.
func (g *Gateway) keepNewest(d *decodedCatalog) {
	for {
		old := g.decoded.Load()
		if old != nil && old.revision >= d.revision || g.decoded.CompareAndSwap(old, d) {
			return
		}
	}
}

// applyConfiguration puts the decoded configuration in force. source is the store, or a peer's
// address.
func (g *Gateway) applyConfiguration(o object.Object, source string) {
	d := g.decoded.Load()
	if o.Key != platform.CatalogKey || o.Deleted || d == nil {
		return
	}
	behind := int64(0)
	if lag, ok := g.versioner.Lag(); ok {
		behind = time.Since(lag.Since).Milliseconds()
	}
	c := d.catalog
	if !g.versioner.Offer(c) {
		return
	}
	g.scope.Gauge("configuration_number").Update(float64(c.Number()))
	g.c.Logger.Info("configuration in force", "number", c.Number(), "revision", object.LogValue(d.revision), "routes", len(c.Routes()),
		"organisations", len(c.Organisations()), "bytes", len(o.Value), "source", source, "behind_ms", behind)
}

// applyEndpoints applies the changes of the list of endpoints in one step: a daemon that is
// ready must know the whole list, not just its first entry. It reports whether all of them are
// endpoints that may be used.
func (g *Gateway) applyEndpoints(objects []object.Object) (added bool) {
	added = true
	listed := make(map[string]*inventory.Host, len(objects))
	lines := endpointLines{logger: g.c.Logger}
	for i := range objects {
		id := strings.TrimPrefix(objects[i].Key, platform.EndpointKind+"/")
		h, err := g.decodeEndpoint(id, &objects[i], &lines)
		if errors.Is(err, registrar.ErrStale) {
			// The store and peers deliver concurrently; the newer record stays.
			continue
		}
		if err != nil {
			// An undecodable record names no usable endpoint, whatever it held before.
			g.logUnreadable([]error{fmt.Errorf("%s, revision %v: %w", objects[i].Key, object.LogValue(objects[i].Version), err)})
		}
		added = added && h != nil && h.State == inventory.StateLive
		listed[id] = h
	}
	lines.end()
	g.registry.UpdateHosts(listed)
	g.observeVersions()
	if g.registry.HostCount() > 0 && !g.endpointsListed.Swap(true) {
		now := time.Now()
		g.endpointsListedAt.Store(&now)
	}
	return added
}

// decodeEndpoint decodes an endpoint's record. It returns nil without an error if the record
// was deleted.
func (g *Gateway) decodeEndpoint(id string, o *object.Object, lines *endpointLines) (*inventory.Host, error) {
	if o.Deleted {
		lines.removed(id, o.Version)
		return nil, nil
	}
	e, err := platform.DecodeEndpoint(id, o.Value)
	if err != nil {
		return nil, err
	}
	h := e.Host
	if h.Incarnation, err = g.registrar.Register(identifier.Endpoint(id), h.Born, o.Version); err != nil {
		return nil, err
	}
	lines.listed(&h, o.Version)
	return &h, nil
}

// logUnreadable counts and logs records that cannot be decoded. Writers other than the
// platform's endpoints and operators use the store, too.
func (g *Gateway) logUnreadable(found []error) {
	g.scope.Counter("records_unreadable").Inc(int64(len(found)))
	for _, err := range found {
		if !g.unreadableLogs.Allow() {
			return
		}
		g.c.Logger.Error("record not decodable, ignored", "error", err)
	}
}
