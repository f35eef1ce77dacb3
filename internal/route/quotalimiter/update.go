package quotalimiter

import (
	"math"
	"time"

	"brasschute/internal/core/decayingsum"
	"brasschute/internal/core/identifier"
)

// simultaneousStart is the difference in age within which two daemons count as started together:
// the processes of a fleet start within a second.
const simultaneousStart = 2 * time.Second

// suspensionThreshold is how far this host's clock must fall behind a peer's between two updates
// for the host to have been suspended, as its clock stands still meanwhile. The delay of updates is
// below the gossip period.
const suspensionThreshold = 1500 * time.Millisecond

// minRateSpan is the shortest time over which a peer's rate is measured. Daemons that resume, or
// have just started, exchange two digests within a millisecond. Over that span a single request
// gave a rate thousands of times the true one: a bucket stood at -150 million tokens and refused
// every second request for 45 s.
const minRateSpan = 400 * time.Millisecond

// minorityFraction is the largest fraction of its peers from which a daemon may receive updates and
// still conclude that it is itself partitioned, and not the others.
const minorityFraction = 0.5

// Account is what one daemon reports of its charges to an organisation, in the unit of charges.
type Account struct {
	// Total is all that the daemon has charged since its start.
	Total float64
	// Level is its estimate of the level of the fleet's bucket, less what it estimates that peers
	// have charged but not reported. NoLevel: it has no estimate.
	Level   float64
	NoLevel bool
	// Asked is the demand of its clients per second, including refused requests.
	Asked float64
}

// Update is what another daemon, or a group of daemons, reports by gossip.
type Update struct {
	// Host is the daemon's host, or the name of the group.
	Host        identifier.Host
	Incarnation uint64
	// Age is the time since the daemon started; for a group, since the daemon that reports for it
	// started.
	Age time.Duration
	// Daemons is the number of daemons that the update covers, 0 meaning one. Updates of Silent of
	// them do not reach the daemons that report.
	Daemons, Silent int
	Accounts        map[identifier.Organisation]Account
}

type peerKey struct {
	host        identifier.Host
	incarnation uint64
}

// peer is what is known of another daemon, or of a group of daemons.
type peer struct {
	// daemons is the number of daemons, silent the number of those whose updates do not reach the
	// daemons that report.
	daemons, silent int
	startedAt       time.Time
	heardAt         time.Time
	age             time.Duration
	byOrg           map[identifier.Organisation]*peerUsage
}

// peerUsage is a peer's usage of one organisation's quota: rate is what it charges per second,
// demand what its clients ask for per second, level the bucket level it reported.
type peerUsage struct {
	total, rate, demand, level float64
	noLevel                    bool
	// rateKnown: the rate has been measured over at least minRateSpan. spanTotal is what had been
	// charged at spanStart, where the present measurement began.
	rateKnown bool
	spanTotal float64
	spanStart time.Time
	// presumed is what it was assumed to have charged unreported when it fell silent.
	presumed float64
	// recent is what it has charged of late, part that as a fraction of what all daemons have, and knownAt is bucket.known, both
	// as of its last update.
	recent  decayingsum.Sum
	part    float64
	knownAt float64
}

func (p *peer) usageOf(o identifier.Organisation) *peerUsage {
	u := p.byOrg[o]
	if u == nil {
		u = new(peerUsage)
		p.byOrg[o] = u
	}
	return u
}

// Accounts returns the accounts to report to peers.
func (l *Limiter) Accounts() map[identifier.Organisation]Account {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[identifier.Organisation]Account, len(l.buckets))
	now := time.Now()
	for name, b := range l.buckets {
		unreported, _ := l.refresh(b, name, now)
		out[name] = Account{Total: b.charged, Level: b.level() - unreported, Asked: b.localDemand}
	}
	return out
}

// Merge merges the accounts of another daemon or group. What they have charged since their last
// update is taken from the buckets now. Updates that arrive out of order are ignored.
func (l *Limiter) Merge(u Update) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	k := peerKey{u.Host, u.Incarnation}
	p := l.peers[k]
	if p == nil {
		p = &peer{startedAt: now.Add(-u.Age), byOrg: make(map[identifier.Organisation]*peerUsage)}
		if !l.replacePeer(u.Host, p.startedAt, now) {
			return
		}
		l.peers[k] = p
	} else if u.Age < p.age {
		// Overtaken by a newer update, which already includes these totals.
		return
	}
	since := now.Sub(p.heardAt)
	ahead := l.peerAhead(p, u.Age, since, now)
	p.heardAt, p.age = now, u.Age
	p.daemons = max(u.Daemons, 1)
	p.silent = min(max(u.Silent, 0), p.daemons)
	l.dropFormer(now)
	l.observeUpdate(now)
	for name, account := range u.Accounts {
		usage := p.usageOf(name)
		l.applyUpdate(usage, name, account, since, ahead, p.daemons)
		if ahead {
			// This daemon's clock may have stood still, so no rate can be computed from it.
			usage.spanTotal, usage.spanStart = account.Total, now
		}
		usage.measureRate(account, now)
		usage.store(account)
	}
}

// peerAhead reports whether a peer has followed the fleet while this daemon has not: before this
// daemon started, or while it was partitioned from most of its peers or suspended. Taking all that
// such a peer charged meanwhile from a bucket that was not refilled meanwhile would refuse requests
// for as long again.
func (l *Limiter) peerAhead(p *peer, age, since time.Duration, now time.Time) bool {
	switch {
	case p.heardAt.IsZero():
		return p.startedAt.Before(l.start.Add(-simultaneousStart))
	case since >= l.silenceTimeout():
		if l.heardMinority(now) {
			l.isolatedAt = now
		}
		return now.Sub(l.isolatedAt) < joinTime
	}
	return age-p.age-since > suspensionThreshold
}

// heardMinority reports whether updates of at most half of the peers have arrived within the
// silence timeout, as is the case after this daemon was paused itself, even shortly after its
// start.
func (l *Limiter) heardMinority(now time.Time) bool {
	timeout, recent, all := l.silenceTimeout(), 0, 0
	for _, p := range l.peers {
		all += p.daemons
		if now.Sub(p.heardAt) < timeout {
			recent += p.daemons
		}
	}
	return float64(recent) <= minorityFraction*float64(all)
}

// applyUpdate updates the bucket with the account of a peer. since is the time since the peer's
// previous update, ahead whether the peer has followed the fleet while this daemon has not.
func (l *Limiter) applyUpdate(usage *peerUsage, name identifier.Organisation, account Account, since time.Duration, ahead bool, daemons int) {
	b := l.buckets[name]
	if b == nil {
		return
	}
	now := time.Now()
	unreported, _ := l.refresh(b, name, now)
	charged := max(account.Total-usage.total, 0)
	if !usage.spanStart.IsZero() {
		usage.recent.Add(charged, recentTime, now)
	}
	defer func() { usage.knownAt, usage.part = b.known, l.partOfRecent(b, name, usage, now) }()
	switch timeout := l.silenceTimeout(); {
	case ahead && account.NoLevel:
		// What it charged cannot be told apart from what this daemon has missed.
	case ahead:
		b.adoptLevel(account.Level, unreported, l.isolatedAt, now)
	case since >= timeout && usage.rateKnown:
		// Charge only what exceeds its equal share, which was reserved. Adopting its level instead
		// put all daemons at the lowest of sixty estimates after a partition.
		share := b.rate * l.equalShare() * float64(daemons)
		covered := usage.presumed + share*(since-timeout).Seconds()
		b.take(max(charged-covered, -usage.presumed))
	default:
		b.take(charged)
		b.known += charged
	}
}

// measureRate updates the rate with what was charged since the last measurement, if that is at
// least minRateSpan ago.
func (u *peerUsage) measureRate(account Account, now time.Time) {
	if u.spanStart.IsZero() {
		u.spanTotal, u.spanStart = account.Total, now
		return
	}
	span := now.Sub(u.spanStart)
	if span < minRateSpan {
		return
	}
	weight := rateWeight
	if !u.rateKnown {
		weight, u.rateKnown = 1, true
	}
	u.rate += weight * (max(account.Total-u.spanTotal, 0)/span.Seconds() - u.rate)
	u.spanTotal, u.spanStart = max(account.Total, u.spanTotal), now
}

func (u *peerUsage) store(account Account) {
	u.total = max(u.total, account.Total)
	u.demand, u.level, u.noLevel, u.presumed = account.Asked, account.Level, account.NoLevel, 0
}

// replacePeer removes the earlier processes of a host when the first update of a new process
// arrives: charges presumed for them end when the new process started. It returns false if the
// update comes from a process that has itself been replaced.
func (l *Limiter) replacePeer(host identifier.Host, startedAt, now time.Time) bool {
	for k, p := range l.peers {
		if k.host != host {
			continue
		}
		if startedAt.Before(p.startedAt) {
			return false
		}
		unreported := min(startedAt.Sub(p.heardAt), l.silenceTimeout())
		for name, usage := range p.byOrg {
			if b := l.buckets[name]; b != nil && unreported > 0 {
				l.refresh(b, name, now)
				charged := usage.rate * unreported.Seconds()
				if now.Sub(p.heardAt) > l.lateAfter() {
					charged = usage.presumedCharge(b, unreported, l.contact(name, now))
				}
				b.take(charged)
			}
		}
		delete(l.peers, k)
	}
	return true
}

// adoptLevel adopts the level reported by a peer that has followed the fleet for longer, as the
// mean of all such levels. The lowest of sixty estimates is below the true level by a second's
// worth of the quota.
func (b *bucket) adoptLevel(level, unreported float64, isolatedAt, now time.Time) {
	if now.Sub(b.adoptedAt) > joinTime || isolatedAt.After(b.adoptedAt) {
		b.adopted = 0
	}
	b.adopted++
	b.adoptedAt = now
	target := b.level() + (level+unreported-b.level())/float64(b.adopted)
	b.tokens = target
	if b.adopted == 1 && !b.shaped {
		// The times of the charges are not known. Charged now, they would count for a whole window,
		// while those of the peers leave their windows second by second.
		b.recent.spread(b.minCharged(target), now)
		return
	}
	b.recent.rescale(b.minCharged(target), now)
}

// adoptPeerLevels adopts the levels that were reported before the bucket was created.
func (l *Limiter) adoptPeerLevels(b *bucket, o identifier.Organisation, now time.Time) {
	unreported, _ := l.unreported(o, now)
	for _, p := range l.peers {
		if usage := p.byOrg[o]; usage != nil && !usage.noLevel && now.Sub(p.heardAt) < l.silenceTimeout() {
			b.at = now
			b.recent.advance(now)
			b.adoptLevel(usage.level, unreported, l.isolatedAt, now)
		}
	}
}

// unreported estimates what peers have charged since their last updates, and sums the demand of
// their clients. The presumed charges of peers that have fallen silent, up to when their shares are
// reserved, are taken from the bucket for good: otherwise a partition would admit three seconds'
// worth of the quota again.
func (l *Limiter) unreported(o identifier.Organisation, now time.Time) (charged, demand float64) {
	timeout, lateAfter := l.silenceTimeout(), l.lateAfter()
	b := l.buckets[o]
	var c contact
	counted := false
	for _, p := range l.peers {
		usage := p.byOrg[o]
		if usage == nil {
			continue
		}
		demand += usage.demand
		since := now.Sub(p.heardAt)
		if !counted && since > lateAfter {
			c, counted = l.contact(o, now), true
		}
		switch {
		case since <= lateAfter && usage.rateKnown:
			charged += usage.rate * since.Seconds()
		case since < timeout && usage.rateKnown:
			charged += usage.presumedCharge(b, since, c)
		case since < timeout:
			// Only one update has arrived: assume that the peer admits its share of its clients'
			// demand.
			charged += l.admittedDemand(o, usage.demand) * since.Seconds()
		case usage.rate > 0 && b != nil:
			usage.presumed = usage.presumedCharge(b, timeout, c)
			usage.rate = 0
			b.take(usage.presumed)
		}
	}
	if b != nil && b.savedFraction > 0 {
		// Peers estimate about the same level as this daemon: together they admit what is left and
		// what flows in, however high their earlier rates were.
		charged = min(charged, max(b.level(), 0)+b.rate*gossipTime.Seconds())
	}
	return charged, demand
}

// presumedCharge estimates what a peer whose next update is late has charged in the time since its last one. It may be
// partitioned, and a load that is new here is new there, too: it is presumed to have charged no less than the daemons in touch
// have since, in proportion to what they and the peer charged before, and no less than at its last rate.
func (u *peerUsage) presumedCharge(b *bucket, since time.Duration, c contact) float64 {
	atRate := u.rate * since.Seconds()
	if b == nil || u.rate == 0 {
		// It has not charged anything, or was presumed to have when it fell silent.
		return atRate
	}
	known := b.known - u.knownAt + c.unreported
	// Few requests tell little: one standard deviation is left out.
	known -= math.Sqrt(max(known, 0) * b.meanCharge)
	return max(atRate, known*u.part/max(1-c.latePart, minKnownPart))
}

// contact is what this daemon knows of how an organisation's load is spread over daemons in touch and over those whose updates
// are late: what the former have charged since their updates, at their rates, and the part of all charges that the latter have.
type contact struct {
	unreported, latePart float64
}

func (l *Limiter) contact(o identifier.Organisation, now time.Time) (c contact) {
	lateAfter := l.lateAfter()
	for _, p := range l.peers {
		u, since := p.byOrg[o], now.Sub(p.heardAt)
		switch {
		case u == nil:
		case since > lateAfter:
			c.latePart += u.part
		default:
			c.unreported += u.rate * since.Seconds()
		}
	}
	return c
}

// partOfRecent returns what a peer has charged of late as a fraction of what all daemons have.
func (l *Limiter) partOfRecent(b *bucket, o identifier.Organisation, usage *peerUsage, now time.Time) float64 {
	all := b.ownRecent.Value(recentTime, now)
	for _, p := range l.peers {
		if u := p.byOrg[o]; u != nil {
			all += u.recent.Value(recentTime, now)
		}
	}
	if all <= 0 {
		return 0
	}
	return usage.recent.Value(recentTime, now) / all
}

// lateAfter returns the time without updates after which the next one of a peer is overdue.
func (l *Limiter) lateAfter() time.Duration {
	return time.Duration(lateFactor * float64(l.c.GossipDelay()))
}

// admittedDemand returns how much of a demand is admitted: all of it, or its share of the rate.
func (l *Limiter) admittedDemand(o identifier.Organisation, demand float64) float64 {
	b := l.buckets[o]
	if b == nil || b.fleetDemand <= b.rate {
		return demand
	}
	return demand * b.rate / b.fleetDemand
}

// demandShare returns this daemon's share of an organisation's quota by its part of the demand.
func (l *Limiter) demandShare(local, all float64) float64 {
	equal := l.equalShare()
	if all <= 0 {
		return equal
	}
	return max(local/all, minShareFraction*equal)
}

// equalShare returns the fraction of a quota that each daemon has while demands are not known.
func (l *Limiter) equalShare() float64 {
	all := 1
	for _, p := range l.peers {
		all += p.daemons
	}
	return 1 / float64(all)
}

// reservedFraction returns the fraction of each quota that is reserved for silent peers.
func (l *Limiter) reservedFraction(now time.Time) float64 {
	if now.Sub(l.reservedAt) < reservedMaxAge {
		return l.reservedPart
	}
	l.reservedAt, l.reservedPart = now, l.silentFraction(now)
	return l.reservedPart
}

func (l *Limiter) silentFraction(now time.Time) float64 {
	latest := make(map[identifier.Host]*peer, len(l.peers))
	for k, p := range l.peers {
		if now.Sub(p.heardAt) > peerTTL {
			delete(l.peers, k)
			continue
		}
		if last := latest[k.host]; last == nil || p.heardAt.After(last.heardAt) {
			latest[k.host] = p
		}
	}
	silent, all, timeout := 0, 1, l.silenceTimeout()
	for _, p := range latest {
		all += p.daemons
		if now.Sub(p.heardAt) > timeout {
			silent += p.daemons
		} else {
			silent += p.silent
		}
	}
	if daemons := l.c.FleetSize(); now.Sub(l.start) < joinTime && all < daemons {
		silent += daemons - all
		all = daemons
	}
	fraction := float64(silent) / float64(all)
	if fraction > minorityFraction && now.Sub(l.start) >= joinTime {
		l.isolatedAt = now
	}
	return fraction
}
