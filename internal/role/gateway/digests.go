package gateway

import (
	"slices"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/aggregator"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/peer/syncer"
	"brasschute/internal/route/estimator"
	"brasschute/internal/route/quotalimiter"
)

// digestMaxAge is how old this daemon's cached digest may be in a large fleet, where a relay
// sends it a hundred times a second.
const digestMaxAge = 100 * time.Millisecond

// gossipRole is the way in which a daemon exchanges digests with the others.
type gossipRole int

const (
	// rolePair: in a small fleet every pair of daemons exchanges digests.
	rolePair gossipRole = iota
	// roleMember: the relays of the zone send the sum of all other daemons.
	roleMember
	// roleRelay: the daemons of the zone send their own digests, and the relays of other zones
	// send the sums of those zones.
	roleRelay
)

// String returns the role's name in logs and views.
func (r gossipRole) String() string { return [...]string{"pair", "member", "relay"}[r] }

// isLarge reports whether the fleet is too large for all pairs to exchange digests. The size
// never shrinks, as peers report it and the store keeps it, so a fleet does not switch back when
// most of its daemons end.
func (g *Gateway) isLarge() bool { return g.fleetSize() > smallFleetSize }

// isRelay reports whether this daemon is a relay: because the rank of its name selects it, or
// because it holds the lease, which requires updates from all zones.
func (g *Gateway) isRelay() bool {
	return g.lease != nil && g.lease.Confirmed() || g.roster.IsRelay(time.Now())
}

// gossipRole returns this daemon's current role.
func (g *Gateway) gossipRole() gossipRole {
	switch {
	case !g.isLarge():
		return rolePair
	case g.isRelay():
		return roleRelay
	}
	return roleMember
}

// mergeQuotas merges the quota charges in a peer's digest.
func (g *Gateway) mergeQuotas(d *rpc.Digest) {
	now := time.Now()
	g.roleMu.Lock()
	defer g.roleMu.Unlock()
	g.reportedFleetSize.Store(max(g.reportedFleetSize.Load(), int64(g.knownDaemons())))
	role := g.gossipRole()
	if role != g.lastRole {
		g.c.Logger.Info("gossip role changed", "part", role, "before", g.lastRole, "daemons", g.knownDaemons())
		g.lastRole = role
		g.aggregator.Rebase()
		g.quotaLimiter.Regroup()
	}
	u, changed := g.aggregator.Merge(d, role == roleRelay, now)
	if n := g.aggregator.TakeRejected(); n > 0 {
		g.scope.Counter("sums_refused").Inc(int64(n))
		if logDue(&g.rejectedSumsLoggedAt) {
			g.c.Logger.Warn("parts of a peer's sums rejected", "peer", d.GetHost(), "items", n)
		}
	}
	if n := g.aggregator.TakeSkipped(); n > 0 && role == roleRelay {
		g.scope.Counter("charges_skipped").Inc(int64(n))
		if logDue(&g.skippedChargesLoggedAt) {
			g.c.Logger.Info("charges made while this daemon heard no digests not counted", "peer", d.GetHost(), "digests", n)
		}
	}
	switch {
	case role == rolePair:
		g.quotaLimiter.Merge(quotasOfDaemon(d))
	case changed:
		g.quotaLimiter.Merge(quotasOfGroup(u))
	}
}

// quotasOfDaemon returns a daemon's own charges in its digest.
func quotasOfDaemon(d *rpc.Digest) quotalimiter.Update {
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

// quotasOfGroup returns the summed charges of a group of daemons.
func quotasOfGroup(u aggregator.Update) quotalimiter.Update {
	accounts := make(map[identifier.Organisation]quotalimiter.Account, len(u.Accounts))
	for o, a := range u.Accounts {
		accounts[o] = quotalimiter.Account{Total: a.Total, Level: a.Level, NoLevel: a.NoLevel, Asked: a.RequestRate}
	}
	return quotalimiter.Update{Host: u.Name, Incarnation: u.Incarnation, Age: u.Age, Daemons: u.Daemons, Silent: u.Silent, Accounts: accounts}
}

// digestFor returns the digest for one daemon. In a large fleet a relay adds the sums that the
// receiver needs, and the daemons it hears from.
func (g *Gateway) digestFor(to syncer.Receiver) *rpc.Digest {
	if !g.isLarge() {
		d := g.newDigest()
		g.aggregator.ApplyOwn(d, time.Now())
		return d
	}
	now := time.Now()
	own := g.ownDigest(now)
	out := &rpc.Digest{
		Host: own.Host, AvailabilityZone: own.AvailabilityZone, Address: own.Address, Incarnation: own.Incarnation, Sequence: g.sequence.Add(1),
		UnixMilli: g.clock.Now().UnixMilli(), AgeMilli: time.Since(g.started).Milliseconds(), Stopping: own.Stopping,
		ConfigurationNumber: own.ConfigurationNumber, HoldsDuties: own.HoldsDuties, Fleet: own.Fleet, EndpointsRevision: own.EndpointsRevision,
		Capacity:  own.Capacity,
		Schedules: own.Schedules,
		Observing: own.Observing, Relaying: own.Relaying, Departures: own.Departures, Speeds: own.Speeds,
		Suspects: own.Suspects, Rollouts: g.encodeRollouts(), OrdersKnown: own.OrdersKnown, Limits: own.Limits, Rests: own.Rests,
	}
	sameZone := to.Zone == "" || to.Zone == g.c.Deployment.AvailabilityZone
	if sameZone || to.FullMesh {
		out.Counts, out.Charges, out.Demands, out.Loads = own.Counts, own.Charges, own.Demands, own.Loads
		out.Trials = own.Trials
	}
	out.RosterKnown = g.roster.KnownHashes(to.Address)
	for _, zone := range g.roster.ZoneRosters(g.rosterZones(own, sameZone), own.Relaying, g.rosterMember(own), now) {
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
		// Which sum the receiver needs is unknown.
	case !sameZone:
		out.Summary = g.aggregator.ZoneSum(now)
	case !to.Relaying:
		out.Summary = g.aggregator.FleetSumExcept(to.Host, now)
		out.Summary.Speeds = g.encodeSpeeds(now)
	}
	if to.HoldsDuties {
		out.Counted = g.zoneCounts(own)
	}
	return out
}

// rosterZones returns the zones whose daemons are listed for a receiver; nil means all. Relays
// list only the daemons of their own zone to each other.
func (g *Gateway) rosterZones(own *rpc.Digest, sameZone bool) []identifier.AvailabilityZone {
	if own.Relaying && !sameZone {
		return []identifier.AvailabilityZone{g.c.Deployment.AvailabilityZone}
	}
	return nil
}

// rosterMember returns this daemon's entry in a roster.
func (g *Gateway) rosterMember(own *rpc.Digest) *rpc.Member {
	return &rpc.Member{
		Host: own.Host, PeerAddress: own.Address, Observing: own.Observing, Stopping: own.Stopping, Relaying: own.Relaying,
		Capacity: own.Capacity, Schedules: own.Schedules,
	}
}

// ownDigest returns this daemon's digest, at most digestMaxAge old.
func (g *Gateway) ownDigest(now time.Time) *rpc.Digest {
	g.digestMu.Lock()
	defer g.digestMu.Unlock()
	if g.cachedDigest == nil || now.Sub(g.digestBuiltAt) >= digestMaxAge {
		g.cachedDigest, g.digestBuiltAt = g.newDigest(), now
		g.aggregator.ApplyOwn(g.cachedDigest, now)
	}
	return g.cachedDigest
}

// encodeSpeeds returns a relay's estimates of the engines' prefill speeds, for the daemons of
// its zone.
func (g *Gateway) encodeSpeeds(now time.Time) []*rpc.EngineSpeed {
	var out []*rpc.EngineSpeed
	for name := range g.estimator.Local() {
		out = append(out, encodeSpeed(name, g.estimator.Estimate(name, now)))
	}
	return out
}

// encodeSpeed encodes an estimate for peers.
func encodeSpeed(name identifier.Service, e estimator.Estimate) *rpc.EngineSpeed {
	return &rpc.EngineSpeed{
		Service: string(name), TokensPerSecond: float64(e.Speed), Answers: uint32(e.Samples), FixedMicro: e.FixedLatency.Microseconds(),
	}
}

// zoneCounts returns the counts of each daemon of the zone, including daemons that have ended.
func (g *Gateway) zoneCounts(own *rpc.Digest) []*rpc.Digest {
	var out []*rpc.Digest
	for _, e := range g.gatherer.Digests(time.Now()) {
		d := e.Digest
		if d.GetAvailabilityZone() == string(g.c.Deployment.AvailabilityZone) && len(d.GetCounts())+len(d.GetTrials()) > 0 {
			out = append(out, countsOf(d))
		}
	}
	return append(out, countsOf(own))
}

// countsOf returns the part of a digest with the daemon's counts.
func countsOf(d *rpc.Digest) *rpc.Digest {
	return &rpc.Digest{
		Host: d.GetHost(), Incarnation: d.GetIncarnation(), Sequence: d.GetSequence(), Counts: d.GetCounts(), Trials: d.GetTrials(),
	}
}
