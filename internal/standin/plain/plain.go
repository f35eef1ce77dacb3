// Package plain is a stand-in for a service that is not a model engine: an ordinary
// application behind HTTP.
//
// It answers each call with the request that it received, and it counts executions, so
// that a test can detect a call that ran twice, or that ran although its client got the
// outcome "not run".
//
// # Usage
//
//	s := plain.New(plain.Config{Endpoint: "ledger-1"})
//	http.Serve(listener, s)
//
// The paths /admin/executions, /admin/behaviour and /v1/load belong to the
// stand-in; all other paths belong to the service.
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/report"
)

const maxBody = 4 << 20

// Config describes the endpoint.
type Config struct {
	Endpoint    identifier.Endpoint
	Incarnation identifier.Incarnation
	// Deduplicates runs each Idempotency-Key at most once: later calls with the key don't
	// count as executions.
	Deduplicates bool
}

// Behaviour sets gates and faults for tests. The zero value is a healthy service.
type Behaviour struct {
	// Hold delays the answers of executed calls until it is unset.
	Hold bool
	// Refuse answers calls with Not-Run and 503, without an execution.
	Refuse bool
	// Fail executes calls and answers 500.
	Fail bool
	// Leaving shows a reclaim notice in the load report.
	Leaving bool
}

// Answer is the body of the answer to a call.
type Answer struct {
	Method string
	Path   string
	Body   string
	// Execution is the number of executions so far of the call's Idempotency-Key, or
	// of its Request-Id if it has none.
	Execution int
}

// Service stands in for one service endpoint. It is an http.Handler and safe for
// concurrent use. Use New.
type Service struct {
	c Config

	mu        sync.Mutex
	changed   *sync.Cond
	behaviour Behaviour
	running   int
	// executions counts the executions by idempotency key or request id.
	executions map[string]int
}

var _ http.Handler = (*Service)(nil)

// New returns a service without executions.
func New(c Config) *Service {
	s := &Service{c: c, executions: make(map[string]int)}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// ServeHTTP serves one call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/admin/executions":
		s.listExecutions(w)
	case "/admin/behaviour":
		s.setBehaviour(w, r)
	case "/v1/load":
		s.load(w)
	default:
		s.run(w, r)
	}
}

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "body cut or too large", http.StatusBadRequest)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = r.Header.Get("Request-Id")
	}
	n, b := s.execute(key)
	if b.Refuse {
		w.Header().Set("Not-Run", "true")
		http.Error(w, "not run", http.StatusServiceUnavailable)
		return
	}
	s.wait()
	if b.Fail {
		http.Error(w, "failed after it ran", http.StatusInternalServerError)
		return
	}
	writeJSON(w, Answer{Method: r.Method, Path: r.URL.RequestURI(), Body: string(body), Execution: n})
}

// execute counts an execution, unless calls are refused, and returns the number of
// executions of the key and the present behaviour.
func (s *Service) execute(key string) (int, Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behaviour.Refuse {
		return 0, s.behaviour
	}
	if s.executions[key] == 0 || !s.c.Deduplicates {
		s.executions[key]++
	}
	s.running++
	return s.executions[key], s.behaviour
}

// wait waits while answers are held.
func (s *Service) wait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.behaviour.Hold {
		s.changed.Wait()
	}
	s.running--
}

func (s *Service) load(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, report.Report{
		Endpoint: s.c.Endpoint, Taken: time.Now(), Running: s.running,
		Leaving: s.behaviour.Leaving, Incarnation: s.c.Incarnation,
	})
}

func (s *Service) listExecutions(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.executions)
}

func (s *Service) setBehaviour(w http.ResponseWriter, r *http.Request) {
	var b Behaviour
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
	s.changed.Broadcast()
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
