package endtracker

import (
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/core/identifier"

	"pgregory.net/rapid"
)

// Guards against an end that is forgotten early, or moves to a later time, when daemons report it in any order, and
// against one that counts for another incarnation.
func TestEarliestReportOfAnEndCounts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const retention = 10 * time.Second
		reports := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 6).Draw(rt, "ages")
		asked := time.Duration(rapid.IntRange(-12, 5).Draw(rt, "asked")) * time.Second
		synctest.Test(t, func(*testing.T) {
			news := 0
			tr := New(Config{Retention: retention})
			now, i, earliest := time.Now(), identifier.EndpointIncarnation{Endpoint: "i-1", Born: 7}, 0
			for _, age := range reports {
				if tr.Record(i, now.Add(-time.Duration(age)*time.Second)) {
					news++
				}
				earliest = max(earliest, age)
			}
			end := now.Add(-time.Duration(earliest) * time.Second)
			if got, want := tr.EndedBefore(i, now.Add(asked)), !end.After(now.Add(asked)); got != want {
				rt.Errorf("ended before %v: %v", asked, got)
			}
			if tr.EndedBefore(identifier.EndpointIncarnation{Endpoint: "i-1", Born: 8}, now.Add(time.Hour)) || tr.EndedBefore(identifier.EndpointIncarnation{Endpoint: "i-2", Born: 7}, now.Add(time.Hour)) {
				rt.Error("another incarnation has ended")
			}
			if recent := tr.Recent(); news != 1 || len(recent) != 1 || !recent[0].At.Equal(end) {
				rt.Errorf("%d new, %v", news, recent)
			}
			time.Sleep(retention + time.Second)
			if tr.EndedBefore(i, time.Now()) || len(tr.Recent()) > 0 {
				rt.Error("kept for too long")
			}
		})
	})
}

// Guards against an incarnation without a start time whose end would count for the next one.
func TestEndWithoutAStartTimeIsNotKept(t *testing.T) {
	tr := New(Config{Retention: time.Second})
	tr.Record(identifier.EndpointIncarnation{Endpoint: "i-1", Born: 0}, time.Now())
	if tr.EndedBefore(identifier.EndpointIncarnation{Endpoint: "i-1", Born: 0}, time.Now()) {
		t.Error("kept")
	}
}
