// Package textgenerator generates the text of stand-in engines.
//
// The text depends only on the prompt and the position, so a test can compute each byte
// that a client must receive, whichever engines generated it.
//
// # Usage
//
//	want := textgenerator.New(prompt).Text(0, 16)
package textgenerator

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Generator generates the tokens of one answer.
type Generator struct {
	seed uint64
}

// New returns the generator for a prompt.
func New(prompt string) Generator { return Generator{xxhash.Sum64String(prompt)} }

var words = [...]string{"bond", "shift", "letter", "roster", "member", "dock", "rate", "dawn"}

// Token returns the token at position i, counted from 0. Each token contains its
// position, so that a lost or repeated token can be detected.
func (g Generator) Token(i int) string {
	word := words[(g.seed>>(uint(i)%56))%uint64(len(words))]
	return word + strconv.Itoa(i) + " "
}

// Text returns the tokens from position from up to, but not including, to.
func (g Generator) Text(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(g.Token(i))
	}
	return b.String()
}
