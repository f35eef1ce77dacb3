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

const length = 5 * time.Second

// world is a store and a platform whose answers can be lost.
type world struct {
	o        object.Object
	lose     bool
	down     bool
	reports  map[int64]string
	differed bool
	now      time.Time
}

func newWorld() *world { return &world{reports: make(map[int64]string), now: time.Unix(1_000_000, 0)} }

func (w *world) Get(context.Context, string) (object.Object, error) {
	switch {
	case w.down:
		return object.Object{}, object.ErrUnavailable
	case w.o.Version == object.Absent:
		return object.Object{}, object.ErrMissing
	}
	return w.o, nil
}

func (w *world) Put(_ context.Context, _ string, ifVersion uint64, value any) (object.Object, error) {
	if w.down {
		return object.Object{}, object.ErrUnavailable
	}
	if ifVersion != w.o.Version {
		return object.Object{}, object.ErrConflict
	}
	raw, err := json.Marshal(value)
	if err != nil {
		return object.Object{}, err
	}
	w.o = object.Object{Version: ifVersion + 1, Value: raw}
	if w.lose {
		return object.Object{}, object.ErrUnknown
	}
	return w.o, nil
}

func (w *world) report(_ context.Context, _ uint64, window int64, counts Counts) error {
	text := fmt.Sprint(counts)
	if old, ok := w.reports[window]; ok && old != text {
		w.differed = true
	}
	w.reports[window] = text
	if w.lose {
		return object.ErrUnknown
	}
	return nil
}

func (w *world) accountant(counted func() []DaemonCounts) *Reporter {
	return New(Config{
		Store: w, Now: func() time.Time { return w.now }, Window: length, ReportWithin: 9 * time.Second,
		SettleDelay: func() time.Duration { return 2 * time.Second }, DaemonCounts: counted,
		Organisations: func() []identifier.Organisation { return []identifier.Organisation{"desk"} },
		Send:        w.report, Logger: log.New(io.Discard),
	})
}

func (w *world) window() int64 { return w.now.UnixNano() / int64(length) }

func counted(source Source, window int64, n int) DaemonCounts {
	return DaemonCounts{Source: source, Windows: map[int64]Counts{window: {"desk": n}}}
}

// The holder sends a report, the answer is lost, and its successor has counted
// more meanwhile. Two reports of one window that differ make both worthless.
func TestSuccessorRepeatsTheReport(t *testing.T) {
	w := newWorld()
	window := w.window()
	n := 10
	list := func() []DaemonCounts { return []DaemonCounts{counted(1, window, n)} }
	w.now = w.now.Add(length + 3*time.Second)
	w.lose = true
	first := w.accountant(list)
	for w.reports[window] == "" {
		first.Step(t.Context(), 1)
	}
	n, w.lose = 12, false
	w.accountant(list).Step(t.Context(), 2)
	if w.differed || w.reports[window] != "map[desk:10]" {
		t.Errorf("reports %v, differed %v", w.reports, w.differed)
	}
}

// All daemons are killed in the middle of a window. What they counted is known to
// nobody any more but the store; the next processes' counts come on top of it.
func TestCountsSurviveTheEndOfAllDaemons(t *testing.T) {
	w := newWorld()
	window := w.window()
	w.accountant(func() []DaemonCounts { return []DaemonCounts{counted(1, window, 30), counted(2, window, 5)} }).Step(t.Context(), 1)
	w.now = w.now.Add(length + 3*time.Second)
	w.accountant(func() []DaemonCounts { return []DaemonCounts{counted(3, window, 7)} }).Step(t.Context(), 2)
	if w.reports[window] != "map[desk:42]" {
		t.Errorf("reported %s, want 42", w.reports[window])
	}
}

// Only the holder is killed: its successor has heard the same daemons, and more
// from them since. Nothing may count twice.
func TestCountsOfDaemonsThatLiveCountOnce(t *testing.T) {
	w := newWorld()
	window := w.window()
	w.accountant(func() []DaemonCounts { return []DaemonCounts{counted(1, window, 30), counted(2, window, 5)} }).Step(t.Context(), 1)
	w.now = w.now.Add(length + 3*time.Second)
	w.accountant(func() []DaemonCounts {
		return []DaemonCounts{counted(1, window, 30), counted(2, window, 9), counted(3, window, 1)}
	}).Step(t.Context(), 2)
	if w.reports[window] != "map[desk:40]" {
		t.Errorf("reported %s, want 40", w.reports[window])
	}
}

func TestWindowsWithoutRequestsAreReported(t *testing.T) {
	w := newWorld()
	window := w.window()
	w.now = w.now.Add(length + 3*time.Second)
	w.accountant(func() []DaemonCounts { return nil }).Step(t.Context(), 1)
	if w.reports[window] != "map[desk:0]" {
		t.Errorf("reports %v", w.reports)
	}
}

// Holders change and answers are lost at any moment; no window may ever be
// reported in two ways, and each is reported once the store answers.
func TestReportsNeverDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		start := w.window()
		counts := make(map[int64]int)
		list := func() []DaemonCounts {
			c := DaemonCounts{Source: 1, Windows: make(map[int64]Counts)}
			for window, n := range counts {
				c.Windows[window] = Counts{"desk": n}
			}
			return []DaemonCounts{c}
		}
		holder, fencing := w.accountant(list), uint64(1)
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			w.lose = rapid.IntRange(0, 3).Draw(t, "lose") == 0
			w.down = rapid.IntRange(0, 5).Draw(t, "down") == 0
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				holder, fencing = w.accountant(list), fencing+1
			}
			counts[w.window()] += rapid.IntRange(0, 3).Draw(t, "requests")
			holder.Step(context.Background(), fencing)
			w.now = w.now.Add(500 * time.Millisecond)
		}
		w.lose, w.down = false, false
		for range 10 {
			holder.Step(context.Background(), fencing)
			w.now = w.now.Add(500 * time.Millisecond)
		}
		if w.differed {
			t.Fatal("a window was reported in two ways")
		}
		if last := w.window() - 2; last >= start && w.reports[last] == "" {
			t.Fatalf("window %d was not reported", last)
		}
	})
}

func TestErrorsAreNotSwallowed(t *testing.T) {
	w := newWorld()
	w.down = true
	a := w.accountant(func() []DaemonCounts { return nil })
	if err := a.report(t.Context(), 1); !errors.Is(err, object.ErrUnavailable) {
		t.Errorf("error %v", err)
	}
}

// Another writer spoils the settled windows after some were sent. Reading them failed from
// then on, and no window was ever reported again. What was sent is not known any more, so
// the windows that have ended stay as they are, and the next one is reported.
func TestSpoiltRecordDoesNotEndAllReports(t *testing.T) {
	for name, value := range map[string]string{"text": `"gone"`, "bytes": "\x00\xff", "another type": `{"Windows":{"a":1}}`} {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			first := w.window()
			n := 10
			list := func() []DaemonCounts {
				out := DaemonCounts{Source: 1, Windows: make(map[int64]Counts)}
				for number := first; number <= w.window(); number++ {
					out.Windows[number] = Counts{"desk": n}
				}
				return []DaemonCounts{out}
			}
			w.now = w.now.Add(length + 3*time.Second)
			w.accountant(list).Step(t.Context(), 1)
			if w.reports[first] != "map[desk:10]" {
				t.Fatalf("reports %v", w.reports)
			}
			w.o = object.Object{Version: w.o.Version + 1, Value: []byte(value)}
			n = 12
			successor := w.accountant(list)
			for range 8 {
				successor.Step(t.Context(), 2)
				w.now = w.now.Add(length / 2)
			}
			if w.differed || w.reports[first+2] != "map[desk:12]" {
				t.Errorf("reports %v, differed %v", w.reports, w.differed)
			}
		})
	}
}
