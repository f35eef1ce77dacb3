package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"iter"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/sender"
	"brasschute/internal/peer/wrapper"
	"brasschute/internal/route/pathtracker"
)

const (
	// maxPeers is the number of peers that a request is handed to until one can send it. A refusal takes
	// one round trip. Half of a fleet may be partitioned at once.
	maxPeers = 6
	// probeTimeout bounds a probe through one peer, which takes a few milliseconds, so that a peer that
	// has ended leaves time for the others.
	probeTimeout = 150 * time.Millisecond
	// silentProbeTimeout bounds a probe of an endpoint that may not respond: the peer's connection times out
	// before it compares the endpoint with others.
	silentProbeTimeout = 700 * time.Millisecond
	// minUnreachable is the number of peers that must fail to connect to an endpoint until it counts
	// as unreachable.
	minUnreachable = 2
	// ownZoneWeight prefers peers of this daemon's own zone, as traffic between zones is billed.
	ownZoneWeight = 4
	// maxCapacity bounds the weight that peers get by the capacity of their links: 2 to this power.
	maxCapacity = 12
	// partitionedPause is how long a peer is not asked for a service that it doesn't reach either,
	// busyPause one that takes no more requests, lostPause one that could not be reached. olderPause is
	// how long a peer that does not know wrapped requests is not asked: until a roll-out may have
	// replaced it.
	partitionedPause = time.Second
	busyPause        = 200 * time.Millisecond
	lostPause        = time.Second
	olderPause       = 15 * time.Second
	// peerKeepAlive is how long an idle connection to a peer is kept for use, twice over.
	peerKeepAlive = 20 * time.Second
	// maxRefusalBytes bounds what is read of a response without an outcome.
	maxRefusalBytes = 64 << 10
)

// Peer is a daemon that can send requests on behalf of this one.
type Peer struct {
	Host identifier.Host
	Zone identifier.AvailabilityZone
	// Address is IP:port of its interface for peers.
	Address string
	// Capacity is the binary logarithm of what its host can carry.
	Capacity int
}

// Outcomes besides those that peers state.
const (
	// peerLost: the peer could not be reached, peerBroke: it may have sent the request and gave no
	// response, peerOlder: it does not know wrapped requests.
	peerLost  wrapper.Outcome = "peer-lost"
	peerBroke wrapper.Outcome = "peer-broke"
	peerOlder wrapper.Outcome = "peer-older"
	// givenUp: the request ended, or was withdrawn, before it was handed over.
	givenUp wrapper.Outcome = "given-up"
)

// sendThroughPeers hands a request to peers until one of them sends it. direct is the error of the
// last attempt over this daemon's own links; nil if there was none.
func (d *Dispatcher) sendThroughPeers(ctx context.Context, r *Request, direct error) (*Response, error) {
	unreachable, asked := 0, 0
	for p := range d.chosenPeers(ctx, d.c.Peers(), r.To.Service) {
		if unreachable >= minUnreachable {
			break
		}
		asked++
		x, outcome, err := d.sendThrough(ctx, r, p)
		d.c.OnRelayed(outcome)
		switch outcome {
		case wrapper.Answered:
			d.c.Tracker.RecordReachedByPeer(r.To)
			return x, nil
		case wrapper.Unreachable:
			unreachable++
		case wrapper.Busy:
			d.avoided.add(p.Host, "", busyPause)
		case wrapper.Partitioned:
			d.avoided.add(p.Host, r.To.Service, partitionedPause)
		case peerLost:
			d.avoided.add(p.Host, "", lostPause)
		case peerOlder:
			d.avoided.add(p.Host, "", olderPause)
		case wrapper.Unlisted:
		default:
			return nil, err
		}
	}
	if direct != nil {
		return nil, direct
	}
	return nil, fmt.Errorf("%w: no peer reaches the endpoint, %d asked", sender.ErrUnsent, asked)
}

// Refuses reports whether an endpoint that this daemon can't connect to refuses its peers, too. It is
// false if one of them connects, or if none of those asked reaches any endpoint of the service. Without
// peers that can tell it is true.
func (d *Dispatcher) Refuses(ctx context.Context, to pathtracker.Destination) bool {
	refuses := true
	for p := range d.chosenPeers(ctx, d.c.Peers(), to.Service) {
		switch d.probeThrough(ctx, p, to, probeTimeout) {
		case wrapper.Answered:
			d.c.Tracker.RecordReachedByPeer(to)
			return false
		case wrapper.Unreachable:
			return true
		case wrapper.Partitioned:
			d.avoided.add(p.Host, to.Service, partitionedPause)
			refuses = false
		case peerLost, peerBroke:
			refuses = false
		}
	}
	return refuses
}

// Unreachable reports whether an endpoint that has shown nobody a sign of life, and does not respond to this daemon, does
// not respond to a peer either. One of both must be in the endpoint's zone, as a zone may be cut off. That the peer
// reaches no other endpoint of the service says nothing: all may have ended.
func (d *Dispatcher) Unreachable(ctx context.Context, to pathtracker.Destination, zone identifier.AvailabilityZone) bool {
	peers := d.c.Peers()
	if zone != d.c.Zone {
		peers = slices.DeleteFunc(peers, func(p Peer) bool { return p.Zone != zone })
	}
	for p := range d.chosenPeers(ctx, peers, to.Service) {
		switch d.probeThrough(ctx, p, to, silentProbeTimeout) {
		case wrapper.Answered:
			return false
		case wrapper.Unreachable, wrapper.Partitioned:
			return true
		}
	}
	return false
}

// probeThrough lets a peer connect to an endpoint.
func (d *Dispatcher) probeThrough(ctx context.Context, p Peer, to pathtracker.Destination, timeout time.Duration) wrapper.Outcome {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	w := wrapper.Request{Service: to.Service, Endpoint: to.Endpoint, StartTime: to.StartTime, Probe: true}
	x, err := d.c.PeerSender.Send(ctx, &sender.Request{
		Address: p.Address, Method: http.MethodPost, Target: wrapper.Path, Host: p.Address, Header: w.Encode(), KeepAlive: keepPeerAlive,
	})
	switch {
	case errors.Is(err, sender.ErrUnsent):
		return peerLost
	case err != nil:
		return peerBroke
	}
	defer x.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(x.Body, maxRefusalBytes))
	return orOlder(wrapper.Outcome(x.Header.Get(wrapper.OutcomeHeader)))
}

// sendThrough hands a request to one peer. The response is set with the outcome Answered, the error with
// those after which no other peer may be asked.
func (d *Dispatcher) sendThrough(ctx context.Context, r *Request, p Peer) (*Response, wrapper.Outcome, error) {
	w := wrapper.Request{
		Service: r.To.Service, Endpoint: r.To.Endpoint, StartTime: r.To.StartTime, ID: r.ID, Fingerprint: r.Fingerprint, Parts: r.Parts,
		Method: r.Message.Method, Target: r.Message.Target, Host: r.Message.Host, Header: r.Message.Header, Verify: r.Message.Verify != nil,
	}
	message := *r.Message
	message.Address, message.Method, message.Target, message.Host, message.Header = p.Address, http.MethodPost, wrapper.Path, p.Address, w.Encode()
	message.KeepAlive, message.OnConnect, message.Verify = keepPeerAlive, nil, nil
	x, err := d.c.PeerSender.Send(ctx, &message)
	switch {
	case errors.Is(err, sender.ErrUnsent) && ctx.Err() == nil:
		return nil, peerLost, err
	case errors.Is(err, sender.ErrUnsent), errors.Is(err, sender.ErrCanceled):
		return nil, givenUp, err
	case err != nil:
		return nil, peerBroke, fmt.Errorf("%w: %w: %s", ErrThroughPeer, err, p.Host)
	}
	outcome := wrapper.Outcome(x.Header.Get(wrapper.OutcomeHeader))
	if outcome == wrapper.Answered {
		return &Response{Response: x, Peer: p.Host}, outcome, nil
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(x.Body, maxRefusalBytes))
	x.Close()
	return nil, orOlder(outcome), outcomeError(outcome, p.Host)
}

// keepPeerAlive returns how long connections to peers may stay idle.
func keepPeerAlive(http.Header) time.Duration { return peerKeepAlive }

// orOlder returns the outcome that a peer stated. Without one its version is older.
func orOlder(o wrapper.Outcome) wrapper.Outcome {
	if o == "" {
		return peerOlder
	}
	return o
}

// outcomeError returns the error of an outcome after which no other peer may be asked.
func outcomeError(o wrapper.Outcome, peer identifier.Host) error {
	switch o {
	case wrapper.Withheld:
		return sender.ErrCanceled
	case wrapper.NoResponse:
		return fmt.Errorf("%w: %w: %s", ErrThroughPeer, sender.ErrNoResponse, peer)
	}
	return fmt.Errorf("%w: %w: %s", ErrThroughPeer, sender.ErrBadResponse, peer)
}

// chosenPeers yields peers to be asked about a service, one after the other: [maxPeers] at most, until ctx ends.
func (d *Dispatcher) chosenPeers(ctx context.Context, peers []Peer, service identifier.Service) iter.Seq[Peer] {
	return func(yield func(Peer) bool) {
		tried := make(map[identifier.Host]bool)
		for range maxPeers {
			p, ok := d.choosePeer(peers, service, tried)
			if !ok || ctx.Err() != nil {
				return
			}
			tried[p.Host] = true
			if !yield(p) {
				return
			}
		}
	}
}

// choosePeer chooses a peer at random, by the capacity of its link, and prefers the own zone. ok is
// false if there is none left.
func (d *Dispatcher) choosePeer(peers []Peer, service identifier.Service, tried map[identifier.Host]bool) (p Peer, ok bool) {
	now := time.Now()
	total := 0
	for i := range peers {
		o := &peers[i]
		if tried[o.Host] || d.avoided.has(o.Host, service, now) {
			continue
		}
		weight := d.weight(o)
		total += weight
		if rand.IntN(total) < weight {
			p, ok = *o, true
		}
	}
	return p, ok
}

// weight returns the weight of a peer.
func (d *Dispatcher) weight(p *Peer) int {
	weight := 1 << min(max(p.Capacity, 0), maxCapacity)
	if p.Zone == d.c.Zone {
		weight *= ownZoneWeight
	}
	return weight
}

// avoidedPeers holds the peers that are not asked for a while. The zero value is empty.
type avoidedPeers struct {
	mu    sync.Mutex
	until map[avoidedKey]time.Time
}

// avoidedKey is a peer, and the service for which it is avoided; empty for all.
type avoidedKey struct {
	host    identifier.Host
	service identifier.Service
}

// add avoids a peer for a time.
func (a *avoidedPeers) add(h identifier.Host, service identifier.Service, pause time.Duration) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.until == nil {
		a.until = make(map[avoidedKey]time.Time)
	}
	for k, at := range a.until {
		if now.After(at) {
			delete(a.until, k)
		}
	}
	a.until[avoidedKey{h, service}] = now.Add(pause)
}

// has reports whether a peer is avoided for a service.
func (a *avoidedPeers) has(h identifier.Host, service identifier.Service, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Before(a.until[avoidedKey{h, service}]) || now.Before(a.until[avoidedKey{host: h}])
}
