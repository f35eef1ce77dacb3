// Package verifier verifies which incarnation of an endpoint is at the other end of a connection.
//
// An endpoint may start again under its id and address, with other software. Until its next heartbeat the list still shows the
// entry of the process before, and an idle endpoint ends unseen. So what an entry says, its version included, holds for
// a connection only if that is shown. A stream that another endpoint began goes on only where it is.
//
// # Invariant
//
// A result of [Verifier.Verify] passes only if one of these holds, or the entry has no start time. A connection stays with one process, and ends with it.
//
//   - The connection has been open for longer than a new process takes to be listed, up to a moment at which the list
//     was current and showed the incarnation: the process was there when the connection was opened, and any later one would
//     have ended the connection.
//   - The endpoint has stated its start time on this connection.
//
// # Usage
//
//	v := verifier.New(verifier.Config{...})
//	message.Verify = func(ctx context.Context, c *sender.Conn) bool { return v.Verify(ctx, c, incarnation).Passed() }
package verifier

import (
	"context"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"

	"github.com/uber-go/tally/v4"
)

const (
	// reportTimeout bounds the call for an endpoint's start time, which takes a round trip.
	reportTimeout = 150 * time.Millisecond
	// maxReportBytes bounds its answer.
	maxReportBytes = 256 << 10
)

// Conn is a connection on which nothing is in progress.
type Conn interface {
	// OpenedAt returns when the connection was opened.
	OpenedAt() time.Time
	// IsOpen reports whether the other side has neither closed it nor sent anything.
	IsOpen() bool
	// Get makes a call over it, and returns the body of a success.
	Get(ctx context.Context, target string, maxBytes int64) ([]byte, error)
	// Renew replaces it by a new connection.
	Renew(ctx context.Context) error
}

// Codec knows what endpoints state about themselves.
type Codec interface {
	// ReportTarget returns the target at which an endpoint reports its state.
	ReportTarget() string
	// DecodeReport returns the start time in a report.
	DecodeReport(body []byte) (identifier.StartTime, error)
}

// Config holds the dependencies of a Verifier.
type Config struct {
	Codec Codec
	// EntryDelay is how long after its start an endpoint is listed at most.
	EntryDelay time.Duration
	// Listed reports whether an incarnation is the one that is listed, ListedAsOf returns the time at which the list was
	// current last. Refresh brings it up to date.
	Listed     func(identifier.EndpointIncarnation) bool
	ListedAsOf func() time.Time
	Refresh    func(context.Context) error
	// OnEnd is called if an endpoint states another start time than its entry does.
	OnEnd   func(i identifier.EndpointIncarnation, at time.Time)
	Metrics tally.Scope
}

// Verifier verifies incarnations. It is safe for concurrent use.
type Verifier struct {
	c Config
}

// New returns a verifier.
func New(c Config) *Verifier { return &Verifier{c} }

// Result is how a verification ended.
type Result string

// The results.
const (
	// Age: the connection is older than any entry that is still to come. Report: the endpoint stated its start time.
	// Waiting: the connection was opened for this, and has become old enough.
	Age     Result = "age"
	Report  Result = "report"
	Waiting Result = "waiting"
	// Ended: the endpoint is another incarnation. Unknown: nothing was shown.
	Ended   Result = "ended"
	Unknown Result = "unknown"
	// Unstated: the entry has no start time, so that nothing can tell two incarnations apart.
	Unstated Result = "unstated"
)

// Passed reports whether a request for the incarnation may be sent.
func (r Result) Passed() bool { return r != Ended && r != Unknown }

// Verify verifies that the process at the other end of a connection is an incarnation of its endpoint. It may replace the
// connection, and may take the time of Config.EntryDelay if the endpoint does not state when it started.
func (v *Verifier) Verify(ctx context.Context, c Conn, i identifier.EndpointIncarnation) Result {
	r := v.verify(ctx, c, i)
	v.c.Metrics.Tagged(map[string]string{"result": string(r)}).Counter("incarnations_verified").Inc(1)
	return r
}

func (v *Verifier) verify(ctx context.Context, c Conn, i identifier.EndpointIncarnation) Result {
	if i.Born == 0 {
		return Unstated
	}
	if v.isSettled(c, i) {
		return Age
	}
	switch born, err := v.ask(ctx, c); {
	case err == nil && born == i.Born:
		return Report
	case err == nil:
		v.c.OnEnd(i, time.Now())
		return Ended
	}
	return v.wait(ctx, c, i)
}

// isSettled reports whether a connection is so old that its process would be listed if it were a later one.
func (v *Verifier) isSettled(c Conn, i identifier.EndpointIncarnation) bool {
	return v.c.ListedAsOf().Sub(c.OpenedAt()) >= v.c.EntryDelay && c.IsOpen() && v.c.Listed(i)
}

// ask returns the start time that an endpoint states. The connection is still open after that.
func (v *Verifier) ask(ctx context.Context, c Conn) (identifier.StartTime, error) {
	limited, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	body, err := c.Get(limited, v.c.Codec.ReportTarget(), maxReportBytes)
	if !c.IsOpen() {
		if renewed := c.Renew(ctx); renewed != nil {
			return 0, renewed
		}
	}
	if err != nil {
		return 0, err
	}
	return v.c.Codec.DecodeReport(body)
}

// wait waits until a connection is old enough.
func (v *Verifier) wait(ctx context.Context, c Conn, i identifier.EndpointIncarnation) Result {
	if !c.IsOpen() || !waiter.For(ctx, time.Until(c.OpenedAt().Add(v.c.EntryDelay))) || v.c.Refresh(ctx) != nil || !v.isSettled(c, i) {
		return Unknown
	}
	return Waiting
}
