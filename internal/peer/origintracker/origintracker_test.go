package origintracker

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/assigner"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/route/versiontracker"

	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"
)

const (
	service = "lm"
	// retention is how long streams may be taken up, unconfirmedTime the time after which a daemon
	// knows that its list may be old.
	retention       = time.Minute
	unconfirmedTime = 4 * time.Second
	// livenessTimeout is how long daemons count as live that are not heard, currentTime how long a list counts as confirmed
	// by the store.
	livenessTimeout = 3 * time.Second
	currentTime     = 2 * time.Second
	// maxPartitionTime outlasts all that a partitioned daemon takes for true.
	maxPartitionTime = 8
)

// fleet is a fleet of daemons that exchange records without a network, and a list of versions that
// those that are not partitioned see at once.
type fleet struct {
	listed  []identifier.Version
	streams []stream

	// mu protects what calls of other daemons read, as some end after the call that started them.
	mu      sync.Mutex
	now     time.Time
	daemons []*daemon
	// older daemons do not know the calls.
	older map[int]bool
}

type daemon struct {
	*Tracker
	versions    *versiontracker.Tracker
	partitioned bool
	// changedAt is when the daemon was partitioned or healed, confirmedAt when the store last confirmed its list.
	changedAt, confirmedAt time.Time
}

// stream is a stream that began at a daemon.
type stream struct {
	Origin
	at time.Time
}

func newFleet(n int, listed ...identifier.Version) *fleet {
	f := &fleet{now: time.Unix(1000, 0), listed: listed, older: make(map[int]bool), daemons: make([]*daemon, n)}
	for i := range n {
		f.start(i, true)
	}
	f.sync()
	return f
}

// live returns the daemons that count as live at one of them: those that have been partitioned lately still do.
func (f *fleet) live(at int) (out []assigner.Daemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	silent := func(d *daemon) bool { return d.partitioned && f.now.Sub(d.changedAt) >= livenessTimeout }
	for i, d := range f.daemons {
		if i == at || !silent(d) && !silent(f.daemons[at]) {
			out = append(out, assigner.Daemon{Host: host(i), Address: fmt.Sprint(i)})
		}
	}
	return out
}

func host(i int) identifier.Host { return identifier.Host(fmt.Sprintf("front-%d", i)) }

// start starts a daemon that knows nothing.
func (f *fleet) start(i int, first bool) {
	d := &daemon{versions: versiontracker.New(versiontracker.Config{Retention: retention, Now: f.clock})}
	if first {
		d.versions.ConfirmFirst()
	}
	d.Tracker = New(Config{
		Host: host(i), Versions: d.versions, Retention: time.Hour, Metrics: tally.NoopScope,
		Select: func(id string, n int, now time.Time) []assigner.Daemon {
			return assigner.New(assigner.Config{Daemons: func(time.Time) []assigner.Daemon { return f.live(i) }}).Select(id, n, now)
		},
		Current: func() bool { return f.current(d) },
		Refresh: func(context.Context) error { return f.refresh(d) },
		Dial:    func(address string) Peer { return link{f, d, address} },
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[i] = d
}

func (f *fleet) clock() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// advance advances the clock while no daemon confirms its list.
func (f *fleet) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

// setPartitioned partitions a daemon or ends that.
func (f *fleet) setPartitioned(i int, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[i].partitioned, f.daemons[i].changedAt = partitioned, f.now
}

// setOlder makes a daemon one that does not know the calls.
func (f *fleet) setOlder(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.older[i] = true
}

// link is the link from a daemon to another one.
type link struct {
	f    *fleet
	from *daemon
	to   string
}

var errPartitioned = errors.New("partitioned")

func (l link) peer() (*daemon, error) {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	for i, d := range l.f.daemons {
		switch {
		case fmt.Sprint(i) != l.to:
		case d.partitioned || l.from.partitioned:
			return nil, errPartitioned
		case l.f.older[i]:
			return nil, twirp.NewError(twirp.BadRoute, "no handler")
		default:
			return d, nil
		}
	}
	return nil, errPartitioned
}

func (l link) RecordOrigins(ctx context.Context, m *rpc.OriginRecords) (*rpc.OriginRecordsReply, error) {
	d, err := l.peer()
	if err != nil {
		return nil, err
	}
	return d.RecordOrigins(ctx, m)
}

func (l link) FindOrigin(ctx context.Context, m *rpc.OriginRequest) (*rpc.OriginReply, error) {
	d, err := l.peer()
	if err != nil {
		return nil, err
	}
	return d.FindOrigin(ctx, m)
}

// sync shows the list of versions to all daemons that are not partitioned.
func (f *fleet) sync() {
	for _, d := range f.daemons {
		_ = f.refresh(d)
	}
}

// refresh shows the list of versions to a daemon unless it is partitioned.
func (f *fleet) refresh(d *daemon) error {
	f.mu.Lock()
	now, partitioned := f.now, d.partitioned
	f.mu.Unlock()
	if partitioned {
		return errPartitioned
	}
	changed := d.versions.Observe(func(yield func(identifier.Service, identifier.Version) bool) {
		for _, v := range f.listed {
			if !yield(service, v) {
				return
			}
		}
	})
	d.versions.Confirm(now)
	f.mu.Lock()
	d.confirmedAt = now
	f.mu.Unlock()
	d.CopyPending(context.Background(), changed)
	return nil
}

// current reports whether a daemon's list was confirmed lately.
func (f *fleet) current(d *daemon) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now.Sub(d.confirmedAt) < currentTime
}

// pass lets time pass. Daemons that are not partitioned confirm their lists, and the others what they heard last.
func (f *fleet) pass(d time.Duration) {
	for ; d > 0; d -= time.Second {
		f.advance(time.Second)
		f.sync()
		for i, d := range f.daemons {
			if d.partitioned && len(f.live(i)) > 1 {
				d.versions.Confirm(d.changedAt)
			}
		}
	}
}

// begin starts a stream at a daemon and a version.
func (f *fleet) begin(i int, v identifier.Version) stream {
	s := stream{Origin{identifier.Request(fmt.Sprintf("request-%d", len(f.streams))), service, v}, f.now}
	f.streams = append(f.streams, s)
	f.daemons[i].Begin(context.Background(), s.Origin)
	return s
}

func (f *fleet) find(i int, s stream) Found {
	return f.daemons[i].Find(context.Background(), service, s.Request)
}

// Guards against a daemon that takes a stream up at another version than the one that began it:
// whatever daemons restart or are partitioned and whichever versions come and leave meanwhile, it is
// the right version or none.
func TestVersionOfAStreamIsTheRightOneOrUnknown(t *testing.T) {
	versions := []identifier.Version{"v1", "v2", "v3"}
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 6).Draw(t, "daemons"), "v1")
		anyDaemon := rapid.IntRange(0, len(f.daemons)-1)
		t.Repeat(map[string]func(*rapid.T){
			"add a version": func(t *rapid.T) {
				if v := rapid.SampledFrom(versions).Draw(t, "version"); !slices.Contains(f.listed, v) {
					f.listed = append(f.listed, v)
					f.sync()
				}
			},
			"remove a version": func(t *rapid.T) {
				if len(f.listed) > 1 {
					at := rapid.IntRange(0, len(f.listed)-1).Draw(t, "version")
					f.listed = slices.Delete(slices.Clone(f.listed), at, at+1)
					f.sync()
				}
			},
			"let time pass": func(t *rapid.T) { f.pass(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second) },
			"begin": func(t *rapid.T) {
				f.begin(anyDaemon.Draw(t, "daemon"), rapid.SampledFrom(f.listed).Draw(t, "version"))
			},
			"restart": func(t *rapid.T) {
				i := anyDaemon.Draw(t, "daemon")
				partitioned := f.daemons[i].partitioned
				f.start(i, false)
				f.daemons[i].partitioned = partitioned
				f.sync()
			},
			"partition or heal": func(t *rapid.T) {
				i := anyDaemon.Draw(t, "daemon")
				f.setPartitioned(i, !f.daemons[i].partitioned)
				f.pass(time.Duration(rapid.IntRange(0, maxPartitionTime).Draw(t, "seconds")) * time.Second)
			},
			"ask proofs": func(t *rapid.T) { f.daemons[anyDaemon.Draw(t, "daemon")].AskProofs(context.Background()) },
			"take up": func(t *rapid.T) {
				if len(f.streams) == 0 {
					return
				}
				s := rapid.SampledFrom(f.streams).Draw(t, "stream")
				if f.now.Sub(s.at) >= retention {
					return
				}
				if got := f.find(anyDaemon.Draw(t, "daemon"), s); got.Source != Unknown && got.Version != s.Version {
					t.Fatalf("%s began at %s, found %+v", s.Request, s.Version, got)
				}
			},
		})
	})
}

// Guards against streams that are lost with the daemon that began them.
func TestRecordOutlivesItsDaemon(t *testing.T) {
	f := newFleet(8, "v1", "v2")
	for n := range 200 {
		s := f.begin(n%8, f.listed[n%2])
		f.start(n%8, false)
		f.sync()
		if got := f.find((n+1)%8, s); got.Source != Recorded || got.Version != s.Version {
			t.Fatalf("%s of %s: %+v", s.Request, s.Version, got)
		}
	}
}

// Guards against records of each stream while a service has one version, and against streams that
// began then and are lost once a second one appears.
func TestRecordsAreCopiedOnceASecondVersionAppears(t *testing.T) {
	f := newFleet(8, "v1")
	s := f.begin(0, "v1")
	for i := 1; i < len(f.daemons); i++ {
		if f.daemons[i].records[s.Request] != nil {
			t.Errorf("%s has a record while the service has one version", host(i))
		}
	}
	f.listed = []identifier.Version{"v1", "v2"}
	f.sync()
	f.start(0, false)
	f.sync()
	if got := f.find(1, s); got.Source != Recorded || got.Version != "v1" {
		t.Errorf("found %+v", got)
	}
}

// Guards against streams of a service with one version that are lost when daemons restart one after
// the other.
func TestSoleVersionOutlivesRestarts(t *testing.T) {
	f := newFleet(8, "v1")
	var s stream
	for i := range f.daemons {
		s = f.begin(i, "v1")
		f.start(i, false)
		f.pass(time.Second)
		f.begin(i, "v1")
	}
	for i := range f.daemons {
		if got := f.find(i, s); got.Source == Unknown || got.Version != "v1" {
			t.Errorf("%s found %+v", host(i), got)
		}
	}
}

// Guards against streams of a service with one version that are lost when daemons restart one after
// the other and begin no stream meanwhile.
func TestProofOutlivesRestartsWithoutStreams(t *testing.T) {
	f := newFleet(8, "v1")
	s := stream{Origin{"not-recorded", service, "v1"}, f.now}
	for i := range f.daemons {
		f.start(i, false)
		f.pass(time.Second)
		f.daemons[i].AskProofs(context.Background())
	}
	for i := range f.daemons {
		if got := f.find(i, s); got.Source != SoleVersion || got.Version != "v1" {
			t.Errorf("%s found %+v", host(i), got)
		}
	}
}

// Guards against streams that are lost beside daemons of an older version, which keep no records.
func TestSoleVersionBesideOlderDaemons(t *testing.T) {
	f := newFleet(4, "v1")
	for i := 1; i < len(f.daemons); i++ {
		f.setOlder(i)
	}
	s := stream{Origin{"of-an-older-daemon", service, "v1"}, f.now}
	if got := f.find(0, s); got.Source != SoleVersion || got.Version != "v1" {
		t.Errorf("found %+v", got)
	}
}

// Guards against memory that grows with the streams.
func TestRecordsAreBounded(t *testing.T) {
	f := newFleet(1, "v1")
	for n := range maxRecords + 100 {
		f.daemons[0].keep(Origin{identifier.Request(fmt.Sprint(n)), service, "v1"}, false)
	}
	if n := len(f.daemons[0].records); n != maxRecords || len(f.daemons[0].order) != maxRecords {
		t.Errorf("%d records, want %d", n, maxRecords)
	}
}

// Guards against a daemon that was partitioned a moment ago and still takes its list for the present
// one.
func TestPartitionedDaemonDoesNotTrustItsList(t *testing.T) {
	f := newFleet(4, "v1")
	f.setPartitioned(0, true)
	f.listed = []identifier.Version{"v1", "v2"}
	f.sync()
	if got := f.find(0, f.begin(1, "v2")); got.Source != Unknown {
		t.Errorf("found %+v, no daemon answers", got)
	}
}

// Guards against a version that has come and left while a daemon was partitioned, and whose records
// are lost.
func TestVersionThatWasMissedDuringAPartition(t *testing.T) {
	f := newFleet(2, "v1")
	f.setPartitioned(0, true)
	f.pass(unconfirmedTime)
	f.listed = []identifier.Version{"v1", "v2"}
	f.sync()
	s := f.begin(1, "v2")
	f.start(1, false)
	f.listed = []identifier.Version{"v1"}
	f.setPartitioned(0, false)
	f.sync()
	if got := f.find(0, s); got.Source != Unknown {
		t.Errorf("found %+v, the stream began at v2", got)
	}
}

// Guards against streams that are lost after the store could not be reached for some seconds: no daemon
// has a proof then, and the records of streams that began before are not copied.
func TestRecordsAreCopiedOnceTheProofIsLost(t *testing.T) {
	f := newFleet(8, "v1")
	s := f.begin(0, "v1")
	f.advance(unconfirmedTime)
	for _, d := range f.daemons {
		d.CopyUnproven(context.Background())
	}
	f.sync()
	for i := range f.daemons {
		if got := f.find(i, s); got.Source != Recorded || got.Version != "v1" {
			t.Errorf("%s found %+v", host(i), got)
		}
	}
}

// savedOrigins are records of processes that have ended.
type savedOrigins map[identifier.Request]identifier.Version

func (s savedOrigins) Add(o Origin) { s[o.Request] = o.Version }

func (s savedOrigins) Find(_ identifier.Service, id identifier.Request) (identifier.Version, bool) {
	v, ok := s[id]
	return v, ok
}

// Guards against a stream of an earlier process that goes on while the list may show endpoints that have ended, or does not
// go on after that.
func TestStreamsOfEarlierProcessesWaitForTheList(t *testing.T) {
	f := newFleet(2, "v1", "v2")
	wait := time.Second
	saved := savedOrigins{"earlier": "v1"}
	f.daemons[0].c.Saver, f.daemons[0].c.ListWait = saved, func() time.Duration { return wait }
	own := f.begin(0, "v2")
	if saved[own.Request] != "v2" {
		t.Errorf("saved %v, want the stream that began here", saved)
	}
	other := f.begin(1, "v2")
	delete(f.daemons[0].records, other.Request)
	for _, c := range []struct {
		id     identifier.Request
		source Source
		held   bool
	}{{"earlier", Saved, true}, {own.Request, Recorded, false}, {other.Request, Recorded, true}, {"nobody's", Unknown, false}} {
		wait = time.Second
		before := f.daemons[0].Find(context.Background(), service, c.id)
		wait = 0
		after := f.daemons[0].Find(context.Background(), service, c.id)
		if held := before.Source == Unconfirmed && before.RetryAfter == time.Second; held != c.held || after.Source != c.source {
			t.Errorf("%s: %+v, then %+v, want %s, held before %t", c.id, before, after, c.source, c.held)
		}
	}
}
