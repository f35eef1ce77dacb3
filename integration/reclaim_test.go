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
	letterTokens = 40
	gateAt       = 10
)

// gated starts engines that stop at gateAt, and daemons in two zones.
func gated(t *testing.T, engines int) *fleet {
	t.Helper()
	f := newFleet(t)
	for i := range engines {
		f.addEngine(1 + i%2)
	}
	f.addPlain(1)
	f.addEntry(1)
	f.addEntry(2)
	f.addEntry(2)
	f.entries[0].mustApply(configuration(), 0)
	f.ready()
	f.gateAll(gateAt)
	return f
}

func (f *fleet) gateAll(tokens int) {
	for _, e := range f.engines {
		e.gate(tokens)
	}
}

// holding returns the engine that runs the request "letter".
func (f *fleet) holding() *endpoint {
	f.t.Helper()
	for _, e := range f.engines {
		if total("letter", e) > 0 {
			return e
		}
	}
	f.t.Fatal("no engine runs the letter")
	return nil
}

// middle waits until a stream stands at the gate.
func middle(t *testing.T, s *stream) {
	t.Helper()
	eventually(t, "mid-stream", func() error { return s.received(gateAt) })
}

func TestReclaimOfEngineMidStream(t *testing.T) {
	// The host of an engine is reclaimed while a letter is being written.
	// The caller must get each token once and the whole letter, and the
	// prompt must not be computed again, as its cache is imported.
	f := gated(t, 2)
	s := f.entries[0].open(letterTokens, "Request-Id", "letter")
	middle(t, s)
	first := f.holding()
	f.gateAllBut(first, 0)
	f.announce(first.name+"-host", first.zone, time.Now().Add(2*time.Second))
	if err := s.check(letterTokens); err != nil {
		t.Fatal(err)
	}
	rec := f.entries[0].explain("letter")
	if len(rec.Attempts) != 2 || rec.Attempts[1].Resumed != gateAt || rec.Attempts[0].Outcome != "the engine's host is leaving" {
		t.Fatalf("attempts: %+v", rec.Attempts)
	}
	// The question is shorter than a cache block, so all of it is computed
	// again with the ten tokens delivered; nothing else.
	if most := 17 + gateAt; int(rec.RecomputedTokens) > most {
		t.Fatalf("recomputed %d tokens, at most %d expected", rec.RecomputedTokens, most)
	}
}

func TestReclaimFaultsOfAnEngine(t *testing.T) {
	// Whatever an engine does to a stream half-way, the caller must see the
	// whole letter with each token once, from another engine or the same.
	cases := []struct {
		name  string
		fault func(f *fleet, e *endpoint)
	}{
		{"killed", func(_ *fleet, e *endpoint) { e.kill() }},
		{"cut off", func(_ *fleet, e *endpoint) { e.proxy.Set(injector.All, injector.Fault{Cut: true}) }},
		{"connection reset once", func(_ *fleet, e *endpoint) {
			e.proxy.Set(injector.All, injector.Fault{Cut: true})
			e.proxy.Set(injector.All, injector.Fault{})
			e.gate(0)
		}},
		{"frozen", func(_ *fleet, e *endpoint) { e.signal(syscall.SIGSTOP) }},
		{"ends without end mark", func(_ *fleet, e *endpoint) { e.behave(engine.Behaviour{EndAt: gateAt + 1}) }},
		{"sends another stream's frame", func(_ *fleet, e *endpoint) { e.behave(engine.Behaviour{CrossAt: gateAt + 1}) }},
		{"sends a frame twice", func(_ *fleet, e *endpoint) { e.behave(engine.Behaviour{DuplicateAt: gateAt + 1}) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			f.addEngine(1)
			f.addEngine(1)
			d := f.addEntry(1, "Engine: {Stall: 1s, FirstStall: 2s}")
			d.mustApply(configuration(), 0)
			f.ready()
			f.gateAll(gateAt)
			s := d.open(letterTokens, "Request-Id", "letter")
			middle(t, s)
			first := f.holding()
			for _, e := range f.engines {
				if e != first {
					e.gate(0)
				}
			}
			c.fault(f, first)
			if err := s.check(letterTokens); err != nil {
				t.Fatal(err)
			}
		})
	}
}

func TestReclaimWaitsForAnEngine(t *testing.T) {
	// In mid-stream the engine dies, and for a while no other one can be
	// reached: replacements are refused, or a switch is down. The letter was
	// accepted and its deadline is far: it must go on when an engine is back.
	f := gated(t, 2)
	d := f.entries[0]
	s := d.open(letterTokens, "Request-Id", "letter")
	middle(t, s)
	first := f.holding()
	for _, e := range f.engines {
		e.proxy.Set(injector.All, injector.Fault{Cut: true})
	}
	for _, e := range f.engines {
		eventually(t, e.name+" given up", func() error {
			if state := d.endpointState(e.name); state != "ejected" && state != "failing" {
				return fmt.Errorf("%s", state)
			}
			return nil
		})
	}
	for _, e := range f.engines {
		if e != first {
			e.gate(0)
			e.proxy.Set(injector.All, injector.Fault{})
		}
	}
	if err := s.check(letterTokens); err != nil {
		t.Fatal(err)
	}
}

func TestReclaimOfEntryMidStream(t *testing.T) {
	// The entry host is reclaimed in mid-stream. Its daemon hands the stream
	// to peers and tells the caller, who comes back to any other daemon with
	// the last event id and gets the rest, each token once.
	f := gated(t, 1)
	s := f.entries[0].open(letterTokens, "Request-Id", "letter")
	middle(t, s)
	f.announce("entry-1", 1, time.Now().Add(4*time.Second))
	s.wait()
	if !s.moved {
		t.Fatalf("not told to move: %q", s.body)
	}
	f.entries[0].stopped()
	f.gateAll(0)
	s.follow(f.entries[2], letterTokens, "Last-Event-ID", s.lastEventID())
	if err := s.check(letterTokens); err != nil {
		t.Fatal(err)
	}
}

func TestReclaimOfEntryAndEngineTogether(t *testing.T) {
	// Entry host and engine host go together: no process that saw the stream
	// is left. The state handed to a peer must suffice to finish it.
	f := gated(t, 2)
	s := f.entries[0].open(letterTokens, "Request-Id", "letter")
	middle(t, s)
	first := f.holding()
	f.announce("entry-1", 1, time.Now().Add(4*time.Second))
	s.wait()
	first.kill()
	f.entries[0].stopped()
	f.gateAllBut(first, 0)
	s.follow(f.entries[1], letterTokens, "Last-Event-ID", s.lastEventID())
	if err := s.check(letterTokens); err != nil {
		t.Fatal(err)
	}
}

func (f *fleet) gateAllBut(dead *endpoint, tokens int) {
	for _, e := range f.engines {
		if e != dead {
			e.gate(tokens)
		}
	}
}

func TestReclaimOfAZone(t *testing.T) {
	// A whole zone is reclaimed at once: its engine, its entry hosts, and the
	// streams on both. Streams that entered elsewhere never notice; those of
	// the zone's daemons go on in the other zone.
	f := gated(t, 2)
	var streams []*stream
	for i := range 8 {
		streams = append(streams, f.entries[i%2].open(letterTokens, "Request-Id", fmt.Sprintf("letter-%d", i)))
	}
	for _, s := range streams {
		middle(t, s)
	}
	deadline := time.Now().Add(4 * time.Second)
	f.announce("entry-1", 1, deadline)
	f.announce("engine-1-host", 1, deadline)
	for i := 0; i < len(streams); i += 2 {
		streams[i].wait()
	}
	f.engines[0].kill()
	f.entries[0].stopped()
	f.engines[1].gate(0)
	for i, s := range streams {
		if i%2 == 0 {
			s.follow(f.entries[2], letterTokens, "Last-Event-ID", s.lastEventID())
		}
		if err := s.check(letterTokens); err != nil {
			t.Fatalf("stream %d: %v", i, err)
		}
	}
}

func TestReclaimDaemonDiesInMidReclaim(t *testing.T) {
	// The daemon is killed before it could hand over. The engine still holds
	// the stream for a while, and the token alone leads another daemon there.
	f := gated(t, 1)
	s := f.entries[0].open(letterTokens, "Request-Id", "letter")
	middle(t, s)
	f.announce("entry-1", 1, time.Now().Add(time.Minute))
	f.entries[0].kill()
	s.wait()
	f.gateAll(0)
	s.follow(f.entries[1], letterTokens, "Last-Event-ID", s.lastEventID())
	if err := s.check(letterTokens); err != nil {
		t.Fatal(err)
	}
}

func TestReclaimWithoutStreaming(t *testing.T) {
	// A caller waits for one JSON answer when the entry host is reclaimed.
	// It is redirected to where the answer is to be had, at any daemon.
	f := gated(t, 1)
	d := f.entries[0]
	first := background(func() *reply {
		return d.do(http.MethodPost, "/v1/chat/completions", chat(letterTokens, false), "Request-Id", "letter")
	})
	eventually(t, "running", func() error { return want("executions", total("letter", f.engines...), 1) })
	f.announce("entry-1", 1, time.Now().Add(4*time.Second))
	r := first()
	if r.status != http.StatusSeeOther {
		t.Fatalf("%d %s %v", r.status, r.body, r.err)
	}
	d.stopped()
	f.gateAll(0)
	path := r.header.Get("Location")
	if r := f.entries[2].do(http.MethodGet, path, "", "Authorization", "Bearer "+callerKeys["branch"]); r.status != http.StatusForbidden {
		t.Fatalf("another organisation: %d %s", r.status, r.body)
	}
	r = f.entries[2].do(http.MethodGet, path, "")
	if r.status != http.StatusOK || !containsText(r.body, expected(letterTokens)) {
		t.Fatalf("%d %s", r.status, r.body)
	}
}

func TestReclaimTokenOfAnotherOrganisation(t *testing.T) {
	// A resume token is stolen and presented by another organisation. It must
	// open nothing.
	f := gated(t, 1)
	s := f.entries[0].open(letterTokens)
	middle(t, s)
	r := f.entries[1].do(http.MethodPost, "/v1/chat/completions", chat(letterTokens, true),
		"Last-Event-ID", s.lastEventID(), "Authorization", "Bearer "+callerKeys["branch"])
	if r.status != http.StatusForbidden || r.kind() != "resume-refused" {
		t.Fatalf("%d %s", r.status, r.body)
	}
	f.gateAll(0)
	if err := s.check(letterTokens); err != nil {
		t.Fatal(err)
	}
}

func TestReclaimCancelFreesTheEngine(t *testing.T) {
	// The caller hangs up in mid-stream. The engine must stop working for it,
	// or slots stay taken by answers that nobody reads.
	f := gated(t, 1)
	s := f.entries[0].open(letterTokens, "Request-Id", "letter")
	middle(t, s)
	if n := f.engines[0].running(); n != 1 {
		t.Fatalf("%d streams run", n)
	}
	s.cancel()
	eventually(t, "engine freed", func() error { return want("running", f.engines[0].running(), 0) })
	// The caller lost its connection rather than its interest: the state that
	// its daemon kept lets it go on all the same.
	f.gateAll(0)
	s.wait()
	s.follow(f.entries[1], letterTokens, "Last-Event-ID", s.lastEventID())
	if err := s.check(letterTokens); err != nil {
		t.Fatal(err)
	}
}

func TestReclaimLeavingEndpointGetsNoNewWork(t *testing.T) {
	// One daemon alone learns that an engine's host is leaving; the host list
	// lags. Within a few exchanges no daemon may send new work there, by
	// whatever way: fresh, retried, resumed, or chosen before the notice.
	f := gated(t, 2)
	f.gateAll(0)
	leaving := f.engines[0]
	// Zones 2 and 3 do not hear the platform any more.
	f.proxy.Set(zoneNet(2), injector.Fault{Cut: true})
	f.announce(leaving.name+"-host", leaving.zone, time.Now().Add(time.Minute))
	for _, d := range f.entries {
		eventually(t, d.host, func() error { return want("state", d.endpointState(leaving.name), "leaving") })
	}
	before := len(leaving.executions())
	for i := range 30 {
		d := f.entries[i%3]
		if err := d.open(3).check(3); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(leaving.executions()); n != before {
		t.Fatalf("%d new requests reached the leaving engine", n-before)
	}
}

// endpointState returns what a daemon believes of an endpoint.
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

func TestReclaimWhileACallWaits(t *testing.T) {
	// A keyed call waits for a slow platform. In the meantime an endpoint
	// begins to leave. The call must not be sent there any more, though it was
	// accepted while the endpoint was still in use.
	f := newFleet(t)
	f.addPlain(1)
	f.addPlain(1)
	d := f.addEntry(1)
	d.mustApply(configuration(), 0)
	f.ready()
	f.proxy.Set(injector.All, injector.Fault{Freeze: true})
	r := background(func() *reply { return d.confirm("k", "bond") })
	f.plains[0].behave(plain.Behaviour{Leaving: true})
	eventually(t, "leaving seen", func() error { return want("state", d.endpointState("ledger-1"), "leaving") })
	f.proxy.Set(injector.All, injector.Fault{})
	if got := r(); got.status != http.StatusOK && got.outcome() != "not-run" {
		t.Fatalf("%d %s", got.status, got.body)
	}
	if n := total("k", f.plains[0]); n != 0 {
		t.Fatalf("the leaving endpoint ran it %d times", n)
	}
}
