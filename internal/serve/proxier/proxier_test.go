package proxier

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/sender"
	"brasschute/internal/peer/crashreporter"
	"brasschute/internal/peer/membertracker"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/peer/wrapper"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/route/pathtracker"
	"brasschute/internal/route/quarantiner"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/bodyreader"
	"brasschute/internal/serve/dispatcher"
	"brasschute/internal/serve/request"
	"brasschute/internal/standin/hosting"
)

// codec decodes the headers of the stand-in engine that matter here.
type codec struct{}

// DecodeReply decodes a reply.
func (codec) DecodeReply(status int, h http.Header) request.Reply {
	return request.Reply{ID: identifier.Request(h.Get("Request-Id")), Status: status}
}

// recorder records what a proxier reports, and holds requests in quarantine.
type recorder struct {
	mu       sync.Mutex
	outcomes []wrapper.Outcome
	broken   int
	givenUp  int
	// events is the number of events before the last break.
	events int
	held   bool
}

func (r *recorder) ObserveReply(*request.Request, *registry.Pick, *request.Reply, time.Time) {}

func (r *recorder) ObserveBackoff(*request.Request, *registry.Pick, time.Duration) {}

func (r *recorder) Admit(identifier.Fingerprint, identifier.Request, ...identifier.Fingerprint) quarantiner.Decision {
	return quarantiner.Decision{Held: r.held}
}

func (r *recorder) Begin(*crashreporter.Attempt) {}

func (r *recorder) Conclude(*crashreporter.Attempt) {}

func (r *recorder) ReportGivenUp(*crashreporter.Attempt, crashreporter.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.givenUp++
}

func (r *recorder) ReportBreak(_ context.Context, _ *crashreporter.Attempt, events int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = events
	r.broken++
}

func (r *recorder) add(o wrapper.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

// streamLength is the number of events in an answer of the engine.
const streamLength = 4

// wholeAnswer returns the answer of the engine.
func wholeAnswer() (text string) {
	for n := range streamLength {
		text += hosting.EventText(n + 1)
	}
	return text
}

// fixture is a proxier in front of one engine, and a peer's connection to it.
type fixture struct {
	*Proxier
	recorder
	engine   *hosting.Engine
	registry *registry.Registry
	sender   *sender.Sender
	address  string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{engine: hosting.NewEngine(hosting.Config{ID: "i-1", StreamLength: streamLength}), sender: sender.New(sender.Config{Dialer: &net.Dialer{}})}
	server := httptest.NewServer(f.engine)
	t.Cleanup(server.Close)
	f.registry = registry.New(registry.Config{LeavingHosts: membertracker.New(membertracker.Config{Self: &rpc.Member{Host: "front-1"}})})
	f.registry.UpdateHosts(map[string]*inventory.Host{"i-1": {
		Host: "i-1", State: inventory.StateLive, Endpoints: []inventory.Endpoint{{Endpoint: "i-1", Pool: "app", Address: server.Listener.Addr().String()}},
	}})
	endpoints := func(identifier.Service) []pathtracker.Destination {
		return []pathtracker.Destination{{Service: "app", Endpoint: "i-1", Address: server.Listener.Addr().String()}}
	}
	tracker := pathtracker.New(pathtracker.Config{Endpoints: endpoints, OnChange: func(pathtracker.Change) {}})
	f.Proxier = New(Config{
		Bodies:   bodyreader.New(bodyreader.Config{TotalBytes: 1 << 20, Timeout: time.Minute}),
		Registry: f.registry, Dispatcher: dispatcher.New(dispatcher.Config{Sender: sender.New(sender.Config{Dialer: &net.Dialer{}}), Tracker: tracker}),
		Tracker: tracker, Endpoints: endpoints, Codec: codec{}, ReplyObserver: f, Quarantine: f, OnOutcome: f.add,
	})
	proxy := httptest.NewServer(f.Proxier)
	t.Cleanup(proxy.Close)
	f.address = proxy.Listener.Addr().String()
	return f
}

// send sends a wrapped request as a peer does and returns its outcome and the answer's body.
func (f *fixture) send(ctx context.Context, endpoint identifier.Endpoint) (wrapper.Outcome, string, error) {
	w := wrapper.Request{Service: "app", Endpoint: endpoint, ID: "r-1", Method: http.MethodPost, Target: "/x", Host: "desk.example", Header: http.Header{"Request-Id": {"r-1"}}}
	x, err := f.sender.Send(ctx, &sender.Request{Address: f.address, Method: http.MethodPost, Target: wrapper.Path, Host: f.address, Header: w.Encode()})
	if err != nil {
		return "", "", err
	}
	defer x.Close()
	text, err := io.ReadAll(x.Body)
	return wrapper.Outcome(x.Header.Get(wrapper.OutcomeHeader)), string(text), err
}

func TestRequestIsSentForAPeer(t *testing.T) {
	f := newFixture(t)
	o, text, err := f.send(t.Context(), "i-1")
	if err != nil || o != wrapper.Answered || text != wholeAnswer() {
		t.Errorf("%s, %q, %v", o, text, err)
	}
	if runs := f.engine.Executions(); len(runs) != 1 || runs[0].Target != "/x" || len(runs[0].Header.Values(wrapper.OutcomeHeader)) > 0 {
		t.Errorf("runs %+v", runs)
	}
}

// Guards against requests of peers that reach an endpoint which this daemon knows to be leaving, and
// against those that are quarantined.
func TestRequestThatMayNotBeSent(t *testing.T) {
	for _, k := range []struct {
		name     string
		endpoint identifier.Endpoint
		prepare  func(f *fixture)
		want     wrapper.Outcome
	}{
		{"leaving endpoint", "i-1", func(f *fixture) { f.registry.MarkLeaving("i-1", 0, time.Time{}) }, wrapper.Withheld},
		{"quarantined request", "i-1", func(f *fixture) { f.held = true }, wrapper.Withheld},
		{"unknown endpoint", "i-2", func(*fixture) {}, wrapper.Unlisted},
		{"stopping daemon", "i-1", func(f *fixture) { f.Drain() }, wrapper.Busy},
	} {
		f := newFixture(t)
		k.prepare(f)
		if o, _, err := f.send(t.Context(), k.endpoint); err != nil || o != k.want || f.engine.Received() > 0 {
			t.Errorf("%s: %s, %v, %d requests at the engine", k.name, o, err, f.engine.Received())
		}
	}
}

// Guards against an answer that the endpoint broke off and that looks complete to the peer.
func TestBrokenAnswerBreaksThePeersConnection(t *testing.T) {
	f := newFixture(t)
	f.engine.SetBehaviour(func(*http.Request) hosting.Behaviour { return hosting.TruncateAnswer })
	if o, text, err := f.send(t.Context(), "i-1"); err == nil {
		t.Errorf("%s, %q looks complete", o, text)
	}
	f.Wait(t.Context())
	if f.broken != 1 {
		t.Errorf("%d breaks reported", f.broken)
	}
	f.engine.SetBehaviour(func(*http.Request) hosting.Behaviour { return hosting.CloseUnanswered })
	if o, _, err := f.send(t.Context(), "i-1"); err != nil || o != wrapper.NoResponse {
		t.Errorf("no answer: %s, %v", o, err)
	}
}

// Guards against half of an event that speaks for a request that crashed its endpoint.
func TestHalfAnEventIsNone(t *testing.T) {
	for _, c := range []struct {
		text string
		want bool
	}{{"id: 1\ndata: x", false}, {": working\n\n", false}, {"id: 1\ndata: x\n\nid: 2", true}} {
		f := newFixture(t)
		engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Request-Id", "r-1")
			_, _ = io.WriteString(w, c.text)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}))
		f.registry.UpdateHosts(map[string]*inventory.Host{"i-1": {
			Host: "i-1", State: inventory.StateLive, Endpoints: []inventory.Endpoint{{Endpoint: "i-1", Pool: "app", Address: engine.Listener.Addr().String()}},
		}})
		_, _, _ = f.send(t.Context(), "i-1")
		f.Wait(t.Context())
		engine.Close()
		if hasEvents := f.events > 0; f.broken != 1 || hasEvents != c.want {
			t.Errorf("%q: %d breaks, after %d events", c.text, f.broken, f.events)
		}
	}
}

// Guards against an endpoint that works on for a client that has left the peer, and against a daemon
// that stops while it still serves a peer.
func TestRequestEndsWithThePeersConnection(t *testing.T) {
	f := newFixture(t)
	f.engine.SetBehaviour(func(*http.Request) hosting.Behaviour { return hosting.HoldUntilRelease })
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, _, err := f.send(ctx, "i-1")
		ended <- err
	}()
	for f.engine.HeldCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	over, stop := context.WithCancel(t.Context())
	stop()
	f.Drain()
	f.Wait(over)
	if f.engine.HeldCount() != 1 {
		t.Error("the request ended with the drain")
	}
	cancel()
	if err := <-ended; !errors.Is(err, sender.ErrNoResponse) {
		t.Errorf("the peer: %v", err)
	}
	f.Wait(t.Context())
	for f.engine.HeldCount() > 0 {
		time.Sleep(time.Millisecond)
	}
	if f.broken > 0 || f.givenUp != 1 {
		t.Errorf("%d breaks reported, %d attempts given up", f.broken, f.givenUp)
	}
}

// Guards against an endpoint that ended and counts as out of reach, because the endpoint that is
// compared with it has ended, too.
func TestEndedEndpointIsComparedWithOneThatServes(t *testing.T) {
	f := newFixture(t)
	ended := func(id string) pathtracker.Destination {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		return pathtracker.Destination{Service: "app", Endpoint: identifier.Endpoint(id), Address: l.Addr().String()}
	}
	to := ended("i-0")
	list := append(f.c.Endpoints("app"), to, ended("i-2"), ended("i-3"), ended("i-4"))
	f.c.Endpoints = func(identifier.Service) []pathtracker.Destination { return slices.Clone(list) }
	j := &job{p: f.Proxier, to: to}
	for range 20 {
		if o := j.compare(t.Context()); o != wrapper.Unreachable {
			t.Fatalf("%s, though one endpoint serves", o)
		}
	}
	list = list[1:]
	if o := j.compare(t.Context()); o != wrapper.Partitioned {
		t.Errorf("%s, though none of the others can be reached", o)
	}
}
