//go:build review

package review2

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The services and the paths of the case "paths".
const (
	openService, closedService = "ledger", "closed-ledger"
	openPrefix, closedPrefix   = "/ledger/", "/ledger/closed/"
	pathRounds                 = 20
)

// pathRun is one request as an engine ran it.
type pathRun struct{ id, target, service string }

// paths lets the operator add a route below another one, and sends paths in which a slash is part of a segment.
func paths(s *site) (int, error) {
	var mu sync.Mutex
	var runs []pathRun
	for i, name := range []string{openService, openService, closedService, closedService} {
		e := &engine{id: fmt.Sprintf("i-%d", i+1), zone: []string{"hall-a", "hall-b"}[i%2], address: "127.0.0.1:0", store: s.store, record: s.record, service: name}
		e.handler = func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("Request-Id")
			s.record.line("%s runs at %s of service %s: %s %s", id, e.id, name, r.Method, r.RequestURI)
			mu.Lock()
			runs = append(runs, pathRun{id, r.RequestURI, name})
			mu.Unlock()
			w.Header().Set("Content-Type", "application/json")
			_, _ = io.WriteString(w, `{"page":2}`)
		}
		if err := e.listen("v1"); err != nil {
			return failed, err
		}
		e.beat()
		go e.beatForever(heartbeat)
	}
	s.store.write("config", "main", pathConfig(7, false))
	if err := s.startGateways("hall-a", "hall-b"); err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	if s.trouble {
		s.store.write("config", "main", pathConfig(9, true))
		s.record.line("version 9 is acknowledged: it adds the route %s to service %s", closedPrefix, closedService)
		time.Sleep(3 * time.Second)
	}
	targets := []string{"/ledger/17?page=2", "/ledger/closed%2F17?page=2"}
	if s.trouble {
		targets = append(targets, "/ledger/closed/17?page=2")
	}
	served := 0
	for round := range pathRounds {
		for i, target := range targets {
			if s.get(s.gateways[round%len(s.gateways)], fmt.Sprintf("get-%d-%d", round+1, i+1), target) == http.StatusOK {
				served++
			}
		}
	}
	mu.Lock()
	defer mu.Unlock()
	wrong := 0
	for _, r := range runs {
		if path, _, _ := strings.Cut(r.target, "?"); allowed(path, s.trouble) != r.service {
			wrong++
			s.record.line("%s ran at service %s, its path %s allows %s only", r.id, r.service, path, allowed(path, s.trouble))
		}
	}
	s.record.line("%d of %d requests served, %d run by a service to which no configuration allows them to go", served, pathRounds*len(targets), wrong)
	switch {
	case wrong > 0:
		return broken, nil
	case served < pathRounds*len(targets):
		return failed, nil
	}
	return held, nil
}

// allowed returns the service of the longest prefix that begins a path.
func allowed(path string, both bool) string {
	if both && strings.HasPrefix(path, closedPrefix) {
		return closedService
	}
	return openService
}

// pathConfig is a configuration with the first route, or with both.
func pathConfig(version int, both bool) map[string]any {
	c := streamConfig()
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"Name": name, "Host": domain, "PathPrefix": prefix, "Kind": "idempotent", "TimeoutMs": 800, "SloMs": 300, "Priority": 2,
			"Service": service, "MaxAttempts": 2, "Public": false,
		}
	}
	routes := []any{route("r-open", openPrefix, openService)}
	if both {
		routes = append(routes, route("r-closed", closedPrefix, closedService))
	}
	c["Version"], c["Routes"] = version, routes
	c["Services"] = []any{
		map[string]any{"Name": openService, "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": false},
		map[string]any{"Name": closedService, "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": false},
	}
	return c
}

// get sends a request and returns the status of its answer, 0 for none.
func (s *site) get(g *gateway, id, target string) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+g.ip+":8101"+target, nil)
	if err != nil {
		return 0
	}
	r.Host = domain
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "1500")
	r.Header.Set("Authorization", "Bearer "+key)
	s.record.line("%s sent to %s: GET %s", id, g.name, target)
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		s.record.line("%s: no answer: %v", id, err)
		return 0
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	s.record.line("%s: status %d, stamp %q, %q", id, resp.StatusCode, resp.Header.Get("Response-Stamp"), body)
	return resp.StatusCode
}
