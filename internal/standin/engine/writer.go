package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/frame"
)

// writer sends the frames of one stream, faults included.
type writer struct {
	w http.ResponseWriter
	s *stream
	// id is the stream's id when this reader came; a resumption changes the
	// stream's own.
	id    string
	model string
}

func (o *writer) token(offset int, b *Behaviour) {
	f := o.frame(offset)
	f.Choices[0].Delta = &frame.Message{Content: o.s.maker.Token(offset)}
	if offset == 0 {
		f.Choices[0].Delta.Role = "assistant"
	}
	if b.CrossAt > 0 && offset == b.CrossAt {
		other := f
		other.ID = "another-stream"
		other.Choices = []frame.Choice{{Delta: &frame.Message{Content: "another caller's text "}}}
		o.send(other)
	}
	o.send(f)
	if b.DuplicateAt > 0 && offset == b.DuplicateAt {
		o.send(f)
	}
}

func (o *writer) end() {
	f := o.frame(o.s.total)
	reason := "stop"
	f.Choices[0].Delta = &frame.Message{}
	f.Choices[0].FinishReason = &reason
	usage := o.s.usage
	usage.CompletionTokens = identifier.Tokens(o.s.total)
	f.Usage = &usage
	o.send(f)
	fmt.Fprintf(o.w, "data: %s\n\n", frame.EndMarker)
	o.flush()
}

func (o *writer) frame(offset int) frame.Frame {
	return frame.Frame{
		ID: o.id, Object: "chat.completion.chunk", Created: o.s.started.Unix(), Model: o.model,
		Offset: offset, Choices: []frame.Choice{{}},
	}
}

func (o *writer) send(f frame.Frame) {
	data, _ := json.Marshal(f)
	fmt.Fprintf(o.w, "data: %s\n\n", data)
	o.flush()
}

func (o *writer) flush() { _ = http.NewResponseController(o.w).Flush() }
