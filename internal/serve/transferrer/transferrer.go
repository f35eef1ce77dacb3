// Package transferrer moves the state of interrupted requests between daemons.
//
// A daemon that leaves hands each unfinished answer to two peers, if possible one in
// its own zone and one in another, as a whole zone is often reclaimed at once. A
// daemon whose caller disconnects keeps the state itself. The resume token names the
// holders, so that any daemon can fetch the state.
//
// An answer that waits for a witness may wait for longer than any host runs, so it is
// stored on the platform, see [Transferrer.HoldAnswer].
//
// # Usage
//
//	holders := t.HandOver(ctx, envelope)
//	envelope, ok := t.Fetch(ctx, token)
package transferrer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/membertracker"
	"brasschute/internal/peer/retainer"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
	"brasschute/internal/serve/sealer"

	"google.golang.org/protobuf/proto"
)

const (
	replicas    = 2
	callTimeout = time.Second
)

// Config holds the dependencies of a Transferrer.
type Config struct {
	Members  *membertracker.Tracker
	Retainer *retainer.Retainer
	// Peer returns a client for a peer's address.
	Peer func(address string) rpc.Peer
	// Store keeps held answers.
	Store Store
}

// Store is the platform's object API.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, ifVersion uint64, value any) (object.Object, error)
	// Now returns the time of the platform.
	Now() time.Time
}

// HeldAnswer is an envelope as stored on the platform.
type HeldAnswer struct {
	// AtUnix is the platform's time of storing, in Unix seconds. Old answers are deleted by
	// it.
	AtUnix   int64
	Envelope []byte
}

// Transferrer moves the state of interrupted requests. It is safe for concurrent use.
type Transferrer struct {
	c Config
}

// New returns a transferrer.
func New(c Config) *Transferrer { return &Transferrer{c} }

// SelfAddresses returns this daemon's address as a list of holders, empty if it has none.
func (c *Transferrer) SelfAddresses() []netip.AddrPort {
	a, err := netip.ParseAddrPort(c.c.Members.Self().PeerAddress)
	if err != nil {
		return nil
	}
	return []netip.AddrPort{a}
}

// StoreLocal stores an envelope at this daemon.
func (c *Transferrer) StoreLocal(e *rpc.Envelope) { c.c.Retainer.Keep(e) }

// Drop deletes the state of a request whose answer was delivered completely.
func (c *Transferrer) Drop(o identifier.Organisation, instance identifier.Request) {
	c.c.Retainer.Drop(o, instance)
}

// HoldAnswer stores an answer that waits for its witness on the platform, since the answer
// may have to outlive every host of the system. If the platform cannot store it, it is
// stored at this daemon and at peers, whose addresses are returned.
func (c *Transferrer) HoldAnswer(ctx context.Context, e *rpc.Envelope) []netip.AddrPort {
	raw, err := proto.Marshal(e)
	if err == nil {
		_, err = c.c.Store.Put(ctx, heldKey(e.Organisation, e.Request), object.Absent, HeldAnswer{AtUnix: c.c.Store.Now().Unix(), Envelope: raw})
	}
	// A conflict means that an earlier write, whose answer was lost, took effect.
	if err == nil || errors.Is(err, object.ErrConflict) {
		return nil
	}
	c.c.Retainer.Keep(e)
	return append(c.SelfAddresses(), c.HandOver(ctx, e)...)
}

func heldKey(organisation, request string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s%s", len(organisation), organisation, request))
	return inventory.HeldPrefix + hex.EncodeToString(sum[:])
}

// fetchHeld looks for a held answer on the platform.
func (c *Transferrer) fetchHeld(ctx context.Context, t *sealer.Token) *rpc.Envelope {
	o, err := c.c.Store.Get(ctx, heldKey(string(t.Organisation), string(t.Instance)))
	if err != nil {
		return nil
	}
	var s HeldAnswer
	e := new(rpc.Envelope)
	if json.Unmarshal(o.Value, &s) != nil || proto.Unmarshal(s.Envelope, e) != nil {
		return nil
	}
	return e
}

// HandOver stores an envelope at peers and returns the addresses of those that have it.
func (c *Transferrer) HandOver(ctx context.Context, e *rpc.Envelope) []netip.AddrPort {
	var kept []netip.AddrPort
	for _, m := range c.peersByZone() {
		if len(kept) == replicas {
			break
		}
		address, err := netip.ParseAddrPort(m.PeerAddress)
		if err != nil {
			continue
		}
		if c.store(ctx, m.PeerAddress, e) {
			kept = append(kept, address)
		}
	}
	return kept
}

func (c *Transferrer) store(ctx context.Context, address string, e *rpc.Envelope) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.c.Peer(address).Keep(ctx, e)
	return err == nil && reply.Kept
}

// peersByZone lists live peers, alternating between other zones and this daemon's zone.
// Other zones come first.
func (c *Transferrer) peersByZone() []*rpc.Member {
	zone := c.c.Members.Self().AvailabilityZone
	var sameZone, otherZones []*rpc.Member
	for _, m := range c.c.Members.Alive() {
		if m.State != rpc.State_ALIVE {
			continue
		}
		if m.AvailabilityZone == zone {
			sameZone = append(sameZone, m)
		} else {
			otherZones = append(otherZones, m)
		}
	}
	var out []*rpc.Member
	for i := range max(len(sameZone), len(otherZones)) {
		if i < len(otherZones) {
			out = append(out, otherZones[i])
		}
		if i < len(sameZone) {
			out = append(out, sameZone[i])
		}
	}
	return out
}

// Fetch looks for the envelope of a token at this daemon, then at the token's holders, and
// last on the platform.
func (c *Transferrer) Fetch(ctx context.Context, t *sealer.Token) (*rpc.Envelope, bool) {
	if e, ok := c.c.Retainer.Fetch(t.Organisation, t.Instance); ok {
		return e, true
	}
	own := c.c.Members.Self().PeerAddress
	for _, a := range t.Holders {
		if a.String() == own {
			continue
		}
		if e := c.fetch(ctx, a.String(), t); e != nil {
			return e, true
		}
	}
	e := c.fetchHeld(ctx, t)
	return e, e != nil
}

func (c *Transferrer) fetch(ctx context.Context, address string, t *sealer.Token) *rpc.Envelope {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := c.c.Peer(address).Fetch(ctx, &rpc.FetchRequest{Request: string(t.Instance), Organisation: string(t.Organisation)})
	if err != nil {
		return nil
	}
	return e
}
