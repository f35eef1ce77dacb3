// Package eventsequencer passes the events of a stream on to its client in order, over any number of attempts.
//
// The position of a stream is the number of the last event that its client was sent. A later attempt continues after it,
// so an event that the position counts and the client lacks is lost without a trace. Only [Sequencer.Pass] moves the
// position, and only past events whose write has succeeded. Hence this invariant: whatever endpoints send, the events
// written so far are those that follow the first position, each once, in order and without a gap, up to the
// present position.
//
// Several events may arrive together with bytes that are none. Those before the first fault are written.
//
// # Usage
//
//	s := eventsequencer.New(eventsequencer.Config{Position: lastEventNumber})
//	events, err := s.Pass(whole, func(events []byte) error { _, err := w.Write(events); return err })
//	if errors.Is(err, eventsequencer.ErrMissing) { ... } // go on elsewhere, after s.Position()
package eventsequencer

import (
	"errors"
	"fmt"

	"brasschute/internal/engine/eventsplitter"
)

// ErrMissing means that an event is missing before one that arrived.
var ErrMissing = errors.New("an event of the stream is missing")

// Config sets where a stream begins.
type Config struct {
	// Position is the number of the last event that the client has; 0 for a new stream.
	Position int
}

// Sequencer holds the position of one stream. It is for one goroutine.
type Sequencer struct {
	position int
}

// New returns a sequencer of a stream.
func New(c Config) *Sequencer { return &Sequencer{position: c.Position} }

// Position returns the number of the last event that the client was sent.
func (s *Sequencer) Position() int { return s.position }

// Pass writes those of some whole events that the client does not have, in one call of write, which is not called without
// any. events is the number of events that were written. The error is that of write, or wraps [ErrMissing] or
// [eventsplitter.ErrMalformed]: the event at which the stream is faulty and all later ones are not written.
func (s *Sequencer) Pass(whole []byte, write func(events []byte) error) (events int, err error) {
	var out []byte
	next := s.position
	for len(whole) > 0 && err == nil {
		var event []byte
		event, whole = eventsplitter.Cut(whole)
		var fresh bool
		if fresh, err = advance(&next, event); fresh {
			out = append(out, event...)
		}
	}
	if len(out) == 0 {
		return 0, err
	}
	if err := write(out); err != nil {
		return 0, err
	}
	events = next - s.position
	s.position = next
	return events, err
}

// advance moves a position past an event. fresh reports whether the event belongs behind the position; one without a number
// does.
func advance(position *int, event []byte) (fresh bool, err error) {
	n, numbered, err := eventsplitter.Number(event)
	switch {
	case err != nil:
		return false, fmt.Errorf("%w after event %d", err, *position)
	case !numbered:
		return true, nil
	case n <= *position:
		return false, nil
	case n > *position+1:
		return false, fmt.Errorf("%w: %d after %d", ErrMissing, n, *position)
	}
	*position = n
	return true, nil
}
