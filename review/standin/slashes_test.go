//go:build review

package standin

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["slashes"] = slashes }

// slashes adds a route for all paths, to which clients then send requests whose path begins with two slashes.
func slashes(ctx context.Context, w *world) (broken []string, err error) {
	e, err := newRawEngine(w, "i-1", plainName)
	if err != nil {
		return nil, err
	}
	if err := w.start(ctx, zoneNames...); err != nil {
		return nil, err
	}
	if w.trouble {
		w.configure(func(c map[string]any) {
			c["Routes"] = append(c["Routes"].([]any), route("rest", "/", "idempotent", plainName, 2500, map[string]any{"SloMs": 300, "MaxAttempts": 2}))
		})
		time.Sleep(3 * time.Second)
	}
	for i := range 20 {
		id := newID()
		target := fmt.Sprintf("//ledger/%d?page=%d", i, i)
		request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer %s\r\n\r\n", target, host, id, tenantKey)
		a := exchange(w.daemons[i%len(w.daemons)].front, "GET", request, 3*time.Second)
		w.record.printf("client sends %s GET %s, gets status %d, stamp %q, %d bytes, error %v", id, target, a.status, a.header.Get("Response-Stamp"), len(a.body), a.err)
		e.mu.Lock()
		for _, r := range e.runs {
			if r.id == id && r.target != target {
				broken = append(broken, fmt.Sprintf("UNASKED: request %s was sent with target %s and ran with %s", id, target, r.target))
			}
		}
		e.mu.Unlock()
	}
	return broken, nil
}
