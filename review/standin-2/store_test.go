//go:build review

package review2

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a small stand-in of the platform's store: objects by kind and name, conditional writes, lists and watches,
// as PROTOCOL.md describes them. It never refuses, loses or delays a call.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	history  []event
	changed  chan struct{}
}

type metadata struct {
	Name       string
	Revision   uint64
	Created    uint64
	Finalizers []string
	Deleting   bool
}

type object struct {
	Metadata metadata
	Spec     json.RawMessage `json:",omitempty"`
	Status   json.RawMessage `json:",omitempty"`
}

type event struct {
	kind    string
	Object  object
	Deleted bool
}

func newStore() *store {
	return &store{objects: make(map[string]map[string]*object), changed: make(chan struct{})}
}

// write stores the spec of an object without a condition, as the operator and the engines do.
func (s *store) write(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, func(o *object) { o.Spec = raw })
}

// remove removes an object, as the platform does with the entry of an engine that is gone.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		s.drop(kind, o)
	}
}

func (s *store) put(kind, name string, change func(*object)) *object {
	s.revision++
	o := &object{Metadata: metadata{Name: name, Created: s.revision}}
	if old := s.objects[kind][name]; old != nil {
		*o = *old
	}
	change(o)
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*object)
	}
	s.objects[kind][name] = o
	s.notify(event{kind, *o, false})
	return o
}

func (s *store) drop(kind string, o *object) {
	s.revision++
	delete(s.objects[kind], o.Metadata.Name)
	gone := *o
	gone.Metadata.Revision = s.revision
	s.notify(event{kind, gone, true})
}

func (s *store) notify(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	parts := strings.SplitN(rest, "/", 3)
	kind, name, status := parts[0], "", len(parts) == 3 && parts[2] == "status"
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("Watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o := s.objects[kind][name]
		s.mu.Unlock()
		if o == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, o)
	default:
		s.change(w, r, kind, name, status)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := make([]object, 0, len(s.objects[kind]))
	for _, o := range s.objects[kind] {
		items = append(items, *o)
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Metadata.Name < items[b].Metadata.Name })
	answer(w, http.StatusOK, map[string]any{"Items": items, "Truncated": false, "AsOf": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	end := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				found = append(found, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": found, "AsOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			answer(w, http.StatusOK, map[string]any{"events": found, "AsOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, status bool) {
	var in object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	condition := in.Metadata.Revision
	if text := r.URL.Query().Get("Revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		if old := s.objects[kind][in.Metadata.Name]; old != nil {
			answer(w, http.StatusConflict, old)
			return
		}
		answer(w, http.StatusCreated, s.put(kind, in.Metadata.Name, func(o *object) { o.Spec = in.Spec }))
		return
	}
	old := s.objects[kind][name]
	switch {
	case old == nil:
		w.WriteHeader(http.StatusNotFound)
	case condition != 0 && condition != old.Metadata.Revision:
		answer(w, http.StatusConflict, old)
	case r.Method == http.MethodDelete:
		s.drop(kind, old)
		w.WriteHeader(http.StatusOK)
	case status:
		answer(w, http.StatusOK, s.put(kind, name, func(o *object) { o.Status = in.Status }))
	default:
		answer(w, http.StatusOK, s.put(kind, name, func(o *object) { o.Spec = in.Spec }))
	}
}
