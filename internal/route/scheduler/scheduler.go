// Package scheduler decides in which order requests are sent to one endpoint.
//
// An endpoint with a queue of its own serves requests by urgency and arrival, and what has been
// sent can't be taken back. A [Scheduler] therefore lets only as many requests start as keep the
// endpoint busy. The others wait at their daemons, or are refused with the time at which there
// will be room for them.
//
// # Usage
//
//	s := scheduler.New(scheduler.Config{Slots: 64, MemoryTokens: 640_000})
//	offer := s.Quote(request, now) // changes nothing
//	offer = s.Reserve(request, now) // again after offer.AskAgain while the decision is Wait
//	s.FirstEvent(request.Key(), now)
//	s.End(request.Key(), now)
//
// A Scheduler has no clock of its own: each call passes the time, which must not go backwards.
package scheduler

import (
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/prefix"
)

// Config describes the endpoint.
type Config struct {
	// Slots is the number of requests that the endpoint runs at once.
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
	c Config
}

// New returns the scheduler of an endpoint that runs nothing.
func New(c Config) *Scheduler { return &Scheduler{c: c} }

// Quote returns what [Scheduler.Reserve] would, and changes nothing.
func (s *Scheduler) Quote(r *Request, now time.Time) Offer {
	return Offer{Decision: Start}
}

// Reserve enters a request. It is idempotent: a daemon whose request waits calls it again, and a
// request that has started stays started.
func (s *Scheduler) Reserve(r *Request, now time.Time) Offer {
	return Offer{Decision: Start}
}

// Started records a request that its daemon has sent without a reservation, or that was sent
// before this scheduler existed.
func (s *Scheduler) Started(r *Request, now time.Time) {}

// FirstEvent records that a started request has delivered its first event, so that its prompt is
// cached.
func (s *Scheduler) FirstEvent(k Key, now time.Time) {}

// End records that a request has ended, was withdrawn or never started.
func (s *Scheduler) End(k Key, now time.Time) {}

// DropDaemon ends all requests of a daemon that is no longer heard of.
func (s *Scheduler) DropDaemon(h identifier.Host, now time.Time) {}

// Keys returns the started requests of a daemon.
func (s *Scheduler) Keys(h identifier.Host) []Key { return nil }

// State returns the scheduler's state.
func (s *Scheduler) State(now time.Time) State { return State{} }
