// Package coordinator decides, for the endpoints assigned to this daemon, in which order the
// requests of all daemons are sent there.
//
// Daemons that learn of each other's requests from digests know a queue as it was up to a second
// ago, in which an engine prefills more than a prompt. Each endpoint therefore has one coordinator,
// which is asked before a request is sent, so that decisions are based on information as old as one
// call. This matters while requests arrive at an endpoint from many daemons, most of all under
// scarcity.
//
// All state is soft. A coordinator never sends requests itself: if it ends or answers wrongly, none
// is lost or sent twice. Each daemon reports all requests that it has started here, and a full list
// replaces the former one, so that the next report makes up for a lost one and a new coordinator
// soon knows what runs. Two coordinators of one endpoint cost accuracy but break no rule.
//
// # Usage
//
//	c := coordinator.New(coordinator.Config{Host: "front-1", Describe: describe, Daemons: live})
//	reply, err := c.Quote(ctx, request) // and Reserve, Report
//	c.Sync(assigned, time.Now())        // every second
package coordinator

import (
	"context"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/peer/translator"
	"brasschute/internal/route/scheduler"

	"github.com/twitchtv/twirp"
)

const (
	// learningTime is how long a new coordinator may lack reports: daemons report every second
	// while anything runs, and half a second more covers one that is delayed.
	learningTime = 1500 * time.Millisecond
	// silenceTimeout is how long a daemon may make no call before it is dropped with its requests: as
	// long as daemons count as live.
	silenceTimeout = 3 * time.Second
	// grantTime is how long a started request may be missing in its daemon's reports: its start may
	// cross a report, and the next one follows within 50 ms and a slow call.
	grantTime = 500 * time.Millisecond
	// rejectedTime is how long a rejected request is kept: longer than its daemon lists it.
	rejectedTime = 3 * time.Second
	// unassignedTime is how long an endpoint that is assigned to another daemon is kept after its
	// last use: daemons differ for seconds in who is live.
	unassignedTime = 3 * time.Second
	// maxEndpoints bounds the endpoints of one call: daemons ask for up to registry's number of
	// proposals, three.
	maxEndpoints = 16
	// maxDaemons bounds the daemons that are kept.
	maxDaemons = 2048
)

// Scheduler is the queue of one endpoint; see [scheduler.Scheduler].
type Scheduler interface {
	Quote(r *scheduler.Request, now time.Time) scheduler.Offer
	Reserve(r *scheduler.Request, now time.Time) scheduler.Offer
	Started(r *scheduler.Request, now time.Time)
	FirstEvent(k scheduler.Key, now time.Time)
	End(k scheduler.Key, now time.Time)
	Rejected(now time.Time)
	RequestRejected(k scheduler.Key, now time.Time)
	DropDaemon(h identifier.Host, now time.Time)
	Keys(h identifier.Host) []scheduler.Key
	State(now time.Time) scheduler.State
}

// Endpoint is one incarnation of an endpoint.
type Endpoint struct {
	Endpoint identifier.Endpoint
	Born     identifier.StartTime
}

// Config holds the dependencies of a coordinator.
type Config struct {
	// Describe returns the capacity of an endpoint, without slots if its service states none. ok is false
	// if it is not listed in this incarnation. Called with a lock held; must not call back.
	Describe func(Endpoint) (c scheduler.Config, ok bool)
	// Daemons returns the live daemons that may have requests at the endpoints, this one included.
	// Called with a lock held; must not call back.
	Daemons func() []identifier.Host
	// NewScheduler returns the scheduler of an endpoint; nil for [scheduler.New].
	NewScheduler func(scheduler.Config) Scheduler
	// OnScarcity is called, without a lock held, when the scarcity of an endpoint begins or ends;
	// may be nil.
	OnScarcity func(Endpoint, scheduler.State)
}

// Coordinator holds the schedulers of the endpoints assigned to this daemon. It is safe for
// concurrent use.
type Coordinator struct {
	c Config

	mu      sync.Mutex
	entries map[Endpoint]*entry
	daemons map[identifier.Host]*daemon
}

// entry is an endpoint.
type entry struct {
	Scheduler
	// created is when this daemon began to coordinate the endpoint, usedAt when it was last asked
	// about it.
	created, usedAt time.Time
	assigned        bool
	// sized: the capacity is known. Otherwise only requests of unknown size are scheduled.
	sized bool
	// complete is set once all daemons have reported since the entry was created.
	complete bool
	// granted holds when requests were started that no report has listed yet.
	granted map[scheduler.Key]time.Time
	// delivered holds the started requests whose first event has come.
	delivered map[scheduler.Key]bool
	// rejected holds when reports first listed requests as rejected.
	rejected map[scheduler.Key]time.Time
	scarce   bool
}

// daemon is a daemon that has reported or reserved.
type daemon struct {
	incarnation, sequence uint64
	// heardAt is the time of the last call, reportedAt that of the last report.
	heardAt, reportedAt time.Time
}

// New returns a coordinator of no endpoint.
func New(c Config) *Coordinator {
	if c.NewScheduler == nil {
		c.NewScheduler = func(s scheduler.Config) Scheduler { return scheduler.New(s) }
	}
	if c.OnScarcity == nil {
		c.OnScarcity = func(Endpoint, scheduler.State) {}
	}
	return &Coordinator{c: c, entries: make(map[Endpoint]*entry), daemons: make(map[identifier.Host]*daemon)}
}

// Quote answers when a request would start at each of some endpoints.
func (c *Coordinator) Quote(_ context.Context, m *rpc.QuoteRequest) (*rpc.QuoteReply, error) {
	r, err := translator.DecodeRequest(m.GetRequest(), identifier.Host(m.GetHost()))
	if err != nil || len(m.GetEndpoints()) > maxEndpoints {
		return nil, twirp.InvalidArgumentError("request", "is not valid")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if d := c.daemons[r.Daemon]; d != nil {
		d.heardAt = now
	}
	out := new(rpc.QuoteReply)
	for _, ref := range m.GetEndpoints() {
		e := c.entry(endpointOf(ref), r.Unsized, now)
		if e == nil {
			out.Offers = append(out.Offers, &rpc.Offer{Unknown: true})
			continue
		}
		o := e.Quote(&r, now)
		out.Offers = append(out.Offers, translator.EncodeOffer(&o, c.isComplete(e, now)))
	}
	return out, nil
}

// Reserve enters a request at an endpoint.
func (c *Coordinator) Reserve(_ context.Context, m *rpc.ReserveRequest) (*rpc.ReserveReply, error) {
	if m.GetWithdrawn() != "" {
		c.withdraw(m)
		return &rpc.ReserveReply{}, nil
	}
	r, err := translator.DecodeRequest(m.GetRequest(), identifier.Host(m.GetHost()))
	if err != nil {
		return nil, twirp.InvalidArgumentError("request", "is not valid")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	// Daemons whose requests only wait send no reports, and those that end before their first report
	// must be dropped, too.
	c.heard(r.Daemon, now)
	e := c.entry(endpointOf(m.GetEndpoint()), r.Unsized, now)
	if e == nil {
		return &rpc.ReserveReply{Offer: &rpc.Offer{Unknown: true}}, nil
	}
	o := e.Reserve(&r, now)
	if m.GetSent() && o.Decision != scheduler.Start {
		// The daemon acted on a quote that another request has overtaken.
		e.Started(&r, now)
		o.Decision = scheduler.Start
	}
	// A report may have overtaken the call. A request that it listed is not granted: Sync would end
	// it before the next report.
	if o.Decision == scheduler.Start && !e.isStarted(r.Key()) {
		e.granted[r.Key()] = now
	}
	return &rpc.ReserveReply{Offer: translator.EncodeOffer(&o, c.isComplete(e, now))}, nil
}

// Rejected records that an endpoint rejected a request for want of room.
func (c *Coordinator) Rejected(e Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if entry := c.entries[e]; entry != nil {
		entry.Rejected(time.Now())
	}
}

// withdraw ends a request that waits or has a reserved place, unless its daemon has reported that it
// was sent.
func (c *Coordinator) withdraw(m *rpc.ReserveRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := scheduler.Key{Daemon: identifier.Host(m.GetHost()), Request: identifier.Request(m.GetWithdrawn())}
	if e := c.entries[endpointOf(m.GetEndpoint())]; e != nil && !e.isStarted(k) {
		e.end(k, time.Now())
	}
}

// heard records a call of a daemon and returns its state, which is nil if there is no room for it. The caller holds the
// lock.
func (c *Coordinator) heard(h identifier.Host, now time.Time) *daemon {
	d := c.daemons[h]
	if d == nil && len(c.daemons) < maxDaemons {
		d = new(daemon)
		c.daemons[h] = d
	}
	if d != nil {
		d.heardAt = now
	}
	return d
}

// entry returns an endpoint for a request, nil if it is not known, or its capacity is not known and the
// request has a size. The caller holds the lock.
func (c *Coordinator) entry(e Endpoint, unsized bool, now time.Time) *entry {
	out := c.entries[e]
	if out == nil || !out.sized && !unsized {
		config, ok := c.c.Describe(e)
		if !ok || config.Slots == 0 && !unsized {
			return nil
		}
		out = c.add(e, config, now)
	}
	out.usedAt = now
	return out
}

// add adds an endpoint. The caller holds the lock.
func (c *Coordinator) add(e Endpoint, config scheduler.Config, now time.Time) *entry {
	out := &entry{
		Scheduler: c.c.NewScheduler(config), created: now, usedAt: now, sized: config.Slots > 0,
		granted: make(map[scheduler.Key]time.Time), delivered: make(map[scheduler.Key]bool),
		rejected: make(map[scheduler.Key]time.Time),
	}
	c.entries[e] = out
	return out
}

// isComplete reports whether the scheduler of an endpoint knows what all daemons have started there.
// The caller holds the lock.
func (c *Coordinator) isComplete(e *entry, now time.Time) bool {
	if e.complete || now.Sub(e.created) >= learningTime {
		e.complete = true
		return true
	}
	for _, h := range c.c.Daemons() {
		d := c.daemons[h]
		if d == nil || d.sequence == 0 || d.reportedAt.Before(e.created) {
			return false
		}
	}
	e.complete = true
	return true
}

func endpointOf(m *rpc.EndpointRef) Endpoint {
	return Endpoint{identifier.Endpoint(m.GetEndpoint()), identifier.StartTime(m.GetBorn())}
}
