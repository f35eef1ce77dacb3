// Package deployment holds the settings that a hosting platform fills in for each
// process that it starts: its addresses, its zone, and the bounds it must keep.
//
// They are independent of the product's own YAML file, which package settings
// parses. Package platform decodes them from the platform's format.
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

// Bounds holds the times and limits that the deployment guarantees to its users.
type Bounds struct {
	// DrainTime is how long a leaving endpoint still accepts requests.
	DrainTime time.Duration
	// ApplyTime is how long an accepted configuration may take to come into force.
	ApplyTime time.Duration
	// GracePeriod is the time between the stop signal and the kill.
	GracePeriod time.Duration
	// LeaseTime is the shortest time between two holders of a lease.
	LeaseTime time.Duration
	// RetryShare and RetryReserve are the retry budget of one service over all
	// hosts: a fraction of its requests, plus a constant per RetryWindow.
	RetryShare   float64
	RetryReserve float64
	RetryWindow  time.Duration
	// QuotaWindow is the window over which an organisation's quota is measured.
	QuotaWindow time.Duration
	// QuotaOverage, a fraction of the quota, and QuotaSlack, in the quota's unit,
	// are tolerated above the quota.
	QuotaOverage float64
	QuotaSlack   float64
	// UsageWindow is the length of the window of one usage report.
	UsageWindow time.Duration
	// UsageDue is the time after the end of a window by which its report is due.
	UsageDue time.Duration
	// CanaryShare of all requests for a service, plus CanarySlack requests, may go to a
	// target version that turns out to be bad, and none later than RevertTime after that.
	CanaryShare float64
	CanarySlack float64
	RevertTime  time.Duration
	// PrefixCacheTTL is how long a prompt's prefix is assumed to stay in an engine's
	// prefix cache.
	PrefixCacheTTL time.Duration
}

// Deployment holds the platform's settings for one process.
type Deployment struct {
	Host             identifier.Host
	AvailabilityZone identifier.AvailabilityZone
	IP               netip.Addr
	Zones            []identifier.AvailabilityZone
	// Callers, Readiness and Peers are the addresses to listen on: for client
	// requests, for the load balancer's readiness checks, and for calls of other
	// daemons and of operators on the host.
	Callers   netip.AddrPort
	Readiness netip.AddrPort
	Peers     netip.AddrPort
	// Metrics is the address at which counters are served.
	Metrics netip.AddrPort
	// Seeds are the addresses of peers to contact first; they may be stale.
	Seeds []netip.AddrPort
	// Store and Cloud are the addresses of the platform's APIs. Cloud is invalid if
	// the deployment has neither usage reports nor fleet sizing.
	Store netip.AddrPort
	Cloud netip.AddrPort
	// UsageReports and FleetSizing state which lease holder duties the deployment
	// requires.
	UsageReports bool
	FleetSizing  bool
	// Rollouts is set if operators order roll-outs of service versions.
	Rollouts bool
	// MemoryBytes is the memory limit at which the process is killed.
	MemoryBytes int64
	// Descriptors is the number of file descriptors that the process may have open; 0 if not known.
	Descriptors int
	// LinkBytesPerSecond is the bandwidth of the host's link in each direction; 0 if not
	// known.
	LinkBytesPerSecond float64
	// FirstStart is set if the whole system starts for the first time.
	FirstStart bool
	Bounds     Bounds
}

// Check returns an error that lists every invalid field with the file, the field,
// what was found and what is allowed. file is the name shown in the error.
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

// maxDuration is far above any useful bound for a request or a stop.
const maxDuration = 24 * time.Hour

func (d *Deployment) checkBounds(report func(field, found, allowed string)) {
	for _, b := range []struct {
		field string
		value time.Duration
	}{
		{"drain time", d.Bounds.DrainTime},
		{"apply time", d.Bounds.ApplyTime},
		{"grace time", d.Bounds.GracePeriod},
		{"lease time", d.Bounds.LeaseTime},
		{"retry window", d.Bounds.RetryWindow},
		{"quota window", d.Bounds.QuotaWindow},
		{"usage window", d.Bounds.UsageWindow},
	} {
		if b.value <= 0 || b.value > maxDuration {
			report(b.field, b.value.String(), "above 0 and at most "+maxDuration.String())
		}
	}
	if d.Bounds.RetryShare < 0 || d.Bounds.RetryShare > 1 {
		report("retry share", fmt.Sprint(d.Bounds.RetryShare), "0 to 1")
	}
}
