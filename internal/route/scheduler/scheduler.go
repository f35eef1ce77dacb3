// Package scheduler decides in which order requests are sent to one endpoint.
//
// An endpoint with a queue of its own serves requests by urgency and arrival, and what has been
// sent can't be taken back. A [Scheduler] therefore lets only as many requests start as keep the
// endpoint busy. The others wait at their daemons, or are refused with the time at which there
// will be room for them. It is needed when more is asked of an endpoint for some seconds
// than it can prefill in time, much of it by one organisation, while refused clients return.
//
// # Usage
//
//	s := scheduler.New(scheduler.Config{Slots: 64, MemoryTokens: 640_000})
//	offer := s.Quote(request, now) // enters nothing
//	offer = s.Reserve(request, now) // again after offer.AskAgain while the decision is Wait
//	s.FirstEvent(request.Key(), now)
//	s.End(request.Key(), now)
//
// A Scheduler has no clock of its own: each call passes the time, which must not go backwards.
package scheduler

import (
	"cmp"
	"slices"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/prefix"
	"brasschute/internal/route/cachetracker"
)

const (
	// engineQueue is how much prefill work is kept at the endpoint: enough for the answer of a call
	// between zones and for the pauses of a busy host, and little against the shortest objective.
	engineQueue = 150 * time.Millisecond
	// maxWaiting bounds the waiting requests.
	maxWaiting = 64
	// maxStarted bounds the started requests, and so the slots: several times the slots of the largest engines.
	maxStarted = 4096
	// entryTTL is how long a waiting request is kept without being asked for again. Its daemon asks
	// every maxAskAgain at least, so that it has missed several turns by then.
	entryTTL = 300 * time.Millisecond
	// Waiting daemons ask again after minAskAgain to maxAskAgain: sooner is more calls than the
	// prefill of a chunk is worth, later leaves the endpoint idle when it is faster than predicted.
	minAskAgain = 5 * time.Millisecond
	maxAskAgain = 80 * time.Millisecond
	// busyFraction of the slots has to be taken, or something has to wait, before anything is
	// refused. With more, requests that are sure to be late start and delay those that come next; with
	// less, a prediction that is wrong refuses requests that an almost idle endpoint would serve.
	busyFraction = 0.5
)

// Config describes the endpoint.
type Config struct {
	// Slots is the number of requests that the endpoint runs at once; 0 if it is not known.
	Slots int
	// MemoryTokens is its KV cache capacity in tokens.
	MemoryTokens identifier.Tokens
	// TokensPerSecond is the estimated prefill speed, used until the endpoint's own is known.
	TokensPerSecond float64
}

// Key identifies a request of one daemon.
type Key struct {
	Daemon  identifier.Host
	Request identifier.Request
}

// Request is a request for a place at the endpoint.
type Request struct {
	ID     identifier.Request
	Daemon identifier.Host
	// Rank is the priority; 0 is the most urgent.
	Rank int
	// Organisation shares the endpoint with others by Weight, which follows from its quota; 1 for
	// organisations without one.
	Organisation identifier.Organisation
	Weight       float64
	// Fingerprint is equal for all attempts of a client at the same request; empty if unknown.
	Fingerprint identifier.Fingerprint
	// PromptTokens counts all prompt tokens, OutputTokens the most that are generated.
	PromptTokens identifier.Tokens
	OutputTokens identifier.Tokens
	// Blocks are the prompt's shared leading parts; Sizes holds, by position, the number of prompt
	// tokens up to the end of each.
	Blocks []prefix.Block
	Sizes  []identifier.Tokens
	// ObjectiveLeft is the time until the first event is late, negative if it already is.
	// SilenceLeft is the time until the client gives up without a first event, TimeLeft the time
	// until the request's deadline.
	ObjectiveLeft time.Duration
	SilenceLeft   time.Duration
	TimeLeft      time.Duration
	// SurvivedRejections is the number of rejections a second that the endpoint survives, as far as the
	// daemon knows; 0 if it knows of no bound.
	SurvivedRejections float64
	// Unsized: the work that the request makes is not known. It is not predicted, and only waits until the
	// endpoint survives its rejection.
	Unsized bool
}

// Key returns the request's key.
func (r *Request) Key() Key { return Key{r.Daemon, r.ID} }

// Decision says what happens to a request.
type Decision int

// The decisions.
const (
	// Start means that the request is sent now.
	Start Decision = iota
	// Wait means that the request waits at its daemon, which asks again after Offer.AskAgain.
	Wait
	// Refuse means that the request is not served now; the client may return after
	// Offer.RetryAfter.
	Refuse
)

// String returns the name of the decision for logs.
func (d Decision) String() string { return [...]string{"start", "wait", "refuse"}[d] }

// Offer is the answer to a request for a place.
type Offer struct {
	Decision Decision
	// StartIn is the predicted time until the prefill of the request begins, FirstEventIn the time
	// until its first event.
	StartIn      time.Duration
	FirstEventIn time.Duration
	// Cached is the number of prompt tokens that the endpoint has cached. TokensAhead are the
	// prompt tokens that it prefills before those of the request, Streams the requests that run.
	Cached      identifier.Tokens
	TokensAhead float64
	Streams     int
	// AskAgain is set with Wait, RetryAfter with Refuse.
	AskAgain   time.Duration
	RetryAfter time.Duration
	// Scarce is set while more is asked of the endpoint than it can serve in time.
	Scarce bool
	// Reason explains a decision other than Start, with its figures.
	Reason string
	// SurvivedRejections is the number of rejections a second that the endpoint survives; 0 if no bound
	// is known. If one is, the request must not be sent before Reserve lets it start.
	SurvivedRejections float64
}

// State is the state of a scheduler, for metrics and logs.
type State struct {
	Started, Waiting, Booked int
	// Backlog is the time that the endpoint takes to prefill what was started and what waits.
	Backlog time.Duration
	// TokensPerSecond is the prefill speed in use.
	TokensPerSecond float64
	Scarce          bool
	// Reason says why the endpoint counts as scarce.
	Reason string
}

// Scheduler is the queue of one endpoint. It is not safe for concurrent use.
type Scheduler struct {
	c     Config
	cache *cachetracker.Tracker
	// cacheVersion changes whenever the contents of cache may have changed.
	cacheVersion int
	engine       engine
	waiting      map[Key]*entry
	bookings     bookings
	shares       shares
	arrivalRate  arrivalRate
	releaseRate  releaseRate
	speed        speed
	scarcity     scarcity
	rejection    rejection
	rejections   rejectionBudget
	// sequence orders the arrivals of requests.
	sequence int
}

// entry is a waiting request. Its times are points in time, so that they hold between calls.
type entry struct {
	request  Request
	sequence int
	arrived  time.Time
	asked    time.Time
	// objective, silence and deadline are when the times left of the request have passed.
	objective time.Time
	silence   time.Time
	deadline  time.Time
	// due is set for a request that returned at its booked place. From starvesAt on it has waited for
	// half of its client's timeout.
	due       bool
	starvesAt time.Time
	// uncached are the prompt tokens to prefill as of cacheVersion.
	uncached     float64
	cacheVersion int
}

// New returns the scheduler of an endpoint that runs nothing.
func New(c Config) *Scheduler {
	if c.Slots == 0 {
		c.Slots = maxStarted
	}
	c.Slots = min(max(c.Slots, 1), maxStarted)
	return &Scheduler{
		c: c, cache: cachetracker.New(c.MemoryTokens), waiting: make(map[Key]*entry),
		engine: newEngine(), bookings: newBookings(), shares: newShares(), speed: newSpeed(c.TokensPerSecond),
		rejections: newRejectionBudget(),
	}
}

// Quote returns what [Scheduler.Reserve] would. It enters nothing; entries and bookings whose time has
// passed are dropped as by any call.
func (s *Scheduler) Quote(r *Request, now time.Time) Offer {
	// What the passing of time changes is taken back, so that later answers do not depend on how often
	// somebody asked.
	engine, scarcity := s.engine.save(), s.scarcity
	defer func() {
		s.engine.restore(engine)
		s.scarcity = scarcity
	}()
	s.advance(now)
	if run := s.engine.runs[r.Key()]; run != nil {
		return s.startedOffer(run)
	}
	return s.decide(s.entryOf(r, now), now).Offer
}

// Reserve enters a request. It is idempotent: a daemon whose request waits calls it again, and a
// request that has started stays started.
func (s *Scheduler) Reserve(r *Request, now time.Time) Offer {
	s.advance(now)
	if run := s.engine.runs[r.Key()]; run != nil {
		return s.startedOffer(run)
	}
	e := s.entryOf(r, now)
	v := s.decide(e, now)
	s.count(e, now)
	delete(s.waiting, r.Key())
	switch v.Decision {
	case Start:
		s.start(e, now)
	case Wait:
		s.enter(e, now)
	case Refuse:
		s.bookings.add(r, v.booking)
	}
	s.updateScarcity(now)
	return v.Offer
}

// Started records a request that its daemon has sent without a reservation, or that was sent
// before this scheduler existed.
func (s *Scheduler) Started(r *Request, now time.Time) {
	s.advance(now)
	if s.engine.runs[r.Key()] != nil || len(s.engine.runs) >= maxStarted {
		return
	}
	e := s.entryOf(r, now)
	s.count(e, now)
	delete(s.waiting, r.Key())
	s.start(e, now)
	s.updateScarcity(now)
}

// FirstEvent records that a started request has delivered its first event, so that its prompt is
// cached.
func (s *Scheduler) FirstEvent(k Key, now time.Time) {
	s.advance(now)
	delete(s.rejections.started, k)
	run := s.engine.runs[k]
	if run == nil || run.firstEvent {
		return
	}
	s.speed.firstEvent(run.uncached, s.engine.firstEvent(run), now)
	s.rejection.accepted(len(s.engine.runs))
	r := &run.request
	shared := identifier.Tokens(0)
	if n := min(len(r.Blocks), len(r.Sizes)); n > 0 {
		shared = r.Sizes[n-1]
	}
	s.cache.Add(r.Blocks, r.Sizes, max(r.PromptTokens-shared, 0))
	s.cacheVersion++
}

// End records that a request has ended, was withdrawn or never started.
func (s *Scheduler) End(k Key, now time.Time) {
	s.advance(now)
	delete(s.waiting, k)
	s.remove(k, now)
}

// RequestRejected records that the endpoint rejected a started request for want of room.
func (s *Scheduler) RequestRejected(k Key, now time.Time) {
	s.Rejected(now)
	s.rejections.record(now)
	s.remove(k, now)
}

// Rejected records that the endpoint rejected a request for want of room. Until it has shown more room
// again, it gets no more requests than it ran then.
func (s *Scheduler) Rejected(now time.Time) {
	s.advance(now)
	s.rejection.record(len(s.engine.runs), now)
}

// DropDaemon ends all requests of a daemon that is no longer heard of.
func (s *Scheduler) DropDaemon(h identifier.Host, now time.Time) {
	s.advance(now)
	for k := range s.waiting {
		if k.Daemon == h {
			delete(s.waiting, k)
		}
	}
	for _, k := range s.Keys(h) {
		s.remove(k, now)
	}
}

// Keys returns the started requests of a daemon.
func (s *Scheduler) Keys(h identifier.Host) []Key {
	var keys []Key
	for k := range s.engine.runs {
		if k.Daemon == h {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int { return cmp.Compare(a.Request, b.Request) })
	return keys
}

// State returns the scheduler's state.
func (s *Scheduler) State(now time.Time) State {
	s.advance(now)
	return State{
		Started: len(s.engine.runs), Waiting: len(s.waiting), Booked: len(s.bookings.byFingerprint),
		Backlog: s.speed.duration(s.backlog(nil)), TokensPerSecond: s.speed.tokensPerSecond,
		Scarce: s.scarcity.scarce, Reason: s.scarcity.reason,
	}
}

// advance brings the state to the present: the endpoint has prefilled, and entries and bookings
// whose time has passed are dropped.
func (s *Scheduler) advance(now time.Time) {
	s.engine.advance(s.speed.tokensPerSecond, now)
	for k, e := range s.waiting {
		if now.Sub(e.asked) > entryTTL || now.After(e.deadline) {
			delete(s.waiting, k)
		}
	}
	s.bookings.expire(now)
	s.updateScarcity(now)
}

// count counts the arrival of an entry that did not wait. A request with a booking was counted when
// it was refused. One without a booking is counted at each return.
func (s *Scheduler) count(e *entry, now time.Time) {
	r := &e.request
	if s.waiting[r.Key()] != nil {
		return
	}
	s.sequence++
	if s.bookings.byFingerprint[keyOf(r)] == nil {
		s.arrivalRate.add(r.Rank, s.uncachedOf(e), now)
	}
}

// entryOf returns the entry of a request: the waiting one, brought up to date, or a new one.
func (s *Scheduler) entryOf(r *Request, now time.Time) *entry {
	s.rejections.observe(r.SurvivedRejections, now)
	e := &entry{request: *r, sequence: s.sequence + 1, arrived: now, cacheVersion: -1}
	e.due = s.bookings.due(r, now)
	e.starvesAt = now.Add(min(r.SilenceLeft, r.TimeLeft) / 2)
	if known := s.waiting[r.Key()]; known != nil {
		e.sequence, e.arrived, e.starvesAt = known.sequence, known.arrived, known.starvesAt
		e.due = known.due
	}
	e.asked = now
	e.objective, e.silence, e.deadline = now.Add(r.ObjectiveLeft), now.Add(r.SilenceLeft), now.Add(r.TimeLeft)
	s.uncachedOf(e)
	return e
}

// uncachedOf returns the prompt tokens of an entry that the endpoint has to prefill.
func (s *Scheduler) uncachedOf(e *entry) float64 {
	if e.request.Unsized {
		return 0
	}
	if e.cacheVersion != s.cacheVersion {
		e.uncached = float64(max(e.request.PromptTokens-s.cache.Cached(e.request.Blocks, e.request.Sizes), 1))
		e.cacheVersion = s.cacheVersion
	}
	return e.uncached
}

// enter makes an entry wait. Blocks and sizes are copied, as they belong to the caller. A due
// booking is removed, because the entry now waits.
func (s *Scheduler) enter(e *entry, now time.Time) {
	if e.due {
		s.bookings.remove(&e.request)
	}
	if !e.request.Unsized {
		s.scarcity.observe(e.request.ObjectiveLeft, now)
	}
	e.request.Blocks, e.request.Sizes = slices.Clone(e.request.Blocks), slices.Clone(e.request.Sizes)
	s.waiting[e.request.Key()] = e
	s.dropLast(now)
}

// start records that an entry is sent to the endpoint. Its booking is removed.
func (s *Scheduler) start(e *entry, now time.Time) {
	r := &e.request
	r.Blocks, r.Sizes = slices.Clone(r.Blocks), slices.Clone(r.Sizes)
	s.bookings.remove(r)
	s.shares.add(r, s.uncachedOf(e), now)
	s.engine.start(&run{request: *r, sequence: e.sequence, started: now, uncached: e.uncached, remaining: e.uncached})
	if !r.Unsized {
		s.scarcity.observe(r.ObjectiveLeft, now)
	}
	s.rejection.started(len(s.engine.runs), now)
	s.rejections.started[r.Key()] = now
	s.updateReserved()
}

// remove ends a started request.
func (s *Scheduler) remove(k Key, now time.Time) {
	r := s.engine.runs[k]
	if r == nil {
		return
	}
	s.engine.remove(k)
	delete(s.rejections.started, k)
	s.releaseRate.add(memoryNeed(&r.request), now)
	s.updateReserved()
}

func (s *Scheduler) updateReserved() {
	s.cache.SetReserved(s.engine.memory)
	s.cacheVersion++
}

// startedOffer answers for a request that has started already.
func (s *Scheduler) startedOffer(r *run) Offer {
	ahead := max(s.engine.pendingBefore(r)-r.remaining, 0)
	return Offer{
		Decision: Start, StartIn: s.speed.duration(ahead), FirstEventIn: s.speed.duration(ahead + r.remaining),
		Cached: max(r.request.PromptTokens-identifier.Tokens(r.uncached), 0), TokensAhead: ahead,
		Streams: len(s.engine.runs), Scarce: s.scarcity.scarce,
	}
}
