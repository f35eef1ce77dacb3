// Package proxier sends requests to endpoints on behalf of peers whose own links to the endpoints
// failed.
//
// The peer has chosen the endpoint and answers its client. This daemon sends the request over its own
// links, if it may: what it knows of the endpoint's leaving, of pauses that the endpoint asked for and
// of its rate limit binds requests of peers as it does its own. It learns the same from the responses.
// It never hands a request on to a third daemon.
//
// When the peer closes its connection, because its client left or the request's time is up, the
// request is aborted at the endpoint. A response that breaks off breaks the connection to the peer, so that it
// does not look complete there.
//
// # Usage
//
//	p := proxier.New(proxier.Config{Registry: r, Dispatcher: d, Tracker: t, ...})
//	mux.Handle(wrapper.Path, p)
//	p.Drain() // takes no more requests
//	p.Wait(ctx)
package proxier

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/eventsplitter"
	"brasschute/internal/engine/sender"
	"brasschute/internal/peer/crashreporter"
	"brasschute/internal/peer/wrapper"
	"brasschute/internal/route/pathtracker"
	"brasschute/internal/route/quarantiner"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/bodyreader"
	"brasschute/internal/serve/dispatcher"
	"brasschute/internal/serve/replyreader"
	"brasschute/internal/serve/request"
	"brasschute/internal/serve/verifier"
)

const (
	// maxRequests bounds the requests of peers in progress: the daemon's own clients come first on a host with little
	// memory. maxBodyBytes bounds the body of one.
	maxRequests  = 256
	maxBodyBytes = 16 << 20
	// maxCompared is the number of other endpoints to which a connection is tried. While requests crash
	// endpoints, half of them may be down: then one in sixteen comparisons is wrong.
	maxCompared = 4
	// recentTime is how long an established connection shows that this daemon reaches a service.
	recentTime = time.Second
	// readBytes is the size of one read from an endpoint: several events of a stream.
	readBytes = 4 << 10
	// maxPending bounds the part of a first event that is kept until it is whole.
	maxPending = 64 << 10
	// streamType is the media type of a stream of events.
	streamType = "text/event-stream"
)

// Quarantine holds back requests that bring endpoints down; see package relayer.
type Quarantine interface {
	Admit(f identifier.Fingerprint, id identifier.Request, parts ...identifier.Fingerprint) quarantiner.Decision
	Begin(a *crashreporter.Attempt)
	Conclude(a *crashreporter.Attempt)
	ReportBreak(ctx context.Context, a *crashreporter.Attempt, events int)
	ReportGivenUp(a *crashreporter.Attempt, reason crashreporter.Reason)
}

// Incarnations verifies which incarnation of an endpoint is at the other end of a connection.
type Incarnations interface {
	Verify(ctx context.Context, c verifier.Conn, i identifier.EndpointIncarnation) verifier.Result
}

// Config holds the dependencies of a proxier.
type Config struct {
	Registry   *registry.Registry
	Dispatcher *dispatcher.Dispatcher
	Tracker    *pathtracker.Tracker
	// Endpoints returns the endpoints of a service that are not leaving, in any order.
	Endpoints     func(identifier.Service) []pathtracker.Destination
	Codec         replyreader.Codec
	ReplyObserver replyreader.Observer
	Quarantine    Quarantine
	// Incarnations verifies endpoints, where a peer asks for that.
	Incarnations Incarnations
	// Bodies reads the bodies of requests and bounds the memory that they take together.
	Bodies *bodyreader.Reader
	// OnOutcome is called with the outcome of each request of a peer.
	OnOutcome func(wrapper.Outcome)
}

// Proxier serves the requests of peers. It is safe for concurrent use.
type Proxier struct {
	c        Config
	stopping atomic.Bool

	mu       sync.Mutex
	requests int
	// idle is closed, and replaced, when the last request ends.
	idle chan struct{}
}

// New returns a proxier.
func New(c Config) *Proxier { return &Proxier{c: c, idle: make(chan struct{})} }

// Drain refuses further requests.
func (p *Proxier) Drain() { p.stopping.Store(true) }

// Wait waits until no request is in progress, or until ctx ends.
func (p *Proxier) Wait(ctx context.Context) {
	for {
		p.mu.Lock()
		n, idle := p.requests, p.idle
		p.mu.Unlock()
		if n == 0 {
			return
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return
		}
	}
}

// begin counts a request, and reports whether it may be served.
func (p *Proxier) begin() bool {
	if p.stopping.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.requests >= maxRequests {
		return false
	}
	p.requests++
	return true
}

// end ends a request.
func (p *Proxier) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.requests--; p.requests == 0 {
		close(p.idle)
		p.idle = make(chan struct{})
	}
}

// ServeHTTP serves a wrapped request.
func (p *Proxier) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	wrapped, err := wrapper.Decode(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.begin() {
		p.c.Bodies.Refuse(w, r, func() { p.reply(w, wrapper.Busy) })
		return
	}
	defer p.end()
	pick := p.c.Registry.Find(wrapped.Endpoint, wrapped.StartTime)
	if pick == nil {
		p.c.Bodies.Refuse(w, r, func() { p.reply(w, wrapper.Unlisted) })
		return
	}
	body, release, err := p.c.Bodies.Read(w, r, maxBodyBytes)
	switch {
	case errors.Is(err, bodyreader.ErrNoRoom), errors.Is(err, bodyreader.ErrTooLong):
		p.c.Bodies.Refuse(w, r, func() { p.reply(w, wrapper.Busy) })
		return
	case err != nil:
		// The peer is gone, or its link is.
		panic(http.ErrAbortHandler)
	}
	defer release()
	to := pathtracker.Destination{Service: wrapped.Service, Endpoint: pick.Endpoint, StartTime: pick.StartTime, Address: pick.Address}
	attempt := &crashreporter.Attempt{Fingerprint: wrapped.Fingerprint, Request: wrapped.ID, Parts: wrapped.Parts, Pick: pick}
	job := &job{p: p, wrapped: wrapped, pick: pick, to: to, attempt: attempt}
	if wrapped.Probe {
		job.probe(r.Context(), w)
		return
	}
	job.serve(r.Context(), w, body)
}

// reply answers with an outcome alone: a request was not sent, or got no response, or was a probe.
func (p *Proxier) reply(w http.ResponseWriter, o wrapper.Outcome) {
	p.c.OnOutcome(o)
	w.Header().Set(wrapper.OutcomeHeader, string(o))
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// job is one request of a peer.
type job struct {
	p       *Proxier
	wrapped *wrapper.Request
	pick    *registry.Pick
	to      pathtracker.Destination
	// attempt is what the quarantine learns of the request. events counts the reads of the body that have
	// brought some of it, from the first whole event of a stream on.
	attempt  *crashreporter.Attempt
	events   int
	splitter eventsplitter.Splitter
}

// probe connects to the endpoint.
func (j *job) probe(ctx context.Context, w http.ResponseWriter) {
	if j.p.c.Dispatcher.Connect(ctx, j.to) == nil {
		j.p.reply(w, wrapper.Answered)
		return
	}
	j.p.reply(w, j.compare(ctx))
}

// compare connects to other endpoints of the service, to tell an endpoint that ended from links that
// failed. It returns the outcome of a request for which there is no connection. One that can be reached
// is enough: others may have ended as well.
func (j *job) compare(ctx context.Context) wrapper.Outcome {
	others := slices.DeleteFunc(j.p.c.Endpoints(j.to.Service), func(d pathtracker.Destination) bool { return d.Endpoint == j.to.Endpoint })
	if len(others) == 0 {
		return wrapper.Unreachable
	}
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	others = others[:min(len(others), maxCompared)]
	failed := make(chan bool, len(others))
	for _, d := range others {
		go func() { failed <- j.p.c.Dispatcher.Connect(ctx, d) != nil }()
	}
	for range others {
		if !<-failed {
			return wrapper.Unreachable
		}
	}
	return wrapper.Partitioned
}

// serve sends the request and passes the response on.
func (j *job) serve(ctx context.Context, w http.ResponseWriter, body []byte) {
	if ok, _ := j.p.c.Tracker.Direct(j.to, time.Now()); !ok {
		j.p.reply(w, j.notConnected(ctx))
		return
	}
	begun := time.Now()
	x, err := j.p.c.Dispatcher.SendDirect(ctx, j.to, j.message(body))
	if err != nil {
		j.p.reply(w, j.failed(ctx, err))
		return
	}
	defer x.Close()
	j.observe(x, begun)
	// The server adds neither, so that the peer sees the endpoint's headers only.
	w.Header()["Content-Type"], w.Header()["Date"] = nil, nil
	for name, values := range wrapper.ResponseHeader(x.Header) {
		w.Header()[name] = values
	}
	w.Header().Set(wrapper.OutcomeHeader, string(wrapper.Answered))
	w.WriteHeader(x.Status)
	streams := strings.HasPrefix(x.Header.Get("Content-Type"), streamType)
	if err := j.copyBody(w, x.Body, streams); err != nil {
		j.broken(ctx, err)
		panic(http.ErrAbortHandler)
	}
	j.p.c.Quarantine.Conclude(j.attempt)
	j.p.c.OnOutcome(wrapper.Answered)
	j.p.c.Registry.Report(j.pick, registry.Succeeded)
}

// message returns the request for the endpoint.
func (j *job) message(body []byte) *sender.Request {
	codec := j.p.c.Codec
	return &sender.Request{
		Address: j.pick.Address, Method: j.wrapped.Method, Target: j.wrapped.Target, Host: j.wrapped.Host, Header: j.wrapped.Header, Body: body,
		// Connecting takes time. Meanwhile the endpoint may have begun to leave.
		Ready: func() bool {
			ready := j.p.c.Registry.Usable(j.pick) && !j.p.c.Quarantine.Admit(j.wrapped.Fingerprint, j.wrapped.ID, j.wrapped.Parts...).Held && j.p.c.Registry.AcquirePermit(j.pick)
			if ready {
				j.p.c.Quarantine.Begin(j.attempt)
			}
			return ready
		},
		Matches: replyreader.Matches(codec, j.wrapped.ID), KeepAlive: replyreader.KeepAlive(codec), Verify: j.verify(),
	}
}

// verify returns what verifies the endpoint; nil if the peer does not ask for that.
func (j *job) verify() func(context.Context, *sender.Conn) bool {
	if !j.wrapped.Verify {
		return nil
	}
	return func(ctx context.Context, c *sender.Conn) bool {
		return j.p.c.Incarnations.Verify(ctx, c, j.pick.EndpointIncarnation()).Passed()
	}
}

// notConnected returns the outcome of a request for which there is no connection.
func (j *job) notConnected(ctx context.Context) wrapper.Outcome {
	switch {
	case j.p.c.Tracker.Partitioned(j.to.Service):
		return wrapper.Partitioned
	case j.p.c.Tracker.Connected(j.to.Service, recentTime):
		return wrapper.Unreachable
	}
	return j.compare(ctx)
}

// failed returns the outcome of a request without a response.
func (j *job) failed(ctx context.Context, err error) wrapper.Outcome {
	switch {
	case errors.Is(err, sender.ErrCanceled):
		j.p.c.Quarantine.Conclude(j.attempt)
		return wrapper.Withheld
	case errors.Is(err, sender.ErrUnsent):
		j.p.c.Quarantine.Conclude(j.attempt)
		j.p.c.Registry.ReturnPermit(j.pick)
		return j.notConnected(ctx)
	}
	j.broken(ctx, err)
	if errors.Is(err, sender.ErrNoResponse) {
		return wrapper.NoResponse
	}
	return wrapper.BadResponse
}

// broken records that the endpoint broke the request off, or that the peer gave it up.
func (j *job) broken(ctx context.Context, err error) {
	switch {
	case ctx.Err() == nil && !errors.Is(err, errPeer):
		j.p.c.Registry.Report(j.pick, registry.Failed)
		j.p.c.Quarantine.ReportBreak(ctx, j.attempt, j.events)
	case j.events == 0:
		j.p.c.Quarantine.ReportGivenUp(j.attempt, crashreporter.ClientGone)
	default:
		j.p.c.Quarantine.Conclude(j.attempt)
	}
}

// observe passes on what the endpoint's reply says about it.
func (j *job) observe(x *dispatcher.Response, begun time.Time) {
	reply := j.p.c.Codec.DecodeReply(x.Status, x.Header)
	q := &request.Request{ID: j.wrapped.ID, Service: j.wrapped.Service}
	replyreader.Observe(j.p.c.ReplyObserver, q, j.pick, &reply, x.Status, x.Header, begun)
}

// errPeer means that the peer's connection failed.
var errPeer = errors.New("proxier: the peer's connection failed")

// countEvents counts a read of the body. An endpoint that crashes may have written half an event, or what comes before
// the first one.
func (j *job) countEvents(chunk []byte, streams bool) {
	if streams && j.events == 0 && j.splitter.Pending() < maxPending && !eventsplitter.HasEvent(j.splitter.Add(chunk)) {
		return
	}
	if j.events++; j.events == 1 {
		j.p.c.Quarantine.Conclude(j.attempt)
	}
}

// copyBody passes a body on as it arrives. streams is set if it is a stream of events.
func (j *job) copyBody(w http.ResponseWriter, body io.Reader, streams bool) error {
	flush := http.NewResponseController(w).Flush
	chunk := make([]byte, readBytes)
	for {
		n, err := body.Read(chunk)
		if n > 0 {
			j.countEvents(chunk[:n], streams)
			j.pick.Activity.RecordEvent(time.Now())
			if _, err := w.Write(chunk[:n]); err != nil {
				return errPeer
			}
			if err := flush(); err != nil {
				return errPeer
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
