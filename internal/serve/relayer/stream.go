package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"brasschute/internal/engine/eventsplitter"
	"brasschute/internal/engine/sender"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/answerreader"
	"brasschute/internal/serve/eventsequencer"
)

const (
	// readBytes is the size of one read from a stream: several events.
	readBytes = 4 << 10
	// maxEventBytes bounds an event, which is buffered until it is complete.
	maxEventBytes = 1 << 20
	// eventMemory is what a buffer takes that grows to the size of an event.
	eventMemory = 2 * maxEventBytes
)

// relayStream relays events as they arrive. Only whole events are passed on: a partial
// event from an engine that broke off must not precede the same event from another
// engine.
func (j *job) relayStream(ctx context.Context, x *sender.Response, pick *registry.Pick, begun time.Time, delivered func()) error {
	var splitter eventsplitter.Splitter
	chunk := make([]byte, readBytes)
	var first time.Time
	reported := false
	var release func()
	defer func() {
		if release != nil {
			release()
		}
		if !first.IsZero() {
			pick.Activity.EndStream()
		}
	}()
	for {
		n, err := x.Body.Read(chunk)
		if n > 0 {
			now := time.Now()
			pick.Activity.RecordEvent(now)
			if first.IsZero() {
				first = now
				pick.Activity.BeginStream()
			}
		}
		whole := splitter.Add(chunk[:n])
		if eventsplitter.HasEvent(whole) {
			// Each attempt has a run at its coordinator, also one that continues a stream.
			if !reported {
				reported = true
				delivered()
				j.r.c.Quarantine.RecordEvent(j.q.SharedParts()...)
				j.r.c.Placer.ReportFirstEvent(j.q, pick)
			}
			if j.res.Events == 0 {
				j.r.c.Placer.ObserveFirstEvent(j.q, pick, time.Since(begun))
			}
		}
		if len(whole) > 0 {
			if problem := j.writeEvents(ctx, x, whole, pick, begun); problem != nil {
				return problem
			}
		}
		if err == nil && release == nil && splitter.Pending() > answerreader.SmallBytes {
			if release, err = j.r.c.Answers.Reserve(ctx, eventMemory); err != nil {
				return fmt.Errorf("%w: after event %d: %w", sender.ErrBadResponse, j.events.Position(), err)
			}
		}
		switch {
		case errors.Is(err, io.EOF) && splitter.Pending() == 0 && j.headSent:
			j.res.Outcome = Answered
			j.r.c.Placer.ObserveStream(j.q, j.service, j.res.Events, time.Since(first))
			return nil
		case err != nil:
			return fmt.Errorf("%w: after event %d: %w", sender.ErrBadResponse, j.events.Position(), err)
		case splitter.Pending() > maxEventBytes:
			return fmt.Errorf("%w: an event of over %d bytes", sender.ErrBadResponse, maxEventBytes)
		case ctx.Err() != nil:
			return ctx.Err()
		}
	}
}

// writeEvents writes those of some whole events that the client does not have.
func (j *job) writeEvents(ctx context.Context, x *sender.Response, whole []byte, pick *registry.Pick, begun time.Time) error {
	written, err := j.events.Pass(whole, func(events []byte) error {
		j.markBegun()
		j.beginStream(ctx, pick, begun)
		if !j.headSent {
			j.writeHead(x)
		}
		if _, err := j.w.Write(events); err != nil {
			return fmt.Errorf("%w: %w", errClient, err)
		}
		if err := j.flush(); err != nil {
			return fmt.Errorf("%w: %w", errClient, err)
		}
		return nil
	})
	j.res.Events += written
	if errors.Is(err, eventsequencer.ErrMissing) || errors.Is(err, eventsplitter.ErrMalformed) {
		return fmt.Errorf("%w: %w", errWrongEvents, err)
	}
	return err
}

// writeHead sends the header of the first engine's answer. It stays the same when
// the stream continues on another engine.
func (j *job) writeHead(x *sender.Response) {
	h := j.w.Header()
	for name, values := range j.r.c.Codec.ReplyHeader(x.Header) {
		h[name] = values
	}
	j.headSent = true
	j.boundWrites()
	j.answerBegins()
	j.res.Status, j.res.TimeToFirst = x.Status, time.Since(j.q.Received)
	j.countFirstEvent()
	j.w.WriteHeader(x.Status)
}
