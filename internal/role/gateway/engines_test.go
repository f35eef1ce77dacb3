package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"brasschute/internal/fault/shaper"
	"brasschute/internal/standin/hosting"
	"brasschute/platform"
)

// askedHeader names the daemon that a client asked; daemons pass it on.
const askedHeader = "Asked-Daemon"

// Names of the deployment of model engines.
const (
	modelService = "lm"
	modelHost    = "desk.example"
	// streamPath is a route of streams that may not be resumed, resumePath one of streams
	// that may be.
	streamPath = "/letters/"
	resumePath = "/drafts/"
	deskKey    = "desk-key"
)

const (
	// engineEvents is the length of a stream, runTime the time of a run before its first event.
	engineEvents = 20
	runTime      = 50 * time.Millisecond
	// rebirthTime is when an engine is back that starts again at once.
	rebirthTime = 100 * time.Millisecond
	// restartTime is when another engine stands at the address of one that ended, recordTime
	// when the record of the one that ended lapses.
	restartTime = 5 * time.Second
	recordTime  = 3200 * time.Millisecond
)

// end is one engine's end.
type end struct {
	at   time.Time
	id   string
	body string
}

// engines are model engines of a fleet; a request may end each that runs it.
type engines struct {
	f    *testFleet
	host *shaper.Host
	// sameIDs: an engine has the id of the one whose place it takes, and starts at once.
	sameIDs bool
	// fatal tells whether a body ends the engine that runs it.
	fatal func(body string) bool
	// say is what an engine says of itself in an answer; nil for nothing.
	say func(place int, id string, r *http.Request) http.Header
	// refuses tells whether an engine turns requests away; nil for none.
	refuses func(place int) bool

	mu   sync.Mutex
	last int
	ends []end
	// sends are the arrivals of fatal requests at engines.
	sends []end
	// living end engines by place.
	living map[int]func(body string)
	stop   []func()
	closed bool
}

// startEngines starts [engineCount] engines and a configuration with routes to them.
func (f *testFleet) startEngines(fatal func(string) bool) *engines {
	f.t.Helper()
	e := &engines{f: f, host: f.network.Host(storeLink), fatal: fatal, living: make(map[int]func(string))}
	f.stop = append(f.stop, e.close)
	for i := range engineCount {
		e.start(i)
	}
	route := func(name, prefix string, resumable bool) map[string]any {
		return map[string]any{
			"Name": name, "Host": modelHost, "PathPrefix": prefix, "Kind": "streaming", "Service": modelService, "TimeoutMs": 15000,
			"SloMs": 1000, "MaxAttempts": 3, "Resumable": resumable,
		}
	}
	f.number++
	f.store.Write(platform.CatalogKind, "main", map[string]any{
		"Version": f.number,
		"Routes":  []any{route("letters", streamPath, false), route("drafts", resumePath, true)},
		"Services": []any{map[string]any{
			"Name": modelService, "MaxConns": 600, "Engine": map[string]any{"Slots": 128, "KvTokens": 666466},
		}},
		"Tenants": []any{map[string]any{"Name": "desk", "ApiKeys": []string{deskKey}}},
	})
	return e
}

// start starts the next engine at the address of a place.
func (e *engines) start(place int) {
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
	e.last++
	id := fmt.Sprintf("i-%03d", e.last)
	if e.sameIDs {
		id = fmt.Sprintf("i-%03d", place)
	}
	engine := hosting.NewEngine(hosting.Config{
		ID: id, Service: modelService, Zone: fmt.Sprintf("zone-%d", place%e.f.zones), Address: address.String(), StreamLength: engineEvents,
		StartedUnixMilli: time.Now().UnixMilli(),
	})
	server := &http.Server{}
	var once sync.Once
	endIt := func(body string) { once.Do(func() { e.end(place, id, body, server) }) }
	e.living[place] = endIt
	engine.SetBehaviour(func(r *http.Request) hosting.Behaviour {
		if e.refuses != nil && e.refuses(place) {
			return hosting.Refuse
		}
		body := r.Header.Get("Body-Text")
		if !e.fatal(body) {
			time.Sleep(runTime)
			return hosting.Serve
		}
		e.mu.Lock()
		e.sends = append(e.sends, end{time.Now(), id, body})
		e.mu.Unlock()
		time.Sleep(runTime)
		endIt(body)
		return hosting.CloseUnanswered
	})
	engine.SetHeaders(func(r *http.Request) http.Header {
		if e.say == nil {
			return nil
		}
		return e.say(place, id, r)
	})
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(text)))
		r.Header.Set("Body-Text", string(text))
		engine.ServeHTTP(w, r)
	})
	go func() { _ = server.Serve(l) }()
	e.stop = append(e.stop, func() { _ = server.Close() })
	e.f.store.Write(platform.EndpointKind, id, engine.Record("ready"))
}

// end ends an engine with all that it runs. Its record lapses, and later another engine
// stands at its address.
func (e *engines) end(place int, id, body string, server *http.Server) {
	e.mu.Lock()
	e.ends = append(e.ends, end{time.Now(), id, body})
	e.mu.Unlock()
	_ = server.Close()
	if e.sameIDs {
		time.AfterFunc(rebirthTime, func() { e.start(place) })
		return
	}
	time.AfterFunc(recordTime, func() { e.f.store.Remove(platform.EndpointKind, id) })
	time.AfterFunc(restartTime, func() { e.start(place) })
}

// endHalf ends every second engine at once.
func (e *engines) endHalf() {
	e.mu.Lock()
	var list []func(string)
	for place, endIt := range e.living {
		if place%2 == 0 {
			list = append(list, endIt)
		}
	}
	e.mu.Unlock()
	for _, endIt := range list {
		endIt("no request")
	}
}

func (e *engines) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for _, stop := range e.stop {
		stop()
	}
}

// ended lists the ends of engines under a body.
func (e *engines) ended(body string) (out []end) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, one := range e.ends {
		if one.body == body {
			out = append(out, one)
		}
	}
	return out
}

// sentAfter counts the sends of a body that come more than contactTime after the third
// engine ended under it.
func (e *engines) sentAfter(body string) (n int) {
	ends := e.ended(body)
	if len(ends) < 3 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sends {
		if s.body == body && s.at.Sub(ends[2].at) > contactTime {
			n++
		}
	}
	return n
}

// reply is what a client got.
type reply struct {
	status int
	// whole: the stream came to its end.
	whole bool
	text  string
	after string
}

// ask sends a body to one daemon, over a connection of its own.
func (f *testFleet) ask(daemon int, path, body string) reply {
	host := f.network.Host(storeLink)
	client := &http.Client{Transport: &http.Transport{DialContext: host.DialContext, DisableKeepAlives: true}}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.daemons[daemon].c.Deployment.Callers.String()+path, strings.NewReader(body))
	if err != nil {
		f.t.Error(err)
		return reply{}
	}
	r.Host = modelHost
	r.Header.Set("Request-Id", f.nextID())
	r.Header.Set("Deadline-Ms", "15000")
	r.Header.Set("Authorization", "Bearer "+deskKey)
	r.Header.Set("Token-Count", "600,100")
	r.Header.Set(askedHeader, fmt.Sprint(daemon))
	answer, err := client.Do(r)
	if err != nil {
		return reply{text: err.Error()}
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(bufio.NewReader(answer.Body))
	whole := err == nil && answer.StatusCode == http.StatusOK && strings.Contains(string(text), hosting.EventText(engineEvents))
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		text = append(text, err.Error()...)
	}
	return reply{answer.StatusCode, whole, string(text), answer.Header.Get("Retry-After")}
}

func (f *testFleet) nextID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	return fmt.Sprintf("request-%d", f.asked)
}
