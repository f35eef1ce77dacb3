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
	"brasschute/internal/fleet/usagereporter"
	"brasschute/internal/fleet/leaser"
	"brasschute/internal/fleet/autoscaler"
	"brasschute/internal/fleet/promoter"
	"brasschute/internal/fleet/sizer"
	"brasschute/internal/peer/gatherer"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/route/demandmeter"
	"brasschute/platform"

	"github.com/cespare/xxhash/v2"
	"github.com/thejerf/suture/v4"
)

const (
	// leaseKey is the lease under which one daemon holds all duties.
	leaseKey = "leases/duties"
	// orderTime is the longest that a call of a former holder is on its way:
	// calls end after a second on this side.
	orderTime = time.Second
	// ledTime is how long a peer is believed to hold the lease after it has said
	// so: the holder tells those that stand for it once in tellPause.
	ledTime   = 1500 * time.Millisecond
	tellPause = time.Second
	// dutyPause is how often the holder looks at what is due.
	dutyPause = 500 * time.Millisecond
	// settleMargin is added to the time that counts of other daemons take.
	settleMargin = 700 * time.Millisecond
	// dueMargin is kept from the time at which a report is due.
	dueMargin = 500 * time.Millisecond
)

// duties are the parts that only the holder of the lease acts in.
type duties struct {
	g          *Gateway
	cloud      *platform.Cloud
	accountant *usagereporter.Reporter
	orderer    *autoscaler.Autoscaler
	promoter   *promoter.Promoter
	// beat numbers what is told of roll-outs; storing: a state of one is being stored, or
	// was not a moment ago; lacksTold is when it was last written down what they lack.
	beat      uint64
	storing   atomic.Bool
	lacksTold time.Time
	// told is when the others were last told that the duties are held.
	told time.Time
	// sized is when the fleet's size was last looked at, addresses those stored.
	sized     time.Time
	addresses []string
	// quotasVersion is that of the stored levels of quotas.
	quotasVersion uint64
	// quarantine is the state of the held requests that is stored.
	quarantine string
}

func (g *Gateway) buildDuties() {
	d := g.c.Deployment
	if !d.UsageReports && !d.FleetSizing && !d.Rollouts {
		return
	}
	g.lease = leaser.New(leaser.Config{
		Store: g.store, Key: leaseKey, Host: d.Host, Duration: d.Bounds.LeaseTime, Now: g.uptime,
		MaxOrderDelay: orderTime, HeldByOther: g.isLed, OnUnreadable: func(err error) { g.unreadable([]error{err}) },
		OnChange: func(fencing uint64, held bool) {
			g.c.Logger.Info("duties", "held", held, "fencing", fencing)
		},
	})
	u := &duties{g: g, cloud: platform.NewCloud(d.Cloud.String(), g.platformCaller()), promoter: promoter.New(promoter.Config{MaxShare: d.Bounds.CanaryShare})}
	u.accountant = usagereporter.New(usagereporter.Config{
		Store: g.store, Now: g.clock.Now, Window: d.Bounds.UsageWindow, ReportWithin: d.Bounds.UsageDue - dueMargin, SettleDelay: g.settleTime,
		DaemonCounts: u.counted, Organisations: u.organisations, Send: u.report, Logger: g.c.Logger,
	})
	u.orderer = autoscaler.New(autoscaler.Config{SetDesired: u.order, Logger: g.c.Logger, FirstStart: d.FirstStart})
	g.tree.Add(service(g.keepLease))
	if !d.FirstStart {
		g.tree.Add(g.readAtStart("size of the fleet", g.readSize))
		g.tree.Add(g.readAtStart("levels of quotas", g.readQuotas))
		g.tree.Add(g.readAtStart("requests in quarantine", g.readQuarantine))
	}
	g.tree.Add(service(u.serve))
	g.tree.Add(service(u.keepQuotas))
	if d.Rollouts {
		g.tree.Add(service(u.keepRollouts))
	}
}

// settleTime is how long counts of other daemons take.
func (g *Gateway) settleTime() time.Duration { return g.swapper.MaxDigestAge() + settleMargin }

func (g *Gateway) keepLease(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for !g.stopping.Load() && waiter.For(ctx, dutyPause) {
		}
		cancel()
	}()
	err := g.lease.Serve(ctx)
	if g.stopping.Load() {
		return suture.ErrDoNotRestart
	}
	return err
}

// release gives the duties to the next holder at once.
func (g *Gateway) release(ctx context.Context) {
	if g.lease == nil {
		return
	}
	if err := g.lease.Release(ctx); err != nil {
		g.c.Logger.Warn("lease not released, it lapses", "error", err)
	}
}

func (u *duties) serve(ctx context.Context) error {
	return waiter.Every(ctx, dutyPause, func(ctx context.Context) {
		if _, held := u.g.lease.Held(); held && !u.g.stopping.Load() {
			u.tell(ctx)
		}
		fencing, held := u.g.lease.HeldFor()
		if !held || u.g.stopping.Load() {
			return
		}
		u.keepSize(ctx)
		u.keepQuarantine(ctx)
		if u.g.c.Deployment.UsageReports {
			u.accountant.Step(ctx, fencing)
		}
		if u.g.c.Deployment.FleetSizing {
			u.orderer.Step(ctx, fencing, u.services())
		}
	})
}

// mandate names the holder, if the lease is still held right before a call.
func (u *duties) mandate(fencing uint64) (platform.LeaseHolder, error) {
	now, held := u.g.lease.HeldFor()
	if !held || now != fencing {
		return platform.LeaseHolder{}, errNotHeld
	}
	return platform.LeaseHolder{Host: u.g.c.Deployment.Host, Fencing: fencing}, nil
}

func (u *duties) report(ctx context.Context, fencing uint64, window int64, counts usagereporter.Counts) error {
	m, err := u.mandate(fencing)
	if err != nil {
		return err
	}
	return u.cloud.ReportUsage(ctx, m, window, counts)
}

func (u *duties) order(ctx context.Context, fencing uint64, s identifier.Service, z identifier.AvailabilityZone, class document.Class, wanted int) error {
	m, err := u.mandate(fencing)
	if err != nil {
		return err
	}
	return u.cloud.SetDesired(ctx, m, s, z, class, wanted)
}

// counted returns what each daemon counted, those that ended since included.
func (u *duties) counted() []usagereporter.DaemonCounts {
	var out []usagereporter.DaemonCounts
	own := u.g.digest()
	for _, d := range u.newest(own) {
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

// newest returns the newest digest of each daemon's process, heard from it or told by a
// relay of its zone.
func (u *duties) newest(own *rpc.Digest) map[processKey]*rpc.Digest {
	now := time.Now()
	out := make(map[processKey]*rpc.Digest)
	for _, e := range slices.Concat(u.g.gatherer.Entries(now), u.g.parts.Entries(now), []gatherer.Entry{{Digest: own}}) {
		k := processKey{e.Digest.GetHost(), e.Digest.GetIncarnation()}
		// Across zones daemons do not tell what they count.
		if old := out[k]; old == nil || len(old.GetCounts()) == 0 || e.Digest.GetSequence() > old.GetSequence() && len(e.Digest.GetCounts()) > 0 {
			out[k] = e.Digest
		}
	}
	return out
}

// processKey names a daemon's process.
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

// isLed tells whether a peer said lately that it holds the duties. In a large fleet
// only those daemons stand for them that follow the store.
func (g *Gateway) isLed() bool {
	if !g.follows() {
		return true
	}
	return time.Since(time.Unix(0, g.ledAt.Load())) < ledTime
}

// tell lets the daemons that stand for the duties know that they are held. In a
// large fleet digests come too seldom for that, each four seconds, and a killed
// holder's duties would rest for as much longer.
func (u *duties) tell(ctx context.Context) {
	now := time.Now()
	if now.Sub(u.told) < tellPause {
		return
	}
	u.told = now
	var addresses []string
	for _, d := range u.g.roster.LiveDaemons(now) {
		if d.Observing {
			addresses = append(addresses, d.Address)
		}
	}
	u.g.swapper.SendNote(ctx, addresses)
}

// services describes what can be scaled, as it is now.
func (u *duties) services() []autoscaler.Service {
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
			Zones: u.zones(s.Name, s.Scale.Prices),
		})
	}
	return out
}

// capacity is what one engine of a service takes.
func (u *duties) capacity(s *catalog.Service) sizer.Capacity {
	slots := 0
	if s.Engine != nil {
		slots = s.Engine.Slots
	}
	return sizer.EngineCapacity(float64(u.g.estimator.Estimate(s.Name, time.Now()).Speed), slots)
}

// demands sums those of all daemons.
func (u *duties) demands() map[identifier.Service]demandmeter.Demand {
	out := u.g.demander.Demands()
	for _, n := range u.g.othersDemands(time.Now()) {
		s := identifier.Service(n.GetService())
		sum := out[s]
		sum.Add(demandmeter.Demand{
			Running: int(n.GetRunning()), Requests: n.GetRequestsPerSecond(), Tokens: n.GetTokensPerSecond(), Refused: n.GetRefusedPerSecond(),
		})
		out[s] = sum
	}
	return out
}

// zones counts a service's endpoints that are not leaving.
func (u *duties) zones(s identifier.Service, prices map[identifier.AvailabilityZone]float64) []sizer.Zone {
	counts := make(map[identifier.AvailabilityZone]*sizer.Zone, len(prices))
	out := make([]sizer.Zone, 0, len(prices))
	for zone := range prices {
		out = append(out, sizer.Zone{Zone: zone})
	}
	for i := range out {
		counts[out[i].Zone] = &out[i]
	}
	for _, h := range u.g.registry.Hosts() {
		z := counts[h.AvailabilityZone]
		e := &h.Endpoints[0]
		if z == nil || u.g.leaves(&h) || e.Pool != identifier.Pool(s) || !u.g.splitter.CountsTowardsSize(s, e.Version) {
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

// errNotHeld: the lease lapsed between the decision and the call.
var errNotHeld = errors.New("the duty is not held any more")
