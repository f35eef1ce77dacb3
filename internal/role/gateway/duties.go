package gateway

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/fleet/autoscaler"
	"brasschute/internal/fleet/leaser"
	"brasschute/internal/fleet/promoter"
	"brasschute/internal/fleet/sizer"
	"brasschute/internal/fleet/usagereporter"
	"brasschute/internal/peer/gatherer"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/route/demandmeter"
	"brasschute/platform"

	"github.com/cespare/xxhash/v2"
	"github.com/thejerf/suture/v4"
)

const (
	// leaseKey is the key of the lease whose holder performs all duties.
	leaseKey = "leases/duties"
	// maxOrderDelay is how long a call of a former holder may still be in flight: the caller ends
	// calls after a second.
	maxOrderDelay = time.Second
	// holderTimeout is how long a peer counts as the lease holder after it reported so. The
	// holder notifies the candidates every holderNoteInterval.
	holderTimeout      = 1500 * time.Millisecond
	holderNoteInterval = time.Second
	// dutyInterval is how often the holder checks which duties are due.
	dutyInterval = 500 * time.Millisecond
	// takeoverInterval is the same while a new holder waits for calls of the former one.
	takeoverInterval = 50 * time.Millisecond
	// settleMargin is added to the time that other daemons' counts take to arrive.
	settleMargin = 700 * time.Millisecond
	// reportMargin is kept free before the time at which a usage report is due.
	reportMargin = 500 * time.Millisecond
)

// duties are the tasks that only the lease holder performs.
type duties struct {
	g             *Gateway
	cloud         *platform.Cloud
	usageReporter *usagereporter.Reporter
	autoscaler    *autoscaler.Autoscaler
	promoter      *promoter.Promoter
	// gained receives a value when the lease is gained.
	gained chan struct{}
	// grantSequence numbers the announced roll-out grants.
	grantSequence uint64
	// storingStatus is set while a roll-out's status is being stored, and for statusRetryDelay
	// after a failure.
	storingStatus atomic.Bool
	// blockedLoggedAt is when a blocked roll-out was last logged.
	blockedLoggedAt time.Time
	// holderNotedAt is when the candidates were last notified that the lease is held.
	holderNotedAt time.Time
	// notedRevision is the revision of the lease that they were last told.
	notedRevision uint64
	// fleetCheckedAt is when the fleet was last compared with its record; storedAddresses are
	// the addresses in the record.
	fleetCheckedAt  time.Time
	storedAddresses []string
	// storedFleetEra is the store's era in which storedAddresses were stored.
	storedFleetEra uint64
	// storedQuotasVersion is the version of the stored quotas' levels.
	storedQuotasVersion uint64
	// inheritedFencing is the fencing number under which the pools' record was last inherited.
	inheritedFencing uint64
	// storedQuarantine is the state of the stored quarantine, as heldRequests returns it, stored in the
	// store's era storedQuarantineEra.
	storedQuarantine    string
	storedQuarantineEra uint64
}

func (g *Gateway) buildDuties() {
	d := g.c.Deployment
	if !d.UsageReports && !d.FleetSizing && !d.Rollouts {
		return
	}
	gained := make(chan struct{}, 1)
	g.lease = leaser.New(leaser.Config{
		Store: g.store, Key: leaseKey, Host: d.Host, Duration: d.Bounds.LeaseTime, Now: g.uptime,
		MaxOrderDelay: maxOrderDelay, HeldByOther: g.heldByOther, Heard: g.heardLease.get, OnUnreadable: func(err error) { g.logUnreadable([]error{err}) },
		Era: g.store.Era, FirstStart: d.FirstStart,
		OnChange: func(fencing uint64, held bool) {
			g.c.Logger.Info("duties", "held", held, "fencing", fencing)
			if held {
				if g.lease.FirstHolder() {
					g.versions.ConfirmFirst()
				}
				select {
				case gained <- struct{}{}:
				default:
				}
			}
		},
	})
	u := &duties{g: g, gained: gained, cloud: platform.NewCloud(d.Cloud.String(), g.newPlatformClient()), promoter: promoter.New(promoter.Config{MaxShare: d.Bounds.CanaryShare})}
	u.usageReporter = usagereporter.New(usagereporter.Config{
		Store: g.store, Now: g.clock.Now, Window: d.Bounds.UsageWindow, ReportWithin: d.Bounds.UsageDue - reportMargin, SettleDelay: g.settleTime,
		Era: g.store.Era, FirstHolder: g.lease.FirstHolder, DaemonCounts: u.processCounts, Organisations: u.organisations, Send: u.reportUsage, Logger: g.c.Logger,
		Held:       u.holds,
		OnWithheld: func() { g.scope.Counter("usage_windows_withheld").Inc(1) },
	})
	u.autoscaler = autoscaler.New(autoscaler.Config{SetDesired: u.setDesired, Logger: g.c.Logger, FirstStart: d.FirstStart})
	g.tree.Add(serviceFunc(g.keepLease))
	if !d.FirstStart {
		g.tree.Add(g.readOnStart("fleet size", g.readFleet))
		g.tree.Add(g.readOnStart("quota levels", g.readQuotas))
		g.tree.Add(g.readOnStart("requests in quarantine", g.readQuarantine))
	}
	g.tree.Add(serviceFunc(u.serve))
	g.tree.Add(serviceFunc(u.runQuotaStore))
	if d.FleetSizing {
		g.pools = g.buildPools()
		g.tree.Add(serviceFunc(u.runPoolStore))
	}
	if d.Rollouts {
		g.tree.Add(serviceFunc(u.runRollouts))
	}
}

// settleTime returns how long the counts of other daemons take to arrive.
func (g *Gateway) settleTime() time.Duration { return g.syncer.MaxDigestAge() + settleMargin }

// keepLease competes for the lease and renews it until ctx ends or the daemon stops.
func (g *Gateway) keepLease(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for !g.stopping.Load() && waiter.For(ctx, dutyInterval) {
		}
		cancel()
	}()
	err := g.lease.Serve(ctx)
	if g.stopping.Load() {
		return suture.ErrDoNotRestart
	}
	return err
}

// release gives up the lease, so that another daemon can acquire it at once.
func (g *Gateway) release(ctx context.Context) {
	if g.lease == nil {
		return
	}
	held := g.lease.Revision() > 0
	if err := g.lease.Release(ctx); err != nil {
		g.c.Logger.Warn("lease not released, it will expire", "error", err)
	}
	if held {
		// The candidates need not wait for what they have heard to expire.
		g.syncer.SendNotes(ctx, g.observers(time.Now()))
	}
}

// serve performs the due duties until ctx ends: every dutyInterval, and at once when the lease was
// gained and no call of a former holder can be in flight any more.
func (u *duties) serve(ctx context.Context) error {
	for ctx.Err() == nil {
		u.step(ctx)
		pause := dutyInterval
		_, held := u.g.lease.Held()
		if _, exclusive := u.g.lease.HeldExclusively(); held && !exclusive {
			pause = takeoverInterval
		}
		select {
		case <-ctx.Done():
		case <-u.gained:
		case <-time.After(pause):
		}
	}
	return ctx.Err()
}

// step performs the due duties while the lease is held.
func (u *duties) step(ctx context.Context) {
	_, held := u.g.lease.Held()
	if !held || u.g.stopping.Load() {
		return
	}
	u.notifyCandidates(ctx)
	fencing, exclusive := u.g.lease.HeldExclusively()
	if u.g.pools != nil {
		u.inheritPools(ctx, fencing, exclusive)
	}
	if !exclusive {
		return
	}
	// Orders first: the records below may wait for a store that does not answer.
	if u.g.pools != nil {
		u.sizePools(ctx, fencing)
	}
	u.storeFleet(ctx)
	u.storeQuarantine(ctx)
	if u.g.c.Deployment.UsageReports {
		u.usageReporter.Step(ctx, fencing)
	}
}

// holds reports whether the lease is held exclusively under a fencing number.
func (u *duties) holds(fencing uint64) bool {
	now, held := u.g.lease.HeldExclusively()
	return held && now == fencing
}

// leaseHolder returns the credentials of the lease holder for a call. It fails if the lease is no
// longer held under the fencing number that the caller decided with.
func (u *duties) leaseHolder(fencing uint64) (platform.LeaseHolder, error) {
	if !u.holds(fencing) {
		return platform.LeaseHolder{}, errNotHeld
	}
	return platform.LeaseHolder{Host: u.g.c.Deployment.Host, Fencing: fencing}, nil
}

// reportUsage reports the counts of a usage window to the cloud.
func (u *duties) reportUsage(ctx context.Context, fencing uint64, window int64, counts usagereporter.Counts) error {
	holder, err := u.leaseHolder(fencing)
	if err != nil {
		return err
	}
	return u.cloud.ReportUsage(ctx, holder, window, counts)
}

// setDesired sets the desired number of a service's endpoints at the cloud.
func (u *duties) setDesired(ctx context.Context, fencing uint64, s identifier.Service, z identifier.AvailabilityZone, class document.Class, wanted int) error {
	holder, err := u.leaseHolder(fencing)
	if err != nil {
		return err
	}
	return u.cloud.SetDesired(ctx, holder, s, z, class, wanted)
}

// processCounts returns the usage counts of each process, including processes that have ended.
func (u *duties) processCounts() []usagereporter.DaemonCounts {
	var out []usagereporter.DaemonCounts
	own := u.g.newDigest()
	for _, d := range u.newestDigests(own) {
		name := d.GetHost() + "/" + strconv.FormatUint(d.GetIncarnation(), 16)
		c := usagereporter.DaemonCounts{Source: usagereporter.Source(xxhash.Sum64String(name)), Windows: make(map[int64]usagereporter.Counts)}
		for _, n := range d.GetCounts() {
			if c.Windows[n.GetWindow()] == nil {
				c.Windows[n.GetWindow()] = make(usagereporter.Counts)
			}
			c.Windows[n.GetWindow()][identifier.Organisation(n.GetOrganisation())] += int(n.GetCount())
		}
		out = append(out, c)
	}
	return out
}

// newestDigests returns the newest digest of each process, received from the process itself or
// from a relay of its zone.
func (u *duties) newestDigests(own *rpc.Digest) map[processKey]*rpc.Digest {
	now := time.Now()
	out := make(map[processKey]*rpc.Digest)
	for _, e := range slices.Concat(u.g.gatherer.Digests(now), u.g.relayedDigests.Digests(now), []gatherer.Entry{{Digest: own}}) {
		k := processKey{e.Digest.GetHost(), e.Digest.GetIncarnation()}
		// Daemons of other zones do not send their counts.
		if old := out[k]; old == nil || len(old.GetCounts()) == 0 || e.Digest.GetSequence() > old.GetSequence() && len(e.Digest.GetCounts()) > 0 {
			out[k] = e.Digest
		}
	}
	return out
}

// processKey identifies one process of a daemon.
type processKey struct {
	host        string
	incarnation uint64
}

func (u *duties) organisations() []identifier.Organisation {
	c := u.g.versioner.Current()
	if c == nil {
		return nil
	}
	var out []identifier.Organisation
	for _, o := range c.Organisations() {
		out = append(out, o.Name)
	}
	return out
}

// notifyCandidates notifies the candidates for the lease that it is held. In a large fleet
// digests come only every four seconds, and after the loss of a holder its duties would not be
// performed for that much longer. A renewal is announced at the next step, as the candidates count
// from when they hear of it.
func (u *duties) notifyCandidates(ctx context.Context) {
	now, revision := time.Now(), u.g.lease.Revision()
	if now.Sub(u.holderNotedAt) < holderNoteInterval && revision == u.notedRevision {
		return
	}
	u.holderNotedAt, u.notedRevision = now, revision
	u.g.syncer.SendNotes(ctx, u.g.observers(now))
}

// observers returns the addresses of the live peers that watch the store and reach it. They may compete
// for the lease.
func (g *Gateway) observers(now time.Time) []string {
	var addresses []string
	for _, d := range g.roster.LiveDaemons(now) {
		if d.Observing {
			addresses = append(addresses, d.Address)
		}
	}
	return addresses
}

// scalableServices returns the services that can be scaled, with their demand and capacity.
func (u *duties) scalableServices() []autoscaler.Service {
	c := u.g.versioner.Current()
	if c == nil {
		return nil
	}
	demands := u.demands()
	var out []autoscaler.Service
	for _, s := range c.Services() {
		if s.Scale == nil {
			continue
		}
		out = append(out, autoscaler.Service{
			Service: s.Name, Scale: s.Scale, Demand: demands[s.Name], Capacity: u.capacity(&s),
			Zones: u.zoneCapacity(s.Name, s.Scale.Prices),
		})
	}
	return out
}

// capacity returns what one engine of a service can serve.
func (u *duties) capacity(s *catalog.Service) sizer.Capacity {
	slots := 0
	if s.Engine != nil {
		slots = s.Engine.Slots
	}
	return sizer.EngineCapacity(float64(u.g.estimator.Estimate(s.Name, time.Now()).Speed), slots)
}

// demands returns the demand of each service, summed over all daemons.
func (u *duties) demands() map[identifier.Service]demandmeter.Demand {
	out := u.g.demandMeter.Demands()
	for _, n := range u.g.peerDemands(time.Now()) {
		s := identifier.Service(n.GetService())
		sum := out[s]
		sum.Add(demandmeter.Demand{
			Running: int(n.GetRunning()), Requests: n.GetRequestsPerSecond(), Tokens: n.GetTokensPerSecond(), Refused: n.GetRefusedPerSecond(),
			FirstEvents: n.GetFirstEventsPerSecond(), Late: n.GetLatePerSecond(),
		})
		out[s] = sum
	}
	return out
}

// zoneCapacity counts a service's endpoints that are not leaving, by zone and class.
func (u *duties) zoneCapacity(s identifier.Service, prices map[identifier.AvailabilityZone]float64) []sizer.Zone {
	counts := make(map[identifier.AvailabilityZone]*sizer.Zone, len(prices))
	out := make([]sizer.Zone, 0, len(prices))
	for zone := range prices {
		out = append(out, sizer.Zone{Zone: zone})
	}
	for i := range out {
		counts[out[i].Zone] = &out[i]
	}
	// A copy of the list, since the splitter calls the registry under its own lock.
	for _, h := range u.g.registry.Hosts() {
		z := counts[h.AvailabilityZone]
		e := &h.Endpoints[0]
		if z == nil || u.g.isLeaving(&h) || e.Pool != identifier.Pool(s) || !u.g.splitter.CountsTowardsSize(s, e.Version) {
			continue
		}
		if h.Class == document.ClassReclaimable {
			z.Reclaimable++
		} else {
			z.OnDemand++
		}
	}
	return out
}

// errNotHeld is returned when the lease expired between a decision and its call.
var errNotHeld = errors.New("lease no longer held")
