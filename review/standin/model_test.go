//go:build review

package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// modelEngine is a model engine that streams numbered events and may crash and start again under its id, at its
// address.
type modelEngine struct {
	w       *world
	id      string
	zone    string
	address string

	mu       sync.Mutex
	version  string
	listener net.Listener
	conns    map[net.Conn]bool
	runs     int
	// pause is the time between two events, events their number.
	pause  time.Duration
	events int
	seq    int
	born   int64
	slots  int
}

func newModelEngine(w *world, id, zone, version string, slots int) (*modelEngine, error) {
	address, err := w.freePort(w.newIP())
	if err != nil {
		return nil, err
	}
	e := &modelEngine{w: w, id: id, zone: zone, address: address, pause: 100 * time.Millisecond, events: 60, slots: slots}
	w.closers = append(w.closers, func() { e.crash("stops") })
	if err := e.start(version); err != nil {
		return nil, err
	}
	e.list()
	return e, nil
}

// start starts an incarnation of the engine.
func (e *modelEngine) start(version string) error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version, e.listener, e.conns, e.seq, e.born, e.runs = version, l, make(map[net.Conn]bool), 0, time.Now().UnixMilli(), 0
	s := &http.Server{Handler: e.handler(version), ConnState: func(c net.Conn, state http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if state == http.StateClosed {
			delete(e.conns, c)
			return
		}
		e.conns[c] = true
	}}
	go func() { _ = s.Serve(l) }()
	e.w.record.printf("server %s: starts with software %s at %s", e.id, version, e.address)
	return nil
}

// list writes the entry of the present incarnation.
func (e *modelEngine) list() {
	e.mu.Lock()
	e.seq++
	entry := map[string]any{
		"Service": modelName, "Address": e.address, "Zone": e.zone, "Version": e.version, "Slots": e.slots, "State": "ready", "ColdLeftMs": 0,
		"Stage": "mixed", "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []string{}}}, "Seq": e.seq, "born": e.born,
	}
	e.mu.Unlock()
	e.w.listEngine(e.id, entry)
}

// crash ends the present incarnation: its connections are reset. what says why, for the record.
func (e *modelEngine) crash(what string) {
	e.mu.Lock()
	l, conns := e.listener, e.conns
	e.listener, e.conns = nil, make(map[net.Conn]bool)
	e.mu.Unlock()
	if l == nil {
		return
	}
	_ = l.Close()
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	e.w.record.printf("server %s: %s, %d connections reset", e.id, what, len(conns))
}

func (e *modelEngine) handler(version string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Request-Id")
		h := w.Header()
		if r.URL.Path == "/health" {
			h.Set("Instance-Id", e.id)
			return
		}
		if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
			h.Set("Instance-Id", e.id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		h.Set("Request-Id", id)
		e.mu.Lock()
		e.runs++
		n := e.runs
		e.mu.Unlock()
		defer func() {
			e.mu.Lock()
			e.runs--
			e.mu.Unlock()
		}()
		e.w.ran.Store(id, true)
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		e.w.record.printf("server %s (%s) runs %s after event %d, Tenant %s, Token-Count %s", e.id, version, id, after, r.Header.Get("Tenant"), r.Header.Get("Token-Count"))
		h.Set("Response-Stamp", "stamp-"+e.id+"-"+id)
		h.Set("Server-Load", fmt.Sprintf("%d,0,%d", n, e.slots))
		h.Set("Content-Type", "text/event-stream")
		h.Set("Weight-Versions", "1")
		flush := http.NewResponseController(w).Flush
		for n := after + 1; n <= e.events; n++ {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(e.pause):
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s piece %d\n\n", n, version, e.id, n); err != nil {
				return
			}
			if flush() != nil {
				return
			}
		}
	})
}

// piece is an event that a client received.
type piece struct {
	number          int
	version, server string
}

// stream is what a client has of one stream, over all its tries.
type stream struct {
	first  string
	pieces []piece
	tries  int
	status int
	err    error
	done   bool
}

// versions returns the software versions of the events.
func (s *stream) versions() map[string]int {
	out := make(map[string]int)
	for _, p := range s.pieces {
		out[p.version]++
	}
	return out
}

// try makes one client attempt and adds the events to the stream.
func (s *stream) try(d *daemon, tokens string, parts string) {
	id := newID()
	s.tries++
	more := ""
	if n := len(s.pieces); n > 0 {
		more = fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", s.pieces[n-1].number, s.first)
	}
	request := fmt.Sprintf("POST %s2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel: m\r\nToken-Count: %s\r\nPrompt-Prefix: %s\r\nDeadline-Ms: 15000\r\nAuthorization: Bearer %s\r\n%sContent-Length: 6\r\n\r\nprompt",
		modelPath, host, id, tokens, parts, tenantKey, more)
	d.w.record.printf("client sends %s to %s %s", id, d.name, strings.ReplaceAll(strings.TrimSpace(more), "\r\n", ", "))
	s.status, s.err = 0, nil
	c, err := net.DialTimeout("tcp", d.front, time.Second)
	if err != nil {
		s.err = err
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(15 * time.Second))
	if _, err := io.WriteString(c, request); err != nil {
		s.err = err
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.err = err
		d.w.record.printf("client gets for %s: %v", id, err)
		return
	}
	defer resp.Body.Close()
	s.status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		d.w.record.printf("client gets for %s: status %d, Retry-After %s, %s", id, resp.StatusCode, resp.Header.Get("Retry-After"), strings.TrimSpace(string(text)))
		return
	}
	before := len(s.pieces)
	s.err = s.read(resp.Body, id)
	d.w.record.printf("client gets for %s: status 200, %d events, error %v", id, len(s.pieces)-before, s.err)
	s.done = s.err == nil
}

// read reads events until the stream ends.
func (s *stream) read(r io.Reader, id string) error {
	b := bufio.NewReader(r)
	p := piece{}
	for {
		line, err := b.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			return nil
		}
		if err != nil {
			return err
		}
		line = strings.TrimSuffix(line, "\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			p.number, _ = strconv.Atoi(line[4:])
		case strings.HasPrefix(line, "data: "):
			f := strings.Fields(line[6:])
			p.version, p.server = f[0], f[1]
		case line == "" && p.number > 0:
			if s.first == "" {
				s.first = id
			}
			s.pieces = append(s.pieces, p)
			p = piece{}
		}
	}
}
