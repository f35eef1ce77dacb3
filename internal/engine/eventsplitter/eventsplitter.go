// Package eventsplitter splits streams of server-sent events into whole events.
//
// An endpoint may break a stream off in the middle of an event, and write comments and settings before it
// begins an answer. Neither is an event.
//
// # Usage
//
//	var s eventsplitter.Splitter
//	whole := s.Add(chunk)
//	if eventsplitter.HasEvent(whole) { ... }
//	for len(whole) > 0 {
//		event, rest := eventsplitter.Cut(whole)
//		n, ok := eventsplitter.Number(event)
//		...
//	}
package eventsplitter

import (
	"bytes"
	"strconv"
)

var (
	eventEnd  = []byte("\n\n")
	idField   = []byte("id:")
	dataField = []byte("data:")
)

// Splitter collects the bytes of one stream. The zero value is ready for use. It is not safe for concurrent use.
type Splitter struct {
	buffer []byte
	// whole is the length of the events that Add has returned.
	whole int
}

// Add adds bytes that were read, and returns the events that are whole now. They are valid until the next call.
func (s *Splitter) Add(chunk []byte) (whole []byte) {
	s.buffer = append(s.buffer[:0], s.buffer[s.whole:]...)
	s.buffer = append(s.buffer, chunk...)
	s.whole = 0
	if at := bytes.LastIndex(s.buffer, eventEnd); at >= 0 {
		s.whole = at + len(eventEnd)
	}
	return s.buffer[:s.whole]
}

// Pending returns the number of bytes of the event that is not whole yet.
func (s *Splitter) Pending() int { return len(s.buffer) - s.whole }

// Cut splits off the first one of some whole events.
func Cut(whole []byte) (event, rest []byte) {
	at := bytes.Index(whole, eventEnd)
	if at < 0 {
		return whole, nil
	}
	at += len(eventEnd)
	return whole[:at], whole[at:]
}

// HasEvent reports whether some whole events are more than comments and settings.
func HasEvent(whole []byte) bool {
	for len(whole) > 0 {
		line, rest, _ := bytes.Cut(whole, []byte("\n"))
		whole = rest
		if bytes.HasPrefix(line, dataField) || bytes.HasPrefix(line, idField) {
			return true
		}
	}
	return false
}

// Number returns the number in an event's id field.
func Number(event []byte) (n int, ok bool) {
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
