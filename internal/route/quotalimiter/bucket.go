package quotalimiter

import (
	"math"
	"time"

	"brasschute/internal/core/decayingsum"
)

// bucket is the fleet's token bucket for one organisation, as estimated by this daemon.
type bucket struct {
	// tokens is the content of the bucket as of at, recent what the fleet charged within the
	// window, and allowance the limit on the latter.
	tokens    float64
	recent    slidingWindow
	allowance float64
	at        time.Time
	// meanCharge is the mean size of the requests seen here, over samples requests.
	meanCharge float64
	samples    float64
	// reserved is the fraction last reserved for silent peers, presumedRate the most that the fleet
	// is assumed to admit per second.
	reserved     float64
	presumedRate float64
	// settled: all that recent holds was charged since this daemon joined the fleet, so that what leaves it is known.
	settled bool
	// shaped: recent has the charges at the times at which they were made, also those from before this daemon started.
	shaped bool
	// charged is the total that this daemon has charged, chargedAtUpdate that total as of the last
	// update from a peer.
	charged         float64
	chargedAtUpdate float64
	// known is the total that this daemon and its peers have charged, as far as reported in time. ownRecent is what this daemon
	// has charged of late.
	known     float64
	ownRecent decayingsum.Sum
	// rate and burst are the effective quota; lowLevel is the level below which shares decide.
	rate     float64
	burst    float64
	lowLevel float64
	// maxOverdraft is how far a share may go below zero, savedFraction the fraction of the window's
	// allowance that may be saved up.
	maxOverdraft  float64
	savedFraction float64
	// delayFactor is the gossip delay as a multiple of the usual one, at least 1.
	delayFactor float64
	// share is this daemon's fraction of the fleet's demand, shareLevel the level of a second
	// bucket that fills at that fraction of the rate. localDemand is the demand per second at this
	// daemon, fleetDemand that of the whole fleet.
	share       float64
	fleetDemand float64
	shareLevel  float64
	localDemand float64
	// isolated: this daemon receives no updates and admits only its equal share.
	isolated bool
	// adopted counts the peers whose levels were recently adopted, the last one at adoptedAt.
	adopted   int
	adoptedAt time.Time
}

// level returns what may be admitted now: the content of the bucket, limited to what is left of the
// window's allowance.
func (b *bucket) level() float64 { return min(b.tokens, b.allowance-b.recent.sum) }

// minCharged returns the least that was charged within the window if a level is left. A full bucket
// means that nothing was charged, however much more the window allows. A daemon that adopted a full
// bucket assumed that a window's worth of the rate was charged, and refused an organisation whose
// quota was lowered a moment later for the rest of the day.
func (b *bucket) minCharged(level float64) float64 { return max(b.burst-level, 0) }

// observeCharge adds the size of a request to the mean.
func (b *bucket) observeCharge(charge float64) {
	b.samples++
	b.meanCharge += max(meanChargeWeight, 1/b.samples) * (charge - b.meanCharge)
}

// presumedMean returns the mean request size, corrected for few samples: minBurstRequests requests
// that add up to the burst are counted in.
func (b *bucket) presumedMean(burst float64) float64 {
	return (b.meanCharge*b.samples + burst) / (b.samples + minBurstRequests)
}

// take charges an amount.
func (b *bucket) take(charge float64) {
	b.tokens -= charge
	b.recent.add(charge)
}

// refill advances the bucket to now. Presumed unreported charges of peers raise the maximum level:
// if the bucket overflowed meanwhile, these charges would be paid twice once they are reported. The
// fraction reserved for silent peers is charged as time passes, of what flows in or leaves the window,
// and the same fraction of the saved tokens at once, because both sides of a partition would spend them.
func (b *bucket) refill(now time.Time, unreported, reserved float64) {
	elapsed := now.Sub(b.at).Seconds()
	b.recent.advance(now)
	b.tokens = max(min(b.burst+unreported, b.tokens+b.rate*elapsed), -b.rate*b.recent.window.Seconds())
	freed := b.rate
	if b.settled {
		freed = max(freed, b.recent.expiring())
	}
	charge := reserved * min(freed, b.presumedRate) * elapsed
	if reserved > b.reserved {
		charge += (reserved - b.reserved) * max(b.level()-unreported, 0)
	}
	b.reserved = reserved
	b.take(charge)
	inflow := b.share * b.outflow(b.level()-unreported)
	maxShareLevel := inflow * b.delayFactor * shareBurstTime.Seconds()
	if b.isolated {
		inflow, maxShareLevel = b.share*b.rate, b.share*b.maxOverdraft
	}
	b.shareLevel = min(maxShareLevel, b.shareLevel+inflow*elapsed)
	b.localDemand *= math.Exp2(-elapsed / demandHalfLife.Seconds())
	b.at = now
}

// outflow returns what all daemons together admit per second while shares decide. Where nothing may
// be saved up it is the rate, raised while the bucket holds tokens and lowered while it is
// overdrawn. Where the window's allowance decides it is what leaves the window, so that the window
// stays full, plus a part of the remaining allowance.
func (b *bucket) outflow(level float64) float64 {
	steady := b.rate
	if b.lowLevel > 0 {
		steady *= 1 + max(min(level/b.lowLevel, maxSurplus), -maxSurplus)
	}
	if b.savedFraction == 0 {
		return steady
	}
	full := max(b.recent.expiring()+level/savedReleaseTime.Seconds(), 0)
	return b.savedFraction*full + (1-b.savedFraction)*steady
}

// shareLimited reports whether each daemon admits only its share: demand exceeds the refill rate
// and little is left, or this daemon is isolated.
func (b *bucket) shareLimited(level float64) bool {
	return b.isolated || b.fleetDemand > overloadFactor*b.rate && level < max(b.lowLevel, b.fleetDemand*b.delayFactor*gossipTime.Seconds())
}

// shortfall returns how much of a charge does not fit, and which limit it exceeds. The charge fits
// if the amount is not positive.
func (b *bucket) shortfall(charge, level float64) (float64, Cause) {
	cause := BucketEmpty
	if b.allowance-b.recent.sum < b.tokens {
		cause = WindowExhausted
	}
	if charge <= smallChargeFraction*b.meanCharge {
		return charge - level - smallChargeTime.Seconds()*b.rate, cause
	}
	shortfall := charge - level
	// The share may have gone below zero for a request larger than itself: in a large fleet a share
	// is smaller than most requests.
	if shareShortfall := minShortfall - b.shareLevel; b.shareLimited(level) && b.shareLevel <= 0 && shareShortfall > shortfall {
		if shortfall = shareShortfall; level >= charge {
			cause = ShareExhausted
		}
	}
	if b.isolated {
		cause = Isolated
	}
	return shortfall, cause
}

// spendShare takes a charge from this daemon's share. What is admitted from the saved allowance
// while there is plenty leaves no debt: paying it back took seven seconds of a daemon's share.
func (b *bucket) spendShare(charge, level float64) {
	minShareLevel := -b.maxOverdraft
	if !b.shareLimited(level) {
		minShareLevel = min(b.shareLevel, -b.maxOverdraft*(1-b.savedFraction))
	}
	b.shareLevel = max(b.shareLevel-charge, minShareLevel)
}
