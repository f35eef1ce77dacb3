// Package hosting is a stand-in for the hosting platform: its store, its cloud API
// and its engines, with their published protocols.
//
// Tests run it in their own process and start real daemons against it. It records
// the calls that it receives, so that a test can check which requests were run, by
// which engine and how often. It injects faults on demand: a store that answers
// 409, 410, 429 or 503, loses answers, rejects the calls of some hosts or drops its
// history while watches are open; engines that refuse requests, truncate their
// answers, answer twice or never answer.
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
	"strings"
	"sync"
	"time"

	"brasschute/internal/standin/batcher"
)

// Behaviour is the way in which an engine handles a request.
type Behaviour int

// The behaviours.
const (
	// Serve runs the request.
	Serve Behaviour = iota
	// Refuse answers that the request was not run.
	Refuse
	// Misdirect answers 421 with the id of the engine, as if the request was meant for another
	// engine that had the address before.
	Misdirect
	// Fail runs the request and answers 500.
	Fail
	// CloseUnanswered runs the request and closes the connection without an answer.
	CloseUnanswered
	// TruncateAnswer runs the request and closes the connection in the middle of the answer;
	// in a stream, in the middle of an event.
	TruncateAnswer
	// HoldUntilRelease runs the request and waits for Release before it answers.
	HoldUntilRelease
	// AnswerTwice sends a second answer after each answer, although no request is open.
	AnswerTwice
	// OmitSignature answers without Response-Stamp, the engine's signature.
	OmitSignature
	// EncodeUnasked names a content encoding that the request did not accept.
	EncodeUnasked
	// OmitLength answers without Content-Length; the end of the connection ends the answer.
	OmitLength
	// OmitLengthAndTruncate does so and ends a stream inside an event, in its middle, as an engine does
	// that crashes.
	OmitLengthAndTruncate
	// AnswerWrongRequest sends an answer with the id of another request before the right one.
	AnswerWrongRequest
	// SpoilEvent sends the events of a stream at once, with bytes that are no event in place of the one in its
	// middle. SpoilLastEvent does so in place of the last one.
	SpoilEvent
	SpoilLastEvent
)

// Execution is a request that an engine began to run.
type Execution struct {
	Request string
	Tenant  string
	Header  http.Header
	Method  string
	Target  string
	Body    string
	// After is the number of the event after which a resumed stream continues; 0 for a new one.
	After int
}

// Config describes an engine and its entry in the store.
type Config struct {
	ID      string
	Service string
	Zone    string
	Address string
	// Version is the version of its software; empty for none.
	Version string
	// StreamLength is the number of events in a stream; 0 for plain answers.
	StreamLength int
	// Spot marks a reclaimable engine.
	Spot bool
	// OmitReports makes it know no reports of its state.
	OmitReports bool
	// StartedUnixMilli is the start time in milliseconds since 1970; 0 leaves it out of the entry.
	StartedUnixMilli int64
	// Batch, if not nil, makes it a model engine with continuous batching, which reads the sizes
	// of a request from its headers. TokensPerEvent is the number of tokens in an event of its
	// streams; at least 1.
	Batch          *batcher.Config
	TokensPerEvent int
}

// Engine stands in for one engine. It is an http.Handler and safe for concurrent use.
type Engine struct {
	c Config

	mu        sync.Mutex
	behaviour func(*http.Request) Behaviour
	headers   func(*http.Request) http.Header
	// hostSlowdown returns the slowdown that the engine states for its host; nil states none.
	hostSlowdown func() string
	executions   []Execution
	received     int
	release      chan struct{}
	held         int
	batch        *batcher.Batcher
	// restarted is closed when the present incarnation of the engine ends.
	restarted chan struct{}
}

// NewEngine returns an engine that runs all requests.
func NewEngine(c Config) *Engine {
	c.TokensPerEvent = max(c.TokensPerEvent, 1)
	e := &Engine{c: c, release: make(chan struct{}), restarted: make(chan struct{})}
	if c.Batch != nil {
		e.batch = batcher.New(*c.Batch)
	}
	return e
}

// SetBehaviour sets a function that chooses the behaviour for each request.
func (e *Engine) SetBehaviour(f func(*http.Request) Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviour = f
}

// SetHeaders sets a function that returns further headers for each answer, refusals included.
// They are added to those of the protocol.
func (e *Engine) SetHeaders(f func(*http.Request) http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.headers = f
}

// SetHostSlowdown sets a function that returns the slowdown of the engine's host as the engine
// states it, in percent of the usual time. It only changes what is stated.
func (e *Engine) SetHostSlowdown(f func() string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hostSlowdown = f
}

// Release answers the requests that are held now.
func (e *Engine) Release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.release)
	e.release = make(chan struct{})
}

// Restart ends the present incarnation of the engine: its running requests are aborted. The next
// incarnation has the same id and address, and another start time.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.restarted)
	e.restarted = make(chan struct{})
	e.c.StartedUnixMilli++
}

// Executions returns the requests that the engine ran, in the order in which they began.
func (e *Engine) Executions() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Execution(nil), e.executions...)
}

// Received returns the number of requests that reached the engine, refused ones included.
func (e *Engine) Received() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received
}

// HeldCount returns the number of requests that wait for Release.
func (e *Engine) HeldCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held
}

// reportPath is the path at which an engine reports its state.
const reportPath = "/api/report"

// report answers a call for the engine's state.
func (e *Engine) report(w http.ResponseWriter) {
	if e.c.OmitReports {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.mu.Lock()
	state := map[string]any{"Stage": "mixed", "Busy": false, "State": "ready"}
	if e.c.StartedUnixMilli > 0 {
		state["born"] = e.c.StartedUnixMilli
	}
	e.mu.Unlock()
	answer(w, http.StatusOK, state)
}

// Record returns the engine's entry in the store, with a state such as "ready".
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

// ServeHTTP handles one request by the behaviour chosen for it.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == reportPath {
		e.report(w)
		return
	}
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	e.received++
	choose, headers := e.behaviour, e.headers
	e.mu.Unlock()
	if headers != nil {
		for name, values := range headers(r) {
			w.Header()[name] = values
		}
	}
	behaviour := Serve
	if choose != nil {
		behaviour = choose(r)
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Server-Load", e.load())
	if expected := r.Header.Get("Expect-Instance"); behaviour == Misdirect || expected != "" && expected != e.c.ID {
		w.Header().Set("Instance-Id", e.c.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if behaviour == Refuse {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.mu.Lock()
	restarted := e.restarted
	e.mu.Unlock()
	if e.batch != nil && behaviour == Serve {
		e.serveBatched(w, r, string(body), restarted)
		return
	}
	execution := e.recordExecution(r, string(body))
	e.execute(w, r, behaviour, execution.After, restarted)
}

// recordExecution records that the engine begins to run a request.
func (e *Engine) recordExecution(r *http.Request, body string) Execution {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	execution := Execution{
		Request: r.Header.Get("Request-Id"), Tenant: r.Header.Get("Tenant"), Header: r.Header.Clone(), Method: r.Method,
		Target: r.RequestURI, Body: body, After: after,
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.executions = append(e.executions, execution)
	return execution
}

// execute answers a request that runs. It panics with http.ErrAbortHandler to close the connection.
func (e *Engine) execute(w http.ResponseWriter, r *http.Request, behaviour Behaviour, after int, restarted <-chan struct{}) {
	if behaviour != OmitSignature {
		w.Header().Set("Response-Stamp", "stamp-"+e.c.ID)
	}
	switch behaviour {
	case Fail:
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed")
		return
	case CloseUnanswered:
		panic(http.ErrAbortHandler)
	case HoldUntilRelease:
		e.waitForRelease(r, restarted)
	case EncodeUnasked:
		w.Header().Set("Content-Encoding", "gzip")
	case OmitLength, OmitLengthAndTruncate, AnswerTwice, AnswerWrongRequest:
		e.writeRaw(w, r, behaviour, after)
		return
	}
	if e.c.StreamLength == 0 {
		e.writeAnswer(w, behaviour)
		return
	}
	e.writeStream(w, behaviour, after, restarted)
}

// AnswerBody returns the body of the engine's plain answers.
func (e *Engine) AnswerBody() string { return "answer of " + e.c.ID }

// waitForRelease waits until Release or Restart is called or the client leaves. A restart closes
// the connection.
func (e *Engine) waitForRelease(r *http.Request, restarted <-chan struct{}) {
	e.mu.Lock()
	release := e.release
	e.held++
	e.mu.Unlock()
	aborted := false
	select {
	case <-release:
	case <-restarted:
		aborted = true
	case <-r.Context().Done():
	}
	e.mu.Lock()
	e.held--
	e.mu.Unlock()
	if aborted {
		panic(http.ErrAbortHandler)
	}
}

// writeAnswer writes a plain answer.
func (e *Engine) writeAnswer(w http.ResponseWriter, behaviour Behaviour) {
	text := e.AnswerBody()
	if behaviour == TruncateAnswer {
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		_, _ = io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

// EventText returns the text of event n of a stream, counted from 1.
func EventText(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

// writeStream writes the events of a stream after a number of them.
func (e *Engine) writeStream(w http.ResponseWriter, behaviour Behaviour, after int, restarted <-chan struct{}) {
	w.Header().Set("Content-Type", "text/event-stream")
	switch behaviour {
	case SpoilEvent:
		_, _ = io.WriteString(w, e.spoiltStream(after, e.c.StreamLength/2))
		return
	case SpoilLastEvent:
		_, _ = io.WriteString(w, e.spoiltStream(after, e.c.StreamLength))
		return
	}
	flush := http.NewResponseController(w).Flush
	for n := after + 1; n <= e.c.StreamLength; n++ {
		select {
		case <-restarted:
			panic(http.ErrAbortHandler)
		default:
		}
		if behaviour == TruncateAnswer && n > e.c.StreamLength/2 {
			_, _ = io.WriteString(w, EventText(n)[:10])
			_ = flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, EventText(n))
		_ = flush()
	}
}

// spoiltStream returns the events of a stream after a number of them, with other bytes in place of one event.
func (e *Engine) spoiltStream(after, spoilt int) string {
	var b strings.Builder
	for n := after + 1; n <= e.c.StreamLength; n++ {
		text := EventText(n)
		if n == spoilt {
			text = strings.Repeat("#", len(text)-len("\n\n")) + "\n\n"
		}
		b.WriteString(text)
	}
	return b.String()
}

// writeRaw writes answers that net/http does not let a handler write.
func (e *Engine) writeRaw(w http.ResponseWriter, r *http.Request, behaviour Behaviour, after int) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	id, text := r.Header.Get("Request-Id"), e.AnswerBody()
	switch behaviour {
	case OmitLength, OmitLengthAndTruncate:
		if e.c.StreamLength > 0 {
			text = e.unframedStream(after, behaviour == OmitLengthAndTruncate)
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: stamp-%s\r\nConnection: close\r\n\r\n%s", id, e.c.ID, text)
	case AnswerWrongRequest:
		e.writeResponse(conn, "another-request", "not yours")
		e.writeResponse(conn, id, text)
	case AnswerTwice:
		e.writeResponse(conn, id, text)
		e.writeResponse(conn, id, "second answer")
		e.answerTwice(conn, buffer.Reader)
	}
}

// unframedStream returns the events of a stream after a number of them, or those of the first half with
// a piece of the next one.
func (e *Engine) unframedStream(after int, truncate bool) string {
	var b strings.Builder
	for n := after + 1; n <= e.c.StreamLength; n++ {
		text := EventText(n)
		if truncate && n > e.c.StreamLength/2 {
			b.WriteString(text[:len(text)/2])
			break
		}
		b.WriteString(text)
	}
	return b.String()
}

// answerTwice answers each further request of a connection twice. The client receives the second
// answer before it sends its next request, or in place of the answer to that one.
func (e *Engine) answerTwice(conn net.Conn, reader *bufio.Reader) {
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		execution := e.recordExecution(r, string(body))
		e.writeResponse(conn, execution.Request, e.AnswerBody())
		e.writeResponse(conn, execution.Request, "second answer")
	}
}

// idleTimeout closes an idle connection on which answers are sent twice.
const idleTimeout = time.Second

// writeResponse writes a complete response with the id of a request.
func (e *Engine) writeResponse(conn net.Conn, id, text string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: stamp-%s\r\nContent-Length: %d\r\n\r\n%s", id, e.c.ID, len(text), text)
}
