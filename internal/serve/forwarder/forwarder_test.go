package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"brasschute/internal/config/compiler"
	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/caller"
	"brasschute/internal/engine/frame"
	"brasschute/internal/peer/crashreporter"
	"brasschute/internal/peer/membertracker"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/route/budgeter"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/call"
	"brasschute/internal/serve/recorder"
	"brasschute/internal/serve/refusal"
	"brasschute/internal/serve/streamer"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

// crashingPool is a pool of endpoints that each crash on the first request: the
// endpoint breaks the request off and refuses connections from then on.
type crashingPool struct {
	registry *registry.Registry
	reporter *crashreporter.Reporter
	crashed  atomic.Int32
	// listeners are the endpoints' listeners. An endpoint refuses connections once its listener
	// is closed.
	listeners []net.Listener
	// arrived and left, if not nil, let the client of a request leave before it crashes its endpoint.
	arrived, left chan struct{}
}

func newCrashingPool(t *testing.T, endpoints int) *crashingPool {
	t.Helper()
	m := &crashingPool{registry: registry.New(registry.Config{LeavingHosts: membertracker.New(membertracker.Config{Self: &rpc.Member{Host: "entry-1"}})})}
	for i := range endpoints {
		var server *httptest.Server
		server = httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodDelete {
				return
			}
			m.crashed.Add(1)
			if m.arrived != nil {
				m.arrived <- struct{}{}
				<-m.left
			}
			_ = server.Listener.Close()
			panic(http.ErrAbortHandler)
		}))
		server.Config.ErrorLog = nil
		server.Start()
		t.Cleanup(server.CloseClientConnections)
		m.listeners = append(m.listeners, server.Listener)
		id := fmt.Sprintf("endpoint-%d", i)
		m.registry.UpdateHosts(map[string]*inventory.Host{id: {
			Host: identifier.Host(id), State: inventory.StateLive, AvailabilityZone: "zone-1",
			Endpoints: []inventory.Endpoint{{Endpoint: identifier.Endpoint(id), Address: server.Listener.Addr().String(), Pool: "pool"}},
		}})
	}
	m.reporter = crashreporter.New(crashreporter.Config{
		Host: "entry-1", Dialer: &net.Dialer{}, Leaving: m.registry.Leaving, OnChange: func(bool) {},
		Logger: log.New(io.Discard), Metrics: tally.NoopScope,
	})
	return m
}

// newCall returns one arrival of the same request.
func newCall(instance int) *call.Call {
	return &call.Call{
		Request: "request", Instance: identifier.Request(fmt.Sprint("instance-", instance)), Received: time.Now(),
		Plan: &compiler.Plan{}, Organisation: &document.Organisation{Name: "desk"},
		Body: []byte("{}"), Digest: "digest", Header: http.Header{}, Method: http.MethodPost, Path: "/", MaxTokens: 8,
		Pool: &document.Pool{Name: "pool", MaxInFlight: 8},
	}
}

// discardSink discards frames.
type discardSink struct{}

// WriteFrame discards a frame.
func (discardSink) WriteFrame(*frame.Frame) error { return nil }

// Guards against a request that brings down one endpoint after another: a lookup, a
// non-idempotent posting and a streamed letter crash each endpoint that begins to run
// them, and their callers retry. Two endpoints may crash and no more. Later arrivals
// are refused as not run, with a Retry-After until the quarantine allows a trial.
func TestRequestsThatEndEndpointsAreHeld(t *testing.T) {
	const endpoints, arrivals = 6, 5
	for _, c := range []struct {
		name          string
		send          func(t *testing.T, m *crashingPool, c *call.Call) error
		nonIdempotent bool
	}{
		{"lookup", forward, false}, {"posting", forward, true}, {"letter", stream, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newCrashingPool(t, endpoints)
			for i := range arrivals {
				one := newCall(i)
				one.NonIdempotent = c.nonIdempotent
				err := c.send(t, m, one)
				var problem *refusal.Problem
				if !errors.As(err, &problem) {
					t.Fatalf("arrival %d: %v", i, err)
				}
				held := problem.Kind() == refusal.Quarantined
				if i >= 2 && (!held || problem.Outcome != refusal.NotRun || problem.RetrySeconds < 10) {
					t.Errorf("arrival %d: %+v", i, problem)
				}
				if i == 0 && problem.Outcome != refusal.Unknown {
					t.Errorf("the first arrival may have run: %+v", problem)
				}
			}
			if n := m.crashed.Load(); n != 2 {
				t.Errorf("%d endpoints crashed, want 2", n)
			}
		})
	}
}

// Guards against a request that crashes one endpoint after another, each time after its client has left.
func TestRequestsOfClientsThatLeaveAreHeld(t *testing.T) {
	const endpoints, arrivals = 6, 4
	for name, send := range map[string]func(ctx context.Context, m *crashingPool, c *call.Call) error{"lookup": forwardUntil, "letter": streamUntil} {
		t.Run(name, func(t *testing.T) {
			m := newCrashingPool(t, endpoints)
			m.arrived, m.left = make(chan struct{}), make(chan struct{})
			serving, stop := context.WithCancel(t.Context())
			served := make(chan struct{})
			go func() {
				defer close(served)
				_ = m.reporter.Serve(serving)
			}()
			for i := range arrivals {
				ctx, leave := context.WithCancel(t.Context())
				ended := make(chan error, 1)
				go func() { ended <- send(ctx, m, newCall(i)) }()
				select {
				case <-m.arrived:
					leave()
					if err := <-ended; err == nil {
						t.Error("answered after the client had left")
					}
					m.left <- struct{}{}
					m.awaitEndings(t, i+1)
				case err := <-ended:
					var problem *refusal.Problem
					if i < 2 || !errors.As(err, &problem) || problem.Kind() != refusal.Quarantined {
						t.Errorf("arrival %d: %v", i, err)
					}
				}
				leave()
			}
			if n := m.crashed.Load(); n != 2 {
				t.Errorf("%d endpoints crashed, want 2", n)
			}
			stop()
			<-served
		})
	}
}

// awaitEndings waits until the reporter knows of so many endings.
func (m *crashingPool) awaitEndings(t *testing.T, n int) {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < 10*time.Second; time.Sleep(time.Millisecond) {
		if list := m.reporter.List(); len(list) > 0 && len(list[0].Endings) >= n {
			return
		}
	}
	t.Fatalf("%d endings were not found: %+v", n, m.reporter.List())
}

func forward(t *testing.T, m *crashingPool, c *call.Call) error {
	t.Helper()
	f := newForwarder(m)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	a, err := f.Forward(ctx, c, &recorder.Record{})
	if err == nil && !bytes.Equal(a.Body, nil) {
		t.Errorf("an answer: %s", a.Body)
	}
	return err
}

func newForwarder(m *crashingPool) *Forwarder {
	return New(Config{Registry: m.registry, Caller: caller.New(caller.Config{}), Budgeter: budgeter.New(budgeter.Config{}), Quarantine: m.reporter})
}

func forwardUntil(ctx context.Context, m *crashingPool, c *call.Call) error {
	_, err := newForwarder(m).Forward(ctx, c, &recorder.Record{})
	return err
}

func stream(_ *testing.T, m *crashingPool, c *call.Call) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return streamUntil(ctx, m, c)
}

func streamUntil(ctx context.Context, m *crashingPool, c *call.Call) error {
	s := streamer.New(streamer.Config{Registry: m.registry, Caller: caller.New(caller.Config{}), Budgeter: budgeter.New(budgeter.Config{}), Quarantine: m.reporter})
	return s.Run(ctx, &streamer.Job{Call: c, Record: &recorder.Record{}}, discardSink{})
}

// Guards against requests that are refused as not run although an endpoint is idle: eleven of the
// twelve listed endpoints have ended, and no retry is left in the budget.
func TestRefusedConnectionsAreNoAttempts(t *testing.T) {
	const endpoints = 12
	for _, c := range []struct {
		name string
		send func(t *testing.T, m *crashingPool, c *call.Call) error
	}{{"plain", forward}, {"streamed", stream}} {
		t.Run(c.name, func(t *testing.T) {
			for i := range endpoints {
				m := newCrashingPool(t, endpoints)
				for n, l := range m.listeners {
					if n != i {
						_ = l.Close()
					}
				}
				var problem *refusal.Problem
				posting := newCall(i)
				posting.NonIdempotent = true
				if err := c.send(t, m, posting); !errors.As(err, &problem) || problem.Outcome != refusal.Unknown {
					t.Errorf("endpoint %d is alive, and was not tried: %v", i, err)
				}
				if n := m.crashed.Load(); n != 1 {
					t.Errorf("the request arrived at %d endpoints, want 1", n)
				}
			}
		})
	}
}
