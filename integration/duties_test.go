package integration

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"

	"brasschute/internal/standin/hosting"
)

// reportedRequests sums the reported requests of the organisation deskName, counting each window once. It
// returns an error if two reports of a window differ, or if a fencing number decreases.
func (s *site) reportedRequests() (int, error) {
	windows := make(map[int64]string)
	sum, fencing := 0, uint64(0)
	for _, r := range s.cloud.Reports() {
		text := fmt.Sprint(r.Counts)
		if old, ok := windows[r.Window]; ok && old != text {
			return 0, fmt.Errorf("window %d was reported as %s and %s", r.Window, old, text)
		} else if !ok {
			sum += r.Counts[deskName]
		}
		windows[r.Window] = text
		if r.Fencing < fencing {
			return 0, fmt.Errorf("fencing number %d after %d", r.Fencing, fencing)
		}
		fencing = r.Fencing
	}
	return sum, nil
}

// TestUsageIsReportedOnce kills the daemon that reports usage. The requests that both daemons
// counted before must be in the reports once, and the other daemon must go on with a higher
// fencing number.
func TestUsageIsReportedOnce(t *testing.T) {
	s := newSite(t)
	s.duties = `["usage"]`
	s.addEngine(hosting.Config{ID: "i-app", Service: plainService})
	hosts := []*gatewayHost{s.addReadyHost(), s.addReadyHost()}
	const each = 5
	for range each {
		for _, h := range hosts {
			if a := h.send(hostedRequest{Target: nonIdempotentPath, Key: deskKey}); a.status != http.StatusOK {
				t.Fatalf("answer: %+v", a)
			}
		}
	}
	awaitReported := func(n int) {
		t.Helper()
		eventually(t, "usage", func() error {
			sum, err := s.reportedRequests()
			if err != nil {
				t.Fatal(err)
			}
			return checkEqual("requests reported", sum, n)
		})
	}
	awaitReported(2 * each)
	reports := s.cloud.Reports()
	holder := reports[len(reports)-1].Holder
	survivor := hosts[0]
	for _, h := range hosts {
		if h.name == holder {
			h.kill()
		} else {
			survivor = h
		}
	}
	for range each {
		if a := survivor.send(hostedRequest{Target: nonIdempotentPath, Key: deskKey}); a.status != http.StatusOK {
			t.Fatalf("answer: %+v", a)
		}
	}
	awaitReported(3 * each)
	reports = s.cloud.Reports()
	if last := reports[len(reports)-1]; last.Holder != survivor.name {
		t.Errorf("the last report came from %s", last.Holder)
	}
}

// TestLostAnswersToReports loses the answers to reports that the platform has accepted. Each
// repeated report must be the same to the byte, although more requests have been counted
// meanwhile.
func TestLostAnswersToReports(t *testing.T) {
	s := newSite(t)
	s.duties = `["usage"]`
	s.addEngine(hosting.Config{ID: "i-app", Service: plainService})
	n := 0
	s.cloud.SetLoseAnswer(func(string) bool { n++; return n%2 == 1 })
	h := s.addReadyHost()
	const requests = 12
	for range requests {
		h.send(hostedRequest{Target: nonIdempotentPath, Key: deskKey})
	}
	eventually(t, "usage", func() error {
		sum, err := s.reportedRequests()
		if err != nil {
			t.Fatal(err)
		}
		return checkEqual("requests reported", sum, requests)
	})
}

// TestMalformedRequestsReachNoEngine sends requests whose end is ambiguous (request smuggling):
// two lengths, a second request inside a body, a body that is chunked and has a length. No engine
// may get one of them or the request hidden inside.
func TestMalformedRequestsReachNoEngine(t *testing.T) {
	s := newSite(t)
	app := s.addEngine(hosting.Config{ID: "i-app", Service: plainService})
	h := s.addReadyHost()
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n", nonIdempotentPath, hostedDomain, deskKey)
	hidden := head + "Request-Id: hidden\r\nContent-Length: 0\r\n\r\n"
	cases := map[string]string{
		"two lengths":           head + "Request-Id: a\r\nContent-Length: 0\r\nContent-Length: " + fmt.Sprint(len(hidden)) + "\r\n\r\n" + hidden,
		"length a word":         head + "Request-Id: a\r\nContent-Length: many\r\n\r\n",
		"negative length":       head + "Request-Id: a\r\nContent-Length: -1\r\n\r\n" + hidden,
		"no host":               "POST " + nonIdempotentPath + " HTTP/1.1\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n",
		"space before colon":    head + "Request-Id : a\r\nContent-Length: 0\r\n\r\n",
		"unknown encoding":      head + "Request-Id: a\r\nTransfer-Encoding: secret\r\n\r\n" + hidden,
		"no request at all":     "these are only words\r\n\r\n",
		"bad chunk":             head + "Request-Id: a\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n" + hidden,
		"truncated chunked":     head + "Request-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"id is missing":         head + "Content-Length: 0\r\n\r\n",
		"two keys":              head + "Authorization: Bearer other\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n",
		"control char in value": head + "Request-Id: a\x00b\r\nContent-Length: 0\r\n\r\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			c := dialHost(t, h)
			if _, err := io.WriteString(c, text); err != nil {
				t.Fatal(err)
			}
			if w, ok := c.(interface{ CloseWrite() error }); ok {
				_ = w.CloseWrite()
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				defer resp.Body.Close()
				if resp.StatusCode < http.StatusBadRequest {
					t.Errorf("status %d", resp.StatusCode)
				}
			}
		})
	}
	if n := app.Received(); n != 0 {
		t.Errorf("%d requests reached the engine: %+v", n, app.Executions())
	}
}

// TestFailuresCanBeExplained checks that an operator who has only the id of a request, the logs
// and the metrics can find the cause of three kinds of failure.
func TestFailuresCanBeExplained(t *testing.T) {
	s := newSite(t)
	s.configure(func(c *hostedConfig) {
		c.Tenants[0].RatePerS, c.Tenants[0].Burst = 1, 3
		c.Tenants = append(c.Tenants, hostedOrganisation{Name: "free", ApiKeys: []string{"free-key"}})
	})
	s.addEngine(hosting.Config{ID: "i-app", Service: plainService})
	lm := s.addEngine(hosting.Config{ID: "i-lm", Service: modelService, StreamLength: 10})
	s.configure(func(c *hostedConfig) { c.Routes[0].Resumable = false })
	h := s.addReadyHost()
	t.Run("refused for quota", func(t *testing.T) {
		id := ""
		for n := range 10 {
			id = fmt.Sprintf("quota-%d", n)
			if h.send(hostedRequest{ID: id, Target: nonIdempotentPath, Key: deskKey}).status == http.StatusTooManyRequests {
				break
			}
		}
		h.checkRequestLog(t, id, "not-run", "quota", "a second")
	})
	t.Run("cut by an engine", func(t *testing.T) {
		lm.SetBehaviour(func(*http.Request) hosting.Behaviour { return hosting.TruncateAnswer })
		if a := h.send(hostedRequest{ID: "cut", Target: streamingPath, Key: "free-key"}); a.err == nil {
			t.Fatalf("answer: %+v", a)
		}
		h.checkRequestLog(t, "cut", "cut", "after event 5", "i-lm")
	})
	t.Run("a daemon that knows nothing yet", func(t *testing.T) {
		noStore := newSite(t)
		noStore.store.SetFault(func(hosting.Call) hosting.Fault { return hosting.Unavailable })
		alone := noStore.addHost()
		eventually(t, "an answer", func() error {
			return checkEqual("status", alone.send(hostedRequest{ID: "early", Target: nonIdempotentPath, Key: deskKey}).status, http.StatusServiceUnavailable)
		})
		alone.checkRequestLog(t, "early", "not-run", "no configuration")
		// The request may come before the answer to the daemon's first call.
		eventually(t, "the log line that the store is unreachable", func() error {
			return checkEqual("line", len(alone.logLines("store unreachable")) > 0, true)
		})
	})
	t.Run("counters", func(t *testing.T) {
		eventually(t, "counted", func() error {
			resp, err := s.client.Get("http://" + h.ip + ":7600/metrics")
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			text, err := io.ReadAll(resp.Body)
			if err != nil {
				return err
			}
			for _, name := range []string{"brasschute_requests_ended", `outcome="cut"`, `status="429"`, "brasschute_request_seconds_bucket"} {
				if !strings.Contains(string(text), name) {
					return fmt.Errorf("no %s", name)
				}
			}
			return nil
		})
	})
}

// checkRequestLog waits for the request's line in the access log and checks its outcome and that
// it contains all words.
func (h *gatewayHost) checkRequestLog(t *testing.T, id, outcome string, words ...string) {
	t.Helper()
	eventually(t, "line of "+id, func() error {
		for _, line := range h.logLines("request ended") {
			if line["request"] != id {
				continue
			}
			if err := checkEqual("outcome", fmt.Sprint(line["outcome"]), outcome); err != nil {
				return err
			}
			for _, word := range words {
				if text := fmt.Sprint(line); !strings.Contains(text, word) {
					return fmt.Errorf("%q is not in %s", word, text)
				}
			}
			return nil
		}
		return fmt.Errorf("no line")
	})
}

// TestCommandsForTheHostingPlatform runs the command line against a daemon: "beliefs" must print
// its local view, and "settings" must accept a valid file and refuse an invalid one by name.
func TestCommandsForTheHostingPlatform(t *testing.T) {
	s := newSite(t)
	s.addEngine(hosting.Config{ID: "i-app", Service: plainService})
	h := s.addReadyHost()
	out := runCommand(t, 0, "beliefs", h.ip+":7600")
	for _, word := range []string{`"Configuration": 2`, `"Endpoint": "i-app"`, `"FollowsStore": true`} {
		if !strings.Contains(out, word) {
			t.Errorf("no %s in %s", word, out)
		}
	}
	if out := runCommand(t, 0, "settings", h.file); !strings.Contains(out, "valid, for host "+h.name) {
		t.Errorf("settings: %s", out)
	}
	h.writeSettings(`Zone = `)
	if out := runCommand(t, 3, "settings", h.file); !strings.Contains(out, h.file) {
		t.Errorf("settings: %s", out)
	}
}

// runCommand runs the command line, checks its exit code and returns its output.
func runCommand(t *testing.T, code int, args ...string) string {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), roleEnv+"=brasschute")
	out, _ := cmd.CombinedOutput()
	if got := cmd.ProcessState.ExitCode(); got != code {
		t.Errorf("%v: exit code %d, want %d: %s", args, got, code, out)
	}
	return string(out)
}

// TestProcessFindsItsPeersInTheStore starts a daemon without seeds, as after the loss of all
// daemons it knew. Such a daemon knew no peer until one called it, and until then granted only
// its own share of each quota. It must find the addresses of the fleet in the store.
func TestProcessFindsItsPeersInTheStore(t *testing.T) {
	s := newSite(t)
	s.duties = `["usage"]`
	s.addEngine(hosting.Config{ID: "i-app", Service: plainService})
	first, second := s.addReadyHost(), s.addReadyHost()
	eventually(t, "the fleet's addresses in the store", func() error {
		spec := string(s.store.Spec("fleet", "size"))
		for _, h := range []*gatewayHost{first, second} {
			if !strings.Contains(spec, h.ip+":8109") {
				return fmt.Errorf("stored: %q", spec)
			}
		}
		return nil
	})
	s.hosts = nil
	third := s.prepareHost()
	third.clearFirstStart()
	third.start()
	third.awaitReady()
	eventually(t, "peers of a process without seeds", func() error {
		return checkEqual("peers", len(third.view(t).Peers), 2)
	})
}
