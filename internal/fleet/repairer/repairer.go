// Package repairer keeps a zone's pools at their wanted size.
//
// # Steps, and dying between them
//
// A repair has three steps. The leader writes down what it is going to ask
// for, each host under a token of its own; it asks the cloud; it notes the
// answer. The first step is one conditional write for a whole wave. A leader
// that dies after any step, or whose call's answer is lost, leaves a record
// from which its successor goes on: it asks again with the same token, and the
// cloud starts no second host. So none is started twice and none is forgotten.
//
// # Refusals
//
// A place that refuses rests for a pause that doubles, with jitter, and the
// planner goes on to the next best place at once. The pauses are part of the
// record, so that a successor does not run into the same wall.
//
// # Outages
//
// While the platform is away the lease lapses and nothing is done; entry
// daemons go on serving with what there is. Afterwards the whole difference is
// repaired as one.
//
// # Usage
//
//	r := repairer.New(repairer.Config{...})
//	err := r.Serve(ctx) // works while its controller leads the zone
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
	"brasschute/internal/fleet/planner"
	"brasschute/internal/fleet/auditor"
	"brasschute/internal/platform/cloud"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
)

const (
	defaultPeriod = time.Second
	firstPause    = 2 * time.Second
	// longPause is short against what a place that gives again is worth, and
	// long against what one refused call costs.
	longPause = 8 * time.Second
	// listTime is how long a started host may take until it is listed; after
	// that it counts as lost and is replaced.
	listTime = 5 * time.Minute
	// maxPlans bounds the places that are tried one after another in a round.
	maxPlans = 8
	// keptRefusals bounds the record.
	keptRefusals = 256
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

// Lease tells whether this controller leads.
type Lease interface {
	Held() (fencing uint64, held bool)
}

// Hosts knows what the platform lists.
type Hosts interface {
	Hosts() []inventory.Host
	HostLeaving(h *inventory.Host) bool
}

// Trail records steps.
type Trail interface {
	Add(ctx context.Context, entries ...auditor.Entry) error
}

// Config names the repairer's collaborators.
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

// Repairer repairs one zone.
type Repairer struct {
	c Config

	record  Record
	version uint64
	known   bool
	entries []auditor.Entry
	// fresh are the tokens of this plan that have not been asked for yet.
	fresh map[string]bool
	// hosts are those of this round: planning and counting must not see two
	// different lists.
	hosts []inventory.Host
}

// New returns a repairer.
func New(c Config) *Repairer {
	if c.Period == 0 {
		c.Period = defaultPeriod
	}
	return &Repairer{c: c}
}

// Serve repairs until ctx ends.
func (r *Repairer) Serve(ctx context.Context) error {
	return waiter.Every(ctx, r.c.Period, r.round)
}

// round does what can be done now. Any failure ends it; the next one starts
// from the record.
func (r *Repairer) round(ctx context.Context) {
	s := r.c.Keeper.Current()
	if _, held := r.c.Lease.Held(); !held || s == nil {
		r.known = false
		return
	}
	err := r.repair(ctx, &s.Plan.Configuration)
	if err != nil {
		// What the platform holds may differ from what is remembered.
		r.known = false
		r.c.Logger.Warn("repair", "zone", r.c.Zone, "error", err)
	}
	r.tell(ctx)
}

func (r *Repairer) repair(ctx context.Context, d *document.Configuration) error {
	if err := r.read(ctx); err != nil {
		return err
	}
	if _, err := r.ask(ctx); err != nil {
		return err
	}
	r.hosts = r.c.Hosts.Hosts()
	for range maxPlans {
		r.fresh = make(map[string]bool)
		next := r.listed()
		stops := r.plan(d, &next)
		if err := r.write(ctx, &next); err != nil {
			return err
		}
		for _, h := range stops {
			r.stop(ctx, h)
		}
		refused, err := r.ask(ctx)
		if err != nil || !refused {
			return err
		}
		// What one place refused the next best may give at once.
	}
	return nil
}

// ask carries out the intents that have no answer yet, and reports whether a
// place refused.
func (r *Repairer) ask(ctx context.Context) (refused bool, err error) {
	next := r.copy()
	for i := 0; i < len(next.Intents); {
		in := &next.Intents[i]
		if in.Host != "" {
			i++
			continue
		}
		// A leader that lost its lease while it was paused must not go on.
		if _, held := r.c.Lease.Held(); !held {
			break
		}
		if r.fresh[in.Token] && next.rests(in.Place) {
			// Another of this wave was refused there just now. Only an intent
			// that nobody has asked for yet may be dropped unasked: any other
			// may have started a host.
			next.Intents = slices.Delete(next.Intents, i, i+1)
			continue
		}
		delete(r.fresh, in.Token)
		host, err := r.c.Cloud.Start(ctx, &cloud.Start{
			Token: in.Token, AvailabilityZone: in.Place.AvailabilityZone, Class: in.Place.Class, Pool: in.Pool, Owner: r.c.Zone,
		})
		switch {
		case err == nil:
			in.Host = host
			in.AtUnixMilli = time.Now().UnixMilli()
			r.note(host, fmt.Sprintf("start a host for %s in %s, %s", in.Pool, in.Place.AvailabilityZone, in.Place.Class), "the pool is short", "started")
			i++
		case errors.Is(err, cloud.ErrRefused):
			r.note("", fmt.Sprintf("start a host for %s in %s, %s", in.Pool, in.Place.AvailabilityZone, in.Place.Class), "the pool is short", "refused")
			next.refuse(in.Place)
			refused = true
			next.Intents = slices.Delete(next.Intents, i, i+1)
		default:
			i++
		}
	}
	return refused, r.write(ctx, &next)
}

// listed drops intents whose host is listed, or never was in all its time, and
// refusals that are long over.
func (r *Repairer) listed() Record {
	known := make(map[identifier.Host]bool)
	for _, h := range r.hosts {
		known[h.Host] = true
	}
	next := r.copy()
	now := time.Now()
	next.Intents = slices.DeleteFunc(next.Intents, func(in Intent) bool {
		return in.Host != "" && (known[in.Host] || now.Sub(time.UnixMilli(in.AtUnixMilli)) > listTime)
	})
	next.Refusals = slices.DeleteFunc(next.Refusals, func(f Refusal) bool {
		return now.Sub(time.UnixMilli(f.UntilUnixMilli)) > longPause
	})
	if len(next.Refusals) > keptRefusals {
		next.Refusals = next.Refusals[len(next.Refusals)-keptRefusals:]
	}
	return next
}

// plan adds intents for what is missing, the shortest pool first, and returns
// the hosts to give back.
func (r *Repairer) plan(d *document.Configuration, next *Record) []identifier.Host {
	var stops []identifier.Host
	for _, v := range r.views(d, next) {
		v.Pending = next.Pending()
		decision := planner.Plan(v)
		for _, place := range decision.Start {
			in := Intent{Token: uuid.NewString(), Pool: v.Pool, Place: place, AtUnixMilli: time.Now().UnixMilli()}
			r.fresh[in.Token] = true
			next.Intents = append(next.Intents, in)
		}
		stops = append(stops, decision.Stop...)
	}
	return stops
}

// views lists the pools that have a wanted size in this zone, those that lack
// the largest part of it first.
func (r *Repairer) views(d *document.Configuration, next *Record) []*planner.Input {
	refused := next.BackoffUntil()
	var out []*planner.Input
	lack := make(map[identifier.Pool]float64)
	for i := range d.Pools {
		for _, w := range d.Pools[i].Wanted {
			if w.AvailabilityZone != r.c.Zone {
				continue
			}
			v := &planner.Input{
				Zone: r.c.Zone, Pool: d.Pools[i].Name, Wanted: w.Hosts, Hosts: r.hosts, Leaving: r.c.Hosts.HostLeaving,
				Refused: refused, Now: time.Now(), Prices: d.Prices, SpendingPerHour: d.Fleet.SpendingPerHour,
			}
			lack[v.Pool] = 1 - float64(planner.Plan(v).Live)/float64(max(w.Hosts, 1))
			out = append(out, v)
		}
	}
	slices.SortStableFunc(out, func(a, b *planner.Input) int {
		if lack[a.Pool] > lack[b.Pool] {
			return -1
		}
		return 1
	})
	return out
}

// stop gives a host back. Repeating it changes nothing: the cloud gives the
// host one notice.
func (r *Repairer) stop(ctx context.Context, h identifier.Host) {
	if _, held := r.c.Lease.Held(); !held {
		return
	}
	outcome := "notice given"
	if err := r.c.Cloud.Stop(ctx, h); err != nil {
		outcome = err.Error()
	}
	r.note(h, "give a host back", fmt.Sprintf("configuration %d wants fewer", r.c.Keeper.Number()), outcome)
}

func (r *Repairer) note(h identifier.Host, what, cause, outcome string) {
	fencing, _ := r.c.Lease.Held()
	r.entries = append(r.entries, auditor.Entry{
		When: time.Now().UTC(), Who: fmt.Sprintf("%s (lease %d)", r.c.Host, fencing), Host: h,
		What: what, Cause: cause, Outcome: outcome, ID: uuid.NewString(),
	})
	r.c.Logger.Info("repair", "host", h, "what", what, "cause", cause, "outcome", outcome)
}

// maxEntries bounds what waits for the trail during an outage.
const maxEntries = 1024

// tell writes the round's steps into the trail, in one write.
func (r *Repairer) tell(ctx context.Context) {
	if len(r.entries) == 0 {
		return
	}
	if err := r.c.Trail.Add(ctx, r.entries...); err != nil {
		r.entries = r.entries[max(len(r.entries)-maxEntries, 0):]
		return
	}
	r.entries = nil
}
