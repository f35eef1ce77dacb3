//go:build review

package review2

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The load and the release of the case "restarted".
const (
	streams      = 24
	streamEvents = 60
	eventPace    = 100 * time.Millisecond
	engines      = 4 // of the case "spoilt"
	// zoneEngines of four engines stand in each zone. Those of one zone start again.
	zoneEngines = 2
	// downTime is how long the process of an engine is down, restartGap the time from one engine to the next.
	downTime   = 100 * time.Millisecond
	restartGap = 150 * time.Millisecond
	// maxMixed is the number of mixed streams that rule ORDER allows.
	maxMixed = 2
)

// zones are those of the case "restarted".
var zones = []string{"hall-a", "hall-b"}

// restarted replaces the software of the engines of one zone in place, one engine after the other, each under its id.
// Streams run at the one that comes last.
func restarted(s *site) (int, error) {
	var all []*engine
	for i := range zoneEngines * len(zones) {
		e := &engine{
			id: fmt.Sprintf("i-%d", i+1), zone: zones[i%len(zones)], address: "127.0.0.1:0",
			store: s.store, record: s.record, events: streamEvents, pace: eventPace,
		}
		if err := e.listen("v1"); err != nil {
			return failed, err
		}
		e.beat()
		go e.beatForever(rand.N(heartbeat))
		all = append(all, e)
	}
	s.store.write("config", "main", streamConfig())
	if err := s.startGateways(zones...); err != nil {
		return failed, err
	}
	time.Sleep(5 * time.Second)
	answers := make([]streamAnswer, streams)
	var clients sync.WaitGroup
	// The first stream shows the zone whose clients send the others.
	clients.Go(func() { answers[0] = s.readStream(s.gateways[0], "stream-1") })
	time.Sleep(500 * time.Millisecond)
	g := s.gateways[0]
	for i, zone := range zones {
		if zone == busiest(all).zone {
			g = s.gateways[i]
		}
	}
	for i := 1; i < streams; i++ {
		clients.Go(func() { answers[i] = s.readStream(g, fmt.Sprintf("stream-%d", i+1)) })
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if s.trouble {
		s.release(all, busiest(all).zone)
	}
	clients.Wait()
	return s.judge(answers), nil
}

// busiest returns the engine with the most streams.
func busiest(all []*engine) *engine {
	most := all[0]
	for _, e := range all {
		if e.inFlight() > most.inFlight() {
			most = e
		}
	}
	return most
}

// release starts the engines of a zone again with other software, those without work first.
func (s *site) release(all []*engine, zone string) {
	var order, busy []*engine
	for _, e := range all {
		switch {
		case e.zone != zone:
		case e.inFlight() == 0:
			order = append(order, e)
		default:
			busy = append(busy, e)
		}
	}
	for _, e := range append(order, busy...) {
		s.record.line("%s ends with %d streams, and starts again with software v2", e.id, e.inFlight())
		e.crash()
		time.Sleep(downTime)
		if err := e.listen("v2"); err != nil {
			s.record.line("%s did not start: %v", e.id, err)
		}
		s.record.line("%s is up, software v2", e.id)
		time.Sleep(restartGap - downTime)
	}
}

// streamConfig is a configuration with one route.
func streamConfig() map[string]any {
	return map[string]any{
		"Version": 7,
		"Routes": []any{map[string]any{
			"Name": "r-letters", "Host": domain, "PathPrefix": "/letters/", "Kind": "streaming", "TimeoutMs": 15000, "SloMs": 1200, "Priority": 0,
			"Service": service, "MaxAttempts": 2, "Public": false, "SessionAffinity": true, "Resumable": true, "GapSloMs": 400,
		}},
		"Services": []any{map[string]any{
			"Name": service, "HealthPath": "/health", "MaxConns": 630, "Protocol": "h1", "Tls": false,
			"Engine": map[string]any{"Slots": 128, "KvTokens": 651443, "KvTokenBytes": 35136, "LinkMbps": 130000.0, "Stride": 2, "Models": []any{map[string]any{"Name": "m"}}},
		}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "desk", "ApiKeys": []string{key}, "Priority": 1, "Unit": "tokens", "PlainTokens": 200, "RatePerS": 2463730, "Burst": 2463730}},
	}
}

// streamAnswer is what a client got.
type streamAnswer struct {
	id       string
	status   int
	versions []string
	events   int
	whole    bool
}

// readStream sends a request for a stream and reads its answer. Each event's data names the software that wrote it.
func (s *site) readStream(g *gateway, id string) streamAnswer {
	out := streamAnswer{id: id}
	resp, err := s.send(g, id, "5c1e07a2")
	if err != nil {
		s.record.line("%s: no answer: %v", id, err)
		return out
	}
	defer resp.Body.Close()
	out.status = resp.StatusCode
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		version, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || resp.StatusCode != http.StatusOK {
			continue
		}
		out.events++
		if n := len(out.versions); n == 0 || out.versions[n-1] != version {
			out.versions = append(out.versions, version)
			s.record.line("%s: event %d is the first of software %s in this answer", id, out.events, version)
		}
	}
	out.whole = lines.Err() == nil
	s.record.line("%s: status %d, %d events, software %v, ends as whole: %v", id, out.status, out.events, out.versions, out.whole)
	return out
}

// send sends a request for a stream over a new connection. Its prompt begins with a part that others may share.
func (s *site) send(g *gateway, id, prefix string) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+g.ip+":8101/letters/x", strings.NewReader("write a letter"))
	if err != nil {
		return nil, err
	}
	r.Host = domain
	for name, value := range map[string]string{
		"Request-Id": id, "Deadline-Ms": "15000", "Authorization": "Bearer " + key, "Model": "m", "Token-Count": "6100,120",
		"Prompt-Prefix": fmt.Sprintf("%s:6000,%08x:100", prefix, rand.Uint32()),
	} {
		r.Header.Set(name, value)
	}
	s.record.line("%s sent to %s", id, g.name)
	transport := &http.Transport{DisableKeepAlives: true}
	return transport.RoundTrip(r)
}

// judge counts the answers with events of two software versions.
func (s *site) judge(answers []streamAnswer) int {
	mixed, begun := 0, 0
	for _, a := range answers {
		if a.events > 0 {
			begun++
		}
		if len(a.versions) > 1 {
			mixed++
		}
	}
	s.record.line("%d of %d streams began, %d hold events of two software versions, %d are allowed", begun, len(answers), mixed, maxMixed)
	switch {
	case mixed > maxMixed:
		return broken
	case begun < len(answers):
		return failed
	}
	return held
}
