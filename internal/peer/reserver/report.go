package reserver

import (
	"cmp"
	"context"
	"slices"
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
	// rejectedAt is when the endpoint rejected the request, ended when it ended; zero if it did not. A
	// rejected request is listed for rejectedTime after that.
	rejectedAt time.Time
	ended      bool
	// coordinator is the daemon that was told of the request last.
	coordinator identifier.Host
}

// reporter holds what is to be reported to a coordinator.
type reporter struct {
	assigner.Daemon
	// changed: the coordinator does not know the newest state. sending: a report is under way.
	changed, sending bool
	// failedAt is when the first of the reports failed that have failed since one arrived.
	failedAt time.Time
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
		go v.reserve(v.background, &sent, t, true)
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

// Rejected records that an endpoint rejected a started request for want of room.
func (v *Reserver) Rejected(e identifier.Endpoint, id identifier.Request) {
	v.mu.Lock()
	n := v.runs[runKey{e, id}]
	if n != nil && n.rejectedAt.IsZero() {
		n.rejectedAt = time.Now()
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
	switch {
	case n == nil:
	case n.rejectedAt.IsZero():
		delete(v.runs, k)
		v.markChanged(n.coordinator)
	default:
		n.ended = true
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
	if r := v.reporters[d.Host]; r != nil {
		// It may have restarted at another address.
		r.Daemon = d
	}
	if n.coordinator == d.Host {
		return
	}
	v.markChanged(n.coordinator)
	n.coordinator = d.Host
	if v.reporters[d.Host] == nil {
		v.reporters[d.Host] = &reporter{Daemon: d}
	}
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
	defer v.stop()
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
	for h, until := range v.backoffUntil {
		if !now.Before(until) {
			delete(v.backoffUntil, h)
		}
	}
	states := make(map[identifier.Host][]*rpc.RequestState)
	for k, n := range v.runs {
		if n.ended && now.Sub(n.rejectedAt) >= rejectedTime {
			delete(v.runs, k)
			v.markChanged(n.coordinator)
			continue
		}
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
		m := &rpc.RequestStates{Host: string(v.c.Host), Incarnation: v.c.Incarnation, Sequence: v.sequence, States: v.cut(states[h])}
		go v.send(ctx, r, m)
	}
}

// cut bounds the states of a report to what coordinators accept. It keeps the oldest, so that
// successive reports list the same requests.
func (v *Reserver) cut(states []*rpc.RequestState) []*rpc.RequestState {
	excess := len(states) - translator.MaxStates
	if excess <= 0 {
		return states
	}
	v.statesCut.Inc(int64(excess))
	slices.SortFunc(states, func(a, b *rpc.RequestState) int {
		return cmp.Or(cmp.Compare(b.GetAgeMilli(), a.GetAgeMilli()), cmp.Compare(a.GetRequest().GetId(), b.GetRequest().GetId()))
	})
	return states[:translator.MaxStates]
}

// state returns the state of a request for a report.
func (n *run) state(now time.Time) *rpc.RequestState {
	return &rpc.RequestState{
		Request: n.message, Endpoint: n.target.ref(), FirstEvent: n.firstEvent, AgeMilli: uint32(now.Sub(n.sentAt).Milliseconds()),
		Rejected: !n.rejectedAt.IsZero(),
	}
}

// send sends a report. If it fails, the next one is due after reportInterval. Further ones to a
// coordinator that does not answer follow after reportPeriod, as it would drop this daemon's requests
// after 3 s without a report. A report without requests is given up after emptyReportTime.
func (v *Reserver) send(ctx context.Context, r *reporter, m *rpc.RequestStates) {
	v.mu.Lock()
	d := r.Daemon
	v.mu.Unlock()
	failed := v.call(ctx, d, func(ctx context.Context, c Coordinator) error {
		_, err := c.Report(ctx, m)
		return err
	})
	if failed && !waiter.For(ctx, v.retryPause(r, d)) {
		return
	}
	v.mu.Lock()
	r.sending = false
	switch {
	case !failed:
		r.failedAt = time.Time{}
	case len(m.GetStates()) > 0 || time.Since(r.failedAt) < emptyReportTime:
		r.changed = true
	}
	again := r.changed
	if !again && len(m.GetStates()) == 0 && v.reporters[d.Host] == r {
		delete(v.reporters, d.Host)
	}
	v.mu.Unlock()
	if again {
		v.notify()
	}
}

// retryPause returns how long to wait after a report to a coordinator has failed.
func (v *Reserver) retryPause(r *reporter, d assigner.Daemon) time.Duration {
	now := time.Now()
	backingOff := v.backingOff(d.Host, now)
	v.mu.Lock()
	defer v.mu.Unlock()
	if r.failedAt.IsZero() {
		r.failedAt = now
		return reportInterval
	}
	if backingOff {
		return reportPeriod
	}
	return reportInterval
}
