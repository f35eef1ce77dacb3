package usagereporter

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"pgregory.net/rapid"

	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/object"
)

const (
	// drawnProcesses is the number of processes that may hold the lease.
	drawnProcesses = 4
	// drawnClockError is how far a process's estimate of the time may be off.
	drawnClockError = 300 * time.Millisecond
	drawnStep       = 500 * time.Millisecond
	// calmSteps is how long nothing fails at the end: four windows.
	calmSteps = 40
)

// drawnStore is a store that is restored to copies, loses answers and carries out calls late.
type drawnStore struct {
	t *rapid.T
	o object.Object
	// era is the era that the store states; each process has heard of one of its own.
	era               uint64
	down, loseAnswers bool
	copies            []object.Object
	// late is a write that has been sent and not carried out yet; nil for none.
	late *lateWrite
}

type lateWrite struct {
	revision uint64
	value    []byte
}

// put carries out a write if the object has a revision, in whichever era that was read.
func (s *drawnStore) put(revision uint64, value []byte) bool {
	if object.Revision(s.o.Version) != revision {
		return false
	}
	s.o = object.Object{Version: object.Join(s.era, revision+1), Value: value}
	s.copies = append(s.copies, s.o)
	return true
}

// restore sets the store back to one of its earlier states.
func (s *drawnStore) restore() {
	copied := s.copies[rapid.IntRange(0, len(s.copies)-1).Draw(s.t, "copy")]
	s.era++
	s.o = object.Object{}
	if copied.Version != object.Absent {
		s.o = object.Object{Version: object.Join(s.era, object.Revision(copied.Version)), Value: copied.Value}
	}
}

// drawnProcess is a process that may hold the lease, with the counts and the era that it has heard of.
type drawnProcess struct {
	f        *drawnFleet
	reporter *Reporter
	era      uint64
	offset   time.Duration
	source   Source
	counts   map[int64]int
}

func (p *drawnProcess) Get(context.Context, string) (object.Object, error) {
	s := p.f.store
	if s.down {
		return object.Object{}, object.ErrUnavailable
	}
	p.era = s.era
	if s.o.Version == object.Absent {
		return object.Object{}, object.ErrMissing
	}
	return s.o, nil
}

func (p *drawnProcess) Put(_ context.Context, _ string, ifVersion uint64, value any) (object.Object, error) {
	s := p.f.store
	switch {
	case s.down:
		return object.Object{}, object.ErrUnavailable
	case ifVersion != object.Absent && object.Era(ifVersion) != p.era:
		return object.Object{}, object.ErrConflict
	}
	raw, err := json.Marshal(value)
	if err != nil {
		return object.Object{}, err
	}
	if rapid.IntRange(0, 9).Draw(s.t, "late") == 0 {
		s.late = &lateWrite{object.Revision(ifVersion), raw}
		return object.Object{}, object.ErrUnknown
	}
	done := s.put(object.Revision(ifVersion), raw)
	if s.loseAnswers {
		return object.Object{}, object.ErrUnknown
	}
	p.era = s.era
	switch {
	case !done:
		return object.Object{}, object.ErrConflict
	case ifVersion != object.Absent && object.Era(ifVersion) != s.era:
		return object.Object{}, object.ErrUnknown
	}
	return s.o, nil
}

func (p *drawnProcess) daemonCounts() []DaemonCounts {
	c := DaemonCounts{Source: p.source, Windows: make(map[int64]Counts)}
	for window, n := range p.counts {
		c.Windows[window] = Counts{"desk": n}
	}
	return []DaemonCounts{c}
}

// drawnFleet is the processes, the store and the platform that keeps reports.
type drawnFleet struct {
	t           *rapid.T
	store       *drawnStore
	processes   []*drawnProcess
	holder      int
	fencing     uint64
	now         time.Time
	started     int
	requests    map[int64]int
	reports     map[int64]string
	loseReports bool
	differed    string
}

func newDrawnFleet(t *rapid.T) *drawnFleet {
	f := &drawnFleet{
		t: t, store: &drawnStore{t: t, era: 8, copies: []object.Object{{}}}, processes: make([]*drawnProcess, drawnProcesses), fencing: 1,
		now: time.Unix(1_000_000, 0), requests: make(map[int64]int), reports: make(map[int64]string),
	}
	for i := range f.processes {
		f.start(i)
	}
	return f
}

// start starts a process, or starts it again with nothing that it knew.
func (f *drawnFleet) start(i int) {
	f.started++
	p := &drawnProcess{f: f, source: Source(f.started), counts: make(map[int64]int)}
	p.offset = time.Duration(rapid.Int64Range(-int64(drawnClockError), int64(drawnClockError)).Draw(f.t, "offset"))
	p.reporter = New(Config{
		Store: p, Now: func() time.Time { return f.now.Add(p.offset) }, Window: windowLength, ReportWithin: 9500 * time.Millisecond,
		SettleDelay: func() time.Duration { return 1700 * time.Millisecond }, DaemonCounts: p.daemonCounts,
		Organisations: func() []identifier.Organisation { return []identifier.Organisation{"desk"} },
		Send:          f.report, Logger: log.New(io.Discard), Era: func() uint64 { return p.era }, FirstHolder: func() bool { return f.fencing == 1 },
	})
	f.processes[i] = p
}

func (f *drawnFleet) report(_ context.Context, fencing uint64, window int64, counts Counts) error {
	text := fmt.Sprint(counts)
	if old, ok := f.reports[window]; ok && old != text && f.differed == "" {
		f.differed = fmt.Sprintf("window %d as %s, and with number %d as %s", window, old, fencing, text)
	}
	f.reports[window] = text
	if f.loseReports {
		return object.ErrUnknown
	}
	return nil
}

func (f *drawnFleet) window() int64 { return f.now.UnixNano() / int64(windowLength) }

// take gives the lease to a process.
func (f *drawnFleet) take(i int) { f.holder, f.fencing = i, f.fencing+1 }

// fail draws what fails in one step.
func (f *drawnFleet) fail() {
	s := f.store
	s.down = rapid.IntRange(0, 5).Draw(f.t, "down") == 0
	s.loseAnswers = rapid.IntRange(0, 5).Draw(f.t, "lose answers") == 0
	f.loseReports = rapid.IntRange(0, 5).Draw(f.t, "lose reports") == 0
	if s.late != nil && rapid.Bool().Draw(f.t, "late write") {
		s.put(s.late.revision, s.late.value)
		s.late = nil
	}
	other := rapid.IntRange(0, drawnProcesses-1).Draw(f.t, "process")
	switch rapid.IntRange(0, 24).Draw(f.t, "fault") {
	case 0, 1:
		f.take(other)
	case 2, 3:
		f.start(other)
		if other == f.holder {
			f.take(rapid.IntRange(0, drawnProcesses-1).Draw(f.t, "successor"))
		}
	case 4, 5:
		s.restore()
	case 6:
		s.restore()
		f.start(f.holder)
		f.take(other)
	case 7:
		if s.o.Version != object.Absent {
			s.o = object.Object{Version: s.o.Version + 1, Value: []byte(`"spoilt"`)}
		}
	}
}

// step lets requests be counted, of which processes hear or not, and the holder do its duty.
func (f *drawnFleet) step() {
	f.requests[f.window()] += rapid.IntRange(0, 3).Draw(f.t, "requests")
	for _, p := range f.processes {
		if rapid.Bool().Draw(f.t, "heard") {
			p.counts[f.window()] = f.requests[f.window()]
			p.counts[f.window()-1] = f.requests[f.window()-1]
		}
		if !f.store.down && rapid.IntRange(0, 3).Draw(f.t, "watched") == 0 {
			p.era = f.store.era
		}
	}
	f.processes[f.holder].reporter.Step(context.Background(), f.fencing)
	f.now = f.now.Add(drawnStep)
}

// Guards against two reports of one window that differ, whatever the store loses and whoever holds the lease:
// holders change, come back and start again, writes are answered, lost or carried out late, the store is
// restored to copies of any age, and hosts' clocks differ. Each window is reported again once that ends.
func TestReportsNeverDifferAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newDrawnFleet(t)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			f.fail()
			f.step()
			if f.differed != "" {
				t.Fatal(f.differed)
			}
		}
		f.store.down, f.store.loseAnswers, f.loseReports = false, false, false
		for range calmSteps {
			f.step()
		}
		if f.differed != "" {
			t.Fatal(f.differed)
		}
		if last := f.window() - 2; f.reports[last] == "" {
			t.Fatalf("window %d was not reported", last)
		}
	})
}
