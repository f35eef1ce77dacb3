// Package leaser holds the lease by which one controller leads a zone.
//
// # The lease
//
// The lease is one object on the platform. Its holder renews it by
// conditional update; whoever sees it unchanged for its whole duration, by
// its own monotonic clock, may take it over. No two clocks are compared. Each
// taking raises the fencing number, which never falls, as the object is never
// deleted.
//
// # A holder that was paused
//
// A lease may lapse while its holder is paused and still believes it leads.
// The holder's own time therefore runs from before its last renewal was sent,
// and ends a margin early; [Leaser.Held] is asked right before each order. An
// order may still be on its way when the lease lapses: engines that honour
// fencing refuse it once the successor has given one, and for those that do
// not the successor waits out [MaxOrderDelay] before its first order.
//
// # A lost answer
//
// A renewal whose answer is lost may or may not have taken effect. The holder
// does not count it; it reads back and goes on from what it finds.
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
	// MaxOrderDelay is the longest that an order is on its way, unless the
	// configuration says otherwise.
	MaxOrderDelay = 2 * time.Second
	// A lease is renewed every renewals-th of its duration, and its holder
	// stops believing in it one marginPart-th early.
	renewals   = 3
	marginPart = 5
)

// Store is the platform's object API.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, ifVersion uint64, value any) (object.Object, error)
}

// Config names the lease and its candidate.
type Config struct {
	Store    Store
	Zone     identifier.AvailabilityZone
	Host     identifier.Host
	Duration time.Duration
	// Key is the lease's object; that of the zone if empty.
	Key string
	// Now is a clock that does not stand still while the host is suspended, as
	// uptimer.Now; time.Now if nil.
	Now func() time.Time
	// MaxOrderDelay is how long a new holder waits for its predecessor's orders;
	// the constant of that name if zero.
	MaxOrderDelay time.Duration
	// HeldByOther tells that another candidate is known to hold the lease now: then
	// the store need not be asked. Nil if that is never known.
	HeldByOther func() bool
	// OnChange is told when leadership is won or lost; may be nil.
	OnChange func(fencing uint64, held bool)
	// OnUnreadable is told of a lease that no candidate has written; may be nil.
	OnUnreadable func(error)
}

// record is the lease as the platform holds it.
type record struct {
	Holder        identifier.Host
	FencingNumber uint64
	Duration      time.Duration
	// Renewal makes each write differ, so that a version shows a renewal.
	Renewal uint64
	// Released: the holder has stopped, and anyone may take the lease.
	Released bool `json:",omitempty"`
}

// Leaser is one candidate. It is safe for concurrent use.
type Leaser struct {
	c Config

	mu    sync.Mutex
	until time.Time
	ready time.Time
	held  record

	// seen is the version last observed, and since when.
	seen  uint64
	since time.Time
	// sure: seen is the version of the own last write.
	sure bool
}

// New returns a candidate that does not lead.
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
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Key == "" {
		c.Key = inventory.LeasePrefix + string(c.Zone)
	}
	return &Leaser{c: c}
}

// Held returns the fencing number if the lease is held right now.
func (l *Leaser) Held() (fencing uint64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held.FencingNumber, l.c.Now().Before(l.until)
}

// HeldFor is as Held, for orders to engines that ignore the fencing number:
// it holds only after orders of an earlier leader can no longer be on their
// way.
func (l *Leaser) HeldFor() (fencing uint64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.c.Now()
	return l.held.FencingNumber, now.Before(l.until) && now.After(l.ready)
}

// Confirmed tells whether the lease is held and its last renewal was acknowledged. A
// holder that can't renew any more should let the others prepare, who must see
// the lease unchanged for its whole duration.
func (l *Leaser) Confirmed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sure && l.c.Now().Before(l.until)
}

// Serve takes part until ctx ends.
func (l *Leaser) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		l.step(ctx)
		pause := l.c.Duration / renewals
		waiter.For(ctx, pause-pause/10+rand.N(pause/5+1))
	}
	return ctx.Err()
}

// Release gives up the lease, if it is held, so that a successor need not wait
// until it lapses. The candidate must not be served any more.
func (l *Leaser) Release(ctx context.Context) error {
	l.mu.Lock()
	r, version, held := l.held, l.seen, l.c.Now().Before(l.until)
	l.until = time.Time{}
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
	l.try(ctx)
	fencing, is := l.Held()
	if was != is {
		l.c.OnChange(fencing, is)
	}
}

// try reads the lease and renews or takes it, if it may. A holder whose last
// renewal was acknowledged knows the version, and renews without reading.
func (l *Leaser) try(ctx context.Context) {
	begun := l.c.Now()
	if l.Confirmed() {
		l.write(ctx, l.held, l.seen, begun, false)
		return
	}
	if l.c.HeldByOther() {
		return
	}
	r, version, err := l.read(ctx)
	if err != nil {
		return
	}
	if version != l.seen {
		l.seen, l.since = version, begun
	}
	own := r.Holder == l.c.Host && r.FencingNumber == l.held.FencingNumber && r.FencingNumber > 0
	// The holder's process was killed, and this is the next one on its host.
	again := r.Holder == l.c.Host && !own
	switch {
	case own:
		l.write(ctx, r, version, begun, false)
	case again || version == object.Absent || r.Released || begun.Sub(l.since) > max(r.Duration, l.c.Duration):
		r.FencingNumber++
		l.write(ctx, r, version, begun, true)
	}
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
		// Another writer has spoilt it. Were that an error, nobody would ever hold the
		// lease again. Nobody knows who holds it now, so it is left alone for its
		// duration; the revision is above every number given so far, as each took one.
		r = record{FencingNumber: o.Version}
		l.c.OnUnreadable(fmt.Errorf("lease, revision %d: %w", o.Version, err))
	}
	return r, o.Version, nil
}

// longest is how many times its own duration a candidate respects as another's.
const longest = 10

// decode reads a record that a candidate has written.
func (r *record) decode(value []byte, duration time.Duration) error {
	switch err := json.Unmarshal(value, r); {
	case err != nil:
		return err
	case r.Holder == "" || r.FencingNumber == 0:
		return errors.New("it has no holder or no fencing number")
	case r.Duration < 0 || r.Duration > longest*duration:
		return fmt.Errorf("found a duration of %v, 0 to %v is allowed", r.Duration, longest*duration)
	}
	return nil
}

func (l *Leaser) write(ctx context.Context, r record, version uint64, begun time.Time, taken bool) {
	r.Holder = l.c.Host
	r.Duration = l.c.Duration
	r.Renewal++
	r.Released = false
	o, err := l.c.Store.Put(ctx, l.c.Key, version, r)
	if errors.Is(err, object.ErrUnknown) && taken {
		// If the taking took effect, the next round finds this host as holder
		// with the number remembered here; the lease counts only from then.
		l.mu.Lock()
		l.held = r
		l.mu.Unlock()
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sure = err == nil
	if err != nil {
		return
	}
	l.seen, l.since = o.Version, begun
	l.until = begun.Add(l.c.Duration - l.c.Duration/marginPart)
	l.held = r
	if taken {
		l.ready = begun.Add(l.c.MaxOrderDelay)
	}
}
