package integration

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"brasschute/internal/role/gateway"
	"brasschute/internal/standin/hosting"
	"brasschute/platform"
)

// Names of the hosted deployment that the tests configure.
const (
	hostedDomain = "desk.example"
	streamPath   = "/letters/"
	onceTarget   = "/postings/"
	againPath    = "/lookups/"
	modelService = "lm"
	plainService = "app"
	deskKey      = "desk-key"
	deskName     = "desk"
)

// sites counts the hosted deployments that were started.
var sites atomic.Int32

// site is a hosted deployment: stand-ins in this process, daemons in their own.
type site struct {
	t       testing.TB
	number  int
	store   *hosting.Store
	cloud   *hosting.Cloud
	cloudAt string
	hosts   []*gatewayHost
	engines map[string]*hosting.Engine
	next    int
	config  hostedConfig
	// duties are those that the daemons' settings list.
	duties string
	client *http.Client
}

// gatewayHost is one daemon with its settings file.
type gatewayHost struct {
	*process
	s       *site
	name    string
	ip      string
	file    string
	storeAt string
}

type hostedRoute struct {
	Name, Host, PathPrefix, Kind, Service string
	TimeoutMs, SloMs, GapSloMs            int
	MaxAttempts                           int
	Public, Resumable, SessionAffinity    bool
}

type hostedOrganisation struct {
	Name        string
	ApiKeys     []string //nolint:revive // the platform's spelling
	Unit        string
	PlainTokens int
	RatePerS    float64
	Burst       float64
}

type hostedService struct {
	Name   string
	Engine map[string]any `json:",omitempty"`
	Scale  map[string]any `json:",omitempty"`
}

type hostedConfig struct {
	Version  int
	Routes   []hostedRoute
	Services []hostedService
	Limits   struct{ MaxBodyBytes int }
	Tenants  []hostedOrganisation
}

// newSite starts a store and a cloud, with a configuration in the store.
func newSite(t testing.TB) *site {
	t.Helper()
	if p, ok := t.(interface{ Parallel() }); ok {
		p.Parallel()
	}
	s := &site{
		t: t, number: int(sites.Add(1)), store: hosting.NewStore(), cloud: new(hosting.Cloud),
		engines: make(map[string]*hosting.Engine), duties: `[]`,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	t.Cleanup(s.store.Close)
	s.cloudAt = s.serve(s.cloud)
	s.config = hostedConfig{
		Version: 1,
		Routes: []hostedRoute{
			{Name: "letters", Host: hostedDomain, PathPrefix: streamPath, Kind: "streaming", Service: modelService, TimeoutMs: 15000, SloMs: 1000, MaxAttempts: 2, Resumable: true},
			{Name: "postings", Host: hostedDomain, PathPrefix: onceTarget, Kind: "non_idempotent", Service: plainService, TimeoutMs: 10000, SloMs: 500, MaxAttempts: 2},
			{Name: "lookups", Host: hostedDomain, PathPrefix: againPath, Kind: "idempotent", Service: plainService, TimeoutMs: 10000, SloMs: 500, MaxAttempts: 2},
		},
		Services: []hostedService{{Name: modelService, Engine: map[string]any{"Slots": 8, "KvTokens": 100000}}, {Name: plainService}},
		Tenants:  []hostedOrganisation{{Name: deskName, ApiKeys: []string{deskKey}, PlainTokens: 100}},
	}
	s.config.Limits.MaxBodyBytes = 1 << 16
	s.configure(func(*hostedConfig) {})
	return s
}

// configure writes a new version of the configuration.
func (s *site) configure(change func(*hostedConfig)) {
	change(&s.config)
	s.config.Version++
	s.store.Write("config", "main", s.config)
}

// serve starts a server on a loopback port and returns its address.
func (s *site) serve(h http.Handler) string {
	s.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	s.t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// engine starts an engine and lists it.
func (s *site) engine(c hosting.Config) *hosting.Engine {
	s.t.Helper()
	var e *hosting.Engine
	c.Address = s.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.ServeHTTP(w, r) }))
	if c.Zone == "" {
		c.Zone = "hall-a"
	}
	e = hosting.NewEngine(c)
	s.engines[c.ID] = e
	s.store.Write(platform.EndpointKind, c.ID, e.Record("ready"))
	return e
}

// host starts a daemon and waits until it is ready.
func (s *site) host() *gatewayHost {
	s.t.Helper()
	h := s.unready()
	h.awaitReady()
	return h
}

func (s *site) unready() *gatewayHost {
	s.t.Helper()
	h := s.stopped()
	h.start()
	return h
}

// stopped prepares a host whose daemon has not started.
func (s *site) stopped() *gatewayHost {
	s.t.Helper()
	s.next++
	h := &gatewayHost{s: s, name: fmt.Sprintf("front-%d", s.next), ip: fmt.Sprintf("127.%d.%d.%d", 200+s.number>>8, s.number&0xff, s.next)}
	h.storeAt = s.serve(s.store.HandlerFor(h.name))
	h.file = filepath.Join(s.t.TempDir(), "boot.toml")
	h.writeSettings("")
	s.hosts = append(s.hosts, h)
	return h
}

func (h *gatewayHost) start() {
	h.process = startWith(h.s.t, []string{platform.SettingsVariable + "=" + h.file}, "brasschute", h.name, "gateway")
}

// writeSettings writes the settings file, with more lines at its end.
func (h *gatewayHost) writeSettings(more string) {
	seeds := []string{}
	for _, other := range h.s.hosts {
		seeds = append(seeds, fmt.Sprintf("%q", other.ip+":8109"))
	}
	text := fmt.Sprintf(`Node = %[1]q
Ip = %[2]q
Zone = "hall-a"
PortRange = [7600, 7615]
Seeds = [%[3]s]
FirstStart = true
Unknown = "ignored"
[Zones]
hall-a = "r"
[Listen]
Front = "%[2]s:8101"
Ready = "%[2]s:8104"
Control = "%[2]s:8109"
[Limits]
MemoryMb = 284
[Bounds]
DrainMs = 2000
ConfigApplyMs = 2000
GraceS = 8
RetryRatio = 0.2
RetryWindowS = 10
RetrySlack = 56
QuotaWindowS = 8
QuotaOverage = 0.1
QuotaSlack = 0
LeaseMs = 3000
UsageWindowS = 1
UsageLateS = 10
[Platform]
Address = %[4]q
[Cloud]
Address = %[5]q
Duties = %[6]s
%[7]s
`, h.name, h.ip, strings.Join(seeds, ","), h.storeAt, h.s.cloudAt, h.s.duties, more)
	if err := os.WriteFile(h.file, []byte(text), 0o600); err != nil {
		h.s.t.Fatal(err)
	}
}

// startsAgain writes settings that say that the fleet has run before.
func (h *gatewayHost) startsAgain() {
	h.s.t.Helper()
	text, err := os.ReadFile(h.file)
	if err != nil {
		h.s.t.Fatal(err)
	}
	text = bytes.Replace(text, []byte("FirstStart = true"), []byte("FirstStart = false"), 1)
	if err := os.WriteFile(h.file, text, 0o600); err != nil {
		h.s.t.Fatal(err)
	}
}

func (h *gatewayHost) awaitReady() {
	h.s.t.Helper()
	eventually(h.s.t, h.name+" ready", func() error { return h.ready(http.StatusOK) })
}

func (h *gatewayHost) ready(status int) error {
	resp, err := h.s.client.Get("http://" + h.ip + ":8104/api/ready")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return want("readiness", resp.StatusCode, status)
}

// beliefs asks a daemon what it believes.
func (h *gatewayHost) beliefs(t testing.TB) gateway.View {
	t.Helper()
	resp, err := h.s.client.Get("http://" + h.ip + ":7600" + gateway.ViewPath)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var b gateway.View
	if err := json.NewDecoder(resp.Body).Decode(&b); err != nil {
		t.Fatal(err)
	}
	return b
}

// hostedRequest is one client request.
type hostedRequest struct {
	ID     string
	Method string
	Target string
	Key    string
	Header map[string]string
	Body   string
}

// hostedAnswer is what came back; err is set if the answer was cut.
type hostedAnswer struct {
	status int
	header http.Header
	body   string
	err    error
}

var requests atomic.Int64

// send sends a request over a connection of its own.
func (h *gatewayHost) send(q hostedRequest) hostedAnswer {
	if q.ID == "" {
		q.ID = fmt.Sprintf("request-%d", requests.Add(1))
	}
	if q.Method == "" {
		q.Method = http.MethodPost
	}
	r, err := http.NewRequest(q.Method, "http://"+h.ip+":8101"+q.Target, strings.NewReader(q.Body))
	if err != nil {
		return hostedAnswer{err: err}
	}
	r.Host = hostedDomain
	r.Header.Set("Request-Id", q.ID)
	r.Header.Set("Deadline-Ms", "20000")
	if q.Key != "" {
		r.Header.Set("Authorization", "Bearer "+q.Key)
	}
	for name, value := range q.Header {
		r.Header.Set(name, value)
	}
	resp, err := h.s.client.Do(r)
	if err != nil {
		return hostedAnswer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return hostedAnswer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// lines returns the log lines of a daemon with a message.
func (h *gatewayHost) lines(message string) []map[string]any {
	text, _ := os.ReadFile(h.log.Name())
	var out []map[string]any
	scanner := bufio.NewScanner(bytes.NewReader(text))
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var line map[string]any
		if json.Unmarshal(scanner.Bytes(), &line) == nil && line["msg"] == message {
			out = append(out, line)
		}
	}
	return out
}

// inForce is the number of the configuration that a daemon last took over.
func (h *gatewayHost) inForce() int {
	lines := h.lines("configuration in force")
	if len(lines) == 0 {
		return 0
	}
	n, _ := lines[len(lines)-1]["number"].(float64)
	return int(n)
}

func streamText(to int) string {
	var b strings.Builder
	for n := 1; n <= to; n++ {
		b.WriteString(hosting.EventText(n))
	}
	return b.String()
}

// dialHost opens a client's connection to a daemon.
func dialHost(t testing.TB, h *gatewayHost) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", h.ip+":8101")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// exchange sends a request over a kept connection and tells whether the daemon
// closes it after the answer.
func exchange(t testing.TB, c net.Conn, request string) (status int, closing bool) {
	t.Helper()
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close
}
