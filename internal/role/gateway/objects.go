package gateway

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
	"brasschute/internal/platform/registrar"
	"brasschute/platform"
)

// unreadablePerSecond bounds the log lines of records that can't be read: whoever spoils
// one may spoil all. A counter counts the others.
const unreadablePerSecond = 5

// take takes in what the store told at once.
func (g *Gateway) take(objects []object.Object) {
	g.spreadNews(g.mirror.Apply(g.readable(objects)), sourceStore)
}

// sourceStore names the store as the source of news; peers are named by address.
const sourceStore = "store"

// sourceSettings names the deployment's settings as a source.
const sourceSettings = "settings"

// spreadNews acts by what is new, and tells peers of it.
func (g *Gateway) spreadNews(news []object.Object, source string) {
	if len(news) == 0 {
		return
	}
	var endpoints, orders []object.Object
	for _, o := range news {
		switch kind, _, _ := strings.Cut(o.Key, "/"); kind {
		case platform.CatalogKind:
			g.configuration(o, source)
		case platform.RolloutKind:
			orders = append(orders, o)
		default:
			endpoints = append(endpoints, o)
		}
	}
	// Before the endpoints: those of a new version wait until their order is known.
	if len(orders) > 0 {
		g.rolloutsChanged(orders, source)
	}
	if len(endpoints) > 0 {
		g.endpointsChanged(endpoints)
	}
	g.swapper.TriggerNotes(g.follows())
}

// readable leaves out configurations that can't be read, and what else is stored beside
// them. The mirror keeps the last good one for peers that start anew: in place of it they
// would get one that none can use.
func (g *Gateway) readable(objects []object.Object) []object.Object {
	out := make([]object.Object, 0, len(objects))
	for _, o := range objects {
		if !strings.HasPrefix(o.Key, platform.CatalogKind+"/") || o.Key == platform.CatalogKey && g.decode(&o) {
			out = append(out, o)
		}
	}
	return out
}

// decode decodes a configuration that is newer than those before, and tells whether the
// object may be kept.
func (g *Gateway) decode(o *object.Object) bool {
	if d := g.decoded.Load(); o.Deleted || d != nil && d.revision >= o.Version {
		return true
	}
	c, err := platform.DecodeCatalog(o.Value)
	if err != nil {
		g.scope.Counter("configurations_refused").Inc(1)
		g.c.Logger.Error("configuration refused, the last good one stays in force", "revision", o.Version, "error", err)
		return false
	}
	g.keepDecoded(&decodedCatalog{o.Version, c})
	return true
}

// keepDecoded keeps a configuration unless a newer one has been read meanwhile: the store
// and peers tell at the same time.
func (g *Gateway) keepDecoded(d *decodedCatalog) {
	for {
		old := g.decoded.Load()
		if old != nil && old.revision >= d.revision || g.decoded.CompareAndSwap(old, d) {
			return
		}
	}
}

// configuration brings a configuration into force. source says who told it: the store,
// or a peer's address.
func (g *Gateway) configuration(o object.Object, source string) {
	d := g.decoded.Load()
	if o.Key != platform.CatalogKey || o.Deleted || d == nil {
		return
	}
	behind := int64(0)
	if lag, is := g.versioner.Lag(); is {
		behind = time.Since(lag.Since).Milliseconds()
	}
	c := d.catalog
	if !g.versioner.Offer(c) {
		return
	}
	g.scope.Gauge("configuration_number").Update(float64(c.Number()))
	g.c.Logger.Info("configuration in force", "number", c.Number(), "revision", d.revision, "routes", len(c.Routes()),
		"organisations", len(c.Organisations()), "bytes", len(o.Value), "source", source, "behind_ms", behind)
}

// endpointsChanged takes in what changed of the list of endpoints, at once: a
// daemon that is ready knows the whole list, not its first entry.
func (g *Gateway) endpointsChanged(objects []object.Object) {
	listed := make(map[string]*inventory.Host, len(objects))
	for i := range objects {
		id := strings.TrimPrefix(objects[i].Key, platform.EndpointKind+"/")
		h, err := g.endpoint(id, &objects[i])
		if errors.Is(err, registrar.ErrStale) {
			// The store and peers tell at the same time; the newer record holds.
			continue
		}
		if err != nil {
			// The record names no endpoint to use, whatever stood there before.
			g.unreadable([]error{fmt.Errorf("%s, revision %d: %w", objects[i].Key, objects[i].Version, err)})
		}
		listed[id] = h
	}
	g.registry.UpdateHosts(listed)
	g.listed.Store(g.listed.Load() || len(g.registry.Hosts()) > 0)
}

// endpoint decodes the record of an endpoint; nil without an error if it is gone.
func (g *Gateway) endpoint(id string, o *object.Object) (*inventory.Host, error) {
	if o.Deleted {
		g.c.Logger.Info("endpoint gone", "endpoint", id, "revision", o.Version)
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
	g.c.Logger.Info("endpoint listed", "endpoint", id, "revision", o.Version, "zone", h.AvailabilityZone, "service",
		h.Endpoints[0].Pool, "address", h.Endpoints[0].Address, "state", h.State, "reclaimable", h.Class == document.ClassReclaimable,
		"born", h.Born, "life", h.Incarnation)
	return &h, nil
}

// unreadable notes records that can't be read: others than the platform's endpoints and
// operators write to the store, too.
func (g *Gateway) unreadable(found []error) {
	g.scope.Counter("records_unreadable").Inc(int64(len(found)))
	for _, err := range found {
		if !g.unread.Allow() {
			return
		}
		g.c.Logger.Error("record not understood, it is left out", "error", err)
	}
}
