// Package permitborrower borrows from other daemons what these may send to endpoints with a rate
// limit.
//
// Each daemon has a fixed part of the limit that an endpoint states, so that all together keep it
// without communicating (package pacer). If most clients connect to one daemon, that daemon refuses
// requests while the parts of the others are unused. It therefore asks one of them to give up a send
// slot. The lender counts the slot as used before it answers, and the borrower uses it within a
// fraction of a second, so the limit holds at every moment, whichever of the two ends or is
// partitioned meanwhile: then the slot is lost.
//
// # Usage
//
//	b := permitborrower.New(permitborrower.Config{...})
//	if b.Borrow(ctx, incarnations) { choose again }
package permitborrower

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"

	"github.com/uber-go/tally/v4"
)

const (
	// maxAsked is the number of daemons that are asked for one request.
	maxAsked = 3
	// callTimeout bounds a call: a daemon answers within milliseconds.
	callTimeout = 50 * time.Millisecond
	// unreachableBackoff is how long a daemon that did not answer is not asked, or one of an older
	// version that does not lend.
	unreachableBackoff = 2 * time.Second
	// maxIncarnations bounds the incarnations in one call.
	maxIncarnations = 64
)

// Lender lends send slots.
type Lender interface {
	BorrowPermit(context.Context, *rpc.PermitRequest) (*rpc.PermitReply, error)
}

// Pacer keeps the limits of endpoints; see [pacer.Pacer].
type Pacer interface {
	Senders(i identifier.EndpointIncarnation) []identifier.Host
	Lend(list []identifier.EndpointIncarnation, now time.Time) (at int, ok bool, next time.Time)
	Borrow(i identifier.EndpointIncarnation, called time.Time)
}

// Config holds the dependencies of a borrower.
type Config struct {
	Pacer Pacer
	// Address returns the address of a live daemon. Dial returns the daemon there.
	Address func(identifier.Host) (string, bool)
	Dial    func(address string) Lender
	Metrics tally.Scope
}

// Borrower borrows send slots, and lends those of this daemon. It is safe for concurrent use.
type Borrower struct {
	c Config

	mu sync.Mutex
	// askAt holds when daemons that had no slot, or did not answer, are asked again.
	askAt map[identifier.Host]time.Time
}

// New returns a borrower.
func New(c Config) *Borrower { return &Borrower{c: c, askAt: make(map[identifier.Host]time.Time)} }

// Borrow borrows a send slot at one of some incarnations of endpoints, and reports whether it got
// one.
func (b *Borrower) Borrow(ctx context.Context, wanted []identifier.EndpointIncarnation) bool {
	lenders := b.lenders(wanted)
	for range maxAsked {
		host, list := pick(lenders)
		if host == "" {
			return false
		}
		delete(lenders, host)
		if b.ask(ctx, host, list) {
			b.count("permits_borrowed", "granted")
			return true
		}
	}
	return false
}

// lenders returns the daemons that may be asked, each with the incarnations that it sends to.
func (b *Borrower) lenders(wanted []identifier.EndpointIncarnation) map[identifier.Host][]identifier.EndpointIncarnation {
	out := make(map[identifier.Host][]identifier.EndpointIncarnation)
	for _, i := range wanted {
		for _, host := range b.c.Pacer.Senders(i) {
			if len(out[host]) < maxIncarnations {
				out[host] = append(out[host], i)
			}
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for host, at := range b.askAt {
		if !now.Before(at) {
			delete(b.askAt, host)
			continue
		}
		delete(out, host)
	}
	return out
}

// pick selects a random daemon.
func pick(lenders map[identifier.Host][]identifier.EndpointIncarnation) (identifier.Host, []identifier.EndpointIncarnation) {
	if len(lenders) == 0 {
		return "", nil
	}
	skip := rand.IntN(len(lenders))
	for host, list := range lenders {
		if skip == 0 {
			return host, list
		}
		skip--
	}
	return "", nil
}

// ask asks one daemon, and reports whether it lent a slot.
func (b *Borrower) ask(ctx context.Context, host identifier.Host, list []identifier.EndpointIncarnation) bool {
	address, ok := b.c.Address(host)
	if !ok {
		return false
	}
	m := new(rpc.PermitRequest)
	for _, i := range list {
		m.Endpoints = append(m.Endpoints, &rpc.EndpointRef{Endpoint: string(i.Endpoint), Born: int64(i.Born)})
	}
	called := time.Now()
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := b.c.Dial(address).BorrowPermit(limited, m)
	switch {
	case err != nil && ctx.Err() != nil:
		return false
	case err != nil:
		b.count("permits_borrowed", "unanswered")
		b.backOff(host, unreachableBackoff)
		return false
	case !reply.GetGranted() || int(reply.GetIndex()) >= len(list):
		b.count("permits_borrowed", "none")
		b.backOff(host, time.Duration(reply.GetRetryMilli())*time.Millisecond)
		return false
	}
	b.c.Pacer.Borrow(list[reply.GetIndex()], called)
	return true
}

// backOff asks a daemon no more for a time, at most for unreachableBackoff.
func (b *Borrower) backOff(host identifier.Host, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.askAt[host] = time.Now().Add(min(max(d, time.Millisecond), unreachableBackoff))
}

// BorrowPermit lends a send slot of this daemon.
func (b *Borrower) BorrowPermit(_ context.Context, m *rpc.PermitRequest) (*rpc.PermitReply, error) {
	list := make([]identifier.EndpointIncarnation, 0, min(len(m.GetEndpoints()), maxIncarnations))
	for _, e := range m.GetEndpoints()[:min(len(m.GetEndpoints()), maxIncarnations)] {
		list = append(list, identifier.EndpointIncarnation{Endpoint: identifier.Endpoint(e.GetEndpoint()), Born: identifier.StartTime(e.GetBorn())})
	}
	now := time.Now()
	at, ok, next := b.c.Pacer.Lend(list, now)
	if !ok {
		reply := &rpc.PermitReply{RetryMilli: unreachableBackoff.Milliseconds()}
		if !next.IsZero() {
			reply.RetryMilli = next.Sub(now).Milliseconds()
		}
		return reply, nil
	}
	b.count("permits_lent", "granted")
	return &rpc.PermitReply{Granted: true, Index: uint32(at)}, nil
}

func (b *Borrower) count(name, result string) {
	b.c.Metrics.Tagged(map[string]string{"result": result}).Counter(name).Inc(1)
}
