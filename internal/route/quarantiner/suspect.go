package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"brasschute/internal/core/identifier"
)

// suspect is the state of a request or a part with endings.
type suspect struct {
	// part: it is a part of prompts, not a request.
	part bool
	// endings are in the order of compare. They are facts: only an answer, an event or an operator makes one void.
	endings []Ending
	// explained marks the endings that a held suspect explains, and held is set if this one is held. Both
	// follow from the endings of all suspects, see verdict.go.
	explained     []bool
	held, wasHeld bool
	// points is the sum of the points of all endings.
	points  int
	changed time.Time
	// trial is the arrival that was last admitted as a trial, trialAt the time of its admission.
	trial   identifier.Request
	trialAt time.Time
}

// lapsed reports whether the last ending is too old to keep s.
func (s *suspect) lapsed(now time.Time) bool {
	age := now.Sub(s.endings[len(s.endings)-1].At)
	return age > heldTime || age > suspectTime && !s.held
}

// evictedBefore reports whether s is evicted before o.
func (s *suspect) evictedBefore(o *suspect) bool {
	if s.held != o.held {
		return o.held
	}
	if s.weight() != o.weight() {
		return s.weight() < o.weight()
	}
	return s.endings[len(s.endings)-1].At.Before(o.endings[len(o.endings)-1].At)
}

// limit returns the number of points from which on s is held.
func (s *suspect) limit() int {
	if s.part {
		return partLimit
	}
	return limit
}

// depth returns the smallest position of a part in prompts. A part comes later in those that have one more before it, which
// says nothing about its place in others.
func (s *suspect) depth() int {
	depth := MaxDepth
	for i := range s.endings {
		depth = min(depth, s.endings[i].Depth)
	}
	return depth
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
	step := strong
	if s.part {
		step = partStrong
	}
	for points := s.points - s.limit(); points >= step && pause < heldTime; points -= step {
		pause *= pauseFactor
	}
	return pause
}

// weight compares the points of requests with those of parts.
func (s *suspect) weight() int { return s.points * partLimit / s.limit() }

// void marks all endings as void.
func (s *suspect) void() {
	for i := range s.endings {
		s.endings[i].Void = true
	}
}

// find returns the index of the same ending, or -1.
func (s *suspect) find(e *Ending) int {
	return slices.IndexFunc(s.endings, func(o Ending) bool { return o.key() == e.key() })
}

// has reports whether the same ending counts for s.
func (s *suspect) has(e *Ending) bool {
	i := s.find(e)
	return i >= 0 && !s.endings[i].Void
}

// merge adds an ending, or updates the known one. It reports whether other daemons must learn of it, and whether another one is
// kept in the place of the known one, on which the decision may depend, too.
func (s *suspect) merge(e *Ending) (isNew, replaced bool) {
	if i := s.find(e); i >= 0 {
		return s.update(i, e)
	}
	return s.insert(e), false
}

// update updates a known ending with what another daemon knows of it. Of the requests with a part, that which was sent last is
// kept: the part came to the endpoint even after others had ended. Of those that saw it, the first one is kept, so that all
// daemons keep the same.
func (s *suspect) update(i int, e *Ending) (isNew, replaced bool) {
	known, first := s.endings[i], s.endings[i]
	if later := e.sentAfter(&known); later || !known.sentAfter(e) && cmp.Or(e.compare(&known), cmp.Compare(e.Request, known.Request)) < 0 {
		first = *e
	}
	first.Void, first.Weak = known.Void || e.Void, known.Weak && e.Weak
	if s.part {
		// A daemon that knows of an answer is right.
		first.Weak = known.Weak || e.Weak
	}
	s.endings = slices.Delete(s.endings, i, i+1)
	s.insert(&first)
	return first.Void != known.Void || first.Weak != known.Weak, first != known
}

// sentAfter reports whether the request of an ending with a part was sent later than another one. Times that peers tell
// become later by the time of their messages.
func (e *Ending) sentAfter(o *Ending) bool {
	return e.Request != o.Request && !o.Sent.IsZero() && e.Sent.Sub(o.Sent) > maxMessageTime
}

// insert adds an ending in its place.
func (s *suspect) insert(e *Ending) bool {
	at, _ := slices.BinarySearchFunc(s.endings, e, func(o Ending, e *Ending) int { return o.compare(e) })
	if len(s.endings) >= s.maxEndings() {
		if at == 0 {
			return false
		}
		s.endings = slices.Delete(s.endings, 0, 1)
		at--
	}
	s.endings = slices.Insert(s.endings, at, *e)
	return true
}

// maxEndings returns the number of endings that are kept.
func (s *suspect) maxEndings() int {
	if s.part {
		return maxPartEndings
	}
	return maxEndings
}

// repeats reports whether an earlier ending of a part is under the same request.
func (s *suspect) repeats(i int) bool {
	e := &s.endings[i]
	return e.Request != "" && slices.ContainsFunc(s.endings[:i], func(o Ending) bool { return !o.Void && o.Request == e.Request })
}
