// Package reconciler makes a zone's engines load the models that the configuration names for
// their pools.
//
// The holder of a zone's lease asks each engine of the zone which model it has loaded, and
// orders the wanted one where it differs. In one round it changes at most a quarter of a pool's
// engines that serve another model, so that enough of the old one stay in service during a
// roll-out. Engines without a model come first, and all loads keep within the configured rate.
//
// Each order carries the fencing number of the lease, which is checked right before sending;
// see package leaser. An order states the wanted model, so repeating it changes nothing.
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
	// One round changes at most 1/rolloutDivisor of a pool's engines.
	rolloutDivisor = 4
)

// Lease reports whether this controller holds the zone's lease; see package leaser.
type Lease interface {
	Held() (fencing uint64, held bool)
	HeldExclusively() (fencing uint64, held bool)
}

// Config holds the dependencies of a [Reconciler].
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

// Reconciler sends model orders while its controller holds the zone's lease.
type Reconciler struct {
	c     Config
	loads *rate.Limiter
}

// New returns a Reconciler. A Period of 0 means one second.
func New(c Config) *Reconciler {
	if c.Period == 0 {
		c.Period = defaultPeriod
	}
	return &Reconciler{c: c}
}

// Serve runs a round every Period until ctx ends.
func (r *Reconciler) Serve(ctx context.Context) error {
	return waiter.Every(ctx, r.c.Period, r.reconcile)
}

func (r *Reconciler) reconcile(ctx context.Context) {
	s := r.c.Keeper.Current()
	if _, held := r.c.Lease.Held(); !held || s == nil {
		return
	}
	r.setLoadRate(s.Plan.Configuration.Fleet.LoadsPerMinute)
	endpoints := r.c.Registry.Endpoints()
	var idle, other []task
	for i := range s.Plan.Configuration.Pools {
		if p := &s.Plan.Configuration.Pools[i]; p.Model != "" {
			a, b := r.poolTasks(ctx, p, endpoints)
			idle, other = append(idle, a...), append(other, b...)
		}
	}
	// Engines without a model can't serve any requests yet, so they come first.
	for _, t := range append(idle, other...) {
		if !r.loads.Allow() {
			return
		}
		r.sendOrder(ctx, &t)
	}
}

// setLoadRate sets the rate of model loads to the configured one, unlimited if it is 0. A
// changed limiter starts with its burst of one load, so that a change grants no larger burst.
func (r *Reconciler) setLoadRate(perMinute int) {
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
	pool        *document.Pool
	endpoint    candidate.Candidate
	loadedModel string
}

// poolTasks returns the engines of a pool without any model, and as many of those with another
// model as may change at once.
func (r *Reconciler) poolTasks(ctx context.Context, p *document.Pool, endpoints []candidate.Candidate) (idle, other []task) {
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
	return idle, other[:min(len(other), max(count/rolloutDivisor, 1))]
}

// sendOrder sends the order if the lease still permits it.
func (r *Reconciler) sendOrder(ctx context.Context, t *task) {
	fencing, held := r.c.Lease.Held()
	if !t.pool.HonoursFencing {
		fencing, held = r.c.Lease.HeldExclusively()
	}
	if !held {
		return
	}
	err := r.c.Caller.Order(ctx, t.endpoint.Address, &order.Order{FencingNumber: fencing, Model: t.pool.Model})
	r.audit(ctx, t.pool, &t.endpoint, t.loadedModel, fencing, err)
}

func (r *Reconciler) audit(ctx context.Context, p *document.Pool, c *candidate.Candidate, loadedModel string, fencing uint64, err error) {
	outcome := "done"
	if err != nil {
		outcome = err.Error()
	}
	e := auditor.Entry{
		When: time.Now().UTC(), Who: fmt.Sprintf("%s (lease %d)", r.c.Host, fencing), Host: c.Host,
		What: fmt.Sprintf("load %s on %s", p.Model, c.Endpoint), Outcome: outcome, ID: uuid.NewString(),
		Cause: fmt.Sprintf("configuration %d wants %s in pool %s, found %q", r.c.Keeper.Number(), p.Model, p.Name, loadedModel),
	}
	r.c.Logger.Info("order", "endpoint", c.Endpoint, "model", p.Model, "fencing", fencing, "outcome", outcome)
	if err := r.c.Trail.Add(ctx, e); err != nil {
		r.c.Logger.Warn("writing the audit trail failed", "error", err)
	}
}
