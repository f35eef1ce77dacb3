package pruner

import (
	"encoding/json"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const (
	maxDepth = 4
	mark     = `"cut"`
)

// Guards against a part that is left although it is nested too deeply, and against other parts that are changed.
func TestPrune(t *testing.T) {
	p := New(Config{MaxDepth: maxDepth, Mark: mark})
	for document, want := range map[string]string{
		`[[[[1]]]]`:                            `[[[[1]]]]`,
		`[[[[[1]]]],2]`:                        `[[[["cut"]]],2]`,
		`[[[[[1],{"a":[]}, 3]]],[[[[[]]]]]]`:   `[[[["cut","cut", 3]]],[[["cut"]]]]`,
		`{"a":"[[[[[[","b":"\"[[[[[[\\"}`:      `{"a":"[[[[[[","b":"\"[[[[[[\\"}`,
		`[[[[{"a":"]}]}\"]}"}]]]]`:             `[[[["cut"]]]]`,
		`[[[[[1]`:                              `[[[["cut"`,
		strings.Repeat("[", 200000):            strings.Repeat("[", 200000),
		`[1,` + nested(300000) + `,{"b":[2]}]`: `[1,[[["cut"]]],{"b":[2]}]`,
	} {
		got, cut := p.Prune([]byte(document))
		if string(got) != want || cut != (want != document) {
			t.Errorf("%.60s: %.60s, %v", document, got, cut)
		}
	}
}

// nested returns an array that is nested so deeply.
func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// Guards against a document that is not valid any more, or becomes valid: then what is left of it could be taken for all.
func TestPruningKeepsValidity(t *testing.T) {
	p := New(Config{MaxDepth: maxDepth, Mark: mark})
	rapid.Check(t, func(t *rapid.T) {
		document := []byte(drawValue(t, 8))
		if rapid.Bool().Draw(t, "broken") {
			document = document[:rapid.IntRange(0, len(document)).Draw(t, "length")]
		}
		pruned, _ := p.Prune(document)
		if json.Valid(pruned) != json.Valid(document) {
			t.Errorf("%s became %s", document, pruned)
		}
	})
}

// drawValue draws a JSON value.
func drawValue(t *rapid.T, depth int) string {
	if depth == 0 || rapid.IntRange(0, 4).Draw(t, "leaf") == 0 {
		return rapid.SampledFrom([]string{`1`, `"[{\"x"`, `null`, `"]}"`}).Draw(t, "value")
	}
	parts := make([]string, rapid.IntRange(0, 3).Draw(t, "parts"))
	for i := range parts {
		parts[i] = drawValue(t, depth-1)
	}
	if rapid.Bool().Draw(t, "array") {
		return "[" + strings.Join(parts, ",") + "]"
	}
	for i := range parts {
		parts[i] = `"{":` + parts[i]
	}
	return "{" + strings.Join(parts, ",") + "}"
}
