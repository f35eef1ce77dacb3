// Package allotter keeps organisations within their quotas over all daemons.
//
// # The load it answers
//
// Clients spread unevenly over daemons, and one organisation may suddenly send
// several times its usual. Equal shares would refuse most of an organisation's
// requests at the daemon that its clients happen to use while the quota is
// mostly unused. So each daemon keeps the whole fleet's token bucket: its own
// charges count exactly, those of others as their running totals come in, and
// in between by their last rate. What the others charged unseen makes the
// bucket's level negative, and is paid back before more is admitted.
//
// While the fleet's bucket is well filled, or less is asked for than flows into
// it, it alone decides. Under a higher demand, when it runs low, all daemons would empty
// its last part at once and then refuse everything until the news of it has passed: so from
// there on each gives out only its share of the rate, in proportion to what its clients ask
// for. Low is what would not last, at that demand, until the news has passed.
//
// # The window
//
// A quota is judged by what is charged within a window: its rate for as long, and the
// burst. What an organisation did not use of that may be used at once, so where news
// is as usual the bucket is as deep as the window's allowance, and the sum over the
// window bounds it. Under an overload, what leaves the window is given out again, and
// what was saved up over some seconds besides. Where news is twice as old as usual, the
// bucket is as deep as the burst only: with more, sixty daemons would give out the same
// allowance several times before they hear of each other.
//
// Requests that weigh little against the organisation's usual one are let in first.
//
// # When others are silent
//
// A daemon that has not been heard for [silence] may be dead, or cut off and
// still serving. Until it is forgotten, an equal part of the quota is set aside
// for it: both sides of a cut then stay within the quota together. When it is
// heard again, what it charged beyond that part is taken from the bucket.
//
// A daemon that hears nobody any more is cut off itself. The others go on taking it for as
// busy as it was, so it gives out its equal part only, and first pays back what it gave out
// since it heard somebody.
//
// # New processes
//
// A daemon that has just started sets aside the parts of all others until it has
// heard them, and takes over the mean of the levels that they tell. They take from
// theirs what it charged since its start, and no more: it knows nothing that they
// do not. When nobody is left to tell, a [Snapshot] of the levels tells it. A daemon that
// was paused or cut off, and finds that it has heard few of the others, takes over
// theirs, too.
//
// # Usage
//
//	if after := a.Admit(organisation, charge); after > 0 { refuse }
//	a.Heard(news)
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
	// A daemon counts as silent after silentNews times the age that news usually
	// reaches, and after leastSilence at least. Until then its last rate is
	// carried on.
	silentNews   = 2.5
	leastSilence = 3 * time.Second
	// A daemon that hears nobody for quietGaps times the longest gap between two news of
	// late, and for leastQuiet, is cut off from all, and gives out its equal part at most.
	// firstGap is taken for the longest when a daemon starts; a gap is forgotten over
	// gapMemory. A fixed second let a third of sixty daemons, cut off in a sudden load, bring
	// the fleet to 1.015 of the limit.
	quietGaps  = 2.5
	leastQuiet = 600 * time.Millisecond
	firstGap   = time.Second
	gapMemory  = 5 * time.Second
	// memory is how long a silent daemon's part is set aside. A killed process
	// is back within a few seconds; one that is gone for good is not.
	memory = 30 * time.Second
	// unseenTime is the time's worth of a quota that is kept of the tolerated
	// overage: a sudden load at all daemons at once goes unseen until news comes.
	// Measured, at eight times an organisation's usual load and news of usualNews:
	// 1.45 s. Later news keeps unseenNews of its delay besides.
	unseenTime = 2200 * time.Millisecond
	usualNews  = time.Second
	unseenNews = 0.5
	// leastBurst of an organisation's burst is given out at once even where the
	// overage is too small for what goes unseen.
	leastBurst = 0.6
	// fewRequests of the mean size are given out at once in any case, within the burst. Sixty
	// daemons whose bucket held two or three of an organisation's requests refused one of
	// nineteen at half of its quota; so few are not many unseen either. Until a daemon has
	// seen some, the burst is taken for as many: one that had seen a single small request
	// refused the next one.
	fewRequests = 4
	// joining is how long a new daemon sets aside the parts of those that it has
	// not heard: several rounds of news.
	joining = 10 * time.Second
	// depthPart and ratePart of what the overage leaves are given out, as a
	// deeper bucket and as a higher rate: without them, news that comes late
	// would refuse requests below the limit. A bucket as deep as an
	// organisation's burst alone refused 7 in 100 requests of 61 daemons.
	depthPart = 0.5
	ratePart  = 0.3
	// lowPart of the burst is the level below which shares decide: what all
	// daemons give out unseen within a period of the digests.
	lowPart = 0.7
	// savedTime is the time in which two thirds of what was saved up are given out in
	// an overload. With all of it given out at once, two seconds without refusals were
	// followed by six in which a quarter of the rate was given out.
	savedTime = 3 * time.Second
	// newsTime is the time for which an allowance must last at the present demand for
	// shares not to decide, where news is usualNews old: until all daemons have heard of
	// what the others gave out. In proportion where it is later: sixty daemons whose
	// buckets had filled up after a first wave gave out four times the rate once more,
	// until they heard of each other.
	newsTime = 1200 * time.Millisecond
	// smallPart of an organisation's mean request is the size up to which a request may
	// use smallTime's worth of the rate beyond what is left, and needs no share. In an
	// overload the large requests use the allowance up, and a plain call that weighs a
	// hundredth of one was refused as often as they; all the small ones together weigh
	// less than a tenth.
	smallPart = 0.5
	smallTime = 250 * time.Millisecond
	// meanWeight is the weight of the newest request in the mean, once there were many.
	meanWeight = 0.02
	// partTime is how much of its share a daemon may save up. The parts of all
	// daemons are given out at once when the bucket has filled up again.
	partTime = 400 * time.Millisecond
	// mostSurplus is the part of the rate by which shares are raised while the bucket
	// is well filled. A daemon's part is smaller than most requests, and what it
	// can't save up is lost: without the surplus an organisation that asks for
	// twice its quota at 60 daemons gets 0.92 of it (replayed), with it 0.98.
	mostSurplus = 1.0
	// demandHalf is the time in which an old demand loses half of its weight.
	demandHalf = 2 * time.Second
	// overload is how many times its rate an organisation must ask for before
	// shares decide: single large requests make the demand of a second uneven.
	overload = 1.2
	// rateWeight is the weight of the newest rate of another daemon: single
	// large requests make it uneven.
	rateWeight = 0.5
	// leastMissing makes an empty part refuse, in the unit of charges.
	leastMissing = 1
	// reservedAge is how old the count of silent daemons may be. To count anew
	// for each request took 15 µs with 60 daemons, against 4 µs.
	reservedAge = 100 * time.Millisecond
	// leastShare is the part of an equal share that every daemon has.
	leastShare = 0.25
	// leastRetry and mostRetry bound what a refused client is told; the
	// spread keeps the refused from returning together.
	leastRetry = 300 * time.Millisecond
	mostRetry  = 3 * time.Second
)

// Config says what the quotas are judged by.
type Config struct {
	// Window is the span over which a quota holds; Overage, a part of it, and
	// Slack, in the unit of charges, are tolerated beyond.
	Window  time.Duration
	Overage float64
	Slack   float64
	// GossipDelay is the age that the news of a daemon may reach; a second if nil.
	GossipDelay func() time.Duration
	// FleetSize estimates the number of daemons, heard or not; one if nil.
	FleetSize func() int
}

// Limiter admits requests. It is safe for concurrent use.
type Limiter struct {
	c     Config
	start time.Time

	mu      sync.Mutex
	buckets map[identifier.Organisation]*bucket
	others  map[remoteKey]*remote
	// aside is the part set aside for silent daemons, as counted last.
	aside   float64
	counted time.Time
	// kept is what was written down of the levels before this daemon's start.
	kept *Snapshot
	// heardAt is when any daemon was heard last, gap the longest time between two news
	// of late.
	heardAt time.Time
	gap     time.Duration
	// isolated is when this daemon last heard less than half of the fleet.
	isolated time.Time
	// regroupedAt is when the others began to be told in another way.
	regroupedAt time.Time
}

// New returns an allotter that has charged nothing.
func New(c Config) *Limiter {
	if c.FleetSize == nil {
		c.FleetSize = func() int { return 1 }
	}
	if c.GossipDelay == nil {
		c.GossipDelay = func() time.Duration { return time.Second }
	}
	return &Limiter{
		c: c, start: time.Now(), buckets: make(map[identifier.Organisation]*bucket),
		others: make(map[remoteKey]*remote), gap: firstGap,
	}
}

// Decision is the answer to one request, with the inputs that decided it.
type Decision struct {
	// RetryAfter is when there may be room, 0 if the request was admitted.
	RetryAfter time.Duration
	// Level is what the fleet's bucket held, and Rate its refill in a second.
	Level float64
	Rate  float64
	// Reserved is the part set aside for daemons that are not heard.
	Reserved float64
	// Cause says what a request that is not admitted lacked room in. Part is what is left of
	// this daemon's part, and Share that of the fleet's demand which is asked for here, of
	// Demand in a second in all.
	Cause  Cause
	ShareLevel   float64
	Share  float64
	Demand float64
	// Used is the part of the limit that the fleet is taken to have used within the window.
	Used float64
	// IsolatedFor is how long nobody has been heard, if this daemon takes itself to be cut off
	// from all others, otherwise 0.
	IsolatedFor time.Duration
}

// Cause is what had no room for a request.
type Cause string

// The causes.
const (
	// BucketEmpty: too little is left of the fleet's bucket, SpentWindow: of what may be given out
	// within the window. SpentPart: more is asked for than flows in, and this daemon has
	// given out its part. CutOff: so has one that is held to its equal part.
	BucketEmpty       Cause = "bucket"
	WindowExhausted Cause = "window"
	ShareExhausted   Cause = "part"
	Isolated      Cause = "cut off"
)

// silence is the time after which a daemon counts as silent.
func (a *Limiter) silence() time.Duration {
	return max(leastSilence, time.Duration(silentNews*float64(a.c.GossipDelay())))
}

// cutOff tells whether this daemon hears nobody any more. The others count as silent much
// later, one by one; until then each of those that are cut off would take them for as idle
// as they were, and serve a sudden load of its own clients alone as if it were the only one:
// a third of sixty daemons gave out 1.4 times the quota.
func (a *Limiter) cutOff(now time.Time) bool {
	if a.heardAt.IsZero() || len(a.others) == 0 {
		return false
	}
	return now.Sub(a.heardAt) > max(leastQuiet, time.Duration(quietGaps*float64(a.gap)))
}

// hear takes in that some daemon is heard now. A gap counts as twice the longest of late at
// most: after a cut the next one is still noticed.
func (a *Limiter) hear(now time.Time) {
	if !a.heardAt.IsZero() {
		gap := now.Sub(a.heardAt)
		faded := time.Duration(float64(a.gap) * math.Exp(-gap.Seconds()/gapMemory.Seconds()))
		a.gap = max(min(gap, 2*a.gap), faded)
	}
	a.heardAt = now
	for _, b := range a.buckets {
		b.ownHeard = b.own
	}
}

// confine holds a bucket to this daemon's equal part while it is cut off. What it charged
// since it heard somebody last, which the others don't know of, is paid back first.
func (a *Limiter) confine(b *bucket, now time.Time) {
	was := b.alone
	switch b.alone = a.cutOff(now); {
	case b.alone && !was:
		b.part = max(min(b.part, b.ownHeard-b.own), -b.deep)
	case was && !b.alone:
		b.part = max(b.part, 0)
	}
	if b.alone {
		b.share = a.equal()
	}
}

// Admit charges a request to its organisation, unless there is no room for it.
func (a *Limiter) Admit(o *catalog.Organisation, charge float64) Decision {
	if o == nil {
		return Decision{}
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	b, unseen := a.bucket(o, charge, now)
	b.asked += charge * math.Ln2 / demandHalf.Seconds()
	v := Decision{
		Level: b.level() - unseen, Rate: b.rate, Reserved: a.reserved(now), ShareLevel: b.part, Share: b.share, Demand: b.all, Used: a.used(b, o, unseen),
	}
	if b.alone {
		v.IsolatedFor = now.Sub(a.heardAt)
	}
	if o.RatePerSecond > 0 {
		if missing, cause := b.missing(charge, v.Level); missing > 0 {
			v.RetryAfter, v.Cause = retry(missing, b.rate*b.share), cause
			return v
		}
	}
	b.take(charge)
	b.spend(charge, v.Level)
	b.own += charge
	return v
}

// terms are what a quota gives out: the stated rate and burst, and parts of what
// is tolerated beyond the quota within a window. Where news is too late for the
// overage, the burst is smaller instead, but for fewRequests of the mean size.
func (a *Limiter) terms(o *catalog.Organisation, mean float64) (rate, burst float64) {
	window := a.c.Window.Seconds()
	tolerated := (o.RatePerSecond*window+o.Burst)*a.c.Overage + a.c.Slack
	late := unseenNews * max(a.c.GossipDelay()-usualNews, 0).Seconds() * o.RatePerSecond
	spare := tolerated - o.RatePerSecond*unseenTime.Seconds() - late
	if spare < 0 {
		least := max(leastBurst*o.Burst, min(o.Burst, fewRequests*mean))
		return o.RatePerSecond, max(o.Burst-depthPart*min(-spare, late), least)
	}
	return o.RatePerSecond + ratePart*spare/window, o.Burst + depthPart*spare
}

// saved is the part of the window's allowance that may be saved up and given out at
// once: all of it where news is as usual, none where it is twice as old.
func (a *Limiter) saved() float64 {
	return max(1-max(a.c.GossipDelay()-usualNews, 0).Seconds()/usualNews.Seconds(), 0)
}

// used is the part of an organisation's limit that the fleet is taken to have used within the
// window, the tolerated overage left out.
func (a *Limiter) used(b *bucket, o *catalog.Organisation, unseen float64) float64 {
	return (b.recent.sum + unseen) / max(o.RatePerSecond*a.c.Window.Seconds()+o.Burst, 1)
}

// set brings the terms of a bucket up to date.
func (a *Limiter) set(b *bucket, o *catalog.Organisation) {
	rate, burst := a.terms(o, b.presumedMean(o.Burst))
	window := a.c.Window.Seconds()
	saved := a.saved()
	// Where nothing is saved up the bucket alone keeps the quota, and the window's sum,
	// made of news that comes in bunches, would only refuse more.
	b.allowed = rate*window*(2-saved) + burst
	b.rate, b.burst = rate+saved*burst/max(window, 1), burst+saved*rate*window
	b.deep, b.saved = burst, saved
	b.late = max(float64(a.c.GossipDelay())/float64(usualNews), 1)
	b.presumed = a.presumed(o.Name)
	b.low = lowPart * burst
}

// bucket returns an organisation's bucket as of now, and what the others are taken
// to have charged of it unheard. charge is the size of the request that asks for it.
func (a *Limiter) bucket(o *catalog.Organisation, charge float64, now time.Time) (b *bucket, unseen float64) {
	aside := a.reserved(now)
	b = a.buckets[o.Name]
	known := b != nil
	if !known {
		// Used up: what the daemons before this one gave out is not known. It
		// fills up before a new fleet's first clients come.
		b = &bucket{at: a.start, aside: aside, recent: recent{window: a.c.Window}}
	}
	// Before the terms, which go by the mean: as deep as a smaller request asked for, a
	// bucket had no room for the next one.
	b.weigh(charge)
	if !known {
		a.set(b, o)
		b.recent.spread(b.allowed, a.start)
		a.restore(b, o.Name, now)
		a.adoptTold(b, o.Name, now)
		a.buckets[o.Name] = b
	}
	unseen, asked := a.refresh(b, o.Name, now)
	a.set(b, o)
	b.all = b.asked + asked
	b.share = a.share(b.asked, b.all)
	a.confine(b, now)
	return b, unseen
}

// refresh brings a bucket up to now. It returns what the others are taken to have
// charged of it unheard, and what their clients ask for.
func (a *Limiter) refresh(b *bucket, o identifier.Organisation, now time.Time) (unseen, asked float64) {
	unseen, asked = a.unseen(o, now)
	b.refill(now, unseen, a.reserved(now))
	return unseen, asked
}

func retry(missing, rate float64) time.Duration {
	wait := mostRetry
	if rate > 0 {
		wait = time.Duration(missing / rate * float64(time.Second))
	}
	wait = min(max(wait, leastRetry), mostRetry)
	return wait + rand.N(wait/2)
}
