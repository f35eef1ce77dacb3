package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/fault/injector"
	"brasschute/internal/ops/printer"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/serve/recorder"
	"brasschute/internal/standin/engine"
	"brasschute/internal/standin/plain"
	"brasschute/internal/standin/platform"
)

// operatorKey is the key of the operator "alex".
const operatorKey = "test-operator"

// peerKey is the key, in hexadecimal, with which the daemons under test sign their calls to each
// other.
var peerKey = strings.Repeat("5a", 32)

// callerKeys holds the API key of each organisation.
var callerKeys = map[string]string{"desk": "desk-key", "branch": "branch-key"}

// process is a child process running the test binary in a role.
type process struct {
	t      testing.TB
	name   string
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{}
}

// start runs the test binary in a role ("brasschute" or "standin") with command line arguments.
func start(t testing.TB, role, name string, args ...string) *process {
	t.Helper()
	return startWithEnv(t, nil, role, name, args...)
}

// startWithEnv is like start, with additional environment variables.
func startWithEnv(t testing.TB, env []string, role, name string, args ...string) *process {
	t.Helper()
	return startProgram(t, append([]string{roleEnv + "=" + role}, env...), os.Args[0], name, args...)
}

// startProgram runs a program with additional environment variables and command line arguments.
func startProgram(t testing.TB, env []string, path, name string, args ...string) *process {
	t.Helper()
	log, err := os.Create(filepath.Join(t.TempDir(), name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, name: name, log: log, exited: make(chan struct{})}
	p.cmd = exec.Command(path, args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// In a session of its own: otherwise a process that a test has stopped gets SIGHUP and SIGCONT
	// when the shell of the job in which the tests run ends, and it ends, or goes on under nohup.
	// As it gets no signals from the terminal then, it ends with the test binary.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(p.killAndCheckLog)
	return p
}

// killAndCheckLog kills the process and fails the test if its log shows a data race, a panic, or
// a configuration that replaced one with the same or a higher number. If the test has failed, it
// prints the log.
func (p *process) killAndCheckLog() {
	p.kill()
	text, _ := os.ReadFile(p.log.Name())
	if bytes.Contains(text, []byte("WARNING: DATA RACE")) || bytes.Contains(text, []byte("panic:")) {
		p.t.Errorf("%s: data race or panic", p.name)
	}
	if last, next := configurationDecrease(text); next > 0 {
		p.t.Errorf("%s: configuration %d came into force after %d", p.name, next, last)
	}
	if p.t.Failed() {
		p.t.Logf("log of %s:\n%s", p.name, text)
	}
	_ = p.log.Close()
}

// configurationDecrease finds in a daemon's log a configuration that came into force after one
// with the same or a higher number, and returns both numbers, or zeros if there is none. It reads
// the log because a status request would miss a configuration that was in force only for a
// moment.
func configurationDecrease(log []byte) (last, next uint64) {
	for line := range bytes.Lines(log) {
		var entry struct {
			Msg    string
			Number uint64
		}
		if json.Unmarshal(line, &entry) != nil || entry.Msg != "configuration in force" {
			continue
		}
		if entry.Number <= last {
			return last, entry.Number
		}
		last = entry.Number
	}
	return 0, 0
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// awaitExit waits until the process has ended by itself and checks that its exit code is 0.
func (p *process) awaitExit() {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s did not stop", p.name)
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		p.t.Fatalf("%s: exit code %d", p.name, code)
	}
}

// fleet is a platform, daemons and endpoints in several zones.
type fleet struct {
	t        testing.TB
	platform *process
	// platformAddress is the platform's own address; daemons reach it through platformProxy.
	platformAddress string
	platformProxy   *injector.Injector
	entries         []*daemon
	engines         []*endpoint
	plainServices   []*endpoint
	// witnesses are plain services that acknowledge answers before these are released.
	witnesses []*endpoint
	// lastIP is the last octet handed out in each zone.
	lastIP map[int]int
	// subnet is the third octet of the fleet's addresses. Fleets with common addresses would
	// take each other's ports: a process connects from its own address, and the kernel gives
	// the connection any port that is free there.
	subnet int
	client *http.Client
}

// daemon is an entry daemon: it accepts the requests of callers.
type daemon struct {
	*process
	f               *fleet
	host            string
	zone            int
	ip              string
	callerAddress   string
	operatorAddress string
	peerProxy       *injector.Injector
	args            []string
}

// endpoint is a stand-in engine or plain service.
type endpoint struct {
	*process
	f       *fleet
	name    string
	zone    int
	address string
	proxy   *injector.Injector
}

func zoneName(z int) string { return fmt.Sprintf("zone-%d", z) }

// zoneNet returns the network of a zone in CIDR notation.
func zoneNet(z int) string { return fmt.Sprintf("127.%d.0.0/16", z) }

// fleetCount counts the fleets started so far; it gives each one its subnet.
var fleetCount atomic.Int32

const (
	// maxFleets is the number of subnets; later fleets use them again.
	maxFleets = 250
	// platformZone is the zone of the platform's own address.
	platformZone = 100
)

// newFleet starts a platform. The test adds endpoints, daemons and controllers.
func newFleet(t testing.TB) *fleet {
	t.Helper()
	if p, ok := t.(interface{ Parallel() }); ok {
		// Fleets have separate addresses and processes, so tests may run in parallel.
		p.Parallel()
	}
	f := &fleet{t: t, lastIP: make(map[int]int), subnet: int(fleetCount.Add(1)-1)%maxFleets + 1}
	f.client = &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	f.platformAddress = freeAddress(t, f.nextIP(platformZone))
	f.platform = start(t, "standin", "platform", "platform", "--listen", f.platformAddress)
	eventually(t, "platform", func() error { return f.getJSON("http://"+f.platformAddress+"/admin/calls", new(platform.Calls)) })
	f.platformProxy = f.newProxy("127.0.0.1", f.platformAddress)
	return f
}

// newProxy starts a proxy to target on a free port of ip.
func (f *fleet) newProxy(ip, target string) *injector.Injector {
	f.t.Helper()
	for {
		p, err := injector.New(injector.Config{Listen: ip + ":0", Target: target})
		if err != nil {
			f.t.Fatal(err)
		}
		// The kernel may offer a port that is assigned to a process which has not
		// bound it yet. The proxy must release it at once.
		if _, assigned := assignedAddresses.LoadOrStore(p.Address(), true); assigned {
			p.Close()
			continue
		}
		f.t.Cleanup(p.Close)
		return p
	}
}

// assignedAddresses holds every address handed out so far. Without it, the kernel may offer a
// port a second time before the process that it was meant for has bound it.
var assignedAddresses sync.Map

// freeAddress returns an address of ip with a port that is free and was not handed out before.
func freeAddress(t testing.TB, ip string) string {
	t.Helper()
	const attempts = 100
	for range attempts {
		address := fmt.Sprintf("%s:%d", ip, firstPort+rand.IntN(firstEphemeralPort-firstPort))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		if _, assigned := assignedAddresses.LoadOrStore(address, true); !assigned {
			return address
		}
	}
	t.Fatalf("no free port at %s", ip)
	return ""
}

// Ports for processes that are still to be started lie below those that the kernel gives out itself:
// a proxy's listener or a connection from the same IP would take one of these before the process
// listens.
const (
	firstPort          = 10000
	firstEphemeralPort = 32768
)

// nextIP returns an unused IP address in a zone.
func (f *fleet) nextIP(zone int) string {
	f.lastIP[zone]++
	return fmt.Sprintf("127.%d.%d.%d", zone, f.subnet, f.lastIP[zone])
}

// addEngine starts an engine of the pool "engines" with the model "letters-1".
func (f *fleet) addEngine(zone int, flags ...string) *endpoint {
	return f.addEndpoint(zone, "engine", fmt.Sprintf("engine-%d", len(f.engines)+1), "engines",
		append([]string{"--model", "letters-1"}, flags...), &f.engines)
}

// addPlainService starts a plain service of the pool "ledgers".
func (f *fleet) addPlainService(zone int) {
	f.addEndpoint(zone, "plain", fmt.Sprintf("ledger-%d", len(f.plainServices)+1), "ledgers", nil, &f.plainServices)
}

// addEndpoint starts a stand-in behind a proxy, waits until it answers, and appends it to list.
func (f *fleet) addEndpoint(zone int, role, name, pool string, flags []string, list *[]*endpoint) *endpoint {
	f.t.Helper()
	ip := f.nextIP(zone)
	e := &endpoint{f: f, name: name, zone: zone, address: freeAddress(f.t, ip)}
	e.proxy = f.newProxy(ip, e.address)
	args := append([]string{
		role, "--listen", e.address, "--advertise", e.proxy.Address(), "--platform", f.platformAddress, "--host", name + "-host",
		"--zone", zoneName(zone), "--name", name, "--pool", pool,
	}, flags...)
	e.process = start(f.t, "standin", name, args...)
	eventually(f.t, name, func() error { return f.getJSON("http://"+e.address+"/admin/executions", new(map[string]int)) })
	*list = append(*list, e)
	return e
}

// addWitness starts a plain service of the pool "witnesses".
func (f *fleet) addWitness(zone int) {
	f.addEndpoint(zone, "plain", fmt.Sprintf("witness-%d", len(f.witnesses)+1), "witnesses", nil, &f.witnesses)
}

// addEntry starts an entry daemon and waits until it answers operators. The extra lines are
// appended to its settings.
func (f *fleet) addEntry(zone int, extra ...string) *daemon {
	f.t.Helper()
	d := &daemon{f: f, host: fmt.Sprintf("entry-%d", len(f.entries)+1), zone: zone, ip: f.nextIP(zone)}
	d.callerAddress, d.operatorAddress = freeAddress(f.t, d.ip), freeAddress(f.t, d.ip)
	peers := freeAddress(f.t, d.ip)
	d.peerProxy = f.newProxy(d.ip, peers)
	file := filepath.Join(f.t.TempDir(), d.host+".yaml")
	text := fmt.Sprintf(`
Host: %s
AvailabilityZone: %s
Callers: %s
Operators: %s
Peers: %s
AdvertisedPeers: %s
Platform: %s
PeerKey: %s
OperatorKeys: [{Name: alex, KeyHash: %s}]
%s
`, d.host, zoneName(zone), d.callerAddress, d.operatorAddress, peers, d.peerProxy.Address(), f.platformProxy.Address(), peerKey,
		printer.Hash(operatorKey), strings.Join(extra, "\n"))
	if !strings.Contains(text, "Drain:") {
		text += "Drain: {BalancerLag: 10ms, Patience: 20s}\n"
	}
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	d.args = []string{"entry", "--settings", file}
	d.process = start(f.t, "brasschute", d.host, d.args...)
	f.entries = append(f.entries, d)
	eventually(f.t, d.host, func() error { _, err := d.status(); return err })
	return d
}

// restart starts a daemon whose process has ended.
func (d *daemon) restart() {
	d.f.t.Helper()
	d.process = start(d.f.t, "brasschute", d.host+"-again", d.args...)
	eventually(d.f.t, d.host, func() error { _, err := d.status(); return err })
}

// addController starts a controller with a lease duration of 1.5 s.
func (f *fleet) addController(zone int, name string) *process {
	f.t.Helper()
	ip := f.nextIP(zone)
	file := filepath.Join(f.t.TempDir(), name+".yaml")
	text := fmt.Sprintf(`
Host: %s
AvailabilityZone: %s
Callers: %s:1
Operators: %s:2
Peers: %s:3
Platform: %s
PeerKey: %s
Lease: {Duration: 1500ms}
`, name, zoneName(zone), ip, ip, ip, f.platformProxy.Address(), peerKey)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return start(f.t, "brasschute", name, "controller", "--settings", file)
}

// operator returns a client for the calls that operators make to the daemon.
func (d *daemon) operator() rpc.Operator { return printer.Client(d.operatorAddress, operatorKey) }

func (d *daemon) status() (*rpc.StatusReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return d.operator().Status(ctx, &rpc.StatusRequest{})
}

// apply applies a configuration through the daemon. from is the number of the configuration that
// the draft is based on.
func (d *daemon) apply(source string, from uint64) (*rpc.Applied, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return d.operator().Apply(ctx, &rpc.Draft{File: "test.yaml", Source: source, From: from})
}

// mustApply is like apply and fails the test on an error.
func (d *daemon) mustApply(source string, from uint64) *rpc.Applied {
	d.f.t.Helper()
	a, err := d.apply(source, from)
	if err != nil {
		d.f.t.Fatal(err)
	}
	return a
}

// awaitReady waits until the daemon has a configuration and knows all daemons of the fleet as
// alive and all its endpoints.
func (d *daemon) awaitReady() {
	d.f.t.Helper()
	eventually(d.f.t, d.host+" ready", func() error {
		s, err := d.status()
		if err != nil {
			return err
		}
		alive := 1
		for _, m := range s.Members {
			if m.State == rpc.State_ALIVE {
				alive++
			}
		}
		if err := checkEqual("daemons", alive, len(d.f.entries)); err != nil {
			return err
		}
		if s.ConfigurationNumber == 0 {
			return fmt.Errorf("no configuration")
		}
		return checkEqual("endpoints", len(s.Endpoints), len(d.f.engines)+len(d.f.plainServices)+len(d.f.witnesses))
	})
}

// awaitReady waits for all entry daemons.
func (f *fleet) awaitReady() {
	f.t.Helper()
	for _, d := range f.entries {
		d.awaitReady()
	}
}

// explain returns the record of how the daemon handled a request.
func (d *daemon) explain(id string) *recorder.Record {
	d.f.t.Helper()
	reply, err := d.operator().ExplainRequestID(context.Background(), &rpc.ExplainRequest{Request: id})
	if err != nil || !reply.Found {
		d.f.t.Fatalf("explain %s: %v, found %v", id, err, reply.GetFound())
	}
	var rec recorder.Record
	if err := json.Unmarshal([]byte(reply.RecordJson), &rec); err != nil {
		d.f.t.Fatal(err)
	}
	return &rec
}

// getJSON decodes the JSON response to a GET request into out.
func (f *fleet) getJSON(url string, out any) error {
	resp, err := f.client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// postJSON sends in as JSON and fails the test unless the status is 204.
func (f *fleet) postJSON(url string, in any) {
	f.t.Helper()
	body, err := json.Marshal(in)
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := f.client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		text, _ := io.ReadAll(resp.Body)
		f.t.Fatalf("%s: %d %s", url, resp.StatusCode, text)
	}
}

// setFaults sets the faults of the platform and replaces earlier ones.
func (f *fleet) setFaults(x platform.Faults) {
	f.postJSON("http://"+f.platformAddress+"/admin/faults", x)
}

// sendReclaimNotice makes the platform announce that it reclaims a host at a deadline.
func (f *fleet) sendReclaimNotice(host string, zone int, deadline time.Time) {
	f.t.Helper()
	f.postJSON("http://"+f.platformAddress+"/admin/notices", inventory.Notice{
		Host: identifier.Host(host), AvailabilityZone: identifier.AvailabilityZone(zoneName(zone)),
		Incarnation: 1 << 62, Deadline: deadline,
	})
}

// setBehaviour sets the behaviour of the stand-in: an engine.Behaviour or a plain.Behaviour.
func (e *endpoint) setBehaviour(b any) { e.f.postJSON("http://"+e.address+"/admin/behaviour", b) }

// setGate makes the engine stop each stream after a number of tokens until the gate changes; 0
// removes the gate.
func (e *endpoint) setGate(tokens int) { e.setBehaviour(engine.Behaviour{Gate: tokens}) }

// setHold makes the plain service run requests without answering them until the hold ends.
func (e *endpoint) setHold(on bool) { e.setBehaviour(plain.Behaviour{Hold: on}) }

// executions returns how often the endpoint began to run each request, by request id or key.
func (e *endpoint) executions() map[string]int {
	e.f.t.Helper()
	var out map[string]int
	if err := e.f.getJSON("http://"+e.address+"/admin/executions", &out); err != nil {
		e.f.t.Fatal(err)
	}
	return out
}

// executionCount sums the executions at several endpoints of a request id or idempotency key.
// Endpoints know a request by its key, or by its id with a random suffix ("id~...").
func executionCount(id string, endpoints ...*endpoint) int {
	n := 0
	for _, e := range endpoints {
		for name, count := range e.executions() {
			if name == id || strings.HasPrefix(name, id+"~") {
				n += count
			}
		}
	}
	return n
}

// runningStreams returns the number of running requests in the engine's load report.
func (e *endpoint) runningStreams() int {
	e.f.t.Helper()
	var out struct{ Running int }
	if err := e.f.getJSON("http://"+e.address+"/v1/load", &out); err != nil {
		e.f.t.Fatal(err)
	}
	return out.Running
}

// configuration returns the configuration of the tests with the given rules.
func configuration(rules ...string) string {
	return fmt.Sprintf(`Organisations:
  - {Name: desk, KeyHashes: [%s], Concurrency: 400, Queue: 100}
  - {Name: branch, KeyHashes: [%s], Concurrency: 400, Queue: 100}
Priorities: [urgent, normal, batch]
Services:
  - {Name: letters, Kind: model, Pool: engines, Idempotent: true, Timeout: 60s}
  - {Name: ledger, Kind: plain, Pool: ledgers, Idempotent: true, Timeout: 20s}
  - {Name: booking, Kind: plain, Pool: ledgers, Timeout: 20s}
  - {Name: confirm, Kind: plain, Pool: ledgers, RequireKey: true, Timeout: 20s}
  - {Name: dedup, Kind: plain, Pool: ledgers, EndpointsDeduplicate: true, Timeout: 20s}
  - {Name: witness, Kind: plain, Pool: witnesses, Idempotent: true, Timeout: 5s}
Pools:
  - {Name: witnesses, MaxInFlight: 50}
  - {Name: engines, Model: letters-1, MaxInFlight: 50, PrefillPerSecond: 10000, DecodePerSecond: 100, HonoursFencing: true}
  - {Name: ledgers, MaxInFlight: 50}
Rules: [%s]
Prices:
  - {AvailabilityZone: zone-1, Class: reclaimable, PerHour: 1}
  - {AvailabilityZone: zone-2, Class: reclaimable, PerHour: 1}
Routing: {FirstToken: 330ms, RecomputeWeight: 0.01}
`, printer.Hash(callerKeys["desk"]), printer.Hash(callerKeys["branch"]), strings.Join(rules, ", "))
}

// reply is a response with its whole body, or the error of the call.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// outcome returns the outcome that a refusal states: "not-run" or "unknown".
func (r *reply) outcome() string {
	var p struct {
		Type    string
		Outcome string
	}
	_ = json.Unmarshal([]byte(r.body), &p)
	return p.Outcome
}

// problemType returns the type of a problem+json answer without its prefix.
func (r *reply) problemType() string {
	var p struct{ Type string }
	_ = json.Unmarshal([]byte(r.body), &p)
	return strings.TrimPrefix(p.Type, "urn:brasschute:problem:")
}

// call sends a request with the key of the organisation "desk". headers are names and values in
// turn and may replace the key.
func (d *daemon) call(ctx context.Context, method, path, body string, headers ...string) *reply {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.callerAddress+path, strings.NewReader(body))
	if err != nil {
		return &reply{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+callerKeys["desk"])
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := d.f.client.Do(r)
	if err != nil {
		return &reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return &reply{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}

// do is call without a deadline.
func (d *daemon) do(method, path, body string, headers ...string) *reply {
	return d.call(context.Background(), method, path, body, headers...)
}

// background runs f in a goroutine and returns a function that waits for its result.
func background[T any](f func() T) func() T {
	var out T
	var group sync.WaitGroup
	group.Go(func() { out = f() })
	return func() T {
		group.Wait()
		return out
	}
}
