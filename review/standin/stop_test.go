//go:build review

package standin

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = stop }

// stop stops a daemon by plan while requests that it has read wait for an engine.
func stop(ctx context.Context, w *world) (broken []string, err error) {
	w.configure(func(c map[string]any) {
		c["Routes"] = []any{
			route("letters", modelPath, "streaming", modelName, 15000, map[string]any{"SloMs": 2500, "GapSloMs": 400, "Resumable": false, "SessionAffinity": true, "MaxAttempts": 1}),
			route("lookups", lookupPath, "idempotent", plainName, 2500, map[string]any{"SloMs": 300, "MaxAttempts": 2}),
		}
		c["Services"].([]any)[0].(map[string]any)["Engine"] = map[string]any{"Slots": 128, "KvTokens": 666466, "KvTokenBytes": 35136, "LinkMbps": 130000.0, "Moves": true, "Backups": true, "Stride": 2, "most": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "HandleS": 5.0, "Models": []any{map[string]any{"Name": "m"}}}
	})
	for i := range 12 {
		if _, err := newModelEngine(w, fmt.Sprintf("i-%02d", i+1), zoneNames[i%4], "v1", 128); err != nil {
			return nil, err
		}
	}
	if _, err := newRawEngine(w, "i-app", plainName); err != nil {
		return nil, err
	}
	if err := w.start(ctx, zoneNames...); err != nil {
		return nil, err
	}
	stopping := w.daemons[0]
	quit := make(chan struct{})
	var small sync.WaitGroup
	// Usual requests, at the other daemons.
	small.Add(1)
	go func() {
		defer small.Done()
		for i := 0; ; i++ {
			select {
			case <-quit:
				return
			case <-time.After(100 * time.Millisecond):
			}
			small.Add(1)
			go func() {
				defer small.Done()
				s := &stream{}
				s.try(w.daemons[1+i%3], "1460,120", fmt.Sprintf("5c1e07a2:350,%08x:1110", i))
			}()
		}
	}()
	time.Sleep(4 * time.Second)
	var kept []*keptConnection
	for i := range 6 {
		c, err := dialKept(stopping.front)
		if err != nil {
			return nil, err
		}
		defer c.Close()
		a := c.send("GET", fmt.Sprintf("GET %s%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer %s\r\n\r\n", lookupPath, i, host, newID(), tenantKey))
		if a.err != nil || a.status != 200 {
			return nil, fmt.Errorf("%w: first request of a kept connection: %d %v", errNotRun, a.status, a.err)
		}
		kept = append(kept, c)
	}
	stopAt := time.Now()
	if w.trouble {
		stopping.signal(syscall.SIGTERM)
	}
	time.Sleep(2500 * time.Millisecond)
	var mu sync.Mutex
	var large sync.WaitGroup
	for i, c := range kept {
		large.Add(1)
		go func() {
			defer large.Done()
			id := newID()
			sent := time.Now()
			w.record.printf("client sends %s to %s on a kept connection, %d ms after SIGTERM: a prompt of 600,000 tokens", id, stopping.name, sent.Sub(stopAt).Milliseconds())
			// Clients of streams leave after four times the objective without an event.
			_ = c.SetDeadline(sent.Add(4 * 2500 * time.Millisecond))
			a := c.send("POST", fmt.Sprintf("POST %s2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel: m\r\nToken-Count: 600000,120\r\nPrompt-Prefix: 77aa%04x:600000\r\nDeadline-Ms: 15000\r\nAuthorization: Bearer %s\r\nContent-Length: 6\r\n\r\nprompt",
				modelPath, host, id, i, tenantKey))
			w.record.printf("client gets for %s after %d ms: status %d, error %v, %s", id, time.Since(sent).Milliseconds(), a.status, a.err, strings.TrimSpace(string(a.body[:min(len(a.body), 300)])))
			if _, ran := w.ran.Load(id); a.err != nil && !os.IsTimeout(a.err) && !ran {
				mu.Lock()
				broken = append(broken, fmt.Sprintf("LOST: request %s was read whole and passed on to no server, and its connection ended after %d ms without an answer: %v", id, time.Since(sent).Milliseconds(), a.err))
				mu.Unlock()
			}
		}()
	}
	large.Wait()
	close(quit)
	small.Wait()
	return broken, nil
}
