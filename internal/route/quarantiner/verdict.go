package quarantiner

import (
	"cmp"
	"slices"

	"brasschute/internal/core/identifier"
)

// candidate is a suspect whose endings may hold it.
type candidate struct {
	fingerprint identifier.Fingerprint
	*suspect
	// level is the number of times that the points of a part suffice to hold it.
	level int
	// reached is the ending with which the points sufficed.
	reached *Ending
	// settled is set once it is known whether it is held.
	settled bool
}

// compare orders candidates by how well they explain endings. Parts come before requests, as many requests
// are near an ending. Among parts the one with several times as many points as it needs comes first, then the
// later one, as requests with it have the earlier ones, too. Among requests with as many points the one that
// had enough of them first comes first.
func (c *candidate) compare(o *candidate) int {
	if c.part != o.part {
		if c.part {
			return -1
		}
		return 1
	}
	points := cmp.Compare(o.points, c.points)
	if c.part {
		return cmp.Or(cmp.Compare(o.level, c.level), cmp.Compare(o.depth(), c.depth()), points, cmp.Compare(c.fingerprint, o.fingerprint))
	}
	return cmp.Or(points, c.reached.compare(o.reached), cmp.Compare(c.fingerprint, o.fingerprint))
}

// explains reports whether c, which is held, explains an ending that counts against s as well. Two parts in
// the same position there may both be guilty, unless one accounts for all endings of the other and for more.
func (c *candidate) explains(s *suspect, e *Ending) bool {
	i := c.find(e)
	switch {
	case i < 0 || c.endings[i].Void:
		return false
	case !s.part:
		return true
	case !c.part:
		return false
	case c.level > s.points/partLimit || c.outweighs(s):
		return true
	}
	depth := c.endings[i].Depth
	return depth > e.Depth || depth == e.Depth && c.points > s.points && c.hasAll(s)
}

// outweighs reports whether a part accounts for all endings of another one and for three more, which may not be of one cause.
// The other one is in some of its prompts then, wherever it stands there and however its points were counted.
func (s *suspect) outweighs(o *suspect) bool {
	if !s.part || !o.part || !s.hasAll(o) {
		return false
	}
	return s.sum(func(i int) bool { return !o.has(&s.endings[i]) }) >= 3*partWeak
}

// hasAll reports whether all endings that count for o count for s as well.
func (s *suspect) hasAll(o *suspect) bool {
	for i := range o.endings {
		if e := &o.endings[i]; !e.Void && !s.has(e) {
			return false
		}
	}
	return true
}

// decide recomputes which suspects are held, and returns those that became held or free. The best
// candidate is held first and explains its endings: these count against no other suspect, for as long as it is held.
// The caller holds the lock.
func (z *Quarantiner) decide() (turned []*Suspect) {
	var candidates []candidate
	for f, s := range z.suspects {
		s.wasHeld, s.held = s.held, false
		s.explained = slices.Grow(s.explained[:0], len(s.endings))[:len(s.endings)]
		clear(s.explained)
		if s.points = s.sum(everyEnding); s.points >= s.limit() {
			candidates = append(candidates, candidate{fingerprint: f, suspect: s, level: s.points / partLimit, reached: s.reached()})
		}
	}
	z.hold(candidates)
	for f, s := range z.suspects {
		if s.held == s.wasHeld {
			continue
		}
		turned = append(turned, &Suspect{Fingerprint: f, Endings: slices.Clone(s.endings), Held: s.held})
		if s.held {
			z.withdraw(f)
		}
	}
	return turned
}

// hold sets which candidates are held.
func (z *Quarantiner) hold(candidates []candidate) {
	if len(candidates) == 0 {
		return
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return a.compare(&b) })
	near := z.nearby(candidates)
	places := make(map[*suspect]int, len(candidates))
	for i := range candidates {
		places[candidates[i].suspect] = i
	}
	for i := range candidates {
		settle(candidates, i, places, near)
	}
}

// settle sets whether a candidate is held, after those that outweigh it. places holds the places of candidates.
func settle(candidates []candidate, i int, places map[*suspect]int, near map[crashKey][]nearbyEnding) {
	c := &candidates[i]
	if c.settled {
		return
	}
	c.settled = true
	for _, k := range c.rivals(places, near) {
		if candidates[k].outweighs(c.suspect) {
			settle(candidates, k, places, near)
		}
	}
	if c.unexplainedPoints() < c.limit() {
		return
	}
	c.held = true
	for k := range c.endings {
		for _, n := range near[c.endings[k].key()] {
			n.explained[n.index] = n.explained[n.index] || !n.held && c.explains(n.suspect, &n.endings[n.index])
		}
	}
}

// rivals returns the places of the candidates that were near the last ending that counts for a part, in their order.
func (c *candidate) rivals(places map[*suspect]int, near map[crashKey][]nearbyEnding) (out []int) {
	if !c.part {
		return nil
	}
	last := c.last()
	for _, n := range near[last.key()] {
		if place, ok := places[n.suspect]; ok && n.suspect != c.suspect {
			out = append(out, place)
		}
	}
	slices.Sort(out)
	return out
}

// crashKey identifies the end of an incarnation of an endpoint.
type crashKey struct {
	endpoint identifier.Endpoint
	born     identifier.StartTime
}

func (e *Ending) key() crashKey { return crashKey{e.Endpoint, e.Born} }

// nearbyEnding is an ending of a suspect.
type nearbyEnding struct {
	*suspect
	index int
}

// nearby returns the endings of all suspects by the crash that they belong to, for the crashes of the candidates.
func (z *Quarantiner) nearby(candidates []candidate) map[crashKey][]nearbyEnding {
	out := make(map[crashKey][]nearbyEnding)
	for i := range candidates {
		for k := range candidates[i].endings {
			out[candidates[i].endings[k].key()] = nil
		}
	}
	for _, s := range z.suspects {
		for i := range s.endings {
			key := s.endings[i].key()
			if list, ok := out[key]; ok {
				out[key] = append(list, nearbyEnding{s, i})
			}
		}
	}
	return out
}

// reached returns the ending with which the points of s sufficed to hold it.
func (s *suspect) reached() *Ending {
	for n := range s.endings {
		if s.sum(func(i int) bool { return i <= n }) >= s.limit() {
			return &s.endings[n]
		}
	}
	return &s.endings[len(s.endings)-1]
}

// everyEnding selects all endings for sum.
func everyEnding(int) bool { return true }

// unexplainedPoints returns the sum of the points of the endings that no held suspect explains.
func (s *suspect) unexplainedPoints() int { return s.sum(func(i int) bool { return !s.explained[i] }) }

// sum returns the sum of the points of some endings. Of a part, those under one request count once, and so do those
// that may have one cause.
func (s *suspect) sum(counts func(i int) bool) (sum int) {
	last := -1
	for i := range s.endings {
		e := &s.endings[i]
		if e.Void || !counts(i) || s.repeats(i) || last >= 0 && s.endings[last].sharesCause(e) {
			continue
		}
		last = i
		sum += e.points()
	}
	return sum
}

// sharesCause reports whether a later ending of a part may have the same cause: its request was running at
// the same time. If the part is guilty, others follow that were sent later.
func (e *Ending) sharesCause(o *Ending) bool {
	return o.Request != "" && !o.Sent.IsZero() && o.Sent.Before(e.At) && o.At.Sub(e.At) < commonCauseTime
}
