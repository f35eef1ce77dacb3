// Package receiver is the HTTP handler for clients of the ingress.
//
// A request passes these steps:
//
//	decode → route → organisation → body → quarantine → quota → relay → log
//
// Each step may refuse the request as not run. A daemon that has no configuration yet
// answers 503, never 401 or 404, as it cannot decide what does not exist.
//
// After [Receiver.Drain] every answer closes its connection, so that clients move
// to other daemons with their next request. Requests that were read are still
// answered.
//
// # Usage
//
//	h := receiver.New(receiver.Config{...})
//	server := http.Server{Handler: h}
package receiver

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/config/versioner"
	"brasschute/internal/core/identifier"
	"brasschute/internal/route/quarantiner"
	"brasschute/internal/route/quotalimiter"
	"brasschute/internal/serve/bodyreader"
	"brasschute/internal/serve/refusal"
	"brasschute/internal/serve/relayer"
	"brasschute/internal/serve/request"

	"github.com/cespare/xxhash/v2"
)

const (
	// unknownRetryAfter is sent while the daemon has no configuration or not the newest
	// one: it lists the store within a second of the store's return.
	unknownRetryAfter = 500 * time.Millisecond
	// defaultMaxBodyBytes bounds a body if the configuration does not.
	defaultMaxBodyBytes = 4 << 20
	// noRoomRetryAfter is sent when bodies take all of their memory: another daemon may have room.
	noRoomRetryAfter = 500 * time.Millisecond
	// refusalTimeout is how long a client may take to read a refusal.
	refusalTimeout = 10 * time.Second
)

// Relayer serves an admitted request.
type Relayer interface {
	Relay(ctx context.Context, w http.ResponseWriter, q *request.Request, s *catalog.Service) relayer.Result
}

// Quota admits requests within the quotas of their organisations.
type Quota interface {
	Admit(q *request.Request) quotalimiter.Decision
}

// Quarantine decides which requests may not reach endpoints.
type Quarantine interface {
	Admit(f identifier.Fingerprint, id identifier.Request, parts ...identifier.Fingerprint) quarantiner.Decision
}

// Observer is notified of the end of each request.
type Observer interface {
	RequestEnded(q *request.Request, r *relayer.Result)
}

// Config holds the dependencies of a Receiver.
type Config struct {
	Versioner *versioner.Versioner
	Relayer   Relayer
	Quota     Quota
	// Quarantine is consulted before a request is charged to a quota.
	Quarantine Quarantine
	Observer   Observer
	// Bodies reads the bodies of requests and bounds the memory that they take.
	Bodies *bodyreader.Reader
	// Decode reads a client's headers. Its error is sent to the client as the reason of
	// a 400.
	Decode func(r *http.Request, received time.Time) (*request.Request, error)
	// Refuse sets the headers of an error response of the daemon itself.
	Refuse func(h http.Header, id identifier.Request, retryAfter time.Duration)
	// OnArrival is called for each request whose service is known. It may be nil.
	OnArrival func(*request.Request)
}

// Receiver is the HTTP handler for clients. Use New.
type Receiver struct {
	c        Config
	draining atomic.Bool
}

var _ http.Handler = (*Receiver)(nil)

// New returns a receiver that accepts requests.
func New(c Config) *Receiver {
	if c.OnArrival == nil {
		c.OnArrival = func(*request.Request) {}
	}
	return &Receiver{c: c}
}

// Drain makes every answer from now on close its connection.
func (v *Receiver) Drain() { v.draining.Store(true) }

// ServeHTTP answers one request.
func (v *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if v.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	received := time.Now()
	q, err := v.c.Decode(r, received)
	if err != nil {
		q = &request.Request{Received: received}
		v.refuseUnread(w, r, q, &relayer.Refusal{Status: http.StatusBadRequest, Reason: err.Error()})
		return
	}
	c := v.c.Versioner.Current()
	if refused := v.resolve(c, q); refused != nil {
		v.refuseUnread(w, r, q, refused)
		return
	}
	release, refused := v.readBody(w, r, c, q)
	if refused != nil {
		v.refuseUnread(w, r, q, refused)
		return
	}
	defer release()
	v.serve(w, r, c, q)
}

// RefuseHead refuses a request for whose head there is no room.
func (v *Receiver) RefuseHead(w http.ResponseWriter, _ *http.Request, reason string) {
	refused := &relayer.Refusal{Status: http.StatusServiceUnavailable, RetryAfter: noRoomRetryAfter, Reason: "not run: " + reason}
	v.c.Bodies.RefuseAtOnce(w, func() {
		v.refuse(w, &request.Request{Received: time.Now()}, &relayer.Result{Outcome: relayer.NotRun, Refusal: refused})
	})
}

// refuseUnread refuses a request whose body has not been read to its end.
func (v *Receiver) refuseUnread(w http.ResponseWriter, r *http.Request, q *request.Request, refused *relayer.Refusal) {
	v.c.Bodies.Refuse(w, r, func() {
		v.refuse(w, q, &relayer.Result{Outcome: relayer.NotRun, Refusal: refused})
	})
}

// overQuotaReason describes why the quota refused a request, with the figures of the decision.
func overQuotaReason(q *request.Request, d *quotalimiter.Decision) string {
	reason := fmt.Sprintf("not run: over the organisation's quota (%s): charge %.0f, left %.0f, %.0f a second, %.2f set aside, "+
		"used %.2f of the limit, own part %.0f, share %.3f of %.0f asked a second",
		d.Cause, q.Charge(), d.Level, d.Rate, d.Reserved, d.Used, d.ShareLevel, d.Share, d.Demand)
	if d.IsolatedFor > 0 {
		reason += fmt.Sprintf(", cut off for %.1f s", d.IsolatedFor.Seconds())
	}
	return reason
}

// serve checks quarantine and quota, relays the request and reports its end.
func (v *Receiver) serve(w http.ResponseWriter, r *http.Request, c *catalog.Catalog, q *request.Request) {
	v.c.OnArrival(q)
	if decision := v.c.Quarantine.Admit(q.Fingerprint(), q.ID, q.SharedParts()...); decision.Held {
		v.refuse(w, q, &relayer.Result{Outcome: relayer.NotRun, Fingerprint: q.Fingerprint(), Refusal: relayer.QuarantineRefusal(&decision)})
		return
	}
	if decision := v.c.Quota.Admit(q); decision.RetryAfter > 0 {
		v.refuse(w, q, &relayer.Result{Outcome: relayer.NotRun, Refusal: &relayer.Refusal{
			Status: http.StatusTooManyRequests, RetryAfter: decision.RetryAfter, Reason: overQuotaReason(q, &decision),
		}})
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.Deadline())
	defer cancel()
	res := v.c.Relayer.Relay(ctx, w, q, c.Service(q.Service))
	if res.Refusal != nil {
		v.refuse(w, q, &res)
		return
	}
	v.c.Observer.RequestEnded(q, &res)
	if res.Abort {
		panic(http.ErrAbortHandler)
	}
}

// resolve sets the route, the organisation and the service of a request.
func (v *Receiver) resolve(c *catalog.Catalog, q *request.Request) *relayer.Refusal {
	if c == nil {
		return &relayer.Refusal{Status: http.StatusServiceUnavailable, Reason: "not run: no configuration is known yet", RetryAfter: unknownRetryAfter}
	}
	q.ConfigurationNumber = c.Number()
	q.Route = c.Route(q.Host, q.Path)
	if q.Route == nil {
		return v.refuseUnknown(http.StatusNotFound, "no route for this host and path")
	}
	if !q.Route.Public && len(c.Organisations()) > 0 {
		q.Organisation = c.Organisation(q.APIKey)
		if q.Organisation == nil {
			return v.refuseUnknown(http.StatusUnauthorized, "the key is missing or unknown")
		}
	}
	q.Service = q.Route.Pick(xxhash.Sum64String(string(q.ID)))
	if q.Service == "" {
		return &relayer.Refusal{Status: http.StatusServiceUnavailable, Reason: "not run: the route has no service", RetryAfter: unknownRetryAfter}
	}
	return nil
}

// refuseUnknown refuses what the configuration in force does not allow. If the number
// of a newer configuration is known and its content is not, that one may allow it.
// Callers take a 404 or 401 as final, so a daemon that is behind answers that the
// request did not run and may be retried.
func (v *Receiver) refuseUnknown(status int, reason string) *relayer.Refusal {
	lag, behind := v.c.Versioner.Lag()
	if !behind {
		return &relayer.Refusal{Status: status, Reason: reason}
	}
	return &relayer.Refusal{
		Status: http.StatusServiceUnavailable, RetryAfter: unknownRetryAfter,
		Reason: fmt.Sprintf("not run: %s; configuration %d has been known of for %d ms", reason, lag.Number, time.Since(lag.Since).Milliseconds()),
	}
}

// readBody reads the whole body before anything is sent on, so that a client that is
// slow or disconnects midway costs no endpoint anything. release gives the body's memory back.
func (v *Receiver) readBody(w http.ResponseWriter, r *http.Request, c *catalog.Catalog, q *request.Request) (release func(), refused *relayer.Refusal) {
	limit := c.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, release, err := v.c.Bodies.Read(w, r, limit)
	switch {
	case err == nil:
		q.Body = body
		return release, nil
	case errors.Is(err, bodyreader.ErrTooLong):
		return nil, &relayer.Refusal{Status: http.StatusRequestEntityTooLarge, Reason: err.Error()}
	case errors.Is(err, bodyreader.ErrNoRoom):
		return nil, &relayer.Refusal{Status: http.StatusServiceUnavailable, Reason: "not run: " + err.Error(), RetryAfter: noRoomRetryAfter}
	}
	return nil, &relayer.Refusal{Status: http.StatusRequestTimeout, Reason: "not run: " + err.Error()}
}

// kindOfStatus maps the status of a refusal to its kind.
var kindOfStatus = map[int]refusal.Kind{
	http.StatusBadRequest: refusal.BadRequest, http.StatusUnauthorized: refusal.Unauthenticated,
	http.StatusNotFound: refusal.UnknownService, http.StatusRequestEntityTooLarge: refusal.TooLarge,
	http.StatusRequestTimeout: refusal.TooSlow, http.StatusTooManyRequests: refusal.OverLimit,
	http.StatusServiceUnavailable: refusal.NoEndpoint, http.StatusBadGateway: refusal.EndpointFailed,
	http.StatusGatewayTimeout: refusal.DeadlinePassed,
}

func (v *Receiver) refuse(w http.ResponseWriter, q *request.Request, res *relayer.Result) {
	res.Status, res.Reason = res.Refusal.Status, res.Refusal.Reason
	v.c.Refuse(w.Header(), q.ID, res.Refusal.RetryAfter)
	// A client that does not read must not hold its connection for ever.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(refusalTimeout))
	p := refusal.New(kindOfStatus[res.Status], res.Reason)
	if res.Outcome == relayer.Unknown || res.Status == http.StatusGatewayTimeout {
		p = p.WithOutcome(refusal.Unknown)
	}
	p.Write(w, q.ID)
	v.c.Observer.RequestEnded(q, res)
}
