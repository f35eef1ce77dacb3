package usagereporter

import (
	"encoding/json"
	"errors"
	"slices"

	"brasschute/internal/platform/object"
)

// spareWindows is how many settled windows the record holds beyond those that may still be reported.
const spareWindows = 3

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
	// Era is the store's era in which the record that this one replaces was read.
	Era uint64 `json:",omitempty"`
	// WithheldThrough is the last window that may have been reported with counts that the store has lost.
	// Neither it nor any before it is settled; 0 means none. Holders of the previous version drop it.
	WithheldThrough int64
}

// notStated is WithheldThrough of a record that a holder of the previous version has written.
const notStated = -1

// errNoOpenWindows is the error of a record that no holder has written: the current window is always open.
var errNoOpenWindows = errors.New("no open windows")

// decode parses a stored object; an absent one is an empty record.
func (r *record) decode(o object.Object) error {
	if o.Version == object.Absent {
		return nil
	}
	r.WithheldThrough = notStated
	if err := json.Unmarshal(o.Value, r); err != nil {
		return err
	}
	if len(r.Open) == 0 {
		return errNoOpenWindows
	}
	return nil
}

// find returns a settled window, or nil.
func (r *record) find(number int64) *window {
	for i := range r.Windows {
		if r.Windows[i].Window == number {
			return &r.Windows[i]
		}
	}
	return nil
}

// withholds reports whether a window must not be reported, as counts of it that the store has lost may have been.
func (r *record) withholds(number int64) bool {
	return number <= r.WithheldThrough && r.find(number) == nil
}

// settle adds a settled window, of which the last ones are kept. Those that are not kept are withheld: a clock that
// jumps back would settle them again.
func (r *record) settle(w window, kept int) {
	r.Windows = append(slices.Clone(r.Windows), w)
	for len(r.Windows) > kept {
		r.WithheldThrough = max(r.WithheldThrough, r.Windows[0].Window)
		r.Windows = r.Windows[1:]
	}
}
