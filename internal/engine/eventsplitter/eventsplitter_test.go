package eventsplitter

import (
	"errors"
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

// Guards against bytes that are no event and are taken for one, and against sound events that are refused.
func TestNumber(t *testing.T) {
	for text, want := range map[string]int{
		"id: 7\ndata: x\n\n": 7, "id:7\n\n": 7, "weight-versions: 3\nid: 7\r\ndata: x\r\n\n": 7, ": note\nid: 7\ndata: a: b\n\n": 7, "id: 7\ndata:\ndata: x\n\n": 7,
		": working\n\n": 0, "retry: 500\n\n": 0, "\n\n": 0,
	} {
		if n, numbered, err := Number([]byte(text)); n != want || numbered != (want > 0) || err != nil {
			t.Errorf("%q: %d %v %v", text, n, numbered, err)
		}
	}
	for _, text := range []string{
		"####\n\n", "##id: 7\ndata: x\n\n", "id: x\n\n", "id: -1\n\n", "id:\n\n", "id: 99999999999999999999\n\n", "data: x\n\n", "id: 7\ndata: x\nid: 8\n\n",
		"id 7\n\n", "id: 7\n\x00\x01\n\n", "HTTP/1.1 200 OK\n\n",
	} {
		if n, _, err := Number([]byte(text)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: %d %v", text, n, err)
		}
	}
}
