package eventsequencer

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// text returns the text of an event.
func text(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

// drawReads draws what some reads of an attempt bring: the events after a position, with wrong bytes between or in place of some.
func drawReads(t *rapid.T, position, length int) []string {
	var reads []string
	var read strings.Builder
	for n := position + 1; n <= length; n++ {
		switch rapid.IntRange(0, 9).Draw(t, "event") {
		case 0:
			read.WriteString(rapid.SampledFrom([]string{"####\n\n", "id: x\ndata: y\n\n", "data: y\n\n", "##" + text(n), "id: 0\n\n", "id 4\n\n", text(n)[:len(text(n))-1] + text(n)}).Draw(t, "wrong"))
		case 1:
			read.WriteString(text(rapid.IntRange(1, length).Draw(t, "other")))
		case 2:
			read.WriteString(rapid.SampledFrom([]string{": working\n\n", "retry: 500\n\n", "\n\n"}).Draw(t, "setting"))
			fallthrough
		default:
			read.WriteString(text(n))
		}
		if rapid.Bool().Draw(t, "endOfRead") {
			reads = append(reads, read.String())
			read.Reset()
		}
	}
	return append(reads, read.String())
}

// Guards against events that the position counts and the client lacks, whatever arrives together: the invariant of the package.
func TestClientHasTheEventsUpToThePosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, length := rapid.IntRange(0, 3).Draw(t, "first"), rapid.IntRange(3, 12).Draw(t, "length")
		s := New(Config{Position: first})
		written, events := "", 0
		for range rapid.IntRange(1, 6).Draw(t, "attempts") {
			for _, read := range drawReads(t, s.Position(), length) {
				fails := rapid.IntRange(0, 9).Draw(t, "write") == 0
				n, err := s.Pass([]byte(read), func(events []byte) error {
					if fails {
						return errors.New("the connection failed")
					}
					written += string(events)
					return nil
				})
				events += n
				if err != nil {
					break
				}
			}
		}
		want := ""
		for n := first + 1; n <= s.Position(); n++ {
			want += text(n)
		}
		for _, setting := range []string{": working\n\n", "retry: 500\n\n"} {
			written = strings.ReplaceAll(written, setting, "")
		}
		if written = strings.ReplaceAll(written, "\n\n\n\n", "\n\n"); strings.TrimLeft(written, "\n") != want || events != s.Position()-first {
			t.Errorf("position %d after %d, %d events counted, written %q", s.Position(), first, events, written)
		}
	})
}
