// Package leaser implements a lease that at most one candidate holds at a time: for the control of
// a zone, or for a duty of the whole fleet.
//
// The lease is one object in the platform's store. Its holder renews it by conditional update;
// a candidate that sees it unchanged for its whole duration, by the candidate's own monotonic
// clock, may take it over. Clocks of different hosts are never compared. Each takeover raises
// the fencing number, which never falls, as the object is never deleted.
//
// A lease may expire while its holder is paused, without the holder noticing. The holder's own
// expiry is therefore counted from before its last renewal was sent, and ends a margin early;
// [Leaser.Held] is called right before each order. An order may still be in flight when the lease
// expires: engines that honour fencing refuse it once they have had an order of the successor, and
// for engines that don't the successor sends none until [MaxOrderDelay] after the former holder's
// own expiry.
//
// A holder may announce the revision of its last acknowledged renewal. A candidate that hears of
// it counts the duration from when it first did, which is after that renewal, and reads the store
// only when the duration has passed. If the store still has that revision, the lease has expired.
//
// A store that was restored from an older copy of itself shows a lease that has been renewed, given up
// or taken over since, or none. The record names the era that it was written in, so that a candidate
// can tell. The last holder writes its lease again as long as it counts on it; any other candidate waits for
// the whole duration first, whatever the record says. As numbers given out since the copy are not known, those of
// an era begin above all that the eras before it can have reached.
//
// A renewal whose answer is lost may or may not have taken effect. The holder does not count on
// it; it reads the lease and continues from what it finds.
//
// # Usage
//
//	l := leaser.New(leaser.Config{Store: c, Zone: z, Host: h, Duration: 6 * time.Second})
//	go l.Serve(ctx)
//	if number, ok := l.Held(); ok { order(number) }
package leaser

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
)

const (
	// MaxOrderDelay is the longest time that an order is in flight, unless the configuration
	// states another.
	MaxOrderDelay = 2 * time.Second
	// A lease is renewed every 1/renewalsPerDuration of its duration, and its holder treats it
	// as expired 1/marginDivisor of the duration early.
	renewalsPerDuration = 3
	marginDivisor       = 5
	// takeoverSpread is the fraction of the duration over which candidates spread their takeovers.
	takeoverSpread = 30
	// eraNumbers is the number of fencing numbers of an era of the store, more than the holders that an era
	// can have in a month.
	eraNumbers = 1_000_000
)

// Store is the platform's object store.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, ifVersion uint64, value any) (object.Object, error)
}

// Config holds the settings of a lease and of one candidate for it.
type Config struct {
	Store    Store
	Zone     identifier.AvailabilityZone
	Host     identifier.Host
	Duration time.Duration
	// Key is the key of the lease's object; empty means the lease of Zone.
	Key string
	// Now returns the time of a clock that does not stop while the host is suspended, as
	// bootclock.Now; nil means time.Now.
	Now func() time.Time
	// MaxOrderDelay is how long a new holder waits for orders of its predecessor that are in
	// flight; 0 means the constant of that name.
	MaxOrderDelay time.Duration
	// HeldByOther reports whether another candidate is known to hold the lease now, so that the
	// store need not be read; nil if that is never known.
	HeldByOther func() bool
	// Heard returns the highest revision of the lease that a holder has announced, and when that was
	// first heard, by the clock of Now; 0 for none. Called with the lock held; must not call back.
	// May be nil.
	Heard func() (revision uint64, since time.Time)
	// Era returns the highest era that the store has stated; nil for a store that states none.
	Era func() uint64
	// FirstStart is set while the whole system starts for the first time, so that there was no lease.
	FirstStart bool
	// OnChange is called when the lease is gained or lost; may be nil.
	OnChange func(fencing uint64, held bool)
	// OnUnreadable is called for a lease that no candidate has written; may be nil.
	OnUnreadable func(error)
}

// record is the stored form of the lease.
type record struct {
	Holder        identifier.Host
	FencingNumber uint64
	Duration      time.Duration
	// Renewal makes each write differ, so that a renewal changes the object's version.
	Renewal uint64
	// Era is the store's era in which the record was written.
	Era uint64 `json:",omitempty"`
	// Released is set if the holder has given up the lease, so that any candidate may take it.
	Released bool `json:",omitempty"`
}

// Leaser is one candidate for a lease. It is safe for concurrent use.
type Leaser struct {
	c Config

	mu            sync.Mutex
	heldUntil     time.Time
	exclusiveFrom time.Time
	current       record

	// seenVersion is the version last observed, seenSince a time at which it had been written. seenEra is the
	// store's era then, which the version of an absent lease does not tell.
	seenVersion, seenEra uint64
	seenSince            time.Time
	// existed is set once the lease has been seen or written.
	existed bool
	// heldVersion is the version of this candidate's last acknowledged write.
	heldVersion uint64
	// confirmed is set if seenVersion is the version of this candidate's last write.
	confirmed bool
	// first is set if no candidate had the lease before this one took it.
	first bool
}

// New returns a candidate that does not hold the lease.
func New(c Config) *Leaser {
	if c.OnUnreadable == nil {
		c.OnUnreadable = func(error) {}
	}
	if c.OnChange == nil {
		c.OnChange = func(uint64, bool) {}
	}
	if c.MaxOrderDelay == 0 {
		c.MaxOrderDelay = MaxOrderDelay
	}
	if c.HeldByOther == nil {
		c.HeldByOther = func() bool { return false }
	}
	if c.Heard == nil {
		c.Heard = func() (uint64, time.Time) { return object.Absent, time.Time{} }
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Era == nil {
		c.Era = func() uint64 { return 0 }
	}
	if c.Key == "" {
		c.Key = inventory.LeasePrefix + string(c.Zone)
	}
	return &Leaser{c: c}
}

// Held returns the fencing number, and whether the lease is held right now.
func (l *Leaser) Held() (fencing uint64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current.FencingNumber, l.c.Now().Before(l.heldUntil)
}

// HeldExclusively is like [Leaser.Held], for orders to engines that ignore the fencing number: it
// reports true only once no order of an earlier holder can be in flight any more.
func (l *Leaser) HeldExclusively() (fencing uint64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.c.Now()
	return l.current.FencingNumber, now.Before(l.heldUntil) && now.After(l.exclusiveFrom)
}

// Confirmed reports whether the lease is held and its last renewal was acknowledged. A holder
// that can't renew any more should let the other candidates prepare, as they must first see the
// lease unchanged for its whole duration.
func (l *Leaser) Confirmed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmed && l.c.Now().Before(l.heldUntil)
}

// Revision returns the revision of the last acknowledged renewal while the lease is held, else 0.
func (l *Leaser) Revision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.c.Now().Before(l.heldUntil) {
		return object.Absent
	}
	return l.heldVersion
}

// FirstHolder reports whether no candidate had held the lease before this one last took it, so that no duty
// had been performed.
func (l *Leaser) FirstHolder() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.first
}

// Serve renews the lease or tries to take it until ctx ends.
func (l *Leaser) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		l.step(ctx)
		waiter.For(ctx, l.pause())
	}
	return ctx.Err()
}

// pause returns the time until the next step: that of a renewal, or less if the lease of another
// holder can expire before. The candidates differ by a little, so that usually one of them writes.
func (l *Leaser) pause() time.Duration {
	pause := l.c.Duration / renewalsPerDuration
	pause += rand.N(pause/5+1) - pause/10
	if _, held := l.Held(); held {
		return pause
	}
	l.mu.Lock()
	since, now := l.seenSince, l.c.Now()
	l.mu.Unlock()
	if revision, heardSince := l.c.Heard(); revision != object.Absent && heardSince.After(since) {
		since = heardSince
	}
	if left := since.Add(l.c.Duration).Sub(now); left >= 0 && left < pause {
		return left + 1 + rand.N(l.c.Duration/takeoverSpread)
	}
	return pause
}

// Release gives up the lease if it is held, so that a successor need not wait until it expires.
// Serve must have returned before.
func (l *Leaser) Release(ctx context.Context) error {
	l.mu.Lock()
	r, version, held := l.current, l.seenVersion, l.c.Now().Before(l.heldUntil)
	l.heldUntil = time.Time{}
	l.mu.Unlock()
	if !held {
		return nil
	}
	r.Renewal++
	r.Released = true
	if _, err := l.c.Store.Put(ctx, l.c.Key, version, r); err != nil {
		return fmt.Errorf("lease: release: %w", err)
	}
	return nil
}

func (l *Leaser) step(ctx context.Context) {
	_, was := l.Held()
	l.tryAcquire(ctx)
	fencing, is := l.Held()
	if was != is {
		l.c.OnChange(fencing, is)
	}
}

// tryAcquire reads the lease and renews it or takes it over if permitted. A holder whose last
// renewal was acknowledged has the version and renews without reading.
func (l *Leaser) tryAcquire(ctx context.Context) {
	start := l.c.Now()
	if l.Confirmed() {
		l.write(ctx, l.current, l.seenVersion, start, false)
		return
	}
	if l.c.HeldByOther() {
		return
	}
	r, version, err := l.read(ctx)
	if err != nil {
		return
	}
	l.observe(version)
	if l.isRestored(&r, version) {
		l.reacquire(ctx, r, version, start)
		return
	}
	own := r.Holder == l.c.Host && r.FencingNumber == l.current.FencingNumber && r.FencingNumber > 0
	// The holder's process was killed, and this is the next process on its host.
	restarted := r.Holder == l.c.Host && !own
	switch {
	case own:
		l.write(ctx, r, version, start, false)
	case restarted || version == object.Absent || r.Released:
		l.take(ctx, r, version, start, start.Add(l.c.MaxOrderDelay))
	case start.Sub(l.seenSince) > max(r.Duration, l.c.Duration):
		l.take(ctx, r, version, start, l.seenSince.Add(validity(max(r.Duration, l.c.Duration))+l.c.MaxOrderDelay))
	}
}

// isRestored reports whether the store shows an older copy of the lease, or lost it.
func (l *Leaser) isRestored(r *record, version uint64) bool {
	return !l.isFirst(version) && r.Era < l.c.Era()
}

// isFirst reports whether the lease is missing because no candidate has taken it yet.
func (l *Leaser) isFirst(version uint64) bool {
	heard, _ := l.c.Heard()
	return version == object.Absent && l.c.FirstStart && !l.existed && heard == object.Absent
}

// reacquire writes the lease again if this candidate still counts on it. Otherwise it takes it over
// once nobody else can count on it any more.
func (l *Leaser) reacquire(ctx context.Context, r record, version uint64, start time.Time) {
	l.mu.Lock()
	current, held := l.current, start.Before(l.heldUntil)
	if l.seenSince.IsZero() {
		l.seenSince = start
	}
	since := l.seenSince
	l.mu.Unlock()
	if held {
		l.write(ctx, current, version, start, false)
		return
	}
	if longest := max(r.Duration, l.c.Duration); start.Sub(since) > longest {
		l.take(ctx, r, version, start, since.Add(validity(longest)+l.c.MaxOrderDelay))
	}
}

// observe records the version that the store has. It was written before now, and before its
// holder announced it.
func (l *Leaser) observe(version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.existed = l.existed || version != object.Absent
	if era := l.c.Era(); version != l.seenVersion || era != l.seenEra {
		l.seenVersion, l.seenEra, l.seenSince = version, era, l.c.Now()
	}
	if revision, since := l.c.Heard(); revision != object.Absent && revision == version && since.Before(l.seenSince) {
		l.seenSince = since
	}
}

// validity returns how long a holder counts on a lease after the start of its last renewal.
func validity(duration time.Duration) time.Duration { return duration - duration/marginDivisor }

// take takes the lease over. Orders of the former holder may be in flight until exclusiveFrom.
func (l *Leaser) take(ctx context.Context, r record, version uint64, start, exclusiveFrom time.Time) {
	first := l.isFirst(version)
	l.mu.Lock()
	l.exclusiveFrom, l.first = exclusiveFrom, first
	l.mu.Unlock()
	r.FencingNumber = max(r.FencingNumber, l.current.FencingNumber, l.c.Era()*eraNumbers) + 1
	l.write(ctx, r, version, start, true)
}

func (l *Leaser) read(ctx context.Context) (record, uint64, error) {
	o, err := l.c.Store.Get(ctx, l.c.Key)
	if errors.Is(err, object.ErrMissing) {
		return record{}, object.Absent, nil
	}
	if err != nil {
		return record{}, 0, err
	}
	var r record
	if err := r.decode(o.Value, l.c.Duration); err != nil {
		// Another writer has corrupted the lease. If that were an error, no candidate would
		// ever hold it again. Its holder is not known, so it is left alone for its duration;
		// the object's revision is above all fencing numbers given so far in its era, as each
		// took a revision.
		r = record{FencingNumber: object.Era(o.Version)*eraNumbers + object.Revision(o.Version), Era: object.Era(o.Version)}
		l.c.OnUnreadable(fmt.Errorf("lease, revision %v: %w", object.LogValue(o.Version), err))
	}
	return r, o.Version, nil
}

// maxDurationFactor limits another candidate's lease duration to this multiple of the own one.
const maxDurationFactor = 10

// decode parses and validates a record written by a candidate with the given lease duration.
func (r *record) decode(value []byte, duration time.Duration) error {
	switch err := json.Unmarshal(value, r); {
	case err != nil:
		return err
	case r.Holder == "" || r.FencingNumber == 0:
		return errors.New("no holder or no fencing number")
	case r.Duration < 0 || r.Duration > maxDurationFactor*duration:
		return fmt.Errorf("duration %v is outside 0 to %v", r.Duration, maxDurationFactor*duration)
	}
	return nil
}

func (l *Leaser) write(ctx context.Context, r record, version uint64, start time.Time, taken bool) {
	r.Holder = l.c.Host
	r.Duration = l.c.Duration
	r.Renewal++
	r.Released = false
	r.Era = l.c.Era()
	o, err := l.c.Store.Put(ctx, l.c.Key, version, r)
	if errors.Is(err, object.ErrUnknown) && taken {
		// If the takeover took effect, the next step finds this host as holder with the number
		// remembered here; the lease counts as held only from then on.
		l.mu.Lock()
		l.current = r
		l.mu.Unlock()
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmed = err == nil
	if err != nil {
		return
	}
	l.seenVersion, l.seenEra, l.seenSince = o.Version, object.Era(o.Version), start
	l.heldVersion, l.existed = o.Version, true
	l.heldUntil = start.Add(validity(l.c.Duration))
	l.current = r
}
