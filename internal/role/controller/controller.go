// Package controller implements the controller daemon.
//
// Every entry host runs one. The controllers of a zone compete for the zone's lease, and its
// holder reconciles the zone's engines with the configuration. A controller may pause or crash at
// any time: no request passes through it, and its successor starts from the state that the
// platform and the engines report.
//
// # Usage
//
//	c := controller.New(controller.Config{Settings: s, Logger: l})
//	err := c.Run(ctx)
package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"brasschute/internal/config/keeper"
	"brasschute/internal/config/settings"
	"brasschute/internal/engine/caller"
	"brasschute/internal/fleet/auditor"
	"brasschute/internal/fleet/leaser"
	"brasschute/internal/fleet/reconciler"
	"brasschute/internal/fleet/repairer"
	"brasschute/internal/fleet/sweeper"
	"brasschute/internal/peer/membertracker"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/platform/client"
	"brasschute/internal/platform/cloud"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
	"brasschute/internal/platform/watcher"
	"brasschute/internal/route/registry"

	"github.com/charmbracelet/log"
	"github.com/thejerf/suture/v4"
)

// Config holds the settings and the logger of a controller.
type Config struct {
	Settings *settings.Settings
	Logger   *log.Logger
}

// Controller is one candidate for its zone's lease. Create it with [New].
type Controller struct {
	c        Config
	tree     *suture.Supervisor
	keeper   *keeper.Keeper
	registry *registry.Registry
}

// New returns a controller that has not started.
func New(c Config) *Controller {
	s := c.Settings
	k := &Controller{c: c, keeper: keeper.New(keeper.Config{}), tree: suture.NewSimple("controller")}
	leaving := membertracker.New(membertracker.Config{Self: &rpc.Member{Host: string(s.Host), AvailabilityZone: string(s.AvailabilityZone)}})
	k.registry = registry.New(registry.Config{LeavingHosts: leaving})
	platform := client.New(client.Config{Address: s.Platform.String(), Source: s.Source()})
	lease := leaser.New(leaser.Config{
		Store: platform, Zone: s.AvailabilityZone, Host: s.Host, Duration: s.Lease.Duration.Std(), OnChange: k.logLease,
	})
	k.tree.Add(watcher.New(watcher.Config{
		Platform: platform, Sink: k,
		Prefixes: []string{
			inventory.ConfigurationPrefix,
			inventory.HostPrefix,
			inventory.NoticePrefix,
		},
	}))
	k.tree.Add(lease)
	k.tree.Add(sweeper.New(sweeper.Config{Store: platform, Zone: s.AvailabilityZone, Lease: lease}))
	steps := auditor.New(auditor.Config{Store: platform, Zone: s.AvailabilityZone})
	k.tree.Add(repairer.New(repairer.Config{
		Host: s.Host, Zone: s.AvailabilityZone, Keeper: k.keeper, Hosts: k.registry, Store: platform,
		Cloud: cloud.New(cloud.Config{Address: s.Platform.String(), Source: s.Source()}), Lease: lease, Trail: steps, Logger: c.Logger,
	}))
	k.tree.Add(reconciler.New(reconciler.Config{
		Host: s.Host, Zone: s.AvailabilityZone, Keeper: k.keeper, Registry: k.registry, Caller: caller.New(caller.Config{Source: s.Source()}),
		Lease: lease, Trail: steps, Logger: c.Logger,
	}))
	return k
}

func (k *Controller) logLease(fencing uint64, held bool) {
	k.c.Logger.Info("lease", "zone", k.c.Settings.AvailabilityZone, "held", held, "fencing", fencing)
}

// Apply applies objects from the platform.
func (k *Controller) Apply(objects []object.Object) {
	for i := range objects {
		k.keeper.Apply(&objects[i])
		k.registry.ApplyObject(&objects[i])
	}
}

// Run works until ctx ends. It leaves the lease to expire: an early release would let a successor
// issue orders while one of this controller's orders is still in flight. It returns an error only
// if the supervisor tree ends early.
func (k *Controller) Run(ctx context.Context) error {
	k.c.Logger.Info("controller started", "zone", k.c.Settings.AvailabilityZone)
	err := k.tree.Serve(ctx)
	if err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("controller: %w", err)
	}
	k.c.Logger.Info("stopped", "at", time.Now().UTC().Format(time.RFC3339))
	return nil
}
