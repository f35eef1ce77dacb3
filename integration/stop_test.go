package integration

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"brasschute/internal/peer/rpc"
)

// TestStopKeepsServingWhileTheBalancerLags sends SIGTERM to a daemon under load. Its readiness
// must fail at once, while it serves what the balancer still sends. Then it must refuse new
// requests as not run, complete the running ones, and exit with 0. A second SIGTERM must change
// nothing.
func TestStopKeepsServingWhileTheBalancerLags(t *testing.T) {
	f := newFleet(t)
	f.addEngine(1)
	f.addPlainService(1)
	d := f.addEntry(1, "Drain: {BalancerLag: 2s, Patience: 20s}")
	d.mustApply(configuration(), 0)
	f.awaitReady()
	f.setAllGates(gateTokens)
	s := d.open(letterTokens)
	awaitGate(t, s)
	d.signal(syscall.SIGTERM)
	eventually(t, "not ready", func() error {
		return checkEqual("readyz", d.do(http.MethodGet, "/readyz", "").status, http.StatusServiceUnavailable)
	})
	if r := d.do(http.MethodGet, "/services/ledger/x", ""); r.status != http.StatusOK {
		t.Fatalf("while the balancer lags: %d %s", r.status, r.body)
	}
	d.signal(syscall.SIGTERM)
	eventually(t, "refusing", func() error {
		r := d.do(http.MethodGet, "/services/ledger/x", "")
		if r.problemType() != "draining" || r.outcome() != "not-run" || r.header.Get("Retry-After") == "" {
			return fmt.Errorf("%d %s %w", r.status, r.body, r.err)
		}
		return nil
	})
	f.setAllGates(0)
	if err := s.checkComplete(letterTokens); err != nil {
		t.Fatal(err)
	}
	d.awaitExit()
}

// TestStopHandsOverLongStreams drains a daemon with a stream that lasts longer than the drain
// timeout. The daemon must end in time, and the stream must continue at a peer.
func TestStopHandsOverLongStreams(t *testing.T) {
	f := newFleet(t)
	f.addEngine(1)
	d := f.addEntry(1, "Drain: {BalancerLag: 10ms, Patience: 2s}")
	f.addEntry(1)
	d.mustApply(configuration(), 0)
	f.awaitReady()
	f.setAllGates(gateTokens)
	s := d.open(letterTokens)
	awaitGate(t, s)
	if _, err := d.operator().Drain(t.Context(), &rpc.DrainRequest{}); err != nil {
		t.Fatal(err)
	}
	s.wait()
	d.awaitExit()
	f.setAllGates(0)
	s.send(f.entries[1], letterTokens, "Last-Event-ID", s.lastEventID())
	if err := s.checkComplete(letterTokens); err != nil {
		t.Fatal(err)
	}
}

// TestStopOfIdleConnections sends a request over an idle connection, as a balancer keeps them,
// just when the daemon stops. The daemon must answer it, and tell the balancer to close the
// connection.
func TestStopOfIdleConnections(t *testing.T) {
	f := newFleet(t)
	f.addEngine(1)
	f.addPlainService(1)
	d := f.addEntry(1)
	d.mustApply(configuration(), 0)
	f.awaitReady()
	f.setAllGates(gateTokens)
	s := d.open(letterTokens)
	awaitGate(t, s)
	idle, err := net.Dial("tcp", d.callerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	in := bufio.NewReader(idle)
	send := func() *http.Response {
		t.Helper()
		fmt.Fprintf(idle, "GET /services/ledger/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer desk-key\r\n\r\n")
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		var text strings.Builder
		_, _ = bufio.NewReader(resp.Body).WriteTo(&text)
		resp.Body.Close()
		return resp
	}
	if resp := send(); resp.StatusCode != http.StatusOK || resp.Close {
		t.Fatal(resp.Status)
	}
	d.signal(syscall.SIGTERM)
	eventually(t, "draining", func() error {
		return checkEqual("ready", d.do(http.MethodGet, "/readyz", "").status, http.StatusServiceUnavailable)
	})
	if resp := send(); !resp.Close {
		t.Fatal("the answer does not close the connection")
	}
	f.setAllGates(0)
	if err := s.checkComplete(letterTokens); err != nil {
		t.Fatal(err)
	}
	d.awaitExit()
}

// balancer sends requests in turn to the daemons that were ready at its last check.
type balancer struct {
	mu        sync.Mutex
	f         *fleet
	ready     []*daemon
	lastIndex int
}

// updateReady checks the readiness of all daemons.
func (b *balancer) updateReady() {
	var ready []*daemon
	for _, d := range b.f.entries {
		if r := d.do(http.MethodGet, "/readyz", ""); r.err == nil && r.status == http.StatusOK {
			ready = append(ready, d)
		}
	}
	b.mu.Lock()
	b.ready = ready
	b.mu.Unlock()
}

// next returns the next ready daemon.
func (b *balancer) next() *daemon {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastIndex++
	return b.ready[b.lastIndex%len(b.ready)]
}

// TestStopRollingRestartLosesNothing restarts all daemons one after the other under load, behind
// a balancer that checks readiness with a delay. No stream and no other request may fail.
func TestStopRollingRestartLosesNothing(t *testing.T) {
	f := newFleet(t)
	f.addEngine(1, "--decode", "400")
	f.addEngine(2, "--decode", "400")
	f.addPlainService(1)
	f.addPlainService(2)
	for zone := 1; zone <= 3; zone++ {
		f.addEntry(zone, "Drain: {BalancerLag: 1s, Patience: 20s}")
	}
	f.entries[0].mustApply(configuration(), 0)
	f.awaitReady()
	b := &balancer{f: f}
	b.updateReady()
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { b.pollReadiness(stop) })
	failures := make(chan string, 1000)
	for i := range 6 {
		group.Go(func() { b.sendLoad(i, stop, failures) })
	}
	for _, d := range f.entries {
		d.signal(syscall.SIGTERM)
		d.awaitExit()
		d.restart()
		d.awaitReady()
		eventually(t, "the balancer knows all daemons as ready", func() error {
			b.mu.Lock()
			defer b.mu.Unlock()
			return checkEqual("ready daemons", len(b.ready), len(f.entries))
		})
	}
	close(stop)
	group.Wait()
	close(failures)
	for text := range failures {
		t.Error(text)
	}
}

// pollReadiness checks readiness every 100 ms until stop is closed.
func (b *balancer) pollReadiness(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
			b.updateReady()
		}
	}
}

// sendLoad sends streams and non-idempotent requests in turn until stop is closed or one of them
// fails.
func (b *balancer) sendLoad(worker int, stop chan struct{}, failures chan string) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		d := b.next()
		if n%2 == 0 {
			if err := d.open(20).checkComplete(20); err != nil {
				failures <- fmt.Sprintf("worker %d at %s: %v", worker, d.host, err)
				return
			}
			continue
		}
		r := d.do(http.MethodPost, "/services/booking/shift", "dock 4")
		if r.status != http.StatusOK {
			failures <- fmt.Sprintf("worker %d at %s: %d %s %v", worker, d.host, r.status, r.body, r.err)
			return
		}
	}
}

// TestStopOfController sends SIGTERM to the controller that holds the lease. It must exit with 0
// and send no more orders.
func TestStopOfController(t *testing.T) {
	f := newFleet(t)
	c := f.addController(1, "controller-1")
	eventually(t, "lease held", func() error {
		var o struct{ Version uint64 }
		if err := f.getJSON("http://"+f.platformAddress+"/v1/objects/leases/zone-1", &o); err != nil {
			return err
		}
		if o.Version == 0 {
			return fmt.Errorf("no lease")
		}
		return nil
	})
	c.signal(syscall.SIGTERM)
	c.awaitExit()
}
