package integration

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"brasschute/internal/standin/hosting"
	"brasschute/platform"
)

// placeholder is a spec in the store in whose place daemons read an odd one, which the store itself could not encode.
type placeholder struct{ Placeholder string }

// withOddEntries returns a handler of the store's calls whose answers hold odd specs in place of placeholders.
func withOddEntries(store http.Handler, odd map[string]string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		store.ServeHTTP(answer, r)
		body := answer.Body.Bytes()
		for name, spec := range odd {
			body = bytes.ReplaceAll(body, []byte(fmt.Sprintf(`{"Placeholder":%q}`, name)), []byte(spec))
		}
		for name, values := range answer.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(body)
	})
}

// oddSpecs are specs of another writer among those of the endpoints.
func oddSpecs() map[string]string {
	const deep = 150000
	spec := func(more string) string {
		return `{"Service":"lm","Address":"127.0.0.1:1","Zone":"hall-a","State":"ready",` + more + `}`
	}
	return map[string]string{
		"nested-arrays":  strings.Repeat("[", deep) + strings.Repeat("]", deep),
		"nested-objects": strings.Repeat(`{"a":`, deep) + "1" + strings.Repeat("}", deep),
		"nested-field":   spec(`"Note":` + strings.Repeat("[", deep) + strings.Repeat("]", deep)),
		"large-number":   spec(`"Slots":1e300`),
		"no-float":       spec(`"Slots":1e999999`),
		"many-digits":    spec(`"Seq":` + strings.Repeat("9", deep)),
		"long-start":     spec(`"ColdLeftMs":1e300`),
		"port":           `{"Service":"lm","Address":"127.0.0.1:99999","Zone":"hall-a","State":"ready"}`,
	}
}

// Guards against daemons that end, or stop following the list of endpoints, because another writer left an odd entry there, and
// against daemons that find no endpoint when they start beside one.
func TestOddEntryAmongEndpoints(t *testing.T) {
	for name, spec := range oddSpecs() {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.wrapStore = func(store http.Handler) http.Handler { return withOddEntries(store, map[string]string{name: spec}) }
			s.addEngine(hosting.Config{ID: "i-lm-1", Service: modelService, StreamLength: brokenEvents})
			h := s.addReadyHost()
			s.store.Write(platform.EndpointKind, name, placeholder{name})
			s.addEngine(hosting.Config{ID: "i-lm-2", Service: modelService, StreamLength: brokenEvents})
			s.store.Remove(platform.EndpointKind, "i-lm-1")
			eventually(t, "the list is followed", func() error { return h.servesAt("i-lm-2") })
			h.kill()
			h.start()
			h.awaitReady()
			eventually(t, "a daemon that starts finds an endpoint", func() error { return h.servesAt("i-lm-2") })
		})
	}
}

// servesAt returns an error unless a stream is served by an engine.
func (h *gatewayHost) servesAt(engine string) error {
	before := len(h.s.engines[engine].Executions())
	id := fmt.Sprintf("request-%d", requestCount.Add(1))
	if events, whole := h.stream(id, "", 0); !whole || events != brokenEvents {
		return fmt.Errorf("%d events, whole %v", events, whole)
	}
	return checkEqual("executions at "+engine, len(h.s.engines[engine].Executions()), before+1)
}
