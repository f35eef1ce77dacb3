// Package accountant reports usage: how many requests of each organisation
// began to run in each window.
//
// # Two holders, one report
//
// The holder of the duty may lose it between sending a report and learning that
// it arrived; its successor then sends the window again, and the two must not
// differ. So a window's counts are settled in the store by a conditional write
// before they are first sent: whoever sends, sends what stands there.
//
// # When every daemon is killed
//
// The counts of an open window are known to all daemons, and so survive any one
// of them. In case all are killed at once, the holder also keeps their sums in
// the store, with the names of the daemons that they include: a successor adds
// those that it has heard itself and that are not among them.
//
// # Usage
//
//	a := accountant.New(accountant.Config{...})
//	a.Step(ctx, fencing) // several times a second while the duty is held
package usagereporter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/object"

	"github.com/charmbracelet/log"
)

// Key is the store's object with the settled windows.
const Key = "reports/usage"

const (
	// spare is how many settled windows the object holds beyond those that can
	// still be due.
	spare = 3
	// savePause is how old the saved counts may be: a fifth of a window, of
	// which the tolerance of a report allows to miss a quarter.
	savePause = time.Second
)

// Store holds the settled counts.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, ifVersion uint64, value any) (object.Object, error)
}

// Config names the accountant's collaborators.
type Config struct {
	Store Store
	// Now is the true time; Window the length of a window.
	Now    func() time.Time
	Window time.Duration
	// ReportWithin is how long after its end a window may be reported; Settle how long
	// counts of other daemons take to arrive.
	ReportWithin    time.Duration
	SettleDelay func() time.Duration
	// DaemonCounts returns what each daemon counted, as far as it is known.
	DaemonCounts func() []DaemonCounts
	// Organisations are those that a report names, counted or not.
	Organisations func() []identifier.Organisation
	// Send sends a window's counts.
	Send func(ctx context.Context, fencing uint64, window int64, counts Counts) error
	Logger *log.Logger
}

// Source names one incarnation of a daemon.
type Source uint64

// Counts are numbers of requests.
type Counts map[identifier.Organisation]int

// DaemonCounts is what one daemon counted, by window.
type DaemonCounts struct {
	Source  Source
	Windows map[int64]Counts
}

// window holds counts: final ones of a settled window, or those so far of an
// open one.
type window struct {
	Window int64
	Counts Counts
}

// record is the store's object.
type record struct {
	Windows []window
	// Open holds what was counted in windows that are not settled, by Sources.
	Open    []window
	Sources []Source
}

func (r *record) find(number int64) *window {
	for i := range r.Windows {
		if r.Windows[i].Window == number {
			return &r.Windows[i]
		}
	}
	return nil
}

// Reporter reports. It is for one goroutine.
type Reporter struct {
	c       Config
	fencing uint64
	record  record
	version uint64
	known   bool
	sent    map[int64]bool
	// inherited are open windows as a predecessor left them, and from whom.
	inherited []window
	from      []Source
	saved     time.Time
}

// New returns an accountant that has sent nothing.
func New(c Config) *Reporter { return &Reporter{c: c, sent: make(map[int64]bool)} }

// Step settles and sends the windows that are due. A report that fails is sent
// again with the next step, and does not hold up the others.
func (a *Reporter) Step(ctx context.Context, fencing uint64) {
	if fencing != a.fencing {
		// Another holder may have settled windows in between.
		a.fencing, a.known = fencing, false
	}
	now := a.c.Now()
	newest := now.Add(-a.c.SettleDelay()).UnixNano()/int64(a.c.Window) - 1
	oldest := now.Add(-a.c.ReportWithin).UnixNano() / int64(a.c.Window)
	for window := oldest; window <= newest; window++ {
		if a.sent[window] {
			continue
		}
		if err := a.report(ctx, window); err != nil {
			a.c.Logger.Warn("usage not reported yet", "window", window, "fencing", fencing, "error", err)
		}
	}
	for window := range a.sent {
		if window < oldest-1 {
			delete(a.sent, window)
		}
	}
	a.save(ctx)
}

// save keeps the open windows in the store.
func (a *Reporter) save(ctx context.Context) {
	if time.Since(a.saved) < savePause {
		return
	}
	if !a.known {
		if err := a.read(ctx); err != nil {
			a.c.Logger.Warn("settled windows not read", "error", err)
			return
		}
	}
	if err := a.write(ctx, a.record.Windows); err != nil {
		a.c.Logger.Warn("open windows not saved", "error", err)
	}
}

func (a *Reporter) report(ctx context.Context, number int64) error {
	w, err := a.settle(ctx, number)
	if err != nil {
		return err
	}
	if err := a.c.Send(ctx, a.fencing, number, w.Counts); err != nil {
		return err
	}
	a.sent[number] = true
	a.c.Logger.Info("usage reported", "window", number, "fencing", a.fencing, "counts", fmt.Sprint(w.Counts))
	return nil
}

// settle returns a window's final counts.
func (a *Reporter) settle(ctx context.Context, number int64) (*window, error) {
	if !a.known {
		if err := a.read(ctx); err != nil {
			return nil, err
		}
	}
	if w := a.record.find(number); w != nil {
		return w, nil
	}
	next := append(slices.Clone(a.record.Windows), window{number, a.sum(number, a.c.DaemonCounts())})
	if kept := a.open() + spare; len(next) > kept {
		next = next[len(next)-kept:]
	}
	if err := a.write(ctx, next); err != nil {
		return nil, fmt.Errorf("settle: %w", err)
	}
	return a.record.find(number), nil
}

// skip leaves out the windows that have ended. What was settled of them is lost, and may
// have been sent: a second report with other counts is worse than none, and without
// this all later windows would never be reported.
func (a *Reporter) skip() {
	newest := a.c.Now().UnixNano() / int64(a.c.Window)
	for number := newest - int64(a.open()); number < newest; number++ {
		a.sent[number] = true
	}
}

// open is how many windows before the present one may still be open.
func (a *Reporter) open() int { return int(a.c.ReportWithin/a.c.Window) + 1 }

// write stores settled windows and what is counted of open ones.
func (a *Reporter) write(ctx context.Context, windows []window) error {
	counted := a.c.DaemonCounts()
	next := record{Windows: windows, Sources: slices.Clone(a.from)}
	newest := a.c.Now().UnixNano() / int64(a.c.Window)
	for number := newest - int64(a.open()); number <= newest; number++ {
		if (&record{Windows: windows}).find(number) == nil {
			next.Open = append(next.Open, window{number, a.sum(number, counted)})
		}
	}
	for _, c := range counted {
		if !slices.Contains(next.Sources, c.Source) {
			next.Sources = append(next.Sources, c.Source)
		}
	}
	o, err := a.c.Store.Put(ctx, Key, a.version, next)
	if err != nil {
		// Lost or refused: read again before anything is sent.
		a.known = false
		return err
	}
	a.record, a.version, a.saved = next, o.Version, time.Now()
	return nil
}

// sum adds up a window: what was inherited, or what the same daemons are known
// to have counted if that is more, and what others counted.
func (a *Reporter) sum(number int64, counted []DaemonCounts) Counts {
	out, same := make(Counts), make(Counts)
	for _, o := range a.c.Organisations() {
		out[o] = 0
	}
	for _, c := range counted {
		into := out
		if slices.Contains(a.from, c.Source) {
			into = same
		}
		for o, n := range c.Windows[number] {
			into[o] += n
		}
	}
	for _, w := range a.inherited {
		if w.Window == number {
			for o, n := range w.Counts {
				same[o] = max(same[o], n)
			}
		}
	}
	for o, n := range same {
		out[o] += n
	}
	return out
}

func (a *Reporter) read(ctx context.Context) error {
	o, err := a.c.Store.Get(ctx, Key)
	if errors.Is(err, object.ErrMissing) {
		a.record, a.version, a.known = record{}, object.Absent, true
		return nil
	}
	if err != nil {
		return fmt.Errorf("read settled windows: %w", err)
	}
	var r record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		a.c.Logger.Error("settled windows spoilt by another writer, those that have ended are not reported", "revision", o.Version, "error", err)
		a.skip()
		r = record{}
	}
	a.record, a.version, a.known = r, o.Version, true
	a.inherited, a.from = r.Open, r.Sources
	return nil
}
