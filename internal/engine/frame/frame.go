// Package frame holds the chunk in which engines stream and callers receive.
//
// # The shape
//
// It is the common chat completion chunk. Two members matter for safety: ID
// names the stream that the chunk belongs to, and Offset counts the stream's
// tokens from zero. Whoever relays a stream trusts these two and never the
// connection on which the chunk came: a reused connection may still carry
// chunks of a cancelled stream.
//
// # Usage
//
//	var f frame.Frame
//	err := json.Unmarshal(data, &f)
//	last := f.Finished()
package frame

import "brasschute/internal/core/identifier"

// EndMarker is the data of the event that marks a whole stream.
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

// Choice is one alternative; streams here carry exactly one.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is a piece of text with the role that says it.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage counts the tokens of a finished request.
type Usage struct {
	PromptTokens     identifier.Tokens `json:"prompt_tokens"`
	CompletionTokens identifier.Tokens `json:"completion_tokens"`
	// CachedTokens are those of the prompt that needed no computing.
	CachedTokens identifier.Tokens `json:"cached_tokens"`
	// RecomputedTokens were computed again because a stream moved.
	RecomputedTokens identifier.Tokens `json:"recomputed_tokens"`
}

// Finished tells whether f ends its stream's text.
func (f *Frame) Finished() bool {
	return len(f.Choices) > 0 && f.Choices[0].FinishReason != nil
}

// Content returns the text that f adds.
func (f *Frame) Content() string {
	if len(f.Choices) == 0 || f.Choices[0].Delta == nil {
		return ""
	}
	return f.Choices[0].Delta.Content
}
