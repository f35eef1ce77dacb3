// Package textmaker makes the text that stand-in engines generate.
//
// # Usage
//
// Text depends only on the prompt and the position, so a test knows each byte
// that a caller must receive, whichever engines took part:
//
//	want := textmaker.New(prompt).Text(0, 16)
package textgenerator

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Generator makes the tokens of one answer.
type Generator struct {
	seed uint64
}

// New returns the maker for a prompt.
func New(prompt string) Generator { return Generator{xxhash.Sum64String(prompt)} }

var words = [...]string{"bond", "shift", "letter", "roster", "member", "dock", "rate", "dawn"}

// Token returns the token at a position, counted from 0. Each token bears its
// position, so that a lost or repeated one can be seen.
func (m Generator) Token(i int) string {
	word := words[(m.seed>>(uint(i)%56))%uint64(len(words))]
	return word + strconv.Itoa(i) + " "
}

// Text returns the tokens from a position up to another.
func (m Generator) Text(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(m.Token(i))
	}
	return b.String()
}
