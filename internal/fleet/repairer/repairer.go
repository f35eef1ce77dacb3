// Package repairer keeps a zone's pools at their wanted size.
//
// A repair has three steps. The lease holder stores an intent for each host it is going to
// start, with a token of its own; it asks the cloud to start the hosts; it stores the answers.
// The first step is one conditional write for a whole wave of reclaims. A lease holder that
// crashes after any step, or loses the answer to a call, leaves a record from which its
// successor continues: the successor repeats the call with the same token, and the cloud starts
// no second host. So no host is started twice and none is forgotten.
//
// A place that refuses is not asked again for a backoff that doubles, with jitter, and the
// planner continues with the next best place at once. The backoff is part of the record, so
// that a successor does not repeat calls that were refused.
//
// While the platform is unreachable the lease expires and no repairs are made; entry daemons
// keep serving with the endpoints there are. Afterwards the whole difference is repaired at
// once.
//
// # Usage
//
//	r := repairer.New(repairer.Config{...})
//	err := r.Serve(ctx) // works while its controller holds the zone's lease
package repairer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"brasschute/internal/config/document"
	"brasschute/internal/config/keeper"
	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/fleet/auditor"
	"brasschute/internal/fleet/planner"
	"brasschute/internal/platform/cloud"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
)

const (
	defaultPeriod = time.Second
	minBackoff    = 2 * time.Second
	// maxBackoff is short compared with the value of a place that has hosts again, and long
	// compared with the cost of one refused call.
	maxBackoff = 8 * time.Second
	// listingTimeout is how long a started host may take to be listed; after that it counts as
	// lost and is replaced.
	listingTimeout = 5 * time.Minute
	// maxPlansPerRound limits the places that are tried one after another in a round.
	maxPlansPerRound = 8
	// maxRefusals limits the size of the record.
	maxRefusals = 256
)

// Store is the platform's object API.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, ifVersion uint64, value any) (object.Object, error)
}

// Cloud starts and stops hosts.
type Cloud interface {
	Start(ctx context.Context, s *cloud.Start) (identifier.Host, error)
	Stop(ctx context.Context, h identifier.Host) error
}

// Lease reports whether this controller holds the zone's lease.
type Lease interface {
	Held() (fencing uint64, held bool)
}

// Hosts is the platform's list of hosts.
type Hosts interface {
	Hosts() []inventory.Host
	HostLeaving(h *inventory.Host) bool
}

// Trail stores audit entries.
type Trail interface {
	Add(ctx context.Context, entries ...auditor.Entry) error
}

// Config holds the dependencies of a [Repairer].
type Config struct {
	Host   identifier.Host
	Zone   identifier.AvailabilityZone
	Keeper *keeper.Keeper
	Hosts  Hosts
	Store  Store
	Cloud  Cloud
	Lease  Lease
	Trail  Trail
	Logger *log.Logger
	Period time.Duration
}

// Repairer repairs the pools of one zone.
type Repairer struct {
	c Config

	record         Record
	version        uint64
	loaded         bool
	pendingEntries []auditor.Entry
	// unsent are the tokens of this plan that the cloud has not been asked for yet.
	unsent map[string]bool
	// hosts is the host list of this round: planning and counting must use the same list.
	hosts []inventory.Host
}

// New returns a Repairer. A Period of 0 means one second.
func New(c Config) *Repairer {
	if c.Period == 0 {
		c.Period = defaultPeriod
	}
	return &Repairer{c: c}
}

// Serve runs a round every Period until ctx ends.
func (r *Repairer) Serve(ctx context.Context) error {
	return waiter.Every(ctx, r.c.Period, r.round)
}

// round runs one repair. Any failure ends it; the next round starts from the stored record.
func (r *Repairer) round(ctx context.Context) {
	s := r.c.Keeper.Current()
	if _, held := r.c.Lease.Held(); !held || s == nil {
		r.loaded = false
		return
	}
	err := r.repair(ctx, &s.Plan.Configuration)
	if err != nil {
		// The stored record may differ from the one in memory.
		r.loaded = false
		r.c.Logger.Warn("repair", "zone", r.c.Zone, "error", err)
	}
	r.flushAudit(ctx)
}

func (r *Repairer) repair(ctx context.Context, d *document.Configuration) error {
	if err := r.read(ctx); err != nil {
		return err
	}
	if _, err := r.startHosts(ctx); err != nil {
		return err
	}
	r.hosts = r.c.Hosts.Hosts()
	for range maxPlansPerRound {
		r.unsent = make(map[string]bool)
		next := r.prune()
		stops := r.addIntents(d, &next)
		if err := r.write(ctx, &next); err != nil {
			return err
		}
		for _, h := range stops {
			r.stop(ctx, h)
		}
		refused, err := r.startHosts(ctx)
		if err != nil || !refused {
			return err
		}
		// The next best place may have what this one refused.
	}
	return nil
}

// startHosts asks the cloud for the hosts of all intents that have no answer yet, and reports
// whether a place refused.
func (r *Repairer) startHosts(ctx context.Context) (refused bool, err error) {
	next := r.cloneRecord()
	for i := 0; i < len(next.Intents); {
		in := &next.Intents[i]
		if in.Host != "" {
			i++
			continue
		}
		// A lease holder that was paused and lost its lease must not continue.
		if _, held := r.c.Lease.Held(); !held {
			break
		}
		if r.unsent[in.Token] && next.backingOff(in.Place) {
			// Another host of this wave was just refused there. Only an intent that was never
			// sent to the cloud may be dropped: any other may have started a host.
			next.Intents = slices.Delete(next.Intents, i, i+1)
			continue
		}
		delete(r.unsent, in.Token)
		host, err := r.c.Cloud.Start(ctx, &cloud.Start{
			Token: in.Token, AvailabilityZone: in.Place.AvailabilityZone, Class: in.Place.Class, Pool: in.Pool, Owner: r.c.Zone,
		})
		switch {
		case err == nil:
			in.Host = host
			in.AtUnixMilli = time.Now().UnixMilli()
			r.audit(host, fmt.Sprintf("start a host for %s in %s, %s", in.Pool, in.Place.AvailabilityZone, in.Place.Class), "the pool is short", "started")
			i++
		case errors.Is(err, cloud.ErrRefused):
			r.audit("", fmt.Sprintf("start a host for %s in %s, %s", in.Pool, in.Place.AvailabilityZone, in.Place.Class), "the pool is short", "refused")
			next.backOff(in.Place)
			refused = true
			next.Intents = slices.Delete(next.Intents, i, i+1)
		default:
			i++
		}
	}
	return refused, r.write(ctx, &next)
}

// prune returns the record without intents whose host is listed, or was not listed within
// listingTimeout, and without refusals whose backoff ended long ago.
func (r *Repairer) prune() Record {
	known := make(map[identifier.Host]bool)
	for _, h := range r.hosts {
		known[h.Host] = true
	}
	next := r.cloneRecord()
	now := time.Now()
	next.Intents = slices.DeleteFunc(next.Intents, func(in Intent) bool {
		return in.Host != "" && (known[in.Host] || now.Sub(time.UnixMilli(in.AtUnixMilli)) > listingTimeout)
	})
	next.Refusals = slices.DeleteFunc(next.Refusals, func(f Refusal) bool {
		return now.Sub(time.UnixMilli(f.UntilUnixMilli)) > maxBackoff
	})
	if len(next.Refusals) > maxRefusals {
		next.Refusals = next.Refusals[len(next.Refusals)-maxRefusals:]
	}
	return next
}

// addIntents adds intents for missing hosts, for the pool with the largest shortfall first, and
// returns the hosts to stop.
func (r *Repairer) addIntents(d *document.Configuration, next *Record) []identifier.Host {
	var stops []identifier.Host
	for _, in := range r.inputs(d, next) {
		in.Pending = next.Pending()
		decision := planner.Plan(in)
		for _, place := range decision.Start {
			intent := Intent{Token: uuid.NewString(), Pool: in.Pool, Place: place, AtUnixMilli: time.Now().UnixMilli()}
			r.unsent[intent.Token] = true
			next.Intents = append(next.Intents, intent)
		}
		stops = append(stops, decision.Stop...)
	}
	return stops
}

// inputs returns the planner's input for each pool that has a wanted size in this zone, those
// with the largest relative shortfall first.
func (r *Repairer) inputs(d *document.Configuration, next *Record) []*planner.Input {
	refused := next.BackoffUntil()
	var out []*planner.Input
	shortfall := make(map[identifier.Pool]float64)
	for i := range d.Pools {
		for _, w := range d.Pools[i].Wanted {
			if w.AvailabilityZone != r.c.Zone {
				continue
			}
			in := &planner.Input{
				Zone: r.c.Zone, Pool: d.Pools[i].Name, Wanted: w.Hosts, Hosts: r.hosts, Leaving: r.c.Hosts.HostLeaving,
				Refused: refused, Now: time.Now(), Prices: d.Prices, SpendingPerHour: d.Fleet.SpendingPerHour,
			}
			shortfall[in.Pool] = 1 - float64(planner.Plan(in).Live)/float64(max(w.Hosts, 1))
			out = append(out, in)
		}
	}
	slices.SortStableFunc(out, func(a, b *planner.Input) int {
		if shortfall[a.Pool] > shortfall[b.Pool] {
			return -1
		}
		return 1
	})
	return out
}

// stop asks the cloud to stop a host. Repeating it changes nothing: the cloud gives the host
// one notice only.
func (r *Repairer) stop(ctx context.Context, h identifier.Host) {
	if _, held := r.c.Lease.Held(); !held {
		return
	}
	outcome := "notice given"
	if err := r.c.Cloud.Stop(ctx, h); err != nil {
		outcome = err.Error()
	}
	r.audit(h, "give a host back", fmt.Sprintf("configuration %d wants fewer", r.c.Keeper.Number()), outcome)
}

func (r *Repairer) audit(h identifier.Host, what, cause, outcome string) {
	fencing, _ := r.c.Lease.Held()
	r.pendingEntries = append(r.pendingEntries, auditor.Entry{
		When: time.Now().UTC(), Who: fmt.Sprintf("%s (lease %d)", r.c.Host, fencing), Host: h,
		What: what, Cause: cause, Outcome: outcome, ID: uuid.NewString(),
	})
	r.c.Logger.Info("repair", "host", h, "what", what, "cause", cause, "outcome", outcome)
}

// maxPendingEntries limits the audit entries that are kept in memory during an outage.
const maxPendingEntries = 1024

// flushAudit adds the pending entries to the audit trail in one write.
func (r *Repairer) flushAudit(ctx context.Context) {
	if len(r.pendingEntries) == 0 {
		return
	}
	if err := r.c.Trail.Add(ctx, r.pendingEntries...); err != nil {
		r.pendingEntries = r.pendingEntries[max(len(r.pendingEntries)-maxPendingEntries, 0):]
		return
	}
	r.pendingEntries = nil
}
