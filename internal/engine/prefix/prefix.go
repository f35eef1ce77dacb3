// Package prefix names the blocks of a prompt, as engines cache them.
//
// # Blocks
//
// An engine caches the computed state of a prompt in blocks of [BlockTokens]
// tokens. The state of a block depends on all text before it, so a block's
// name is a hash chained over the blocks in front: two prompts share a block
// only if they are equal from the start up to its end.
//
// # Usage
//
//	blocks := prefix.Blocks(dst[:0], prompt)
//
// Tokens are estimated as [BytesPerToken] bytes; the estimate serves routing
// and limits, never billing.
package prefix

import (
	"encoding/binary"

	"brasschute/internal/core/identifier"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the usual length of a token of English or Dutch text.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in a cache block.
	BlockTokens = 16

	blockBytes = BytesPerToken * BlockTokens
)

// Block names one cache block.
type Block uint64

// Tokens estimates the tokens in n bytes of text.
func Tokens(n int) identifier.Tokens {
	return identifier.Tokens((n + BytesPerToken - 1) / BytesPerToken)
}

// Blocks appends the names of the whole blocks of a prompt to dst.
func Blocks(dst []Block, prompt string) []Block {
	var chained [8]byte
	var d xxhash.Digest
	for len(prompt) >= blockBytes {
		d.Reset()
		_, _ = d.Write(chained[:])
		_, _ = d.WriteString(prompt[:blockBytes])
		sum := d.Sum64()
		binary.LittleEndian.PutUint64(chained[:], sum)
		dst = append(dst, Block(sum))
		prompt = prompt[blockBytes:]
	}
	return dst
}
