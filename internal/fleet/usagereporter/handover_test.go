package usagereporter

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"brasschute/internal/platform/object"
)

// errLeaseLost is the error of a report whose sender does not hold the lease any more.
var errLeaseLost = errors.New("lease lost")

// pausedStore calls a function once, while a call of one holder is under way.
type pausedStore struct {
	*fakePlatform
	onGet, onPut func()
}

func (s *pausedStore) Get(ctx context.Context, key string) (object.Object, error) {
	if f := s.onGet; f != nil {
		s.onGet = nil
		f()
	}
	return s.fakePlatform.Get(ctx, key)
}

func (s *pausedStore) Put(ctx context.Context, key string, ifVersion uint64, value any) (object.Object, error) {
	if f := s.onPut; f != nil {
		s.onPut = nil
		f()
	}
	return s.fakePlatform.Put(ctx, key, ifVersion, value)
}

// successions is three holders of the lease, each with counts of its own.
type successions struct {
	*fakePlatform
	holder uint64
	first  int64
}

func newSuccessions() *successions {
	p := newFakePlatform()
	p.era = 1
	return &successions{fakePlatform: p, holder: 1, first: p.window()}
}

// reporter returns a reporter with its own counts, which sends only while it holds the lease.
func (s *successions) reporter(n int) *Reporter {
	r := s.newReporter(func() []DaemonCounts {
		return []DaemonCounts{{Source: 1, Windows: map[int64]Counts{s.first: {"desk": n}, s.first + 1: {"desk": n}}}}
	})
	r.c.Held = func(fencing uint64) bool { return fencing == s.holder }
	r.c.Send = func(ctx context.Context, fencing uint64, window int64, counts Counts) error {
		if fencing != s.holder {
			return errLeaseLost
		}
		return s.report(ctx, fencing, window, counts)
	}
	return r
}

// succeed lets the next holder report, and restores the store to a copy from before.
func (s *successions) succeed(t *testing.T, n int, copied object.Object) {
	s.holder = 2
	s.now = s.now.Add(4 * time.Second)
	s.reporter(n).Step(t.Context(), 2)
	if s.reports[s.first] == "" {
		t.Error("the second holder reported nothing")
	}
	s.restore(copied)
}

// check lets the last holder report and compares.
func (s *successions) check(t *testing.T) {
	s.holder = 3
	s.reporter(5).Step(t.Context(), 3)
	if s.differed {
		t.Errorf("a window was reported twice with different counts: %v", s.reports)
	}
}

// Guards against a former holder that vouches for windows which its successor settled: its read is answered
// after the successor reported and the store was restored.
func TestFormerHolderDoesNotVouchAfterRestore(t *testing.T) {
	s := newSuccessions()
	a := s.reporter(3)
	a.Step(t.Context(), 1)
	copied := s.o
	s.now = s.now.Add(windowLength + 2500*time.Millisecond)
	s.refuseWrites = true
	a.Step(t.Context(), 1)
	s.refuseWrites = false
	a.c.Store = &pausedStore{fakePlatform: s.fakePlatform, onGet: func() { s.succeed(t, 4, copied) }}
	a.Step(t.Context(), 1)
	s.check(t)
}

// Guards against the same by a holder whose write is refused after the restore, and which goes on with its step.
func TestFormerHolderDoesNotGoOnAfterRestore(t *testing.T) {
	s := newSuccessions()
	a := s.reporter(3)
	a.Step(t.Context(), 1)
	copied := s.o
	s.now = s.now.Add(windowLength + 2500*time.Millisecond)
	a.savedAt = time.Time{}
	a.c.Store = &pausedStore{fakePlatform: s.fakePlatform, onPut: func() { s.succeed(t, 4, copied) }}
	a.Step(t.Context(), 1)
	s.check(t)
}

// Guards against a record that is created in a later era than the one in which it was found missing, and bears the later one.
func TestRecordBearsTheEraInWhichItWasMissing(t *testing.T) {
	s := newSuccessions()
	a := s.reporter(3)
	s.now = s.now.Add(windowLength + 2500*time.Millisecond)
	counted, paused := a.c.DaemonCounts, false
	a.c.DaemonCounts = func() []DaemonCounts {
		if !paused {
			paused = true
			s.holder = 2
			b := s.reporter(4)
			b.Step(t.Context(), 2)
			s.now = s.now.Add(windowLength)
			b.Step(t.Context(), 2)
			if s.reports[s.first+1] == "" {
				t.Error("the second holder reported nothing")
			}
			s.restore(object.Object{})
		}
		return counted()
	}
	a.Step(t.Context(), 1)
	s.check(t)
}

// Guards against a record of another writer that decodes to nothing and is taken for one of ours, at a store that states no era.
func TestForeignRecordDoesNotRepeatReports(t *testing.T) {
	for _, value := range []string{`{}`, `null`, `{"Rows":[1]}`} {
		s := newSuccessions()
		s.era = 0
		s.now = s.now.Add(windowLength + 2500*time.Millisecond)
		s.reporter(3).Step(t.Context(), 1)
		if s.reports[s.first] == "" {
			t.Fatal("the window was not reported")
		}
		s.o = object.Object{Version: s.o.Version + 1, Value: []byte(value)}
		s.check(t)
	}
}

// interrupted lets the lease change hands, the store be restored and others report while a call is under way.
type interrupted struct {
	*drawnProcess
	under *bool
}

func (i *interrupted) interrupt() {
	f := i.f
	if *i.under || rapid.IntRange(0, 29).Draw(f.t, "interrupted") != 0 {
		return
	}
	*i.under = true
	defer func() { *i.under = false }()
	for range rapid.IntRange(4, 14).Draw(f.t, "interruption") {
		f.fail()
		if f.processes[f.holder] == i.drawnProcess {
			f.take((f.holder + 1) % drawnProcesses)
		}
		f.wrap(i.under)
		f.step()
	}
}

func (i *interrupted) Get(ctx context.Context, key string) (object.Object, error) {
	i.interrupt()
	return i.drawnProcess.Get(ctx, key)
}

func (i *interrupted) Put(ctx context.Context, key string, ifVersion uint64, value any) (object.Object, error) {
	i.interrupt()
	return i.drawnProcess.Put(ctx, key, ifVersion, value)
}

// wrap lets the calls of all processes be interrupted. Only the holder's reports are sent.
func (f *drawnFleet) wrap(under *bool) {
	for _, p := range f.processes {
		if _, ok := p.reporter.c.Store.(*interrupted); ok {
			continue
		}
		p.reporter.c.Store = &interrupted{p, under}
		p.reporter.c.Held = func(fencing uint64) bool { return fencing == f.fencing }
		p.reporter.c.Send = func(ctx context.Context, fencing uint64, window int64, counts Counts) error {
			if fencing != f.fencing {
				return errLeaseLost
			}
			return f.report(ctx, fencing, window, counts)
		}
	}
}

// Guards against two reports of one window that differ when the lease changes hands and the store is restored while a
// call of the former holder is under way.
func TestReportsNeverDifferWhileCallsAreUnderWay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newDrawnFleet(t)
		under := false
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			f.fail()
			f.wrap(&under)
			f.step()
			if f.differed != "" {
				t.Fatal(f.differed)
			}
		}
	})
}

// Guards against windows that are settled again after a host of the version before held the lease and wrote the record
// without what is withheld.
func TestVersionBeforeKeepsWithheldWindows(t *testing.T) {
	s := newSuccessions()
	a := s.reporter(3)
	a.Step(t.Context(), 1)
	copied := s.o
	s.now = s.now.Add(windowLength + 2500*time.Millisecond)
	a.Step(t.Context(), 1)
	if s.reports[s.first] == "" {
		t.Fatal("the window was not reported")
	}
	s.restore(copied)
	s.holder = 2
	s.reporter(4).Step(t.Context(), 2)
	var fields map[string]any
	if err := json.Unmarshal(s.o.Value, &fields); err != nil {
		t.Fatal(err)
	}
	delete(fields, "WithheldThrough")
	raw, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	s.o = object.Object{Version: s.o.Version + 1, Value: raw}
	s.check(t)
}

// Guards against windows that are settled again after a holder's clock has jumped back further than the record reaches.
func TestClockThatJumpsBackSettlesNothingAgain(t *testing.T) {
	s := newSuccessions()
	reporter := s.reporter(3)
	for range 200 {
		reporter.Step(t.Context(), 1)
		s.now = s.now.Add(time.Second / 2)
	}
	s.now = time.Unix(1_000_000, 0).Add(windowLength + 2500*time.Millisecond)
	s.check(t)
}
