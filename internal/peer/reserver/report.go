package reserver

import (
	"context"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/peer/assigner"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/peer/translator"
	"brasschute/internal/route/scheduler"
)

// runKey identifies a request at an endpoint.
type runKey struct {
	endpoint identifier.Endpoint
	request  identifier.Request
}

// run is a request that this daemon has started.
type run struct {
	message    *rpc.ScheduledRequest
	target     Target
	sentAt     time.Time
	firstEvent bool
	// coordinator is the daemon that was told of the request last.
	coordinator identifier.Host
}

// reporter holds what is to be reported to a coordinator.
type reporter struct {
	assigner.Daemon
	// changed: the coordinator does not know the newest state. sending: a report is under way.
	changed, sending bool
}

// Start records that a request is being sent to an endpoint. The endpoint's coordinator is told in
// the background, unless it has reserved the place.
func (v *Reserver) Start(r *scheduler.Request, t Target, reserved bool) {
	v.mu.Lock()
	now := time.Now()
	n := &run{message: translator.EncodeRequest(r), target: t, sentAt: now}
	v.runs[runKey{t.Endpoint, r.ID}] = n
	if d, ok := v.c.Assign(t.Endpoint, t.Zone, now); ok {
		v.assign(n, d)
	}
	v.mu.Unlock()
	if !reserved {
		sent := *r
		go v.reserve(context.Background(), &sent, t, true)
	}
	v.notify()
}

// FirstEvent records that a started request has delivered its first event.
func (v *Reserver) FirstEvent(e identifier.Endpoint, id identifier.Request) {
	v.mu.Lock()
	n := v.runs[runKey{e, id}]
	if n != nil {
		n.firstEvent = true
		v.markChanged(n.coordinator)
	}
	v.mu.Unlock()
	if n != nil {
		v.notify()
	}
}

// End records that a started request has ended.
func (v *Reserver) End(e identifier.Endpoint, id identifier.Request) {
	k := runKey{e, id}
	v.mu.Lock()
	n := v.runs[k]
	if n != nil {
		delete(v.runs, k)
		v.markChanged(n.coordinator)
	}
	v.mu.Unlock()
	if n != nil {
		v.notify()
	}
}

// notify wakes the sender of reports.
func (v *Reserver) notify() {
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// assign sets the coordinator that is told of a request. The caller holds the lock.
func (v *Reserver) assign(n *run, d assigner.Daemon) {
	if n.coordinator == d.Host {
		return
	}
	v.markChanged(n.coordinator)
	n.coordinator = d.Host
	if v.reporters[d.Host] == nil {
		v.reporters[d.Host] = &reporter{Daemon: d}
	}
	v.reporters[d.Host].Daemon = d
	v.markChanged(d.Host)
}

// markChanged marks that a coordinator lacks the newest state. The caller holds the lock.
func (v *Reserver) markChanged(h identifier.Host) {
	if r := v.reporters[h]; r != nil {
		r.changed = true
	}
}

// Serve sends reports until ctx ends: at a change, and every reportPeriod while anything runs.
func (v *Reserver) Serve(ctx context.Context) error {
	tick := time.NewTicker(reportPeriod)
	defer tick.Stop()
	for {
		periodic := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			periodic = true
		case <-v.wake:
		}
		v.flush(ctx, periodic)
		waiter.For(ctx, reportInterval)
	}
}

// flush sends the reports that are due.
func (v *Reserver) flush(ctx context.Context, periodic bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	states := make(map[identifier.Host][]*rpc.RequestState)
	for _, n := range v.runs {
		if d, ok := v.c.Assign(n.target.Endpoint, n.target.Zone, now); ok {
			v.assign(n, d)
		}
		if n.coordinator != "" {
			states[n.coordinator] = append(states[n.coordinator], n.state(now))
		}
	}
	for h, r := range v.reporters {
		due := r.changed || periodic && len(states[h]) > 0
		if r.sending || !due {
			continue
		}
		r.changed, r.sending = false, true
		v.sequence++
		m := &rpc.RequestStates{Host: string(v.c.Host), Incarnation: v.c.Incarnation, Sequence: v.sequence, States: states[h]}
		go v.send(ctx, r, m)
	}
}

// state returns the state of a request for a report.
func (n *run) state(now time.Time) *rpc.RequestState {
	return &rpc.RequestState{
		Request: n.message, Endpoint: n.target.ref(), FirstEvent: n.firstEvent, AgeMilli: uint32(now.Sub(n.sentAt).Milliseconds()),
	}
}

// send sends a report. A lost one is made up for by the next.
func (v *Reserver) send(ctx context.Context, r *reporter, m *rpc.RequestStates) {
	v.mu.Lock()
	d := r.Daemon
	v.mu.Unlock()
	_ = v.call(ctx, d, func(ctx context.Context, c Coordinator) error {
		_, err := c.Report(ctx, m)
		return err
	})
	v.mu.Lock()
	r.sending = false
	again := r.changed
	if !again && len(m.GetStates()) == 0 && v.reporters[d.Host] == r {
		delete(v.reporters, d.Host)
	}
	v.mu.Unlock()
	if again {
		v.notify()
	}
}
