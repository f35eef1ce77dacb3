//go:build review

package standin

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { cases["interim"] = interim }

// interim lets one server in four send an interim status line, as bytes that are no response, before 2 in 100 of its
// answers.
func interim(ctx context.Context, w *world) (broken []string, err error) {
	engines := make(map[string]*rawEngine)
	for i := range 4 {
		e, err := newRawEngine(w, fmt.Sprintf("i-%d", i+1), plainName)
		if err != nil {
			return nil, err
		}
		engines[e.id] = e
	}
	if err := w.start(ctx, zoneNames...); err != nil {
		return nil, err
	}
	from := time.Now().Add(2 * time.Second)
	if w.trouble {
		engines["i-1"].garble = func(n int, id string) string {
			if since := time.Since(from); since < 0 || since > 5500*time.Millisecond || n%50 != 0 {
				return ""
			}
			return "HTTP/1.1 102 Processing\r\n\r\n"
		}
	}
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := range 8 {
		clients.Go(func() {
			d := w.daemons[i%len(w.daemons)]
			for n := 0; time.Since(from) < 8*time.Second; n++ {
				id := newID()
				request := fmt.Sprintf("POST %s%d/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nbody", postPath, i, n, host, id, tenantKey)
				w.record.printf("client sends POST %s to %s", id, d.name)
				a := exchange(d.front, "POST", request, 3*time.Second)
				stamp := a.header.Get("Response-Stamp")
				w.record.printf("client gets for %s: status %d, stamp %q, %d bytes, error %v", id, a.status, stamp, len(a.body), a.err)
				whole := false
				for _, e := range engines {
					whole = whole || string(a.body) == e.bodyOf(id)
				}
				if a.err == nil && a.status >= 200 && a.status < 300 && (stamp == "" || !whole) {
					mu.Lock()
					broken = append(broken, fmt.Sprintf("MIXED: request %s got a success (%d) with stamp %q and %d bytes of body, which is no server's answer", id, a.status, stamp, len(a.body)))
					mu.Unlock()
				}
			}
		})
	}
	clients.Wait()
	return broken, nil
}
