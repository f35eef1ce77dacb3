// Package injector is a TCP proxy that makes connections fail on purpose.
//
// # Where it stands
//
// Between any two processes: it is given a target and listens for it. Who
// calls is told by the source address, so that a [Fault] can hold for one
// caller, for one availability zone's network, or for all: daemons connect
// from the address they were given.
//
// # Faults
//
// A cut refuses new connections and breaks open ones. A freeze keeps them
// open and moves nothing. A lost answer lets the request through whole and
// breaks the connection where the answer begins. A drop breaks it within the
// answer. A one-way cut needs nothing special, as each process has its own
// proxy.
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
	"time"
)

// All is the rule that holds where no narrower one does.
const All = "0.0.0.0/0"

const bufferBytes = 32 << 10

// Config names both ends.
type Config struct {
	Listen string
	Target string
}

// Fault is what happens to connections. The zero value is none.
type Fault struct {
	Cut         bool
	Freeze      bool
	LoseAnswers bool
	// Delay holds each piece of data up, in either direction.
	Delay time.Duration
	// DropAfter breaks a connection after so many bytes of answers; 0 never.
	DropAfter int64
}

// Injector is one proxy. Use New.
type Injector struct {
	target string
	l      net.Listener

	mu      sync.Mutex
	changed *sync.Cond
	rules   map[netip.Prefix]Fault
	links   map[*link]bool
	closed  bool
}

// link is one connection through the proxy.
type link struct {
	source   netip.Addr
	caller   net.Conn
	target   net.Conn
	answered int64
}

// New starts a proxy.
func New(c Config) (*Injector, error) {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("injector: %w", err)
	}
	p := &Injector{target: c.Target, l: l, rules: make(map[netip.Prefix]Fault), links: make(map[*link]bool)}
	p.changed = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Injector) Address() string { return p.l.Addr().String() }

// Set puts a fault in force for callers from a prefix. Open connections feel
// it at once.
func (p *Injector) Set(prefix string, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rules[netip.MustParsePrefix(prefix)] = f
	for k := range p.links {
		if p.fault(k.source).Cut {
			k.close()
		}
	}
	p.changed.Broadcast()
}

// Close ends the proxy and its connections.
func (p *Injector) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.l.Close()
	for k := range p.links {
		k.close()
	}
	p.changed.Broadcast()
}

// fault returns the narrowest rule for a source. The caller holds the lock.
func (p *Injector) fault(source netip.Addr) Fault {
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

func (p *Injector) accept() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		go p.connect(c)
	}
}

func (p *Injector) connect(c net.Conn) {
	k := &link{source: c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr(), caller: c}
	if !p.enter(k) {
		reset(c)
		return
	}
	defer p.leave(k)
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

func (p *Injector) enter(k *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.fault(k.source).Cut {
		return false
	}
	p.links[k] = true
	return true
}

func (p *Injector) leave(k *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, k)
	k.close()
}

// close breaks both ends. The caller holds the lock.
func (k *link) close() {
	reset(k.caller)
	if k.target != nil {
		reset(k.target)
	}
}

// reset closes at once, with a reset rather than an orderly end.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

// copy moves data one way until an end closes or a fault breaks the link.
func (p *Injector) copy(k *link, from, to net.Conn, answer bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.pass(k, to, buffer[:n], answer) {
			break
		}
		if err != nil {
			p.end(to)
			return
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	k.close()
}

// end passes an orderly close on.
func (p *Injector) end(to net.Conn) {
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

func (p *Injector) pass(k *link, to net.Conn, data []byte, answer bool) bool {
	f := p.await(k)
	if f.Cut || answer && f.LoseAnswers {
		return false
	}
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	if answer && f.DropAfter > 0 && k.answered+int64(len(data)) > f.DropAfter {
		_, _ = to.Write(data[:max(f.DropAfter-k.answered, 0)])
		return false
	}
	if answer {
		k.answered += int64(len(data))
	}
	_, err := to.Write(data)
	return err == nil
}

// await returns the fault in force, after any freeze.
func (p *Injector) await(k *link) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.fault(k.source)
	for f.Freeze && !p.closed && p.links[k] {
		p.changed.Wait()
		f = p.fault(k.source)
	}
	return f
}
