package scheduler

import (
	"fmt"
	"time"
)

const (
	// objectiveTime is how long the objectives of requests count after they came.
	objectiveTime = 5 * time.Second
	// An endpoint is scarce if its backlog takes longer than beginFraction of the shortest objective,
	// and no longer scarce after calmTime under endFraction: then a burst of a few prompts neither
	// begins nor ends the state.
	beginFraction = 0.5
	endFraction   = 0.25
	calmTime      = time.Second
	// minObjective stands for shorter objectives and for what is left of one when a client comes again:
	// with less, the queue that is kept at the endpoint would itself count as scarcity.
	minObjective = 2 * engineQueue
)

// scarcity is the state in which more is asked of the endpoint than it can serve in time.
type scarcity struct {
	scarce bool
	reason string
	// calmSince is when the state would last have begun no more; zero while it would.
	calmSince time.Time
	// The shortest objective is kept for the present and the former period of objectiveTime.
	present, former time.Duration
	since           time.Time
}

// observe records the objective of a request that waits or starts.
func (c *scarcity) observe(objective time.Duration, now time.Time) {
	c.turn(now)
	objective = max(objective, minObjective)
	if c.present == 0 || objective < c.present {
		c.present = objective
	}
}

// turn begins a new period if the present one is over.
func (c *scarcity) turn(now time.Time) {
	elapsed := now.Sub(c.since)
	if elapsed < objectiveTime {
		return
	}
	c.former, c.present, c.since = c.present, 0, now
	if elapsed >= 2*objectiveTime {
		c.former = 0
	}
}

// shortest returns the shortest objective of late; 0 if there was none.
func (c *scarcity) shortest(now time.Time) time.Duration {
	c.turn(now)
	if c.former == 0 || c.present != 0 && c.present < c.former {
		return c.present
	}
	return c.former
}

// updateScarcity brings the state of scarcity to the present.
func (s *Scheduler) updateScarcity(now time.Time) {
	c := &s.scarcity
	objective := c.shortest(now)
	backlog := s.speed.duration(s.backlog(nil))
	why := ""
	if blocked := s.blocked(); blocked != "" {
		why = blocked
	} else if objective > 0 && backlog > time.Duration(beginFraction*float64(objective)) {
		why = fmt.Sprintf("prefill: %d ms ahead of a new request, shortest objective %d ms, %.0f tokens/s", backlog.Milliseconds(), objective.Milliseconds(), s.speed.tokensPerSecond)
	}
	switch {
	case why != "":
		c.scarce, c.reason, c.calmSince = true, why, time.Time{}
	case !c.scarce:
	case objective > 0 && backlog > time.Duration(endFraction*float64(objective)):
		c.calmSince = time.Time{}
	case c.calmSince.IsZero():
		c.calmSince = now
	case now.Sub(c.calmSince) >= calmTime:
		c.scarce, c.reason = false, ""
	}
}

// blocked says whether all slots or the memory are taken while something waits. What is withheld from
// some requests does not count, as it is withheld because the endpoint is scarce, nor does a request
// larger than the memory, which waits until the endpoint is idle.
func (s *Scheduler) blocked() string {
	var oldest *entry
	full := len(s.engine.runs) >= s.c.Slots
	for _, e := range s.waiting {
		need := memoryNeed(&e.request)
		bounded := s.c.MemoryTokens > 0
		if bounded && need > s.c.MemoryTokens || !full && (!bounded || s.engine.memory+need <= s.c.MemoryTokens) {
			continue
		}
		if oldest == nil || e.sequence < oldest.sequence {
			oldest = e
		}
	}
	switch {
	case oldest == nil:
		return ""
	case full:
		return fmt.Sprintf("slots: %d of %d taken, %d wait", len(s.engine.runs), s.c.Slots, len(s.waiting))
	}
	return fmt.Sprintf("memory: %d of %d tokens taken, %d needed by the oldest, %d wait", s.engine.memory, s.c.MemoryTokens, memoryNeed(&oldest.request), len(s.waiting))
}

// backlog returns the prompt tokens that were started or wait, without those of one entry.
func (s *Scheduler) backlog(without *entry) float64 {
	sum := s.engine.pending(lowestRank)
	for k, e := range s.waiting {
		if without == nil || k != without.request.Key() {
			sum += s.uncachedOf(e)
		}
	}
	return sum
}
