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
//		n, numbered, err := eventsplitter.Number(event)
//		...
//	}
package eventsplitter

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Names of fields.
const (
	idName   = "id"
	dataName = "data"
)

var (
	eventEnd  = []byte("\n\n")
	idField   = []byte(idName + ":")
	dataField = []byte(dataName + ":")
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

// ErrMalformed means that bytes in a stream are no event.
var ErrMalformed = errors.New("malformed event")

// Number returns the number of a whole event. numbered is false for comments and settings, which have none. The error
// wraps [ErrMalformed] if a line is neither a comment nor a field, if there is data without a number, or if the number is
// none or comes twice.
func Number(event []byte) (n int, numbered bool, err error) {
	hasData := false
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		event = rest
		name, value, isField := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(":"))
		switch {
		case len(name) == 0:
			continue // a comment, or the end of the event
		case !isField || bytes.ContainsFunc(name, isNoNameRune):
			return 0, false, fmt.Errorf("%w: a line is no field", ErrMalformed)
		case string(name) == dataName:
			hasData = true
		case string(name) == idName && numbered:
			return 0, false, fmt.Errorf("%w: two numbers", ErrMalformed)
		case string(name) == idName:
			if n, err = strconv.Atoi(string(bytes.TrimSpace(value))); err != nil || n <= 0 {
				return 0, false, fmt.Errorf("%w: the number is none", ErrMalformed)
			}
			numbered = true
		}
	}
	if hasData && !numbered {
		return 0, false, fmt.Errorf("%w: data without a number", ErrMalformed)
	}
	return n, numbered, nil
}

// isNoNameRune reports whether a rune can't be part of a field's name.
func isNoNameRune(r rune) bool {
	return r != '-' && r != '_' && (r < '0' || r > '9') && (r < 'A' || r > 'Z') && (r < 'a' || r > 'z')
}
