package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/frame"
)

// writer writes the frames of one stream to one reader and injects faults.
type writer struct {
	out    http.ResponseWriter
	stream *stream
	// id is the stream's id when this reader was attached; a resumption changes
	// the id of the stream.
	id    string
	model string
}

// token writes the frame of the token at an offset.
func (w *writer) token(offset int, b *Behaviour) {
	f := w.frame(offset)
	f.Choices[0].Delta = &frame.Message{Content: w.stream.generator.Token(offset)}
	if offset == 0 {
		f.Choices[0].Delta.Role = "assistant"
	}
	if b.CrossAt > 0 && offset == b.CrossAt {
		other := f
		other.ID = "another-stream"
		other.Choices = []frame.Choice{{Delta: &frame.Message{Content: "another caller's text "}}}
		w.send(other)
	}
	w.send(f)
	if b.DuplicateAt > 0 && offset == b.DuplicateAt {
		w.send(f)
	}
}

// end writes the last frame, with the usage, and the end marker.
func (w *writer) end() {
	f := w.frame(w.stream.maxTokens)
	reason := "stop"
	f.Choices[0].Delta = &frame.Message{}
	f.Choices[0].FinishReason = &reason
	usage := w.stream.usage
	usage.CompletionTokens = identifier.Tokens(w.stream.maxTokens)
	f.Usage = &usage
	w.send(f)
	fmt.Fprintf(w.out, "data: %s\n\n", frame.EndMarker)
	w.flush()
}

func (w *writer) frame(offset int) frame.Frame {
	return frame.Frame{
		ID: w.id, Object: "chat.completion.chunk", Created: w.stream.started.Unix(), Model: w.model,
		Offset: offset, Choices: []frame.Choice{{}},
	}
}

func (w *writer) send(f frame.Frame) {
	data, _ := json.Marshal(f)
	fmt.Fprintf(w.out, "data: %s\n\n", data)
	w.flush()
}

func (w *writer) flush() { _ = http.NewResponseController(w.out).Flush() }
