package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"brasschute/internal/fault/shaper"
	"brasschute/internal/standin/hosting"
	"brasschute/platform"
)

// askedHeader names the daemon that a client called; daemons pass the header on.
const askedHeader = "Asked-Daemon"

// Names of the deployment of model engines.
const (
	modelService = "lm"
	modelHost    = "desk.example"
	// streamPath is a route whose streams may not be resumed, resumePath one whose streams may.
	streamPath = "/letters/"
	resumePath = "/drafts/"
	deskKey    = "desk-key"
)

const (
	// promptTokens is the size of a request's prompt.
	promptTokens = 600
	// engineEvents is the number of events in a stream, runTime the time before the first one.
	engineEvents = 20
	runTime      = 50 * time.Millisecond
	slowRunTime  = 400 * time.Millisecond
	// restartDelay is how long an engine that restarts under the same id is down.
	restartDelay = 100 * time.Millisecond
	// replacementDelay is the time from an engine's exit until another engine listens at its
	// address, recordLifetime the time until its record expires.
	replacementDelay = 5 * time.Second
	// leaveTime is the time from an engine's word that it leaves to its exit.
	leaveTime      = 3 * time.Second
	recordLifetime = 3200 * time.Millisecond
)

// engineExit is the exit of an engine, or the arrival of a fatal request at one.
type engineExit struct {
	at   time.Time
	id   string
	body string
}

// engineFleet holds the model engines of a test fleet, some of whose requests crash the engine
// that runs them.
type engineFleet struct {
	f    *testFleet
	host *shaper.Host
	// sameIDs makes an engine restart at once under the id of its predecessor.
	sameIDs bool
	// recordDelay is how long after its start an engine is listed.
	recordDelay time.Duration
	// fatal reports whether a body crashes the engine that runs it.
	fatal func(body string) bool
	// fatalPart is a part of a prompt that crashes the engine that runs a request with it; empty for none.
	fatalPart string
	// fatalStart is what an engine writes of its answer to a request with fatalPart before it crashes.
	fatalStart string
	// harmlessUntil is when fatalPart begins to crash engines.
	harmlessUntil time.Time
	// fatalTime is the time from which on a fatal request has crashed its engine.
	fatalTime time.Duration
	// silentExits makes engines end without a trace, as with a loss of power: connections stay open and
	// the address does not respond.
	silentExits bool
	// answerHeaders returns the headers that an engine adds to an answer; nil adds none.
	answerHeaders func(place int, id string, r *http.Request) http.Header
	// hostSlowdown returns the slowdown of their hosts that the engines state; nil means that they
	// state none.
	hostSlowdown func() string
	// slow makes requests take slowRunTime before their first event.
	slow atomic.Bool
	// admit is called with each request before the engine handles it, and the function that it returns
	// after that; nil admits all.
	admit func(place int, id string) (done func())
	// refuses reports whether an engine refuses requests; nil means that none does.
	refuses func(place int) bool
	// refusesID does so by place and id; nil means that none does.
	refusesID func(place int, id string) bool
	// version returns the version of an engine's software; nil means that engines state none.
	version func(place int) string
	// withoutReports: engines do not report their state.
	withoutReports bool
	// behave returns the behaviour of an engine that runs a request; nil serves all.
	behave func(place int, r *http.Request) hosting.Behaviour

	mu      sync.Mutex
	started int
	arrived int
	exits   []engineExit
	// sends are the arrivals of fatal requests at engines.
	sends []engineExit
	// running holds the function that ends each engine, by place.
	running map[int]func(body string)
	// leaving holds the function that lets each engine say that it leaves, by place.
	leaving map[int]func()
	stop    []func()
	closed  bool
}

// startEngines writes a configuration with routes to engines and starts [engineCount] of them.
func (f *testFleet) startEngines(fatal func(string) bool) *engineFleet {
	f.t.Helper()
	e := f.prepareEngines(fatal)
	e.startAll()
	return e
}

// prepareEngines writes a configuration with routes to engines that are still to be started.
func (f *testFleet) prepareEngines(fatal func(string) bool) *engineFleet {
	f.t.Helper()
	e := &engineFleet{fatalTime: runTime, f: f, host: f.network.Host(storeLink), fatal: fatal, running: make(map[int]func(string)), leaving: make(map[int]func())}
	f.stop = append(f.stop, e.close)
	f.writeModelConfiguration()
	return e
}

// writeModelConfiguration writes a configuration with routes to engines.
func (f *testFleet) writeModelConfiguration() {
	route := func(name, prefix string, resumable bool) map[string]any {
		return map[string]any{
			"Name": name, "Host": modelHost, "PathPrefix": prefix, "Kind": "streaming", "Service": modelService, "TimeoutMs": 15000,
			"SloMs": 1000, "MaxAttempts": 3, "Resumable": resumable,
		}
	}
	f.number++
	service := map[string]any{"Name": modelService, "MaxConns": 600}
	if !f.withoutCapacity {
		service["Engine"] = map[string]any{"Slots": 128, "KvTokens": 666466}
	}
	f.store.Write(platform.CatalogKind, "main", map[string]any{
		"Version":  f.number,
		"Routes":   []any{route("letters", streamPath, false), route("drafts", resumePath, true)},
		"Services": []any{service},
		"Tenants":  []any{map[string]any{"Name": "desk", "ApiKeys": []string{deskKey}}},
	})
}

func (e *engineFleet) startAll() {
	for i := range engineCount {
		e.start(i)
	}
}

// start starts the next engine at the address of a place.
func (e *engineFleet) start(place int) {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 64, byte(place / 200), byte(1 + place%200)}), 8745)
	l, err := e.host.Listen(address)
	if err != nil {
		e.f.t.Errorf("engine at %v: %v", address, err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		l.Close()
		return
	}
	e.started++
	id := fmt.Sprintf("i-%03d", e.started)
	if e.sameIDs {
		id = fmt.Sprintf("i-%03d", place)
	}
	version := ""
	if e.version != nil {
		version = e.version(place)
	}
	engine := hosting.NewEngine(hosting.Config{
		Version: version, ID: id, Service: modelService, Zone: fmt.Sprintf("zone-%d", place%e.f.zones), Address: address.String(), StreamLength: engineEvents,
		StartedUnixMilli: time.Now().UnixMilli(), OmitReports: e.withoutReports,
	})
	server := &http.Server{}
	var once sync.Once
	var silent atomic.Bool
	endIt := func(body string) {
		once.Do(func() {
			e.recordExit(place, id, body)
			if e.silentExits {
				silent.Store(true)
				e.f.network.Silence(address)
				return
			}
			_ = server.Close()
		})
	}
	e.running[place] = endIt
	e.leaving[place] = func() {
		e.f.store.Write(platform.EndpointKind, id, engine.Record("draining"))
		time.AfterFunc(leaveTime, func() { endIt("no request") })
	}
	engine.SetBehaviour(func(r *http.Request) hosting.Behaviour {
		e.mu.Lock()
		e.arrived++
		e.mu.Unlock()
		if e.refuses != nil && e.refuses(place) || e.refusesID != nil && e.refusesID(place, id) {
			return hosting.Refuse
		}
		body := r.Header.Get("Body-Text")
		if e.fatalPart != "" && !time.Now().Before(e.harmlessUntil) && strings.Contains(r.Header.Get("Prompt-Prefix"), e.fatalPart+":") {
			body = e.fatalPart
		}
		if body != e.fatalPart && !e.fatal(body) {
			if e.slow.Load() {
				time.Sleep(slowRunTime)
			}
			time.Sleep(runTime)
			if e.behave != nil {
				return e.behave(place, r)
			}
			return hosting.Serve
		}
		e.mu.Lock()
		e.sends = append(e.sends, engineExit{time.Now(), id, body})
		e.mu.Unlock()
		e.writeStart(r)
		time.Sleep(e.fatalTime)
		endIt(body)
		return hosting.CloseUnanswered
	})
	engine.SetHostSlowdown(e.hostSlowdown)
	engine.SetHeaders(func(r *http.Request) http.Header {
		if e.answerHeaders == nil {
			return nil
		}
		return e.answerHeaders(place, id, r)
	})
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(text)))
		r.Header.Set("Body-Text", string(text))
		r = r.WithContext(context.WithValue(r.Context(), writerKey{}, w))
		if e.admit != nil {
			defer e.admit(place, id)()
		}
		engine.ServeHTTP(w, r)
	})
	go func() { _ = server.Serve(silenceableListener{l, &silent}) }()
	e.stop = append(e.stop, func() { _ = server.Close() })
	record := engine.Record("ready")
	if e.recordDelay == 0 {
		e.f.store.Write(platform.EndpointKind, id, record)
		return
	}
	time.AfterFunc(e.recordDelay, func() { e.f.store.Write(platform.EndpointKind, id, record) })
}

// writerKey is the key of a request's response writer.
type writerKey struct{}

// writeStart writes the start of an answer.
func (e *engineFleet) writeStart(r *http.Request) {
	w, _ := r.Context().Value(writerKey{}).(http.ResponseWriter)
	if e.fatalStart == "" || w == nil {
		return
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Stamp", "stamp")
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, e.fatalStart)
	_ = http.NewResponseController(w).Flush()
}

// silenceableListener is the listener of an engine that may end without a trace.
type silenceableListener struct {
	net.Listener
	silent *atomic.Bool
}

// Accept waits for the next connection.
func (l silenceableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return silenceableConn{c, l.silent}, nil
}

// silenceableConn is a connection of such an engine.
type silenceableConn struct {
	net.Conn
	silent *atomic.Bool
}

// Write sends nothing once the engine is silent.
func (c silenceableConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close leaves the peer's end open once the engine is silent.
func (c silenceableConn) Close() error {
	if c.silent.Load() {
		return nil
	}
	return c.Conn.Close()
}

// recordExit records that an engine ends with everything that it runs. Its record expires, and another
// engine starts at its address later.
func (e *engineFleet) recordExit(place int, id, body string) {
	e.mu.Lock()
	e.exits = append(e.exits, engineExit{time.Now(), id, body})
	e.mu.Unlock()
	if e.sameIDs {
		time.AfterFunc(restartDelay, func() { e.start(place) })
		return
	}
	time.AfterFunc(recordLifetime, func() { e.f.store.Remove(platform.EndpointKind, id) })
	time.AfterFunc(replacementDelay, func() { e.start(place) })
}

// leave lets the engine at a place say that it leaves, and end later.
func (e *engineFleet) leave(place int) {
	e.mu.Lock()
	leave := e.leaving[place]
	e.mu.Unlock()
	leave()
}

// exitPlace ends the engine at a place.
func (e *engineFleet) exitPlace(place int) {
	e.mu.Lock()
	endIt := e.running[place]
	e.mu.Unlock()
	endIt("no request")
}

// exitHalf ends every second engine at once.
func (e *engineFleet) exitHalf() { e.exitSome(func(place int) bool { return place%2 == 0 }) }

// exitSome ends the engines at some places at once.
func (e *engineFleet) exitSome(which func(place int) bool) {
	e.mu.Lock()
	var list []func(string)
	for place, endIt := range e.running {
		if which(place) {
			list = append(list, endIt)
		}
	}
	e.mu.Unlock()
	for _, endIt := range list {
		endIt("no request")
	}
}

func (e *engineFleet) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for _, stop := range e.stop {
		stop()
	}
}

// arrivals returns the number of requests that engines have received.
func (e *engineFleet) arrivals() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrived
}

// exitsUnder returns the exits of engines that were caused by a body.
func (e *engineFleet) exitsUnder(body string) (out []engineExit) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, exit := range e.exits {
		if exit.body == body {
			out = append(out, exit)
		}
	}
	return out
}

// sentAfter counts the arrivals of a body later than propagationTime after the third engine
// exited under it.
func (e *engineFleet) sentAfter(body string) int { return e.sentAfterExits(body, 3) }

// sentAfterExits counts the arrivals of a body later than propagationTime after so many engines
// exited under it.
func (e *engineFleet) sentAfterExits(body string, exits int) (n int) {
	ends := e.exitsUnder(body)
	if len(ends) < exits {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sends {
		if s.body == body && s.at.Sub(ends[exits-1].at) > propagationTime {
			n++
		}
	}
	return n
}

// clientReply is the answer that a client received.
type clientReply struct {
	status int
	// complete is true if the whole stream arrived.
	complete   bool
	text       string
	retryAfter string
}

// ask sends a body to one daemon over a new connection.
func (f *testFleet) ask(daemon int, path, body string) clientReply {
	return f.askWith(daemon, path, body, map[string]string{"Request-Id": f.nextID()})
}

// askWith is like ask, with further headers.
func (f *testFleet) askWith(daemon int, path, body string, headers map[string]string) clientReply {
	return f.askFor(stay, daemon, path, body, headers)
}

// askFor is like askWith, and gives the request up after a time.
func (f *testFleet) askFor(patience time.Duration, daemon int, path, body string, headers map[string]string) clientReply {
	host := f.network.Host(storeLink)
	client := &http.Client{Transport: &http.Transport{DialContext: host.DialContext, DisableKeepAlives: true}}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.daemons[daemon].c.Deployment.Callers.String()+path, strings.NewReader(body))
	if err != nil {
		f.t.Error(err)
		return clientReply{}
	}
	r.Host = modelHost
	r.Header.Set("Deadline-Ms", "15000")
	r.Header.Set("Authorization", "Bearer "+deskKey)
	if !f.withoutTokens {
		r.Header.Set("Token-Count", fmt.Sprint(promptTokens, ",100"))
	}
	r.Header.Set(askedHeader, fmt.Sprint(daemon))
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	resp, err := client.Do(r)
	if err != nil {
		return clientReply{text: err.Error()}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(bufio.NewReader(resp.Body))
	complete := err == nil && resp.StatusCode == http.StatusOK && strings.Contains(string(text), hosting.EventText(engineEvents))
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		text = append(text, err.Error()...)
	}
	return clientReply{resp.StatusCode, complete, string(text), resp.Header.Get("Retry-After")}
}

func (f *testFleet) nextID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	return fmt.Sprintf("request-%d", f.requests)
}
