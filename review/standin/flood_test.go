//go:build review

package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["flood"] = flood }

const (
	// memoryLimit and linkBytes are MemoryMb and LinkMbps of the settings.
	memoryLimit = 284 << 20
	linkBytes   = 1000 * 1000 * 1000 / 8
)

// resident returns the resident memory of a process in bytes; 0 if it has ended.
func resident(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			n, _ := strconv.Atoi(f[1])
			return n << 10
		}
	}
	return 0
}

// limitMemory kills a process that exceeds MemoryMb, as the platform does, and starts it again after a short delay.
func (d *daemon) limitMemory(ctx context.Context, killed func()) {
	most := 0
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		n := resident(d.cmd.Process.Pid)
		if n > most+(32<<20) {
			most = n
			d.w.record.printf("platform: %s has %d MB", d.name, n>>20)
		}
		if n <= memoryLimit {
			continue
		}
		d.w.record.printf("platform: %s exceeds MemoryMb with %d MB and is killed", d.name, n>>20)
		killed()
		d.kill()
		time.Sleep(300 * time.Millisecond)
		most = 0
		if ctx.Err() == nil {
			_ = d.start()
		}
	}
}

// flood lets one server in four spoil 2 in 100 of its answers, those to non-idempotent requests: it sends bytes that are
// no response, without an end.
func flood(ctx context.Context, w *world) (broken []string, err error) {
	var engines []*rawEngine
	for i := range 4 {
		e, err := newRawEngine(w, fmt.Sprintf("i-%d", i+1), plainName)
		if err != nil {
			return nil, err
		}
		e.work = 200 * time.Millisecond
		engines = append(engines, e)
	}
	faulty := engines[0]
	if err := w.start(ctx, zoneNames...); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	kills := 0
	watch, stopWatch := context.WithCancel(ctx)
	var watching sync.WaitGroup
	for _, d := range w.daemons {
		watching.Go(func() { d.limitMemory(watch, func() { mu.Lock(); kills++; mu.Unlock() }) })
	}
	end := time.Now().Add(20 * time.Second)
	spoiltAt := 0
	if w.trouble {
		from := time.Now().Add(4 * time.Second)
		faulty.spoil = func(c net.Conn, n int, id, method string) bool {
			// Two times of 5.5 s, with 2 s between them.
			since := time.Since(from)
			if since > 7500*time.Millisecond {
				since -= 7500 * time.Millisecond
			}
			if since < 0 || since > 5500*time.Millisecond || method != http.MethodPost {
				return false
			}
			mu.Lock()
			due := n-spoiltAt >= 50
			if due {
				spoiltAt = n
			}
			mu.Unlock()
			if !due {
				return false
			}
			w.record.printf("server %s spoils its answer to %s: bytes that are no response, at %d Mbit/s at most", faulty.id, id, linkBytes*8/1000000)
			sent, began := 0, time.Now()
			chunk := []byte(strings.Repeat("#", 1<<17))
			for {
				k, err := c.Write(chunk)
				sent += k
				if err != nil {
					w.record.printf("server %s: connection closed after %d MB in %d ms", faulty.id, sent>>20, time.Since(began).Milliseconds())
					return true
				}
				time.Sleep(time.Duration(float64(sent)/linkBytes*float64(time.Second)) - time.Since(began))
			}
		}
	}
	type lost struct{ id, daemon, why string }
	var cut []lost
	var clients sync.WaitGroup
	for i := range 32 {
		clients.Go(func() {
			d := w.daemons[i%len(w.daemons)]
			var c *keptConnection
			kept := false
			for n := 0; time.Now().Before(end); n++ {
				if c == nil {
					fresh, err := dialKept(d.front)
					if err != nil {
						time.Sleep(200 * time.Millisecond)
						continue
					}
					c, kept = fresh, false
				}
				id := newID()
				_ = c.SetDeadline(time.Now().Add(2500 * time.Millisecond))
				method, request := "GET", fmt.Sprintf("GET %s%d/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer %s\r\n\r\n", lookupPath, i, n, host, id, tenantKey)
				if n%8 < 5 {
					method, request = "POST", fmt.Sprintf("POST %s%d/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nbody", postPath, i, n, host, id, tenantKey)
				}
				a := c.send(method, request)
				w.record.printf("client: %s %s at %s (kept connection %v): status %d, %d bytes, error %v", method, id, d.name, kept, a.status, len(a.body), a.err)
				if a.err != nil {
					if kept && !os.IsTimeout(a.err) {
						mu.Lock()
						cut = append(cut, lost{id, d.name, a.err.Error()})
						mu.Unlock()
					}
					_ = c.Close()
					c = nil
					continue
				}
				kept = true
				time.Sleep(50 * time.Millisecond)
			}
			if c != nil {
				_ = c.Close()
			}
		})
	}
	clients.Wait()
	stopWatch()
	watching.Wait()
	atSound := 0
	for _, l := range cut {
		for _, e := range engines[1:] {
			e.mu.Lock()
			for _, r := range e.runs {
				if r.id == l.id {
					atSound++
					w.record.printf("lost: %s at %s, passed on to the sound server %s, closed without an answer: %s", l.id, l.daemon, e.id, l.why)
				}
			}
			e.mu.Unlock()
		}
	}
	w.record.printf("%d processes killed for their memory; %d requests of kept connections passed on to sound servers and closed without an answer", kills, atSound)
	if atSound > 3 {
		broken = append(broken, fmt.Sprintf("LOST: %d requests from kept connections were passed on to sound servers and closed without an answer; %d daemons exceeded MemoryMb", atSound, kills))
	}
	return broken, nil
}
