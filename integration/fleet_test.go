package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
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

const operatorKey = "test-operator"

// peerKey is shared by the daemons under test.
var peerKey = strings.Repeat("5a", 32)

// callerKeys are the organisations' keys, by organisation.
var callerKeys = map[string]string{"desk": "desk-key", "branch": "branch-key"}

// process is one started process.
type process struct {
	t      testing.TB
	name   string
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{}
}

// start runs the test binary in a role.
func start(t testing.TB, role, name string, args ...string) *process {
	t.Helper()
	return startWith(t, nil, role, name, args...)
}

// startWith is as start, with variables in the process's environment.
func startWith(t testing.TB, env []string, role, name string, args ...string) *process {
	t.Helper()
	log, err := os.Create(filepath.Join(t.TempDir(), name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, name: name, log: log, exited: make(chan struct{})}
	p.cmd = exec.Command(os.Args[0], args...)
	p.cmd.Env = append(append(os.Environ(), roleVariable+"="+role), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(p.end)
	return p
}

// end kills the process and, if the test failed, prints its log.
func (p *process) end() {
	p.kill()
	text, _ := os.ReadFile(p.log.Name())
	if bytes.Contains(text, []byte("WARNING: DATA RACE")) || bytes.Contains(text, []byte("panic:")) {
		p.t.Errorf("%s: data race or panic", p.name)
	}
	if last, next := fell(text); next > 0 {
		p.t.Errorf("%s: configuration %d came into force after %d", p.name, next, last)
	}
	if p.t.Failed() {
		p.t.Logf("log of %s:\n%s", p.name, text)
	}
	_ = p.log.Close()
}

// fell finds, in a daemon's log, a configuration that came into force after
// one with the same or a higher number. Asking the daemon would miss one that
// was in force for a moment only.
func fell(log []byte) (last, next uint64) {
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

// stopped waits for a graceful end and checks its exit code.
func (p *process) stopped() {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(patience):
		p.t.Fatalf("%s did not stop", p.name)
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		p.t.Fatalf("%s: exit code %d", p.name, code)
	}
}

// fleet is a system of processes in zones.
type fleet struct {
	t        testing.TB
	platform *process
	// admin is the platform's own address, proxy that of its proxy.
	admin   string
	proxy   *injector.Injector
	entries []*daemon
	engines []*endpoint
	plains  []*endpoint
	// witnesses acknowledge held answers.
	witnesses []*endpoint
	next      map[int]int
	// number is part of the fleet\'s addresses. Fleets that shared addresses
	// would take each other\'s ports: a process connects from its own address,
	// and the kernel gives it any port that is free there.
	number int
	client *http.Client
}

// daemon is one entry daemon.
type daemon struct {
	*process
	f         *fleet
	host      string
	zone      int
	ip        string
	callers   string
	operators string
	peers     *injector.Injector
	args      []string
}

// endpoint is one engine or plain service.
type endpoint struct {
	*process
	f       *fleet
	name    string
	zone    int
	address string
	proxy   *injector.Injector
}

func zoneName(z int) string { return fmt.Sprintf("zone-%d", z) }

func zoneNet(z int) string { return fmt.Sprintf("127.%d.0.0/16", z) }

// fleets counts the fleets that were started.
var fleets atomic.Int32

const (
	maxFleets = 250
	// platformZone is the network of the platform itself.
	platformZone = 100
)

// newFleet starts a platform; more is added by the test.
func newFleet(t testing.TB) *fleet {
	t.Helper()
	if p, ok := t.(interface{ Parallel() }); ok {
		// Fleets share nothing but the machine.
		p.Parallel()
	}
	f := &fleet{t: t, next: make(map[int]int), number: int(fleets.Add(1)-1)%maxFleets + 1}
	f.client = &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	f.admin = freeAddress(t, f.ip(platformZone))
	f.platform = start(t, "standin", "platform", "platform", "--listen", f.admin)
	eventually(t, "platform", func() error { return f.get("http://"+f.admin+"/admin/calls", new(platform.Calls)) })
	f.proxy = f.newProxy("127.0.0.1", f.admin)
	return f
}

func (f *fleet) newProxy(ip, target string) *injector.Injector {
	f.t.Helper()
	for {
		p, err := injector.New(injector.Config{Listen: ip + ":0", Target: target})
		if err != nil {
			f.t.Fatal(err)
		}
		// The kernel may offer a port that was promised to a process which
		// has not bound it yet; that one must be given up at once.
		if _, promised := given.LoadOrStore(p.Address(), true); promised {
			p.Close()
			continue
		}
		f.t.Cleanup(p.Close)
		return p
	}
}

// given holds the addresses that were handed out: the kernel may offer a port
// again before the process it was meant for has bound it.
var given sync.Map

// freeAddress returns an address whose port is free now and that was not
// returned before.
func freeAddress(t testing.TB, ip string) string {
	t.Helper()
	for {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		address := l.Addr().String()
		l.Close()
		if _, twice := given.LoadOrStore(address, true); !twice {
			return address
		}
	}
}

// ip returns the next address of a zone.
func (f *fleet) ip(zone int) string {
	f.next[zone]++
	return fmt.Sprintf("127.%d.%d.%d", zone, f.number, f.next[zone])
}

func (f *fleet) addEngine(zone int, flags ...string) *endpoint {
	return f.addEndpoint(zone, "engine", fmt.Sprintf("engine-%d", len(f.engines)+1), "engines",
		append([]string{"--model", "letters-1"}, flags...), &f.engines)
}

func (f *fleet) addPlain(zone int) {
	f.addEndpoint(zone, "plain", fmt.Sprintf("ledger-%d", len(f.plains)+1), "ledgers", nil, &f.plains)
}

func (f *fleet) addEndpoint(zone int, role, name, pool string, flags []string, list *[]*endpoint) *endpoint {
	f.t.Helper()
	ip := f.ip(zone)
	e := &endpoint{f: f, name: name, zone: zone, address: freeAddress(f.t, ip)}
	e.proxy = f.newProxy(ip, e.address)
	args := append([]string{
		role, "--listen", e.address, "--advertise", e.proxy.Address(), "--platform", f.admin, "--host", name + "-host",
		"--zone", zoneName(zone), "--name", name, "--pool", pool,
	}, flags...)
	e.process = start(f.t, "standin", name, args...)
	eventually(f.t, name, func() error { return f.get("http://"+e.address+"/admin/executions", new(map[string]int)) })
	*list = append(*list, e)
	return e
}

func (f *fleet) addWitness(zone int) {
	f.addEndpoint(zone, "plain", fmt.Sprintf("witness-%d", len(f.witnesses)+1), "witnesses", nil, &f.witnesses)
}

// addEntry starts an entry daemon; extra lines go into its settings.
func (f *fleet) addEntry(zone int, extra ...string) *daemon {
	f.t.Helper()
	d := &daemon{f: f, host: fmt.Sprintf("entry-%d", len(f.entries)+1), zone: zone, ip: f.ip(zone)}
	d.callers, d.operators = freeAddress(f.t, d.ip), freeAddress(f.t, d.ip)
	peers := freeAddress(f.t, d.ip)
	d.peers = f.newProxy(d.ip, peers)
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
`, d.host, zoneName(zone), d.callers, d.operators, peers, d.peers.Address(), f.proxy.Address(), peerKey,
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

// restart starts a daemon again that has ended.
func (d *daemon) restart() {
	d.f.t.Helper()
	d.process = start(d.f.t, "brasschute", d.host+"-again", d.args...)
	eventually(d.f.t, d.host, func() error { _, err := d.status(); return err })
}

// addController starts a controller.
func (f *fleet) addController(zone int, name string) *process {
	f.t.Helper()
	ip := f.ip(zone)
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
`, name, zoneName(zone), ip, ip, ip, f.proxy.Address(), peerKey)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return start(f.t, "brasschute", name, "controller", "--settings", file)
}

func (d *daemon) operator() rpc.Operator { return printer.Client(d.operators, operatorKey) }

func (d *daemon) status() (*rpc.StatusReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return d.operator().Status(ctx, &rpc.StatusRequest{})
}

// apply brings a configuration into force at a daemon.
func (d *daemon) apply(source string, from uint64) (*rpc.Applied, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return d.operator().Apply(ctx, &rpc.Draft{File: "test.yaml", Source: source, From: from})
}

func (d *daemon) mustApply(source string, from uint64) *rpc.Applied {
	d.f.t.Helper()
	a, err := d.apply(source, from)
	if err != nil {
		d.f.t.Fatal(err)
	}
	return a
}

// ready waits until a daemon has a configuration and knows all endpoints and
// daemons of the fleet.
func (d *daemon) ready() {
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
		if err := want("daemons", alive, len(d.f.entries)); err != nil {
			return err
		}
		if s.ConfigurationNumber == 0 {
			return fmt.Errorf("no configuration")
		}
		return want("endpoints", len(s.Endpoints), len(d.f.engines)+len(d.f.plains)+len(d.f.witnesses))
	})
}

func (f *fleet) ready() {
	f.t.Helper()
	for _, d := range f.entries {
		d.ready()
	}
}

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

func (f *fleet) get(url string, out any) error {
	resp, err := f.client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

func (f *fleet) post(url string, in any) {
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

func (f *fleet) faults(x platform.Faults) { f.post("http://"+f.admin+"/admin/faults", x) }

// announce gives a reclaim notice for a host.
func (f *fleet) announce(host string, zone int, deadline time.Time) {
	f.t.Helper()
	f.post("http://"+f.admin+"/admin/notices", inventory.Notice{
		Host: identifier.Host(host), AvailabilityZone: identifier.AvailabilityZone(zoneName(zone)),
		Incarnation: 1 << 62, Deadline: deadline,
	})
}

func (e *endpoint) behave(b any) { e.f.post("http://"+e.address+"/admin/behaviour", b) }

func (e *endpoint) gate(tokens int) { e.behave(engine.Behaviour{Gate: tokens}) }

func (e *endpoint) hold(on bool) { e.behave(plain.Behaviour{Hold: on}) }

// executions returns how often each request began at an endpoint.
func (e *endpoint) executions() map[string]int {
	e.f.t.Helper()
	var out map[string]int
	if err := e.f.get("http://"+e.address+"/admin/executions", &out); err != nil {
		e.f.t.Fatal(err)
	}
	return out
}

// total sums the executions whose name begins with a request id or key.
func total(id string, endpoints ...*endpoint) int {
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

// load reads an engine's own report.
func (e *endpoint) running() int {
	e.f.t.Helper()
	var out struct{ Running int }
	if err := e.f.get("http://"+e.address+"/v1/load", &out); err != nil {
		e.f.t.Fatal(err)
	}
	return out.Running
}

// configuration returns the tests' configuration with extra rules in front.
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

// reply is a whole response.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// outcome returns the outcome that a refusal states.
func (r *reply) outcome() string {
	var p struct {
		Type    string
		Outcome string
	}
	_ = json.Unmarshal([]byte(r.body), &p)
	return p.Outcome
}

func (r *reply) kind() string {
	var p struct{ Type string }
	_ = json.Unmarshal([]byte(r.body), &p)
	return strings.TrimPrefix(p.Type, "urn:brasschute:problem:")
}

// call sends one request with the desk's key.
func (d *daemon) call(ctx context.Context, method, path, body string, headers ...string) *reply {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.callers+path, strings.NewReader(body))
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

func (d *daemon) do(method, path, body string, headers ...string) *reply {
	return d.call(context.Background(), method, path, body, headers...)
}

// background runs f and returns a function that waits for its result.
func background[T any](f func() T) func() T {
	var out T
	var group sync.WaitGroup
	group.Go(func() { out = f() })
	return func() T {
		group.Wait()
		return out
	}
}
