// Package hosting is a small stand-in for the hosting platform: its store, its
// cloud and its engines, by the published protocol.
//
// # What it is for
//
// Tests start it in their own process and real daemons against it. It keeps
// what it saw, so that a test can tell from the outside what was run, by whom
// and how often, and it misbehaves on demand: a store that answers 409, 410 or
// 429, loses answers, turns some hosts away or drops its history below open
// watches; engines that refuse, break off, answer twice, or stay silent.
//
// # Usage
//
//	store := hosting.NewStore()
//	engine := hosting.NewEngine(hosting.Config{ID: "i-1", Service: "lm"})
//	go http.Serve(listener, engine)
//	store.Write("servers", "i-1", engine.Record("ready"))
package hosting

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"brasschute/internal/standin/batcher"
)

// Behaviour is how an engine treats a request.
type Behaviour int

// The behaviours.
const (
	// Serve runs the request.
	Serve Behaviour = iota
	// Refuse answers that it did not run.
	Refuse
	// Misdirect answers that another engine has the address.
	Misdirect
	// Fail runs it and answers 500.
	Fail
	// CloseUnanswered runs it and closes the connection without an answer.
	CloseUnanswered
	// TruncateAnswer runs it and breaks off in the middle of the answer, of an event
	// where it streams.
	TruncateAnswer
	// HoldUntilRelease runs it and waits until Release.
	HoldUntilRelease
	// AnswerTwice answers, and then sends a second answer to nobody.
	AnswerTwice
	// OmitSignature answers without the engine's signature.
	OmitSignature
	// EncodeUnasked answers with a body in an encoding that nobody asked for.
	EncodeUnasked
	// OmitLength answers without a length; the connection's end ends it.
	OmitLength
	// AnswerWrongRequest answers with the id of another request first.
	AnswerWrongRequest
)

// Execution is a request that an engine began to work on.
type Execution struct {
	Request string
	Tenant  string
	Header  http.Header
	Method  string
	Target  string
	Body    string
	// After is the number of the event after which the run goes on.
	After int
}

// Config describes an engine.
type Config struct {
	ID      string
	Service string
	Zone    string
	Address string
	// Version is that of its software.
	Version string
	// StreamLength is the length of a stream; 0 for plain answers.
	StreamLength int
	Spot   bool
	// StartedUnixMilli is when it started, in milliseconds from 1970; 0 if it does not say so.
	StartedUnixMilli int64
	// Batch, if not nil, makes it a model engine that works on several requests at once;
	// an event of its streams holds EventTokens. Requests say their size and parts.
	Batch       *batcher.Config
	TokensPerEvent int
}

// Engine is one engine. It is an http.Handler and safe for concurrent use.
type Engine struct {
	c Config

	mu      sync.Mutex
	behave  func(*http.Request) Behaviour
	say     func(*http.Request) http.Header
	runs    []Execution
	arrived int
	hold    chan struct{}
	holding int
	batch   *batcher.Batcher
	// ended is closed when this life of the engine ends.
	ended chan struct{}
}

// NewEngine returns an engine that serves.
func NewEngine(c Config) *Engine {
	c.TokensPerEvent = max(c.TokensPerEvent, 1)
	e := &Engine{c: c, hold: make(chan struct{}), ended: make(chan struct{})}
	if c.Batch != nil {
		e.batch = batcher.New(*c.Batch)
	}
	return e
}

// SetBehaviour makes the engine ask how to treat each request.
func (e *Engine) SetBehaviour(f func(*http.Request) Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behave = f
}

// SetHeaders makes the engine ask what it says of itself in the head of each answer, refusals
// included: headers that are added to those of the protocol.
func (e *Engine) SetHeaders(f func(*http.Request) http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.say = f
}

// Release lets held requests go on.
func (e *Engine) Release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.hold)
	e.hold = make(chan struct{})
}

// Restart ends this life of the engine: what it works on is broken off. The next one has
// the same id and address, and its own time of birth.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.ended)
	e.ended = make(chan struct{})
	e.c.StartedUnixMilli++
}

// Executions returns what the engine ran, in the order of its beginning.
func (e *Engine) Executions() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Execution(nil), e.runs...)
}

// Received counts the requests that reached the engine, refused ones too.
func (e *Engine) Received() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrived
}

// HeldCount counts the requests that wait for Release.
func (e *Engine) HeldCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holding
}

// Record is the engine's entry in the store.
func (e *Engine) Record(state string) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]any{
		"Service": e.c.Service, "Address": e.c.Address, "Zone": e.c.Zone, "State": state, "Slots": 8, "Spot": e.c.Spot,
	}
	if e.c.Version != "" {
		out["Version"] = e.c.Version
	}
	if e.c.StartedUnixMilli > 0 {
		out["born"] = e.c.StartedUnixMilli
	}
	return out
}

// ServeHTTP takes one request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	e.arrived++
	behave, say := e.behave, e.say
	e.mu.Unlock()
	if say != nil {
		for name, values := range say(r) {
			w.Header()[name] = values
		}
	}
	how := Serve
	if behave != nil {
		how = behave(r)
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Server-Load", e.load())
	if expected := r.Header.Get("Expect-Instance"); how == Misdirect || expected != "" && expected != e.c.ID {
		w.Header().Set("Instance-Id", e.c.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if how == Refuse {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.mu.Lock()
	ended := e.ended
	e.mu.Unlock()
	if e.batch != nil && how == Serve {
		e.batched(w, r, string(body), ended)
		return
	}
	run := e.begin(r, string(body))
	e.run(w, r, how, run.After, ended)
}

// begin notes that the engine begins to work on a request.
func (e *Engine) begin(r *http.Request, body string) Execution {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run := Execution{
		Request: r.Header.Get("Request-Id"), Tenant: r.Header.Get("Tenant"), Header: r.Header.Clone(), Method: r.Method,
		Target: r.RequestURI, Body: body, After: after,
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, run)
	return run
}

func (e *Engine) run(w http.ResponseWriter, r *http.Request, how Behaviour, after int, ended <-chan struct{}) {
	if how != OmitSignature {
		w.Header().Set("Response-Stamp", "stamp-"+e.c.ID)
	}
	switch how {
	case Fail:
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed")
		return
	case CloseUnanswered:
		panic(http.ErrAbortHandler)
	case HoldUntilRelease:
		e.wait(r, ended)
	case EncodeUnasked:
		w.Header().Set("Content-Encoding", "gzip")
	case OmitLength, AnswerTwice, AnswerWrongRequest:
		e.raw(w, r, how)
		return
	}
	if e.c.StreamLength == 0 {
		e.plain(w, how)
		return
	}
	e.stream(w, how, after, ended)
}

// AnswerBody is the body of an engine's plain answer.
func (e *Engine) AnswerBody() string { return "answer of " + e.c.ID }

func (e *Engine) wait(r *http.Request, ended <-chan struct{}) {
	e.mu.Lock()
	hold := e.hold
	e.holding++
	e.mu.Unlock()
	gone := false
	select {
	case <-hold:
	case <-ended:
		gone = true
	case <-r.Context().Done():
	}
	e.mu.Lock()
	e.holding--
	e.mu.Unlock()
	if gone {
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) plain(w http.ResponseWriter, how Behaviour) {
	text := e.AnswerBody()
	if how == TruncateAnswer {
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		_, _ = io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

// EventText is the text of one event of a stream.
func EventText(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

func (e *Engine) stream(w http.ResponseWriter, how Behaviour, after int, ended <-chan struct{}) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	for n := after + 1; n <= e.c.StreamLength; n++ {
		select {
		case <-ended:
			panic(http.ErrAbortHandler)
		default:
		}
		if how == TruncateAnswer && n > e.c.StreamLength/2 {
			_, _ = io.WriteString(w, EventText(n)[:10])
			_ = flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, EventText(n))
		_ = flush()
	}
}

// raw writes answers that the server's library would not.
func (e *Engine) raw(w http.ResponseWriter, r *http.Request, how Behaviour) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	id, text := r.Header.Get("Request-Id"), e.AnswerBody()
	switch how {
	case OmitLength:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: s\r\nConnection: close\r\n\r\n%s", id, text)
	case AnswerWrongRequest:
		e.write(conn, "another-request", "not yours")
		e.write(conn, id, text)
	case AnswerTwice:
		e.write(conn, id, text)
		e.write(conn, id, "second answer")
		e.serveOn(conn, buffer.Reader)
	}
}

// serveOn answers each further request of a connection twice: the second answer stands where
// the next one's is due, or has come before that one is sent.
func (e *Engine) serveOn(conn net.Conn, reader *bufio.Reader) {
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTime))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		run := e.begin(r, string(body))
		e.write(conn, run.Request, e.AnswerBody())
		e.write(conn, run.Request, "second answer")
	}
}

// idleTime is how long a connection may be idle after an answer that came twice.
const idleTime = time.Second

func (e *Engine) write(conn net.Conn, id, text string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: stamp-%s\r\nContent-Length: %d\r\n\r\n%s", id, e.c.ID, len(text), text)
}
