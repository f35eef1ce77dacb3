// Package quotalimiter enforces organisations' quotas across all daemons.
//
// # Distributed token bucket
//
// Clients spread unevenly over daemons, and one organisation may suddenly send several times its
// usual load. With a static equal share per daemon, most of an organisation's requests would be
// refused at the daemon that its clients happen to use while the quota is mostly unused. So each
// daemon keeps the token bucket of the whole fleet: it counts its own charges exactly and those of
// its peers as their running totals arrive, and in between extrapolates from each peer's last rate.
// Charges that peers had not reported make the level of the bucket negative and are paid back
// before more is admitted.
//
// While the bucket is well filled, or demand is below the refill rate, the bucket alone decides.
// When demand is higher and the bucket runs low, all daemons would empty what is left at once and
// then refuse everything until they learn of each other's charges. From that point on each daemon
// admits only its share of the rate, in proportion to the demand of its clients. The bucket counts
// as low when it would not last, at that demand, until updates have propagated.
//
// # Window
//
// A quota limits the charges within a sliding window to its rate times the length of the window,
// plus the burst. An organisation may use at once what it has not used of that allowance. While
// gossip delay is normal, the bucket is therefore as deep as the allowance of the window, and the
// sum over the window bounds it. Under an overload, charges that leave the window are released
// again, together with what was saved up, the latter over some seconds. When gossip delay is twice
// the normal or more, the bucket is only as deep as the burst: with a deeper one, sixty daemons
// would admit the same allowance several times before they learn of each other's charges.
//
// Requests that are small compared with the organisation's mean request are admitted first.
//
// # Silent peers
//
// While the update of a peer is late, the peer is presumed to charge in proportion to the daemons in
// touch: both sides of a partition see a sudden load, and would spend the same allowance on it.
//
// A peer from which no update has come for the silence timeout may be dead, or partitioned and
// still serving. Until it is forgotten, an equal share of the quota is reserved for it, so that
// both sides of a partition together stay within the quota. When updates arrive again, what the
// peer charged beyond that share is taken from the bucket.
//
// A daemon that receives no updates at all is itself isolated. Its peers go on assuming that it is
// as busy as it was, so it admits only its equal share, and first pays back what it has admitted
// since the last update.
//
// # New processes
//
// A daemon that has just started reserves the shares of all peers until it has received their
// updates, and adopts the mean of the levels that they report. Peers subtract from their levels
// only what it has charged since its start, because apart from that it has no information that they
// do not have. If no peer is left to report a level, a stored [Snapshot] provides it. A daemon that
// was paused or partitioned, and finds that it has recent updates from only few of its peers,
// adopts their levels, too.
//
// # Usage
//
//	if d := l.Admit(organisation, charge); d.RetryAfter > 0 { refuse }
//	l.Merge(update)
package quotalimiter

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"
)

const (
	// A peer counts as silent after silenceFactor times the usual gossip delay, at least
	// minSilence. Until then its last rate is extrapolated.
	silenceFactor = 2.5
	minSilence    = 3 * time.Second
	// An update of a peer is late after lateFactor times the gossip delay. How much of an organisation's load a peer has is told
	// by its charges of recentTime, a half-life of ten seconds: a load that has just begun must not outweigh the usual one, as
	// peers report it at different times. minKnownPart bounds what the charges of few daemons tell about those of many.
	lateFactor   = 1.25
	recentTime   = 14427 * time.Millisecond
	minKnownPart = 0.1
	// A daemon that receives no updates for isolationFactor times the longest recent gap between
	// two updates, at least minIsolationGap, is isolated and admits at most its equal share.
	// initialMaxGap stands for the longest gap at start; a gap decays over gapDecayTime. With a
	// fixed second, the third of sixty daemons that was partitioned during a load spike brought the
	// fleet to 1.015 of the limit.
	isolationFactor = 2.5
	minIsolationGap = 600 * time.Millisecond
	initialMaxGap   = time.Second
	gapDecayTime    = 5 * time.Second
	// peerTTL is how long the share of a silent peer stays reserved. A killed process is replaced
	// within a few seconds; one that is not replaced within peerTTL will not return.
	peerTTL = 30 * time.Second
	// unreportedTime is the duration, at the quota's rate, that is held back from the tolerated
	// overage: a sudden load at all daemons at once is not visible until updates arrive. At eight
	// times an organisation's usual load and a gossip delay of usualGossipDelay, 1.45 s were
	// measured. Of any longer delay, unreportedDelayFactor is held back in addition.
	unreportedTime        = 2200 * time.Millisecond
	usualGossipDelay      = time.Second
	unreportedDelayFactor = 0.5
	// minBurstFraction of an organisation's burst is always available at once, even where the
	// overage is too small for the unreported charges.
	minBurstFraction = 0.6
	// minBurstRequests requests of the mean size are always available at once, within the burst.
	// Sixty daemons whose bucket held two or three of an organisation's requests refused one of
	// nineteen at half of its quota; so few requests do not add up to many unreported charges
	// either. Until a daemon has seen some requests, the burst is assumed to be worth
	// minBurstRequests: a daemon that had seen a single small request refused the next one.
	minBurstRequests = 4
	// joinTime is how long a new daemon reserves the shares of peers from which no update has
	// arrived: several rounds of gossip.
	joinTime = 10 * time.Second
	// overageBurstFraction and overageRateFraction are the parts of the remaining overage that
	// deepen the bucket and raise the rate. Without them, late updates would refuse requests below
	// the limit: a bucket only as deep as an organisation's burst refused 7 in 100 requests of 61
	// daemons.
	overageBurstFraction = 0.5
	overageRateFraction  = 0.3
	// lowLevelFraction of the burst is the level below which shares decide: what all daemons admit
	// unreported within one gossip period.
	lowLevelFraction = 0.7
	// savedReleaseTime is the time in which two thirds of the saved allowance are released in an
	// overload. With all of it released at once, two seconds without refusals were followed by six
	// in which a quarter of the rate was admitted.
	savedReleaseTime = 3 * time.Second
	// gossipTime is how long the bucket must last at the present demand for shares not to decide,
	// at a gossip delay of usualGossipDelay: the time until all daemons have received what their
	// peers have admitted. It grows in proportion to the delay: sixty daemons whose buckets had
	// refilled after a first wave admitted four times the rate once more, until they learned of
	// each other's charges.
	gossipTime = 1200 * time.Millisecond
	// A request of at most smallChargeFraction of the organisation's mean request may overdraw the
	// bucket by smallChargeTime at the quota's rate, and is not limited to the share. In an
	// overload the large requests use up the allowance, and a plain call of a hundredth of their
	// size was refused as often as they were; all the small requests together make up less than a
	// tenth of the charges.
	smallChargeFraction = 0.5
	smallChargeTime     = 250 * time.Millisecond
	// meanChargeWeight is the weight of the newest request in the mean, after the first requests.
	meanChargeWeight = 0.02
	// shareBurstTime is how much of its share a daemon may save up. The saved shares of all daemons
	// are spent at once when the bucket has filled up again.
	shareBurstTime = 400 * time.Millisecond
	// maxSurplus is the part of the rate by which shares are raised while the bucket is well
	// filled. A daemon's share is smaller than most requests, and what it cannot save up is lost:
	// without the surplus, an organisation that asks for twice its quota at 60 daemons gets 0.92 of
	// it in a replay, with it 0.98.
	maxSurplus = 1.0
	// demandHalfLife is the half-life of the measured demand.
	demandHalfLife = 2 * time.Second
	// overloadFactor is how many times its rate an organisation must ask for before shares decide:
	// single large requests make the demand of one second uneven.
	overloadFactor = 1.2
	// rateWeight is the weight of a peer's newest rate in the average: single large requests make
	// it uneven.
	rateWeight = 0.5
	// minShortfall makes an exhausted share refuse a request, in the unit of charges.
	minShortfall = 1
	// reservedMaxAge is how long the reserved fraction is cached. Recomputing it for each request
	// took 15 µs with 60 daemons, against 4 µs with the cache.
	reservedMaxAge = 100 * time.Millisecond
	// minShareFraction is the part of an equal share that every daemon has at least.
	minShareFraction = 0.25
	// minRetryAfter and maxRetryAfter bound the retry delay of a refused client, before jitter,
	// which keeps refused clients from returning together.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Config sets how the quotas are enforced.
type Config struct {
	// Window is the length of the sliding window that a quota applies to. Overage, a fraction of
	// the quota, and Slack, in the unit of charges, are tolerated beyond the quota.
	Window  time.Duration
	Overage float64
	Slack   float64
	// GossipDelay returns the age that a peer's update may reach; a second if nil.
	GossipDelay func() time.Duration
	// FleetSize estimates the number of daemons, including those from which no updates arrive; one
	// if nil.
	FleetSize func() int
}

// Limiter admits requests within their organisations' quotas. It is safe for concurrent use.
type Limiter struct {
	c     Config
	start time.Time

	mu      sync.Mutex
	buckets map[identifier.Organisation]*bucket
	peers   map[peerKey]*peer
	// reservedPart is the fraction reserved for silent peers, as of reservedAt.
	reservedPart float64
	reservedAt   time.Time
	// restored holds the levels that were stored before this daemon started.
	restored *Snapshot
	// heardAt is the time of the last update from any peer, maxGap the longest recent gap between
	// two updates.
	heardAt time.Time
	maxGap  time.Duration
	// isolatedAt is when this daemon last found that it receives updates from at most half of the
	// fleet.
	isolatedAt time.Time
	// regroupedAt is when Regroup was last called.
	regroupedAt time.Time
}

// New returns a limiter without charges.
func New(c Config) *Limiter {
	if c.FleetSize == nil {
		c.FleetSize = func() int { return 1 }
	}
	if c.GossipDelay == nil {
		c.GossipDelay = func() time.Duration { return time.Second }
	}
	return &Limiter{
		c: c, start: time.Now(), buckets: make(map[identifier.Organisation]*bucket),
		peers: make(map[peerKey]*peer), maxGap: initialMaxGap,
	}
}

// Decision is the outcome of one admission with the inputs that led to it. Amounts are in the unit
// of charges.
type Decision struct {
	// RetryAfter is when the request may fit, 0 if it was admitted.
	RetryAfter time.Duration
	// Level is the level of the fleet's bucket, Rate its refill per second.
	Level float64
	Rate  float64
	// Reserved is the fraction reserved for peers from which no recent update has arrived.
	Reserved float64
	// Cause says which limit refused the request. ShareLevel is what is left of this daemon's
	// share, Share the local fraction of the fleet's demand, and Demand that demand per second.
	Cause      Cause
	ShareLevel float64
	Share      float64
	Demand     float64
	// Used is the estimated fraction of the limit that the fleet has used within the window.
	Used float64
	// IsolatedFor is the time since the last update from any peer if this daemon considers itself
	// isolated, otherwise 0.
	IsolatedFor time.Duration
}

// Cause is the limit that refused a request.
type Cause string

// The causes.
const (
	// BucketEmpty: the fleet's bucket holds too little. WindowExhausted: too little is left of the
	// window's allowance. ShareExhausted: demand exceeds the refill rate, and this daemon has used
	// up its share. Isolated: as ShareExhausted, for a daemon limited to its equal share because it
	// is isolated.
	BucketEmpty     Cause = "bucket"
	WindowExhausted Cause = "window"
	ShareExhausted  Cause = "part"
	Isolated        Cause = "cut off"
)

// silenceTimeout returns the time without updates after which a peer counts as silent.
func (l *Limiter) silenceTimeout() time.Duration {
	return max(minSilence, time.Duration(silenceFactor*float64(l.c.GossipDelay())))
}

// isIsolated reports whether this daemon receives no updates at all any more. Peers count as silent
// much later, one by one. Until then each isolated daemon would assume that they are as idle as
// they were, and serve a sudden load of its own clients as if it were alone: a third of sixty
// daemons admitted 1.4 times the quota.
func (l *Limiter) isIsolated(now time.Time) bool {
	if l.heardAt.IsZero() || len(l.peers) == 0 {
		return false
	}
	return now.Sub(l.heardAt) > max(minIsolationGap, time.Duration(isolationFactor*float64(l.maxGap)))
}

// observeUpdate records that an update has arrived. A gap counts for at most twice the longest
// recent one, so that the next partition is still noticed after a first.
func (l *Limiter) observeUpdate(now time.Time) {
	if !l.heardAt.IsZero() {
		gap := now.Sub(l.heardAt)
		faded := time.Duration(float64(l.maxGap) * math.Exp(-gap.Seconds()/gapDecayTime.Seconds()))
		l.maxGap = max(min(gap, 2*l.maxGap), faded)
	}
	l.heardAt = now
	for _, b := range l.buckets {
		b.chargedAtUpdate = b.charged
	}
}

// limitToEqualShare limits a bucket to this daemon's equal share while the daemon is isolated. What
// it has charged since the last update, which has not reached its peers, is paid back first.
func (l *Limiter) limitToEqualShare(b *bucket, now time.Time) {
	wasIsolated := b.isolated
	switch b.isolated = l.isIsolated(now); {
	case b.isolated && !wasIsolated:
		b.shareLevel = max(min(b.shareLevel, b.chargedAtUpdate-b.charged), -b.maxOverdraft)
	case wasIsolated && !b.isolated:
		b.shareLevel = max(b.shareLevel, 0)
	}
	if b.isolated {
		b.share = l.equalShare()
	}
}

// Admit charges a request to its organisation, unless the quota refuses it. A nil organisation, and
// one without a rate, admits everything.
func (l *Limiter) Admit(o *catalog.Organisation, charge float64) Decision {
	if o == nil {
		return Decision{}
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b, unreported := l.bucket(o, charge, now)
	b.localDemand += charge * math.Ln2 / demandHalfLife.Seconds()
	d := Decision{
		Level: b.level() - unreported, Rate: b.rate, Reserved: l.reservedFraction(now), ShareLevel: b.shareLevel, Share: b.share, Demand: b.fleetDemand, Used: l.usedFraction(b, o, unreported),
	}
	if b.isolated {
		d.IsolatedFor = now.Sub(l.heardAt)
	}
	if o.RatePerSecond > 0 {
		if missing, cause := b.shortfall(charge, d.Level); missing > 0 {
			d.RetryAfter, d.Cause = retryAfter(missing, b.rate*b.share), cause
			return d
		}
	}
	b.take(charge)
	b.spendShare(charge, d.Level)
	b.charged += charge
	b.known += charge
	b.ownRecent.Add(charge, recentTime, now)
	return d
}

// effectiveQuota returns the rate and the burst to enforce: the stated ones plus parts of the
// tolerated overage. Where updates are too late for the overage, the burst is reduced instead, but
// not below minBurstRequests requests of the mean size.
func (l *Limiter) effectiveQuota(o *catalog.Organisation, meanCharge float64) (rate, burst float64) {
	window := l.c.Window.Seconds()
	tolerated := (o.RatePerSecond*window+o.Burst)*l.c.Overage + l.c.Slack
	delayed := unreportedDelayFactor * max(l.c.GossipDelay()-usualGossipDelay, 0).Seconds() * o.RatePerSecond
	spare := tolerated - o.RatePerSecond*unreportedTime.Seconds() - delayed
	if spare < 0 {
		minBurst := max(minBurstFraction*o.Burst, min(o.Burst, minBurstRequests*meanCharge))
		return o.RatePerSecond, max(o.Burst-overageBurstFraction*min(-spare, delayed), minBurst)
	}
	return o.RatePerSecond + overageRateFraction*spare/window, o.Burst + overageBurstFraction*spare
}

// savedFraction returns the fraction of the window's allowance that may be saved up and spent at
// once: all of it at a normal gossip delay, none at twice the normal.
func (l *Limiter) savedFraction() float64 {
	return max(1-max(l.c.GossipDelay()-usualGossipDelay, 0).Seconds()/usualGossipDelay.Seconds(), 0)
}

// usedFraction returns the estimated fraction of an organisation's limit that the fleet has used
// within the window, without the tolerated overage.
func (l *Limiter) usedFraction(b *bucket, o *catalog.Organisation, unreported float64) float64 {
	return (b.recent.sum + unreported) / max(o.RatePerSecond*l.c.Window.Seconds()+o.Burst, 1)
}

// configure updates the parameters of a bucket.
func (l *Limiter) configure(b *bucket, o *catalog.Organisation) {
	rate, burst := l.effectiveQuota(o, b.presumedMean(o.Burst))
	window := l.c.Window.Seconds()
	saved := l.savedFraction()
	// Where nothing may be saved up, the bucket alone enforces the quota. The sum over the window,
	// built from updates that arrive in bunches, would only refuse more.
	b.allowance = rate*window*(2-saved) + burst
	b.rate, b.burst = rate+saved*burst/max(window, 1), burst+saved*rate*window
	b.maxOverdraft, b.savedFraction = burst, saved
	b.delayFactor = max(float64(l.c.GossipDelay())/float64(usualGossipDelay), 1)
	b.presumedRate = l.presumedRate(o.Name)
	b.settled = b.at.Sub(l.start) > joinTime+l.c.Window
	b.lowLevel = lowLevelFraction * burst
}

// bucket returns an organisation's bucket as of now and the estimate of what peers have charged to
// it but not reported. charge is the size of the request being decided.
func (l *Limiter) bucket(o *catalog.Organisation, charge float64, now time.Time) (b *bucket, unreported float64) {
	reserved := l.reservedFraction(now)
	b = l.buckets[o.Name]
	known := b != nil
	if !known {
		// A new bucket starts empty, because what earlier daemons admitted is not known. It fills
		// up before the first clients of a new fleet arrive.
		b = &bucket{at: l.start, reserved: reserved, recent: slidingWindow{window: l.c.Window}}
	}
	// Must come before configure, which uses the mean: a bucket sized for a smaller request had no
	// room for the next one.
	b.observeCharge(charge)
	if !known {
		l.configure(b, o)
		b.recent.spread(b.allowance, l.start)
		l.restoreBucket(b, o.Name, now)
		l.adoptPeerLevels(b, o.Name, now)
		l.buckets[o.Name] = b
	}
	unreported, peerDemand := l.refresh(b, o.Name, now)
	l.configure(b, o)
	b.fleetDemand = b.localDemand + peerDemand
	b.share = l.demandShare(b.localDemand, b.fleetDemand)
	l.limitToEqualShare(b, now)
	return b, unreported
}

// refresh advances a bucket to now. It returns the estimate of what peers have charged but not
// reported, and the demand of their clients.
func (l *Limiter) refresh(b *bucket, o identifier.Organisation, now time.Time) (unreported, peerDemand float64) {
	unreported, peerDemand = l.unreported(o, now)
	b.refill(now, unreported, l.reservedFraction(now))
	return unreported, peerDemand
}

func retryAfter(shortfall, rate float64) time.Duration {
	wait := maxRetryAfter
	if rate > 0 {
		wait = time.Duration(shortfall / rate * float64(time.Second))
	}
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + rand.N(wait/2)
}
