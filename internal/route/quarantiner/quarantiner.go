// Package quarantiner keeps a request from further endpoints once some have ended under it.
//
// # Why
//
// Some requests end the process of each endpoint that begins to run them, and with it the
// answers of all others there. Their callers get an error and send them again, to any
// daemon. What a daemon knows of one arrival must therefore outlive it and reach all
// daemons; requests are the same by their fingerprint.
//
// # Evidence
//
// An [Ending] is one life of one endpoint that ended while it ran the request. It weighs
// [strong] if nothing speaks for the request, and [weak] if the endpoint had brought events of
// it before, or if the request was answered lately: many requests run at an endpoint when it
// ends, and all but one of them are innocent. An answer from any endpoint clears a request:
// its endings count no more. When a request is held, other requests are not blamed for the
// endings that it explains.
//
// # Verdict
//
// From [limit] on a request is held: [Quarantiner.Admit] refuses it. The verdict follows from
// the endings alone, and daemons that know the same endings decide the same. After a pause,
// ten times as long after each further ending, the daemon that saw the last ending lets one
// arrival through; an answer clears the request, another ending prolongs the pause.
//
// # Sharing
//
// Endings are only added, and marked as void; so what daemons tell each other may come late,
// twice, in any order and by any way ([Quarantiner.Updates], [Quarantiner.Merge]).
//
// # Bounds
//
// [maxSuspects] requests with [maxEndings] each are kept. Beyond that those that are not held
// are forgotten first, and of them those whose last ending is oldest.
//
// # Usage
//
//	z := quarantiner.New(quarantiner.Config{Host: name})
//	if v := z.Admit(fingerprint, id); v.Held { ... }
//	changed := z.Ended(fingerprint, ending)
//	z.Answered(fingerprint)
package quarantiner

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
)

// Points of an ending, and those from which on a request is held: two endpoints that ended
// under it as it began, or four while something spoke for it.
const (
	strong = 2
	weak   = 1
	limit  = 4
)

const (
	// suspectTime is how long an ending counts against a request that is not held.
	suspectTime = 10 * time.Minute
	// heldTime is how long a held request is known after its last ending.
	heldTime = time.Hour
	// firstPause is the pause before a held request is tried again; it gets pauseFactor
	// times as long with each further ending.
	firstPause  = time.Minute
	pauseFactor = 10
	// trialTime is how long a trial may be without an outcome before there is another one:
	// longer than requests run.
	trialTime = time.Minute
	// maxSuspects and maxEndings bound what is kept, to some 200 KB.
	maxSuspects = 512
	maxEndings  = 8
)

// Ending is the end of one life of an endpoint while it ran a request.
type Ending struct {
	Endpoint identifier.Endpoint
	Born     identifier.StartTime
	// Seen is the daemon that saw it, At when by this daemon's clock.
	Seen identifier.Host
	At   time.Time
	// Weak: something spoke for the request.
	Weak bool
	// Void: the request was answered since, or an operator lifted it, or another request
	// explains the ending.
	Void bool
}

func (e *Ending) points() int {
	switch {
	case e.Void:
		return 0
	case e.Weak:
		return weak
	}
	return strong
}

// Suspect is a request with the endings under it, oldest first.
type Suspect struct {
	Fingerprint identifier.Fingerprint
	Endings     []Ending
	Held        bool

	// changed is when this daemon last learned something of it.
	changed time.Time
}

// Verdict says whether a request may be sent to an endpoint.
type Verdict struct {
	// Held: it must not be sent. Trial: it is held, and this arrival may be sent all the same.
	Held  bool
	Trial bool
	// Endings are those that count.
	Endings []Ending
	// RetryAfter is when the next trial is due, if Held.
	RetryAfter time.Duration
}

// Config describes a quarantiner.
type Config struct {
	Host identifier.Host
	// OnChange is told, without the lock, of each request that came to be held or free
	// again; may be nil.
	OnChange func(*Suspect)
}

// Quarantiner keeps the endings. It is safe for concurrent use.
type Quarantiner struct {
	c Config

	mu       sync.Mutex
	suspects map[identifier.Fingerprint]*suspect
	answered memory
	// running are the attempts under way that have brought nothing yet.
	running map[identifier.Fingerprint]map[*attempt]bool
	// forgotten counts the suspects that were dropped for lack of room.
	forgotten int
}

type suspect struct {
	endings []Ending
	held    bool
	changed time.Time
	// trial is the arrival that was let through last, trialAt when.
	trial   identifier.Request
	trialAt time.Time
}

// New returns a quarantiner that suspects nothing.
func New(c Config) *Quarantiner {
	if c.OnChange == nil {
		c.OnChange = func(*Suspect) {}
	}
	return &Quarantiner{
		c: c, suspects: make(map[identifier.Fingerprint]*suspect), running: make(map[identifier.Fingerprint]map[*attempt]bool),
	}
}

// Admit decides whether an arrival of a request may be sent to an endpoint now. It is asked
// again right before each send.
func (z *Quarantiner) Admit(f identifier.Fingerprint, id identifier.Request) Verdict {
	z.mu.Lock()
	defer z.mu.Unlock()
	s := z.suspects[f]
	if s == nil || !s.held {
		return Verdict{}
	}
	now := time.Now()
	last := s.last()
	v := Verdict{Endings: s.counting(), RetryAfter: max(last.At.Add(s.pause()).Sub(now), time.Second)}
	if last.Seen == z.c.Host && now.Sub(last.At) >= s.pause() && now.Sub(s.trialAt) >= trialTime {
		s.trial, s.trialAt = id, now
	}
	v.Trial = s.trial == id && s.trialAt.After(last.At)
	v.Held = !v.Trial
	return v
}

// RecordEnding adds an ending under a request and reports whether that is news for other daemons.
func (z *Quarantiner) RecordEnding(f identifier.Fingerprint, e Ending) bool {
	z.mu.Lock()
	now := time.Now()
	e.Seen, e.At = z.c.Host, now
	e.Weak = e.Weak || z.answered.has(f, now)
	news, changed := z.add(f, []Ending{e}, now)
	z.mu.Unlock()
	z.tell(changed)
	return news
}

// RecordAnswer clears a request that an endpoint has run to its end, and reports whether that is
// news for other daemons.
func (z *Quarantiner) RecordAnswer(f identifier.Fingerprint) bool {
	z.mu.Lock()
	z.answered.add(f, time.Now())
	z.mu.Unlock()
	return z.Lift(f)
}

// Lift clears a request, and reports whether anything counted against it.
func (z *Quarantiner) Lift(f identifier.Fingerprint) bool {
	z.mu.Lock()
	s := z.suspects[f]
	if s == nil || s.points() == 0 {
		z.mu.Unlock()
		return false
	}
	s.void(func(*Ending) bool { return true })
	s.changed = time.Now()
	changed := z.judge(f, s)
	z.mu.Unlock()
	z.tell(changed)
	return true
}

// List returns all that is known, held requests first, then those that changed last.
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

// EvictedCount counts the suspects that were dropped for lack of room.
func (z *Quarantiner) EvictedCount() int {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.forgotten
}

// tell passes on a change, if there is one, without the lock.
func (z *Quarantiner) tell(changed *Suspect) {
	if changed != nil {
		z.c.OnChange(changed)
	}
}

// add merges endings into what is known of a request. The caller holds the lock.
func (z *Quarantiner) add(f identifier.Fingerprint, endings []Ending, now time.Time) (news bool, changed *Suspect) {
	s := z.suspects[f]
	if s == nil {
		z.forget(now)
		s = &suspect{}
		z.suspects[f] = s
	}
	if !s.held {
		s.endings = slices.DeleteFunc(s.endings, func(e Ending) bool { return now.Sub(e.At) > suspectTime })
	}
	for i := range endings {
		news = s.merge(&endings[i]) || news
	}
	if news {
		s.changed = now
	}
	return news, z.judge(f, s)
}

// judge decides anew whether a request is held, and returns it if that has changed. The
// caller holds the lock.
func (z *Quarantiner) judge(f identifier.Fingerprint, s *suspect) *Suspect {
	held := s.points() >= limit
	if held == s.held {
		return nil
	}
	s.held = held
	if held {
		z.withdraw(f)
		z.explain(s)
	}
	return &Suspect{Fingerprint: f, Endings: slices.Clone(s.endings), Held: held}
}

// explain voids the endings of other requests that a held one explains.
func (z *Quarantiner) explain(by *suspect) {
	for _, s := range z.suspects {
		if !s.held {
			s.void(func(e *Ending) bool { return by.has(e) })
		}
	}
}

// forget makes room for one more suspect. The caller holds the lock.
func (z *Quarantiner) forget(now time.Time) {
	var oldest identifier.Fingerprint
	for f, s := range z.suspects {
		switch {
		case s.lapsed(now):
			delete(z.suspects, f)
		case oldest == "" || s.before(z.suspects[oldest]):
			oldest = f
		}
	}
	if len(z.suspects) >= maxSuspects {
		delete(z.suspects, oldest)
		z.forgotten++
	}
}

// before tells whether a suspect is forgotten before another.
func (s *suspect) before(o *suspect) bool {
	if s.held != o.held {
		return o.held
	}
	return s.endings[len(s.endings)-1].At.Before(o.endings[len(o.endings)-1].At)
}

func (s *suspect) lapsed(now time.Time) bool {
	age := now.Sub(s.endings[len(s.endings)-1].At)
	return age > heldTime || age > suspectTime && !s.held
}

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

// last is the newest ending that counts.
func (s *suspect) last() Ending {
	counting := s.counting()
	if len(counting) == 0 {
		return Ending{}
	}
	return counting[len(counting)-1]
}

// pause is the time between the last ending and the next trial.
func (s *suspect) pause() time.Duration {
	pause := firstPause
	for points := s.points() - limit; points >= strong && pause < heldTime; points -= strong {
		pause *= pauseFactor
	}
	return pause
}

func (s *suspect) void(which func(*Ending) bool) {
	for i := range s.endings {
		s.endings[i].Void = s.endings[i].Void || which(&s.endings[i])
	}
}

func (s *suspect) find(e *Ending) int {
	return slices.IndexFunc(s.endings, func(o Ending) bool { return o.Endpoint == e.Endpoint && o.Born == e.Born })
}

// has tells whether the same ending counts here.
func (s *suspect) has(e *Ending) bool {
	i := s.find(e)
	return i >= 0 && !s.endings[i].Void
}

// merge adds an ending, or what is new of a known one, and reports whether it was news.
func (s *suspect) merge(e *Ending) bool {
	if i := s.find(e); i >= 0 {
		known := &s.endings[i]
		void, weak := known.Void || e.Void, known.Weak && e.Weak
		news := void != known.Void || weak != known.Weak
		known.Void, known.Weak = void, weak
		return news
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
