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
// it, it alone decides. Under a higher demand, when it runs low, all daemons would empty its last part at once and then refuse everything until
// the news of it has passed: so from there on each gives out only its share of
// the rate, in proportion to what its clients ask for.
//
// # When others are silent
//
// A daemon that has not been heard for [silence] may be dead, or cut off and
// still serving. Until it is forgotten, an equal part of the quota is set aside
// for it: both sides of a cut then stay within the quota together. A daemon that
// has just started sets aside the parts of all others until it has heard them,
// and takes over the lowest level that they report.
//
// # Usage
//
//	if after := a.Admit(organisation, charge); after > 0 { refuse }
//	a.Heard(host, incarnation, accounts)
package allotter

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
	// partTime is how much of its share a daemon may save up. The parts of all
	// daemons are given out at once when the bucket has filled up again.
	partTime = 400 * time.Millisecond
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
	// News is the age that the news of a daemon may reach; a second if nil.
	News func() time.Duration
	// Daemons estimates the number of daemons, heard or not; one if nil.
	Daemons func() int
}

// Account is what one daemon tells of an organisation.
type Account struct {
	// Total is all that it charged since its start.
	Total float64
	// Level is its estimate of the fleet's bucket.
	Level float64
	// Asked is what its clients ask for in a second, refused or not.
	Asked float64
}

// bucket is the fleet's, as this daemon sees it.
type bucket struct {
	level float64
	at    time.Time
	own   float64
	// rate and burst are those in force, after the silent daemons' parts.
	rate  float64
	burst float64
	// share is this daemon's part of the fleet's demand; part is a bucket that
	// fills with that share of the rate. asked is the demand here, all that of
	// the fleet.
	share float64
	all   float64
	part  float64
	asked float64
}

// refill brings the bucket to a time. What others are taken to have charged
// unseen makes room at the top: had the bucket overflowed meanwhile, their
// charges would be paid for twice when they are heard.
func (b *bucket) refill(now time.Time, unseen float64) {
	passed := now.Sub(b.at).Seconds()
	b.level = min(b.burst+unseen, b.level+b.rate*passed)
	b.part = min(b.share*b.rate*partTime.Seconds(), b.part+b.share*b.rate*passed)
	b.asked *= math.Exp2(-passed / demandHalf.Seconds())
	b.at = now
}

// missing tells how much of a charge there is no room for; none if it is
// not above zero.
func (b *bucket) missing(charge, level float64) float64 {
	missing := charge - level
	if level < lowPart*b.burst && b.all > overload*b.rate && b.part <= 0 {
		// The part may have gone below zero for a request larger than itself:
		// in a large fleet a part is smaller than most requests.
		missing = max(missing, leastMissing-b.part)
	}
	return missing
}

// remote is what one other daemon charged.
type remote struct {
	heard time.Time
	byOrg map[identifier.Organisation]*count
}

// count is one organisation's: rate is what it charges in a second, asked what
// its clients ask for.
type count struct {
	total, rate, asked float64
	// rated: the rate is measured, between two digests at least.
	rated bool
}

type remoteKey struct {
	host        identifier.Host
	incarnation uint64
}

// Allotter admits requests. It is safe for concurrent use.
type Allotter struct {
	c     Config
	start time.Time

	mu      sync.Mutex
	buckets map[identifier.Organisation]*bucket
	others  map[remoteKey]*remote
	// aside is the part set aside for silent daemons, as counted last.
	aside   float64
	counted time.Time
	// low holds the levels that were taken over.
	low map[identifier.Organisation]float64
}

// New returns an allotter that has charged nothing.
func New(c Config) *Allotter {
	if c.Daemons == nil {
		c.Daemons = func() int { return 1 }
	}
	if c.News == nil {
		c.News = func() time.Duration { return time.Second }
	}
	return &Allotter{
		c: c, start: time.Now(), buckets: make(map[identifier.Organisation]*bucket),
		others: make(map[remoteKey]*remote), low: make(map[identifier.Organisation]float64),
	}
}

// Verdict is the answer to one request, with the inputs that decided it.
type Verdict struct {
	// RetryAfter is when there may be room, 0 if the request was admitted.
	RetryAfter time.Duration
	// Level is what the fleet's bucket held, and Rate its refill in a second.
	Level float64
	Rate  float64
	// Reserved is the part set aside for daemons that are not heard.
	Reserved float64
}

// silence is the time after which a daemon counts as silent.
func (a *Allotter) silence() time.Duration {
	return max(leastSilence, time.Duration(silentNews*float64(a.c.News())))
}

// Admit charges a request to its organisation, unless there is no room for it.
func (a *Allotter) Admit(o *catalog.Organisation, charge float64) Verdict {
	if o == nil {
		return Verdict{}
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.bucket(o, now)
	b.asked += charge * math.Ln2 / demandHalf.Seconds()
	v := Verdict{Level: b.level - a.unseen(o.Name, now), Rate: b.rate, Reserved: a.reserved(now)}
	if o.RatePerSecond > 0 {
		if missing := b.missing(charge, v.Level); missing > 0 {
			v.RetryAfter = retry(missing, b.rate*b.share)
			return v
		}
	}
	b.level -= charge
	b.part = max(b.part-charge, -b.burst)
	b.own += charge
	return v
}

// terms are what a quota gives out: the stated rate and burst, and parts of what
// is tolerated beyond the quota within a window. Where news is too late for the
// overage, the burst is smaller instead.
func (a *Allotter) terms(o *catalog.Organisation) (rate, burst float64) {
	window := a.c.Window.Seconds()
	tolerated := (o.RatePerSecond*window+o.Burst)*a.c.Overage + a.c.Slack
	late := unseenNews * max(a.c.News()-usualNews, 0).Seconds() * o.RatePerSecond
	spare := tolerated - o.RatePerSecond*unseenTime.Seconds() - late
	if spare < 0 {
		return o.RatePerSecond, max(o.Burst-depthPart*min(-spare, late), leastBurst*o.Burst)
	}
	return o.RatePerSecond + ratePart*spare/window, o.Burst + depthPart*spare
}

// bucket returns an organisation's bucket as of now.
func (a *Allotter) bucket(o *catalog.Organisation, now time.Time) *bucket {
	part := 1 - a.reserved(now)
	rate, burst := a.terms(o)
	b := a.buckets[o.Name]
	if b == nil {
		// Empty: what the daemons before this one gave out of the burst is not
		// known. It fills up before a new fleet's first clients come.
		b = &bucket{at: a.start, burst: burst * part, rate: rate * part}
		if level, ok := a.low[o.Name]; ok {
			b.level = min(b.level, level)
		}
		a.buckets[o.Name] = b
	}
	b.refill(now, a.unseen(o.Name, now))
	b.level -= a.overdue(o.Name, now)
	b.rate, b.burst = rate*part, burst*part
	b.share, b.all = a.share(o.Name, b.asked)
	return b
}

func retry(missing, rate float64) time.Duration {
	wait := mostRetry
	if rate > 0 {
		wait = time.Duration(missing / rate * float64(time.Second))
	}
	wait = min(max(wait, leastRetry), mostRetry)
	return wait + rand.N(wait/2)
}

// unseen estimates what the other daemons charged since they were heard.
func (a *Allotter) unseen(o identifier.Organisation, now time.Time) float64 {
	charged, silence := 0.0, a.silence()
	for _, r := range a.others {
		n := r.byOrg[o]
		if n == nil || now.Sub(r.heard) >= silence {
			continue
		}
		rate := n.rate
		if !n.rated {
			// Heard once: it gives out its share of what its clients ask for.
			rate = a.given(o, n.asked)
		}
		charged += rate * now.Sub(r.heard).Seconds()
	}
	return charged
}

// given is what is admitted of a demand: all, or its share of the rate.
func (a *Allotter) given(o identifier.Organisation, asked float64) float64 {
	b := a.buckets[o]
	if b == nil || b.all <= b.rate {
		return asked
	}
	return asked * b.rate / b.all
}

// overdue is what daemons that have fallen silent are taken to have charged until
// their parts are set aside. It is charged once: were it forgotten instead, a cut
// would give out three seconds' worth of the quota again.
func (a *Allotter) overdue(o identifier.Organisation, now time.Time) float64 {
	charged, silence := 0.0, a.silence()
	for _, r := range a.others {
		if n := r.byOrg[o]; n != nil && now.Sub(r.heard) >= silence {
			charged += n.rate * silence.Seconds()
			n.rate = 0
		}
	}
	return charged
}

// share is this daemon's part of what is asked of an organisation's quota, and
// all that is asked.
func (a *Allotter) share(o identifier.Organisation, asked float64) (share, all float64) {
	daemons := 1
	all = asked
	for _, r := range a.others {
		daemons++
		if n := r.byOrg[o]; n != nil {
			all += n.asked
		}
	}
	equal := 1 / float64(daemons)
	if all <= 0 {
		return equal, 0
	}
	return max(asked/all, leastShare*equal), all
}

// reserved is the part of each quota that is set aside for daemons that are
// not heard.
func (a *Allotter) reserved(now time.Time) float64 {
	if now.Sub(a.counted) < reservedAge {
		return a.aside
	}
	a.counted, a.aside = now, a.countSilent(now)
	return a.aside
}

func (a *Allotter) countSilent(now time.Time) float64 {
	latest := make(map[identifier.Host]time.Time, len(a.others))
	for k, r := range a.others {
		if now.Sub(r.heard) > memory {
			delete(a.others, k)
			continue
		}
		if r.heard.After(latest[k.host]) {
			latest[k.host] = r.heard
		}
	}
	silent, all, silence := 0, len(latest)+1, a.silence()
	for _, heard := range latest {
		if now.Sub(heard) > silence {
			silent++
		}
	}
	if daemons := a.c.Daemons(); now.Sub(a.start) < joining && all < daemons {
		silent += daemons - all
		all = daemons
	}
	return float64(silent) / float64(all)
}

// Accounts returns what is to be told to the others.
func (a *Allotter) Accounts() map[identifier.Organisation]Account {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[identifier.Organisation]Account, len(a.buckets))
	now := time.Now()
	for name, b := range a.buckets {
		b.refill(now, a.unseen(name, now))
		out[name] = Account{Total: b.own, Level: b.level, Asked: b.asked}
	}
	return out
}

// Heard takes in another daemon's accounts. What it charged since it was heard
// last is taken from the bucket now.
func (a *Allotter) Heard(host identifier.Host, incarnation uint64, accounts map[identifier.Organisation]Account) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	k := remoteKey{host, incarnation}
	r := a.others[k]
	first := r == nil
	if first {
		r = &remote{byOrg: make(map[identifier.Organisation]*count)}
		a.others[k] = r
	}
	since := now.Sub(r.heard).Seconds()
	for name, account := range accounts {
		n := r.byOrg[name]
		if n == nil {
			n = new(count)
			r.byOrg[name] = n
		}
		n.asked = account.Asked
		delta := max(account.Total-n.total, 0)
		n.total = max(n.total, account.Total)
		if first || now.Sub(r.heard) >= a.silence() {
			// All that it charged meanwhile is in its level. To deduct what it
			// charged since its start put a new daemon, which hears some of the
			// others only after seconds, twenty seconds' worth below them.
			a.adopt(name, account.Level)
			continue
		}
		if b := a.buckets[name]; b != nil {
			b.refill(now, a.unseen(name, now))
			b.level -= delta
		}
		if since > 0 && !first {
			weight := rateWeight
			if !n.rated {
				weight, n.rated = 1, true
			}
			n.rate += weight * (delta/since - n.rate)
		}
	}
	r.heard = now
}

// adopt takes over the level that a daemon with a longer memory reports.
func (a *Allotter) adopt(o identifier.Organisation, level float64) {
	if old, ok := a.low[o]; !ok || level < old {
		a.low[o] = level
	}
	if b := a.buckets[o]; b != nil {
		b.level = min(b.level, level)
	}
}
