package promoter

import (
	"fmt"
	"math"
	"slices"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/splitter"
)

const (
	// surprise is how unlikely the bad answers of a version must be, had it been as good as
	// the old one, for it to be reverted: e to the power of minus this bounds it. doubtful is
	// when it may not move yet.
	surprise = 7.5
	doubtful = 3.5
	// leastBad is how many answers must be bad at the least.
	leastBad = 4
	// alike is how many times as often as at the old endpoints answers may be bad, and
	// unlike what may come on top: new endpoints have read nothing yet.
	alike  = 1.5
	unlike = 0.015
	// firstBad of firstAnswers are taken to have been bad before any came.
	firstBad, firstAnswers = 1, 60
	// elsewhere is how surprising the answers of all but the worst endpoint must be,
	// othersAnswers how many there must be to tell, and manyBad how many bad ones are enough
	// where they can't tell.
	elsewhere     = 2.0
	othersAnswers = 8
	manyBad       = 20
)

// Counts adds up answers.
type Counts struct {
	Sent, Answers, Failed, Slow int
}

func (s *Counts) add(t *splitter.Tally) {
	s.Sent += t.Sent
	s.Answers += t.Answers
	s.Failed += t.Failed
	s.Slow += t.Slow
}

func (s Counts) minus(o Counts) Counts {
	return Counts{s.Sent - o.Sent, s.Answers - o.Answers, s.Failed - o.Failed, s.Slow - o.Slow}
}

// String is for logs.
func (s Counts) String() string {
	return fmt.Sprintf("%d sent, %d answers, %d failed, %d slow", s.Sent, s.Answers, s.Failed, s.Slow)
}

// Evidence is what the answers say.
type Evidence struct {
	New, Old Counts
	// RevertReason says why the version is bad, empty if it is not; HoldReason why that is not known yet.
	RevertReason, HoldReason string
}

// route is one route's answers.
type route struct {
	new, old Counts
	// each are the new ones by endpoint.
	each map[identifier.Endpoint]Counts
}

// snapshot is what had been counted at a time, by route; the empty one stands for all.
type snapshot struct {
	at     time.Time
	routes map[string]*route
}

// count takes in the tallies of all processes. They only rise, so each is news or nothing.
func (t *trial) count(order uint64, processes map[string][]splitter.Tally) {
	for process, tallies := range processes {
		for i := range tallies {
			n := &tallies[i]
			if n.Order != order {
				continue
			}
			k := countKey{process, n.Route, n.Endpoint}
			if old, known := t.counts[k]; !known || n.Sent >= old.Sent && n.Answers >= old.Answers {
				t.counts[k] = *n
			}
		}
	}
}

// sum adds up by route.
func (t *trial) sum(now time.Time) snapshot {
	s := snapshot{at: now, routes: make(map[string]*route)}
	for _, n := range t.counts {
		for _, name := range []string{"", n.Route} {
			r := s.routes[name]
			if r == nil {
				r = &route{each: make(map[identifier.Endpoint]Counts)}
				s.routes[name] = r
			}
			if n.Endpoint == "" {
				r.old.add(&n)
				continue
			}
			r.new.add(&n)
			e := r.each[n.Endpoint]
			e.add(&n)
			r.each[n.Endpoint] = e
		}
	}
	return s
}

// since is what came after an earlier snapshot.
func (s *snapshot) since(before *snapshot) snapshot {
	out := snapshot{at: s.at, routes: make(map[string]*route, len(s.routes))}
	for name, r := range s.routes {
		b := before.routes[name]
		if b == nil {
			b = &route{}
		}
		d := &route{new: r.new.minus(b.new), old: r.old.minus(b.old), each: make(map[identifier.Endpoint]Counts, len(r.each))}
		for e, n := range r.each {
			d.each[e] = n.minus(b.each[e])
		}
		out.routes[name] = d
	}
	return out
}

// compare weighs the answers of the new version against those of the old one.
func (t *trial) compare(now time.Time) Evidence {
	all := t.sum(now)
	t.history = append(t.history, all)
	for len(t.history) > 1 && now.Sub(t.history[1].at) >= lately {
		t.history = t.history[1:]
	}
	out := Evidence{}
	if r := all.routes[""]; r != nil {
		out.New, out.Old = r.new, r.old
	}
	late := all.since(&t.history[0])
	for _, s := range []struct {
		when string
		of   *snapshot
	}{{"since the order", &all}, {"of late", &late}} {
		for name, r := range s.of.routes {
			worst := r.worst()
			if worst.weight < doubtful {
				continue
			}
			text := fmt.Sprintf("%s %s, route %q: %s of the new version, %s of the old", worst.what, s.when, name, r.new, r.old)
			if worst.weight >= surprise && r.widespread(worst.bad) {
				out.RevertReason = text
			}
			out.HoldReason = text
		}
	}
	if out.HoldReason == "" {
		out.HoldReason = all.few()
	}
	return out
}

// few says of which route there are too few answers, if there are.
func (s *snapshot) few() string {
	all := s.routes[""]
	if all == nil || all.new.Answers < leastAnswers {
		return "too few answers of the new version"
	}
	for name, r := range s.routes {
		if float64(r.old.Answers) < usualRoute*float64(all.old.Answers) {
			continue
		}
		bad := float64(r.old.Failed+r.old.Slow) / float64(max(r.old.Answers, 1))
		if least := leastOfRoute + int(min(perBad*bad, perBad/4)); name != "" && r.new.Answers < least {
			return fmt.Sprintf("route %q: %d answers of the new version, %d are needed", name, r.new.Answers, least)
		}
	}
	return ""
}

// finding is in what the new version differs most.
type finding struct {
	what   string
	bad    func(Counts) int
	weight float64
}

// worst compares failures, slow answers and both together.
func (r *route) worst() finding {
	out := finding{}
	for _, f := range []finding{
		{what: "failures", bad: func(s Counts) int { return s.Failed }},
		{what: "slow answers", bad: func(s Counts) int { return s.Slow }},
		{what: "failures and slow answers", bad: func(s Counts) int { return s.Failed + s.Slow }},
	} {
		if f.weight = weight(f.bad(r.new), r.new.Answers, f.bad(r.old), r.old.Answers); f.weight > out.weight {
			out = f
		}
	}
	return out
}

// weight bounds the likelihood of so many bad answers of the new version by e to the power
// of its negative (Chernoff).
func weight(bad, answers, oldBad, oldAnswers int) float64 {
	if bad < leastBad || answers == 0 {
		return 0
	}
	expected := expected(oldBad, oldAnswers)
	part := min(float64(bad)/float64(answers), 1)
	if part <= expected {
		return 0
	}
	d := part * math.Log(part/expected)
	if part < 1 {
		d += (1 - part) * math.Log((1-part)/(1-expected))
	}
	return d * float64(answers)
}

// expected is the part of the answers that may be bad where so many of the old ones were.
func expected(oldBad, oldAnswers int) float64 {
	return min(alike*float64(oldBad+firstBad)/float64(oldAnswers+firstAnswers)+unlike, 1)
}

// widespread tells whether it is the version, and not one of its endpoints alone.
func (r *route) widespread(bad func(Counts) int) bool {
	if len(r.each) < 2 {
		return true
	}
	worst := slices.MaxFunc(sums(r.each), func(a, b Counts) int { return bad(a) - bad(b) })
	rest := r.new.minus(worst)
	if rest.Answers < othersAnswers {
		return bad(r.new) >= manyBad
	}
	expected := expected(bad(r.old), r.old.Answers)
	return bad(rest) > 0 && float64(bad(rest)) >= expected*float64(rest.Answers)+elsewhere*math.Sqrt(expected*float64(rest.Answers))
}

func sums(each map[identifier.Endpoint]Counts) []Counts {
	out := make([]Counts, 0, len(each))
	for _, s := range each {
		out = append(out, s)
	}
	return out
}
