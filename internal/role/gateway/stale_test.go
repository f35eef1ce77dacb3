package gateway

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"brasschute/internal/standin/hosting"
	"brasschute/platform"
)

// staleRecords is the number of listed engines at whose address nothing listens: three quarters of
// the list.
const staleRecords = 3 * engineCount

// addStaleRecords lists engines that have ended.
func (f *testFleet) addStaleRecords() {
	for i := range staleRecords {
		f.store.Write(platform.EndpointKind, fmt.Sprintf("ended-%03d", i), map[string]any{
			"Service": modelService, "Address": fmt.Sprintf("10.66.0.%d:8745", 1+i), "Zone": fmt.Sprintf("zone-%d", i%f.zones), "State": "ready",
		})
	}
}

// Guards against requests that are refused as not run although engines are idle: the daemons have
// just started, three quarters of the listed engines have ended, and the store, which is down, does
// not remove their records.
func TestStaleRecordsRefuseNoRequest(t *testing.T) {
	for _, daemons := range []int{8, 83, 195} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			inEngineFleet(t, daemons, func(string) bool { return false }, func(f *testFleet, e *engineFleet) {
				f.addStaleRecords()
				time.Sleep(time.Second)
				f.store.SetFault(func(hosting.Call) hosting.Fault { return hosting.Unavailable })
				var mu sync.Mutex
				var group sync.WaitGroup
				var replies []clientReply
				for i := range f.daemons {
					for n := range 2 {
						group.Go(func() {
							r := f.ask(i, streamPath, fmt.Sprintf("letter %d of daemon %d", n, i))
							mu.Lock()
							defer mu.Unlock()
							replies = append(replies, r)
						})
					}
				}
				group.Wait()
				for _, r := range replies {
					if !r.complete {
						t.Errorf("a request was not served: %+v", r)
					}
				}
				if n := e.arrivals(); n != len(replies) {
					t.Errorf("%d requests arrived at engines, want %d", n, len(replies))
				}
			})
		})
	}
}
