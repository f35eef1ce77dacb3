package eventsplitter

import (
	"bytes"
	"testing"
)

// FuzzSplitter checks that a stream is split the same way however it arrives, and that nothing is lost or added.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n: comment\n\nid:2\ndata: b\n\nid: 3"), uint8(3))
	f.Add([]byte("\n\n\n\ndata:\n\n"), uint8(1))
	f.Fuzz(func(t *testing.T, stream []byte, size uint8) {
		var s Splitter
		var got []byte
		piece := max(int(size), 1)
		for rest := stream; len(rest) > 0; {
			n := min(piece, len(rest))
			whole := s.Add(rest[:n])
			rest = rest[n:]
			if len(whole) > 0 && !bytes.HasSuffix(whole, eventEnd) {
				t.Fatalf("%q is no whole event", whole)
			}
			got = append(got, whole...)
		}
		if pending := stream[len(got):]; !bytes.HasPrefix(stream, got) || s.Pending() != len(pending) || bytes.Contains(pending, eventEnd) {
			t.Fatalf("%q and %d bytes pending of %q", got, s.Pending(), stream)
		}
		for whole := got; len(whole) > 0; {
			event, rest := Cut(whole)
			// Blank lines between events are passed on as they are.
			blank := len(bytes.Trim(event, "\n")) == 0
			if len(event)+len(rest) != len(whole) || !blank && bytes.Index(event, eventEnd) != len(event)-len(eventEnd) {
				t.Fatalf("event %q of %q", event, whole)
			}
			if _, numbered, err := Number(event); numbered && err == nil && !HasEvent(event) {
				t.Fatalf("%q has a number and is no event", event)
			}
			whole = rest
		}
	})
}
