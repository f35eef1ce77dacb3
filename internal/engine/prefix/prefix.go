// Package prefix computes the identifiers of a prompt's blocks in an engine's
// prefix cache.
//
// An engine caches the computed state of a prompt in blocks of [BlockTokens]
// tokens. The state of a block depends on all text before it, so its identifier
// is a hash chained over the preceding blocks: two prompts share a block only if
// they are equal from the start to the end of the block.
//
// A token is estimated as [BytesPerToken] bytes. The estimate is for routing and
// limits, never for billing.
//
// # Usage
//
//	blocks := prefix.Blocks(dst[:0], prompt)
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

// Block identifies one cache block.
type Block uint64

// Tokens estimates the number of tokens in n bytes of text.
func Tokens(n int) identifier.Tokens {
	return identifier.Tokens((n + BytesPerToken - 1) / BytesPerToken)
}

// Blocks appends the identifiers of a prompt's blocks to dst. A last block that is
// not full is left out.
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
