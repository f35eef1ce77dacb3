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

// answer is the shape in which a caller receives a job.
type answer interface {
	streamer.Sink
	// whole ends a complete answer; if it is one body, it returns that and
	// leaves its sending to the caller.
	whole() []byte
	// refuse ends an answer that cannot be completed.
	refuse(w http.ResponseWriter, p *refusal.Problem)
	// moved tells where the rest is to be had.
	moved(w http.ResponseWriter, token string)
}

// events streams an answer as server-sent events, each with a resume token.
type events struct {
	w       http.ResponseWriter
	j       *streamer.Job
	seal    func([]netip.AddrPort) string
	own     []netip.AddrPort
	started bool
}

// WriteFrame sends one frame.
func (e *events) WriteFrame(f *frame.Frame) error {
	e.start()
	out := public(f, e.j.Call)
	data, err := json.Marshal(&out)
	if err != nil {
		return fmt.Errorf("frame: %w", err)
	}
	return e.send(fmt.Sprintf("id: %s\ndata: %s\n\n", e.seal(e.own), data))
}

func (e *events) start() {
	if e.started {
		return
	}
	e.started = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-store")
}

func (e *events) send(text string) error {
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

func (e *events) whole() []byte {
	e.start()
	_ = e.send("data: " + frame.EndMarker + "\n\n")
	return nil
}

func (e *events) refuse(w http.ResponseWriter, p *refusal.Problem) {
	if !e.started {
		p.Write(w, e.j.Call.Request)
		return
	}
	p.Request = e.j.Call.Request
	data, _ := json.Marshal(p)
	_ = e.send(fmt.Sprintf("event: error\ndata: %s\n\n", data))
}

func (e *events) moved(w http.ResponseWriter, token string) {
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

// public gives a frame the names under which the caller knows the request.
func public(f *frame.Frame, c *call.Call) frame.Frame {
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

// collected answers with one JSON body.
type collected struct {
	j    *streamer.Job
	last *frame.Frame
}

// WriteFrame keeps the finishing frame; the text is in the job.
func (a *collected) WriteFrame(f *frame.Frame) error {
	if f.Finished() {
		a.last = f
	}
	return nil
}

func (a *collected) whole() []byte {
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

func (a *collected) refuse(w http.ResponseWriter, p *refusal.Problem) { p.Write(w, a.j.Call.Request) }

func (a *collected) moved(w http.ResponseWriter, token string) { redirect(w, token) }
