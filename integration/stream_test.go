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

const question = "Which bonds mature this week, and what did their members choose?"

// expected is the text that the stand-in engines make for the question.
func expected(tokens int) string { return textgenerator.New(question).Text(0, tokens) }

func chat(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"letters","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		stream, tokens, question)
}

// stream is a caller's side of a streamed answer.
type stream struct {
	mu     sync.Mutex
	text   string
	tokens int
	lastID string
	moved  bool
	whole  bool
	failed string
	status int
	body   string
	done   chan struct{}
	cancel context.CancelFunc
}

// open starts a streamed request; it reads on in the background.
func (d *daemon) open(tokens int, headers ...string) *stream {
	s := &stream{}
	s.follow(d, tokens, headers...)
	return s
}

// follow sends the request, again if it was sent before, and appends to what
// was received.
func (s *stream) follow(d *daemon, tokens int, headers ...string) {
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.cancel = cancel
	s.done = make(chan struct{})
	s.moved = false
	done := s.done
	s.mu.Unlock()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callers+"/v1/chat/completions", strings.NewReader(chat(tokens, true)))
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
			s.data(event, id, line[len("data: "):])
			event = ""
		case line != "":
			s.body += line
		}
		s.mu.Unlock()
	}
}

func (s *stream) data(event, id, data string) {
	s.lastID = id
	var f frame.Frame
	switch {
	case event == "moved":
		s.moved = true
	case event == "error":
		s.failed = data
	case data == frame.EndMarker:
		s.whole = true
	case json.Unmarshal([]byte(data), &f) == nil && !f.Finished():
		s.text += f.Content()
		s.tokens++
	}
}

// received waits for a number of tokens.
func (s *stream) received(tokens int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tokens < tokens {
		return fmt.Errorf("received %d tokens of %d (status %d, failed %q)", s.tokens, tokens, s.status, s.failed)
	}
	return nil
}

func (s *stream) lastEventID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastID
}

func (s *stream) wait() { <-s.done }

// check compares the whole answer.
func (s *stream) check(tokens int) error {
	s.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.whole {
		return fmt.Errorf("not whole: status %d, %d tokens, failed %q, body %q", s.status, s.tokens, s.failed, s.body)
	}
	if s.text != expected(tokens) {
		return errors.New("text differs: " + s.text)
	}
	return nil
}
