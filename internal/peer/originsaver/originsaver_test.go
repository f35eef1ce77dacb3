package originsaver

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/origintracker"
	"brasschute/internal/platform/object"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"
)

const (
	service   = "lm"
	retention = time.Minute
	// savedTime outlasts a write.
	savedTime = time.Second
)

// fakeStore is a store in memory.
type fakeStore struct {
	mu       sync.Mutex
	objects  map[string]object.Object
	revision uint64
	away     bool
	writes   int
	largest  int
}

func newFakeStore() *fakeStore { return &fakeStore{objects: make(map[string]object.Object)} }

func (s *fakeStore) Get(_ context.Context, key string) (object.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	switch {
	case s.away:
		return object.Object{}, object.ErrUnavailable
	case !ok:
		return object.Object{}, object.ErrMissing
	}
	return o, nil
}

func (s *fakeStore) Put(_ context.Context, key string, ifVersion uint64, value any) (object.Object, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return object.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	s.largest = max(s.largest, len(raw))
	old, ok := s.objects[key]
	switch {
	case s.away:
		return object.Object{}, object.ErrUnavailable
	case ok && old.Version != ifVersion:
		return object.Object{}, object.ErrConflict
	case !ok && ifVersion != object.Absent:
		return object.Object{}, object.ErrMissing
	}
	s.revision++
	o := object.Object{Key: key, Value: raw, Version: s.revision}
	s.objects[key] = o
	return o, nil
}

func (s *fakeStore) List(_ context.Context, kinds ...string) (p object.Page, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return p, object.ErrUnavailable
	}
	for key, o := range s.objects {
		if strings.HasPrefix(key, kinds[0]+"/") {
			p.Objects = append(p.Objects, o)
		}
	}
	return p, nil
}

func (s *fakeStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// copy and restore copy the objects and put a copy back.
func (s *fakeStore) copy() map[string]object.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]object.Object)
	for k, o := range s.objects {
		out[k] = o
	}
	return out
}

func (s *fakeStore) restore(copied map[string]object.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = make(map[string]object.Object)
	for k, o := range copied {
		s.objects[k] = o
	}
}

// start starts the saver of a process and returns it with the function that kills the process.
func start(s *fakeStore, host string, reads bool, fleet int) (saver *Saver, kill func()) {
	saver = New(Config{
		Store: s, Host: identifier.Host(host), Reads: func() (bool, bool) { return reads, true }, FleetSize: func() int { return fleet },
		Retention: retention, Logger: log.New(io.Discard), Metrics: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { _ = saver.Serve(ctx); close(ended) }()
	return saver, func() { cancel(); <-ended }
}

func origin(n int, version string) origintracker.Origin {
	return origintracker.Origin{Request: identifier.Request(fmt.Sprint("request-", n)), Service: service, Version: identifier.Version(version)}
}

// Guards against a stream whose version is found to be another one than it began at, whatever is killed, lost,
// overwritten or restored.
func TestVersionFoundIsTheOneThatBeganTheStream(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			s := newFakeStore()
			const hosts = 3
			var savers [hosts]*Saver
			var kills [hosts]func()
			run := func(i int) {
				savers[i], kills[i] = start(s, fmt.Sprint("front-", i), rapid.Bool().Draw(rt, "reads"), hosts)
			}
			for i := range hosts {
				run(i)
			}
			copied, began := s.copy(), 0
			for range rapid.IntRange(5, 40).Draw(rt, "steps") {
				i := rapid.IntRange(0, hosts-1).Draw(rt, "host")
				switch rapid.IntRange(0, 5).Draw(rt, "step") {
				case 0, 1:
					for range rapid.IntRange(1, 2*maxPerObject).Draw(rt, "streams") {
						savers[i].Add(origin(began, versionOf(began)))
						began++
					}
				case 2:
					kills[i]()
					run(i)
				case 3:
					s.setAway(rapid.Bool().Draw(rt, "away"))
				case 4:
					copied = s.copy()
				case 5:
					s.restore(copied)
				}
				time.Sleep(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause_ms")) * time.Millisecond)
				for n := range began {
					if v, ok := savers[i].Find(service, origin(n, "").Request); ok && string(v) != versionOf(n) {
						rt.Fatalf("stream %d began at %s, found %s", n, versionOf(n), v)
					}
				}
			}
			for _, kill := range kills {
				kill()
			}
		})
	})
}

func versionOf(n int) string { return fmt.Sprint("v", n%3) }

// Guards against records that are lost with all processes, also with those that restart several times.
func TestRecordsOutliveAllProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		for n := range 2 * slots {
			saver, kill := start(s, "front-0", true, 1)
			time.Sleep(savedTime)
			for past := max(0, n-slots); past < n; past++ {
				if v, ok := saver.Find(service, origin(past, "").Request); !ok || string(v) != versionOf(past) {
					t.Errorf("process %d: stream %d: %s, %t", n, past, v, ok)
				}
			}
			saver.Add(origin(n, versionOf(n)))
			time.Sleep(savedTime)
			kill()
		}
	})
}

// Guards against records of a time without the store that are not saved once it is back.
func TestRecordsAreSavedOnceTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		saver, kill := start(s, "front-0", true, 1)
		time.Sleep(savedTime)
		s.setAway(true)
		saver.Add(origin(0, "v0"))
		time.Sleep(savedTime)
		s.setAway(false)
		time.Sleep(savedTime)
		kill()
		next, kill := start(s, "front-1", true, 1)
		time.Sleep(savedTime)
		if v, ok := next.Find(service, origin(0, "").Request); !ok || v != "v0" {
			t.Errorf("found %s, %t", v, ok)
		}
		kill()
	})
}

// Guards against calls, bytes and memory that grow with the streams or with the fleet.
func TestCallsAndBytesAreBounded(t *testing.T) {
	for _, fleet := range []int{1, 8, 195, 986} {
		synctest.Test(t, func(t *testing.T) {
			const seconds, perSecond, maxBytes = 60, 500, 600
			s := newFakeStore()
			saver, kill := start(s, "front-0", true, fleet)
			for n := range seconds * perSecond {
				saver.Add(origin(n, versionOf(n)))
				time.Sleep(time.Second / perSecond)
			}
			kill()
			allowed := min(5*seconds, maxWritesPerSecond*seconds/fleet+1)
			if s.writes > allowed || s.largest > maxBytes || len(s.objects) > slots {
				t.Errorf("%d daemons: %d writes of up to %d bytes, %d objects", fleet, s.writes, s.largest, len(s.objects))
			}
			t.Logf("%d daemons: %.2f writes a second, the largest of %d bytes", fleet, float64(s.writes)/seconds, s.largest)
		})
	}
}

// Guards against a stream without an id, or an endpoint without a version, that counts as recorded.
func TestNamelessStreamsAreNotRecorded(t *testing.T) {
	saver := New(Config{Metrics: tally.NoopScope})
	saver.Add(origintracker.Origin{Service: service, Version: "v0"})
	saver.Add(origintracker.Origin{Request: "r", Service: service})
	if len(saver.unsaved) > 0 {
		t.Errorf("%v", saver.unsaved)
	}
}
