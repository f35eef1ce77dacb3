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
// been reported, and so has a record that another writer corrupted. The holder that settled them writes them
// again. Any other one withholds the windows that have ended: it raises WithheldThrough in the record, so that
// the knowledge does not end with the process that has it. The invariant is that of each window that may have been
// reported, a record of the store's present era has those counts, or withholds it. So the counts of a window
// are summed only if the record, read in the present era, neither has nor withholds it, and sent only once it has them.
//
// # Usage
//
//	r := usagereporter.New(usagereporter.Config{...})
//	r.Step(ctx, fencing) // several times a second while the lease of the duty is held
package usagereporter

import (
	"context"
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

// saveInterval is how old the saved counts may be: a fifth of a window. The tolerance of a
// report allows a quarter to be missing.
const saveInterval = time.Second

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
	// Held reports whether the lease is still held under a fencing number; nil if it always is.
	Held func(fencing uint64) bool
	// FirstHolder reports whether nobody held the lease before this holder, so that no window can have been settled
	// when it finds no record; nil if that is never known.
	FirstHolder func() bool
	// OnWithheld is called for each window that is withheld; may be nil.
	OnWithheld func()
	Logger     *log.Logger
}

// errNotHeld is returned when the lease ended while a call was under way.
var errNotHeld = errors.New("lease no longer held")

// Source identifies one incarnation of a daemon.
type Source uint64

// Counts holds numbers of requests by organisation.
type Counts map[identifier.Organisation]int

// DaemonCounts holds the counts of one daemon by window.
type DaemonCounts struct {
	Source  Source
	Windows map[int64]Counts
}

// Reporter settles and sends usage reports. It must be used by one goroutine only.
type Reporter struct {
	c       Config
	fencing uint64
	record  record
	version uint64
	loaded  bool
	// era is the store's era in which record was last read.
	era uint64
	// recordFencing is the fencing number under which record was last read or written.
	recordFencing uint64
	// done are the windows that need nothing more: they have been sent, or are withheld.
	done map[int64]bool
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
	if c.Held == nil {
		c.Held = func(uint64) bool { return true }
	}
	if c.FirstHolder == nil {
		c.FirstHolder = func() bool { return false }
	}
	if c.OnWithheld == nil {
		c.OnWithheld = func() {}
	}
	return &Reporter{c: c, done: make(map[int64]bool)}
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
		if r.done[window] {
			continue
		}
		if err := r.report(ctx, window); err != nil {
			r.c.Logger.Warn("usage report failed; retrying", "window", window, "fencing", fencing, "error", err)
		}
	}
	for window := range r.done {
		if window < oldest-1 {
			delete(r.done, window)
		}
	}
	r.save(ctx)
}

// save stores the counts of the open windows.
func (r *Reporter) save(ctx context.Context) {
	if time.Since(r.savedAt) < saveInterval {
		return
	}
	if err := r.load(ctx); err != nil {
		r.c.Logger.Warn("reading the settled usage windows failed", "error", err)
		return
	}
	if err := r.write(ctx, r.record); err != nil {
		r.c.Logger.Warn("saving the open usage windows failed", "error", err)
	}
}

// report sends the final counts of a window, unless the record withholds it.
func (r *Reporter) report(ctx context.Context, number int64) error {
	if err := r.load(ctx); err != nil {
		return err
	}
	if r.record.withholds(number) {
		r.done[number] = true
		r.c.OnWithheld()
		r.c.Logger.Warn("usage window withheld", "window", number, "fencing", r.fencing,
			"revision", object.LogValue(r.version), "last_window", r.record.WithheldThrough)
		return nil
	}
	w, err := r.settle(ctx, number)
	if err != nil {
		return err
	}
	if err := r.c.Send(ctx, r.fencing, number, w.Counts); err != nil {
		return err
	}
	r.done[number] = true
	r.c.Logger.Info("usage reported", "window", number, "fencing", r.fencing, "counts", fmt.Sprint(w.Counts))
	return nil
}

// settle returns the final counts of a window, and stores them first if no lease holder has. The record has been
// loaded and does not withhold the window.
func (r *Reporter) settle(ctx context.Context, number int64) (*window, error) {
	if w := r.record.find(number); w != nil {
		r.c.Logger.Info("usage window found settled", "window", number, "fencing", r.fencing, "revision", object.LogValue(r.version), "record_era", r.record.Era)
		return w, nil
	}
	next := r.record
	next.settle(window{number, r.sum(number, r.c.DaemonCounts())}, r.maxOpen()+spareWindows)
	if err := r.write(ctx, next); err != nil {
		return nil, fmt.Errorf("settle: %w", err)
	}
	r.c.Logger.Info("usage window settled", "window", number, "fencing", r.fencing, "revision", object.LogValue(r.version), "era", r.era)
	return r.record.find(number), nil
}

// maxOpen is how many windows before the current one may still be open.
func (r *Reporter) maxOpen() int { return int(r.c.ReportWithin/r.c.Window) + 1 }

// write stores the settled and the withheld windows of a record, and the counts of the open ones.
func (r *Reporter) write(ctx context.Context, next record) error {
	counted := r.c.DaemonCounts()
	next.Era, next.Open, next.Sources = r.era, nil, slices.Clone(r.inheritedSources)
	newest := r.c.Now().UnixNano() / int64(r.c.Window)
	for number := newest - int64(r.maxOpen()); number <= newest; number++ {
		if next.find(number) == nil {
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

// load reads the record unless this holder has read or written it in the present era and no call has failed since.
func (r *Reporter) load(ctx context.Context) error {
	if r.loaded && r.era == r.c.Era() {
		return nil
	}
	return r.read(ctx)
}

func (r *Reporter) read(ctx context.Context) error {
	o, err := r.c.Store.Get(ctx, Key)
	missing := errors.Is(err, object.ErrMissing)
	if err != nil && !missing {
		return fmt.Errorf("read settled windows: %w", err)
	}
	if !r.c.Held(r.fencing) {
		// A successor may have settled windows since, and the store may have lost them again.
		return fmt.Errorf("read settled windows: %w", errNotHeld)
	}
	era := r.c.Era()
	var stored record
	if err := stored.decode(o); err != nil {
		r.c.Logger.Error("settled usage windows are corrupt", "fencing", r.fencing, "revision", object.LogValue(o.Version), "error", err)
		stored = r.recovered(&record{}, o.Version)
	} else if missing && !r.isFirstRecord() || !missing && stored.Era < era {
		stored = r.recovered(&stored, o.Version)
	} else if stored.WithheldThrough == notStated {
		stored.WithheldThrough = r.lastEnded()
		r.c.Logger.Warn("settled usage windows of the previous version; others that have ended will not be reported",
			"last_window", stored.WithheldThrough, "fencing", r.fencing, "revision", object.LogValue(o.Version))
	}
	r.record, r.version, r.era, r.loaded, r.recordFencing = stored, o.Version, era, true, r.fencing
	if !missing {
		r.inherited, r.inheritedSources = stored.Open, stored.Sources
	}
	return nil
}

// isFirstRecord reports whether the record is missing because nobody has written one yet.
func (r *Reporter) isFirstRecord() bool { return r.recordFencing == 0 && r.c.FirstHolder() }

// recovered returns what holds in place of a record of an earlier era, or a corrupt or lost one. The holder under
// whose lease all has been settled since it read the record has the windows; any other one withholds those that
// may have been settled. Whether the windows of the stored record were reported as they are there is not known
// either: a write that was given up may have been carried out late.
func (r *Reporter) recovered(stored *record, version uint64) record {
	out := *stored
	out.WithheldThrough = max(stored.WithheldThrough, r.record.WithheldThrough)
	if r.recordFencing == r.fencing {
		out.Windows = r.record.Windows
		r.c.Logger.Info("settled usage windows added again after the store lost them", "windows", len(out.Windows),
			"fencing", r.fencing, "revision", object.LogValue(version), "record_era", stored.Era, "era", r.c.Era())
		return out
	}
	out.Windows = nil
	out.WithheldThrough = max(out.WithheldThrough, r.lastEnded())
	r.c.Logger.Warn("the store lost settled usage windows; windows that have ended will not be reported",
		"last_window", out.WithheldThrough, "fencing", r.fencing, "revision", object.LogValue(version), "record_era", stored.Era, "era", r.c.Era())
	return out
}

// lastEnded returns the last window that may have been settled: it has ended. Another host's clock may be ahead, but by less
// than the time after which a window is settled.
func (r *Reporter) lastEnded() int64 { return r.c.Now().UnixNano()/int64(r.c.Window) - 1 }
