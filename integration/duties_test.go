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

// counted sums the reports of an organisation, each window once. Two reports of a
// window that differ, and a fencing number that falls, are errors.
func (s *site) counted(organisation string) (int, error) {
	windows := make(map[int64]string)
	sum, fencing := 0, uint64(0)
	for _, r := range s.cloud.Reports() {
		text := fmt.Sprint(r.Counts)
		if old, ok := windows[r.Window]; ok && old != text {
			return 0, fmt.Errorf("window %d was reported as %s and %s", r.Window, old, text)
		} else if !ok {
			sum += r.Counts[organisation]
		}
		windows[r.Window] = text
		if r.Fencing < fencing {
			return 0, fmt.Errorf("fencing number %d after %d", r.Fencing, fencing)
		}
		fencing = r.Fencing
	}
	return sum, nil
}

// The daemon that reports usage is killed. What both daemons counted before is in
// the reports once, and the other one goes on with a higher fencing number.
func TestUsageIsReportedOnce(t *testing.T) {
	s := newSite(t)
	s.duties = `["usage"]`
	s.engine(hosting.Config{ID: "i-app", Service: plainService})
	hosts := []*gatewayHost{s.host(), s.host()}
	const each = 5
	for range each {
		for _, h := range hosts {
			if a := h.send(hostedRequest{Target: onceTarget, Key: deskKey}); a.status != http.StatusOK {
				t.Fatalf("answer: %+v", a)
			}
		}
	}
	expect := func(n int) {
		t.Helper()
		eventually(t, "usage", func() error {
			sum, err := s.counted(deskName)
			if err != nil {
				t.Fatal(err)
			}
			return want("requests reported", sum, n)
		})
	}
	expect(2 * each)
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
		if a := survivor.send(hostedRequest{Target: onceTarget, Key: deskKey}); a.status != http.StatusOK {
			t.Fatalf("answer: %+v", a)
		}
	}
	expect(3 * each)
	reports = s.cloud.Reports()
	if last := reports[len(reports)-1]; last.Holder != survivor.name {
		t.Errorf("the last report came from %s", last.Holder)
	}
}

// The answer to a report is lost after the platform took it. The repeat must be
// the same to the byte, though more requests were counted meanwhile.
func TestLostAnswersToReports(t *testing.T) {
	s := newSite(t)
	s.duties = `["usage"]`
	s.engine(hosting.Config{ID: "i-app", Service: plainService})
	n := 0
	s.cloud.SetLoseAnswer(func(string) bool { n++; return n%2 == 1 })
	h := s.host()
	const requests = 12
	for range requests {
		h.send(hostedRequest{Target: onceTarget, Key: deskKey})
	}
	eventually(t, "usage", func() error {
		sum, err := s.counted(deskName)
		if err != nil {
			t.Fatal(err)
		}
		return want("requests reported", sum, requests)
	})
}

// Requests that are not what they seem reach the listener: two lengths, a second
// request inside a body, a chunked body that is also counted. An engine may get
// none of them, and never what was hidden inside.
func TestMalformedRequestsReachNoEngine(t *testing.T) {
	s := newSite(t)
	app := s.engine(hosting.Config{ID: "i-app", Service: plainService})
	h := s.host()
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n", onceTarget, hostedDomain, deskKey)
	hidden := head + "Request-Id: hidden\r\nContent-Length: 0\r\n\r\n"
	cases := map[string]string{
		"two lengths":           head + "Request-Id: a\r\nContent-Length: 0\r\nContent-Length: " + fmt.Sprint(len(hidden)) + "\r\n\r\n" + hidden,
		"length a word":         head + "Request-Id: a\r\nContent-Length: many\r\n\r\n",
		"negative length":       head + "Request-Id: a\r\nContent-Length: -1\r\n\r\n" + hidden,
		"no host":               "POST " + onceTarget + " HTTP/1.1\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n",
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

// What an operator on call has after the fact are a request's id, the logs and
// the counters. For three kinds of failure they must lead to the cause.
func TestFailuresCanBeExplained(t *testing.T) {
	s := newSite(t)
	s.configure(func(c *hostedConfig) {
		c.Tenants[0].RatePerS, c.Tenants[0].Burst = 1, 3
		c.Tenants = append(c.Tenants, hostedOrganisation{Name: "free", ApiKeys: []string{"free-key"}})
	})
	s.engine(hosting.Config{ID: "i-app", Service: plainService})
	lm := s.engine(hosting.Config{ID: "i-lm", Service: modelService, StreamLength: 10})
	s.configure(func(c *hostedConfig) { c.Routes[0].Resumable = false })
	h := s.host()
	t.Run("refused for quota", func(t *testing.T) {
		id := ""
		for n := range 10 {
			id = fmt.Sprintf("quota-%d", n)
			if h.send(hostedRequest{ID: id, Target: onceTarget, Key: deskKey}).status == http.StatusTooManyRequests {
				break
			}
		}
		h.explained(t, id, "not-run", "quota", "a second")
	})
	t.Run("cut by an engine", func(t *testing.T) {
		lm.SetBehaviour(func(*http.Request) hosting.Behaviour { return hosting.TruncateAnswer })
		if a := h.send(hostedRequest{ID: "cut", Target: streamPath, Key: "free-key"}); a.err == nil {
			t.Fatalf("answer: %+v", a)
		}
		h.explained(t, "cut", "cut", "after event 5", "i-lm")
	})
	t.Run("a daemon that knows nothing yet", func(t *testing.T) {
		lost := newSite(t)
		lost.store.SetFault(func(hosting.Call) hosting.Fault { return hosting.Unavailable })
		alone := lost.unready()
		eventually(t, "an answer", func() error {
			return want("status", alone.send(hostedRequest{ID: "early", Target: onceTarget, Key: deskKey}).status, http.StatusServiceUnavailable)
		})
		alone.explained(t, "early", "not-run", "no configuration")
		// The request may come before the answer to the daemon's first call.
		eventually(t, "the line that the store is lost", func() error {
			return want("line", len(alone.lines("store unreachable")) > 0, true)
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

// explained checks that a request's line holds its outcome and some words.
func (h *gatewayHost) explained(t *testing.T, id, outcome string, words ...string) {
	t.Helper()
	eventually(t, "line of "+id, func() error {
		for _, line := range h.lines("request ended") {
			if line["request"] != id {
				continue
			}
			if err := want("outcome", fmt.Sprint(line["outcome"]), outcome); err != nil {
				return err
			}
			for _, word := range words {
				if text := fmt.Sprint(line); !strings.Contains(text, word) {
					return fmt.Errorf("%q is not in %s", word, text)
				}
			}
			return nil
		}
		return fmt.Errorf("there is none")
	})
}

func TestCommandsForTheHostingPlatform(t *testing.T) {
	s := newSite(t)
	s.engine(hosting.Config{ID: "i-app", Service: plainService})
	h := s.host()
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

// runCommand runs the command line and checks its exit code.
func runCommand(t *testing.T, code int, args ...string) string {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), roleVariable+"=brasschute")
	out, _ := cmd.CombinedOutput()
	if got := cmd.ProcessState.ExitCode(); got != code {
		t.Errorf("%v: exit code %d, want %d: %s", args, got, code, out)
	}
	return string(out)
}

// All daemons are killed, and one comes back whose seeds are gone for good. It knew
// nobody until somebody called it, and gave out only its part of each quota. The
// store has the addresses of the fleet.
func TestProcessFindsItsPeersInTheStore(t *testing.T) {
	s := newSite(t)
	s.duties = `["usage"]`
	s.engine(hosting.Config{ID: "i-app", Service: plainService})
	first, second := s.host(), s.host()
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
	third := s.stopped()
	third.startsAgain()
	third.start()
	third.awaitReady()
	eventually(t, "peers of a process without seeds", func() error {
		return want("peers", len(third.beliefs(t).Peers), 2)
	})
}
