package crashreporter

import (
	"context"
	"io"
	"math"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/peer/rpc"
	"brasschute/internal/route/registry"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

// host is a dialer that refuses connections after a time, as the host of an ended process does.
type host struct {
	after time.Duration
	err   error
}

// DialContext waits, then fails or returns a connection that is closed at once.
func (h host) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	select {
	case <-time.After(h.after):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if h.err != nil {
		return nil, &net.OpError{Op: "dial", Err: h.err}
	}
	near, far := net.Pipe()
	_ = far.Close()
	return near, nil
}

// newReporter returns a reporter that counts the changes of its own suspects in ownChanges.
func newReporter(h host, leaving bool, ownChanges *atomic.Int32) *Reporter {
	return New(Config{
		Host: "a", Dialer: h, Leaving: func(*registry.Pick) (time.Time, bool) { return time.Time{}, leaving },
		OnChange: func(own bool) {
			if own {
				ownChanges.Add(1)
			}
		}, Logger: log.New(io.Discard), Metrics: tally.NoopScope,
	})
}

// Only a refused connection of an endpoint that is not leaving is an ending; resets, errors and
// partitions are not. A slow probe must not delay the request, but its result must count.
func TestOnlyRefusedProbesAreEndings(t *testing.T) {
	for _, c := range []struct {
		name    string
		h       host
		leaving bool
		counts  bool
	}{
		{"the process has ended", host{time.Millisecond, syscall.ECONNREFUSED}, false, true},
		{"it has ended, and the probe is slow", host{60 * time.Millisecond, syscall.ECONNREFUSED}, false, true},
		{"it has ended after it was leaving", host{time.Millisecond, syscall.ECONNREFUSED}, true, false},
		{"the connection was reset", host{time.Millisecond, nil}, false, false},
		{"the answer was corrupt", host{time.Millisecond, nil}, false, false},
		{"the availability zone is cut off", host{time.Minute, nil}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var ownChanges atomic.Int32
				r := newReporter(c.h, c.leaving, &ownChanges)
				begun := time.Now()
				r.ReportBreak(t.Context(), &Attempt{Fingerprint: "f", Request: "r", Pick: &registry.Pick{Endpoint: "i-1"}}, 0)
				if took := time.Since(begun); took > maxProbeWait {
					t.Errorf("the request was held up for %v", took)
				}
				time.Sleep(time.Second)
				if known := len(r.List()) == 1; known != c.counts || ownChanges.Load() == 1 != c.counts {
					t.Errorf("known %v, %d own changes, want %v", known, ownChanges.Load(), c.counts)
				}
			})
		})
	}
}

// An endpoint had already sent events of a stream when it ended: another request is the more likely
// cause, so the ending counts only as weak evidence.
func TestEndingAfterEventsIsWeak(t *testing.T) {
	for events, weak := range map[int]bool{0: false, 3: true} {
		synctest.Test(t, func(t *testing.T) {
			var ownChanges atomic.Int32
			r := newReporter(host{time.Millisecond, syscall.ECONNREFUSED}, false, &ownChanges)
			r.ReportBreak(t.Context(), &Attempt{Fingerprint: "f", Request: "r", Pick: &registry.Pick{Endpoint: "i-1"}}, events)
			if got := r.List()[0].Endings[0].Weak; got != weak {
				t.Errorf("after %d events: weak %v", events, got)
			}
		})
	}
}

// Messages of other daemons may be of a later version, or faulty.
func TestInvalidSuspectsAreIgnored(t *testing.T) {
	var ownChanges atomic.Int32
	r := newReporter(host{}, false, &ownChanges)
	many := make([]*rpc.Ending, 100)
	for i := range many {
		many[i] = &rpc.Ending{Endpoint: string(rune('a' + i)), AgeMilli: int64(i)}
	}
	r.MergeSuspects([]*rpc.Suspect{
		nil,
		{},
		{Fingerprint: "no endings"},
		{Fingerprint: "no endpoint", Endings: []*rpc.Ending{{}, nil}},
		{Fingerprint: "long ago", Endings: []*rpc.Ending{{Endpoint: "i-1", AgeMilli: math.MaxInt64}}},
		{Fingerprint: "from the future", Endings: []*rpc.Ending{{Endpoint: "i-1", AgeMilli: math.MinInt64}}},
		{Fingerprint: "many", Endings: many},
	})
	for _, s := range r.List() {
		age := time.Since(s.Endings[0].At)
		if s.Fingerprint != "many" && s.Fingerprint != "from the future" || age < 0 || len(s.Endings) > 8 {
			t.Errorf("%s: %d endings, %v old", s.Fingerprint, len(s.Endings), age)
		}
	}
	if n := len(r.List()); n != 2 {
		t.Errorf("%d suspects", n)
	}
}
