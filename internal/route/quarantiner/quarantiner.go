// Package quarantiner keeps requests that crash endpoints from being sent to further ones.
//
// Some requests end the process of each endpoint that begins to run them, and with it all other
// answers in progress there. Their clients get an error and send them again, to any daemon. What a
// daemon learns from one arrival must therefore be kept after its end and reach all daemons.
// Requests are identified by their fingerprint.
//
// # Evidence
//
// An [Ending] is one incarnation of an endpoint that ended while it ran the request. It counts
// [strong] points by default. It counts [weak] points if the endpoint had delivered events of the
// request before, or if the request was answered recently: many requests run at an endpoint when it
// ends, and only one of them has caused its end. An answer from any endpoint clears a request: its
// endings no longer count. When a request is held, the endings that it explains no longer count
// against other requests.
//
// # Decision
//
// A request with at least [limit] points is held: [Quarantiner.Admit] refuses it. The decision
// follows from the endings alone, so daemons that have the same endings decide the same. After a
// pause, which becomes ten times as long with each further ending, the daemon that saw the last
// ending admits one arrival as a trial. An answer clears the request, another ending prolongs the
// pause.
//
// # Gossip
//
// Endings are only added and marked as void. Updates from other daemons may therefore arrive late,
// twice, in any order and over any path ([Quarantiner.Updates], [Quarantiner.Merge]).
//
// # Limits
//
// At most [maxSuspects] requests with [maxEndings] endings each are kept. Beyond that, requests
// that are not held are evicted first, those with the oldest last ending before others.
//
// # Usage
//
//	z := quarantiner.New(quarantiner.Config{Host: name})
//	if d := z.Admit(fingerprint, id); d.Held { ... }
//	changed := z.RecordEnding(fingerprint, ending)
//	z.RecordAnswer(fingerprint)
package quarantiner

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
)

// Points of an ending, and the number of points from which on a request is held: two endpoints that
// ended right after it began, or four with evidence in its favour.
const (
	strong = 2
	weak   = 1
	limit  = 4
)

const (
	// suspectTime is how long an ending counts against a request that is not held.
	suspectTime = 10 * time.Minute
	// heldTime is how long a held request is kept after its last ending.
	heldTime = time.Hour
	// firstPause is the pause before the first trial of a held request. Each further ending
	// multiplies it by pauseFactor.
	firstPause  = time.Minute
	pauseFactor = 10
	// trialTime is how long a trial may remain without an outcome before the next one: longer than
	// requests run.
	trialTime = time.Minute
	// maxSuspects and maxEndings limit the memory to about 200 KB.
	maxSuspects = 512
	maxEndings  = 8
)

// Ending is the end of one incarnation of an endpoint while it ran a request.
type Ending struct {
	Endpoint identifier.Endpoint
	Born     identifier.StartTime
	// Seen is the daemon that saw the ending. At is the time by this daemon's clock.
	Seen identifier.Host
	At   time.Time
	// Weak: there was evidence in favour of the request.
	Weak bool
	// Void: the request has been answered since, an operator lifted it, or another request explains
	// the ending.
	Void bool
}

// points returns how much the ending counts.
func (e *Ending) points() int {
	switch {
	case e.Void:
		return 0
	case e.Weak:
		return weak
	}
	return strong
}

// Suspect is a request with its endings, oldest first.
type Suspect struct {
	Fingerprint identifier.Fingerprint
	Endings     []Ending
	Held        bool

	// changed is when this daemon last learned something new about the request.
	changed time.Time
}

// Decision is the decision whether a request may be sent to an endpoint.
type Decision struct {
	// Held: the request must not be sent. Trial: the request is held, but this arrival may be sent.
	Held  bool
	Trial bool
	// Endings are the endings that count.
	Endings []Ending
	// RetryAfter is the time until the next trial. It is meaningful only if Held is set.
	RetryAfter time.Duration
}

// Config holds the settings of a quarantiner.
type Config struct {
	Host identifier.Host
	// OnChange is called, without the lock held, for each request that becomes held or free again;
	// may be nil.
	OnChange func(*Suspect)
}

// Quarantiner keeps the endings of requests. It is safe for concurrent use.
type Quarantiner struct {
	c Config

	mu       sync.Mutex
	suspects map[identifier.Fingerprint]*suspect
	answered answeredSet
	// running holds the attempts in progress that have delivered nothing yet.
	running map[identifier.Fingerprint]map[*attempt]bool
	// evicted counts the suspects that were dropped for lack of space.
	evicted int
}

// suspect is the state of a request with endings.
type suspect struct {
	endings []Ending
	held    bool
	changed time.Time
	// trial is the arrival that was last admitted as a trial, trialAt the time of its admission.
	trial   identifier.Request
	trialAt time.Time
}

// New returns a quarantiner without suspects.
func New(c Config) *Quarantiner {
	if c.OnChange == nil {
		c.OnChange = func(*Suspect) {}
	}
	return &Quarantiner{
		c: c, suspects: make(map[identifier.Fingerprint]*suspect), running: make(map[identifier.Fingerprint]map[*attempt]bool),
	}
}

// Admit decides whether an arrival of a request may be sent to an endpoint now. It must be called
// again right before each send.
func (z *Quarantiner) Admit(f identifier.Fingerprint, id identifier.Request) Decision {
	z.mu.Lock()
	defer z.mu.Unlock()
	s := z.suspects[f]
	if s == nil || !s.held {
		return Decision{}
	}
	now := time.Now()
	last := s.last()
	d := Decision{Endings: s.counting(), RetryAfter: max(last.At.Add(s.pause()).Sub(now), time.Second)}
	if last.Seen == z.c.Host && now.Sub(last.At) >= s.pause() && now.Sub(s.trialAt) >= trialTime {
		s.trial, s.trialAt = id, now
	}
	d.Trial = s.trial == id && s.trialAt.After(last.At)
	d.Held = !d.Trial
	return d
}

// RecordEnding adds an ending of a request and reports whether it is new and must reach the other
// daemons.
func (z *Quarantiner) RecordEnding(f identifier.Fingerprint, e Ending) bool {
	z.mu.Lock()
	now := time.Now()
	e.Seen, e.At = z.c.Host, now
	e.Weak = e.Weak || z.answered.has(f, now)
	isNew, changed := z.add(f, []Ending{e}, now)
	z.mu.Unlock()
	z.notify(changed)
	return isNew
}

// RecordAnswer clears a request that an endpoint has run to its end. It reports whether anything
// counted against the request, so that the answer must reach the other daemons.
func (z *Quarantiner) RecordAnswer(f identifier.Fingerprint) bool {
	z.mu.Lock()
	z.answered.add(f, time.Now())
	z.mu.Unlock()
	return z.Lift(f)
}

// Lift clears a request and reports whether anything counted against it.
func (z *Quarantiner) Lift(f identifier.Fingerprint) bool {
	z.mu.Lock()
	s := z.suspects[f]
	if s == nil || s.points() == 0 {
		z.mu.Unlock()
		return false
	}
	s.void(func(*Ending) bool { return true })
	s.changed = time.Now()
	changed := z.updateHeld(f, s)
	z.mu.Unlock()
	z.notify(changed)
	return true
}

// List returns all suspects, held ones first, then the most recently changed ones.
func (z *Quarantiner) List() []Suspect {
	z.mu.Lock()
	defer z.mu.Unlock()
	out := make([]Suspect, 0, len(z.suspects))
	for f, s := range z.suspects {
		out = append(out, Suspect{Fingerprint: f, Endings: slices.Clone(s.endings), Held: s.held, changed: s.changed})
	}
	slices.SortFunc(out, func(a, b Suspect) int {
		if a.Held != b.Held {
			if a.Held {
				return -1
			}
			return 1
		}
		return cmp.Or(b.changed.Compare(a.changed), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out
}

// EvictedCount returns the number of suspects that were dropped for lack of space.
func (z *Quarantiner) EvictedCount() int {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.evicted
}

// notify calls OnChange for a change, if there is one. The caller must not hold the lock.
func (z *Quarantiner) notify(changed *Suspect) {
	if changed != nil {
		z.c.OnChange(changed)
	}
}

// add merges endings into the suspect. The caller holds the lock.
func (z *Quarantiner) add(f identifier.Fingerprint, endings []Ending, now time.Time) (isNew bool, changed *Suspect) {
	s := z.suspects[f]
	if s == nil {
		z.evict(now)
		s = &suspect{}
		z.suspects[f] = s
	}
	if !s.held {
		s.endings = slices.DeleteFunc(s.endings, func(e Ending) bool { return now.Sub(e.At) > suspectTime })
	}
	for i := range endings {
		isNew = s.merge(&endings[i]) || isNew
	}
	if isNew {
		s.changed = now
	}
	return isNew, z.updateHeld(f, s)
}

// updateHeld recomputes whether a request is held and returns the suspect if that changed. The
// caller holds the lock.
func (z *Quarantiner) updateHeld(f identifier.Fingerprint, s *suspect) *Suspect {
	held := s.points() >= limit
	if held == s.held {
		return nil
	}
	s.held = held
	if held {
		z.withdraw(f)
		z.voidExplained(s)
	}
	return &Suspect{Fingerprint: f, Endings: slices.Clone(s.endings), Held: held}
}

// voidExplained voids the endings of other requests that a held request explains.
func (z *Quarantiner) voidExplained(by *suspect) {
	for _, s := range z.suspects {
		if !s.held {
			s.void(func(e *Ending) bool { return by.has(e) })
		}
	}
}

// evict makes room for one more suspect. The caller holds the lock.
func (z *Quarantiner) evict(now time.Time) {
	var oldest identifier.Fingerprint
	for f, s := range z.suspects {
		switch {
		case s.lapsed(now):
			delete(z.suspects, f)
		case oldest == "" || s.evictedBefore(z.suspects[oldest]):
			oldest = f
		}
	}
	if len(z.suspects) >= maxSuspects {
		delete(z.suspects, oldest)
		z.evicted++
	}
}

// evictedBefore reports whether s is evicted before o.
func (s *suspect) evictedBefore(o *suspect) bool {
	if s.held != o.held {
		return o.held
	}
	return s.endings[len(s.endings)-1].At.Before(o.endings[len(o.endings)-1].At)
}

// lapsed reports whether the last ending is too old to keep s.
func (s *suspect) lapsed(now time.Time) bool {
	age := now.Sub(s.endings[len(s.endings)-1].At)
	return age > heldTime || age > suspectTime && !s.held
}

// points returns the sum of the points of all endings.
func (s *suspect) points() (sum int) {
	for i := range s.endings {
		sum += s.endings[i].points()
	}
	return sum
}

// counting returns the endings that count.
func (s *suspect) counting() (out []Ending) {
	for _, e := range s.endings {
		if !e.Void {
			out = append(out, e)
		}
	}
	return out
}

// last returns the newest ending that counts.
func (s *suspect) last() Ending {
	counting := s.counting()
	if len(counting) == 0 {
		return Ending{}
	}
	return counting[len(counting)-1]
}

// pause returns the time between the last ending and the next trial.
func (s *suspect) pause() time.Duration {
	pause := firstPause
	for points := s.points() - limit; points >= strong && pause < heldTime; points -= strong {
		pause *= pauseFactor
	}
	return pause
}

// void marks the endings that which selects as void.
func (s *suspect) void(which func(*Ending) bool) {
	for i := range s.endings {
		s.endings[i].Void = s.endings[i].Void || which(&s.endings[i])
	}
}

// find returns the index of the same ending, or -1.
func (s *suspect) find(e *Ending) int {
	return slices.IndexFunc(s.endings, func(o Ending) bool { return o.Endpoint == e.Endpoint && o.Born == e.Born })
}

// has reports whether the same ending counts for s.
func (s *suspect) has(e *Ending) bool {
	i := s.find(e)
	return i >= 0 && !s.endings[i].Void
}

// merge adds an ending, or updates the known one, and reports whether anything changed.
func (s *suspect) merge(e *Ending) bool {
	if i := s.find(e); i >= 0 {
		known := &s.endings[i]
		void, weak := known.Void || e.Void, known.Weak && e.Weak
		changed := void != known.Void || weak != known.Weak
		known.Void, known.Weak = void, weak
		return changed
	}
	at, _ := slices.BinarySearchFunc(s.endings, e, func(o Ending, e *Ending) int { return o.At.Compare(e.At) })
	if len(s.endings) >= maxEndings {
		if at == 0 {
			return false
		}
		s.endings = slices.Delete(s.endings, 0, 1)
		at--
	}
	s.endings = slices.Insert(s.endings, at, *e)
	return true
}
