package integration

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"brasschute/internal/engine/frame"
	"brasschute/internal/standin/textgenerator"
)

// prompt is the user message of every model request.
const prompt = "Which bonds mature this week, and what did their members choose?"

// expectedText returns the first tokens of the text that the stand-in engines generate for the
// prompt.
func expectedText(tokens int) string { return textgenerator.New(prompt).Text(0, tokens) }

// chat returns the body of a chat completion request for a number of tokens.
func chat(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"letters","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		stream, tokens, prompt)
}

// stream is the caller's side of a streamed answer, possibly received over several connections.
type stream struct {
	mu            sync.Mutex
	text          string
	tokens        int
	lastID        string
	moveAnnounced bool
	complete      bool
	errorData     string
	status        int
	body          string
	done          chan struct{}
	cancel        context.CancelFunc
}

// open sends a streamed request and reads the answer in the background.
func (d *daemon) open(tokens int, headers ...string) *stream {
	s := &stream{}
	s.send(d, tokens, headers...)
	return s
}

// send sends the request, also again to resume the stream, and appends the events to those
// received before. It reads the answer in the background.
func (s *stream) send(d *daemon, tokens int, headers ...string) {
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.cancel = cancel
	s.done = make(chan struct{})
	s.moveAnnounced = false
	done := s.done
	s.mu.Unlock()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callerAddress+"/v1/chat/completions", strings.NewReader(chat(tokens, true)))
	if err != nil {
		d.f.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+callerKeys["desk"])
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	go func() {
		defer close(done)
		resp, err := d.f.client.Do(r)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		s.mu.Lock()
		s.status = resp.StatusCode
		s.mu.Unlock()
		s.read(bufio.NewScanner(resp.Body))
	}()
}

// read parses server-sent events until the connection ends.
func (s *stream) read(lines *bufio.Scanner) {
	event, id := "", ""
	for lines.Scan() {
		s.mu.Lock()
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			id = line[len("id: "):]
		case strings.HasPrefix(line, "event: "):
			event = line[len("event: "):]
		case strings.HasPrefix(line, "data: "):
			s.handleData(event, id, line[len("data: "):])
			event = ""
		case line != "":
			s.body += line
		}
		s.mu.Unlock()
	}
}

// handleData records one event. The caller holds s.mu.
func (s *stream) handleData(event, id, data string) {
	s.lastID = id
	var f frame.Frame
	switch {
	case event == "moved":
		s.moveAnnounced = true
	case event == "error":
		s.errorData = data
	case data == frame.EndMarker:
		s.complete = true
	case json.Unmarshal([]byte(data), &f) == nil && !f.Finished():
		s.text += f.Content()
		s.tokens++
	}
}

// checkReceived returns an error unless a number of tokens has been received.
func (s *stream) checkReceived(tokens int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tokens < tokens {
		return fmt.Errorf("received %d tokens of %d (status %d, failed %q)", s.tokens, tokens, s.status, s.errorData)
	}
	return nil
}

// lastEventID returns the id of the last event, which is the token to resume the stream.
func (s *stream) lastEventID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastID
}

// wait waits until the current connection has ended.
func (s *stream) wait() { <-s.done }

// checkComplete waits for the end of the stream and returns an error unless all of the text was
// received, once.
func (s *stream) checkComplete(tokens int) error {
	s.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.complete {
		return fmt.Errorf("incomplete: status %d, %d tokens, failed %q, body %q", s.status, s.tokens, s.errorData, s.body)
	}
	if s.text != expectedText(tokens) {
		return errors.New("text differs: " + s.text)
	}
	return nil
}
