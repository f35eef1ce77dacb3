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
	// A version is reverted if the likelihood of its bad answers, assuming that it is as good as
	// the old version, is at most e to the power of -revertThreshold. At e to the power of
	// -holdThreshold or less the roll-out does not advance.
	revertThreshold = 7.5
	holdThreshold   = 3.5
	// minBad is the least number of bad answers for which a version may be held or reverted.
	minBad = 4
	// maxBadRatio is how many times the old version's fraction of bad answers is allowed, and
	// badAllowance a fraction allowed in addition, as the caches of new endpoints are empty.
	maxBadRatio  = 1.5
	badAllowance = 0.015
	// priorBad of priorAnswers are assumed as bad answers of the old version before any arrive.
	priorBad, priorAnswers = 1, 60
	// otherEndpointsSigma is by how many standard deviations the bad answers of all endpoints
	// but the worst must exceed the allowed number. minOtherAnswers is how many answers they
	// must have for that test; with fewer, enoughBad bad answers in all suffice.
	otherEndpointsSigma = 2.0
	minOtherAnswers     = 8
	enoughBad           = 20
)

// Counts holds numbers of answers.
type Counts struct {
	Sent, Answers, Failed, Slow int
}

func (c *Counts) add(t *splitter.Tally) {
	c.Sent += t.Sent
	c.Answers += t.Answers
	c.Failed += t.Failed
	c.Slow += t.Slow
}

func (c Counts) minus(o Counts) Counts {
	return Counts{c.Sent - o.Sent, c.Answers - o.Answers, c.Failed - o.Failed, c.Slow - o.Slow}
}

// String formats c for log lines.
func (c Counts) String() string {
	return fmt.Sprintf("%d sent, %d answers, %d failed, %d slow", c.Sent, c.Answers, c.Failed, c.Slow)
}

// Evidence is the result of comparing the answers of two versions.
type Evidence struct {
	New, Old Counts
	// RevertReason states why the version is bad, empty if it is not. HoldReason states why that
	// can't be decided yet.
	RevertReason, HoldReason string
}

// route holds the counts of one route.
type route struct {
	new, old Counts
	// byEndpoint holds the counts of the new version by endpoint.
	byEndpoint map[identifier.Endpoint]Counts
}

// snapshot holds the counts at one time by route; the empty route name stands for all routes.
type snapshot struct {
	at     time.Time
	routes map[string]*route
}

// merge takes over the tallies of all processes. They only rise, so lower ones are stale.
func (t *trial) merge(order uint64, processes map[string][]splitter.Tally) {
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

// sum adds up the counts by route.
func (t *trial) sum(now time.Time) snapshot {
	s := snapshot{at: now, routes: make(map[string]*route)}
	for _, n := range t.counts {
		for _, name := range []string{"", n.Route} {
			r := s.routes[name]
			if r == nil {
				r = &route{byEndpoint: make(map[identifier.Endpoint]Counts)}
				s.routes[name] = r
			}
			if n.Endpoint == "" {
				r.old.add(&n)
				continue
			}
			r.new.add(&n)
			e := r.byEndpoint[n.Endpoint]
			e.add(&n)
			r.byEndpoint[n.Endpoint] = e
		}
	}
	return s
}

// since returns the difference to an earlier snapshot.
func (s *snapshot) since(before *snapshot) snapshot {
	out := snapshot{at: s.at, routes: make(map[string]*route, len(s.routes))}
	for name, r := range s.routes {
		b := before.routes[name]
		if b == nil {
			b = &route{}
		}
		d := &route{new: r.new.minus(b.new), old: r.old.minus(b.old), byEndpoint: make(map[identifier.Endpoint]Counts, len(r.byEndpoint))}
		for e, n := range r.byEndpoint {
			d.byEndpoint[e] = n.minus(b.byEndpoint[e])
		}
		out.routes[name] = d
	}
	return out
}

// compare compares the answers of the new version with those of the old one.
func (t *trial) compare(now time.Time) Evidence {
	all := t.sum(now)
	t.history = append(t.history, all)
	for len(t.history) > 1 && now.Sub(t.history[1].at) >= recentWindow {
		t.history = t.history[1:]
	}
	out := Evidence{}
	if r := all.routes[""]; r != nil {
		out.New, out.Old = r.new, r.old
	}
	recent := all.since(&t.history[0])
	for _, s := range []struct {
		when   string
		counts *snapshot
	}{{"since the order", &all}, {"recently", &recent}} {
		for name, r := range s.counts.routes {
			worst := r.worst()
			if worst.weight < holdThreshold {
				continue
			}
			text := fmt.Sprintf("%s %s, route %q: %s of the new version, %s of the old", worst.what, s.when, name, r.new, r.old)
			if worst.weight >= revertThreshold && r.widespread(worst.bad) {
				out.RevertReason = text
			}
			out.HoldReason = text
		}
	}
	if out.HoldReason == "" {
		out.HoldReason = all.missingAnswers()
	}
	return out
}

// missingAnswers returns on which route there are too few answers, empty if there are enough.
func (s *snapshot) missingAnswers() string {
	all := s.routes[""]
	if all == nil || all.new.Answers < minAnswers {
		return "too few answers of the new version"
	}
	for name, r := range s.routes {
		if float64(r.old.Answers) < commonRouteFraction*float64(all.old.Answers) {
			continue
		}
		bad := float64(r.old.Failed+r.old.Slow) / float64(max(r.old.Answers, 1))
		if least := minRouteAnswers + int(min(answersPerBadFraction*bad, answersPerBadFraction/4)); name != "" && r.new.Answers < least {
			return fmt.Sprintf("route %q: %d answers of the new version, %d are needed", name, r.new.Answers, least)
		}
	}
	return ""
}

// finding is the kind of bad answer in which the versions differ most.
type finding struct {
	what   string
	bad    func(Counts) int
	weight float64
}

// worst compares failures, slow answers and both together, and returns the most significant.
func (r *route) worst() finding {
	out := finding{}
	for _, f := range []finding{
		{what: "failures", bad: func(s Counts) int { return s.Failed }},
		{what: "slow answers", bad: func(s Counts) int { return s.Slow }},
		{what: "failures and slow answers", bad: func(s Counts) int { return s.Failed + s.Slow }},
	} {
		if f.weight = logLikelihoodBound(f.bad(r.new), r.new.Answers, f.bad(r.old), r.old.Answers); f.weight > out.weight {
			out = f
		}
	}
	return out
}

// logLikelihoodBound bounds the likelihood of this many bad answers of the new version: it is
// at most e to the power of the negative result (Chernoff bound).
func logLikelihoodBound(bad, answers, oldBad, oldAnswers int) float64 {
	if bad < minBad || answers == 0 {
		return 0
	}
	allowed := allowedFraction(oldBad, oldAnswers)
	fraction := min(float64(bad)/float64(answers), 1)
	if fraction <= allowed {
		return 0
	}
	d := fraction * math.Log(fraction/allowed)
	if fraction < 1 {
		d += (1 - fraction) * math.Log((1-fraction)/(1-allowed))
	}
	return d * float64(answers)
}

// allowedFraction returns the fraction of answers that may be bad, given the old version's
// counts.
func allowedFraction(oldBad, oldAnswers int) float64 {
	return min(maxBadRatio*float64(oldBad+priorBad)/float64(oldAnswers+priorAnswers)+badAllowance, 1)
}

// widespread reports whether the bad answers come from the version and not from one endpoint
// alone.
func (r *route) widespread(bad func(Counts) int) bool {
	if len(r.byEndpoint) < 2 {
		return true
	}
	worst := slices.MaxFunc(endpointCounts(r.byEndpoint), func(a, b Counts) int { return bad(a) - bad(b) })
	rest := r.new.minus(worst)
	if rest.Answers < minOtherAnswers {
		return bad(r.new) >= enoughBad
	}
	allowed := allowedFraction(bad(r.old), r.old.Answers)
	return bad(rest) > 0 && float64(bad(rest)) >= allowed*float64(rest.Answers)+otherEndpointsSigma*math.Sqrt(allowed*float64(rest.Answers))
}

func endpointCounts(byEndpoint map[identifier.Endpoint]Counts) []Counts {
	out := make([]Counts, 0, len(byEndpoint))
	for _, s := range byEndpoint {
		out = append(out, s)
	}
	return out
}
