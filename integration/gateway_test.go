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

func TestHostedRequestsAreServed(t *testing.T) {
	s := newSite(t)
	lm := s.engine(hosting.Config{ID: "i-lm", Service: modelService, StreamLength: 12})
	app := s.engine(hosting.Config{ID: "i-app", Service: plainService})
	h := s.host()
	stream := h.send(hostedRequest{Target: streamPath + "a?b=c", Key: deskKey, Body: "text", Header: map[string]string{"Token-Count": "100,24"}})
	if stream.err != nil || stream.status != http.StatusOK || stream.body != streamText(12) {
		t.Fatalf("stream: %+v", stream)
	}
	if got := stream.header.Get("Response-Stamp"); got != "stamp-i-lm" {
		t.Errorf("signature %q", got)
	}
	run := lm.Executions()[0]
	if run.Tenant != deskName || run.Target != streamPath+"a?b=c" || run.Body != "text" || run.Header.Get("Authorization") != "" {
		t.Errorf("run: %+v", run)
	}
	plain := h.send(hostedRequest{Target: onceTarget, Key: deskKey})
	if plain.err != nil || plain.body != app.AnswerBody() {
		t.Errorf("plain: %+v", plain)
	}
}

// A client could act for another organisation, take an engine's reserved
// memory, or read on in another's run, by sending the headers that are the
// daemon's to set. None of them may reach an engine as the client wrote it.
func TestHeadersOfTheDaemonCannotBeForged(t *testing.T) {
	s := newSite(t)
	lm := s.engine(hosting.Config{ID: "i-lm", Service: modelService, StreamLength: 1})
	h := s.host()
	forged := []string{"Tenant", "Hold", "Pin-Ms", "Kv-From", "Kv-Backup", "Kv-Fetch", "Expect-Instance", "Expect-Version", "Request-Urgency"}
	header := map[string]string{"Connection": "X-Private", "X-Private": "forged", "X-Kept": "kept"}
	for _, name := range forged {
		header[name] = "forged"
	}
	if a := h.send(hostedRequest{Target: streamPath, Key: deskKey, Header: header}); a.status != http.StatusOK {
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

func TestHostedRefusals(t *testing.T) {
	s := newSite(t)
	app := s.engine(hosting.Config{ID: "i-app", Service: plainService})
	h := s.host()
	cases := []struct {
		name   string
		q      hostedRequest
		status int
	}{
		{"unknown path", hostedRequest{Target: "/nothing/", Key: deskKey}, http.StatusNotFound},
		{"unknown key", hostedRequest{Target: onceTarget, Key: "other"}, http.StatusUnauthorized},
		{"no key", hostedRequest{Target: onceTarget}, http.StatusUnauthorized},
		{"bad deadline", hostedRequest{Target: onceTarget, Key: deskKey, Header: map[string]string{"Deadline-Ms": "soon"}}, http.StatusBadRequest},
		{"bad tokens", hostedRequest{Target: onceTarget, Key: deskKey, Header: map[string]string{"Token-Count": "a,b"}}, http.StatusBadRequest},
		{"bad event number", hostedRequest{Target: streamPath, Key: deskKey, Header: map[string]string{"Last-Event-Id": "-4"}}, http.StatusBadRequest},
		{"large body", hostedRequest{Target: onceTarget, Key: deskKey, Body: strings.Repeat("x", 1<<17)}, http.StatusRequestEntityTooLarge},
		{"large header", hostedRequest{Target: onceTarget, Key: deskKey, Header: map[string]string{"X-Large": strings.Repeat("x", 1<<16)}}, http.StatusRequestHeaderFieldsTooLarge},
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

// An engine fails in each of its ways while a posting is under way that opens a
// bond. The posting must run at most once, and a status that promises "not run"
// may only come if it did not run.
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
			first, second := true, s.engine(hosting.Config{ID: "i-1", Service: plainService})
			other := s.engine(hosting.Config{ID: "i-2", Service: plainService})
			once := func(*http.Request) hosting.Behaviour {
				if first {
					first = false
					return c.how
				}
				return hosting.Serve
			}
			second.SetBehaviour(once)
			other.SetBehaviour(once)
			h := s.host()
			a := h.send(hostedRequest{Target: onceTarget, Key: deskKey})
			if a.status != c.status {
				t.Errorf("status %d (%v) %q, want %d", a.status, a.err, a.body, c.status)
			}
			if runs := len(second.Executions()) + len(other.Executions()); runs != c.runs {
				t.Errorf("%d runs, want %d", runs, c.runs)
			}
		})
	}
}

// A lookup may be repeated: whatever one engine does to it, the other's answer
// reaches the client.
func TestLookupsAreRepeated(t *testing.T) {
	for _, how := range []hosting.Behaviour{hosting.Refuse, hosting.Fail, hosting.CloseUnanswered, hosting.TruncateAnswer, hosting.OmitSignature, hosting.EncodeUnasked} {
		t.Run(fmt.Sprint(how), func(t *testing.T) {
			s := newSite(t)
			bad := s.engine(hosting.Config{ID: "i-bad", Service: plainService})
			bad.SetBehaviour(func(*http.Request) hosting.Behaviour { return how })
			s.engine(hosting.Config{ID: "i-good", Service: plainService})
			h := s.host()
			for range 6 {
				if a := h.send(hostedRequest{Method: http.MethodGet, Target: againPath, Key: deskKey}); a.status != http.StatusOK || a.body != "answer of i-good" {
					t.Fatalf("answer: %+v", a)
				}
			}
		})
	}
}

// A daemon starts beside many engines. It said that it was ready once the first of
// them was taken in; the balancer sent requests at once, and those that needed
// another engine failed with 502 although it was listed. Readiness must wait for
// the whole list.
func TestReadinessWaitsForTheWholeList(t *testing.T) {
	const engines = 1500
	s := newSite(t)
	for n := range engines {
		id := fmt.Sprintf("i-%04d", n)
		s.store.Write(platform.EndpointKind, id, hosting.NewEngine(hosting.Config{
			ID: id, Service: plainService, Zone: "hall-a", Address: fmt.Sprintf("127.250.%d.%d:8080", n/200, n%200+1),
		}).Record("ready"))
	}
	h := s.unready()
	// Asked without a pause, as a single question may come after the list.
	for until := time.Now().Add(patience); h.ready(http.StatusOK) != nil; {
		if time.Now().After(until) {
			t.Fatal("never ready")
		}
	}
	if n := len(h.beliefs(t).Endpoints); n != engines {
		t.Errorf("ready with %d of %d engines", n, engines)
	}
}

// An engine sends a second answer after a whole one, on a connection that the
// daemon keeps. The next client would get the answer to another request if the
// connection were used again without a look at what arrived on it.
func TestSecondAnswersReachNobody(t *testing.T) {
	s := newSite(t)
	app := s.engine(hosting.Config{ID: "i-app", Service: plainService})
	app.SetBehaviour(func(*http.Request) hosting.Behaviour { return hosting.AnswerTwice })
	h := s.host()
	for range 10 {
		if a := h.send(hostedRequest{Target: onceTarget, Key: deskKey}); a.body != app.AnswerBody() {
			t.Fatalf("answer: %+v", a)
		}
	}
	if n := len(app.Executions()); n != 10 {
		t.Errorf("%d runs of ten requests", n)
	}
}

// An engine dies in the middle of an event. A letter goes on at another engine
// after its last whole event, and the client sees each event once; a stream that
// may not be resumed ends visibly cut, never as if it were complete.
func TestBrokenStreams(t *testing.T) {
	for _, resumable := range []bool{true, false} {
		t.Run(fmt.Sprintf("resumable %v", resumable), func(t *testing.T) {
			s := newSite(t)
			s.configure(func(c *hostedConfig) { c.Routes[0].Resumable = resumable })
			bad := s.engine(hosting.Config{ID: "i-bad", Service: modelService, StreamLength: 10})
			broken := false
			breakOnce := func(*http.Request) hosting.Behaviour {
				if broken {
					return hosting.Serve
				}
				broken = true
				return hosting.TruncateAnswer
			}
			bad.SetBehaviour(breakOnce)
			good := s.engine(hosting.Config{ID: "i-good", Service: modelService, StreamLength: 10})
			good.SetBehaviour(breakOnce)
			h := s.host()
			a := h.send(hostedRequest{Target: streamPath, Key: deskKey})
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

// A client leaves while its engine is at work. The engine must learn of it, or
// it works for nobody until the deadline.
func TestEnginesLearnThatTheClientLeft(t *testing.T) {
	s := newSite(t)
	app := s.engine(hosting.Config{ID: "i-app", Service: plainService})
	app.SetBehaviour(func(*http.Request) hosting.Behaviour { return hosting.HoldUntilRelease })
	h := s.host()
	c := dialHost(t, h)
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: leaver\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", onceTarget, hostedDomain, deskKey)
	eventually(t, "the engine works", func() error { return want("held", app.HeldCount(), 1) })
	_ = c.Close()
	eventually(t, "the engine learns", func() error { return want("held", app.HeldCount(), 0) })
}

// The store drops its history while watches are open: they stay open and hear
// nothing, and without another change nobody would learn of this one until the
// watch ends. So no watch may ask to wait as long as a change may take.
func TestWatchesAreShort(t *testing.T) {
	s := newSite(t)
	s.engine(hosting.Config{ID: "i-app", Service: plainService})
	h := s.host()
	version := 0
	s.store.Compact(func() {
		s.configure(func(*hostedConfig) {})
		version = s.config.Version
	})
	eventually(t, "in force", func() error { return want("configuration", h.inForce(), version) })
	for _, c := range s.store.Calls() {
		if c.Wait >= 2*time.Second {
			t.Fatalf("a watch of %s waits %v", c.Kind, c.Wait)
		}
	}
}

// The store turns one daemon away and serves the other. A change reaches the
// other's clients at once, and the first one's only if the daemons tell each
// other: keys that were taken away would go on to work there.
func TestDaemonsTellEachOther(t *testing.T) {
	for name, fault := range map[string]hosting.Fault{"busy": hosting.Unavailable, "many": hosting.TooManyRequests, "reset": hosting.ResetConnection, "silent": hosting.NeverAnswer} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			app := s.engine(hosting.Config{ID: "i-1", Service: plainService})
			s.engine(hosting.Config{ID: "i-2", Service: plainService})
			a, b := s.host(), s.host()
			s.store.SetFault(func(c hosting.Call) hosting.Fault {
				if c.Caller == b.name {
					return fault
				}
				return hosting.NoFault
			})
			s.configure(func(c *hostedConfig) { c.Tenants[0].ApiKeys = []string{"new-key"} })
			for _, h := range []*gatewayHost{a, b} {
				eventually(t, h.name, func() error {
					return want("old key", h.send(hostedRequest{Target: onceTarget, Key: deskKey}).status, http.StatusUnauthorized)
				})
			}
			s.store.Write(platform.EndpointKind, "i-1", app.Record("draining"))
			eventually(t, "leaving known", func() error {
				for _, line := range append(b.lines("endpoint leaving"), b.lines("endpoint listed")...) {
					if line["endpoint"] == "i-1" && line["state"] != "live" {
						return nil
					}
				}
				return fmt.Errorf("%s does not know that i-1 leaves", b.name)
			})
			before := app.Received()
			for range 10 {
				if got := b.send(hostedRequest{Target: onceTarget, Key: "new-key"}); got.status != http.StatusOK {
					t.Fatalf("answer: %+v", got)
				}
			}
			if got := app.Received(); got != before {
				t.Errorf("%d requests reached the leaving engine", got-before)
			}
		})
	}
}

// A daemon starts while the store does not answer. It knows no routes and no
// keys: to answer 404 or 401 would be a lie that clients do not repeat after.
// It says 503 until a peer tells it what it needs.
func TestStartWithoutTheStore(t *testing.T) {
	s := newSite(t)
	s.engine(hosting.Config{ID: "i-app", Service: plainService})
	s.store.SetFault(func(hosting.Call) hosting.Fault { return hosting.Unavailable })
	alone := s.unready()
	eventually(t, "answers", func() error {
		return want("status", alone.send(hostedRequest{Target: onceTarget, Key: deskKey}).status, http.StatusServiceUnavailable)
	})
	if err := alone.ready(http.StatusServiceUnavailable); err != nil {
		t.Error(err)
	}
	s.store.SetFault(nil)
	alone.awaitReady()
	s.store.SetFault(func(hosting.Call) hosting.Fault { return hosting.ResetConnection })
	second := s.host()
	if a := second.send(hostedRequest{Target: onceTarget, Key: deskKey}); a.status != http.StatusOK {
		t.Errorf("answer: %+v", a)
	}
}

// The platform says by SIGHUP that the settings have changed. A process that
// does not handle the signal ends, and with it every request in flight.
func TestHangUpReadsTheSettingsAgain(t *testing.T) {
	s := newSite(t)
	s.engine(hosting.Config{ID: "i-app", Service: plainService})
	h := s.host()
	h.writeSettings("")
	other := s.unready()
	h.writeSettings("# a new seed")
	h.signal(syscall.SIGHUP)
	eventually(t, "read again", func() error {
		if len(h.lines("settings reloaded")) == 0 {
			return fmt.Errorf("not read")
		}
		return nil
	})
	other.awaitReady()
	if a := h.send(hostedRequest{Target: onceTarget, Key: deskKey}); a.status != http.StatusOK {
		t.Errorf("answer: %+v", a)
	}
}

// A daemon is stopped while it answers requests and clients keep connections
// open. What it has read is answered; kept connections are told to close; new
// connections are served until the balancer has seen that it is not ready.
func TestStopCutsNothingOff(t *testing.T) {
	s := newSite(t)
	app := s.engine(hosting.Config{ID: "i-app", Service: plainService})
	h := s.host()
	kept := dialHost(t, h)
	once := func(id string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", onceTarget, hostedDomain, id, deskKey)
	}
	if _, closing := exchange(t, kept, once("before")); closing {
		t.Fatal("the connection closes before the stop")
	}
	app.SetBehaviour(func(*http.Request) hosting.Behaviour { return hosting.HoldUntilRelease })
	held := make(chan hostedAnswer, 1)
	go func() { held <- h.send(hostedRequest{Target: onceTarget, Key: deskKey}) }()
	eventually(t, "the engine works", func() error { return want("held", app.HeldCount(), 1) })
	h.signal(syscall.SIGTERM)
	eventually(t, "not ready", func() error { return h.ready(http.StatusServiceUnavailable) })
	app.SetBehaviour(func(*http.Request) hosting.Behaviour { return hosting.Serve })
	if status, closing := exchange(t, kept, once("after")); status != http.StatusOK || !closing {
		t.Errorf("kept connection: status %d, closing %v", status, closing)
	}
	if a := h.send(hostedRequest{Target: onceTarget, Key: deskKey}); a.status != http.StatusOK {
		t.Errorf("new connection: %+v", a)
	}
	app.Release()
	if a := <-held; a.status != http.StatusOK {
		t.Errorf("held request: %+v", a)
	}
	h.stopped()
}

// An engine goes dark: it takes requests and never answers. A lookup goes to
// another engine long before its client would give up.
func TestSilentEngines(t *testing.T) {
	s := newSite(t)
	dark := s.engine(hosting.Config{ID: "i-dark", Service: plainService})
	dark.SetBehaviour(func(*http.Request) hosting.Behaviour { return hosting.HoldUntilRelease })
	s.engine(hosting.Config{ID: "i-good", Service: plainService})
	h := s.host()
	for range 6 {
		if a := h.send(hostedRequest{Method: http.MethodGet, Target: againPath, Key: deskKey}); a.status != http.StatusOK || a.body != "answer of i-good" {
			t.Fatalf("answer: %+v", a)
		}
	}
	eventually(t, "nobody waits at the dark engine", func() error { return want("held", dark.HeldCount(), 0) })
}

// Nobody reads a daemon's standard output: the pipe is full after a few lines.
// Whoever writes to it then stands still, and with it the requests.
func TestBlockedOutputHoldsUpNoRequest(t *testing.T) {
	s := newSite(t)
	s.engine(hosting.Config{ID: "i-app", Service: plainService})
	h := s.unready()
	h.kill()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reader.Close() }()
	const smallest = 4096
	if _, err := unix.FcntlInt(writer.Fd(), unix.F_SETPIPE_SZ, smallest); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "gateway")
	cmd.Env = append(os.Environ(), roleVariable+"=brasschute", platform.SettingsVariable+"="+h.file)
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
		if a := h.send(hostedRequest{Target: onceTarget, Key: deskKey}); a.status != http.StatusOK {
			t.Fatalf("request %d: %+v", n, a)
		}
	}
}

// An engine ends while it works on a posting, and starts again under its id and address.
// The new process would accept the same request; the posting may have run, so it must not
// be sent again, and the caller must not be told that it has not run. A lookup goes on at
// the other engine, and the new process serves as soon as it is listed.
func TestEngineThatStartsAgainUnderItsID(t *testing.T) {
	s := newSite(t)
	e := s.engine(hosting.Config{ID: "i-1", Service: plainService, StartedUnixMilli: 1000})
	held := true
	e.SetBehaviour(func(*http.Request) hosting.Behaviour {
		if held {
			return hosting.HoldUntilRelease
		}
		return hosting.Serve
	})
	h := s.host()
	answer := make(chan hostedAnswer)
	go func() { answer <- h.send(hostedRequest{ID: "posting", Target: onceTarget, Key: deskKey}) }()
	eventually(t, "the engine works on the posting", func() error { return want("held", e.HeldCount(), 1) })
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
		return want("status", h.send(hostedRequest{Target: onceTarget, Key: deskKey}).status, http.StatusOK)
	})
	eventually(t, "both lives are listed", func() error {
		lives := make(map[any]bool)
		for _, line := range h.lines("endpoint listed") {
			lives[line["born"]] = true
		}
		return want("lives", len(lives), 2)
	})
}
