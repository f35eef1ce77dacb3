package integration

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/report"
	"brasschute/internal/fault/injector"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/standin/platform"
)

// observation is how long the benchmarks of control traffic look.
const observation = 10 * time.Second

// usage is what a daemon has used since it started.
type usage struct {
	cpu    time.Duration
	bytes  float64
	memory float64
}

const (
	ticksPerSecond = 100
	megabyte       = 1 << 20
)

// used reads a daemon's processor time and memory from the kernel, and its
// peer traffic from its metrics.
func (d *daemon) used() usage {
	d.f.t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.cmd.Process.Pid))
	if err != nil {
		d.f.t.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	const utime, stime = 11, 12
	ticks := 0
	for _, i := range []int{utime, stime} {
		n, _ := strconv.Atoi(fields[i])
		ticks += n
	}
	return usage{
		cpu:   time.Duration(ticks) * time.Second / ticksPerSecond,
		bytes: d.metric("brasschute_peer_bytes_in") + d.metric("brasschute_peer_bytes_out"), memory: d.memory(),
	}
}

// memory returns the resident memory in megabytes.
func (d *daemon) memory() float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		d.f.t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kilobytes / 1024
		}
	}
	return 0
}

func (d *daemon) metric(name string) float64 {
	d.f.t.Helper()
	resp, err := d.f.client.Get("http://" + d.operators + "/metrics")
	if err != nil {
		d.f.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	sum := 0.0
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name); ok && (rest[0] == ' ' || rest[0] == '{') {
			fields := strings.Fields(line)
			v, _ := strconv.ParseFloat(fields[len(fields)-1], 64)
			sum += v
		}
	}
	return sum
}

// observe reports what the daemons use on average while f runs, or while
// nothing happens.
func (f *fleet) observe(b *testing.B, daemons []*daemon, during func()) {
	b.Helper()
	before := make([]usage, len(daemons))
	for i, d := range daemons {
		before[i] = d.used()
	}
	begun := time.Now()
	if during == nil {
		time.Sleep(observation)
	} else {
		during()
	}
	seconds := time.Since(begun).Seconds()
	var cpu, bytes, memory float64
	for i, d := range daemons {
		after := d.used()
		cpu += (after.cpu - before[i].cpu).Seconds()
		bytes += after.bytes - before[i].bytes
		memory = max(memory, after.memory)
	}
	n := float64(len(daemons))
	b.ReportMetric(100*cpu/seconds/n, "%core/daemon")
	b.ReportMetric(bytes/seconds/n, "peerB/s/daemon")
	b.ReportMetric(memory, "MB-max")
	b.ReportMetric(0, "ns/op")
}

func BenchmarkCapacityPeers(b *testing.B) {
	// Idle daemons of one zone: what membership costs each as the zone grows.
	for _, n := range []int{2, 8, 16, 32, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(b)
			for range n {
				f.addEntry(1)
			}
			f.entries[0].mustApply(configuration(), 0)
			f.ready()
			f.settle()
			for b.Loop() {
				f.observe(b, f.entries, nil)
			}
		})
	}
}

// settle waits until the news of the start has been passed on.
func (f *fleet) settle() { time.Sleep(15 * time.Second) }

// list registers endpoints that only answer load reports.
func (f *fleet) list(zone, n int) {
	f.t.Helper()
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			f.t.Fatal(err)
		}
		name := fmt.Sprintf("listed-%d-%d", zone, i)
		s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(report.Report{Endpoint: identifier.Endpoint(name), Taken: time.Now(), Model: "letters-1"})
		})}
		go func() { _ = s.Serve(l) }()
		f.t.Cleanup(func() { s.Close() })
		f.post("http://"+f.admin+"/admin/hosts", inventory.Host{
			Host: identifier.Host(name), AvailabilityZone: identifier.AvailabilityZone(zoneName(zone)),
			Class: document.ClassReclaimable, Incarnation: 1, State: inventory.StateLive,
			Endpoints: []inventory.Endpoint{{Endpoint: identifier.Endpoint(name), Pool: "engines", Address: l.Addr().String()}},
		})
	}
}

func BenchmarkCapacityEndpoints(b *testing.B) {
	// Endpoints of other zones are only listed; those of the own zone are
	// polled by one daemon each and their loads passed on.
	for _, c := range []struct{ listed, polled int }{{0, 0}, {600, 0}, {1200, 0}, {0, 16}, {0, 64}, {0, 128}} {
		b.Run(fmt.Sprintf("listed=%d/polled=%d", c.listed, c.polled), func(b *testing.B) {
			f := newFleet(b)
			for range 4 {
				f.addEntry(1)
			}
			f.list(2, c.listed)
			f.list(1, c.polled)
			f.entries[0].mustApply(configuration(), 0)
			for _, d := range f.entries {
				eventually(b, "listed", func() error {
					s, err := d.status()
					if err != nil {
						return err
					}
					return want("endpoints", len(s.Endpoints), c.listed+c.polled)
				})
			}
			f.settle()
			for b.Loop() {
				f.observe(b, f.entries, nil)
			}
		})
	}
}

func BenchmarkCapacityConfigurationChanges(b *testing.B) {
	// A hundred changes one after another: what each costs a daemon and the
	// platform, and how long until all daemons have it in force, one of them
	// cut off from the platform.
	const changes = 100
	f := newFleet(b)
	for range 8 {
		f.addEntry(1)
	}
	f.addEntry(2)
	f.entries[0].mustApply(configuration(), 0)
	f.ready()
	f.proxy.Set(zoneNet(2), injector.Fault{Cut: true})
	f.settle()
	number := uint64(1)
	for b.Loop() {
		var before, after platform.Calls
		_ = f.get("http://"+f.admin+"/admin/calls", &before)
		worst := time.Duration(0)
		spent := f.cpu(0)
		f.observe(b, f.entries, func() {
			for range changes {
				begun := time.Now()
				a := f.entries[0].mustApply(configuration(ruleNamed(fmt.Sprint("r", number))), number)
				worst = max(worst, time.Since(begun))
				if len(a.InForce) != len(f.entries) {
					b.Fatalf("%v", a)
				}
				number++
			}
		})
		_ = f.get("http://"+f.admin+"/admin/calls", &after)
		b.ReportMetric(worst.Seconds(), "s-in-force-worst")
		b.ReportMetric(f.cpu(spent)*1000/changes, "cpu-ms/change/daemon")
		b.ReportMetric(float64(after.Reads-before.Reads)/changes, "reads/change")
		b.ReportMetric(float64(after.Writes-before.Writes)/changes, "writes/change")
		b.ReportMetric(float64(after.Watches-before.Watches)/changes/float64(len(f.entries)), "watches/change/daemon")
	}
}

// cpu returns the mean seconds of processor time of the daemons, less a part.
func (f *fleet) cpu(less float64) float64 {
	sum := 0.0
	for _, d := range f.entries {
		sum += d.used().cpu.Seconds()
	}
	return sum/float64(len(f.entries)) - less
}

func BenchmarkCapacityStreams(b *testing.B) {
	// Streams that wait in the middle: the memory of each.
	for _, n := range []int{0, 200, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(b)
			f.addEngine(1, "--slots", "1000")
			d := f.addEntry(1)
			d.mustApply(strings.ReplaceAll(configuration(), "MaxInFlight: 50", "MaxInFlight: 1000"), 0)
			f.ready()
			f.gateAll(gateAt)
			for b.Loop() {
				before := d.memory()
				var streams []*stream
				for range n {
					streams = append(streams, d.open(letterTokens))
				}
				for _, s := range streams {
					middle2(b, s)
				}
				b.ReportMetric(d.memory(), "MB")
				b.ReportMetric((d.memory()-before)*1024/float64(max(n, 1)), "KB/stream")
				b.ReportMetric(0, "ns/op")
				f.gateAll(0)
				for _, s := range streams {
					s.wait()
				}
			}
		})
	}
}

func middle2(b *testing.B, s *stream) {
	b.Helper()
	eventually(b, "mid-stream", func() error { return s.received(gateAt) })
}

func BenchmarkCapacityRequests(b *testing.B) {
	// The processor time of a request and of a token at the entry daemon, and
	// its latency against a direct call of the engine.
	for _, tokens := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			f := newFleet(b)
			f.addEngine(1, "--slots", "64")
			d := f.addEntry(1)
			d.mustApply(configuration(), 0)
			f.ready()
			const requests = 2000
			for b.Loop() {
				before := d.used()
				begun := time.Now()
				through := f.batch(requests, "http://"+d.callers+"/v1/chat/completions", chat(tokens, true))
				seconds := time.Since(begun).Seconds()
				cpu := d.used().cpu - before.cpu
				direct := f.batch(requests, "http://"+f.engines[0].address+"/v1/chat/completions",
					strings.ReplaceAll(chat(tokens, true), `"letters"`, `"letters-1"`))
				b.ReportMetric(float64(cpu.Microseconds())/requests, "cpu-us/request")
				b.ReportMetric(requests/seconds, "requests/s")
				b.ReportMetric(float64(through)/float64(direct), "latency-ratio")
				b.ReportMetric(float64(through.Microseconds()), "us-mean")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// batch sends requests by eight workers and returns the mean latency.
func (f *fleet) batch(requests int, url, body string) time.Duration {
	const workers = 8
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	var total atomic.Int64
	var group sync.WaitGroup
	for w := range workers {
		group.Go(func() {
			for n := range requests / workers {
				begun := time.Now()
				r, _ := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
				r.Header.Set("Authorization", "Bearer "+callerKeys["desk"])
				r.Header.Set("Request-Id", fmt.Sprintf("r-%d-%d-%d", w, n, begun.UnixNano()))
				resp, err := client.Do(r)
				if err != nil {
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				total.Add(int64(time.Since(begun)))
			}
		})
	}
	group.Wait()
	return time.Duration(total.Load() / int64(requests))
}

func BenchmarkCapacityClaims(b *testing.B) {
	// Keyed requests at a growing number of callers at once: claims for each
	// platform write, with a platform that takes five milliseconds.
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			f := newFleet(b)
			f.addPlain(1)
			d := f.addEntry(1)
			d.mustApply(strings.ReplaceAll(configuration(), "MaxInFlight: 50", "MaxInFlight: 1000"), 0)
			f.ready()
			f.proxy.Set(injector.All, injector.Fault{Delay: 2500 * time.Microsecond})
			for b.Loop() {
				var before, after platform.Calls
				_ = f.get("http://"+f.admin+"/admin/calls", &before)
				const requests = 1024
				var group sync.WaitGroup
				begun := time.Now()
				for c := range callers {
					group.Go(func() {
						for n := range requests / callers {
							d.confirm(fmt.Sprintf("c-%d-%d-%d", c, n, begun.UnixNano()), "bond")
						}
					})
				}
				group.Wait()
				seconds := time.Since(begun).Seconds()
				_ = f.get("http://"+f.admin+"/admin/calls", &after)
				b.ReportMetric(requests/float64(after.Writes-before.Writes), "claims/write")
				b.ReportMetric(float64(after.Reads-before.Reads)/requests, "reads/claim")
				b.ReportMetric(requests/seconds, "claims/s")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
