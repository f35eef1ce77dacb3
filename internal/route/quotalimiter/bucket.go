package quotalimiter

import (
	"math"
	"time"
)

// bucket is the fleet's allowance, as this daemon sees it.
type bucket struct {
	// held is what the bucket holds; recent is what the fleet charged within the
	// window, and allowed what it may.
	held    float64
	recent  recent
	allowed float64
	at      time.Time
	// mean is that of the charges asked for here, weighed the number that it rests on.
	mean    float64
	weighed float64
	// aside is the part that was set aside for silent daemons lately, presumed the
	// most that the fleet is taken to give out in a second.
	aside    float64
	presumed float64
	// own is what this daemon charged, ownHeard when it heard another one last.
	own      float64
	ownHeard float64
	// rate and burst are those of the bucket; low is the level below which shares
	// decide.
	rate  float64
	burst float64
	low   float64
	// deep is how far a part may be overdrawn; saved the part of the window's allowance
	// that may be saved up.
	deep  float64
	saved float64
	// late is how many times as old as usual news is, 1 at least.
	late float64
	// share is this daemon's part of the fleet's demand; part is a bucket that
	// fills with that share of the rate. asked is the demand here, all that of
	// the fleet.
	share float64
	all   float64
	part  float64
	asked float64
	// alone: this daemon is cut off from all others, and gives out its equal part only.
	alone bool
	// adopted counts the daemons whose level was taken over, lately: until
	// adoptedAt.
	adopted   int
	adoptedAt time.Time
}

// level is what may be given out now: what the bucket holds, within what is left of
// the window's allowance.
func (b *bucket) level() float64 { return min(b.held, b.allowed-b.recent.sum) }

// used is what was charged within the window at least, where a level is left. A full bucket
// tells of nothing charged, however much more the window allows: a daemon that took over a
// full bucket held a window's worth of the rate for charged, and refused an organisation
// whose quota was lowered a moment later for the rest of the day.
func (b *bucket) used(level float64) float64 { return max(b.burst-level, 0) }

// weigh takes in the size of a request.
func (b *bucket) weigh(charge float64) {
	b.weighed++
	b.mean += max(meanWeight, 1/b.weighed) * (charge - b.mean)
}

// presumedMean is the mean where it rests on few requests: as many are added to them as make
// up the burst.
func (b *bucket) presumedMean(burst float64) float64 {
	return (b.mean*b.weighed + burst) / (b.weighed + fewRequests)
}

// take charges an amount.
func (b *bucket) take(charge float64) {
	b.held -= charge
	b.recent.take(charge)
}

// refill brings the bucket to a time. What others are taken to have charged
// unseen makes room at the top: had the bucket overflowed meanwhile, their
// charges would be paid for twice when they are heard. The part of silent daemons
// is charged as it passes, and at once that of what had been saved up: both sides of
// a cut would spend it.
func (b *bucket) refill(now time.Time, unseen, aside float64) {
	passed := now.Sub(b.at).Seconds()
	b.recent.pass(now)
	b.held = max(min(b.burst+unseen, b.held+b.rate*passed), -b.rate*b.recent.window.Seconds())
	charge := aside * min(b.rate, b.presumed) * passed
	if aside > b.aside {
		charge += (aside - b.aside) * max(b.level()-unseen, 0)
	}
	b.aside = aside
	b.take(charge)
	inflow := b.share * b.flow(b.level()-unseen)
	most := inflow * b.late * partTime.Seconds()
	if b.alone {
		inflow, most = b.share*b.rate, b.share*b.deep
	}
	b.part = min(most, b.part+inflow*passed)
	b.asked *= math.Exp2(-passed / demandHalf.Seconds())
	b.at = now
}

// flow is what all daemons together give out in a second while shares decide. Where
// nothing may be saved up it is the rate, raised while the bucket holds something and
// lowered when it holds less than nothing. Where the window's allowance decides it is
// what leaves the window, so that it stays full, and a part of what is left of it.
func (b *bucket) flow(level float64) float64 {
	steady := b.rate
	if b.low > 0 {
		steady *= 1 + max(min(level/b.low, mostSurplus), -mostSurplus)
	}
	if b.saved == 0 {
		return steady
	}
	full := max(b.recent.leaving()+level/savedTime.Seconds(), 0)
	return b.saved*full + (1-b.saved)*steady
}

// shared tells whether each daemon gives out its share only: more is asked for than
// flows in, and little is left, or this one is cut off from the others.
func (b *bucket) shared(level float64) bool {
	return b.alone || b.all > overload*b.rate && level < max(b.low, b.all*b.late*newsTime.Seconds())
}

// missing tells how much of a charge there is no room for, and in what; none if it is not
// above zero.
func (b *bucket) missing(charge, level float64) (float64, Cause) {
	cause := BucketEmpty
	if b.allowed-b.recent.sum < b.held {
		cause = WindowExhausted
	}
	if charge <= smallPart*b.mean {
		return charge - level - smallTime.Seconds()*b.rate, cause
	}
	missing := charge - level
	// The part may have gone below zero for a request larger than itself: in a large fleet a
	// part is smaller than most requests.
	if part := leastMissing - b.part; b.shared(level) && b.part <= 0 && part > missing {
		if missing = part; level >= charge {
			cause = ShareExhausted
		}
	}
	if b.alone {
		cause = Isolated
	}
	return missing, cause
}

// spend takes a charge from this daemon's part. What is given out of the saved
// allowance, while there is plenty, leaves no debt behind: it took seven seconds of a
// daemon's share to pay it back.
func (b *bucket) spend(charge, level float64) {
	least := -b.deep
	if !b.shared(level) {
		least = min(b.part, -b.deep*(1-b.saved))
	}
	b.part = max(b.part-charge, least)
}
