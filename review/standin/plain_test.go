//go:build review

package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// execution is a request that a server began to work on.
type execution struct {
	id, method, target, body, tenant string
}

// rawEngine is a server of a plain service that writes its answers byte by byte.
type rawEngine struct {
	w      *world
	id     string
	l      net.Listener
	mu     sync.Mutex
	runs   []execution
	number int
	// garble returns bytes that precede the n-th answer; may be nil.
	garble func(n int, id string) string
	// spoil writes something else than the n-th answer and reports whether it did; may be nil.
	spoil func(c net.Conn, n int, id, method string) bool
	work  time.Duration
}

func newRawEngine(w *world, id, service string) (*rawEngine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &rawEngine{w: w, id: id, l: l, work: 20 * time.Millisecond}
	w.closers = append(w.closers, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	w.listEngine(id, map[string]any{"Service": service, "Address": l.Addr().String(), "Zone": "derby-hall-a", "Version": "v1", "Slots": 6, "State": "ready", "ColdLeftMs": 0, "Seq": 1, "born": time.Now().UnixMilli()})
	return e, nil
}

func (e *rawEngine) bodyOf(id string) string {
	return fmt.Sprintf("answer of %s to %s %s", e.id, id, strings.Repeat("x", 740))
}

func (e *rawEngine) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		id := q.Header.Get("Request-Id")
		if want := q.Header.Get("Expect-Instance"); want != "" && want != e.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id)
			continue
		}
		e.mu.Lock()
		e.number++
		n := e.number
		e.runs = append(e.runs, execution{id, q.Method, q.RequestURI, string(body), q.Header.Get("Tenant")})
		e.mu.Unlock()
		e.w.record.printf("server %s runs %s: %s %s, Host %s, %d bytes, Tenant %s", e.id, id, q.Method, q.RequestURI, q.Host, len(body), q.Header.Get("Tenant"))
		time.Sleep(e.work)
		if e.spoil != nil && e.spoil(c, n, id, q.Method) {
			return
		}
		text := e.bodyOf(id)
		before := ""
		if e.garble != nil {
			before = e.garble(n, id)
		}
		if before != "" {
			e.w.record.printf("server %s precedes its answer to %s by %q", e.id, id, before)
		}
		fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: stamp-%s-%s\r\nServer-Load: 1,0,6\r\nContent-Length: %d\r\n\r\n%s", before, id, e.id, id, len(text), text)
	}
}
