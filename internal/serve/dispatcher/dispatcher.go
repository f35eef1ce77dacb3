// Package dispatcher sends requests to endpoints: over this daemon's own links, or through a peer if
// these fail.
//
// A host may lose its links to the endpoints while its clients and peers still reach it. A request
// that could not be sent at all is therefore wrapped (package wrapper) and handed to a peer, which
// sends it over its own links and returns the response as it arrives. This daemon stays responsible
// for the request: it chose the endpoint, charged the quota, and decides on retries. A peer never
// hands a request on, so that there is one hop at most.
//
// An endpoint counts as unreachable only if peers that reach others of the service can't connect to it
// either. A single daemon's failed connections say nothing of it.
//
// # Usage
//
//	d := dispatcher.New(dispatcher.Config{Sender: s, Tracker: t, PeerSender: p, Peers: live})
//	x, err := d.Send(ctx, &dispatcher.Request{To: destination, Message: message, ...})
//	defer x.Close()
package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/sender"
	"brasschute/internal/peer/wrapper"
	"brasschute/internal/route/pathtracker"
)

// ErrThroughPeer means that a request was handed to a peer and may have been received by its
// endpoint. It says nothing of the endpoint: the peer may have failed.
var ErrThroughPeer = errors.New("sent through a peer")

// Config holds the dependencies of a dispatcher.
type Config struct {
	// Sender sends to endpoints over this daemon's own links.
	Sender  *sender.Sender
	Tracker *pathtracker.Tracker
	// PeerSender sends to peers.
	PeerSender *sender.Sender
	// Zone is this daemon's availability zone.
	Zone identifier.AvailabilityZone
	// Peers returns the live peers that take work; nil for none.
	Peers func() []Peer
	// OnRelayed is called with the outcome of each request handed to a peer; may be nil.
	OnRelayed func(wrapper.Outcome)
}

// Request is a request to an endpoint.
type Request struct {
	To          pathtracker.Destination
	ID          identifier.Request
	Fingerprint identifier.Fingerprint
	// Parts are the parts of its prompt that other requests may have as well.
	Parts   []identifier.Fingerprint
	Message *sender.Request
}

// Dispatcher sends requests. It is safe for concurrent use.
type Dispatcher struct {
	c       Config
	avoided avoidedPeers
}

// New returns a dispatcher.
func New(c Config) *Dispatcher {
	if c.Peers == nil {
		c.Peers = func() []Peer { return nil }
	}
	if c.OnRelayed == nil {
		c.OnRelayed = func(wrapper.Outcome) {}
	}
	return &Dispatcher{c: c}
}

// Response is a response whose body has not been read yet. The caller must call Close.
type Response struct {
	*sender.Response
	// Peer is the peer that sent the request; empty if this daemon did.
	Peer identifier.Host

	exchange *pathtracker.Exchange
}

// Close ends the exchange.
func (x *Response) Close() {
	if x.exchange != nil {
		x.exchange.End()
	}
	x.Response.Close()
}

// Send sends a request to an endpoint, through a peer if this daemon can't reach the endpoint. The
// error wraps one of those of package sender, and [ErrThroughPeer] if a peer may have sent the request.
func (d *Dispatcher) Send(ctx context.Context, r *Request) (*Response, error) {
	ok, direct := d.c.Tracker.Direct(r.To, time.Now())
	if ok {
		x, err := d.SendDirect(ctx, r.To, r.Message)
		if err == nil || !errors.Is(err, sender.ErrUnsent) || ctx.Err() != nil {
			return x, err
		}
		direct = err
	}
	return d.sendThroughPeers(ctx, r, direct)
}

// SendDirect sends a request over this daemon's own links. The error wraps one of those of package
// sender.
func (d *Dispatcher) SendDirect(ctx context.Context, to pathtracker.Destination, r *sender.Request) (*Response, error) {
	r.OnConnect = func() { d.c.Tracker.RecordConnection(to) }
	exchange := d.c.Tracker.Begin(to)
	x, err := d.c.Sender.Send(ctx, r)
	if err != nil {
		exchange.End()
		if errors.Is(err, sender.ErrUnsent) && ctx.Err() == nil {
			d.c.Tracker.RecordFailure(to, err)
		}
		return nil, err
	}
	exchange.Contact()
	x.Body = &body{x.Body, exchange}
	return &Response{Response: x, exchange: exchange}, nil
}

// Connect connects to an endpoint over this daemon's own links and records the result.
func (d *Dispatcher) Connect(ctx context.Context, to pathtracker.Destination) error {
	if err := d.c.Sender.Connect(ctx, to.Address); err != nil {
		if ctx.Err() == nil {
			d.c.Tracker.RecordFailure(to, err)
		}
		return fmt.Errorf("dispatcher: connection to %s: %w", to.Endpoint, err)
	}
	d.c.Tracker.RecordConnection(to)
	return nil
}

// Probe finds out whether this daemon reaches an endpoint and, if not, whether peers do.
func (d *Dispatcher) Probe(ctx context.Context, to pathtracker.Destination) {
	if d.Connect(ctx, to) != nil && !d.c.Tracker.Partitioned(to.Service) {
		d.Refuses(ctx, to)
	}
}

// body is the body of a response whose bytes are recorded as contacts.
type body struct {
	io.ReadCloser
	exchange *pathtracker.Exchange
}

// Read reads the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.exchange.Contact()
	}
	return n, err
}
