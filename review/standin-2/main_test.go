//go:build review

// Package review2 plays the scripts of the second review: it starts gateways as processes, beside stand-ins of the
// platform, on loopback addresses, and writes what happened to a record. It is a program of
// test files, as the names of the users' platform stand in no other code here.
package review2

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	service = "lm"
	domain  = "desk.example"
	key     = "desk-key"
)

// longestRun is how long a script may take.
const longestRun = 115 * time.Second

// The results of a script.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the scripts by their names.
var cases = map[string]func(*site) (int, error){"spoilt": spoilt, "restarted": restarted, "paths": paths}

// TestMain plays the case that the first argument names. The second one is the file of the record.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run plays a case on a new site and ends all its processes.
func run(play func(*site) (int, error), recordFile string) int {
	s, err := newSite(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer s.close()
	// The processes also end if the script is stopped or takes too long.
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
		case <-time.After(longestRun):
		}
		s.record.line("stopped")
		s.close()
		os.Exit(failed)
	}()
	result, err := play(s)
	if err != nil {
		s.record.line("the case could not run: %v", err)
		result = failed
	}
	s.record.line("exit %d", result)
	return result
}

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(text)
}

// site is a small deployment: a store, a cloud, and gateways as processes.
type site struct {
	record   *record
	trouble  bool
	store    *store
	cloud    http.Handler
	dir      string
	network  int
	gateways []*gateway
}

type gateway struct {
	name, ip, zone string
	command        *exec.Cmd
}

func newSite(recordFile string) (*site, error) {
	f, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	s := &site{record: &record{file: f, begun: time.Now()}, trouble: os.Getenv("TROUBLE") != "0", store: newStore(), dir: dir}
	s.cloud = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	if s.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	s.record.line("disruption: %v", s.trouble)
	return s, nil
}

// freeNetwork returns x of a loopback network 127.x.0.0/16 on which the gateways' ports are free.
func freeNetwork() (int, error) {
	for x := 20 + os.Getpid()%100; x < 240; x++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:8109", x))
		if err == nil {
			_ = l.Close()
			return x, nil
		}
	}
	return 0, fmt.Errorf("no free loopback network")
}

// serve serves a handler on a free port of 127.0.0.1 and returns the address.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// settings is a settings file as DEPLOY.md shows it.
const settings = `Node = %[1]q
Role = "gateway"
MachineClass = "front"
Serves = ["front", "control"]
Ip = %[2]q
Zone = %[3]q
Region = "r"
PortRange = [7600, 7615]
Seeds = [%[4]s]
FirstStart = true
CountsAsLoss = false
Discovery = "platform"
Entry = "anycast"
HeartbeatMs = 1200
Contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "leader", "platform"]
[Zones]
hall-a = "r"
hall-b = "r"
[Listen]
Front = "%[2]s:8101"
Ready = "%[2]s:8104"
Control = "%[2]s:8109"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 284
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 1
Regions = 0
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
RetrySlack = 58
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
Address = %[5]q
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
[Cloud]
Address = %[6]q
RatePerS = 50.0
Duties = ["usage"]
DutyPerS = 50.0
`

// startGateways starts a gateway in each of some zones and waits until all are ready.
func (s *site) startGateways(zones ...string) error {
	storeAddress, err := serve(s.store)
	if err != nil {
		return err
	}
	cloudAddress, err := serve(s.cloud)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range zones {
		seeds = append(seeds, fmt.Sprintf("%q", s.ip(i)+":8109"))
	}
	for i, zone := range zones {
		g := &gateway{name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: s.ip(i), zone: zone}
		file := filepath.Join(s.dir, g.name+".toml")
		text := fmt.Sprintf(settings, g.name, g.ip, zone, strings.Join(seeds[:min(len(seeds), 3)], ", "), storeAddress, cloudAddress)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(s.dir, g.name+".log"))
		if err != nil {
			return err
		}
		g.command = exec.Command("target/brasschute", "gateway")
		g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRASSCHUTE_NODE_FILE=" + file}
		g.command.Stdout, g.command.Stderr = log, log
		g.command.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
		if err := g.command.Start(); err != nil {
			return err
		}
		s.gateways = append(s.gateways, g)
	}
	for _, g := range s.gateways {
		if err := g.awaitReady(); err != nil {
			return err
		}
		s.record.line("%s is ready", g.name)
	}
	return nil
}

func (s *site) ip(gateway int) string { return fmt.Sprintf("127.%d.0.%d", s.network, gateway+1) }

func (g *gateway) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + g.ip + ":8104/api/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", g.name)
}

// close ends the processes and removes the temporary folder.
func (s *site) close() {
	for _, g := range s.gateways {
		_ = g.command.Process.Kill()
		_ = g.command.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Fprintln(os.Stderr, s.dir)
	}
	_ = s.record.file.Close()
}
