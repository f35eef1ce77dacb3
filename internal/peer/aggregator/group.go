package aggregator

import (
	"maps"
	"math"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/roster"
	"brasschute/internal/peer/rpc"
)

const (
	// sourceTimeout is how long the primary is silent before another relay is followed. Relays
	// send their sums every 0.4 s.
	sourceTimeout = 1300 * time.Millisecond
	// minCoverage is the fraction of the daemons heard by another relay that a relay must hear to
	// be followed.
	minCoverage = 0.5
	// coverageTime is how long the relay must have heard them. A relay that comes back after a
	// partition catches up with charges that others have long reported, and these must not count
	// again.
	coverageTime = 2 * time.Second
	// rateTimeConstant is the time constant of the averages of a group's rates.
	rateTimeConstant = 2 * time.Second
)

// group is a number of daemons that relays sum.
type group struct {
	sources map[identifier.Host]*source
	// primary is the relay that is followed, incarnation its process.
	primary     identifier.Host
	incarnation uint64
	// totals are the known charges of the group, base is where updates start.
	totals, base map[string]float64
	// rates are the averages of what the group charges per second.
	rates map[string]float64
	// rebase means that the next update sets base to totals.
	rebase  bool
	age     time.Duration
	heardAt time.Time
}

// source is a group as one relay sums it.
type source struct {
	incarnation, sequence uint64
	heardAt               time.Time
	age                   time.Duration
	summary               *rpc.Summary
	// totals are the relay's, marks their values at the last update of the primary. marks is nil
	// if there was no update since the relay was first heard.
	totals, marks map[string]float64
	// coveringSince is since when the relay has heard enough of the group's daemons; zero if it
	// does not.
	coveringSince time.Time
}

// cloneOrNew returns a copy of a map, or a new one for nil.
func cloneOrNew(m map[string]float64) map[string]float64 {
	if m == nil {
		return make(map[string]float64)
	}
	return maps.Clone(m)
}

// merge merges a relay's summary, and reports whether it is an update of the group. missed: this
// daemon has missed what was charged since the last update, and must not count it.
func (g *group) merge(d *rpc.Digest, start, now time.Time, missed bool) bool {
	host := identifier.Host(d.GetHost())
	s := g.sources[host]
	switch {
	case s == nil || d.GetIncarnation() > s.incarnation:
		s = &source{incarnation: d.GetIncarnation(), totals: make(map[string]float64)}
		if g.sources == nil {
			g.sources = make(map[identifier.Host]*source)
		}
		if len(g.sources) >= maxDaemons {
			return false
		}
		g.sources[host] = s
	case d.GetIncarnation() < s.incarnation || d.GetSequence() <= s.sequence:
		return false
	}
	previousTotals := s.totals
	ageIncrease := time.Duration(d.GetAgeMilli())*time.Millisecond - s.age
	s.apply(d, now)
	primary := g.choosePrimary(now)
	switch {
	case missed && primary != "":
		g.restart(primary, now)
		return true
	case primary != host && (primary != g.primary || g.primary == ""):
		// Another relay is followed from now on; its own update follows shortly.
		g.follow(primary, start, now)
		return true
	case primary != host:
		return false
	case primary == g.primary && g.incarnation == s.incarnation:
		g.addIncrease(previousTotals, s.totals, now)
		g.age += max(ageIncrease, 0)
	default:
		g.follow(primary, start, now)
	}
	g.heardAt = now
	g.markOthers(now)
	return true
}

// restart continues with a relay after this daemon has missed updates, without what was charged meanwhile.
func (g *group) restart(primary identifier.Host, now time.Time) {
	g.age += now.Sub(g.heardAt)
	clear(g.rates)
	g.primary, g.incarnation, g.heardAt = primary, g.sources[primary].incarnation, now
	g.markOthers(now)
}

// markOthers marks the totals of the relays that are not followed. The current totals of a
// silent relay are unknown, so it gets no mark: continued from its last totals, charges already
// counted would count twice.
func (g *group) markOthers(now time.Time) {
	for host, s := range g.sources {
		switch {
		case host == g.primary:
		case now.Sub(s.heardAt) > sourceTimeout:
			s.marks = nil
		default:
			s.marks = maps.Clone(s.totals)
		}
	}
}

// apply takes over a relay's summary. Totals only rise, so lower ones are ignored.
func (s *source) apply(d *rpc.Digest, now time.Time) {
	s.sequence, s.heardAt, s.summary = d.GetSequence(), now, d.GetSummary()
	s.age = time.Duration(d.GetAgeMilli()) * time.Millisecond
	s.totals = maps.Clone(s.totals)
	for _, c := range d.GetSummary().GetCharges() {
		s.totals[c.GetOrganisation()] = max(s.totals[c.GetOrganisation()], c.GetTotal())
	}
}

// choosePrimary returns the relay to follow: the first by rank that was heard lately and hears
// enough of the group. Relays whose totals can be continued from a mark come first.
func (g *group) choosePrimary(now time.Time) identifier.Host {
	g.updateCoverage(now)
	best, rank, bestPreference := identifier.Host(""), uint64(0), -1
	for host, s := range g.sources {
		if s.coveringSince.IsZero() {
			continue
		}
		r, preference := roster.Rank(host), 0
		switch {
		case host == g.primary && s.incarnation == g.incarnation, s.marks != nil && now.Sub(s.coveringSince) >= coverageTime:
			preference = 2
		case s.marks != nil:
			preference = 1
		}
		if preference > bestPreference || preference == bestPreference && r < rank {
			best, rank, bestPreference = host, r, preference
		}
	}
	return best
}

// updateCoverage updates which relays hear enough of the group, and drops those silent for longer
// than forgetAfter.
func (g *group) updateCoverage(now time.Time) {
	most := uint32(0)
	for host, s := range g.sources {
		if now.Sub(s.heardAt) > forgetAfter {
			delete(g.sources, host)
		} else if now.Sub(s.heardAt) <= sourceTimeout {
			most = max(most, daemonsHeard(s.summary))
		}
	}
	for _, s := range g.sources {
		switch covers := now.Sub(s.heardAt) <= sourceTimeout && float64(daemonsHeard(s.summary)) >= minCoverage*float64(most); {
		case !covers:
			s.coveringSince = time.Time{}
		case s.coveringSince.IsZero():
			s.coveringSince = now
		}
	}
}

// daemonsHeard returns how many daemons a relay hears.
func daemonsHeard(s *rpc.Summary) uint32 { return s.GetDaemons() - min(s.GetSilent(), s.GetDaemons()) }

// follow continues with another relay, or with a new process of the same one. start is the start
// of this daemon's process.
func (g *group) follow(primary identifier.Host, start, now time.Time) {
	s := g.sources[primary]
	if s == nil {
		return
	}
	switch {
	case g.heardAt.IsZero():
		g.age = s.age
		if max(s.age, now.Sub(start)) < joinAge {
			g.addIncrease(nil, s.totals, now)
		}
	case s.marks != nil:
		g.addIncrease(s.marks, s.totals, now)
		g.age += now.Sub(g.heardAt)
	default:
		// It is not known what was charged since the last update. The estimate assumes that the
		// rates continued and decayed with their time constant.
		gap := rateTimeConstant.Seconds() * (1 - math.Exp(-now.Sub(g.heardAt).Seconds()/rateTimeConstant.Seconds()))
		for o, rate := range g.rates {
			g.totals[o] += rate * gap
		}
		g.age += now.Sub(g.heardAt)
	}
	if g.totals == nil {
		g.totals, g.rates = make(map[string]float64), make(map[string]float64)
	}
	g.primary, g.incarnation, g.heardAt = primary, s.incarnation, now
	g.markOthers(now)
}

// addIncrease adds what a relay's totals rose by to the group's totals and rates.
func (g *group) addIncrease(before, after map[string]float64, now time.Time) {
	if g.totals == nil {
		g.totals, g.rates = make(map[string]float64), make(map[string]float64)
	}
	elapsed := now.Sub(g.heardAt).Seconds()
	weight := 1 - math.Exp(-elapsed/rateTimeConstant.Seconds())
	for o, total := range after {
		increase := max(total-before[o], 0)
		g.totals[o] += increase
		if elapsed > 0 && !g.heardAt.IsZero() {
			g.rates[o] += weight * (increase/elapsed - g.rates[o])
		}
	}
}

// current returns the last summary of the primary, nil if it is silent.
func (g *group) current(now time.Time) *rpc.Summary {
	s := g.sources[g.primary]
	if s == nil || now.Sub(s.heardAt) > silentAfter {
		return nil
	}
	return s.summary
}

// lastHeard returns when the primary was last heard; zero if never.
func (g *group) lastHeard() time.Time {
	if s := g.sources[g.primary]; s != nil {
		return s.heardAt
	}
	return time.Time{}
}

// update returns the group's accounts as an update.
func (g *group) update(name identifier.Host) Update {
	if g.rebase {
		g.base, g.rebase = cloneOrNew(g.totals), false
	}
	u := Update{Name: name, Incarnation: 1, Age: g.age}
	if s := g.sources[g.primary]; s != nil {
		u.Daemons, u.Silent = int(s.summary.GetDaemons()), int(s.summary.GetSilent())
		u.Accounts = accounts(s.summary.GetCharges(), g.totals, g.base)
	}
	return u
}
