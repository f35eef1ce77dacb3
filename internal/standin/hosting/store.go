package hosting

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is what a store does to the calls that it matches.
type Fault int

// The faults.
const (
	// NoFault: the call is served.
	NoFault Fault = iota
	// Unavailable answers 503 and Many 429; nothing is done.
	Unavailable
	TooManyRequests
	// LoseAnswer does the call and closes the connection without an answer.
	LoseAnswer
	// ResetConnection closes the connection; nothing is done.
	ResetConnection
	// NeverAnswer never answers; nothing is done.
	NeverAnswer
)

type metadata struct {
	Name     string
	Revision uint64
	// Created is the revision at which the object was created.
	Created uint64
}

type object struct {
	Metadata metadata
	Spec     json.RawMessage
	Status   json.RawMessage `json:",omitempty"`
}

type event struct {
	Object  object
	Deleted bool
}

type change struct {
	revision uint64
	kind     string
	event    event
}

// Call is one call that a store took.
type Call struct {
	Caller string
	Method string
	Kind   string
	Name   string
	// Wait is what a watch asked for.
	Wait time.Duration
}

// Store is the platform's store: objects by kind and name, revisions, lists and
// watches. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	// dropped is the revision up to which the history is gone.
	dropped uint64
	objects map[string]map[string]object
	history []change
	changed chan struct{}
	fault   func(Call) Fault
	calls   []Call
	closed  chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: make(map[string]map[string]object), changed: make(chan struct{}), closed: make(chan struct{})}
}

// SetFault makes the store ask what to do with each call from now on.
func (s *Store) SetFault(f func(Call) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Write replaces or creates an object, as the operator and endpoints do.
func (s *Store) Write(kind, name string, spec any) {
	raw, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, raw, s.objects[kind][name].Status)
}

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Compact makes a change unseen by the watches that are open, and drops the
// history: they stay open and hear nothing of it.
func (s *Store) Compact(unseen func()) {
	s.mu.Lock()
	waiting := s.changed
	s.changed = make(chan struct{})
	s.mu.Unlock()
	unseen()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped, s.history = s.revision, nil
	s.changed = waiting
}

// Spec returns an object's content; nil if there is none.
func (s *Store) Spec(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Spec
}

// SetStatus replaces the state of an object.
func (s *Store) SetStatus(kind, name string, status any) {
	raw, _ := json.Marshal(status)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, s.objects[kind][name].Spec, raw)
}

// Status returns an object's state; nil if there is none.
func (s *Store) Status(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Status
}

// Calls returns the calls taken so far.
func (s *Store) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call(nil), s.calls...)
}

// Close ends silent calls and watches.
func (s *Store) Close() { close(s.closed) }

func (s *Store) put(kind, name string, spec, status json.RawMessage) object {
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision}, Spec: spec, Status: status}
	if old, known := s.objects[kind][name]; known {
		o.Metadata.Created = old.Metadata.Created
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][name] = o
	s.note(kind, event{Object: o})
	return o
}

func (s *Store) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	o.Metadata.Revision = s.revision
	s.note(kind, event{Object: o, Deleted: true})
}

func (s *Store) note(kind string, e event) {
	s.history = append(s.history, change{s.revision, kind, e})
	close(s.changed)
	s.changed = make(chan struct{})
}

// HandlerFor returns the store as one host sees it: its calls bear the host's name, so
// that a fault can be for some hosts only.
func (s *Store) HandlerFor(caller string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.take(w, r, caller) })
}

func (s *Store) take(w http.ResponseWriter, r *http.Request, caller string) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	c := Call{Caller: caller, Method: r.Method, Kind: kind, Name: name, Wait: time.Duration(wait) * time.Millisecond}
	s.mu.Lock()
	s.calls = append(s.calls, c)
	fault := s.fault
	s.mu.Unlock()
	action := NoFault
	if fault != nil {
		action = fault(c)
	}
	switch action {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case TooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
	case ResetConnection:
		panic(http.ErrAbortHandler)
	case NeverAnswer:
		select {
		case <-s.closed:
		case <-r.Context().Done():
		}
	case LoseAnswer:
		s.serve(discard{}, r, c)
		panic(http.ErrAbortHandler)
	default:
		s.serve(w, r, c)
	}
}

// discard drops an answer.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}

func (s *Store) serve(w http.ResponseWriter, r *http.Request, c Call) {
	kind, name := c.Kind, c.Name
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("Watch"):
		s.watch(w, r, c)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.write(w, r, kind, name)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	revision := s.revision
	items := make([]object, 0, len(s.objects[kind]))
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	s.mu.Unlock()
	sort.Slice(items, func(i, k int) bool { return items[i].Metadata.Name < items[k].Metadata.Name })
	answer(w, http.StatusOK, map[string]any{"Items": items, "Truncated": false, "AsOf": revision})
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if text := r.URL.Query().Get("Revision"); text != "" {
		in.Metadata.Revision, _ = strconv.ParseUint(text, 10, 64)
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	name, isStatus := strings.CutSuffix(name, "/status")
	status, o := s.change(r.Method, kind, name, in, isStatus)
	if status == http.StatusNotFound {
		w.WriteHeader(status)
		return
	}
	answer(w, status, o)
}

// change does a call that writes, if its condition holds. Nobody waits for the store
// while the answer is on its way over a narrow link.
func (s *Store) change(method, kind, name string, in object, isStatus bool) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[kind][name]
	switch {
	case method == http.MethodPost && ok, ok && in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		return http.StatusConflict, old
	case method != http.MethodPost && !ok:
		return http.StatusNotFound, object{}
	case method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, old
	}
	if isStatus {
		return http.StatusOK, s.put(kind, name, old.Spec, in.Status)
	}
	return http.StatusOK, s.put(kind, name, in.Spec, old.Status)
}

// turnedAway tells whether a call that waits would not be served any more.
func (s *Store) turnedAway(c Call) bool {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	return fault != nil && fault(c) != NoFault
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, c Call) {
	kind := c.Kind
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		events, revision, gone, changed := s.since(kind, after), s.revision, after < s.dropped, s.changed
		s.mu.Unlock()
		if s.turnedAway(c) {
			panic(http.ErrAbortHandler)
		}
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || over {
			answer(w, http.StatusOK, map[string]any{"events": events, "AsOf": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		case <-s.closed:
			return
		}
	}
}

func (s *Store) since(kind string, after uint64) []event {
	out := []event{}
	for _, c := range s.history {
		if c.kind == kind && c.revision > after {
			out = append(out, c.event)
		}
	}
	return out
}
