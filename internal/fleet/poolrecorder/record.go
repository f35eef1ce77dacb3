package poolrecorder

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"
)

const (
	// maxRecordBytes exceeds the record of a dozen services in a dozen zones several times.
	maxRecordBytes = 128 << 10
	// maxNumber exceeds the endpoints of any pool.
	maxNumber = 1e6
	// neededChange is the relative change of a number of endpoints that is worth a call to the store.
	neededChange = 0.1
	// refreshAge is by how much the stored record may be older than the current one if nothing else
	// differs. A record older than maxAge is not inherited. Refreshing costs a call to the store each
	// 10 s under a steady load; the holder can't tell whether the copies of its notes have arrived.
	refreshAge = maxAge / 3
	// roundingError is the difference of two ages of one event that rounding explains.
	roundingError = 20 * time.Millisecond
)

// Record is what the sizing of all pools knows. Of two records the one with the higher fencing
// number is newer, then the one with the higher sequence.
type Record struct {
	Fencing  uint64
	Sequence uint64
	Pools    []Pool
	// AgeMilli is how old the ages were when the record was sent or stored, UnixMilli the
	// sender's estimate of the true time at that moment.
	AgeMilli  int64
	UnixMilli int64
	// At is the local time that the ages refer to.
	At time.Time `json:"-"`
}

// Pool is what is known of one service's endpoints.
type Pool struct {
	Service identifier.Service
	// Needed is the number of endpoints that the load needs, NeededAge the time since it was
	// observed.
	Needed    float64
	NeededAge Age
	// OnDemandNeeded is the same as it applies to on-demand endpoints.
	OnDemandNeeded    float64 `json:",omitempty"`
	OnDemandNeededAge Age     `json:",omitempty"`
	// Served is the number of endpoints that served lately, which the bound of growth follows.
	Served    float64
	ServedAge Age
	// PerRequest is the number of endpoints that one request per second needed before a loss,
	// LossAge the time since the last loss, LossReplaced is set once as many endpoints served as were
	// needed after it.
	PerRequest   float64 `json:",omitempty"`
	LossAge      Age     `json:",omitempty"`
	LossReplaced bool    `json:",omitempty"`
	// Correction is the factor by which the load needs more endpoints than the figures say, 0 if
	// not known, CorrectionAge the time since it changed.
	Correction    float64 `json:",omitempty"`
	CorrectionAge Age     `json:",omitempty"`
	Places        []ZonePool
}

// ZonePool is what is known of the endpoints of one class in one zone.
type ZonePool struct {
	Zone    identifier.AvailabilityZone
	Class   document.Class
	Ordered int
	Listed  int
	// The times since the last order, since a lower number is wanted, since the last refusal, and
	// since the endpoints were reclaimed.
	OrderedAge   Age `json:",omitempty"`
	LowerAge     Age `json:",omitempty"`
	RefusedAge   Age `json:",omitempty"`
	ReclaimedAge Age `json:",omitempty"`
}

// Age is the time since an event in milliseconds, at least 1; 0 means that there was none.
type Age int64

// AgeOf returns the age that an event has at a given time.
func AgeOf(event, now time.Time) Age {
	if event.IsZero() {
		return 0
	}
	return Age(max(now.Sub(event).Milliseconds(), 1))
}

// Time returns when an event was that had the given age at a time.
func (a Age) Time(at time.Time) time.Time {
	if a == 0 {
		return time.Time{}
	}
	return at.Add(-time.Duration(a) * time.Millisecond)
}

// newer reports whether r is newer than o, which may be nil.
func (r *Record) newer(o *Record) bool {
	if o == nil || r.Fencing != o.Fencing {
		return o == nil || r.Fencing > o.Fencing
	}
	return r.Sequence > o.Sequence
}

// encode returns the record as it is sent or stored, with the estimated true time.
func (r *Record) encode(now, trueTime time.Time) *Record {
	out := *r
	out.AgeMilli, out.UnixMilli = max(now.Sub(r.At).Milliseconds(), 0), trueTime.UnixMilli()
	return &out
}

// decode parses and validates a record whose ages were current at the given time, less AgeMilli.
func decode(raw []byte, at time.Time) (*Record, error) {
	if len(raw) > maxRecordBytes {
		return nil, fmt.Errorf("pool record: %d bytes", len(raw))
	}
	var r Record
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("pool record: %w", err)
	}
	if !r.valid() {
		return nil, errors.New("pool record: a number is out of its range")
	}
	r.At = at.Add(-time.Duration(r.AgeMilli) * time.Millisecond)
	return &r, nil
}

func (r *Record) valid() bool {
	ok := r.Fencing > 0 && validAge(Age(r.AgeMilli))
	for i := range r.Pools {
		p := &r.Pools[i]
		ok = ok && validNumber(p.Needed) && validNumber(p.OnDemandNeeded) && validNumber(p.Served) && validNumber(p.PerRequest) &&
			validAge(p.NeededAge) && validAge(p.OnDemandNeededAge) && validAge(p.ServedAge) && validAge(p.LossAge) &&
			validNumber(p.Correction) && validAge(p.CorrectionAge)
		for _, z := range p.Places {
			ok = ok && validNumber(float64(z.Ordered)) && validNumber(float64(z.Listed)) && validAge(z.OrderedAge) && validAge(z.LowerAge) &&
				validAge(z.RefusedAge) && validAge(z.ReclaimedAge)
		}
	}
	return ok
}

func validNumber(v float64) bool { return v >= 0 && v <= maxNumber }

// validAge reports whether an age can be one: a year is longer than any.
func validAge(a Age) bool { return a >= 0 && time.Duration(a) < 365*24*time.Hour/time.Millisecond }

// differs reports whether r differs from the stored record by more than the passing of time, or is
// so much newer that the stored one must be refreshed.
func (r *Record) differs(stored *Record) bool {
	if stored == nil || r.Fencing != stored.Fencing || len(r.Pools) != len(stored.Pools) || r.At.Sub(stored.At) >= refreshAge {
		return true
	}
	for i := range r.Pools {
		a, b := &r.Pools[i], &stored.Pools[i]
		if a.Service != b.Service || len(a.Places) != len(b.Places) || changed(a.Needed, b.Needed) ||
			changed(a.OnDemandNeeded, b.OnDemandNeeded) || changed(a.Served, b.Served) || a.Correction != b.Correction || a.LossReplaced != b.LossReplaced || !same(a.LossAge, b.LossAge, r, stored) {
			return true
		}
		for j := range a.Places {
			x, y := &a.Places[j], &b.Places[j]
			if x.Zone != y.Zone || x.Class != y.Class || x.Ordered != y.Ordered || !same(x.OrderedAge, y.OrderedAge, r, stored) ||
				!same(x.RefusedAge, y.RefusedAge, r, stored) || !same(x.ReclaimedAge, y.ReclaimedAge, r, stored) {
				return true
			}
		}
	}
	return false
}

// changed reports whether a number of endpoints has changed enough for a call to the store.
func changed(a, b float64) bool { return math.Abs(a-b) > neededChange*max(a, b) }

// same reports whether ages of two records are those of one event.
func same(a, b Age, r, o *Record) bool {
	if a == 0 || b == 0 {
		return a == b
	}
	return a.Time(r.At).Sub(b.Time(o.At)).Abs() <= roundingError
}
