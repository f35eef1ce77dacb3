// Package supplier hands objects of the platform's store from daemon to daemon.
//
// # Both sides
//
// [Supplier.Snapshot] answers a peer with what it lacks, packed if that is large;
// [Supplier.RequestSnapshot] asks a peer. A daemon whose link is taken says that it is busy, and
// names peers that it has served: they have what is asked for ([BusyError]).
//
// A peer of the version before does not know packed answers: it gets plain ones, and an
// error where this one would be called busy.
//
// # Usage
//
//	s := supplier.New(supplier.Config{Objects: &mirror, Throttler: t, Client: w, ...})
//	reply, err := s.Ask(ctx, "10.1.0.4:8109", "config", 0)
package supplier

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"brasschute/internal/core/compressor"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/platform/object"

	"github.com/charmbracelet/log"
	"github.com/twitchtv/twirp"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"
)

const (
	// packFrom is the size from which on an answer is packed: below, a packet or two
	// are not worth the processor time.
	packFrom = 4 << 10
	// askTime bounds a call whose bytes keep coming: the largest object over a link of
	// 10 Mbit/s that is nine tenths taken, halved by packing.
	askTime = 5 * time.Second
	// maxHolders is how many peers are named to those that are not served, keepPacked
	// how many answers are kept in packed form.
	maxHolders = 8
	keepPacked = 4
	// linesPerSecond bounds the log lines: a fleet of sixty asks within a second.
	linesPerSecond = 20
)

// Objects are the store's objects as this daemon knows them.
type Objects interface {
	// Changes returns the changes of a kind after a revision; full if they are all.
	Changes(kind string, after uint64) (changes []object.Object, full bool, err error)
	Revision(kind string) uint64
}

// Throttler admits large answers.
type Throttler interface {
	Admit(ctx context.Context, bytes int) bool
}

// Config names the supplier's collaborators.
type Config struct {
	// Address is this daemon's own.
	Address string
	Objects Objects
	// Kinds are those that a peer gets that asks for all.
	Kinds     []string
	Throttler Throttler
	// Client makes the calls; it should give up when nothing comes.
	Client interface {
		Do(r *http.Request) (*http.Response, error)
	}
	Logger *log.Logger
}

// Supplier hands out objects and asks for them. It is safe for concurrent use.
type Supplier struct {
	c      Config
	packer compressor.Compressor
	lines  *rate.Limiter

	mu sync.Mutex
	// holders are the peers served last, by kind.
	holders map[string]holders
	// packed are answers in packed form, newest last.
	packed []packedReply
}

// holders are peers that were served up to a revision. Those that have an older one are
// not named: whoever asked them would fill its link with what it has already.
type holders struct {
	revision  uint64
	addresses []string
}

// question is what a peer asked; the answer to it is the same as long as the revision is.
type question struct {
	kind            string
	after, revision uint64
	full            bool
}

type packedReply struct {
	question
	bytes []byte
}

// BusyError means that a peer serves others first.
type BusyError struct {
	Peer string
	// Holders are peers that have what was asked for.
	Holders []string
}

// Error names the peer.
func (e *BusyError) Error() string { return fmt.Sprintf("%s serves others first", e.Peer) }

// New returns a supplier.
func New(c Config) *Supplier {
	return &Supplier{c: c, holders: make(map[string]holders), lines: rate.NewLimiter(linesPerSecond, linesPerSecond)}
}

// Snapshot answers a peer that lacks objects.
func (s *Supplier) Snapshot(ctx context.Context, r *rpc.SnapshotRequest) (*rpc.SnapshotReply, error) {
	reply, err := s.reply(r.GetKind(), r.GetAfter())
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	objects, plain, revision := len(reply.GetObjects()), proto.Size(reply), reply.GetRevision()
	size := plain
	if r.GetPacked() && plain >= packFrom {
		if reply, err = s.pack(r, reply); err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		size = len(reply.GetPacked())
	}
	admitted := s.c.Throttler.Admit(ctx, size)
	if s.lines.Allow() {
		s.c.Logger.Info("objects handed out", "kind", r.GetKind(), "after", r.GetAfter(), "peer", r.GetAddress(),
			"objects", objects, "bytes", plain, "sent_bytes", size, "busy", !admitted)
	}
	switch {
	case admitted:
		s.served(r, revision)
		return reply, nil
	case !r.GetPacked():
		return nil, twirp.NewError(twirp.ResourceExhausted, "others are served first")
	}
	return &rpc.SnapshotReply{Busy: true, Holders: s.holding(r, revision)}, nil
}

// reply collects what a peer lacks of a kind, or of all kinds if it is empty.
func (s *Supplier) reply(kind string, after uint64) (*rpc.SnapshotReply, error) {
	kinds := []string{kind}
	if kind == "" {
		kinds = s.c.Kinds
	}
	out := &rpc.SnapshotReply{Revision: s.c.Objects.Revision(kind)}
	for _, kind := range kinds {
		objects, full, err := s.c.Objects.Changes(kind, after)
		if err != nil {
			return nil, err
		}
		out.Full = out.Full || full
		for _, o := range objects {
			out.Objects = append(out.Objects, &rpc.StoredObject{Key: o.Key, Version: o.Version, Value: o.Value, Deleted: o.Deleted})
		}
	}
	return out, nil
}

// pack returns a reply in packed form. Those of one kind are kept: dozens of peers ask
// for the same within a second.
func (s *Supplier) pack(r *rpc.SnapshotRequest, reply *rpc.SnapshotReply) (*rpc.SnapshotReply, error) {
	q := question{r.GetKind(), r.GetAfter(), reply.GetRevision(), reply.GetFull()}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.packed {
		if p.question == q && q.kind != "" {
			return &rpc.SnapshotReply{Packed: p.bytes}, nil
		}
	}
	raw, err := proto.Marshal(reply)
	if err != nil {
		return nil, fmt.Errorf("supplier: %w", err)
	}
	bytes, err := s.packer.Compress(raw)
	if err != nil {
		return nil, fmt.Errorf("supplier: %w", err)
	}
	s.packed = append(s.packed, packedReply{q, bytes})
	if len(s.packed) > keepPacked {
		s.packed = s.packed[1:]
	}
	return &rpc.SnapshotReply{Packed: bytes}, nil
}

// served notes a peer that has a kind's objects up to a revision now.
func (s *Supplier) served(r *rpc.SnapshotRequest, revision uint64) {
	if r.GetAddress() == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.holders[r.GetKind()]
	if h.revision != revision {
		h = holders{revision: revision}
	}
	h.addresses = append(without(h.addresses, r.GetAddress()), r.GetAddress())
	h.addresses = h.addresses[max(0, len(h.addresses)-maxHolders):]
	s.holders[r.GetKind()] = h
}

// holding lists other peers that were served up to a revision.
func (s *Supplier) holding(r *rpc.SnapshotRequest, revision uint64) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.holders[r.GetKind()]
	if h.revision != revision {
		return nil
	}
	return without(h.addresses, r.GetAddress())
}

// without copies a list but for one address.
func without(list []string, address string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(a string) bool { return a == address })
}

// RequestSnapshot returns what the peer at an address knows of a kind, or of all kinds, after a
// revision. The error is a *BusyError if it serves others first.
func (s *Supplier) RequestSnapshot(ctx context.Context, address, kind string, after uint64) (*rpc.SnapshotReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	reply, err := rpc.NewFleetProtobufClient("http://"+address, s.c.Client).Snapshot(ctx, &rpc.SnapshotRequest{
		Kind: kind, After: after, Packed: true, Address: s.c.Address,
	})
	switch {
	case err != nil:
		return nil, fmt.Errorf("snapshot of %s: %w", address, err)
	case reply.GetBusy():
		return nil, &BusyError{Peer: address, Holders: reply.GetHolders()}
	case len(reply.GetPacked()) == 0:
		return reply, nil
	}
	raw, err := s.packer.Decompress(reply.GetPacked())
	if err != nil {
		return nil, fmt.Errorf("snapshot of %s: %w", address, err)
	}
	out := new(rpc.SnapshotReply)
	if err := proto.Unmarshal(raw, out); err != nil {
		return nil, fmt.Errorf("snapshot of %s: %w", address, err)
	}
	return out, nil
}
