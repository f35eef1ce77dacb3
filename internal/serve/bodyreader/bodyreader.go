// Package bodyreader reads the bodies of requests from clients that nobody controls.
//
// A client may send many large bodies at once, stop before their end, and keep its connections open. The bodies that
// a daemon holds are therefore bounded together, by two shares of its memory (package bufferlimiter): one for bodies
// of up to [SmallBytes], one for larger ones, so that small requests go on beside large ones. A body's room is
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
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"brasschute/internal/serve/bufferlimiter"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"
)

// SmallBytes is the length up to which bodies have a share of their own.
const SmallBytes = 64 << 10

const (
	// smallDivisor is the part of the memory for bodies that is kept for small ones.
	smallDivisor = 8
	// firstBytes is the first step of a body without a stated length.
	firstBytes = 4 << 10
	// silenceTimeout is the time without a byte after which a body has stalled. A lost packet is sent again before.
	silenceTimeout = time.Second
	// paceSlack is what a body may be behind its pace: a connection starts slowly.
	paceSlack = 64 << 10
	// yieldTimeout is how long a body waits for the room of stalled ones.
	yieldTimeout = 100 * time.Millisecond
	// discardTimeout bounds the time for which is discarded after a refusal, discards the number of connections on
	// which that happens at the same time.
	discardTimeout = time.Second
	discards       = 64
	// discardedAtOnce is the size of one read of what is discarded.
	discardedAtOnce = 16 << 10
)

// Reads that bring little cost as much as others. Bodies in tiny chunks could take the whole processor by them, so that
// nothing else goes on in time.
const (
	// tinyRead is the number of bytes below which a read counts. freeReads of each body don't.
	tinyRead  = 2 << 10
	freeReads = 16
	// readsPerSecond bounds such reads of all bodies together: a fifth of a small host's processor. readBurst lets
	// one body of the usual limit, in chunks of one byte, come in time.
	readsPerSecond = 2000
	readBurst      = 4000
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
		c:        c,
		small:    bufferlimiter.New(bufferlimiter.Config{Name: "small_body", TotalBytes: max(small, SmallBytes), Metrics: c.Metrics}),
		large:    bufferlimiter.New(bufferlimiter.Config{Name: "large_body", TotalBytes: max(c.TotalBytes-small, SmallBytes), Metrics: c.Metrics}),
		discards: semaphore.NewWeighted(discards), tinyReads: rate.NewLimiter(readsPerSecond, readBurst),
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
	a.progressAt.Store(a.begun.UnixNano())
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
	if bytes <= SmallBytes {
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
	slices.SortFunc(found, func(a, b *arrival) int { return int(a.progressAt.Load() - b.progressAt.Load()) })
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

// Refuse refuses a request whose body has not been read to its end. write writes the whole answer.
func (r *Reader) Refuse(w http.ResponseWriter, req *http.Request, write func()) {
	control := http.NewResponseController(w)
	if r.discardSmall(control, req) {
		write()
		return
	}
	writeUnread(w, control, write)
	r.discard(control, req)
	// The server would wait for the rest of the body.
	_ = control.SetReadDeadline(time.Now())
}

// Discard discards the body of a request that needs none. If it is large or does not come, the connection is closed
// after the answer.
func (r *Reader) Discard(w http.ResponseWriter, req *http.Request) {
	control := http.NewResponseController(w)
	if r.discardSmall(control, req) {
		return
	}
	w.Header().Set("Connection", "close")
	_ = control.SetReadDeadline(time.Now())
}

// RefuseAtOnce refuses a request that must not be held any longer, not even until its client has sent its body.
func (r *Reader) RefuseAtOnce(w http.ResponseWriter, write func()) {
	control := http.NewResponseController(w)
	writeUnread(w, control, write)
	_ = control.SetReadDeadline(time.Now())
}

// writeUnread writes an answer to a request that has not been read to its end.
func writeUnread(w http.ResponseWriter, control *http.ResponseController, write func()) {
	w.Header().Set("Connection", "close")
	// Otherwise the server reads on before it sends the answer, and without a bound of time.
	_ = control.EnableFullDuplex()
	write()
	_ = control.Flush()
}

// discardSmall discards a small body, whose connection can then be used on, and reports whether it came whole.
func (r *Reader) discardSmall(control *http.ResponseController, req *http.Request) bool {
	if req.Body == nil || req.Body == http.NoBody {
		return true
	}
	if req.ContentLength < 0 || req.ContentLength > SmallBytes || req.Header.Get("Expect") != "" {
		return false
	}
	_ = control.SetReadDeadline(time.Now().Add(discardTimeout))
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	_ = control.SetReadDeadline(time.Time{})
	return true
}

// discard discards the rest of a body, within bounds.
func (r *Reader) discard(control *http.ResponseController, req *http.Request) {
	if r.c.DiscardBytes == 0 || req.Header.Get("Expect") != "" || !r.discards.TryAcquire(1) {
		return
	}
	defer r.discards.Release(1)
	_ = control.SetReadDeadline(time.Now().Add(discardTimeout))
	buffer := make([]byte, discardedAtOnce)
	for left := r.c.DiscardBytes; left > 0; {
		n, err := req.Body.Read(buffer)
		if err != nil || n < tinyRead && !r.tinyReads.Allow() {
			return
		}
		left -= int64(n)
	}
}

// arrival is a body that arrives.
type arrival struct {
	r        *Reader
	body     io.Reader
	begun    time.Time
	stated   int64
	maxBytes int64
	control  *http.ResponseController
	// buffer is what has arrived, release gives its room back.
	buffer  []byte
	release func()
	// share is the one that has the room, nil before there is some.
	share atomic.Pointer[bufferlimiter.Limiter]
	// tinyReads counts the reads that brought little.
	tinyReads int
	// received and held are bytes, progressAt is when the last ones came, in Unix nanoseconds.
	received, held atomic.Int64
	progressAt     atomic.Int64
	// stalled is set under the reader's lock once the body has been ended.
	stalled bool
}

// hasStalled reports whether the body has stalled.
func (a *arrival) hasStalled(now time.Time, timeout time.Duration) bool {
	if now.Sub(time.Unix(0, a.progressAt.Load())) >= silenceTimeout {
		return true
	}
	if a.stated < 0 {
		return false
	}
	due := float64(a.stated) * float64(now.Sub(a.begun)) / float64(timeout)
	return float64(a.received.Load()+paceSlack) < due
}

// read reads the body to its end.
func (a *arrival) read() ([]byte, error) {
	first := a.stated
	if first < 0 {
		first = min(firstBytes, a.maxBytes)
	}
	if err := a.grow(first); err != nil {
		return nil, err
	}
	for {
		if len(a.buffer) == cap(a.buffer) {
			ended, err := a.atEnd()
			if ended || err != nil {
				return a.buffer, err
			}
		}
		n, err := a.body.Read(a.buffer[len(a.buffer):cap(a.buffer)])
		a.add(a.buffer[:len(a.buffer)+n], n)
		switch {
		case errors.Is(err, io.EOF):
			return a.buffer, nil
		case err != nil:
			return nil, a.incomplete(err)
		}
		if err := a.pace(n); err != nil {
			return nil, a.incomplete(err)
		}
	}
}

// pace waits until a read that brought n bytes may be followed by another one.
func (a *arrival) pace(n int) error {
	if n >= tinyRead {
		return nil
	}
	if a.tinyReads++; a.tinyReads <= freeReads || a.r.tinyReads.Allow() {
		return nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), a.begun.Add(a.r.c.Timeout))
	defer cancel()
	if err := a.r.tinyReads.Wait(ctx); err != nil {
		return fmt.Errorf("%w: in pieces that are too small: %w", os.ErrDeadlineExceeded, err)
	}
	return nil
}

// add adds bytes that arrived.
func (a *arrival) add(buffer []byte, n int) {
	a.buffer = buffer
	if n > 0 {
		a.received.Add(int64(n))
		a.progressAt.Store(time.Now().UnixNano())
	}
}

// atEnd reports whether the body ends where the buffer is full. If it goes on, it makes the buffer larger.
func (a *arrival) atEnd() (ended bool, err error) {
	var next [1]byte
	for {
		n, err := a.body.Read(next[:])
		switch {
		case n > 0:
			if err := a.grow(min(2*int64(cap(a.buffer)), a.maxBytes)); err != nil {
				return false, err
			}
			a.add(append(a.buffer, next[0]), n)
			return false, nil
		case errors.Is(err, io.EOF):
			return true, nil
		case err != nil:
			return false, a.incomplete(err)
		}
	}
}

// grow makes the buffer as large as a number of bytes.
func (a *arrival) grow(bytes int64) error {
	if a.buffer != nil && bytes <= int64(len(a.buffer)) {
		return fmt.Errorf("%w: over %d bytes came", ErrTooLong, a.maxBytes)
	}
	share, release, err := a.r.reserve(bytes)
	if err != nil {
		return err
	}
	a.share.Store(share)
	a.held.Store(bytes * a.r.c.Factor)
	a.buffer = append(make([]byte, 0, bytes), a.buffer...)
	if a.release != nil {
		a.release()
	}
	a.release = release
	return nil
}

// incomplete returns the error of a body that could not be read on.
func (a *arrival) incomplete(err error) error {
	return fmt.Errorf("%w: %d bytes in %d ms: %w", ErrIncomplete, a.received.Load(), time.Since(a.begun).Milliseconds(), err)
}
