// Package deployment holds what one process is told of its surroundings when
// the platform starts it.
//
// # Settings of the host, not of the product
//
// Package settings reads the product's own YAML file. Here are the fields that
// a hosting platform fills in for each process, in the project's terms; package
// platform decodes them from the platform's format.
//
// # Usage
//
//	d, err := platform.ReadDeployment(path)
//	if err := d.Check(path); err != nil { stop }
package deployment

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"brasschute/internal/core/identifier"
)

// Bounds are the times and sizes within which the deployment promises its
// users that things happen.
type Bounds struct {
	// DrainTime is how long a leaving endpoint still takes requests.
	DrainTime time.Duration
	// ApplyTime is how long an accepted configuration may take to be in force.
	ApplyTime time.Duration
	// Grace is the time between the order to stop and the kill.
	Grace time.Duration
	// LeaseTime is the shortest time between two holders of a duty.
	LeaseTime time.Duration
	// RetryShare and RetryReserve bound the repeated sends to one service over
	// all hosts: a share of its requests, plus a constant for each RetryWindow.
	RetryShare   float64
	RetryReserve float64
	RetryWindow  time.Duration
	// QuotaWindow is the span over which an organisation's quota is judged.
	QuotaWindow time.Duration
	// QuotaOverage, a part of the quota, and QuotaSlack, in the quotas' unit,
	// are tolerated beyond it.
	QuotaOverage float64
	QuotaSlack   float64
	// UsageWindow is the span of one usage report.
	UsageWindow time.Duration
	// UsageDue is how long after its end a window's report is due.
	UsageDue time.Duration
	// CanaryShare of all requests for a service, and TrialSlack requests, may go to a version
	// of its endpoints that turns out to be bad, and none later than RevertTime after it has.
	CanaryShare float64
	CanarySlack float64
	RollbackTime time.Duration
	// PrefixCacheTTL is how long an engine's cached prompt part counts as cached.
	PrefixCacheTTL time.Duration
}

// Deployment is what a process knows at its start.
type Deployment struct {
	Host             identifier.Host
	AvailabilityZone identifier.AvailabilityZone
	IP               netip.Addr
	Zones            []identifier.AvailabilityZone
	// Callers takes requests, Readiness answers the balancer, Peers takes the
	// calls of other daemons and of operators on the host.
	Callers   netip.AddrPort
	Readiness netip.AddrPort
	Peers     netip.AddrPort
	// Metrics is where counters are served.
	Metrics netip.AddrPort
	// Seeds are peers' addresses, possibly stale.
	Seeds []netip.AddrPort
	// Store and Cloud are the platform's addresses; Cloud is not valid where
	// there are no orders or reports.
	Store netip.AddrPort
	Cloud netip.AddrPort
	// UsageReports and Orders say which duties the deployment asks for.
	UsageReports bool
	FleetSizing  bool
	// Rollouts: operators order that services be moved to other versions.
	Rollouts bool
	// MemoryBytes is the limit at which the process is killed.
	MemoryBytes int64
	// LinkBytesPerSecond is what the host's link carries in a second, each way; 0 if not known.
	LinkBytesPerSecond float64
	// FirstStart: the whole system starts for the first time.
	FirstStart bool
	Bounds     Bounds
}

// Check reports every field that a daemon can't run with, naming the file, the
// field, what was found and what is allowed.
func (d *Deployment) Check(file string) error {
	var problems []error
	report := func(field, found, allowed string) {
		problems = append(problems, fmt.Errorf("%s: %s: found %s, allowed is %s", file, field, found, allowed))
	}
	if d.Host == "" {
		report("host name", "nothing", "a name")
	}
	if d.AvailabilityZone == "" {
		report("availability zone", "nothing", "a name")
	}
	for _, a := range []struct {
		field   string
		address netip.AddrPort
	}{
		{"address for callers", d.Callers},
		{"address for readiness", d.Readiness},
		{"address for peers", d.Peers},
		{"address of the store", d.Store},
	} {
		if !a.address.IsValid() || a.address.Port() == 0 {
			report(a.field, "no address", "IP:port")
		}
	}
	if (d.UsageReports || d.FleetSizing) && !d.Cloud.IsValid() {
		report("address for orders and reports", "no address", "IP:port")
	}
	d.checkBounds(report)
	return errors.Join(problems...)
}

// longest is far beyond any bound that makes sense for a request or a stop.
const longest = 24 * time.Hour

func (d *Deployment) checkBounds(report func(field, found, allowed string)) {
	for _, b := range []struct {
		field string
		value time.Duration
	}{
		{"drain time", d.Bounds.DrainTime},
		{"apply time", d.Bounds.ApplyTime},
		{"grace time", d.Bounds.Grace},
		{"lease time", d.Bounds.LeaseTime},
		{"retry window", d.Bounds.RetryWindow},
		{"quota window", d.Bounds.QuotaWindow},
		{"usage window", d.Bounds.UsageWindow},
	} {
		if b.value <= 0 || b.value > longest {
			report(b.field, b.value.String(), "above 0 and at most "+longest.String())
		}
	}
	if d.Bounds.RetryShare < 0 || d.Bounds.RetryShare > 1 {
		report("retry share", fmt.Sprint(d.Bounds.RetryShare), "0 to 1")
	}
}
