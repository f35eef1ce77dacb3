package usagereporter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"pgregory.net/rapid"

	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/object"
)

const windowLength = 5 * time.Second

// fakePlatform is a store and a receiver of reports whose answers can be lost.
type fakePlatform struct {
	o           object.Object
	loseAnswers bool
	loseReports bool
	down        bool
	// refuseWrites makes the store answer writes that nothing was done.
	refuseWrites bool
	era          uint64
	reports      map[int64]string
	differed     bool
	now          time.Time
	// holders counts the reporters, each of which holds the lease after the one before.
	holders int
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{reports: make(map[int64]string), now: time.Unix(1_000_000, 0)}
}

func (p *fakePlatform) Get(context.Context, string) (object.Object, error) {
	switch {
	case p.down:
		return object.Object{}, object.ErrUnavailable
	case p.o.Version == object.Absent:
		return object.Object{}, object.ErrMissing
	}
	return p.o, nil
}

func (p *fakePlatform) Put(_ context.Context, _ string, ifVersion uint64, value any) (object.Object, error) {
	if p.down || p.refuseWrites {
		return object.Object{}, object.ErrUnavailable
	}
	if ifVersion != p.o.Version {
		return object.Object{}, object.ErrConflict
	}
	raw, err := json.Marshal(value)
	if err != nil {
		return object.Object{}, err
	}
	p.o = object.Object{Version: object.Join(p.era, object.Revision(ifVersion)+1), Value: raw}
	if p.loseAnswers {
		return object.Object{}, object.ErrUnknown
	}
	return p.o, nil
}

func (p *fakePlatform) report(_ context.Context, _ uint64, window int64, counts Counts) error {
	text := fmt.Sprint(counts)
	if old, ok := p.reports[window]; ok && old != text {
		p.differed = true
	}
	p.reports[window] = text
	if p.loseAnswers || p.loseReports {
		return object.ErrUnknown
	}
	return nil
}

func (p *fakePlatform) newReporter(counted func() []DaemonCounts) *Reporter {
	p.holders++
	first := p.holders == 1
	return New(Config{
		Store: p, Now: func() time.Time { return p.now }, Window: windowLength, ReportWithin: 9 * time.Second,
		SettleDelay: func() time.Duration { return 2 * time.Second }, DaemonCounts: counted,
		Organisations: func() []identifier.Organisation { return []identifier.Organisation{"desk"} },
		Send:          p.report, Logger: log.New(io.Discard), Era: func() uint64 { return p.era }, FirstHolder: func() bool { return first },
	})
}

// restore sets the store back to a copy, in the next era.
func (p *fakePlatform) restore(copied object.Object) {
	p.era++
	if copied.Version != object.Absent {
		copied.Version = object.Join(p.era, object.Revision(copied.Version))
	}
	p.o = copied
}

func (p *fakePlatform) window() int64 { return p.now.UnixNano() / int64(windowLength) }

func daemonCounts(source Source, window int64, n int) DaemonCounts {
	return DaemonCounts{Source: source, Windows: map[int64]Counts{window: {"desk": n}}}
}

// Guards against two reports of one window that differ, which make both worthless. The lease
// holder sends a report, the answer is lost, and its successor has counted more meanwhile.
func TestSuccessorRepeatsSameReport(t *testing.T) {
	p := newFakePlatform()
	window := p.window()
	n := 10
	list := func() []DaemonCounts { return []DaemonCounts{daemonCounts(1, window, n)} }
	p.now = p.now.Add(windowLength + 3*time.Second)
	p.loseAnswers = true
	first := p.newReporter(list)
	for p.reports[window] == "" {
		first.Step(t.Context(), 1)
	}
	n, p.loseAnswers = 12, false
	p.newReporter(list).Step(t.Context(), 2)
	if p.differed || p.reports[window] != "map[desk:10]" {
		t.Errorf("reports %v, differed %v", p.reports, p.differed)
	}
}

// Guards against losing the counts of a window in the middle of which all daemons are killed.
// Only the store still has them; the counts of the next processes are added to them.
func TestCountsSurviveRestartOfAllDaemons(t *testing.T) {
	p := newFakePlatform()
	window := p.window()
	p.newReporter(func() []DaemonCounts { return []DaemonCounts{daemonCounts(1, window, 30), daemonCounts(2, window, 5)} }).Step(t.Context(), 1)
	p.now = p.now.Add(windowLength + 3*time.Second)
	p.newReporter(func() []DaemonCounts { return []DaemonCounts{daemonCounts(3, window, 7)} }).Step(t.Context(), 2)
	if p.reports[window] != "map[desk:42]" {
		t.Errorf("reported %s, want 42", p.reports[window])
	}
}

// Guards against counting requests twice when only the lease holder is killed: its successor
// has received counts of the same daemons, and newer ones since.
func TestSurvivingDaemonsAreCountedOnce(t *testing.T) {
	p := newFakePlatform()
	window := p.window()
	p.newReporter(func() []DaemonCounts { return []DaemonCounts{daemonCounts(1, window, 30), daemonCounts(2, window, 5)} }).Step(t.Context(), 1)
	p.now = p.now.Add(windowLength + 3*time.Second)
	p.newReporter(func() []DaemonCounts {
		return []DaemonCounts{daemonCounts(1, window, 30), daemonCounts(2, window, 9), daemonCounts(3, window, 1)}
	}).Step(t.Context(), 2)
	if p.reports[window] != "map[desk:40]" {
		t.Errorf("reported %s, want 40", p.reports[window])
	}
}

func TestWindowsWithoutRequestsAreReported(t *testing.T) {
	p := newFakePlatform()
	window := p.window()
	p.now = p.now.Add(windowLength + 3*time.Second)
	p.newReporter(func() []DaemonCounts { return nil }).Step(t.Context(), 1)
	if p.reports[window] != "map[desk:0]" {
		t.Errorf("reports %v", p.reports)
	}
}

// Lease holders change and answers are lost at any time: no window may be reported with two
// different counts, and each is reported once the store answers.
func TestReportsNeverDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newFakePlatform()
		start := p.window()
		counts := make(map[int64]int)
		list := func() []DaemonCounts {
			c := DaemonCounts{Source: 1, Windows: make(map[int64]Counts)}
			for window, n := range counts {
				c.Windows[window] = Counts{"desk": n}
			}
			return []DaemonCounts{c}
		}
		holder, fencing := p.newReporter(list), uint64(1)
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			p.loseAnswers = rapid.IntRange(0, 3).Draw(t, "lose") == 0
			p.down = rapid.IntRange(0, 5).Draw(t, "down") == 0
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				holder, fencing = p.newReporter(list), fencing+1
			}
			counts[p.window()] += rapid.IntRange(0, 3).Draw(t, "requests")
			holder.Step(context.Background(), fencing)
			p.now = p.now.Add(500 * time.Millisecond)
		}
		p.loseAnswers, p.down = false, false
		for range 10 {
			holder.Step(context.Background(), fencing)
			p.now = p.now.Add(500 * time.Millisecond)
		}
		if p.differed {
			t.Fatal("a window was reported with two different counts")
		}
		if last := p.window() - 2; last >= start && p.reports[last] == "" {
			t.Fatalf("window %d was not reported", last)
		}
	})
}

func TestReportReturnsStoreErrors(t *testing.T) {
	p := newFakePlatform()
	p.down = true
	r := p.newReporter(func() []DaemonCounts { return nil })
	if err := r.report(t.Context(), 1); !errors.Is(err, object.ErrUnavailable) {
		t.Errorf("error %v", err)
	}
}

// Guards against a record that another writer corrupted after some windows were sent. Reading
// it failed from then on, and no window was ever reported again. Which windows were sent is not
// known any more, so those that have ended stay as they are, and the next one is reported.
func TestCorruptRecordDoesNotStopReports(t *testing.T) {
	for name, value := range map[string]string{"text": `"gone"`, "bytes": "\x00\xff", "another type": `{"Windows":{"a":1}}`} {
		t.Run(name, func(t *testing.T) {
			p := newFakePlatform()
			first := p.window()
			n := 10
			list := func() []DaemonCounts {
				out := DaemonCounts{Source: 1, Windows: make(map[int64]Counts)}
				for number := first; number <= p.window(); number++ {
					out.Windows[number] = Counts{"desk": n}
				}
				return []DaemonCounts{out}
			}
			p.now = p.now.Add(windowLength + 3*time.Second)
			p.newReporter(list).Step(t.Context(), 1)
			if p.reports[first] != "map[desk:10]" {
				t.Fatalf("reports %v", p.reports)
			}
			p.o = object.Object{Version: p.o.Version + 1, Value: []byte(value)}
			n = 12
			successor := p.newReporter(list)
			for range 8 {
				successor.Step(t.Context(), 2)
				p.now = p.now.Add(windowLength / 2)
			}
			if p.differed || p.reports[first+2] != "map[desk:12]" {
				t.Errorf("reports %v, differed %v", p.reports, p.differed)
			}
		})
	}
}

// Guards against a window that is reported twice with different counts because the store came back from
// a copy without the settled ones. The holder lives on, or another one takes over.
func TestRestoredStoreReportsNoWindowTwice(t *testing.T) {
	for _, successor := range []bool{false, true} {
		p := newFakePlatform()
		p.era = 1
		first := p.window()
		count := 3
		counted := func() []DaemonCounts {
			return []DaemonCounts{{Source: 1, Windows: map[int64]Counts{first: {"desk": count}, first + 1: {"desk": count}, first + 2: {"desk": count}}}}
		}
		r := p.newReporter(counted)
		p.now = p.now.Add(windowLength)
		r.Step(t.Context(), 1)
		copied := p.o
		p.now = p.now.Add(windowLength / 2)
		// The window is settled and received, and the answer is lost.
		p.loseReports = true
		r.Step(t.Context(), 1)
		p.loseReports = false
		if p.reports[first] == "" {
			t.Fatal("the window was not reported")
		}
		p.restore(copied)
		count++
		fencing := uint64(1)
		if successor {
			r, fencing = p.newReporter(counted), 2
		}
		for range 8 {
			r.Step(t.Context(), fencing)
			p.now = p.now.Add(windowLength / 4)
		}
		if p.differed {
			t.Errorf("successor %t: a window was reported twice with different counts", successor)
		}
		if p.reports[first+2] == "" && p.reports[first+1] == "" {
			t.Errorf("successor %t: nothing is reported after the restore: %v", successor, p.reports)
		}
	}
}

// newRestoredPlatform returns a platform that has the report of a window with three requests, and whose store came
// back from a copy from before. counted returns counts of n requests in that window.
func newRestoredPlatform(t *testing.T) (p *fakePlatform, counted func(n int) func() []DaemonCounts) {
	t.Helper()
	p = newFakePlatform()
	p.era = 1
	first := p.window()
	counted = func(n int) func() []DaemonCounts {
		return func() []DaemonCounts { return []DaemonCounts{daemonCounts(1, first, n)} }
	}
	holder := p.newReporter(counted(3))
	holder.Step(t.Context(), 1)
	copied := p.o
	p.now = p.now.Add(windowLength + 2500*time.Millisecond)
	holder.Step(t.Context(), 1)
	if p.reports[first] != "map[desk:3]" {
		t.Fatalf("reports %v", p.reports)
	}
	p.restore(copied)
	return p, counted
}

// Guards against a second report of the oldest window that is due: a successor that finds the store restored
// to before that window was settled reports it with its own counts.
func TestOldestWindowIsNotReportedAgainAfterRestore(t *testing.T) {
	p, counted := newRestoredPlatform(t)
	p.now = p.now.Add(4 * time.Second)
	p.newReporter(counted(4)).Step(t.Context(), 2)
	if p.differed {
		t.Error("the window was reported twice with different counts")
	}
}

// Guards against the same by the holder after that successor, to which the record shows no loss.
func TestLaterHolderKnowsOfLostWindows(t *testing.T) {
	p, counted := newRestoredPlatform(t)
	successor := p.newReporter(counted(3))
	p.refuseWrites = true
	successor.Step(t.Context(), 2)
	p.refuseWrites = false
	successor.Step(t.Context(), 2)
	p.newReporter(counted(4)).Step(t.Context(), 3)
	if p.differed {
		t.Error("the window was reported twice with different counts")
	}
}

// Guards against the same by a process of the first start, which takes the record that the store lost for one that
// was never written.
func TestLostRecordIsNoFirstStart(t *testing.T) {
	p := newFakePlatform()
	p.era = 1
	first := p.window()
	count := 3
	counted := func() []DaemonCounts { return []DaemonCounts{daemonCounts(1, first, count)} }
	copied := p.o
	p.now = p.now.Add(windowLength + 2500*time.Millisecond)
	p.newReporter(counted).Step(t.Context(), 1)
	if p.reports[first] == "" {
		t.Fatal("the window was not reported")
	}
	p.restore(copied)
	count++
	p.newReporter(counted).Step(t.Context(), 2)
	if p.differed {
		t.Error("the window was reported twice with different counts")
	}
}
