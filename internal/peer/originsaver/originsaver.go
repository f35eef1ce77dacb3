// Package originsaver saves in the platform's store at which software version streams began, so that it is known after
// all daemons have ended at once.
//
// # Invariant
//
// A record states what has happened and never changes. A record that is saved late, left out, overwritten, or lost
// with an older copy of the store can therefore only make a stream end: [Saver.Find] returns the version that began the
// stream, or nothing.
//
// # Objects
//
// Each daemon has [slots] objects, which it uses in turn. The records that have come since the last write go into the
// current one, with those that it holds already, until it has [maxPerObject]. A record is a hash of the service and the
// id. One object is written at a time, and not again before the interval has passed, which grows with the fleet, so that
// calls and bytes are bounded; what exceeds the bound is left out, the oldest first.
//
// The objects are read once, by those daemons that the configuration lets read, before the first is written: an
// older one of an earlier process is overwritten first. The others ask those.
//
// # Usage
//
//	s := originsaver.New(originsaver.Config{...})
//	go s.Serve(ctx)
//	s.Add(origin)                      // streams that began here
//	version, ok := s.Find(service, id) // streams of earlier processes
package originsaver

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/peer/origintracker"
	"brasschute/internal/platform/object"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

// Kind is the kind of the objects in the store.
const Kind = "streams"

const (
	// slots and maxPerObject bound what a daemon keeps in the store to 8 KB, and a write to half a kilobyte.
	slots        = 16
	maxPerObject = 32
	// hashBytes is the length of a record.
	hashBytes = 8
	// minInterval is the time between two writes in a small fleet: streams often run for less than a second.
	// maxWritesPerSecond bounds those of a whole fleet, a quarter of what all calls of all daemons may come to.
	minInterval        = 200 * time.Millisecond
	maxWritesPerSecond = 100
	// gatherTime is how long the first record since the last write waits for others.
	gatherTime = 20 * time.Millisecond
	// readInterval is the time between two attempts to read.
	readInterval = time.Second
	// maxRead bounds the memory of the records of earlier processes to about 5 MB.
	maxRead = 1 << 16
	// decideInterval is how often is checked whether to read.
	decideInterval = 100 * time.Millisecond
)

// Store is the platform's object store.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, ifVersion uint64, value any) (object.Object, error)
	List(ctx context.Context, kinds ...string) (object.Page, error)
}

// Config holds the dependencies of a saver.
type Config struct {
	Store Store
	Host  identifier.Host
	// Reads reports whether this daemon reads the records of all, and false for known while that is not decided.
	Reads func() (reads, known bool)
	// FleetSize returns the number of daemons.
	FleetSize func() int
	// Retention is how long after the start records of earlier processes are of use.
	Retention time.Duration
	// OnUnreadable is called for an object that no daemon has written; may be nil.
	OnUnreadable func(error)
	Logger       *log.Logger
	Metrics      tally.Scope
}

// streamsRecord is the content of an object.
type streamsRecord struct {
	Versions []versionRecord
}

// versionRecord holds the streams that one version of a service began.
type versionRecord struct {
	Service identifier.Service
	Version identifier.Version
	// Streams holds one hash of [hashBytes] after the other.
	Streams []byte
}

// hash identifies a stream of a service.
type hash uint64

func hashOf(s identifier.Service, id identifier.Request) hash {
	sum := sha256.Sum256([]byte(string(s) + "\x00" + string(id)))
	return hash(binary.BigEndian.Uint64(sum[:]))
}

// Saver saves and reads records. It is safe for concurrent use.
type Saver struct {
	c Config
	// versions are the versions of this daemon's objects as last seen; current is the one in use.
	versions [slots]uint64
	current  int
	// failing is set while writes fail.
	failing bool
	// added receives a value when there is something to save.
	added chan struct{}

	mu sync.Mutex
	// saved are the records in the current object, unsaved those that have come since.
	saved, unsaved []origintracker.Origin
	// read are the records of earlier processes.
	read map[hash]identifier.Version
}

// New returns a saver that knows no records.
func New(c Config) *Saver {
	if c.OnUnreadable == nil {
		c.OnUnreadable = func(error) {}
	}
	return &Saver{c: c, added: make(chan struct{}, 1)}
}

// Add saves the origin of a stream with the next write.
func (s *Saver) Add(o origintracker.Origin) {
	if o.Request == "" || o.Version == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unsaved) >= maxPerObject {
		s.unsaved = s.unsaved[1:]
		s.c.Metrics.Counter("stream_origins_left_out").Inc(1)
	}
	s.unsaved = append(s.unsaved, o)
	s.wake()
}

// wake lets the records be saved that are not.
func (s *Saver) wake() {
	select {
	case s.added <- struct{}{}:
	default:
	}
}

// Find returns the version of a stream that began before this process, if it is recorded.
func (s *Saver) Find(service identifier.Service, id identifier.Request) (identifier.Version, bool) {
	if id == "" {
		return "", false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.read[hashOf(service, id)]
	return v, ok
}

// Serve reads the records of earlier processes, if this daemon is to, and saves those of this one until ctx ends.
func (s *Saver) Serve(ctx context.Context) error {
	s.readOnce(ctx)
	forget := time.AfterFunc(s.c.Retention, s.forget)
	defer forget.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.added:
		}
		waiter.For(ctx, gatherTime)
		s.step(ctx)
		waiter.For(ctx, s.interval())
	}
}

// interval returns the time until the next write.
func (s *Saver) interval() time.Duration {
	d := max(minInterval, time.Duration(s.c.FleetSize())*time.Second/maxWritesPerSecond)
	return d + rand.N(d/10)
}

// forget drops the records of earlier processes: no client waits for these streams any more.
func (s *Saver) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read = nil
}

// readOnce reads the records of all daemons once it is known whether to. It tries again while the store is away, but
// not after the retention time.
func (s *Saver) readOnce(ctx context.Context) {
	s.current = rand.N(slots)
	for end := time.Now().Add(s.c.Retention); ctx.Err() == nil && time.Now().Before(end); waiter.For(ctx, decideInterval) {
		reads, known := s.c.Reads()
		if !known {
			continue
		}
		if !reads {
			return
		}
		p, err := s.c.Store.List(ctx, Kind)
		if err == nil {
			s.apply(p.Objects)
			return
		}
		if !s.failing {
			s.failing = true
			s.c.Logger.Warn("origins of streams not read", "error", err)
		}
		waiter.For(ctx, readInterval)
	}
}

// apply takes over the records of all daemons, and uses the oldest of the own objects next.
func (s *Saver) apply(objects []object.Object) {
	read := make(map[hash]identifier.Version)
	for _, o := range objects {
		s.noteOwn(o)
		var r streamsRecord
		if err := json.Unmarshal(o.Value, &r); err != nil {
			s.c.OnUnreadable(fmt.Errorf("%s, revision %v: %w", o.Key, object.LogValue(o.Version), err))
			continue
		}
		for _, v := range r.Versions {
			for b := v.Streams; len(b) >= hashBytes && len(read) < maxRead && v.Version != ""; b = b[hashBytes:] {
				read[hash(binary.BigEndian.Uint64(b))] = v.Version
			}
		}
	}
	for i, v := range s.versions {
		if v < s.versions[s.current] {
			s.current = i
		}
	}
	s.failing = false
	s.mu.Lock()
	s.read = read
	s.mu.Unlock()
	s.c.Metrics.Counter("stream_origins_read").Inc(int64(len(read)))
	s.c.Logger.Info("origins of streams read from the store", "streams", len(read), "objects", len(objects))
}

// noteOwn notes the version of an object if it is one of this daemon's.
func (s *Saver) noteOwn(o object.Object) {
	for i := range slots {
		if o.Key == s.key(i) {
			s.versions[i] = o.Version
		}
	}
}

func (s *Saver) key(slot int) string { return fmt.Sprintf("%s/%s-%d", Kind, s.c.Host, slot) }

// step writes the records that have come.
func (s *Saver) step(ctx context.Context) {
	s.mu.Lock()
	fresh, slot := slices.Clone(s.unsaved), s.current
	next := slices.Concat(s.saved, fresh)
	s.mu.Unlock()
	if len(next) > maxPerObject {
		next, slot = fresh, (slot+1)%slots
	}
	if len(fresh) == 0 {
		return
	}
	if err := s.write(ctx, slot, encode(next)); err != nil {
		s.c.Metrics.Counter("stream_origin_saves_failed").Inc(1)
		if !s.failing {
			s.failing = true
			s.c.Logger.Warn("origins of streams not saved", "streams", len(fresh), "error", err)
		}
		s.wake()
		return
	}
	if s.failing {
		s.failing = false
		s.c.Logger.Info("origins of streams saved again", "streams", len(fresh))
	}
	s.c.Metrics.Counter("stream_origins_saved").Inc(int64(len(fresh)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current, s.saved = slot, next
	s.unsaved = slices.DeleteFunc(s.unsaved, func(o origintracker.Origin) bool { return slices.Contains(fresh, o) })
}

// write writes one of this daemon's objects. One that another process has written is overwritten: no other daemon
// writes it.
func (s *Saver) write(ctx context.Context, slot int, r streamsRecord) error {
	o, err := s.c.Store.Put(ctx, s.key(slot), s.versions[slot], r)
	if errors.Is(err, object.ErrConflict) || errors.Is(err, object.ErrMissing) {
		s.versions[slot] = object.Absent
		if o, err = s.c.Store.Get(ctx, s.key(slot)); err == nil || errors.Is(err, object.ErrMissing) {
			o, err = s.c.Store.Put(ctx, s.key(slot), o.Version, r)
		}
	}
	if err != nil {
		return err
	}
	s.versions[slot] = o.Version
	return nil
}

// encode returns the content of an object.
func encode(origins []origintracker.Origin) (r streamsRecord) {
	for _, o := range origins {
		i := slices.IndexFunc(r.Versions, func(v versionRecord) bool { return v.Service == o.Service && v.Version == o.Version })
		if i < 0 {
			i = len(r.Versions)
			r.Versions = append(r.Versions, versionRecord{Service: o.Service, Version: o.Version})
		}
		r.Versions[i].Streams = binary.BigEndian.AppendUint64(r.Versions[i].Streams, uint64(hashOf(o.Service, o.Request)))
	}
	return r
}
