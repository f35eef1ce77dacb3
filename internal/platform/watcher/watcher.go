// Package watcher follows the platform's objects and survives its outages.
//
// # How it follows
//
// A [Watcher] lists everything once, then waits in a single watch over all
// prefixes; a waiting watch counts as a platform call, so each daemon keeps
// one and no more. After a gap it lists again. During an outage it retries
// with doubling, jittered pauses, so that a fleet does not return as a
// stampede when the platform heals.
//
// After a watch that brought something it rests a moment: when a whole zone is
// reclaimed, hundreds of objects change within seconds, and each would wake
// every daemon of the fleet for a call of its own. The first news is never
// held up, only what follows it.
//
// # Never backwards
//
// A read may be stale: the platform may answer a list from a copy that is
// behind what this daemon has already seen. The watcher remembers the version
// of each key and drops older ones, so that a sink never sees an object move
// back. A list that is behind the last revision seen does not remove keys.
//
// # Entries that lapse
//
// Objects that are kept alive by their owners lapse while the platform is away, and
// are back within two seconds of its return. A list that this daemon makes when the
// platform has just come back, or when it has not followed the platform itself for a
// while, ends nothing; a second one does, [settle] later. In between others may
// know which of the missing objects have really ended ([List]).
//
// # Usage
//
//	w := watcher.New(watcher.Config{Platform: c, Sink: s, Prefixes: p})
//	err := w.Serve(ctx) // under a supervisor
package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"brasschute/internal/core/waiter"
	"brasschute/internal/platform/object"
)

const (
	defaultWait = 20 * time.Second
	firstPause  = 100 * time.Millisecond
	longPause   = 2 * time.Second
	retainSeen  = 1 << 16
	// rest is the pause after a watch that brought something.
	rest = 500 * time.Millisecond
	// settle is how long after the platform's return lists may lack objects that
	// have not ended: two seconds, as published, and a margin.
	settle = 2300 * time.Millisecond
	// idlePause is how long an idle watcher may go on though it is needed.
	idlePause = 250 * time.Millisecond
)

// Platform is what the watcher needs of the platform's client.
type Platform interface {
	List(ctx context.Context, prefixes ...string) (object.Page, error)
	Watch(ctx context.Context, after uint64, wait time.Duration, prefixes ...string) (object.Page, error)
}

// Sink receives each object once per version. What one list or one watch brought
// comes in one call, the ends of objects included: half of a list taken for the
// whole would be passed on, or requests placed by it.
type Sink interface {
	Apply([]object.Object)
}

// Config names what to follow and who is told.
type Config struct {
	Platform Platform
	Sink     Sink
	Prefixes []string
	// Wait is the longest that one watch stays open; 20 s if zero.
	Wait time.Duration
	// Known returns the keys, with their versions, that were learned from others
	// than the platform; may be nil. A list ends those of them that it does not
	// show and that are not newer.
	Known func() map[string]uint64
	// OnList is told of each list before its objects are applied; may be nil.
	OnList func(List)
	// Idle tells that others follow the objects for this daemon, and no call
	// need be made; nil for never.
	Idle func() bool
	// OnResult is told of each success (nil) and failure; may be nil.
	OnResult func(error)
	// OnUnreadable is told of entries that could not be read; may be nil.
	OnUnreadable func([]error)
}

// List describes a list that was made.
type List struct {
	Revision uint64
	// Gap: the platform was not followed right before, so changes have gone unseen.
	Gap bool
	// Uncertain: objects were missing that may have ended, or lapsed.
	Uncertain bool
}

// Watcher follows a set of prefixes.
type Watcher struct {
	c     Config
	after uint64
	seen  map[string]uint64
	// away: the last call failed, or the platform has not been followed. trusted is
	// from when on a list ends what it lacks, relist when the next one is due, if
	// it is.
	away    bool
	trusted time.Time
	relist  time.Time
}

// New returns a watcher that has seen nothing.
func New(c Config) *Watcher {
	if c.Wait == 0 {
		c.Wait = defaultWait
	}
	if c.Idle == nil {
		c.Idle = func() bool { return false }
	}
	if c.Known == nil {
		c.Known = func() map[string]uint64 { return nil }
	}
	if c.OnResult == nil {
		c.OnResult = func(error) {}
	}
	if c.OnUnreadable == nil {
		c.OnUnreadable = func([]error) {}
	}
	if c.OnList == nil {
		c.OnList = func(List) {}
	}
	return &Watcher{c: c, seen: make(map[string]uint64), away: true}
}

// Serve follows until ctx ends.
func (w *Watcher) Serve(ctx context.Context) error {
	pause := firstPause
	listed := false
	for ctx.Err() == nil {
		if listed && w.c.Idle() {
			listed = w.idle(ctx)
			continue
		}
		err := w.step(ctx, &listed)
		if ctx.Err() != nil {
			break
		}
		w.c.OnResult(err)
		w.away = w.away || err != nil
		if err == nil {
			pause = firstPause
			continue
		}
		waiter.For(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, longPause)
	}
	return ctx.Err()
}

// idle waits until the objects are to be followed again. What changed meanwhile
// takes a list.
func (w *Watcher) idle(ctx context.Context) (listed bool) {
	for w.c.Idle() && waiter.For(ctx, idlePause) {
	}
	w.away = true
	return false
}

// heard notes that a call succeeded.
func (w *Watcher) heard() {
	if w.away {
		w.away = false
		w.trusted = time.Now().Add(settle)
	}
}

func (w *Watcher) step(ctx context.Context, listed *bool) error {
	wait := w.c.Wait
	if !w.relist.IsZero() {
		wait = min(wait, time.Until(w.relist))
	}
	if !*listed || wait <= 0 {
		if err := w.list(ctx); err != nil {
			return err
		}
		*listed = true
		return nil
	}
	p, err := w.c.Platform.Watch(ctx, w.after, wait, w.c.Prefixes...)
	if errors.Is(err, object.ErrGap) {
		*listed = false
		return nil
	}
	if err != nil {
		return err
	}
	w.heard()
	w.unreadable(&p)
	w.apply(w.news(p.Objects))
	w.after = max(w.after, p.Revision)
	if len(p.Objects) > 0 {
		waiter.For(ctx, rest/2+rand.N(rest/2))
	}
	return nil
}

func (w *Watcher) list(ctx context.Context) error {
	p, err := w.c.Platform.List(ctx, w.c.Prefixes...)
	if err != nil {
		return err
	}
	gap := w.away
	w.heard()
	w.unreadable(&p)
	due := !w.relist.IsZero()
	w.relist = time.Time{}
	known := w.c.Known()
	news := w.news(p.Objects)
	var ends []object.Object
	if p.Revision >= w.after {
		ends = w.vanished(&p, known)
	}
	stale := p.Revision < w.after
	doubt := len(ends) > 0 && time.Now().Before(w.trusted)
	if !doubt {
		news = append(news, w.news(ends)...)
	}
	w.c.OnList(List{Revision: p.Revision, Gap: gap, Uncertain: doubt})
	w.apply(news)
	w.after = max(w.after, p.Revision)
	switch {
	case doubt:
		w.relist = w.trusted
	case due && stale:
		// A stale list ends nothing, and the ends are still due.
		w.relist = time.Now().Add(firstPause)
	}
	return nil
}

// unreadable passes on what could not be read of a page.
func (w *Watcher) unreadable(p *object.Page) {
	if len(p.Unreadable) > 0 {
		w.c.OnUnreadable(p.Unreadable)
	}
}

// apply tells the sink if there is news.
func (w *Watcher) apply(news []object.Object) {
	if len(news) > 0 {
		w.c.Sink.Apply(news)
	}
}

// vanished returns the ends of objects that a list lacks: those seen here, and those
// that others told of and that are not newer.
func (w *Watcher) vanished(p *object.Page, known map[string]uint64) (ends []object.Object) {
	present := make(map[string]bool, len(p.Objects))
	for i := range p.Objects {
		present[p.Objects[i].Key] = true
	}
	for key, version := range known {
		if !present[key] && version <= p.Revision && w.seen[key] == 0 {
			ends = append(ends, object.Object{Key: key, Version: p.Revision, Deleted: true})
		}
	}
	for key, version := range w.seen {
		if !present[key] {
			ends = append(ends, object.Object{Key: key, Version: max(version, p.Revision), Deleted: true})
		}
	}
	return ends
}

// news returns the objects that are newer than what was seen of them.
func (w *Watcher) news(objects []object.Object) (news []object.Object) {
	for i := range objects {
		o := objects[i]
		if seen := w.seen[o.Key]; o.Version < seen || o.Version == seen && !o.Deleted {
			continue
		}
		if o.Deleted {
			delete(w.seen, o.Key)
		} else if len(w.seen) < retainSeen {
			w.seen[o.Key] = o.Version
		}
		news = append(news, o)
	}
	return news
}
