package eventsplitter

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against events that are lost, doubled or cut where the reads of a stream end.
func TestReadsDoNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := []byte(rapid.StringMatching(`(id: [0-9]\ndata: [a-z]{0,5}\n\n){0,5}(id: [0-9])?`).Draw(t, "stream"))
		var s Splitter
		var got []byte
		for left := stream; len(left) > 0; {
			n := rapid.IntRange(1, len(left)).Draw(t, "read")
			got = append(got, s.Add(left[:n])...)
			left = left[n:]
		}
		var all Splitter
		if want := all.Add(stream); string(got) != string(want) || s.Pending() != all.Pending() {
			t.Errorf("%q and %d pending bytes, want %q and %d", got, s.Pending(), want, all.Pending())
		}
	})
}

// Guards against what is written before an answer and counts as its begin.
func TestHasEvent(t *testing.T) {
	for text, want := range map[string]bool{
		"": false, ": working\n\n": false, "retry: 500\n\n": false, "id: 1\ndata: x\n\n": true, "data: x\n\n": true, ": working\n\nid: 1\n\n": true,
	} {
		if got := HasEvent([]byte(text)); got != want {
			t.Errorf("%q: %v", text, got)
		}
	}
}
