// Package resumption declares the request to resume an interrupted stream.
//
// The engine that still holds the stream continues at Offset and recomputes
// nothing. Another engine needs Delivered, the tokens that the caller already
// has: it recomputes the prompt and these tokens, except for the cache blocks
// that it can import from KVSource, and continues after them.
//
// # Usage
//
//	r := resumption.Resumption{ID: id, Stream: old, Offset: len(texts), Delivered: texts, Original: body}
package resumption

import "encoding/json"

// Resumption asks an engine to continue a stream.
type Resumption struct {
	// ID is the id that the frames of the continued stream carry.
	ID string
	// Stream is the id of the interrupted stream.
	Stream string
	// Offset is the number of tokens that the caller has received.
	Offset int
	// Delivered holds these tokens, if they are known.
	Delivered []string
	// HeldOnly makes the engine continue only if it holds Stream. Otherwise an
	// engine that has never seen the stream would start it again, and the request
	// would run twice.
	HeldOnly bool
	// Original is the body of the first request.
	Original json.RawMessage
	// KVSource is IP:port of the engine to import cache blocks from; empty for
	// none.
	KVSource string
}
