// Package resumption holds the request to go on with an interrupted stream.
//
// # Two ways to go on
//
// The engine that still holds the stream continues at Offset and computes
// nothing again. Another engine needs Delivered, the tokens that the caller
// already has: it computes prompt and tokens anew, save what it can import
// from KVSource, and goes on behind them.
//
// # Usage
//
//	r := resumption.Resumption{ID: id, Stream: old, Offset: len(texts), Delivered: texts, Original: body}
package resumption

import "encoding/json"

// Resumption asks an engine to continue a stream.
type Resumption struct {
	// ID is the id that frames of the continued stream shall bear.
	ID string
	// Stream is the id under which the interrupted stream ran.
	Stream string
	// Offset is the number of tokens the caller has.
	Offset int
	// Delivered holds those tokens, if they are known.
	Delivered []string
	// HeldOnly: continue only if the engine holds Stream. Without it an engine
	// that has never seen the stream would start it anew, a second run.
	HeldOnly bool
	// Original is the body of the first request.
	Original json.RawMessage
	// KVSource is the IP:port of the engine to import KV cache from; empty
	// for none.
	KVSource string
}
