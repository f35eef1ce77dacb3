// Package reserver asks the coordinators of endpoints before requests are sent there, and tells them
// what this daemon has started.
//
// Several coordinators are asked at once, this daemon's own without a call. One that does not answer
// within [reserveTimeout] is not called for [unreachableBackoff]; meanwhile its endpoints are predicted by the
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
	"errors"
	"slices"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/assigner"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/peer/translator"
	"brasschute/internal/route/scheduler"

	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"
)

const (
	// reserveTimeout bounds a call. A coordinator answers within milliseconds; 150 ms covers a pause
	// of a busy host and costs less than a third of the shortest objective of 500 ms.
	reserveTimeout = 150 * time.Millisecond
	// unreachableBackoff is how long a coordinator that did not answer is not asked: an ended daemon
	// counts as live for 3 s.
	unreachableBackoff = 2 * time.Second
	// reportInterval is the least time between two reports to one coordinator, reportPeriod the
	// longest while anything runs.
	reportInterval = 50 * time.Millisecond
	reportPeriod   = time.Second
	// rejectedTime is how long a rejected request is listed in reports, so that a new coordinator knows
	// of rejections as long as the endpoint counts them.
	rejectedTime = time.Second
	// emptyReportTime is how long a report without requests is repeated if it fails: after 3 s without
	// a report a coordinator drops what it knows of a daemon.
	emptyReportTime = 3 * time.Second
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
	// Assign returns the daemon that coordinates an endpoint, if any does. Called with a lock held;
	// must not call back.
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
	// statesCut counts the states that were left out of reports.
	statesCut tally.Counter
	// background bounds the calls that no request waits for; stop ends it with Serve.
	background context.Context
	stop       context.CancelFunc

	mu sync.Mutex
	// backoffUntil holds until when coordinators are not asked.
	backoffUntil map[identifier.Host]time.Time
	runs         map[runKey]*run
	reporters    map[identifier.Host]*reporter
	sequence     uint64
}

// New returns a reserver without started requests.
func New(c Config) *Reserver {
	background, stop := context.WithCancel(context.Background())
	return &Reserver{
		background: background, stop: stop, statesCut: c.Metrics.Counter("report_states_cut"), c: c, quotes: newCounters(c.Metrics, "quotes"), reservations: newCounters(c.Metrics, "reservations"), wake: make(chan struct{}, 1),
		backoffUntil: make(map[identifier.Host]time.Time), runs: make(map[runKey]*run), reporters: make(map[identifier.Host]*reporter),
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
		if !ok || v.backingOff(d.Host, now) {
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
	// The own coordinator is asked here while the calls are under way, or else the last one is.
	inline := slices.IndexFunc(groups, func(g group) bool { return g.d.Host == v.c.Host })
	if inline < 0 {
		inline = len(groups) - 1
	}
	var calls sync.WaitGroup
	for i, g := range groups {
		if i != inline {
			calls.Go(func() { v.quoteOne(ctx, r, targets, g.d, g.positions, out) })
		}
	}
	if inline >= 0 {
		v.quoteOne(ctx, r, targets, groups[inline].d, groups[inline].positions, out)
	}
	calls.Wait()
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
	if !ok || v.backingOff(d.Host, now) {
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

// Withdraw tells the coordinator of an endpoint, in the background, that a request that waits or has
// a reserved place there will not be sent.
func (v *Reserver) Withdraw(t Target, id identifier.Request) {
	now := time.Now()
	d, ok := v.c.Assign(t.Endpoint, t.Zone, now)
	if !ok || v.backingOff(d.Host, now) {
		return
	}
	m := &rpc.ReserveRequest{Host: string(v.c.Host), Endpoint: t.ref(), Withdrawn: string(id)}
	go v.call(v.background, d, func(ctx context.Context, c Coordinator) error {
		_, err := c.Reserve(ctx, m)
		return err
	})
}

// call calls a coordinator, without the network if it is this daemon's own. It reports whether that
// failed. One that did not answer is not called for unreachableBackoff. One that found the message
// invalid did answer.
func (v *Reserver) call(ctx context.Context, d assigner.Daemon, f func(context.Context, Coordinator) error) (failed bool) {
	if d.Host == v.c.Host {
		return f(ctx, v.c.Local) != nil
	}
	limited, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	err := f(limited, v.c.Dial(d.Address))
	if err != nil && ctx.Err() == nil && !isInvalid(err) {
		v.mu.Lock()
		v.backoffUntil[d.Host] = time.Now().Add(unreachableBackoff)
		v.mu.Unlock()
	}
	return err != nil
}

// isInvalid reports whether a coordinator answered that a message is not valid.
func isInvalid(err error) bool {
	e, ok := errors.AsType[twirp.Error](err)
	return ok && e.Code() == twirp.InvalidArgument
}

// backingOff reports whether a coordinator is not to be asked.
func (v *Reserver) backingOff(h identifier.Host, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	until, ok := v.backoffUntil[h]
	if ok && !now.Before(until) {
		delete(v.backoffUntil, h)
		return false
	}
	return ok
}
