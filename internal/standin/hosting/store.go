package hosting

import (
	"encoding/json"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a fault that the store injects into a call.
type Fault int

// The faults.
const (
	// NoFault serves the call.
	NoFault Fault = iota
	// Unavailable answers 503 and TooManyRequests 429; the call has no effect.
	Unavailable
	TooManyRequests
	// LoseAnswer carries out the call and closes the connection without an answer.
	LoseAnswer
	// ResetConnection closes the connection; the call has no effect.
	ResetConnection
	// NeverAnswer never answers; the call has no effect.
	NeverAnswer
)

// headerEra is the header that states the era.
const headerEra = "Store-Era"

// metadata is the part of an object that the store sets.
type metadata struct {
	Name     string
	Revision uint64
	// Created is the revision at which the object was created.
	Created uint64
}

// object is a stored object as it is sent to clients.
type object struct {
	Metadata metadata
	Spec     json.RawMessage
	Status   json.RawMessage `json:",omitempty"`
}

// event is one change as a watch sends it.
type event struct {
	Object  object
	Deleted bool
}

// change is one entry of the history.
type change struct {
	revision uint64
	kind     string
	event    event
}

// Call is one call that the store received.
type Call struct {
	// Caller is the host whose handler received the call; see HandlerFor.
	Caller string
	Method string
	Kind   string
	Name   string
	// Wait is how long a watch asked to wait for changes.
	Wait time.Duration
}

// Store stands in for the platform's store: objects by kind and name, with revisions, lists and
// watches. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	// era counts the restores; it is stated in all answers if it is above 0.
	era uint64
	// compacted is the revision up to which the history was dropped.
	compacted uint64
	objects   map[string]map[string]object
	history   []change
	changed   chan struct{}
	fault     func(Call) Fault
	calls     []Call
	closed    chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: make(map[string]map[string]object), changed: make(chan struct{}), closed: make(chan struct{})}
}

// SetFault sets a function that chooses the fault of each further call. It is also asked again
// while a watch waits.
func (s *Store) SetFault(f func(Call) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Write creates or replaces an object, without a condition, as operators and endpoints do.
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

// Compact calls a function that writes to the store, hides its changes from the open watches and
// drops the history. The watches stay open and are not woken.
func (s *Store) Compact(write func()) {
	s.mu.Lock()
	watched := s.changed
	s.changed = make(chan struct{})
	s.mu.Unlock()
	write()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.history = s.revision, nil
	s.changed = watched
}

// Copy is a copy of the store's objects at a revision.
type Copy struct {
	revision uint64
	objects  map[string]map[string]object
}

// Copy returns a copy of the present state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Copy{s.revision, make(map[string]map[string]object)}
	for kind, objects := range s.objects {
		out.objects[kind] = maps.Clone(objects)
	}
	return out
}

// SetEra sets the era that the store states in all answers from now on.
func (s *Store) SetEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// Restore replaces the state by a copy, as after a loss of what was written since. Revisions go back
// and are given out again, and the era rises. Open watches are cut off.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.objects = c.revision, make(map[string]map[string]object)
	for kind, objects := range c.objects {
		s.objects[kind] = maps.Clone(objects)
	}
	s.compacted, s.history = s.revision, nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// Spec returns an object's spec; nil if there is none.
func (s *Store) Spec(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Spec
}

// SetStatus replaces the status of an object.
func (s *Store) SetStatus(kind, name string, status any) {
	raw, _ := json.Marshal(status)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, s.objects[kind][name].Spec, raw)
}

// Status returns an object's status; nil if there is none.
func (s *Store) Status(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Status
}

// Calls returns the calls received so far.
func (s *Store) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call(nil), s.calls...)
}

// Close ends the calls that get no answer and the open watches.
func (s *Store) Close() { close(s.closed) }

// put writes an object and records the change. The caller holds the lock.
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
	s.record(kind, event{Object: o})
	return o
}

// remove deletes an object and records the change. The caller holds the lock.
func (s *Store) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	o.Metadata.Revision = s.revision
	s.record(kind, event{Object: o, Deleted: true})
}

// record adds a change to the history and wakes the watches. The caller holds the lock.
func (s *Store) record(kind string, e event) {
	s.history = append(s.history, change{s.revision, kind, e})
	close(s.changed)
	s.changed = make(chan struct{})
}

// HandlerFor returns a handler for the calls of one host. Call.Caller names the host, so that
// faults can be injected for some hosts only.
func (s *Store) HandlerFor(caller string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(w, r, caller) })
}

func (s *Store) handle(w http.ResponseWriter, r *http.Request, caller string) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	c := Call{Caller: caller, Method: r.Method, Kind: kind, Name: name, Wait: time.Duration(wait) * time.Millisecond}
	s.mu.Lock()
	s.calls = append(s.calls, c)
	fault, era := s.fault, s.era
	s.mu.Unlock()
	if era > 0 {
		w.Header().Set(headerEra, strconv.FormatUint(era, 10))
	}
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

// discard is an http.ResponseWriter that drops the answer.
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

// change carries out a write if its condition holds, and returns the status and the object to
// answer with. The lock is released before the answer is sent, so that a client with a slow link
// does not block the store.
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

// faulty reports whether a fault is set now for a watch that is open.
func (s *Store) faulty(c Call) bool {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	return fault != nil && fault(c) != NoFault
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, c Call) {
	kind := c.Kind
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		events, revision, changed := s.since(kind, after), s.revision, s.changed
		// The history from a revision that was dropped or is yet to come is not known.
		gone := after < s.compacted || after > s.revision
		cut := s.era != era
		s.mu.Unlock()
		if s.faulty(c) || cut {
			panic(http.ErrAbortHandler)
		}
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || timedOut {
			answer(w, http.StatusOK, map[string]any{"events": events, "AsOf": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		case <-s.closed:
			return
		}
	}
}

// since returns the changes of a kind after a revision. The caller holds the lock.
func (s *Store) since(kind string, after uint64) []event {
	out := []event{}
	for _, c := range s.history {
		if c.kind == kind && c.revision > after {
			out = append(out, c.event)
		}
	}
	return out
}
