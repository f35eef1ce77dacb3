package relayer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"brasschute/internal/engine/sender"
	"brasschute/internal/route/registry"
)

const (
	// readSize is how much of a stream is read at once: several events.
	readSize = 4 << 10
	// maxEvent bounds an event that is held until it is whole.
	maxEvent = 1 << 20
)

// stream relays events as they come. Only whole events go out: what an engine
// wrote of an event before it broke off must not stand before another engine's
// repeat of it.
func (j *job) stream(ctx context.Context, x *sender.Exchange, pick *registry.Pick, begun time.Time, heard func()) error {
	buffer := make([]byte, 0, readSize)
	chunk := make([]byte, readSize)
	var first time.Time
	defer func() {
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
		buffer = append(buffer, chunk[:n]...)
		whole, rest := events(buffer)
		if len(whole) > 0 {
			heard()
			if j.res.Events == 0 {
				j.r.c.Placer.ObserveFirstEvent(j.q, pick, time.Since(begun))
			}
			if problem := j.pass(x, whole); problem != nil {
				return problem
			}
			buffer = append(buffer[:0], rest...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(buffer) == 0 && j.head:
			j.res.Outcome = Answered
			j.r.c.Placer.ObserveStream(j.q, j.service, j.res.Events, time.Since(first))
			return nil
		case err != nil:
			return fmt.Errorf("%w: after event %d: %w", sender.ErrBadResponse, j.last, err)
		case len(buffer) > maxEvent:
			return fmt.Errorf("%w: an event of over %d bytes", sender.ErrBadResponse, maxEvent)
		case ctx.Err() != nil:
			return ctx.Err()
		}
	}
}

// pass checks the numbers of whole events and writes those that the client
// does not have.
func (j *job) pass(x *sender.Exchange, whole []byte) error {
	out := whole[:0:0]
	for len(whole) > 0 {
		event, rest := cut(whole)
		whole = rest
		n, ok := number(event)
		switch {
		case !ok:
			out = append(out, event...)
			continue
		case n <= j.last:
			continue
		case n > j.last+1:
			return fmt.Errorf("%w: %d after %d", errGap, n, j.last)
		}
		j.last = n
		j.res.Events++
		out = append(out, event...)
	}
	if len(out) == 0 {
		return nil
	}
	j.begin()
	if !j.head {
		j.writeHead(x)
	}
	if _, err := j.w.Write(out); err != nil {
		return fmt.Errorf("%w: %w", errClient, err)
	}
	if err := j.flush(); err != nil {
		return fmt.Errorf("%w: %w", errClient, err)
	}
	return nil
}

// writeHead sends the head of the first engine's answer; it stays when the
// stream goes on at another.
func (j *job) writeHead(x *sender.Exchange) {
	h := j.w.Header()
	for name, values := range j.r.c.Codec.ReplyHeader(x.Header) {
		h[name] = values
	}
	j.head = true
	j.res.Status, j.res.TimeToFirst = x.Status, time.Since(j.q.Received)
	j.w.WriteHeader(x.Status)
}

var eventEnd = []byte("\n\n")

// events splits a buffer behind its last whole event.
func events(buffer []byte) (whole, rest []byte) {
	at := bytes.LastIndex(buffer, eventEnd)
	if at < 0 {
		return nil, buffer
	}
	at += len(eventEnd)
	return buffer[:at], buffer[at:]
}

// cut splits off the first event.
func cut(buffer []byte) (event, rest []byte) {
	at := bytes.Index(buffer, eventEnd)
	if at < 0 {
		return buffer, nil
	}
	at += len(eventEnd)
	return buffer[:at], buffer[at:]
}

var idField = []byte("id:")

// number reads an event's id field.
func number(event []byte) (int, bool) {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		event = rest
		value, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		n, err := strconv.Atoi(string(bytes.TrimSpace(value)))
		return n, err == nil
	}
	return 0, false
}
