package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"brasschute/internal/core/identifier"
)

// firstEventMargin is the time from the end of a prompt's prefill to its first event at the client,
// and what a prediction misses: the step under way, the next one, and the ways between daemons.
const firstEventMargin = 50 * time.Millisecond

const (
	// cacheRoom is the part of the memory that is left to cached parts. With more, requests wait
	// although the engine has memory for them; with less, running requests evict shared parts, which
	// the next callers' prompts then have prefilled again.
	cacheRoom = 0.15
	// While the endpoint is scarce, urgentSlots of its slots are left to more urgent requests for each
	// rank, up to maxSlotRanks of them: a slot stays taken for seconds, longer than objectives are. With more,
	// slots idle while less urgent callers wait; with less, urgent ones find all slots taken.
	urgentSlots  = 0.04
	maxSlotRanks = 2
	// shareSlots are left to the other organisations by one that got more than the mean. With more, the
	// slots idle when the others ask for nothing; with less, they wait for the end of its streams.
	shareSlots = 0.02
	// While the endpoint is scarce, a request that can't be on time starts when no more than lateQueue
	// is left to prefill, as the next one that can may come in the meantime.
	lateQueue = time.Millisecond
	// While the endpoint is scarce, an organisation that got more than the mean starts requests with
	// shareQueue of that, as those of the others who come next would have to wait for its prefill. With
	// more they wait for longer; with less the engine idles between requests when only one asks.
	shareQueue = 0.3
	// minQueue is the least prefill work that the queue at the endpoint may hold for any rank: a step.
	minQueue = 25 * time.Millisecond
	// arrivalWeight is the weight of more urgent arrivals in the prediction of a wait, as some of them
	// are refused. With more, callers are refused that would have been on time; with less, callers wait
	// in vain and are refused when they ask again.
	arrivalWeight = 0.4
)

// queuePosition is the position of an entry in the order: what is served before it.
type queuePosition struct {
	// pending is what the endpoint itself prefills first, tokens that and what the entries before this
	// one add to it.
	pending float64
	tokens  float64
	entries int
	memory  identifier.Tokens
	// others is the number of other entries that wait.
	others int
}

// orderKey is what the order of entries depends on.
type orderKey struct {
	entry *entry
	// last is set for an entry that can't be on time while the endpoint is scarce: it goes behind all
	// that can.
	last    bool
	starved bool
	onTime  bool
	share   float64
}

// positionOf returns the position of an entry among those that wait.
func (s *Scheduler) positionOf(e *entry, now time.Time) queuePosition {
	p := queuePosition{pending: s.engine.pending(e.request.Rank)}
	p.tokens = p.pending
	own := s.orderKeyOf(e, now)
	for k, other := range s.waiting {
		if k == e.request.Key() {
			continue
		}
		p.others++
		if st := s.orderKeyOf(other, now); compareOrderKeys(&st, &own) < 0 {
			p.entries++
			p.tokens += st.entry.uncached
			p.memory += memoryNeed(&other.request)
		}
	}
	return p
}

// orderKeyOf returns the order key of an entry.
func (s *Scheduler) orderKeyOf(e *entry, now time.Time) orderKey {
	tokens := s.engine.pending(e.request.Rank) + s.uncachedOf(e)
	key := orderKey{
		entry: e, starved: !now.Before(e.starvesAt),
		onTime: !now.Add(s.speed.duration(tokens)).After(e.objective),
		share:  s.shares.of(&e.request, now),
	}
	key.last = s.scarcity.scarce && !key.onTime && !key.starved
	return key
}

// compareOrderKeys orders entries by these criteria, of which the first that differs decides: on time
// or starved (only while the endpoint is scarce), rank, starved, on time, booking due, smaller share of
// its organisation, earlier objective, arrival.
func compareOrderKeys(a, b *orderKey) int {
	return cmp.Or(
		compareBools(a.last, b.last),
		cmp.Compare(a.entry.request.Rank, b.entry.request.Rank),
		-compareBools(a.starved, b.starved),
		-compareBools(a.onTime, b.onTime),
		-compareBools(a.entry.due, b.entry.due),
		cmp.Compare(a.share, b.share),
		a.entry.objective.Compare(b.entry.objective),
		cmp.Compare(a.entry.sequence, b.entry.sequence),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// dropLast drops the last waiting entry of the order if too many wait. When its daemon asks again, it
// is a new arrival, and is refused if maxWaiting entries go before it.
func (s *Scheduler) dropLast(now time.Time) {
	if len(s.waiting) <= maxWaiting {
		return
	}
	var last orderKey
	for _, e := range s.waiting {
		if st := s.orderKeyOf(e, now); last.entry == nil || compareOrderKeys(&st, &last) > 0 {
			last = st
		}
	}
	delete(s.waiting, last.entry.request.Key())
}

// fits reports whether an entry can start: the endpoint has little to prefill, or nothing if the entry
// would be late while the endpoint is scarce, a slot and memory are free, and all that is left for
// those before it. An endpoint that crashes under rejections must survive that of the entry, too.
func (s *Scheduler) fits(e *entry, p *queuePosition, now time.Time) bool {
	unread := s.engine.pending(lowestRank)
	if unread+p.tokens-p.pending >= s.speed.within(s.maxPrefillAhead(&e.request, now)) {
		return false
	}
	firstEventIn := s.speed.duration(p.tokens) + s.speed.duration(e.uncached) + firstEventMargin
	if s.scarcity.scarce && firstEventIn > e.objective.Sub(now) && unread > s.speed.within(lateQueue) {
		return false
	}
	return s.admissionIn(p.entries, now) == 0 && s.hasRoom(&e.request, p.entries, p.memory, now)
}

// maxPrefillAhead returns how much prefill work may be at the endpoint when a request starts. A less
// urgent one starts with less ahead of it, as urgent ones overtake it at the endpoint, where it can't
// be taken back.
func (s *Scheduler) maxPrefillAhead(r *Request, now time.Time) time.Duration {
	before := s.arrivalRate.before(r.Rank, s.speed.tokensPerSecond, now)
	d := (1 - before) * float64(engineQueue)
	if s.scarcity.scarce && s.shares.over(r, now) {
		d *= shareQueue
	}
	return max(time.Duration(d), minQueue)
}

// hasRoom reports whether slots and memory suffice for a request behind others. A request larger than
// the memory fits into an idle endpoint, which then answers for itself.
func (s *Scheduler) hasRoom(r *Request, entries int, memory identifier.Tokens, now time.Time) bool {
	slots, free := s.room(r, now)
	return len(s.engine.runs)+entries == 0 || entries < slots && (s.c.MemoryTokens <= 0 || memory+memoryNeed(r) <= free)
}

// room returns the slots and the memory that are free for a request.
func (s *Scheduler) room(r *Request, now time.Time) (slots int, memory identifier.Tokens) {
	slots = s.slots(now)
	if s.scarcity.scarce {
		left := urgentSlots * float64(min(max(r.Rank, 0), maxSlotRanks))
		if s.shares.over(r, now) {
			left += shareSlots
		}
		slots -= int(left * float64(slots))
	}
	return slots - len(s.engine.runs), identifier.Tokens((1-cacheRoom)*float64(s.c.MemoryTokens)) - s.engine.memory
}

// roomIn returns the time until slots and memory suffice for a request behind others.
func (s *Scheduler) roomIn(r *Request, p *queuePosition, now time.Time) time.Duration {
	if s.hasRoom(r, p.entries, p.memory, now) {
		return 0
	}
	slots, memory := s.room(r, now)
	return s.releaseRate.until(p.entries+1-slots, p.memory+memoryNeed(r)-memory, now)
}

// outcome is the decision on an entry, with the booking that a refusal makes.
type outcome struct {
	Offer
	booking *booking
}

// decide decides on an entry and changes nothing.
func (s *Scheduler) decide(e *entry, now time.Time) outcome {
	if e.request.Unsized {
		return outcome{Offer: s.admit(e, now)}
	}
	p := s.positionOf(e, now)
	o := Offer{
		StartIn: s.speed.duration(p.tokens), TokensAhead: p.tokens, Streams: len(s.engine.runs), Scarce: s.scarcity.scarce,
		Cached: max(e.request.PromptTokens-identifier.Tokens(math.Round(e.uncached)), 0), SurvivedRejections: s.rejections.stated(now),
	}
	fits := s.fits(e, &p, now)
	if !fits {
		o.StartIn = s.waitOf(e, &p, now)
	}
	o.FirstEventIn = o.StartIn + s.speed.duration(e.uncached) + firstEventMargin
	limit := min(e.silence.Sub(now), e.deadline.Sub(now))
	late := o.FirstEventIn > e.objective.Sub(now)
	busy := p.others > 0 || float64(len(s.engine.runs)) >= busyFraction*float64(s.slots(now))
	switch {
	case limit <= 0 || busy && o.FirstEventIn > limit:
		return s.refuse(e, o, now, fmt.Sprintf("no first event before the client gives up: predicted in %d ms, limit %d ms", o.FirstEventIn.Milliseconds(), limit.Milliseconds()))
	case fits:
		o.Decision = Start
		return outcome{Offer: o}
	case p.entries >= maxWaiting:
		return s.refuse(e, o, now, fmt.Sprintf("too many wait: %d before it", p.entries))
	case busy && late && s.scarcity.scarce && !e.due && now.Before(e.starvesAt):
		return s.refuse(e, o, now, fmt.Sprintf("scarce and can't be on time: predicted in %d ms, objective in %d ms", o.FirstEventIn.Milliseconds(), e.objective.Sub(now).Milliseconds()))
	}
	o.Decision, o.AskAgain = Wait, s.askAgain(e, &p, now)
	o.Reason = fmt.Sprintf("waits: %d before it, %.0f tokens ahead, %d started", p.entries, p.tokens, len(s.engine.runs))
	if d := s.admissionIn(p.entries, now); d > 0 {
		o.Reason += fmt.Sprintf(", may be one rejection too many for %d ms", d.Milliseconds())
	}
	return outcome{Offer: o}
}

// waitOf returns the predicted time until an entry that does not fit starts. More urgent ones arrive
// meanwhile and go before it; all that do if it can't be on time.
func (s *Scheduler) waitOf(e *entry, p *queuePosition, now time.Time) time.Duration {
	d := max(s.speed.duration(p.tokens), s.roomIn(&e.request, p, now), s.admissionIn(p.entries, now))
	before := arrivalWeight * s.arrivalRate.before(e.request.Rank, s.speed.tokensPerSecond, now)
	if s.scarcity.scarce && !s.orderKeyOf(e, now).onTime {
		before = s.arrivalRate.before(lowestRank, s.speed.tokensPerSecond, now)
	}
	return time.Duration(float64(d) / (1 - before))
}

// refuse refuses an entry and finds a place for its return.
func (s *Scheduler) refuse(e *entry, o Offer, now time.Time, why string) outcome {
	b, note := s.bookings.find(e, s.backlog(e), s.speed.tokensPerSecond, now)
	o.Decision, o.RetryAfter, o.Reason = Refuse, max(b.at.Sub(now), 0), why+"; "+note
	return outcome{Offer: o, booking: b}
}

// askAgain returns the time after which the daemon of a waiting entry asks again: when the endpoint
// is expected to have room for it, or, if slots or memory are short, soon for those in front.
func (s *Scheduler) askAgain(e *entry, p *queuePosition, now time.Time) time.Duration {
	d := max(s.speed.duration(p.tokens)-s.maxPrefillAhead(&e.request, now), s.admissionIn(p.entries, now))
	if !s.hasRoom(&e.request, p.entries, p.memory, now) {
		d = max(d, time.Duration(p.entries+1)*2*minAskAgain)
	}
	return min(max(d, minAskAgain), maxAskAgain)
}
