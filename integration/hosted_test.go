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
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"brasschute/internal/role/gateway"
	"brasschute/internal/standin/hosting"
	"brasschute/platform"
)

// Names in the configuration of the hosted deployments, which the tests use in requests.
const (
	hostedDomain      = "desk.example"
	streamingPath     = "/letters/"
	nonIdempotentPath = "/postings/"
	idempotentPath    = "/lookups/"
	modelService      = "lm"
	plainService      = "app"
	deskKey           = "desk-key"
	deskName          = "desk"
)

// siteCount counts the hosted deployments started so far; it gives each one its network.
var siteCount atomic.Int32

const (
	// siteNetworks is the number of networks 127.x.0.0/16 of one run of the tests, firstSiteNetwork the first x.
	siteNetworks     = 4
	firstSiteNetwork = 200
	// maxRuns is the number of runs at the same time on one machine.
	maxRuns = 12
)

// claimSiteNetworks returns the first network of this run of the tests. Hosted daemons listen on fixed ports, so that
// another run on the same machine would otherwise get their requests. siteClaim claims the networks as long as the
// process lives.
var claimSiteNetworks = sync.OnceValues(func() (first int, err error) {
	for run := range maxRuns {
		if siteClaim, err = net.Listen("tcp", fmt.Sprintf("127.199.0.%d:8199", 1+run)); err == nil {
			return firstSiteNetwork + siteNetworks*run, nil
		}
	}
	return 0, fmt.Errorf("%d runs of the tests on this machine: %w", maxRuns, err)
})

var siteClaim net.Listener

// siteIP returns the address of a host of a hosted deployment.
func siteIP(t testing.TB, site, host int) string {
	t.Helper()
	first, err := claimSiteNetworks()
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.%d.%d.%d", first+site>>8, site&0xff, host)
}

// site is a deployment on the hosting platform: stand-ins for store, cloud and engines in this
// process, daemons in processes of their own.
type site struct {
	t            testing.TB
	number       int
	store        *hosting.Store
	cloud        *hosting.Cloud
	cloudAddress string
	hosts        []*gatewayHost
	engines      map[string]*hosting.Engine
	lastHost     int
	config       hostedConfig
	// wrapStore changes how hosts see the store; nil changes nothing.
	wrapStore func(http.Handler) http.Handler
	// duties is the list of duties in the daemons' settings, as TOML.
	duties string
	client *http.Client
}

// gatewayHost is a daemon with its settings file.
type gatewayHost struct {
	*process
	s            *site
	name         string
	ip           string
	file         string
	storeAddress string
}

// hostedRoute is a route as the platform writes it.
type hostedRoute struct {
	Name, Host, PathPrefix, Kind, Service string
	TimeoutMs, SloMs, GapSloMs            int
	MaxAttempts                           int
	Public, Resumable, SessionAffinity    bool
}

// hostedOrganisation is an organisation as the platform writes it.
type hostedOrganisation struct {
	Name        string
	ApiKeys     []string //nolint:revive // the platform's spelling
	Unit        string
	PlainTokens int
	RatePerS    float64
	Burst       float64
}

// hostedService is a service as the platform writes it.
type hostedService struct {
	Name   string
	Engine map[string]any `json:",omitempty"`
	Scale  map[string]any `json:",omitempty"`
}

// hostedConfig is the configuration as the platform writes it to the store.
type hostedConfig struct {
	Version  int
	Routes   []hostedRoute
	Services []hostedService
	Limits   struct{ MaxBodyBytes int }
	Tenants  []hostedOrganisation
}

// newSite starts a store and a cloud, and writes a configuration to the store.
func newSite(t testing.TB) *site {
	t.Helper()
	if p, ok := t.(interface{ Parallel() }); ok {
		p.Parallel()
	}
	s := &site{
		t: t, number: int(siteCount.Add(1)), store: hosting.NewStore(), cloud: new(hosting.Cloud),
		engines: make(map[string]*hosting.Engine), duties: `[]`,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	t.Cleanup(s.store.Close)
	s.cloudAddress = s.serve(s.cloud)
	s.config = hostedConfig{
		Version: 1,
		Routes: []hostedRoute{
			{Name: "letters", Host: hostedDomain, PathPrefix: streamingPath, Kind: "streaming", Service: modelService, TimeoutMs: 15000, SloMs: 1000, MaxAttempts: 2, Resumable: true},
			{Name: "postings", Host: hostedDomain, PathPrefix: nonIdempotentPath, Kind: "non_idempotent", Service: plainService, TimeoutMs: 10000, SloMs: 500, MaxAttempts: 2},
			{Name: "lookups", Host: hostedDomain, PathPrefix: idempotentPath, Kind: "idempotent", Service: plainService, TimeoutMs: 10000, SloMs: 500, MaxAttempts: 2},
		},
		Services: []hostedService{{Name: modelService, Engine: map[string]any{"Slots": 8, "KvTokens": 100000}}, {Name: plainService}},
		Tenants:  []hostedOrganisation{{Name: deskName, ApiKeys: []string{deskKey}, PlainTokens: 100}},
	}
	s.config.Limits.MaxBodyBytes = 1 << 16
	s.configure(func(*hostedConfig) {})
	return s
}

// configure changes the configuration and writes it to the store as a new version.
func (s *site) configure(change func(*hostedConfig)) {
	change(&s.config)
	s.config.Version++
	s.store.Write("config", "main", s.config)
}

// serve starts an HTTP server on a loopback port and returns its address.
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

// addEngine starts an engine and writes its record to the store.
func (s *site) addEngine(c hosting.Config) *hosting.Engine {
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

// addReadyHost starts a daemon and waits until it is ready.
func (s *site) addReadyHost() *gatewayHost {
	s.t.Helper()
	h := s.addHost()
	h.awaitReady()
	return h
}

// addHost starts a daemon without waiting until it is ready.
func (s *site) addHost() *gatewayHost {
	s.t.Helper()
	h := s.prepareHost()
	h.start()
	return h
}

// prepareHost writes the settings of a new host without starting its daemon.
func (s *site) prepareHost() *gatewayHost {
	s.t.Helper()
	s.lastHost++
	h := &gatewayHost{s: s, name: fmt.Sprintf("front-%d", s.lastHost), ip: siteIP(s.t, s.number, s.lastHost)}
	store := s.store.HandlerFor(h.name)
	if s.wrapStore != nil {
		store = s.wrapStore(store)
	}
	h.storeAddress = s.serve(store)
	h.file = filepath.Join(s.t.TempDir(), "boot.toml")
	h.writeSettings("")
	s.hosts = append(s.hosts, h)
	return h
}

// start starts the daemon with the settings file.
func (h *gatewayHost) start() {
	h.process = startWithEnv(h.s.t, []string{platform.SettingsFileVariable + "=" + h.file}, "brasschute", h.name, "gateway")
}

// writeSettings writes the settings file with more lines at its end. All hosts prepared so far
// are seeds.
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
`, h.name, h.ip, strings.Join(seeds, ","), h.storeAddress, h.s.cloudAddress, h.s.duties, more)
	if err := os.WriteFile(h.file, []byte(text), 0o600); err != nil {
		h.s.t.Fatal(err)
	}
}

// clearFirstStart changes the settings to say that the fleet has run before.
func (h *gatewayHost) clearFirstStart() {
	h.s.t.Helper()
	h.replaceSetting("FirstStart = true", "FirstStart = false")
}

// setUsageWindow changes the length of usage windows in the settings.
func (h *gatewayHost) setUsageWindow(d time.Duration) {
	h.s.t.Helper()
	h.replaceSetting("UsageWindowS = 1", fmt.Sprintf("UsageWindowS = %d", int(d.Seconds())))
}

// memorySetting is the line with the memory of a host.
const memorySetting = "MemoryMb = 284"

// replaceSetting replaces a line of the settings file.
func (h *gatewayHost) replaceSetting(line, by string) {
	h.s.t.Helper()
	text, err := os.ReadFile(h.file)
	if err != nil {
		h.s.t.Fatal(err)
	}
	if !bytes.Contains(text, []byte(line)) {
		h.s.t.Fatalf("%q is not in %s", line, h.file)
	}
	text = bytes.Replace(text, []byte(line), []byte(by), 1)
	if err := os.WriteFile(h.file, text, 0o600); err != nil {
		h.s.t.Fatal(err)
	}
}

func (h *gatewayHost) awaitReady() {
	h.s.t.Helper()
	eventually(h.s.t, h.name+" ready", func() error { return h.checkReadiness(http.StatusOK) })
}

// checkReadiness returns an error unless the readiness endpoint answers with status.
func (h *gatewayHost) checkReadiness(status int) error {
	resp, err := h.s.client.Get("http://" + h.ip + ":8104/api/ready")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return checkEqual("readiness", resp.StatusCode, status)
}

// view returns the daemon's local view of the system.
func (h *gatewayHost) view(t testing.TB) gateway.View {
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

// hostedRequest is a client request. An empty ID gets a new one, an empty Method is POST.
type hostedRequest struct {
	ID     string
	Method string
	Target string
	Key    string
	Header map[string]string
	Body   string
}

// hostedAnswer is the answer to a request. err is set if the request failed or the answer was
// cut.
type hostedAnswer struct {
	status int
	header http.Header
	body   string
	err    error
}

// requestCount counts the requests sent without an ID; it gives each one its id.
var requestCount atomic.Int64

// send sends a request over a new connection and reads the whole answer.
func (h *gatewayHost) send(q hostedRequest) hostedAnswer {
	if q.ID == "" {
		q.ID = fmt.Sprintf("request-%d", requestCount.Add(1))
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

// logLines returns the lines of the daemon's log that have the given message.
func (h *gatewayHost) logLines(message string) []map[string]any {
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

// configurationInForce returns the number of the configuration that came into force last, by the
// daemon's log, or 0.
func (h *gatewayHost) configurationInForce() int {
	lines := h.logLines("configuration in force")
	if len(lines) == 0 {
		return 0
	}
	n, _ := lines[len(lines)-1]["number"].(float64)
	return int(n)
}

// streamText returns the text of the first events of a stream, up to event number to.
func streamText(to int) string {
	var b strings.Builder
	for n := 1; n <= to; n++ {
		b.WriteString(hosting.EventText(n))
	}
	return b.String()
}

// dialHost opens a connection to the daemon's client port.
func dialHost(t testing.TB, h *gatewayHost) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", h.ip+":8101")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// exchange sends a request over a connection and returns the status of the answer and whether the
// daemon closes the connection after it.
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
