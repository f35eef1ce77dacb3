package crashreporter

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/registry"
)

// mortalHost is the host of a process that ends, or of one that does not respond.
type mortalHost struct {
	ended, silent atomic.Bool
	dials         atomic.Int32
	// presence is what the list says of the endpoint.
	presence atomic.Int32
	// unreachable: peers get no response from it either.
	unreachable atomic.Bool
	// unconfirmed: peers can't tell whether the process has ended.
	unconfirmed atomic.Bool
}

// DialContext connects until the process has ended.
func (h *mortalHost) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	h.dials.Add(1)
	if h.silent.Load() {
		return host{time.Hour, nil}.DialContext(ctx, network, address)
	}
	if h.ended.Load() {
		return host{time.Millisecond, syscall.ECONNREFUSED}.DialContext(ctx, network, address)
	}
	return host{after: time.Millisecond}.DialContext(ctx, network, address)
}

// newAttempt returns an attempt at the endpoint i-1.
func newAttempt(f identifier.Fingerprint, parts ...identifier.Fingerprint) *Attempt {
	return &Attempt{
		Fingerprint: f, Request: identifier.Request(f), Parts: parts,
		Pick: &registry.Pick{Endpoint: "i-1", StartTime: 7, Address: "10.0.0.1:80", Activity: new(candidate.Activity)},
	}
}

// withReporter runs a check with a reporter that serves before a process that may end.
func withReporter(t *testing.T, check func(t *testing.T, r *Reporter, h *mortalHost)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := new(mortalHost)
		c := newReporter(host{}, false, new(atomic.Int32)).c
		c.Dialer = h
		c.Presence = func(*registry.Pick) registry.Presence { return registry.Presence(h.presence.Load()) }
		c.Unreachable = func(context.Context, *registry.Pick) bool { return h.unreachable.Load() }
		c.Confirm = func(context.Context, string) bool { return !h.unconfirmed.Load() }
		r := New(c)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = r.Serve(ctx)
		}()
		check(t, r, h)
		cancel()
		<-done
	})
}

// endings returns the number of endings known under a request or part.
func endings(r *Reporter, f identifier.Fingerprint) int {
	for _, s := range r.List() {
		if s.Fingerprint == f {
			return len(s.Endings)
		}
	}
	return 0
}

// kept returns the number of attempts that were given up and are kept, and that of endpoints with attempts.
func kept(r *Reporter) (givenUp, places int) {
	r.attempts.mu.Lock()
	defer r.attempts.mu.Unlock()
	return r.attempts.givenUp, len(r.attempts.places)
}

// Guards against an endpoint's end that counts against none of the requests that it was running, because the
// client of the one that caused it had left.
func TestEndCountsAgainstAttemptsGivenUp(t *testing.T) {
	part := identifier.NewPartFingerprint("lm", "p")
	for _, c := range []struct {
		name string
		// learn lets the reporter learn of the end.
		learn func(r *Reporter, h *mortalHost)
		want  int
	}{
		{"seen by a check", func(_ *Reporter, h *mortalHost) { h.ended.Store(true); time.Sleep(2 * firstCheck) }, 1},
		{"long after the attempt", func(_ *Reporter, h *mortalHost) {
			time.Sleep(2 * retention)
			h.ended.Store(true)
			time.Sleep(retention)
		}, 0},
		{"the endpoint lives on", func(*Reporter, *mortalHost) { time.Sleep(retention) }, 0},
		{"seen by a peer", func(r *Reporter, _ *mortalHost) {
			r.MergeSuspects([]*rpc.Suspect{{Fingerprint: "near", Endings: []*rpc.Ending{{Endpoint: "i-1", Born: 7, Host: "b"}}}})
		}, 1},
		{"of another start of the endpoint, seen by a peer", func(r *Reporter, _ *mortalHost) {
			r.MergeSuspects([]*rpc.Suspect{{Fingerprint: "near", Endings: []*rpc.Ending{{Endpoint: "i-1", Born: 8, Host: "b"}}}})
		}, 0},
		{"another request was broken off", func(r *Reporter, h *mortalHost) {
			h.ended.Store(true)
			r.ReportBreak(context.Background(), newAttempt("near"), 3)
		}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			withReporter(t, func(t *testing.T, r *Reporter, h *mortalHost) {
				a := newAttempt("f", part)
				r.Begin(a)
				r.ReportGivenUp(a, ClientGone)
				c.learn(r, h)
				if n := endings(r, "f"); n != c.want {
					t.Errorf("%d endings under the request, want %d", n, c.want)
				}
				if n := endings(r, part); n != c.want {
					t.Errorf("%d endings under the part, want %d", n, c.want)
				}
			})
		})
	}
}

// Guards against an endpoint that ended without a reset or a refusal, which counts against none of the requests that wait
// for it, and against endpoints that count as ended because they are cut off, slow or unlisted.
func TestEndOfASilentEndpoint(t *testing.T) {
	for _, c := range []struct {
		name          string
		presence      registry.Presence
		ended, silent bool
		unreachable   bool
		want          int
	}{
		{"gone from the list, no response", registry.Lapsed, false, true, false, 1},
		{"gone from the list, refuses", registry.Lapsed, true, false, false, 1},
		{"gone from the list, serves on", registry.Lapsed, false, false, false, 0},
		{"another one listed at its address", registry.Replaced, false, false, false, 1},
		{"listed, no response", registry.Listed, false, true, false, 0},
		{"listed, no response to peers either", registry.Listed, false, true, true, 1},
		{"listed, slow", registry.Listed, false, false, true, 0},
		{"leaving, no response", registry.Leaving, false, true, true, 0},
		{"leaving, refuses", registry.Leaving, true, false, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			withReporter(t, func(t *testing.T, r *Reporter, h *mortalHost) {
				part := identifier.NewPartFingerprint("lm", "p")
				r.Begin(newAttempt("f", part))
				h.presence.Store(int32(c.presence))
				h.ended.Store(c.ended)
				h.silent.Store(c.silent)
				h.unreachable.Store(c.unreachable)
				time.Sleep(2 * time.Second)
				if n := endings(r, part); n != c.want {
					t.Errorf("%d endings, want %d", n, c.want)
				}
			})
		})
	}
}

// Guards against an end that is never counted because a single look at the time of the break could not prove it:
// peers could not tell, no response came, or the process had not closed its socket yet.
func TestUnprovenEndIsLookedAtAgain(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after func(h *mortalHost)
		want          int
	}{
		{
			"peers can tell later", func(h *mortalHost) { h.ended.Store(true); h.unconfirmed.Store(true) },
			func(h *mortalHost) { h.unconfirmed.Store(false) }, 1,
		},
		{
			"peers can't tell, it vanishes from the list", func(h *mortalHost) { h.ended.Store(true); h.unconfirmed.Store(true) },
			func(h *mortalHost) { h.presence.Store(int32(registry.Lapsed)) }, 1,
		},
		{"peers never can tell", func(h *mortalHost) { h.ended.Store(true); h.unconfirmed.Store(true) }, func(*mortalHost) {}, 0},
		{"no response at first", func(h *mortalHost) { h.silent.Store(true) }, func(h *mortalHost) { h.silent.Store(false); h.ended.Store(true) }, 1},
		{"it listens at first", func(*mortalHost) {}, func(h *mortalHost) { h.ended.Store(true) }, 1},
		{"it listens", func(*mortalHost) {}, func(*mortalHost) {}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			withReporter(t, func(t *testing.T, r *Reporter, h *mortalHost) {
				part := identifier.NewPartFingerprint("lm", "p")
				a := newAttempt("f", part)
				c.before(h)
				r.Begin(a)
				r.ReportBreak(context.Background(), a, 0)
				time.Sleep(200 * time.Millisecond)
				c.after(h)
				time.Sleep(retention / 2)
				if n := endings(r, part); n != c.want {
					t.Errorf("%d endings, want %d", n, c.want)
				}
			})
		})
	}
}

// Guards against requests that are blamed for an end though they had been answered, or had not run.
func TestEndDoesNotCountAgainstConcludedAttempts(t *testing.T) {
	withReporter(t, func(t *testing.T, r *Reporter, h *mortalHost) {
		a := newAttempt("f")
		r.Begin(a)
		r.Conclude(a)
		h.ended.Store(true)
		r.ReportBreak(context.Background(), newAttempt("near"), 0)
		if n := endings(r, "f"); n != 0 {
			t.Errorf("%d endings", n)
		}
		if n, places := kept(r); n != 0 || places != 0 {
			t.Errorf("attempts at %d endpoints are kept", places)
		}
	})
}

// Guards against requests that are blamed for an end that came before they were sent, as they wait at a host that
// does not respond, and against attempts that are joined with one end again and again.
func TestEndDoesNotCountAgainstLaterAttempts(t *testing.T) {
	withReporter(t, func(t *testing.T, r *Reporter, _ *mortalHost) {
		before, after := newAttempt("before"), newAttempt("after")
		r.Begin(before)
		time.Sleep(time.Second)
		r.Begin(after)
		r.MergeSuspects([]*rpc.Suspect{{Fingerprint: "near", Endings: []*rpc.Ending{{Endpoint: "i-1", Born: 7, Host: "b", AgeMilli: 500}}}})
		if endings(r, "before") != 1 || endings(r, "after") != 0 {
			t.Errorf("%d endings under the request sent before, %d under the one sent after", endings(r, "before"), endings(r, "after"))
		}
		if _, places := kept(r); places != 0 {
			t.Errorf("attempts at %d endpoints are kept", places)
		}
	})
}

// Guards against an attempt that changes while others read it, as it begins anew at each peer that may send it.
func TestAttemptBeginsOnce(t *testing.T) {
	withReporter(t, func(t *testing.T, r *Reporter, _ *mortalHost) {
		a := newAttempt("f")
		r.Begin(a)
		sent := a.Sent
		time.Sleep(time.Second)
		joined := make(chan struct{})
		go func() {
			defer close(joined)
			r.MergeSuspects([]*rpc.Suspect{{Fingerprint: "near", Endings: []*rpc.Ending{{Endpoint: "i-1", Born: 7, Host: "b"}}}})
		}()
		r.Begin(a)
		<-joined
		if !a.Sent.Equal(sent) {
			t.Errorf("sent at %v, then at %v", sent, a.Sent)
		}
		r.Conclude(a)
	})
}

// Guards against probes of each endpoint at which attempts are given up, while it visibly serves others.
func TestEndpointsWithSignsOfLifeAreNotChecked(t *testing.T) {
	withReporter(t, func(t *testing.T, r *Reporter, h *mortalHost) {
		a := newAttempt("f")
		r.ReportGivenUp(a, ClientGone)
		for range 100 {
			a.Pick.Activity.RecordEvent(time.Now())
			time.Sleep(retention / 100)
		}
		if n := h.dials.Load(); n != 0 {
			t.Errorf("%d connections", n)
		}
	})
}

// Guards against unbounded memory when many clients leave.
func TestAttemptsGivenUpAreBounded(t *testing.T) {
	withReporter(t, func(t *testing.T, r *Reporter, _ *mortalHost) {
		for n := range 2 * maxGivenUp {
			r.ReportGivenUp(newAttempt(identifier.Fingerprint(fmt.Sprint(n))), ClientGone)
		}
		if n, _ := kept(r); n != maxGivenUp {
			t.Errorf("%d are kept", n)
		}
		time.Sleep(2 * retention)
		if n, places := kept(r); n != 0 || places != 0 {
			t.Errorf("%d are kept later, at %d endpoints", n, places)
		}
	})
}
