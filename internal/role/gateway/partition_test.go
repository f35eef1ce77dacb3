package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// linkFault is how links of a daemon fail.
type linkFault int32

// The faults of links.
const (
	linkSound linkFault = iota
	// linkReset resets the connections and refuses new ones.
	linkReset
	// linkHangs delivers nothing, on connections old and new.
	linkHangs
	// linkKeepsOld refuses new connections; those that are open go on.
	linkKeepsOld
)

// String returns the name of the fault.
func (l linkFault) String() string { return [...]string{"sound", "reset", "hangs", "keeps old"}[l] }

// engineAddresses is the prefix of the addresses of engines.
const engineAddresses = "10.64."

// errReset is the error of a connection that the network resets.
var errReset = fmt.Errorf("link: %w", syscall.ECONNRESET)

// toEngines selects the links to the engines.
func toEngines(address string) bool { return strings.HasPrefix(address, engineAddresses) }

// faultyNetwork is the network of a host some of whose links can fail, in both directions. The others stay sound.
type faultyNetwork struct {
	Network
	// affects selects the links by the address of the side that listens.
	affects func(address string) bool
	fault   atomic.Int32
	// ended is closed at the end of the test.
	ended chan struct{}

	mu sync.Mutex
	// changed is closed, and replaced, when the fault changes.
	changed chan struct{}
}

func newFaultyNetwork(n Network, affects func(address string) bool) *faultyNetwork {
	return &faultyNetwork{Network: n, affects: affects, changed: make(chan struct{}), ended: make(chan struct{})}
}

// end ends what still runs for open connections.
func (n *faultyNetwork) end() { close(n.ended) }

// setFault changes the fault.
func (n *faultyNetwork) setFault(l linkFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault.Store(int32(l))
	close(n.changed)
	n.changed = make(chan struct{})
}

// state returns the fault and a channel that is closed when it changes.
func (n *faultyNetwork) state() (linkFault, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return linkFault(n.fault.Load()), n.changed
}

// DialContext opens a connection.
func (n *faultyNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if !n.affects(address) {
		return n.Network.DialContext(ctx, network, address)
	}
	switch fault, _ := n.state(); fault {
	case linkReset, linkKeepsOld:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case linkHangs:
		// The dialer of a daemon has a timeout of its own.
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	c, err := n.Network.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return n.wrap(c), nil
}

// wrap returns a connection over the links.
func (n *faultyNetwork) wrap(c net.Conn) *faultyConn {
	out := &faultyConn{Conn: c, n: n, closed: make(chan struct{})}
	go out.watch()
	return out
}

// Listen opens a listener.
func (n *faultyNetwork) Listen(address netip.AddrPort) (net.Listener, error) {
	l, err := n.Network.Listen(address)
	if err != nil || !n.affects(address.String()) {
		return l, err
	}
	return faultyListener{l, n}, nil
}

// faultyListener accepts connections over the links.
type faultyListener struct {
	net.Listener
	n *faultyNetwork
}

// Accept waits for the next connection that the links let through.
func (l faultyListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if fault, _ := l.n.state(); fault != linkReset && fault != linkKeepsOld {
			return l.n.wrap(c), nil
		}
		_ = c.Close()
	}
}

// faultyConn is a connection over a link that can fail.
type faultyConn struct {
	net.Conn
	n      *faultyNetwork
	once   sync.Once
	closed chan struct{}
}

// watch resets the connection when the link does.
func (c *faultyConn) watch() {
	for {
		fault, changed := c.n.state()
		if fault == linkReset {
			_ = c.Close()
			return
		}
		select {
		case <-changed:
		case <-c.closed:
			return
		case <-c.n.ended:
			return
		}
	}
}

// Close closes the connection.
func (c *faultyConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// blocked waits while the link hangs. It returns an error if the connection is closed meanwhile.
func (c *faultyConn) blocked() error {
	for {
		fault, changed := c.n.state()
		if fault != linkHangs {
			return nil
		}
		select {
		case <-changed:
		case <-c.closed:
			return errReset
		case <-c.n.ended:
			return errReset
		}
	}
}

// Read reads once the link delivers.
func (c *faultyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if blocked := c.blocked(); blocked != nil {
		return 0, blocked
	}
	if err != nil && errors.Is(err, net.ErrClosed) {
		err = errReset
	}
	return n, err
}

// Write writes once the link delivers.
func (c *faultyConn) Write(p []byte) (int, error) {
	if blocked := c.blocked(); blocked != nil {
		return 0, blocked
	}
	return c.Conn.Write(p)
}

// partitionedFleet is a fleet in front of engines in which the links of some daemons can fail.
type partitionedFleet struct {
	*testFleet
	links []*faultyNetwork
}

// inPartitionedFleet runs a check among daemons in front of engines.
func inPartitionedFleet(t *testing.T, daemons int, check func(p *partitionedFleet, e *engineFleet)) {
	t.Helper()
	inPausedTime(t, func(t *testing.T) {
		p := &partitionedFleet{testFleet: newTestFleet(t)}
		defer p.end()
		p.rate = wideLink
		p.prepare = func(c *Config) {
			n := newFaultyNetwork(c.Network, toEngines)
			p.links = append(p.links, n)
			p.stop = append(p.stop, n.end)
			c.Network = n
		}
		e := p.startEngines(func(string) bool { return false })
		p.start(daemons)
		p.settle()
		check(p, e)
	})
}

// cut sets the fault of the links of some daemons.
func (p *partitionedFleet) cut(fault linkFault, daemons []int) {
	for _, i := range daemons {
		p.links[i].setFault(fault)
	}
}

// served counts the first tries of clients at a daemon, and those that were served.
type served struct{ tries, complete int }

// load sends requests to all daemons in turn and returns the counts by daemon.
func (p *partitionedFleet) load(path string, d time.Duration) []served {
	out := make([]served, len(p.daemons))
	var mu sync.Mutex
	var group sync.WaitGroup
	for i, begun := 0, time.Now(); time.Since(begun) < d; i++ {
		daemon := i % len(p.daemons)
		body := p.randomName()
		group.Go(func() {
			r := p.ask(daemon, path, body)
			mu.Lock()
			defer mu.Unlock()
			out[daemon].tries++
			if r.complete {
				out[daemon].complete++
			}
		})
		time.Sleep(requestPause)
	}
	group.Wait()
	return out
}

// sum adds the counts of some daemons.
func sum(list []served, daemons []int) (out served) {
	for _, i := range daemons {
		out.tries += list[i].tries
		out.complete += list[i].complete
	}
	return out
}

// checkServed compares what partitioned daemons served with what the others did.
func checkServed(t *testing.T, name string, cut, others served) {
	t.Helper()
	t.Logf("%s: partitioned daemons served %d of %d, the others %d of %d", name, cut.complete, cut.tries, others.complete, others.tries)
	share := float64(cut.complete) / float64(cut.tries)
	failed := cut.tries - cut.complete
	if share < 2.0/3*float64(others.complete)/float64(others.tries) && failed > 10+(cut.tries+others.tries)/50 {
		t.Errorf("%s: partitioned daemons served %d of %d first tries, the others %d of %d", name, cut.complete, cut.tries, others.complete, others.tries)
	}
	if others.complete < others.tries*9/10 {
		t.Errorf("%s: daemons that reach the engines served %d of %d", name, others.complete, others.tries)
	}
}

const (
	// noticeTime is how long after a partition began its requests may fail.
	noticeTime = 3 * time.Second
	// partitionTime is how long a partition lasts after that.
	partitionTime = 9 * time.Second
	// requestPause is the time between two requests of clients.
	requestPause = time.Second / 45
)

// Guards against daemons that refuse their clients' requests because their own links to all endpoints
// failed, although other daemons reach the endpoints: half of a fleet, and a whole zone.
func TestPartitionedDaemonsServeThroughPeers(t *testing.T) {
	for _, k := range []struct {
		name string
		cut  []int
	}{
		{"half of the fleet", []int{0, 1, 4, 7}},
		{"a whole zone", []int{2, 6}},
	} {
		for _, fault := range []linkFault{linkReset, linkHangs, linkKeepsOld} {
			for _, path := range []string{streamPath, resumePath} {
				inPartitionedFleet(t, 8, func(p *partitionedFleet, _ *engineFleet) {
					var others []int
					for i := range p.daemons {
						if !slices.Contains(k.cut, i) {
							others = append(others, i)
						}
					}
					p.load(path, 2*time.Second)
					p.cut(fault, k.cut)
					p.load(path, noticeTime)
					list := p.load(path, partitionTime)
					checkServed(t, fmt.Sprintf("%s, %s, %s", k.name, fault, path), sum(list, k.cut), sum(list, others))
					p.cut(linkSound, k.cut)
					time.Sleep(2 * time.Second)
					list = p.load(path, 3*time.Second)
					if s := sum(list, k.cut); s.complete < s.tries {
						t.Errorf("%s, %s: after the partition %d of %d served", k.name, fault, s.complete, s.tries)
					}
				})
			}
		}
	}
}

// heldRequests returns the requests that daemons keep in quarantine.
func (p *partitionedFleet) heldRequests() (out []string) {
	for _, g := range p.daemons {
		for _, s := range g.quarantine.List() {
			if s.Held {
				out = append(out, fmt.Sprintf("%s at %s", s.Fingerprint, g.c.Deployment.Host))
			}
		}
	}
	return out
}

// Guards against requests that the whole fleet quarantines because some daemons took the reset of
// their own links for crashes of the endpoints that ran the requests. The same requests are in progress
// at several daemons, as when clients repeat them.
func TestPartitionQuarantinesNoRequest(t *testing.T) {
	for _, size := range []int{2, 4} {
		inPartitionedFleet(t, 8, func(p *partitionedFleet, e *engineFleet) {
			e.slow.Store(true)
			cut := []int{0, 1, 4, 7}[:size]
			var group sync.WaitGroup
			for i := range p.daemons {
				for _, body := range []string{"one", "two", "three"} {
					group.Go(func() { p.ask(i, streamPath, body) })
				}
			}
			time.Sleep(slowRunTime / 2)
			p.cut(linkReset, cut)
			time.Sleep(time.Second)
			held := p.heldRequests()
			p.cut(linkSound, cut)
			group.Wait()
			m := &batchFleet{f: p.testFleet}
			if n := m.count("requests_broken_off"); n == 0 {
				t.Error("no request was broken off")
			}
			if len(held) > 0 {
				t.Errorf("%d of 8 daemons partitioned: in quarantine: %v", size, held)
			}
		})
	}
}
