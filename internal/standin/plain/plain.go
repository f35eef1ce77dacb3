// Package plain is a small stand-in for a service that is no model.
//
// # What it imitates
//
// An ordinary application behind HTTP: it answers each call with a record of
// what it was asked, and it counts executions, so that a test can tell a call
// that ran twice or one that ran though its caller was told "not run".
//
// # Usage
//
//	s := plain.New(plain.Config{Endpoint: "ledger-1"})
//	http.Serve(listener, s)
//
// The paths /admin/executions, /admin/behaviour and /v1/load belong to the
// stand-in; every other path is the service's.
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

// Config names the endpoint.
type Config struct {
	Endpoint    identifier.Endpoint
	Incarnation identifier.Incarnation
	// Deduplicates runs each Idempotency-Key at most once.
	Deduplicates bool
}

// Behaviour is what tests switch.
type Behaviour struct {
	// Hold keeps calls waiting after they have been executed.
	Hold bool
	// Refuse answers calls with an explicit refusal.
	Refuse bool
	// Fail executes calls and answers with status 500.
	Fail bool
	// Leaving shows a reclaim notice in the load report.
	Leaving bool
}

// Answer is what the service says to each call.
type Answer struct {
	Method string
	Path   string
	Body   string
	// Execution counts the executions of this call's key or request id.
	Execution int
}

// Service is the stand-in. Use New.
type Service struct {
	c Config

	mu         sync.Mutex
	changed    *sync.Cond
	behaviour  Behaviour
	running    int
	executions map[string]int
}

var _ http.Handler = (*Service)(nil)

// New returns a service that has run nothing.
func New(c Config) *Service {
	s := &Service{c: c, executions: make(map[string]int)}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// ServeHTTP answers one call.
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
	answer(w, Answer{Method: r.Method, Path: r.URL.RequestURI(), Body: string(body), Execution: n})
}

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
	answer(w, report.Report{
		Endpoint: s.c.Endpoint, Taken: time.Now(), Running: s.running,
		Leaving: s.behaviour.Leaving, Incarnation: s.c.Incarnation,
	})
}

func (s *Service) listExecutions(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer(w, s.executions)
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

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
