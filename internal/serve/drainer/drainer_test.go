package drainer

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// Guards against a request that is not told in time that the daemon stops, whenever it came, and against one that
// is told although it has ended.
func TestWatchIsCalledBeforeTheDeadline(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		second := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 10).Draw(rt, name)) * time.Second
		}
		watchedAt, begunAt, grace, lead, endedAfter := second("watched"), second("begun"), second("grace"), second("lead"), second("ended")
		synctest.Test(t, func(*testing.T) {
			d, start := New(Config{}), time.Now()
			calls := make(chan time.Duration, 2)
			time.AfterFunc(begunAt, func() {
				d.Begin(start.Add(begunAt + grace))
				d.Begin(start.Add(time.Hour))
			})
			time.Sleep(watchedAt)
			synctest.Wait()
			stop := d.Watch(lead, func() { calls <- time.Since(start) })
			// Off the whole seconds of all other events.
			time.Sleep(endedAfter + time.Second/2)
			stop()
			due := max(begunAt+grace-lead, begunAt, watchedAt)
			time.Sleep(time.Minute)
			switch {
			case due > watchedAt+endedAfter:
				if len(calls) > 0 {
					rt.Errorf("called at %v, stopped at %v", <-calls, watchedAt+endedAfter)
				}
			case len(calls) != 1:
				rt.Errorf("%d calls, want one at %v", len(calls), due)
			default:
				if at := <-calls; at != due {
					rt.Errorf("called at %v, want %v", at, due)
				}
			}
			if left, stopping := d.TimeLeft(); !stopping || left != time.Until(start.Add(begunAt+grace)) {
				rt.Errorf("%v left, stopping %v", left, stopping)
			}
		})
	})
}
