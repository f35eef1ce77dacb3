package gateway

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"brasschute/internal/config/rollout"
	"brasschute/internal/standin/hosting"
	"brasschute/platform"
)

// restoredRollout is a roll-out whose store comes back from a copy.
type restoredRollout struct {
	*versionFleet
	// since is the copy of the store that is newest of those that lack the last status.
	since hosting.Copy
}

// inRestoredRollout orders a roll-out under load, waits until a status is stored, and runs a check while
// the load goes on for a while. beforeOrder: the copy also lacks the order.
func inRestoredRollout(t *testing.T, d time.Duration, bad, beforeOrder bool, status string, check func(r *restoredRollout)) {
	t.Helper()
	inVersionFleet(t, 8, func(v *versionFleet) {
		r := &restoredRollout{versionFleet: v}
		v.f.store.SetEra(1)
		time.Sleep(5 * time.Second)
		v.answers = func(version, path string, since time.Duration, n int) (engineAnswer, bool) {
			if bad && version == newVersion {
				return badVersions[0].answers(path, since, n)
			}
			return healthyAnswer(path), false
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			v.sendLoad(200, d+25*time.Second)
		}()
		time.Sleep(2 * time.Second)
		v.mu.Lock()
		v.arrivals, v.begun = nil, time.Now()
		v.mu.Unlock()
		r.since = v.f.store.Copy()
		r.order(d)
		time.AfterFunc(bootDelay, func() { v.start(newVersion) })
		for r.status() != status {
			if time.Since(v.begun) > d+5*time.Second {
				t.Fatalf("the status is %q, want %q", r.status(), status)
			}
			if !beforeOrder {
				r.since = v.f.store.Copy()
			}
			time.Sleep(10 * time.Millisecond)
		}
		check(r)
		<-done
		v.group.Wait()
		if bad {
			v.checkExposure(d)
		}
	})
}

// order writes the operator's order.
func (r *restoredRollout) order(d time.Duration) {
	r.f.store.Write(platform.RolloutKind, modelService, map[string]any{"Service": modelService, "Target": newVersion, "DurationS": d.Seconds()})
}

// status returns the stored state of the roll-out.
func (r *restoredRollout) status() string {
	var s struct{ State string }
	_ = json.Unmarshal(r.f.store.Status(platform.RolloutKind, modelService), &s)
	return s.State
}

// restore takes the store away and brings it back from the copy. Endpoints whose records are lost write them
// again.
func (r *restoredRollout) restore(away time.Duration) {
	records := make(map[string]json.RawMessage)
	r.mu.Lock()
	for version, servers := range r.engines {
		for i := range servers {
			id := fmt.Sprintf("%s-%02d", version, i)
			records[id] = r.f.store.Spec(platform.EndpointKind, id)
		}
	}
	r.mu.Unlock()
	r.f.store.SetFault(func(hosting.Call) hosting.Fault { return hosting.Unavailable })
	time.Sleep(away)
	r.f.store.Restore(r.since)
	r.f.store.SetFault(nil)
	time.Sleep(rewriteTime / 2)
	for _, id := range slices.Sorted(maps.Keys(records)) {
		if r.f.store.Spec(platform.EndpointKind, id) == nil {
			r.f.store.Write(platform.EndpointKind, id, records[id])
		}
	}
}

// loseHolder cuts the lease holder off.
func (r *restoredRollout) loseHolder() {
	if i := r.f.leaseHolder(); i >= 0 {
		r.f.networks[i].isolated.Store(true)
	}
}

// Guards against a verdict that the store has lost and that nobody stores again: the platform would not stop
// the endpoints that must go, and a process that starts later would try a bad version once more.
func TestLostVerdictIsStoredAgain(t *testing.T) {
	for _, c := range []struct {
		bad, holderLost bool
		status          string
		phase           rollout.Phase
	}{
		{true, false, "reverted", rollout.Reverted},
		{true, true, "reverted", rollout.Reverted},
		{false, false, "complete", rollout.Complete},
		{false, true, "complete", rollout.Complete},
	} {
		t.Run(fmt.Sprintf("%s, holder lost %v", c.status, c.holderLost), func(t *testing.T) {
			inRestoredRollout(t, 12*time.Second, c.bad, false, c.status, func(r *restoredRollout) {
				time.Sleep(500 * time.Millisecond)
				if c.holderLost {
					r.loseHolder()
				}
				r.restore(restoreAway)
				time.Sleep(10 * time.Second)
				if got := r.status(); got != c.status {
					t.Errorf("after the restore the stored status is %q, want %q", got, c.status)
				}
				for _, g := range r.f.daemons {
					if o := g.splitter.Orders(); len(o) != 1 || o[0].Phase != c.phase {
						t.Errorf("%s knows the orders %+v", g.c.Deployment.Host, o)
					}
				}
			})
		})
	}
}

// Guards against a bad version that gets more than its share of the requests because its order was lost with the
// verdict, is given again and begins anew, also with a holder that did not take the verdict.
func TestOrderThatBeginsAnewKeepsTheShare(t *testing.T) {
	for _, holderLost := range []bool{false, true} {
		t.Run(fmt.Sprint("holder lost ", holderLost), func(t *testing.T) {
			const d = 20 * time.Second
			inRestoredRollout(t, d, true, true, "reverted", func(r *restoredRollout) {
				// A daemon that is cut off hears of no other order.
				observer := r.f.daemons[(r.f.leaseHolder()+1)%len(r.f.daemons)].splitter
				before := observer.Orders()
				if holderLost {
					r.loseHolder()
				}
				r.restore(restoreAway)
				time.Sleep(rewriteTime / 2)
				r.order(d)
				time.Sleep(12 * time.Second)
				if got := r.status(); got != "reverted" {
					t.Errorf("the stored status is %q, want reverted", got)
				}
				if after := observer.Orders(); len(before) != 1 || len(after) != 1 || before[0].OrderID() == after[0].OrderID() {
					t.Errorf("the order is not another one: %+v before, %+v after", before, after)
				}
			})
		})
	}
}
