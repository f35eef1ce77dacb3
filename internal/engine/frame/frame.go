// Package frame declares the chunk format of streams from engines and to callers.
//
// It is the usual chat completion chunk. Two fields protect against mixing up
// streams: ID names the stream that the chunk belongs to, and Offset is the index
// of its token in the stream, from 0. A relay relies on these two and never on the
// connection on which a chunk arrived: a reused connection may still carry chunks
// of a cancelled stream.
//
// # Usage
//
//	var f frame.Frame
//	err := json.Unmarshal(data, &f)
//	last := f.Finished()
package frame

import "brasschute/internal/core/identifier"

// EndMarker is the data of the event that ends a complete stream.
const EndMarker = "[DONE]"

// Frame is one chunk of a stream.
type Frame struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Offset  int      `json:"offset"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative completion. Streams carry exactly one.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is a piece of text with the role of its author.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage holds the token counts of a finished request.
type Usage struct {
	PromptTokens     identifier.Tokens `json:"prompt_tokens"`
	CompletionTokens identifier.Tokens `json:"completion_tokens"`
	// CachedTokens is the number of prompt tokens served from the prefix cache.
	CachedTokens identifier.Tokens `json:"cached_tokens"`
	// RecomputedTokens is the number of tokens that were computed again because the
	// stream moved to another engine.
	RecomputedTokens identifier.Tokens `json:"recomputed_tokens"`
}

// Finished reports whether f is the last frame of its stream's text.
func (f *Frame) Finished() bool {
	return len(f.Choices) > 0 && f.Choices[0].FinishReason != nil
}

// Content returns the text that f adds to the stream.
func (f *Frame) Content() string {
	if len(f.Choices) == 0 || f.Choices[0].Delta == nil {
		return ""
	}
	return f.Choices[0].Delta.Content
}
