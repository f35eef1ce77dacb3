package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/platform/object"

	"github.com/thejerf/suture/v4"
)

const (
	// fleetCheckInterval is how often the fleet is compared with its record: new addresses are
	// stored soon, and several that come together are stored in one call.
	fleetCheckInterval = 2 * time.Second
	// maxStartReads is how many times a new process tries to read a record of the store, every
	// startReadInterval.
	maxStartReads     = 5
	startReadInterval = 2 * time.Second
)

// fleetKey is the store's object with the size and the addresses of the fleet, for processes
// that start when no peer is left to ask.
const fleetKey = "fleet/size"

// fleetRecord is the content of the object at fleetKey.
type fleetRecord struct {
	Daemons int
	// Addresses are the peer addresses. Processes of the previous version read them. Members
	// adds the owners, so that a new process can tell which daemons are its relays.
	Addresses []string
	Members   []fleetMember `json:",omitempty"`
}

// fleetMember is one daemon in a fleetRecord.
type fleetMember struct {
	Host    identifier.Host
	Zone    identifier.AvailabilityZone
	Address string
}

// storeFleet stores the fleet's size and addresses when the fleet has grown or has daemons at
// new addresses.
func (u *duties) storeFleet(ctx context.Context) {
	now := time.Now()
	if now.Sub(u.fleetCheckedAt) < fleetCheckInterval {
		return
	}
	u.fleetCheckedAt = now
	if era := u.g.store.Era(); era != u.storedFleetEra {
		// The store may have lost the record, or have an older one.
		u.storedFleetEra, u.storedAddresses = era, nil
	}
	daemons := u.g.knownDaemons()
	addresses := append(u.g.syncer.LiveAddresses(), u.g.c.Deployment.Peers.String())
	slices.Sort(addresses)
	if int64(daemons) <= u.g.storedFleetSize.Load() && !u.hasUnstored(addresses) {
		return
	}
	version := object.Absent
	o, err := u.g.store.Get(ctx, fleetKey)
	if err == nil {
		version = o.Version
	} else if !errors.Is(err, object.ErrMissing) {
		u.g.c.Logger.Warn("fleet size not stored", "error", err)
		return
	}
	record := fleetRecord{Daemons: max(daemons, int(u.g.storedFleetSize.Load())), Addresses: addresses, Members: u.liveMembers(now)}
	if _, err := u.g.store.Put(ctx, fleetKey, version, record); err != nil {
		u.g.c.Logger.Warn("fleet size not stored", "error", err)
		return
	}
	u.g.storedFleetSize.Store(int64(record.Daemons))
	u.storedAddresses = addresses
}

// liveMembers returns the live daemons, this one included.
func (u *duties) liveMembers(now time.Time) []fleetMember {
	d := u.g.c.Deployment
	out := []fleetMember{{d.Host, d.AvailabilityZone, d.Peers.String()}}
	for _, o := range u.g.roster.LiveDaemons(now) {
		out = append(out, fleetMember{o.Host, o.Zone, o.Address})
	}
	return out
}

// hasUnstored reports whether any of the addresses is not stored yet.
func (u *duties) hasUnstored(addresses []string) bool {
	for _, a := range addresses {
		if _, found := slices.BinarySearch(u.storedAddresses, a); !found {
			return true
		}
	}
	return false
}

// readOnStart returns a service that calls read once, to load a record that the store keeps for
// processes that start when no peer can be asked. It retries for a while: a store that is
// briefly unavailable must not make a fleet of sixty look like one of four.
func (g *Gateway) readOnStart(name string, read func(context.Context) error) serviceFunc {
	return func(ctx context.Context) error {
		for attempt := 0; attempt < maxStartReads && ctx.Err() == nil; attempt++ {
			err := read(ctx)
			if err == nil || errors.Is(err, object.ErrMissing) {
				break
			}
			g.c.Logger.Warn(name+" not read", "error", err)
			waiter.For(ctx, startReadInterval)
		}
		return suture.ErrDoNotRestart
	}
}

// readFleet loads the fleet's size and addresses from the store.
func (g *Gateway) readFleet(ctx context.Context) error {
	o, err := g.store.Get(ctx, fleetKey)
	if err != nil {
		return err
	}
	var r fleetRecord
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return fmt.Errorf("gateway: %s: %w", fleetKey, err)
	}
	g.reportedFleetSize.Store(max(g.reportedFleetSize.Load(), int64(r.Daemons)))
	g.storedFleetSize.Store(int64(r.Daemons))
	for _, m := range r.Members {
		g.roster.AddNamed(m.Host, m.Zone, m.Address)
	}
	for _, address := range r.Addresses {
		g.roster.Add(address)
	}
	g.c.Logger.Info("fleet read from the store", "daemons", r.Daemons, "addresses", len(r.Addresses), "revision", object.LogValue(o.Version))
	return nil
}
