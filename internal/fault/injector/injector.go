// Package injector provides a TCP proxy that injects network faults.
//
// A proxy listens on one address and forwards connections to one target. It identifies callers
// by source address, so a [Fault] can apply to one caller, to the network of one availability
// zone, or to all. This works because daemons connect from the address they were given.
//
// The faults:
//
//   - Cut refuses new connections and resets open ones.
//   - Freeze keeps connections open but forwards nothing.
//   - LoseAnswers forwards the whole request and resets the connection when the response begins.
//   - DropAfter resets the connection in the middle of a response.
//
// A one-way partition needs no fault of its own, because each process has its own proxy.
//
// # Usage
//
//	p, err := injector.New(injector.Config{Listen: "127.0.0.1:0", Target: address})
//	p.Set("127.1.0.0/16", injector.Fault{Cut: true})
//	p.Set(injector.All, injector.Fault{})
package injector

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// All is the prefix of the rule for callers that no longer prefix matches.
const All = "0.0.0.0/0"

const copyBufferBytes = 32 << 10

// Config holds the addresses of the proxy, as IP:port.
type Config struct {
	Listen string
	Target string
}

// Fault describes what happens to connections. The zero value is no fault.
type Fault struct {
	// Cut refuses new connections and resets open ones.
	Cut bool
	// Freeze keeps connections open but forwards nothing.
	Freeze bool
	// LoseAnswers resets a connection when the response begins.
	LoseAnswers bool
	// Delay is added to each chunk of data, in either direction.
	Delay time.Duration
	// DropAfter resets a connection after that many bytes of responses, or never if 0.
	DropAfter int64
}

// Injector is a proxy for one target. It is safe for concurrent use. Create it with New.
type Injector struct {
	target   string
	listener net.Listener

	mu           sync.Mutex
	rulesChanged *sync.Cond
	rules        map[netip.Prefix]Fault
	connections  map[*connection]bool
	closed       bool
}

// connection is a proxied connection: one to the client and one to the target.
type connection struct {
	source      netip.Addr
	client      net.Conn
	target      net.Conn
	answerBytes int64
}

// New starts a proxy. It fails if the proxy can't listen.
func New(c Config) (*Injector, error) {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("injector: %w", err)
	}
	p := &Injector{target: c.Target, listener: l, rules: make(map[netip.Prefix]Fault), connections: make(map[*connection]bool)}
	p.rulesChanged = sync.NewCond(&p.mu)
	go p.acceptLoop()
	return p, nil
}

// Address returns the address that the proxy listens on, as IP:port.
func (p *Injector) Address() string { return p.listener.Addr().String() }

// Set sets the fault for callers whose source address is in a prefix. It applies to open
// connections, too. Set panics if the prefix is invalid.
func (p *Injector) Set(prefix string, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rules[netip.MustParsePrefix(prefix)] = f
	for k := range p.connections {
		if p.faultFor(k.source).Cut {
			k.close()
		}
	}
	p.rulesChanged.Broadcast()
}

// Close stops the proxy and resets its connections. From then on connections are refused.
func (p *Injector) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	shutdown(p.listener)
	p.listener.Close()
	for k := range p.connections {
		k.close()
	}
	p.rulesChanged.Broadcast()
}

// shutdown ends the listening state of a listener. A process that is being started holds a copy of the
// socket until it executes its program, and until then the kernel would go on taking connections, only to
// reset them.
func shutdown(l net.Listener) {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return // It is closed already.
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
}

// faultFor returns the fault of the longest prefix that contains the source. The caller must
// hold p.mu.
func (p *Injector) faultFor(source netip.Addr) Fault {
	best := -1
	var f Fault
	for prefix, rule := range p.rules {
		if prefix.Contains(source) && prefix.Bits() > best {
			best = prefix.Bits()
			f = rule
		}
	}
	return f
}

func (p *Injector) acceptLoop() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.handle(c)
	}
}

// handle connects a client to the target and forwards data until the connection ends.
func (p *Injector) handle(c net.Conn) {
	k := &connection{source: c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr(), client: c}
	if !p.register(k) {
		reset(c)
		return
	}
	defer p.unregister(k)
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	k.target = target
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.copy(k, c, target, false) })
	group.Go(func() { p.copy(k, target, c, true) })
	group.Wait()
}

// register adds a connection, unless the proxy is closed or the caller is cut.
func (p *Injector) register(k *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.faultFor(k.source).Cut {
		return false
	}
	p.connections[k] = true
	return true
}

func (p *Injector) unregister(k *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, k)
	k.close()
}

// close resets both ends. The caller must hold Injector.mu.
func (k *connection) close() {
	reset(k.client)
	if k.target != nil {
		reset(k.target)
	}
}

// reset closes a connection with a TCP reset instead of an orderly close.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

// copy forwards data in one direction until an end closes or a fault resets the connection.
func (p *Injector) copy(k *connection, from, to net.Conn, answer bool) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.forward(k, to, buffer[:n], answer) {
			break
		}
		if err != nil {
			p.closeWrite(to)
			return
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	k.close()
}

// closeWrite forwards an orderly close to the other end.
func (p *Injector) closeWrite(to net.Conn) {
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// forward writes one chunk of data, subject to the current fault. It reports false if the
// connection must be reset.
func (p *Injector) forward(k *connection, to net.Conn, data []byte, answer bool) bool {
	f := p.waitWhileFrozen(k)
	if f.Cut || answer && f.LoseAnswers {
		return false
	}
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	if answer && f.DropAfter > 0 && k.answerBytes+int64(len(data)) > f.DropAfter {
		_, _ = to.Write(data[:max(f.DropAfter-k.answerBytes, 0)])
		return false
	}
	if answer {
		k.answerBytes += int64(len(data))
	}
	_, err := to.Write(data)
	return err == nil
}

// waitWhileFrozen waits until the connection isn't frozen and returns the current fault.
func (p *Injector) waitWhileFrozen(k *connection) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faultFor(k.source)
	for f.Freeze && !p.closed && p.connections[k] {
		p.rulesChanged.Wait()
		f = p.faultFor(k.source)
	}
	return f
}
