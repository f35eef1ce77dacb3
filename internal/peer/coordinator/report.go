package coordinator

import (
	"context"
	"maps"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/peer/translator"
	"brasschute/internal/route/scheduler"

	"github.com/twitchtv/twirp"
)

// Report replaces the list of requests that a daemon has started.
func (c *Coordinator) Report(_ context.Context, m *rpc.RequestStates) (*rpc.ReportReply, error) {
	host := identifier.Host(m.GetHost())
	if host == "" || len(m.GetStates()) > translator.MaxStates {
		return nil, twirp.InvalidArgumentError("states", "are not valid")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	d := c.heard(host, now)
	if d == nil || m.GetIncarnation() < d.incarnation || m.GetIncarnation() == d.incarnation && m.GetSequence() <= d.sequence {
		// A newer list has come already.
		return &rpc.ReportReply{}, nil
	}
	d.incarnation, d.sequence, d.reportedAt = m.GetIncarnation(), m.GetSequence(), now
	listed := make(map[Endpoint]map[scheduler.Key]bool)
	for _, s := range m.GetStates() {
		r, err := translator.DecodeRequest(s.GetRequest(), host)
		e := endpointOf(s.GetEndpoint())
		to := c.entry(e, r.Unsized, now)
		if err != nil || to == nil {
			continue
		}
		if s.GetRejected() {
			to.reject(r.Key(), now)
			continue
		}
		if listed[e] == nil {
			listed[e] = make(map[scheduler.Key]bool)
		}
		listed[e][r.Key()] = true
		to.start(&r, s.GetFirstEvent(), now)
	}
	for e, at := range c.entries {
		at.endUnlisted(host, listed[e], now)
	}
	return &rpc.ReportReply{}, nil
}

// start records a request that its daemon reports as started. A new coordinator enters a request of
// unknown prefill as sent now, whatever its age: the scheduler's calls must come in the order of time,
// and the overestimate lasts only until the report tells of the first event.
func (e *entry) start(r *scheduler.Request, firstEvent bool, now time.Time) {
	k := r.Key()
	if _, granted := e.granted[k]; !granted && !e.isStarted(k) {
		e.Started(r, now)
	}
	delete(e.granted, k)
	if firstEvent && !e.delivered[k] {
		e.FirstEvent(k, now)
	}
	e.delivered[k] = firstEvent || e.delivered[k]
}

// reject records, once, that the endpoint rejected a request.
func (e *entry) reject(k scheduler.Key, now time.Time) {
	delete(e.granted, k)
	delete(e.delivered, k)
	if _, known := e.rejected[k]; known {
		return
	}
	e.rejected[k] = now
	e.RequestRejected(k, now)
}

// isStarted reports whether a report has listed a request before.
func (e *entry) isStarted(k scheduler.Key) bool {
	_, ok := e.delivered[k]
	return ok
}

// endUnlisted ends the requests of a daemon that its report does not list, except those that were
// granted lately: they may have started after the report was built.
func (e *entry) endUnlisted(h identifier.Host, listed map[scheduler.Key]bool, now time.Time) {
	for _, k := range e.Keys(h) {
		if at, granted := e.granted[k]; !listed[k] && (!granted || now.Sub(at) >= grantTime) {
			e.end(k, now)
		}
	}
	for k := range e.delivered {
		if k.Daemon == h && !listed[k] {
			e.end(k, now)
		}
	}
}

// end ends a request.
func (e *entry) end(k scheduler.Key, now time.Time) {
	e.End(k, now)
	delete(e.granted, k)
	delete(e.delivered, k)
}

// Sync sets the endpoints that are assigned to this daemon, ends what is no longer heard of, and
// reports changes of scarcity. It is called every second.
func (c *Coordinator) Sync(assigned map[Endpoint]scheduler.Config, now time.Time) {
	for e, s := range c.sync(assigned, now) {
		c.c.OnScarcity(e, s)
	}
}

// sync returns the endpoints whose scarcity changed.
func (c *Coordinator) sync(assigned map[Endpoint]scheduler.Config, now time.Time) map[Endpoint]scheduler.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e, config := range assigned {
		if at := c.entries[e]; at == nil || !at.sized {
			c.add(e, config, now)
		}
	}
	c.dropSilent(now)
	changed := make(map[Endpoint]scheduler.State)
	for e, at := range c.entries {
		_, at.assigned = assigned[e]
		if !at.assigned && now.Sub(at.usedAt) >= unassignedTime {
			delete(c.entries, e)
			continue
		}
		for k, granted := range at.granted {
			if now.Sub(granted) >= grantTime {
				at.end(k, now)
			}
		}
		maps.DeleteFunc(at.rejected, func(_ scheduler.Key, since time.Time) bool { return now.Sub(since) >= rejectedTime })
		if s := at.State(now); s.Scarce != at.scarce {
			at.scarce = s.Scarce
			changed[e] = s
		}
	}
	return changed
}

// dropSilent drops the daemons that have made no call for too long, with their requests. Of one that
// calls but has sent no report, it ends the started requests: a daemon that has any reports every
// second, so they are those of a daemon that was restarted. The caller holds the lock.
func (c *Coordinator) dropSilent(now time.Time) {
	for h, d := range c.daemons {
		if now.Sub(d.heardAt) < silenceTimeout {
			if now.Sub(d.reportedAt) >= silenceTimeout {
				for _, e := range c.entries {
					e.endUnlisted(h, nil, now)
				}
			}
			continue
		}
		delete(c.daemons, h)
		for _, e := range c.entries {
			e.DropDaemon(h, now)
			e.forget(h)
		}
	}
}

// forget removes what is kept of a daemon's requests besides the scheduler.
func (e *entry) forget(h identifier.Host) {
	for k := range e.granted {
		if k.Daemon == h {
			delete(e.granted, k)
		}
	}
	for k := range e.delivered {
		if k.Daemon == h {
			delete(e.delivered, k)
		}
	}
}

// Counts returns the number of coordinated endpoints, and how many of them are scarce.
func (c *Coordinator) Counts() (endpoints, scarce int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.entries {
		if e.assigned {
			endpoints++
		}
		if e.assigned && e.scarce {
			scarce++
		}
	}
	return endpoints, scarce
}
