//go:build review

package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
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
	"time"

	"brasschute/internal/standin/hosting"
)

// Names of the small deployment that the scripts share.
const (
	host       = "desk.example"
	modelPath  = "/letters/"
	postPath   = "/postings/"
	lookupPath = "/lookups/"
	modelName  = "lm"
	plainName  = "app"
	tenantName = "desk"
	tenantKey  = "desk-key"
)

// zoneNames are the zones of the small deployment.
var zoneNames = []string{"derby-hall-a", "derby-hall-b", "nottm-hall-a", "nottm-hall-b"}

// errNotRun means that the case could not run.
var errNotRun = errors.New("the case could not run")

// world is a small deployment on loopback addresses: the platform, servers and clients in this process, the
// daemons in processes of their own.
type world struct {
	folder  string
	record  *recorder
	store   *hosting.Store
	cloud   *hosting.Cloud
	config  map[string]any
	version int
	daemons []*daemon
	closers []func()
	trouble bool
	// network is the second and third byte of the addresses of this run, lastIP the last byte of the latest one.
	network, lastIP int
	// taken holds the addresses that were given out.
	taken map[string]bool
	// ran holds the ids of requests that a model engine began to work on.
	ran     sync.Map
	closing sync.Once
}

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	w     *bufio.Writer
	f     *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{w: bufio.NewWriter(f), f: f, began: time.Now()}, nil
}

// printf writes one line.
func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}

// daemon is a process of the deploy file's role.
type daemon struct {
	w       *world
	name    string
	ip      string
	file    string
	front   string
	ready   string
	control string
	cmd     *exec.Cmd
	done    chan struct{}
}

func newWorld(record *recorder, trouble bool) (*world, error) {
	folder, err := os.MkdirTemp("", "brasschute-review-")
	if err != nil {
		return nil, err
	}
	w := &world{folder: folder, record: record, store: hosting.NewStore(), cloud: new(hosting.Cloud), trouble: trouble, network: 64<<8 + rand.IntN(128<<8), taken: map[string]bool{}}
	w.closers = append(w.closers, w.store.Close)
	w.config = map[string]any{
		"Routes": []any{
			route("letters", modelPath, "streaming", modelName, 15000, map[string]any{"SloMs": 1200, "GapSloMs": 400, "Resumable": true, "SessionAffinity": true, "MaxAttempts": 2}),
			route("postings", postPath, "non_idempotent", plainName, 2500, map[string]any{"SloMs": 300, "MaxAttempts": 1}),
			route("lookups", lookupPath, "idempotent", plainName, 2500, map[string]any{"SloMs": 300, "MaxAttempts": 2}),
		},
		"Services": []any{
			map[string]any{"Name": modelName, "HealthPath": "/health", "MaxConns": 620, "Protocol": "h1", "Tls": false},
			map[string]any{"Name": plainName, "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": false},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": tenantName, "ApiKeys": []string{tenantKey}}},
	}
	w.configure(func(map[string]any) {})
	return w, nil
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, timeoutMs int, more map[string]any) map[string]any {
	out := map[string]any{"Name": name, "Host": host, "PathPrefix": prefix, "Kind": kind, "Service": service, "TimeoutMs": timeoutMs, "Priority": 1, "Public": false}
	for k, v := range more {
		out[k] = v
	}
	return out
}

// configure changes the configuration and writes it to the store as a new version.
func (w *world) configure(change func(map[string]any)) {
	change(w.config)
	w.version += 3
	w.config["Version"] = w.version
	w.store.Write("config", "main", w.config)
	w.record.printf("operator: configuration %d acknowledged by the store", w.version)
}

// close ends all processes that were started and removes the temporary folder.
func (w *world) close() { w.closing.Do(w.closeAll) }

func (w *world) closeAll() {
	for _, d := range w.daemons {
		d.kill()
	}
	for _, c := range w.closers {
		c()
	}
	_ = os.RemoveAll(w.folder)
}

// serve starts an HTTP server on a free loopback port.
func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	w.closers = append(w.closers, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// newIP returns a loopback address that nothing else uses: the ports that are found free there are not taken by
// connections that other programs open.
func (w *world) newIP() string {
	w.lastIP++
	return fmt.Sprintf("127.%d.%d.%d", w.network>>8, w.network&0xff, w.lastIP)
}

// freePort returns an address with a port that is free now, and that this run has not had yet.
func (w *world) freePort(ip string) (string, error) {
	for {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		_ = l.Close()
		if !w.taken[address] {
			w.taken[address] = true
			return address, nil
		}
	}
}

// start starts daemons with the command of the deploy file and waits until all are ready.
func (w *world) start(ctx context.Context, zones ...string) error {
	cloud, err := w.serve(w.cloud)
	if err != nil {
		return err
	}
	for i, zone := range zones {
		d := &daemon{w: w, name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: w.newIP()}
		for _, address := range []*string{&d.front, &d.ready, &d.control} {
			if *address, err = w.freePort(d.ip); err != nil {
				return err
			}
		}
		d.file = filepath.Join(w.folder, d.name+".toml")
		w.daemons = append(w.daemons, d)
	}
	for i, d := range w.daemons {
		store, err := w.serve(w.store.HandlerFor(d.name))
		if err != nil {
			return err
		}
		if err := os.WriteFile(d.file, []byte(d.settings(zones[i], zones, store, cloud)), 0o600); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, d := range w.daemons {
		if err := d.awaitReady(ctx); err != nil {
			return err
		}
	}
	// The lists of all daemons have settled.
	time.Sleep(3 * time.Second)
	return nil
}

// settings returns the settings file of a daemon, with the bounds of a small deployment.
func (d *daemon) settings(zone string, zones []string, store, cloud string) string {
	var seeds []string
	for _, o := range d.w.daemons {
		seeds = append(seeds, fmt.Sprintf("%q", o.control))
	}
	var zoneLines strings.Builder
	seen := map[string]bool{}
	for _, z := range zones {
		if !seen[z] {
			seen[z] = true
			fmt.Fprintf(&zoneLines, "%s = \"east-mids\"\n", z)
		}
	}
	first, _ := d.w.freePort(d.ip)
	port := first[strings.LastIndex(first, ":")+1:]
	return fmt.Sprintf(`Node = %q
Role = "gateway"
MachineClass = "front"
Serves = ["front", "control"]
Ip = %q
Zone = %q
Region = "east-mids"
PortRange = [%s, %s]
Seeds = [%s]
FirstStart = true
Discovery = "platform"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","leader","platform"]
[Zones]
%s
[Listen]
Front = %q
Ready = %q
Control = %q
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 284
MaxFds = 4100
LinkMbps = 1000.0
[FaultTolerance]
Machines = 2
Zones = 1
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
StretchMs = 5000
StrictRevoke = false
RevokeMs = 5000
RetryRatio = 0.2
RetryWindowS = 10
RetrySlack = 56
QuotaWindowS = 8
QuotaOverage = 0.1
QuotaSlack = 190000
RequireFence = false
LeaseMs = 3000
ThawMs = 300
UsageWindowS = 5
UsageOff = 0.05
UsageLateS = 10
RecoveryS = 12
PassMs = 120
ReuseWindowS = 10
[Platform]
Address = %q
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
[Cloud]
Address = %q
RatePerS = 50.0
Duties = ["usage", "autoscale"]
DutyPerS = 50.0
`, d.name, d.ip, zone, port, port, strings.Join(seeds, ", "), zoneLines.String(), d.front, d.ready, d.control, store, cloud)
}

// start starts the process.
func (d *daemon) start() error {
	log, err := os.OpenFile(filepath.Join(d.w.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.cmd = exec.Command("target/brasschute", "gateway")
	d.cmd.Env = []string{"BRASSCHUTE_NODE_FILE=" + d.file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	d.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		d.w.record.printf("%s: process %d ended: %v", d.name, cmd.Process.Pid, err)
		_ = log.Close()
		if cmd.ProcessState.ExitCode() > 0 {
			text, _ := os.ReadFile(log.Name())
			d.w.record.printf("%s: its log ends with %q", d.name, text[max(len(text)-400, 0):])
		}
		close(done)
	}(d.cmd, d.done)
	d.w.record.printf("%s: process %d started, clients at %s", d.name, d.cmd.Process.Pid, d.front)
	return nil
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.w.record.printf("%s: signal %v", d.name, s)
	_ = d.cmd.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (d *daemon) kill() {
	if d.cmd == nil || d.cmd.Process == nil {
		return
	}
	_ = d.cmd.Process.Signal(syscall.SIGCONT)
	_ = d.cmd.Process.Kill()
	<-d.done
}

// awaitReady waits until the daemon is ready. A process that has ended by itself is started again, as on the platform.
func (d *daemon) awaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-d.done:
			if err := d.start(); err != nil {
				return err
			}
		default:
		}
		resp, err := http.Get("http://" + d.ready + "/api/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%w: %s is not ready", errNotRun, d.name)
}

// listEngine writes a server's entry to the store.
func (w *world) listEngine(id string, entry map[string]any) {
	w.store.Write("servers", id, entry)
	text, _ := json.Marshal(entry)
	w.record.printf("server %s: entry written: %s", id, text)
}

// requestCount numbers the requests of clients.
var requestCount atomic.Int64

// newID returns a new request id.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+requestCount.Add(1)) }

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// exchange sends the bytes of one request over a new connection and reads the answer, as a plain HTTP/1.1 client.
func exchange(address, method, request string, timeout time.Duration) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(c, request); err != nil {
		return answer{err: err}
	}
	reader := bufio.NewReader(c)
	resp, err := http.ReadResponse(reader, &http.Request{Method: method})
	for err == nil && resp.StatusCode < http.StatusOK {
		// Interim answers precede the final one.
		resp, err = http.ReadResponse(reader, &http.Request{Method: method})
	}
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	_, err = io.Copy(&body, resp.Body)
	return answer{resp.StatusCode, resp.Header, body.Bytes(), err}
}

// keptConnection is a connection that a client keeps open for many requests.
type keptConnection struct {
	net.Conn
	reader *bufio.Reader
}

func dialKept(address string) (*keptConnection, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConnection{c, bufio.NewReader(c)}, nil
}

// send sends one request and reads its answer.
func (c *keptConnection) send(method, request string) answer {
	if _, err := io.WriteString(c, request); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, body, err}
}
