package integration

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"brasschute/internal/fault/injector"
	"brasschute/internal/standin/engine"
	"brasschute/internal/standin/plain"
)

const (
	// letterTokens is the length of a streamed answer.
	letterTokens = 40
	// gateTokens is the number of tokens after which engines stop each stream.
	gateTokens = 10
)

// newGatedFleet starts engines that stop each stream after gateTokens, a plain service, and three
// daemons in two zones.
func newGatedFleet(t *testing.T, engines int) *fleet {
	t.Helper()
	f := newFleet(t)
	for i := range engines {
		f.addEngine(1 + i%2)
	}
	f.addPlainService(1)
	f.addEntry(1)
	f.addEntry(2)
	f.addEntry(2)
	f.entries[0].mustApply(configuration(), 0)
	f.awaitReady()
	f.setAllGates(gateTokens)
	return f
}

// setAllGates sets the gate of all engines.
func (f *fleet) setAllGates(tokens int) {
	for _, e := range f.engines {
		e.setGate(tokens)
	}
}

// letterEngine returns the engine that runs the request with the id "letter".
func (f *fleet) letterEngine() *endpoint {
	f.t.Helper()
	for _, e := range f.engines {
		if executionCount("letter", e) > 0 {
			return e
		}
	}
	f.t.Fatal("no engine runs the letter")
	return nil
}

// awaitGate waits until a stream has reached the gate.
func awaitGate(t *testing.T, s *stream) {
	t.Helper()
	eventually(t, "mid-stream", func() error { return s.checkReceived(gateTokens) })
}

// TestReclaimOfEngineMidStream reclaims the host of an engine in the middle of a stream. The
// caller must get the whole text with each token once. The cached part of the prompt must not be
// computed again, since the other engine imports its blocks.
func TestReclaimOfEngineMidStream(t *testing.T) {
	f := newGatedFleet(t, 2)
	s := f.entries[0].open(letterTokens, "Request-Id", "letter")
	awaitGate(t, s)
	first := f.letterEngine()
	f.setGatesExcept(first, 0)
	f.sendReclaimNotice(first.name+"-host", first.zone, time.Now().Add(2*time.Second))
	if err := s.checkComplete(letterTokens); err != nil {
		t.Fatal(err)
	}
	rec := f.entries[0].explain("letter")
	if len(rec.Attempts) != 2 || rec.Attempts[1].Resumed != gateTokens || rec.Attempts[0].Outcome != "the engine's host is leaving" {
		t.Fatalf("attempts: %+v", rec.Attempts)
	}
	// The prompt (at most 17 tokens) is shorter than a cache block, so all of it is computed again,
	// with the ten tokens delivered; nothing else may be.
	if most := 17 + gateTokens; int(rec.RecomputedTokens) > most {
		t.Fatalf("recomputed %d tokens, at most %d expected", rec.RecomputedTokens, most)
	}
}

// TestReclaimFaultsOfAnEngine lets an engine fail in several ways in the middle of a stream. The
// caller must get the whole text with each token once, from another engine or the same.
func TestReclaimFaultsOfAnEngine(t *testing.T) {
	cases := []struct {
		name  string
		fault func(f *fleet, e *endpoint)
	}{
		{"killed", func(_ *fleet, e *endpoint) { e.kill() }},
		{"cut off", func(_ *fleet, e *endpoint) { e.proxy.Set(injector.All, injector.Fault{Cut: true}) }},
		{"connection reset once", func(_ *fleet, e *endpoint) {
			e.proxy.Set(injector.All, injector.Fault{Cut: true})
			e.proxy.Set(injector.All, injector.Fault{})
			e.setGate(0)
		}},
		{"frozen", func(_ *fleet, e *endpoint) { e.signal(syscall.SIGSTOP) }},
		{"ends without end mark", func(_ *fleet, e *endpoint) { e.setBehaviour(engine.Behaviour{EndAt: gateTokens + 1}) }},
		{"sends another stream's frame", func(_ *fleet, e *endpoint) { e.setBehaviour(engine.Behaviour{CrossAt: gateTokens + 1}) }},
		{"sends a frame twice", func(_ *fleet, e *endpoint) { e.setBehaviour(engine.Behaviour{DuplicateAt: gateTokens + 1}) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			f.addEngine(1)
			f.addEngine(1)
			d := f.addEntry(1, "Engine: {Stall: 1s, FirstStall: 2s}")
			d.mustApply(configuration(), 0)
			f.awaitReady()
			f.setAllGates(gateTokens)
			s := d.open(letterTokens, "Request-Id", "letter")
			awaitGate(t, s)
			first := f.letterEngine()
			for _, e := range f.engines {
				if e != first {
					e.setGate(0)
				}
			}
			c.fault(f, first)
			if err := s.checkComplete(letterTokens); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// TestReclaimWaitsForAnEngine makes all engines unreachable in the middle of a stream, as when
// replacements are refused or a switch is down. The request was accepted and its deadline is far:
// the stream must continue as soon as an engine is back.
func TestReclaimWaitsForAnEngine(t *testing.T) {
	f := newGatedFleet(t, 2)
	d := f.entries[0]
	s := d.open(letterTokens, "Request-Id", "letter")
	awaitGate(t, s)
	first := f.letterEngine()
	for _, e := range f.engines {
		e.proxy.Set(injector.All, injector.Fault{Cut: true})
	}
	for _, e := range f.engines {
		eventually(t, e.name+" out of use", func() error {
			if state := d.endpointState(e.name); state != "ejected" && state != "failing" {
				return fmt.Errorf("%s", state)
			}
			return nil
		})
	}
	for _, e := range f.engines {
		if e != first {
			e.setGate(0)
			e.proxy.Set(injector.All, injector.Fault{})
		}
	}
	if err := s.checkComplete(letterTokens); err != nil {
		t.Fatal(err)
	}
}

// TestReclaimOfEntryMidStream reclaims the host of a daemon in the middle of a stream. The daemon
// must hand the stream over to peers and tell the caller, who resumes at any other daemon with
// the last event id and gets the rest, each token once.
func TestReclaimOfEntryMidStream(t *testing.T) {
	f := newGatedFleet(t, 1)
	s := f.entries[0].open(letterTokens, "Request-Id", "letter")
	awaitGate(t, s)
	f.sendReclaimNotice("entry-1", 1, time.Now().Add(4*time.Second))
	s.wait()
	if !s.moveAnnounced {
		t.Fatalf("not told to move: %q", s.body)
	}
	f.entries[0].awaitExit()
	f.setAllGates(0)
	s.send(f.entries[2], letterTokens, "Last-Event-ID", s.lastEventID())
	if err := s.checkComplete(letterTokens); err != nil {
		t.Fatal(err)
	}
}

// TestReclaimOfEntryAndEngineTogether ends both the daemon and the engine of a stream, so that no
// process that handled it is left. The state handed over to a peer must suffice to complete it.
func TestReclaimOfEntryAndEngineTogether(t *testing.T) {
	f := newGatedFleet(t, 2)
	s := f.entries[0].open(letterTokens, "Request-Id", "letter")
	awaitGate(t, s)
	first := f.letterEngine()
	f.sendReclaimNotice("entry-1", 1, time.Now().Add(4*time.Second))
	s.wait()
	first.kill()
	f.entries[0].awaitExit()
	f.setGatesExcept(first, 0)
	s.send(f.entries[1], letterTokens, "Last-Event-ID", s.lastEventID())
	if err := s.checkComplete(letterTokens); err != nil {
		t.Fatal(err)
	}
}

// setGatesExcept sets the gate of all engines except one that has ended.
func (f *fleet) setGatesExcept(dead *endpoint, tokens int) {
	for _, e := range f.engines {
		if e != dead {
			e.setGate(tokens)
		}
	}
}

// TestReclaimOfAZone reclaims a whole zone at once: its engine, its daemon, and the streams on
// both. Streams at daemons of the other zone must continue on the same connection, those of the
// zone's daemon after a resume in the other zone.
func TestReclaimOfAZone(t *testing.T) {
	f := newGatedFleet(t, 2)
	var streams []*stream
	for i := range 8 {
		streams = append(streams, f.entries[i%2].open(letterTokens, "Request-Id", fmt.Sprintf("letter-%d", i)))
	}
	for _, s := range streams {
		awaitGate(t, s)
	}
	deadline := time.Now().Add(4 * time.Second)
	f.sendReclaimNotice("entry-1", 1, deadline)
	f.sendReclaimNotice("engine-1-host", 1, deadline)
	for i := 0; i < len(streams); i += 2 {
		streams[i].wait()
	}
	f.engines[0].kill()
	f.entries[0].awaitExit()
	f.engines[1].setGate(0)
	for i, s := range streams {
		if i%2 == 0 {
			s.send(f.entries[2], letterTokens, "Last-Event-ID", s.lastEventID())
		}
		if err := s.checkComplete(letterTokens); err != nil {
			t.Fatalf("stream %d: %v", i, err)
		}
	}
}

// TestReclaimDaemonDiesInMidReclaim kills a daemon before it can hand its stream over. The engine
// keeps the stream for a while, and the resume token alone must lead another daemon to it.
func TestReclaimDaemonDiesInMidReclaim(t *testing.T) {
	f := newGatedFleet(t, 1)
	s := f.entries[0].open(letterTokens, "Request-Id", "letter")
	awaitGate(t, s)
	f.sendReclaimNotice("entry-1", 1, time.Now().Add(time.Minute))
	f.entries[0].kill()
	s.wait()
	f.setAllGates(0)
	s.send(f.entries[1], letterTokens, "Last-Event-ID", s.lastEventID())
	if err := s.checkComplete(letterTokens); err != nil {
		t.Fatal(err)
	}
}

// TestReclaimWithoutStreaming reclaims the host of a daemon while a caller waits for a JSON
// answer. The caller must be redirected to a path at which it gets the answer from any daemon,
// and no other organisation gets it.
func TestReclaimWithoutStreaming(t *testing.T) {
	f := newGatedFleet(t, 1)
	d := f.entries[0]
	first := background(func() *reply {
		return d.do(http.MethodPost, "/v1/chat/completions", chat(letterTokens, false), "Request-Id", "letter")
	})
	eventually(t, "running", func() error { return checkEqual("executions", executionCount("letter", f.engines...), 1) })
	f.sendReclaimNotice("entry-1", 1, time.Now().Add(4*time.Second))
	r := first()
	if r.status != http.StatusSeeOther {
		t.Fatalf("%d %s %v", r.status, r.body, r.err)
	}
	d.awaitExit()
	f.setAllGates(0)
	path := r.header.Get("Location")
	if r := f.entries[2].do(http.MethodGet, path, "", "Authorization", "Bearer "+callerKeys["branch"]); r.status != http.StatusForbidden {
		t.Fatalf("another organisation: %d %s", r.status, r.body)
	}
	r = f.entries[2].do(http.MethodGet, path, "")
	if r.status != http.StatusOK || !containsText(r.body, expectedText(letterTokens)) {
		t.Fatalf("%d %s", r.status, r.body)
	}
}

// TestReclaimTokenOfAnotherOrganisation presents a resume token with the key of another
// organisation, as if it were stolen. It must be refused.
func TestReclaimTokenOfAnotherOrganisation(t *testing.T) {
	f := newGatedFleet(t, 1)
	s := f.entries[0].open(letterTokens)
	awaitGate(t, s)
	r := f.entries[1].do(http.MethodPost, "/v1/chat/completions", chat(letterTokens, true),
		"Last-Event-ID", s.lastEventID(), "Authorization", "Bearer "+callerKeys["branch"])
	if r.status != http.StatusForbidden || r.problemType() != "resume-refused" {
		t.Fatalf("%d %s", r.status, r.body)
	}
	f.setAllGates(0)
	if err := s.checkComplete(letterTokens); err != nil {
		t.Fatal(err)
	}
}

// TestReclaimCancelFreesTheEngine lets a caller disconnect in the middle of a stream. The engine
// must stop working on it, or its slots stay taken by answers that nobody reads.
func TestReclaimCancelFreesTheEngine(t *testing.T) {
	f := newGatedFleet(t, 1)
	s := f.entries[0].open(letterTokens, "Request-Id", "letter")
	awaitGate(t, s)
	if n := f.engines[0].runningStreams(); n != 1 {
		t.Fatalf("%d streams run", n)
	}
	s.cancel()
	eventually(t, "engine freed", func() error { return checkEqual("running", f.engines[0].runningStreams(), 0) })
	// A caller that lost its connection by accident can resume from the state that its daemon has
	// kept.
	f.setAllGates(0)
	s.wait()
	s.send(f.entries[1], letterTokens, "Last-Event-ID", s.lastEventID())
	if err := s.checkComplete(letterTokens); err != nil {
		t.Fatal(err)
	}
}

// TestReclaimLeavingEndpointGetsNoNewWork lets only one daemon learn from the platform that an
// engine's host is leaving. After a few gossip exchanges no daemon may send a new request there,
// whether it is new, retried, resumed, or was routed before the notice.
func TestReclaimLeavingEndpointGetsNoNewWork(t *testing.T) {
	f := newGatedFleet(t, 2)
	f.setAllGates(0)
	leaving := f.engines[0]
	// The daemons of zone 2 no longer get the platform's changes.
	f.platformProxy.Set(zoneNet(2), injector.Fault{Cut: true})
	f.sendReclaimNotice(leaving.name+"-host", leaving.zone, time.Now().Add(time.Minute))
	for _, d := range f.entries {
		eventually(t, d.host, func() error { return checkEqual("state", d.endpointState(leaving.name), "leaving") })
	}
	before := len(leaving.executions())
	for i := range 30 {
		d := f.entries[i%3]
		if err := d.open(3).checkComplete(3); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(leaving.executions()); n != before {
		t.Fatalf("%d new requests reached the leaving engine", n-before)
	}
}

// endpointState returns the state of an endpoint as the daemon lists it.
func (d *daemon) endpointState(name string) string {
	s, err := d.status()
	if err != nil {
		return err.Error()
	}
	for _, e := range s.Endpoints {
		if e.Endpoint == name {
			return e.State
		}
	}
	return "not listed"
}

// TestReclaimWhileACallWaits delays the claim of a request with a key at a slow platform until an
// endpoint begins to leave. The request must not be sent there any more, although the endpoint
// was in use when the request was accepted.
func TestReclaimWhileACallWaits(t *testing.T) {
	f := newFleet(t)
	f.addPlainService(1)
	f.addPlainService(1)
	d := f.addEntry(1)
	d.mustApply(configuration(), 0)
	f.awaitReady()
	f.platformProxy.Set(injector.All, injector.Fault{Freeze: true})
	r := background(func() *reply { return d.confirm("k", "bond") })
	f.plainServices[0].setBehaviour(plain.Behaviour{Leaving: true})
	eventually(t, "leaving seen", func() error { return checkEqual("state", d.endpointState("ledger-1"), "leaving") })
	f.platformProxy.Set(injector.All, injector.Fault{})
	if got := r(); got.status != http.StatusOK && got.outcome() != "not-run" {
		t.Fatalf("%d %s", got.status, got.body)
	}
	if n := executionCount("k", f.plainServices[0]); n != 0 {
		t.Fatalf("the leaving endpoint ran it %d times", n)
	}
}
