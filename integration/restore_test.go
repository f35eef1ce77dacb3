package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"brasschute/internal/standin/hosting"
)

const (
	// restoreWindow is the length of a usage window in TestRestoreLeavesReportsAlone; half a second into it the
	// store is copied.
	restoreWindow    = 5 * time.Second
	restoreCopyAfter = 500 * time.Millisecond
	firstEra         = 8
)

// reportOf returns the report of a window, or an error if there is none yet.
func (s *site) reportOf(window int64) (hosting.Report, error) {
	for _, r := range s.cloud.Reports() {
		if r.Window == window {
			return r, nil
		}
	}
	return hosting.Report{}, fmt.Errorf("window %d is not reported", window)
}

// awaitReport waits for the report of a window.
func (s *site) awaitReport(window int64) (r hosting.Report) {
	s.t.Helper()
	eventually(s.t, "usage report", func() (err error) {
		r, err = s.reportOf(window)
		return err
	})
	return r
}

// Guards against a window that two hosts report with different counts: the store comes back from a copy without
// the settled counts, and the host that has reported them is gone.
func TestRestoreLeavesReportsAlone(t *testing.T) {
	s := newSite(t)
	s.duties = `["usage"]`
	s.store.SetEra(firstEra)
	s.addEngine(hosting.Config{ID: "i-app", Service: plainService})
	for range 3 {
		h := s.prepareHost()
		h.setUsageWindow(restoreWindow)
		h.start()
		h.awaitReady()
	}
	first := time.Now().UnixNano() / int64(restoreWindow)
	s.awaitReport(first)
	window := time.Now().UnixNano()/int64(restoreWindow) + 1
	time.Sleep(time.Until(time.Unix(0, window*int64(restoreWindow)).Add(restoreCopyAfter)))
	copied := s.store.Copy()
	for _, h := range s.hosts {
		if a := h.send(hostedRequest{Target: nonIdempotentPath, Key: deskKey}); a.status != http.StatusOK {
			t.Fatalf("answer: %+v", a)
		}
	}
	holder := s.awaitReport(window).Holder
	var former *gatewayHost
	for _, h := range s.hosts {
		if h.name == holder {
			former = h
			continue
		}
		// What these hosts have counted is known to the holder alone from now on.
		h.kill()
		h.clearFirstStart()
		h.start()
		h.awaitReady()
	}
	s.store.SetFault(func(hosting.Call) hosting.Fault { return hosting.Unavailable })
	former.kill()
	s.store.Restore(copied)
	s.store.SetFault(nil)
	// The windows that end before another host holds the lease are not reported.
	if r := s.awaitReport(time.Now().UnixNano()/int64(restoreWindow) + 2); r.Holder == holder {
		t.Errorf("the last report came from %s, which has ended", holder)
	}
	if _, err := s.reportedRequests(); err != nil {
		t.Error(err)
	}
}
