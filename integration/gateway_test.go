package integration

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"brasschute/internal/standin/hosting"
	"brasschute/platform"
)

// TestHostedRequestsAreServed sends a streaming and a plain request through a daemon. The engine
// must get target, body and organisation of the client but not its key, and the client the
// engine's signature.
func TestHostedRequestsAreServed(t *testing.T) {
	s := newSite(t)
	lm := s.addEngine(hosting.Config{ID: "i-lm", Service: modelService, StreamLength: 12})
	app := s.addEngine(hosting.Config{ID: "i-app", Service: plainService})
	h := s.addReadyHost()
	stream := h.send(hostedRequest{Target: streamingPath + "a?b=c", Key: deskKey, Body: "text", Header: map[string]string{"Token-Count": "100,24"}})
	if stream.err != nil || stream.status != http.StatusOK || stream.body != streamText(12) {
		t.Fatalf("stream: %+v", stream)
	}
	if got := stream.header.Get("Response-Stamp"); got != "stamp-i-lm" {
		t.Errorf("signature %q", got)
	}
	run := lm.Executions()[0]
	if run.Tenant != deskName || run.Target != streamingPath+"a?b=c" || run.Body != "text" || run.Header.Get("Authorization") != "" {
		t.Errorf("run: %+v", run)
	}
	plain := h.send(hostedRequest{Target: nonIdempotentPath, Key: deskKey})
	if plain.err != nil || plain.body != app.AnswerBody() {
		t.Errorf("plain: %+v", plain)
	}
}

// TestHeadersOfTheDaemonCannotBeForged sends headers that only the daemon may set. With them a
// client could act for another organisation, use reserved memory of an engine, or read the stream
// of another request. No engine may get one of them with the client's value.
func TestHeadersOfTheDaemonCannotBeForged(t *testing.T) {
	s := newSite(t)
	lm := s.addEngine(hosting.Config{ID: "i-lm", Service: modelService, StreamLength: 1})
	h := s.addReadyHost()
	forged := []string{"Tenant", "Hold", "Pin-Ms", "Kv-From", "Kv-Backup", "Kv-Fetch", "Expect-Instance", "Expect-Version", "Request-Urgency"}
	header := map[string]string{"Connection": "X-Private", "X-Private": "forged", "X-Kept": "kept"}
	for _, name := range forged {
		header[name] = "forged"
	}
	if a := h.send(hostedRequest{Target: streamingPath, Key: deskKey, Header: header}); a.status != http.StatusOK {
		t.Fatalf("answer: %+v", a)
	}
	run := lm.Executions()[0]
	for _, name := range append(forged, "X-Private") {
		if run.Header.Get(name) == "forged" {
			t.Errorf("the engine got %s from the client", name)
		}
	}
	if run.Header.Get("X-Kept") != "kept" || run.Tenant != deskName {
		t.Errorf("run: %+v", run.Header)
	}
}

// TestHostedRefusals sends requests that are invalid or have no valid key. Each must be refused
// with the right status, without an engine's signature, and without reaching an engine.
func TestHostedRefusals(t *testing.T) {
	s := newSite(t)
	app := s.addEngine(hosting.Config{ID: "i-app", Service: plainService})
	h := s.addReadyHost()
	cases := []struct {
		name   string
		q      hostedRequest
		status int
	}{
		{"unknown path", hostedRequest{Target: "/nothing/", Key: deskKey}, http.StatusNotFound},
		{"unknown key", hostedRequest{Target: nonIdempotentPath, Key: "other"}, http.StatusUnauthorized},
		{"no key", hostedRequest{Target: nonIdempotentPath}, http.StatusUnauthorized},
		{"bad deadline", hostedRequest{Target: nonIdempotentPath, Key: deskKey, Header: map[string]string{"Deadline-Ms": "soon"}}, http.StatusBadRequest},
		{"bad tokens", hostedRequest{Target: nonIdempotentPath, Key: deskKey, Header: map[string]string{"Token-Count": "a,b"}}, http.StatusBadRequest},
		{"bad event number", hostedRequest{Target: streamingPath, Key: deskKey, Header: map[string]string{"Last-Event-Id": "-4"}}, http.StatusBadRequest},
		{"large body", hostedRequest{Target: nonIdempotentPath, Key: deskKey, Body: strings.Repeat("x", 1<<17)}, http.StatusRequestEntityTooLarge},
		{"large header", hostedRequest{Target: nonIdempotentPath, Key: deskKey, Header: map[string]string{"X-Large": strings.Repeat("x", 1<<16)}}, http.StatusRequestHeaderFieldsTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := h.send(c.q)
			if a.status != c.status || a.header.Get("Response-Stamp") != "" {
				t.Errorf("got %d %v (%v), want %d without a signature", a.status, a.body, a.err, c.status)
			}
		})
	}
	if n := app.Received(); n != 0 {
		t.Errorf("%d refused requests reached the engine", n)
	}
}

// TestPostingsRunAtMostOnce lets an engine fail in each of its ways while it has a non-idempotent
// request. The request must run at most once, and a status that means "not run" may only be given
// if it has not run.
func TestPostingsRunAtMostOnce(t *testing.T) {
	cases := []struct {
		how    hosting.Behaviour
		name   string
		status int
		runs   int
	}{
		{hosting.Refuse, "refused", http.StatusOK, 1},
		{hosting.Misdirect, "address taken over", http.StatusOK, 1},
		{hosting.Fail, "failed", http.StatusInternalServerError, 1},
		{hosting.CloseUnanswered, "answer lost", http.StatusBadGateway, 1},
		{hosting.TruncateAnswer, "answer cut", http.StatusBadGateway, 1},
		{hosting.OmitSignature, "not signed", http.StatusBadGateway, 1},
		{hosting.EncodeUnasked, "encoded", http.StatusBadGateway, 1},
		{hosting.OmitLength, "no length", http.StatusOK, 1},
		{hosting.AnswerWrongRequest, "late answer of another request first", http.StatusOK, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t)
			first, one := true, s.addEngine(hosting.Config{ID: "i-1", Service: plainService})
			other := s.addEngine(hosting.Config{ID: "i-2", Service: plainService})
			failFirst := func(*http.Request) hosting.Behaviour {
				if first {
					first = false
					return c.how
				}
				return hosting.Serve
			}
			one.SetBehaviour(failFirst)
			other.SetBehaviour(failFirst)
			h := s.addReadyHost()
			a := h.send(hostedRequest{Target: nonIdempotentPath, Key: deskKey})
			if a.status != c.status {
				t.Errorf("status %d (%v) %q, want %d", a.status, a.err, a.body, c.status)
			}
			if runs := len(one.Executions()) + len(other.Executions()); runs != c.runs {
				t.Errorf("%d runs, want %d", runs, c.runs)
			}
		})
	}
}

// TestLookupsAreRepeated sends idempotent requests beside an engine that fails in each of its
// ways. The daemon must repeat them at the other engine, whose answer must reach the client.
func TestLookupsAreRepeated(t *testing.T) {
	for _, how := range []hosting.Behaviour{hosting.Refuse, hosting.Fail, hosting.CloseUnanswered, hosting.TruncateAnswer, hosting.OmitSignature, hosting.EncodeUnasked} {
		t.Run(fmt.Sprint(how), func(t *testing.T) {
			s := newSite(t)
			bad := s.addEngine(hosting.Config{ID: "i-bad", Service: plainService})
			bad.SetBehaviour(func(*http.Request) hosting.Behaviour { return how })
			s.addEngine(hosting.Config{ID: "i-good", Service: plainService})
			h := s.addReadyHost()
			for range 6 {
				if a := h.send(hostedRequest{Method: http.MethodGet, Target: idempotentPath, Key: deskKey}); a.status != http.StatusOK || a.body != "answer of i-good" {
					t.Fatalf("answer: %+v", a)
				}
			}
		})
	}
}

// TestReadinessWaitsForTheWholeList guards against a daemon that reports ready before it has
// taken in the whole list of engines. A daemon that started beside many engines was ready after
// the first of them; the balancer sent requests at once, and those that needed another, listed
// engine failed with 502.
func TestReadinessWaitsForTheWholeList(t *testing.T) {
	const engines = 1500
	s := newSite(t)
	for n := range engines {
		id := fmt.Sprintf("i-%04d", n)
		s.store.Write(platform.EndpointKind, id, hosting.NewEngine(hosting.Config{
			ID: id, Service: plainService, Zone: "hall-a", Address: fmt.Sprintf("127.250.%d.%d:8080", n/200, n%200+1),
		}).Record("ready"))
	}
	h := s.addHost()
	// Polls without a pause, since a single check may come only after the whole list.
	for until := time.Now().Add(waitTimeout); h.checkReadiness(http.StatusOK) != nil; {
		if time.Now().After(until) {
			t.Fatal("never ready")
		}
	}
	if n := len(h.view(t).Endpoints); n != engines {
		t.Errorf("ready with %d of %d engines", n, engines)
	}
}

// TestSecondAnswersReachNobody lets an engine send a second answer after a complete one, on a
// connection that the daemon keeps. The daemon must check for such data before it uses the
// connection again, or the next client gets the answer to another request.
func TestSecondAnswersReachNobody(t *testing.T) {
	s := newSite(t)
	app := s.addEngine(hosting.Config{ID: "i-app", Service: plainService})
	app.SetBehaviour(func(*http.Request) hosting.Behaviour { return hosting.AnswerTwice })
	h := s.addReadyHost()
	for range 10 {
		if a := h.send(hostedRequest{Target: nonIdempotentPath, Key: deskKey}); a.body != app.AnswerBody() {
			t.Fatalf("answer: %+v", a)
		}
	}
	if n := len(app.Executions()); n != 10 {
		t.Errorf("%d runs of ten requests", n)
	}
}

// TestBrokenStreams lets an engine break off in the middle of an event. A resumable stream must
// continue at another engine after its last complete event, and the client gets each event once.
// A stream that is not resumable must end visibly cut, never as if it were complete.
func TestBrokenStreams(t *testing.T) {
	for _, resumable := range []bool{true, false} {
		t.Run(fmt.Sprintf("resumable %v", resumable), func(t *testing.T) {
			s := newSite(t)
			s.configure(func(c *hostedConfig) { c.Routes[0].Resumable = resumable })
			bad := s.addEngine(hosting.Config{ID: "i-bad", Service: modelService, StreamLength: 10})
			broken := false
			breakOnce := func(*http.Request) hosting.Behaviour {
				if broken {
					return hosting.Serve
				}
				broken = true
				return hosting.TruncateAnswer
			}
			bad.SetBehaviour(breakOnce)
			good := s.addEngine(hosting.Config{ID: "i-good", Service: modelService, StreamLength: 10})
			good.SetBehaviour(breakOnce)
			h := s.addReadyHost()
			a := h.send(hostedRequest{Target: streamingPath, Key: deskKey})
			if resumable && (a.err != nil || a.body != streamText(10)) {
				t.Fatalf("answer: %+v", a)
			}
			if !resumable && (a.err == nil || !strings.HasPrefix(streamText(10), a.body)) {
				t.Fatalf("answer: %+v", a)
			}
			if runs := len(bad.Executions()) + len(good.Executions()); resumable && runs != 2 || !resumable && runs != 1 {
				t.Errorf("%d runs", runs)
			}
		})
	}
}

// TestEnginesLearnThatTheClientLeft closes a client's connection while the engine runs its
// request. The daemon must cancel the request, or the engine works on it until the deadline for
// nothing.
func TestEnginesLearnThatTheClientLeft(t *testing.T) {
	s := newSite(t)
	app := s.addEngine(hosting.Config{ID: "i-app", Service: plainService})
	app.SetBehaviour(func(*http.Request) hosting.Behaviour { return hosting.HoldUntilRelease })
	h := s.addReadyHost()
	c := dialHost(t, h)
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: leaver\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", nonIdempotentPath, hostedDomain, deskKey)
	eventually(t, "the engine runs the request", func() error { return checkEqual("held", app.HeldCount(), 1) })
	_ = c.Close()
	eventually(t, "the engine has cancelled the request", func() error { return checkEqual("held", app.HeldCount(), 0) })
}

// TestWatchesAreShort lets the store compact its history while watches are open. They stay open
// and deliver nothing; without another change, the daemon learns of the change only when the
// watch ends. So no watch may ask to wait as long as a change may take to be applied (2 s).
func TestWatchesAreShort(t *testing.T) {
	s := newSite(t)
	s.addEngine(hosting.Config{ID: "i-app", Service: plainService})
	h := s.addReadyHost()
	version := 0
	s.store.Compact(func() {
		s.configure(func(*hostedConfig) {})
		version = s.config.Version
	})
	eventually(t, "in force", func() error { return checkEqual("configuration", h.configurationInForce(), version) })
	for _, c := range s.store.Calls() {
		if c.Wait >= 2*time.Second {
			t.Fatalf("a watch of %s waits %v", c.Kind, c.Wait)
		}
	}
}

// TestDaemonsTellEachOther lets the store fail for one of two daemons. Changes must reach that
// daemon by gossip from the other one: otherwise it would go on to accept API keys that were
// taken away, and to use an engine that is leaving.
func TestDaemonsTellEachOther(t *testing.T) {
	for name, fault := range map[string]hosting.Fault{"busy": hosting.Unavailable, "many": hosting.TooManyRequests, "reset": hosting.ResetConnection, "silent": hosting.NeverAnswer} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			app := s.addEngine(hosting.Config{ID: "i-1", Service: plainService})
			s.addEngine(hosting.Config{ID: "i-2", Service: plainService})
			a, b := s.addReadyHost(), s.addReadyHost()
			s.store.SetFault(func(c hosting.Call) hosting.Fault {
				if c.Caller == b.name {
					return fault
				}
				return hosting.NoFault
			})
			s.configure(func(c *hostedConfig) { c.Tenants[0].ApiKeys = []string{"new-key"} })
			for _, h := range []*gatewayHost{a, b} {
				eventually(t, h.name, func() error {
					return checkEqual("old key", h.send(hostedRequest{Target: nonIdempotentPath, Key: deskKey}).status, http.StatusUnauthorized)
				})
			}
			s.store.Write(platform.EndpointKind, "i-1", app.Record("draining"))
			eventually(t, "leaving known", func() error {
				for _, line := range append(b.logLines("endpoint leaving"), b.logLines("endpoint listed")...) {
					if line["endpoint"] == "i-1" && line["state"] != "live" {
						return nil
					}
				}
				return fmt.Errorf("%s does not know that i-1 leaves", b.name)
			})
			before := app.Received()
			for range 10 {
				if got := b.send(hostedRequest{Target: nonIdempotentPath, Key: "new-key"}); got.status != http.StatusOK {
					t.Fatalf("answer: %+v", got)
				}
			}
			if got := app.Received(); got != before {
				t.Errorf("%d requests reached the leaving engine", got-before)
			}
		})
	}
}

// TestStartWithoutTheStore starts a daemon while the store does not answer. The daemon knows no
// routes and no keys: a 404 or 401 would be wrong, and clients do not retry after it. It must
// answer 503 until it gets the configuration from the store or a peer.
func TestStartWithoutTheStore(t *testing.T) {
	s := newSite(t)
	s.addEngine(hosting.Config{ID: "i-app", Service: plainService})
	s.store.SetFault(func(hosting.Call) hosting.Fault { return hosting.Unavailable })
	alone := s.addHost()
	eventually(t, "answers", func() error {
		return checkEqual("status", alone.send(hostedRequest{Target: nonIdempotentPath, Key: deskKey}).status, http.StatusServiceUnavailable)
	})
	if err := alone.checkReadiness(http.StatusServiceUnavailable); err != nil {
		t.Error(err)
	}
	s.store.SetFault(nil)
	alone.awaitReady()
	s.store.SetFault(func(hosting.Call) hosting.Fault { return hosting.ResetConnection })
	second := s.addReadyHost()
	if a := second.send(hostedRequest{Target: nonIdempotentPath, Key: deskKey}); a.status != http.StatusOK {
		t.Errorf("answer: %+v", a)
	}
}

// TestHangUpReadsTheSettingsAgain sends SIGHUP, by which the platform says that the settings have
// changed. A process that does not handle the signal ends, with every request in flight.
func TestHangUpReadsTheSettingsAgain(t *testing.T) {
	s := newSite(t)
	s.addEngine(hosting.Config{ID: "i-app", Service: plainService})
	h := s.addReadyHost()
	h.writeSettings("")
	other := s.addHost()
	h.writeSettings("# a new seed")
	h.signal(syscall.SIGHUP)
	eventually(t, "read again", func() error {
		if len(h.logLines("settings reloaded")) == 0 {
			return fmt.Errorf("not read")
		}
		return nil
	})
	other.awaitReady()
	if a := h.send(hostedRequest{Target: nonIdempotentPath, Key: deskKey}); a.status != http.StatusOK {
		t.Errorf("answer: %+v", a)
	}
}

// TestStopCutsNothingOff stops a daemon that runs requests and has idle client connections. It
// must answer all requests that it has read, tell kept connections to close, and serve new
// connections until the balancer has seen that it is not ready.
func TestStopCutsNothingOff(t *testing.T) {
	s := newSite(t)
	app := s.addEngine(hosting.Config{ID: "i-app", Service: plainService})
	h := s.addReadyHost()
	kept := dialHost(t, h)
	once := func(id string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", nonIdempotentPath, hostedDomain, id, deskKey)
	}
	if _, closing := exchange(t, kept, once("before")); closing {
		t.Fatal("the connection closes before the stop")
	}
	app.SetBehaviour(func(*http.Request) hosting.Behaviour { return hosting.HoldUntilRelease })
	held := make(chan hostedAnswer, 1)
	go func() { held <- h.send(hostedRequest{Target: nonIdempotentPath, Key: deskKey}) }()
	eventually(t, "the engine runs the request", func() error { return checkEqual("held", app.HeldCount(), 1) })
	h.signal(syscall.SIGTERM)
	eventually(t, "not ready", func() error { return h.checkReadiness(http.StatusServiceUnavailable) })
	app.SetBehaviour(func(*http.Request) hosting.Behaviour { return hosting.Serve })
	if status, closing := exchange(t, kept, once("after")); status != http.StatusOK || !closing {
		t.Errorf("kept connection: status %d, closing %v", status, closing)
	}
	if a := h.send(hostedRequest{Target: nonIdempotentPath, Key: deskKey}); a.status != http.StatusOK {
		t.Errorf("new connection: %+v", a)
	}
	app.Release()
	if a := <-held; a.status != http.StatusOK {
		t.Errorf("held request: %+v", a)
	}
	h.awaitExit()
}

// TestSilentEngines lets an engine accept requests and never answer. The daemon must move an
// idempotent request to another engine long before the client gives up.
func TestSilentEngines(t *testing.T) {
	s := newSite(t)
	silent := s.addEngine(hosting.Config{ID: "i-dark", Service: plainService})
	silent.SetBehaviour(func(*http.Request) hosting.Behaviour { return hosting.HoldUntilRelease })
	s.addEngine(hosting.Config{ID: "i-good", Service: plainService})
	h := s.addReadyHost()
	for range 6 {
		if a := h.send(hostedRequest{Method: http.MethodGet, Target: idempotentPath, Key: deskKey}); a.status != http.StatusOK || a.body != "answer of i-good" {
			t.Fatalf("answer: %+v", a)
		}
	}
	eventually(t, "no request is left at the silent engine", func() error { return checkEqual("held", silent.HeldCount(), 0) })
}

// TestBlockedOutputHoldsUpNoRequest starts a daemon whose standard output is a pipe that nobody
// reads. The pipe is full after a few lines, and every write to it blocks; requests must be
// served all the same.
func TestBlockedOutputHoldsUpNoRequest(t *testing.T) {
	s := newSite(t)
	s.addEngine(hosting.Config{ID: "i-app", Service: plainService})
	h := s.addHost()
	h.kill()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reader.Close() }()
	const smallestPipe = 4096
	if _, err := unix.FcntlInt(writer.Fd(), unix.F_SETPIPE_SZ, smallestPipe); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "gateway")
	cmd.Env = append(os.Environ(), roleEnv+"=brasschute", platform.SettingsFileVariable+"="+h.file)
	cmd.Stdout = writer
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}()
	h.awaitReady()
	for n := range 100 {
		if a := h.send(hostedRequest{Target: "/nothing/", Key: deskKey}); a.status != http.StatusNotFound {
			t.Fatalf("refused request %d: %+v", n, a)
		}
		if a := h.send(hostedRequest{Target: nonIdempotentPath, Key: deskKey}); a.status != http.StatusOK {
			t.Fatalf("request %d: %+v", n, a)
		}
	}
}

// TestEngineThatStartsAgainUnderItsID ends an engine that runs a non-idempotent request, and
// starts it again with the same id and address. The new incarnation would accept the same
// request; but the request may have run, so it must not be sent again, and the client must not be
// told that it has not run. The new incarnation must serve as soon as it is listed.
func TestEngineThatStartsAgainUnderItsID(t *testing.T) {
	s := newSite(t)
	e := s.addEngine(hosting.Config{ID: "i-1", Service: plainService, StartedUnixMilli: 1000})
	held := true
	e.SetBehaviour(func(*http.Request) hosting.Behaviour {
		if held {
			return hosting.HoldUntilRelease
		}
		return hosting.Serve
	})
	h := s.addReadyHost()
	answer := make(chan hostedAnswer)
	go func() { answer <- h.send(hostedRequest{ID: "posting", Target: nonIdempotentPath, Key: deskKey}) }()
	eventually(t, "the engine runs the posting", func() error { return checkEqual("held", e.HeldCount(), 1) })
	held = false
	e.Restart()
	if a := <-answer; a.status != http.StatusBadGateway {
		t.Errorf("status %d %q, whether the posting has run is not known", a.status, a.body)
	}
	if runs := len(e.Executions()); runs != 1 {
		t.Errorf("%d runs of the posting", runs)
	}
	s.store.Write(platform.EndpointKind, "i-1", e.Record("ready"))
	eventually(t, "the new process serves", func() error {
		return checkEqual("status", h.send(hostedRequest{Target: nonIdempotentPath, Key: deskKey}).status, http.StatusOK)
	})
	eventually(t, "both incarnations are listed", func() error {
		incarnations := make(map[any]bool)
		for _, line := range h.logLines("endpoint listed") {
			incarnations[line["born"]] = true
		}
		return checkEqual("incarnations", len(incarnations), 2)
	})
}

// Guards against requests that were sent to an endpoint and whose connections close without an answer when a stopping
// daemon ends.
func TestStopAnswersRequestsWithoutAnAnswer(t *testing.T) {
	s := newSite(t)
	e := s.addEngine(hosting.Config{ID: "i-app", Service: plainService})
	e.SetBehaviour(func(*http.Request) hosting.Behaviour { return hosting.HoldUntilRelease })
	defer e.Release()
	h := s.addReadyHost()
	answers := make(chan hostedAnswer, 2)
	for _, path := range []string{nonIdempotentPath, idempotentPath} {
		go func() { answers <- h.send(hostedRequest{Target: path + "x", Key: deskKey}) }()
	}
	eventually(t, "both requests run", func() error { return checkEqual("requests", e.Received(), 2) })
	h.signal(syscall.SIGTERM)
	for range cap(answers) {
		a := <-answers
		if a.err != nil || a.status != http.StatusBadGateway || !containsText(a.body, "stopping") {
			t.Errorf("status %d, %s, %v", a.status, a.body, a.err)
		}
	}
	h.awaitExit()
}

// Guards against a request whose target reaches the endpoint changed.
func TestTargetReachesTheEndpointUnchanged(t *testing.T) {
	s := newSite(t)
	e := s.addEngine(hosting.Config{ID: "i-app", Service: plainService})
	s.configure(func(c *hostedConfig) {
		c.Routes = append(c.Routes, hostedRoute{Name: "rest", Host: hostedDomain, PathPrefix: "/", Kind: "idempotent", Service: plainService, TimeoutMs: 10000, SloMs: 500, MaxAttempts: 1})
	})
	h := s.addReadyHost()
	for i, target := range []string{"//ledger/7?page=7", "///a", "/a%2Fb//c;d=e?x=%20&y", "/a/../b/./c", `/"quoted"/{a}|b`, "/a?b?c=//d", "/%7Euser/%c3%a9"} {
		id := fmt.Sprintf("target-%d", i)
		status, _ := exchange(t, dialHost(t, h), fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\n\r\n", target, hostedDomain, id, deskKey))
		runs := e.Executions()
		if status != http.StatusOK || runs[len(runs)-1].Target != target {
			t.Errorf("%s: status %d, the endpoint ran %v", target, status, runs[len(runs)-1].Target)
		}
	}
}

// Guards against a request that runs at the service of another route, as its path begins with the prefix of that one only once
// it is decoded.
func TestRouteIsThatOfThePathAsEncoded(t *testing.T) {
	s := newSite(t)
	const openService, closedService = "ledger", "closed-ledger"
	engines := map[string]*hosting.Engine{openService: s.addEngine(hosting.Config{ID: "i-open", Service: openService}), closedService: s.addEngine(hosting.Config{ID: "i-closed", Service: closedService})}
	s.configure(func(c *hostedConfig) {
		for prefix, service := range map[string]string{"/ledger/": openService, "/ledger/closed/": closedService, "/caf%c3%A9/": closedService} {
			c.Routes = append(c.Routes, hostedRoute{Name: service + prefix, Host: hostedDomain, PathPrefix: prefix, Kind: "idempotent", Service: service, TimeoutMs: 10000, SloMs: 500, MaxAttempts: 1})
		}
	})
	h := s.addReadyHost()
	for target, service := range map[string]string{
		"/ledger/17": openService, "/ledger/closed": openService, "/ledger/closed%2F17?page=2": openService, "/ledger/closed%2f17": openService,
		"/ledger%2Fclosed/17": "", "/ledger/closed/17": closedService, "/ledger/closed/a%2Fb": closedService, "/ledger/%63losed/17": closedService,
		"/l%65dger/closed%2F/17": openService, "/caf%C3%a9/1": closedService, "/ledger/?x=/ledger/closed/": openService,
		"http://" + hostedDomain + "/ledger/closed%2F17": openService,
	} {
		before := make(map[string]int)
		for name, e := range engines {
			before[name] = e.Received()
		}
		status, _ := exchange(t, dialHost(t, h), fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: path-%d\r\nAuthorization: Bearer %s\r\n\r\n", target, hostedDomain, requestCount.Add(1), deskKey))
		if service == "" && status != http.StatusNotFound || service != "" && status != http.StatusOK {
			t.Errorf("%s: status %d", target, status)
		}
		for name, e := range engines {
			if ran := e.Received() > before[name]; ran != (name == service) {
				t.Errorf("%s: ran at %s: %v, want %q", target, name, ran, service)
			}
		}
	}
}
