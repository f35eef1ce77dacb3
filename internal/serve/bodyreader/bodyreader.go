// Package bodyreader reads the bodies of requests from clients that nobody controls.
//
// A client may send many large bodies at once, stop before their end, and keep its connections open. The bodies that
// a daemon holds are therefore bounded together, by two shares of its memory (package bufferlimiter): one for bodies
// of up to [smallBytes], one for larger ones, so that small requests go on beside large ones. A body's room is
// reserved before it is read: its stated length, or a step that doubles if none is stated. It is held until the
// request ends.
//
// A body without room is refused at once. Before that, bodies that have stalled give their room up: those of which
// nothing has arrived for [silenceTimeout], and those that at their pace so far won't be whole in time. A client that
// goes on sending is never cut off for the sake of another one.
//
// Reads that bring little are limited in number for all bodies together, so that bodies in tiny chunks leave the
// processor to others.
//
// A refusal must reach a client that is still sending. [Reader.Refuse] answers first, and then discards what
// arrives for a while, because closing a connection with unread bytes resets it.
//
// # Usage
//
//	r := bodyreader.New(bodyreader.Config{TotalBytes: memory / 4, Timeout: 5 * time.Second, DiscardBytes: 8 << 20})
//	body, release, err := r.Read(w, req, maxBytes)
//	if err != nil {
//		r.Refuse(w, req, func() { ... })
//		return
//	}
//	defer release() // once nothing refers to the body
package bodyreader

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"brasschute/internal/serve/bufferlimiter"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"
)

// smallBytes is the length up to which bodies have a share of their own.
const smallBytes = 64 << 10

const (
	// smallDivisor is the part of the memory for bodies that is kept for small ones.
	smallDivisor = 8
	// yieldTimeout is how long a body waits for the room of stalled ones.
	yieldTimeout = 100 * time.Millisecond
)

// Errors of a body that was not read.
var (
	// ErrTooLong means that the body is longer than allowed.
	ErrTooLong = errors.New("the body is over the limit")
	// ErrNoRoom means that other bodies take the memory for bodies.
	ErrNoRoom = errors.New("no room for the body")
	// ErrIncomplete means that the body did not arrive whole, or not in time.
	ErrIncomplete = errors.New("the body did not come whole")
	// ErrStalled means that the body had stalled and its room was needed. It wraps ErrIncomplete.
	ErrStalled = fmt.Errorf("%w: it stalled while others needed its room", ErrIncomplete)
)

// Config sets the bounds.
type Config struct {
	// TotalBytes bounds the bodies that are held together.
	TotalBytes int64
	// Factor is the memory that a body takes as a multiple of its length, if it is copied or decoded; at least 1.
	Factor int64
	// Timeout bounds the time until a whole body has arrived.
	Timeout time.Duration
	// DiscardBytes is how much of a large body is discarded after a refusal, for the sake of a client that reads its
	// answer only once it has sent its body; 0 for nothing.
	DiscardBytes int64
	// Metrics may be nil for none.
	Metrics tally.Scope
}

// Reader reads bodies. It is safe for concurrent use.
type Reader struct {
	c            Config
	small, large *bufferlimiter.Limiter
	discards     *semaphore.Weighted
	tinyReads    *rate.Limiter
	refused      tally.Counter
	stalled      tally.Counter

	mu sync.Mutex
	// arriving holds the bodies that have not arrived whole.
	arriving map[*arrival]struct{}
}

// New returns a reader.
func New(c Config) *Reader {
	if c.Metrics == nil {
		c.Metrics = tally.NoopScope
	}
	c.Factor = max(c.Factor, 1)
	small := c.TotalBytes / smallDivisor
	return &Reader{
		c: c,
		small: bufferlimiter.New(bufferlimiter.Config{
			TotalBytes: max(small, smallBytes), Gauge: "small_body_bytes_reserved", Counter: "small_bodies_waited_for_memory", Metrics: c.Metrics,
		}),
		large: bufferlimiter.New(bufferlimiter.Config{
			TotalBytes: max(c.TotalBytes-small, smallBytes), Gauge: "large_body_bytes_reserved", Counter: "large_bodies_waited_for_memory", Metrics: c.Metrics,
		}),
		discards: semaphore.NewWeighted(maxDiscards), tinyReads: rate.NewLimiter(readsPerSecond, readBurst),
		refused: c.Metrics.Counter("bodies_refused_for_memory"), stalled: c.Metrics.Counter("bodies_ended_for_memory"),
		arriving: make(map[*arrival]struct{}),
	}
}

// Read reads the body of a request, of at most maxBytes bytes. release must be called once nothing refers to the body.
// The error is one of this package's, with the figures that decided.
func (r *Reader) Read(w http.ResponseWriter, req *http.Request, maxBytes int64) (body []byte, release func(), err error) {
	if req.Body == nil || req.Body == http.NoBody {
		return nil, func() {}, nil
	}
	if req.ContentLength > maxBytes {
		return nil, nil, fmt.Errorf("%w: %d bytes are stated, %d are allowed", ErrTooLong, req.ContentLength, maxBytes)
	}
	control := http.NewResponseController(w)
	a := &arrival{r: r, body: req.Body, begun: time.Now(), stated: req.ContentLength, maxBytes: maxBytes, control: control}
	// Deadlines are not supported by the writers of tests.
	_ = control.SetReadDeadline(a.begun.Add(r.c.Timeout))
	r.add(a)
	body, err = a.read()
	stalled := r.remove(a)
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, a.release, nil
	}
	if a.release != nil {
		a.release()
	}
	if stalled {
		err = fmt.Errorf("%w: %d bytes came in %d ms", ErrStalled, a.received.Load(), time.Since(a.begun).Milliseconds())
	}
	return nil, nil, err
}

// reserve reserves room for a body of so many bytes, if need be in place of stalled ones. It returns the share in which
// the room is.
func (r *Reader) reserve(bytes int64) (share *bufferlimiter.Limiter, release func(), err error) {
	shares := []*bufferlimiter.Limiter{r.large}
	if bytes <= smallBytes {
		shares = []*bufferlimiter.Limiter{r.small, r.large}
	}
	bytes *= r.c.Factor
	for _, share := range shares {
		if release, ok := share.TryReserve(bytes); ok {
			return share, release, nil
		}
	}
	for _, share := range shares {
		if !r.endStalled(share, bytes) {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), yieldTimeout)
		defer cancel()
		if release, err := share.Reserve(ctx, bytes); err == nil {
			return share, release, nil
		}
	}
	r.refused.Inc(1)
	share = shares[len(shares)-1]
	return nil, nil, fmt.Errorf("%w: %d bytes, others hold %d of %d", ErrNoRoom, bytes, share.ReservedBytes(), share.TotalBytes())
}

// add adds a body that arrives.
func (r *Reader) add(a *arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arriving[a] = struct{}{}
}

// remove removes a body and reports whether it has been ended as stalled.
func (r *Reader) remove(a *arrival) (stalled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.arriving, a)
	return a.stalled
}

// endStalled ends the arrival of stalled bodies that together hold so many bytes of a share, and reports whether there
// was one.
func (r *Reader) endStalled(share *bufferlimiter.Limiter, bytes int64) bool {
	return r.end(func(a *arrival) bool { return a.share.Load() == share }, bytes)
}

// EndLongestStalled ends the arrival of the body that has stalled for the longest time, and reports whether there was
// one. Its connection is closed.
func (r *Reader) EndLongestStalled() bool {
	return r.end(func(*arrival) bool { return true }, 0)
}

// end ends the arrival of stalled bodies that match, those that have been silent for the longest time first, until they
// hold so many bytes together.
func (r *Reader) end(matches func(*arrival) bool, bytes int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var found []*arrival
	for a := range r.arriving {
		if matches(a) && (a.stalled || a.hasStalled(now, r.c.Timeout)) {
			found = append(found, a)
		}
	}
	slices.SortFunc(found, func(a, b *arrival) int { return a.progressAt().Compare(b.progressAt()) })
	ended := int64(0)
	for i, a := range found {
		if i > 0 && ended >= bytes {
			break
		}
		ended += a.held.Load()
		if !a.stalled {
			a.stalled = true
			r.stalled.Inc(1)
			_ = a.control.SetReadDeadline(now)
		}
	}
	return len(found) > 0
}
