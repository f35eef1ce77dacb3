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
// # Usage
//
//	a := accountant.New(accountant.Config{...})
//	a.Step(ctx, fencing) // several times a second while the duty is held
package accountant

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/object"

	"github.com/charmbracelet/log"
)

// Key is the store's object with the settled windows.
const Key = "reports/usage"

const (
	// kept is how many settled windows the object holds: more than can still
	// be due.
	kept = 8
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
	// Due is how long after its end a window may be reported; Settle how long
	// counts of other daemons take to arrive.
	Due    time.Duration
	Settle time.Duration
	// Count returns what all daemons counted in a window.
	Count func(window int64) map[identifier.Organisation]int
	// Report sends a window's counts.
	Report func(ctx context.Context, fencing uint64, window int64, counts map[identifier.Organisation]int) error
	Logger *log.Logger
}

// settled is a window whose counts are final.
type settled struct {
	Window int64
	Counts map[identifier.Organisation]int
}

type record struct{ Windows []settled }

func (r *record) find(window int64) *settled {
	for i := range r.Windows {
		if r.Windows[i].Window == window {
			return &r.Windows[i]
		}
	}
	return nil
}

// Accountant reports. It is for one goroutine.
type Accountant struct {
	c       Config
	fencing uint64
	record  record
	version uint64
	known   bool
	sent    map[int64]bool
}

// New returns an accountant that has sent nothing.
func New(c Config) *Accountant { return &Accountant{c: c, sent: make(map[int64]bool)} }

// Step settles and sends the windows that are due. Each step ends with the
// first failure; what is left is for the next one.
func (a *Accountant) Step(ctx context.Context, fencing uint64) {
	if fencing != a.fencing {
		// Another holder may have settled windows in between.
		a.fencing, a.known = fencing, false
	}
	now := a.c.Now()
	newest := now.Add(-a.c.Settle).UnixNano()/int64(a.c.Window) - 1
	oldest := now.Add(-a.c.Due).UnixNano() / int64(a.c.Window)
	for window := oldest; window <= newest; window++ {
		if a.sent[window] {
			continue
		}
		if err := a.report(ctx, window); err != nil {
			a.c.Logger.Warn("usage not reported yet", "window", window, "fencing", fencing, "error", err)
			return
		}
	}
	for window := range a.sent {
		if window < oldest-1 {
			delete(a.sent, window)
		}
	}
}

func (a *Accountant) report(ctx context.Context, window int64) error {
	s, err := a.settle(ctx, window)
	if err != nil {
		return err
	}
	if err := a.c.Report(ctx, a.fencing, window, s.Counts); err != nil {
		return err
	}
	a.sent[window] = true
	a.c.Logger.Info("usage reported", "window", window, "fencing", a.fencing, "counts", fmt.Sprint(s.Counts))
	return nil
}

// settle returns a window's final counts.
func (a *Accountant) settle(ctx context.Context, window int64) (*settled, error) {
	if !a.known {
		if err := a.read(ctx); err != nil {
			return nil, err
		}
	}
	if s := a.record.find(window); s != nil {
		return s, nil
	}
	next := record{Windows: append(append([]settled(nil), a.record.Windows...), settled{window, a.c.Count(window)})}
	if len(next.Windows) > kept {
		next.Windows = next.Windows[len(next.Windows)-kept:]
	}
	o, err := a.c.Store.Put(ctx, Key, a.version, next)
	if err != nil {
		// Lost or refused: read again before anything is sent.
		a.known = false
		return nil, fmt.Errorf("settle: %w", err)
	}
	a.record, a.version = next, o.Version
	return a.record.find(window), nil
}

func (a *Accountant) read(ctx context.Context) error {
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
		return fmt.Errorf("read settled windows: %w", err)
	}
	a.record, a.version, a.known = r, o.Version, true
	return nil
}
