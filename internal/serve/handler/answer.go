package handler

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"brasschute/internal/engine/frame"
	"brasschute/internal/serve/call"
	"brasschute/internal/serve/refusal"
	"brasschute/internal/serve/streamer"
)

// answerWriter sends the answer of a job in the form that the caller asked for.
type answerWriter interface {
	streamer.Sink
	// finish ends a complete answer. A writer with a single body returns the body
	// and leaves sending it to the caller of finish.
	finish() []byte
	// refuse ends an answer that cannot be completed.
	refuse(w http.ResponseWriter, p *refusal.Problem)
	// moved ends an answer that another daemon continues: it sends the token that the caller gets
	// the rest with.
	moved(w http.ResponseWriter, token string)
}

// sseWriter streams an answer as server-sent events, each with a resume token as
// its id.
type sseWriter struct {
	w             http.ResponseWriter
	j             *streamer.Job
	seal          func([]netip.AddrPort) string
	selfAddresses []netip.AddrPort
	started       bool
}

// WriteFrame sends one frame.
func (e *sseWriter) WriteFrame(f *frame.Frame) error {
	e.start()
	out := publicFrame(f, e.j.Call)
	data, err := json.Marshal(&out)
	if err != nil {
		return fmt.Errorf("frame: %w", err)
	}
	return e.send(fmt.Sprintf("id: %s\ndata: %s\n\n", e.seal(e.selfAddresses), data))
}

func (e *sseWriter) start() {
	if e.started {
		return
	}
	e.started = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-store")
}

func (e *sseWriter) send(text string) error {
	control := http.NewResponseController(e.w)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := e.w.Write([]byte(text)); err != nil {
		return fmt.Errorf("caller: %w", err)
	}
	if err := control.Flush(); err != nil {
		return fmt.Errorf("caller: %w", err)
	}
	return nil
}

func (e *sseWriter) finish() []byte {
	e.start()
	_ = e.send("data: " + frame.EndMarker + "\n\n")
	return nil
}

func (e *sseWriter) refuse(w http.ResponseWriter, p *refusal.Problem) {
	if !e.started {
		p.Write(w, e.j.Call.Request)
		return
	}
	p.Request = e.j.Call.Request
	data, _ := json.Marshal(p)
	_ = e.send(fmt.Sprintf("event: error\ndata: %s\n\n", data))
}

func (e *sseWriter) moved(w http.ResponseWriter, token string) {
	if !e.started {
		redirect(w, token)
		return
	}
	_ = e.send(fmt.Sprintf("event: moved\nid: %s\nretry: 100\ndata: {}\n\n", token))
}

func redirect(w http.ResponseWriter, token string) {
	w.Header().Set("Location", answersPath+token)
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusSeeOther)
}

// publicFrame returns a copy of a frame with the request id and service name of the
// caller's request.
func publicFrame(f *frame.Frame, c *call.Call) frame.Frame {
	out := *f
	out.ID = string(c.Request)
	out.Model = string(c.Service.Name)
	if !c.Completions || len(f.Choices) == 0 {
		return out
	}
	out.Object = "text_completion"
	text := f.Content()
	out.Choices = []frame.Choice{{Text: &text, FinishReason: f.Choices[0].FinishReason}}
	return out
}

// jsonWriter answers with a single JSON body.
type jsonWriter struct {
	j    *streamer.Job
	last *frame.Frame
}

// WriteFrame keeps the finishing frame. The text is in the job.
func (a *jsonWriter) WriteFrame(f *frame.Frame) error {
	if f.Finished() {
		a.last = f
	}
	return nil
}

func (a *jsonWriter) finish() []byte {
	c := a.j.Call
	text := strings.Join(a.j.Delivered, "")
	out := frame.Frame{ID: string(c.Request), Object: "chat.completion", Created: c.Received.Unix(), Model: string(c.Service.Name)}
	choice := frame.Choice{}
	if a.last != nil {
		out.Usage = a.last.Usage
		choice.FinishReason = a.last.Choices[0].FinishReason
	}
	choice.Message = &frame.Message{Role: "assistant", Content: text}
	if c.Completions {
		out.Object = "text_completion"
		choice = frame.Choice{Text: &text, FinishReason: choice.FinishReason}
	}
	out.Choices = []frame.Choice{choice}
	body, _ := json.Marshal(&out)
	return body
}

func (a *jsonWriter) refuse(w http.ResponseWriter, p *refusal.Problem) { p.Write(w, a.j.Call.Request) }

func (a *jsonWriter) moved(w http.ResponseWriter, token string) { redirect(w, token) }
