// Package reconciler brings a zone's engines to their wanted state.
//
// # What it does now
//
// The configuration names the model of each pool. The leader of a zone asks
// each engine of the zone what it has loaded and orders what differs. In one
// round it orders at most a quarter of a pool, so that a rollout of a new
// version leaves enough engines of the old one serving.
//
// # Orders of two leaders
//
// Each order bears the fencing number of the lease, which is checked right
// before sending; see package leaser. An order states the wanted model, so
// giving it twice changes nothing.
//
// # Usage
//
//	r := reconciler.New(reconciler.Config{...})
//	err := r.Serve(ctx)
package reconciler

import (
	"context"
	"fmt"
	"time"

	"brasschute/internal/config/document"
	"brasschute/internal/config/keeper"
	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/caller"
	"brasschute/internal/engine/order"
	"brasschute/internal/fleet/trail"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/registry"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
)

const (
	defaultPeriod = time.Second
	// rolloutPart bounds the engines of a pool that change in one round.
	rolloutPart = 4
)

// Lease tells whether this controller leads.
type Lease interface {
	Held() (fencing uint64, held bool)
	HeldFor() (fencing uint64, held bool)
}

// Config names the reconciler's collaborators.
type Config struct {
	Host     identifier.Host
	Zone     identifier.AvailabilityZone
	Keeper   *keeper.Keeper
	Registry *registry.Registry
	Caller   *caller.Caller
	Lease    Lease
	Trail    *trail.Trail
	Logger   *log.Logger
	Period   time.Duration
}

// Reconciler works while its controller leads.
type Reconciler struct {
	c Config
}

// New returns a reconciler.
func New(c Config) *Reconciler {
	if c.Period == 0 {
		c.Period = defaultPeriod
	}
	return &Reconciler{c}
}

// Serve reconciles until ctx ends.
func (r *Reconciler) Serve(ctx context.Context) error {
	tick := time.NewTicker(r.c.Period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			r.round(ctx)
		}
	}
}

func (r *Reconciler) round(ctx context.Context) {
	s := r.c.Keeper.InForce()
	if _, held := r.c.Lease.Held(); !held || s == nil {
		return
	}
	endpoints := r.c.Registry.Endpoints()
	for i := range s.Plan.Configuration.Pools {
		if p := &s.Plan.Configuration.Pools[i]; p.Model != "" {
			r.pool(ctx, p, endpoints)
		}
	}
}

func (r *Reconciler) pool(ctx context.Context, p *document.Pool, endpoints []candidate.Candidate) {
	var mine []candidate.Candidate
	for i := range endpoints {
		c := &endpoints[i]
		if c.Pool == p.Name && c.AvailabilityZone == r.c.Zone && !c.Leaving {
			mine = append(mine, *c)
		}
	}
	left := max(len(mine)/rolloutPart, 1)
	for i := range mine {
		if left > 0 && r.engine(ctx, p, &mine[i]) {
			left--
		}
	}
}

// engine orders the wanted model if the engine has another; it reports
// whether it did.
func (r *Reconciler) engine(ctx context.Context, p *document.Pool, c *candidate.Candidate) bool {
	load, err := r.c.Caller.Load(ctx, c.Address)
	if err != nil || load.Model == p.Model {
		return false
	}
	fencing, held := r.c.Lease.Held()
	if !p.HonoursFencing {
		fencing, held = r.c.Lease.HeldFor()
	}
	if !held {
		return false
	}
	err = r.c.Caller.Order(ctx, c.Address, &order.Order{FencingNumber: fencing, Model: p.Model})
	r.note(ctx, p, c, load.Model, fencing, err)
	return true
}

func (r *Reconciler) note(ctx context.Context, p *document.Pool, c *candidate.Candidate, had string, fencing uint64, err error) {
	outcome := "done"
	if err != nil {
		outcome = err.Error()
	}
	e := trail.Entry{
		When: time.Now().UTC(), Who: fmt.Sprintf("%s (lease %d)", r.c.Host, fencing), Host: c.Host,
		What: fmt.Sprintf("load %s on %s", p.Model, c.Endpoint), Outcome: outcome, ID: uuid.NewString(),
		Cause: fmt.Sprintf("configuration %d wants %s in pool %s, found %q", r.c.Keeper.Number(), p.Model, p.Name, had),
	}
	r.c.Logger.Info("order", "endpoint", c.Endpoint, "model", p.Model, "fencing", fencing, "outcome", outcome)
	if err := r.c.Trail.Add(ctx, e); err != nil {
		r.c.Logger.Warn("the trail could not be written", "error", err)
	}
}
