// Package origintracker knows at which software version of an endpoint each stream began.
//
// What two versions write does not fit together, and endpoints do not check where a stream began. A
// stream may therefore go on only at the version that began it, also at another daemon and after the
// end of the daemon that began it.
//
// # Invariant
//
// [Tracker.Find] returns a version only if it is recorded as the one of the endpoint whose event
// came first, or if no other version can have served while clients still wait for streams (package
// versiontracker) by a list of endpoints that is as new as the request. A record states what has
// happened: it never changes, so copies can't contradict each other, and a lost one can only make a
// stream end.
//
// That a list is new is never concluded from silence: a daemon that hears nothing of the others, or that has stood still, is in
// the same state as one that is alone. Either a daemon that the store has just confirmed knows of no other version, and no
// daemon that was asked was silent, or the list is brought up to date with the store first.
//
// # Records
//
// [Tracker.Begin] is called before the first event of a stream goes to its client. Unless the
// service is proved to have a sole version, the record is copied to [copies] other daemons that the
// id selects, and Begin waits for the first of them, at most for [recordTimeout]. When a second
// version appears, or the proof is lost, the records that were not copied are copied then.
//
// All state is soft. A record is kept for the retention time, and at most [maxRecords] are. The daemon that has
// copied a record also hands it to the [Saver], which knows records after all daemons have ended at once.
//
// # Usage
//
//	t := origintracker.New(origintracker.Config{...})
//	t.Begin(ctx, origintracker.Origin{Request: id, Service: service, Version: version})
//	found := t.Find(ctx, service, id)
//	t.CopyPending(ctx, services) // after a version was added
//	t.CopyUnproven(ctx)          // every second
//	t.AskProofs(ctx)             // some times after the start
package origintracker

import (
	"context"
	"crypto/rand"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/assigner"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/route/versiontracker"

	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"
)

const (
	// copies is the number of other daemons that keep a record. Of 8 daemons 3 end at once; then one
	// stream in twenty has lost all copies.
	copies = 2
	// maxAsked is the number of daemons that are asked for a record: those that keep it, and as many
	// again, as daemons that came or left since have changed the selection.
	maxAsked = 2 * copies
	// recordTimeout bounds how long an event waits for its record. A daemon answers within
	// milliseconds, and an event may take about a tenth of a second.
	recordTimeout = 40 * time.Millisecond
	// findTimeout bounds how long a request waits for the answers of other daemons: 150 ms covers a
	// pause of a busy host.
	findTimeout = 150 * time.Millisecond
	// maxRecords bounds the memory to about 5 MB.
	maxRecords = 1 << 15
	// maxRecordsPerCall bounds the records that one call copies.
	maxRecordsPerCall = 512
)

// Peer answers calls about streams.
type Peer interface {
	RecordOrigins(context.Context, *rpc.OriginRecords) (*rpc.OriginRecordsReply, error)
	FindOrigin(context.Context, *rpc.OriginRequest) (*rpc.OriginReply, error)
}

// Versions knows which versions the endpoints of services had lately.
type Versions interface {
	Version(identifier.Service) versiontracker.Sole
	// Unproven returns the services whose sole version is not proved.
	Unproven() []identifier.Service
	Adopt(identifier.Service, identifier.Version)
}

// Saver saves records where they outlive all daemons.
type Saver interface {
	// Add saves the record of a stream that began here.
	Add(Origin)
	// Find returns the version of a stream that began before this process, if it is known.
	Find(identifier.Service, identifier.Request) (identifier.Version, bool)
}

// Config holds the dependencies of a tracker.
type Config struct {
	Host     identifier.Host
	Versions Versions
	// Select returns up to n live daemons for an id, the same at all daemons, this one perhaps
	// included. Dial returns the daemon at an address.
	Select func(id string, n int, now time.Time) []assigner.Daemon
	Dial   func(address string) Peer
	// Saver saves records; nil saves none. Readers returns the addresses of other daemons that have read what all
	// have saved; may be nil if Saver is.
	Saver   Saver
	Readers func() []string
	// Current reports whether the store itself has confirmed this daemon's list of endpoints within a time that is shorter
	// than daemons count as live without a sign of life; nil if it never does. Refresh brings the list up to date with
	// the store, and returns an error if it can't; nil if nothing can.
	Current func() bool
	Refresh func(context.Context) error
	// ListWait returns the time until the list shows the endpoints that run; nil if it always does. Until then a stream that
	// began before this process does not go on: an endpoint may have started again, with other software, under the
	// same id.
	ListWait func() time.Duration
	// Retention is how long records are kept: longer than clients wait for a stream.
	Retention time.Duration
	Metrics   tally.Scope
}

// Origin is the version of the endpoint that began a stream.
type Origin struct {
	// Request is the client attempt that brought the first event.
	Request identifier.Request
	Service identifier.Service
	Version identifier.Version
}

// Source says how the version of a stream is known.
type Source string

// The sources.
const (
	// Recorded: there is a record of the stream.
	Recorded Source = "recorded"
	// SoleVersion: the service had no other version lately.
	SoleVersion Source = "sole version"
	// Saved: a process that has ended has saved a record of the stream.
	Saved Source = "saved"
	// Unconfirmed: there is a record, but it is not known yet which endpoints run. The stream must not go on now.
	Unconfirmed Source = "unconfirmed"
	// Unknown: the stream must not go on.
	Unknown Source = "unknown"
)

// Found is what is known of the version at which a stream began. Version is meaningless if the
// source is Unknown or Unconfirmed.
type Found struct {
	Version identifier.Version
	Source  Source
	// Asked is the number of other daemons that were asked, Answered the number of them that
	// answered.
	Asked, Answered int
	// RetryAfter is when the stream can go on, if that is known and not now.
	RetryAfter time.Duration
}

// Tracker keeps records of streams. It is safe for concurrent use.
type Tracker struct {
	c       Config
	counter func(name, result string) tally.Counter

	mu      sync.Mutex
	records map[identifier.Request]*record
	// order holds the records from the oldest on.
	order []*record
}

// record is the origin of a stream.
type record struct {
	Origin
	at time.Time
	// pending: the stream began here, and its record has not been copied.
	pending bool
}

// New returns a tracker without records.
func New(c Config) *Tracker {
	counter := func(name, result string) tally.Counter {
		return c.Metrics.Tagged(map[string]string{"result": result}).Counter(name)
	}
	return &Tracker{c: c, counter: counter, records: make(map[identifier.Request]*record)}
}

// Begin records the version at which a stream begins. It returns once another daemon has the record
// if one is needed, or when ctx or [recordTimeout] ends.
func (t *Tracker) Begin(ctx context.Context, o Origin) {
	pending := t.isProven(o.Service)
	t.keep(o, pending)
	if pending {
		t.counter("stream_records", "not needed").Inc(1)
		return
	}
	if t.c.Saver != nil {
		t.c.Saver.Add(o)
	}
	result := "unconfirmed"
	if t.copy(ctx, o) {
		result = "copied"
	}
	t.counter("stream_records", result).Inc(1)
}

// isProven reports whether all daemons can know the version of a service's streams without a record.
func (t *Tracker) isProven(s identifier.Service) bool {
	v := t.c.Versions.Version(s)
	return !v.Several && v.Proven
}

// keep keeps a record unless there is one.
func (t *Tracker) keep(o Origin, pending bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for len(t.order) > 0 && (now.Sub(t.order[0].at) > t.c.Retention || len(t.order) >= maxRecords) {
		delete(t.records, t.order[0].Request)
		t.order[0] = nil
		t.order = t.order[1:]
	}
	if t.records[o.Request] == nil {
		r := &record{Origin: o, at: now, pending: pending}
		t.records[o.Request] = r
		t.order = append(t.order, r)
	}
}

// copy sends a record to the daemons that keep it, and reports whether one of them has confirmed
// it in time.
func (t *Tracker) copy(ctx context.Context, o Origin) (confirmed bool) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	keepers := t.keepers(o.Request)
	done := make(chan bool, len(keepers))
	for _, d := range keepers {
		go func() { done <- t.send(context.WithoutCancel(ctx), d, []Origin{o}) }()
	}
	for range keepers {
		select {
		case ok := <-done:
			if ok {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// keepers returns the other daemons that keep the record of a stream.
func (t *Tracker) keepers(id identifier.Request) []assigner.Daemon {
	others := t.others(id, copies+1)
	return others[:min(len(others), copies)]
}

// others returns the other daemons among the first n for an id.
func (t *Tracker) others(id identifier.Request, n int) []assigner.Daemon {
	out := make([]assigner.Daemon, 0, n)
	for _, d := range t.c.Select(string(id), n, time.Now()) {
		if d.Host != t.c.Host {
			out = append(out, d)
		}
	}
	return out
}

// send copies records to a daemon and reports whether it has them.
func (t *Tracker) send(ctx context.Context, d assigner.Daemon, origins []Origin) bool {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	m := new(rpc.OriginRecords)
	for _, o := range origins {
		m.Origins = append(m.Origins, &rpc.StreamOrigin{Request: string(o.Request), Service: string(o.Service), Version: string(o.Version)})
	}
	reply, err := t.c.Dial(d.Address).RecordOrigins(ctx, m)
	for _, s := range reply.GetServices() {
		t.adopt(s)
	}
	return err == nil
}

// adopt takes over another daemon's proof.
func (t *Tracker) adopt(s *rpc.ServiceVersion) {
	if s.GetProven() && !s.GetSeveral() {
		t.c.Versions.Adopt(identifier.Service(s.GetService()), identifier.Version(s.GetVersion()))
	}
}

// CopyPending copies the records of streams of some services that began here and were not copied.
// It is called when a service has a version more: the other daemons can't tell any more where
// these streams began.
func (t *Tracker) CopyPending(ctx context.Context, services []identifier.Service) {
	byKeeper := make(map[assigner.Daemon][]Origin)
	for _, o := range t.takePending(services) {
		if t.c.Saver != nil {
			t.c.Saver.Add(o)
		}
		for _, d := range t.keepers(o.Request) {
			byKeeper[d] = append(byKeeper[d], o)
		}
	}
	var calls sync.WaitGroup
	for d, origins := range byKeeper {
		calls.Go(func() {
			for len(origins) > 0 {
				n := min(len(origins), maxRecordsPerCall)
				t.send(ctx, d, origins[:n])
				origins = origins[n:]
			}
		})
	}
	calls.Wait()
}

// CopyUnproven copies the pending records of services whose sole version is no longer proved, as after
// a time without contact to the store: the other daemons could not tell where these streams began.
func (t *Tracker) CopyUnproven(ctx context.Context) {
	var services []identifier.Service
	for _, s := range t.pendingServices() {
		if !t.isProven(s) {
			services = append(services, s)
		}
	}
	if len(services) > 0 {
		t.CopyPending(ctx, services)
	}
}

// pendingServices returns the services with pending records.
func (t *Tracker) pendingServices() []identifier.Service {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := make(map[identifier.Service]bool)
	for _, r := range t.order {
		if r.pending {
			seen[r.Service] = true
		}
	}
	return slices.Collect(maps.Keys(seen))
}

// takePending returns the pending records of services, which are not pending any more.
func (t *Tracker) takePending(services []identifier.Service) (out []Origin) {
	wanted := make(map[identifier.Service]bool)
	for _, s := range services {
		wanted[s] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.order {
		if r.pending && wanted[r.Service] && time.Since(r.at) <= t.c.Retention {
			r.pending = false
			out = append(out, r.Origin)
		}
	}
	return out
}

// AskProofs asks one other daemon for its proofs of sole versions, unless all are proved here. Daemons
// that have started lately lack them, so that streams without a record could not be taken up there.
func (t *Tracker) AskProofs(ctx context.Context) {
	unproven := t.c.Versions.Unproven()
	if len(unproven) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	others := t.others(identifier.Request(rand.Text()), copies)
	if len(others) == 0 {
		return
	}
	for _, s := range unproven {
		reply, err := t.c.Dial(others[0].Address).FindOrigin(ctx, &rpc.OriginRequest{Service: string(s)})
		if err != nil {
			return
		}
		t.adopt(reply.GetService())
	}
}

// Find returns the version at which a stream of a service began, by the client attempt that brought
// its first event; empty if the client did not state it.
func (t *Tracker) Find(ctx context.Context, s identifier.Service, id identifier.Request) Found {
	f := t.hold(t.find(ctx, s, id))
	t.counter("streams_taken_up", string(f.Source)).Inc(1)
	return f
}

func (t *Tracker) find(ctx context.Context, s identifier.Service, id identifier.Request) Found {
	if version, ok := t.recorded(s, id); ok {
		return Found{Version: version, Source: Recorded}
	}
	asked := t.others(id, maxAsked)
	f := Found{Source: Unknown, Asked: len(asked)}
	if version, ok := t.saved(s, id); ok {
		f.Version, f.Source = version, Saved
		return f
	}
	own := t.c.Versions.Version(s)
	proven, several, current := own.Proven, own.Several, false
	for reply := range t.ask(ctx, asked, s, id) {
		f.Answered++
		if reply.GetKnown() {
			f.Version, f.Source = identifier.Version(reply.GetVersion()), Recorded
			return f
		}
		theirs := reply.GetService()
		several = several || theirs.GetSeveral() || theirs.GetProven() && identifier.Version(theirs.GetVersion()) != own.Version
		proven = proven || theirs.GetProven()
		current = current || theirs.GetCurrent()
		t.adopt(theirs)
	}
	current = current && f.Answered == f.Asked
	if !several && proven && (current || t.isSoleAtStore(ctx, s, own.Version)) {
		f.Version, f.Source = own.Version, SoleVersion
	}
	if f.Source == Unknown {
		t.askReaders(ctx, &f, s, id)
	}
	return f
}

// isSoleAtStore reports whether a version is still the sole one of a service by a list that is as new as this call.
func (t *Tracker) isSoleAtStore(ctx context.Context, s identifier.Service, version identifier.Version) bool {
	if t.c.Refresh == nil {
		return false
	}
	if err := t.c.Refresh(ctx); err != nil {
		t.counter("stream_list_refreshes", "failed").Inc(1)
		return false
	}
	t.counter("stream_list_refreshes", "ok").Inc(1)
	now := t.c.Versions.Version(s)
	return !now.Several && now.Proven && now.Version == version
}

// hold lets a stream that began before this daemon started wait until the list shows what runs.
func (t *Tracker) hold(f Found) Found {
	if t.c.ListWait == nil || f.Source != Saved && (f.Source != Recorded || f.Asked == 0) {
		return f
	}
	if wait := t.c.ListWait(); wait > 0 {
		return Found{Source: Unconfirmed, Asked: f.Asked, Answered: f.Answered, RetryAfter: wait}
	}
	return f
}

// saved returns the version of a stream that an earlier process has saved, as far as this daemon has read.
func (t *Tracker) saved(s identifier.Service, id identifier.Request) (identifier.Version, bool) {
	if t.c.Saver == nil {
		return "", false
	}
	return t.c.Saver.Find(s, id)
}

// askReaders asks daemons that have read what all have saved.
func (t *Tracker) askReaders(ctx context.Context, f *Found, s identifier.Service, id identifier.Request) {
	if t.c.Readers == nil {
		return
	}
	var readers []assigner.Daemon
	for _, address := range t.c.Readers() {
		if len(readers) < copies {
			readers = append(readers, assigner.Daemon{Address: address})
		}
	}
	f.Asked += len(readers)
	for reply := range t.ask(ctx, readers, s, id) {
		f.Answered++
		if reply.GetKnown() {
			f.Version, f.Source = identifier.Version(reply.GetVersion()), Saved
			return
		}
	}
}

// recorded returns the version of a recorded stream.
func (t *Tracker) recorded(s identifier.Service, id identifier.Request) (identifier.Version, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	if r == nil || r.Service != s || time.Since(r.at) > t.c.Retention {
		return "", false
	}
	return r.Version, true
}

// ask asks daemons for a record at once, and yields their answers as they come, for [findTimeout] at
// most. A daemon of an older version that does not know the call keeps no records.
func (t *Tracker) ask(ctx context.Context, daemons []assigner.Daemon, s identifier.Service, id identifier.Request) func(func(*rpc.OriginReply) bool) {
	return func(yield func(*rpc.OriginReply) bool) {
		ctx, cancel := context.WithTimeout(ctx, findTimeout)
		defer cancel()
		replies := make(chan *rpc.OriginReply, len(daemons))
		m := &rpc.OriginRequest{Request: string(id), Service: string(s)}
		for _, d := range daemons {
			go func() {
				reply, err := t.c.Dial(d.Address).FindOrigin(ctx, m)
				if isUnknownCall(err) {
					reply, err = new(rpc.OriginReply), nil
				}
				if err != nil {
					reply = nil
				}
				replies <- reply
			}()
		}
		for range daemons {
			select {
			case reply := <-replies:
				if reply != nil && !yield(reply) {
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}
}

// isUnknownCall reports whether a daemon answered that it does not know a call.
func isUnknownCall(err error) bool {
	e, ok := errors.AsType[twirp.Error](err)
	return ok && e.Code() == twirp.BadRoute
}

// RecordOrigins keeps records of another daemon.
func (t *Tracker) RecordOrigins(_ context.Context, m *rpc.OriginRecords) (*rpc.OriginRecordsReply, error) {
	reply := new(rpc.OriginRecordsReply)
	named := make(map[string]bool)
	for _, o := range m.GetOrigins() {
		t.keep(Origin{identifier.Request(o.GetRequest()), identifier.Service(o.GetService()), identifier.Version(o.GetVersion())}, false)
		if !named[o.GetService()] {
			named[o.GetService()] = true
			reply.Services = append(reply.Services, t.serviceVersion(o.GetService()))
		}
	}
	return reply, nil
}

// FindOrigin returns what this daemon itself knows of a stream.
func (t *Tracker) FindOrigin(_ context.Context, m *rpc.OriginRequest) (*rpc.OriginReply, error) {
	version, ok := t.recorded(identifier.Service(m.GetService()), identifier.Request(m.GetRequest()))
	if !ok {
		version, ok = t.saved(identifier.Service(m.GetService()), identifier.Request(m.GetRequest()))
	}
	return &rpc.OriginReply{Known: ok, Version: string(version), Service: t.serviceVersion(m.GetService())}, nil
}

func (t *Tracker) serviceVersion(name string) *rpc.ServiceVersion {
	v := t.c.Versions.Version(identifier.Service(name))
	current := t.c.Current != nil && t.c.Current()
	return &rpc.ServiceVersion{Service: name, Version: string(v.Version), Several: v.Several, Proven: v.Proven, Current: current}
}
