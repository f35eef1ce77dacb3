package gateway

import (
	"slices"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/aggregator"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/peer/syncer"
	"brasschute/internal/route/quotalimiter"
	"brasschute/internal/route/estimator"
)

// ownAge is how old this daemon's own part of a digest may be in a large fleet, where a
// relay tells it a hundred times a second.
const ownAge = 100 * time.Millisecond

// part is the way in which a daemon hears of the others.
type part int

const (
	// partPair: all pairs of a small fleet swap. partMember: relays of the zone tell the
	// sum of all others. partRelay: the daemons of the zone tell themselves, and relays of
	// the other zones tell the sums of those.
	partPair part = iota
	partMember
	partRelay
)

// String is for logs.
func (p part) String() string { return [...]string{"pair", "member", "relay"}[p] }

// large tells whether the fleet is too large for all pairs to swap. The size only rises, as
// it is told and kept in the store, so a fleet does not change back when most of it ends.
func (g *Gateway) large() bool { return g.fleetSize() > smallFleet }

// relaying tells whether this daemon relays: by its name, or as it holds the duties, for
// which it needs to hear all zones.
func (g *Gateway) relaying() bool {
	return g.lease != nil && g.lease.Confirmed() || g.roster.IsRelay(time.Now())
}

// part tells how this daemon hears of the others now.
func (g *Gateway) part() part {
	switch {
	case !g.large():
		return partPair
	case g.relaying():
		return partRelay
	}
	return partMember
}

// account takes in what a digest tells of quotas.
func (g *Gateway) account(d *rpc.Digest) {
	now := time.Now()
	g.partMu.Lock()
	defer g.partMu.Unlock()
	g.toldSize.Store(max(g.toldSize.Load(), int64(g.daemons())))
	p := g.part()
	if p != g.lastPart {
		g.c.Logger.Info("part in the fleet", "part", p, "before", g.lastPart, "daemons", g.daemons())
		g.lastPart = p
		g.aggregator.Rebase()
		g.allotter.Regroup()
	}
	u, news := g.aggregator.Merge(d, p == partRelay, now)
	if n := g.aggregator.TakeRejected(); n > 0 {
		g.scope.Counter("sums_refused").Inc(int64(n))
		if due(&g.refusedTold) {
			g.c.Logger.Warn("parts of a peer's sums left out", "peer", d.GetHost(), "items", n)
		}
	}
	switch {
	case p == partPair:
		g.allotter.Merge(pairNews(d))
	case news:
		g.allotter.Merge(groupNews(u))
	}
}

// pairNews is what a daemon tells of itself.
func pairNews(d *rpc.Digest) quotalimiter.Update {
	accounts := make(map[identifier.Organisation]quotalimiter.Account, len(d.GetCharges()))
	for _, c := range d.GetCharges() {
		accounts[identifier.Organisation(c.GetOrganisation())] = quotalimiter.Account{
			Total: c.GetTotal(), Level: c.GetLevel(), NoLevel: c.Level == nil, Asked: c.GetAskedPerSecond(),
		}
	}
	return quotalimiter.Update{
		Host: identifier.Host(d.GetHost()), Incarnation: d.GetIncarnation(), Age: time.Duration(d.GetAgeMilli()) * time.Millisecond, Accounts: accounts,
	}
}

func groupNews(u aggregator.Update) quotalimiter.Update {
	accounts := make(map[identifier.Organisation]quotalimiter.Account, len(u.Accounts))
	for o, a := range u.Accounts {
		accounts[o] = quotalimiter.Account{Total: a.Total, Level: a.Level, NoLevel: a.NoLevel, Asked: a.RequestRate}
	}
	return quotalimiter.Update{Host: u.Name, Incarnation: u.Incarnation, Age: u.Age, Daemons: u.Daemons, Silent: u.Silent, Accounts: accounts}
}

// digestFor is the digest for one daemon: in a large fleet a relay adds the sums that this
// one needs, and whom it hears.
func (g *Gateway) digestFor(to syncer.Receiver) *rpc.Digest {
	if !g.large() {
		d := g.digest()
		g.aggregator.ApplyOwn(d, time.Now())
		return d
	}
	now := time.Now()
	own := g.ownDigest(now)
	out := &rpc.Digest{
		Host: own.Host, AvailabilityZone: own.AvailabilityZone, Address: own.Address, Incarnation: own.Incarnation, Sequence: g.sequence.Add(1),
		UnixMilli: g.clock.Now().UnixMilli(), AgeMilli: time.Since(g.started).Milliseconds(), Stopping: own.Stopping,
		ConfigurationNumber: own.ConfigurationNumber, HoldsDuties: own.HoldsDuties, Fleet: own.Fleet, EndpointsRevision: own.EndpointsRevision,
		Observing: own.Observing, Relaying: own.Relaying, Leaving: own.Leaving, Departures: own.Departures, Speeds: own.Speeds,
		Suspects: own.Suspects, Rollouts: g.rolloutNews(), OrdersKnown: own.OrdersKnown, Limits: own.Limits, Rests: own.Rests,
	}
	near := to.Zone == "" || to.Zone == g.c.Deployment.AvailabilityZone
	if near || to.FullMesh {
		out.Counts, out.Charges, out.Demands, out.Loads = own.Counts, own.Charges, own.Demands, own.Loads
		out.Trials = own.Trials
	}
	out.RosterKnown = g.roster.KnownHashes(to.Address)
	for _, zone := range g.roster.ZoneRosters(g.named(own, near), own.Relaying, g.member(own), now) {
		out.RosterHashes = append(out.RosterHashes, zone.GetHash())
		if !slices.Contains(to.KnownRosterHashes, zone.GetHash()) {
			out.Roster = append(out.Roster, zone)
		}
	}
	if !own.Relaying {
		return out
	}
	switch {
	case to.Host == "":
		// Which sum it needs is not known.
	case !near:
		out.Summary = g.aggregator.ZoneSum(now)
	case !to.Relaying:
		out.Summary = g.aggregator.FleetSumExcept(to.Host, now)
		out.Summary.Speeds = g.speeds(now)
	}
	if to.HoldsDuties {
		out.Counted = g.counted(own)
	}
	return out
}

// named are the zones whose daemons are named to a receiver, none for all. Relays tell each
// other of their own only.
func (g *Gateway) named(own *rpc.Digest, near bool) []identifier.AvailabilityZone {
	if own.Relaying && !near {
		return []identifier.AvailabilityZone{g.c.Deployment.AvailabilityZone}
	}
	return nil
}

// member names this daemon in a roster.
func (g *Gateway) member(own *rpc.Digest) *rpc.Member {
	return &rpc.Member{
		Host: own.Host, PeerAddress: own.Address, Observing: own.Observing, Stopping: own.Stopping, Relaying: own.Relaying,
	}
}

// ownDigest is what this daemon tells of itself, as of a moment ago.
func (g *Gateway) ownDigest(now time.Time) *rpc.Digest {
	g.ownMu.Lock()
	defer g.ownMu.Unlock()
	if g.own == nil || now.Sub(g.ownAt) >= ownAge {
		g.own, g.ownAt = g.digest(), now
		g.aggregator.ApplyOwn(g.own, now)
	}
	return g.own
}

// speeds are what a relay takes engines to read, for the daemons of its zone.
func (g *Gateway) speeds(now time.Time) []*rpc.EngineSpeed {
	var out []*rpc.EngineSpeed
	for name := range g.estimator.Local() {
		out = append(out, engineSpeed(name, g.estimator.Estimate(name, now)))
	}
	return out
}

// engineSpeed is an estimate as it is told.
func engineSpeed(name identifier.Service, e estimator.Estimate) *rpc.EngineSpeed {
	return &rpc.EngineSpeed{
		Service: string(name), TokensPerSecond: float64(e.Speed), Answers: uint32(e.Samples), FixedMicro: e.FixedLatency.Microseconds(),
	}
}

// counted is what each daemon of the zone counted, those that ended since included.
func (g *Gateway) counted(own *rpc.Digest) []*rpc.Digest {
	var out []*rpc.Digest
	for _, e := range g.gatherer.Entries(time.Now()) {
		d := e.Digest
		if d.GetAvailabilityZone() == string(g.c.Deployment.AvailabilityZone) && len(d.GetCounts())+len(d.GetTrials()) > 0 {
			out = append(out, counted(d))
		}
	}
	return append(out, counted(own))
}

// counted is the part of a digest that says what the daemon counted.
func counted(d *rpc.Digest) *rpc.Digest {
	return &rpc.Digest{
		Host: d.GetHost(), Incarnation: d.GetIncarnation(), Sequence: d.GetSequence(), Counts: d.GetCounts(), Trials: d.GetTrials(),
	}
}
