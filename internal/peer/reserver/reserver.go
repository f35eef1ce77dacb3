// Package reserver asks the coordinators of endpoints before requests are sent there, and tells them
// what this daemon has started.
//
// Several coordinators are asked at once, this daemon's own without a call. One that does not answer
// within [reserveTimeout] is left alone for [quietTime]; meanwhile its endpoints are predicted by the
// caller as before. So a coordinator that is killed, paused or cut off delays the requests that ask
// it first, and no others.
//
// Reports are state-based: each lists all requests that this daemon has started at the endpoints of
// one coordinator. The next one makes up for a lost one, and tells a new coordinator what runs.
//
// # Usage
//
//	quotes := r.Quote(ctx, &request, targets)
//	quote := r.Reserve(ctx, &request, target) // while it waits
//	r.Start(&request, target, reserved)
//	r.FirstEvent(endpoint, id)
//	r.End(endpoint, id)
package reserver

import (
	"context"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/assigner"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/peer/translator"
	"brasschute/internal/route/scheduler"

	"github.com/uber-go/tally/v4"
)

const (
	// reserveTimeout bounds a call: a tenth of the shortest objective of 500 ms, plus 100 ms for the
	// pauses of a busy host with a fifth of a core.
	reserveTimeout = 150 * time.Millisecond
	// quietTime is how long a coordinator that did not answer is not asked: an ended daemon counts
	// as live for 3 s.
	quietTime = 2 * time.Second
	// reportInterval is the least time between two reports to one coordinator, reportPeriod the
	// longest while anything runs.
	reportInterval = 50 * time.Millisecond
	reportPeriod   = time.Second
)

// Coordinator answers calls about the endpoints that it coordinates.
type Coordinator interface {
	Quote(context.Context, *rpc.QuoteRequest) (*rpc.QuoteReply, error)
	Reserve(context.Context, *rpc.ReserveRequest) (*rpc.ReserveReply, error)
	Report(context.Context, *rpc.RequestStates) (*rpc.ReportReply, error)
}

// Config holds the dependencies of a reserver.
type Config struct {
	Host identifier.Host
	// Incarnation is the start of this daemon in nanoseconds of its wall clock.
	Incarnation uint64
	// Local is this daemon's own coordinator. Dial returns that of the daemon at an address.
	Local Coordinator
	Dial  func(address string) Coordinator
	// Assign returns the daemon that coordinates an endpoint, if any does.
	Assign  func(e identifier.Endpoint, z identifier.AvailabilityZone, now time.Time) (assigner.Daemon, bool)
	Metrics tally.Scope
}

// Target is one incarnation of an endpoint.
type Target struct {
	Endpoint identifier.Endpoint
	Born     identifier.StartTime
	Zone     identifier.AvailabilityZone
}

func (t *Target) ref() *rpc.EndpointRef {
	return &rpc.EndpointRef{Endpoint: string(t.Endpoint), Born: int64(t.Born)}
}

// Quote is what a coordinator answered about a request and an endpoint.
type Quote struct {
	scheduler.Offer
	// Known: a coordinator answered. Otherwise the offer is empty.
	Known bool
	// Complete: the coordinator knows what all daemons have started at the endpoint.
	Complete bool
	// Coordinator is the daemon that coordinates the endpoint.
	Coordinator identifier.Host
}

// The results of calls in the counters quotes and reservations, besides the decisions.
const (
	resultTimeout  = "timeout"
	resultFallback = "fallback"
)

// Reserver asks coordinators. It is safe for concurrent use.
type Reserver struct {
	c            Config
	quotes       map[string]tally.Counter
	reservations map[string]tally.Counter
	wake         chan struct{}

	mu sync.Mutex
	// quietUntil holds until when coordinators are not asked.
	quietUntil map[identifier.Host]time.Time
	runs       map[runKey]*run
	reporters  map[identifier.Host]*reporter
	sequence   uint64
}

// New returns a reserver without started requests.
func New(c Config) *Reserver {
	return &Reserver{
		c: c, quotes: newCounters(c.Metrics, "quotes"), reservations: newCounters(c.Metrics, "reservations"), wake: make(chan struct{}, 1),
		quietUntil: make(map[identifier.Host]time.Time), runs: make(map[runKey]*run), reporters: make(map[identifier.Host]*reporter),
	}
}

// newCounters returns the counters of a name by result.
func newCounters(scope tally.Scope, name string) map[string]tally.Counter {
	out := make(map[string]tally.Counter)
	for _, result := range []string{scheduler.Start.String(), scheduler.Wait.String(), scheduler.Refuse.String(), resultTimeout, resultFallback} {
		out[result] = scope.Tagged(map[string]string{"result": result}).Counter(name)
	}
	return out
}

// Coordinator returns the daemon that coordinates an endpoint, empty if none does.
func (v *Reserver) Coordinator(e identifier.Endpoint, z identifier.AvailabilityZone) identifier.Host {
	d, _ := v.c.Assign(e, z, time.Now())
	return d.Host
}

// Quote asks the coordinators of some endpoints at once. The quotes are in the order of the targets.
func (v *Reserver) Quote(ctx context.Context, r *scheduler.Request, targets []Target) []Quote {
	out := make([]Quote, len(targets))
	type group struct {
		d         assigner.Daemon
		positions []int
	}
	var groups []group
	now := time.Now()
next:
	for i := range targets {
		d, ok := v.c.Assign(targets[i].Endpoint, targets[i].Zone, now)
		out[i].Coordinator = d.Host
		if !ok || v.isQuiet(d.Host, now) {
			v.quotes[resultFallback].Inc(1)
			continue
		}
		for g := range groups {
			if groups[g].d.Host == d.Host {
				groups[g].positions = append(groups[g].positions, i)
				continue next
			}
		}
		groups = append(groups, group{d, []int{i}})
	}
	var calls sync.WaitGroup
	for _, g := range groups {
		ask := func() { v.quoteOne(ctx, r, targets, g.d, g.positions, out) }
		if g.d.Host == v.c.Host || len(groups) == 1 {
			defer ask()
			continue
		}
		calls.Go(ask)
	}
	defer calls.Wait()
	return out
}

// quoteOne asks one coordinator and sets the quotes at some positions.
func (v *Reserver) quoteOne(ctx context.Context, r *scheduler.Request, targets []Target, d assigner.Daemon, positions []int, out []Quote) {
	m := &rpc.QuoteRequest{Host: string(v.c.Host), Request: translator.EncodeRequest(r)}
	for _, i := range positions {
		m.Endpoints = append(m.Endpoints, targets[i].ref())
	}
	var reply *rpc.QuoteReply
	failed := v.call(ctx, d, func(ctx context.Context, c Coordinator) (err error) {
		reply, err = c.Quote(ctx, m)
		return err
	})
	offers := reply.GetOffers()
	for n, i := range positions {
		if failed || n >= len(offers) {
			v.quotes[resultTimeout].Inc(1)
			continue
		}
		out[i].set(offers[n])
		v.quotes[out[i].result()].Inc(1)
	}
}

// set sets a quote to what a coordinator answered.
func (q *Quote) set(m *rpc.Offer) {
	o, complete, err := translator.DecodeOffer(m)
	if err == nil {
		q.Offer, q.Known, q.Complete = o, true, complete
	}
}

// result returns the quote's tag in the counters.
func (q *Quote) result() string {
	if !q.Known {
		return resultFallback
	}
	return q.Decision.String()
}

// Reserve enters a request at an endpoint, or asks again about one that waits.
func (v *Reserver) Reserve(ctx context.Context, r *scheduler.Request, t Target) Quote {
	return v.reserve(ctx, r, t, false)
}

func (v *Reserver) reserve(ctx context.Context, r *scheduler.Request, t Target, sent bool) Quote {
	now := time.Now()
	d, ok := v.c.Assign(t.Endpoint, t.Zone, now)
	q := Quote{Coordinator: d.Host}
	if !ok || v.isQuiet(d.Host, now) {
		v.reservations[resultFallback].Inc(1)
		return q
	}
	m := &rpc.ReserveRequest{Host: string(v.c.Host), Request: translator.EncodeRequest(r), Endpoint: t.ref(), Sent: sent}
	var reply *rpc.ReserveReply
	if failed := v.call(ctx, d, func(ctx context.Context, c Coordinator) (err error) {
		reply, err = c.Reserve(ctx, m)
		return err
	}); failed {
		v.reservations[resultTimeout].Inc(1)
		return q
	}
	q.set(reply.GetOffer())
	v.reservations[q.result()].Inc(1)
	return q
}

// call calls a coordinator, without the network if it is this daemon's own. It reports whether that
// failed, and leaves one that did not answer alone for quietTime.
func (v *Reserver) call(ctx context.Context, d assigner.Daemon, f func(context.Context, Coordinator) error) (failed bool) {
	if d.Host == v.c.Host {
		return f(ctx, v.c.Local) != nil
	}
	limited, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	err := f(limited, v.c.Dial(d.Address))
	if err != nil && ctx.Err() == nil {
		v.mu.Lock()
		v.quietUntil[d.Host] = time.Now().Add(quietTime)
		v.mu.Unlock()
	}
	return err != nil
}

// isQuiet reports whether a coordinator is not to be asked.
func (v *Reserver) isQuiet(h identifier.Host, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	until, quiet := v.quietUntil[h]
	if quiet && !now.Before(until) {
		delete(v.quietUntil, h)
		return false
	}
	return quiet
}
