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
	// sizePause is how often the size of the fleet is looked at: an address that
	// comes is stored soon, a few that come together in one call.
	sizePause = 2 * time.Second
	// readTries is how often a new process tries to read what the store keeps for it,
	// each readPause.
	readTries = 5
	readPause = 2 * time.Second
)

// fleetKey is the store's object with the size of the fleet and its addresses, for
// processes that start when nobody else is left to tell.
const fleetKey = "fleet/size"

// fleetRecord is the content of that object.
type fleetRecord struct {
	Daemons int
	// Addresses are those at which peers are called. A process of the version before reads
	// them; Members say besides whose they are, so that a new process finds its relays.
	Addresses []string
	Members   []fleetMember `json:",omitempty"`
}

// fleetMember is a daemon in that object.
type fleetMember struct {
	Host    identifier.Host
	Zone    identifier.AvailabilityZone
	Address string
}

// keepSize writes the fleet's size and addresses down when it has grown, or when
// daemons have come at other addresses.
func (u *duties) keepSize(ctx context.Context) {
	now := time.Now()
	if now.Sub(u.sized) < sizePause {
		return
	}
	u.sized = now
	daemons := u.g.daemons()
	addresses := append(u.g.swapper.LiveAddresses(), u.g.c.Deployment.Peers.String())
	slices.Sort(addresses)
	if int64(daemons) <= u.g.storedSize.Load() && !u.unknown(addresses) {
		return
	}
	version := object.Absent
	o, err := u.g.store.Get(ctx, fleetKey)
	if err == nil {
		version = o.Version
	} else if !errors.Is(err, object.ErrMissing) {
		u.g.c.Logger.Warn("size of the fleet not stored", "error", err)
		return
	}
	record := fleetRecord{Daemons: max(daemons, int(u.g.storedSize.Load())), Addresses: addresses, Members: u.members(now)}
	if _, err := u.g.store.Put(ctx, fleetKey, version, record); err != nil {
		u.g.c.Logger.Warn("size of the fleet not stored", "error", err)
		return
	}
	u.g.storedSize.Store(int64(record.Daemons))
	u.addresses = addresses
}

// members are the daemons that live, this one included.
func (u *duties) members(now time.Time) []fleetMember {
	d := u.g.c.Deployment
	out := []fleetMember{{d.Host, d.AvailabilityZone, d.Peers.String()}}
	for _, o := range u.g.roster.LiveDaemons(now) {
		out = append(out, fleetMember{o.Host, o.Zone, o.Address})
	}
	return out
}

// unknown tells whether some addresses are not among those stored.
func (u *duties) unknown(addresses []string) bool {
	for _, a := range addresses {
		if _, found := slices.BinarySearch(u.addresses, a); !found {
			return true
		}
	}
	return false
}

// readAtStart is a service that reads something once that is in the store for
// processes that start when no peer can tell. It tries again for a while: a store that
// is away for a moment is no reason to take a fleet of sixty for one of four.
func (g *Gateway) readAtStart(what string, read func(context.Context) error) service {
	return func(ctx context.Context) error {
		for n := 0; n < readTries && ctx.Err() == nil; n++ {
			err := read(ctx)
			if err == nil || errors.Is(err, object.ErrMissing) {
				break
			}
			g.c.Logger.Warn(what+" not read", "error", err)
			waiter.For(ctx, readPause)
		}
		return suture.ErrDoNotRestart
	}
}

// readSize takes over the fleet's size and addresses.
func (g *Gateway) readSize(ctx context.Context) error {
	o, err := g.store.Get(ctx, fleetKey)
	if err != nil {
		return err
	}
	var r fleetRecord
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return fmt.Errorf("gateway: %s: %w", fleetKey, err)
	}
	g.toldSize.Store(max(g.toldSize.Load(), int64(r.Daemons)))
	g.storedSize.Store(int64(r.Daemons))
	for _, m := range r.Members {
		g.roster.AddNamed(m.Host, m.Zone, m.Address)
	}
	for _, address := range r.Addresses {
		g.roster.Add(address)
	}
	g.c.Logger.Info("fleet read from the store", "daemons", r.Daemons, "addresses", len(r.Addresses), "revision", o.Version)
	return nil
}
