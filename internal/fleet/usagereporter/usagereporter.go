// Package usagereporter reports usage: how many requests of each organisation began to run in
// each window of time.
//
// The lease holder of this duty may lose the lease between sending a report and receiving its
// acknowledgement. Its successor then sends the window again, and the two reports must not
// differ. So the counts of a window are settled in the store by a conditional write before they
// are first sent, and every lease holder sends the settled counts.
//
// The counts of an open window are known to all daemons and so survive the loss of any one of them.
// In case all daemons are killed at once, the lease holder also keeps their sums in the store, with
// the sources they include; a successor adds the counts that it has from other sources.
//
// A store that was restored from an older copy of itself has lost windows that were settled and may have
// been reported. The holder that settled them writes them again; any other one does not report
// the windows that have ended.
//
// # Usage
//
//	r := usagereporter.New(usagereporter.Config{...})
//	r.Step(ctx, fencing) // several times a second while the lease of the duty is held
package usagereporter

import (
	"cmp"
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

// Key is the key of the store's object with the settled windows.
const Key = "reports/usage"

const (
	// spareWindows is how many settled windows the object holds beyond those that may still be
	// reported.
	spareWindows = 3
	// saveInterval is how old the saved counts may be: a fifth of a window. The tolerance of a
	// report allows a quarter to be missing.
	saveInterval = time.Second
)

// Store holds the settled counts.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, ifVersion uint64, value any) (object.Object, error)
}

// Config holds the dependencies and time limits of a [Reporter].
type Config struct {
	Store Store
	// Now returns the estimated true time; Window is the length of a window.
	Now    func() time.Time
	Window time.Duration
	// ReportWithin is how long after its end a window may be reported; SettleDelay returns how
	// long counts of other daemons take to arrive.
	ReportWithin time.Duration
	SettleDelay  func() time.Duration
	// DaemonCounts returns the counts of each daemon as far as they are known.
	DaemonCounts func() []DaemonCounts
	// Organisations returns the organisations that every report lists, with or without
	// requests.
	Organisations func() []identifier.Organisation
	// Send reports the counts of one window to the platform.
	Send func(ctx context.Context, fencing uint64, window int64, counts Counts) error
	// Era returns the highest era that the store has stated; nil for a store that states none.
	Era func() uint64
	// FirstStart is set while the whole system starts for the first time, so that no window has been
	// settled.
	FirstStart bool
	Logger     *log.Logger
}

// Source identifies one incarnation of a daemon.
type Source uint64

// Counts holds numbers of requests by organisation.
type Counts map[identifier.Organisation]int

// DaemonCounts holds the counts of one daemon by window.
type DaemonCounts struct {
	Source  Source
	Windows map[int64]Counts
}

// window holds the counts of one window: final ones if it is settled, otherwise those so far.
type window struct {
	Window int64
	Counts Counts
}

// record is the stored object.
type record struct {
	Windows []window
	// Open holds the counts so far of windows that are not settled, counted by Sources.
	Open    []window
	Sources []Source
	// Era is the store's era in which the record was written.
	Era uint64 `json:",omitempty"`
}

func (r *record) find(number int64) *window {
	for i := range r.Windows {
		if r.Windows[i].Window == number {
			return &r.Windows[i]
		}
	}
	return nil
}

// Reporter settles and sends usage reports. It must be used by one goroutine only.
type Reporter struct {
	c       Config
	fencing uint64
	record  record
	version uint64
	loaded  bool
	// recordFencing is the fencing number under which record was last read or written.
	recordFencing uint64
	sent          map[int64]bool
	// inherited are the open windows that a predecessor stored, inheritedSources the daemons
	// that counted them.
	inherited        []window
	inheritedSources []Source
	savedAt          time.Time
}

// New returns a Reporter that has not sent any reports.
func New(c Config) *Reporter {
	if c.Era == nil {
		c.Era = func() uint64 { return 0 }
	}
	return &Reporter{c: c, sent: make(map[int64]bool)}
}

// Step settles and sends the windows that are due. A report that fails is sent again at the
// next step and does not delay the others.
func (r *Reporter) Step(ctx context.Context, fencing uint64) {
	if fencing != r.fencing {
		// Another lease holder may have settled windows in between.
		r.fencing, r.loaded = fencing, false
	}
	now := r.c.Now()
	newest := now.Add(-r.c.SettleDelay()).UnixNano()/int64(r.c.Window) - 1
	oldest := now.Add(-r.c.ReportWithin).UnixNano() / int64(r.c.Window)
	for window := oldest; window <= newest; window++ {
		if r.sent[window] {
			continue
		}
		if err := r.report(ctx, window); err != nil {
			r.c.Logger.Warn("usage report failed; retrying", "window", window, "fencing", fencing, "error", err)
		}
	}
	for window := range r.sent {
		if window < oldest-1 {
			delete(r.sent, window)
		}
	}
	r.save(ctx)
}

// save stores the counts of the open windows.
func (r *Reporter) save(ctx context.Context) {
	if time.Since(r.savedAt) < saveInterval {
		return
	}
	if !r.loaded {
		if err := r.read(ctx); err != nil {
			r.c.Logger.Warn("reading the settled usage windows failed", "error", err)
			return
		}
	}
	if err := r.write(ctx, r.record.Windows); err != nil {
		r.c.Logger.Warn("saving the open usage windows failed", "error", err)
	}
}

func (r *Reporter) report(ctx context.Context, number int64) error {
	w, err := r.settle(ctx, number)
	if err != nil {
		return err
	}
	if err := r.c.Send(ctx, r.fencing, number, w.Counts); err != nil {
		return err
	}
	r.sent[number] = true
	r.c.Logger.Info("usage reported", "window", number, "fencing", r.fencing, "counts", fmt.Sprint(w.Counts))
	return nil
}

// settle returns the final counts of a window, and stores them first if no lease holder has.
func (r *Reporter) settle(ctx context.Context, number int64) (*window, error) {
	if !r.loaded {
		if err := r.read(ctx); err != nil {
			return nil, err
		}
	}
	if w := r.record.find(number); w != nil {
		r.c.Logger.Info("usage window found settled", "window", number, "fencing", r.fencing, "revision", object.LogValue(r.version), "record_era", r.record.Era)
		return w, nil
	}
	next := append(slices.Clone(r.record.Windows), window{number, r.sum(number, r.c.DaemonCounts())})
	if kept := r.maxOpen() + spareWindows; len(next) > kept {
		next = next[len(next)-kept:]
	}
	if err := r.write(ctx, next); err != nil {
		return nil, fmt.Errorf("settle: %w", err)
	}
	r.c.Logger.Info("usage window settled", "window", number, "fencing", r.fencing, "revision", object.LogValue(r.version), "era", r.c.Era())
	return r.record.find(number), nil
}

// skipEnded marks the windows that have ended as sent, and returns the last one, after the stored record was found corrupt or
// lost. Their settled counts are lost and may have been reported, and a second report with other counts
// is worse than none. Without skipping them no later window would ever be reported.
func (r *Reporter) skipEnded() (last int64) {
	newest := r.c.Now().UnixNano() / int64(r.c.Window)
	for number := newest - int64(r.maxOpen()); number < newest; number++ {
		r.sent[number] = true
	}
	return newest - 1
}

// maxOpen is how many windows before the current one may still be open.
func (r *Reporter) maxOpen() int { return int(r.c.ReportWithin/r.c.Window) + 1 }

// write stores the settled windows and the counts of the open ones.
func (r *Reporter) write(ctx context.Context, windows []window) error {
	counted := r.c.DaemonCounts()
	next := record{Windows: windows, Sources: slices.Clone(r.inheritedSources), Era: r.c.Era()}
	newest := r.c.Now().UnixNano() / int64(r.c.Window)
	for number := newest - int64(r.maxOpen()); number <= newest; number++ {
		if (&record{Windows: windows}).find(number) == nil {
			next.Open = append(next.Open, window{number, r.sum(number, counted)})
		}
	}
	for _, c := range counted {
		if !slices.Contains(next.Sources, c.Source) {
			next.Sources = append(next.Sources, c.Source)
		}
	}
	o, err := r.c.Store.Put(ctx, Key, r.version, next)
	if err != nil {
		// The answer was lost or the write refused: read the record again before anything is
		// sent.
		r.loaded = false
		return err
	}
	r.record, r.version, r.savedAt, r.recordFencing = next, o.Version, time.Now(), r.fencing
	return nil
}

// sum adds up the counts of a window. For daemons included in the inherited counts it takes the
// larger of those and of the currently known counts; counts of other daemons are added.
func (r *Reporter) sum(number int64, counted []DaemonCounts) Counts {
	out, shared := make(Counts), make(Counts)
	for _, o := range r.c.Organisations() {
		out[o] = 0
	}
	for _, c := range counted {
		into := out
		if slices.Contains(r.inheritedSources, c.Source) {
			into = shared
		}
		for o, n := range c.Windows[number] {
			into[o] += n
		}
	}
	for _, w := range r.inherited {
		if w.Window == number {
			for o, n := range w.Counts {
				shared[o] = max(shared[o], n)
			}
		}
	}
	for o, n := range shared {
		out[o] += n
	}
	return out
}

func (r *Reporter) read(ctx context.Context) error {
	o, err := r.c.Store.Get(ctx, Key)
	missing := errors.Is(err, object.ErrMissing)
	if err != nil && !missing {
		return fmt.Errorf("read settled windows: %w", err)
	}
	var stored record
	if !missing {
		if err := json.Unmarshal(o.Value, &stored); err != nil {
			last := r.skipEnded()
			r.c.Logger.Error("settled usage windows are corrupt; windows that have ended will not be reported",
				"last_window", last, "fencing", r.fencing, "revision", object.LogValue(o.Version), "error", err)
			stored = record{Era: r.c.Era()}
		}
	}
	if stored.Era < r.c.Era() && (!missing || !r.c.FirstStart || r.recordFencing > 0) {
		r.recoverSettled(&stored, o.Version)
	}
	r.record, r.version, r.loaded, r.recordFencing = stored, o.Version, true, r.fencing
	if missing {
		return nil
	}
	r.inherited, r.inheritedSources = stored.Open, stored.Sources
	return nil
}

// recoverSettled adds to a record of an earlier era, or to a lost one, the windows that this holder has
// settled since. If another holder may have settled some, those that have ended are not reported.
func (r *Reporter) recoverSettled(stored *record, version uint64) {
	if r.recordFencing != r.fencing {
		last := r.skipEnded()
		r.c.Logger.Warn("the store lost settled usage windows; windows that have ended will not be reported",
			"last_window", last, "fencing", r.fencing, "revision", object.LogValue(version), "record_era", stored.Era, "era", r.c.Era())
		return
	}
	added := 0
	for _, w := range r.record.Windows {
		if stored.find(w.Window) == nil {
			stored.Windows = append(stored.Windows, w)
			added++
		}
	}
	slices.SortFunc(stored.Windows, func(a, b window) int { return cmp.Compare(a.Window, b.Window) })
	r.c.Logger.Info("settled usage windows added again after the store lost them", "windows", added, "revision", object.LogValue(version))
}
