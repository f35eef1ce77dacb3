// Package receiver takes requests from clients of the ingress.
//
// # The path of a request
//
//	decode → route → organisation → body → quarantine → quota → relay → log
//
// Each step may refuse, and a refusal says truthfully that the request has not
// run. A daemon that knows no configuration yet answers 503, never 401 or 404:
// it can't know what does not exist.
//
// # Stopping
//
// After [Receiver.Drain] every answer closes its connection, so that clients
// move to other daemons with their next request; what has been read is
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
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/config/versioner"
	"brasschute/internal/core/identifier"
	"brasschute/internal/route/quotalimiter"
	"brasschute/internal/route/quarantiner"
	"brasschute/internal/serve/refusal"
	"brasschute/internal/serve/relayer"
	"brasschute/internal/serve/request"

	"github.com/cespare/xxhash/v2"
)

const (
	// unknownRetry is told while the daemon knows no configuration, or lacks the newest:
	// it lists the store within a second of its return.
	unknownRetry = 500 * time.Millisecond
	// defaultBody bounds a body where the configuration does not.
	defaultBody = 4 << 20
	// bodyPause is how long a client may take to send its body.
	bodyPause = 5 * time.Second
)

// Relayer serves what was admitted.
type Relayer interface {
	Relay(ctx context.Context, w http.ResponseWriter, q *request.Request, s *catalog.Service) relayer.Result
}

// Quota admits requests within their organisations' quotas.
type Quota interface {
	Admit(q *request.Request) quotalimiter.Decision
}

// Quarantine says which requests must not reach endpoints.
type Quarantine interface {
	Admit(f identifier.Fingerprint, id identifier.Request) quarantiner.Verdict
}

// Observer is told of each request's end.
type Observer interface {
	RequestEnded(q *request.Request, r *relayer.Result)
}

// Config names the receiver's collaborators.
type Config struct {
	Versioner *versioner.Versioner
	Relayer   Relayer
	Quota     Quota
	// Quarantine is asked before a request is charged.
	Quarantine Quarantine
	Observer   Observer
	// Decode reads a client's headers.
	Decode func(r *http.Request, received time.Time) (*request.Request, error)
	// Refuse sets the headers of an answer of the daemon's own.
	Refuse func(h http.Header, id identifier.Request, retryAfter time.Duration)
	// OnArrival is told of each request for a service; may be nil.
	OnArrival func(*request.Request)
}

// Receiver is the clients' handler. Use New.
type Receiver struct {
	c        Config
	draining atomic.Bool
}

var _ http.Handler = (*Receiver)(nil)

// New returns a receiver that serves.
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
		v.refuse(w, q, &relayer.Result{Outcome: relayer.NotRun, Refusal: &relayer.Refusal{Status: http.StatusBadRequest, Reason: err.Error()}})
		return
	}
	c := v.c.Versioner.Current()
	if refused := v.resolve(c, q); refused != nil {
		v.refuse(w, q, &relayer.Result{Outcome: relayer.NotRun, Refusal: refused})
		return
	}
	if refused := v.body(w, r, c, q); refused != nil {
		v.refuse(w, q, &relayer.Result{Outcome: relayer.NotRun, Refusal: refused})
		return
	}
	v.serve(w, r, c, q)
}

// overQuota says why a request is not admitted.
func overQuota(q *request.Request, v *quotalimiter.Decision) string {
	reason := fmt.Sprintf("not run: over the organisation's quota (%s): charge %.0f, left %.0f, %.0f a second, %.2f set aside, "+
		"used %.2f of the limit, own part %.0f, share %.3f of %.0f asked a second",
		v.Cause, q.Charge(), v.Level, v.Rate, v.Reserved, v.Used, v.ShareLevel, v.Share, v.Demand)
	if v.IsolatedFor > 0 {
		reason += fmt.Sprintf(", cut off for %.1f s", v.IsolatedFor.Seconds())
	}
	return reason
}

func (v *Receiver) serve(w http.ResponseWriter, r *http.Request, c *catalog.Catalog, q *request.Request) {
	v.c.OnArrival(q)
	if verdict := v.c.Quarantine.Admit(q.Fingerprint(), q.ID); verdict.Held {
		v.refuse(w, q, &relayer.Result{Outcome: relayer.NotRun, Fingerprint: q.Fingerprint(), Refusal: relayer.QuarantineRefusal(&verdict)})
		return
	}
	if verdict := v.c.Quota.Admit(q); verdict.RetryAfter > 0 {
		v.refuse(w, q, &relayer.Result{Outcome: relayer.NotRun, Refusal: &relayer.Refusal{
			Status: http.StatusTooManyRequests, RetryAfter: verdict.RetryAfter, Reason: overQuota(q, &verdict),
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

// resolve finds the route, the organisation and the service.
func (v *Receiver) resolve(c *catalog.Catalog, q *request.Request) *relayer.Refusal {
	if c == nil {
		return &relayer.Refusal{Status: http.StatusServiceUnavailable, Reason: "not run: no configuration is known yet", RetryAfter: unknownRetry}
	}
	q.ConfigurationNumber = c.Number()
	q.Route = c.Route(q.Host, q.Path)
	if q.Route == nil {
		return v.unknown(http.StatusNotFound, "no route for this host and path")
	}
	if !q.Route.Public && len(c.Organisations()) > 0 {
		q.Organisation = c.Organisation(q.APIKey)
		if q.Organisation == nil {
			return v.unknown(http.StatusUnauthorized, "the key is missing or unknown")
		}
	}
	q.Service = q.Route.Pick(xxhash.Sum64String(string(q.ID)))
	if q.Service == "" {
		return &relayer.Refusal{Status: http.StatusServiceUnavailable, Reason: "not run: the route has no service", RetryAfter: unknownRetry}
	}
	return nil
}

// unknown refuses what the configuration in force does not allow. A newer one, of which
// only the number has come so far, may allow it: callers take a 404 or 401 for final, so
// a daemon that is behind says that the request has not run and may be repeated.
func (v *Receiver) unknown(status int, reason string) *relayer.Refusal {
	lag, behind := v.c.Versioner.Lag()
	if !behind {
		return &relayer.Refusal{Status: status, Reason: reason}
	}
	return &relayer.Refusal{
		Status: http.StatusServiceUnavailable, RetryAfter: unknownRetry,
		Reason: fmt.Sprintf("not run: %s; configuration %d has been known of for %d ms", reason, lag.Number, time.Since(lag.Since).Milliseconds()),
	}
}

// body reads the whole body before anything is sent on: a client that is slow,
// or leaves half-way, then costs no endpoint anything.
func (v *Receiver) body(w http.ResponseWriter, r *http.Request, c *catalog.Catalog, q *request.Request) *relayer.Refusal {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	limit := c.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyPause))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		q.Body = body
		return nil
	case errors.As(err, &tooLarge):
		return &relayer.Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "the body is over the limit"}
	}
	w.Header().Set("Connection", "close")
	return &relayer.Refusal{Status: http.StatusRequestTimeout, Reason: "not run: the body did not come whole"}
}

var kinds = map[int]refusal.Kind{
	http.StatusBadRequest: refusal.BadRequest, http.StatusUnauthorized: refusal.Unauthenticated,
	http.StatusNotFound: refusal.UnknownService, http.StatusRequestEntityTooLarge: refusal.TooLarge,
	http.StatusRequestTimeout: refusal.TooSlow, http.StatusTooManyRequests: refusal.OverLimit,
	http.StatusServiceUnavailable: refusal.NoEndpoint, http.StatusBadGateway: refusal.EndpointFailed,
	http.StatusGatewayTimeout: refusal.DeadlinePassed,
}

func (v *Receiver) refuse(w http.ResponseWriter, q *request.Request, res *relayer.Result) {
	res.Status, res.Reason = res.Refusal.Status, res.Refusal.Reason
	v.c.Refuse(w.Header(), q.ID, res.Refusal.RetryAfter)
	p := refusal.New(kinds[res.Status], res.Reason)
	if res.Outcome == relayer.Unknown || res.Status == http.StatusGatewayTimeout {
		p = p.WithOutcome(refusal.Unknown)
	}
	p.Write(w, q.ID)
	v.c.Observer.RequestEnded(q, res)
}
