// Package reconciler brings a zone's engines to their wanted state.
//
// # What it does now
//
// The configuration names the model of each pool. The leader of a zone asks
// each engine of the zone what it has loaded and orders what differs. In one
// round it changes at most a quarter of a pool's engines that serve another
// version, so that a rollout leaves enough of the old one serving. Engines
// without a model come first, and all loads keep within the configured rate.
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
	"brasschute/internal/core/waiter"
	"brasschute/internal/engine/caller"
	"brasschute/internal/engine/order"
	"brasschute/internal/fleet/auditor"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/registry"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"golang.org/x/time/rate"
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
	Trail    *auditor.Trail
	Logger   *log.Logger
	Period   time.Duration
}

// Reconciler works while its controller leads.
type Reconciler struct {
	c     Config
	loads *rate.Limiter
}

// New returns a reconciler.
func New(c Config) *Reconciler {
	if c.Period == 0 {
		c.Period = defaultPeriod
	}
	return &Reconciler{c: c}
}

// Serve reconciles until ctx ends.
func (r *Reconciler) Serve(ctx context.Context) error {
	return waiter.Every(ctx, r.c.Period, r.round)
}

func (r *Reconciler) round(ctx context.Context) {
	s := r.c.Keeper.Current()
	if _, held := r.c.Lease.Held(); !held || s == nil {
		return
	}
	r.limit(s.Plan.Configuration.Fleet.LoadsPerMinute)
	endpoints := r.c.Registry.Endpoints()
	var idle, other []task
	for i := range s.Plan.Configuration.Pools {
		if p := &s.Plan.Configuration.Pools[i]; p.Model != "" {
			a, b := r.pool(ctx, p, endpoints)
			idle, other = append(idle, a...), append(other, b...)
		}
	}
	// Engines without any model serve nobody yet: they come first.
	for _, t := range append(idle, other...) {
		if !r.loads.Allow() {
			return
		}
		r.order(ctx, &t)
	}
}

// limit brings the rate of loads in line with the configuration. A change
// starts with an empty allowance, so that it does not grant a burst.
func (r *Reconciler) limit(perMinute int) {
	want := rate.Inf
	if perMinute > 0 {
		want = rate.Limit(float64(perMinute) / time.Minute.Seconds())
	}
	if r.loads == nil || r.loads.Limit() != want {
		r.loads = rate.NewLimiter(want, 1)
	}
}

// task is an engine that is to load another model.
type task struct {
	pool     *document.Pool
	endpoint candidate.Candidate
	had      string
}

// pool lists the engines that lack the wanted model: those that have none, and
// as many of the others as a rollout may change at once.
func (r *Reconciler) pool(ctx context.Context, p *document.Pool, endpoints []candidate.Candidate) (idle, other []task) {
	count := 0
	for i := range endpoints {
		c := &endpoints[i]
		if c.Pool != p.Name || c.AvailabilityZone != r.c.Zone || c.Leaving {
			continue
		}
		count++
		load, err := r.c.Caller.Load(ctx, c.Address)
		switch {
		case err != nil || load.Model == p.Model:
		case load.Model == "":
			idle = append(idle, task{p, *c, load.Model})
		default:
			other = append(other, task{p, *c, load.Model})
		}
	}
	return idle, other[:min(len(other), max(count/rolloutPart, 1))]
}

// order gives the order, if the lease still allows it.
func (r *Reconciler) order(ctx context.Context, t *task) {
	fencing, held := r.c.Lease.Held()
	if !t.pool.HonoursFencing {
		fencing, held = r.c.Lease.HeldFor()
	}
	if !held {
		return
	}
	err := r.c.Caller.Order(ctx, t.endpoint.Address, &order.Order{FencingNumber: fencing, Model: t.pool.Model})
	r.note(ctx, t.pool, &t.endpoint, t.had, fencing, err)
}

func (r *Reconciler) note(ctx context.Context, p *document.Pool, c *candidate.Candidate, had string, fencing uint64, err error) {
	outcome := "done"
	if err != nil {
		outcome = err.Error()
	}
	e := auditor.Entry{
		When: time.Now().UTC(), Who: fmt.Sprintf("%s (lease %d)", r.c.Host, fencing), Host: c.Host,
		What: fmt.Sprintf("load %s on %s", p.Model, c.Endpoint), Outcome: outcome, ID: uuid.NewString(),
		Cause: fmt.Sprintf("configuration %d wants %s in pool %s, found %q", r.c.Keeper.Number(), p.Model, p.Name, had),
	}
	r.c.Logger.Info("order", "endpoint", c.Endpoint, "model", p.Model, "fencing", fencing, "outcome", outcome)
	if err := r.c.Trail.Add(ctx, e); err != nil {
		r.c.Logger.Warn("the trail could not be written", "error", err)
	}
}
