// Package supplier exchanges objects of the platform's store between daemons.
//
// [Supplier.Snapshot] answers a peer with the objects that it lacks, compressed if they are
// large. [Supplier.RequestSnapshot] requests them from a peer. A daemon whose link is in use
// replies that it is busy, and names peers that it has served and that therefore have the objects
// ([BusyError]).
//
// Peers of the previous version do not read packed answers. They get plain ones, and an error
// where a peer of this version gets a busy reply.
//
// # Usage
//
//	s := supplier.New(supplier.Config{Objects: &mirror, Throttler: t, Client: w, ...})
//	reply, err := s.RequestSnapshot(ctx, "10.1.0.4:8109", "config", 0)
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
	// minPackedSize is the size from which on an answer is compressed. Smaller ones take a
	// packet or two, and are not worth the processor time.
	minPackedSize = 4 << 10
	// requestTimeout bounds a call while its bytes arrive: the largest object, halved by
	// compression, over a link of 10 Mbit/s that is nine tenths in use.
	requestTimeout = 5 * time.Second
	// maxHolders is how many peers are named to a peer that is not served, maxPackedReplies how
	// many compressed answers are kept.
	maxHolders       = 8
	maxPackedReplies = 4
	// logLinesPerSecond bounds the log lines, as a fleet of sixty daemons asks within a second.
	logLinesPerSecond = 20
)

// Objects gives access to the store's objects as this daemon knows them.
type Objects interface {
	// Changes returns the changes of a kind after a revision, or all objects and full.
	Changes(kind string, after uint64) (changes []object.Object, full bool, err error)
	// Revision returns the revision up to which all changes of a kind are known.
	Revision(kind string) uint64
}

// Throttler limits the large answers that are sent at a time.
type Throttler interface {
	// Admit reports whether an answer of that many bytes may be sent now.
	Admit(ctx context.Context, bytes int) bool
}

// Config holds the supplier's settings and the components that it works with.
type Config struct {
	// Address is this daemon's own peer address, as IP:port.
	Address string
	Objects Objects
	// Kinds are the kinds that a peer gets if it asks for no particular one.
	Kinds     []string
	Throttler Throttler
	// Client makes the calls. It should end a call whose answer stops arriving.
	Client interface {
		Do(r *http.Request) (*http.Response, error)
	}
	Logger *log.Logger
}

// Supplier answers requests for objects and makes them. It is safe for concurrent use.
type Supplier struct {
	c          Config
	compressor compressor.Compressor
	logLimiter *rate.Limiter

	mu sync.Mutex
	// holders are the peers served last, by kind.
	holders map[string]holderList
	// packed holds compressed replies, the newest last.
	packed []packedReply
}

// holderList holds peers that were served up to a revision. Those served up to an older one are
// not named, since they would send a peer what it has already.
type holderList struct {
	revision  uint64
	addresses []string
}

// replyKey identifies a request and the revision of its reply, which determine the reply.
type replyKey struct {
	kind            string
	after, revision uint64
	full            bool
}

// packedReply is a compressed reply.
type packedReply struct {
	replyKey
	bytes []byte
}

// BusyError means that a peer is busy serving others.
type BusyError struct {
	Peer string
	// Holders are the addresses of peers that have what was requested.
	Holders []string
}

// Error returns a message with the peer's address.
func (e *BusyError) Error() string { return fmt.Sprintf("%s is busy serving other peers", e.Peer) }

// New returns a supplier that has served no peer.
func New(c Config) *Supplier {
	return &Supplier{c: c, holders: make(map[string]holderList), logLimiter: rate.NewLimiter(logLinesPerSecond, logLinesPerSecond)}
}

// Snapshot returns the objects that a peer lacks, or a busy reply if the throttler does not
// admit them. It fails with twirp.Unavailable while a list of the objects is uncertain, and with
// twirp.ResourceExhausted instead of a busy reply to a peer that does not read one.
func (s *Supplier) Snapshot(ctx context.Context, r *rpc.SnapshotRequest) (*rpc.SnapshotReply, error) {
	after := s.after(r)
	reply, err := s.reply(r.GetKind(), after)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	objects, plain, revision := len(reply.GetObjects()), proto.Size(reply), object.Join(reply.GetEra(), reply.GetRevision())
	size := plain
	if r.GetPacked() && plain >= minPackedSize {
		if reply, err = s.pack(r.GetKind(), after, reply); err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		size = len(reply.GetPacked())
	}
	admitted := s.c.Throttler.Admit(ctx, size)
	if s.logLimiter.Allow() {
		s.c.Logger.Info("snapshot request answered", "kind", r.GetKind(), "after", r.GetAfter(), "peer", r.GetAddress(),
			"objects", objects, "bytes", plain, "sent_bytes", size, "busy", !admitted)
	}
	switch {
	case admitted:
		s.recordHolder(r, revision)
		return reply, nil
	case !r.GetPacked():
		return nil, twirp.NewError(twirp.ResourceExhausted, "others are served first")
	}
	return &rpc.SnapshotReply{Busy: true, Holders: s.otherHolders(r, revision)}, nil
}

// after returns the version after which a peer requests objects. One of an older version states no era
// and is taken to be in this daemon's: it would be sent everything each time otherwise.
func (s *Supplier) after(r *rpc.SnapshotRequest) uint64 {
	if r.GetAfter() == object.Absent {
		return object.Absent
	}
	era := object.Era(s.c.Objects.Revision(r.GetKind()))
	if r.AfterEra != nil {
		era = r.GetAfterEra()
	}
	return object.Join(era, r.GetAfter())
}

// reply returns the objects of a kind, or of all kinds if it is empty, that a peer lacks.
func (s *Supplier) reply(kind string, after uint64) (*rpc.SnapshotReply, error) {
	kinds := []string{kind}
	if kind == "" {
		kinds = s.c.Kinds
	}
	known := s.c.Objects.Revision(kind)
	out := &rpc.SnapshotReply{Revision: object.Revision(known), Era: object.Era(known)}
	for _, kind := range kinds {
		objects, full, err := s.c.Objects.Changes(kind, after)
		if err != nil {
			return nil, err
		}
		out.Full = out.Full || full
		for _, o := range objects {
			out.Objects = append(out.Objects, &rpc.StoredObject{
				Key: o.Key, Version: object.Revision(o.Version), Era: object.Era(o.Version), Value: o.Value, Deleted: o.Deleted,
			})
		}
	}
	return out, nil
}

// pack returns a reply in compressed form. Replies for one kind are kept, as dozens of peers ask
// for the same within a second.
func (s *Supplier) pack(kind string, after uint64, reply *rpc.SnapshotReply) (*rpc.SnapshotReply, error) {
	key := replyKey{kind, after, object.Join(reply.GetEra(), reply.GetRevision()), reply.GetFull()}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.packed {
		if p.replyKey == key && key.kind != "" {
			return &rpc.SnapshotReply{Packed: p.bytes}, nil
		}
	}
	raw, err := proto.Marshal(reply)
	if err != nil {
		return nil, fmt.Errorf("supplier: %w", err)
	}
	bytes, err := s.compressor.Compress(raw)
	if err != nil {
		return nil, fmt.Errorf("supplier: %w", err)
	}
	s.packed = append(s.packed, packedReply{key, bytes})
	if len(s.packed) > maxPackedReplies {
		s.packed = s.packed[1:]
	}
	return &rpc.SnapshotReply{Packed: bytes}, nil
}

// recordHolder records that a peer has a kind's objects up to a revision.
func (s *Supplier) recordHolder(r *rpc.SnapshotRequest, revision uint64) {
	if r.GetAddress() == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.holders[r.GetKind()]
	if h.revision != revision {
		h = holderList{revision: revision}
	}
	h.addresses = append(without(h.addresses, r.GetAddress()), r.GetAddress())
	h.addresses = h.addresses[max(0, len(h.addresses)-maxHolders):]
	s.holders[r.GetKind()] = h
}

// otherHolders returns the other peers that were served up to a revision.
func (s *Supplier) otherHolders(r *rpc.SnapshotRequest, revision uint64) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.holders[r.GetKind()]
	if h.revision != revision {
		return nil
	}
	return without(h.addresses, r.GetAddress())
}

// without returns a copy of a list without one address.
func without(list []string, address string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(a string) bool { return a == address })
}

// RequestSnapshot requests the objects of a kind, or of all kinds if it is empty, that changed
// after a revision, from the peer at an address. The error is a *BusyError if the peer is busy
// serving others.
func (s *Supplier) RequestSnapshot(ctx context.Context, address, kind string, after uint64) (*rpc.SnapshotReply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	reply, err := rpc.NewFleetProtobufClient("http://"+address, s.c.Client).Snapshot(ctx, &rpc.SnapshotRequest{
		Kind: kind, After: object.Revision(after), AfterEra: proto.Uint64(object.Era(after)), Packed: true, Address: s.c.Address,
	})
	switch {
	case err != nil:
		return nil, fmt.Errorf("snapshot of %s: %w", address, err)
	case reply.GetBusy():
		return nil, &BusyError{Peer: address, Holders: reply.GetHolders()}
	case len(reply.GetPacked()) == 0:
		return reply, nil
	}
	raw, err := s.compressor.Decompress(reply.GetPacked())
	if err != nil {
		return nil, fmt.Errorf("snapshot of %s: %w", address, err)
	}
	out := new(rpc.SnapshotReply)
	if err := proto.Unmarshal(raw, out); err != nil {
		return nil, fmt.Errorf("snapshot of %s: %w", address, err)
	}
	return out, nil
}
