// Package pathtracker tracks which endpoints this daemon reaches over its own links.
//
// A host may lose its links to the endpoints of a service while clients, the store and the other
// hosts still reach it: a partial partition. The endpoints are healthy then, and other daemons reach
// them.
//
// # Partitions
//
// A failed connection alone doesn't tell whether the endpoint has ended or the link has failed. That a
// peer reaches the same endpoint does. A service therefore counts as partitioned from this daemon when
// peers have reached [minFailed] of its endpoints to which this daemon's connections failed within
// [failureWindow], and no connection was established in between. It ends with the next connection
// that is established. Bytes on older connections prove nothing: a partition may leave these open.
//
// Connections that were open before a partition may also go silent without an error. When all
// exchanges with a service have been silent for [silenceTime], [Tracker.DueProbes] therefore names
// endpoints to connect to, long before a client gives up. While a service is partitioned, it names one
// each [probeInterval], to find the end.
//
// # Usage
//
//	t := pathtracker.New(pathtracker.Config{Endpoints: list, OnChange: log})
//	if ok, _ := t.Direct(destination, time.Now()); ok {
//		x := t.Begin(destination)
//		defer x.End()
//		... x.Contact() when bytes arrive, t.RecordConnection or t.RecordFailure after connecting
//	}
//	t.RecordReachedByPeer(destination) when a peer sent the request instead
//	for _, d := range t.DueProbes(time.Now()) { connect, then t.RecordConnection or t.RecordFailure }
package pathtracker

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"brasschute/internal/core/identifier"
)

const (
	// minFailed is the number of a service's endpoints that only peers reach before the service counts
	// as partitioned: a single one may be out of connections. failureWindow is how long a failure counts.
	minFailed     = 2
	failureWindow = 5 * time.Second
	// silenceTime is how long all exchanges with a service must be silent before endpoints are
	// probed: the time to the first event of a busy engine.
	silenceTime = 500 * time.Millisecond
	// probeInterval is the time between two probes of a partitioned service, and the shortest one
	// between probes of a silent one. The latter doubles up to maxProbeInterval while probes succeed,
	// as a connection says nothing about a long queue.
	probeInterval    = 500 * time.Millisecond
	maxProbeInterval = 8 * time.Second
	// silenceProbes is the number of endpoints probed at once when a service is silent.
	silenceProbes = 2
	// retryInterval is how long a single endpoint that could not be connected is not tried again by
	// requests. It is randomized between 0.5 and 1.5 times the value.
	retryInterval = time.Second
)

// Destination is an incarnation of an endpoint of a service with its address, IP:port.
type Destination struct {
	Service   identifier.Service
	Endpoint  identifier.Endpoint
	StartTime identifier.StartTime
	Address   string
}

// Change is the begin or the end of a service's partition from this daemon.
type Change struct {
	Service identifier.Service
	// Partitioned is true at the begin.
	Partitioned bool
	// FailedEndpoints is the number of endpoints to which connections failed, ReachedByPeers that of
	// those among them which peers reached, and LastError the latest error; set at the begin.
	FailedEndpoints int
	ReachedByPeers  int
	LastError       error
	// SinceConnection is the time since a connection was last established; 0 if there was none yet.
	SinceConnection time.Duration
	// Lasted is how long the partition lasted; set at the end.
	Lasted time.Duration
}

// Config holds the tracker's dependencies.
type Config struct {
	// Endpoints returns the endpoints of a service that can be probed, in any order.
	Endpoints func(identifier.Service) []Destination
	// OnChange is called after each begin and end of a partition, without locks held.
	OnChange func(Change)
}

// serviceState is what is known of the path to a service.
type serviceState struct {
	// connectedAt is when a connection was last established. failed holds the endpoints to which
	// connections failed since then, and lastError the latest error.
	connectedAt time.Time
	failed      map[identifier.Endpoint]failure
	lastError   error
	// partitionedAt is when the partition began; zero if there is none.
	partitionedAt time.Time
	// exchanges are those in progress. heardAt is when bytes were last received in one that has ended.
	exchanges map[*Exchange]bool
	heardAt   time.Time
	probedAt  time.Time
	// interval is the time to the next probe of a silent service.
	interval time.Duration
}

// failure is a failed connection to an endpoint.
type failure struct {
	at time.Time
	// reachedByPeer: a peer has reached the endpoint since.
	reachedByPeer bool
}

// Tracker tracks the paths of one daemon. It is safe for concurrent use.
type Tracker struct {
	c Config

	mu       sync.Mutex
	services map[identifier.Service]*serviceState
	// pauses holds, by endpoint, when requests connect to it again.
	pauses map[identifier.Endpoint]pause
}

// pause is the time after a failed connection in which requests don't connect to an endpoint.
type pause struct {
	until time.Time
	err   error
}

// New returns a tracker that takes all endpoints for reachable.
func New(c Config) *Tracker {
	return &Tracker{c: c, services: make(map[identifier.Service]*serviceState), pauses: make(map[identifier.Endpoint]pause)}
}

// service returns the state of a service. The caller holds the lock.
func (t *Tracker) service(name identifier.Service) *serviceState {
	s := t.services[name]
	if s == nil {
		s = &serviceState{failed: make(map[identifier.Endpoint]failure), exchanges: make(map[*Exchange]bool), interval: probeInterval}
		t.services[name] = s
	}
	return s
}

// Direct reports whether a request should be sent over this daemon's own link. Otherwise it returns the
// error of the last connection to the endpoint, if that failed lately.
func (t *Tracker) Direct(d Destination, now time.Time) (ok bool, last error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pauses[d.Endpoint]
	if !now.Before(p.until) {
		p.err = nil
	}
	return t.service(d.Service).partitionedAt.IsZero() && p.err == nil, p.err
}

// Partitioned reports whether a service is partitioned from this daemon.
func (t *Tracker) Partitioned(name identifier.Service) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	return s != nil && !s.partitionedAt.IsZero()
}

// Partitions returns, by service, since when it has been partitioned.
func (t *Tracker) Partitions() map[identifier.Service]time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[identifier.Service]time.Time)
	for name, s := range t.services {
		if !s.partitionedAt.IsZero() {
			out[name] = s.partitionedAt
		}
	}
	return out
}

// RecordConnection records that a connection to an endpoint was established.
func (t *Tracker) RecordConnection(d Destination) {
	now := time.Now()
	t.mu.Lock()
	s := t.service(d.Service)
	ended := !s.partitionedAt.IsZero()
	change := Change{Service: d.Service, Lasted: now.Sub(s.partitionedAt)}
	delete(t.pauses, d.Endpoint)
	if ended {
		for e := range s.failed {
			delete(t.pauses, e)
		}
	}
	clear(s.failed)
	s.connectedAt, s.partitionedAt = now, time.Time{}
	t.mu.Unlock()
	if ended {
		t.c.OnChange(change)
	}
}

// RecordFailure records that no connection to an endpoint could be established.
func (t *Tracker) RecordFailure(d Destination, err error) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	t.pauses[d.Endpoint] = pause{now.Add(retryInterval/2 + rand.N(retryInterval)), err}
	s := t.service(d.Service)
	s.failed[d.Endpoint] = failure{at: now, reachedByPeer: s.failed[d.Endpoint].reachedByPeer}
	s.lastError = err
	for other, f := range s.failed {
		if now.Sub(f.at) > failureWindow {
			delete(s.failed, other)
		}
	}
}

// RecordReachedByPeer records that a peer has reached an endpoint.
func (t *Tracker) RecordReachedByPeer(d Destination) {
	reached := t.countReached(d)
	if reached == 0 || reached < minFailed && reached < len(t.c.Endpoints(d.Service)) {
		return
	}
	now := time.Now()
	t.mu.Lock()
	s := t.service(d.Service)
	if !s.partitionedAt.IsZero() || len(s.failed) == 0 {
		t.mu.Unlock()
		return
	}
	change := Change{Service: d.Service, Partitioned: true, FailedEndpoints: len(s.failed), ReachedByPeers: reached, LastError: s.lastError}
	if !s.connectedAt.IsZero() {
		change.SinceConnection = now.Sub(s.connectedAt)
	}
	s.partitionedAt, s.probedAt = now, time.Time{}
	t.mu.Unlock()
	t.c.OnChange(change)
}

// countReached marks an endpoint to which connections failed as reached by a peer, and returns the
// number of such endpoints of its service. It is 0 if there was no such failure, or the service is
// partitioned already.
func (t *Tracker) countReached(d Destination) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(d.Service)
	f, failed := s.failed[d.Endpoint]
	if !failed || !s.partitionedAt.IsZero() {
		return 0
	}
	f.reachedByPeer = true
	s.failed[d.Endpoint] = f
	return s.reachedByPeers(time.Now())
}

// reachedByPeers counts the endpoints to which connections failed lately, but not those of peers.
func (s *serviceState) reachedByPeers(now time.Time) (n int) {
	for _, f := range s.failed {
		if f.reachedByPeer && now.Sub(f.at) <= failureWindow {
			n++
		}
	}
	return n
}

// Connected reports whether a connection to an endpoint of a service was established within a time.
func (t *Tracker) Connected(name identifier.Service, within time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	return s != nil && !s.connectedAt.IsZero() && time.Since(s.connectedAt) <= within
}

// forget drops the endpoints that may be tried again. The caller holds the lock.
func (t *Tracker) forget(now time.Time) {
	for e, p := range t.pauses {
		if now.After(p.until) {
			delete(t.pauses, e)
		}
	}
}

// DueProbes returns the endpoints to which a connection should be attempted now. Their results are
// reported with RecordConnection or RecordFailure.
func (t *Tracker) DueProbes(now time.Time) []Destination {
	t.mu.Lock()
	var partitioned []identifier.Service
	var out []Destination
	for name, s := range t.services {
		switch {
		case s.partitionedAt.IsZero():
			out = append(out, s.silent(now)...)
		case now.Sub(s.probedAt) >= probeInterval:
			s.probedAt = now
			partitioned = append(partitioned, name)
		}
	}
	t.mu.Unlock()
	for _, name := range partitioned {
		if list := t.c.Endpoints(name); len(list) > 0 {
			out = append(out, list[rand.IntN(len(list))])
		}
	}
	return out
}

// silent returns the endpoints to probe because all exchanges with the service are silent.
func (s *serviceState) silent(now time.Time) (out []Destination) {
	heard, waiting := s.heardAt, false
	for x := range s.exchanges {
		if at := x.heardAt(); at.After(heard) {
			heard = at
		}
		waiting = waiting || now.Sub(x.begun) >= silenceTime
	}
	if !waiting || now.Sub(heard) < silenceTime {
		s.interval = probeInterval
		return nil
	}
	if now.Sub(s.probedAt) < s.interval {
		return nil
	}
	s.probedAt = now
	s.interval = min(2*s.interval, maxProbeInterval)
	seen := make(map[identifier.Endpoint]bool)
	for x := range s.exchanges {
		if d := x.destination; !seen[d.Endpoint] && len(out) < silenceProbes {
			seen[d.Endpoint] = true
			out = append(out, d)
		}
	}
	return out
}

// Exchange is one request that was sent over this daemon's own link, until the end of its response.
type Exchange struct {
	t           *Tracker
	destination Destination
	begun       time.Time
	// heard is when bytes were last received, in Unix nanoseconds.
	heard atomic.Int64
}

// Begin records that a request is sent to an endpoint. The caller must call End.
func (t *Tracker) Begin(d Destination) *Exchange {
	x := &Exchange{t: t, destination: d, begun: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(d.Service).exchanges[x] = true
	return x
}

// Contact records that bytes of the response were received. It takes no lock.
func (x *Exchange) Contact() { x.heard.Store(time.Now().UnixNano()) }

// heardAt returns when bytes were last received; zero if never.
func (x *Exchange) heardAt() time.Time {
	if n := x.heard.Load(); n != 0 {
		return time.Unix(0, n)
	}
	return time.Time{}
}

// End records that the exchange is over.
func (x *Exchange) End() {
	x.t.mu.Lock()
	defer x.t.mu.Unlock()
	s := x.t.service(x.destination.Service)
	delete(s.exchanges, x)
	if at := x.heardAt(); at.After(s.heardAt) {
		s.heardAt = at
	}
}
