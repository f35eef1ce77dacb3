package gateway

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Addresses at the other ends of links.
const (
	peerPort       = ":82"
	storeAddresses = "10.200."
	firstZone      = "10.1."
)

// linkSelector selects links of a daemon by the address of the side that listens; nil selects none.
type linkSelector func(address string) bool

// Selectors of the links that a partition cuts.
func toPeers(address string) bool { return strings.HasSuffix(address, peerPort) }
func toStore(address string) bool { return strings.HasPrefix(address, storeAddresses) }
func toPeersAndStore(address string) bool {
	return toPeers(address) || toStore(address)
}

// firstOnly cuts links of the first daemon.
func firstOnly(links linkSelector) func(daemon int) linkSelector {
	return func(daemon int) linkSelector {
		if daemon == 0 {
			return links
		}
		return nil
	}
}

// firstZoneOnly cuts the first zone off from the store and from daemons of other zones.
func firstZoneOnly(daemon int) linkSelector {
	if daemon%zonesOfRelease == 0 {
		return func(address string) bool {
			return toPeers(address) && !strings.HasPrefix(address, firstZone) || toStore(address)
		}
	}
	return func(address string) bool { return toPeers(address) && strings.HasPrefix(address, firstZone) }
}

const (
	// newEngines is the number of engines of a new version that join, zonesOfRelease the number of zones.
	newEngines     = 8
	zonesOfRelease = 4
	// takeUpInterval is the time between two groups of streams that are taken up.
	takeUpInterval = 250 * time.Millisecond
	// streamsAtOnce is the number of streams in a group.
	streamsAtOnce = 4
	// contactTime is how long after a partition a daemon is in touch with the others again, settledTakeUps how long streams
	// are taken up after that.
	contactTime    = 3 * time.Second
	settledTakeUps = 3 * time.Second
)

// release is a fleet of daemons in front of engines of one version, which engines of another one join while links of some
// daemons are cut.
type release struct {
	*versionedFleet
	links []*faultyNetwork
}

// inRelease runs a check in a release, once all daemons know that there has been one version only.
func inRelease(t *testing.T, daemons int, cut func(daemon int) linkSelector, check func(r *release)) {
	t.Helper()
	inPausedTime(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		f.rate, f.zones = wideLink, zonesOfRelease
		r := &release{versionedFleet: &versionedFleet{testFleet: f, runs: make(map[string][]streamRun)}}
		f.prepare = func(c *Config) {
			// Many streams of one daemon break at once.
			c.Deployment.Bounds.RetryReserve = 10 * versionedStreams
			if affects := cut(len(f.daemons)); affects != nil {
				n := newFaultyNetwork(c.Network, affects)
				r.links, c.Network = append(r.links, n), n
				f.stop = append(f.stop, n.end)
			}
		}
		r.engines = f.prepareEngines(func(string) bool { return false })
		r.engines.version = func(place int) string { return fmt.Sprintf("v%d", place/engineCount) }
		r.engines.behave = r.behave
		r.engines.sameIDs = true
		r.engines.startAll()
		f.start(daemons)
		time.Sleep(streamRetention)
		f.settle()
		check(r)
	})
}

// setFault sets the fault of the links.
func (r *release) setFault(fault linkFault) {
	for _, n := range r.links {
		n.setFault(fault)
	}
}

// takeUpAtFirst begins streams at the other daemons all the time and takes them up at the first one. It returns the number
// of streams, and of those that went on.
func (r *release) takeUpAtFirst(from func(n int) int, d time.Duration) (begun, complete int) {
	var whole atomic.Int32
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(takeUpInterval) {
		var clients sync.WaitGroup
		for range streamsAtOnce {
			daemon := from(begun)
			begun++
			clients.Go(func() {
				id, reply := r.begin(daemon, retriedStream)
				if endsWhole(r.takeUp(0, id, reply)) {
					whole.Add(1)
				}
			})
		}
		clients.Wait()
	}
	return begun, int(whole.Load())
}

// check lets engines of a new version join at the moment of a cut, and checks the versions of streams that are taken up at the
// first daemon during the cut and after it, and that half of them at least go on once the daemon is in touch again.
func (r *release) check(fault linkFault, cutTime time.Duration, from func(n int) int) {
	r.t.Helper()
	r.setFault(fault)
	for place := range newEngines {
		r.engines.start(engineCount + place)
	}
	during, completeDuring := r.takeUpAtFirst(from, cutTime)
	r.setFault(linkSound)
	healing, completeHealing := r.takeUpAtFirst(from, contactTime)
	after, completeAfter := r.takeUpAtFirst(from, settledTakeUps)
	r.t.Logf("%d of %d streams went on during the cut, %d of %d right after it, %d of %d later", completeDuring, during, completeHealing, healing, completeAfter, after)
	if n := r.ofTwoVersions(); n > allowedOfTwoVersions {
		r.t.Errorf("%d of %d streams went on at another version", n, during+healing+after)
	}
	if completeAfter < after/2 {
		r.t.Errorf("%d of %d streams went on after the cut", completeAfter, after)
	}
}

// Guards against a daemon that goes on with streams at the only version that it knows, while it is out of step with the others
// and engines of a new version have joined.
func TestDaemonOutOfStepContinuesNoStreamAtAnotherVersion(t *testing.T) {
	for name, links := range map[string]linkSelector{"peers": toPeers, "peers and store": toPeersAndStore} {
		for _, fault := range []linkFault{linkReset, linkHangs} {
			for _, cutTime := range []time.Duration{2 * time.Second, 5 * time.Second} {
				for _, daemons := range []int{2, 8} {
					t.Run(fmt.Sprint(name, ", ", fault, ", ", cutTime, ", ", daemons, " daemons"), func(t *testing.T) {
						inRelease(t, daemons, firstOnly(links), func(r *release) {
							r.check(fault, cutTime, func(n int) int { return 1 + n%(daemons-1) })
						})
					})
				}
			}
		}
	}
}

// Guards against the same in a large fleet, in which few daemons watch the store.
func TestDaemonOutOfStepInALargeFleet(t *testing.T) {
	inRelease(t, scaledFleetSize(60), firstOnly(toPeersAndStore), func(r *release) {
		r.check(linkHangs, 8*time.Second, func(n int) int { return 1 + n%(len(r.daemons)-1) })
	})
}

// Guards against the same where a zone is cut off, whose daemons confirm each other what they know.
func TestZoneOutOfStepContinuesNoStreamAtAnotherVersion(t *testing.T) {
	for _, daemons := range []int{8, 12} {
		inRelease(t, daemons, firstZoneOnly, func(r *release) {
			r.check(linkHangs, 8*time.Second, func(n int) int { return 1 + n%3 })
		})
	}
}
