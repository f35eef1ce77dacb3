//go:build review

package review2

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is HeartbeatMs of the settings.
const heartbeat = 1200 * time.Millisecond

// engine is a stand-in of one engine. It writes its entry at each heartbeat, runs streams at an even pace and may be
// started again under its id and address.
type engine struct {
	id, zone, address string
	// service is the name of its service; empty for [service].
	service string
	store   *store
	record  *record
	// handler runs a request that is meant for this engine; nil for [engine.stream].
	handler http.HandlerFunc
	events  int
	pace    time.Duration

	mu      sync.Mutex
	version string
	born    int64
	seq     int
	server  *http.Server
	running int
	up      bool
}

// listen starts the engine's process with a software version.
func (e *engine) listen(version string) error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address = l.Addr().String()
	e.version, e.born, e.seq, e.up = version, time.Now().UnixMilli(), 0, true
	// Each process has a handler of its own: one that has ended writes nothing more.
	e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, version) })}
	server := e.server
	go func() { _ = server.Serve(l) }()
	return nil
}

// crash ends the engine's process: its connections are closed in the middle of their answers.
func (e *engine) crash() {
	e.mu.Lock()
	e.up = false
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
}

// beat writes the entry, as the process that runs now does at a heartbeat.
func (e *engine) beat() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.seq++
	entry := map[string]any{
		"Service": cmp.Or(e.service, service), "Address": e.address, "Zone": e.zone, "Version": e.version, "Slots": 128, "State": "ready",
		"ColdLeftMs": 0, "Seq": e.seq, "born": e.born, "Stage": "mixed", "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []any{}}},
	}
	version := e.version
	e.mu.Unlock()
	e.store.write("servers", e.id, entry)
	e.record.line("entry of %s written: version %s", e.id, version)
}

// beatForever beats at an even pace from a first moment on.
func (e *engine) beatForever(first time.Duration) {
	time.Sleep(first)
	for range time.Tick(heartbeat) {
		e.beat()
	}
}

func (e *engine) inFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

func (e *engine) count(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += n
}

// serve runs a request at the process with a software version.
func (e *engine) serve(w http.ResponseWriter, r *http.Request, version string) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.count(1)
	defer e.count(-1)
	w.Header().Set("Response-Stamp", "stamp-"+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	if e.handler != nil {
		e.handler(w, r)
		return
	}
	e.stream(w, r, version)
}

// stream writes one event after the other, each with the software version of the process.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, version string) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.record.line("%s runs at %s, software %s, after event %d", r.Header.Get("Request-Id"), e.id, version, after)
	flush := http.NewResponseController(w).Flush
	for n := after + 1; n <= e.events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, version); err != nil || flush() != nil {
			return
		}
		select {
		case <-time.After(e.pace):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}
