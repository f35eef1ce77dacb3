package gateway

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// minServedShare is the smallest part of the former rate at which requests may be served while one
// daemon gets most connections.
const minServedShare = 0.75

// sendWhere sends requests at an interval for a time, each to a daemon that choose selects, and
// returns the part of them that was served.
func (f *testFleet) sendWhere(choose func(n int) int, interval, d time.Duration) float64 {
	var mu sync.Mutex
	var group sync.WaitGroup
	var replies []clientReply
	for n, begun := 0, time.Now(); time.Since(begun) < d; n++ {
		daemon := choose(n)
		group.Go(func() {
			r := f.ask(daemon, streamPath, fmt.Sprintf("letter %d", n))
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, r)
		})
		time.Sleep(interval)
	}
	group.Wait()
	return 1 - float64(countFailed(replies))/float64(len(replies))
}

// anyDaemon selects a random daemon.
func (f *testFleet) anyDaemon(int) int { return f.random.IntN(len(f.daemons)) }

// mostly selects the given daemon for 19 of 20 requests, and a random one for the others.
func (f *testFleet) mostly(daemon int) func(int) int {
	return func(n int) int {
		if n%20 == 0 {
			return f.anyDaemon(n)
		}
		return daemon
	}
}

// Guards against requests that are refused at the daemon that gets most connections while the shares
// that other daemons have of the engines' limits are not used.
func TestDaemonWithMostConnectionsUsesTheLimitsOfEngines(t *testing.T) {
	const limit = 4
	// halfOfLimits is the time between two requests at half the rate that all limits allow.
	const halfOfLimits = 2 * time.Second / (limit * engineCount)
	all := func(int, time.Duration) float64 { return limit }
	for _, daemons := range []int{8, 60} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			inLimitFleet(t, daemons, all, func(f *testFleet, l *limitedEngines) {
				const part = 8 * time.Second
				f.sendWhere(f.anyDaemon, 2*halfOfLimits, part/2)
				before := f.sendWhere(f.anyDaemon, halfOfLimits, part)
				first := f.sendWhere(f.mostly(0), halfOfLimits, part)
				second := f.sendWhere(f.mostly(1), halfOfLimits, part)
				t.Logf("%.2f served before, %.2f and %.2f while one daemon gets 19 of 20 connections", before, first, second)
				if min(first, second) < minServedShare*before {
					t.Errorf("%.2f and %.2f are served while one daemon gets most connections, %.2f before", first, second, before)
				}
				l.check(limit)
			})
		})
	}
}
