package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// observerAge is when a silent daemon no longer counts as following the
	// store for others; in a large fleet it is observerPeriods of the digests, as
	// those of far daemons come each second period only.
	observerAge     = 3 * time.Second
	observerPeriods = 3
	// In a fleet of up to smallFleet daemons all follow the store, as the loss of
	// some would otherwise leave few that do. Beyond, one in perObserver does,
	// and leastObservers at least: a mass failure that kills six in ten kills
	// all of eight once in sixty times.
	smallFleet     = 16
	leastObservers = 8
	perObserver    = 10
)

// follows tells whether this daemon follows the store itself. In a small fleet
// all do. In a large one those few do whose names hash lowest among the living;
// any other one does as soon as it hears less than two that say they reach the
// store.
func (g *Gateway) follows() bool {
	now := time.Now()
	age := g.observerAge()
	self := g.c.Deployment.Host
	own := xxhash.Sum64String(string(self))
	daemons, before, observers := 1, 0, 0
	for host, e := range g.gatherer.Latest(now) {
		if now.Sub(e.Heard) > age || e.Digest.GetStopping() {
			continue
		}
		daemons++
		if xxhash.Sum64String(string(host)) < own {
			before++
		}
		if e.Digest.GetObserving() {
			observers++
		}
	}
	return daemons <= smallFleet || before < max(leastObservers, daemons/perObserver) || observers < 2
}

func (g *Gateway) observerAge() time.Duration {
	return max(observerAge, observerPeriods*g.swapper.Period())
}
