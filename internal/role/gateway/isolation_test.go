package gateway

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"
)

var errIsolated = errors.New("host is isolated")

// isolatableNetwork is the network of a host that can be isolated: its connections fail,
// existing and new ones.
type isolatableNetwork struct {
	Network
	isolated atomic.Bool
}

type isolatableConn struct {
	net.Conn
	n *isolatableNetwork
}

func (c isolatableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.n.isolated.Load() {
		return 0, errIsolated
	}
	return n, err
}

func (c isolatableConn) Write(p []byte) (int, error) {
	if c.n.isolated.Load() {
		return 0, errIsolated
	}
	return c.Conn.Write(p)
}

type isolatableListener struct {
	net.Listener
	n *isolatableNetwork
}

func (l isolatableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return isolatableConn{c, l.n}, nil
}

// DialContext opens a connection unless the host is isolated.
func (n *isolatableNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if n.isolated.Load() {
		return nil, errIsolated
	}
	c, err := n.Network.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return isolatableConn{c, n}, nil
}

// Listen opens a listener at an address of the host.
func (n *isolatableNetwork) Listen(address netip.AddrPort) (net.Listener, error) {
	l, err := n.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	return isolatableListener{l, n}, nil
}

// relays returns the indices of the relays.
func (f *testFleet) relays() (out []int) {
	for i, g := range f.daemons {
		if g.isRelay() {
			out = append(out, i)
		}
	}
	return out
}

// connected returns the indices of the daemons that are not isolated.
func (f *testFleet) connected() (out []int) {
	for i := range f.daemons {
		if !f.networks[i].isolated.Load() {
			out = append(out, i)
		}
	}
	return out
}

// chargeAndWait charges an organisation at one daemon and waits until some others know. It
// returns how many of them do not know after the timeout.
func (f *testFleet) chargeAndWait(name string, from int, to []int, timeout time.Duration) (unaware int) {
	const charge = 1000
	f.daemons[from].quotaLimiter.Admit(&catalog.Organisation{Name: identifier.Organisation(name)}, charge)
	for began := time.Now(); time.Since(began) < timeout; time.Sleep(pollInterval) {
		unaware = 0
		for _, i := range to {
			if f.daemons[i].knownCharge(name) < charge {
				unaware++
			}
		}
		if unaware == 0 {
			return 0
		}
	}
	return unaware
}

// All relays of a fleet are isolated at once. The daemons next in the order of names take
// over: digests spread again within seconds, the store is watched, and when the former relays
// are back no daemon counts charges made meanwhile twice.
func TestNewsGoesOnWithoutTheRelays(t *testing.T) {
	inFleetOf(t, fleetShape{60, 4}, func(f *testFleet) {
		f.settle()
		relays := f.relays()
		if n := f.chargeAndWait("before", relays[0], f.connected(), 3*time.Second); n > 0 {
			t.Fatalf("%d daemons do not know before the isolation", n)
		}
		time.Sleep(startTime)
		for _, i := range relays {
			f.networks[i].isolated.Store(true)
		}
		remaining := f.connected()
		time.Sleep(6 * time.Second)
		if n := f.chargeAndWait("during", remaining[0], remaining, 3*time.Second); n > 0 {
			t.Errorf("%d of %d daemons do not know of each other without the former relays", n, len(remaining))
		}
		f.addRoutes(1)
		time.Sleep(applyTime)
		for _, i := range remaining {
			if g := f.daemons[i]; g.configurationNumber() != uint64(f.number) {
				t.Errorf("%s has configuration %d, %d is in the store", g.c.Deployment.Host, g.configurationNumber(), f.number)
			}
		}
		for _, i := range relays {
			f.networks[i].isolated.Store(false)
		}
		time.Sleep(12 * time.Second)
		if n := f.chargeAndWait("after", relays[0], f.connected(), 3*time.Second); n > 0 {
			t.Errorf("%d daemons do not know after the isolation", n)
		}
		// The isolated daemons take over the quotas' levels instead of the totals. Charges made
		// while no daemon relayed are estimated from earlier rates.
		const maxKnown = 1500
		for _, i := range remaining {
			g := f.daemons[i]
			for _, name := range []string{"before", "during", "after"} {
				if known := g.knownCharge(name); known > maxKnown {
					t.Errorf("%s assumes that %s charged %.0f of 1000", g.c.Deployment.Host, name, known)
				}
			}
		}
		if behind := f.daemonsBehind(); len(behind) > 0 {
			t.Errorf("%d daemons are behind: %v", len(behind), behind)
		}
	})
}
