// Package quarantiner keeps requests that crash endpoints from being sent to further ones.
//
// Some requests end the process of each endpoint that begins to run them, and with it all other
// answers in progress there. Their clients get an error and send them again, to any daemon. What a
// daemon learns from one arrival must therefore be kept after its end and reach all daemons.
// Requests are identified by their fingerprint. Of others no two are alike, but they have a part of
// their prompts in common; such parts are identified, and held, in the same way.
//
// # Evidence
//
// An [Ending] is one incarnation of an endpoint that ended while it ran the request. It counts
// [strong] points by default. It counts [weak] points if the endpoint had delivered events of the
// request before, if the request was answered recently, or if the endpoint only fell silent: many requests run at an
// endpoint when it ends, and only one of them has caused its end. An answer from any endpoint clears a request: its
// endings no longer count. While a request is held, the endings that it explains do not count
// against other requests.
//
// An ending of a request of which the endpoint had delivered nothing counts against each part of its
// prompt but the last as well. A part that crashes endpoints crashes all of them before the first
// event, so an event of any request clears all parts of its prompt ([Quarantiner.RecordEvent]), on
// all daemons: endings of requests that were sent before it do not count. Endings that may have a common cause, the loss of
// a zone or of a host, count once: those within [commonCauseTime] of one that counts, of requests that
// were sent before that one. Of several requests with a part at one ending, the one that was sent last counts. Endings under the
// same request count once against a part: a request that is only nearby may come back and meet the next ending.
//
// # Decision
//
// A request with at least [limit] points is held: [Quarantiner.Admit] refuses it. A part is held from
// [partLimit] points on, and requests with it are refused. Parts are decided on before requests, on all
// of their endings: each of several requests with a guilty part may be held by itself. All requests of
// a caller may have the first part in common, so the later one of two parts explains what both have been near,
// unless the other one accounts for several times as many endings, or for all of them and three more.
//
// The decision follows from the endings of all suspects alone. Nothing that is inferred from them is stored or told, so
// that an inference leaves no trace once later endings contradict it. Daemons that have the same endings
// decide the same. A part against which [partLimit] points count is held, unless parts that are held explain so
// many of its endings that fewer are left.
//
// After a pause, which becomes ten times as long with each further ending, the daemon that saw the last
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
// At most [maxSuspects] requests with [maxEndings] endings each, or parts with [maxPartEndings], are kept. Beyond that, requests
// that are not held are evicted first, those with fewest points before others.
//
// # Usage
//
//	z := quarantiner.New(quarantiner.Config{Host: name})
//	if d := z.Admit(fingerprint, id, parts...); d.Held { ... }
//	changed := z.RecordEnding(fingerprint, ending, parts...)
//	changed = z.RecordEvent(parts...)
//	changed = z.RecordAnswer(fingerprint)
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
	// Those of parts of prompts: three endpoints, or four if the part was answered shortly
	// before. Each ending leaves several requests without an event, whose parts are new to it.
	partStrong = 4
	partWeak   = 3
	partLimit  = 12
	// commonCauseTime is the time within which endings may have a common cause.
	commonCauseTime = 500 * time.Millisecond
	// maxMessageTime is how much later the times that peers tell may be than they were.
	maxMessageTime = 50 * time.Millisecond
	// MaxDepth bounds the positions of parts in prompts that are told apart.
	MaxDepth = 64
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
	// maxSuspects, maxEndings and maxPartEndings, two for each of eight requests with a part, limit the memory
	// to about 1 MB.
	maxSuspects    = 512
	maxEndings     = 8
	maxPartEndings = 16
)

// Ending is the end of one incarnation of an endpoint while it ran a request.
type Ending struct {
	Endpoint identifier.Endpoint
	Born     identifier.StartTime
	// Seen is the daemon that saw the ending. At is the time by this daemon's clock.
	Seen identifier.Host
	At   time.Time
	// Sent is when the request was sent to the endpoint; zero if that is not known.
	Sent time.Time `json:",omitzero"`
	// Weak: there was evidence in favour of the request.
	Weak bool
	// Void: the request has been answered since, or an operator lifted it.
	Void bool
	// Silent: the endpoint vanished from the list and does not respond, which may be a partition.
	Silent bool `json:",omitempty"`
	// Of a part of prompts, Request is the request under which the endpoint ended and Depth the
	// position of the part in its prompt, counted from 1.
	Request identifier.Fingerprint `json:",omitempty"`
	Depth   int                    `json:",omitempty"`
}

// points returns how much the ending counts.
func (e *Ending) points() int {
	part := e.Request != ""
	switch {
	case e.Void:
		return 0
	case part && e.Weak:
		return partWeak
	case part:
		return partStrong
	case e.Weak, e.Silent:
		return weak
	}
	return strong
}

// compare orders endings by time, the same at all daemons.
func (e *Ending) compare(o *Ending) int {
	return cmp.Or(e.At.Compare(o.At), cmp.Compare(e.Endpoint, o.Endpoint), cmp.Compare(e.Born, o.Born))
}

// Suspect is a request with its endings, oldest first.
type Suspect struct {
	Fingerprint identifier.Fingerprint
	Endings     []Ending
	Held        bool

	// changed is when this daemon last learned something new about the request.
	changed time.Time
	// weight is how near it is to being held.
	weight int
}

// Decision is the decision whether a request may be sent to an endpoint.
type Decision struct {
	// Held: the request must not be sent. Trial: the request is held, but this arrival may be sent.
	Held  bool
	Trial bool
	// Part is the part of the prompt that is held; empty if it is the whole request.
	Part identifier.Fingerprint
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
	// undecided is set if an ending was replaced by another daemon's record of it since the last decision. The other
	// daemons have that already, or learn of it with the next message.
	undecided bool
	// evicted counts the suspects that were dropped for lack of space.
	evicted int
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

// Admit decides whether an arrival of a request, whose prompt has some shared parts, may be sent to
// an endpoint now. It must be called again right before each send.
func (z *Quarantiner) Admit(f identifier.Fingerprint, id identifier.Request, parts ...identifier.Fingerprint) Decision {
	z.mu.Lock()
	defer z.mu.Unlock()
	d := z.admit(f, id)
	for _, part := range parts {
		if d.Held {
			break
		}
		if p := z.admit(part, id); p.Held || p.Trial {
			d, d.Part = p, part
		}
	}
	return d
}

// admit decides on a request or a part. The caller holds the lock.
func (z *Quarantiner) admit(f identifier.Fingerprint, id identifier.Request) Decision {
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

// RecordEnding adds an ending of a request whose prompt has some shared parts, and reports whether it
// is new and must reach the other daemons. Without a time it ended now.
func (z *Quarantiner) RecordEnding(f identifier.Fingerprint, e Ending, parts ...identifier.Fingerprint) bool {
	return z.change(func(now time.Time) (isNew bool) {
		e.Seen = z.c.Host
		if e.At.IsZero() {
			e.At = now
		}
		for i := 0; i < min(len(parts), MaxDepth) && !e.Weak; i++ {
			p := e
			p.Request, p.Depth = f, i+1
			isNew = z.add(parts[i], []Ending{p}, now) || isNew
		}
		if _, answered := z.answered.last(f, now); answered {
			e.Weak = true
		}
		return z.add(f, []Ending{e}, now) || isNew
	})
}

// RecordEvent clears parts of prompts, as an endpoint has begun to write an answer to a request with
// them. It reports whether anything counted against one of them, so that the event must reach the
// other daemons.
func (z *Quarantiner) RecordEvent(parts ...identifier.Fingerprint) bool {
	if len(parts) == 0 {
		return false
	}
	return z.change(func(now time.Time) (cleared bool) {
		for _, part := range parts {
			z.answered.add(part, now)
			cleared = z.lift(part, now) || cleared
		}
		return cleared
	})
}

// RecordAnswer clears a request that an endpoint has run to its end. It reports whether anything
// counted against the request, so that the answer must reach the other daemons.
func (z *Quarantiner) RecordAnswer(f identifier.Fingerprint) bool {
	return z.change(func(now time.Time) bool {
		z.answered.add(f, now)
		return z.lift(f, now)
	})
}

// Lift clears a request or a part and reports whether anything counted against it.
func (z *Quarantiner) Lift(f identifier.Fingerprint) bool {
	return z.change(func(now time.Time) bool { return z.lift(f, now) })
}

// change changes endings and decides anew if any has changed. apply is called with the lock held, and reports whether other
// daemons must learn of a change.
func (z *Quarantiner) change(apply func(now time.Time) bool) bool {
	var turned []*Suspect
	z.mu.Lock()
	changed := apply(time.Now())
	if changed || z.undecided {
		z.undecided = false
		turned = z.decide()
	}
	z.mu.Unlock()
	for _, s := range turned {
		z.c.OnChange(s)
	}
	return changed
}

// lift voids all endings of a suspect; see change.
func (z *Quarantiner) lift(f identifier.Fingerprint, now time.Time) bool {
	s := z.suspects[f]
	if s == nil || s.points == 0 {
		return false
	}
	s.void()
	s.changed = now
	return true
}

// List returns all suspects, held ones first, then the most recently changed ones.
func (z *Quarantiner) List() []Suspect {
	z.mu.Lock()
	defer z.mu.Unlock()
	out := make([]Suspect, 0, len(z.suspects))
	for f, s := range z.suspects {
		out = append(out, Suspect{Fingerprint: f, Endings: slices.Clone(s.endings), Held: s.held, changed: s.changed, weight: s.weight()})
	}
	slices.SortFunc(out, func(a, b Suspect) int {
		return cmp.Or(heldFirst(&a, &b), b.changed.Compare(a.changed), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out
}

// heldFirst orders suspects that are held before others.
func heldFirst(a, b *Suspect) int {
	switch {
	case a.Held == b.Held:
		return 0
	case a.Held:
		return -1
	}
	return 1
}

// EvictedCount returns the number of suspects that were dropped for lack of space.
func (z *Quarantiner) EvictedCount() int {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.evicted
}

// add merges endings into a suspect; see change.
func (z *Quarantiner) add(f identifier.Fingerprint, endings []Ending, now time.Time) (isNew bool) {
	s := z.suspects[f]
	if s == nil {
		z.evict(now)
		s = &suspect{part: f.IsPart()}
		z.suspects[f] = s
	}
	if !s.held {
		s.endings = slices.DeleteFunc(s.endings, func(e Ending) bool { return now.Sub(e.At) > suspectTime })
	}
	for i := range endings {
		e := &endings[i]
		if e.Depth > 0 {
			z.weigh(f, e, now)
		}
		added, replaced := s.merge(e)
		isNew, z.undecided = added || isNew, replaced || z.undecided
	}
	if isNew {
		s.changed = now
	}
	return isNew
}

// weigh applies what this daemon knows in favour of a part: whoever saw the ending may not know of an event.
func (z *Quarantiner) weigh(f identifier.Fingerprint, e *Ending, now time.Time) {
	last, answered := z.answered.last(f, now)
	if !answered {
		return
	}
	e.Weak = true
	e.Void = e.Void || !e.Sent.IsZero() && !last.Before(e.Sent)
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
