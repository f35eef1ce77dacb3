// Package watcher mirrors the platform's objects into a sink, through outages of the
// platform.
//
// A [Watcher] lists all objects once, then watches all prefixes with a single call. A
// waiting watch counts as a platform call, so each daemon keeps only one. After a gap
// the watcher lists again. During an outage it retries with exponential, jittered
// backoff, so that the fleet's daemons do not all return at once when the platform
// recovers.
//
// After a watch that returned changes the watcher pauses briefly: if a whole zone is
// reclaimed, hundreds of objects change within seconds, and each change would otherwise
// cause a call from every daemon of the fleet. The first change is never delayed, only
// those that follow it.
//
// A read may be stale: the platform may answer a list from a replica that is behind
// what this daemon has already seen. The watcher keeps the version of each key and
// drops older ones, so that an object never goes back to an earlier version in the sink. A
// list that is behind the last revision seen does not remove keys.
//
// A store that comes back from an older copy of itself is in a later era ([object.Join]). Its first
// list there has what was written before the copy was taken, and what has been written again since, so
// it ends nothing either.
//
// Objects that their owners must renew lapse while the platform is unavailable, and
// are back within two seconds of its return. The first list after an outage, or after a
// time in which this daemon did not follow the platform, therefore removes nothing; a
// second list, made after lapseGrace, does. In the meantime peers may know which of the
// missing objects have really ended ([List]).
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
	defaultWatchTimeout = 20 * time.Second
	minBackoff          = 100 * time.Millisecond
	maxBackoff          = 2 * time.Second
	maxSeenKeys         = 1 << 16
	// watchCooldown is the longest pause after a watch that returned changes.
	watchCooldown = 500 * time.Millisecond
	// lapseGrace is how long after the platform's return a list may lack objects that
	// have not ended: the two seconds that the platform documents, and a margin.
	lapseGrace = 2300 * time.Millisecond
	// idlePollInterval is how often an idle watcher checks whether it is needed again.
	idlePollInterval = 250 * time.Millisecond
)

// Platform is the part of the platform's client that the watcher uses.
type Platform interface {
	List(ctx context.Context, prefixes ...string) (object.Page, error)
	Watch(ctx context.Context, after uint64, wait time.Duration, prefixes ...string) (object.Page, error)
}

// Sink receives each version of an object once. The objects of one list or one watch
// arrive in one call, together with the deletions: a partial list would
// otherwise be passed on to peers as complete and used for routing.
type Sink interface {
	Apply([]object.Object)
}

// Config holds the watcher's dependencies and callbacks.
type Config struct {
	Platform Platform
	Sink     Sink
	// Prefixes are the key prefixes to follow.
	Prefixes []string
	// WatchTimeout is the longest time that one watch stays open; 20 s if zero.
	WatchTimeout time.Duration
	// Known returns the keys and versions that were learned from other sources than
	// the platform; may be nil. A list removes those that it lacks, unless they are
	// newer than the list.
	Known func() map[string]uint64
	// OnList is called for each list before its objects are applied; may be nil.
	OnList func(List)
	// Idle reports that peers follow the objects for this daemon, so that no calls
	// are needed; nil for never.
	Idle func() bool
	// OnResult is called with nil after each successful call and with the error
	// after each failed one; may be nil.
	OnResult func(error)
	// OnUnreadable is called with the errors of entries that could not be decoded;
	// may be nil.
	OnUnreadable func([]error)
}

// List describes the result of one list call.
type List struct {
	Revision uint64
	// Gap is set if the platform was not followed right before, so that changes may
	// have been missed.
	Gap bool
	// Uncertain is set if objects were missing that may have ended or only lapsed.
	// The list did not remove them.
	Uncertain bool
}

// Watcher follows the objects under a set of prefixes.
type Watcher struct {
	c        Config
	revision uint64
	seen     map[string]uint64
	// interrupted is set if the last call failed or the platform was not followed.
	// From trustedFrom on, a list removes the objects that it lacks. relistAt is when
	// the next list is due; zero if none is pending.
	interrupted bool
	trustedFrom time.Time
	relistAt    time.Time
	// gaps counts the gaps since the last watch that returned.
	gaps int
}

// New returns a watcher that has seen nothing.
func New(c Config) *Watcher {
	if c.WatchTimeout == 0 {
		c.WatchTimeout = defaultWatchTimeout
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
	return &Watcher{c: c, seen: make(map[string]uint64), interrupted: true}
}

// Serve follows the objects until ctx ends, and returns the error of ctx.
func (w *Watcher) Serve(ctx context.Context) error {
	pause := minBackoff
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
		w.interrupted = w.interrupted || err != nil
		if err == nil {
			if w.gaps == 0 {
				pause = minBackoff
			}
			continue
		}
		waiter.For(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, maxBackoff)
	}
	return ctx.Err()
}

// idle waits until the watcher is needed again. It returns false, as the changes made
// meanwhile require a list.
func (w *Watcher) idle(ctx context.Context) (listed bool) {
	for w.c.Idle() && waiter.For(ctx, idlePollInterval) {
	}
	w.interrupted = true
	return false
}

// markReachable records a successful call. After an interruption, lists are trusted
// only after lapseGrace.
func (w *Watcher) markReachable() {
	if w.interrupted {
		w.interrupted = false
		w.trustedFrom = time.Now().Add(lapseGrace)
	}
}

// step makes one call, a list or a watch, and applies its result.
func (w *Watcher) step(ctx context.Context, listed *bool) error {
	wait := w.c.WatchTimeout
	if !w.relistAt.IsZero() {
		wait = min(wait, time.Until(w.relistAt))
	}
	if !*listed || wait <= 0 {
		if err := w.list(ctx); err != nil {
			return err
		}
		*listed = true
		return nil
	}
	p, err := w.c.Platform.Watch(ctx, w.revision, wait, w.c.Prefixes...)
	if errors.Is(err, object.ErrGap) {
		*listed = false
		w.gaps++
		if w.gaps > 1 {
			// The list did not close the gap; lists without a pause would use up the rate of calls.
			return err
		}
		return nil
	}
	if err != nil {
		return err
	}
	w.gaps = 0
	w.markReachable()
	w.reportUnreadable(&p)
	w.apply(w.takeNewer(p.Objects))
	w.revision = max(w.revision, p.Revision)
	if len(p.Objects) > 0 {
		waiter.For(ctx, watchCooldown/2+rand.N(watchCooldown/2))
	}
	return nil
}

func (w *Watcher) list(ctx context.Context) error {
	p, err := w.c.Platform.List(ctx, w.c.Prefixes...)
	if err != nil {
		return err
	}
	restored := w.revision > 0 && object.Era(p.Revision) > object.Era(w.revision)
	gap := w.interrupted || restored
	w.interrupted = gap
	w.markReachable()
	w.reportUnreadable(&p)
	pending := !w.relistAt.IsZero()
	w.relistAt = time.Time{}
	known := w.c.Known()
	newer := w.takeNewer(p.Objects)
	var deletions []object.Object
	if p.Revision >= w.revision {
		deletions = w.missingObjects(&p, known)
	}
	stale := p.Revision < w.revision
	uncertain := len(deletions) > 0 && time.Now().Before(w.trustedFrom)
	if !uncertain {
		newer = append(newer, w.takeNewer(deletions)...)
	}
	w.c.OnList(List{Revision: p.Revision, Gap: gap, Uncertain: uncertain})
	w.apply(newer)
	w.revision = max(w.revision, p.Revision)
	switch {
	case uncertain:
		w.relistAt = w.trustedFrom
	case pending && stale:
		// A stale list removes nothing, so the removals are still pending.
		w.relistAt = time.Now().Add(minBackoff)
	}
	return nil
}

// reportUnreadable reports the entries of a page that could not be decoded.
func (w *Watcher) reportUnreadable(p *object.Page) {
	if len(p.Unreadable) > 0 {
		w.c.OnUnreadable(p.Unreadable)
	}
}

// apply passes objects to the sink, if there are any.
func (w *Watcher) apply(newer []object.Object) {
	if len(newer) > 0 {
		w.c.Sink.Apply(newer)
	}
}

// missingObjects returns deletions for the objects that a list lacks: those seen here, and
// those learned from peers that are not newer than the list.
func (w *Watcher) missingObjects(p *object.Page, known map[string]uint64) (deletions []object.Object) {
	present := make(map[string]bool, len(p.Objects))
	for i := range p.Objects {
		present[p.Objects[i].Key] = true
	}
	for key, version := range known {
		if !present[key] && version <= p.Revision && w.seen[key] == 0 {
			deletions = append(deletions, object.Object{Key: key, Version: p.Revision, Deleted: true})
		}
	}
	for key, version := range w.seen {
		if !present[key] {
			deletions = append(deletions, object.Object{Key: key, Version: max(version, p.Revision), Deleted: true})
		}
	}
	return deletions
}

// takeNewer returns the objects that are newer than the versions seen, and records their
// versions.
func (w *Watcher) takeNewer(objects []object.Object) (newer []object.Object) {
	for i := range objects {
		o := objects[i]
		if seen := w.seen[o.Key]; o.Version < seen || o.Version == seen && !o.Deleted {
			continue
		}
		if o.Deleted {
			delete(w.seen, o.Key)
		} else if len(w.seen) < maxSeenKeys {
			w.seen[o.Key] = o.Version
		}
		newer = append(newer, o)
	}
	return newer
}
