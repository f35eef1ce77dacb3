package gateway

import (
	"testing"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/config/deployment"
	"brasschute/internal/standin/hosting"
)

// recordTime is how long the holder may take to write its records again once the store is back: less than
// the time after which it would refresh one that has not changed.
const recordTime = 6 * time.Second

// checkRecords takes the store away, brings it back from a copy without the holder's records, and checks that
// they are written again.
func (f *testFleet) checkRecords(without hosting.Copy, names ...string) {
	f.t.Helper()
	for _, name := range names {
		if f.store.Spec("fleet", name) == nil {
			f.t.Errorf("fleet/%s was not stored before the restore", name)
		}
	}
	f.store.SetFault(func(hosting.Call) hosting.Fault { return hosting.Unavailable })
	time.Sleep(time.Second)
	f.store.Restore(without)
	f.store.SetFault(nil)
	time.Sleep(recordTime)
	for _, name := range names {
		if f.store.Spec("fleet", name) == nil {
			f.t.Errorf("fleet/%s is not in the store %v after its return", name, recordTime)
		}
	}
}

// Guards against records that the store has lost and that their writer takes for stored: a fleet that starts anew
// would be small, have full quotas, and send on requests that end engines.
func TestLostRecordsAreWrittenAgain(t *testing.T) {
	inPausedTime(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		f.rate, f.adjust = wideLink, func(d *deployment.Deployment) { d.Rollouts = true }
		f.store.SetEra(1)
		f.startEngines(isFatal)
		without := f.store.Copy()
		f.start(8)
		f.settle()
		for i := range 2 {
			f.ask(i, streamPath, fatalBody)
		}
		for _, g := range f.daemons {
			g.quotaLimiter.Admit(&catalog.Organisation{Name: "desk", RatePerSecond: 1000, Burst: 1e6}, 9e5)
		}
		time.Sleep(5 * time.Second)
		f.checkRecords(without, "size", "quotas", "quarantine")
	})
}
